// Stand-ins for the scripts of the second review: the platform's store, servers, clients, and the daemons as processes.
//
// Everything runs on loopback addresses and the real clock. Each case includes this file and has its own main().
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const steady::time_point startedAt = steady::now();

inline void sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// ---- Record ----

// What was sent, answered and run; written to the file that the environment variable RECORD names.
inline void note(const std::string &line)
{
    static std::mutex mutex;
    static std::ofstream file(std::getenv("RECORD") != nullptr ? std::getenv("RECORD") : "/dev/null");
    const std::lock_guard lock(mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", std::chrono::duration<double>(steady::now() - startedAt).count());
    file << time << line << std::endl;
}

inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- The end of a case ----

struct process_list
{
    std::mutex mutex;
    std::set<pid_t> pids; // Of the daemons that run.
    std::set<std::filesystem::path> folders; // To be removed.
};

inline process_list &processes()
{
    static process_list list;
    return list;
}

// Ends all daemons and this process with the result, without waiting for the threads of the stand-ins.
[[noreturn]] inline void finish(int result)
{
    note("result " + std::to_string(result));
    auto &list = processes();
    const std::lock_guard lock(list.mutex);
    for (const auto pid : list.pids) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    for (const auto &folder : list.folders) {
        if (std::getenv("KEEP_LOGS") != nullptr) {
            std::fprintf(stderr, "logs: %s\n", folder.c_str());
        } else {
            std::filesystem::remove_all(folder);
        }
    }
    std::_Exit(result);
}

// The case could not run.
[[noreturn]] inline void cannotRun(const std::string &why)
{
    note("cannot run: " + why);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    finish(2);
}

// ---- HTTP/1.1 over blocking sockets ----

struct message
{
    std::string first; // Request or status line.
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::string body;
    bool complete = false; // The body is whole.

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    std::string word(std::size_t index) const
    {
        std::istringstream words(first);
        std::string result;
        for (std::size_t i = 0; i <= index && words >> result; ++i) { }
        return result;
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

class connection
{
public:
    explicit connection(int socket = -1)
        : m_socket(socket)
    {
    }
    ~connection()
    {
        close();
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool open(const std::string &address, int receiveSeconds = 15)
    {
        close();
        m_buffer.clear();
        const auto colon = address.rfind(':');
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &where.sin_addr);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{.tv_sec = receiveSeconds, .tv_usec = 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (::connect(m_socket, reinterpret_cast<sockaddr *>(&where), sizeof(where)) != 0) {
            close();
            return false;
        }
        return true;
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
        m_socket = -1;
    }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    // Reads what is there; returns false at the end of the connection or after the time limit.
    bool fill()
    {
        char bytes[65536];
        const auto count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    // Bytes that arrive within the time, beyond the last message.
    std::string leftover(std::chrono::milliseconds time)
    {
        const timeval limit{.tv_sec = time.count() / 1000, .tv_usec = time.count() % 1000 * 1000};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        while (fill()) { }
        const timeval usual{.tv_sec = 15, .tv_usec = 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &usual, sizeof(usual));
        return m_buffer;
    }
    // Reads a request, or the response to a request with this method; nothing if there is no whole head.
    std::optional<message> read(bool isRequest, const std::string &method = "GET")
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        if (!isRequest && !m_buffer.starts_with("HTTP/")) { // Bytes that are no answer.
            return message{.first = m_buffer.substr(0, m_buffer.find("\r\n"))};
        }
        message result;
        std::istringstream lines(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        result.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1, line.find('\r') - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            result.headers.emplace_back(name, value);
        }
        const int status = isRequest ? 0 : result.status();
        const bool bodiless = !isRequest && (method == "HEAD" || status == 204 || status == 304 || status / 100 == 1);
        if (bodiless) {
            result.complete = true;
        } else if (result.header("transfer-encoding") == "chunked") {
            readChunks(result);
        } else if (const auto length = result.header("content-length"); !length.empty()) {
            const auto size = std::stoul(length);
            while (m_buffer.size() < size && fill()) { }
            result.complete = m_buffer.size() >= size;
            result.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
        } else if (isRequest) {
            result.complete = true;
        } else {
            while (fill()) { }
            result.body = std::exchange(m_buffer, {});
            result.complete = true;
        }
        return result;
    }

private:
    void readChunks(message &result)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return;
                }
            }
            const auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill()) {
                    result.body += m_buffer.substr(std::min(m_buffer.size(), end + 2));
                    return;
                }
            }
            result.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                result.complete = true;
                return;
            }
        }
    }

    int m_socket;
    std::string m_buffer;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline std::string requestText(const std::string &method, const std::string &target, const header_list &headers,
                               const std::string &body = {})
{
    auto text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline std::string responseText(int status, const header_list &headers, const std::string &body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves connections with a thread each. The handler answers on the connection and returns whether it stays open.
class server
{
public:
    using handler = std::function<bool(const message &, connection &)>;

    server(const std::string &ip, handler handle)
        : m_handle(std::move(handle))
        , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
        socklen_t size = sizeof(where);
        if (::bind(m_socket, reinterpret_cast<sockaddr *>(&where), size) != 0 || ::listen(m_socket, 512) != 0
            || ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&where), &size) != 0) {
            cannotRun("no port for a stand-in");
        }
        m_address = ip + ":" + std::to_string(ntohs(where.sin_port));
        std::thread([this] { accept(); }).detach();
    }
    const std::string &address() const
    {
        return m_address;
    }

