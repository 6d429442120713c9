// How calls end without an answer: failed attempts, callers that leave, deadlines, lost shards.

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
    quarantined(table.onFailed(call.endpoint, call.call.contentDigest, received.failure, now));
    if (received.endpointLeaving) {
        endpointLeaving(table.view(call.endpoint).name);
    }
    retryOrFail(call, received.failure);
}

void core::implementation::retryOrFail(running_call &call, const endpoint_failure &failure)
{
    // Text that the caller already has cannot be taken back, so a call that has begun to stream is not moved.
    const bool harmless = isIdempotent(call.call) ? call.text.empty() : !call.bytesOffered;
    const bool worthwhile = failure.kind != failure_kind::Rejected && failure.kind != failure_kind::DeadlinePassed;
    const bool allowed = call.attempts < options.maxAttempts && now < call.deadline
        && !table.isQuarantined(call.call.contentDigest, now);
    if (harmless && worthwhile && allowed && call.hasCaller && queue.spendRetry(call.call.program.customer, now)) {
        ++counters.retries;
        call.tried.push_back(call.endpoint);
        enqueue(call);
        return;
    }
    fail(call, failure);
}

void core::implementation::fail(running_call &call, const endpoint_failure &failure)
{
    const auto message = fmt::format("endpoint {}: {}", table.view(call.endpoint).name, nameOf(failure.kind));
    if (!call.bytesOffered) {
        settleNotRun(call, 0);
        refuseCall(call, makeRefusal(result_code::NoEndpoint, message, noEndpointRetry));
        return;
    }
    if (isIdempotent(call.call)) {
        settleNotRun(call, call.reserved);
        const bool late = failure.kind == failure_kind::DeadlinePassed;
        const bool blamed = table.isQuarantined(call.call.contentDigest, now);
        refuseCall(call,
                   makeRefusal(late ? result_code::DeadlineExceeded : result_code::EndpointFailed,
                               blamed ? message + "; the request is in quarantine" : message));
        return;
    }
    const auto status = failure.httpStatus != 0 ? fmt::format(" (HTTP {})", failure.httpStatus) : std::string{};
    std::vector<log_record> records{programs.settle(
        call.call.program,
        {.outcome = execution::Unknown, .tokensSpent = call.reserved, .computedTokens = call.reserved}, now)};
    journalRecords(std::move(records));
    refuseCall(call, makeRefusal(result_code::OutcomeUnknown, message + status));
}

void core::implementation::on(caller_disconnected &received)
{
    if (const auto id = forwardByRequest.find(received.request); id != forwardByRequest.end()) {
        const auto found = forwards.find(id->second);
        emit(send_to_peer{.peer = found->second.peer, .address = {}, .message = forward_cancel{id->second}});
        forwards.erase(found);
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
        forget(call);
        break;
    case call_phase::Waiting:
        queue.remove(call.handle);
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        forget(call);
        break;
    case call_phase::Running:
        cancelRunning(call);
        break;
    case call_phase::AwaitingCommit:
        break;
    }
}

// A non-idempotent call goes on without its caller: its outcome is recorded and a resend of the turn gets it.
void core::implementation::cancelRunning(running_call &call)
{
    if (!isIdempotent(call.call)) {
        return;
    }
    stopDispatch(call);
    settleNotRun(call, call.reserved);
    forget(call);
}

void core::implementation::stopDispatch(running_call &call)
{
    emit(cancel_dispatch{call.dispatch});
    callByDispatch.erase(call.dispatch);
    table.onCancelled(call.endpoint, call.call.contentDigest, now);
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
        // An earlier attempt may have reached an endpoint; then "not run" would be wrong.
        refuseCall(call,
                   call.bytesOffered ? makeRefusal(result_code::EndpointFailed, "no other endpoint was free in time")
                                     : makeRefusal(expired.code, "no endpoint was free in time", expired.retryAfter));
    }
}

void core::implementation::expireDeadlines()
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const auto handle = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        passDeadline(calls.at(handle));
    }
}

void core::implementation::passDeadline(running_call &call)
{
    switch (call.phase) {
    case call_phase::AwaitingReservation:
        settleNotRun(call, 0);
        refuseCall(
            call,
            makeRefusal(result_code::DeadlineExceededNotRun, "the reservation was not durable in time", logRetry));
        break;
    case call_phase::Waiting:
        queue.remove(call.handle);
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        refuseCall(
            call,
            call.bytesOffered
                ? makeRefusal(result_code::DeadlineExceeded, "the deadline passed between two attempts")
                : makeRefusal(result_code::DeadlineExceededNotRun, "no endpoint was free in time", noEndpointRetry));
        break;
    case call_phase::Running:
        stopDispatch(call);
        // The dispatch has begun, so the request may have reached the endpoint.
        call.bytesOffered = true;
        fail(call, {.kind = failure_kind::DeadlinePassed, .bytesOffered = true});
        break;
    case call_phase::AwaitingCommit:
        finish(call, false);
        break;
    }
}

// Another daemon has sealed the shard: this one knows no longer how the calls of its programs end.
void core::implementation::abandonShard(shard_index shard)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[handle, call] : calls) {
        if (shardOf(call.call.program) == shard) {
            lost.push_back(handle);
        }
    }
    for (const auto handle : lost) {
        running_call &call = calls.at(handle);
        if (call.phase == call_phase::Waiting) {
            queue.remove(handle);
        } else if (call.phase == call_phase::Running) {
            stopDispatch(call);
            call.bytesOffered = true;
        }
        const bool offered = call.bytesOffered || call.phase == call_phase::AwaitingCommit;
        refuseCall(call,
                   offered ? makeRefusal(result_code::OwnershipLost, "another daemon has taken the program over")
                           : makeRefusal(result_code::OwnerUnreachable, "another daemon has taken the program over",
                                         ownerChangingRetry));
    }
    for (const auto &key : programs.programsOf(shard)) {
        spans.erase(key);
    }
    programs.dropShard(shard);
}

} // namespace jackdawpick
