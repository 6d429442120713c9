#pragma once

// Watches a keyed partition of the log: lists the latest record of each key, then reads the changes. If the changes at
// the read position have expired in the log, the partition is listed again.
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
    std::chrono::milliseconds pollInterval{0}; // Time between a reply and the next read.
    std::chrono::milliseconds longPollTimeout{0}; // How long the store holds a read until a record arrives.
};

struct watch_update
{
    std::vector<store::record> records; // A record with an empty value deletes its key.
    // All keys of the partition; set only by the reply that completes a listing.
    std::optional<std::set<std::string>> allKeys;
    // The records were written later than this; unset in a listing, which also has old ones.
    std::optional<time_point> writtenAfter;
};

class keyed_watch
{
public:
    // Time before a failed call is retried.
    static constexpr std::chrono::milliseconds retryDelay{200};

    explicit keyed_watch(watch_options options);

    // Returns the next call if one is due. At most one call is outstanding.
    [[nodiscard]] std::optional<store::call> poll(time_point now);
    [[nodiscard]] watch_update onReply(const store::reply &result, time_point now);
    [[nodiscard]] std::optional<time_point> nextPoll() const;
    // When the latest read or listing that returned all that the partition held began; unset before the first one.
    [[nodiscard]] std::optional<time_point> shownAsOf() const;
    // Whether the partition has been listed completely at least once.
    [[nodiscard]] bool synchronised() const;

private:
    watch_update updateFrom(const store::reply &result, time_point now);
    watch_update onPage(const store::newest_page &page);

    watch_options m_options;
    bool m_listing = true;
    bool m_synchronised = false;
    bool m_callPending = false;
    time_point m_calledAt{};
    std::optional<time_point> m_readSince; // When the latest call with a complete answer was made.
    time_point m_listingBegan{};
    std::optional<time_point> m_shownAsOf;
    std::string m_after; // Last key of the previous page.
    std::set<std::string> m_listedKeys;
    std::optional<std::uint64_t> m_listEnd; // End offset of the partition when the listing began.
    std::uint64_t m_nextOffset = 0;
    time_point m_pollAt{};
};

} // namespace jackdawpick::gateway::internal
