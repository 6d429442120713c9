#include "daemon/scheduler_daemon.h"

#include "core/core.h"
#include "daemon/internal/admin_server.h"
#include "daemon/internal/caller_server.h"
#include "daemon/internal/core_settings.h"
#include "daemon/internal/daemon_metrics.h"
#include "daemon/internal/endpoint_client.h"
#include "daemon/internal/peer_links.h"
#include "daemon/internal/platform_client.h"

#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace jackdawpick
{

namespace
{

// Time between the end of a drain and the end of the loop, in which the last responses leave the socket buffers.
constexpr std::chrono::milliseconds stopDelayAfterDrain{300};

std::uint64_t randomBits()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return static_cast<std::uint64_t>(device()) << halfBits | device();
}

net::listen_options listenOptions(const daemon_settings &settings, std::uint16_t port)
{
    net::listen_options options;
    options.address = settings.listenAddress;
    options.port = port;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.maxConnections = settings.maxConnections;
    options.requestTimeout = settings.requestTimeout;
    return options;
}

} // namespace

class scheduler_daemon::implementation final : public daemon_state
{
public:
    implementation(net::loop &loop, const clock_source &clock, daemon_settings settings);

    daemon_ports start();

    void post(event posted) override;
    [[nodiscard]] bool ready() const override;
    [[nodiscard]] bool draining() const override;
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone) const override;
    [[nodiscard]] std::chrono::seconds entryListLifetime() const override;
    [[nodiscard]] std::string metricsText() override;
    [[nodiscard]] const member_identity &self() const override;
    [[nodiscard]] log_offset configurationVersion() const override;
    [[nodiscard]] const std::string &configurationText() const override;
    [[nodiscard]] nlohmann::json dump() const override;
    [[nodiscard]] std::uint64_t randomNumber() override;

private:
    void onPeerMessage(const std::string &peer, peer_message message);
    void onPeerChanged(const std::string &peer, bool connected);
    void handle(event received);
    void setWakeUp();

    template<typename T> void apply(const T &other);
    void apply(const send_log_request &sent);
    void apply(const send_to_peer &sent);
    void apply(const retain_peer_links &retained);
    void apply(const observe_call &observed);
    void apply(const observe_program &observed);
    void apply(const write_log &line);
    void apply(const drained &effect);

    net::loop &m_loop;
    const clock_source &m_clock;
    daemon_settings m_settings;
    member_identity m_self;
    std::unique_ptr<core> m_core; // Created in start(), once the ports are known.
    daemon_metrics m_metrics;
    reply_table m_replies;
    caller_server m_callers;
    admin_server m_admin;
    platform_client m_platform;
    endpoint_client m_endpoints;
    peer_links m_peers;
    std::deque<event> m_pendingEvents;
    bool m_reducing = false;
};

