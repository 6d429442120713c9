#include "scheduler/scheduler.h"

#include "scheduler/internal/admission.h"
#include "scheduler/internal/routing.h"
#include "scheduler/internal/waiting_queue.h"
#include "scheduler/scheduler_options.h"

#include <algorithm>
#include <numeric>

namespace jackdawpick
{

namespace
{

constexpr std::chrono::milliseconds defaultQueueTarget{1700};
constexpr std::chrono::milliseconds reassignInterval{50}; // Calls that found no endpoint are retried without an event.
constexpr std::size_t maxSkippedCalls = 8; // Calls of one lane that one assign() may skip.
constexpr double maxSavedRetries = 10; // Upper bound and initial value of a customer's budget.

} // namespace

struct scheduler::implementation
{
    implementation(const scheduler_options &chosen, std::uint64_t seed)
        : options(chosen)
        , queue(chosen.order)
        , router(chosen.routing, seed)
        , random(seed + 1)
    {
    }

    [[nodiscard]] std::chrono::milliseconds queueTarget(rank_index rank) const
    {
        return rank < ranks.size() ? ranks[rank].queueTarget : defaultQueueTarget;
    }

    [[nodiscard]] double share(std::size_t rank) const
    {
        return rank < ranks.size() ? ranks[rank].share : 0;
    }

    struct lane_choice
    {
        std::size_t lane = 0;
        bool belowShare = false; // The rank is below its minimum share.
    };
    [[nodiscard]] std::optional<lane_choice> nextLane(const internal::pool_queue &pool, const endpoint_table &table,
                                                      const std::array<bool, maxRanks> &blocked) const;
    [[nodiscard]] double loadCeilingOf(const lane_choice &choice) const;
    void assignPool(internal::pool_queue &pool, endpoint_table &table, const cache_directory &caches, time_point now,
                    std::vector<assignment> &out);
    bool assignBest(internal::pool_queue &pool, const lane_choice &choice, endpoint_table &table,
                    const cache_directory &caches, time_point now, std::vector<assignment> &out);

