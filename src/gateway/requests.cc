// Arrival, refusal and completion of requests.

#include "gateway/internal/implementation.h"
#include "gateway/internal/request_identity.h"
#include "gateway/internal/retry_delays.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::staleConfigurationRetryDelay;
using internal::storeRetryDelay;
using std::chrono::milliseconds;

// For requests without a deadline from the caller; the timeout of the route may shorten it.
constexpr milliseconds defaultDeadline{30000};
constexpr milliseconds noConfigurationRetryDelay{250};
// An endpoint responds on its own when the deadline that it was given passes; this is the time for that response to
// arrive.
constexpr milliseconds endpointResponseGrace{60};

// Returns a position in [0, 1) that is the same for all requests of a program, so that they go to one service.
double trafficSplitPosition(const caller_request &request)
{
    const auto &key = request.program.empty() ? request.attempt : request.program;
    constexpr double range = 4294967296.0; // 2^32
    return static_cast<double>(XXH3_64bits(key.data(), key.size()) >> 32U) / range;
}

milliseconds timeoutFor(const caller_request &request, const routing::route &route)
{
    milliseconds longest = request.deadline.value_or(defaultDeadline);
    if (route.timeout.count() > 0) {
        longest = std::min(longest, route.timeout);
    }
    return longest;
}

} // namespace

void gateway::implementation::on(request_arrived &received, time_point now)
{
    if (m_table == nullptr) {
        refuseArrival(received, result_code::NotReady, noConfigurationRetryDelay);
        return;
    }
    if (refusesArrivals(now)) {
        refuseArrival(received, result_code::Draining, milliseconds(0));
        return;
    }
    const auto *route = routeOf(received.request);
    if (route == nullptr) {
        refuseArrival(received, result_code::UnknownRoute, std::nullopt);
        return;
    }
    const auto key = checkKey(received.request, *route, now);
    if (key.refusal.has_value()) {
        refuseArrival(received, *key.refusal,
                      describe(*key.refusal).retry == retry_advice::Later ? std::optional(staleConfigurationRetryDelay)
                                                                          : std::nullopt);
        return;
    }
    auto &context = m_requests[received.caller];
    context.id = received.caller;
    context.table = m_table;
    context.route = route;
    context.service = routing::chooseService(*route, trafficSplitPosition(received.request));
    context.request = std::move(received.request);
    assignTenant(context, key.tenant);
    context.previousRecord = context.request.previousTurn;
    context.arrived = now;
    context.deadline = now + timeoutFor(context.request, *route);
    context.identity =
        internal::identityOf(context.request, context.tenant == nullptr ? std::string_view() : context.tenant->name);
    m_deadlines.emplace(context.deadline, context.id);
    context.input = m_texts.share(std::exchange(context.request.body, {}));
    if (!refuseIfBlocked(context, now) && reserveTexts(context, bytesToWrite(context), now)) {
        prepareRequest(context, now);
    }
}

void gateway::implementation::prepareRequest(request_context &context, time_point now)
{
    const bool needsStore = hasBudget(context) || context.route->retainsTurns;
    if (needsStore && !storeAvailable(now)) {
        refuseRequest(context, result_code::LogUnavailable, storeRetryDelay, now);
        return;
    }
    context.historyPending = context.route->retainsTurns && !context.request.previousTurn.empty();
    if (!requestQuota(context, now)) {
        return;
    }
    if (hasBudget(context)) {
        // The decision may name the daemon that has the history, so the history is resolved after it.
        requestReservation(context, now);
    } else if (context.historyPending) {
        resolveHistory(context, {}, now);
    } else if (!context.quotaPending) {
        dispatch(context, now);
    }
}

const routing::route *gateway::implementation::routeOf(const caller_request &request) const
{
    return m_table->find(request.host, request.path);
}

void gateway::implementation::on(const caller_disconnected &received, time_point now)
{
    auto *context = findRequest(received.caller);
    if (context == nullptr) {
        return;
    }
    if (context->dispatch.has_value()) {
        cancelDispatch(*context);
        noteOutcomeUnknown(context->identity, context->endpointIncarnation(), now);
        releaseEndpoint(*context, fleet::request_outcome::Cancelled, now);
    }
    finishRequest(*context, "caller_gone", now);
}

void gateway::implementation::refuseArrival(const request_arrived &received, result_code code,
                                            std::optional<milliseconds> retryAfter)
{
    const auto &refusal = describe(code);
    log(log_level::Info, "request_refused",
        {{"request", received.request.attempt},
         {"outcome", refusal.name},
         {"code", static_cast<std::uint16_t>(code)},
         {"status", refusal.httpStatus},
         {"configuration", m_table == nullptr ? 0 : m_table->source().version}});
    m_effects.emplace_back(increment_counter{metric::Requests, "none", std::string(refusal.name)});
    m_effects.emplace_back(refuse{received.caller, code, retryAfter});
}

