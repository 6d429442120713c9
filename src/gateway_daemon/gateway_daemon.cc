#include "gateway_daemon/gateway_daemon.h"

#include "gateway_daemon/client_limits.h"
#include "gateway_daemon/endpoint_prober.h"
#include "gateway_daemon/framed_links.h"
#include "metrics/metrics.h"
#include "platform/platform.h"
#include "results/results.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <map>

namespace jackdawpick
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds logFlushInterval{100};
// Limit for the unsent bytes of one response. It is small because the hosts have little memory.
constexpr std::size_t maxUnsentResponseBytes = 1U << 20U;
// While more of a response is unsent, no more of it is read from the endpoint.
constexpr std::size_t maxUnsentWhileReading = 256U << 10U;
// Longer than any caller keeps an idle connection open.
constexpr seconds callerKeepAliveTimeout{60};
constexpr seconds requestReadTimeout{10};
// Clocks of hosts differ in rate, and time passes between the arrival of a request and the reading of the clock.
constexpr milliseconds keyLifetimeMargin{100};
// When the daemon stops, connections on which no request arrives are closed after this time.
constexpr milliseconds idleCloseTime{250};

net::listen_options listenOptionsFor(const std::string &address, const gateway_settings &settings)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {.address = address.substr(0, colon),
            .port = port,
            .maxBodyBytes = settings.maxBodyBytes,
            .maxConnections = settings.maxConnections,
            .requestTimeout = requestReadTimeout,
            .keepAliveTimeout = callerKeepAliveTimeout,
            .maxUnsentBytes = maxUnsentResponseBytes};
}

// For ports whose requests carry nothing in their bodies.
net::listen_options bodilessOptionsFor(const std::string &address, const gateway_settings &settings)
{
    auto options = listenOptionsFor(address, settings);
    options.discardsBodies = true;
    return options;
}

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

gateway::gateway_options gatewayOptionsFor(const gateway_settings &settings)
{
    gateway::gateway_options options;
    options.self = {.name = settings.name,
                    .incarnation = newIncarnation(),
                    .zone = settings.zone,
                    .callerAddress = settings.callers,
                    .peerAddress = settings.peers};
    options.layout = platform::logLayout();
    options.layout.partsPerTopic = settings.partsPerTopic;
    options.layout.programTopics = settings.programTopics;
    options.layout.turnTopics = settings.turnTopics;
    options.shutdownTimeout = settings.shutdownTimeout;
    options.endpointHeartbeat = settings.endpointHeartbeat;
    if (settings.strictRevocation) {
        options.keyLifetime = settings.revocationTimeout - keyLifetimeMargin;
    }
    options.turnCacheBytes = settings.turnCacheBytes;
    options.maxTextBytes = clientLimitsFor(settings).heldBytes;
    options.turnChainBytes = settings.turnChainBytes;
    options.turnLocationRetention = settings.turnLocationRetention;
    options.seed = options.self.incarnation;
    options.quotaRule = {
        .window = settings.quotaWindow, .overrun = settings.quotaOverrun, .slack = settings.quotaSlack};
    return options;
}

gateway::dispatch_outcome outcomeOf(const net::client_result &result)
{
    switch (result.error) {
    case net::client_error::None:
        return gateway::dispatch_outcome::Complete;
    case net::client_error::ConnectFailed:
    case net::client_error::ConnectionLost:
    case net::client_error::Silent:
        return result.bytesSent ? gateway::dispatch_outcome::Lost : gateway::dispatch_outcome::NotSent;
    case net::client_error::Timeout:
        return result.bytesSent ? gateway::dispatch_outcome::TimedOut : gateway::dispatch_outcome::NotSent;
    }
    return gateway::dispatch_outcome::Lost;
}

} // namespace

class gateway_daemon::implementation
{
public:
    implementation(net::loop &loop, const clock_source &clock, gateway_settings settings)
        : m_loop(loop)
        , m_clock(clock)
        , m_settings(std::move(settings))
        , m_gateway(gatewayOptionsFor(m_settings))
        , m_links(loop, [this](gateway::event event) { handleEvent(std::move(event)); })
        , m_prober(loop, [this](gateway::event event) { handleEvent(std::move(event)); })
    {
    }

