#pragma once

// Where the prefix caches of programs are, and which of them are to be released.
//
//   cache_directory caches;
//   caches.onServed(key, endpoint, tokens, now);      // after a model call
//   caches.programGone(key, holders, now);            // starts releases on every holder
//   for (auto &release : caches.dueReleases(now)) { ... }

#include "endpoints/endpoints.h"

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
    void onEndpointGone(const std::string &endpoint);

    // Tokens of the program's history that the endpoint is believed to hold.
    [[nodiscard]] token_count cachedTokens(const program_key &key, const std::string &endpoint) const;
    [[nodiscard]] std::vector<std::string> holders(const program_key &key) const;
    // Restores what the journal says after a takeover.
    void restore(const program_key &key, const std::vector<std::string> &endpoints, token_count tokens, time_point now);

    // The program has ended: releases its cache on `endpoints` and wherever else it is known.
    void programGone(const program_key &key, const std::vector<std::string> &endpoints, time_point now);
    [[nodiscard]] std::vector<cache_release> dueReleases(time_point now);
    // Returns true when the release is done for good.
    bool onReleased(const cache_release &release, bool acknowledged, time_point now);
    [[nodiscard]] std::vector<cache_release> pendingReleases() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
};

} // namespace jackdawpick
