#include "fleet/fleet.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <xxhash.h>

namespace jackdawpick::fleet
{

namespace
{

// Fraction of an endpoint's connection limit that all daemons together may use. The rest is headroom for a daemon that
// has just started.
constexpr double usableConnectionFraction = 0.8;
// Weight of the newest sample in the exponentially weighted moving average.
constexpr double serviceTimeSmoothing = 0.1;
// Speed samples are in all heartbeats of this time. With 340 daemons these are 4 s apart.
constexpr std::chrono::seconds speedSampleLifetime{5};
constexpr std::size_t maxSpeedSamples = 16;

std::uint32_t hashOf(const endpoint_entry &entry)
{
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(entry.id.data(), entry.id.size(), entry.born));
}

} // namespace

bool endpoint_pool::upsert(const endpoint_entry &entry, time_point now)
{
    evictRemoved(now);
    auto &value = m_endpoints[entry.id];
    const bool isChanged = value.entry != entry || value.removedAt.has_value();
    const bool hasRestarted = value.entry.address != entry.address || value.entry.born != entry.born;
    if (hasRestarted) {
        value.failures = 0;
        value.backoffUntil = {};
        value.speed = {};
    }
    if (hasRestarted || value.removedAt.has_value()) {
        value.misdirected = false;
    }
    value.entry = entry;
    value.hash = hashOf(entry);
    value.removedAt.reset();
    return isChanged;
}

void endpoint_pool::remove(const std::string &id, bool mayHaveExpired, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.removedAt.has_value()) {
        return;
    }
    found->second.removedAt = mayHaveExpired ? now + expiryGrace : now;
}

void endpoint_pool::keepOnly(const std::set<std::string> &listed, bool mayHaveExpired, time_point now)
{
    for (const auto &[id, value] : m_endpoints) {
        if (!listed.contains(id)) {
            remove(id, mayHaveExpired, now);
        }
    }
}

void endpoint_pool::markMisdirected(const std::string &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        found->second.misdirected = true;
    }
}

bool endpoint_pool::isLeaving(const endpoint_incarnation &target) const
{
    return m_leaving.contains(target);
}

bool endpoint_pool::onLeavingStated(const endpoint_incarnation &stated, time_point now)
{
    return m_leaving.onStated(stated, now);
}

bool endpoint_pool::onLeavingReported(const endpoint_incarnation &reported, time_point now)
{
    return m_leaving.onReport(reported, now);
}

std::vector<endpoint_incarnation> endpoint_pool::leavingStatements() const
{
    return m_leaving.ownStatements();
}

void endpoint_pool::evictExpiredStatements(time_point now)
{
    m_leaving.evictExpired([this](const auto &stated) { return bornOf(stated.id) == stated.born; }, now);
}

void endpoint_pool::setConnectionLimit(const std::string &service, std::uint32_t maxConnections, std::size_t daemons)
{
    if (maxConnections == 0) {
        m_connectionLimits.erase(service);
        return;
    }
    const double share =
        usableConnectionFraction * maxConnections / static_cast<double>(std::max<std::size_t>(daemons, 1));
    m_connectionLimits[service] = std::max<std::uint32_t>(static_cast<std::uint32_t>(share), 1);
}

void endpoint_pool::setEngineMemory(const std::string &service, std::uint64_t tokens)
{
    m_services[service].prefixes.setMemory(static_cast<double>(tokens));
    m_room.setMemory(service, tokens);
}

void endpoint_pool::setRateLimit(const std::string &id, std::optional<double> rate)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        found->second.rateLimit = rate;
        if (!rate.has_value()) {
            found->second.blockedUntil = {};
        }
    }
}

void endpoint_pool::blockUntil(const std::string &id, time_point when)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        found->second.blockedUntil = when;
    }
}

std::optional<time_point> endpoint_pool::nextUnblocked(const placement_request &request, time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto &[id, value] : m_endpoints) {
        const bool isBlocked = value.entry.service == request.service && isUsable(value, now)
            && value.blockedUntil > now && !request.excluded.contains(id);
        if (isBlocked) {
            earliest = std::min(earliest.value_or(value.blockedUntil), value.blockedUntil);
        }
    }
    return earliest;
}

void endpoint_pool::setPeerLoads(const std::string &peer, const endpoint_loads &loads, time_point now)
{
    auto &report = m_peers[peer];
    report.loads = loads;
    report.receivedAt = now;
}

void endpoint_pool::removePeer(const std::string &peer)
{
    m_peers.erase(peer);
}

std::vector<std::string> endpoint_pool::sampleAddresses(std::size_t count, double randomFraction, time_point now) const
{
    std::vector<std::string> addresses;
    for (const auto &[id, value] : m_endpoints) {
        if (isUsable(value, now)) {
            addresses.push_back(value.entry.address);
        }
    }
    // Evenly spaced from a random start: neighbours in the order of ids are as good as any others.
    std::vector<std::string> sample;
    const auto size = addresses.size();
    const auto start = static_cast<std::size_t>(randomFraction * static_cast<double>(size));
    const auto sampleSize = std::min(count, size);
    for (std::size_t i = 0; i < sampleSize; ++i) {
        sample.push_back(addresses[(start + i * size / sampleSize) % size]);
    }
    return sample;
}

