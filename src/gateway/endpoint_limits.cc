// Rate limits that endpoints state. One daemon issues the permits to send to such an endpoint: the one that rendezvous
// hashing ranks first among the live daemons, so that all daemons together keep the limit.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// The daemon that issues permits answers from memory; a longer silence means that it is gone or overloaded.
constexpr milliseconds permitAnswerTimeout{100};
// Until other daemons have noticed that the one that issued permits is gone.
constexpr milliseconds noIssuerRetryDelay{200};
constexpr limits::permit_decision deniedWithoutIssuer{.granted = false, .retryAfter = noIssuerRetryDelay};
// The longest time that a turn of a program under way, or a call of a tool, waits for permits.
constexpr milliseconds maxPermitWait{1000};
// Spreads the requests that wait for the same permit.
constexpr double permitWaitJitter = 20; // Milliseconds.

// Value of a limit in log lines; an ended limit has none.
log_field rateField(std::optional<double> rate)
{
    return rate.has_value() ? log_field{"rate", *rate} : log_field{"rate", "none"};
}

} // namespace

void gateway::implementation::recordLimit(const request_context &context, std::optional<double> rate, time_point now)
{
    const bool changed = rate.has_value() ? m_limits.onStated(context.endpoint, *rate, now)
                                          : m_limits.onNotStated(context.endpoint, context.dispatchedAt, now);
    if (changed) {
        useLimitOf(context.endpoint);
        logRequest(log_level::Info, "endpoint_limit_changed", context,
                   {{"endpoint", context.endpoint}, rateField(rate), {"source", "response"}}, now);
    }
}

void gateway::implementation::applyLimitReports(const std::string &peer,
                                                const std::vector<limits::limit_report> &reports, time_point now)
{
    for (const auto &report : reports) {
        if (m_limits.onReport(report, now)) {
            useLimitOf(report.endpoint);
            log(log_level::Info, "endpoint_limit_changed",
                {{"endpoint", report.endpoint},
                 rateField(report.rate),
                 {"source", peer},
                 {"statement_age_ms", report.age.count()}});
        }
    }
}

void gateway::implementation::evictExpiredLimits(time_point now)
{
    for (const auto &endpoint : m_limits.evictExpired(now)) {
        useLimitOf(endpoint);
        log(log_level::Info, "endpoint_limit_changed",
            {{"endpoint", endpoint}, rateField(std::nullopt), {"source", "expiry"}});
    }
}

void gateway::implementation::useLimitOf(const std::string &endpoint)
{
    m_pool.setRateLimit(endpoint, m_limits.rateOf(endpoint));
    m_assignPermitsAt = {};
}

// ---- Issuing permits ----

std::string gateway::implementation::permitIssuerOf(const std::string &endpoint, time_point now) const
{
    return firstInRank(withSelf(m_peers.readyPermitIssuers(now)), "permits/" + endpoint);
}

// Takes over, or hands over, the endpoints whose permits this daemon issues after the live daemons have changed.
void gateway::implementation::assignPermits(time_point now)
{
    if (now < m_assignPermitsAt) {
        return;
    }
    m_assignPermitsAt = now + m_peers.heartbeatInterval();
    auto limits = m_limits.inForce();
    std::erase_if(limits,
                  [&](const auto &limit) { return permitIssuerOf(limit.endpoint, now) != m_options.self.name; });
    m_permits.issueFor(limits, now);
}

limits::permit_decision gateway::implementation::issuePermit(const std::string &endpoint, double reserve,
                                                             time_point now)
{
    if (m_limits.hasEnded(endpoint)) {
        return {.granted = true};
    }
    // A daemon that does not consider itself the issuer would issue permits in addition to those of the issuer.
    if (permitIssuerOf(endpoint, now) != m_options.self.name) {
        return deniedWithoutIssuer;
    }
    return m_permits.take(endpoint, reserve, now);
}

void gateway::implementation::on(link_id link, const peers::permit_request &message, time_point now)
{
    m_effects.emplace_back(
        send_message{link, peers::permit_reply{message.id, issuePermit(message.endpoint, message.reserve, now)}});
}

// ---- Requesting permits ----

