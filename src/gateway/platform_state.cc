// The durable log, the watches on its partitions, and the reports of the daemon's state.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace jackdawpick::gateway
{

namespace
{

using internal::watch_id;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds configurationLongPollTimeout{1000};
// Each endpoint reports about once a second, so a long poll returns almost at once; the poll interval batches the
// changes.
constexpr milliseconds endpointPollInterval{300};
constexpr milliseconds endpointLongPollTimeout{500};
constexpr milliseconds daemonPollInterval{500};
constexpr milliseconds daemonLongPollTimeout{2000};
// Time between probes while the direct path is down.
constexpr milliseconds probeInterval{250};
// An entry of an endpoint that is removed within this time of an outage of the store may have expired.
constexpr milliseconds expiryWindow{3000};
// Removals are taken for expiry only if at least one in this many entries is removed at the same time.
constexpr std::size_t expiredShareDivisor = 3;
constexpr seconds housekeepingInterval{5};
// Of the names of daemons that have the texts of turns. Without one a history is read from the store.
constexpr std::size_t maxTurnHolderBytes = 2U << 20U;

internal::keyed_watch makeWatch(const store::partition &where, milliseconds pollInterval, milliseconds longPollTimeout)
{
    return internal::keyed_watch({.where = where, .pollInterval = pollInterval, .longPollTimeout = longPollTimeout});
}

nlohmann::json describeSpeeds(const std::vector<fleet::service_speed_report> &reports)
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &report : reports) {
        nlohmann::json unusual = nlohmann::json::object();
        for (const auto &endpoint : report.unusual) {
            unusual[endpoint.id] = {
                {"lasting", endpoint.lasting}, {"weight", endpoint.weight}, {"slowdown", endpoint.slowdown}};
        }
        services[report.service] = {{"prefill_tokens_per_ms", report.typical.prefillTokensPerMillisecond},
                                    {"batch_delay_ms", report.typical.batchDelayPerToken},
                                    {"token_ms", report.tokenMilliseconds.value_or(0)},
                                    {"holder_share", report.holderShare},
                                    {"unusual_endpoints", std::move(unusual)}};
    }
    return services;
}

nlohmann::json describeHeld(const std::vector<held_state> &parts)
{
    nlohmann::json held = nlohmann::json::object();
    for (const auto &part : parts) {
        held[std::string(part.name)]["entries"] = part.entries;
        if (part.bytes.has_value()) {
            held[std::string(part.name)]["bytes"] = *part.bytes;
        }
    }
    return held;
}

} // namespace

gateway::implementation::implementation(gateway_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_crashes(m_options.endpointHeartbeat)
    , m_crashWrites(m_options.seed)
    , m_turnHolders(maxTurnHolderBytes)
    , m_turns({.textBytes = m_options.turnCacheBytes,
               .chainBytes = m_options.turnChainBytes,
               .retention = m_options.turnLocationRetention})
    , m_peers(m_options.self)
    , m_watches{makeWatch(m_options.layout.configuration, milliseconds(0), configurationLongPollTimeout),
                makeWatch(m_options.layout.endpoints, endpointPollInterval, endpointLongPollTimeout),
                makeWatch(m_options.layout.daemons, daemonPollInterval, daemonLongPollTimeout)}
    , m_quotas(m_options.quotaRule)
{
}

std::vector<effect> gateway::implementation::handle(event input, time_point now)
{
    if (const auto pause = m_peers.onTime(now); pause.has_value()) {
        onResumed(*pause, now);
    }
    std::visit([&](auto &body) { on(body, now); }, input);
    expireRequests(now);
    startDueStoreCalls(now);
    processInternalOutputs(now);
    updateStoreState(now);
    logKeyValidity(now);
    checkPaths(now);
    tickPeers(now);
    tickCrashes(now);
    tickShutdown(now);
    return std::exchange(m_effects, {});
}

void gateway::implementation::on(const tick & /*received*/, time_point now)
{
    m_log.tick(now);
    tickBudgets(now);
    tickQuotas(now);
    trimDuePartitions(now);
    markFullPartitions(now);
    dispatchWaiting(now);
    continueDueSegments(now);
    for (const auto link : m_store.tick(now)) {
        m_peers.markStoreUnreachable(link);
    }
    if (m_housekeepingAt <= now) {
        m_housekeepingAt = now + housekeepingInterval;
        m_turns.evictExpired(now);
        std::erase_if(m_partitionBackoffUntil, [now](const auto &entry) { return entry.second <= now; });
        evictIdleBudgets(now);
        evictCrashes(now);
        evictExpiredLimits(now);
        evictIdleQuotas(now);
        m_pool.evictExpiredStatements(now);
        removeGoneDaemons(now);
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
    consider(nextQuotaDeadline());
    consider(nextTrimCheck());
    consider(nextWaitingDispatch());
    consider(nextSegments());
    consider(nextCrashWrite());
    consider(nextRunCheck());
    consider(m_paths.nextProbe());
    consider(m_store.nextDeadline());
    consider(m_peers.nextDeadline());
    for (const auto &watch : m_watches) {
        consider(watch.nextPoll());
    }
    if (m_storeSuspect) {
        consider(m_probeAt);
    }
    if (!m_registrationPending) {
        consider(m_registerAt);
    }
    if (!m_deadlines.empty()) {
        consider(m_deadlines.begin()->first);
    }
    consider(nextShutdownStep());
    return earliest;
}

// ---- Store calls ----

void gateway::implementation::startStoreCall(internal::store_call_owner owner, store::call call, time_point now)
{
    m_store.start(std::move(owner), std::move(call), relayLink(now), now, m_effects);
}

std::optional<link_id> gateway::implementation::relayLink(time_point now) const
{
    return m_peers.linkToPeerWithStore(random(), now);
}

bool gateway::implementation::storeAvailable(time_point now) const
{
    return m_store.paths().isDirectPathUp(now) || relayLink(now).has_value();
}

// Delivers the outputs of the components to each other until none is left.
void gateway::implementation::processInternalOutputs(time_point now)
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
        more = processBudgetOutputs(now) || more;
        more = pollQuotaLeases(now) || more;
    }
}

