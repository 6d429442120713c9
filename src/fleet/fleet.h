#pragma once

// Tracks the endpoints known to a daemon and selects one for each request.
//
//   endpoint_pool pool;
//   pool.upsert({.id = "e1", .service = "model-pool", .address = "10.0.0.1:80", .zone = "a", .slots = 12}, now);
//   if (auto chosen = pool.choose({.service = "model-pool", .zone = "a"}, 0.5, now)) {
//       pool.onDispatched(chosen->id, now);
//       ...
//       pool.onFinished(chosen->id, request_outcome::Answered, 80ms, now);
//   }
//
// Performs no I/O and reads no clock. Thread compatible.

#include "clock/clock.h"
#include "endpoint_calls/endpoint_calls.h"
#include "fleet/affinity.h"
#include "fleet/endpoint_speeds.h"
#include "fleet/engine_room.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::fleet
{

struct endpoint_entry
{
    std::string id; // An endpoint may start again under the id that it had.
    std::string service;
    std::string address; // "ip:port"
    std::string zone;
    std::uint32_t slots = 1; // Requests processed concurrently.
    bool draining = false;
    std::uint64_t born = 0; // When the endpoint started, in milliseconds since the Unix epoch; 0 if unknown.
    bool operator==(const endpoint_entry &) const = default;
};

// A segment of a prompt. Requests with the same leading segments can reuse an engine's cached prefix. The second
// segment belongs to a single conversation and grows with each of its turns.
struct prompt_segment
{
    std::string id;
    std::uint32_t tokens = 0;
    bool operator==(const prompt_segment &) const = default;
};

struct placement_request
{
    std::string service;
    std::string zone; // Zone of the daemon.
    std::vector<prompt_segment> prompt; // Empty for plain services.
    std::string affinity; // Requests with the same value run best on the same endpoint; may be empty.
    std::uint32_t outputTokens = 0; // Most that may be generated; 0 for plain services.
    std::set<std::string> excluded; // Ids of endpoints that have already rejected the request.
    bool unlimitedOnly = false; // Excludes endpoints with a rate limit.
    std::optional<std::uint32_t> outputTokensEstimate; // The client's.
};

// What a placement expects of the reading of the prompt; compared with the time to the first event.
struct reading_forecast
{
    std::uint64_t firstPart = 0; // affinityKey() of the first segment.
    double firstTokens = 0;
    double promptTokens = 0; // 0 for plain services.
    double cachedTokens = 0; // Of the prompt.
    double inFlight = 0; // Requests from all daemons at the endpoint before this one.
    bool mayQueue = false; // The time to the first event may include a wait for a slot.
};

struct placement
{
    std::string id;
    std::string address;
    std::string zone;
    std::uint64_t born = 0; // As in endpoint_entry.
    std::chrono::duration<double, std::milli> expectedWait{0}; // Until the endpoint starts the request.
    bool limited = false; // The endpoint states a rate limit: a permit is needed before the request may be sent.
    reading_forecast reading;
    double speed = 1; // Weight of the lasting speed of the endpoint; 1 is typical of the service.
    bool hasRoom = true; // In the endpoint's memory, as far as it is known; if unset, no endpoint has it.
};

struct endpoint_speed_report
{
    std::string id;
    double lasting = 1;
    double weight = 1;
    double slowdown = 1;
};

struct service_speed_report
{
    std::string service;
    engine_speeds typical;
    // Per generated token of a request that is alone at its engine; nothing if the service has not generated any.
    std::optional<double> tokenMilliseconds;
    double holderShare = 0; // Fraction of the engines that hold each shared first part of the prompts.
    std::vector<endpoint_speed_report> unusual; // Endpoints with another weight than 1 or in a slow period.
};

// How a request at an endpoint ended.
enum class request_outcome : std::uint8_t {
    Answered,
    Rejected, // The endpoint is full or leaving and has not run the request.
    Unreachable, // No connection could be made.
    ConnectionLost, // The connection was lost, or no data arrived in time.
    Cancelled, // By the daemon; no evidence about the endpoint.
};

// The requests in flight from one daemon at one endpoint.
struct endpoint_load
{
    std::string endpoint; // Id.
    std::uint32_t requests = 0;
    // That these are expected to take of the engine's memory, beyond shared first parts; unset if it is not known.
    std::optional<std::uint64_t> tokens;
    bool operator==(const endpoint_load &) const = default;
};

using endpoint_loads = std::vector<endpoint_load>;

// How much of the memory of a service's engines is expected to be taken.
struct memory_utilisation
{
    std::string service;
    std::uint64_t memory = 0; // Tokens, of each engine.
    std::uint64_t sharedParts = 0; // Tokens of shared first parts at each engine.
    double fraction = 0; // Of what may be filled, over all engines.
};

using endpoint_calls::endpoint_incarnation;

// Endpoints that have stated in a response, to this daemon or another one, that they are leaving. A statement holds for
// one start of an endpoint and is not taken back: an endpoint that has left comes back with another start time.
class leaving_table
{
public:
    // Statements about endpoints that are no longer listed are forgotten after this time.
    static constexpr std::chrono::seconds statementLifetime{600};

    // A response to this daemon, or another daemon's report, stated it. Return whether it was not known.
    bool onStated(const endpoint_incarnation &endpoint, time_point now);
    bool onReport(const endpoint_incarnation &endpoint, time_point now);
    [[nodiscard]] bool contains(const endpoint_incarnation &endpoint) const;
    // What endpoints stated to this daemon. Reports are not passed on: they would circulate without end.
    [[nodiscard]] std::vector<endpoint_incarnation> ownStatements() const;
    void evictExpired(const std::function<bool(const endpoint_incarnation &)> &isListed, time_point now);

private:
    struct statement
    {
        bool own = false;
        time_point heardAt;
    };

    bool apply(const endpoint_incarnation &endpoint, bool own, time_point now);

    std::map<endpoint_incarnation, statement> m_statements;
};

class endpoint_pool
{
public:
    // Backoff after a failure; doubled with each consecutive failure, up to the maximum.
    static constexpr std::chrono::milliseconds initialBackoff{300};
    static constexpr std::chrono::milliseconds maxBackoff{5000};
    // How long an endpoint stays in use after its entry disappeared while the store was unavailable: endpoints that are
    // still running register again within this time.
    static constexpr std::chrono::milliseconds expiryGrace{2000};
    // How long a connection is assumed to stay open after its last request.
    static constexpr std::chrono::milliseconds idleConnectionLifetime{3000};

    // Adds or updates an endpoint. Returns whether it was unknown, removed or different before.
    bool upsert(const endpoint_entry &entry, time_point now);
    // Removes the endpoint: immediately, or after `expiryGrace` if its entry may have expired only because the store
    // was unavailable.
    void remove(const std::string &id, bool mayHaveExpired, time_point now);
    // Removes all endpoints that are not in `listed`.
    void keepOnly(const std::set<std::string> &listed, bool mayHaveExpired, time_point now);
    // Excludes an endpoint from selection after a response said that another endpoint has its address, until an entry
    // shows that it has started again or moved.
    void markMisdirected(const std::string &id);

    // The endpoint stated in a response to this daemon, or to a peer, that it is leaving: it is not selected any more.
    // Return whether that was not known.
    bool onLeavingStated(const endpoint_incarnation &stated, time_point now);
    bool onLeavingReported(const endpoint_incarnation &reported, time_point now);
    // Whether a response, to this daemon or a peer, stated so.
    [[nodiscard]] bool isLeaving(const endpoint_incarnation &target) const;
    // The statements in responses to this daemon.
    [[nodiscard]] std::vector<endpoint_incarnation> leavingStatements() const;
    void evictExpiredStatements(time_point now);

    // Limits this daemon's connections to each endpoint of the service to an equal share among `daemons`;
    // `maxConnections` is what an endpoint accepts from all of them, 0 removes the limit.
    void setConnectionLimit(const std::string &service, std::uint32_t maxConnections, std::size_t daemons);
    // The tokens that each engine of the service can keep in memory; 0 if not known.
    void setEngineMemory(const std::string &service, std::uint64_t tokens);
    // Sets the rate limit that the endpoint states, in requests per second from all daemons; nothing removes it.
    void setRateLimit(const std::string &id, std::optional<double> rate);
    // Excludes an endpoint with a rate limit from selection until then: no permit is available before.
    void blockUntil(const std::string &id, time_point when);
    // The loads that a peer has reported count until its next report or its removal: with many daemons reports are
    // rare.
    void setPeerLoads(const std::string &peer, const endpoint_loads &loads, time_point now);
    void removePeer(const std::string &peer);

    // Returns nothing if no endpoint of the service can be used. `randomFraction` in [0, 1) breaks ties, so that
    // daemons with the same view do not all choose the same endpoint.
    [[nodiscard]] std::optional<placement> choose(const placement_request &request, double randomFraction,
                                                  time_point now) const;
    // When the first endpoint of the service that is blocked now, and not excluded, can be selected again.
    [[nodiscard]] std::optional<time_point> nextUnblocked(const placement_request &request, time_point now) const;
    // Addresses of up to `count` distinct usable endpoints, chosen at random by `randomFraction` in [0, 1).
    [[nodiscard]] std::vector<std::string> sampleAddresses(std::size_t count, double randomFraction,
                                                           time_point now) const;
    // Makes endpoints that failed selectable again: the failures were not theirs.
    void forgetFailures();
    void onDispatched(const std::string &id, time_point now);
    // The same, and takes what the placement expects into account.
    void onDispatched(const placement &chosen, time_point now);
    // `took` is the processing time at the endpoint; it is ignored unless the request was answered. Requests of one
    // `kind` to a plain service take about the same time; empty for streams.
    void onFinished(const std::string &id, request_outcome outcome, std::chrono::milliseconds took, time_point now,
                    std::string_view kind = {});

    // Records that the first event of a stream came `took` after the dispatch of the request.
    void onFirstEvent(const std::string &id, const reading_forecast &expected, std::chrono::milliseconds took,
                      time_point now);
    // Counts the memory that a request takes at an endpoint, until removeTokens() with the returned number of tokens.
    [[nodiscard]] std::uint64_t addTokens(const std::string &id, const placement_request &request, time_point now);
    void removeTokens(const std::string &id, std::uint64_t tokens);

    // Records that the endpoint sent `count` events of a stream, `took` after the previous ones.
    void onStreamEvents(const std::string &id, std::uint32_t count, std::chrono::milliseconds took, time_point now,
                        std::uint32_t tokensPerEvent = 1);
    // The ratios that this daemon measured in the last seconds, for its peers.
    [[nodiscard]] speed_samples recentSpeedSamples(time_point now) const;
    // Those that a peer reports in each of its heartbeats.
    void applySpeedSamples(const std::string &peer, const speed_samples &reported, time_point now);

    [[nodiscard]] endpoint_loads localLoads() const;
    // Requests in flight from all daemons per slot of the usable endpoints. Above 1, requests queue at endpoints.
    // Returns 0 if the service has no usable endpoint.
    [[nodiscard]] double utilisation(const std::string &service, time_point now) const;
    // Expected tokens in the memory of the usable engines, as a fraction of what may be filled; 0 if the memory is not
    // known.
    [[nodiscard]] double memoryUtilisation(const std::string &service, time_point now) const;
    // Of all services whose engines have a known memory.
    [[nodiscard]] std::vector<memory_utilisation> memoryUtilisations(time_point now) const;
    // Whether an engine that runs nothing else can hold the request.
    [[nodiscard]] bool canEverHold(const placement_request &request) const;
    // Mean time of a request at the endpoints of the service, waits there included.
    [[nodiscard]] std::chrono::milliseconds typicalServiceTime(const std::string &service) const;
    [[nodiscard]] std::size_t size() const;
    // Of each service, for operators.
    [[nodiscard]] std::vector<service_speed_report> speeds(time_point now) const;
    // Whether this start of the endpoint may get requests, as far as this daemon knows.
    [[nodiscard]] bool takesRequests(const endpoint_incarnation &target, time_point now) const;
    // Whether the listing names this start of the endpoint.
    [[nodiscard]] bool isListed(const endpoint_incarnation &target, time_point now) const;
    // Whether the endpoint has announced, by its entry or in a response, that it is leaving.
    [[nodiscard]] bool hasAnnouncedLeaving(const std::string &id) const;
    // When the endpoint started, as in endpoint_entry; nothing if it is not known.
    [[nodiscard]] std::optional<std::uint64_t> bornOf(const std::string &id) const;
    // The address of this start of the endpoint; nothing if it is not listed.
    [[nodiscard]] std::optional<std::string> addressOf(const endpoint_incarnation &target) const;

private:
    struct endpoint
    {
        endpoint_entry entry;
        bool misdirected = false; // Another endpoint has the address.
        std::optional<time_point> removedAt; // When the removal takes effect; may lie in the future.
        std::uint32_t inFlight = 0; // From this daemon.
        std::uint32_t peakInFlight = 0; // Maximum in flight since peakAt, an estimate of the open connections.
        time_point peakAt{};
        unsigned failures = 0; // Consecutive.
        time_point backoffUntil{};
        std::optional<double> rateLimit; // Requests per second from all daemons.
        time_point blockedUntil{}; // No permit to send to it is available before.
        std::optional<double> smoothedServiceMilliseconds;
        std::uint32_t hash = 0; // Of the id and the start.
        endpoint_speed speed; // Of this start.
        std::uint64_t tokens = 0; // That this daemon's requests take of the engine's memory.
        double othersInFlight = 0; // From other daemons, as estimated at the last dispatch of this one.
    };

    // What is known of all endpoints of a service together.
    struct service_state
    {
        service_speeds speeds;
        first_parts prefixes;
    };

    struct peer_report
    {
        endpoint_loads loads;
        time_point receivedAt;
        std::uint32_t speedSamples = 0; // The number of those that were applied last.
    };

    struct own_speed_sample
    {
        speed_sample sample;
        time_point at;
    };

    // Typical figures of all endpoints of a service.
    struct typical_times
    {
        double service = 0; // Mean service time in milliseconds.
        engine_speeds engine;
        double holderShare = first_parts::minHolderShare;
    };

    struct candidate
    {
        const endpoint *target = nullptr;
        double inFlight = 0; // Requests from all daemons.
        double wait = 0; // Milliseconds.
        double cost = 0; // Milliseconds, including the wait.
        double weight = 1; // Share of the requests, relative to other endpoints.
        double lastingExcess = 0; // Milliseconds of the cost that are due to a low lasting speed.
        double cachedTokens = 0; // Of the prompt.
        double holderScore = 0; // For the first segment of the prompt.
        bool hasRoom = true; // With the request, its load is within its share.
        bool isLightlyLoaded = true;
        bool isDisturbed = false; // In a slow period, or in backoff after a failure.
        double tokens = 0; // That the requests of all daemons take of the engine's memory.
        double assumed = 0; // Of `inFlight`, the requests that are spread over all endpoints.
    };

    [[nodiscard]] static bool isListed(const endpoint &value, time_point now);
    [[nodiscard]] bool isUsable(const endpoint &value, time_point now) const;
    // Estimates the requests in flight from all daemons at each usable endpoint of the service, in the order of
    // m_endpoints. Peers' requests end and are replaced after their report: the older a report is, compared to the
    // service time, the less it tells where the requests are, and the more evenly they are assumed to be spread.
    [[nodiscard]] std::vector<candidate> estimateLoads(const std::string &service, const typical_times &typical,
                                                       time_point now) const;
    void estimateCost(candidate &entry, const placement_request &request, const typical_times &typical,
                      time_point now) const;
    // Requests that the endpoint processes concurrently: its slots, or fewer if its rate limit does not fill them.
    [[nodiscard]] static double capacityOf(const endpoint &value, double serviceMilliseconds);
    static void addPrefillCost(const placement_request &request, const typical_times &typical,
                               std::vector<candidate> &candidates);
    static void addAffinityBonus(const placement_request &request, std::vector<candidate> &candidates);
    // Sets the weights, and which candidates have room.
    static void setShares(std::vector<candidate> &candidates);
    [[nodiscard]] static home_selection selectHomeAmong(const std::string &key, std::span<const candidate> candidates);
    // Moves the candidates that hold the first segment to the front and returns their number.
    static std::size_t moveHoldersToFront(const std::string &segment, double share, std::vector<candidate> &candidates);
    [[nodiscard]] static reading_forecast forecastFor(const placement_request &request, const candidate &chosen);
    // Drops the candidates whose memory has no room for the request if another one has. Returns whether any has.
    [[nodiscard]] bool keepThoseWithRoom(std::vector<candidate> &candidates, const placement_request &request,
                                         time_point now) const;
    [[nodiscard]] typical_times typicalTimes(const std::string &service) const;
    [[nodiscard]] std::uint32_t connectionLimit(const std::string &service) const;
    void evictRemoved(time_point now);

    std::map<std::string, endpoint> m_endpoints;
    leaving_table m_leaving;
    std::map<std::string, std::uint32_t> m_connectionLimits; // For this daemon, by service.
    std::map<std::string, peer_report> m_peers;
    std::map<std::string, service_state> m_services;
    std::deque<own_speed_sample> m_speedSamples; // Oldest first.
    std::uint32_t m_speedSampleCount = 0; // Since the start.
    engine_room m_room;
};

} // namespace jackdawpick::fleet
