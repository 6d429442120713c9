#pragma once

// Where the prefix caches of programs are, and which of them are to be released.
//
//   cache_directory caches;
//   caches.onServed(key, endpoint, tokens, now);      // after a model call
//   caches.programGone(key, holders, now);            // starts releases on every holder
//   for (auto &release : caches.dueReleases(now)) { ... }

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
    std::chrono::milliseconds releaseRetry{500}; // First delay; doubles up to maxReleaseRetry.
    std::chrono::milliseconds maxReleaseRetry{30000};
    std::chrono::milliseconds releaseTimeout{5000};
    std::uint32_t maxReleasesInFlight = 64;
    std::chrono::milliseconds eventLag{2000}; // Cache events describe a state at most this old.
};

// A prefix that an endpoint is believed to hold.
struct cached_prefix
{
    std::uint32_t endpoint = 0; // Index for cache_directory::endpointName().
    std::uint32_t generation = 0; // Of the endpoint; an older one means that the endpoint has lost its cache.
    std::uint32_t gaps = 0; // Gaps in the endpoint's events when this was last confirmed.
    bool awaitsStored = false; // Served, and the engine's own event has not come yet.
    token_count tokens = 0;
    time_point servedAt;
};

class cache_directory
{
public:
    explicit cache_directory(cache_options options);

    // The endpoint now holds the first `tokens` tokens of the program's history.
    void onServed(const program_key &key, const std::string &endpoint, token_count tokens, time_point now);
    // Applies cache events, which come late and with gaps: an eviction older than the last own dispatch is ignored; a
    // gap makes entries of that endpoint uncertain.
    void onEvents(const std::string &endpoint, const std::vector<cache_event> &events, time_point now);
    // The endpoint died or was replaced: nothing is cached there any more, its pending releases are done.
    void onEndpointRemoved(const std::string &endpoint);

    // Tokens of the program's history that the endpoint is believed to hold.
    [[nodiscard]] token_count cachedTokens(const program_key &key, const std::string &endpoint) const;
    [[nodiscard]] std::vector<std::string> holders(const program_key &key) const;
    // Without allocation, for decisions: the program's prefixes, some of which may be stale (see heldTokens()).
    [[nodiscard]] std::span<const cached_prefix> cachedPrefixes(const program_key &key) const;
    // Tokens of a prefix: 0 if the endpoint was replaced, half after a gap in its events, since an eviction may be
    // lost.
    [[nodiscard]] token_count estimatedTokens(const cached_prefix &prefix) const;
    [[nodiscard]] const std::string &endpointName(std::uint32_t endpoint) const;
    // Restores what the journal says after a takeover.
    void restore(const program_key &key, const std::vector<std::string> &endpoints, token_count tokens, time_point now);

    // The program has ended: releases its cache on `endpoints` and wherever else it is known.
    void releaseProgram(const program_key &key, const std::vector<std::string> &endpoints, time_point now);
    [[nodiscard]] std::vector<cache_release> takeDueReleases(time_point now);
    // Returns true when the release is done for good.
    bool onReleased(const cache_release &release, bool acknowledged, time_point now);
    [[nodiscard]] std::vector<cache_release> pendingReleases() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct endpoint_state
    {
        std::string name;
        std::uint32_t generation = 0;
        std::uint32_t gaps = 0;
        std::uint64_t lastSequence = 0; // 0 before the first event.
    };
    struct release_state
    {
        time_point due; // Of the next attempt; while in flight, when the attempt counts as lost.
        std::chrono::milliseconds delay{0};
        bool inFlight = false;
    };
    using release_key = std::pair<std::string, std::string>; // Endpoint, program.
    using release_map = std::map<release_key, release_state>;

    std::uint32_t indexOf(const std::string &endpoint);
    [[nodiscard]] cached_prefix *find(const program_key &key, std::uint32_t endpoint);
    // The known program that toString() prints as `text`; null if there is none.
    [[nodiscard]] const program_key *findProgram(const std::string &text) const;
    void applyEvent(std::uint32_t endpoint, const cache_event &event, time_point now);
    void schedule(release_map::iterator release, time_point due, bool inFlight);
    void unschedule(release_map::iterator release);

    cache_options m_options;
    std::vector<endpoint_state> m_endpoints;
    std::unordered_map<std::string, std::uint32_t> m_endpointIndex;
    std::unordered_map<program_key, std::vector<cached_prefix>> m_programs;
    release_map m_releases;
    std::set<std::pair<time_point, release_key>> m_due; // Releases that wait for their next attempt.
    std::set<std::pair<time_point, release_key>> m_sent; // Releases in flight, by their timeout.
};

} // namespace jackdawpick