void gateway::implementation::on(const store_replied &received, time_point now)
{
    m_store.onDirectReply(received, now);
}

// Logs a change in the reachability or the room of the store; reports the former to the peers without delay.
void gateway::implementation::updateStoreState(time_point now)
{
    m_storeSuspect = m_store.paths().isSuspect(now);
    const bool reachable = m_store.paths().isDirectPathUp(now);
    if (std::exchange(m_storeWasReachable, reachable) != reachable) {
        log(reachable ? log_level::Info : log_level::Warning, reachable ? "store_regained" : "store_lost",
            {{"relays", relayLink(now).has_value()}});
        requestHeartbeat(internal::peer_table::urgency::Soon);
    }
    if (const auto change = m_store.room().takeChange(); change.has_value()) {
        log(change->full ? log_level::Warning : log_level::Info, change->full ? "store_full" : "store_has_room",
            {{"call", change->call},
             {"topic", change->where.topic},
             {"part", change->where.number},
             {"full_ms", change->fullFor.count()}});
    }
}

void gateway::implementation::onCompletion(const internal::store_completion &done, time_point now)
{
    std::visit([&](const auto &owner) { complete(owner, done.result, now); }, done.owner);
}

void gateway::implementation::complete(const internal::partition_log_owner &owner, const store::reply &result,
                                       time_point now)
{
    m_log.onReply(owner.call, result, now);
}

void gateway::implementation::complete(const internal::turn_read_owner &owner, const store::reply &result,
                                       time_point now)
{
    if (auto *context = findRequest(owner.caller); context != nullptr) {
        onTurnRead(*context, owner.index, result, now);
    }
}

void gateway::implementation::complete(const internal::probe_owner & /*owner*/, const store::reply & /*result*/,
                                       time_point now)
{
    m_probeAt = now + probeInterval;
}

void gateway::implementation::complete(const internal::peer_owner &owner, const store::reply &result,
                                       time_point /*now*/)
{
    m_effects.emplace_back(send_message{owner.link, peers::store_response{owner.request, result}});
}

void gateway::implementation::onLogOutput(store::start_call &output, time_point now)
{
    startStoreCall(internal::partition_log_owner{output.id}, std::move(output.what), now);
}

void gateway::implementation::onLogOutput(const store::deliver_records &output, time_point now)
{
    for (const auto &entry : output.records) {
        auto record = programs::decodeRecord(entry.value);
        if (!record.has_value()) {
            log(log_level::Warning, "record_unreadable",
                {{"topic", output.where.topic}, {"part", output.where.number}, {"offset", entry.offset}});
        } else if (auto *turn = std::get_if<programs::turn>(&*record)) {
            onTurnDelivered(*turn, locationOf(output.where, entry.offset, entry.value.size()), now);
        }
    }
}

void gateway::implementation::onLogOutput(const store::ticket_result &output, time_point now)
{
    if (const auto read = m_settlementReads.extract(output.ticket); read) {
        onSettlementRead(read.mapped(), output.done, now);
        return;
    }
    const auto node = m_tickets.extract(output.ticket);
    auto *context = node ? findRequest(node.mapped().caller) : nullptr;
    if (context == nullptr) {
        return;
    }
    switch (node.mapped().use) {
    case ticket_use::History:
        onHistoryPartitionRead(*context, output.done, now);
        return;
    case ticket_use::WriteTurn:
        onTurnWritten(*context, output, now);
        return;
    case ticket_use::WriteSegment:
        onSegmentWritten(*context, node.mapped().segment, output, now);
        return;
    }
}

