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

enum class call_phase : std::uint8_t {
    Preparing, // Its reservation and history are awaited.
    Dispatched, // An endpoint has it.
    Saving, // The endpoint's answer is whole and its turn is being written to the log.
};

struct call
{
    caller_id id{};
    caller_request request;
    std::shared_ptr<const routing::route_table> table; // In force when the request arrived.
    const routing::route *route = nullptr;
    std::string service;
    std::uint64_t content = 0; // Hash of what repetitions of the request have in common.
    time_point arrived;
    time_point deadline;
    bool inGrace = false; // The deadline has passed, and the endpoint's own answer to that is awaited.
    call_phase phase = call_phase::Preparing;

    bool reservationPending = false;
    unsigned budgetTries = 0; // Daemons that were asked for the reservation.
    std::optional<std::string> lastAsked; // The newest of them; nothing once it is settled.
    std::optional<std::string> reservedAt; // Name of the daemon that granted it; nothing once it is settled.
    bool firstTurn = false; // Of its program, as far as the budget tells.
    bool historyPending = false;
    bool historyUncertain = false; // The first of its two places could not be read.
    bool secondPlace = false; // The first place was read, or written, without success.
    std::string history; // Of the turns that the request continues.

    std::optional<dispatch_id> dispatch;
    std::string endpoint;
    time_point dispatchedAt;
    unsigned sends = 0;
    unsigned attempts = 0; // Sends after which the request may have run.
    std::set<std::string> tried; // Endpoints that have rejected it.

    std::optional<response_head> heldHead; // Of an answer that is passed on only when it is whole.
    bool answered = false; // The head has been passed on.
    std::uint16_t status = 0;
    std::optional<result_code> refusal;
    bool eventStream = false;
    event_splitter events;
    std::uint32_t eventCount = 0;
    std::optional<time_point> lastEventAt;
    std::string output; // Data of the events of a retained turn, or the body of a held answer.
    time_point saveDeadline{};
    std::optional<time_point> firstByteAt;
};

} // namespace jackdawpick::gateway::internal
