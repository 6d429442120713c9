// Calls that end without an answer: failed attempts, disconnected callers, deadlines and lost shards.

#include "core/internal/refusals.h"
#include "core/internal/state.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick
{

void core::implementation::on(dispatch_failed &received)
{
    const auto handle = callByDispatch.find(received.dispatch);
    if (handle == callByDispatch.end()) {
        ++counters.lateAnswers;
        return;
    }
    running_call &call = calls.at(handle->second);
    callByDispatch.erase(handle);
    call.bytesOffered = call.bytesOffered || received.failure.bytesOffered;
    onQuarantined(endpoints.onFailed(call.endpoint, call.request.contentDigest, received.failure, now));
    if (received.endpointLeaving) {
        onEndpointLeaving(endpoints.view(call.endpoint).name);
    }
    retryOrFail(call, received.failure);
}

void core::implementation::retryOrFail(running_call &call, const endpoint_failure &failure)
{
    // Text that was sent to the caller cannot be withdrawn, so a call that has begun to stream is not retried.
    const bool retryIsSafe = isIdempotent(call.request) ? call.text.empty() : !call.bytesOffered;
    const bool worthwhile = failure.kind != failure_kind::Rejected && failure.kind != failure_kind::DeadlinePassed;
    const bool allowed = call.attempts < options.maxAttempts && now < call.deadline
        && !endpoints.isQuarantined(call.request.contentDigest, now);
    if (retryIsSafe && worthwhile && allowed && call.hasCaller
        && queue.spendRetry(call.request.program.customer, now)) {
        ++counters.retries;
        call.triedEndpoints.push_back(call.endpoint);
        enqueue(call);
        return;
    }
    failCall(call, failure);
}

void core::implementation::failCall(running_call &call, const endpoint_failure &failure)
{
    const auto message = fmt::format("endpoint {}: {}", endpoints.view(call.endpoint).name, nameOf(failure.kind));
    if (!call.bytesOffered) {
        settleNotRun(call, 0);
        refuseCall(call, makeRefusal(result_code::NoEndpoint, message, noEndpointRetry));
        return;
    }
    if (isIdempotent(call.request)) {
        settleNotRun(call, call.reserved);
        const bool deadlinePassed = failure.kind == failure_kind::DeadlinePassed;
        const bool isQuarantined = endpoints.isQuarantined(call.request.contentDigest, now);
        refuseCall(call,
                   makeRefusal(deadlinePassed ? result_code::DeadlineExceeded : result_code::EndpointFailed,
                               isQuarantined ? message + "; the request is quarantined" : message));
        return;
    }
    const auto status = failure.httpStatus != 0 ? fmt::format(" (HTTP {})", failure.httpStatus) : std::string{};
    std::vector<log_record> records{programs.settle(
        call.request.program,
        {.outcome = execution::Unknown, .tokensSpent = call.reserved, .computedTokens = call.reserved}, now)};
    journalRecords(std::move(records));
    refuseCall(call, makeRefusal(result_code::OutcomeUnknown, message + status));
}

void core::implementation::on(caller_disconnected &received)
{
    if (const auto id = forwardByRequest.find(received.request); id != forwardByRequest.end()) {
        const auto found = forwardedCalls.find(id->second);
        emit(send_to_peer{.peer = found->second.peer, .address = {}, .message = forward_cancel{id->second}});
        forwardedCalls.erase(found);
        forwardByRequest.erase(id);
        return;
    }
    const auto handle = callByRequest.find(received.request);
    if (handle == callByRequest.end()) {
        return;
    }
    running_call &call = calls.at(handle->second);
    call.hasCaller = false;
    switch (call.phase) {
    case call_phase::AwaitingReservation:
        settleNotRun(call, 0);
        removeCall(call);
        break;
    case call_phase::Waiting:
        queue.remove(call.handle);
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        removeCall(call);
        break;
    case call_phase::Running:
        cancelRunning(call);
        break;
    case call_phase::AwaitingCommit:
        break;
    }
}

// A non-idempotent call continues without its caller; its outcome is recorded and returned if the turn is sent again.
void core::implementation::cancelRunning(running_call &call)
{
    if (!isIdempotent(call.request)) {
        return;
    }
    cancelDispatch(call);
    settleNotRun(call, call.reserved);
    removeCall(call);
}

void core::implementation::cancelDispatch(running_call &call)
{
    emit(cancel_dispatch{call.dispatch});
    callByDispatch.erase(call.dispatch);
    endpoints.onCancelled(call.endpoint, call.request.contentDigest, now);
}

void core::implementation::expireWaiting()
{
    for (const auto &expired : queue.expire(now)) {
        const auto found = calls.find(expired.handle);
        if (found == calls.end()) {
            continue;
        }
        running_call &call = found->second;
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        // If an earlier attempt may have reached an endpoint, the outcome must not be "not run".
        refuseCall(call,
                   call.bytesOffered
                       ? makeRefusal(result_code::EndpointFailed, "no other endpoint became available in time")
                       : makeRefusal(expired.code, "no endpoint became available in time", expired.retryAfter));
    }
}

void core::implementation::expireDeadlines()
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const auto handle = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        handleDeadlineExceeded(calls.at(handle));
    }
}

void core::implementation::handleDeadlineExceeded(running_call &call)
{
    switch (call.phase) {
    case call_phase::AwaitingReservation:
        settleNotRun(call, 0);
        refuseCall(call,
                   makeRefusal(result_code::DeadlineExceededNotRun,
                               "the reservation was not committed to the log before the deadline", logRetry));
        break;
    case call_phase::Waiting:
        queue.remove(call.handle);
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        refuseCall(call,
                   call.bytesOffered
                       ? makeRefusal(result_code::DeadlineExceeded, "the deadline passed between two attempts")
                       : makeRefusal(result_code::DeadlineExceededNotRun, "no endpoint became available in time",
                                     noEndpointRetry));
        break;
    case call_phase::Running:
        cancelDispatch(call);
        // The request has been dispatched, so it may have reached the endpoint.
        call.bytesOffered = true;
        failCall(call, {.kind = failure_kind::DeadlinePassed, .bytesOffered = true});
        break;
    case call_phase::AwaitingCommit:
        finishCall(call, false);
        break;
    }
}

// Drops all state of a shard, because another daemon has sealed it or it is about to be released. Calls that are still
// in flight are refused: after a seal their records are no longer valid.
void core::implementation::stopServingShard(shard_index shard)
{
    std::vector<std::uint64_t> lostCalls;
    for (const auto &[handle, call] : calls) {
        if (shardOf(call.request.program) == shard) {
            lostCalls.push_back(handle);
        }
    }
    for (const auto handle : lostCalls) {
        running_call &call = calls.at(handle);
        if (call.phase == call_phase::Waiting) {
            queue.remove(handle);
        } else if (call.phase == call_phase::Running) {
            cancelDispatch(call);
            call.bytesOffered = true;
        }
        const bool offered = call.bytesOffered || call.phase == call_phase::AwaitingCommit;
        refuseCall(call,
                   offered ? makeRefusal(result_code::OwnershipLost, "another daemon has taken over the program")
                           : makeRefusal(result_code::OwnerUnreachable, "another daemon has taken over the program",
                                         ownerChangingRetry));
    }
    for (const auto &key : programs.programsOf(shard)) {
        programTimes.erase(key);
    }
    programs.dropShard(shard);
}

} // namespace jackdawpick
