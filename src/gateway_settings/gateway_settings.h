#pragma once

// Settings of a daemon on the users' platform, read from TOML at start. Parsing reports all errors, not only the first.
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
    // [listen]: each "ip:port"; all required except metrics.
    std::string callers;
    std::string directory;
    std::string readiness;
    std::string peers;
    std::string metrics; // Empty: metrics are not served.
    // [store]
    std::string storeAddress; // "ip:port"; required.
    std::uint32_t partsPerTopic = 12;
    std::uint32_t programTopics = 1;
    std::uint32_t turnTopics = 80;
    // [endpoints]
    std::chrono::milliseconds endpointHeartbeat{1200}; // How often endpoints write their entries.
    // [callers]
    std::chrono::milliseconds directoryLifetime{500}; // How long callers may cache the list of addresses.
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::uint32_t maxConnections = 4096;
    // [host]
    std::uint64_t hostMemoryBytes = 0; // Memory that the process may use; 0: not known.
    std::uint32_t fileDescriptors = 0; // That it may open, with those of files; 0: not known.
    // [revocation]
    bool strictRevocation = false; // No request with a key runs that was sent later than the timeout after its removal.
    std::chrono::milliseconds revocationTimeout{5000}; // From the acknowledgement of the configuration that removes it.
    // [quotas]
    std::chrono::milliseconds quotaWindow{5000}; // Quotas hold in each span of this length.
    double quotaOverrun = 0.1; // Share of a quota by which all daemons together may exceed it in a window.
    double quotaSlack = 20; // Requests by which they may exceed it in addition.
    // [shutdown]
    std::chrono::milliseconds shutdownTimeout{7000}; // Maximum time from SIGTERM to the end of the process.
    // [turns]
    std::uint64_t turnCacheBytes = 4U << 20U; // Of the texts of turns that are kept in memory.
    std::uint64_t turnChainBytes = 4U << 20U; // Of the locations of their records, with ids.
    std::chrono::milliseconds turnLocationRetention{300000}; // Retention of records in the store.
};

struct parsed_gateway_settings
{
    gateway_settings value; // Valid only if there are no errors.
    std::vector<settings_error> errors;
};

// Rejects unknown keys, wrong types and values out of range. Does not throw.
[[nodiscard]] parsed_gateway_settings parseGatewaySettings(std::string_view text, const std::string &file);
// Returns whether the text contains settings of a daemon on the platform, recognised by a table [listen].
[[nodiscard]] bool isGatewaySettings(std::string_view text);

} // namespace jackdawpick
