#include "endpoints/endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawpick
{

namespace
{

constexpr double smoothingFactor = 0.1; // Weight of a new sample in an exponential moving average.
constexpr double promptChunkTokens = 512; // The time to first token is compared per chunk of uncached prompt.
constexpr std::size_t maxLoadChanges = 256; // Limits memory if no load reports arrive.
constexpr std::chrono::milliseconds sharedCrashWindow{1000}; // Losses on one endpoint within this time are one crash.

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

void updateAverage(double &value, double sample)
{
    value = value == 0 ? sample : value + smoothingFactor * (sample - value);
}

} // namespace

std::string_view nameOf(circuit_state state)
{
    constexpr std::array<std::string_view, 3> names{"closed", "open", "half_open"};
    return names.at(static_cast<std::size_t>(state));
}

// The seed is for policies that need randomness; health tracking uses none.
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
    added.openDuration = m_options.openDuration;
    added.limit = m_options.initialLimit;
    added.view.limit = m_options.initialLimit;
    return added;
}

void endpoint_table::applyHostList(const std::vector<host_entry> &hosts, time_point now)
{
    evictExpired(now);
    std::ranges::for_each(m_entries, [](entry &each) { each.view.listed = false; });
    std::ranges::for_each(m_pools, [](auto &each) { each.second.members.clear(); });
    for (const host_entry &host : hosts) {
        if (host.kind == host_kind::Daemon) {
            continue;
        }
        const auto known = m_byName.find(host.name);
        entry &each = known == m_byName.end() ? addEndpoint(host) : at(known->second);
        // A host that returns with another address is a replacement, so the health state of the old one is reset.
        if (each.view.address != host.address) {
            each.view.leaving = false;
            each.view.circuit = circuit_state::Closed;
            each.failures = 0;
            each.openDuration = m_options.openDuration;
        }
        // The list lags behind the endpoint's own answers and notices of other daemons. It therefore sets the leaving
        // mark at once but clears it only after leavingRetention: by then a new instance runs under the same name.
        if (host.leaving) {
            each.view.leaving = true;
            each.leavingSince = now;
        } else if (now - each.leavingSince >= m_options.leavingRetention) {
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
    each.lastActivity = now;
    if (report.slots != 0) {
        each.view.slots = report.slots;
    }
    const time_point covered = now - m_options.reportDelay;
    std::erase_if(each.changes, [covered](const load_change &change) { return change.at <= covered; });
    each.correction = 0;
    for (const load_change &change : each.changes) {
        each.correction += change.change;
    }
}

void endpoint_table::recordChange(entry &target, std::int32_t change, time_point now) const
{
    if (target.changes.size() >= maxLoadChanges) {
        target.changes.erase(target.changes.begin(), target.changes.begin() + maxLoadChanges / 2);
    }
    target.changes.push_back({.at = now, .change = change});
    target.correction += change;
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

std::optional<endpoint_table::running_call> endpoint_table::endCall(endpoint_id id, digest content, time_point now)
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
    const auto ended = endCall(id, content, now);
    if (!ended) {
        return;
    }
    entry &each = at(id);
    each.lastActivity = now;
    recordSuccess(each);
    m_suspects.erase(content); // It has completed, so it is not the cause of crashes.
    clearCrashes(id, ended->since);
    updateAverage(each.view.secondsPerCall, seconds(total));
    const double decoding = seconds(total - firstToken);
    if (used.completionTokens > 1 && decoding > 0) {
        updateAverage(each.view.tokensPerSecond, static_cast<double>(used.completionTokens) / decoding);
    }
    const auto uncached = static_cast<double>(used.promptTokens - std::min(used.promptTokens, used.cachedTokens));
    if (uncached >= promptChunkTokens && firstToken > duration::zero()) {
        updateAverage(each.view.prefillTokensPerSecond, uncached / seconds(firstToken));
    }
    adaptLimit(each, used, firstToken, now);
}

// A call that ran from `since` until now proves that the endpoint did not crash in between, so connections that were
// lost in this time are not evidence of a crash.
void endpoint_table::clearCrashes(endpoint_id id, time_point since)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        auto &crashes = next->second.crashes;
        std::erase_if(crashes, [&](const endpoint_crash &each) { return each.endpoint == id && each.at >= since; });
        next = crashes.empty() ? m_suspects.erase(next) : std::next(next);
    }
}

void endpoint_table::recordSuccess(entry &target) const
{
    target.failures = 0;
    target.view.circuit = circuit_state::Closed;
    target.openDuration = m_options.openDuration;
}

// Additive increase by one per `limit` answers; multiplicative decrease by a tenth, at most once per average call
// duration. The time to first token is taken per prompt chunk, since a long prompt does not indicate overload.
void endpoint_table::adaptLimit(entry &target, const usage &used, duration firstToken, time_point now) const
{
    const auto uncached = static_cast<double>(used.promptTokens - std::min(used.promptTokens, used.cachedTokens));
    const double latency = seconds(firstToken) / (1 + uncached / promptChunkTokens);
    constexpr double minimumGrowth = 1.001; // Lets the minimum adapt to an endpoint that has become permanently slower.
    target.bestLatency = target.bestLatency == 0 ? latency : std::min(target.bestLatency * minimumGrowth, latency);
    const duration minDecreaseInterval =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(target.view.secondsPerCall));
    if (latency > std::max(target.bestLatency * m_options.latencyTolerance, seconds(m_options.minOverloadLatency))) {
        if (now - target.decreasedAt >= minDecreaseInterval) {
            target.limit = std::max<double>(m_options.minLimit, target.limit * 0.9);
            target.decreasedAt = now;
        }
    } else if (2 * (target.view.inFlight + 1) >= target.view.limit) {
        target.limit = std::min<double>(m_options.maxLimit, target.limit + 1 / target.limit);
    }
    target.view.limit = static_cast<std::uint32_t>(target.limit);
}

