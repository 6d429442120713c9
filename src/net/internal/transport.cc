#include "net/internal/transport.h"

#include "logging/logging.h"
#include "net/internal/address.h"
#include "results/results.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstring>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <type_traits>
#include <unistd.h>
#include <utility>

namespace jackdawpick::net::internal
{

namespace
{

// Something between the two ends can lose track of a connection, which is then silent for good. Data without
// acknowledgement and probes of idle connections show it. Servers and other daemons are near; callers may be slow.
struct liveness_times
{
    std::chrono::milliseconds unacknowledged;
    std::chrono::seconds idleBeforeProbe;
    std::chrono::seconds betweenProbes;
    int probes;
};

constexpr liveness_times outgoingTimes{std::chrono::milliseconds(2000), std::chrono::seconds(1),
                                       std::chrono::seconds(1), 2};
constexpr liveness_times incomingTimes{std::chrono::milliseconds(10000), std::chrono::seconds(5),
                                       std::chrono::seconds(2), 3};

template<typename T> void setOption(int socket, int level, int name, T value)
{
    const auto number = static_cast<int>(value);
    ::setsockopt(socket, level, name, &number, sizeof(number));
}

void setLiveness(int socket, const liveness_times &times)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, times.unacknowledged.count());
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, times.idleBeforeProbe.count());
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, times.betweenProbes.count());
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, times.probes);
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void logLine(int level, const char *line)
{
    std::string_view text(line);
    while (text.ends_with('\n')) {
        text.remove_suffix(1);
    }
    logging::write(level == LLL_ERR ? log_level::Error : log_level::Debug, "libwebsockets", {{"text", text}});
}

class signal_source final : public descriptor
{
public:
    signal_source(int file, std::function<void()> terminate, std::function<void()> reload)
        : m_file(file)
        , m_terminate(std::move(terminate))
        , m_reload(std::move(reload))
    {
    }

private:
    bool onReadable() override
    {
        signalfd_siginfo info{};
        if (::read(m_file, &info, sizeof(info)) == sizeof(info)) {
            const auto &task = info.ssi_signo == SIGHUP ? m_reload : m_terminate;
            if (task) {
                task();
            }
        }
        return true;
    }

    void onDescriptorClosed() override
    {
    }

    int m_file;
    std::function<void()> m_terminate;
    std::function<void()> m_reload;
};

} // namespace

timer::timer(transport &owner, std::function<void()> task)
    : m_owner(owner)
    , m_task(std::move(task))
{
    static_assert(std::is_standard_layout_v<node> && offsetof(node, entry) == 0);
    m_node.self = this;
}

timer::~timer()
{
    stop();
}

void timer::start(std::chrono::microseconds delay)
{
    const auto wait = std::max<std::int64_t>(delay.count(), 1);
    lws_sul_schedule(m_owner.m_context, 0, &m_node.entry, &timer::fired, wait);
}

void timer::stop()
{
    lws_sul_cancel(&m_node.entry);
}

void timer::fired(lws_sorted_usec_list_t *entry)
{
    const timer *self = reinterpret_cast<node *>(entry)->self;
    transport &owner = self->m_owner;
    const auto task = self->m_task; // A copy, since the task may destroy the timer.
    owner.guarded(task);
}

transport::transport()
{
    lws_set_log_level(LLL_ERR, &logLine);
    static const std::array<lws_protocols, 2> protocols{
        lws_protocols{"jackdawpick", &transport::callback, 0, 0, 0, nullptr, 0},
        lws_protocols{nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME;
    info.user = this;
    info.gid = static_cast<gid_t>(-1);
    info.uid = static_cast<uid_t>(-1);
    info.vhost_name = "jackdawpick";
    m_context = lws_create_context(&info);
    if (m_context == nullptr) {
        throw error(result_code::InternalError, "cannot create the libwebsockets context");
    }
    m_vhost = lws_create_vhost(m_context, &info);
    if (m_vhost == nullptr) {
        lws_context_destroy(m_context);
        throw error(result_code::InternalError, "cannot create the libwebsockets vhost");
    }
    m_postTimer = std::make_unique<timer>(*this, [this] { runPosted(); });
}

transport::~transport()
{
    m_destroying = true;
    m_posted.clear();
    m_postTimer.reset();
    for (auto &[key, link] : m_connections) {
        link->m_events = nullptr;
    }
    lws_context_destroy(m_context);
    if (m_signalsBlocked) {
        const sigset_t signals = handledSignals();
        ::sigprocmask(SIG_UNBLOCK, &signals, nullptr);
    }
}

template<typename F> void transport::guarded(F &&task)
{
    try {
        task();
    } catch (...) {
        if (!m_failure) {
            m_failure = std::current_exception();
        }
        stop();
    }
}

int transport::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/, std::size_t /*length*/)
{
    auto *self = static_cast<transport *>(lws_context_user(lws_get_context(wsi)));
    return self->handle(wsi, reason);
}

int transport::handle(lws *wsi, lws_callback_reasons reason)
{
    auto *user = static_cast<descriptor *>(lws_get_opaque_user_data(wsi));
    if (user == nullptr) {
        return 0;
    }
    bool keep = true;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        guarded([&] { keep = user->onReadable(); });
        break;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        guarded([&] { keep = user->onWriteable(wsi); });
        break;
    case LWS_CALLBACK_RAW_CLOSE_FILE: {
        lws_set_opaque_user_data(wsi, nullptr);
        const auto node = m_connections.extract(user); // Alive until the end of the callback.
        guarded([&] { user->onDescriptorClosed(); });
        m_files.erase(user);
        break;
    }
    default:
        break;
    }
    return keep ? 0 : -1;
}

