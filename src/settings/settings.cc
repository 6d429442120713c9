#include "settings/settings.h"

#include "results/results.h"
#include "scheduler/scheduler_options.h"
#include "toml_text/toml_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <iterator>
#include <variant>

namespace jackdawpick
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

using setting_member =
    std::variant<std::string daemon_settings::*, std::uint16_t daemon_settings::*, std::uint32_t daemon_settings::*,
                 std::uint64_t daemon_settings::*, milliseconds daemon_settings::*, seconds daemon_settings::*>;

// What a string must look like. Numbers are checked by their range alone.
enum class text_form : std::uint8_t {
    None,
    DaemonName,
    ZoneName,
    IpNumber,
    Address,
    LogLevel,
    Secret,
    OrderPolicy,
    RoutingPolicy,
    AdmissionPolicy,
};

struct setting_row
{
    std::string_view table;
    std::string_view name;
    setting_member member;
    std::string_view unit;
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
    text_form form = text_form::None;
    bool required = false;
    std::string_view meaning;
};

using row = setting_row;
using settings_type = daemon_settings;

// Bounds with a reason beyond plausibility:
//  - names: a heartbeat with name and zone stays near 100 bytes;
//  - http.max_body_bytes: a forwarded call must fit a peer frame of 16 MiB;
//  - polls of configuration, ownership and host list: changes are in force and leaving hosts known within 3 s;
//  - log.retention_ms: state is rewritten within half of it, which takes several commits.
constexpr std::array settingTable{
    row{"daemon", "name", &settings_type::name, "-", 1, 32, text_form::DaemonName, true,
        "Name of this daemon, unique among all daemons."},
    row{"daemon", "zone", &settings_type::zone, "-", 1, 32, text_form::ZoneName, true,
        "Availability zone of this daemon's host."},
    row{"daemon", "listen_address", &settings_type::listenAddress, "-", 0, 0, text_form::IpNumber, false,
        "IP number that all ports listen on."},
    row{"daemon", "http_port", &settings_type::httpPort, "port", 0, 65535, text_form::None, false,
        "Port for callers; 0 lets the system choose."},
    row{"daemon", "admin_port", &settings_type::adminPort, "port", 0, 65535, text_form::None, false,
        "Port for operators; 0 lets the system choose."},
    row{"daemon", "peer_port", &settings_type::peerPort, "port", 0, 65535, text_form::None, false,
        "Port for other daemons; 0 lets the system choose."},
    row{"daemon", "advertised_http", &settings_type::advertisedHttp, "-", 0, 0, text_form::Address, false,
        "Address that callers are told; empty takes the listen address and port."},
    row{"daemon", "advertised_peer", &settings_type::advertisedPeer, "-", 0, 0, text_form::Address, false,
        "Address that other daemons are told; empty takes the listen address and port."},
    row{"daemon", "log_level", &settings_type::logLevel, "-", 0, 0, text_form::LogLevel, false,
        "Lowest level of log lines at start; changed while running by jackdawpickctl log-level."},
    row{"platform", "log_address", &settings_type::logAddress, "-", 0, 0, text_form::Address, true,
        "Address of the log service."},
    row{"platform", "host_list_address", &settings_type::hostListAddress, "-", 0, 0, text_form::Address, true,
        "Address of the host list."},
    row{"platform", "weight_store_address", &settings_type::weightStoreAddress, "-", 0, 0, text_form::Address, false,
        "Address of the weight store; empty where engines load weights by themselves."},
    row{"log", "appends_per_second", &settings_type::appendsPerSecond, "1/s", 1, 100000, text_form::None, false,
        "Share of the log's appends for all daemons together."},
    row{"log", "retention_ms", &settings_type::retention, "ms", 10000, 2592000000, text_form::None, false,
        "Time after which the log drops records; set it to what the log service is configured to."},
    row{"log", "timeout_ms", &settings_type::logTimeout, "ms", 10, 60000, text_form::None, false,
        "Bound on one request to the log; at most half the retention."},
    row{"log", "configuration_poll_ms", &settings_type::configurationPoll, "ms", 10, 3000, text_form::None, false,
        "Interval of reading the configuration stream."},
    row{"log", "ownership_poll_ms", &settings_type::ownershipPoll, "ms", 10, 3000, text_form::None, false,
        "Interval of reading the ownership stream."},
    row{"log", "max_buffered_bytes", &settings_type::maxBufferedBytes, "bytes", 65536, 67108864, text_form::None, false,
        "Records waiting for the log; when full, new calls are refused as not run. At least http.max_body_bytes."},
    row{"log", "receipt_key", &settings_type::receiptKey, "-", 16, 256, text_form::Secret, false,
        "Secret of all daemons that signs receipts during an outage of the log; empty turns receipts off."},
    row{"http", "max_body_bytes", &settings_type::maxBodyBytes, "bytes", 1024, 15728640, text_form::None, false,
        "Largest request body."},
    row{"http", "max_connections", &settings_type::maxConnections, "connections", 1, 65536, text_form::None, false,
        "Most open connections of callers."},
    row{"http", "request_timeout_ms", &settings_type::requestTimeout, "ms", 100, 600000, text_form::None, false,
        "Time in which the whole request must arrive."},
    row{"endpoints", "host_list_poll_ms", &settings_type::hostListPoll, "ms", 10, 3000, text_form::None, false,
        "Interval of reading the host list."},
    row{"endpoints", "load_poll_ms", &settings_type::loadPoll, "ms", 10, 60000, text_form::None, false,
        "Interval of asking each engine for its load."},
    row{"endpoints", "cache_event_poll_ms", &settings_type::cacheEventPoll, "ms", 10, 60000, text_form::None, false,
        "Interval of reading each engine's cache events."},
    row{"endpoints", "silence_ms", &settings_type::silence, "ms", 100, 600000, text_form::None, false,
        "An endpoint's connection without a byte for this long is given up."},
    row{"endpoints", "max_attempts", &settings_type::maxAttempts, "attempts", 1, 10, text_form::None, false,
        "Attempts of an idempotent call, the first included."},
    row{"membership", "neighbours_each_side", &settings_type::neighboursEachSide, "daemons", 1, 16, text_form::None,
        false, "Neighbours on each side of the ring that get heartbeats."},
    row{"membership", "heartbeat_interval_ms", &settings_type::heartbeatInterval, "ms", 10, 60000, text_form::None,
        false, "Interval of heartbeats."},
    row{"membership", "suspect_after_ms", &settings_type::suspectAfter, "ms", 20, 600000, text_form::None, false,
        "A neighbour silent for this long is suspected; above the heartbeat interval."},
    row{"membership", "entry_keep_s", &settings_type::entryKeep, "s", 1, 3600, text_form::None, false,
        "Time for which callers may keep a list of entry addresses."},
    row{"drain", "bound_ms", &settings_type::drainBound, "ms", 0, 3600000, text_form::None, false,
        "Longest time that a drain waits for calls in flight."},
    row{"scheduler", "order", &settings_type::order, "-", 0, 0, text_form::OrderPolicy, false,
        "Policy that orders waiting calls."},
    row{"scheduler", "routing", &settings_type::routing, "-", 0, 0, text_form::RoutingPolicy, false,
        "Policy that chooses the endpoint."},
    row{"scheduler", "admission", &settings_type::admission, "-", 0, 0, text_form::AdmissionPolicy, false,
        "Policy that refuses calls."},
};

