// Arrival, refusal and end of requests.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_times.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetry;
using std::chrono::milliseconds;

// Of requests for which neither the caller nor the route states a time.
constexpr milliseconds defaultDeadline{30000};
constexpr milliseconds noConfigurationRetry{250};
// An endpoint answers by itself at the deadline it was given; its answer gets this long to arrive.
constexpr milliseconds endpointAnswerGrace{60};

// A position in [0, 1) that is the same for all requests of a program.
double positionOf(const caller_request &request)
{
    const auto &key = request.program.empty() ? request.attempt : request.program;
    constexpr double range = 4294967296.0; // 2^32
    return static_cast<double>(XXH3_64bits(key.data(), key.size()) >> 32U) / range;
}

// Attempts of one caller to have the same request run have the same hash; those of different callers do not.
std::uint64_t contentOf(const caller_request &request)
{
    const auto head = fmt::format("{} {} {} {} {} {} {}", request.method, request.host, request.target, request.program,
                                  request.session, request.affinity, request.previousTurn);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), XXH3_64bits(head.data(), head.size()));
}

milliseconds waitingTime(const caller_request &request, const routing::route &route)
{
    milliseconds longest = request.deadline.value_or(defaultDeadline);
    if (route.timeout.count() > 0) {
        longest = std::min(longest, route.timeout);
    }
    return longest;
}

} // namespace

void gateway::implementation::on(request_arrived &what, time_point now)
{
    if (m_table == nullptr) {
        refuseArrival(what, result_code::NotReady, noConfigurationRetry);
        return;
    }
    const auto *route = routeOf(what.request);
    if (route == nullptr) {
        refuseArrival(what, result_code::UnknownRoute, std::nullopt);
        return;
    }
    auto &value = m_calls[what.caller];
    value.id = what.caller;
    value.table = m_table;
    value.route = route;
    value.service = routing::chooseService(*route, positionOf(what.request));
    value.request = std::move(what.request);
    value.arrived = now;
    value.deadline = now + waitingTime(value.request, *route);
    value.content = contentOf(value.request);
    m_deadlines.emplace(value.deadline, value.id);
    if (m_crashes.isBlocked(value.content, now)) {
        refuseCall(value, result_code::RequestBlocked, std::nullopt, now);
        return;
    }
    prepareCall(value, now);
}

void gateway::implementation::prepareCall(call &value, time_point now)
{
    const bool needsStore = hasBudget(value) || value.route->retainsTurns;
    if (needsStore && !storeAvailable(now)) {
        refuseCall(value, result_code::LogUnavailable, storeRetry, now);
        return;
    }
    value.historyPending = value.route->retainsTurns && !value.request.previousTurn.empty();
    if (hasBudget(value)) {
        askForBudget(value, now); // The history follows the verdict, which may tell who has it.
    } else if (value.historyPending) {
        beginHistory(value, {}, now);
    } else {
        dispatch(value, now);
    }
}

const routing::route *gateway::implementation::routeOf(const caller_request &request) const
{
    return m_table->find(request.host, request.path);
}

void gateway::implementation::on(const caller_disconnected &what, time_point now)
{
    auto *value = findCall(what.caller);
    if (value == nullptr) {
        return;
    }
    if (value->dispatch.has_value()) {
        m_out.emplace_back(cancel_dispatch{*value->dispatch});
        releaseEndpoint(*value, fleet::request_outcome::Cancelled, now);
    }
    finishCall(*value, "caller_gone", now);
}

void gateway::implementation::refuseArrival(const request_arrived &what, result_code code,
                                            std::optional<milliseconds> retryAfter)
{
    const auto &refusal = describe(code);
    log(log_level::Info, "request_refused",
        {{"request", what.request.attempt},
         {"outcome", refusal.name},
         {"code", static_cast<std::uint16_t>(code)},
         {"status", refusal.httpStatus},
         {"configuration", m_table == nullptr ? 0 : m_table->source().version}});
    m_out.emplace_back(increment_counter{metric::Requests, "none", std::string(refusal.name)});
    m_out.emplace_back(refuse{what.caller, code, retryAfter});
}

