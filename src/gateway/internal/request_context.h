#pragma once

// One request of a caller on its way through the gateway.

#include "gateway/events.h"
#include "gateway/internal/event_splitter.h"
#include "results/results.h"
#include "routing/routing.h"

#include <memory>
#include <set>

namespace jackdawpick::gateway::internal
{

// Outcome of a request whose answer was passed on whole.
inline constexpr std::string_view answeredOutcome = "answered";

enum class request_phase : std::uint8_t {
    Preparing, // Its reservation and history are awaited.
    Dispatched, // An endpoint has it.
    WritingTurn, // The endpoint's answer is whole and its turn is being written to the log.
};

struct request_context
{
    caller_id id{};
    caller_request request;
    std::shared_ptr<const routing::route_table> table; // In force when the request arrived.
    const routing::route *route = nullptr;
    std::string service;
    std::uint64_t contentHash = 0; // Hash of what repetitions of the request have in common.
    time_point arrived;
    time_point deadline;
    bool inGracePeriod = false; // The deadline has passed, and the endpoint's own answer to that is awaited.
    request_phase phase = request_phase::Preparing;

    bool reservationPending = false;
    unsigned decidersAsked = 0; // Daemons that were asked for the reservation.
    std::optional<std::string> lastDecider; // The newest of them; nothing once it is settled.
    std::optional<std::string> grantedBy; // Name of the daemon that granted it; nothing once it is settled.
    bool firstTurn = false; // Of its program, as far as the budget tells.
    bool historyPending = false;
    bool historyReadIncomplete = false; // The first of its two places could not be read.
    bool useFallbackPartition = false; // The first place was read, or written, without success.
    std::string history; // Of the turns that the request continues.

    std::optional<dispatch_id> dispatch;
    std::string endpoint;
    time_point dispatchedAt;
    unsigned sends = 0;
    unsigned attempts = 0; // Sends after which the request may have run.
    std::set<std::string> excludedEndpoints; // Endpoints that have rejected it.

    std::optional<response_head> bufferedHead; // Of an answer that is passed on only when it is whole.
    bool responseStarted = false; // The head has been passed on.
    std::uint16_t status = 0;
    std::optional<result_code> refusal;
    bool eventStream = false;
    event_splitter eventSplitter;
    std::uint32_t eventCount = 0;
    std::optional<time_point> lastEventAt;
    std::string responseText; // Data of the events of a retained turn, or the body of a held answer.
    time_point turnWriteDeadline{};
    std::optional<time_point> firstByteAt;
};

} // namespace jackdawpick::gateway::internal
