#pragma once

// Shared vocabulary of all modules: identifiers, ranks, calls and history digests. Value types only.
//
//   program_key key{.customer = "wanza", .program = "s17.4f2a"};
//   shard_index shard = shardOf(key);
//   std::vector<history_step> steps = digestHistory(messages);

#include "clock/clock.h"
#include "results/results.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawpick
{

// Units of ownership: each program belongs to exactly one shard.
inline constexpr std::uint32_t shardCount = 1024;

using shard_index = std::uint32_t; // 0 .. shardCount - 1
using log_offset = std::uint64_t; // Position in a log stream; the first record has offset 1, 0 means none.
using fence = log_offset; // Offset of the claim that gave ownership; a higher fence supersedes a lower one.
using token_count = std::uint64_t;
using rank_index = std::uint8_t; // Position of the rank in the configuration; 0 is the most urgent.
using digest = std::uint64_t;

// Identifies one caller's request inside one daemon, over HTTP or forwarded by a peer. Never reused.
enum class request_handle : std::uint64_t {};
// Identifies one attempt to run a call on an endpoint. Never reused within an incarnation.
enum class dispatch_id : std::uint64_t {};

// Name of a daemon and the random number of its process start.
struct daemon_identity
{
    std::string name;
    std::uint64_t incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the zero in a defaulted comparison.
    auto operator<=>(const daemon_identity &) const = default;
};

// A program is identified together with its customer, so that equal names of two customers never meet.
struct program_key
{
    std::string customer;
    std::string program;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the zero in a defaulted comparison.
    auto operator<=>(const program_key &) const = default;
};

[[nodiscard]] std::string toString(const program_key &key); // "customer/program"
// Reads what toString() prints; nothing without a separator. Customers have no '/' in their names.
[[nodiscard]] std::optional<program_key> programKeyFrom(std::string_view text);

// Separates the id of a sub-agent from that of its parent: "order-17~plan".
inline constexpr char subAgentSeparator = '~';

// The shard named by a minted id ("s17.…") or the hash of customer and program for any other id. Only the part before
// the first subAgentSeparator counts, so that sub-agents live in the shard of their parent.
[[nodiscard]] shard_index shardOf(const program_key &key);

// The program without its last sub-agent part; nothing for a program that is no sub-agent.
[[nodiscard]] std::optional<program_key> parentOf(const program_key &key);

// A program id that falls into `shard`; unique as long as (incarnation, sequence) is.
[[nodiscard]] std::string mintProgramId(shard_index shard, std::uint64_t incarnation, std::uint64_t sequence);

enum class endpoint_kind : std::uint8_t {
    Engine,
    Service,
};

[[nodiscard]] std::string_view nameOf(endpoint_kind kind);

// One message of a chat history. `content` is the text or, for structured content, its canonical JSON.
struct message
{
    std::string role;
    std::string content;
    auto operator<=>(const message &) const = default;
};

// Running digest and running token estimate after each message of a history.
struct history_step
{
    digest value = 0;
    token_count tokens = 0;
    auto operator<=>(const history_step &) const = default;
};

// Bytes of text counted as one token where no tokenizer has spoken.
inline constexpr std::size_t bytesPerToken = 4;

[[nodiscard]] token_count estimateTokens(std::string_view text);

// Step i covers messages 0..i. Equal prefixes give equal steps.
[[nodiscard]] std::vector<history_step> digestHistory(std::span<const message> messages);
// The step after one more message.
[[nodiscard]] history_step extendHistory(const history_step &step, const message &next);

[[nodiscard]] digest digestOf(std::string_view bytes);

// A call to a model engine.
struct model_call
{
    std::string model;
    std::vector<history_step> history; // One step per message.
    std::uint32_t maxTokens = 0;
    bool stream = false;
};

// A call to a plain service.
struct service_call
{
    std::string service;
    std::string path;
    bool idempotent = false;
    bool idempotentStated = true; // Otherwise the default of the service in the configuration holds.
};

using call_kind = std::variant<model_call, service_call>;

// One turn of a program as it arrives from a caller. `body` is what the endpoint will receive.
struct call_request
{
    program_key program; // `program.program` is empty for a first call that leaves the id to the daemon.
    std::optional<program_key> parent; // Set on the first turn of a sub-agent.
    std::uint32_t turn = 1;
    std::string requestId; // Chosen by the caller, echoed in the answer.
    std::string rank; // Name of the rank; empty for the service's default rank.
    token_count budgetTokens = 0; // Budget on the first turn; 0 takes the configured default.
    std::optional<std::chrono::milliseconds> deadline; // From arrival; the configured default otherwise.
    std::optional<std::string> receipt;
    std::string path;
    std::shared_ptr<const std::string> body;
    digest contentDigest = 0; // Of what the endpoint is asked for; equal for a resend of the same turn.
    std::shared_ptr<const std::vector<message>> messages; // Whole history of a model call; null for service calls.
    call_kind kind;
};

[[nodiscard]] bool isIdempotent(const call_kind &kind); // Model calls are idempotent: they may be generated again.
[[nodiscard]] bool isIdempotent(const call_request &call);
[[nodiscard]] token_count promptTokens(const call_kind &kind);

// What an endpoint reported for a finished call.
struct usage
{
    token_count promptTokens = 0;
    token_count cachedTokens = 0;
    token_count completionTokens = 0;
};

// How an attempt on an endpoint failed. `bytesOffered` decides between "not run" and "unknown".
enum class failure_kind : std::uint8_t {
    ConnectFailed, // No connection; nothing was sent.
    Refused, // The endpoint answered that it did not take the request (HTTP 429 or 503).
    Rejected, // The endpoint answered with another error status.
    ConnectionLost, // The connection broke after bytes were sent.
    Silent, // No byte within the silence bound.
    DeadlinePassed,
};

[[nodiscard]] std::string_view nameOf(failure_kind kind);

struct endpoint_failure
{
    failure_kind kind = failure_kind::ConnectFailed;
    bool bytesOffered = false;
    std::uint16_t httpStatus = 0; // 0 where no status arrived.
};

enum class host_kind : std::uint8_t {
    Daemon,
    Engine,
    Service,
};

[[nodiscard]] std::string_view nameOf(host_kind kind);
[[nodiscard]] std::optional<host_kind> hostKindFromName(std::string_view name);

// One line of the platform's host list, which lags behind the truth.
struct host_entry
{
    std::string name; // Unique among all hosts.
    host_kind kind = host_kind::Engine;
    std::string address; // "ip:port" for calls; for daemons the address of the callers' interface.
    std::string peerAddress; // Daemons only: "ip:port" for other daemons.
    std::string pool; // Engines and services: the pool that the configuration refers to.
    std::string zone;
    bool leaving = false;
    bool checksFencing = false; // Refuses an order that carries an old fence.
    std::uint32_t slots = 0; // Calls that run at the same time; 0 where unknown.
};

// What an engine reports about itself, with a lag.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    token_count cacheUsedTokens = 0;
    token_count cacheTotalTokens = 0;
};

// A cache event of an engine. Events come late and with gaps in `sequence`.
struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false; // Otherwise evicted.
    std::string program; // As named in the dispatch: toString(program_key).
    token_count tokens = 0;
};

// A refusal or final error towards the caller.
struct refusal
{
    result_code code = result_code::InternalError;
    std::string message;
    std::chrono::milliseconds retryAfter{0}; // 0 where the code does not advise a retry.
};

} // namespace jackdawpick

template<> struct std::hash<jackdawpick::program_key>
{
    std::size_t operator()(const jackdawpick::program_key &key) const noexcept;
};
