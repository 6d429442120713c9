#include "records/records.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <records_generated.h>

namespace jackdawpick
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;
template<typename T> using offset_of = flatbuffers::Offset<T>;

// ---- Encoding ----

offset_of<flatbuffers::String> pack(builder &out, const std::string &text)
{
    return out.CreateString(text);
}

offset_of<fb::Key> pack(builder &out, const program_key &key)
{
    return fb::CreateKey(out, pack(out, key.customer), pack(out, key.program));
}

offset_of<fb::Key> pack(builder &out, const std::optional<program_key> &key)
{
    return key ? pack(out, *key) : offset_of<fb::Key>{};
}

offset_of<fb::Identity> pack(builder &out, const daemon_identity &who)
{
    return fb::CreateIdentity(out, pack(out, who.name), who.incarnation);
}

offset_of<fb::Message> pack(builder &out, const message &value)
{
    return fb::CreateMessage(out, pack(out, value.role), pack(out, value.content));
}

template<typename T> auto packEach(builder &out, const std::vector<T> &values)
{
    std::vector<decltype(pack(out, values.front()))> offsets;
    offsets.reserve(values.size());
    std::ranges::transform(values, std::back_inserter(offsets), [&out](const T &value) { return pack(out, value); });
    return out.CreateVector(offsets);
}

auto packFences(builder &out, const std::vector<shard_fence> &values)
{
    std::vector<fb::ShardFence> fences;
    fences.reserve(values.size());
    std::ranges::transform(values, std::back_inserter(fences),
                           [](const shard_fence &value) { return fb::ShardFence(value.shard, value.token); });
    return out.CreateVectorOfStructs(fences);
}

offset_of<fb::ProgramState> pack(builder &out, const program_state &s)
{
    const auto key = pack(out, s.key);
    const auto parent = pack(out, s.parent);
    const auto holders = packEach(out, s.cacheHolders);
    const auto journal = pack(out, s.lastTurnJournal);
    const auto answer = pack(out, s.lastAnswer);
    const fb::HistoryStep history(s.history.value, s.history.tokens);
    return fb::CreateProgramState(out, key, parent, s.rank, s.settledTurn, s.attempt, &history, s.messageCount,
                                  s.budget, s.spent, s.carved, s.reservedAhead, s.attainedService, holders,
                                  s.lastTurnOffset, journal, s.lastContentDigest,
                                  static_cast<std::uint8_t>(s.lastOutcome), answer, s.closed);
}

offset_of<fb::ProgramOpened> pack(builder &out, const program_opened &r)
{
    const auto key = pack(out, r.key);
    return fb::CreateProgramOpened(out, key, pack(out, r.parent), r.rank, r.budget);
}

offset_of<fb::CallReserved> pack(builder &out, const call_reserved &r)
{
    const auto key = pack(out, r.key);
    return fb::CreateCallReserved(out, key, r.turn, r.attempt, pack(out, r.requestId), r.contentDigest, r.tokens,
                                  r.idempotent);
}

offset_of<fb::CallSettled> pack(builder &out, const call_settled &r)
{
    const auto key = pack(out, r.key);
    const auto messages = packEach(out, r.newMessages);
    const auto answer = pack(out, r.answer);
    const auto holders = packEach(out, r.cacheHolders);
    const auto journal = pack(out, r.previousTurnJournal);
    const fb::HistoryStep history(r.history.value, r.history.tokens);
    return fb::CreateCallSettled(out, key, r.turn, r.attempt, static_cast<std::uint8_t>(r.outcome), r.contentDigest,
                                 r.tokensSpent, r.reservedAhead, &history, r.messageCount, messages, answer, holders,
                                 r.previousTurnOffset, journal);
}

offset_of<fb::BudgetCarved> pack(builder &out, const budget_carved &r)
{
    const auto parent = pack(out, r.parent);
    return fb::CreateBudgetCarved(out, parent, pack(out, r.child), r.tokens);
}

