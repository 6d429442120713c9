#include "endpoints/endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawpick
{

namespace
{

constexpr double averageWeight = 0.1; // Of a new sample in a moving average.
constexpr double promptChunk = 512; // Tokens; the time to first token is compared per chunk of uncached prompt.
constexpr std::size_t maxLoadChanges = 256; // Bound where no reports arrive.
constexpr std::chrono::milliseconds sharedDeath{1000}; // Losses on one endpoint within this count as one death.

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

void average(double &value, double sample)
{
    value = value == 0 ? sample : value + averageWeight * (sample - value);
}

} // namespace

std::string_view nameOf(circuit_state state)
{
    constexpr std::array<std::string_view, 3> names{"closed", "open", "half_open"};
    return names.at(static_cast<std::size_t>(state));
}

// The seed is part of the interface for policies that draw; health needs no randomness.
endpoint_table::endpoint_table(endpoint_options options, std::uint64_t /*seed*/)
    : m_options(options)
{
}

endpoint_table::entry &endpoint_table::at(endpoint_id id)
{
    return m_entries.at(static_cast<std::size_t>(id));
}

const endpoint_table::entry &endpoint_table::at(endpoint_id id) const
{
    return m_entries.at(static_cast<std::size_t>(id));
}

endpoint_table::entry &endpoint_table::addEndpoint(const host_entry &host)
{
    const auto id = static_cast<endpoint_id>(m_entries.size());
    m_byName.emplace(host.name, id);
    entry &added = m_entries.emplace_back();
    added.view.id = id;
    added.view.name = host.name;
    added.openFor = m_options.openFor;
    added.limit = m_options.initialLimit;
    added.view.limit = m_options.initialLimit;
    return added;
}

void endpoint_table::applyHostList(const std::vector<host_entry> &hosts, time_point now)
{
    forgetOld(now);
    std::ranges::for_each(m_entries, [](entry &each) { each.view.listed = false; });
    std::ranges::for_each(m_pools, [](auto &each) { each.second.members.clear(); });
    for (const host_entry &host : hosts) {
        if (host.kind == host_kind::Daemon) {
            continue;
        }
        const auto known = m_byName.find(host.name);
        entry &each = known == m_byName.end() ? addEndpoint(host) : at(known->second);
        // A host that comes back at another address is a replacement: what was learnt about the old one is void.
        if (each.view.address != host.address) {
            each.view.leaving = false;
            each.view.circuit = circuit_state::Closed;
            each.failures = 0;
            each.openFor = m_options.openFor;
        }
        // The list lags behind the other two sources, so it sets the leaving mark at once but clears it only after it
        // has contradicted them for a while: then a fresh instance runs under the same name.
        if (host.leaving) {
            each.view.leaving = true;
            each.leavingSince = now;
        } else if (now - each.leavingSince >= m_options.leavingMemory) {
            each.view.leaving = false;
        }
        each.view.listed = true;
        each.view.address = host.address;
        each.view.zone = host.zone;
        each.view.kind = host.kind == host_kind::Engine ? endpoint_kind::Engine : endpoint_kind::Service;
        each.view.checksFencing = host.checksFencing;
        if (host.slots != 0) {
            each.view.slots = host.slots;
        }
        if (each.view.pool != host.pool) {
            for (const running_call &call : each.running) {
                --m_pools[each.view.pool].inFlight.at(call.rank);
                ++m_pools[host.pool].inFlight.at(call.rank);
            }
            each.view.pool = host.pool;
        }
        m_pools[host.pool].members.push_back(each.view.id);
    }
}

bool endpoint_table::markLeaving(const std::string &name, time_point now)
{
    const auto known = m_byName.find(name);
    if (known == m_byName.end()) {
        return false;
    }
    entry &each = at(known->second);
    each.leavingSince = now;
    return !std::exchange(each.view.leaving, true);
}

void endpoint_table::onLoad(endpoint_id id, const load_report &report, time_point now)
{
    entry &each = at(id);
    each.view.load = report;
    each.view.loadAt = now;
    each.lastSign = now;
    if (report.slots != 0) {
        each.view.slots = report.slots;
    }
    const time_point covered = now - m_options.reportLag;
    std::erase_if(each.changes, [covered](const load_change &change) { return change.at <= covered; });
    each.correction = 0;
    for (const load_change &change : each.changes) {
        each.correction += change.change;
    }
}

void endpoint_table::recordChange(entry &which, std::int32_t change, time_point now) const
{
    if (which.changes.size() >= maxLoadChanges) {
        which.changes.erase(which.changes.begin(), which.changes.begin() + maxLoadChanges / 2);
    }
    which.changes.push_back({.at = now, .change = change});
    which.correction += change;
}

void endpoint_table::onDispatched(endpoint_id id, digest content, token_count /*expectedTokens*/, time_point now,
                                  rank_index rank)
{
    entry &each = at(id);
    bool probe = false;
    if (each.view.circuit == circuit_state::Open && now >= each.openUntil) {
        each.view.circuit = circuit_state::HalfOpen;
        each.probing = true;
        probe = true;
    }
    const auto counted = static_cast<rank_index>(std::min<std::size_t>(rank, maxRanks - 1));
    each.running.push_back({.content = content, .rank = counted, .probe = probe, .since = now});
    each.view.inFlight = static_cast<std::uint32_t>(each.running.size());
    ++m_pools[each.view.pool].inFlight.at(counted);
    recordChange(each, 1, now);
}

std::optional<endpoint_table::running_call> endpoint_table::end(endpoint_id id, digest content, time_point now)
{
    entry &each = at(id);
    const auto found = std::ranges::find(each.running, content, &running_call::content);
    if (found == each.running.end()) {
        return std::nullopt;
    }
    const running_call ended = *found;
    *found = each.running.back();
    each.running.pop_back();
    each.view.inFlight = static_cast<std::uint32_t>(each.running.size());
    --m_pools[each.view.pool].inFlight.at(ended.rank);
    if (ended.probe) {
        each.probing = false;
    }
    recordChange(each, -1, now);
    return ended;
}

void endpoint_table::onFinished(endpoint_id id, digest content, const usage &used, duration firstToken, duration total,
                                time_point now)
{
    const auto ended = end(id, content, now);
    if (!ended) {
        return;
    }
    entry &each = at(id);
    each.lastSign = now;
    recordSuccess(each);
    m_suspects.erase(content); // It ran to its end elsewhere, so it is not what kills endpoints.
    clearDeaths(id, ended->since);
    average(each.view.secondsPerCall, seconds(total));
    const double decoding = seconds(total - firstToken);
    if (used.completionTokens > 1 && decoding > 0) {
        average(each.view.tokensPerSecond, static_cast<double>(used.completionTokens) / decoding);
    }
    const auto uncached = static_cast<double>(used.promptTokens - std::min(used.promptTokens, used.cachedTokens));
    if (uncached >= promptChunk && firstToken > duration::zero()) {
        average(each.view.prefillTokensPerSecond, uncached / seconds(firstToken));
    }
    adaptLimit(each, used, firstToken, now);
}

// A call that ran from `since` until now proves that the endpoint lived all the time: connections that broke in between
// were not lost by its death.
void endpoint_table::clearDeaths(endpoint_id id, time_point since)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        auto &deaths = next->second.deaths;
        std::erase_if(deaths, [&](const death &each) { return each.endpoint == id && each.at >= since; });
        next = deaths.empty() ? m_suspects.erase(next) : std::next(next);
    }
}

