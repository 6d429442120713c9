#include "daemon/shell.h"

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

// Lets the last answers of a drain leave the socket buffers.
constexpr std::chrono::milliseconds lingerAfterDrain{300};

std::uint64_t randomBits()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return static_cast<std::uint64_t>(device()) << half | device();
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

class shell::implementation final : public daemon_state
{
public:
    implementation(net::loop &loop, const clock_source &clock, daemon_settings settings);

    daemon_ports start();

    void post(event what) override;
    [[nodiscard]] bool ready() const override;
    [[nodiscard]] bool draining() const override;
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone) const override;
    [[nodiscard]] std::chrono::seconds entryKeep() const override;
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

    template<typename T> void apply(const T &what);
    void apply(const send_log_request &what);
    void apply(const send_to_peer &what);
    void apply(const retain_peer_links &what);
    void apply(const observe_call &what);
    void apply(const observe_program &what);
    void apply(const write_log &what);
    void apply(const drained &what);

    net::loop &m_loop;
    const clock_source &m_clock;
    daemon_settings m_settings;
    member_identity m_self;
    std::unique_ptr<core> m_core; // Made in start(), once the ports are known.
    daemon_metrics m_metrics;
    reply_table m_replies;
    caller_server m_callers;
    admin_server m_admin;
    platform_client m_platform;
    endpoint_client m_endpoints;
    peer_links m_peers;
    std::deque<event> m_events;
    bool m_handling = false;
};

shell::implementation::implementation(net::loop &loop, const clock_source &clock, daemon_settings settings)
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
                  .hostListPoll = m_settings.hostListPoll},
                 [this](event what) { post(std::move(what)); })
    , m_endpoints(
          loop,
          {.silence = m_settings.silence, .loadPoll = m_settings.loadPoll, .cacheEventPoll = m_settings.cacheEventPoll},
          [this](event what) { post(std::move(what)); })
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
    (void)coreOptions(m_settings, m_self); // Reports unknown policies before any port is open.
}

daemon_ports shell::implementation::start()
{
    daemon_ports ports;
    ports.http = m_callers.listen(listenOptions(m_settings, m_settings.httpPort));
    ports.admin = m_admin.listen(listenOptions(m_settings, m_settings.adminPort));
    ports.peer = m_peers.listen(listenOptions(m_settings, m_settings.peerPort));
    const auto advertised = [this](const std::string &given, std::uint16_t port) {
        return given.empty() ? fmt::format("{}:{}", m_settings.listenAddress, port) : given;
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

// Events that arise while effects are applied wait until those are done.
void shell::implementation::post(event what)
{
    m_events.push_back(std::move(what));
    if (m_handling || m_core == nullptr) {
        return;
    }
    m_handling = true;
    while (!m_events.empty()) {
        auto next = std::move(m_events.front());
        m_events.pop_front();
        handle(std::move(next));
    }
    m_handling = false;
    setWakeUp();
}

void shell::implementation::handle(event received)
{
    if (const auto *list = std::get_if<host_list_received>(&received)) {
        m_endpoints.setHosts(list->hosts);
    }
    for (const auto &result : m_core->reduce(std::move(received), m_clock.now())) {
        std::visit([this](const auto &what) { apply(what); }, result);
    }
}

void shell::implementation::setWakeUp()
{
    m_loop.wakeAt(m_core->nextDeadline(), [this] { post(tick{}); });
}

// Answers go to the reply table, dispatches and releases to the endpoints.
template<typename T> void shell::implementation::apply(const T &what)
{
    if constexpr (std::is_same_v<
                      T, start_dispatch> || std::is_same_v<T, cancel_dispatch> || std::is_same_v<T, release_cache>) {
        m_endpoints.apply(what);
    } else {
        m_replies.apply(what);
    }
}

void shell::implementation::apply(const send_log_request &what)
{
    m_platform.send(what.request);
}

void shell::implementation::apply(const send_to_peer &what)
{
    m_peers.send(what.peer, what.address, what.message);
}

void shell::implementation::apply(const retain_peer_links &what)
{
    m_peers.setKept(what.peers);
}

void shell::implementation::apply(const observe_call &what)
{
    m_metrics.apply(what, m_clock.now());
}

void shell::implementation::apply(const observe_program &what)
{
    m_metrics.apply(what, m_clock.now());
}

void shell::implementation::apply(const write_log &what)
{
    logging::write(what.level, what.event, what.fields);
}

void shell::implementation::apply(const drained & /*what*/)
{
    logging::write(log_level::Info, "drained");
    m_loop.after(lingerAfterDrain, [this] { m_loop.stop(); });
}

void shell::implementation::onPeerMessage(const std::string &peer, peer_message message)
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

void shell::implementation::onPeerChanged(const std::string &peer, bool connected)
{
    if (!connected) {
        for (const auto handle : m_replies.dropPeerLink(peer)) {
            post(caller_disconnected{handle});
        }
    }
    post(peer_link_changed{.peer = peer, .connected = connected});
}

bool shell::implementation::ready() const
{
    return m_core->ready();
}

bool shell::implementation::draining() const
{
    return m_core->draining();
}

std::vector<entry_address> shell::implementation::entryAddresses(const std::string &zone) const
{
    return m_core->entryAddresses(zone, m_clock.now());
}

std::chrono::seconds shell::implementation::entryKeep() const
{
    return m_core->entryListLifetime();
}

std::string shell::implementation::metricsText()
{
    return m_metrics.exposition(*m_core, m_loop.counters(), m_clock.now());
}

const member_identity &shell::implementation::self() const
{
    return m_self;
}

log_offset shell::implementation::configurationVersion() const
{
    return m_core->configurationVersion();
}

const std::string &shell::implementation::configurationText() const
{
    return m_core->configurationText();
}

nlohmann::json shell::implementation::dump() const
{
    return m_core->dump(m_clock.now());
}

std::uint64_t shell::implementation::randomNumber()
{
    return randomBits();
}

shell::shell(net::loop &loop, const clock_source &clock, daemon_settings settings)
    : m_impl(std::make_unique<implementation>(loop, clock, std::move(settings)))
{
}

shell::~shell() = default;

daemon_ports shell::start()
{
    return m_impl->start();
}

void shell::drain()
{
    m_impl->post(drain_requested{});
}

} // namespace jackdawpick
