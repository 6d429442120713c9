#include "core/internal/refusals.h"
#include "core/internal/state.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

constexpr std::chrono::milliseconds answerTimeout{10000}; // For queries and publications that wait for the log.
constexpr std::chrono::milliseconds unconfirmedRetry{200};

const call_settled *findTurn(const record_batch &batch, const program_key &key, std::uint32_t turn)
{
    const auto found = std::ranges::find_if(batch.records, [&](const log_record &record) {
        const auto *settled = std::get_if<call_settled>(&record);
        return settled != nullptr && settled->key == key && settled->turn == turn
            && settled->outcome != execution::NotRun;
    });
    return found == batch.records.end() ? nullptr : &std::get<call_settled>(*found);
}

void appendTurn(nlohmann::json &messages, const call_settled &turn)
{
    for (const auto &next : turn.newMessages) {
        messages.push_back({{"turn", turn.turn}, {"role", next.role}, {"content", next.content}});
    }
    const bool service = turn.newMessages.empty();
    messages.push_back({{"turn", turn.turn},
                        {"role", service ? "service" : "assistant"},
                        {"content", turn.answer},
                        {"execution", std::string(nameOf(turn.outcome))}});
}

} // namespace

void core::implementation::answer(request_handle request, const nlohmann::json &body, std::uint16_t httpStatus)
{
    emit(answer_query{.request = request,
                      .httpStatus = httpStatus,
                      .json = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

void core::implementation::on(program_queried &received)
{
    const shard_index shard = shardOf(received.program);
    if (!owners.serves(shard)) {
        const auto *owner = owners.ownerOf(shard);
        const bool elsewhere = owner != nullptr && !owner->released && owner->daemon.name != options.self.daemon.name;
        refuseRequest(received.request,
                      {.code = elsewhere ? result_code::OwnedElsewhere : result_code::OwnerUnreachable,
                       .message = elsewhere ? owner->httpAddress : std::string("the owner of the program is changing"),
                       .retryAfter = ownerChangingRetry});
        return;
    }
    const auto *state = programs.find(received.program);
    if (state == nullptr) {
        refuseRequest(received.request,
                      {.code = result_code::NotFound, .message = "unknown program", .retryAfter = {}});
        return;
    }
    switch (received.kind) {
    case program_query_kind::Status:
        answerStatus(received, *state);
        break;
    case program_query_kind::History:
        startHistory(received, *state);
        break;
    case program_query_kind::Close:
        closeByRequest(received);
        break;
    }
}

void core::implementation::answerStatus(const program_queried &query, const program_state &state)
{
    const auto *call = programs.inFlight(query.program);
    const auto &ranks = configurations.current().ranks;
    answer(query.request,
           {{"customer", state.key.customer},
            {"program", state.key.program},
            {"turn", state.settledTurn},
            {"rank", state.rank < ranks.size() ? ranks[state.rank].name : std::string{}},
            {"messages", state.messageCount},
            {"history_tokens", state.history.tokens},
            {"budget_tokens", state.budget},
            {"spent_tokens", state.spent},
            {"carved_tokens", state.carved},
            {"reserved_tokens", std::max(state.reservedAhead, call == nullptr ? 0 : call->reserved)},
            {"in_flight", call != nullptr},
            {"closed", state.closed}});
}

// ---- History ----

void core::implementation::startHistory(const program_queried &query, const program_state &state)
{
    history_read read{.request = query.request,
                      .program = query.program,
                      .settledTurn = state.settledTurn,
                      .turn = state.settledTurn,
                      .journal = state.lastTurnJournal,
                      .offset = state.lastTurnOffset,
                      .turns = {},
                      .deadline = now + answerTimeout};
    if (state.settledTurn == 0) {
        answerHistory(read);
        return;
    }
    if (!programs.turnConfirmed(query.program)) {
        refuseRequest(query.request,
                      {.code = result_code::LogUnavailable,
                       .message = "the last turn is not in the log yet",
                       .retryAfter = unconfirmedRetry});
        return;
    }
    const auto tag = ++lastReadTag;
    emit(send_log_request{read_request{.stream = read.journal, .from = read.offset, .limit = 1, .tag = tag}});
    historyReads.emplace(tag, std::move(read));
}

void core::implementation::continueHistory(std::uint64_t tag, const read_result &result)
{
    const auto found = historyReads.find(tag);
    if (found == historyReads.end()) {
        return;
    }
    history_read &read = found->second;
    const auto batch = !result.ok || result.records.empty() || result.records.front().offset != read.offset
        ? std::nullopt
        : decodeBatch(result.records.front().payload);
    const auto *turn = batch ? findTurn(*batch, read.program, read.turn) : nullptr;
    if (turn == nullptr) {
        refuseRequest(read.request,
                      {.code = result_code::LogUnavailable,
                       .message = fmt::format("turn {} could not be read from the log", read.turn),
                       .retryAfter = unconfirmedRetry});
        historyReads.erase(found);
        return;
    }
    read.turns.push_back(*turn);
    if (turn->previousTurnOffset == 0) {
        answerHistory(read);
        historyReads.erase(found);
        return;
    }
    read.turn = turn->turn - 1;
    read.offset = turn->previousTurnOffset;
    read.journal = turn->previousTurnJournal;
    emit(send_log_request{read_request{.stream = read.journal, .from = read.offset, .limit = 1, .tag = tag}});
}

void core::implementation::answerHistory(const history_read &read)
{
    nlohmann::json messages = nlohmann::json::array();
    std::ranges::for_each(read.turns.rbegin(), read.turns.rend(),
                          [&messages](const call_settled &turn) { appendTurn(messages, turn); });
    answer(read.request,
           {{"customer", read.program.customer},
            {"program", read.program.program},
            {"turn", read.settledTurn},
            {"messages", std::move(messages)}});
}

// ---- Closing ----

void core::implementation::closeByRequest(const program_queried &query)
{
    const auto busyPrograms = programs.busyProgramsInTree(query.program);
    const bool busy = std::ranges::any_of(busyPrograms, [this](const program_key &key) {
        const auto handle = callByProgram.find(key);
        return handle != callByProgram.end() && !isIdempotent(calls.at(handle->second).request);
    });
    if (busy) {
        refuseRequest(query.request,
                      {.code = result_code::CallInProgress,
                       .message = "a non-idempotent call is running",
                       .retryAfter = ownerChangingRetry});
        return;
    }
    for (const auto &key : busyPrograms) {
        running_call &call = calls.at(callByProgram.at(key));
        if (call.phase == call_phase::Waiting) {
            queue.remove(call.handle);
        } else if (call.phase == call_phase::Running) {
            cancelDispatch(call);
            call.bytesOffered = true;
        }
        settleNotRun(call, call.bytesOffered ? call.reserved : 0);
        refuseCall(call, {.code = result_code::Cancelled, .message = "the program was closed", .retryAfter = {}});
    }
    if (const auto times = programTimes.find(query.program); times != programTimes.end()) {
        const auto &ranks = configurations.current().ranks;
        const auto rank = programs.find(query.program)->rank;
        emit(observe_program{rank < ranks.size() ? ranks[rank].name : std::string{},
                             times->second.last - times->second.first});
    }
    closeProgram(query.program, close_reason::Requested);
    pending_answer pending{.request = query.request, .body = {{"closed", true}}, .deadline = now + answerTimeout};
    const auto last = journal.nextSequence() - 1;
    if (logUnavailable()) {
        answer(pending.request, {{"closed", true}, {"durable", false}});
    } else if (journal.unconfirmedRecords() == 0) {
        answer(pending.request, pending.body);
    } else {
        answersBySequence.emplace(last, std::move(pending));
    }
}

void core::implementation::closeProgram(const program_key &key, close_reason reason)
{
    for (auto &closed : programs.close(key, reason, now)) {
        ++counters.programsClosed;
        programTimes.erase(closed.key);
        releaseCaches(closed.key, closed.cacheHolders);
        journalRecords(std::move(closed.records));
    }
}

void core::implementation::releaseCaches(const program_key &key, const std::vector<std::string> &holders)
{
    caches.releaseProgram(key, resolveHolders(holders), now);
}

// If a holder is unknown, returns every engine of the pools that the program used, or all engines if no pool is known.
std::vector<std::string> core::implementation::resolveHolders(const std::vector<std::string> &holders) const
{
    if (std::ranges::find(holders, unidentifiedEndpoint) == holders.end()) {
        return holders;
    }
    std::set<std::string> pools;
    for (const auto &holder : holders) {
        if (const auto id = endpoints.find(holder)) {
            pools.insert(endpoints.view(*id).pool);
        }
    }
    std::vector<std::string> resolved;
    for (const auto id : endpoints.all()) {
        const auto &view = endpoints.view(id);
        if (view.listed && view.kind == endpoint_kind::Engine && (pools.empty() || pools.contains(view.pool))) {
            resolved.push_back(view.name);
        }
    }
    return resolved;
}

// ---- Publications ----

void core::implementation::on(configuration_submitted &received)
{
    auto parsed = parseConfiguration(received.publication.text);
    if (!parsed.errors.empty()) {
        publications.emplace(received.publication.publication,
                             pending_answer{.request = received.request, .body = {}, .deadline = now});
        onPublicationDecided({.publication = received.publication.publication,
                              .code = result_code::ConfigurationInvalid,
                              .version = configurations.version(),
                              .errors = std::move(parsed.errors)});
        return;
    }
    if (!configurationEstablished || !configurationStream.healthy()) {
        refuseRequest(received.request,
                      {.code = result_code::LogUnavailable,
                       .message = "the log is unavailable",
                       .retryAfter = std::chrono::seconds(1)});
        return;
    }
    publications.emplace(received.publication.publication,
                         pending_answer{.request = received.request, .body = {}, .deadline = now + answerTimeout});
    configurationStream.submit(std::move(received.publication), now);
}

void core::implementation::onPublicationDecided(const publication_outcome &outcome)
{
    const auto found = publications.find(outcome.publication);
    if (found == publications.end()) {
        return;
    }
    const auto &row = describe(outcome.code);
    nlohmann::json errors = nlohmann::json::array();
    std::ranges::transform(outcome.errors, std::back_inserter(errors),
                           [](const configuration_error &problem) { return toString(problem); });
    answer(found->second.request,
           {{"code", static_cast<std::uint16_t>(outcome.code)},
            {"name", std::string(row.name)},
            {"version", outcome.version},
            {"errors", std::move(errors)}},
           row.httpStatus);
    publications.erase(found);
}

// Answers queries and publications whose record was not read back in time. They may still take effect, hence
// OutcomeUnknown.
void core::implementation::expireAnswers()
{
    const auto expire = [this](auto &pending) {
        std::erase_if(pending, [this](const auto &entry) {
            if (entry.second.deadline > now) {
                return false;
            }
            refuseRequest(
                entry.second.request,
                {.code = result_code::OutcomeUnknown, .message = "the log did not answer in time", .retryAfter = {}});
            return true;
        });
    };
    expire(answersBySequence);
    expire(publications);
    expire(historyReads);
}

} // namespace jackdawpick
