// Quotas of tenants. The permits of a group of tenants are issued by the daemon that holds the lease of the group; all
// daemons ask it for a permit for each request of a tenant with a limit, side by side with the budget and the history.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jackdawpick::gateway
{

namespace
{

using internal::quota_group;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t maxGroups = 8;
constexpr std::string_view quotaTopic = "quotas-0";
// Between two rankings of the daemons while no change of them is noticed.
constexpr milliseconds rankInterval{250};
// The issuer answers from memory; a longer silence means that it is gone or overloaded.
constexpr milliseconds replyTimeout{100};
// How long a reply is still awaited for the sake of its permits.
constexpr seconds replyRetention{2};
// A new issuer needs the lease of the former one to run out; a request waits for it for this time, and for no more than
// a share of the time that it has left.
constexpr milliseconds maxQuotaWait{600};
constexpr int quotaWaitDivisor = 4;
// A group that has been without an issuer for longAbsence gets one no sooner for the wait of a request: its caller
// rather tries another daemon.
constexpr milliseconds longAbsence{2000};
constexpr milliseconds longAbsenceWait{100};
constexpr milliseconds minAskInterval{40};
constexpr milliseconds maxAskInterval{150};
constexpr double askJitter = 20; // Milliseconds.
// The first requests of a wait go to the daemon that the one asked has named; two daemons may name each other.
constexpr unsigned maxFollowedNames = 2;
constexpr milliseconds undecidedRetryDelay{300};
// Log lines about a tenant with the same outcome.
constexpr seconds deniedLogInterval{1};
constexpr seconds grantedLogInterval{10};
constexpr std::size_t maxDumpedTenants = 32;

quotas::tenant_limit limitOf(const routing::tenant &tenant)
{
    return {.ratePerSecond = tenant.ratePerSecond, .burst = tenant.burst};
}

bool isLimited(const internal::request_context &context)
{
    return context.tenant != nullptr && context.tenant->ratePerSecond > 0;
}

std::string_view outcomeOf(const quotas::permit_grant &grant)
{
    if (grant.granted > 0) {
        return "granted";
    }
    return grant.provisional ? "provisionally_denied" : "denied";
}

} // namespace

// ---- The lease of each group ----

void gateway::implementation::applyQuotas(const routing::configuration &configuration, time_point now)
{
    m_quotas.limits.clear();
    for (const auto &tenant : configuration.tenants.value_or(std::vector<routing::tenant>())) {
        if (tenant.ratePerSecond > 0) {
            m_quotas.limits.emplace(tenant.name, limitOf(tenant));
        }
    }
    if (m_quotas.limits.empty() || !m_quotas.groups.empty()) {
        return;
    }
    const auto count = std::min(maxGroups, m_options.layout.partsPerTopic);
    for (std::uint32_t group = 0; group < count; ++group) {
        m_quotas.groups.push_back({.lease = quotas::group_lease({std::string(quotaTopic), group},
                                                                {m_options.self.name, m_options.self.incarnation}),
                                   .issuer = quotas::permit_issuer(m_options.quotaRule),
                                   .firstDaemon = {},
                                   .namedHolder = {},
                                   .undecidedSince = std::nullopt});
    }
    m_quotas.rankAt = now;
    m_quotas.startedAt = now;
}

void gateway::implementation::rankQuotaIssuers(time_point now)
{
    if (m_quotas.groups.empty() || now < m_quotas.rankAt) {
        return;
    }
    m_quotas.rankAt = now + rankInterval;
    const auto names = withSelf(m_peers.readyPeersKnowingTenants(now));
    const auto reach = static_cast<std::uint32_t>(m_peers.aliveCount(now) + 1);
    // Soon after its start a daemon hears of few others and would take itself for the first.
    const bool mayIssue = !m_quotas.limits.empty() && m_peers.hadTimeToConnect(now);
    for (std::uint32_t i = 0; i < m_quotas.groups.size(); ++i) {
        auto &group = m_quotas.groups[i];
        group.firstDaemon = firstInRank(names, fmt::format("quotas/{}", i));
        const bool isFirst = group.firstDaemon == m_options.self.name;
        if (std::ranges::find(names, group.namedHolder) == names.end()) {
            group.namedHolder.clear(); // It may be back as an earlier build, which closes the link on a request.
        }
        group.lease.update({.wanted = mayIssue && isFirst,
                            .stopping = m_shutdownBegan.has_value() && !isFirst,
                            .reach = reach,
                            .prepares = !m_quotas.limits.empty() && !mayIssue},
                           now);
    }
}

bool gateway::implementation::pollQuotaLeases(time_point now)
{
    rankQuotaIssuers(now);
    bool any = false;
    for (std::uint32_t i = 0; i < m_quotas.groups.size(); ++i) {
        auto &lease = m_quotas.groups[i].lease;
        if (auto call = lease.poll(m_quotas.groups[i].issuer, now); call.has_value()) {
            any = true;
            startStoreCall(internal::quota_owner{i, false}, std::move(*call), now);
        }
        if (auto trim = lease.takeTrim(); trim.has_value()) {
            startStoreCall(internal::quota_owner{i, true}, std::move(*trim), now);
        }
        applyLeaseChanges(i, now);
    }
    return any;
}

void gateway::implementation::complete(const internal::quota_owner &owner, const store::reply &result, time_point now)
{
    if (owner.trims) {
        if (const auto *reason = std::get_if<store::failure>(&result)) {
            log(log_level::Info, "quota_records_not_deleted",
                {{"group", owner.group}, {"reason", store::nameOf(*reason)}});
        }
        return;
    }
    m_quotas.groups.at(owner.group).lease.onReply(result, now);
    applyLeaseChanges(owner.group, now);
}

void gateway::implementation::applyLeaseChanges(std::uint32_t number, time_point now)
{
    auto &group = m_quotas.groups[number];
    while (auto change = group.lease.takeChange()) {
        if (auto *taken = std::get_if<quotas::lease_taken>(&*change)) {
            group.takenAt = now;
            const bool continues = !taken->start.has_value();
            const auto stated = continues ? 0 : taken->start->levels.size();
            const auto idle = continues ? milliseconds(0) : millisecondsBetween(taken->start->idleSince, now);
            log(log_level::Info, "quota_lease_taken",
                {{"group", number},
                 {"valid_ms", millisecondsBetween(now, group.lease.validUntil()).count()},
                 {"continues", continues},
                 {"stated_levels", stated},
                 {"idle_ms", idle.count()}});
            if (!continues) {
                group.issuer.begin(std::move(*taken->start), now);
            }
        } else if (const auto *lost = std::get_if<quotas::lease_lost>(&*change)) {
            log(log_level::Warning, "quota_lease_lost",
                {{"group", number},
                 {"reason", lost->reason},
                 {"held_ms", millisecondsBetween(group.takenAt, now).count()},
                 {"holder", group.lease.holder()}});
        } else if (const auto *released = std::get_if<quotas::lease_released>(&*change)) {
            log(log_level::Info, "quota_lease_released",
                {{"group", number},
                 {"reason", released->reason},
                 {"held_ms", millisecondsBetween(group.takenAt, now).count()},
                 {"next", group.firstDaemon}});
        }
    }
}

// A lease that has run out while this process did not run must not be used for what has arrived meanwhile.
void gateway::implementation::resumeQuotas(time_point now)
{
    for (std::uint32_t i = 0; i < m_quotas.groups.size(); ++i) {
        m_quotas.groups[i].lease.expire(now);
        applyLeaseChanges(i, now);
    }
    m_quotas.rankAt = now;
}

// ---- Issuing permits ----

std::optional<quotas::permit_grant>
gateway::implementation::issueQuota(const std::string &tenant, const quotas::permit_request &asked, time_point now)
{
    if (m_quotas.groups.empty()) {
        return std::nullopt;
    }
    auto &group = m_quotas.groups[quotaGroupOf(tenant)];
    if (!group.lease.isHeld(now)) {
        return std::nullopt;
    }
    const auto limit = m_quotas.limits.find(tenant);
    if (limit == m_quotas.limits.end()) {
        // The limit may have been removed; a tenant that is not known may have been added by a newer configuration.
        const auto &tenants = m_table->tenants();
        const bool isKnown = std::ranges::find(tenants, tenant, &routing::tenant::name) != tenants.end();
        return isKnown ? std::optional(quotas::permit_grant{.granted = 1}) : std::nullopt;
    }
    const auto grant = group.issuer.take(tenant, limit->second, asked, now);
    const auto outcome = outcomeOf(grant);
    const auto interval = grant.granted > 0 ? grantedLogInterval : deniedLogInterval;
    if (const auto omitted = quotaLineDue(tenant, outcome, interval, now); omitted.has_value()) {
        log(log_level::Info, "quota_decided",
            {{"tenant", tenant},
             {"outcome", outcome},
             {"level", grant.level},
             {"pressure", grant.pressure},
             {"lease_age_ms", millisecondsBetween(group.takenAt, now).count()},
             {"retry_after_ms", grant.retryAfter.count()},
             {"omitted", *omitted}});
    }
    return grant;
}

void gateway::implementation::on(link_id link, const peers::quota_request &message, time_point now)
{
    peers::quota_reply reply{.id = message.id, .grant = {}, .holder = {}};
    if (const auto grant = issueQuota(message.tenant, message.asked, now); grant.has_value()) {
        reply.decided = true;
        reply.grant = *grant;
        reply.lease = m_quotas.groups[quotaGroupOf(message.tenant)].lease.heldRecord();
    } else if (!m_quotas.groups.empty()) {
        reply.holder = m_quotas.groups[quotaGroupOf(message.tenant)].lease.holder();
    }
    m_effects.emplace_back(send_message{link, std::move(reply)});
}

// One line for a tenant and an outcome is due in each interval. Returns the number of those left out before it.
std::optional<unsigned> gateway::implementation::quotaLineDue(const std::string &tenant, std::string_view outcome,
                                                              milliseconds interval, time_point now)
{
    auto &state = m_quotas.logged[{tenant, std::string(outcome)}];
    if (now < state.nextAt) {
        ++state.omitted;
        return std::nullopt;
    }
    state.nextAt = now + interval;
    return std::exchange(state.omitted, 0U);
}

// ---- Requesting permits ----

std::uint32_t gateway::implementation::quotaGroupOf(const std::string &tenant) const
{
    return quotas::groupOf(tenant, static_cast<std::uint32_t>(m_quotas.groups.size()));
}

bool gateway::implementation::requestQuota(request_context &context, time_point now)
{
    if (!isLimited(context) || m_quotas.groups.empty()) {
        return true;
    }
    context.quotaPending = true;
    return askForQuota(context, now);
}

bool gateway::implementation::knowsQuotas(const std::string &daemon, time_point now) const
{
    const auto known = m_peers.readyPeersKnowingTenants(now);
    return std::ranges::find(known, daemon) != known.end();
}

// The holder of the lease according to the log, if it can be asked; else empty.
std::string gateway::implementation::knownHolder(const quota_group &group, time_point now) const
{
    auto holder = group.lease.holder();
    return knowsQuotas(holder, now) ? holder : std::string();
}

// Returns false if the request was refused.
bool gateway::implementation::askForQuota(request_context &context, time_point now)
{
    const auto &tenant = context.tenant->name;
    const bool repeated = context.quotaRequests > 0;
    if (const auto held = m_quotas.stock.take(tenant, repeated, now); held.has_value()) {
        countQuota("stock");
        useQuotaPermit(context, *held, m_quotas.stock.pressureOf(tenant));
        return true;
    }
    auto asked = m_quotas.stock.requestFor(tenant, limitOf(*context.tenant));
    asked.repeated = repeated;
    asked.count = repeated ? 1 : asked.count;
    ++context.quotaRequests;
    const auto number = quotaGroupOf(tenant);
    auto &group = m_quotas.groups[number];
    if (group.lease.isHeld(now)) {
        const auto grant = issueQuota(tenant, asked, now);
        if (!grant.has_value()) {
            return waitForQuota(context, minAskInterval, now);
        }
        group.undecidedSince.reset();
        return applyQuotaGrant(context, *grant, now, now);
    }
    // The first daemon reads the records of the lease, so it knows the holder before it takes over.
    const bool isFirst = group.firstDaemon == m_options.self.name;
    const auto named =
        m_peers.linkTo(group.namedHolder.empty() && isFirst ? knownHolder(group, now) : group.namedHolder);
    const auto link = named.has_value() ? named : m_peers.linkTo(group.firstDaemon);
    if (!link.has_value()) {
        return waitForQuota(context, minAskInterval, now);
    }
    m_quotas.pending.emplace(++m_lastPeerRequest,
                             internal::pending_quota_request{
                                 .caller = context.id, .link = *link, .tenant = tenant, .group = number, .sent = now});
    m_effects.emplace_back(send_message{*link, peers::quota_request{m_lastPeerRequest, tenant, asked}});
    return true;
}

void gateway::implementation::on(link_id link, const peers::quota_reply &message, time_point now)
{
    const auto node = m_quotas.pending.extract(message.id);
    if (!node) {
        return;
    }
    const auto &pending = node.mapped();
    auto &group = m_quotas.groups[pending.group];
    if (message.decided) {
        group.undecidedSince.reset();
        group.lease.onHeard(message.lease, now);
        m_quotas.stock.setPressure(pending.tenant, message.grant.pressure);
    } else {
        group.namedHolder =
            knowsQuotas(message.holder, now) && message.holder != m_peers.nameOf(link) ? message.holder : std::string();
    }
    auto *context = findRequest(pending.caller);
    if (context == nullptr || !context->quotaPending) {
        addToQuotaStock(pending.tenant, message.grant.granted, pending.sent + message.grant.lifetime, now);
        return;
    }
    // The permit was issued after the request was sent, so its age does not matter. A denial that comes late is not
    // that of the latest request.
    if (message.grant.granted == 0 && pending.abandoned) {
        return;
    }
    bool isOpen = true;
    if (message.decided) {
        isOpen = applyQuotaGrant(*context, message.grant, pending.sent, now);
    } else if (!group.namedHolder.empty() && context->quotaRequests <= maxFollowedNames) {
        isOpen = askForQuota(*context, now);
    } else {
        isOpen = waitForQuota(*context, minAskInterval, now);
    }
    if (isOpen) {
        continueWithQuota(*context, now);
    }
}

// Returns false if the request was refused.
bool gateway::implementation::applyQuotaGrant(request_context &context, const quotas::permit_grant &grant,
                                              time_point sent, time_point now)
{
    const auto &tenant = context.tenant->name;
    context.tenantPressure = grant.pressure;
    m_quotas.stock.setPressure(tenant, grant.pressure);
    if (grant.granted > 0) {
        const auto validUntil = sent + std::min(grant.lifetime, quotas::maxPermitLifetime);
        countQuota("granted");
        addToQuotaStock(tenant, grant.granted - 1, validUntil, now);
        useQuotaPermit(context, {validUntil}, grant.pressure);
        return true;
    }
    if (grant.provisional) {
        context.quotaRetryAfter = grant.retryAfter;
        return waitForQuota(context, grant.retryAfter, now);
    }
    countQuota("denied");
    refuseRequest(context, result_code::QuotaExceeded, grant.retryAfter, now);
    return false;
}

void gateway::implementation::useQuotaPermit(request_context &context, const quotas::permit &held,
                                             std::optional<double> pressure)
{
    context.quotaPending = false;
    context.quotaPermit = held;
    context.tenantPressure = pressure;
}

// Asks again after the delay, unless the request has waited for as long as it may. Returns false if it was refused.
bool gateway::implementation::waitForQuota(request_context &context, milliseconds delay, time_point now)
{
    auto &group = m_quotas.groups[quotaGroupOf(context.tenant->name)];
    if (!context.quotaRetryAfter.has_value()) {
        const bool isSame = group.undecidedSince.has_value() && now - group.undecidedAt < longAbsence;
        group.undecidedSince = isSame ? *group.undecidedSince : now;
        group.undecidedAt = now;
    }
    if (!context.quotaWaitUntil.has_value()) {
        const bool isLongAbsence = group.undecidedSince.has_value() && now - *group.undecidedSince > longAbsence;
        const auto share = millisecondsBetween(now, context.deadline) / quotaWaitDivisor;
        context.quotaWaitUntil = now + std::min(isLongAbsence ? longAbsenceWait : maxQuotaWait, share);
    }
    if (now >= *context.quotaWaitUntil) {
        return endQuotaWait(context, now);
    }
    const milliseconds jitter(static_cast<std::int64_t>(askJitter * random()));
    const auto next = now + std::clamp(delay, minAskInterval, maxAskInterval) + jitter;
    m_quotas.waiting.emplace(std::min(next, *context.quotaWaitUntil), context.id);
    return true;
}

// No permit could be had in time. Returns false if the request was refused.
bool gateway::implementation::endQuotaWait(request_context &context, time_point now)
{
    const auto &tenant = context.tenant->name;
    // A daemon that has just started may have admitted requests before, and knows few of the others.
    const bool knowsOthers = m_peers.hadTimeToConnect(now) && now - *m_quotas.startedAt >= m_options.quotaRule.window;
    const bool admitted = knowsOthers
        && m_quotas.stock.admitWithoutPermit(tenant, limitOf(*context.tenant), m_peers.names(), m_options.self.name,
                                             now);
    const std::string_view outcome =
        admitted ? "without_permit" : (context.quotaRetryAfter.has_value() ? "denied" : "undecided");
    const auto &group = m_quotas.groups[quotaGroupOf(tenant)];
    if (const auto omitted = quotaLineDue(tenant, outcome, deniedLogInterval, now); omitted.has_value()) {
        log(log_level::Warning, "quota_undecided",
            {{"tenant", tenant},
             {"outcome", outcome},
             {"issuer", group.namedHolder.empty() ? group.firstDaemon : group.namedHolder},
             {"asked", context.quotaRequests},
             {"undecided_ms", millisecondsBetween(group.undecidedSince.value_or(now), now).count()},
             {"omitted", *omitted}});
    }
    countQuota(outcome);
    if (admitted) {
        context.quotaPending = false;
        return true;
    }
    // After a takeover the bucket is empty earlier than the quota.
    const auto retryAfter = context.quotaRetryAfter;
    refuseRequest(context, retryAfter.has_value() ? result_code::QuotaExceeded : result_code::QuotaUndecided,
                  retryAfter.value_or(undecidedRetryDelay), now);
    return false;
}

void gateway::implementation::continueWithQuota(request_context &context, time_point now)
{
    if (context.quotaPending) {
        return;
    }
    if (hasBudget(context) || context.route->retainsTurns) {
        dispatchIfPrepared(context, now);
    } else {
        dispatch(context, now);
    }
}

// Gives the permit of a request that has not run to later requests.
void gateway::implementation::returnQuotaPermit(request_context &context, time_point now)
{
    const auto held = std::exchange(context.quotaPermit, std::nullopt);
    const bool notRun =
        context.sends == 0 || (context.refusal.has_value() && describe(*context.refusal).outcome == execution::NotRun);
    if (held.has_value() && notRun) {
        addToQuotaStock(context.tenant->name, 1, held->validUntil, now);
    }
}

void gateway::implementation::addToQuotaStock(const std::string &tenant, std::size_t count, time_point validUntil,
                                              time_point now)
{
    if (count > 0) {
        m_quotas.stock.add(tenant, count, {validUntil}, now);
    }
}

void gateway::implementation::countQuota(std::string_view outcome)
{
    m_effects.emplace_back(increment_counter{metric::QuotaRequests, std::string(outcome), {}});
}

// ---- Time and lost links ----

void gateway::implementation::tickQuotas(time_point now)
{
    std::vector<caller_id> unanswered;
    for (auto &[id, pending] : m_quotas.pending) {
        if (!pending.abandoned && now >= pending.sent + replyTimeout) {
            pending.abandoned = true;
            unanswered.push_back(pending.caller);
            m_quotas.groups[pending.group].namedHolder.clear();
        }
    }
    std::erase_if(m_quotas.pending, [now](const auto &entry) { return now >= entry.second.sent + replyRetention; });
    retryQuota(unanswered, now);
    std::vector<caller_id> due;
    while (!m_quotas.waiting.empty() && m_quotas.waiting.begin()->first <= now) {
        due.push_back(m_quotas.waiting.begin()->second);
        m_quotas.waiting.erase(m_quotas.waiting.begin());
    }
    for (const auto caller : due) {
        auto *context = findRequest(caller);
        if (context == nullptr || !context->quotaPending) {
            continue;
        }
        const bool isOver = now >= context->quotaWaitUntil.value_or(now);
        if (isOver ? endQuotaWait(*context, now) : askForQuota(*context, now)) {
            continueWithQuota(*context, now);
        }
    }
}

void gateway::implementation::abandonQuotaRequests(link_id link, time_point now)
{
    std::vector<caller_id> unanswered;
    std::erase_if(m_quotas.pending, [&](const auto &entry) {
        const bool lost = entry.second.link == link;
        if (lost && !entry.second.abandoned) {
            unanswered.push_back(entry.second.caller);
        }
        return lost;
    });
    m_quotas.rankAt = now;
    retryQuota(unanswered, now);
}

void gateway::implementation::retryQuota(const std::vector<caller_id> &callers, time_point now)
{
    for (const auto caller : callers) {
        auto *context = findRequest(caller);
        if (context != nullptr && context->quotaPending && waitForQuota(*context, minAskInterval, now)) {
            continueWithQuota(*context, now);
        }
    }
}

void gateway::implementation::evictIdleQuotas(time_point now)
{
    m_quotas.stock.evictIdle(now);
    for (auto &group : m_quotas.groups) {
        group.issuer.evictFull(now);
    }
    std::erase_if(m_quotas.logged, [now](const auto &entry) { return entry.second.nextAt + grantedLogInterval < now; });
}

std::optional<time_point> gateway::implementation::nextQuotaDeadline() const
{
    if (m_quotas.groups.empty()) {
        return std::nullopt;
    }
    auto earliest = m_quotas.rankAt;
    for (const auto &group : m_quotas.groups) {
        earliest = std::min(earliest, group.lease.nextDeadline().value_or(earliest));
    }
    if (!m_quotas.waiting.empty()) {
        earliest = std::min(earliest, m_quotas.waiting.begin()->first);
    }
    const auto next =
        std::ranges::find(m_quotas.pending, false, [](const auto &entry) { return entry.second.abandoned; });
    return next == m_quotas.pending.end() ? earliest : std::min(earliest, next->second.sent + replyTimeout);
}

// ---- Reports ----

std::size_t gateway::implementation::quotaGroupsHeld(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_quotas.groups, [now](const quota_group &group) { return group.lease.isHeld(now); }));
}

