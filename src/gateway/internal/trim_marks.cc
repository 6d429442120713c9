#include "gateway/internal/trim_marks.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway::internal
{

void trim_marks::add(const store::partition &where, std::uint64_t end, time_point written)
{
    auto &marks = m_marks[where];
    auto next = std::ranges::find_if(marks, [end](const mark &entry) { return entry.end >= end; });
    if (next != marks.end() && next->last <= written) {
        return;
    }
    // Marks that state less than the new one.
    const auto dominated =
        std::find_if(marks.begin(), next, [written](const mark &entry) { return entry.last >= written; });
    next = marks.erase(dominated, next);
    if (next != marks.begin() && written - std::prev(next)->first < mergeInterval) {
        std::prev(next)->end = end;
        std::prev(next)->last = written;
        return;
    }
    marks.insert(next, {.end = end, .first = written, .last = written});
}

void trim_marks::onTrimmed(const store::partition &where, std::uint64_t before)
{
    const auto found = m_marks.find(where);
    if (found == m_marks.end()) {
        return;
    }
    std::erase_if(found->second, [before](const mark &entry) { return entry.end <= before; });
    if (found->second.empty()) {
        m_marks.erase(found);
    }
}

void trim_marks::onTrimFailed(const due_trim &trim, time_point now, std::chrono::milliseconds keepTime)
{
    const auto added = now - keepTime + retryDelay;
    m_marks[trim.where].push_front({.end = trim.before, .first = added, .last = added});
}

std::vector<trim_marks::due_trim>
trim_marks::takeDue(time_point now, std::chrono::milliseconds keepTime,
                    const std::function<std::chrono::milliseconds(const store::partition &)> &delayOf)
{
    std::vector<due_trim> due;
    for (auto &[where, marks] : m_marks) {
        if (marks.empty() || now - marks.front().last < keepTime) {
            continue;
        }
        const auto latest = now - keepTime - delayOf(where);
        const auto firstKept = std::ranges::find_if(marks, [latest](const mark &entry) { return entry.last > latest; });
        if (firstKept != marks.begin()) {
            due.push_back({.where = where, .before = std::prev(firstKept)->end});
            marks.erase(marks.begin(), firstKept);
        }
    }
    std::erase_if(m_marks, [](const auto &entry) { return entry.second.empty(); });
    return due;
}

std::vector<trim_marks::held_mark> trim_marks::all() const
{
    std::vector<held_mark> result;
    for (const auto &entry : m_marks) {
        std::ranges::transform(entry.second, std::back_inserter(result), [&entry](const mark &held) {
            return held_mark{entry.first, held.end, held.last};
        });
    }
    return result;
}

bool trim_marks::contains(const store::partition &where) const
{
    return m_marks.contains(where);
}

bool trim_marks::empty() const
{
    return m_marks.empty();
}

} // namespace jackdawpick::gateway::internal