std::string dotted(const setting_row &key)
{
    return fmt::format("{}.{}", key.table, key.name);
}

// The names that a string of this form chooses from; empty for free text.
std::vector<std::string_view> choicesOf(text_form form)
{
    std::vector<std::string_view> names;
    const auto take = [&names](const auto &table) {
        std::ranges::transform(table, std::back_inserter(names), [](const auto &entry) { return entry.first; });
    };
    switch (form) {
    case text_form::LogLevel:
        return {"debug", "info", "warning", "error"};
    case text_form::OrderPolicy:
        take(orderNames);
        break;
    case text_form::RoutingPolicy:
        take(routingNames);
        break;
    case text_form::AdmissionPolicy:
        take(admissionNames);
        break;
    default:
        break;
    }
    return names;
}

bool consistsOf(std::string_view text, std::string_view furtherCharacters)
{
    return std::ranges::all_of(text, [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || furtherCharacters.find(c) != std::string_view::npos;
    });
}

std::optional<std::uint32_t> decimal(std::string_view text, std::uint32_t highest)
{
    std::uint32_t value = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    return failure == std::errc{} && stop == end && value <= highest && !leadingZero ? std::optional(value)
                                                                                     : std::nullopt;
}

bool isIpNumber(std::string_view text)
{
    int parts = 0;
    while (true) {
        const auto dot = text.find('.');
        if (!decimal(text.substr(0, dot), 255)) {
            return false;
        }
        ++parts;
        if (dot == std::string_view::npos) {
            return parts == 4;
        }
        text.remove_prefix(dot + 1);
    }
}

