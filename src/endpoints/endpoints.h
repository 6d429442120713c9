#pragma once

// Tracks engines and plain services: pools, circuit breakers, load, adaptive concurrency limits, endpoints that leave,
// and requests that crash endpoints.
//
//   endpoint_table table(options, seed);
//   table.applyHostList(hosts, now);
//   if (table.accepts(id, now)) { table.onDispatched(id, digest, tokens, now); }

#include "configuration/configuration.h"
#include "model/model.h"

#include <array>
#include <unordered_map>

namespace jackdawpick
{

// Index of an endpoint; stable while the daemon runs, even if the endpoint is removed from the host list and returns.
enum class endpoint_id : std::uint32_t {};

enum class circuit_state : std::uint8_t {
    Closed,
    Open,
    HalfOpen,
};

[[nodiscard]] std::string_view nameOf(circuit_state state);

struct endpoint_options
{
    std::uint32_t failureThreshold = 3;
    std::chrono::milliseconds openDuration{1000}; // Doubles while probes fail, up to maxOpenDuration.
    std::chrono::milliseconds maxOpenDuration{30000};
    std::uint32_t initialLimit = 8;
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 256;
    // An endpoint is overloaded if the time to first token per prompt chunk exceeds both this multiple of its own
    // minimum and minOverloadLatency; the latter because the minimum for a short cached prompt is only a few
    // milliseconds.
    double latencyTolerance = 6;
    std::chrono::milliseconds minOverloadLatency{1000};
    // A leaving mark that the host list does not confirm is cleared after this time.
    std::chrono::milliseconds leavingRetention{60000};
    std::chrono::milliseconds reportDelay{250}; // Age of a load report when it arrives.
    std::chrono::milliseconds maxReportAge{5000}; // Older reports are ignored.
    std::uint32_t quarantineThreshold = 2; // Number of endpoints that crashed while they ran the request.
    std::chrono::milliseconds suspectRetention{600000};
    std::chrono::milliseconds quarantineDuration{3600000};
};

struct endpoint_view
{
    endpoint_id id{};
    std::string name;
    std::string address;
    std::string zone;
    std::string pool;
    endpoint_kind kind = endpoint_kind::Engine;
    bool leaving = false;
    bool listed = false;
    bool checksFencing = false;
    circuit_state circuit = circuit_state::Closed;
    std::uint32_t inFlight = 0; // Calls dispatched by this daemon.
    std::uint32_t limit = 0; // Adaptive limit of this daemon for `inFlight`.
    std::uint32_t slots = 0;
    load_report load; // Last report.
    std::optional<time_point> loadAt;
    double tokensPerSecond = 0; // Measured decoding speed; 0 before the first finished call.
    double prefillTokensPerSecond = 0; // Uncached prompt tokens per second up to the first token; 0 if unknown.
    double secondsPerCall = 0; // Moving average of the time from dispatch to end; 0 before the first finished call.
};

class endpoint_table
{
public:
    endpoint_table(endpoint_options options, std::uint64_t seed);

    void applyHostList(const std::vector<host_entry> &hosts, time_point now);
    // Called for a notice in an answer of the endpoint or from another daemon. Returns true if it was not marked yet.
    bool markLeaving(const std::string &name, time_point now);
    void onLoad(endpoint_id id, const load_report &report, time_point now);

    void onDispatched(endpoint_id id, digest content, token_count expectedTokens, time_point now, rank_index rank = 0);
    // `firstToken` is the time from dispatch to the first token, `total` the time to the end.
    void onFinished(endpoint_id id, digest content, const usage &used, duration firstToken, duration total,
                    time_point now);
    void onCancelled(endpoint_id id, digest content, time_point now);
    // Returns the digests that this failure has caused to be quarantined.
    [[nodiscard]] std::vector<digest> onFailed(endpoint_id id, digest content, const endpoint_failure &failure,
                                               time_point now);
    // Applies a notice from another daemon.
    void addQuarantine(digest content, time_point now);
    [[nodiscard]] bool isQuarantined(digest content, time_point now) const;
    // True if an endpoint crashed while it ran `content`, which has not completed on another one since.
    [[nodiscard]] bool isSuspect(digest content, time_point now) const;
    // True if `content` is a suspect and another suspect runs on `id` now. Suspects never share an endpoint, so that
    // the cause of a further crash is unambiguous.
    [[nodiscard]] bool runsOtherSuspect(endpoint_id id, digest content, time_point now) const;

