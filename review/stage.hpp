#pragma once

// Stand-ins for the scripts of the review, on loopback and the real clock: the platform's store, engines that answer
// as a case tells them to, clients, and the daemons of the deploy file as separate processes. Blocking sockets, one
// thread for each connection.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using json = nlohmann::json;
using std::chrono::milliseconds;
using header_list = std::vector<std::pair<std::string, std::string>>;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

inline std::int64_t nowMs()
{
    using clock = std::chrono::steady_clock;
    static const auto began = clock::now();
    return std::chrono::duration_cast<milliseconds>(clock::now() - began).count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

// Whether the disruption of the case is to be played.
inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- The record of a run ----

inline std::FILE *&recordFile()
{
    static std::FILE *file = nullptr;
    return file;
}

inline void note(const char *format, ...)
{
    static std::mutex guard;
    const std::scoped_lock lock(guard);
    std::va_list arguments;
    va_start(arguments, format);
    if (recordFile() != nullptr) {
        std::fprintf(recordFile(), "%8lld ms  ", static_cast<long long>(nowMs()));
        std::vfprintf(recordFile(), format, arguments);
        std::fputc('\n', recordFile());
        std::fflush(recordFile());
    }
    va_end(arguments);
}

// ---- Sockets ----

inline int listenOn(std::uint16_t &port)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(port);
    socklen_t size = sizeof(where);
    if (::bind(file, reinterpret_cast<sockaddr *>(&where), size) != 0 || ::listen(file, 256) != 0
        || ::getsockname(file, reinterpret_cast<sockaddr *>(&where), &size) != 0) {
        std::perror("listen");
        std::exit(exitNotRun);
    }
    port = ntohs(where.sin_port);
    return file;
}

// A port below those that the system gives to outgoing connections: one of these could take it before the daemon does.
inline std::uint16_t freePort()
{
    constexpr int lowest = 15000;
    constexpr int count = 15000;
    static int next = static_cast<int>(::getpid()) * 37 % count;
    for (int tries = 0; tries < count; ++tries) {
        next = (next + 1) % count;
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        where.sin_port = htons(static_cast<std::uint16_t>(lowest + next));
        const bool isFree = ::bind(file, reinterpret_cast<sockaddr *>(&where), sizeof(where)) == 0;
        ::close(file);
        if (isFree) {
            return static_cast<std::uint16_t>(lowest + next);
        }
    }
    std::exit(exitNotRun);
}

inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int connectTo(std::uint16_t port)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(port);
    const int on = 1;
    ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(file, reinterpret_cast<sockaddr *>(&where), sizeof(where)) != 0) {
        ::close(file);
        return -1;
    }
    return file;
}

