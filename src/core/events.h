#pragma once

// Events that go into the reducer and effects that come out of it. Both are plain data.

#include "configuration/configuration.h"
#include "journal/journal.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "model/model.h"
#include "wire/wire.h"

namespace jackdawpick
{

// ---- Events ----

// A call of a caller or, with `peer`, one forwarded by another daemon, which is never forwarded again.
struct call_arrived
{
    request_handle request{};
    call_request call;
    std::string peer;
};

// The caller closed its connection or cancelled; its request gets no further answer.
struct caller_disconnected
{
    request_handle request{};
};

// Text from an endpoint that streams. `requestId` is what the endpoint echoed.
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
    std::string body; // Plain services: the answer. Engines: empty, the text came as progress.
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
    std::string peer; // Name from its hello.
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

// SIGTERM or an operator: stop taking new programs, hand the shards over, finish calls in flight.
struct drain_requested
{
};

// Time has passed; sent at the wake-up that the reducer asked for.
struct tick
{
};

using event = std::variant<call_arrived, caller_disconnected, dispatch_progress, dispatch_finished, dispatch_failed,
                           append_finished, read_finished, host_list_received, load_received, cache_events_received,
                           release_finished, peer_message_received, peer_link_changed, program_queried,
                           configuration_submitted, drain_requested, tick>;

// ---- Effects ----

// Text for a caller that streams; for one that does not, the shell collects it until the answer.
struct stream_text
{
    request_handle request{};
    std::string text;
};

// The whole answer of a call.
struct finish_call
{
    request_handle request{};
    program_key program;
    std::uint32_t turn = 0;
    std::string requestId;
    std::string answer; // The complete text or the service's JSON.
    bool isService = false;
    bool replayed = false; // Stored answer of a settled turn: nothing was streamed before.
    usage used;
    bool durable = true;
    std::string receipt;
};

struct refuse_call
{
    request_handle request{};
    refusal reason;
};

// Answer to a query or an operator's request: JSON text.
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
    std::string requestId; // To be echoed by the endpoint.
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
    std::string address; // "ip:port", to open a link if there is none.
    peer_message message;
};

// The peers to keep links with; others may be closed. Links to further daemons are opened on the first send_to_peer.
struct retain_peer_links
{
    std::vector<member_identity> peers;
};

// One call has ended, for the metrics.
struct observe_call
{
    std::string rank; // Empty where it was refused before the rank was known.
    std::string pool;
    result_code code = result_code::Ok;
    std::optional<duration> firstToken; // From arrival.
    duration total{}; // From arrival.
    token_count tokens = 0; // Completion.
};

// A program was closed by its caller: the latency from its first call's arrival to its last answer.
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
