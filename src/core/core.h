#pragma once

// The reducer: all state of a daemon and the one function that changes it.
//
//   core daemon(options);
//   effects out = daemon.reduce(call_arrived{handle, call, ""}, clock.now());
//   std::optional<time_point> wake = daemon.nextDeadline();   // send tick{} then
//
// Pure: no I/O, no clock, no randomness but the seeded generator in its state. One thread.

#include "cache/cache.h"
#include "core/events.h"
#include "endpoints/endpoints.h"
#include "ledger/ledger.h"
#include "ownership/ownership.h"
#include "scheduler/scheduler.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>

namespace jackdawpick
{

struct core_options
{
    member_identity self;
    std::uint64_t seed = 1;
    std::uint32_t logAppendsPerSecond = 300; // Share of all daemons together.
    std::chrono::milliseconds retention{86400000}; // Of the log; renewals happen within half of it.
    std::chrono::milliseconds configurationPollInterval{500};
    std::chrono::milliseconds ownershipPollInterval{500};
    std::chrono::milliseconds logTimeout{1000};
    std::chrono::milliseconds outageAfter{1000}; // The log counts as down after this long without success.
    std::chrono::milliseconds endpointIdleTimeout{10000};
    std::chrono::milliseconds drainTimeout{30000};
    std::size_t maxBufferedBytes = 8U << 20U;
    std::uint32_t maxAttempts = 3; // Attempts of an idempotent call, the first included.
    std::string receiptKey; // Secret of all daemons; receipts are off while empty.
    std::uint32_t invariantSampling =
        1024; // Invariants are checked after one of this many events; a violation is logged.
    bool throwOnViolation = false; // Test builds: a violation throws error(InternalError) instead.
    membership_options members;
    endpoint_options endpoints;
    cache_options caches;
    std::shared_ptr<const scheduler_options> scheduling; // Default policies if null.
};

// Counters since the start, for metrics.
struct core_counters
{
    std::uint64_t callsArrived = 0;
    std::uint64_t callsFinished = 0;
    std::uint64_t callsForwarded = 0;
    std::uint64_t retries = 0;
    std::uint64_t lateAnswers = 0; // Dropped, since their dispatch was over or their id did not match.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t wastedTokens = 0; // Recomputed although an engine was believed to hold them.
    std::uint64_t programsOpened = 0;
    std::uint64_t programsClosed = 0;
    std::map<result_code, std::uint64_t> refusals;
};

class core
{
public:
    explicit core(core_options options);
    ~core();
    core(core &&) noexcept;
    core &operator=(core &&) noexcept;

    // Applies one event. `now` must not go back.
    [[nodiscard]] effects reduce(event what, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // Configuration established and at least one read of the ownership stream complete.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool draining() const;
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone, time_point now) const;
    [[nodiscard]] std::chrono::seconds entryListLifetime() const;
    [[nodiscard]] log_offset configurationVersion() const;
    [[nodiscard]] const std::string &configurationText() const;
    [[nodiscard]] const configuration &currentConfiguration() const;
    [[nodiscard]] const core_counters &counters() const;
    [[nodiscard]] std::vector<endpoint_view> endpointViews() const;
    // Whole state as JSON, for the state dump.
    [[nodiscard]] nlohmann::json dump(time_point now) const;
    // Descriptions of violated invariants (docs/design.md, section 2); empty when all hold. Visits all programs; a
    // running daemon checks counters and one program after a sample of its events.
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