void endpoint_table::onCancelled(endpoint_id id, digest content, time_point now)
{
    const auto ended = endCall(id, content, now);
    // A cancelled probe has no result, so the next call is a probe again.
    if (ended && ended->probe && at(id).view.circuit == circuit_state::HalfOpen) {
        at(id).view.circuit = circuit_state::Open;
    }
}

void endpoint_table::recordFailure(entry &target, bool probe, time_point now)
{
    ++target.failures;
    if (probe) {
        target.openDuration = std::min<duration>(target.openDuration * 2, m_options.maxOpenDuration);
    } else if (target.view.circuit != circuit_state::Closed || target.failures < m_options.failureThreshold) {
        return; // Below the threshold, or a call that was dispatched before the circuit opened.
    }
    target.view.circuit = circuit_state::Open;
    target.openUntil = now + target.openDuration;
}

std::vector<digest> endpoint_table::onFailed(endpoint_id id, digest content, const endpoint_failure &failure,
                                             time_point now)
{
    const auto ended = endCall(id, content, now);
    if (!ended) {
        return {};
    }
    entry &each = at(id);
    bool indicatesFailure = false;
    switch (failure.kind) {
    case failure_kind::ConnectFailed:
    case failure_kind::ConnectionLost:
        indicatesFailure = true;
        break;
    case failure_kind::Refused:
        each.limit = std::max<double>(m_options.minLimit, each.limit * 0.9);
        each.view.limit = static_cast<std::uint32_t>(each.limit);
        break;
    case failure_kind::Rejected:
        indicatesFailure = failure.httpStatus >= 500;
        each.lastActivity = now;
        break;
    case failure_kind::Silent:
    case failure_kind::DeadlinePassed:
        // A single connection may hang while the endpoint works. It is a failure of the endpoint only if there was no
        // other activity since the dispatch.
        indicatesFailure = each.lastActivity < ended->since;
        break;
    }
    if (indicatesFailure) {
        recordFailure(each, ended->probe, now);
    } else if (ended->probe) {
        each.view.circuit = circuit_state::Open;
    }
    if (failure.kind == failure_kind::ConnectionLost && failure.bytesOffered && recordCrash(id, content, now)) {
        return {content};
    }
    return {};
}

bool endpoint_table::isSuspect(digest content, time_point now) const
{
    const auto found = m_suspects.find(content);
    return found != m_suspects.end() && found->second.until > now;
}

// A digest is quarantined after its connection was lost on `quarantineThreshold` endpoints, unless another suspect ran
// on the endpoint at the time of the crash. Then the cause is ambiguous, and the suspects are next run on separate
// endpoints. At most one digest is therefore quarantined per crash, however many calls the endpoint ran.
bool endpoint_table::recordCrash(endpoint_id id, digest content, time_point now)
{
    entry &each = at(id);
    std::erase_if(each.lostSuspects, [now](const lost_suspect &lost) { return lost.at + sharedCrashWindow < now; });
    const bool wasSuspect = isSuspect(content, now);
    const auto other = [&](digest target) {
        return target != content && isSuspect(target, now);
    };
    const bool shared = std::ranges::any_of(each.lostSuspects, other, &lost_suspect::content)
        || std::ranges::any_of(each.running, other, &running_call::content);
    suspect &record = m_suspects[content];
    if (!wasSuspect) {
        record.crashes.clear();
    } else {
        each.lostSuspects.push_back({.content = content, .at = now});
    }
    record.until = now + m_options.suspectRetention;
    if (std::ranges::find(record.crashes, id, &endpoint_crash::endpoint) == record.crashes.end()) {
        record.crashes.push_back({.endpoint = id, .at = now});
    }
    if (record.crashes.size() < m_options.quarantineThreshold || (wasSuspect && shared)) {
        return false;
    }
    m_suspects.erase(content);
    m_quarantine[content] = now + m_options.quarantineDuration;
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
    m_quarantine[content] = now + m_options.quarantineDuration;
}

bool endpoint_table::isQuarantined(digest content, time_point now) const
{
    const auto found = m_quarantine.find(content);
    return found != m_quarantine.end() && found->second > now;
}

void endpoint_table::evictExpired(time_point now)
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
    if (each.view.loadAt && now - *each.view.loadAt <= m_options.maxReportAge) {
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

// Earliest time at which a circuit admits a probe, so that waiting calls are assigned then.
std::optional<time_point> endpoint_table::nextDeadline() const
{
    std::optional<time_point> next;
    for (const entry &each : m_entries) {
        const bool awaitsProbe = each.view.listed && !each.view.leaving && each.view.circuit == circuit_state::Open;
        if (awaitsProbe && !each.probing && (!next || each.openUntil < *next)) {
            next = each.openUntil;
        }
    }
    return next;
}

} // namespace jackdawpick