nlohmann::json gateway::implementation::dumpQuotas(time_point now) const
{
    nlohmann::json groups = nlohmann::json::array();
    for (std::uint32_t i = 0; i < m_quotas.groups.size(); ++i) {
        const auto &group = m_quotas.groups[i];
        nlohmann::json entry{{"group", i},
                             {"held", group.lease.isHeld(now)},
                             {"holder", group.lease.isHeld(now) ? m_options.self.name : group.lease.holder()},
                             {"first", group.firstDaemon}};
        if (group.lease.isHeld(now)) {
            entry["valid_ms"] = millisecondsBetween(now, group.lease.validUntil()).count();
            auto report = group.issuer.report(now);
            std::ranges::sort(report, std::greater<>(), &quotas::permit_issuer::bucket_report::pressure);
            report.resize(std::min(report.size(), maxDumpedTenants));
            for (const auto &tenant : report) {
                entry["tenants"].push_back(
                    {{"tenant", tenant.tenant}, {"level", tenant.level}, {"pressure", tenant.pressure}});
            }
        }
        groups.push_back(std::move(entry));
    }
    return {{"limited_tenants", m_quotas.limits.size()},
            {"groups", std::move(groups)},
            {"permits", m_quotas.stock.size(now)},
            {"awaited_replies", m_quotas.pending.size()},
            {"waiting_requests", m_quotas.waiting.size()}};
}

} // namespace jackdawpick::gateway
