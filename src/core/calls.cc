#include "core/internal/refusals.h"
#include "core/internal/state.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace jackdawpick
{

namespace
{

// While the log is available, this daemon's journal is read at least once a second.
constexpr std::chrono::milliseconds maxJournalAge{2500};

// Engines return the request id, so it identifies the dispatch. Services count calls by it, so it identifies the turn.
std::string endpointRequestId(const running_call &call)
{
    if (std::holds_alternative<service_call>(call.request.kind)) {
        return fmt::format("{}#{}", toString(call.request.program), call.request.turn);
    }
    return fmt::format("{}#{}@{}", toString(call.request.program), call.request.turn,
                       static_cast<std::uint64_t>(call.dispatch));
}

bool isModelCall(const running_call &call)
{
    return std::holds_alternative<model_call>(call.request.kind);
}

} // namespace

// ---- Arrival ----

void core::implementation::on(call_arrived &received)
{
    ++counters.callsArrived;
    running_call call;
    if (auto refused = prepareCall(received, call)) {
        refuseRequest(received.request, std::move(*refused));
        return;
    }
    const shard_index shard = shardOf(call.request.program);
    if (!owners.serves(shard)) {
        const auto *owner = owners.ownerOf(shard);
        if (received.peer.empty() && owner != nullptr && forward(received, *owner)) {
            return;
        }
        refuseRequest(
            received.request,
            makeRefusal(result_code::OwnerUnreachable, "the owner of the program is changing", ownerChangingRetry));
        return;
    }
    const auto decision = programs.check(call.request, limitsFor(call), now);
    if (const auto *refused = std::get_if<refusal>(&decision)) {
        refuseByLedger(call, *refused);
        return;
    }
    if (const auto *replayed = std::get_if<replayed_call>(&decision)) {
        replay(call, *replayed);
        return;
    }
    const auto &accepted = std::get<accepted_call>(decision);
    call.rank = accepted.rank;
    call.attainedService = accepted.attainedService;
    call.reserved = accepted.call.reserved;
    if (auto refused = checkLogAvailable(accepted)) {
        refuseRequest(received.request, std::move(*refused), call.request.rank, call.pool);
        return;
    }
    if (auto refused = queue.admit(waitingCall(call), endpoints, now)) {
        refuseRequest(received.request, std::move(*refused), call.request.rank, call.pool);
        return;
    }
    startCall(std::move(call), accepted);
}

// A daemon that was suspended or partitioned may have lost the shard without noticing. Until it has read its journal
// again, its view of a program may be outdated, so refusals that depend on it are made retryable.
void core::implementation::refuseByLedger(const running_call &call, const refusal &reason)
{
    const bool concernsProgramState = reason.code >= result_code::TurnOutOfOrder
        && reason.code <= result_code::ReceiptInvalid && reason.code != result_code::CallInProgress;
    if (concernsProgramState && now - journalCurrentAsOf > maxJournalAge) {
        journal.requestRead();
        refuseRequest(
            call.requestHandle,
            makeRefusal(result_code::OwnerUnreachable, "the owner is re-reading its journal", ownerChangingRetry),
            call.request.rank, call.pool);
        return;
    }
    refuseRequest(call.requestHandle, reason, call.request.rank, call.pool);
}

// The answer of a turn that is not yet in the log includes a receipt, since the owner may crash before the record is
// durable.
void core::implementation::replay(const running_call &call, const replayed_call &stored)
{
    ++counters.callsFinished;
    const bool durable = programs.turnConfirmed(stored.key);
    const auto fencingToken = owners.servedFence(shardOf(stored.key)).value_or(0);
    emit(finish_call{.request = call.requestHandle,
                     .program = stored.key,
                     .turn = stored.turn,
                     .requestId = call.request.requestId,
                     .answer = stored.answer,
                     .isService = !isModelCall(call),
                     .replayed = true,
                     .used = {},
                     .durable = durable,
                     .receipt = durable ? std::string{} : programs.receiptFor(stored.key, fencingToken)});
}

std::optional<refusal> core::implementation::prepareCall(const call_arrived &received, running_call &call)
{
    if (!ready()) {
        return makeRefusal(result_code::NotReady, "the daemon has not read the configuration yet", notReadyRetry);
    }
    if (drain) {
        return makeRefusal(result_code::Draining, "the daemon is draining", drainingRetry);
    }
    call.requestHandle = received.request;
    call.request = received.call;
    call.peer = received.peer;
    call.arrived = now;
    const auto &limits = configurations.current().limits;
    call.deadline = now + received.call.deadline.value_or(limits.callDeadline);
    if (auto refused = resolveTarget(call)) {
        return refused;
    }
    if (call.request.program.program.empty()) {
        if (auto refused = assignProgramId(call)) {
            return refused;
        }
    }
    if (endpoints.isQuarantined(call.request.contentDigest, now)) {
        return makeRefusal(result_code::RequestQuarantined, "endpoints crashed while running this request");
    }
    return std::nullopt;
}

std::optional<refusal> core::implementation::assignProgramId(running_call &call)
{
    if (!isIdempotent(call.request)) {
        return makeRefusal(result_code::ProgramIdRequired, "choose a program id before sending a non-idempotent call");
    }
    if (call.request.parent) {
        const std::string id =
            fmt::format("{}{}{:x}", call.request.parent->program, subAgentSeparator, ++lastProgramSequence);
        call.request.program.program = id;
        return std::nullopt;
    }
    const auto served = owners.servedShards();
    if (served.empty()) {
        return makeRefusal(result_code::NotReady, "the daemon serves no shard yet", notReadyRetry);
    }
    const auto shard = *std::next(served.begin(), static_cast<std::ptrdiff_t>(++lastProgramSequence % served.size()));
    call.request.program.program = generateProgramId(shard, options.self.daemon.incarnation, lastProgramSequence);
    return std::nullopt;
}

std::optional<refusal> core::implementation::resolveTarget(running_call &call)
{
    const auto &current = configurations.current();
    const auto &customers = current.customers;
    if (!customers.empty()
        && std::ranges::find(customers, call.request.program.customer, &customer_policy::name) == customers.end()) {
        return makeRefusal(result_code::UnknownCustomer, "the customer is not in the configuration");
    }
    call.endpointTimeout = std::chrono::milliseconds::max();
    std::string defaultRank = current.ranks.empty() ? std::string{} : current.ranks.back().name;
    if (auto *service = std::get_if<service_call>(&call.request.kind)) {
        const auto definition = std::ranges::find(current.services, service->service, &service_definition::name);
        if (definition == current.services.end()) {
            return makeRefusal(result_code::UnknownService, "the service is not in the configuration");
        }
        call.pool = definition->pool;
        call.endpointTimeout = definition->timeout;
        service->idempotent = service->idempotentStated ? service->idempotent : definition->idempotentByDefault;
        defaultRank = definition->ranks.empty() ? defaultRank : definition->ranks.front();
        if (!call.request.rank.empty() && !definition->ranks.empty()
            && std::ranges::find(definition->ranks, call.request.rank) == definition->ranks.end()) {
            return makeRefusal(result_code::UnknownRank, "the service does not allow this rank");
        }
    } else {
        const auto &model = std::get<model_call>(call.request.kind).model;
        const auto pool = std::ranges::find(current.pools, model, &model_pool::model);
        if (pool == current.pools.end()) {
            return makeRefusal(result_code::UnknownModel, "the model is not in the configuration");
        }
        call.pool = pool->pool;
    }
    if (call.request.rank.empty()) {
        call.request.rank = defaultRank;
    }
    const auto rank = std::ranges::find(current.ranks, call.request.rank, &rank_policy::name);
    if (rank == current.ranks.end()) {
        return makeRefusal(result_code::UnknownRank, "the rank is not in the configuration");
    }
    call.rank = static_cast<rank_index>(rank - current.ranks.begin());
    return std::nullopt;
}

call_limits core::implementation::limitsFor(const running_call &call) const
{
    const auto &current = configurations.current();
    call_limits limits{.rank = call.rank,
                       .defaultBudget = current.limits.defaultBudgetTokens,
                       .maxBudget = current.limits.maxBudgetTokens,
                       .maxTurns = current.limits.maxTurns,
                       .maxHistoryTokens = current.limits.maxHistoryTokens,
                       .programLease = current.limits.programLease};
    const auto customer = std::ranges::find(current.customers, call.request.program.customer, &customer_policy::name);
    if (customer != current.customers.end() && customer->budgetTokens > 0) {
        limits.defaultBudget = customer->budgetTokens;
        limits.maxBudget = customer->budgetTokens;
    }
    if (const auto *service = std::get_if<service_call>(&call.request.kind)) {
        const auto definition = std::ranges::find(current.services, service->service, &service_definition::name);
        limits.serviceCost = definition == current.services.end() ? 0 : definition->callCost;
    }
    return limits;
}

std::optional<refusal> core::implementation::checkLogAvailable(const accepted_call &accepted) const
{
    if (journal.full()) {
        return makeRefusal(result_code::LogUnavailable, "too many records are waiting to be written to the log",
                           logRetry);
    }
    if (!accepted.call.idempotent && logUnavailable()) {
        return makeRefusal(result_code::LogUnavailable, "non-idempotent calls require the log, which is unavailable",
                           logRetry);
    }
    return std::nullopt;
}

waiting_call core::implementation::waitingCall(const running_call &call) const
{
    waiting_call waiting{.handle = call.handle,
                         .program = call.request.program,
                         .rank = call.rank,
                         .pool = call.pool,
                         .zone = options.self.zone,
                         .promptTokens = promptTokens(call.request.kind),
                         .attainedService = call.attainedService,
                         .content = call.request.contentDigest,
                         .arrived = call.arrived,
                         .deadline = call.deadline,
                         .excluded = call.triedEndpoints};
    if (const auto *model = std::get_if<model_call>(&call.request.kind)) {
        waiting.maxTokens = model->maxTokens;
    }
    return waiting;
}

void core::implementation::startCall(running_call call, const accepted_call &accepted)
{
    call.handle = ++lastHandle;
    const auto lease = configurations.current().limits.programLease;
    auto records = programs.begin(accepted, lease, now);
    callByRequest[call.requestHandle] = call.handle;
    callByProgram[call.request.program] = call.handle;
    deadlines.emplace(call.deadline, call.handle);
    if (accepted.open) {
        ++counters.programsOpened;
        programTimes.emplace(call.request.program, program_times{now, now});
    }
    auto &stored = calls[call.handle] = std::move(call);
    const bool wait = accepted.needsDurableReservation && !logUnavailable();
    if (!records.empty()) {
        stored.awaitedSequence = journalRecords(std::move(records));
    }
    if (wait) {
        stored.phase = call_phase::AwaitingReservation;
        callBySequence.emplace(stored.awaitedSequence, stored.handle);
        return;
    }
    enqueue(stored);
}

void core::implementation::enqueue(running_call &call)
{
    call.phase = call_phase::Waiting;
    queue.enqueue(waitingCall(call), now);
}

// ---- Dispatch ----

void core::implementation::assignWaitingCalls()
{
    for (const auto &next : queue.assign(endpoints, caches, now)) {
        if (const auto found = calls.find(next.handle); found != calls.end()) {
            dispatch(found->second, next);
        }
    }
}

void core::implementation::dispatch(running_call &call, const assignment &next)
{
    const auto &view = endpoints.view(next.endpoint);
    dispatchesToLeaving += view.leaving ? 1 : 0;
    repeatedDispatches += !isIdempotent(call.request) && call.bytesOffered ? 1 : 0;
    call.phase = call_phase::Running;
    call.dispatch = dispatch_id{++lastDispatch};
    call.endpoint = next.endpoint;
    call.dispatchedAt = now;
    call.firstTokenAt.reset();
    call.text.clear();
    call.used = {};
    ++call.attempts;
    const auto holders = caches.holders(call.request.program);
    call.expectedCachedTokens = std::accumulate(
        holders.begin(), holders.end(), token_count{0}, [&](token_count best, const std::string &holder) {
            return std::max(best, caches.cachedTokens(call.request.program, holder));
        });
    callByDispatch[call.dispatch] = call.handle;
    const auto remaining = std::max(millisecondsBetween(now, call.deadline), std::chrono::milliseconds(1));
    emit(start_dispatch{.dispatch = call.dispatch,
                        .endpoint = view.name,
                        .address = view.address,
                        .requestId = endpointRequestId(call),
                        .program = toString(call.request.program),
                        .priority = next.priority,
                        .kind = call.request.kind,
                        .body = call.request.body,
                        .timeout = std::min(remaining, call.endpointTimeout)});
}

running_call *core::implementation::findByDispatch(dispatch_id id, const std::string &requestId)
{
    const auto handle = callByDispatch.find(id);
    if (handle == callByDispatch.end()) {
        ++counters.lateAnswers;
        return nullptr;
    }
    running_call &call = calls.at(handle->second);
    if (isModelCall(call) && requestId != endpointRequestId(call)) {
        ++counters.lateAnswers;
        log(log_level::Warning, "answer_mismatch", {{"expected", endpointRequestId(call)}, {"received", requestId}});
        return nullptr;
    }
    return &call;
}

void core::implementation::on(dispatch_progress &received)
{
    auto *call = findByDispatch(received.dispatch, received.requestId);
    if (call == nullptr || received.text.empty()) {
        return;
    }
    if (!call->firstTokenAt) {
        call->firstTokenAt = now;
    }
    call->bytesOffered = true;
    call->text += received.text;
    if (call->hasCaller) {
        emit(stream_text{call->requestHandle, std::move(received.text)});
    }
}

void core::implementation::on(dispatch_finished &received)
{
    if (const auto handle = callByDispatch.find(received.dispatch);
        handle != callByDispatch.end() && received.endpointLeaving) {
        onEndpointLeaving(endpoints.view(calls.at(handle->second).endpoint).name);
    }
    auto *call = findByDispatch(received.dispatch, received.requestId);
    if (call == nullptr) {
        return;
    }
    call->bytesOffered = true;
    call->used = received.used;
    const auto firstToken = call->firstTokenAt.value_or(now) - call->dispatchedAt;
    endpoints.onFinished(call->endpoint, call->request.contentDigest, received.used, firstToken,
                         now - call->dispatchedAt, now);
    queue.onServed(call->rank, call->pool,
                   received.used.promptTokens - std::min(received.used.cachedTokens, received.used.promptTokens)
                       + received.used.completionTokens,
                   now - call->dispatchedAt, now);
    callByDispatch.erase(call->dispatch);
    succeed(*call, isModelCall(*call) ? call->text : std::move(received.body));
}

void core::implementation::succeed(running_call &call, std::string answer)
{
    const auto &used = call.used;
    const auto prompt = promptTokens(call.request.kind);
    const token_count computedPrompt = prompt - std::min(used.cachedTokens, prompt);
    call_result result{.outcome = execution::Ran, .answer = std::move(answer)};
    if (const auto *model = std::get_if<model_call>(&call.request.kind)) {
        result.tokensSpent = computedPrompt + std::min<token_count>(used.completionTokens, model->maxTokens);
        result.computedTokens = result.tokensSpent;
        const auto &endpoint = endpoints.view(call.endpoint).name;
        result.cacheHolders = holdersOf(call);
        caches.onServed(call.request.program, endpoint, prompt + used.completionTokens, now);
        counters.promptTokens += prompt;
        counters.cachedTokens += std::min(used.cachedTokens, prompt);
        counters.completionTokens += used.completionTokens;
        const auto reusable = std::min(call.expectedCachedTokens, prompt);
        counters.wastedTokens += reusable - std::min(used.cachedTokens, reusable);
    } else {
        result.tokensSpent = call.reserved;
    }
    call.text = result.answer;
    settle(call, result);
}

void core::implementation::settle(running_call &call, const call_result &result)
{
    std::vector<log_record> records{programs.settle(call.request.program, result, now)};
    call.phase = call_phase::AwaitingCommit;
    call.awaitedSequence = journalRecords(std::move(records));
    callBySequence.emplace(call.awaitedSequence, call.handle);
    if (logUnavailable()) {
        finishCall(call, false);
    }
}

// Settles the turn as not run, so that the caller may send it again.
void core::implementation::settleNotRun(running_call &call, token_count spent)
{
    std::vector<log_record> records{programs.settle(call.request.program,
                                                    {.outcome = execution::NotRun,
                                                     .tokensSpent = spent,
                                                     .computedTokens = spent,
                                                     .answer = {},
                                                     .cacheHolders = holdersOf(call)},
                                                    now)};
    journalRecords(std::move(records));
}

// Includes endpoints where the call failed or was cancelled, since engines may have cached its prefix.
std::vector<std::string> core::implementation::holdersOf(const running_call &call) const
{
    std::vector<std::string> holders;
    if (!isModelCall(call)) {
        return holders;
    }
    std::ranges::transform(call.triedEndpoints, std::back_inserter(holders),
                           [this](endpoint_id id) { return endpoints.view(id).name; });
    if (call.attempts > 0) {
        holders.push_back(endpoints.view(call.endpoint).name);
    }
    return holders;
}

// ---- Answers ----

void core::implementation::finishCall(running_call &call, bool durable)
{
    ++counters.callsFinished;
    if (const auto times = programTimes.find(call.request.program); times != programTimes.end()) {
        times->second.last = now;
    }
    if (call.hasCaller) {
        const auto fencingToken = owners.servedFence(shardOf(call.request.program)).value_or(0);
        emit(finish_call{.request = call.requestHandle,
                         .program = call.request.program,
                         .turn = call.request.turn,
                         .requestId = call.request.requestId,
                         .answer = call.text,
                         .isService = !isModelCall(call),
                         .used = call.used,
                         .durable = durable,
                         .receipt = durable ? std::string{} : programs.receiptFor(call.request.program, fencingToken)});
    }
    std::optional<duration> firstToken;
    if (call.firstTokenAt) {
        firstToken = *call.firstTokenAt - call.arrived;
    }
    emit(observe_call{.rank = call.request.rank,
                      .pool = call.pool,
                      .code = result_code::Ok,
                      .firstToken = firstToken,
                      .total = now - call.arrived,
                      .tokens = call.used.completionTokens});
    removeCall(call);
}

void core::implementation::refuseCall(running_call &call, refusal reason)
{
    falseNotRun += call.bytesOffered && describe(reason.code).outcome == execution::NotRun ? 1 : 0;
    if (call.hasCaller) {
        refuseRequest(call.requestHandle, std::move(reason), call.request.rank, call.pool);
    }
    removeCall(call);
}

void core::implementation::refuseRequest(request_handle request, refusal reason, const std::string &rank,
                                         const std::string &pool)
{
    ++counters.refusals[reason.code];
    emit(observe_call{.rank = rank, .pool = pool, .code = reason.code});
    emit(refuse_call{request, std::move(reason)});
}

void core::implementation::removeCall(running_call &call)
{
    const std::uint64_t handle = call.handle;
    callByRequest.erase(call.requestHandle);
    callByDispatch.erase(call.dispatch);
    // The next turn may already have begun if this one waits for its commit and its answer was returned with a receipt.
    if (const auto newest = callByProgram.find(call.request.program);
        newest != callByProgram.end() && newest->second == handle) {
        callByProgram.erase(newest);
    }
    deadlines.erase({call.deadline, handle});
    const auto [first, last] = callBySequence.equal_range(call.awaitedSequence);
    const auto waiting = std::find_if(first, last, [handle](const auto &entry) { return entry.second == handle; });
    if (waiting != last) {
        callBySequence.erase(waiting);
    }
    calls.erase(handle);
}

void core::implementation::onRecordsCommitted(std::uint64_t sequence)
{
    while (!callBySequence.empty() && callBySequence.begin()->first <= sequence) {
        const auto handle = callBySequence.begin()->second;
        callBySequence.erase(callBySequence.begin());
        running_call &call = calls.at(handle);
        if (call.phase == call_phase::AwaitingReservation) {
            enqueue(call);
        } else {
            finishCall(call, true);
        }
    }
    while (!answersBySequence.empty() && answersBySequence.begin()->first <= sequence) {
        const auto pending = std::move(answersBySequence.begin()->second);
        answersBySequence.erase(answersBySequence.begin());
        answer(pending.request, pending.body);
    }
}

// While the log is unavailable, settled calls are answered with a receipt and reservations are kept in memory only. A
// non-idempotent call that was not dispatched yet is refused: its intent may or may not have reached the log.
void core::implementation::finishCallsDuringOutage()
{
    const bool down = logUnavailable();
    if (down != outageReported) {
        outageReported = down;
        log(down ? log_level::Warning : log_level::Info, down ? "log_unavailable" : "log_available",
            {{"buffered_bytes", journal.bufferedBytes()}});
    }
    if (!down) {
        return;
    }
    std::vector<std::uint64_t> waiting;
    std::ranges::transform(callBySequence, std::back_inserter(waiting), [](const auto &entry) { return entry.second; });
    for (const auto handle : waiting) {
        running_call &call = calls.at(handle);
        if (call.phase == call_phase::AwaitingCommit) {
            finishCall(call, false);
        } else if (isIdempotent(call.request)) {
            std::erase_if(callBySequence, [handle](const auto &entry) { return entry.second == handle; });
            enqueue(call);
        } else {
            settleNotRun(call, 0);
            refuseCall(call, makeRefusal(result_code::LogUnavailable, "the log is unavailable", logRetry));
        }
    }
}

} // namespace jackdawpick