inline bool sendAll(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// Closes the connection with a reset.
inline void resetConnection(int file)
{
    const linger hard{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(file, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

// ---- HTTP messages ----

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

struct message
{
    std::string first; // The request line or status line.
    header_list headers; // Names in lower case.
    std::string body;
    bool whole = false; // The body came to the end that its framing states.

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }

    [[nodiscard]] std::string method() const
    {
        return first.substr(0, first.find(' '));
    }

    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }

    [[nodiscard]] std::string path() const
    {
        const auto text = target();
        return text.substr(0, text.find('?'));
    }

    [[nodiscard]] std::string query(const std::string &name) const
    {
        const auto text = target();
        const auto mark = text.find('?');
        std::string rest = mark == std::string::npos ? "" : text.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto part = rest.substr(0, end);
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
            rest.erase(0, std::min(end + 1, rest.size()));
        }
        return {};
    }
};

// Reads messages from one connection.
class reader
{
public:
    explicit reader(int file)
        : m_file(file)
    {
    }

    // Waits until this time of nowMs() at most.
    void setDeadline(std::int64_t when)
    {
        m_deadline = when;
    }

    [[nodiscard]] bool ended() const
    {
        return m_ended;
    }

    std::string &buffered()
    {
        return m_buffer;
    }

    // False at the end of the connection, an error or the deadline.
    bool fill()
    {
        if (m_deadline > 0) {
            pollfd entry{.fd = m_file, .events = POLLIN, .revents = 0};
            const auto left = m_deadline - nowMs();
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char block[65536];
        const auto count = ::recv(m_file, block, sizeof(block), 0);
        if (count <= 0) {
            m_ended = true;
            return false;
        }
        m_buffer.append(block, static_cast<std::size_t>(count));
        return true;
    }

    bool readHead(message &out)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        for (bool isFirst = true; !head.empty(); isFirst = false) {
            const auto stop = std::min(head.find("\r\n"), head.size());
            const auto line = head.substr(0, stop);
            head.erase(0, std::min(stop + 2, head.size()));
            if (isFirst) {
                out.first = line;
                continue;
            }
            const auto colon = std::min(line.find(':'), line.size());
            auto value = line.substr(std::min(colon + 1, line.size()));
            value.erase(0, value.find_first_not_of(" \t"));
            out.headers.emplace_back(lower(line.substr(0, colon)), value);
        }
        return true;
    }

    bool take(std::size_t count, std::string &out)
    {
        while (m_buffer.size() < count) {
            if (!fill()) {
                out += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        out.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string &out)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        out = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readChunks(std::string &out)
    {
        for (std::string line; readLine(line);) {
            const auto size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0) {
                return readLine(line);
            }
            if (!take(size, out) || !readLine(line)) {
                return false;
            }
        }
        return false;
    }

    // Returns whether a head came; `whole` says whether the body did too.
    bool read(message &out, bool isResponse)
    {
        out = {};
        if (!readHead(out)) {
            return false;
        }
        const auto length = out.header("content-length");
        if (lower(out.header("transfer-encoding")) == "chunked") {
            out.whole = readChunks(out.body);
        } else if (!length.empty()) {
            out.whole = take(std::strtoul(length.c_str(), nullptr, 10), out.body);
        } else if (isResponse) {
            while (fill()) { }
            out.body = std::exchange(m_buffer, {});
            out.whole = m_ended;
        } else {
            out.whole = true;
        }
        return true;
    }

private:
    int m_file;
    std::int64_t m_deadline = 0;
    std::string m_buffer;
    bool m_ended = false;
};

inline std::string responseText(int status, const header_list &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Accepts connections until the process ends, each on a thread of its own. `serve` returns false to close.
class server
{
public:
    using handler = std::function<bool(int file, const message &request)>;

    explicit server(handler serve)
        : m_serve(std::move(serve))
        , m_file(listenOn(m_port))
    {
        std::thread([this] { acceptAll(); }).detach();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int file = ::accept4(m_file, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, file] {
                reader input(file);
                message request;
                while (input.read(request, false) && request.whole && m_serve(file, request)) { }
                ::close(file);
            }).detach();
        }
    }

    handler m_serve;
    std::uint16_t m_port = 0;
    int m_file;
};

// ---- The platform's store, as PROTOCOL.md describes its log ----

class store
{
public:
    using hook = std::function<bool(int file, const message &request)>;

    store()
        : m_server([this](int file, const message &request) { return serve(file, request); })
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }

    // Called before each call is served. Returns true if it has handled the call itself.
    void setHook(hook value)
    {
        const std::scoped_lock lock(m_guard);
        m_hook = std::move(value);
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_guard);
        m_parts[{topic, 0}].records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
    }

    // Executes an append. Returns the response to it.
    std::string append(const message &request)
    {
        const std::scoped_lock lock(m_guard);
        auto &where = m_parts[{request.query("topic"), std::atoi(request.query("part").c_str())}];
        const auto end = where.first + where.records.size();
        const auto at = request.query("at");
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
            return responseText(412, {}, json{{"end", end}}.dump());
        }
        std::vector<std::string> added;
        constexpr std::size_t recordBytes = 262144;
        constexpr std::size_t callBytes = 2097152;
        std::size_t total = 0;
        for (std::string_view rest = request.body; rest.size() >= 4;) {
            std::uint32_t length = 0;
            for (const unsigned char byte : rest.substr(0, 4)) {
                length = length << 8U | byte;
            }
            added.emplace_back(rest.substr(4, length));
            rest.remove_prefix(std::min<std::size_t>(4 + length, rest.size()));
            total += length;
            if (length > recordBytes || total > callBytes) {
                return responseText(413, {}, "{}");
            }
        }
        where.records.insert(where.records.end(), added.begin(), added.end());
        m_changed.notify_all();
        return responseText(200, {{"Content-Type", "application/json"}},
                            json{{"offset", end}, {"end", end + added.size()}}.dump());
    }