void endpoint_pool::forgetFailures()
{
    for (auto &[id, value] : m_endpoints) {
        value.failures = 0;
        value.backoffUntil = {};
    }
}

void endpoint_pool::onDispatched(const std::string &id, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &value = found->second;
    ++value.inFlight;
    if (value.inFlight >= value.peakInFlight || now - value.peakAt > idleConnectionLifetime) {
        value.peakInFlight = value.inFlight;
        value.peakAt = now;
    }
}

void endpoint_pool::onDispatched(const placement &chosen, time_point now)
{
    const auto found = m_endpoints.find(chosen.id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &value = found->second;
    const auto &reading = chosen.reading;
    value.othersInFlight = std::max(0.0, reading.inFlight - value.inFlight);
    if (reading.promptTokens > 0) {
        auto &service = m_services[value.entry.service];
        const double conversationTokens = reading.promptTokens - reading.firstTokens;
        service.speeds.onConversation(conversationTokens);
        service.prefixes.onRequest(reading.firstPart, reading.firstTokens, conversationTokens, value.entry.slots, now);
    }
    onDispatched(chosen.id, now);
}

void endpoint_pool::onFinished(const std::string &id, request_outcome outcome, std::chrono::milliseconds took,
                               time_point now, std::string_view kind)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &value = found->second;
    value.inFlight -= value.inFlight > 0 ? 1 : 0;
    if (outcome == request_outcome::Answered) {
        const auto time = static_cast<double>(took.count());
        value.smoothedServiceMilliseconds =
            value.smoothedServiceMilliseconds.value_or(time) * (1 - serviceTimeSmoothing) + time * serviceTimeSmoothing;
        value.failures = 0;
        value.backoffUntil = {};
        if (!kind.empty()) {
            auto &speeds = m_services[value.entry.service].speeds;
            speeds.onAnswer(kind, time * value.speed.weight());
            if (const auto typical = speeds.answerTime(kind); typical.has_value()) {
                value.speed.onRelativeTime(time / *typical, now);
            }
        }
    } else if (outcome == request_outcome::Unreachable || outcome == request_outcome::ConnectionLost) {
        const auto backoff = initialBackoff * (1U << std::min(value.failures, 8U));
        // A single lost response is weak evidence against an endpoint; back off only after a second consecutive one or
        // if no connection could be made.
        if (outcome == request_outcome::Unreachable || value.failures > 0) {
            value.backoffUntil = now + std::min<std::chrono::milliseconds>(backoff, maxBackoff);
        }
        ++value.failures;
    }
    evictRemoved(now);
}

void endpoint_pool::onFirstEvent(const std::string &id, const reading_forecast &expected,
                                 std::chrono::milliseconds took, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || expected.promptTokens <= 0 || expected.mayQueue
        || found->second.speed.slowdown(now) > 1) {
        return;
    }
    const auto &value = found->second;
    m_services[value.entry.service].speeds.onFirstEvent(expected.promptTokens - expected.cachedTokens,
                                                        static_cast<double>(took.count()) * value.speed.weight());
}

void endpoint_pool::onStreamEvents(const std::string &id, std::uint32_t count, std::chrono::milliseconds took,
                                   time_point now, std::uint32_t tokensPerEvent)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || count == 0) {
        return;
    }
    auto &value = found->second;
    auto &speeds = m_services[value.entry.service].speeds;
    const double tokens = static_cast<double>(count) * std::max(tokensPerEvent, 1U);
    const double time = static_cast<double>(took.count()) / tokens;
    const double others =
        std::clamp(value.inFlight + value.othersInFlight - 1, 0.0, std::max(value.entry.slots, 1U) - 1.0);
    speeds.onTokenTime(others, time * value.speed.weight());
    const auto typical = speeds.tokenTime(others);
    const auto ratio = typical.has_value() ? value.speed.onRelativeTime(time / *typical, now) : std::nullopt;
    if (ratio.has_value()) {
        ++m_speedSampleCount;
        m_speedSamples.push_back({.sample = {.endpoint = value.hash, .ratio = *ratio}, .at = now});
        if (m_speedSamples.size() > maxSpeedSamples) {
            m_speedSamples.pop_front();
        }
    }
}

speed_samples endpoint_pool::recentSpeedSamples(time_point now) const
{
    speed_samples result{.total = m_speedSampleCount, .latest = {}};
    for (const auto &[sample, at] : m_speedSamples) {
        if (now - at < speedSampleLifetime) {
            result.latest.push_back(sample);
        }
    }
    return result;
}

