#include "gateway/internal/keyed_watch.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::gateway::internal
{

keyed_watch::keyed_watch(watch_options options)
    : m_options(std::move(options))
{
}

std::optional<store::call> keyed_watch::poll(time_point now)
{
    if (m_callPending || now < m_pollAt) {
        return std::nullopt;
    }
    m_callPending = true;
    m_calledAt = now;
    if (m_listing) {
        if (m_after.empty()) {
            m_listingBegan = now;
        }
        return store::newest_call{.where = m_options.where, .after = m_after};
    }
    return store::read_call{
        .where = m_options.where, .from = m_nextOffset, .wait = m_options.longPollTimeout, .keyed = true};
}

watch_update keyed_watch::onReply(const store::reply &result, time_point now)
{
    auto update = updateFrom(result, now);
    const bool isRead = std::holds_alternative<store::records_read>(result);
    if (isRead) {
        update.writtenAfter = m_readSince;
    }
    if (isRead || update.allKeys.has_value()) {
        // A listing shows the keys of its first page as they were when that page was asked for.
        m_readSince = isRead ? m_calledAt : m_listingBegan;
    }
    if (const auto *read = std::get_if<store::records_read>(&result);
        update.allKeys.has_value() || (read != nullptr && m_nextOffset >= read->end)) {
        m_shownAsOf = m_readSince;
    }
    return update;
}

watch_update keyed_watch::updateFrom(const store::reply &result, time_point now)
{
    m_callPending = false;
    m_pollAt = now + m_options.pollInterval;
    if (const auto *page = std::get_if<store::newest_page>(&result)) {
        m_pollAt = now;
        return onPage(*page);
    }
    if (const auto *read = std::get_if<store::records_read>(&result)) {
        m_nextOffset = std::max(m_nextOffset, read->next);
        return {.records = read->records, .allKeys = std::nullopt, .writtenAfter = std::nullopt};
    }
    if (std::holds_alternative<store::expired>(result)) {
        m_listing = true;
        m_pollAt = now;
        return {};
    }
    m_pollAt = now + retryDelay;
    return {};
}

watch_update keyed_watch::onPage(const store::newest_page &page)
{
    watch_update update{.records = page.records, .allKeys = std::nullopt, .writtenAfter = std::nullopt};
    std::ranges::transform(page.records, std::inserter(m_listedKeys, m_listedKeys.end()), &store::record::key);
    // The pages of a listing are not one snapshot, so changes are read from the end offset that the first page
    // reported.
    m_listEnd = m_listEnd.value_or(page.end);
    if (page.more && !page.records.empty()) {
        m_after = page.records.back().key;
        return update;
    }
    m_listing = false;
    m_synchronised = true;
    m_after.clear();
    m_nextOffset = *std::exchange(m_listEnd, std::nullopt);
    update.allKeys = std::exchange(m_listedKeys, {});
    return update;
}

std::optional<time_point> keyed_watch::nextPoll() const
{
    return m_callPending ? std::nullopt : std::optional(m_pollAt);
}

std::optional<time_point> keyed_watch::shownAsOf() const
{
    return m_shownAsOf;
}

bool keyed_watch::synchronised() const
{
    return m_synchronised;
}

} // namespace jackdawpick::gateway::internal
