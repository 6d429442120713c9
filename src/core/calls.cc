#include "core/internal/refusals.h"
#include "core/internal/state.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace jackdawpick
{

namespace
{

// The own journal is read at least once a second while the log answers.
constexpr std::chrono::milliseconds journalFreshness{2500};

// Engines echo the request id, so it names the dispatch; services count by it, so it names the turn.
std::string endpointRequestId(const running_call &call)
{
    if (std::holds_alternative<service_call>(call.call.kind)) {
        return fmt::format("{}#{}", toString(call.call.program), call.call.turn);
    }
    return fmt::format("{}#{}@{}", toString(call.call.program), call.call.turn,
                       static_cast<std::uint64_t>(call.dispatch));
}

bool isModelCall(const running_call &call)
{
    return std::holds_alternative<model_call>(call.call.kind);
}

} // namespace

// ---- Arrival ----

void core::implementation::on(call_arrived &received)
{
    ++counters.callsArrived;
    running_call call;
    if (auto refused = prepare(received, call)) {
        refuseRequest(received.request, std::move(*refused));
        return;
    }
    const shard_index shard = shardOf(call.call.program);
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
    const auto verdict = programs.check(call.call, limitsFor(call), now);
    if (const auto *refused = std::get_if<refusal>(&verdict)) {
        refuseByLedger(call, *refused);
        return;
    }
    if (const auto *replayed = std::get_if<replayed_call>(&verdict)) {
        replay(call, *replayed);
        return;
    }
    const auto &accepted = std::get<accepted_call>(verdict);
    call.rank = accepted.rank;
    call.attainedService = accepted.attainedService;
    call.reserved = accepted.call.reserved;
    if (auto refused = checkLog(accepted)) {
        refuseRequest(received.request, std::move(*refused), call.call.rank, call.pool);
        return;
    }
    if (auto refused = queue.admit(waitingCall(call), table, now)) {
        refuseRequest(received.request, std::move(*refused), call.call.rank, call.pool);
        return;
    }
    start(std::move(call), accepted);
}

// A daemon that was frozen or cut off may have lost the shard without knowing it. Until it has read its journal again,
// its word on the state of a program is not final.
void core::implementation::refuseByLedger(const running_call &call, const refusal &reason)
{
    const bool aboutState = reason.code >= result_code::TurnOutOfOrder && reason.code <= result_code::ReceiptInvalid
        && reason.code != result_code::CallInProgress;
    if (aboutState && now - journalReadAt > journalFreshness) {
        journal.requestRead();
        refuseRequest(
            call.request,
            makeRefusal(result_code::OwnerUnreachable, "the owner reads its journal again", ownerChangingRetry),
            call.call.rank, call.pool);
        return;
    }
    refuseRequest(call.request, reason, call.call.rank, call.pool);
}

// A turn that is not in the log yet is given again with a receipt: its owner may die before the record is durable.
void core::implementation::replay(const running_call &call, const replayed_call &stored)
{
    ++counters.callsFinished;
    const bool durable = programs.turnConfirmed(stored.key);
    const auto token = owners.servedFence(shardOf(stored.key)).value_or(0);
    emit(finish_call{.request = call.request,
                     .program = stored.key,
                     .turn = stored.turn,
                     .requestId = call.call.requestId,
                     .answer = stored.answer,
                     .isService = !isModelCall(call),
                     .replayed = true,
                     .used = {},
                     .durable = durable,
                     .receipt = durable ? std::string{} : programs.receiptFor(stored.key, token)});
}

std::optional<refusal> core::implementation::prepare(const call_arrived &received, running_call &call)
{
    if (!ready()) {
        return makeRefusal(result_code::NotReady, "the daemon has not read the configuration yet", notReadyRetry);
    }
    if (drain) {
        return makeRefusal(result_code::Draining, "the daemon is draining", drainingRetry);
    }
    call.request = received.request;
    call.call = received.call;
    call.peer = received.peer;
    call.arrived = now;
    const auto &limits = configurations.current().limits;
    call.deadline = now + received.call.deadline.value_or(limits.callDeadline);
    if (auto refused = resolveTarget(call)) {
        return refused;
    }
    if (call.call.program.program.empty()) {
        if (auto refused = mintId(call)) {
            return refused;
        }
    }
    if (table.isQuarantined(call.call.contentDigest, now)) {
        return makeRefusal(result_code::RequestQuarantined, "endpoints died while running this request");
    }
    return std::nullopt;
}

std::optional<refusal> core::implementation::mintId(running_call &call)
{
    if (!isIdempotent(call.call)) {
        return makeRefusal(result_code::ProgramIdRequired, "choose a program id before sending a non-idempotent call");
    }
    if (call.call.parent) {
        const std::string id = fmt::format("{}{}{:x}", call.call.parent->program, subAgentSeparator, ++lastMinted);
        call.call.program.program = id;
        return std::nullopt;
    }
    const auto served = owners.servedShards();
    if (served.empty()) {
        return makeRefusal(result_code::NotReady, "the daemon serves no shard yet", notReadyRetry);
    }
    const auto shard = *std::next(served.begin(), static_cast<std::ptrdiff_t>(++lastMinted % served.size()));
    call.call.program.program = mintProgramId(shard, options.self.daemon.incarnation, lastMinted);
    return std::nullopt;
}

std::optional<refusal> core::implementation::resolveTarget(running_call &call)
{
    const auto &current = configurations.current();
    const auto &customers = current.customers;
    if (!customers.empty()
        && std::ranges::find(customers, call.call.program.customer, &customer_policy::name) == customers.end()) {
        return makeRefusal(result_code::UnknownCustomer, "the customer is not in the configuration");
    }
    call.endpointTimeout = std::chrono::milliseconds::max();
    std::string defaultRank = current.ranks.empty() ? std::string{} : current.ranks.back().name;
    if (auto *service = std::get_if<service_call>(&call.call.kind)) {
        const auto definition = std::ranges::find(current.services, service->service, &service_definition::name);
        if (definition == current.services.end()) {
            return makeRefusal(result_code::UnknownService, "the service is not in the configuration");
        }
        call.pool = definition->pool;
        call.endpointTimeout = definition->timeout;
        service->idempotent = service->idempotentStated ? service->idempotent : definition->idempotentByDefault;
        defaultRank = definition->ranks.empty() ? defaultRank : definition->ranks.front();
        if (!call.call.rank.empty() && !definition->ranks.empty()
            && std::ranges::find(definition->ranks, call.call.rank) == definition->ranks.end()) {
            return makeRefusal(result_code::UnknownRank, "the service does not carry this rank");
        }
    } else {
        const auto &model = std::get<model_call>(call.call.kind).model;
        const auto pool = std::ranges::find(current.pools, model, &model_pool::model);
        if (pool == current.pools.end()) {
            return makeRefusal(result_code::UnknownModel, "the model is not in the configuration");
        }
        call.pool = pool->pool;
    }
    if (call.call.rank.empty()) {
        call.call.rank = defaultRank;
    }
    const auto rank = std::ranges::find(current.ranks, call.call.rank, &rank_policy::name);
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
    const auto customer = std::ranges::find(current.customers, call.call.program.customer, &customer_policy::name);
    if (customer != current.customers.end() && customer->budgetTokens > 0) {
        limits.defaultBudget = customer->budgetTokens;
        limits.maxBudget = customer->budgetTokens;
    }
    if (const auto *service = std::get_if<service_call>(&call.call.kind)) {
        const auto definition = std::ranges::find(current.services, service->service, &service_definition::name);
        limits.serviceCost = definition == current.services.end() ? 0 : definition->callCost;
    }
    return limits;
}

std::optional<refusal> core::implementation::checkLog(const accepted_call &accepted) const
{
    if (journal.full()) {
        return makeRefusal(result_code::LogUnavailable, "too many records wait for the log", logRetry);
    }
    if (!accepted.call.idempotent && logDown()) {
        return makeRefusal(result_code::LogUnavailable, "a non-idempotent call needs the log", logRetry);
    }
    return std::nullopt;
}

waiting_call core::implementation::waitingCall(const running_call &call) const
{
    waiting_call waiting{.handle = call.handle,
                         .program = call.call.program,
                         .rank = call.rank,
                         .pool = call.pool,
                         .zone = options.self.zone,
                         .promptTokens = promptTokens(call.call.kind),
                         .attainedService = call.attainedService,
                         .content = call.call.contentDigest,
                         .arrived = call.arrived,
                         .deadline = call.deadline,
                         .excluded = call.tried};
    if (const auto *model = std::get_if<model_call>(&call.call.kind)) {
        waiting.maxTokens = model->maxTokens;
    }
    return waiting;
}

void core::implementation::start(running_call call, const accepted_call &accepted)
{
    call.handle = ++lastHandle;
    const auto lease = configurations.current().limits.programLease;
    auto records = programs.begin(accepted, lease, now);
    callByRequest[call.request] = call.handle;
    callByProgram[call.call.program] = call.handle;
    deadlines.emplace(call.deadline, call.handle);
    if (accepted.open) {
        ++counters.programsOpened;
        spans.emplace(call.call.program, program_span{now, now});
    }
    auto &stored = calls[call.handle] = std::move(call);
    const bool wait = accepted.needsDurableReservation && !logDown();
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

void core::implementation::assign()
{
    for (const auto &next : queue.assign(table, caches, now)) {
        if (const auto found = calls.find(next.handle); found != calls.end()) {
            dispatch(found->second, next);
        }
    }
}

void core::implementation::dispatch(running_call &call, const assignment &next)
{
    const auto &view = table.view(next.endpoint);
    dispatchesToLeaving += view.leaving ? 1 : 0;
    repeatedDispatches += !isIdempotent(call.call) && call.bytesOffered ? 1 : 0;
    call.phase = call_phase::Running;
    call.dispatch = dispatch_id{++lastDispatch};
    call.endpoint = next.endpoint;
    call.dispatchedAt = now;
    call.firstTokenAt.reset();
    call.text.clear();
    call.used = {};
    ++call.attempts;
    const auto holders = caches.holders(call.call.program);
    call.expectedCached = std::accumulate(holders.begin(), holders.end(), token_count{0},
                                          [&](token_count best, const std::string &holder) {
                                              return std::max(best, caches.cachedTokens(call.call.program, holder));
                                          });
    callByDispatch[call.dispatch] = call.handle;
    const auto left = std::max(millisecondsBetween(now, call.deadline), std::chrono::milliseconds(1));
    emit(start_dispatch{.dispatch = call.dispatch,
                        .endpoint = view.name,
                        .address = view.address,
                        .requestId = endpointRequestId(call),
                        .program = toString(call.call.program),
                        .priority = next.priority,
                        .kind = call.call.kind,
                        .body = call.call.body,
                        .timeout = std::min(left, call.endpointTimeout)});
}

running_call *core::implementation::byDispatch(dispatch_id id, const std::string &requestId)
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
    auto *call = byDispatch(received.dispatch, received.requestId);
    if (call == nullptr || received.text.empty()) {
        return;
    }
    if (!call->firstTokenAt) {
        call->firstTokenAt = now;
    }
    call->bytesOffered = true;
    call->text += received.text;
    if (call->hasCaller) {
        emit(stream_text{call->request, std::move(received.text)});
    }
}

void core::implementation::on(dispatch_finished &received)
{
    if (const auto handle = callByDispatch.find(received.dispatch);
        handle != callByDispatch.end() && received.endpointLeaving) {
        endpointLeaving(table.view(calls.at(handle->second).endpoint).name);
    }
    auto *call = byDispatch(received.dispatch, received.requestId);
    if (call == nullptr) {
        return;
    }
    call->bytesOffered = true;
    call->used = received.used;
    const auto firstToken = call->firstTokenAt.value_or(now) - call->dispatchedAt;
    table.onFinished(call->endpoint, call->call.contentDigest, received.used, firstToken, now - call->dispatchedAt,
                     now);
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
    const auto prompt = promptTokens(call.call.kind);
    const token_count computedPrompt = prompt - std::min(used.cachedTokens, prompt);
    call_result result{.outcome = execution::Ran, .answer = std::move(answer)};
    if (const auto *model = std::get_if<model_call>(&call.call.kind)) {
        result.tokensSpent = computedPrompt + std::min<token_count>(used.completionTokens, model->maxTokens);
        result.computedTokens = result.tokensSpent;
        const auto &endpoint = table.view(call.endpoint).name;
        result.cacheHolders = holdersOf(call);
        caches.onServed(call.call.program, endpoint, prompt + used.completionTokens, now);
        counters.promptTokens += prompt;
        counters.cachedTokens += std::min(used.cachedTokens, prompt);
        counters.completionTokens += used.completionTokens;
        const auto reusable = std::min(call.expectedCached, prompt);
        counters.wastedTokens += reusable - std::min(used.cachedTokens, reusable);
    } else {
        result.tokensSpent = call.reserved;
    }
    call.text = result.answer;
    settle(call, result);
}

void core::implementation::settle(running_call &call, const call_result &result)
{
    std::vector<log_record> records{programs.settle(call.call.program, result, now)};
    call.phase = call_phase::AwaitingCommit;
    call.awaitedSequence = journalRecords(std::move(records));
    callBySequence.emplace(call.awaitedSequence, call.handle);
    if (logDown()) {
        finish(call, false);
    }
}

// Ends the attempt so that the caller may send the same turn again.
void core::implementation::settleNotRun(running_call &call, token_count spent)
{
    std::vector<log_record> records{programs.settle(call.call.program,
                                                    {.outcome = execution::NotRun,
                                                     .tokensSpent = spent,
                                                     .computedTokens = spent,
                                                     .answer = {},
                                                     .cacheHolders = holdersOf(call)},
                                                    now)};
    journalRecords(std::move(records));
}

// Engines keep the prefix of a call that failed or was cancelled, too.
std::vector<std::string> core::implementation::holdersOf(const running_call &call) const
{
    std::vector<std::string> holders;
    if (!isModelCall(call)) {
        return holders;
    }
    std::ranges::transform(call.tried, std::back_inserter(holders),
                           [this](endpoint_id id) { return table.view(id).name; });
    if (call.attempts > 0) {
        holders.push_back(table.view(call.endpoint).name);
    }
    return holders;
}

// ---- Answers ----

void core::implementation::finish(running_call &call, bool durable)
{
    ++counters.callsFinished;
    if (const auto span = spans.find(call.call.program); span != spans.end()) {
        span->second.last = now;
    }
    if (call.hasCaller) {
        const auto token = owners.servedFence(shardOf(call.call.program)).value_or(0);
        emit(finish_call{.request = call.request,
                         .program = call.call.program,
                         .turn = call.call.turn,
                         .requestId = call.call.requestId,
                         .answer = call.text,
                         .isService = !isModelCall(call),
                         .used = call.used,
                         .durable = durable,
                         .receipt = durable ? std::string{} : programs.receiptFor(call.call.program, token)});
    }
    std::optional<duration> firstToken;
    if (call.firstTokenAt) {
        firstToken = *call.firstTokenAt - call.arrived;
    }
    emit(observe_call{.rank = call.call.rank,
                      .pool = call.pool,
                      .code = result_code::Ok,
                      .firstToken = firstToken,
                      .total = now - call.arrived,
                      .tokens = call.used.completionTokens});
    forget(call);
}

void core::implementation::refuseCall(running_call &call, refusal reason)
{
    falseNotRun += call.bytesOffered && describe(reason.code).outcome == execution::NotRun ? 1 : 0;
    if (call.hasCaller) {
        refuseRequest(call.request, std::move(reason), call.call.rank, call.pool);
    }
    forget(call);
}

void core::implementation::refuseRequest(request_handle request, refusal reason, const std::string &rank,
                                         const std::string &pool)
{
    ++counters.refusals[reason.code];
    emit(observe_call{.rank = rank, .pool = pool, .code = reason.code});
    emit(refuse_call{request, std::move(reason)});
}

void core::implementation::forget(running_call &call)
{
    const std::uint64_t handle = call.handle;
    callByRequest.erase(call.request);
    callByDispatch.erase(call.dispatch);
    // The next turn may have begun while this one waits for its commit: its answer was repeated with a receipt.
    if (const auto newest = callByProgram.find(call.call.program);
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

void core::implementation::confirm(std::uint64_t sequence)
{
    while (!callBySequence.empty() && callBySequence.begin()->first <= sequence) {
        const auto handle = callBySequence.begin()->second;
        callBySequence.erase(callBySequence.begin());
        running_call &call = calls.at(handle);
        if (call.phase == call_phase::AwaitingReservation) {
            enqueue(call);
        } else {
            finish(call, true);
        }
    }
    while (!answersBySequence.empty() && answersBySequence.begin()->first <= sequence) {
        const auto pending = std::move(answersBySequence.begin()->second);
        answersBySequence.erase(answersBySequence.begin());
        answer(pending.request, pending.body);
    }
}

// While the log is down, settled calls are answered with a receipt and reservations are kept in memory only. A
// non-idempotent call that was not dispatched yet is given up: its intent may or may not have reached the log.
void core::implementation::finishWithoutLog()
{
    const bool down = logDown();
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
            finish(call, false);
        } else if (isIdempotent(call.call)) {
            std::erase_if(callBySequence, [handle](const auto &entry) { return entry.second == handle; });
            enqueue(call);
        } else {
            settleNotRun(call, 0);
            refuseCall(call, makeRefusal(result_code::LogUnavailable, "the log does not answer", logRetry));
        }
    }
}

} // namespace jackdawpick