private:
    struct partition
    {
        std::uint64_t first = 0;
        std::vector<std::string> records;
    };

    static constexpr std::int64_t answerMs = 4;

    static void appendNumber(std::string &out, std::uint64_t value, int bytes)
    {
        while (bytes-- > 0) {
            out += static_cast<char>((value >> (8 * bytes)) & 0xffU);
        }
    }

    static std::string base64(const std::string &bytes)
    {
        static constexpr const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t value = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                value = value << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                out += i + j <= bytes.size() ? letters[(value >> (18 - 6 * j)) & 63U] : '=';
            }
        }
        return out;
    }

    bool serve(int file, const message &request)
    {
        hook before;
        {
            const std::scoped_lock lock(m_guard);
            before = m_hook;
        }
        if (before && before(file, request)) {
            return true;
        }
        sleepMs(answerMs);
        if (request.path() == "/log-append") {
            return sendAll(file, append(request));
        }
        if (request.path() == "/log-read") {
            return sendAll(file, read(request));
        }
        if (request.path() == "/log-newest") {
            return sendAll(file, newest(request));
        }
        if (request.path() == "/log-trim") {
            return sendAll(file, trim(request));
        }
        return sendAll(file, responseText(404, {}, "{}"));
    }

    std::string read(const message &request)
    {
        std::unique_lock lock(m_guard);
        const std::pair<std::string, int> name{request.query("topic"), std::atoi(request.query("part").c_str())};
        const auto from = std::strtoull(request.query("from").c_str(), nullptr, 10);
        const milliseconds wait(std::atoi(request.query("wait_ms").c_str()));
        m_changed.wait_for(lock, wait, [&] {
            const auto &where = m_parts[name];
            return where.first + where.records.size() > from;
        });
        const auto &where = m_parts[name];
        if (from < where.first) {
            return responseText(410, {}, json{{"first", where.first}}.dump());
        }
        std::string body;
        const auto end = where.first + where.records.size();
        appendNumber(body, end, 8);
        appendNumber(body, where.first, 8);
        const auto asked = request.query("max_read_kb");
        const std::size_t most = asked.empty() ? 1024000 : std::strtoull(asked.c_str(), nullptr, 10) * 1000;
        for (auto offset = from; offset < end; ++offset) {
            const auto &record = where.records[offset - where.first];
            if (body.size() + record.size() > most && body.size() > 16) {
                break;
            }
            appendNumber(body, record.size(), 4);
            body += record;
        }
        return responseText(200, {}, body);
    }

    std::string newest(const message &request)
    {
        const std::scoped_lock lock(m_guard);
        const auto &where = m_parts[{request.query("topic"), std::atoi(request.query("part").c_str())}];
        std::map<std::string, std::pair<std::string, std::uint64_t>> values;
        for (std::size_t i = 0; i < where.records.size(); ++i) {
            const auto &record = where.records[i];
            const auto length = static_cast<unsigned char>(record.front());
            values[record.substr(1, length)] = {record.substr(1U + length), where.first + i};
        }
        json items = json::array();
        for (const auto &[key, value] : values) {
            if (!value.first.empty()) {
                items.push_back({{"key", key}, {"value", base64(value.first)}, {"offset", value.second}});
            }
        }
        return responseText(
            200, {}, json{{"items", items}, {"more", false}, {"end", where.first + where.records.size()}}.dump());
    }

    std::string trim(const message &request)
    {
        const std::scoped_lock lock(m_guard);
        auto &where = m_parts[{request.query("topic"), std::atoi(request.query("part").c_str())}];
        const auto before = std::strtoull(request.query("before").c_str(), nullptr, 10);
        while (where.first < before && !where.records.empty()) {
            where.records.erase(where.records.begin());
            ++where.first;
        }
        return responseText(200, {}, "{}");
    }

    std::mutex m_guard;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, int>, partition> m_parts;
    hook m_hook;
    server m_server;
};

// ---- Engines ----

struct run
{
    std::string engine;
    std::string attempt;
    std::string method;
    std::string target;
    std::string body;
    std::int64_t at = 0;
};

// Checks what every engine checks, records what it runs, and lets the case answer.
class engine
{
public:
    // Answers a request that the engine runs. Returns false to close the connection.
    using answer = std::function<bool(int file, const message &request)>;

