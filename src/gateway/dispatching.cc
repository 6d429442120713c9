// Requests at endpoints: placement, the passing of answers, and what follows when an endpoint fails.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Endpoints that are offered one request, those included that reject it.
constexpr unsigned maxSends = 4;
constexpr milliseconds noEndpointRetry{300};
constexpr milliseconds fullRetry{400};
// Less than this is not worth an offer to an endpoint.
constexpr milliseconds shortestOffer{10};
// Answers up to this size to requests that may run again are held until they are whole, so that a broken one can be
// replaced by that of another endpoint.
constexpr std::uint64_t maxHeldBytes = 64U << 10U;
constexpr std::uint16_t misdirected = 421;

bool isEventStream(const header_list &headers)
{
    return std::ranges::any_of(headers, [](const auto &header) {
        return header.first == "content-type" && header.second.starts_with("text/event-stream");
    });
}

// Statuses by which callers are promised that the request has not run.
bool promisesNotRun(std::uint16_t status)
{
    return status == 408 || status == misdirected || status == 429 || status == 503;
}

} // namespace

admission::turn_urgency gateway::implementation::urgencyOf(const call &value)
{
    return {.rank = value.route->rank, .firstTurn = value.firstTurn};
}

// Refuses the request if it begins a program for which the engines have no room now.
bool gateway::implementation::admit(call &value, time_point now)
{
    const double utilisation = m_pool.utilisation(value.service, now);
    const auto retryAfter = admission::delayOf(urgencyOf(value), utilisation, random());
    if (retryAfter.has_value()) {
        logCall(log_level::Info, "program_refused", value, {{"utilisation", utilisation}}, now);
        refuseCall(value, result_code::EnginesFull, retryAfter, now);
    }
    return !retryAfter.has_value();
}

fleet::placement_request gateway::implementation::placementOf(const call &value) const
{
    const auto &request = value.request;
    return {.service = value.service,
            .zone = m_options.self.zone,
            .prompt = request.prompt,
            .affinity = request.affinity.empty() ? request.session : request.affinity,
            .outputTokens = request.maxOutputTokens,
            .excluded = value.tried};
}

void gateway::implementation::dispatch(call &value, time_point now)
{
    const auto remaining = millisecondsBetween(now, value.deadline);
    if (remaining < shortestOffer) {
        refuseCall(value, result_code::DeadlineBeforeDispatch, std::nullopt, now);
        return;
    }
    const auto request = placementOf(value);
    const auto where = m_pool.choose(request, random(), now);
    if (!where.has_value()) {
        refuseCall(value, result_code::NoEndpoint, noEndpointRetry, now);
        return;
    }
    m_pool.onDispatched(where->id, now);
    value.phase = call_phase::Dispatched;
    value.endpoint = where->id;
    value.dispatchedAt = now;
    value.dispatch = dispatch_id{++m_lastDispatch};
    ++value.sends;
    m_dispatches.emplace(*value.dispatch, value.id);
    logCall(log_level::Info, "request_dispatched", value,
            {{"endpoint", where->id},
             {"send", value.sends},
             {"expected_wait_ms", static_cast<std::int64_t>(where->expectedWait.count())},
             {"configuration", value.table->source().version}},
            now);
    const bool toEngine = value.route->kind == routing::request_kind::Stream;
    m_out.emplace_back(
        start_dispatch{.dispatch = *value.dispatch,
                       .address = where->address,
                       .endpoint = where->id,
                       .attempt = value.request.attempt,
                       .method = value.request.method,
                       .host = value.request.host,
                       .target = value.request.target,
                       .headers = value.request.headers,
                       .body = value.history + value.request.body,
                       .remaining = remaining,
                       .priority = toEngine ? std::optional(admission::priorityOf(urgencyOf(value))) : std::nullopt});
}

void gateway::implementation::releaseEndpoint(call &value, fleet::request_outcome how, time_point now)
{
    m_pool.onFinished(value.endpoint, how, millisecondsBetween(value.dispatchedAt, now), now);
    m_dispatches.erase(*value.dispatch);
    value.dispatch.reset();
}

void gateway::implementation::on(response_head &what, time_point now)
{
    const auto found = m_dispatches.find(what.dispatch);
    if (found == m_dispatches.end()) {
        return;
    }
    auto &value = m_calls.at(found->second);
    if (what.notExecuted || what.status == misdirected) {
        onRejected(value, what, now);
    } else if (promisesNotRun(what.status) || (what.status / 100 == 2 && !what.hasEndpointSignature)) {
        // The promise would be the gateway's own and may be false; a success must be an endpoint's.
        m_out.emplace_back(cancel_dispatch{what.dispatch});
        onBrokenAnswer(value, dispatch_outcome::Lost, now);
    } else {
        beginPassing(value, what);
    }
}

// The request has not run. Whatever else the endpoint sends on this connection is of no interest.
void gateway::implementation::onRejected(call &value, const response_head &head, time_point now)
{
    if (head.status == misdirected) {
        m_pool.markLeaving(value.endpoint); // Another endpoint has its address.
    }
    value.tried.insert(value.endpoint);
    m_out.emplace_back(increment_counter{metric::EndpointFailures, value.service, "rejected"});
    logCall(log_level::Info, "endpoint_rejected", value, {{"endpoint", value.endpoint}, {"status", head.status}}, now);
    releaseEndpoint(value, fleet::request_outcome::Rejected, now);
    if (value.sends < maxSends) {
        dispatch(value, now);
    } else {
        refuseCall(value, result_code::RejectedByEndpoints, fullRetry, now);
    }
}