offset_of<fb::BudgetReturned> pack(builder &out, const budget_returned &r)
{
    const auto parent = pack(out, r.parent);
    return fb::CreateBudgetReturned(out, parent, pack(out, r.child), r.unspent, r.attained);
}

offset_of<fb::ProgramClosed> pack(builder &out, const program_closed &r)
{
    return fb::CreateProgramClosed(out, pack(out, r.key), static_cast<std::uint8_t>(r.reason));
}

offset_of<fb::CacheReleased> pack(builder &out, const cache_released &r)
{
    const auto key = pack(out, r.key);
    return fb::CreateCacheReleased(out, key, pack(out, r.endpoint));
}

offset_of<fb::ProgramSnapshot> pack(builder &out, const program_snapshot &r)
{
    return fb::CreateProgramSnapshot(out, pack(out, r.state));
}

offset_of<fb::ShardOpened> pack(builder &out, const shard_opened &r)
{
    return fb::CreateShardOpened(out, r.shard, r.token);
}

offset_of<fb::ShardsSealed> pack(builder &out, const shards_sealed &r)
{
    const auto shards = packFences(out, r.shards);
    return fb::CreateShardsSealed(out, shards, pack(out, r.by));
}

offset_of<fb::ShardClaimed> pack(builder &out, const shard_claimed &r)
{
    const auto expected = packFences(out, r.expected);
    const auto by = pack(out, r.by);
    const auto journal = pack(out, r.journal);
    const auto http = pack(out, r.httpAddress);
    const auto peer = pack(out, r.peerAddress);
    return fb::CreateShardClaimed(out, expected, by, journal, http, peer, pack(out, r.zone), r.renewedAsOf);
}

offset_of<fb::ShardReleased> pack(builder &out, const shard_released &r)
{
    const auto shards = packFences(out, r.shards);
    return fb::CreateShardReleased(out, shards, pack(out, r.by));
}

offset_of<fb::ConfigurationPublished> pack(builder &out, const configuration_published &r)
{
    const auto text = pack(out, r.text);
    return fb::CreateConfigurationPublished(out, r.baseVersion, text, pack(out, r.publisher), r.publication);
}

offset_of<fb::ConfigurationRenewed> pack(builder &out, const configuration_renewed &r)
{
    return fb::CreateConfigurationRenewed(out, r.version, pack(out, r.text));
}

// The union's enumerator for a packed table, taken from the generated traits.
template<typename T> constexpr fb::Record recordTypeOf(offset_of<T> /*unused*/)
{
    return fb::RecordTraits<T>::enum_value;
}

offset_of<fb::Entry> packEntry(builder &out, const log_record &record)
{
    return std::visit(
        [&out](const auto &value) {
            const auto packed = pack(out, value);
            return fb::CreateEntry(out, recordTypeOf(packed), packed.Union());
        },
        record);
}

// ---- Decoding. The verifier has checked that required fields are present. ----

std::string unpack(const flatbuffers::String *text)
{
    return text->str();
}

program_key unpack(const fb::Key *key)
{
    return {.customer = unpack(key->customer()), .program = unpack(key->program())};
}

std::optional<program_key> unpackOptional(const fb::Key *key)
{
    return key != nullptr ? std::optional(unpack(key)) : std::nullopt;
}

daemon_identity unpack(const fb::Identity *who)
{
    return {.name = unpack(who->name()), .incarnation = who->incarnation()};
}

message unpack(const fb::Message *value)
{
    return {.role = unpack(value->role()), .content = unpack(value->content())};
}

history_step unpack(const fb::HistoryStep *step)
{
    return {.value = step->value(), .tokens = step->tokens()};
}

shard_fence unpack(const fb::ShardFence *value)
{
    return {.shard = value->shard(), .token = value->token()};
}

template<typename V> auto unpackEach(const V *values)
{
    std::vector<decltype(unpack(values->Get(0)))> result;
    result.reserve(values->size());
    std::ranges::transform(*values, std::back_inserter(result), [](const auto *value) { return unpack(value); });
    return result;
}

