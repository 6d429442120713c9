#pragma once

// Records that daemons write to the log, and their encoding with FlatBuffers. One append to the log carries one batch.
//
//   std::string payload = encodeBatch({.writer = self, .firstSequence = 7, .records = {program_closed{key, reason}}});
//   std::optional<record_batch> batch = decodeBatch(payload); // empty if the bytes are not a valid batch
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
    token_count carved = 0; // Delegated to sub-agents.
    token_count reservedAhead = 0; // Reserved for the next turn by the last call_settled record.
    token_count attainedService = 0; // Tokens computed so far for the program and its sub-agents.
    std::vector<std::string>
        cacheHolders; // Endpoints that may hold cache of the program; unidentifiedEndpoint if unknown.
    log_offset lastTurnOffset = 0; // Record of the settled turn, from which the history can be read.
    std::string lastTurnJournal;
    digest lastContentDigest = 0;
    execution lastOutcome = execution::Ran;
    std::string lastAnswer; // Answer to the settled turn, returned again if the call is resent.
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

// Write-ahead record of a call: reserves its worst-case cost. Durable before a non-idempotent call is dispatched.
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

// Returns the unspent budget of a closed sub-agent. `attained` is added to the parent's attained service.
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

// Full state of a program, written at takeover and again before older records expire.
struct program_snapshot
{
    program_state state;
    bool operator==(const program_snapshot &) const = default;
};

// From this record on, the writer of the journal may serve the shard. Snapshots of all programs of the shard precede it
// in the same journal.
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

// Written to the previous owner's journal: its later records of these shards are void.
struct shards_sealed
{
    std::vector<shard_fence> shards;
    daemon_identity by;
    bool operator==(const shards_sealed &) const = default;
};

// In stream `ownership`. Valid for a shard only if `expected` equals the shard's current fence in log order.
// With `renewedAsOf` the record is a renewal: it changes no fence but states that, as of that offset of the stream,
// `by` owned the shards with the fences in `expected`. Readers need it once the original claims have expired.
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

// In stream `ownership`: the owner has written its last record of these shards and releases them. Any daemon may claim
// them immediately.
struct shard_released
{
    std::vector<shard_fence> shards;
    daemon_identity by;
    bool operator==(const shard_released &) const = default;
};

// In stream `configuration`. Valid if `baseVersion` is the current version in log order and the text validates.
struct configuration_published
{
    log_offset baseVersion = 0;
    std::string text;
    std::string publisher;
    std::uint64_t publication = 0; // Random number by which the publisher recognises its own record.
    bool operator==(const configuration_published &) const = default;
};

// Preserves the configuration of `version` beyond the log's retention; valid only while that is the current version.
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
    // Sequence numbers start at 1 and increase by one per record within an incarnation and stream.
    std::uint64_t firstSequence = 0;
    std::vector<log_record> records;
    bool operator==(const record_batch &) const = default;
};

// The shard that a record belongs to; empty for records that do not concern a single program or shard.
[[nodiscard]] std::optional<shard_index> shardOfRecord(const log_record &record);

[[nodiscard]] std::string encodeBatch(const record_batch &batch);
// Returns nothing if `payload` is not a complete, valid batch. Never throws, whatever the bytes.
[[nodiscard]] std::optional<record_batch> decodeBatch(std::string_view payload);
// Estimate of the bytes that `record` adds to a batch; used to bound buffers.
[[nodiscard]] std::size_t estimateSize(const log_record &record);

} // namespace jackdawpick