private:
    void accept()
    {
        for (int socket = 0; (socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, socket] {
                connection link(socket);
                for (auto request = link.read(true); request.has_value() && request->complete;
                     request = link.read(true)) {
                    if (!m_handle(*request, link)) {
                        return;
                    }
                }
            }).detach();
        }
    }

    handler m_handle;
    int m_socket;
    std::string m_address;
};

// ---- The platform's store ----

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "=")) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
    }
    return {};
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes; i-- > 0;) {
        text += static_cast<char>(value >> (8 * i));
    }
    return text;
}

inline std::string base64(const std::string &text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= text.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return result;
}

// As PROTOCOL.md describes it; acknowledges an append when it is done.
class store
{
public:
    explicit store(const std::string &ip)
        : m_server(ip, [this](const message &request, connection &link) { return handle(request, link); })
    {
    }
    const std::string &address() const
    {
        return m_server.address();
    }
    // Writes a record of the operator or of a server; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_partitions[{topic, "0"}].records.push_back(static_cast<char>(key.size()) + key + value);
        m_changed.notify_all();
    }
    // Called with each call before it is served; returns false to refuse it with 503.
    std::function<bool(const message &)> admits = [](const message &) {
        return true;
    };

private:
    struct partition
    {
        std::uint64_t first = 0;
        std::vector<std::string> records; // From `first` on.
        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    bool handle(const message &request, connection &link)
    {
        if (!admits(request)) {
            return link.send(responseText(503, {}, ""));
        }
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        if (path == "/log-append") {
            return link.send(append(request, target));
        }
        if (path == "/log-read") {
            return link.send(read(target));
        }
        if (path == "/log-newest") {
            return link.send(newest(target));
        }
        if (path == "/log-trim") {
            return link.send(trim(request));
        }
        return link.send(responseText(404, {}, ""));
    }
    static std::string jsonResponse(int status, const json &body)
    {
        return responseText(status, {{"Content-Type", "application/json"}}, body.dump());
    }
    partition &at(const std::string &target)
    {
        return m_partitions[{queryValue(target, "topic"), queryValue(target, "part")}];
    }
    std::string append(const message &request, const std::string &target)
    {
        const auto topic = queryValue(target, "topic");
        if (topic == "keyed.op" || topic == "keyed.servers") {
            return responseText(403, {}, "");
        }
        sleepFor(2ms);
        const std::lock_guard lock(m_mutex);
        auto &where = at(target);
        const auto expected = queryValue(target, "at");
        if (!expected.empty() && std::stoull(expected) != where.end()) {
            return jsonResponse(412, {{"end", where.end()}});
        }
        const auto offset = where.end();
        for (std::size_t i = 0; i + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (int j = 0; j < 4; ++j) {
                length = length << 8 | static_cast<unsigned char>(request.body[i + j]);
            }
            where.records.push_back(request.body.substr(i + 4, length));
            i += 4 + length;
        }
        m_changed.notify_all();
        return jsonResponse(200, {{"offset", offset}, {"end", where.end()}});
    }
    std::string read(const std::string &target)
    {
        const auto from = std::stoull(queryValue(target, "from"));
        const auto wait = queryValue(target, "wait_ms");
        const auto most = queryValue(target, "max_read_kb");
        const std::size_t bytes = (most.empty() ? 1024 : std::stoul(most)) * 1024;
        std::unique_lock lock(m_mutex);
        const auto arrived = [&] {
            return at(target).end() > from || from < at(target).first;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoul(wait)), arrived);
        const auto &where = at(target);
        if (from < where.first) {
            return jsonResponse(410, {{"first", where.first}});
        }
        auto body = bigEndian(where.end(), 8) + bigEndian(where.first, 8);
        for (auto offset = from; offset < where.end(); ++offset) {
            const auto &record = where.records[offset - where.first];
            if (body.size() + record.size() + 4 > bytes) {
                break;
            }
            body += bigEndian(record.size(), 4) + record;
        }
        return responseText(200, {}, body);
    }
    std::string newest(const std::string &target)
    {
        const std::lock_guard lock(m_mutex);
        const auto &where = at(target);
        std::map<std::string, std::pair<std::string, std::uint64_t>> values;
        for (std::size_t i = 0; i < where.records.size(); ++i) {
            const auto &record = where.records[i];
            const auto length = static_cast<unsigned char>(record[0]);
            values[record.substr(1, length)] = {record.substr(1 + length), where.first + i};
        }
        json items = json::array();
        bool more = false;
        for (auto item = values.upper_bound(queryValue(target, "after")); item != values.end(); ++item) {
            if (item->second.first.empty()) {
                continue;
            }
            if (items.size() >= 500) {
                more = true;
                break;
            }
            items.push_back(
                {{"key", item->first}, {"value", base64(item->second.first)}, {"offset", item->second.second}});
        }
        return jsonResponse(200, {{"items", items}, {"more", more}, {"end", where.end()}});
    }
    std::string trim(const message &request)
    {
        const auto body = json::parse(request.body);
        const std::lock_guard lock(m_mutex);
        auto &where = m_partitions[{body.at("topic"), std::to_string(body.at("part").get<int>())}];
        const auto before = std::min(body.at("before").get<std::uint64_t>(), where.end());
        if (before > where.first) {
            where.records.erase(where.records.begin(),
                                where.records.begin() + static_cast<std::ptrdiff_t>(before - where.first));
            where.first = before;
        }
        return responseText(200, {}, "");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, partition> m_partitions;
    server m_server;
};