void endpoint_pool::applySpeedSamples(const std::string &peer, const speed_samples &reported, time_point now)
{
    const auto report = m_peers.find(peer);
    if (report == m_peers.end()) {
        return;
    }
    auto &known = report->second.speedSamples;
    const auto &latest = reported.latest;
    // A smaller total is that of a daemon that has started again.
    const std::size_t added = reported.total >= known ? reported.total - known : latest.size();
    known = reported.total;
    for (auto sample = latest.end() - static_cast<std::ptrdiff_t>(std::min(added, latest.size()));
         sample != latest.end(); ++sample) {
        const auto isMeant = [&sample](const auto &entry) {
            return entry.second.hash == sample->endpoint;
        };
        if (const auto found = std::ranges::find_if(m_endpoints, isMeant); found != m_endpoints.end()) {
            found->second.speed.onReportedRatio(sample->ratio, now);
        }
    }
}

endpoint_loads endpoint_pool::localLoads() const
{
    endpoint_loads loads;
    for (const auto &[id, value] : m_endpoints) {
        if (value.inFlight > 0) {
            loads.push_back(
                {.endpoint = id,
                 .requests = value.inFlight,
                 .tokens = m_room.knowsMemory(value.entry.service) ? std::optional(value.tokens) : std::nullopt});
        }
    }
    return loads;
}

double endpoint_pool::utilisation(const std::string &service, time_point now) const
{
    const auto typical = typicalTimes(service);
    double inFlight = 0;
    double slots = 0;
    std::unordered_set<std::string_view> usable;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && isUsable(value, now)) {
            usable.insert(id);
            inFlight += value.inFlight;
            slots += capacityOf(value, typical.service) / value.speed.slowdown(now);
        }
    }
    for (const auto &[name, peer] : m_peers) {
        for (const auto &load : peer.loads) {
            inFlight += usable.contains(load.endpoint) ? load.requests : 0;
        }
    }
    return slots > 0 ? inFlight / slots : 0;
}

std::size_t endpoint_pool::size() const
{
    return m_endpoints.size();
}

std::vector<service_speed_report> endpoint_pool::speeds(time_point now) const
{
    std::vector<service_speed_report> reports;
    for (const auto &[service, state] : m_services) {
        service_speed_report report{.service = service,
                                    .typical = state.speeds.typical(),
                                    .tokenMilliseconds = state.speeds.tokenTime(0),
                                    .holderShare = state.prefixes.holderShare()};
        for (const auto &[id, value] : m_endpoints) {
            const double slowdown = value.speed.slowdown(now);
            if (value.entry.service == service && (value.speed.weight() != 1 || slowdown > 1)) {
                report.unusual.push_back(
                    {.id = id, .lasting = value.speed.lasting(), .weight = value.speed.weight(), .slowdown = slowdown});
            }
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

bool endpoint_pool::takesRequests(const endpoint_incarnation &target, time_point now) const
{
    const auto found = m_endpoints.find(target.id);
    return found != m_endpoints.end() && found->second.entry.born == target.born && isUsable(found->second, now);
}

bool endpoint_pool::isListed(const endpoint_incarnation &target, time_point now) const
{
    const auto found = m_endpoints.find(target.id);
    return found != m_endpoints.end() && found->second.entry.born == target.born && isListed(found->second, now);
}

bool endpoint_pool::hasAnnouncedLeaving(const std::string &id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (found->second.entry.draining || isLeaving({id, found->second.entry.born}));
}

std::optional<std::uint64_t> endpoint_pool::bornOf(const std::string &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? std::nullopt : std::optional(found->second.entry.born);
}

std::optional<std::string> endpoint_pool::addressOf(const endpoint_incarnation &target) const
{
    const auto found = m_endpoints.find(target.id);
    const bool isListed = found != m_endpoints.end() && found->second.entry.born == target.born;
    return isListed ? std::optional(found->second.entry.address) : std::nullopt;
}

bool endpoint_pool::isListed(const endpoint &value, time_point now)
{
    return !value.removedAt.has_value() || *value.removedAt > now;
}

bool endpoint_pool::isUsable(const endpoint &value, time_point now) const
{
    const auto &entry = value.entry;
    return isListed(value, now) && !entry.draining && !value.misdirected && !isLeaving({entry.id, entry.born});
}

std::uint32_t endpoint_pool::connectionLimit(const std::string &service) const
{
    const auto found = m_connectionLimits.find(service);
    return found == m_connectionLimits.end() ? UINT32_MAX : found->second;
}

// A removed endpoint is kept until its last request has ended.
void endpoint_pool::evictRemoved(time_point now)
{
    std::erase_if(m_endpoints, [now](const auto &entry) {
        const auto &value = entry.second;
        return value.removedAt.has_value() && *value.removedAt <= now && value.inFlight == 0;
    });
}

} // namespace jackdawpick::fleet