// ---- Watches ----

void gateway::implementation::startDueStoreCalls(time_point now)
{
    for (std::size_t i = 0; i < m_watches.size(); ++i) {
        if (auto due = m_watches[i].poll(now); due.has_value()) {
            startStoreCall(internal::watch_owner{static_cast<watch_id>(i)}, std::move(*due), now);
        }
    }
    if (m_store.paths().isSuspect(now) && m_probeAt <= now) {
        m_probeAt = time_point::max();
        startStoreCall(internal::probe_owner{},
                       store::read_call{.where = m_options.layout.daemons, .maxKilobytes = 1, .keyed = true}, now);
    }
    registerSelf(now);
}

void gateway::implementation::complete(const internal::watch_owner &owner, const store::reply &result, time_point now)
{
    const auto update = m_watches.at(static_cast<std::size_t>(owner.which)).onReply(result, now);
    switch (owner.which) {
    case watch_id::Configuration:
        for (const auto &record : update.records) {
            if (record.key == m_options.layout.configurationKey && !record.value.empty()) {
                applyConfiguration(record.value, now);
            }
        }
        return;
    case watch_id::Endpoints:
        applyEndpoints(update, now);
        return;
    case watch_id::Daemons:
        applyDaemons(update, now);
        return;
    }
}

// The version in force never decreases during the lifetime of the process.
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
    updateTurnRetention(*decoded);
    applyQuotas(*decoded, now);
    if (m_table == nullptr) { // This daemon is ready from now on.
        requestHeartbeat(internal::peer_table::urgency::Soon);
    }
    m_table = std::make_shared<const routing::route_table>(std::move(*decoded));
    applyConnectionLimits(now);
}

void gateway::implementation::applyConnectionLimits(time_point now)
{
    if (m_table == nullptr) {
        return;
    }
    const auto sharers = m_peers.aliveCount(now) + 1;
    for (const auto &service : m_table->source().services) {
        m_pool.setConnectionLimit(service.name, service.maxConnections, sharers);
        m_pool.setEngineMemory(service.name, service.engine.has_value() ? service.engine->cacheTokens : 0);
    }
}

// Entries expire together while the store is unavailable; an entry that is removed alone belongs to an endpoint that
// left.
bool gateway::implementation::entriesMayHaveExpired(const internal::watch_update &update, time_point now) const
{
    const auto gone = static_cast<std::size_t>(
        std::ranges::count_if(update.records, [](const auto &record) { return record.value.empty(); }));
    const auto missing = update.allKeys.has_value() && update.allKeys->size() < m_pool.size()
        ? m_pool.size() - update.allKeys->size()
        : 0;
    const auto &paths = m_store.paths();
    return (paths.wasDownWithin(expiryWindow, now)
            || paths.wasRefusedWithin(m_options.layout.endpoints, expiryWindow, now))
        && std::max(gone, missing) * expiredShareDivisor >= std::max<std::size_t>(m_pool.size(), 1);
}

void gateway::implementation::applyEndpoints(const internal::watch_update &update, time_point now)
{
    const bool mayHaveExpired = entriesMayHaveExpired(update, now);
    for (const auto &record : update.records) {
        if (record.value.empty()) {
            noteEndpointUnlisted(record.key, mayHaveExpired, now);
            m_pool.remove(record.key, mayHaveExpired, now);
            log(log_level::Info, "endpoint_withdrawn",
                {{"endpoint", record.key}, {"offset", record.offset}, {"may_have_lapsed", mayHaveExpired}});
            continue;
        }
        const auto entry = m_options.layout.decodeEndpoint(record.key, record.value);
        if (!entry.has_value()) {
            log(log_level::Warning, "endpoint_unreadable", {{"key", record.key}, {"offset", record.offset}});
            continue;
        }
        if (m_pool.bornOf(entry->id).value_or(entry->born) != entry->born) {
            noteEndpointUnlisted(entry->id, false, now);
        }
        const bool isChanged = m_pool.upsert(*entry, now);
        m_pool.setRateLimit(entry->id, m_limits.rateOf(entry->id));
        if (isChanged) {
            log(log_level::Info, "endpoint_changed",
                {{"endpoint", entry->id},
                 {"service", entry->service},
                 {"address", entry->address},
                 {"draining", entry->draining},
                 {"offset", record.offset}});
        }
    }
    if (update.allKeys.has_value()) {
        noteUnlistedEndpoints(*update.allKeys, mayHaveExpired, now);
        m_pool.keepOnly(*update.allKeys, mayHaveExpired, now);
    }
}