void endpoint_table::recordSuccess(entry &which) const
{
    which.failures = 0;
    which.view.circuit = circuit_state::Closed;
    which.openFor = m_options.openFor;
}

// Additive increase by one per `limit` answers, decrease by a tenth at most once per average call. The time to first
// token is taken per prompt chunk, since a long prompt is no sign of overload.
void endpoint_table::adaptLimit(entry &which, const usage &used, duration firstToken, time_point now) const
{
    const auto uncached = static_cast<double>(used.promptTokens - std::min(used.promptTokens, used.cachedTokens));
    const double latency = seconds(firstToken) / (1 + uncached / promptChunk);
    constexpr double drift = 1.001; // Lets the minimum follow an endpoint that became slower for good.
    which.bestLatency = which.bestLatency == 0 ? latency : std::min(which.bestLatency * drift, latency);
    const duration pause =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(which.view.secondsPerCall));
    if (latency > std::max(which.bestLatency * m_options.latencyTolerance, seconds(m_options.latencyFloor))) {
        if (now - which.decreasedAt >= pause) {
            which.limit = std::max<double>(m_options.minLimit, which.limit * 0.9);
            which.decreasedAt = now;
        }
    } else if (2 * (which.view.inFlight + 1) >= which.view.limit) {
        which.limit = std::min<double>(m_options.maxLimit, which.limit + 1 / which.limit);
    }
    which.view.limit = static_cast<std::uint32_t>(which.limit);
}