// Checks what the verifier cannot: enumerators and shard numbers out of range make the batch invalid.
struct range_checker
{
    bool ok = true;

    execution outcome(std::uint8_t number)
    {
        ok = ok && number <= static_cast<std::uint8_t>(execution::Unknown);
        return static_cast<execution>(number);
    }
    close_reason reason(std::uint8_t number)
    {
        ok = ok && number <= static_cast<std::uint8_t>(close_reason::ParentClosed);
        return static_cast<close_reason>(number);
    }
    shard_index shard(shard_index number)
    {
        ok = ok && number < shardCount;
        return number;
    }
    std::vector<shard_fence> shards(std::vector<shard_fence> fences)
    {
        std::ranges::for_each(fences, [this](const shard_fence &value) { shard(value.shard); });
        return fences;
    }
};

program_state unpack(const fb::ProgramState *s, range_checker &check)
{
    return {.key = unpack(s->key()),
            .parent = unpackOptional(s->parent()),
            .rank = s->rank(),
            .settledTurn = s->settled_turn(),
            .attempt = s->attempt(),
            .history = unpack(s->history()),
            .messageCount = s->message_count(),
            .budget = s->budget(),
            .spent = s->spent(),
            .carved = s->carved(),
            .reservedAhead = s->reserved_ahead(),
            .attainedService = s->attained_service(),
            .cacheHolders = unpackEach(s->cache_holders()),
            .lastTurnOffset = s->last_turn_offset(),
            .lastTurnJournal = unpack(s->last_turn_journal()),
            .lastContentDigest = s->last_content_digest(),
            .lastOutcome = check.outcome(s->last_outcome()),
            .lastAnswer = unpack(s->last_answer()),
            .closed = s->closed()};
}

call_settled unpack(const fb::CallSettled *r, range_checker &check)
{
    return {.key = unpack(r->key()),
            .turn = r->turn(),
            .attempt = r->attempt(),
            .outcome = check.outcome(r->outcome()),
            .contentDigest = r->content_digest(),
            .tokensSpent = r->tokens_spent(),
            .reservedAhead = r->reserved_ahead(),
            .history = unpack(r->history()),
            .messageCount = r->message_count(),
            .newMessages = unpackEach(r->new_messages()),
            .answer = unpack(r->answer()),
            .cacheHolders = unpackEach(r->cache_holders()),
            .previousTurnOffset = r->previous_turn_offset(),
            .previousTurnJournal = unpack(r->previous_turn_journal())};
}

call_reserved unpack(const fb::CallReserved *r)
{
    return {.key = unpack(r->key()),
            .turn = r->turn(),
            .attempt = r->attempt(),
            .requestId = unpack(r->request_id()),
            .contentDigest = r->content_digest(),
            .tokens = r->tokens(),
            .idempotent = r->idempotent()};
}

shard_claimed unpack(const fb::ShardClaimed *r, range_checker &check)
{
    return {.expected = check.shards(unpackEach(r->expected())),
            .by = unpack(r->by()),
            .journal = unpack(r->journal()),
            .httpAddress = unpack(r->http_address()),
            .peerAddress = unpack(r->peer_address()),
            .zone = unpack(r->zone()),
            .renewedAsOf = r->renewed_as_of()};
}