lws *transport::adoptDescriptor(int file, descriptor *user)
{
    lws_adopt_desc_t request{};
    request.vh = m_vhost;
    request.type = LWS_ADOPT_RAW_FILE_DESC;
    request.fd.filefd = file;
    request.vh_prot_name = "jackdawpick";
    request.opaque = user;
    return lws_adopt_descriptor_vhost_via_info(&request);
}

connection_ptr transport::adopt(int socket, bool open)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setLiveness(socket, open ? incomingTimes : outgoingTimes);
    auto link = std::make_shared<connection>(socket, open);
    link->m_wsi = adoptDescriptor(socket, link.get());
    if (link->m_wsi == nullptr) {
        return nullptr;
    }
    m_connections.emplace(link.get(), link);
    return link;
}

lws *transport::adoptFile(int file, std::unique_ptr<descriptor> user)
{
    auto *wsi = adoptDescriptor(file, user.get());
    if (wsi != nullptr) {
        auto *key = user.get();
        m_files.emplace(key, std::move(user));
    }
    return wsi;
}

listener &transport::listen(const std::string &address, std::uint16_t port,
                            std::function<void(connection_ptr)> onAccept)
{
    const auto where = parseAddress(address, port);
    const auto fail = [&](std::string_view step) {
        throw error(result_code::SettingsInvalid,
                    fmt::format("cannot listen on {}:{}: {}: {}", address, port, step, std::strerror(errno)));
    };
    if (!where.has_value()) {
        errno = EINVAL;
        fail("address");
    }
    const int socket = ::socket(where->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        fail("socket");
    }
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socket_address bound;
    if (::bind(socket, where->get(), where->size) != 0 || ::listen(socket, listener::backlog) != 0
        || ::getsockname(socket, bound.get(), &bound.size) != 0) {
        const int reason = errno;
        ::close(socket);
        errno = reason;
        fail("bind");
    }
    auto accepted = [this, onAccept = std::move(onAccept)](int client) {
        if (auto link = adopt(client, true); link != nullptr) {
            onAccept(std::move(link));
        }
    };
    auto created = std::make_unique<listener>(socket, bound.port(), std::move(accepted));
    auto &result = *created;
    auto *wsi = adoptFile(socket, std::move(created));
    if (wsi == nullptr) {
        throw error(result_code::InternalError, "libwebsockets refused the listening socket");
    }
    result.m_wsi = wsi;
    return result;
}

connection_ptr transport::connect(const std::string &address, connection_events *events)
{
    const auto where = parseAddress(address);
    if (!where.has_value()) {
        return nullptr;
    }
    const int socket = ::socket(where->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return nullptr;
    }
    if (::connect(socket, where->get(), where->size) != 0 && errno != EINPROGRESS) {
        ::close(socket);
        return nullptr;
    }
    auto link = adopt(socket, false);
    if (link != nullptr) {
        link->setEvents(events);
        lws_callback_on_writable(link->m_wsi);
    }
    return link;
}

void transport::post(std::function<void()> task)
{
    m_posted.push_back(std::move(task));
    if (m_posted.size() == 1) {
        m_postTimer->start(std::chrono::microseconds(1));
    }
}

void transport::runPosted()
{
    // Tasks posted from now on run in the next turn, so that they cannot starve the sockets.
    std::deque<std::function<void()>> tasks;
    tasks.swap(m_posted);
    for (const auto &task : tasks) {
        guarded(task);
    }
}

void transport::holdSignals()
{
    const sigset_t signals = handledSignals();
    ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void transport::onSignals(std::function<void()> terminate, std::function<void()> reload)
{
    holdSignals();
    const sigset_t signals = handledSignals();
    m_signalsBlocked = true;
    const int file = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (file < 0
        || adoptFile(file, std::make_unique<signal_source>(file, std::move(terminate), std::move(reload))) == nullptr) {
        throw error(result_code::InternalError, "cannot receive signals");
    }
}

void transport::run()
{
    m_stopped = false;
    while (!m_stopped && lws_service(m_context, 0) >= 0) { }
    if (m_failure) {
        std::rethrow_exception(std::exchange(m_failure, nullptr));
    }
}

void transport::stop()
{
    m_stopped = true;
    lws_cancel_service(m_context);
}

} // namespace jackdawpick::net::internal