void endpoint_table::onCancelled(endpoint_id id, digest content, time_point now)
{
    const auto ended = end(id, content, now);
    // A cancelled probe says nothing; the next call probes again.
    if (ended && ended->probe && at(id).view.circuit == circuit_state::HalfOpen) {
        at(id).view.circuit = circuit_state::Open;
    }
}

void endpoint_table::recordFailure(entry &which, bool probe, time_point now)
{
    ++which.failures;
    if (probe) {
        which.openFor = std::min<duration>(which.openFor * 2, m_options.maxOpenFor);
    } else if (which.view.circuit != circuit_state::Closed || which.failures < m_options.failuresToOpen) {
        return; // Calls dispatched before the circuit opened say nothing new.
    }
    which.view.circuit = circuit_state::Open;
    which.openUntil = now + which.openFor;
}

std::vector<digest> endpoint_table::onFailed(endpoint_id id, digest content, const endpoint_failure &failure,
                                             time_point now)
{
    const auto ended = end(id, content, now);
    if (!ended) {
        return {};
    }
    entry &each = at(id);
    bool counts = false;
    switch (failure.kind) {
    case failure_kind::ConnectFailed:
    case failure_kind::ConnectionLost:
        counts = true;
        break;
    case failure_kind::Refused:
        each.limit = std::max<double>(m_options.minLimit, each.limit * 0.9);
        each.view.limit = static_cast<std::uint32_t>(each.limit);
        break;
    case failure_kind::Rejected:
        counts = failure.httpStatus >= 500;
        each.lastSign = now;
        break;
    case failure_kind::Silent:
    case failure_kind::DeadlinePassed:
        // One connection may be silent while the endpoint works: only without any other sign it counts.
        counts = each.lastSign < ended->since;
        break;
    }
    if (counts) {
        recordFailure(each, ended->probe, now);
    } else if (ended->probe) {
        each.view.circuit = circuit_state::Open;
    }
    if (failure.kind == failure_kind::ConnectionLost && failure.bytesOffered && blame(id, content, now)) {
        return {content};
    }
    return {};
}

bool endpoint_table::isSuspect(digest content, time_point now) const
{
    const auto found = m_suspects.find(content);
    return found != m_suspects.end() && found->second.until > now;
}