void gateway::implementation::beginPassing(call &value, response_head &head)
{
    value.status = head.status;
    const bool mayHold = value.route->kind == routing::request_kind::Idempotent && head.contentLength.has_value()
        && *head.contentLength <= maxHeldBytes;
    if (mayHold) {
        value.heldHead = std::move(head);
        return;
    }
    value.answered = true;
    value.eventStream = head.status == 200 && isEventStream(head.headers);
    const auto length = value.eventStream ? std::nullopt : head.contentLength;
    m_out.emplace_back(start_response{value.id, head.status, std::move(head.headers), length});
}

void gateway::implementation::on(const response_chunk &what, time_point now)
{
    const auto found = m_dispatches.find(what.dispatch);
    if (found == m_dispatches.end()) {
        return;
    }
    auto &value = m_calls.at(found->second);
    if (value.heldHead.has_value()) {
        value.output += what.bytes;
    } else if (value.eventStream) {
        passEvents(value, what.bytes, now);
    } else {
        value.firstByteAt = value.firstByteAt.value_or(now);
        m_out.emplace_back(response_bytes{value.id, what.bytes});
    }
}

// Only complete events are passed on, so that what the caller has is known exactly.
void gateway::implementation::passEvents(call &value, const std::string &bytes, time_point now)
{
    std::string passed;
    const auto eventsBefore = value.eventCount;
    for (const auto &piece : value.events.append(bytes)) {
        passed += piece.raw;
        if (piece.hasData) {
            ++value.eventCount;
            if (value.route->retainsTurns) {
                value.output += piece.data;
                value.output += '\n';
            }
        }
    }
    if (const auto events = value.eventCount - eventsBefore; events > 0) {
        if (value.lastEventAt.has_value()) {
            m_pool.onStreamEvents(value.endpoint, events, millisecondsBetween(*value.lastEventAt, now), now);
        }
        value.lastEventAt = now;
    }
    if (passed.empty()) {
        return;
    }
    if (!value.firstByteAt.has_value()) {
        value.firstByteAt = now;
    }
    m_out.emplace_back(response_bytes{value.id, std::move(passed)});
}

void gateway::implementation::on(const dispatch_finished &what, time_point now)
{
    const auto found = m_dispatches.find(what.dispatch);
    if (found == m_dispatches.end()) {
        return;
    }
    auto &value = m_calls.at(found->second);
    if (what.how == dispatch_outcome::Complete && (value.answered || value.heldHead.has_value())) {
        onWholeAnswer(value, now);
    } else {
        onBrokenAnswer(value, what.how, now);
    }
}

void gateway::implementation::onWholeAnswer(call &value, time_point now)
{
    releaseEndpoint(value, fleet::request_outcome::Answered, now);
    m_crashes.onAnswered(value.content);
    if (value.heldHead.has_value()) {
        m_out.emplace_back(
            start_response{value.id, value.heldHead->status, value.heldHead->headers, value.heldHead->contentLength});
        m_out.emplace_back(response_bytes{value.id, std::move(value.output)});
    } else if (value.eventStream && !value.events.rest().empty()) {
        m_out.emplace_back(response_bytes{value.id, value.events.rest()});
    }
    if (value.eventStream && value.route->retainsTurns) {
        beginSaving(value, now);
        return;
    }
    m_out.emplace_back(end_response{value.id});
    finishCall(value, internal::answeredOutcome, now);
}

bool gateway::implementation::mayRunAgain(const call &value, time_point now) const
{
    return value.route->kind == routing::request_kind::Idempotent && value.attempts < value.route->maxAttempts
        && value.sends < maxSends && millisecondsBetween(now, value.deadline) > shortestOffer;
}

void gateway::implementation::onBrokenAnswer(call &value, dispatch_outcome how, time_point now)
{
    const bool notSent = how == dispatch_outcome::NotSent;
    m_out.emplace_back(increment_counter{metric::EndpointFailures, value.service, std::string(nameOf(how))});
    logCall(log_level::Warning, "endpoint_failed", value,
            {{"endpoint", value.endpoint}, {"how", nameOf(how)}, {"send", value.sends}, {"answered", value.answered}},
            now);
    if (how == dispatch_outcome::Lost && m_crashes.onBroken(value.content, value.endpoint, now)) {
        logCall(log_level::Warning, "endpoint_broke", value, {{"endpoint", value.endpoint}, {"content", value.content}},
                now);
    }
    releaseEndpoint(value, notSent ? fleet::request_outcome::Unreachable : fleet::request_outcome::ConnectionLost, now);
    value.attempts += notSent ? 0 : 1;
    value.heldHead.reset();
    if (value.answered) {
        m_out.emplace_back(abort_response{value.id});
        finishCall(value, "answer_broken", now);
        return;
    }
    value.output.clear();
    value.tried.insert(value.endpoint);
    if (m_crashes.isBlocked(value.content, now)) {
        refuseCall(value, result_code::OutcomeUnknown, std::nullopt, now);
    } else if ((notSent && value.sends < maxSends) || mayRunAgain(value, now)) {
        dispatch(value, now);
    } else if (notSent) {
        refuseCall(value, result_code::EndpointsUnreachable, noEndpointRetry, now);
    } else {
        refuseCall(value, result_code::OutcomeUnknown, std::nullopt, now);
    }
}

} // namespace jackdawpick::gateway