    void start();
    void handleEvent(gateway::event event);
    void reload(const gateway_settings &settings);

private:
    void listenForCallers();
    void listenForControlRequests(const std::string &address);
    void listenForMetrics();
    void respond(net::request_id id, const platform::text_response &response);
    void updateGauges();
    void setSpeedGauges(const fleet::service_speed_report &report);
    void pauseIfCongested(gateway::dispatch_id dispatch);
    void countStoreCall(const store::call &call, const store::reply &reply, time_point startedAt);

    void execute(gateway::start_response &effect);
    void execute(const gateway::response_bytes &effect);
    void execute(const gateway::end_response &effect);
    void execute(const gateway::abort_response &effect);
    void execute(const gateway::refuse &effect);
    void execute(gateway::start_dispatch &effect);
    void execute(const gateway::cancel_dispatch &effect);
    void execute(const gateway::probe_endpoint &effect);
    void execute(const gateway::make_store_call &effect);
    void execute(const gateway::open_link &effect);
    void execute(const gateway::send_message &effect);
    void execute(const gateway::close_link &effect);
    void execute(const gateway::log_line &effect);
    void execute(const gateway::increment_counter &effect);
    void execute(const gateway::record_duration &effect);
    void execute(const gateway::close_after_responses &effect);
    void execute(const gateway::stop_process &effect);

    [[nodiscard]] static net::request_id requestOf(gateway::caller_id caller)
    {
        return net::request_id{static_cast<std::uint64_t>(caller)};
    }

    net::loop &m_loop;
    const clock_source &m_clock;
    gateway_settings m_settings;
    gateway::gateway m_gateway;
    framed_links m_links;
    endpoint_prober m_prober;
    metrics_registry m_metrics;
    std::map<gateway::dispatch_id, net::client_id> m_dispatches;
    std::optional<net::request_id> m_congested; // The response that the last event has filled up.
    std::map<net::request_id, net::client_id> m_paused; // Exchanges that wait for their caller.
};

gateway_daemon::gateway_daemon(net::loop &loop, const clock_source &clock, gateway_settings settings)
    : m_impl(std::make_unique<implementation>(loop, clock, std::move(settings)))
{
}

gateway_daemon::~gateway_daemon() = default;

void gateway_daemon::start()
{
    m_impl->start();
}

void gateway_daemon::shutdown()
{
    m_impl->handleEvent(gateway::shutdown_requested{});
}

void gateway_daemon::reload(const gateway_settings &settings)
{
    m_impl->reload(settings);
}

void gateway_daemon::implementation::start()
{
    m_loop.setClientLimits(clientLimitsFor(m_settings));
    listenForCallers();
    listenForControlRequests(m_settings.directory);
    if (m_settings.readiness != m_settings.directory) {
        listenForControlRequests(m_settings.readiness);
    }
    if (!m_settings.metrics.empty()) {
        listenForMetrics();
    }
    auto linkOptions = listenOptionsFor(m_settings.peers, m_settings);
    linkOptions.maxConnections = linkLimitFor(m_settings);
    m_links.listen(linkOptions);
    m_loop.every(logFlushInterval, [] { logging::flush(); });
    handleEvent(gateway::tick{});
}

void gateway_daemon::implementation::listenForCallers()
{
    auto options = listenOptionsFor(m_settings.callers, m_settings);
    options.handlerHoldsBodies = true;
    m_loop.listenHttp(
        options,
        [this](net::http_request request) {
            const gateway::caller_id caller{static_cast<std::uint64_t>(request.id)};
            handleEvent(gateway::request_arrived{caller, platform::decodeRequest(std::move(request))});
        },
        [this](net::request_id id) {
            m_paused.erase(id);
            handleEvent(gateway::caller_disconnected{gateway::caller_id{static_cast<std::uint64_t>(id)}});
        },
        [this](net::request_id id) {
            if (const auto node = m_paused.extract(id)) {
                m_loop.pauseReceiving(node.mapped(), false);
            }
        });
}

