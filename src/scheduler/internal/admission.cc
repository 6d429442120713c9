#include "scheduler/internal/admission.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace jackdawpick::internal
{

namespace
{

constexpr std::size_t smallPoolSize = 32;
constexpr std::size_t poolSampleSize = 16;
constexpr double assumedCallSeconds = 5;
constexpr std::chrono::milliseconds defaultQueueTarget{1700};

std::chrono::milliseconds queueTarget(const admission_request &request)
{
    return request.call.rank < request.ranks.size() ? request.ranks[request.call.rank].queueTarget : defaultQueueTarget;
}

double shareOf(const admission_request &request, std::size_t rank)
{
    return rank < request.ranks.size() ? request.ranks[rank].share : 0;
}

struct dispatch_rates
{
    double all = 0;
    double rankAndLessUrgent = 0; // Available to the rank while no more urgent call waits.
};

// Recent dispatch rates of this daemon, in calls per second.
dispatch_rates dispatchRates(const admission_request &request)
{
    dispatch_rates rates;
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const double rate = request.queue.dispatched.at(rank).perSecond(request.now);
        rates.all += rate;
        rates.rankAndLessUrgent += rank >= request.call.rank ? rate : 0;
    }
    return rates;
}

// Mean load of the pool's usable endpoints; estimated from a sample in a large pool.
double poolLoad(const admission_request &request)
{
    const auto &members = request.table.pool(request.call.pool);
    const std::size_t sampled =
        std::min(members.size(), members.size() <= smallPoolSize ? members.size() : poolSampleSize);
    double sum = 0;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < sampled; ++i) {
        const endpoint_id id = members[request.queue.sampleStart++ % members.size()];
        const endpoint_view &view = request.table.view(id);
        if (!view.leaving && view.circuit == circuit_state::Closed) {
            sum += request.table.load(id, request.now);
            ++usable;
        }
    }
    return usable == 0 ? 0 : sum / static_cast<double>(usable);
}

// Updates the share of each rank in the pool's load. Load reports do not distinguish ranks, so the shares are taken
// from this daemon's own calls, waiting ones included. A daemon has few calls in flight, so the shares are noisy, and
// an overloading rank makes enough requests to hit every low value; they are therefore averaged over time.
void updateLoadShares(const target_admission &policy, const admission_request &request)
{
    const auto &inFlight = request.table.inFlight(request.call.pool);
    const double total = std::max(1.0, std::accumulate(inFlight.begin(), inFlight.end(), 0.0));
    const double elapsed = std::chrono::duration<double>(request.now - request.queue.loadSharesUpdated).count();
    const double weight = policy.loadShareSeconds <= 0 ? 1 : 1 - std::exp(-elapsed / policy.loadShareSeconds);
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const double fraction = (inFlight.at(rank) + request.queue.waiting.at(rank)) / total;
        request.queue.loadShares.at(rank) += weight * (fraction - request.queue.loadShares.at(rank));
    }
    request.queue.loadSharesUpdated = request.now;
}

// Fraction of the new programs to admit at this load.
double admittedFraction(double load, double full, double none)
{
    return std::clamp((none - load) / (none - full), 0.0, 1.0);
}

// Decides, at random near the limit, whether a new program of the rank is admitted: the rank and the more urgent ones
// must together leave the shares of the less urgent ones free, or the rank must be below its own share.
bool hasCapacity(const target_admission &policy, const admission_request &request)
{
    updateLoadShares(policy, request);
    const double pool = poolLoad(request);
    double upToRank = 0;
    double reserved = 0;
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const bool lessUrgent = rank > request.call.rank;
        upToRank += lessUrgent ? 0 : request.queue.loadShares.at(rank);
        reserved += lessUrgent ? shareOf(request, rank) : 0;
    }
    const double allowed = reserved > 0 ? std::clamp(1 - reserved + policy.urgentMargin, 0.01, 1.0) : 1;
    const double share = shareOf(request, request.call.rank);
    double load = pool * upToRank / allowed;
    if (share > 0) {
        load = std::min(load, pool * request.queue.loadShares.at(request.call.rank) / (share + policy.shareMargin));
    }
    double fraction = admittedFraction(load, policy.fullAdmissionLoad, policy.noAdmissionLoad);
    if (load > policy.poolLimitThreshold) {
        fraction *= admittedFraction(pool, policy.fullAdmissionPoolLoad, policy.noAdmissionPoolLoad);
    }
    return fraction >= 1 || request.random.unit() < fraction;
}

