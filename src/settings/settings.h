#pragma once

// Settings of one daemon, read from a TOML file at start. All errors are reported at once.
//
//   parsed_settings parsed = parseSettings(text, "daemon.toml");
//   if (!parsed.errors.empty()) { ... }

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

struct daemon_settings
{
    // [daemon]
    std::string name; // Unique among all daemons; required.
    std::string zone; // Availability zone; required.
    std::string listenAddress = "127.0.0.1"; // IP number to listen on.
    std::uint16_t httpPort = 0; // Callers; 0: chosen by the system.
    std::uint16_t adminPort = 0; // Operators.
    std::uint16_t peerPort = 0; // Other daemons.
    std::string advertisedHttp; // "ip:port" for callers; default: listen address and port.
    std::string advertisedPeer;
    std::string logLevel = "info";
    // [platform]: "ip:port" each; required.
    std::string logAddress;
    std::string hostListAddress;
    std::string weightStoreAddress; // Optional.
    // [log]
    std::uint32_t appendsPerSecond = 300; // Share of the log for all daemons together.
    std::chrono::milliseconds retention{86400000};
    std::chrono::milliseconds logTimeout{1000};
    std::chrono::milliseconds configurationPoll{500};
    std::chrono::milliseconds ownershipPoll{500};
    std::uint64_t maxBufferedBytes = 8U << 20U;
    std::string receiptKey; // Secret shared by all daemons.
    // [http]
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::uint32_t maxConnections = 4096;
    std::chrono::milliseconds requestTimeout{10000};
    // [endpoints]
    std::chrono::milliseconds hostListPoll{1000};
    std::chrono::milliseconds loadPoll{250};
    std::chrono::milliseconds cacheEventPoll{1000};
    std::chrono::milliseconds silence{10000}; // An endpoint's connection without a byte for this long is given up.
    std::uint32_t maxAttempts = 3;
    // [membership]
    std::uint32_t neighboursEachSide = 3;
    std::chrono::milliseconds heartbeatInterval{1000};
    std::chrono::milliseconds suspectAfter{3000};
    std::chrono::seconds entryKeep{5};
    // [drain]
    std::chrono::milliseconds drainBound{30000};
    // [scheduler]: names of policies, see docs/OPERATIONS.md.
    std::string order = "attained_service";
    std::string routing = "prefix_affinity";
    std::string admission = "target";
};

struct settings_error
{
    std::string file;
    std::uint32_t line = 0; // 1-based; 0 for a missing key.
    std::string key;
    std::string expected;
};

struct parsed_settings
{
    daemon_settings value; // Meaningful only without errors.
    std::vector<settings_error> errors;
};

// Refuses unknown keys, wrong types, values out of range and contradictions. Never throws on any text.
[[nodiscard]] parsed_settings parseSettings(std::string_view text, const std::string &file);
// Reads the file; throws error(SettingsInvalid) if it cannot be read.
[[nodiscard]] parsed_settings loadSettings(const std::string &file);
// "daemon.toml:4: log.retention_ms: expected an integer from 10000 to 2592000000 (code 602)".
[[nodiscard]] std::string toString(const settings_error &problem);

// One documented key: dotted name, unit, default and range. docs/OPERATIONS.md is checked against this table.
struct settings_key
{
    std::string key;
    std::string unit;
    std::string defaultValue;
    std::string range;
    std::string meaning;
};

[[nodiscard]] std::vector<settings_key> settingsKeys();

} // namespace jackdawpick
