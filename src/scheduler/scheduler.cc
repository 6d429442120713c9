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
constexpr std::chrono::milliseconds assignAgain{50}; // Calls that found no endpoint are tried again without an event.
constexpr std::size_t unplaceableTried = 8; // Calls of one lane that may be passed over in one assign().
constexpr double retryBurst = 10; // Retries that a customer can save up, and has at first.

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

    struct turn
    {
        std::size_t lane = 0;
        bool owed = false; // The rank is below its minimum share.
    };
    [[nodiscard]] std::optional<turn> nextTurn(const internal::pool_queue &pool, const endpoint_table &table,
                                               const std::array<bool, maxRanks> &blocked) const;
    [[nodiscard]] double ceiling(const turn &which) const;
    void assignPool(internal::pool_queue &pool, endpoint_table &table, const cache_directory &caches, time_point now,
                    std::vector<assignment> &out);
    bool assignBest(internal::pool_queue &pool, const turn &which, endpoint_table &table, const cache_directory &caches,
                    time_point now, std::vector<assignment> &out);

    scheduler_options options;
    std::vector<rank_policy> ranks;
    limit_policy limits;
    internal::waiting_queue queue;
    internal::router router;
    internal::random_source random;
    std::unordered_map<std::string, double> retryBudget;
    std::vector<std::uint32_t> passedOver; // Reused between decisions.
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
    auto refused = internal::admitBy(m_impl->options.admission,
                                     {.call = call,
                                      .table = table,
                                      .queue = m_impl->queue.pool(call.pool),
                                      .ranks = m_impl->ranks,
                                      .random = m_impl->random,
                                      .now = now});
    if (!refused) {
        double &budget = m_impl->retryBudget.try_emplace(call.program.customer, retryBurst).first->second;
        budget = std::min(retryBurst, budget + m_impl->limits.retryRatio);
    }
    return refused;
}

void scheduler::enqueue(waiting_call call, time_point now)
{
    // Baselines without admission hold a call to its deadline.
    const bool bounded = !std::holds_alternative<no_admission>(m_impl->options.admission);
    const time_point expiry = bounded ? std::min(call.deadline, now + m_impl->queueTarget(call.rank)) : call.deadline;
    m_impl->queue.add(std::move(call), expiry);
}

bool scheduler::remove(std::uint64_t handle)
{
    return m_impl->queue.remove(handle);
}

// The service of a rank is the time its calls occupy slots, so its share is kept by comparing calls in flight: a rank
// below its part of them is owed the next dispatch. Half a call of rounding keeps the mean at the share.
std::optional<scheduler::implementation::turn>
scheduler::implementation::nextTurn(const internal::pool_queue &pool, const endpoint_table &table,
                                    const std::array<bool, maxRanks> &blocked) const
{
    const auto &inFlight = table.inFlight(pool.name);
    const double total = std::accumulate(inFlight.begin(), inFlight.end(), 1.0);
    std::optional<turn> urgent;
    std::optional<turn> owed;
    double largest = 0;
    for (std::size_t lane = 0; lane < maxRanks; ++lane) {
        if (pool.lanes.at(lane).empty() || blocked.at(lane)) {
            continue;
        }
        if (!urgent) {
            urgent = turn{.lane = lane, .owed = false};
        }
        const double missing = share(lane) * total - (inFlight.at(lane) + 0.5);
        if (missing > largest) {
            largest = missing;
            owed = turn{.lane = lane, .owed = true};
        }
    }
    return owed ? owed : urgent;
}

double scheduler::implementation::ceiling(const turn &which) const
{
    const bool mostUrgent = which.lane == 0 && ranks.size() > 1;
    return options.limits.loadCeiling + (mostUrgent || which.owed ? options.limits.urgentExtra : 0);
}

// Dispatches the best call of a lane that finds an endpoint. False if none of the first few does.
bool scheduler::implementation::assignBest(internal::pool_queue &pool, const turn &which, endpoint_table &table,
                                           const cache_directory &caches, time_point now, std::vector<assignment> &out)
{
    passedOver.clear();
    bool placed = false;
    while (!placed && !pool.lanes.at(which.lane).empty() && passedOver.size() < unplaceableTried) {
        const std::uint32_t slot = queue.takeBest(pool, which.lane);
        const waiting_call &call = queue.call(slot);
        const auto route = router.choose(call, table, caches, ceiling(which), now);
        if (!route) {
            passedOver.push_back(slot);
            // Only a call with its own exclusions may fail where the next one does not.
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
                       .priority = which.owed ? rank_index{0} : call.rank});
        queue.erase(slot);
        placed = true;
    }
    std::ranges::for_each(passedOver, [this](std::uint32_t slot) { queue.putBack(slot); });
    return placed;
}

void scheduler::implementation::assignPool(internal::pool_queue &pool, endpoint_table &table,
                                           const cache_directory &caches, time_point now, std::vector<assignment> &out)
{
    std::array<bool, maxRanks> blocked{};
    while (const auto which = nextTurn(pool, table, blocked)) {
        if (!assignBest(pool, *which, table, caches, now, out)) {
            blocked.at(which->lane) = true;
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
        const bool late = call.deadline <= now;
        // Its rank has waited for the whole target: the same again is the least that a new attempt would take.
        out.push_back({.handle = call.handle,
                       .code = late ? result_code::DeadlineExceededNotRun : result_code::Overloaded,
                       .retryAfter = m_impl->queueTarget(call.rank)});
        m_impl->queue.erase(*slot);
    }
    return out;
}

// Shares and wait estimates come from calls in flight and from dispatches, which are known without a delay.
void scheduler::onServed(rank_index /*rank*/, const std::string & /*pool*/, token_count /*tokens*/, duration /*total*/,
                         time_point /*now*/)
{
}

bool scheduler::spendRetry(const std::string &customer, time_point /*now*/)
{
    double &budget = m_impl->retryBudget.try_emplace(customer, retryBurst).first->second;
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
    return std::min(*expiry, *m_impl->lastAssign + assignAgain);
}

} // namespace jackdawpick