void gateway::implementation::refuseCall(call &value, result_code code, std::optional<milliseconds> retryAfter,
                                         time_point now)
{
    const auto &refusal = describe(code);
    value.status = refusal.httpStatus;
    value.refusal = code;
    m_out.emplace_back(refuse{value.id, code, retryAfter});
    finishCall(value, refusal.name, now);
}

// Settles the budget, writes the final line and forgets the call, which must not be used afterwards.
void gateway::implementation::finishCall(call &value, std::string_view outcome, time_point now)
{
    settle(value, false, now);
    std::vector<log_field> fields{{"outcome", outcome}, {"status", value.status}, {"sends", value.sends}};
    if (value.refusal.has_value()) {
        fields.emplace_back("code", static_cast<std::uint16_t>(*value.refusal));
    }
    if (!value.endpoint.empty()) {
        fields.emplace_back("endpoint", value.endpoint);
    }
    if (value.firstByteAt.has_value()) {
        fields.emplace_back("first_byte_ms", millisecondsBetween(value.arrived, *value.firstByteAt).count());
    }
    if (value.eventStream) {
        fields.emplace_back("events", value.eventCount);
    }
    logCall(log_level::Info, "request_finished", value, std::move(fields), now);
    m_out.emplace_back(increment_counter{metric::Requests, value.route->name, std::string(outcome)});
    if (outcome == internal::answeredOutcome) {
        m_out.emplace_back(
            record_duration{metric::RequestSeconds, value.route->name, millisecondsBetween(value.arrived, now)});
    }
    if (value.firstByteAt.has_value()) {
        m_out.emplace_back(record_duration{metric::FirstByteSeconds, value.route->name,
                                           millisecondsBetween(value.arrived, *value.firstByteAt)});
    }
    if (value.dispatch.has_value()) {
        m_dispatches.erase(*value.dispatch);
    }
    m_lastEnd = now;
    m_deadlines.erase({value.deadline, value.id});
    m_calls.erase(value.id);
}

void gateway::implementation::expireCalls(time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (auto *value = findCall(id); value != nullptr) {
            expireCall(*value, now);
        }
    }
}

void gateway::implementation::expireCall(call &value, time_point now)
{
    switch (value.phase) {
    case call_phase::Preparing:
        refuseCall(value, result_code::DeadlineBeforeDispatch, std::nullopt, now);
        return;
    case call_phase::Saving:
        return; // Ends with the result of the append.
    case call_phase::Dispatched:
        break;
    }
    if (!value.inGrace) {
        value.inGrace = true;
        value.deadline = now + endpointAnswerGrace;
        m_deadlines.emplace(value.deadline, value.id);
        return;
    }
    if (value.dispatch.has_value()) {
        m_out.emplace_back(cancel_dispatch{*value.dispatch});
        releaseEndpoint(value, fleet::request_outcome::Cancelled, now);
    }
    if (value.answered) {
        m_out.emplace_back(abort_response{value.id});
        finishCall(value, "deadline_during_answer", now);
    } else {
        refuseCall(value, result_code::DeadlineExceeded, std::nullopt, now);
    }
}

internal::call *gateway::implementation::findCall(caller_id id)
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

void gateway::implementation::logCall(log_level level, std::string_view name, const call &value,
                                      std::vector<log_field> fields, time_point now)
{
    std::vector<log_field> all{{"request", value.request.attempt}, {"route", value.route->name}};
    if (!value.request.program.empty()) {
        all.emplace_back("program", value.request.program);
    }
    all.emplace_back("age_ms", millisecondsBetween(value.arrived, now).count());
    std::ranges::move(fields, std::back_inserter(all));
    log(level, name, std::move(all));
}

} // namespace jackdawpick::gateway
