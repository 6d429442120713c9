#pragma once

// Follows a keyed partition of the log: first the newest record of each key, then the changes; the list again when the
// changes have expired.
//
//   keyed_watch watch({.where = {"configuration", 0}, .pollInterval = 0ms, .longPollTimeout = 1s});
//   if (auto call = watch.poll(now)) { ... }            // then watch.onReply(reply, now)

#include "clock/clock.h"
#include "store/store.h"

#include <optional>
#include <set>

namespace jackdawpick::gateway::internal
{

struct watch_options
{
    store::partition where;
    std::chrono::milliseconds pollInterval{0}; // Between a reply and the next read.
    std::chrono::milliseconds longPollTimeout{0}; // How long a read waits for a change.
};

struct watch_update
{
    std::vector<store::record> records; // An empty value: the key was removed.
    // All keys of the partition, if the records completed a list.
    std::optional<std::set<std::string>> allKeys;
};

class keyed_watch
{
public:
    // Pause before a failed call is repeated.
    static constexpr std::chrono::milliseconds retryDelay{200};

    explicit keyed_watch(watch_options options);

    // The next call if one is due; at most one is open.
    [[nodiscard]] std::optional<store::call> poll(time_point now);
    [[nodiscard]] watch_update onReply(const store::reply &result, time_point now);
    [[nodiscard]] std::optional<time_point> nextPoll() const;
    // The list has been read at least once.
    [[nodiscard]] bool synchronised() const;

private:
    watch_update onPage(const store::newest_page &page);

    watch_options m_options;
    bool m_listing = true;
    bool m_synchronised = false;
    bool m_callPending = false;
    std::string m_after; // Last key of the page before.
    std::set<std::string> m_listedKeys;
    std::optional<std::uint64_t> m_listEnd; // End of the partition when the list began.
    std::uint64_t m_nextOffset = 0;
    time_point m_pollAt{};
};

} // namespace jackdawpick::gateway::internal