bool isAddress(std::string_view text)
{
    const auto colon = text.find(':');
    return colon != std::string_view::npos && isIpNumber(text.substr(0, colon))
        && decimal(text.substr(colon + 1), 65535).value_or(0) > 0;
}

// What a value of the row must be; also the range column of the documentation.
std::string rangeOf(const setting_row &key)
{
    switch (key.form) {
    case text_form::None:
        return fmt::format("an integer from {} to {}", key.lowest, key.highest);
    case text_form::DaemonName:
        return fmt::format("{} to {} letters, digits, '-' or '_'", key.lowest, key.highest);
    case text_form::ZoneName:
        return fmt::format("{} to {} letters, digits, '-', '_' or '.'", key.lowest, key.highest);
    case text_form::IpNumber:
        return "an IPv4 number";
    case text_form::Address:
        return key.required ? "an address \"ip:port\"" : "an address \"ip:port\" or empty";
    case text_form::LogLevel:
    case text_form::OrderPolicy:
    case text_form::RoutingPolicy:
    case text_form::AdmissionPolicy:
        return fmt::format("one of {}", fmt::join(choicesOf(key.form), ", "));
    case text_form::Secret:
        return fmt::format("{} to {} characters or empty", key.lowest, key.highest);
    }
    return {};
}

bool fits(const setting_row &key, const std::string &text)
{
    const auto length = static_cast<std::int64_t>(text.size());
    const bool fitsLength = length >= key.lowest && length <= key.highest;
    switch (key.form) {
    case text_form::None:
        return true;
    case text_form::DaemonName:
        return fitsLength && consistsOf(text, "-_");
    case text_form::ZoneName:
        return fitsLength && consistsOf(text, "-_.");
    case text_form::IpNumber:
        return isIpNumber(text);
    case text_form::Address:
        return (text.empty() && !key.required) || isAddress(text);
    case text_form::LogLevel:
    case text_form::OrderPolicy:
    case text_form::RoutingPolicy:
    case text_form::AdmissionPolicy: {
        const auto choices = choicesOf(key.form);
        return std::ranges::find(choices, text) != choices.end();
    }
    case text_form::Secret:
        return text.empty() || fitsLength;
    }
    return false;
}

// Parses one text; collects the line of each key for the contradictions.
class settings_reader
{
public:
    explicit settings_reader(const std::string &file)
        : m_file(file)
    {
    }

    parsed_settings read(std::string_view text)
    {
        if (const auto root = parseToml(text, m_errors)) {
            readTables(*root);
            checkContradictions();
        }
        parsed_settings result;
        result.value = std::move(m_value);
        std::ranges::stable_sort(m_errors, {}, &toml_error::line);
        for (auto &problem : m_errors) {
            result.errors.push_back({m_file, problem.line, std::move(problem.key), std::move(problem.expected)});
        }
        return result;
    }

private:
    void readTables(const toml_node &root)
    {
        table_reader top(root, "", m_errors);
        const toml_node missing{toml_node::table{}, 0};
        for (auto first = settingTable.begin(); first != settingTable.end();) {
            const auto last = std::find_if(first, settingTable.end(),
                                           [&](const setting_row &key) { return key.table != first->table; });
            const toml_node *table = top.table(first->table);
            if (table != nullptr || !top.has(first->table)) {
                table_reader reader(table != nullptr ? *table : missing, std::string(first->table), m_errors);
                std::for_each(first, last, [&](const setting_row &key) { readKey(reader, key); });
                reader.finish();
            }
            first = last;
        }
        top.finish();
    }

    void readKey(table_reader &reader, const setting_row &key)
    {
        if (!reader.has(key.name)) {
            if (key.required) {
                m_errors.push_back({dotted(key), 0, fmt::format("expected {}", rangeOf(key))});
            }
            return;
        }
        m_lines[dotted(key)] = reader.lineOf(key.name);
        std::visit([&](auto member) { assign(reader, key, m_value.*member); }, key.member);
    }

    void assign(table_reader &reader, const setting_row &key, std::string &target)
    {
        auto value = reader.text(key.name);
        if (!value) {
            return;
        }
        if (!fits(key, *value)) {
            m_errors.push_back({dotted(key), reader.lineOf(key.name), fmt::format("expected {}", rangeOf(key))});
            return;
        }
        target = std::move(*value);
    }