    // True if listed, not leaving, circuit closed or due for a probe, and below the limit of this daemon.
    [[nodiscard]] bool accepts(endpoint_id id, time_point now) const;
    // Load as a multiple of the endpoint's slots, 0 if idle: the last report corrected by dispatches of this daemon
    // since.
    [[nodiscard]] double load(endpoint_id id, time_point now) const;
    [[nodiscard]] const std::vector<endpoint_id> &pool(const std::string &name) const; // Listed members, empty if none.
    // Calls of this daemon in flight on the endpoints of a pool, by rank.
    [[nodiscard]] const std::array<std::uint32_t, maxRanks> &inFlight(const std::string &poolName) const;
    [[nodiscard]] const endpoint_view &view(endpoint_id id) const;
    [[nodiscard]] std::optional<endpoint_id> find(const std::string &name) const;
    [[nodiscard]] std::vector<endpoint_id> all() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct running_call
    {
        digest content = 0;
        rank_index rank = 0;
        bool probe = false;
        time_point since;
    };
    struct load_change
    {
        time_point at;
        std::int32_t change = 0;
    };
    struct lost_suspect
    {
        digest content = 0;
        time_point at;
    };
    struct entry
    {
        endpoint_view view;
        std::vector<running_call> running;
        std::vector<load_change> changes; // Dispatched and ended calls that the last report does not cover.
        std::int32_t correction = 0; // Sum of `changes`, including older ones that were dropped to limit the list.
        std::uint32_t failures = 0; // Consecutive.
        duration openDuration{};
        time_point openUntil;
        bool probing = false;
        time_point lastActivity; // Last answer or load report.
        time_point leavingSince; // Last time that any source reported it as leaving.
        double limit = 0;
        double bestLatency = 0; // Smallest time to first token per prompt chunk, in seconds.
        time_point decreasedAt;
        std::vector<lost_suspect> lostSuspects; // Recent losses, to detect shared crashes.
    };
    struct pool_state
    {
        std::vector<endpoint_id> members;
        std::array<std::uint32_t, maxRanks> inFlight{};
    };
    struct endpoint_crash
    {
        endpoint_id endpoint{};
        time_point at;
    };
    struct suspect
    {
        std::vector<endpoint_crash> crashes; // At most one per endpoint.
        time_point until;
    };

    void clearCrashes(endpoint_id id, time_point since);
    [[nodiscard]] entry &at(endpoint_id id);
    [[nodiscard]] const entry &at(endpoint_id id) const;
    entry &addEndpoint(const host_entry &host);
    // Removes one running call; an unknown digest is ignored, so that counts never become negative.
    std::optional<running_call> endCall(endpoint_id id, digest content, time_point now);
    void recordChange(entry &target, std::int32_t change, time_point now) const;
    void recordFailure(entry &target, bool probe, time_point now);
    void recordSuccess(entry &target) const;
    void adaptLimit(entry &target, const usage &used, duration firstToken, time_point now) const;
    // Returns true if this crash causes `content` to be quarantined.
    bool recordCrash(endpoint_id id, digest content, time_point now);
    void evictExpired(time_point now);

    endpoint_options m_options;
    std::vector<entry> m_entries;
    std::unordered_map<std::string, endpoint_id> m_byName;
    std::unordered_map<std::string, pool_state> m_pools;
    std::unordered_map<digest, suspect> m_suspects;
    std::unordered_map<digest, time_point> m_quarantine; // Digest to end of its quarantine.
};

} // namespace jackdawpick