// The entry of a server in the store.
inline json entryOf(const std::string &service, const std::string &address, int slots = 12)
{
    return {{"service", service},     {"address", address}, {"zone", "zone-a"},
            {"version", 1},           {"slots", slots},     {"state", "ready"},
            {"cold_remaining_ms", 0}, {"sequence", 1},      {"born", 1780000000000}};
}

// Writes the entry anew at each heartbeat, as a server does.
inline void keepListed(store &platform, const std::string &id, json entry)
{
    std::thread([&platform, id, entry]() mutable {
        for (int sequence = 1;; ++sequence) {
            entry["sequence"] = sequence;
            platform.put("keyed.servers", id, entry.dump());
            sleepFor(1200ms);
        }
    }).detach();
}

// ---- Daemons ----

// Fills in a template as DEPLOY.md describes it: values, their JSON, and sections.
inline const json *lookUp(const json &fields, const std::string &name)
{
    const json *value = &fields;
    std::istringstream parts(name);
    for (std::string part; std::getline(parts, part, '.');) {
        if (value->is_array() && std::stoul(part) < value->size()) {
            value = &(*value)[std::stoul(part)];
        } else if (value->is_object() && value->contains(part)) {
            value = &(*value)[part];
        } else {
            return nullptr;
        }
    }
    return value;
}

inline std::string fillIn(std::string text, const json &fields, const json *current = nullptr)
{
    std::string result;
    for (std::size_t open = 0; (open = text.find("{{")) != std::string::npos;) {
        result += text.substr(0, open);
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        text.erase(0, close + 2);
        const auto valueOf = [&](const std::string &key) {
            return key == "." ? current : lookUp(fields, key);
        };
        if (name[0] == '#' || name[0] == '^') {
            const auto key = name.substr(1);
            const auto end = text.find("{{/" + key + "}}");
            const auto *value = valueOf(key);
            const bool present = value != nullptr && *value != json(false);
            if (present == (name[0] == '#')) {
                result += fillIn(text.substr(0, end), fields, value);
            }
            text.erase(0, end + key.size() + 5);
            continue;
        }
        const auto bar = name.find('|');
        const auto *value = valueOf(name.substr(0, bar));
        if (value != nullptr) {
            result += bar == std::string::npos && value->is_string() ? value->get<std::string>() : value->dump();
        }
    }
    return result + text;
}

class daemon_process
{
public:
    std::string ip;
    std::string callers;
    std::string directory;
    std::string readiness;

