#pragma once

// Tracks which endpoints hold cached prefixes of programs, and releases these caches when a program has ended.
//
//   cache_directory caches;
//   caches.onServed(key, endpoint, tokens, now);      // after a model call
//   caches.releaseProgram(key, holders, now);            // schedules a release on every holder
//   for (auto &release : caches.takeDueReleases(now)) { ... }

#include "endpoints/endpoints.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jackdawpick
{

struct cache_release
{
    std::string program; // toString(program_key)
    std::string endpoint; // Name in the host list.
};

struct cache_options
{
    std::chrono::milliseconds releaseRetryDelay{500}; // First delay; doubles up to maxReleaseRetryDelay.
    std::chrono::milliseconds maxReleaseRetryDelay{30000};
    std::chrono::milliseconds releaseTimeout{5000};
    std::uint32_t maxReleasesInFlight = 64;
    std::chrono::milliseconds maxEventDelay{2000}; // Longest time from a cache event to its arrival here.
};

// A prefix that an endpoint probably holds in its cache.
struct cached_prefix
{
    std::uint32_t endpoint = 0; // Index for cache_directory::endpointName().
    std::uint32_t generation = 0; // Generation of the endpoint; if it is outdated, the endpoint has lost its cache.
    std::uint32_t eventGaps = 0; // Number of gaps in the endpoint's events when this prefix was last confirmed.
    bool awaitsStoredEvent = false; // The engine's event for the last call has not arrived yet.
    token_count tokens = 0;
    time_point servedAt;
};

class cache_directory
{
public:
    explicit cache_directory(cache_options options);

    // The endpoint now holds the first `tokens` tokens of the program's history.
    void onServed(const program_key &key, const std::string &endpoint, token_count tokens, time_point now);
    // Applies cache events, which arrive with a delay and may be lost. An eviction that is older than the last dispatch
    // of this daemon is ignored; after a gap, all entries of the endpoint are uncertain.
    void onEvents(const std::string &endpoint, const std::vector<cache_event> &events, time_point now);
    // The endpoint was removed from the host list: its cache is considered lost, and its pending releases are dropped.
    void onEndpointRemoved(const std::string &endpoint);

    // Estimated number of tokens of the program's history in the endpoint's cache.
    [[nodiscard]] token_count cachedTokens(const program_key &key, const std::string &endpoint) const;
    [[nodiscard]] std::vector<std::string> holders(const program_key &key) const;
    // The program's prefixes, some of which may be stale (see estimatedTokens()). Does not allocate, since every
    // scheduling decision calls it.
    [[nodiscard]] std::span<const cached_prefix> cachedPrefixes(const program_key &key) const;
    // Estimated tokens of a prefix: 0 if the endpoint was replaced, half after a gap in its events, since an eviction
    // event may have been lost.
    [[nodiscard]] token_count estimatedTokens(const cached_prefix &prefix) const;
    [[nodiscard]] const std::string &endpointName(std::uint32_t endpoint) const;
    // Restores the holders recorded in the journal after a takeover.
    void restore(const program_key &key, const std::vector<std::string> &endpoints, token_count tokens, time_point now);

    // The program has ended: releases its cache on `endpoints` and on all other known holders.
    void releaseProgram(const program_key &key, const std::vector<std::string> &endpoints, time_point now);
    // Returns the releases to send now; they are in flight until onReleased() or their timeout.
    [[nodiscard]] std::vector<cache_release> takeDueReleases(time_point now);
    // Returns true if the release is complete and will not be retried.
    bool onReleased(const cache_release &release, bool acknowledged, time_point now);
    [[nodiscard]] std::vector<cache_release> pendingReleases() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct endpoint_state
    {
        std::string name;
        std::uint32_t generation = 0;
        std::uint32_t eventGaps = 0;
        std::uint64_t lastSequence = 0; // 0 before the first event.
    };
    struct release_state
    {
        time_point due; // Time of the next attempt; while in flight, its timeout.
        std::chrono::milliseconds delay{0};
        bool inFlight = false;
    };
    using release_key = std::pair<std::string, std::string>; // Endpoint, program.
    using release_map = std::map<release_key, release_state>;

    std::uint32_t indexOf(const std::string &endpoint);
    [[nodiscard]] cached_prefix *find(const program_key &key, std::uint32_t endpoint);
    // Returns the known program whose toString() is `text`; null if there is none.
    [[nodiscard]] const program_key *findProgram(const std::string &text) const;
    void applyEvent(std::uint32_t endpoint, const cache_event &event, time_point now);
    void schedule(release_map::iterator release, time_point due, bool inFlight);
    void unschedule(release_map::iterator release);

    cache_options m_options;
    std::vector<endpoint_state> m_endpoints;
    std::unordered_map<std::string, std::uint32_t> m_endpointIndex;
    std::unordered_map<program_key, std::vector<cached_prefix>> m_programs;
    release_map m_releases;
    std::set<std::pair<time_point, release_key>> m_dueReleases; // Releases that wait for their next attempt, by time.
    std::set<std::pair<time_point, release_key>> m_inFlightReleases; // Releases in flight, by their timeout.
};

} // namespace jackdawpick
