#include "scheduler/internal/admission.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace jackdawpick::internal
{

namespace
{

constexpr std::size_t smallPool = 32;
constexpr std::size_t poolSample = 16;
constexpr double assumedCallSeconds = 5;
constexpr std::chrono::milliseconds defaultQueueTarget{1700};

std::chrono::milliseconds queueTarget(const admission_request &what)
{
    return what.call.rank < what.ranks.size() ? what.ranks[what.call.rank].queueTarget : defaultQueueTarget;
}

double shareOf(const admission_request &what, std::size_t rank)
{
    return rank < what.ranks.size() ? what.ranks[rank].share : 0;
}

struct dispatch_rates
{
    double all = 0;
    double ownAndBelow = 0; // What the rank gets when nothing more urgent waits.
};

// Calls per second that this daemon has lately dispatched.
dispatch_rates dispatchRates(const admission_request &what)
{
    dispatch_rates rates;
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const double rate = what.queue.dispatched.at(rank).perSecond(what.now);
        rates.all += rate;
        rates.ownAndBelow += rank >= what.call.rank ? rate : 0;
    }
    return rates;
}

// Mean load of the pool's usable endpoints; of a sample in a big pool.
double poolLoad(const admission_request &what)
{
    const auto &members = what.table.pool(what.call.pool);
    const std::size_t tried = std::min(members.size(), members.size() <= smallPool ? members.size() : poolSample);
    double sum = 0;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < tried; ++i) {
        const endpoint_id id = members[what.queue.sampleStart++ % members.size()];
        const endpoint_view &view = what.table.view(id);
        if (!view.leaving && view.circuit == circuit_state::Closed) {
            sum += what.table.load(id, what.now);
            ++usable;
        }
    }
    return usable == 0 ? 0 : sum / static_cast<double>(usable);
}

// Parts of the ranks in the pool's load, taken from this daemon's own calls, waiting ones included, since reports do not
// tell ranks apart. A daemon has few calls in flight, and a flood asks often enough to find every low reading of a noisy
// value, so the parts are averaged over time.
void updateMix(const target_admission &policy, const admission_request &what)
{
    const auto &inFlight = what.table.inFlight(what.call.pool);
    const double total = std::max(1.0, std::accumulate(inFlight.begin(), inFlight.end(), 0.0));
    const double passed = std::chrono::duration<double>(what.now - what.queue.mixAt).count();
    const double weight = policy.mixSeconds <= 0 ? 1 : 1 - std::exp(-passed / policy.mixSeconds);
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const double part = (inFlight.at(rank) + what.queue.waiting.at(rank)) / total;
        what.queue.mix.at(rank) += weight * (part - what.queue.mix.at(rank));
    }
    what.queue.mixAt = what.now;
}

// Part of the new programs to admit at this load.
double admittedPart(double load, double full, double none)
{
    return std::clamp((none - load) / (none - full), 0.0, 1.0);
}

// Whether a new program of the rank fits: the rank and the more urgent ones together must leave the shares of the less
// urgent ones free, or the rank must be below its own share.
bool hasRoom(const target_admission &policy, const admission_request &what)
{
    updateMix(policy, what);
    const double pool = poolLoad(what);
    double upToRank = 0;
    double reserved = 0;
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        upToRank += rank <= what.call.rank ? what.queue.mix.at(rank) : 0;
        reserved += rank > what.call.rank ? shareOf(what, rank) : 0;
    }
    const double allowed = reserved > 0 ? std::clamp(1 - reserved + policy.urgentMargin, 0.01, 1.0) : 1;
    const double share = shareOf(what, what.call.rank);
    double load = pool * upToRank / allowed;
    if (share > 0) {
        load = std::min(load, pool * what.queue.mix.at(what.call.rank) / (share + policy.shareMargin));
    }
    double part = admittedPart(load, policy.fullAdmissionLoad, policy.noAdmissionLoad);
    if (load > policy.boundedFrom) {
        part *= admittedPart(pool, policy.fullPoolLoad, policy.noPoolLoad);
    }
    return part >= 1 || what.random.unit() < part;
}

