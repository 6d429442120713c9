#include "platform/servers.h"

#include "results/results.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

template<typename T> T fieldOf(const json &value, const char *name, const T &otherwise)
{
    const auto found = value.find(name);
    if (found == value.end()) {
        return otherwise;
    }
    try {
        return found->get<T>();
    } catch (const json::exception &) {
        throw error(result_code::MalformedRequest, fmt::format("host: {}: value of the wrong type", name));
    }
}

std::vector<host_entry> hostsFromJson(const json &value)
{
    std::vector<host_entry> hosts;
    for (const auto &entry : value.value("hosts", json::array())) {
        hosts.push_back(hostFromJson(entry));
    }
    return hosts;
}

} // namespace

json toJson(const host_entry &host)
{
    json result{{"name", host.name},
                {"address", host.address},
                {"kind", nameOf(host.kind)},
                {"pool", host.pool},
                {"zone", host.zone},
                {"state", host.leaving ? "leaving" : "live"},
                {"checks_fencing", host.checksFencing},
                {"slots", host.slots}};
    if (host.kind == host_kind::Daemon) {
        result["http_address"] = host.address;
        result["peer_address"] = host.peerAddress;
    }
    return result;
}

host_entry hostFromJson(const json &value)
{
    if (!value.is_object()) {
        throw error(result_code::MalformedRequest, "host: expected an object");
    }
    host_entry host;
    host.name = fieldOf<std::string>(value, "name", "");
    const auto kind = hostKindFromName(fieldOf<std::string>(value, "kind", "engine"));
    if (host.name.empty() || !kind) {
        throw error(result_code::MalformedRequest, "host: expected a name and kind daemon, engine or service");
    }
    host.kind = *kind;
    host.address = fieldOf<std::string>(value, "http_address", fieldOf<std::string>(value, "address", ""));
    host.peerAddress = fieldOf<std::string>(value, "peer_address", "");
    host.pool = fieldOf<std::string>(value, "pool", "");
    host.zone = fieldOf<std::string>(value, "zone", "");
    host.leaving = fieldOf<std::string>(value, "state", "live") == "leaving";
    host.checksFencing = fieldOf<bool>(value, "checks_fencing", false);
    host.slots = fieldOf<std::uint32_t>(value, "slots", 0);
    return host;
}

host_server::host_server(net::loop &loop, const clock_source &clock, const host_options &options, std::string file)
    : m_clock(clock)
    , m_model(options)
    , m_server(loop, m_model.faults())
    , m_file(std::move(file))
{
    m_server.onRequest([this](const net::http_request &request) { receive(request); });
    if (!m_file.empty()) {
        readFile();
        loop.every(std::chrono::milliseconds(500), [this] { readFile(); });
    }
}

std::string host_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

fault_table &host_server::faults()
{
    return m_model.faults();
}

void host_server::readFile()
{
    std::ifstream input(m_file);
    std::string text{std::istreambuf_iterator<char>(input), {}};
    const json parsed = json::parse(text, nullptr, false);
    // A file that is just being written does not parse; it is read again at the next turn.
    if (text == m_fileText || !parsed.is_object()) {
        return;
    }
    m_model.replace(hostsFromJson(parsed), m_clock.now());
    m_fileText = std::move(text);
}

void host_server::receive(const net::http_request &request)
{
    if (request.method == "GET" && request.path == "/hosts") {
        if (m_model.faults().isOn("hang")) {
            return;
        }
        if (m_model.faults().isOn("outage")) {
            m_server.refuse(request.id, 503, "outage", std::chrono::seconds(1));
            return;
        }
        json hosts = json::array();
        for (const auto &host : m_model.visible(m_clock.now())) {
            hosts.push_back(toJson(host));
        }
        m_server.answer(request.id, 200, {{"hosts", hosts}});
        return;
    }
    try {
        if (request.method != "POST" || !change(request)) {
            m_server.notFound(request);
            return;
        }
        m_server.answer(request.id, 200, {{"ok", true}});
    } catch (const error &problem) {
        m_server.answer(request.id, 400, {{"error", problem.what()}});
    }
}

// False if there is no such call or no such host.
bool host_server::change(const net::http_request &request)
{
    const json body = objectOf(request.body);
    const auto now = m_clock.now();
    if (request.path == "/admin/hosts") {
        m_model.replace(hostsFromJson(body), now);
    } else if (request.path == "/admin/host") {
        m_model.put(hostFromJson(body), now);
    } else if (request.path == "/admin/host/state") {
        const bool leaving = fieldOf<std::string>(body, "state", "live") == "leaving";
        return m_model.setLeaving(fieldOf<std::string>(body, "name", ""), leaving, now);
    } else if (request.path == "/admin/host/remove") {
        m_model.remove(fieldOf<std::string>(body, "name", ""), now);
    } else {
        return false;
    }
    return true;
}

} // namespace jackdawpick::standins