std::optional<log_record> unpackEntry(const fb::Entry *entry, range_checker &check)
{
    switch (entry->record_type()) {
    case fb::Record::NONE:
        return std::nullopt;
    case fb::Record::ProgramOpened: {
        const auto *r = entry->record_as_ProgramOpened();
        return program_opened{unpack(r->key()), unpackOptional(r->parent()), r->rank(), r->budget()};
    }
    case fb::Record::CallReserved:
        return unpack(entry->record_as_CallReserved());
    case fb::Record::CallSettled:
        return unpack(entry->record_as_CallSettled(), check);
    case fb::Record::BudgetCarved: {
        const auto *r = entry->record_as_BudgetCarved();
        return budget_carved{unpack(r->parent()), unpack(r->child()), r->tokens()};
    }
    case fb::Record::BudgetReturned: {
        const auto *r = entry->record_as_BudgetReturned();
        return budget_returned{unpack(r->parent()), unpack(r->child()), r->unspent(), r->attained()};
    }
    case fb::Record::ProgramClosed: {
        const auto *r = entry->record_as_ProgramClosed();
        return program_closed{unpack(r->key()), check.reason(r->reason())};
    }
    case fb::Record::CacheReleased: {
        const auto *r = entry->record_as_CacheReleased();
        return cache_released{unpack(r->key()), unpack(r->endpoint())};
    }
    case fb::Record::ProgramSnapshot:
        return program_snapshot{unpack(entry->record_as_ProgramSnapshot()->state(), check)};
    case fb::Record::ShardOpened: {
        const auto *r = entry->record_as_ShardOpened();
        return shard_opened{check.shard(r->shard()), r->token()};
    }
    case fb::Record::ShardsSealed: {
        const auto *r = entry->record_as_ShardsSealed();
        return shards_sealed{check.shards(unpackEach(r->shards())), unpack(r->by())};
    }
    case fb::Record::ShardClaimed:
        return unpack(entry->record_as_ShardClaimed(), check);
    case fb::Record::ShardReleased: {
        const auto *r = entry->record_as_ShardReleased();
        return shard_released{check.shards(unpackEach(r->shards())), unpack(r->by())};
    }
    case fb::Record::ConfigurationPublished: {
        const auto *r = entry->record_as_ConfigurationPublished();
        return configuration_published{r->base_version(), unpack(r->text()), unpack(r->publisher()), r->publication()};
    }
    case fb::Record::ConfigurationRenewed: {
        const auto *r = entry->record_as_ConfigurationRenewed();
        return configuration_renewed{r->version(), unpack(r->text())};
    }
    }
    return std::nullopt;
}

template<typename... F> struct overloaded : F...
{
    using F::operator()...;
};
template<typename... F> overloaded(F...) -> overloaded<F...>;

// ---- Sizes ----

// Tables, vtables and offsets of one record. Encoded without text, records take 60 to 190 bytes, depending on the type.
constexpr std::size_t recordOverheadBytes = 128;
constexpr std::size_t fenceBytes = 16;

std::size_t encodedBytes(const std::string &text)
{
    return text.size() + 8; // Length, terminator, padding
}

std::size_t encodedBytes(const program_key &key)
{
    return encodedBytes(key.customer) + encodedBytes(key.program);
}

std::size_t encodedBytes(const std::vector<std::string> &texts)
{
    return std::transform_reduce(texts.begin(), texts.end(), std::size_t{0}, std::plus<>{},
                                 [](const std::string &text) { return encodedBytes(text) + 4; });
}

std::size_t encodedBytes(const std::vector<message> &messages)
{
    return std::transform_reduce(
        messages.begin(), messages.end(), std::size_t{0}, std::plus<>{},
        [](const message &value) { return encodedBytes(value.role) + encodedBytes(value.content) + 16; });
}

} // namespace

std::string_view nameOf(close_reason reason)
{
    constexpr std::array<std::string_view, 5> names{"requested", "lease_expired", "turn_limit", "budget_exhausted",
                                                    "parent_closed"};
    return names.at(static_cast<std::size_t>(reason));
}

std::optional<shard_index> shardOfRecord(const log_record &record)
{
    return std::visit(overloaded{
                          [](const program_snapshot &r) { return std::optional(shardOf(r.state.key)); },
                          [](const budget_carved &r) { return std::optional(shardOf(r.parent)); },
                          [](const budget_returned &r) { return std::optional(shardOf(r.parent)); },
                          [](const shard_opened &r) { return std::optional(r.shard); },
                          [](const auto &r) -> std::optional<shard_index> {
                              if constexpr (requires { r.key; }) {
                                  return shardOf(r.key);
                              } else {
                                  return std::nullopt;
                              }
                          },
                      },
                      record);
}