// A digest is quarantined after its connection broke on two endpoints, unless another suspect ran on the same endpoint
// until the same death: then it is not known which of them is to blame, and both run apart from each other next. At
// most one digest per death is therefore quarantined, however many calls the endpoint ran.
bool endpoint_table::blame(endpoint_id id, digest content, time_point now)
{
    entry &each = at(id);
    std::erase_if(each.lost, [now](const lost_call &lost) { return lost.at + sharedDeath < now; });
    const bool wasSuspect = isSuspect(content, now);
    const auto other = [&](digest which) {
        return which != content && isSuspect(which, now);
    };
    const bool shared = std::ranges::any_of(each.lost, other, &lost_call::content)
        || std::ranges::any_of(each.running, other, &running_call::content);
    suspect &record = m_suspects[content];
    if (!wasSuspect) {
        record.deaths.clear();
    } else {
        each.lost.push_back({.content = content, .at = now});
    }
    record.until = now + m_options.suspectMemory;
    if (std::ranges::find(record.deaths, id, &death::endpoint) == record.deaths.end()) {
        record.deaths.push_back({.endpoint = id, .at = now});
    }
    if (record.deaths.size() < m_options.crashesToQuarantine || (wasSuspect && shared)) {
        return false;
    }
    m_suspects.erase(content);
    m_quarantine[content] = now + m_options.quarantineFor;
    return true;
}

bool endpoint_table::runsOtherSuspect(endpoint_id id, digest content, time_point now) const
{
    if (m_suspects.empty() || !isSuspect(content, now)) {
        return false;
    }
    return std::ranges::any_of(at(id).running, [&](const running_call &call) {
        return call.content != content && isSuspect(call.content, now);
    });
}

void endpoint_table::addQuarantine(digest content, time_point now)
{
    m_suspects.erase(content);
    m_quarantine[content] = now + m_options.quarantineFor;
}

bool endpoint_table::isQuarantined(digest content, time_point now) const
{
    const auto found = m_quarantine.find(content);
    return found != m_quarantine.end() && found->second > now;
}

void endpoint_table::forgetOld(time_point now)
{
    std::erase_if(m_suspects, [now](const auto &each) { return each.second.until <= now; });
    std::erase_if(m_quarantine, [now](const auto &each) { return each.second <= now; });
}

bool endpoint_table::accepts(endpoint_id id, time_point now) const
{
    const entry &each = at(id);
    if (!each.view.listed || each.view.leaving) {
        return false;
    }
    if (each.view.circuit != circuit_state::Closed) {
        return each.view.circuit == circuit_state::Open && now >= each.openUntil && !each.probing;
    }
    return each.view.inFlight < each.view.limit;
}

double endpoint_table::load(endpoint_id id, time_point now) const
{
    const entry &each = at(id);
    double calls = each.view.inFlight;
    if (each.view.loadAt && now - *each.view.loadAt <= m_options.reportMemory) {
        const double reported = static_cast<double>(each.view.load.running) + each.view.load.queued;
        calls = std::max(calls, reported + each.correction);
    }
    return calls / std::max<std::uint32_t>(each.view.slots, 1);
}

const std::vector<endpoint_id> &endpoint_table::pool(const std::string &name) const
{
    static const std::vector<endpoint_id> none;
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? none : found->second.members;
}

const std::array<std::uint32_t, maxRanks> &endpoint_table::inFlight(const std::string &poolName) const
{
    static const std::array<std::uint32_t, maxRanks> none{};
    const auto found = m_pools.find(poolName);
    return found == m_pools.end() ? none : found->second.inFlight;
}

const endpoint_view &endpoint_table::view(endpoint_id id) const
{
    return at(id).view;
}

std::optional<endpoint_id> endpoint_table::find(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? std::nullopt : std::optional(found->second);
}

std::vector<endpoint_id> endpoint_table::all() const
{
    std::vector<endpoint_id> ids;
    ids.reserve(m_entries.size());
    std::ranges::transform(m_entries, std::back_inserter(ids), [](const entry &each) { return each.view.id; });
    return ids;
}

// When a circuit becomes due for a probe, so that calls that wait for it are assigned again.
std::optional<time_point> endpoint_table::nextDeadline() const
{
    std::optional<time_point> next;
    for (const entry &each : m_entries) {
        const bool waits = each.view.listed && !each.view.leaving && each.view.circuit == circuit_state::Open;
        if (waits && !each.probing && (!next || each.openUntil < *next)) {
            next = each.openUntil;
        }
    }
    return next;
}

} // namespace jackdawpick
