#pragma once

// What the daemons of a deployment say to each other over framed TCP.
//
//   link.send(framing::encodeFrame(peers::encodeMessage(peers::heartbeat{.ready = true})));
//   auto message = peers::decodeMessage(payload);   // nothing if the bytes are not a message
//
// Value types; thread compatible.

#include "crashes/crashes.h"
#include "fleet/fleet.h"
#include "programs/programs.h"
#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawpick::peers
{

// First message on each link in both directions, and the record by which daemons find each other.
struct hello
{
    std::string name; // Unique among all daemons.
    std::uint64_t incarnation = 0; // Differs between two starts of one daemon.
    std::string zone;
    std::string callerAddress; // "ip:port" for callers.
    std::string peerAddress; // "ip:port" for daemons.
    bool operator==(const hello &) const = default;
};

// Sent on every link at a fixed interval.
struct heartbeat
{
    bool ready = false; // Takes requests of callers.
    bool storeReachable = false; // Without the help of another daemon.
    std::uint64_t configuration = 0; // Version in force; 0: none.
    fleet::endpoint_loads loads;
    bool operator==(const heartbeat &) const = default;
};

// Asks the receiver to make a store call.
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

// Asks the daemon that holds the program's budget for at most `tokens` generated tokens.
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
    std::string turnHolder; // Daemon that has the text of the previous turn; empty if unknown.
    bool firstTurn = false; // Nothing else of the budget has been used or reserved.
    bool operator==(const budget_reply &) const = default;
};

// What a request has used of its grant. Not answered.
struct budget_use
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    bool holdsTurn = false; // The sender has the text of the turn.
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
    std::string history; // Of the chain, the turn included.
    bool operator==(const turn_reply &) const = default;
};

// Endpoints that broke while they ran a request, and requests that were answered after all. Not answered.
struct run_reports
{
    std::vector<crashes::run_report> reports;
    bool operator==(const run_reports &) const = default;
};

using message = std::variant<hello, heartbeat, store_request, store_response, budget_request, budget_reply, budget_use,
                             turn_request, turn_reply, run_reports>;

[[nodiscard]] std::string encodeMessage(const message &value);
// Nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<message> decodeMessage(std::string_view bytes);

} // namespace jackdawpick::peers
