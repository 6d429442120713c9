#include "gateway_daemon/gateway_daemon.h"

#include "gateway_daemon/framed_links.h"
#include "metrics/metrics.h"
#include "platform/platform.h"
#include "results/results.h"

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
// Bodies of all requests that are arriving, and unsent bytes of one answer: hosts are small.
constexpr std::size_t maxArrivingBytes = 24U << 20U;
constexpr std::size_t maxUnsentBytes = 1U << 20U;
// Longer than any caller keeps an idle connection.
constexpr seconds callerIdleTime{60};
constexpr seconds requestArrivalTime{10};

net::listen_options optionsFor(const std::string &address, const gateway_settings &settings)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {.address = address.substr(0, colon),
            .port = port,
            .maxBodyBytes = settings.maxBodyBytes,
            .maxConnections = settings.maxConnections,
            .requestTimeout = requestArrivalTime,
            .keepAliveTimeout = callerIdleTime,
            .maxBufferedBytes = maxArrivingBytes,
            .maxUnsentBytes = maxUnsentBytes};
}

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

gateway::gateway_options optionsFor(const gateway_settings &settings)
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
    options.shutdownTimeout = settings.shutdownLimit;
    options.turnCacheBytes = settings.turnCacheBytes;
    options.turnLocationRetention = settings.turnRetention;
    options.turnLogRetention = settings.keepTurns;
    options.seed = options.self.incarnation;
    return options;
}

gateway::dispatch_outcome endOf(const net::client_result &result)
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
        , m_core(optionsFor(m_settings))
        , m_links(loop, [this](gateway::event what) { feed(std::move(what)); })
    {
    }

    void start();
    void feed(gateway::event what);
    void reload(const gateway_settings &settings);

private:
    void listenForCallers();
    void listenForService(const std::string &address);
    void listenForMetrics();
    void answer(net::request_id id, const platform::text_answer &what);
    void setGauges();
    void countStoreCall(const store::call &call, const store::reply &reply, time_point began);

    void run(gateway::start_response &what);
    void run(const gateway::response_bytes &what);
    void run(const gateway::end_response &what);
    void run(const gateway::abort_response &what);
    void run(const gateway::refuse &what);
    void run(gateway::start_dispatch &what);
    void run(const gateway::cancel_dispatch &what);
    void run(const gateway::make_store_call &what);
    void run(const gateway::open_link &what);
    void run(const gateway::send_message &what);
    void run(const gateway::close_link &what);
    void run(const gateway::log_line &what);
    void run(const gateway::increment_counter &what);
    void run(const gateway::record_duration &what);
    void run(const gateway::close_idle_connections &what);
    void run(const gateway::stop_process &what);

    [[nodiscard]] static net::request_id requestOf(gateway::caller_id caller)
    {
        return net::request_id{static_cast<std::uint64_t>(caller)};
    }

    net::loop &m_loop;
    const clock_source &m_clock;
    gateway_settings m_settings;
    gateway::gateway m_core;
    framed_links m_links;
    metrics_registry m_metrics;
    std::map<gateway::dispatch_id, net::client_id> m_dispatches;
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
    m_impl->feed(gateway::shutdown_requested{});
}

void gateway_daemon::reload(const gateway_settings &settings)
{
    m_impl->reload(settings);
}

void gateway_daemon::implementation::start()
{
    listenForCallers();
    listenForService(m_settings.directory);
    if (m_settings.readiness != m_settings.directory) {
        listenForService(m_settings.readiness);
    }
    if (!m_settings.metrics.empty()) {
        listenForMetrics();
    }
    m_links.listen(optionsFor(m_settings.peers, m_settings));
    m_loop.every(logFlushInterval, [] { logging::flush(); });
    feed(gateway::tick{});
}

void gateway_daemon::implementation::listenForCallers()
{
    m_loop.listenHttp(
        optionsFor(m_settings.callers, m_settings),
        [this](net::http_request request) {
            const gateway::caller_id caller{static_cast<std::uint64_t>(request.id)};
            feed(gateway::request_arrived{caller, platform::decodeRequest(std::move(request))});
        },
        [this](net::request_id id) {
            feed(gateway::caller_disconnected{gateway::caller_id{static_cast<std::uint64_t>(id)}});
        });
}

void gateway_daemon::implementation::listenForService(const std::string &address)
{
    m_loop.listenHttp(optionsFor(address, m_settings), [this](const net::http_request &request) {
        switch (platform::decodeServiceCall(request)) {
        case platform::service_call::Directory:
            answer(request.id, platform::encodeDirectory(m_core.directory(m_clock.now()), m_settings.directoryLife));
            return;
        case platform::service_call::Readiness:
            answer(request.id, platform::encodeReadiness(m_core.ready()));
            return;
        case platform::service_call::Unknown:
            answer(request.id, platform::encodeUnknownCall());
            return;
        }
    });
}

void gateway_daemon::implementation::listenForMetrics()
{
    m_loop.listenHttp(optionsFor(m_settings.metrics, m_settings), [this](const net::http_request &request) {
        if (request.path == "/dump") {
            m_loop.respond(request.id, {}, m_core.dump(m_clock.now()));
            return;
        }
        setGauges();
        m_loop.respond(request.id, {.contentType = "text/plain; version=0.0.4"}, m_metrics.exposition(m_clock.now()));
    });
}

