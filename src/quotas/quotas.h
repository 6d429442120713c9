#pragma once

// Quotas of tenants over all daemons: the division of what a quota tolerates, the token buckets of the daemon that
// issues the permits of a group of tenants, the lease that makes it the only one, and the permits that a daemon holds.
//
//   permit_issuer issuer(rule);                               // At the holder of the lease.
//   if (lease.isHeld(now)) { auto reply = issuer.take("t1", limit, {.count = 1}, now); ... }
//
//   group_lease lease({"quotas-0", 3}, {"daemon-1", incarnation});
//   lease.update({.wanted = true, .reach = 79}, now);
//   if (auto call = lease.poll(issuer, now)) { ... }          // Make it, then lease.onReply(reply, now).
//   if (auto change = lease.takeChange()) { ... }
//
//   permit_stock stock(rule);                                 // At each daemon.
//   if (auto permit = stock.take("t1", false, now)) { ... }
//
// Performs no I/O and reads no clock. Thread compatible.

#include "clock/clock.h"
#include "store/store.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawpick::quotas
{

// What holds for the quotas of all tenants: in each window at most (rate x window + burst) x (1 + overrun) + slack
// requests run that were sent in the same window.
struct quota_rule
{
    std::chrono::milliseconds window{5000};
    double overrun = 0.1;
    double slack = 20; // Requests.
};

struct tenant_limit
{
    double ratePerSecond = 0; // Positive.
    double burst = 0; // Requests.
    bool operator==(const tenant_limit &) const = default;
};

// Within which a permit that was issued in advance is used, at the most: unused permits are missing elsewhere.
inline constexpr std::chrono::milliseconds maxPermitLifetime{300};

// How the requests that the rule tolerates beyond rate x window + burst are divided. Each share can be used up in the
// same window without exceeding the rule.
struct excess_shares
{
    double capacity = 0; // Of the bucket, in permits: the burst and a share.
    // Permits with which a bucket begins whose former issuer may have issued all until its lease ran out.
    double takeoverLevel = 0;
    std::chrono::milliseconds lifetime{0}; // Within which a permit that was issued in advance is used.
    std::uint32_t withoutIssuer = 0; // Requests that all daemons together admit without a permit in each window.
};

[[nodiscard]] excess_shares sharesOf(const quota_rule &rule, const tenant_limit &limit);

// The group of the tenant, from 0 to groups - 1.
[[nodiscard]] std::uint32_t groupOf(std::string_view tenant, std::uint32_t groups);

// ---- Issuing ----

// Tokens in the bucket of one tenant.
struct tenant_level
{
    std::string tenant;
    double level = 0;
    bool operator==(const tenant_level &) const = default;
};

// What is known of the permits that were issued before.
struct issuing_start
{
    std::vector<tenant_level> levels; // As the former issuer has stated them.
    time_point levelsAt; // Not before they were stated.
    time_point idleSince; // From when on no permit was issued for the tenants without a stated level.
    bool trusted = false; // Otherwise a stated level counts only as far as the takeover level allows.
};

struct permit_request
{
    std::uint32_t count = 1; // The permit for a request that waits, and those for later requests.
    std::uint32_t used = 0; // Permits from the stock that were used since the last request.
    bool repeated = false; // The request that waits was counted before.
    bool operator==(const permit_request &) const = default;
};

struct permit_grant
{
    std::uint32_t granted = 0;
    std::chrono::milliseconds retryAfter{0}; // Until a permit can be available; 0 if one was granted.
    std::chrono::milliseconds lifetime{0}; // Of permits that are not used at once.
    double pressure = 0; // The recent rate of requests divided by the limit.
    double level = 0; // Of the bucket, after this request.
    // The bucket may hold fewer permits than the tenant has left, since it is not known what the former issuer has
    // issued: a request that was denied waits.
    bool provisional = false;
    bool operator==(const permit_grant &) const = default;
};

// The token buckets of the tenants of one group.
class permit_issuer
{
public:
    static constexpr std::uint32_t maxExtraPermits = 3;
    // Levels that a record states; the lowest ones if there are more.
    static constexpr std::size_t maxStatedLevels = 512;
    // How long after a takeover denials are provisional.
    static constexpr std::chrono::milliseconds provisionalTime{2000};
    // Time over which the rate of requests is averaged: that of some requests, within these bounds.
    static constexpr double averagedRequests = 8;
    static constexpr std::chrono::milliseconds minAveragingTime{2000};
    static constexpr std::chrono::milliseconds maxAveragingTime{10000};
    // The longest retry time; a client retries once.
    static constexpr std::chrono::milliseconds maxRetryDelay{2000};

    explicit permit_issuer(const quota_rule &rule);

    // Forgets the buckets: another daemon may have issued permits meanwhile.
    void begin(issuing_start start, time_point now);
    // The caller must hold the lease. A lowered limit reduces the level to the new capacity at once.
    [[nodiscard]] permit_grant take(const std::string &tenant, const tenant_limit &limit, const permit_request &asked,
                                    time_point now);
    // The levels of the buckets that are not full and of the tenants without requests since begin(), the lowest first.
    [[nodiscard]] std::vector<tenant_level> levels(time_point now) const;
    // How long no permit has been issued for the tenants without a stated level; 0 if levels() leaves some out.
    [[nodiscard]] std::chrono::milliseconds idleTime(time_point now) const;
    // Forgets full buckets.
    void evictFull(time_point now);
    [[nodiscard]] std::size_t bucketCount() const;
    // The same for all tenants that have a bucket, for reports to operators.
    struct bucket_report
    {
        std::string tenant;
        double level = 0;
        double pressure = 0;
    };

    [[nodiscard]] std::vector<bucket_report> report(time_point now) const;

private:
    struct bucket
    {
        tenant_limit limit;
        excess_shares shares;
        double level = 0;
        time_point filledAt;
        double requestRate = 0; // Exponentially weighted, per second, at filledAt.
        double deferred = 0; // Denied requests whose retry times have not passed, at filledAt.
    };

    [[nodiscard]] double startLevel(const std::string &tenant, const tenant_limit &limit, const excess_shares &shares,
                                    time_point now) const;
    [[nodiscard]] bucket filled(const bucket &value, time_point now) const;
    [[nodiscard]] static std::chrono::duration<double> averagingTime(const tenant_limit &limit);

    quota_rule m_rule;
    issuing_start m_start;
    time_point m_began{};
    std::map<std::string, bucket> m_buckets;
};

// ---- The lease of a group ----

enum class lease_kind : std::uint8_t {
    Hold,
    Release,
    Claim, // Does not change the lease; asks its holder to release it.
};

struct lease_record
{
    lease_kind kind = lease_kind::Hold;
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0; // Counts the records of the daemon.
    std::uint32_t reach = 0; // Live daemons that the daemon hears, itself included.
    std::chrono::milliseconds idle{0}; // As permit_issuer::idleTime().
    std::vector<tenant_level> levels; // In a release: of the buckets that are not full.
    bool operator==(const lease_record &) const = default;
};

[[nodiscard]] std::string encodeLeaseRecord(const lease_record &record);
// Returns nothing if the bytes are not a valid record.
[[nodiscard]] std::optional<lease_record> decodeLeaseRecord(std::string_view bytes);

struct lease_holder
{
    std::string daemon;
    std::uint64_t incarnation = 0;
};

// What this daemon wants of the lease.
struct lease_wish
{
    bool wanted = false; // It is the one that should issue the permits of the group.
    bool stopping = false; // It releases the lease at once.
    std::uint32_t reach = 0; // As in lease_record.
    bool prepares = false; // It may want the lease soon: the time for which the latest record is known counts from now.
};

struct lease_taken
{
    // What permits were issued before; nothing if no other daemon can have issued any since this one last did.
    std::optional<issuing_start> start;
};

struct lease_lost
{
    std::string reason;
};

struct lease_released
{
    std::string reason;
};

using lease_change = std::variant<lease_taken, lease_lost, lease_released>;

// The lease of one group: records in a partition of the log, appended under the condition that the partition ends where
// this daemon has read to. Makes one call at a time.
class group_lease
{
public:
    // From the start of the append. Others wait for this time, and the margin, from when they knew of the record.
    static constexpr std::chrono::milliseconds validity{1200};
    static constexpr std::chrono::milliseconds renewAfter{400};
    static constexpr std::chrono::milliseconds margin{100};
    // How long a read waits for the record that releases the lease.
    static constexpr std::chrono::milliseconds releasePoll{200};
    static constexpr std::chrono::milliseconds retryDelay{100};
    // How long another daemon is the one that should issue before the holder releases the lease: views of who is alive
    // differ for a moment.
    static constexpr std::chrono::milliseconds handoverDelay{300};
    // Between two claims, and how long a holder that has yielded to one does not take the lease.
    static constexpr std::chrono::milliseconds claimInterval{2000};
    // Renewals after which older records are deleted.
    static constexpr unsigned renewalsPerTrim = 64;

    group_lease(store::partition where, lease_holder self);

    void update(const lease_wish &wish, time_point now);
    // A reply of the holder has named its latest record, as heldRecord() does.
    void onHeard(std::uint64_t record, time_point now);
    // The next call, if one is due and none is under way.
    [[nodiscard]] std::optional<store::call> poll(const permit_issuer &issuer, time_point now);
    void onReply(const store::reply &result, time_point now);
    // A call that deletes old records, if one is due; its reply is ignored.
    [[nodiscard]] std::optional<store::call> takeTrim();
    // Notices that the lease has run out.
    void expire(time_point now);
    // Whether this daemon may issue permits.
    [[nodiscard]] bool isHeld(time_point now) const;
    [[nodiscard]] std::optional<lease_change> takeChange();
    // The daemon that holds the lease according to the latest record; empty if none is known.
    [[nodiscard]] std::string holder() const;
    // Names the latest record of this daemon's lease.
    [[nodiscard]] std::uint64_t heldRecord() const;
    [[nodiscard]] time_point validUntil() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    enum class call_kind : std::uint8_t {
        Read,
        Append,
    };

    struct attempt
    {
        std::uint64_t serial = 0;
        lease_kind kind = lease_kind::Hold;
        time_point startedAt;
    };

    struct known_record
    {
        lease_record content;
        std::uint64_t offset = 0;
        time_point since; // When it was known first.
        bool followed = false; // This daemon has read all records before it.
    };

    struct heard_record
    {
        std::uint64_t record = 0;
        time_point at; // When it was heard of first.
    };

    [[nodiscard]] static std::uint64_t idOf(const lease_record &record);
    [[nodiscard]] bool isOwn(const lease_record &record) const;
    [[nodiscard]] bool mustRelease(time_point now) const;
    [[nodiscard]] time_point takeableAt() const;
    [[nodiscard]] issuing_start startAfterOthers() const;
    store::call startRead(std::chrono::milliseconds wait);
    store::call startAppend(lease_kind kind, const permit_issuer &issuer, time_point now);
    void onRead(const store::records_read &result, time_point now);
    void onAppended(std::uint64_t offset, time_point now);
    void applyRecord(std::uint64_t offset, lease_record record, time_point now);
    void confirm(const attempt &done, std::uint64_t offset, time_point now);
    void confirmRelease(time_point now);
    void lose(std::string reason);
    void forgetPosition(std::uint64_t next, time_point now);
    void noteEmpty(time_point now);

    store::partition m_where;
    lease_holder m_self;
    lease_wish m_wish;
    std::optional<time_point> m_unwantedSince;
    std::optional<call_kind> m_inFlight;
    time_point m_retryAt{};
    std::uint64_t m_next = 0; // Offset of the first record not read.
    bool m_behind = true; // The partition must be read before the next append.
    bool m_following = false; // It was read to its end, and all records since then.
    std::optional<known_record> m_latest; // Other than a claim.
    std::optional<time_point> m_emptySince; // When the partition was seen without records.
    std::optional<heard_record> m_heard;
    std::uint64_t m_lastSerial = 0;
    std::vector<attempt> m_attempts; // Appends whose results are not known, oldest first.
    bool m_held = false;
    bool m_releasing = false; // A release may be in the log.
    std::string m_releaseReason;
    time_point m_validUntil{};
    time_point m_renewAt{};
    std::uint64_t m_heldRecord = 0;
    // What others may have issued since this daemon did; nothing if none can have.
    std::optional<issuing_start> m_others = issuing_start{};
    std::optional<std::uint32_t> m_claimReach; // The largest of the claims since the last renewal.
    time_point m_claimAt{};
    time_point m_yieldedUntil{};
    unsigned m_renewals = 0;
    std::optional<std::uint64_t> m_trimBefore;
    std::deque<lease_change> m_changes;
};

// ---- Permits at a daemon ----

// A permit for one request.
struct permit
{
    time_point validUntil; // For another request than the one that it was issued for.
};

// The unused permits of one daemon, and the requests that it admits without permits.
class permit_stock
{
public:
    // Of one tenant.
    static constexpr std::size_t maxPermits = 8;
    // Time over which the rate of a tenant's requests at this daemon is averaged.
    static constexpr std::chrono::milliseconds averagingTime{1000};
    // Tenants without requests for this long are forgotten.
    static constexpr std::chrono::seconds retention{60};

    explicit permit_stock(const quota_rule &rule);

    // Returns a permit for a request, if one is there. A request is counted unless it is `repeated`.
    [[nodiscard]] std::optional<permit> take(const std::string &tenant, bool repeated, time_point now);
    void add(const std::string &tenant, std::size_t count, const permit &each, time_point now);
    // What to ask the issuer for: the permit for a request, and those that are probably used within their lifetime.
    [[nodiscard]] permit_request requestFor(const std::string &tenant, const tenant_limit &limit);
    void setPressure(const std::string &tenant, double pressure);
    // The latest one stated by an issuer.
    [[nodiscard]] std::optional<double> pressureOf(const std::string &tenant) const;
    // Admits a request without a permit if this daemon's share allows it. `names` are all known daemons
    // but this one, dead ones included.
    [[nodiscard]] bool admitWithoutPermit(const std::string &tenant, const tenant_limit &limit,
                                          const std::vector<std::string> &names, const std::string &self,
                                          time_point now);
    void evictIdle(time_point now);
    [[nodiscard]] std::size_t size(time_point now) const; // Permits.

private:
    struct tenant_state
    {
        std::deque<permit> permits;
        std::uint32_t used = 0; // Since the last request to an issuer.
        double requestRate = 0; // Per second, at lastAt.
        time_point lastAt{};
        std::optional<double> pressure;
        std::deque<time_point> admitted; // Without a permit, within the last window.
    };

    quota_rule m_rule;
    std::map<std::string, tenant_state> m_tenants;
};

} // namespace jackdawpick::quotas
