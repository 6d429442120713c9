#include "crashes/internal/open_runs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawpick::crashes::internal
{

namespace
{

// The numbers of the runs with this key, in their order.
template<typename Key>
std::vector<run_number> numbersOf(const std::set<std::pair<Key, run_number>> &index, const Key &key)
{
    std::vector<run_number> numbers;
    for (auto place = index.lower_bound({key, run_number{0}}); place != index.end() && place->first == key; ++place) {
        numbers.push_back(place->second);
    }
    return numbers;
}

} // namespace

void open_runs::add(open_run run)
{
    if (m_runs.size() >= maxRuns) {
        erase(m_runs.begin()->first);
        ++m_dropped;
    }
    const run_number number{++m_lastNumber};
    m_byEndpoint.emplace(run.endpoint.id, number);
    m_byContent.emplace(run.request.content, number);
    m_runs.emplace(number, std::move(run));
}

open_run *open_runs::findUnderWay(const endpoint_calls::request_identity &request,
                                  const endpoint_calls::endpoint_incarnation &endpoint)
{
    const auto numbers = ofContent(request.content);
    const auto found = std::ranges::find_if(numbers, [&](run_number number) {
        const auto &run = at(number);
        return run.source == run_source::Own && run.isUnderWay() && run.request == request && run.endpoint == endpoint;
    });
    return found == numbers.end() ? nullptr : &at(*found);
}

std::vector<run_number> open_runs::all() const
{
    std::vector<run_number> numbers;
    numbers.reserve(m_runs.size());
    std::ranges::transform(m_runs, std::back_inserter(numbers), [](const auto &item) { return item.first; });
    return numbers;
}

std::vector<run_number> open_runs::atEndpoint(const std::string &id) const
{
    return numbersOf(m_byEndpoint, id);
}

std::vector<run_number> open_runs::ofContent(std::uint64_t content) const
{
    return numbersOf(m_byContent, content);
}

open_run &open_runs::at(run_number number)
{
    return m_runs.at(number);
}

const open_run &open_runs::at(run_number number) const
{
    return m_runs.at(number);
}

void open_runs::eraseIf(const std::vector<run_number> &numbers, const std::function<bool(open_run &)> &condition)
{
    for (const auto number : numbers) {
        if (condition(at(number))) {
            erase(number);
        }
    }
}

void open_runs::erase(run_number number)
{
    const auto node = m_runs.extract(number);
    m_byEndpoint.erase({node.mapped().endpoint.id, number});
    m_byContent.erase({node.mapped().request.content, number});
}

std::size_t open_runs::size() const
{
    return m_runs.size();
}

std::set<std::string> open_runs::endpoints() const
{
    std::set<std::string> ids;
    std::ranges::transform(m_byEndpoint, std::inserter(ids, ids.end()), [](const auto &item) { return item.first; });
    return ids;
}

std::size_t open_runs::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace jackdawpick::crashes::internal