std::string encodeBatch(const record_batch &batch)
{
    builder out;
    std::vector<offset_of<fb::Entry>> entries;
    entries.reserve(batch.records.size());
    std::ranges::transform(batch.records, std::back_inserter(entries),
                           [&out](const log_record &record) { return packEntry(out, record); });
    const auto records = out.CreateVector(entries);
    const auto writer = pack(out, batch.writer);
    fb::FinishBatchBuffer(out, fb::CreateBatch(out, writer, batch.firstSequence, records));
    return {reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()};
}

std::optional<record_batch> decodeBatch(std::string_view payload)
{
    // FlatBuffers reads scalars in place, so the buffer must be aligned for the largest scalar type.
    std::vector<std::uint64_t> aligned((payload.size() + 7) / 8);
    std::ranges::copy(payload, reinterpret_cast<char *>(aligned.data()));
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(aligned.data());
    constexpr std::size_t minBatchBytes = 8; // Root offset and file identifier
    if (payload.size() < minBatchBytes) {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!fb::VerifyBatchBuffer(verifier)) {
        return std::nullopt;
    }
    const fb::Batch *batch = fb::GetBatch(bytes);
    record_batch result{.writer = unpack(batch->writer()), .firstSequence = batch->first_sequence(), .records = {}};
    result.records.reserve(batch->records()->size());
    range_checker check;
    for (const fb::Entry *entry : *batch->records()) {
        auto record = unpackEntry(entry, check);
        if (!record || !check.ok) {
            return std::nullopt;
        }
        result.records.push_back(std::move(*record));
    }
    return result;
}

std::size_t estimateSize(const log_record &record)
{
    const auto variable = overloaded{
        [](const program_opened &r) { return encodedBytes(r.key) + (r.parent ? encodedBytes(*r.parent) : 0); },
        [](const call_reserved &r) { return encodedBytes(r.key) + encodedBytes(r.requestId); },
        [](const call_settled &r) {
            return encodedBytes(r.key) + encodedBytes(r.newMessages) + encodedBytes(r.answer)
                + encodedBytes(r.cacheHolders) + encodedBytes(r.previousTurnJournal);
        },
        [](const budget_carved &r) { return encodedBytes(r.parent) + encodedBytes(r.child); },
        [](const budget_returned &r) { return encodedBytes(r.parent) + encodedBytes(r.child); },
        [](const program_closed &r) { return encodedBytes(r.key); },
        [](const cache_released &r) { return encodedBytes(r.key) + encodedBytes(r.endpoint); },
        [](const program_snapshot &r) {
            return encodedBytes(r.state.key) + (r.state.parent ? encodedBytes(*r.state.parent) : 0)
                + encodedBytes(r.state.cacheHolders) + encodedBytes(r.state.lastTurnJournal)
                + encodedBytes(r.state.lastAnswer);
        },
        [](const shard_opened &) { return std::size_t{0}; },
        [](const shards_sealed &r) { return r.shards.size() * fenceBytes + encodedBytes(r.by.name); },
        [](const shard_claimed &r) {
            return r.expected.size() * fenceBytes + encodedBytes(r.by.name) + encodedBytes(r.journal)
                + encodedBytes(r.httpAddress) + encodedBytes(r.peerAddress) + encodedBytes(r.zone);
        },
        [](const shard_released &r) { return r.shards.size() * fenceBytes + encodedBytes(r.by.name); },
        [](const configuration_published &r) { return encodedBytes(r.text) + encodedBytes(r.publisher); },
        [](const configuration_renewed &r) { return encodedBytes(r.text); },
    };
    return recordOverheadBytes + std::visit(variable, record);
}

} // namespace jackdawpick