void gateway_daemon::implementation::setGauges()
{
    const auto status = m_core.status(m_clock.now());
    m_metrics.set(metric::OpenRequests, {}, static_cast<double>(status.openRequests));
    m_metrics.set(metric::PeersAlive, {}, static_cast<double>(status.peersAlive));
    m_metrics.set(metric::EndpointsKnown, {}, static_cast<double>(status.endpointsKnown));
    m_metrics.set(metric::StoreReachable, {}, status.storeReachable ? 1 : 0);
    m_metrics.set(metric::ConfigurationVersion, {}, static_cast<double>(status.configuration));
    m_metrics.set(metric::DroppedLogLines, {}, static_cast<double>(logging::droppedLines()));
}

void gateway_daemon::implementation::answer(net::request_id id, const platform::text_answer &what)
{
    m_loop.respond(id, what.head, what.body);
}

void gateway_daemon::implementation::feed(gateway::event what)
{
    auto effects = m_core.handle(std::move(what), m_clock.now());
    for (auto &effect : effects) {
        std::visit([this](auto &body) { run(body); }, effect);
    }
    m_loop.wakeAt(m_core.nextDeadline(), [this] { feed(gateway::tick{}); });
}

void gateway_daemon::implementation::reload(const gateway_settings &settings)
{
    m_settings.directoryLife = settings.directoryLife;
    m_settings.logLevel = settings.logLevel;
    logging::setLevel(logLevelFromName(settings.logLevel).value_or(log_level::Info));
    logging::write(log_level::Info, "settings_reloaded",
                   {{"daemon", m_settings.name}, {"directory_life_ms", settings.directoryLife.count()}});
}

void gateway_daemon::implementation::run(gateway::start_response &what)
{
    const auto id = requestOf(what.caller);
    m_loop.beginStream(id, platform::encodeHead(std::move(what)));
}

void gateway_daemon::implementation::run(const gateway::response_bytes &what)
{
    m_loop.writeStream(requestOf(what.caller), what.bytes);
}

void gateway_daemon::implementation::run(const gateway::end_response &what)
{
    m_loop.endStream(requestOf(what.caller));
}

void gateway_daemon::implementation::run(const gateway::abort_response &what)
{
    m_loop.abort(requestOf(what.caller));
}

void gateway_daemon::implementation::run(const gateway::refuse &what)
{
    answer(requestOf(what.caller), platform::encodeRefusal(what));
}

void gateway_daemon::implementation::run(gateway::start_dispatch &what)
{
    const auto dispatch = what.dispatch;
    const auto attempt = what.attempt;
    const auto client = m_loop.request(
        platform::encodeDispatch(std::move(what)),
        [this, dispatch](const net::client_result &result) {
            m_dispatches.erase(dispatch);
            feed(gateway::dispatch_finished{dispatch, endOf(result)});
        },
        [this, dispatch](std::string_view bytes) {
            feed(gateway::response_chunk{dispatch, std::string(bytes)});
        },
        [this, dispatch, attempt](const net::answer_head &head) {
            const auto verdict = platform::verdictOn(head, attempt);
            if (verdict == net::head_verdict::Take) {
                feed(platform::decodeHead(dispatch, head));
            }
            return verdict;
        });
    m_dispatches.emplace(dispatch, client);
}

void gateway_daemon::implementation::run(const gateway::cancel_dispatch &what)
{
    if (const auto node = m_dispatches.extract(what.dispatch)) {
        m_loop.cancel(node.mapped());
    }
}

void gateway_daemon::implementation::run(const gateway::make_store_call &what)
{
    m_loop.request(platform::encodeStoreCall(m_settings.storeAddress, what.call, what.timeout),
                   [this, id = what.id, call = what.call, began = m_clock.now()](const net::client_result &result) {
                       auto reply = platform::decodeStoreReply(call, result);
                       countStoreCall(call, reply, began);
                       feed(gateway::store_replied{id, std::move(reply)});
                   });
}

void gateway_daemon::implementation::countStoreCall(const store::call &call, const store::reply &reply,
                                                    time_point began)
{
    const auto *reason = std::get_if<store::failure>(&reply);
    m_metrics.add(metric::StoreCalls, {reason == nullptr ? "served" : store::nameOf(*reason)});
    if (reason == nullptr) {
        const std::chrono::duration<double> took = m_clock.now() - began;
        m_metrics.observe(metric::StoreCallSeconds, {store::nameOf(call)}, took.count(), m_clock.now());
    }
}

void gateway_daemon::implementation::run(const gateway::increment_counter &what)
{
    if (what.secondLabel.empty()) {
        m_metrics.add(what.id, {what.firstLabel});
    } else {
        m_metrics.add(what.id, {what.firstLabel, what.secondLabel});
    }
}

void gateway_daemon::implementation::run(const gateway::record_duration &what)
{
    const std::chrono::duration<double> time = what.time;
    m_metrics.observe(what.id, {what.label}, time.count(), m_clock.now());
}

void gateway_daemon::implementation::run(const gateway::open_link &what)
{
    m_links.open(what);
}

void gateway_daemon::implementation::run(const gateway::send_message &what)
{
    m_links.send(what);
}

void gateway_daemon::implementation::run(const gateway::close_link &what)
{
    m_links.close(what);
}

void gateway_daemon::implementation::run(const gateway::log_line &what)
{
    logging::write(what.level, what.event, what.fields);
}

void gateway_daemon::implementation::run(const gateway::close_idle_connections & /*what*/)
{
    m_loop.closeAfterAnswers(true);
}

void gateway_daemon::implementation::run(const gateway::stop_process & /*what*/)
{
    m_loop.stop();
}

} // namespace jackdawpick