bool gateway::implementation::acquirePermit(request_context &context, const fleet::placement &chosen, time_point now)
{
    const double reserve = admission::permitReserveOf(urgencyOf(context));
    const auto issuer = permitIssuerOf(chosen.id, now);
    if (issuer == m_options.self.name) {
        const auto decision = issuePermit(chosen.id, reserve, now);
        if (!decision.granted) {
            onPermitDenied(context, chosen.id, decision.retryAfter, now);
        }
        return decision.granted;
    }
    const auto link = m_peers.linkTo(issuer);
    if (!link.has_value()) {
        onPermitDenied(context, chosen.id, noIssuerRetryDelay, now);
        return false;
    }
    context.permitFor = chosen;
    m_pendingPermits.emplace(++m_lastPeerRequest,
                             pending_peer_request{context.id, *link, now, now + permitAnswerTimeout});
    m_effects.emplace_back(send_message{*link, peers::permit_request{m_lastPeerRequest, chosen.id, reserve}});
    return false;
}

void gateway::implementation::on(link_id /*link*/, const peers::permit_reply &message, time_point now)
{
    const auto node = m_pendingPermits.extract(message.id);
    auto *context = node ? findRequest(node.mapped().caller) : nullptr;
    if (context == nullptr) {
        return;
    }
    if (now < node.mapped().deadline) {
        onPermitDecided(*context, message.decision, now);
    } else {
        onPermitUnanswered(*context, now); // It is for a time that has passed while this process did not run.
    }
}

void gateway::implementation::onPermitDecided(request_context &context, const limits::permit_decision &decision,
                                              time_point now)
{
    const auto chosen = std::exchange(context.permitFor, std::nullopt);
    if (!chosen.has_value()) {
        return;
    }
    if (!decision.granted) {
        onPermitDenied(context, chosen->id, decision.retryAfter, now);
    } else if (!m_pool.takesRequests({chosen->id, chosen->born}, now)) {
        dispatch(context, now); // It has begun to leave since the permit was asked for.
    } else if (!refuseIfBlocked(context, now)) {
        sendToEndpoint(context, *chosen, now);
    }
}

// The daemon asked did not answer in time, or the link to it is closed.
void gateway::implementation::onPermitUnanswered(request_context &context, time_point now)
{
    onPermitDecided(context, deniedWithoutIssuer, now);
}

// Places the request again without this endpoint. A denial to a first turn says nothing about other requests, for which
// the remaining permits are reserved.
void gateway::implementation::onPermitDenied(request_context &context, const std::string &endpoint,
                                             milliseconds retryAfter, time_point now)
{
    logRequest(log_level::Info, "permit_denied", context,
               {{"endpoint", endpoint},
                rateField(m_limits.rateOf(endpoint)),
                {"issuer", permitIssuerOf(endpoint, now)},
                {"retry_after_ms", retryAfter.count()}},
               now);
    m_effects.emplace_back(increment_counter{metric::EndpointPermitsDenied, context.service, {}});
    ++context.permitsDenied;
    if (context.firstTurn) {
        context.excludedEndpoints.insert(endpoint);
        context.permitRetryAfter = std::min(context.permitRetryAfter.value_or(retryAfter), retryAfter);
    } else {
        m_pool.blockUntil(endpoint, now + retryAfter);
    }
    dispatch(context, now);
}

// First turns are refused at once, so that the permits are left to programs under way.
void gateway::implementation::waitForPermit(request_context &context, time_point availableAt, time_point now)
{
    const auto retryAfter = millisecondsBetween(now, availableAt);
    const auto began = context.waitingForPermitSince.value_or(now);
    if (context.firstTurn || availableAt >= std::min(context.deadline, began + maxPermitWait)) {
        refuseRequest(context, result_code::EnginesFull, retryAfter, now);
        return;
    }
    context.waitingForPermitSince = began;
    context.permitsDenied = 0;
    const milliseconds jitter(static_cast<std::int64_t>(permitWaitJitter * random()));
    m_waitingRequests.emplace(availableAt + jitter, context.id);
}

void gateway::implementation::dispatchWaiting(time_point now)
{
    while (!m_waitingRequests.empty() && m_waitingRequests.begin()->first <= now) {
        const auto caller = m_waitingRequests.begin()->second;
        m_waitingRequests.erase(m_waitingRequests.begin());
        if (auto *context = findRequest(caller); context != nullptr) {
            dispatch(*context, now);
        }
    }
}

std::optional<time_point> gateway::implementation::nextWaitingDispatch() const
{
    return m_waitingRequests.empty() ? std::nullopt : std::optional(m_waitingRequests.begin()->first);
}

} // namespace jackdawpick::gateway
