#pragma once

// The state of one request of a caller.

#include "gateway/events.h"
#include "gateway/internal/event_splitter.h"
#include "programs/programs.h"
#include "quotas/quotas.h"
#include "results/results.h"
#include "routing/routing.h"

#include <memory>
#include <set>

namespace jackdawpick::gateway::internal
{

// Outcome of a request whose response was forwarded completely.
inline constexpr std::string_view answeredOutcome = "answered";

enum class request_phase : std::uint8_t {
    Preparing, // Waits for its reservation and history.
    Dispatched, // Sent to an endpoint.
    WritingTurn, // The response is complete and the turn is being written to the log.
};

// A read of all records of a chain from the store.
struct history_read
{
    std::vector<programs::turn_location> places; // Oldest first.
    std::vector<std::optional<programs::turn>> records; // By place; unset until read.
    unsigned failures = 0; // Failed reads of any of the records.
    bool bounded = true; // Reads ask for the size of their record; unset if the store cut one off.
};

// A piece of a text that is too long for one record.
struct segment
{
    std::size_t number = 0; // Counts the segments of the request.
    std::string id;
    shared_text record; // Encoded.
    bool useFallbackPartition = false; // For the append under way, or the next one.
    bool retryPending = false; // No append is under way.
    std::optional<programs::turn_location> location; // Unset until written.
};

// A text that is being written in segments, which follow the records of a chain.
struct segmented_write
{
    programs::turn_chain before; // Empty if the segments hold the whole history.
    time_point began;
    std::vector<segment> segments;
    std::optional<std::string> rest; // The text for the record of the turn; unset until the response is complete.
};

struct request_context
{
    caller_id id{};
    caller_request request; // Without its body.
    shared_text input; // The body of the request.
    std::size_t countedResponse = 0; // Bytes set aside for the response.
    text_reservation memory; // For the texts that it still makes: records of its turn, and histories that are read.
    std::shared_ptr<const routing::route_table> table; // The table in force when the request arrived.
    const routing::route *route = nullptr;
    const routing::tenant *tenant = nullptr; // Of `table`; null on public routes and where there are no tenants.
    std::string callerAttempt; // The attempt id as the caller sent it; request.attempt is unique over all tenants.
    std::string service;
    endpoint_calls::request_identity identity;
    time_point arrived;
    time_point deadline;
    bool inGracePeriod = false; // The deadline has passed; the endpoint may still report that itself.
    request_phase phase = request_phase::Preparing;

    bool reservationPending = false;
    unsigned decidersAsked = 0; // Number of daemons that were asked for the reservation.
    std::optional<std::string> lastDecider; // The daemon asked last; reset when the reservation is settled.
    std::optional<std::string> grantedBy; // The daemon that granted it; reset when the reservation is settled.
    bool firstTurn = false; // The first turn of its program, judged by the use of the budget.
    std::optional<std::string> unsettledAt; // The daemon that does not know how many tokens the previous turn has used.
    bool deniedUnsettled = false; // Denied while that was not known; the reservation is requested once more.
    bool historyPending = false;
    bool historyReadIncomplete = false; // A partition that may hold the previous turn could not be read to its end.
    bool useFallbackPartition = false; // Reading from or writing to the primary partition did not succeed.
    rope history; // Text of the turns that the request continues.
    programs::turn_chain chain; // Where that text lies in the log.
    std::optional<history_read> historyRead; // Set while the records of the chain are read.

    std::optional<fleet::placement> permitFor; // Set while the answer to the request for a permit is awaited.
    unsigned permitsDenied = 0; // Since the request last began to wait.
    std::optional<std::chrono::milliseconds> permitRetryAfter; // The shortest time told with a denial to a first turn.
    std::optional<time_point> waitingForPermitSince;
    std::optional<dispatch_id> dispatch;
    std::string endpoint;
    std::uint64_t endpointBorn = 0;
    time_point dispatchedAt;
    std::optional<link_id> relay; // The link to the peer that sends the dispatch; unset if this daemon does.
    bool heardFromEndpoint = false; // Of the dispatch.
    bool unsentDirectly = false; // This daemon could not connect to an endpoint; a peer may.
    std::set<std::string> refusingPeers; // Peers that did not relay the request.
    unsigned sends = 0;
    unsigned attempts = 0; // Dispatches after which the request may have run.
    std::set<std::string> excludedEndpoints; // Endpoints that have rejected or failed the request.

    std::optional<endpoint_calls::endpoint_head>
        bufferedHead; // Set while the response is buffered until it is complete.
    time_point bufferedSince{};
    bool responseStarted = false; // The head has been sent to the caller.
    std::uint16_t status = 0;
    std::optional<result_code> refusal;
    bool endsWithConnection = false; // As in endpoint_head.
    bool eventStream = false;
    event_splitter eventSplitter;
    std::uint32_t eventCount = 0;
    std::optional<time_point> lastEventAt;
    std::string responseText; // Event data of a retained turn, or the body of a buffered response.
    shared_text response; // The event data of a retained turn, once the response is complete.
    std::string previousRecord; // Id of the last record of `chain`.
    bool inputWritten = false; // `chain` holds the input of the turn after the history.
    std::optional<segmented_write> segmentedWrite; // Set while segments are written.
    std::optional<time_point> segmentsDue; // When segments are begun, tried again or abandoned.
    std::size_t segmentCount = 0;
    time_point turnWriteBegan{};
    time_point turnWriteDeadline{};
    shared_text turnRecord; // The encoded record of the turn.
    std::optional<time_point> firstByteAt;
    fleet::reading_forecast reading; // Of the last dispatch.
    std::optional<time_point> waitingForRoomSince; // No engine had room in its memory then.
    std::uint64_t tokensAtEndpoint = 0; // Counted for the dispatch under way.
    // Recent rate of the tenant as a fraction of its limit; unset if it has none or nothing is known.
    std::optional<double> tenantPressure;

    bool quotaPending = false; // Waits for a permit of its tenant's quota.
    unsigned quotaRequests = 0; // To issuers, for that permit.
    std::optional<time_point> quotaWaitUntil; // Set when the permit could not be had at once.
    std::optional<std::chrono::milliseconds> quotaRetryAfter; // Of the latest provisional denial.
    std::optional<quotas::permit> quotaPermit; // The request has not run if it is refused.

    // 0 is the most urgent.
    [[nodiscard]] int rank() const
    {
        return tenant == nullptr ? route->rank : tenant->rank.value_or(route->rank);
    }

    // The start of the endpoint to which the request was sent last.
    [[nodiscard]] endpoint_calls::endpoint_incarnation endpointIncarnation() const
    {
        return {endpoint, endpointBorn};
    }
};

} // namespace jackdawpick::gateway::internal