void gateway_daemon::implementation::listenForControlRequests(const std::string &address)
{
    m_loop.listenHttp(bodilessOptionsFor(address, m_settings), [this](const net::http_request &request) {
        switch (platform::decodeControlRequest(request)) {
        case platform::control_request::Directory:
            respond(request.id,
                    platform::encodeDirectory(m_gateway.directory(platform::decodeCallerZone(request), m_clock.now()),
                                              m_settings.directoryLifetime));
            return;
        case platform::control_request::Readiness:
            respond(request.id, platform::encodeReadiness(m_gateway.ready()));
            return;
        case platform::control_request::Unknown:
            respond(request.id, platform::encodeUnknownRequest());
            return;
        }
    });
}

void gateway_daemon::implementation::listenForMetrics()
{
    m_loop.listenHttp(bodilessOptionsFor(m_settings.metrics, m_settings), [this](const net::http_request &request) {
        if (request.path == "/dump") {
            m_loop.respond(request.id, {}, m_gateway.dump(m_clock.now()));
            return;
        }
        updateGauges();
        m_loop.respond(request.id, {.contentType = "text/plain; version=0.0.4"}, m_metrics.exposition(m_clock.now()));
    });
}

void gateway_daemon::implementation::updateGauges()
{
    const auto status = m_gateway.status(m_clock.now());
    m_metrics.set(metric::OpenRequests, {}, static_cast<double>(status.openRequests));
    m_metrics.set(metric::PeersAlive, {}, static_cast<double>(status.peersAlive));
    m_metrics.set(metric::EndpointsKnown, {}, static_cast<double>(status.endpointsKnown));
    m_metrics.set(metric::EndpointsLimited, {}, static_cast<double>(status.endpointsLimited));
    m_metrics.set(metric::QuotaGroupsHeld, {}, static_cast<double>(status.quotaGroupsHeld));
    m_metrics.set(metric::RequestsBlocked, {}, static_cast<double>(status.requestsBlocked));
    m_metrics.set(metric::EndpointsReachable, {}, status.endpointsReachable ? 1 : 0);
    m_metrics.set(metric::StoreReachable, {}, status.storeReachable ? 1 : 0);
    m_metrics.set(metric::StoreFull, {}, status.storeFull ? 1 : 0);
    m_metrics.set(metric::BudgetUnwrittenRecords, {"reservation"}, static_cast<double>(status.unwrittenReservations));
    m_metrics.set(metric::BudgetUnwrittenRecords, {"settlement"}, static_cast<double>(status.unwrittenSettlements));
    m_metrics.set(metric::BudgetUnwrittenSeconds, {}, std::chrono::duration<double>(status.oldestUnwritten).count());
    m_metrics.set(metric::ConfigurationVersion, {}, static_cast<double>(status.configuration));
    m_metrics.set(metric::ConfigurationAge, {}, std::chrono::duration<double>(status.configurationAge).count());
    for (const auto &service : status.utilisations) {
        m_metrics.set(metric::EngineUtilisation, {service.service, "slots"}, service.bySlots);
        m_metrics.set(metric::EngineUtilisation, {service.service, "memory"}, service.byMemory);
    }
    m_metrics.set(metric::DroppedLogLines, {}, static_cast<double>(logging::droppedLines()));
    for (const auto &report : status.speeds) {
        setSpeedGauges(report);
    }
    for (const auto &part : status.held) {
        m_metrics.set(metric::StateEntries, {part.name}, static_cast<double>(part.entries));
        if (part.bytes.has_value()) {
            m_metrics.set(metric::StateBytes, {part.name}, static_cast<double>(*part.bytes));
        }
    }
    const auto &clients = m_loop.clientUsage();
    m_metrics.set(metric::ClientConnections, {}, static_cast<double>(clients.connections));
    for (std::size_t i = 0; i < clients.heldBytes.size(); ++i) {
        m_metrics.set(metric::HeldBytes, {net::nameOf(static_cast<net::held_kind>(i))},
                      static_cast<double>(clients.heldBytes.at(i)));
    }
    for (std::size_t i = 0; i < clients.turnedAway.size(); ++i) {
        m_metrics.set(metric::ClientsTurnedAway, {net::nameOf(static_cast<net::turn_away_reason>(i))},
                      static_cast<double>(clients.turnedAway.at(i)));
    }
}

