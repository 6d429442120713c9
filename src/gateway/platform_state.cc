// The durable log, what is followed in it, and the other daemons.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace jackdawpick::gateway
{

namespace
{

using internal::watched;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds configurationWait{1000};
// Endpoints report about once a second each, so that a read that waits returns at once; the pause groups the changes.
constexpr milliseconds endpointPause{300};
constexpr milliseconds endpointWait{500};
constexpr milliseconds daemonPause{500};
constexpr milliseconds daemonWait{2000};
// While the direct path is down.
constexpr milliseconds probeInterval{250};
constexpr milliseconds announceRetry{500};
// An endpoint's entry that goes within this time of an outage of the store may have lapsed.
constexpr milliseconds lapseWindow{3000};
// At least one in so many entries goes when entries lapse.
constexpr std::size_t lapsedPart = 3;
constexpr seconds housekeepingInterval{5};
// Callers keep the list of addresses for a while after this daemon has left it.
constexpr milliseconds shortestShutdown{3200};
constexpr milliseconds idleCloseBefore{200};
// The end of the last answer gets this long to be written.
constexpr milliseconds lastAnswerTime{250};

internal::keyed_watch makeWatch(const store::partition &where, milliseconds pause, milliseconds wait)
{
    return internal::keyed_watch({.where = where, .pause = pause, .wait = wait});
}

} // namespace

gateway::implementation::implementation(gateway_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_turns(m_options.turnCacheBytes, m_options.turnLocationRetention)
    , m_peers(m_options.self)
    , m_watches{makeWatch(m_options.layout.configuration, milliseconds(0), configurationWait),
                makeWatch(m_options.layout.endpoints, endpointPause, endpointWait),
                makeWatch(m_options.layout.daemons, daemonPause, daemonWait)}
{
}

std::vector<effect> gateway::implementation::handle(event what, time_point now)
{
    std::visit([&](auto &body) { on(body, now); }, what);
    expireCalls(now);
    pollPlatform(now);
    drainInternal(now);
    noteStoreState(now);
    tickPeers(now);
    tickShutdown(now);
    return std::exchange(m_out, {});
}

void gateway::implementation::on(const tick & /*what*/, time_point now)
{
    m_log.tick(now);
    tickBudgets(now);
    for (const auto link : m_store.tick(now)) {
        m_peers.storeFailedAt(link);
    }
    if (m_housekeepingAt <= now) {
        m_housekeepingAt = now + housekeepingInterval;
        m_turns.evictExpired(now);
        std::erase_if(m_failingUntil, [now](const auto &entry) { return entry.second <= now; });
        forgetIdleBudgets(now);
        m_crashes.forgetExpired(now);
    }
}

std::optional<time_point> gateway::implementation::nextDeadline() const
{
    std::optional<time_point> earliest;
    const auto consider = [&earliest](std::optional<time_point> when) {
        if (when.has_value()) {
            earliest = std::min(earliest.value_or(*when), *when);
        }
    };
    consider(m_log.nextDeadline());
    consider(nextBudgetDeadline());
    consider(m_store.nextDeadline());
    consider(m_peers.nextDeadline());
    for (const auto &watch : m_watches) {
        consider(watch.nextPoll());
    }
    if (m_storeSuspect) {
        consider(m_probeAt);
    }
    if (!m_announceOpen) {
        consider(m_announceAt);
    }
    if (!m_deadlines.empty()) {
        consider(m_deadlines.begin()->first);
    }
    consider(nextShutdownStep());
    return earliest;
}

// ---- Store calls ----

void gateway::implementation::startStoreCall(internal::store_owner owner, store::call what, time_point now)
{
    m_store.start(std::move(owner), std::move(what), relayLink(now), now, m_out);
}

std::optional<link_id> gateway::implementation::relayLink(time_point now) const
{
    return m_peers.linkWithStore(random(), now);
}

bool gateway::implementation::storeAvailable(time_point now) const
{
    return m_store.paths().isDirectPathUp(now) || relayLink(now).has_value();
}

// Carries results between the parts until none is left.
void gateway::implementation::drainInternal(time_point now)
{
    for (bool more = true; more;) {
        more = false;
        for (const auto &done : m_store.takeCompletions()) {
            onCompletion(done, now);
            more = true;
        }
        for (auto &output : m_log.takeOutputs()) {
            std::visit([&](auto &body) { onLogOutput(body, now); }, output);
            more = true;
        }
        more = takeBudgetOutputs(now) || more;
    }
}

void gateway::implementation::on(const store_replied &what, time_point now)
{
    m_store.onDirectReply(what, now);
}

// Says when the store was lost or regained; the other daemons learn it at once.
void gateway::implementation::noteStoreState(time_point now)
{
    m_storeSuspect = m_store.paths().isSuspect(now);
    const bool reachable = m_store.paths().isDirectPathUp(now);
    if (std::exchange(m_storeSeen, reachable) != reachable) {
        log(reachable ? log_level::Info : log_level::Warning, reachable ? "store_regained" : "store_lost",
            {{"relays", relayLink(now).has_value()}});
        m_beatNow = true;
    }
}

void gateway::implementation::onCompletion(const internal::store_completion &done, time_point now)
{
    std::visit([&](const auto &owner) { complete(owner, done.result, now); }, done.owner);
}

void gateway::implementation::complete(const internal::for_partition_log &owner, const store::reply &result,
                                       time_point now)
{
    m_log.onReply(owner.call, result, now);
}

void gateway::implementation::complete(const internal::for_turn &owner, const store::reply &result, time_point now)
{
    if (auto *value = findCall(owner.caller); value != nullptr) {
        onTurnRead(*value, result, now);
    }
}

void gateway::implementation::complete(const internal::for_presence & /*owner*/, const store::reply &result,
                                       time_point now)
{
    m_announceOpen = false;
    // Nothing more to announce until the shutdown.
    const bool done = std::holds_alternative<store::appended>(result);
    m_announceAt = done ? time_point::max() : now + announceRetry;
}

void gateway::implementation::complete(const internal::for_nobody & /*owner*/, const store::reply &result,
                                       time_point /*now*/)
{
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Debug, "trim_failed", {{"reason", store::nameOf(*reason)}}); // The next one reaches further.
    }
}