// True if no member of a small pool can take the call, now or after its circuit closes.
bool hasNoUsableEndpoint(const admission_request &request)
{
    const auto &members = request.table.pool(request.call.pool);
    if (members.size() > smallPoolSize) {
        return false;
    }
    return std::ranges::none_of(members, [&request](endpoint_id id) {
        const bool excluded = std::ranges::find(request.call.excluded, id) != request.call.excluded.end();
        return !excluded && !request.table.view(id).leaving;
    });
}

std::optional<refusal> decide(const no_admission & /*policy*/, const admission_request & /*request*/)
{
    return std::nullopt;
}

std::optional<refusal> decide(const target_admission &policy, const admission_request &request)
{
    const double target = std::chrono::duration<double>(queueTarget(request)).count();
    const double wait = estimatedWaitSeconds(request);
    const bool exceedsTarget = wait > target;
    if (!exceedsTarget && (request.call.attainedService > 0 || hasCapacity(policy, request))) {
        return std::nullopt;
    }
    if (request.call.attainedService == 0) {
        request.queue.refused.at(request.call.rank).add(1, request.now);
    }
    return refusal{.code = result_code::Overloaded,
                   .message = exceedsTarget ? fmt::format("estimated wait {:.2f} s, allowed {:.2f} s", wait, target)
                                            : fmt::format("no room for new programs of rank {}", request.call.rank),
                   .retryAfter = retryTime(policy, request)};
}

} // namespace

double estimatedWaitSeconds(const admission_request &request)
{
    const auto first = request.queue.waiting.begin();
    const double ahead = std::accumulate(first, first + request.call.rank + 1, 0.0);
    if (ahead == 0) {
        return 0;
    }
    const dispatch_rates rates = dispatchRates(request);
    // Before any dispatch, each endpoint is assumed to free one slot per assumed call duration.
    const double assumedRate = static_cast<double>(request.table.pool(request.call.pool).size()) / assumedCallSeconds;
    const double afterMoreUrgent = (ahead + 1) / std::max({rates.rankAndLessUrgent, assumedRate, 1e-3});
    const double guaranteedRate = shareOf(request, request.call.rank) * rates.all;
    return guaranteedRate <= 0
        ? afterMoreUrgent
        : std::min(afterMoreUrgent, (request.queue.waiting.at(request.call.rank) + 1) / guaranteedRate);
}

std::chrono::milliseconds retryTime(const target_admission &policy, const admission_request &request)
{
    double wait = estimatedWaitSeconds(request);
    if (request.call.attainedService == 0) {
        // Without a queue, a refusal means that the pool is full, which changes within about one queue target of the
        // rank; besides this call, all recently refused ones return.
        const dispatch_rates rates = dispatchRates(request);
        const double rate = std::max({rates.rankAndLessUrgent, shareOf(request, request.call.rank) * rates.all, 0.1});
        const double refused = request.queue.refused.at(request.call.rank).perSecond(request.now);
        wait = std::max(wait, std::chrono::duration<double>(queueTarget(request)).count()) * (1 + refused / rate);
    }
    const auto retry = std::chrono::milliseconds(static_cast<std::int64_t>(wait * 1000));
    return std::clamp(retry, policy.minRetry, policy.maxRetry);
}

std::optional<refusal> decideAdmission(const admission_policy &policy, const admission_request &request)
{
    if (request.table.isQuarantined(request.call.content, request.now)) {
        return refusal{.code = result_code::RequestQuarantined,
                       .message = "request is quarantined: endpoints failed while running it",
                       .retryAfter = std::chrono::milliseconds(0)};
    }
    if (hasNoUsableEndpoint(request)) {
        return refusal{.code = result_code::NoEndpoint,
                       .message = fmt::format("pool {} has no endpoint for this call", request.call.pool),
                       .retryAfter = std::chrono::milliseconds(1000)};
    }
    return std::visit([&request](const auto &chosen) { return decide(chosen, request); }, policy);
}

} // namespace jackdawpick::internal
