#pragma once

// Records that daemons write to the log, and their binary form (FlatBuffers). One log append carries one batch.
//
//   std::string payload = encodeBatch({.writer = self, .firstSequence = 7, .records = {program_closed{key, reason}}});
//   std::optional<record_batch> batch = decodeBatch(payload); // nothing if the bytes are not a valid batch
//
// Value types; the codec is stateless.

#include "model/model.h"

#include <map>

namespace jackdawpick
{

// In a list of cache holders: a call ran on an endpoint that no record names, because its daemon died meanwhile.
inline constexpr std::string_view unidentifiedEndpoint = "*";

// Durable state of a program; enough to serve its next turn.
struct program_state
{
    program_key key;
    std::optional<program_key> parent;
    rank_index rank = 0;
    std::uint32_t settledTurn = 0;
    std::uint32_t attempt = 0; // Attempts of the turn after settledTurn that ended as not run.
    history_step history; // After the first messageCount messages.
    std::uint32_t messageCount = 0;
    token_count budget = 0;
    token_count spent = 0;
    token_count carved = 0; // Given to sub-agents.
    token_count reservedAhead = 0; // Reserved for the next turn by the last settle record.
    token_count attainedService = 0; // Tokens computed for the program and its sub-agents so far.
    std::vector<std::string>
        cacheHolders; // Endpoints that may hold cache of the program; unidentifiedEndpoint if unknown.
    log_offset lastTurnOffset = 0; // Record of the settled turn, for reading the history back.
    std::string lastTurnJournal;
    digest lastContentDigest = 0;
    execution lastOutcome = execution::Ran;
    std::string lastAnswer; // Stored answer of the settled turn, for a resend.
    bool closed = false;
    bool operator==(const program_state &) const = default;
};

enum class close_reason : std::uint8_t {
    Requested,
    LeaseExpired,
    TurnLimit,
    BudgetExhausted,
    ParentClosed,
};

[[nodiscard]] std::string_view nameOf(close_reason reason);

struct program_opened
{
    program_key key;
    std::optional<program_key> parent;
    rank_index rank = 0;
    token_count budget = 0;
    bool operator==(const program_opened &) const = default;
};

// Intent: the worst case of a call is reserved. Durable before a non-idempotent call is dispatched.
struct call_reserved
{
    program_key key;
    std::uint32_t turn = 0;
    std::uint32_t attempt = 0;
    std::string requestId;
    digest contentDigest = 0;
    token_count tokens = 0;
    bool idempotent = true;
    bool operator==(const call_reserved &) const = default;
};

struct call_settled
{
    program_key key;
    std::uint32_t turn = 0;
    std::uint32_t attempt = 0;
    execution outcome = execution::Ran;
    digest contentDigest = 0;
    token_count tokensSpent = 0;
    token_count reservedAhead = 0;
    history_step history; // Unchanged by service calls.
    std::uint32_t messageCount = 0;
    std::vector<message> newMessages;
    std::string answer;
    std::vector<std::string> cacheHolders;
    log_offset previousTurnOffset = 0;
    std::string previousTurnJournal;
    bool operator==(const call_settled &) const = default;
};

struct budget_carved
{
    program_key parent;
    program_key child;
    token_count tokens = 0;
    bool operator==(const budget_carved &) const = default;
};

// A sub-agent closed and returns what it did not spend; `attained` counts for the parent's order.
struct budget_returned
{
    program_key parent;
    program_key child;
    token_count unspent = 0;
    token_count attained = 0;
    bool operator==(const budget_returned &) const = default;
};

struct program_closed
{
    program_key key;
    close_reason reason = close_reason::Requested;
    bool operator==(const program_closed &) const = default;
};

struct cache_released
{
    program_key key;
    std::string endpoint;
    bool operator==(const cache_released &) const = default;
};

// Full state, written on takeover and before the retention ends.
struct program_snapshot
{
    program_state state;
    bool operator==(const program_snapshot &) const = default;
};

// From here on `daemon` may serve the shard; all its live programs precede this record in the same journal.
struct shard_opened
{
    shard_index shard = 0;
    fence token = 0;
    bool operator==(const shard_opened &) const = default;
};

struct shard_fence
{
    shard_index shard = 0;
    fence token = 0;
    bool operator==(const shard_fence &) const = default;
};

// Written into the previous owner's journal: its later records of these shards are void.
struct shards_sealed
{
    std::vector<shard_fence> shards;
    daemon_identity by;
    bool operator==(const shards_sealed &) const = default;
};

// In stream `ownership`. Counts for a shard only if `expected` equals the shard's current fence in log order.
// With `renewedAsOf` the record is a renewal: it changes no fence and states that after reading the stream through that
// offset the shards were owned by `by` with the fences in `expected`, for readers whose part of the stream has expired.
struct shard_claimed
{
    std::vector<shard_fence> expected; // token 0: never claimed.
    daemon_identity by;
    std::string journal;
    std::string httpAddress;
    std::string peerAddress;
    std::string zone;
    log_offset renewedAsOf = 0; // 0: a claim.
    bool operator==(const shard_claimed &) const = default;
};

// In stream `ownership`: the owner gives the shards up after its last record of them; anyone may claim at once.
struct shard_released
{
    std::vector<shard_fence> shards;
    daemon_identity by;
    bool operator==(const shard_released &) const = default;
};

// In stream `configuration`. Accepted if `baseVersion` is the current version in log order and the text validates.
struct configuration_published
{
    log_offset baseVersion = 0;
    std::string text;
    std::string publisher;
    std::uint64_t publication = 0; // Random number by which the publisher finds its own record.
    bool operator==(const configuration_published &) const = default;
};

// Keeps the configuration of `version` alive past the retention; counts only while that is the current version.
struct configuration_renewed
{
    log_offset version = 0;
    std::string text;
    bool operator==(const configuration_renewed &) const = default;
};

using log_record = std::variant<program_opened, call_reserved, call_settled, budget_carved, budget_returned,
                                program_closed, cache_released, program_snapshot, shard_opened, shards_sealed,
                                shard_claimed, shard_released, configuration_published, configuration_renewed>;

struct record_batch
{
    daemon_identity writer;
    std::uint64_t firstSequence =
        0; // Sequence numbers start at 1 and rise by one a record within an incarnation and stream.
    std::vector<log_record> records;
    bool operator==(const record_batch &) const = default;
};

// The shard a record belongs to; nothing for records that concern no single program or shard.
[[nodiscard]] std::optional<shard_index> shardOfRecord(const log_record &record);

[[nodiscard]] std::string encodeBatch(const record_batch &batch);
// Nothing if `payload` is not a complete, valid batch. Never throws on any bytes.
[[nodiscard]] std::optional<record_batch> decodeBatch(std::string_view payload);
// Bytes that `record` adds to a batch, to bound buffers; an estimate.
[[nodiscard]] std::size_t estimateSize(const log_record &record);

} // namespace jackdawpick