// A request that an endpoint may have run is never refused with a code that says it has not run.
void gateway::implementation::refuseRequest(request_context &context, result_code code,
                                            std::optional<milliseconds> retryAfter, time_point now)
{
    const bool mayHaveRun = context.attempts > 0;
    if (mayHaveRun && describe(code).outcome == execution::NotRun) {
        code = result_code::OutcomeUnknown;
        retryAfter.reset();
    }
    const auto &refusal = describe(code);
    context.status = refusal.httpStatus;
    context.refusal = code;
    m_effects.emplace_back(refuse{context.id, code, retryAfter});
    finishRequest(context, refusal.name, now);
}

// Settles the reservation, logs the outcome and erases the request; `context` is dangling afterwards.
void gateway::implementation::finishRequest(request_context &context, std::string_view outcome, time_point now)
{
    settleReservation(context, false, now);
    returnQuotaPermit(context, now);
    std::vector<log_field> fields{{"outcome", outcome}, {"status", context.status}, {"sends", context.sends}};
    if (context.refusal.has_value()) {
        fields.emplace_back("code", static_cast<std::uint16_t>(*context.refusal));
    }
    if (!context.endpoint.empty()) {
        fields.emplace_back("endpoint", context.endpoint);
    }
    if (context.firstByteAt.has_value()) {
        fields.emplace_back("first_byte_ms", millisecondsBetween(context.arrived, *context.firstByteAt).count());
    }
    if (context.eventStream) {
        fields.emplace_back("events", context.eventCount);
        fields.emplace_back("incomplete_event_bytes", context.eventSplitter.incompleteEvent().size());
    }
    if (context.endsWithConnection) {
        fields.emplace_back("ends_with_connection", true);
    }
    logRequest(log_level::Info, "request_finished", context, std::move(fields), now);
    m_effects.emplace_back(increment_counter{metric::Requests, context.route->name, std::string(outcome)});
    if (outcome == internal::answeredOutcome) {
        m_effects.emplace_back(
            record_duration{metric::RequestSeconds, context.route->name, millisecondsBetween(context.arrived, now)});
    }
    if (context.firstByteAt.has_value()) {
        m_effects.emplace_back(record_duration{metric::FirstByteSeconds, context.route->name,
                                               millisecondsBetween(context.arrived, *context.firstByteAt)});
    }
    if (context.dispatch.has_value()) {
        m_dispatches.erase(*context.dispatch);
    }
    m_lastRequestFinishedAt = now;
    m_deadlines.erase({context.deadline, context.id});
    planSegments(context, std::nullopt);
    m_requests.erase(context.id);
}

void gateway::implementation::expireRequests(time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (auto *context = findRequest(id); context != nullptr) {
            expireRequest(*context, now);
        }
    }
}

void gateway::implementation::expireRequest(request_context &context, time_point now)
{
    switch (context.phase) {
    case request_phase::Preparing:
        refuseRequest(context, result_code::DeadlineBeforeDispatch, std::nullopt, now);
        return;
    case request_phase::WritingTurn:
        return; // The result of the append ends the request.
    case request_phase::Dispatched:
        break;
    }
    if (!context.inGracePeriod) {
        context.inGracePeriod = true;
        context.deadline = now + endpointResponseGrace;
        m_deadlines.emplace(context.deadline, context.id);
        return;
    }
    breakOff(context, result_code::DeadlineExceeded, "deadline_during_answer", now);
}

// Ends a request that was dispatched and has no whole response: with the code, or in the middle of the response.
void gateway::implementation::breakOff(request_context &context, result_code code, std::string_view outcome,
                                       time_point now)
{
    if (context.dispatch.has_value()) {
        cancelDispatch(context);
        noteOutcomeUnknown(context.identity, context.endpointIncarnation(), now);
        // An endpoint that knows the deadline and still sends a body is not sound. One that has not begun may be full.
        const bool sendsOn = context.responseStarted && !context.eventStream;
        releaseEndpoint(context, sendsOn ? fleet::request_outcome::ConnectionLost : fleet::request_outcome::Cancelled,
                        now);
    }
    if (context.responseStarted) {
        m_effects.emplace_back(abort_response{context.id});
        finishRequest(context, outcome, now);
    } else {
        refuseRequest(context, code, std::nullopt, now);
    }
}

internal::request_context *gateway::implementation::findRequest(caller_id id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void gateway::implementation::logRequest(log_level level, std::string_view name, const request_context &context,
                                         std::vector<log_field> fields, time_point now)
{
    std::vector<log_field> all{{"request", context.callerAttempt}, {"route", context.route->name}};
    if (context.tenant != nullptr) {
        all.emplace_back("tenant", context.tenant->name);
    }
    if (!context.request.program.empty()) {
        all.emplace_back("program", context.request.program);
    }
    all.emplace_back("age_ms", millisecondsBetween(context.arrived, now).count());
    std::ranges::move(fields, std::back_inserter(all));
    log(level, name, std::move(all));
}

} // namespace jackdawpick::gateway