void gateway::implementation::complete(const internal::for_probe & /*owner*/, const store::reply & /*result*/,
                                       time_point now)
{
    m_probeAt = now + probeInterval;
}

void gateway::implementation::complete(const internal::for_peer &owner, const store::reply &result, time_point /*now*/)
{
    m_out.emplace_back(send_message{owner.link, peers::store_response{owner.request, result}});
}

void gateway::implementation::onLogOutput(store::start_call &output, time_point now)
{
    startStoreCall(internal::for_partition_log{output.id}, std::move(output.what), now);
}

void gateway::implementation::onLogOutput(const store::deliver_records &output, time_point now)
{
    for (const auto &entry : output.records) {
        auto record = programs::decodeRecord(entry.value);
        if (!record.has_value()) {
            log(log_level::Warning, "record_unreadable",
                {{"topic", output.where.topic}, {"part", output.where.number}, {"offset", entry.offset}});
        } else if (auto *turn = std::get_if<programs::turn>(&*record)) {
            m_turns.add(turn->id, std::move(turn->history), {output.where, entry.offset}, now);
        }
    }
}

void gateway::implementation::onLogOutput(const store::ticket_result &output, time_point now)
{
    const auto node = m_tickets.extract(output.ticket);
    auto *value = node ? findCall(node.mapped().caller) : nullptr;
    if (value == nullptr) {
        return;
    }
    switch (node.mapped().use) {
    case ticket_use::History:
        onHistoryRead(*value, output.done, now);
        return;
    case ticket_use::SaveTurn:
        onSaved(*value, output, now);
        return;
    }
}

// ---- Watches ----

void gateway::implementation::pollPlatform(time_point now)
{
    for (std::size_t i = 0; i < m_watches.size(); ++i) {
        if (auto due = m_watches[i].poll(now); due.has_value()) {
            startStoreCall(internal::for_watch{static_cast<watched>(i)}, std::move(*due), now);
        }
    }
    if (m_store.paths().isSuspect(now) && m_probeAt <= now) {
        m_probeAt = time_point::max();
        startStoreCall(internal::for_probe{}, store::read_call{.where = m_options.layout.daemons, .keyed = true}, now);
    }
    announceSelf(now);
}

void gateway::implementation::announceSelf(time_point now)
{
    if (m_announceOpen || m_announceAt > now) {
        return;
    }
    m_announceOpen = true;
    const auto &self = m_options.self;
    startStoreCall(internal::for_presence{},
                   store::put_call{m_options.layout.daemons, self.name, peers::encodeMessage(self)}, now);
}

void gateway::implementation::complete(const internal::for_watch &owner, const store::reply &result, time_point now)
{
    const auto update = m_watches.at(static_cast<std::size_t>(owner.which)).onReply(result, now);
    switch (owner.which) {
    case watched::Configuration:
        for (const auto &record : update.records) {
            if (record.key == m_options.layout.configurationKey && !record.value.empty()) {
                applyConfiguration(record.value, now);
            }
        }
        return;
    case watched::Endpoints:
        applyEndpoints(update, now);
        return;
    case watched::Daemons:
        applyDaemons(update, now);
        return;
    }
}