void gateway_daemon::implementation::setSpeedGauges(const fleet::service_speed_report &report)
{
    constexpr double millisecondsPerSecond = 1000;
    const auto isSlow = [](const auto &each) {
        return each.weight < 1 || each.slowdown > 1;
    };
    m_metrics.set(metric::EndpointsSlow, {report.service},
                  static_cast<double>(std::ranges::count_if(report.unusual, isSlow)));
    if (report.tokenMilliseconds.has_value()) {
        m_metrics.set(metric::EnginePrefillSpeed, {report.service},
                      report.typical.prefillTokensPerMillisecond * millisecondsPerSecond);
        m_metrics.set(metric::EngineTokenSeconds, {report.service}, *report.tokenMilliseconds / millisecondsPerSecond);
        m_metrics.set(metric::EngineBatchDelay, {report.service},
                      report.typical.batchDelayPerToken / millisecondsPerSecond);
    }
}

void gateway_daemon::implementation::respond(net::request_id id, const platform::text_response &response)
{
    m_loop.respond(id, response.head, response.body);
}

void gateway_daemon::implementation::handleEvent(gateway::event event)
{
    auto effects = m_gateway.handle(std::move(event), m_clock.now());
    for (auto &effect : effects) {
        std::visit([this](auto &typedEffect) { execute(typedEffect); }, effect);
    }
    m_loop.holdTexts(m_gateway.textBytes());
    m_loop.wakeAt(m_gateway.nextDeadline(), [this] { handleEvent(gateway::tick{}); });
}

void gateway_daemon::implementation::reload(const gateway_settings &settings)
{
    m_settings.directoryLifetime = settings.directoryLifetime;
    m_settings.logLevel = settings.logLevel;
    logging::setLevel(logLevelFromName(settings.logLevel).value_or(log_level::Info));
    logging::write(log_level::Info, "settings_reloaded",
                   {{"daemon", m_settings.name}, {"directory_life_ms", settings.directoryLifetime.count()}});
}

void gateway_daemon::implementation::execute(gateway::start_response &effect)
{
    const auto id = requestOf(effect.caller);
    m_loop.beginStream(id, platform::encodeHead(std::move(effect)));
}

void gateway_daemon::implementation::execute(const gateway::response_bytes &effect)
{
    const auto id = requestOf(effect.caller);
    m_loop.writeStream(id, effect.bytes);
    if (m_loop.bufferedBytes(id) > maxUnsentWhileReading) {
        m_congested = id;
    }
}

void gateway_daemon::implementation::execute(const gateway::end_response &effect)
{
    m_paused.erase(requestOf(effect.caller));
    m_loop.endStream(requestOf(effect.caller));
}

void gateway_daemon::implementation::execute(const gateway::abort_response &effect)
{
    m_paused.erase(requestOf(effect.caller));
    m_loop.abort(requestOf(effect.caller));
}

void gateway_daemon::implementation::execute(const gateway::refuse &effect)
{
    respond(requestOf(effect.caller), platform::encodeRefusal(effect));
}

void gateway_daemon::implementation::execute(gateway::start_dispatch &effect)
{
    const auto dispatch = effect.dispatch;
    const auto attempt = effect.request.attempt;
    const auto client = m_loop.request(
        platform::encodeDispatch(std::move(effect.request)),
        [this, dispatch](const net::client_result &result) {
            m_dispatches.erase(dispatch);
            handleEvent(gateway::dispatch_finished{dispatch, outcomeOf(result)});
        },
        [this, dispatch](std::string_view bytes) {
            m_congested.reset();
            handleEvent(gateway::response_chunk{dispatch, std::string(bytes)});
            pauseIfCongested(dispatch);
        },
        [this, dispatch, attempt](const net::answer_head &head) {
            const auto verdict = platform::checkAttempt(head, attempt);
            if (verdict == net::head_verdict::Take) {
                handleEvent(gateway::response_head{dispatch, platform::decodeHead(head)});
            }
            return verdict;
        });
    m_dispatches.emplace(dispatch, client);
}

