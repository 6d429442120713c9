#pragma once

// The reducer: the complete state of a daemon and the function that applies events to it.
//
//   core daemon(options);
//   effects out = daemon.reduce(call_arrived{handle, call, ""}, clock.now());
//   std::optional<time_point> wake = daemon.nextDeadline();   // send tick{} then
//
// Deterministic: no I/O, no clock, and no randomness other than the seeded generator in its state. Not thread-safe.

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
    std::uint32_t logAppendsPerSecond = 300; // Limit for all daemons together.
    // Of the log; records that are still needed are renewed within half of it.
    std::chrono::milliseconds retention{86400000};
    std::chrono::milliseconds configurationPollInterval{500};
    std::chrono::milliseconds ownershipPollInterval{500};
    std::chrono::milliseconds logTimeout{1000};
    // The log is considered unavailable after this time without success.
    std::chrono::milliseconds outageThreshold{1000};
    std::chrono::milliseconds endpointIdleTimeout{10000};
    std::chrono::milliseconds drainTimeout{30000};
    std::size_t maxBufferedBytes = 8U << 20U;
    std::uint32_t maxAttempts = 3; // Attempts of an idempotent call, including the first.
    std::string receiptKey; // Secret shared by all daemons; receipts are disabled if empty.
    std::uint32_t invariantSampling = 1024; // Invariants are checked after every n-th event; violations are logged.
    bool throwOnViolation = false; // For tests: a violation throws error(InternalError) instead.
    membership_options members;
    endpoint_options endpoints;
    cache_options caches;
    std::shared_ptr<const scheduler_options> scheduling; // Default policies are used if null.
};

// Counters since the start of the process, for metrics.
struct core_counters
{
    std::uint64_t callsArrived = 0;
    std::uint64_t callsFinished = 0;
    std::uint64_t callsForwarded = 0;
    std::uint64_t retries = 0;
    std::uint64_t lateAnswers = 0; // Answers dropped because their dispatch had ended or their id did not match.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t wastedTokens = 0; // Prompt tokens recomputed although an engine was estimated to have them cached.
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

    // Applies one event. `now` must not decrease.
    [[nodiscard]] effects reduce(event what, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // True once a configuration is in force and the ownership stream has been read to its end.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool draining() const;
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone, time_point now) const;
    [[nodiscard]] std::chrono::seconds entryListLifetime() const;
    [[nodiscard]] log_offset configurationVersion() const;
    [[nodiscard]] const std::string &configurationText() const;
    [[nodiscard]] const configuration &currentConfiguration() const;
    [[nodiscard]] const core_counters &counters() const;
    [[nodiscard]] std::vector<endpoint_view> endpointViews() const;
    // The complete state as JSON, for the state dump.
    [[nodiscard]] nlohmann::json dump(time_point now) const;
    // Descriptions of violated invariants (docs/design.md, section 2); empty if all hold. Visits all programs; a
    // running daemon checks only counters and one program, after a sample of its events.
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
