#include "programs/programs.h"

#include <utility>

namespace jackdawpick::programs
{

namespace
{

// What an entry with a history owns beside its chain and the texts: its id in the list of histories with the node of
// that, and the segments.
std::size_t historyOverheadBytes(const std::string &id, const std::optional<rope> &history)
{
    if (!history.has_value()) {
        return 0;
    }
    return heapBytes(id) + blockBytes(sizeof(std::string) + 2 * sizeof(void *)) + blockBytes(history->heapBytes());
}

} // namespace

turn_cache::turn_cache(const turn_cache_limits &limits)
    : m_limits(limits)
    , m_entries(limits.chainBytes)
{
}

void turn_cache::add(const std::string &id, rope history, turn_chain chain, time_point now)
{
    if (auto *known = m_entries.find(id); known != nullptr) {
        dropHistory(*known);
    }
    m_texts.add(history);
    m_byRecency.push_front(id);
    put(id, {.chain = std::move(chain), .added = now, .history = std::move(history), .position = m_byRecency.begin()});
    evictHistories();
}

void turn_cache::addChain(const std::string &id, turn_chain chain, time_point now)
{
    if (!m_entries.contains(id)) {
        put(id, {.chain = std::move(chain), .added = now, .history = std::nullopt, .position = {}});
    }
}

void turn_cache::put(const std::string &id, entry value)
{
    value.chain.records.shrink_to_fit();
    const auto bytes = heapBytes(value.chain.records) + historyOverheadBytes(id, value.history);
    for (auto &evicted : m_entries.put(id, std::move(value), bytes)) {
        dropHistory(evicted.value);
        if (!evicted.value.chain.records.empty()) {
            m_evicted.push_back(evicted.value.chain.records.back());
        }
    }
}

void turn_cache::dropHistory(entry &value)
{
    if (value.history.has_value()) {
        m_texts.remove(*value.history);
        value.history.reset();
        m_byRecency.erase(value.position);
    }
}

// Keeps the most recent history even if it alone exceeds the limit.
void turn_cache::evictHistories()
{
    while (m_texts.bytes() > m_limits.textBytes && m_byRecency.size() > 1) {
        evictOldestText();
    }
}

bool turn_cache::evictOldestText()
{
    if (m_byRecency.empty()) {
        return false;
    }
    const auto id = m_byRecency.back();
    auto value = std::move(*m_entries.peek(id));
    dropHistory(value);
    put(id, std::move(value)); // Once more, since it counts with what it holds now.
    return true;
}

const rope *turn_cache::find(const std::string &id)
{
    auto *found = m_entries.find(id);
    if (found == nullptr || !found->history.has_value()) {
        return nullptr;
    }
    m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->position);
    return &*found->history;
}

const turn_chain *turn_cache::chainOf(const std::string &id)
{
    const auto *found = m_entries.find(id);
    return found == nullptr ? nullptr : &found->chain;
}

void turn_cache::evictExpired(time_point now)
{
    auto expired = m_entries.extractIf([&](const entry &value) { return now - value.added > m_limits.retention; });
    for (auto &item : expired) {
        dropHistory(item.value);
    }
}

std::vector<turn_location> turn_cache::takeEvicted()
{
    return std::exchange(m_evicted, {});
}

std::size_t turn_cache::textBytes() const
{
    return m_texts.bytes();
}

std::size_t turn_cache::chainBytes() const
{
    return m_entries.bytes();
}

std::size_t turn_cache::size() const
{
    return m_entries.size();
}

std::size_t turn_cache::textCount() const
{
    return m_byRecency.size();
}

} // namespace jackdawpick::programs