// Versions only ever increase within the life of the process.
void gateway::implementation::applyConfiguration(std::string_view text, time_point now)
{
    auto decoded = m_options.layout.decodeConfiguration(text);
    const auto current = m_table == nullptr ? 0 : m_table->source().version;
    if (!decoded.has_value()) {
        log(log_level::Error, "configuration_unreadable", {{"bytes", text.size()}, {"in_force", current}});
        return;
    }
    if (m_table != nullptr && decoded->version <= current) {
        return;
    }
    log(log_level::Info, "configuration_applied",
        {{"version", decoded->version}, {"before", current}, {"routes", decoded->routes.size()}});
    m_table = std::make_shared<const routing::route_table>(std::move(*decoded));
    m_beatNow = true;
    applyConnectionLimits(now);
}

void gateway::implementation::applyConnectionLimits(time_point now)
{
    if (m_table == nullptr) {
        return;
    }
    const auto daemons = m_peers.alive(now).size() + 1;
    for (const auto &service : m_table->source().services) {
        m_pool.setConnectionLimit(service.name, service.maxConnections, daemons);
    }
}

// Entries lapse together while the store is away; one that goes alone has left.
bool gateway::implementation::entriesMayHaveLapsed(const internal::watch_update &update, time_point now) const
{
    const auto gone = static_cast<std::size_t>(
        std::ranges::count_if(update.records, [](const auto &record) { return record.value.empty(); }));
    const auto missing =
        update.listed.has_value() && update.listed->size() < m_pool.size() ? m_pool.size() - update.listed->size() : 0;
    return m_store.paths().wasDownWithin(lapseWindow, now)
        && std::max(gone, missing) * lapsedPart >= std::max<std::size_t>(m_pool.size(), 1);
}

void gateway::implementation::applyEndpoints(const internal::watch_update &update, time_point now)
{
    const bool lapsed = entriesMayHaveLapsed(update, now);
    for (const auto &record : update.records) {
        if (record.value.empty()) {
            m_pool.remove(record.key, lapsed, now);
            log(log_level::Info, "endpoint_withdrawn",
                {{"endpoint", record.key}, {"offset", record.offset}, {"may_have_lapsed", lapsed}});
            continue;
        }
        const auto entry = m_options.layout.decodeEndpoint(record.key, record.value);
        if (!entry.has_value()) {
            log(log_level::Warning, "endpoint_unreadable", {{"key", record.key}, {"offset", record.offset}});
            continue;
        }
        if (m_pool.upsert(*entry, now)) {
            log(log_level::Info, "endpoint_changed",
                {{"endpoint", entry->id},
                 {"service", entry->service},
                 {"address", entry->address},
                 {"draining", entry->draining},
                 {"offset", record.offset}});
        }
    }
    if (update.listed.has_value()) {
        m_pool.keepOnly(*update.listed, lapsed, now);
    }
}

void gateway::implementation::applyDaemons(const internal::watch_update &update, time_point now)
{
    for (const auto &record : update.records) {
        if (record.value.empty()) {
            m_peers.forget(record.key, m_out);
            m_pool.removePeer(record.key);
            continue;
        }
        const auto message = peers::decodeMessage(record.value);
        if (const auto *who = message.has_value() ? std::get_if<peers::hello>(&*message) : nullptr) {
            m_peers.learn(*who, now);
        } else {
            log(log_level::Warning, "daemon_unreadable", {{"key", record.key}, {"offset", record.offset}});
        }
    }
}

// ---- Peers ----

void gateway::implementation::on(const link_opened &what, time_point now)
{
    m_peers.onOpened(what, now, m_out);
}

void gateway::implementation::on(const link_message &what, time_point now)
{
    if (const auto *who = std::get_if<peers::hello>(&what.content)) {
        m_peers.onHello(what.link, *who, now);
    } else if (const auto *beat = std::get_if<peers::heartbeat>(&what.content)) {
        m_peers.onBeat(what.link, *beat, now);
        m_pool.setPeerLoads(m_peers.nameOf(what.link), beat->loads, now);
        applyConnectionLimits(now);
    } else if (const auto *runs = std::get_if<peers::run_reports>(&what.content)) {
        std::ranges::for_each(runs->reports, [&](const auto &report) { m_crashes.onReport(report, now); });
    } else if (const auto *request = std::get_if<peers::store_request>(&what.content)) {
        startStoreCall(internal::for_peer{what.link, request->id}, request->what, now);
    } else if (const auto *response = std::get_if<peers::store_response>(&what.content)) {
        if (!m_store.onRelayReply(what.link, *response)) {
            m_peers.storeFailedAt(what.link);
        }
    } else {
        onBudgetMessage(what, now);
    }
}

