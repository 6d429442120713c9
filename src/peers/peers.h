#pragma once

// Messages between the daemons of a deployment, sent over framed TCP.
//
//   link.send(framing::encodeFrame(peers::encodeMessage(peers::heartbeat{.ready = true})));
//   auto message = peers::decodeMessage(payload);   // empty if the bytes are not a valid message
//
// Value types; thread compatible.

#include "crashes/crashes.h"
#include "endpoint_calls/endpoint_calls.h"
#include "fleet/fleet.h"
#include "limits/limits.h"
#include "programs/programs.h"
#include "quotas/quotas.h"
#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawpick::peers
{

// First message on each link in both directions, and the record by which daemons discover each other.
struct hello
{
    std::string name; // Unique among all daemons.
    std::uint64_t incarnation = 0; // Differs between two starts of one daemon.
    std::string zone;
    std::string callerAddress; // "ip:port" on which callers connect.
    std::string peerAddress; // "ip:port" on which other daemons connect.
    bool operator==(const hello &) const = default;
};

// A daemon from which the sender of a heartbeat expects heartbeats and gets none.
struct silence_report
{
    std::string daemon;
    std::chrono::milliseconds silentFor{0};
    bool operator==(const silence_report &) const = default;
};

// Sent on every link at a fixed interval.
struct heartbeat
{
    bool ready = false; // Accepts requests of callers.
    bool storeReachable = false; // Directly, without a relay.
    bool endpointsUnreachable = false; // The sender has lost its paths to the endpoints.
    // Earlier builds close the link when a permit or a relayed request comes. Told by the list of limits, which they do
    // not send; not encoded otherwise.
    bool knowsPermitsAndRelays = true;
    // Earlier builds do not name the tenant to the endpoint when they relay a request, and close the link when a
    // message about quotas comes.
    bool knowsTenants = true;
    std::uint64_t configuration = 0; // Version of the active configuration; 0: none.
    fleet::endpoint_loads loads;
    std::vector<limits::limit_report> limits; // Stated by endpoints in responses to the sender.
    // Endpoints that stated in responses to the sender that they are leaving.
    std::vector<endpoint_calls::endpoint_incarnation> leaving;
    std::vector<silence_report> silent;
    // The sender sends the receiver its next heartbeat within this time; 0: it does not say. Earlier builds do not.
    std::chrono::milliseconds nextWithin{0};
    fleet::speed_samples speeds; // Of engines, as the sender has measured them. Earlier builds tell none.
    bool operator==(const heartbeat &) const = default;
};

// Asks the receiver to make a store call on behalf of the sender.
struct store_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    store::call what;
    bool operator==(const store_request &) const = default;
};

struct store_response
{
    std::uint64_t id = 0;
    store::reply result;
    bool operator==(const store_response &) const = default;
};

// Asks the daemon that manages the program's budget to reserve up to `tokens` generated tokens.
struct budget_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    std::uint32_t budget = 0; // Of the whole program.
    std::string previousTurn; // Empty if the request continues none.
    bool operator==(const budget_request &) const = default;
};

struct budget_reply
{
    std::uint64_t id = 0;
    programs::budget_decision answer = programs::budget_decision::Unavailable;
    std::string turnHolder; // Name of the daemon that has the text of the previous turn; empty if unknown.
    bool firstTurn = false; // No other request has used or reserved tokens of the budget.
    bool previousUnsettled = false; // It is not known how many tokens the previous turn has used.
    bool operator==(const budget_reply &) const = default;
};

// Reports how many of its reserved tokens a request has used. Has no reply.
struct budget_use
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    bool holdsTurn = false; // The sender has the text of the turn.
    bool restored = false; // Taken from the turn, since the first report was lost.
    bool operator==(const budget_use &) const = default;
};

struct turn_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    std::string turn;
    bool operator==(const turn_request &) const = default;
};