// Stops reading from the endpoint while the caller takes its response more slowly than the endpoint sends it.
void gateway_daemon::implementation::pauseIfCongested(gateway::dispatch_id dispatch)
{
    const auto found = m_dispatches.find(dispatch);
    if (m_congested.has_value() && found != m_dispatches.end()) {
        m_loop.pauseReceiving(found->second, true);
        m_paused.insert_or_assign(*m_congested, found->second);
    }
}

void gateway_daemon::implementation::execute(const gateway::cancel_dispatch &effect)
{
    if (const auto node = m_dispatches.extract(effect.dispatch)) {
        m_loop.cancel(node.mapped());
    }
}

void gateway_daemon::implementation::execute(const gateway::probe_endpoint &effect)
{
    m_prober.probe(effect);
}

void gateway_daemon::implementation::execute(const gateway::make_store_call &effect)
{
    m_loop.request(
        platform::encodeStoreCall(m_settings.storeAddress, effect.call, effect.timeout),
        [this, id = effect.id, call = effect.call, startedAt = m_clock.now()](const net::client_result &result) {
            auto reply = platform::decodeStoreReply(call, result);
            countStoreCall(call, reply, startedAt);
            handleEvent(gateway::store_replied{id, std::move(reply)});
        });
}

void gateway_daemon::implementation::countStoreCall(const store::call &call, const store::reply &reply,
                                                    time_point startedAt)
{
    const auto *reason = std::get_if<store::failure>(&reply);
    m_metrics.add(metric::StoreCalls, {store::nameOf(call), reason == nullptr ? "served" : store::nameOf(*reason)});
    if (reason == nullptr) {
        const auto records = gateway::recordKindOf(std::visit(
            [](const auto &body) -> const auto & { return body.where; }, call));
        if (std::holds_alternative<store::appended>(reply)) {
            m_metrics.add(metric::StoreAppendedBytes, {records}, store::recordBytes(call));
        } else if (const auto bytes = store::recordBytes(reply); bytes > 0) {
            m_metrics.add(metric::StoreReadBytes, {records}, bytes);
        }
        const std::chrono::duration<double> elapsed = m_clock.now() - startedAt;
        m_metrics.observe(metric::StoreCallSeconds, {store::nameOf(call)}, elapsed.count(), m_clock.now());
    }
}

void gateway_daemon::implementation::execute(const gateway::increment_counter &effect)
{
    if (effect.secondLabel.empty()) {
        m_metrics.add(effect.id, {effect.firstLabel});
    } else {
        m_metrics.add(effect.id, {effect.firstLabel, effect.secondLabel});
    }
}

void gateway_daemon::implementation::execute(const gateway::record_duration &effect)
{
    const std::chrono::duration<double> time = effect.time;
    m_metrics.observe(effect.id, {effect.label}, time.count(), m_clock.now());
}

void gateway_daemon::implementation::execute(const gateway::open_link &effect)
{
    m_links.open(effect);
}

void gateway_daemon::implementation::execute(const gateway::send_message &effect)
{
    m_links.send(effect);
}

void gateway_daemon::implementation::execute(const gateway::close_link &effect)
{
    m_links.close(effect);
}

void gateway_daemon::implementation::execute(const gateway::log_line &effect)
{
    logging::write(effect.level, effect.event, effect.fields);
}

void gateway_daemon::implementation::execute(const gateway::close_after_responses & /*effect*/)
{
    m_loop.closeAfterAnswers();
}

void gateway_daemon::implementation::execute(const gateway::stop_process &effect)
{
    m_loop.finishServers(idleCloseTime, [this] { m_loop.stop(); });
    m_loop.after(effect.closeTime, [this] {
        m_loop.closeConnections();
        m_loop.stop();
    });
}

} // namespace jackdawpick
