#pragma once

// Value types shared by all modules: identifiers, ranks, calls and history digests.
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
using fence = log_offset; // Fencing token: offset of the claim that granted ownership; the highest one is valid.
using token_count = std::uint64_t;
using rank_index = std::uint8_t; // Position of the rank in the configuration; 0 is the most urgent.
using digest = std::uint64_t;

// Identifies one request within a daemon, received over HTTP or forwarded by a peer. Never reused.
enum class request_handle : std::uint64_t {};
// Identifies one attempt to run a call on an endpoint. Never reused within an incarnation.
enum class dispatch_id : std::uint64_t {};

// Name of a daemon and a random number that is drawn when its process starts.
struct daemon_identity
{
    std::string name;
    std::uint64_t incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the zero in a defaulted comparison.
    auto operator<=>(const daemon_identity &) const = default;
};

// Includes the customer, so that programs of different customers may have the same id.
struct program_key
{
    std::string customer;
    std::string program;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the zero in a defaulted comparison.
    auto operator<=>(const program_key &) const = default;
};

[[nodiscard]] std::string toString(const program_key &key); // "customer/program"
// Parses the output of toString(); returns nothing without a separator. Customer names contain no '/'.
[[nodiscard]] std::optional<program_key> programKeyFrom(std::string_view text);

// Separates the id of a sub-agent from that of its parent: "order-17~plan".
inline constexpr char subAgentSeparator = '~';

// Returns the shard encoded in a generated id ("s17.…"); any other id is hashed together with its customer. Only the
// part before the first subAgentSeparator counts, so that sub-agents belong to the shard of their parent.
[[nodiscard]] shard_index shardOf(const program_key &key);

// Returns the program that started this sub-agent; nothing if the program is not a sub-agent.
[[nodiscard]] std::optional<program_key> parentOf(const program_key &key);

// Returns a program id that belongs to `shard`; unique if (incarnation, sequence) is unique.
[[nodiscard]] std::string generateProgramId(shard_index shard, std::uint64_t incarnation, std::uint64_t sequence);

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

// Digest and estimated token count of a history up to and including one message.
struct history_step
{
    digest value = 0;
    token_count tokens = 0;
    auto operator<=>(const history_step &) const = default;
};

// Used to estimate token counts from text where no tokenizer is available.
inline constexpr std::size_t bytesPerToken = 4;

[[nodiscard]] token_count estimateTokens(std::string_view text);

// Step i covers messages 0 to i. Equal prefixes have equal steps.
[[nodiscard]] std::vector<history_step> digestHistory(std::span<const message> messages);
// Returns the step of the history that is extended by one message.
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
    bool idempotentStated = true; // Otherwise the default in the configuration of the service applies.
};

using call_kind = std::variant<model_call, service_call>;

// One turn of a program as received from a caller. `body` is forwarded to the endpoint.
struct call_request
{
    program_key program; // `program.program` is empty on a first call without an id; the daemon then generates one.
    std::optional<program_key> parent; // Set on the first turn of a sub-agent.
    std::uint32_t turn = 1;
    std::string requestId; // Chosen by the caller, returned in the answer.
    std::string rank; // Name of the rank; empty for the service's default rank.
    token_count budgetTokens = 0; // Budget, set on the first turn; 0 selects the configured default.
    std::optional<std::chrono::milliseconds> deadline; // From arrival; the configured default otherwise.
    std::optional<std::string> receipt;
    std::string path;
    std::shared_ptr<const std::string> body;
    digest contentDigest = 0; // Digest of the requested work; a resend of the same turn has the same digest.
    std::shared_ptr<const std::vector<message>> messages; // Complete history of a model call; null for service calls.
    call_kind kind;
};

[[nodiscard]] bool isIdempotent(const call_kind &kind); // Model calls always are: an answer may be generated again.
[[nodiscard]] bool isIdempotent(const call_request &call);
[[nodiscard]] token_count promptTokens(const call_kind &kind);

// What an endpoint reported for a finished call.
struct usage
{
    token_count promptTokens = 0;
    token_count cachedTokens = 0;
    token_count completionTokens = 0;
};

// How an attempt on an endpoint failed.
enum class failure_kind : std::uint8_t {
    ConnectFailed, // No connection; nothing was sent.
    Refused, // The endpoint did not accept the request (HTTP 429 or 503).
    Rejected, // The endpoint answered with another error status.
    ConnectionLost, // The connection was lost after bytes had been sent.
    Silent, // No byte was received within the idle timeout.
    DeadlinePassed,
};

[[nodiscard]] std::string_view nameOf(failure_kind kind);

struct endpoint_failure
{
    failure_kind kind = failure_kind::ConnectFailed;
    bool bytesOffered = false; // If bytes were sent, the call may have run: its outcome is "unknown", not "not run".
    std::uint16_t httpStatus = 0; // 0 if no status was received.
};

enum class host_kind : std::uint8_t {
    Daemon,
    Engine,
    Service,
};

[[nodiscard]] std::string_view nameOf(host_kind kind);
[[nodiscard]] std::optional<host_kind> hostKindFromName(std::string_view name);

// One entry of the platform's host list. The list lags behind the actual state of the hosts.
struct host_entry
{
    std::string name; // Unique among all hosts.
    host_kind kind = host_kind::Engine;
    std::string address; // "ip:port" for calls; for daemons the address of the interface for callers.
    std::string peerAddress; // Daemons only: "ip:port" for other daemons.
    std::string pool; // Engines and services: the pool that the configuration refers to.
    std::string zone;
    bool leaving = false;
    bool checksFencing = false; // Rejects orders that carry an outdated fencing token.
    std::uint32_t slots = 0; // Calls that can run concurrently; 0 if unknown.
};

// Load as reported by an engine, with a delay.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    token_count cacheUsedTokens = 0;
    token_count cacheTotalTokens = 0;
};

// A cache event of an engine. Events arrive with a delay and may be lost, which leaves gaps in `sequence`.
struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false; // Otherwise evicted.
    std::string program; // As named in the dispatch: toString(program_key).
    token_count tokens = 0;
};

// A refusal or final error that is returned to the caller.
struct refusal
{
    result_code code = result_code::InternalError;
    std::string message;
    std::chrono::milliseconds retryAfter{0}; // 0 if no retry is advised.
};

} // namespace jackdawpick

template<> struct std::hash<jackdawpick::program_key>
{
    std::size_t operator()(const jackdawpick::program_key &key) const noexcept;
};