struct turn_reply
{
    std::uint64_t id = 0;
    bool found = false;
    rope history; // Text of all turns up to and including this one.
    std::vector<programs::turn_location> records; // Of the records that hold the history, oldest first.
    // How long ago the oldest of these records was written; unset if unknown.
    std::optional<std::chrono::milliseconds> beganAgo;
    std::uint32_t tokens = 0; // That the turn has used of the budget of its program; 0 if unknown.
    bool operator==(const turn_reply &) const = default;
};

// Reports endpoints that failed while running a request, requests that were answered after such failures, and runs
// whose endpoints may not survive them. Has no reply.
struct run_reports
{
    std::vector<crashes::run_report> reports;
    std::vector<crashes::run_notice> unproven;
    std::vector<crashes::run_notice> backups; // Runs that the receiver counts if the sender dies before it can.
    bool operator==(const run_reports &) const = default;
};

// Tells those who delete old records of a partition of turns that all records before an offset were written some time
// ago, or that these were deleted. Has no reply.
struct turn_mark
{
    store::partition where;
    std::uint64_t end = 0;
    bool trimmed = false;
    std::chrono::milliseconds writtenAgo{0};
    bool operator==(const turn_mark &) const = default;
};

// Asks the daemon that issues the permits of an endpoint with a rate limit for one.
struct permit_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    std::string endpoint;
    double reserve = 0; // Permits that must remain for more urgent requests.
    bool operator==(const permit_request &) const = default;
};

struct permit_reply
{
    std::uint64_t id = 0;
    limits::permit_decision decision;
    bool operator==(const permit_reply &) const = default;
};

// Asks the receiver, which reaches the endpoints, to send a request to an endpoint for the sender. The parts of the
// response follow as relayed_head, relayed_chunk and relayed_end. The receiver never relays it further.
struct relayed_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    endpoint_calls::endpoint_request request;
    bool operator==(const relayed_request &) const = default;
};

struct relayed_head
{
    std::uint64_t id = 0;
    endpoint_calls::endpoint_head head;
    bool operator==(const relayed_head &) const = default;
};

struct relayed_chunk
{
    std::uint64_t id = 0;
    std::string bytes;
    bool operator==(const relayed_chunk &) const = default;
};

struct relayed_end
{
    std::uint64_t id = 0;
    endpoint_calls::dispatch_outcome outcome = endpoint_calls::dispatch_outcome::Complete;
    bool accepted = true; // Unset if the receiver did not try to send the request; the outcome is NotSent then.
    bool endpointLeaving = false; // Why it was not accepted: the endpoint has stated that it is leaving.
    bool operator==(const relayed_end &) const = default;
};

// The sender of the request needs no response any more. Has no reply.
struct relayed_cancel
{
    std::uint64_t id = 0;
    bool operator==(const relayed_cancel &) const = default;
};

// Asks the daemon that issues the permits of a group of tenants for permits of one of them. Sent only to daemons that
// know tenants.
struct quota_request
{
    std::uint64_t id = 0; // Chosen by the sender, unique on the link.
    std::string tenant;
    quotas::permit_request asked;
    bool operator==(const quota_request &) const = default;
};

struct quota_reply
{
    std::uint64_t id = 0;
    bool decided = false; // Unset if the sender does not issue the permits of the tenant.
    quotas::permit_grant grant; // Without the level of the bucket.
    std::string holder; // The daemon that issues them, if the sender does not and knows it.
    std::uint64_t lease = 0; // The record of the sender's lease; 0 if it is not decided.
    bool operator==(const quota_reply &) const = default;
};

using message =
    std::variant<hello, heartbeat, store_request, store_response, budget_request, budget_reply, budget_use,
                 turn_request, turn_reply, run_reports, turn_mark, permit_request, permit_reply, relayed_request,
                 relayed_head, relayed_chunk, relayed_end, relayed_cancel, quota_request, quota_reply>;

[[nodiscard]] std::string encodeMessage(const message &value);
// Returns nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<message> decodeMessage(std::string_view bytes);

} // namespace jackdawpick::peers
