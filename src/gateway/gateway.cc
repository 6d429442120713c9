#include "gateway/gateway.h"

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway
{

namespace
{

// As programPartition() and turnPartition() name the topics.
constexpr std::string_view budgetTopicPrefix = "programs-";
constexpr std::string_view turnTopicPrefix = "turns-";

} // namespace

std::string_view recordKindOf(const store::partition &where)
{
    if (where.topic.starts_with(turnTopicPrefix)) {
        return "turns";
    }
    return where.topic.starts_with(budgetTopicPrefix) ? "budgets" : "other";
}

gateway::gateway(gateway_options options)
    : m_impl(std::make_unique<implementation>(std::move(options)))
{
}

gateway::~gateway() = default;

std::vector<effect> gateway::handle(event input, time_point now)
{
    return m_impl->handle(std::move(input), now);
}

std::optional<time_point> gateway::nextDeadline() const
{
    return m_impl->nextDeadline();
}

bool gateway::ready() const
{
    return m_impl->ready();
}

std::vector<std::string> gateway::directory(std::string_view callerZone, time_point now) const
{
    return m_impl->directory(callerZone, now);
}

std::vector<std::string> gateway::readyDaemons(time_point now) const
{
    std::vector<std::string> names;
    std::ranges::transform(m_impl->readyDaemons(now), std::back_inserter(names), &internal::listed_daemon::name);
    return names;
}

gateway_status gateway::status(time_point now) const
{
    return m_impl->status(now);
}

std::size_t gateway::textBytes() const
{
    return m_impl->textBytes();
}

std::string gateway::dump(time_point now) const
{
    return m_impl->dump(now);
}

} // namespace jackdawpick::gateway
