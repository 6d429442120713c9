#include "quotas/quotas.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::quotas
{

namespace
{

using std::chrono::milliseconds;

// Records of a lease are small; more than the renewals between two trims fit.
constexpr std::uint32_t maxReadKilobytes = 256;

} // namespace

group_lease::group_lease(store::partition where, lease_holder self)
    : m_where(std::move(where))
    , m_self(std::move(self))
{
}

bool group_lease::isOwn(const lease_record &record) const
{
    return record.daemon == m_self.daemon && record.incarnation == m_self.incarnation;
}

bool group_lease::isHeld(time_point now) const
{
    return m_held && !m_releasing && now < m_validUntil;
}

std::string group_lease::holder() const
{
    const bool isKnown = m_latest.has_value() && m_latest->content.kind == lease_kind::Hold;
    return isKnown ? m_latest->content.daemon : std::string();
}

std::uint64_t group_lease::heldRecord() const
{
    return m_heldRecord;
}

// Offsets are used again after the store has lost records.
std::uint64_t group_lease::idOf(const lease_record &record)
{
    constexpr std::uint64_t spread = 0x9E3779B97F4A7C15U; // 2^64 divided by the golden ratio.
    return record.incarnation ^ (record.serial * spread);
}

time_point group_lease::validUntil() const
{
    return m_validUntil;
}

void group_lease::update(const lease_wish &wish, time_point now)
{
    if (wish.wanted && !m_wish.wanted && !m_held) {
        // What was read before may be old; the time since when a record is known stays right.
        m_behind = true;
        m_following = false;
        m_claimAt = now + claimInterval;
    }
    m_unwantedSince = wish.wanted ? std::nullopt : std::optional(m_unwantedSince.value_or(now));
    m_wish = wish;
}

void group_lease::onHeard(std::uint64_t record, time_point now)
{
    if (!m_heard.has_value() || m_heard->record != record) {
        m_heard = heard_record{record, now};
    }
}

bool group_lease::mustRelease(time_point now) const
{
    return m_wish.stopping || (m_unwantedSince.has_value() && now - *m_unwantedSince >= handoverDelay)
        || m_claimReach.value_or(0) > m_wish.reach;
}

// When this daemon may append a record that takes the lease. A record that has been appended since the partition was
// read makes that append fail.
time_point group_lease::takeableAt() const
{
    if (!m_latest.has_value()) {
        // A store that has lost its records tells nothing of the daemon that holds the lease.
        return std::max(m_emptySince.value_or(time_point::max() - validity - margin) + validity + margin,
                        m_yieldedUntil);
    }
    const bool isFree = isOwn(m_latest->content) || m_latest->content.kind == lease_kind::Release;
    return std::max(isFree ? m_latest->since : m_latest->since + validity + margin, m_yieldedUntil);
}

// ---- Calls ----

std::optional<store::call> group_lease::poll(const permit_issuer &issuer, time_point now)
{
    expire(now);
    if (m_inFlight.has_value() || now < m_retryAt) {
        return std::nullopt;
    }
    if (m_releasing) { // Until the release is known to be in the log, or the lease has run out.
        return m_behind ? startRead(milliseconds(0)) : startAppend(lease_kind::Release, issuer, now);
    }
    if (m_held) {
        if (m_behind) {
            return startRead(milliseconds(0));
        }
        if (mustRelease(now)) {
            m_releaseReason = m_wish.stopping ? "stopping" : (m_unwantedSince.has_value() ? "handover" : "claimed");
            m_yieldedUntil = m_unwantedSince.has_value() ? m_yieldedUntil : now + claimInterval;
            m_releasing = true;
            return startAppend(lease_kind::Release, issuer, now);
        }
        return now >= m_renewAt ? std::optional(startAppend(lease_kind::Hold, issuer, now)) : std::nullopt;
    }
    const bool reads = (m_wish.wanted || m_wish.prepares) && !m_wish.stopping;
    if (reads && m_behind) {
        return startRead(milliseconds(0));
    }
    if (!reads || !m_wish.wanted) {
        return std::nullopt;
    }
    if (now >= takeableAt()) {
        return startAppend(lease_kind::Hold, issuer, now);
    }
    if (now >= m_claimAt) {
        m_claimAt = now + claimInterval;
        return startAppend(lease_kind::Claim, issuer, now);
    }
    return startRead(std::clamp(millisecondsBetween(now, takeableAt()), milliseconds(1), releasePoll));
}

store::call group_lease::startRead(milliseconds wait)
{
    m_inFlight = call_kind::Read;
    return store::read_call{.where = m_where, .from = m_next, .wait = wait, .maxKilobytes = maxReadKilobytes};
}

store::call group_lease::startAppend(lease_kind kind, const permit_issuer &issuer, time_point now)
{
    m_inFlight = call_kind::Append;
    lease_record record{.kind = kind,
                        .daemon = m_self.daemon,
                        .incarnation = m_self.incarnation,
                        .serial = ++m_lastSerial,
                        .reach = m_wish.reach,
                        .levels = {}};
    if (kind == lease_kind::Release) {
        record.idle = issuer.idleTime(now);
        record.levels = issuer.levels(now);
    }
    m_attempts.push_back({record.serial, kind, now});
    // The records of older attempts could not make the lease valid any more.
    std::erase_if(m_attempts, [&](const attempt &entry) { return now - entry.startedAt >= validity; });
    return store::append_call{m_where, {encodeLeaseRecord(record)}, m_next};
}

std::optional<store::call> group_lease::takeTrim()
{
    const auto before = std::exchange(m_trimBefore, std::nullopt);
    return before.has_value() ? std::optional<store::call>(store::trim_call{m_where, *before}) : std::nullopt;
}

// ---- Replies ----

void group_lease::onReply(const store::reply &result, time_point now)
{
    expire(now);
    const auto kind = std::exchange(m_inFlight, std::nullopt);
    if (const auto *read = std::get_if<store::records_read>(&result)) {
        onRead(*read, now);
    } else if (const auto *appended = std::get_if<store::appended>(&result)) {
        onAppended(appended->offset, now);
    } else if (const auto *conflict = std::get_if<store::conflict>(&result)) {
        m_behind = true;
        m_following = m_following && conflict->end > m_next;
        if (conflict->end < m_next) {
            forgetPosition(conflict->end, now);
        }
    } else if (const auto *expired = std::get_if<store::expired>(&result)) {
        forgetPosition(expired->first, now);
    } else {
        // An append without a reply may have been executed; if it was, the next one conflicts with it.
        const auto *reason = std::get_if<store::failure>(&result);
        const bool unanswered = reason != nullptr && *reason == store::failure::NoReply;
        m_retryAt = unanswered && kind == call_kind::Append ? now : now + retryDelay;
    }
}

// The records before `next` are deleted, or the store has lost records.
void group_lease::forgetPosition(std::uint64_t next, time_point now)
{
    const bool lostRecords = next < m_next;
    m_next = next;
    m_behind = true;
    m_following = false;
    if (lostRecords) {
        m_latest.reset();
        noteEmpty(now);
    }
}

// No record is known: any daemon may hold the lease.
void group_lease::noteEmpty(time_point now)
{
    m_emptySince = now;
    if (!m_held) {
        m_others = issuing_start{.levels = {}, .levelsAt = {}, .idleSince = now + validity, .trusted = false};
    }
}

void group_lease::onRead(const store::records_read &result, time_point now)
{
    if (result.end < m_next) {
        forgetPosition(0, now);
        return;
    }
    for (const auto &record : result.records) {
        auto decoded = decodeLeaseRecord(record.value);
        // An unreadable record may be a lease of a later build.
        applyRecord(record.offset, decoded.has_value() ? std::move(*decoded) : lease_record{.levels = {}}, now);
    }
    m_next = std::max(m_next, result.next);
    m_behind = m_next < result.end;
    m_following = m_following || !m_behind;
    if (!m_behind && !m_latest.has_value() && !m_emptySince.has_value()) {
        noteEmpty(now);
    }
}

void group_lease::applyRecord(std::uint64_t offset, lease_record record, time_point now)
{
    const auto since = m_heard.has_value() && m_heard->record == idOf(record) ? std::min(m_heard->at, now) : now;
    const bool own = isOwn(record);
    if (record.kind == lease_kind::Claim) {
        if (m_held && !own) {
            m_claimReach = std::max(m_claimReach.value_or(0), record.reach);
        }
        return;
    }
    const auto serial = record.serial;
    m_latest = known_record{.content = std::move(record), .offset = offset, .since = since, .followed = m_following};
    if (!own) {
        if (m_held) {
            lose("taken");
        }
        m_others = startAfterOthers();
        return;
    }
    const auto done = std::ranges::find(m_attempts, serial, &attempt::serial);
    if (done != m_attempts.end()) {
        const auto copy = *done;
        m_attempts.erase(done);
        confirm(copy, offset, now);
    }
}

void group_lease::onAppended(std::uint64_t offset, time_point now)
{
    m_next = offset + 1;
    if (m_attempts.empty()) { // The reply came later than the lease could have lasted.
        m_behind = true;
        m_following = false;
        m_next = offset;
        return;
    }
    const auto done = m_attempts.back();
    m_attempts.clear(); // The earlier ones expected the same end.
    if (done.kind == lease_kind::Claim) {
        return;
    }
    m_latest = known_record{.content = {.kind = done.kind,
                                        .daemon = m_self.daemon,
                                        .incarnation = m_self.incarnation,
                                        .serial = done.serial,
                                        .levels = {}},
                            .offset = offset,
                            .since = now,
                            .followed = true};
    confirm(done, offset, now);
}

// A record of this daemon is in the log.
void group_lease::confirm(const attempt &done, std::uint64_t offset, time_point now)
{
    if (done.kind == lease_kind::Release) {
        confirmRelease(now);
        return;
    }
    const auto until = done.startedAt + validity;
    if (m_releasing || now >= until) {
        return;
    }
    m_validUntil = std::max(m_validUntil, until);
    m_renewAt = done.startedAt + renewAfter;
    m_heldRecord = idOf({.incarnation = m_self.incarnation, .serial = done.serial, .levels = {}});
    m_claimReach.reset();
    if (!std::exchange(m_held, true)) {
        m_changes.emplace_back(lease_taken{std::exchange(m_others, std::nullopt)});
    }
    if (++m_renewals >= renewalsPerTrim) {
        m_renewals = 0;
        m_trimBefore = offset;
    }
}

void group_lease::confirmRelease(time_point now)
{
    if (m_releasing) {
        m_releasing = false;
        m_held = false;
        m_claimReach.reset();
        m_changes.emplace_back(lease_released{m_releaseReason});
    }
    m_validUntil = std::min(m_validUntil, now);
    m_claimAt = now + claimInterval;
}

// What is known of the permits that the daemon of the latest record has issued.
issuing_start group_lease::startAfterOthers() const
{
    const auto &[record, offset, since, followed] = *m_latest;
    if (record.kind == lease_kind::Hold) {
        return {.levels = {}, .levelsAt = {}, .idleSince = since + validity, .trusted = false};
    }
    // A store that has lost records may show a release before the lease that is in force.
    return {.levels = record.levels, .levelsAt = since, .idleSince = since - record.idle, .trusted = followed};
}

void group_lease::lose(std::string reason)
{
    m_held = false;
    m_releasing = false;
    m_claimReach.reset();
    m_changes.emplace_back(lease_lost{std::move(reason)});
}

void group_lease::expire(time_point now)
{
    if (m_held && now >= m_validUntil) {
        lose("expired");
        m_behind = true;
        m_claimAt = now + claimInterval;
    }
}

std::optional<lease_change> group_lease::takeChange()
{
    if (m_changes.empty()) {
        return std::nullopt;
    }
    auto change = std::move(m_changes.front());
    m_changes.pop_front();
    return change;
}

std::optional<time_point> group_lease::nextDeadline() const
{
    if (m_held) {
        if (m_inFlight.has_value()) {
            return m_validUntil;
        }
        const auto release = m_unwantedSince.has_value() ? *m_unwantedSince + handoverDelay : m_renewAt;
        const auto due = m_behind || m_releasing ? m_retryAt : std::max(m_retryAt, std::min(release, m_renewAt));
        return std::min(due, m_validUntil);
    }
    const bool reads = m_wish.wanted || (m_wish.prepares && m_behind);
    return m_inFlight.has_value() || !reads || m_wish.stopping ? std::nullopt : std::optional(m_retryAt);
}

} // namespace jackdawpick::quotas