    // `fields` are added to those of a small deployment.
    daemon_process(const std::filesystem::path &folder, const std::string &name, const std::string &storeAddress,
                   const json &fields = json::object())
        : ip(newIp())
        , callers(ip + ":8149")
        , directory(ip + ":8143")
        , readiness(ip + ":8141")
        , m_settings(folder / (name + ".toml"))
        , m_log(folder / (name + ".log"))
    {
        json all = {{"node_name", name},
                    {"ip", ip},
                    {"zone", "zone-a"},
                    {"listen", {{"frontend", callers}, {"ready", readiness}, {"directory", directory}}},
                    {"internal_ports", {7380, 7395}},
                    {"heartbeat_interval_ms", 1200},
                    {"limits", {{"memory_mb", 130}, {"file_descriptors", 8200}}},
                    {"platform", {{"address", storeAddress}, {"parts", 12}}},
                    {"bounds", json::object()}};
        all.merge_patch(fields);
        std::ifstream source("deploy/settings.toml.in");
        if (!source) {
            cannotRun("run it in the repository");
        }
        const std::string text{std::istreambuf_iterator<char>(source), {}};
        std::ofstream(m_settings) << fillIn(text, all);
        start();
    }
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;
    void start()
    {
        const auto settings = m_settings.string();
        const auto log = m_log.string();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::setenv("JACKDAWPICK_SETTINGS", settings.c_str(), 1);
            ::execl("target/src/daemon/jackdawpickd", "jackdawpickd", nullptr);
            ::_exit(127);
        }
        const std::lock_guard lock(processes().mutex);
        processes().pids.insert(m_pid);
    }
    void signal(int number) const
    {
        ::kill(m_pid, number);
    }
    void end(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            forget();
        }
    }
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            forget();
        }
        return m_pid > 0;
    }
    // Resident memory in bytes.
    std::size_t memory() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    void awaitReady() const
    {
        for (int i = 0; i < 200; ++i) {
            connection link;
            if (link.open(readiness) && link.send(requestText("GET", "/readyz", {{"Host", "daemon"}}))) {
                if (const auto reply = link.read(false); reply.has_value() && reply->status() == 200) {
                    return;
                }
            }
            sleepFor(50ms);
        }
        cannotRun("a daemon is not ready in time");
    }

private:
    void forget()
    {
        const std::lock_guard lock(processes().mutex);
        processes().pids.erase(m_pid);
        m_pid = -1;
    }
    static std::string newIp()
    {
        static int count = 0;
        const int process = ::getpid();
        return "127." + std::to_string(16 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "."
            + std::to_string(10 + count++);
    }

    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = -1;
};

// A folder for settings and logs that finish() removes.
struct temporary_folder
{
    std::filesystem::path path;
    temporary_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        path = ::mkdtemp(name);
        const std::lock_guard lock(processes().mutex);
        processes().folders.insert(path);
    }
};

} // namespace stage

namespace stage
{

// ---- Configurations ----

inline json plainRoute(const std::string &prefix, const std::string &kind, const std::string &service,
                       int timeout = 3000)
{
    return {{"name", "r" + prefix.substr(1, prefix.size() - 2)},
            {"host", "shop.example"},
            {"path_prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", timeout},
            {"target_latency_ms", 300},
            {"priority", 2},
            {"service", service},
            {"max_attempts", kind == "idempotent" ? 2 : 1}};
}

inline json plainService(const std::string &name)
{
    return {{"name", name},
            {"health_path", "/healthz"},
            {"max_connections", 96},
            {"protocol", "h1"},
            {"tls_enabled", false}};
}

inline json configuration(int version, const json &routes, const json &services)
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// ---- Plain servers ----

// What servers have run: the attempt ids, in order.
class run_list
{
public:
    void add(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        m_attempts.push_back(attempt);
    }
    std::size_t count(const std::string &attempt) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::ranges::count(m_attempts, attempt));
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_attempts;
};

// Whether a server with this id may run the request; if not, it has been answered as the pages say.
inline bool isMeantFor(const std::string &id, const message &request, connection &link)
{
    const auto attempt = request.header("x-attempt-id");
    if (attempt.empty()) {
        link.send(responseText(400, {{"X-Not-Executed", "1"}}, ""));
        return false;
    }
    if (const auto expected = request.header("x-expect-instance"); !expected.empty() && expected != id) {
        link.send(responseText(421, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""));
        return false;
    }
    return true;
}

inline header_list signatureOf(const std::string &id, const message &request)
{
    return {{"X-Attempt-Id", request.header("x-attempt-id")}, {"X-Server-Stamp", "stamp-of-" + id}};
}

inline std::string describe(const std::optional<message> &response)
{
    if (!response.has_value()) {
        return "no answer, the connection has ended";
    }
    const auto stamp = response->header("x-server-stamp");
    return response->first + (response->complete ? ", whole" : ", broken off")
        + (stamp.empty() ? ", no stamp" : ", " + stamp);
}

} // namespace stage