    engine(std::string id, std::string service, answer respond)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_respond(std::move(respond))
        , m_server([this](int file, const message &request) { return serve(file, request); })
    {
    }

    // `reject` is asked before a request runs. It returns true if it has answered that the request is not run.
    void setRejects(answer reject)
    {
        m_reject = std::move(reject);
    }

    void announce(store &where, const std::string &state = "ready")
    {
        const json entry{{"service", m_service}, {"address", loopback(m_server.port())},
                         {"zone", "z"},          {"version", "v1"},
                         {"slots", m_service == "shop" ? 6 : 12}, {"state", state},
                         {"cold_remaining_ms", 0}, {"sequence", ++m_sequence},
                         {"born", 1700000000000}};
        where.put("keyed.servers", m_id, entry.dump());
    }

    [[nodiscard]] header_list heads(const message &request, const std::string &type) const
    {
        return {{"X-Attempt-Id", request.header("x-attempt-id")}, {"X-Server-Stamp", m_id}, {"Content-Type", type}};
    }

    std::vector<run> runs()
    {
        const std::scoped_lock lock(m_guard);
        return m_runs;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

private:
    bool serve(int file, const message &request)
    {
        if (request.header("x-expect-instance") != m_id) {
            return sendAll(file, responseText(421, {{"X-Instance-Id", m_id}}, ""));
        }
        if (request.header("x-attempt-id").empty()) {
            return sendAll(file, responseText(400, {{"X-Not-Executed", "1"}}, ""));
        }
        if (m_reject && m_reject(file, request)) {
            return true;
        }
        {
            const std::scoped_lock lock(m_guard);
            m_runs.push_back({m_id, request.header("x-attempt-id"), request.method(), request.target(), request.body,
                              nowMs()});
        }
        note("engine %s runs attempt %s: %s, %zu bytes of body", m_id.c_str(),
             request.header("x-attempt-id").c_str(), request.first.c_str(), request.body.size());
        return m_respond(file, request);
    }

    std::string m_id;
    std::string m_service;
    answer m_respond;
    answer m_reject;
    std::mutex m_guard;
    std::vector<run> m_runs;
    int m_sequence = 0;
    server m_server;
};

// ---- Daemons ----

// The processes that are to be ended with the script.
inline std::set<pid_t> &processes()
{
    static std::set<pid_t> started;
    return started;
}

class daemon_process
{
public:
    daemon_process(const std::string &folder, const std::string &name, std::uint16_t storePort)
        : m_name(name)
        , m_settings(folder + "/" + name + ".toml")
        , m_log(folder + "/" + name + ".log")
        , m_callers(freePort())
        , m_directory(freePort())
        , m_readiness(freePort())
    {
        std::FILE *file = std::fopen(m_settings.c_str(), "w");
        std::fprintf(file,
                     "[daemon]\nname = \"%s\"\nzone = \"z\"\n\n[listen]\ncallers = \"%s\"\ndirectory = \"%s\"\n"
                     "readiness = \"%s\"\npeers = \"%s\"\nmetrics = \"%s\"\n\n[store]\naddress = \"%s\"\n"
                     "parts_per_topic = 12\n",
                     name.c_str(), loopback(m_callers).c_str(), loopback(m_directory).c_str(),
                     loopback(m_readiness).c_str(), loopback(freePort()).c_str(), loopback(freePort()).c_str(),
                     loopback(storePort).c_str());
        std::fclose(file);
    }

    ~daemon_process()
    {
        signal(SIGKILL);
        wait(2000);
    }

    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    // With the command of the deploy file, in the root of the repository.
    void start()
    {
        m_ended.reset();
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::setenv("JACKDAWPICK_SETTINGS", m_settings.c_str(), 1);
            ::execl("target/src/daemon/jackdawpickd", "target/src/daemon/jackdawpickd", nullptr);
            ::_exit(127);
        }
        processes().insert(m_process);
        note("daemon %s started", m_name.c_str());
    }

    void signal(int number) const
    {
        if (m_process > 0 && !m_ended.has_value()) {
            ::kill(m_process, number);
        }
    }

    // The status of the process once it has ended; nothing if it still runs after this time.
    std::optional<int> wait(std::int64_t time)
    {
        for (const auto until = nowMs() + time; m_process > 0 && !m_ended.has_value();) {
            int status = 0;
            if (::waitpid(m_process, &status, WNOHANG) == m_process) {
                m_ended = status;
                processes().erase(m_process);
            } else if (nowMs() >= until) {
                break;
            } else {
                sleepMs(2);
            }
        }
        return m_ended;
    }