void gateway::implementation::on(const link_closed &what, time_point now)
{
    m_store.onLinkClosed(what.link);
    failBudgetRequests(what.link, now);
    const auto name = m_peers.onClosed(what.link, now);
    if (!name.empty()) {
        log(log_level::Warning, "peer_link_closed", {{"peer", name}});
    }
}

peers::heartbeat gateway::implementation::ownBeat(time_point now) const
{
    return {.ready = ready(),
            .storeReachable = m_store.paths().isDirectPathUp(now),
            .configuration = m_table == nullptr ? 0 : m_table->source().version,
            .loads = m_pool.localLoads()};
}

void gateway::implementation::tickPeers(time_point now)
{
    m_peers.tick(ownBeat(now), std::exchange(m_beatNow, false), now, m_out);
    if (auto reports = m_crashes.takeReports(); !reports.empty()) {
        m_peers.broadcast(peers::run_reports{std::move(reports)}, m_out);
    }
}

// ---- Readiness and shutdown ----

bool gateway::implementation::ready() const
{
    return m_table != nullptr && !m_shutdownBegan.has_value();
}

std::vector<std::string> gateway::implementation::directory(time_point now) const
{
    auto addresses = m_peers.readyAddresses(now);
    if (ready() || addresses.empty()) {
        addresses.push_back(m_options.self.callerAddress);
    }
    return addresses;
}

gateway_status gateway::implementation::status(time_point now) const
{
    return {.openRequests = m_calls.size(),
            .peersAlive = m_peers.alive(now).size(),
            .endpointsKnown = m_pool.size(),
            .storeReachable = m_store.paths().isDirectPathUp(now),
            .configuration = m_table == nullptr ? 0 : m_table->source().version};
}

void gateway::implementation::on(const shutdown_requested & /*what*/, time_point now)
{
    if (m_shutdownBegan.has_value()) {
        return;
    }
    m_shutdownBegan = now;
    m_beatNow = true;
    log(log_level::Info, "shutdown_began", {{"open_requests", m_calls.size()}});
}

// Only steps that are still to come: a time in the past would wake the loop again and again.
std::optional<time_point> gateway::implementation::nextShutdownStep() const
{
    if (!m_shutdownBegan.has_value() || m_stopped) {
        return std::nullopt;
    }
    if (!m_idleClosed) {
        return *m_shutdownBegan + shortestShutdown - idleCloseBefore;
    }
    if (m_calls.empty()) {
        return std::max(*m_shutdownBegan + shortestShutdown, m_lastEnd + lastAnswerTime);
    }
    return *m_shutdownBegan + m_options.shutdownTimeout;
}

void gateway::implementation::tickShutdown(time_point now)
{
    if (!m_shutdownBegan.has_value() || m_stopped) {
        return;
    }
    const auto passed = now - *m_shutdownBegan;
    if (!m_idleClosed && passed >= shortestShutdown - idleCloseBefore) {
        m_idleClosed = true;
        m_out.emplace_back(close_idle_connections{});
    }
    const bool quiet = m_calls.empty() && now - m_lastEnd >= lastAnswerTime;
    if ((passed >= shortestShutdown && quiet) || passed >= m_options.shutdownTimeout) {
        m_stopped = true;
        log(log_level::Info, "shutdown_complete", {{"open_requests", m_calls.size()}});
        m_out.emplace_back(stop_process{});
    }
}

// ---- Reports ----

void gateway::implementation::log(log_level level, std::string_view name, std::vector<log_field> fields)
{
    m_out.emplace_back(log_line{level, std::string(name), std::move(fields)});
}

double gateway::implementation::random() const
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::string gateway::implementation::dump(time_point now) const
{
    nlohmann::json loads = nlohmann::json::object();
    for (const auto &[endpoint, count] : m_pool.localLoads()) {
        loads[endpoint] = count;
    }
    nlohmann::json peers = nlohmann::json::array();
    for (const auto *who : m_peers.alive(now)) {
        peers.push_back(who->name);
    }
    const nlohmann::json state{{"daemon", m_options.self.name},
                               {"ready", ready()},
                               {"shutting_down", m_shutdownBegan.has_value()},
                               {"configuration", m_table == nullptr ? 0 : m_table->source().version},
                               {"store_direct", m_store.paths().isDirectPathUp(now)},
                               {"open_requests", m_calls.size()},
                               {"endpoints", m_pool.size()},
                               {"loads", loads},
                               {"peers_alive", peers},
                               {"budget_partitions", m_budgets.size()},
                               {"turn_cache_bytes", m_turns.bytes()}};
    return state.dump(2);
}

} // namespace jackdawpick::gateway
