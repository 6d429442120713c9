#pragma once

// Engines and plain services: pools, health, circuits, load, adaptive concurrency limits, leaving hosts and requests
// that crash endpoints.
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

// Index of an endpoint; stable while the daemon runs, also when the endpoint comes and goes.
enum class endpoint_id : std::uint32_t {};

enum class circuit_state : std::uint8_t {
    Closed,
    Open,
    HalfOpen,
};

[[nodiscard]] std::string_view nameOf(circuit_state state);

struct endpoint_options
{
    std::uint32_t failuresToOpen = 3;
    std::chrono::milliseconds openFor{1000}; // Doubles while probes fail, up to maxOpenFor.
    std::chrono::milliseconds maxOpenFor{30000};
    std::uint32_t initialLimit = 8;
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 256;
    // Overload is a time to first token, per prompt chunk, above both: this multiple of the endpoint's own minimum, and
    // the floor, since the minimum of a short cached prompt is only some milliseconds.
    double latencyTolerance = 6;
    std::chrono::milliseconds latencyFloor{1000};
    std::chrono::milliseconds leavingMemory{
        60000}; // A leaving mark that the host list does not confirm ends after this.
    std::chrono::milliseconds reportLag{250}; // Age of a load report on arrival.
    std::chrono::milliseconds reportMemory{5000}; // Reports older than this are not used.
    std::uint32_t crashesToQuarantine = 2; // Endpoints that died while running a request.
    std::chrono::milliseconds suspectMemory{600000};
    std::chrono::milliseconds quarantineFor{3600000};
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
    std::uint32_t inFlight = 0; // Own dispatches.
    std::uint32_t limit = 0; // Own adaptive limit.
    std::uint32_t slots = 0;
    load_report load; // Last report.
    std::optional<time_point> loadAt;
    double tokensPerSecond = 0; // Measured speed of decoding; 0 before the first finished call.
    double prefillTokensPerSecond = 0; // Uncached prompt tokens per second up to the first token; 0 while unknown.
    double secondsPerCall = 0; // Moving average from dispatch to the end; 0 before the first finished call.
};

class endpoint_table
{
public:
    endpoint_table(endpoint_options options, std::uint64_t seed);

    void applyHostList(const std::vector<host_entry> &hosts, time_point now);
    // From the endpoint's own answer or another daemon. Returns true if this was news.
    bool markLeaving(const std::string &name, time_point now);
    void onLoad(endpoint_id id, const load_report &report, time_point now);

    void onDispatched(endpoint_id id, digest content, token_count expectedTokens, time_point now, rank_index rank = 0);
    // `firstToken` is the time from dispatch to the first token, `total` the time to the end.
    void onFinished(endpoint_id id, digest content, const usage &used, duration firstToken, duration total,
                    time_point now);
    void onCancelled(endpoint_id id, digest content, time_point now);
    // Returns digests that this failure has put into quarantine.
    [[nodiscard]] std::vector<digest> onFailed(endpoint_id id, digest content, const endpoint_failure &failure,
                                               time_point now);
    // A notice from another daemon.
    void addQuarantine(digest content, time_point now);
    [[nodiscard]] bool isQuarantined(digest content, time_point now) const;
    // True if an endpoint died while it ran `content`, and it has not finished on another one since.
    [[nodiscard]] bool isSuspect(digest content, time_point now) const;
    // True if `content` is a suspect and another suspect runs on `id` now. Suspects never share an endpoint, so that a
    // further death points to one of them.
    [[nodiscard]] bool runsOtherSuspect(endpoint_id id, digest content, time_point now) const;

    // Listed, not leaving, circuit closed or due for a probe, and below the own limit.
    [[nodiscard]] bool accepts(endpoint_id id, time_point now) const;
    // Load from 0 (idle) upwards in units of the endpoint's slots: last report corrected by own dispatches since.
    [[nodiscard]] double load(endpoint_id id, time_point now) const;
    [[nodiscard]] const std::vector<endpoint_id> &pool(const std::string &name) const; // Listed members, empty if none.
    // Own dispatches in flight on the endpoints of a pool, by rank.
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
    struct lost_call
    {
        digest content = 0;
        time_point at;
    };
    struct entry
    {
        endpoint_view view;
        std::vector<running_call> running;
        std::vector<load_change> changes; // Own dispatches and ends that the last report does not cover.
        std::int32_t correction = 0; // Sum of `changes`, and of older ones dropped to bound the list.
        std::uint32_t failures = 0; // Consecutive.
        duration openFor{};
        time_point openUntil;
        bool probing = false;
        time_point lastSign; // Last answer or load report.
        time_point leavingSince; // Last time that a source said so.
        double limit = 0;
        double bestLatency = 0; // Seconds to the first token per prompt chunk, the smallest seen.
        time_point decreasedAt;
        std::vector<lost_call> lost; // Suspects lost lately, to tell a shared death from a single one.
    };
    struct pool_state
    {
        std::vector<endpoint_id> members;
        std::array<std::uint32_t, maxRanks> inFlight{};
    };
    struct death
    {
        endpoint_id endpoint{};
        time_point at;
    };
    struct suspect
    {
        std::vector<death> deaths; // One an endpoint.
        time_point until;
    };

    void clearDeaths(endpoint_id id, time_point since);
    [[nodiscard]] entry &at(endpoint_id id);
    [[nodiscard]] const entry &at(endpoint_id id) const;
    entry &addEndpoint(const host_entry &host);
    // Ends one running call; an unknown digest changes nothing, so counts never go below zero.
    std::optional<running_call> end(endpoint_id id, digest content, time_point now);
    void recordChange(entry &which, std::int32_t change, time_point now) const;
    void recordFailure(entry &which, bool probe, time_point now);
    void recordSuccess(entry &which) const;
    void adaptLimit(entry &which, const usage &used, duration firstToken, time_point now) const;
    // Returns true if the loss puts `content` into quarantine.
    bool blame(endpoint_id id, digest content, time_point now);
    void forgetOld(time_point now);

    endpoint_options m_options;
    std::vector<entry> m_entries;
    std::unordered_map<std::string, endpoint_id> m_byName;
    std::unordered_map<std::string, pool_state> m_pools;
    std::unordered_map<digest, suspect> m_suspects;
    std::unordered_map<digest, time_point> m_quarantine; // Until when.
};

} // namespace jackdawpick