    // Waits until the daemon counts as ready.
    bool waitReady(std::int64_t time = 10000)
    {
        for (const auto until = nowMs() + time; nowMs() < until; sleepMs(50)) {
            const int file = connectTo(m_readiness);
            if (file < 0) {
                continue;
            }
            sendAll(file, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            reader input(file);
            input.setDeadline(nowMs() + 500);
            message response;
            const bool ready = input.read(response, true) && response.status() == 200;
            ::close(file);
            if (ready) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] std::uint16_t callers() const
    {
        return m_callers;
    }

    [[nodiscard]] std::uint16_t readiness() const
    {
        return m_readiness;
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    std::uint16_t m_callers;
    std::uint16_t m_directory;
    std::uint16_t m_readiness;
    pid_t m_process = 0;
    std::optional<int> m_ended;
};

// ---- The configuration ----

inline constexpr const char *host = "programs.example";

inline json routeOf(const std::string &name, const std::string &prefix, const std::string &kind,
                    const std::string &service, bool retained)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", 3000},
            {"target_latency_ms", 300},
            {"priority", 0},
            {"service", service},
            {"max_attempts", kind == "idempotent" ? 3 : 1},
            {"retained", retained},
            {"retention_s", 60.0},
            {"sticky", false},
            {"resumable", false},
            {"gap_target_ms", 200}};
}

inline json configuration(std::uint64_t version)
{
    const json engineProfile{{"slots", 12}, {"tokens_per_event", 27}, {"kv_cache_tokens", 400000}};
    return {{"version", version},
            {"routes",
             {routeOf("turn", "/turn/", "streaming", "engines", true),
              routeOf("stream", "/stream/", "streaming", "engines", false),
              routeOf("read", "/read/", "idempotent", "shop", false),
              routeOf("pay", "/pay/", "non_idempotent", "shop", false)}},
            {"services",
             {{{"name", "engines"}, {"health_path", "/healthz"}, {"max_connections", 150}, {"engine", engineProfile}},
              {{"name", "shop"}, {"health_path", "/healthz"}, {"max_connections", 96}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// ---- Clients ----

inline std::string newAttempt()
{
    static std::atomic<std::uint64_t> last{static_cast<std::uint64_t>(::getpid()) << 24U};
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last * 2654435761ULL));
    return text;
}

inline std::string requestText(const std::string &method, const std::string &target, const header_list &headers,
                               const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

struct reply
{
    bool connected = false;
    bool answered = false; // A head came.
    message response;
    std::int64_t took = 0;
};

// Sends a request on a connection of its own and reads the answer.
inline reply call(std::uint16_t port, const std::string &text, std::int64_t timeout)
{
    reply result;
    const auto began = nowMs();
    const int file = connectTo(port);
    if (file < 0) {
        return result;
    }
    result.connected = true;
    sendAll(file, text);
    reader input(file);
    input.setDeadline(nowMs() + timeout);
    result.answered = input.read(result.response, true);
    result.took = nowMs() - began;
    ::close(file);
    return result;
}

// ---- The folder of a run ----

inline std::string &stageFolder()
{
    static std::string folder;
    return folder;
}

// Makes a temporary folder for settings and logs, and opens the record.
inline std::string openStage(const std::string &record)
{
    ::signal(SIGPIPE, SIG_IGN);
    recordFile() = std::fopen(record.c_str(), "w");
    const char *base = std::getenv("TMPDIR");
    std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (recordFile() == nullptr || ::mkdtemp(pattern.data()) == nullptr) {
        std::perror("stage");
        std::exit(exitNotRun);
    }
    note("disruption: %s", troubled() ? "yes" : "no");
    stageFolder() = pattern;
    return pattern;
}

// Notes the verdict, ends the daemons and the process, and removes the folder unless KEEP_LOGS is set. Threads of
// stand-ins may still wait for connections.
[[noreturn]] inline void finish(int code, const std::string &text)
{
    note("verdict: %s (%d)", text.c_str(), code);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    for (const auto process : processes()) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr && !stageFolder().empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(stageFolder(), ignored);
    }
    ::_exit(code);
}

} // namespace review
