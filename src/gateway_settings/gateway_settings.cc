#include "gateway_settings/gateway_settings.h"

#include "logging/logging.h"
#include "results/results.h"
#include "toml_text/toml_text.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace jackdawpick
{

namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t maxTopics = 90; // The platform allows 100; the rest is left for the keyed topics.

bool isSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    unsigned port = 0;
    const auto digits = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    constexpr unsigned maxPort = 65535;
    return failure == std::errc() && end == digits.data() + digits.size() && port > 0 && port <= maxPort;
}

// Reads one table of the settings and records its errors.
class section
{
public:
    section(table_reader &root, const toml_node &empty, std::string_view name, toml_errors &errors)
        : m_errors(errors)
        , m_reader(find(root, empty, name), std::string(name), errors)
    {
    }

    void text(std::string_view key, std::string &out, bool required)
    {
        if (auto value = m_reader.text(key); value.has_value()) {
            out = std::move(*value);
        } else if (required && !m_reader.has(key)) {
            addError(key, "a text");
        }
    }

    void address(std::string_view key, std::string &out, bool required)
    {
        text(key, out, required);
        if (!out.empty() && !isSocketAddress(out)) {
            addError(key, "an address such as \"10.0.0.1:8080\"");
        }
    }

    template<typename T> void number(std::string_view key, T &out, std::int64_t min, std::int64_t max)
    {
        if (const auto value = m_reader.integer(key, min, max); value.has_value()) {
            out = static_cast<T>(*value);
        }
    }

    void duration(std::string_view key, milliseconds &out, milliseconds min, milliseconds max)
    {
        if (const auto value = m_reader.integer(key, min.count(), max.count()); value.has_value()) {
            out = milliseconds(*value);
        }
    }

    void fraction(std::string_view key, double &out, double min, double max)
    {
        if (const auto value = m_reader.number(key); value.has_value()) {
            if (*value >= min && *value <= max) {
                out = *value;
            } else {
                addError(key, fmt::format("a number from {} to {}", min, max));
            }
        }
    }

    void boolean(std::string_view key, bool &out)
    {
        out = m_reader.boolean(key).value_or(out);
    }

    void addError(std::string_view key, std::string expected)
    {
        m_errors.push_back({m_reader.pathOf(key), m_reader.lineOf(key), std::move(expected)});
    }

    void finish()
    {
        m_reader.finish();
    }

private:
    static const toml_node &find(table_reader &root, const toml_node &empty, std::string_view name)
    {
        const auto *found = root.table(name);
        return found == nullptr ? empty : *found;
    }

    toml_errors &m_errors;
    table_reader m_reader;
};

void readSections(table_reader &root, gateway_settings &value, toml_errors &errors)
{
    const toml_node empty{.value = toml_node::table()};
    section daemon(root, empty, "daemon", errors);
    daemon.text("name", value.name, true);
    daemon.text("zone", value.zone, true);
    daemon.text("log_level", value.logLevel, false);
    if (!logLevelFromName(value.logLevel).has_value()) {
        daemon.addError("log_level", "debug, info, warning or error");
    }
    daemon.finish();

    section listen(root, empty, "listen", errors);
    listen.address("callers", value.callers, true);
    listen.address("directory", value.directory, true);
    listen.address("readiness", value.readiness, true);
    listen.address("peers", value.peers, true);
    listen.address("metrics", value.metrics, false);
    listen.finish();

    section store(root, empty, "store", errors);
    store.address("address", value.storeAddress, true);
    store.number("parts_per_topic", value.partsPerTopic, 1, 1024);
    store.number("program_topics", value.programTopics, 1, maxTopics);
    store.number("turn_topics", value.turnTopics, 1, maxTopics);
    if (value.programTopics + value.turnTopics > maxTopics) {
        store.addError("turn_topics", fmt::format("at most {} together with program_topics", maxTopics));
    }
    store.finish();

    section endpoints(root, empty, "endpoints", errors);
    endpoints.duration("heartbeat_interval_ms", value.endpointHeartbeat, milliseconds(10), milliseconds(60000));
    endpoints.finish();

    section callers(root, empty, "callers", errors);
    callers.duration("directory_life_ms", value.directoryLifetime, milliseconds(100), milliseconds(60000));
    callers.number("max_body_bytes", value.maxBodyBytes, 1024, 64 << 20);
    callers.number("max_connections", value.maxConnections, 16, 65536);
    callers.finish();

    section host(root, empty, "host", errors);
    constexpr std::int64_t maxMemoryMegabytes = 1 << 20;
    std::uint64_t memoryMegabytes = 0;
    host.number("memory_mb", memoryMegabytes, 0, maxMemoryMegabytes);
    value.hostMemoryBytes = memoryMegabytes << 20U;
    host.number("file_descriptors", value.fileDescriptors, 0, 1 << 24);
    host.finish();

    section revocation(root, empty, "revocation", errors);
    revocation.boolean("strict", value.strictRevocation);
    revocation.duration("timeout_ms", value.revocationTimeout, milliseconds(500), milliseconds(3600000));
    revocation.finish();

    section quotas(root, empty, "quotas", errors);
    constexpr double maxWindowSeconds = 3600;
    constexpr double maxSlack = 1e6;
    std::chrono::duration<double> window = value.quotaWindow;
    double windowSeconds = window.count();
    quotas.fraction("window_s", windowSeconds, 0.1, maxWindowSeconds);
    window = std::chrono::duration<double>(windowSeconds);
    value.quotaWindow = std::chrono::duration_cast<milliseconds>(window);
    quotas.fraction("overrun", value.quotaOverrun, 0, 1);
    quotas.fraction("slack", value.quotaSlack, 0, maxSlack);
    quotas.finish();

    section shutdown(root, empty, "shutdown", errors);
    shutdown.duration("limit_ms", value.shutdownTimeout, milliseconds(1000), milliseconds(600000));
    shutdown.finish();

    section turns(root, empty, "turns", errors);
    turns.number("cache_bytes", value.turnCacheBytes, 0, 1 << 30);
    turns.number("chain_bytes", value.turnChainBytes, 1 << 16, 1 << 30);
    turns.duration("retention_ms", value.turnLocationRetention, milliseconds(1000), milliseconds(86400000));
    turns.finish();
}

} // namespace

parsed_gateway_settings parseGatewaySettings(std::string_view text, const std::string &file)
{
    parsed_gateway_settings result;
    toml_errors errors;
    if (const auto root = parseToml(text, errors); root.has_value()) {
        table_reader reader(*root, "", errors);
        readSections(reader, result.value, errors);
        reader.finish();
    }
    std::ranges::transform(errors, std::back_inserter(result.errors), [&file](const toml_error &problem) {
        return settings_error{.file = file, .line = problem.line, .key = problem.key, .expected = problem.expected};
    });
    return result;
}

bool isGatewaySettings(std::string_view text)
{
    return text.starts_with("[listen]") || text.find("\n[listen]") != std::string_view::npos;
}

} // namespace jackdawpick