scheduler_daemon::implementation::implementation(net::loop &loop, const clock_source &clock, daemon_settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_self{.daemon = {m_settings.name, randomBits()}, .zone = m_settings.zone, .httpAddress = {}, .peerAddress = {}}
    , m_replies(loop, [this](const std::string &peer, const peer_message &message) { m_peers.send(peer, {}, message); })
    , m_callers(loop, *this, m_replies, caller_limits{.maxBodyBytes = m_settings.maxBodyBytes})
    , m_admin(loop, *this, m_replies)
    , m_platform(loop,
                 {.logAddress = m_settings.logAddress,
                  .hostListAddress = m_settings.hostListAddress,
                  .logTimeout = m_settings.logTimeout,
                  .hostListPollInterval = m_settings.hostListPoll},
                 [this](event received) { post(std::move(received)); })
    , m_endpoints(loop,
                  {.endpointIdleTimeout = m_settings.silence,
                   .loadPollInterval = m_settings.loadPoll,
                   .cacheEventPollInterval = m_settings.cacheEventPoll},
                  [this](event received) { post(std::move(received)); })
    , m_peers(loop, clock, {.self = {.version = protocolVersion, .daemon = m_self.daemon, .zone = m_self.zone}},
              {.received = [this](const std::string &peer,
                                  peer_message message) { onPeerMessage(peer, std::move(message)); },
               .changed =
                   [this](const std::string &peer, bool connected) {
                       onPeerChanged(peer, connected);
                   }})
{
    const auto level = logLevelFromName(m_settings.logLevel);
    if (!level) {
        throw error(result_code::SettingsInvalid, fmt::format("daemon.log_level: unknown: {}", m_settings.logLevel));
    }
    logging::setLevel(*level);
    (void)coreOptions(m_settings, m_self); // Throws for unknown policies before any port is opened.
}

daemon_ports scheduler_daemon::implementation::start()
{
    daemon_ports ports;
    ports.http = m_callers.listen(listenOptions(m_settings, m_settings.httpPort));
    ports.admin = m_admin.listen(listenOptions(m_settings, m_settings.adminPort));
    ports.peer = m_peers.listen(listenOptions(m_settings, m_settings.peerPort));
    const auto advertised = [this](const std::string &configured, std::uint16_t port) {
        return configured.empty() ? fmt::format("{}:{}", m_settings.listenAddress, port) : configured;
    };
    m_self.httpAddress = advertised(m_settings.advertisedHttp, ports.http);
    m_self.peerAddress = advertised(m_settings.advertisedPeer, ports.peer);
    m_core = std::make_unique<core>(coreOptions(m_settings, m_self));
    m_platform.start();
    m_endpoints.start();
    m_peers.start();
    post(tick{});
    return ports;
}

// Events posted while effects are being applied are queued and reduced after them, so that reduce() is never
// re-entered.
void scheduler_daemon::implementation::post(event posted)
{
    m_pendingEvents.push_back(std::move(posted));
    if (m_reducing || m_core == nullptr) {
        return;
    }
    m_reducing = true;
    while (!m_pendingEvents.empty()) {
        auto next = std::move(m_pendingEvents.front());
        m_pendingEvents.pop_front();
        handle(std::move(next));
    }
    m_reducing = false;
    setWakeUp();
}

void scheduler_daemon::implementation::handle(event received)
{
    if (const auto *list = std::get_if<host_list_received>(&received)) {
        m_endpoints.setHosts(list->hosts);
    }
    for (const auto &produced : m_core->reduce(std::move(received), m_clock.now())) {
        std::visit([this](const auto &each) { apply(each); }, produced);
    }
}

void scheduler_daemon::implementation::setWakeUp()
{
    m_loop.wakeAt(m_core->nextDeadline(), [this] { post(tick{}); });
}

// Dispatches and cache releases go to the endpoint client; everything else is a response for the reply table.
template<typename T> void scheduler_daemon::implementation::apply(const T &other)
{
    if constexpr (std::is_same_v<
                      T, start_dispatch> || std::is_same_v<T, cancel_dispatch> || std::is_same_v<T, release_cache>) {
        m_endpoints.apply(other);
    } else {
        m_replies.apply(other);
    }
}

void scheduler_daemon::implementation::apply(const send_log_request &sent)
{
    m_platform.send(sent.request);
}

void scheduler_daemon::implementation::apply(const send_to_peer &sent)
{
    m_peers.send(sent.peer, sent.address, sent.message);
}

void scheduler_daemon::implementation::apply(const retain_peer_links &retained)
{
    m_peers.setRetainedPeers(retained.peers);
}

void scheduler_daemon::implementation::apply(const observe_call &observed)
{
    m_metrics.apply(observed, m_clock.now());
}

void scheduler_daemon::implementation::apply(const observe_program &observed)
{
    m_metrics.apply(observed, m_clock.now());
}

void scheduler_daemon::implementation::apply(const write_log &line)
{
    logging::write(line.level, line.event, line.fields);
}

void scheduler_daemon::implementation::apply(const drained & /*effect*/)
{
    logging::write(log_level::Info, "drained");
    m_loop.after(stopDelayAfterDrain, [this] { m_loop.stop(); });
}

void scheduler_daemon::implementation::onPeerMessage(const std::string &peer, peer_message message)
{
    if (const auto *call = std::get_if<forward_call>(&message)) {
        m_callers.onForwarded(peer, *call);
    } else if (const auto *cancelled = std::get_if<forward_cancel>(&message)) {
        if (const auto handle = m_replies.dropPeer(peer, cancelled->id)) {
            post(caller_disconnected{*handle});
        }
    } else {
        post(peer_message_received{.peer = peer, .message = std::move(message)});
    }
}

void scheduler_daemon::implementation::onPeerChanged(const std::string &peer, bool connected)
{
    if (!connected) {
        for (const auto handle : m_replies.dropPeerLink(peer)) {
            post(caller_disconnected{handle});
        }
    }
    post(peer_link_changed{.peer = peer, .connected = connected});
}

bool scheduler_daemon::implementation::ready() const
{
    return m_core->ready();
}

bool scheduler_daemon::implementation::draining() const
{
    return m_core->draining();
}

std::vector<entry_address> scheduler_daemon::implementation::entryAddresses(const std::string &zone) const
{
    return m_core->entryAddresses(zone, m_clock.now());
}

std::chrono::seconds scheduler_daemon::implementation::entryListLifetime() const
{
    return m_core->entryListLifetime();
}

std::string scheduler_daemon::implementation::metricsText()
{
    return m_metrics.exposition(*m_core, m_loop.counters(), m_clock.now());
}

const member_identity &scheduler_daemon::implementation::self() const
{
    return m_self;
}

log_offset scheduler_daemon::implementation::configurationVersion() const
{
    return m_core->configurationVersion();
}

const std::string &scheduler_daemon::implementation::configurationText() const
{
    return m_core->configurationText();
}

nlohmann::json scheduler_daemon::implementation::dump() const
{
    return m_core->dump(m_clock.now());
}

std::uint64_t scheduler_daemon::implementation::randomNumber()
{
    return randomBits();
}

scheduler_daemon::scheduler_daemon(net::loop &loop, const clock_source &clock, daemon_settings settings)
    : m_impl(std::make_unique<implementation>(loop, clock, std::move(settings)))
{
}

scheduler_daemon::~scheduler_daemon() = default;

daemon_ports scheduler_daemon::start()
{
    return m_impl->start();
}

void scheduler_daemon::drain()
{
    m_impl->post(drain_requested{});
}

} // namespace jackdawpick
