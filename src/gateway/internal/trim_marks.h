#pragma once

// Which records of the partitions of turns may be deleted, and when.
//
// A mark states that all records before an offset were written by a certain time. Marks come from the daemons that
// append; several daemons hold those of a partition, so that they survive restarts.
//
//   trim_marks marks;
//   marks.add(where, offset + 1, now);
//   for (const auto &due : marks.takeDue(now, keepTime, delayOf)) { ... }   // delete the records before due.before
//
// Performs no I/O.

#include "clock/clock.h"
#include "store/store.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace jackdawpick::gateway::internal
{

class trim_marks
{
public:
    // Marks of one partition within this time are merged, which bounds the number of calls that delete records.
    static constexpr std::chrono::milliseconds mergeInterval{10000};
    // Time before a failed deletion is repeated.
    static constexpr std::chrono::milliseconds retryDelay{10000};

    struct due_trim
    {
        store::partition where;
        std::uint64_t before = 0;
        bool operator==(const due_trim &) const = default;
    };

    struct held_mark
    {
        store::partition where;
        std::uint64_t end = 0;
        time_point written;
    };

    // All records before `end` were written by the given time. Marks may be added in any order.
    void add(const store::partition &where, std::uint64_t end, time_point written);
    // The records before the offset were deleted.
    void onTrimmed(const store::partition &where, std::uint64_t before);
    // The records before the offset could not be deleted.
    void onTrimFailed(const due_trim &trim, time_point now, std::chrono::milliseconds keepTime);
    // Removes and returns the latest mark of each partition that is older than `keepTime` and the partition's delay.
    [[nodiscard]] std::vector<due_trim>
    takeDue(time_point now, std::chrono::milliseconds keepTime,
            const std::function<std::chrono::milliseconds(const store::partition &)> &delayOf);
    [[nodiscard]] std::vector<held_mark> all() const;
    [[nodiscard]] bool contains(const store::partition &where) const;
    [[nodiscard]] bool empty() const;

private:
    struct mark
    {
        std::uint64_t end = 0; // All records before this offset were written by `last`.
        time_point first; // When the first of the merged marks was added.
        time_point last;
    };

    std::map<store::partition, std::deque<mark>> m_marks; // By offset, and so by time.
};

} // namespace jackdawpick::gateway::internal
