#include "cache/cache.h"

#include <algorithm>

namespace jackdawpick
{

cache_directory::cache_directory(cache_options options)
    : m_options(options)
{
}

std::uint32_t cache_directory::indexOf(const std::string &endpoint)
{
    const auto [place, added] = m_endpointIndex.try_emplace(endpoint, static_cast<std::uint32_t>(m_endpoints.size()));
    if (added) {
        m_endpoints.push_back({.name = endpoint});
    }
    return place->second;
}

cached_prefix *cache_directory::find(const program_key &key, std::uint32_t endpoint)
{
    const auto program = m_programs.find(key);
    if (program == m_programs.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find(program->second, endpoint, &cached_prefix::endpoint);
    return found == program->second.end() ? nullptr : &*found;
}

void cache_directory::onServed(const program_key &key, const std::string &endpoint, token_count tokens, time_point now)
{
    const std::uint32_t index = indexOf(endpoint);
    const endpoint_state &state = m_endpoints[index];
    cached_prefix *prefix = find(key, index);
    if (prefix == nullptr) {
        prefix = &m_programs[key].emplace_back();
    }
    *prefix = {.endpoint = index,
               .generation = state.generation,
               .eventGaps = state.eventGaps,
               .awaitsStoredEvent = true,
               .tokens = tokens,
               .servedAt = now};
}

// Both customer and program may contain the separator, so every split is tried; both parts must match exactly.
const program_key *cache_directory::findProgram(const std::string &text) const
{
    for (auto split = text.find('/'); split != std::string::npos; split = text.find('/', split + 1)) {
        const auto found = m_programs.find({.customer = text.substr(0, split), .program = text.substr(split + 1)});
        if (found != m_programs.end()) {
            return &found->first;
        }
    }
    return nullptr;
}

void cache_directory::onEvents(const std::string &endpoint, const std::vector<cache_event> &events, time_point now)
{
    const std::uint32_t index = indexOf(endpoint);
    for (const cache_event &event : events) {
        endpoint_state &state = m_endpoints[index];
        if (event.sequence <= state.lastSequence) {
            continue; // Duplicate.
        }
        if (state.lastSequence != 0 && event.sequence != state.lastSequence + 1) {
            ++state.eventGaps;
        }
        state.lastSequence = event.sequence;
        applyEvent(index, event, now);
    }
}

void cache_directory::applyEvent(std::uint32_t endpoint, const cache_event &event, time_point now)
{
    const program_key *key = findProgram(event.program);
    cached_prefix *prefix = key == nullptr ? nullptr : find(*key, endpoint);
    if (prefix == nullptr || prefix->generation != m_endpoints[endpoint].generation) {
        return; // Not tracked: a program of another daemon, or the endpoint has lost its cache since.
    }
    if (event.stored) {
        if (event.tokens >= prefix->tokens) {
            prefix->awaitsStoredEvent = false;
            prefix->eventGaps = m_endpoints[endpoint].eventGaps;
        }
        return;
    }
    // Until the engine's event for the last call arrives, an eviction is older than that call. After the maximum delay
    // that event is assumed to be lost, and evictions are applied again.
    if (prefix->awaitsStoredEvent && now - prefix->servedAt < m_options.maxEventDelay) {
        return;
    }
    prefix->tokens -= std::min(prefix->tokens, event.tokens);
}

void cache_directory::onEndpointRemoved(const std::string &endpoint)
{
    const auto known = m_endpointIndex.find(endpoint);
    if (known != m_endpointIndex.end()) {
        endpoint_state &state = m_endpoints[known->second];
        ++state.generation;
        state.lastSequence = 0;
    }
    auto release = m_releases.lower_bound({endpoint, {}});
    while (release != m_releases.end() && release->first.first == endpoint) {
        unschedule(release);
        release = m_releases.erase(release);
    }
}

token_count cache_directory::estimatedTokens(const cached_prefix &prefix) const
{
    const endpoint_state &state = m_endpoints[prefix.endpoint];
    if (prefix.generation != state.generation) {
        return 0;
    }
    return prefix.eventGaps == state.eventGaps ? prefix.tokens : prefix.tokens / 2;
}

std::span<const cached_prefix> cache_directory::cachedPrefixes(const program_key &key) const
{
    const auto program = m_programs.find(key);
    return program == m_programs.end() ? std::span<const cached_prefix>() : std::span(program->second);
}

const std::string &cache_directory::endpointName(std::uint32_t endpoint) const
{
    return m_endpoints.at(endpoint).name;
}

token_count cache_directory::cachedTokens(const program_key &key, const std::string &endpoint) const
{
    const auto index = m_endpointIndex.find(endpoint);
    if (index == m_endpointIndex.end()) {
        return 0;
    }
    const auto prefixes = cachedPrefixes(key);
    const auto found = std::ranges::find(prefixes, index->second, &cached_prefix::endpoint);
    return found == prefixes.end() ? 0 : estimatedTokens(*found);
}

std::vector<std::string> cache_directory::holders(const program_key &key) const
{
    std::vector<std::string> names;
    for (const cached_prefix &prefix : cachedPrefixes(key)) {
        if (estimatedTokens(prefix) > 0) {
            names.push_back(endpointName(prefix.endpoint));
        }
    }
    return names;
}

void cache_directory::restore(const program_key &key, const std::vector<std::string> &endpoints, token_count tokens,
                              time_point now)
{
    for (const std::string &endpoint : endpoints) {
        onServed(key, endpoint, tokens, now);
    }
}

void cache_directory::unschedule(release_map::iterator release)
{
    (release->second.inFlight ? m_inFlightReleases : m_dueReleases).erase({release->second.due, release->first});
}

void cache_directory::schedule(release_map::iterator release, time_point due, bool inFlight)
{
    unschedule(release);
    release->second.due = due;
    release->second.inFlight = inFlight;
    (inFlight ? m_inFlightReleases : m_dueReleases).insert({due, release->first});
}

void cache_directory::releaseProgram(const program_key &key, const std::vector<std::string> &endpoints, time_point now)
{
    std::set<std::string> targets(endpoints.begin(), endpoints.end());
    for (const cached_prefix &prefix : cachedPrefixes(key)) {
        // The estimate may be wrong even if no tokens are left. A needless release costs one request, which is less
        // than memory that stays in use on the engine.
        if (prefix.generation == m_endpoints[prefix.endpoint].generation) {
            targets.insert(endpointName(prefix.endpoint));
        }
    }
    m_programs.erase(key);
    const std::string program = toString(key);
    for (const std::string &endpoint : targets) {
        const auto [release, added] = m_releases.try_emplace({endpoint, program});
        if (added) {
            release->second.delay = m_options.releaseRetryDelay;
            schedule(release, now, false);
        }
    }
}

std::vector<cache_release> cache_directory::takeDueReleases(time_point now)
{
    // A timeout counts as a failed attempt.
    while (!m_inFlightReleases.empty() && m_inFlightReleases.begin()->first <= now) {
        const release_key timedOut = m_inFlightReleases.begin()->second;
        onReleased({.program = timedOut.second, .endpoint = timedOut.first}, false, now);
    }
    std::vector<cache_release> due;
    while (!m_dueReleases.empty() && m_dueReleases.begin()->first <= now
           && m_inFlightReleases.size() < m_options.maxReleasesInFlight) {
        const auto release = m_releases.find(m_dueReleases.begin()->second);
        due.push_back({.program = release->first.second, .endpoint = release->first.first});
        schedule(release, now + m_options.releaseTimeout, true);
    }
    return due;
}

bool cache_directory::onReleased(const cache_release &release, bool acknowledged, time_point now)
{
    const auto found = m_releases.find({release.endpoint, release.program});
    if (found == m_releases.end()) {
        return true;
    }
    if (acknowledged) {
        unschedule(found);
        m_releases.erase(found);
        return true;
    }
    if (found->second.inFlight) { // A late answer to an attempt that has timed out is ignored.
        schedule(found, now + found->second.delay, false);
        found->second.delay = std::min(found->second.delay * 2, m_options.maxReleaseRetryDelay);
    }
    return false;
}

std::vector<cache_release> cache_directory::pendingReleases() const
{
    std::vector<cache_release> pending;
    pending.reserve(m_releases.size());
    std::ranges::transform(m_releases, std::back_inserter(pending), [](const auto &each) {
        return cache_release{.program = each.first.second, .endpoint = each.first.first};
    });
    return pending;
}

std::optional<time_point> cache_directory::nextDeadline() const
{
    std::optional<time_point> next;
    if (!m_inFlightReleases.empty()) {
        next = m_inFlightReleases.begin()->first;
    }
    // At the limit of releases in flight, a due release waits for an answer or a timeout.
    if (!m_dueReleases.empty() && m_inFlightReleases.size() < m_options.maxReleasesInFlight
        && (!next || m_dueReleases.begin()->first < *next)) {
        next = m_dueReleases.begin()->first;
    }
    return next;
}

} // namespace jackdawpick