    template<typename T> void assign(table_reader &reader, const setting_row &key, T &target)
    {
        if (const auto value = reader.integer(key.name, key.lowest, key.highest)) {
            target = static_cast<T>(*value);
        }
    }

    // Errors of two keys together, reported at the first of them that the text sets.
    void contradiction(const std::vector<std::string> &keys, std::string expected)
    {
        const auto isSet = [this](const std::string &key) {
            return m_lines.contains(key);
        };
        const auto hasError = [this](const std::string &key) {
            return std::ranges::find(m_errors, key, &toml_error::key) != m_errors.end();
        };
        if (std::ranges::any_of(keys, hasError)) {
            return;
        }
        const auto found = std::ranges::find_if(keys, isSet);
        const std::string &key = found != keys.end() ? *found : keys.front();
        m_errors.push_back({key, found != keys.end() ? m_lines[key] : 0, std::move(expected)});
    }

    void checkContradictions()
    {
        const auto &v = m_value;
        const auto samePort = [](std::uint16_t one, std::uint16_t two) {
            return one == two && one != 0;
        };
        if (samePort(v.httpPort, v.adminPort)) {
            contradiction({"daemon.admin_port", "daemon.http_port"}, "expected different ports for all interfaces");
        }
        if (samePort(v.httpPort, v.peerPort)) {
            contradiction({"daemon.peer_port", "daemon.http_port"}, "expected different ports for all interfaces");
        }
        if (samePort(v.adminPort, v.peerPort)) {
            contradiction({"daemon.peer_port", "daemon.admin_port"}, "expected different ports for all interfaces");
        }
        if (v.suspectAfter <= v.heartbeatInterval) {
            contradiction({"membership.suspect_after_ms", "membership.heartbeat_interval_ms"},
                          "expected membership.suspect_after_ms above membership.heartbeat_interval_ms");
        }
        if (v.logTimeout > v.retention / 2) {
            contradiction({"log.timeout_ms", "log.retention_ms"},
                          "expected log.timeout_ms to be at most half of log.retention_ms");
        }
        if (v.maxBufferedBytes < v.maxBodyBytes) {
            contradiction({"log.max_buffered_bytes", "http.max_body_bytes"},
                          "expected log.max_buffered_bytes to be at least http.max_body_bytes, the largest record");
        }
        if (v.listenAddress == "0.0.0.0") {
            if (v.advertisedHttp.empty()) {
                contradiction({"daemon.advertised_http"},
                              "expected an address, since daemon.listen_address is not one that others can use");
            }
            if (v.advertisedPeer.empty()) {
                contradiction({"daemon.advertised_peer"},
                              "expected an address, since daemon.listen_address is not one that others can use");
            }
        }
    }

    const std::string &m_file;
    daemon_settings m_value;
    toml_errors m_errors;
    std::map<std::string, std::uint32_t> m_lines;
};

std::string defaultOf(const setting_row &key)
{
    static const daemon_settings defaults;
    if (key.required) {
        return "required";
    }
    return std::visit(
        [](auto member) {
            const auto &value = defaults.*member;
            if constexpr (requires { value.count(); }) {
                return fmt::format("{}", value.count());
            } else if constexpr (requires { value.empty(); }) {
                return value.empty() ? std::string("empty") : value;
            } else {
                return fmt::format("{}", value);
            }
        },
        key.member);
}

} // namespace

parsed_settings parseSettings(std::string_view text, const std::string &file)
{
    return settings_reader(file).read(text);
}

parsed_settings loadSettings(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (!stream.is_open() || stream.bad()) {
        throw error(result_code::SettingsInvalid, fmt::format("{}: cannot be read", file));
    }
    return parseSettings(text, file);
}

std::string toString(const settings_error &problem)
{
    const std::string line = problem.line > 0 ? fmt::format(":{}", problem.line) : "";
    const std::string key = problem.key.empty() ? "" : problem.key + ": ";
    return fmt::format("{}{}: {}{} (code {})", problem.file, line, key, problem.expected,
                       static_cast<unsigned>(result_code::SettingsInvalid));
}

std::vector<settings_key> settingsKeys()
{
    std::vector<settings_key> keys;
    std::ranges::transform(settingTable, std::back_inserter(keys), [](const setting_row &key) {
        return settings_key{dotted(key), std::string(key.unit), defaultOf(key), rangeOf(key), std::string(key.meaning)};
    });
    return keys;
}

} // namespace jackdawpick
