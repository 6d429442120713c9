#include "scheduler/internal/admission.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace jackdawpick::internal
{

namespace
{

constexpr std::size_t smallPool = 32;
constexpr double assumedCallSeconds = 5;
constexpr std::chrono::milliseconds defaultQueueTarget{1700};

std::chrono::milliseconds queueTarget(const admission_request &what)
{
    return what.call.rank < what.ranks.size() ? what.ranks[what.call.rank].queueTarget : defaultQueueTarget;
}

// Calls per second that this daemon can dispatch for the rank of the call.
double dispatchRate(const admission_request &what)
{
    double all = 0;
    double own = 0;
    for (std::size_t rank = 0; rank < maxRanks; ++rank) {
        const double rate = what.queue.dispatched.at(rank).perSecond(what.now);
        all += rate;
        own += rank >= what.call.rank ? rate : 0;
    }
    const double share = what.call.rank < what.ranks.size() ? what.ranks[what.call.rank].share : 0;
    return std::max(own, share * all);
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
    const double allowed = what.call.attainedService == 0 ? target * policy.firstCallPart : target;
    const double wait = estimatedWaitSeconds(what);
    if (wait <= allowed) {
        return std::nullopt;
    }
    what.queue.refused.at(what.call.rank).add(1, what.now);
    return refusal{.code = result_code::Overloaded,
                   .message = fmt::format("estimated wait {:.2f} s, allowed {:.2f} s", wait, allowed),
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
    // Before any dispatch the pool counts as one that frees a slot of each endpoint once per assumed call.
    const double unknown = static_cast<double>(what.table.pool(what.call.pool).size()) / assumedCallSeconds;
    return (ahead + 1) / std::max({dispatchRate(what), unknown, 1e-3});
}

std::chrono::milliseconds retryTime(const target_admission &policy, const admission_request &what)
{
    const double rate = std::max(dispatchRate(what), 0.1);
    const double refused = what.queue.refused.at(what.call.rank).perSecond(what.now);
    const double wait = estimatedWaitSeconds(what) * (1 + refused / rate);
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
