#pragma once

// Settings of a daemon on the users' platform, read from TOML at start. All errors are reported at once.
//
//   auto parsed = parseGatewaySettings(text, "local.conf");
//   if (!parsed.errors.empty()) { ... toString(parsed.errors.front()) ... }

#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

struct gateway_settings
{
    // [daemon]
    std::string name; // Unique among all daemons; required.
    std::string zone; // Availability zone; required.
    std::string logLevel = "info";
    // [listen]: "ip:port" each; required but for metrics.
    std::string callers;
    std::string directory;
    std::string readiness;
    std::string peers;
    std::string metrics; // Empty: not served.
    // [store]
    std::string storeAddress; // "ip:port"; required.
    std::uint32_t partsPerTopic = 12;
    std::uint32_t programTopics = 1;
    std::uint32_t turnTopics = 80;
    // [callers]
    std::chrono::milliseconds directoryLife{500}; // How long callers keep a list of addresses.
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::uint32_t maxConnections = 4096;
    // [shutdown]
    std::chrono::milliseconds shutdownLimit{7000}; // After SIGTERM the process ends at the latest after this.
    // [turns]
    std::uint64_t turnCacheBytes = 4U << 20U;
    std::chrono::milliseconds turnRetention{300000}; // Of records in the store.
    std::chrono::milliseconds keepTurns{90000}; // Longer than any route keeps its turns; older ones are deleted.
};

struct parsed_gateway_settings
{
    gateway_settings value; // Meaningful only without errors.
    std::vector<settings_error> errors;
};

// Refuses unknown keys, wrong types and values out of range. Never throws on any text.
[[nodiscard]] parsed_gateway_settings parseGatewaySettings(std::string_view text, const std::string &file);
// Whether the text is meant for a daemon on the platform: it has a table [listen].
[[nodiscard]] bool isGatewaySettings(std::string_view text);

} // namespace jackdawpick