    scheduler_options options;
    std::vector<rank_policy> ranks;
    limit_policy limits;
    internal::waiting_queue queue;
    internal::router router;
    internal::random_source random;
    std::unordered_map<std::string, double> retryBudget;
    std::vector<std::uint32_t> skipped; // Reused between decisions.
    std::optional<time_point> lastAssign;
};

scheduler::scheduler(const scheduler_options &options, std::uint64_t seed)
    : m_impl(std::make_unique<implementation>(options, seed))
{
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler &&) noexcept = default;
scheduler &scheduler::operator=(scheduler &&) noexcept = default;

void scheduler::configure(const std::vector<rank_policy> &ranks, const limit_policy &limits)
{
    m_impl->ranks = ranks;
    m_impl->limits = limits;
}

std::optional<refusal> scheduler::admit(const waiting_call &call, const endpoint_table &table, time_point now)
{
    auto refused = internal::decideAdmission(m_impl->options.admission,
                                             {.call = call,
                                              .table = table,
                                              .queue = m_impl->queue.pool(call.pool),
                                              .ranks = m_impl->ranks,
                                              .random = m_impl->random,
                                              .now = now});
    if (!refused) {
        double &budget = m_impl->retryBudget.try_emplace(call.program.customer, maxSavedRetries).first->second;
        budget = std::min(maxSavedRetries, budget + m_impl->limits.retryRatio);
    }
    return refused;
}

void scheduler::enqueue(waiting_call call, time_point now)
{
    // Without admission control (a baseline), a call waits until its deadline.
    const bool hasAdmission = !std::holds_alternative<no_admission>(m_impl->options.admission);
    const time_point expiry =
        hasAdmission ? std::min(call.deadline, now + m_impl->queueTarget(call.rank)) : call.deadline;
    m_impl->queue.add(std::move(call), expiry);
}

bool scheduler::remove(std::uint64_t handle)
{
    return m_impl->queue.remove(handle);
}

// Returns the lane of the next dispatch: that of the rank furthest below its minimum share, else the most urgent one.
// A rank's service is the time for which its calls occupy slots, so its share is compared with its fraction of the
// calls in flight. Counting half a call in addition rounds to the nearest call, so that the mean equals the share.
std::optional<scheduler::implementation::lane_choice>
scheduler::implementation::nextLane(const internal::pool_queue &pool, const endpoint_table &table,
                                    const std::array<bool, maxRanks> &blocked) const
{
    const auto &inFlight = table.inFlight(pool.name);
    const double total = std::accumulate(inFlight.begin(), inFlight.end(), 1.0);
    std::optional<lane_choice> urgent;
    std::optional<lane_choice> belowShare;
    double largestDeficit = 0;
    for (std::size_t lane = 0; lane < maxRanks; ++lane) {
        if (pool.lanes.at(lane).empty() || blocked.at(lane)) {
            continue;
        }
        if (!urgent) {
            urgent = lane_choice{.lane = lane, .belowShare = false};
        }
        const double deficit = share(lane) * total - (inFlight.at(lane) + 0.5);
        if (deficit > largestDeficit) {
            largestDeficit = deficit;
            belowShare = lane_choice{.lane = lane, .belowShare = true};
        }
    }
    return belowShare ? belowShare : urgent;
}

double scheduler::implementation::loadCeilingOf(const lane_choice &choice) const
{
    const bool mostUrgent = choice.lane == 0 && ranks.size() > 1;
    return options.limits.loadCeiling + (mostUrgent || choice.belowShare ? options.limits.urgentExtraLoad : 0);
}

// Dispatches the first call of a lane, in queue order, for which there is an endpoint. Skips at most `maxSkippedCalls`
// calls; false if none of them could be placed.
bool scheduler::implementation::assignBest(internal::pool_queue &pool, const lane_choice &choice, endpoint_table &table,
                                           const cache_directory &caches, time_point now, std::vector<assignment> &out)
{
    skipped.clear();
    bool placed = false;
    while (!placed && !pool.lanes.at(choice.lane).empty() && skipped.size() < maxSkippedCalls) {
        const std::uint32_t slot = queue.popBest(pool, choice.lane);
        const waiting_call &call = queue.call(slot);
        const auto route = router.choose(call, table, caches, loadCeilingOf(choice), now);
        if (!route) {
            skipped.push_back(slot);
            // Without exclusions of its own, a call fails to find an endpoint only if the following calls do too.
            if (call.excluded.empty() && !table.isSuspect(call.content, now)) {
                break;
            }
            continue;
        }
        table.onDispatched(route->endpoint, call.content, call.promptTokens + call.maxTokens, now, call.rank);
        pool.dispatched.at(call.rank).add(1, now);
        out.push_back({.handle = call.handle,
                       .endpoint = route->endpoint,
                       .expectedCachedTokens = route->cachedTokens,
                       .priority = choice.belowShare ? rank_index{0} : call.rank});
        queue.erase(slot);
        placed = true;
    }
    std::ranges::for_each(skipped, [this](std::uint32_t slot) { queue.reinsert(slot); });
    return placed;
}

void scheduler::implementation::assignPool(internal::pool_queue &pool, endpoint_table &table,
                                           const cache_directory &caches, time_point now, std::vector<assignment> &out)
{
    std::array<bool, maxRanks> blocked{};
    while (const auto choice = nextLane(pool, table, blocked)) {
        if (!assignBest(pool, *choice, table, caches, now, out)) {
            blocked.at(choice->lane) = true;
        }
    }
}

std::vector<assignment> scheduler::assign(endpoint_table &table, const cache_directory &caches, time_point now)
{
    std::vector<assignment> out;
    m_impl->lastAssign = now;
    if (m_impl->queue.size() == 0) {
        return out;
    }
    for (internal::pool_queue &pool : m_impl->queue.pools()) {
        m_impl->assignPool(pool, table, caches, now, out);
    }
    return out;
}

std::vector<expired_call> scheduler::expire(time_point now)
{
    std::vector<expired_call> out;
    while (const auto slot = m_impl->queue.expired(now)) {
        const waiting_call &call = m_impl->queue.call(*slot);
        const bool deadlinePassed = call.deadline <= now;
        // The call waited for the whole queue target of its rank, so a new attempt would wait at least as long.
        out.push_back({.handle = call.handle,
                       .code = deadlinePassed ? result_code::DeadlineExceededNotRun : result_code::Overloaded,
                       .retryAfter = m_impl->queueTarget(call.rank)});
        m_impl->queue.erase(*slot);
    }
    return out;
}

// Empty: shares and wait estimates are computed from calls in flight and dispatches, which are known without delay.
void scheduler::onServed(rank_index /*rank*/, const std::string & /*pool*/, token_count /*tokens*/, duration /*total*/,
                         time_point /*now*/)
{
}

bool scheduler::spendRetry(const std::string &customer, time_point /*now*/)
{
    double &budget = m_impl->retryBudget.try_emplace(customer, maxSavedRetries).first->second;
    if (budget < 1) {
        return false;
    }
    budget -= 1;
    return true;
}

std::size_t scheduler::waiting() const
{
    return m_impl->queue.size();
}

std::size_t scheduler::waiting(rank_index rank) const
{
    return m_impl->queue.size(rank);
}

std::optional<time_point> scheduler::nextDeadline() const
{
    const auto expiry = m_impl->queue.firstExpiry();
    if (!expiry || !m_impl->lastAssign) {
        return expiry;
    }
    return std::min(*expiry, *m_impl->lastAssign + reassignInterval);
}

} // namespace jackdawpick