// ---- Reports ----

gateway_status gateway::implementation::status(time_point now) const
{
    const auto unwritten = unwrittenBudgetRecords();
    return {.openRequests = m_requests.size(),
            .peersAlive = m_peers.aliveCount(now),
            .endpointsKnown = m_pool.size(),
            .endpointsLimited = m_limits.inForce().size(),
            .requestsBlocked = m_crashes.blockedCount(now),
            .endpointsReachable = !m_paths.isCutOff(),
            .storeReachable = m_store.paths().isDirectPathUp(now),
            .storeFull = m_store.room().isFull(),
            .unwrittenReservations = unwritten.reservations,
            .unwrittenSettlements = unwritten.settlements,
            .oldestUnwritten = millisecondsBetween(unwritten.oldest.value_or(now), now),
            .configuration = m_table == nullptr ? 0 : m_table->source().version,
            .configurationAge = configurationAge(now).value_or(gateway_status().configurationAge),
            .speeds = m_pool.speeds(now),
            .utilisations = utilisations(now),
            .quotaGroupsHeld = quotaGroupsHeld(now),
            .held = heldState()};
}

void gateway::implementation::log(log_level level, std::string_view name, std::vector<log_field> fields)
{
    m_effects.emplace_back(log_line{level, std::string(name), std::move(fields)});
}

double gateway::implementation::random() const
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

// What grows with the load. docs/design/memory.md has the bound of each.
std::vector<held_state> gateway::implementation::heldState() const
{
    const auto programCount = [](std::size_t sum, const auto &entry) {
        return sum + entry.second.programCount();
    };
    return {{.name = "open_requests", .entries = m_requests.size()},
            {.name = "store_tickets", .entries = m_tickets.size()},
            {.name = "turn_chains", .entries = m_turns.size(), .bytes = m_turns.chainBytes()},
            {.name = "turn_texts", .entries = m_turns.textCount(), .bytes = m_turns.textBytes()},
            {.name = "turn_holders", .entries = m_turnHolders.size(), .bytes = m_turnHolders.bytes()},
            {.name = "programs",
             .entries = std::accumulate(m_budgets.begin(), m_budgets.end(), std::size_t{0}, programCount)},
            {.name = "sent_usages", .entries = m_sentUsages.size()},
            {.name = "settlement_checks", .entries = m_settlementChecks.size()},
            {.name = "trim_marks", .entries = m_marks.all().size()},
            {.name = "crash_contents", .entries = m_crashes.contentCount()}};
}

std::string gateway::implementation::dump(time_point now) const
{
    const auto current = status(now);
    nlohmann::json loads = nlohmann::json::object();
    nlohmann::json tokens = nlohmann::json::object();
    for (const auto &load : m_pool.localLoads()) {
        loads[load.endpoint] = load.requests;
        tokens[load.endpoint] = load.tokens.value_or(0);
    }
    nlohmann::json engines = nlohmann::json::object();
    for (const auto &service : current.utilisations) {
        engines[service.service] = {{"utilisation_slots", service.bySlots},
                                    {"utilisation_memory", service.byMemory},
                                    {"memory_tokens", service.memoryTokens},
                                    {"shared_tokens", service.sharedTokens}};
    }
    nlohmann::json peers = nlohmann::json::array();
    for (const auto *identity : m_peers.alive(now)) {
        peers.push_back(identity->name);
    }
    const nlohmann::json room{{"services", engines}, {"own_tokens", tokens}, {"waiting", m_waitingRequests.size()}};
    const nlohmann::json state{{"daemon", m_options.self.name},
                               {"ready", ready()},
                               {"shutting_down", m_shutdownBegan.has_value()},
                               {"configuration", m_table == nullptr ? 0 : m_table->source().version},
                               {"configuration_age_ms", current.configurationAge.count()},
                               {"asks_for_keys", m_table != nullptr && m_table->asksForKeys()},
                               {"tenants", m_table == nullptr ? 0 : m_table->tenants().size()},
                               {"store_direct", m_store.paths().isDirectPathUp(now)},
                               {"endpoints_reachable", !m_paths.isCutOff()},
                               {"open_requests", m_requests.size()},
                               {"relayed_requests", m_relayed.size()},
                               {"blocked_requests", m_crashes.blockedCount(now)},
                               {"open_runs", m_crashes.openRunCount()},
                               {"endpoints", m_pool.size()},
                               {"loads", loads},
                               {"engine_room", room},
                               {"peers_alive", peers},
                               {"budget_partitions", m_budgets.size()},
                               {"state", describeHeld(current.held)},
                               {"speeds", describeSpeeds(current.speeds)},
                               {"quotas", dumpQuotas(now)}};
    return state.dump(2);
}

} // namespace jackdawpick::gateway