// True if a small pool has no member that could take the call now or after its circuit closes.
bool hopeless(const admission_request &what)
{
    const auto &members = what.table.pool(what.call.pool);
    if (members.size() > smallPool) {
        return false;
    }
    return std::ranges::none_of(members, [&what](endpoint_id id) {
        const bool tried = std::ranges::find(what.call.excluded, id) != what.call.excluded.end();
        return !tried && !what.table.view(id).leaving;
    });
}

std::optional<refusal> verdict(const no_admission & /*policy*/, const admission_request & /*what*/)
{
    return std::nullopt;
}

std::optional<refusal> verdict(const target_admission &policy, const admission_request &what)
{
    const double target = std::chrono::duration<double>(queueTarget(what)).count();
    const double wait = estimatedWaitSeconds(what);
    const bool late = wait > target;
    if (!late && (what.call.attainedService > 0 || hasRoom(policy, what))) {
        return std::nullopt;
    }
    if (what.call.attainedService == 0) {
        what.queue.refused.at(what.call.rank).add(1, what.now);
    }
    return refusal{.code = result_code::Overloaded,
                   .message = late ? fmt::format("estimated wait {:.2f} s, allowed {:.2f} s", wait, target)
                                   : fmt::format("no room for new programs of rank {}", what.call.rank),
                   .retryAfter = retryTime(policy, what)};
}

} // namespace

double estimatedWaitSeconds(const admission_request &what)
{
    const auto first = what.queue.waiting.begin();
    const double ahead = std::accumulate(first, first + what.call.rank + 1, 0.0);
    if (ahead == 0) {
        return 0;
    }
    const dispatch_rates rates = dispatchRates(what);
    // Before any dispatch the pool counts as one that frees a slot of each endpoint once per assumed call.
    const double unknown = static_cast<double>(what.table.pool(what.call.pool).size()) / assumedCallSeconds;
    const double byRank = (ahead + 1) / std::max({rates.ownAndBelow, unknown, 1e-3});
    const double shared = shareOf(what, what.call.rank) * rates.all;
    return shared <= 0 ? byRank : std::min(byRank, (what.queue.waiting.at(what.call.rank) + 1) / shared);
}

std::chrono::milliseconds retryTime(const target_admission &policy, const admission_request &what)
{
    double wait = estimatedWaitSeconds(what);
    if (what.call.attainedService == 0) {
        // A refusal without a queue means a full pool, whose state changes within about one wait that the rank accepts;
        // beside this call, all others that were refused lately come back.
        const dispatch_rates rates = dispatchRates(what);
        const double rate = std::max({rates.ownAndBelow, shareOf(what, what.call.rank) * rates.all, 0.1});
        const double refused = what.queue.refused.at(what.call.rank).perSecond(what.now);
        wait = std::max(wait, std::chrono::duration<double>(queueTarget(what)).count()) * (1 + refused / rate);
    }
    const auto retry = std::chrono::milliseconds(static_cast<std::int64_t>(wait * 1000));
    return std::clamp(retry, policy.minRetry, policy.maxRetry);
}

std::optional<refusal> admitBy(const admission_policy &policy, const admission_request &what)
{
    if (what.table.isQuarantined(what.call.content, what.now)) {
        return refusal{.code = result_code::RequestQuarantined,
                       .message = "endpoints died while they ran this request",
                       .retryAfter = std::chrono::milliseconds(0)};
    }
    if (hopeless(what)) {
        return refusal{.code = result_code::NoEndpoint,
                       .message = fmt::format("pool {} has no endpoint for this call", what.call.pool),
                       .retryAfter = std::chrono::milliseconds(1000)};
    }
    return std::visit([&what](const auto &chosen) { return verdict(chosen, what); }, policy);
}

} // namespace jackdawpick::internal
