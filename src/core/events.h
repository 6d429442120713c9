#pragma once

// Events, the inputs of the reducer, and effects, its outputs. Both are plain data.

#include "configuration/configuration.h"
#include "journal/journal.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "model/model.h"
#include "wire/wire.h"

namespace jackdawpick
{

// ---- Events ----

// A call of a caller or, if `peer` is set, a call forwarded by that daemon, which is never forwarded again.
struct call_arrived
{
    request_handle request{};
    call_request call;
    std::string peer;
};

// The caller closed its connection or cancelled the request, which needs no further answer.
struct caller_disconnected
{
    request_handle request{};
};

// Text from a streaming endpoint. `requestId` is the one that the endpoint returned.
struct dispatch_progress
{
    dispatch_id dispatch{};
    std::string requestId;
    std::string text;
};

struct dispatch_finished
{
    dispatch_id dispatch{};
    std::string requestId;
    usage used;
    std::string body; // Plain services: the answer. Engines: empty; the text was received in dispatch_progress events.
    bool endpointLeaving = false;
};

struct dispatch_failed
{
    dispatch_id dispatch{};
    endpoint_failure failure;
    bool endpointLeaving = false;
};

struct append_finished
{
    append_result result;
};

struct read_finished
{
    read_result result;
};

struct host_list_received
{
    std::vector<host_entry> hosts;
};

struct load_received
{
    std::string endpoint;
    load_report report;
    bool leaving = false;
};

struct cache_events_received
{
    std::string endpoint;
    std::vector<cache_event> events;
};

struct release_finished
{
    std::string program;
    std::string endpoint;
    bool acknowledged = false;
};

struct peer_message_received
{
    std::string peer; // Name in its hello message.
    peer_message message;
};

struct peer_link_changed
{
    std::string peer;
    bool connected = false;
};

enum class program_query_kind : std::uint8_t {
    Status,
    History,
    Close,
};

struct program_queried
{
    request_handle request{};
    program_key program;
    program_query_kind kind = program_query_kind::Status;
};

struct configuration_submitted
{
    request_handle request{};
    configuration_published publication;
};

// Caused by SIGTERM or an operator: refuse new calls, finish those in flight and hand over the shards.
struct drain_requested
{
};

// Sent at the time that nextDeadline() returned.
struct tick
{
};

using event = std::variant<call_arrived, caller_disconnected, dispatch_progress, dispatch_finished, dispatch_failed,
                           append_finished, read_finished, host_list_received, load_received, cache_events_received,
                           release_finished, peer_message_received, peer_link_changed, program_queried,
                           configuration_submitted, drain_requested, tick>;

// ---- Effects ----

// Text for a streaming caller; for any other caller the I/O layer buffers it until the answer is complete.
struct stream_text
{
    request_handle request{};
    std::string text;
};

// The complete answer of a call.
struct finish_call
{
    request_handle request{};
    program_key program;
    std::uint32_t turn = 0;
    std::string requestId;
    std::string answer; // The complete text or the service's JSON.
    bool isService = false;
    bool replayed = false; // Stored answer of a settled turn; nothing was streamed before.
    usage used;
    bool durable = true;
    std::string receipt;
};

struct refuse_call
{
    request_handle request{};
    refusal reason;
};

// JSON answer to a query or to a request of an operator.
struct answer_query
{
    request_handle request{};
    std::uint16_t httpStatus = 200;
    std::string json;
};

struct start_dispatch
{
    dispatch_id dispatch{};
    std::string endpoint; // Name
    std::string address; // "ip:port"
    std::string requestId; // The endpoint must return it with its answer.
    std::string program; // toString(program_key)
    rank_index priority = 0;
    call_kind kind;
    std::shared_ptr<const std::string> body; // HTTP body as received from the caller.
    std::chrono::milliseconds timeout{0};
};

struct cancel_dispatch
{
    dispatch_id dispatch{};
};

struct send_log_request
{
    log_request request;
};

struct release_cache
{
    std::string program;
    std::string endpoint;
    std::string address;
};

struct send_to_peer
{
    std::string peer;
    std::string address; // "ip:port"; used to open a link if there is none.
    peer_message message;
};

// The peers to keep links to; other links may be closed. Links to other daemons are opened by the first send_to_peer.
struct retain_peer_links
{
    std::vector<member_identity> peers;
};

// Metrics of a call that has ended.
struct observe_call
{
    std::string rank; // Empty if the call was refused before the rank was known.
    std::string pool;
    result_code code = result_code::Ok;
    std::optional<duration> firstToken; // Since arrival.
    duration total{}; // Since arrival.
    token_count tokens = 0; // Completion tokens.
};

// Metrics of a program that its caller has closed: latency from the arrival of its first call to its last answer.
struct observe_program
{
    std::string rank;
    duration latency{};
};

struct write_log
{
    log_level level = log_level::Info;
    std::string event;
    std::vector<log_field> fields;
};

// The drain is complete; the process may exit.
struct drained
{
};

using effect =
    std::variant<stream_text, finish_call, refuse_call, answer_query, start_dispatch, cancel_dispatch, send_log_request,
                 release_cache, send_to_peer, retain_peer_links, observe_call, observe_program, write_log, drained>;

using effects = std::vector<effect>;

} // namespace jackdawpick
