#include "fake_engine.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jackdawpick::bench
{

fake_engine::fake_engine(const engine_shape &shape)
    : m_shape(shape)
{
}

double fake_engine::decodeRate() const
{
    const double others = m_decoding.empty() ? 0 : static_cast<double>(m_decoding.size() - 1);
    const double full = 1 / (m_shape.stepSeconds + m_shape.stepSecondsPerCall * others);
    return m_prefilling ? full * (1 - m_shape.prefillSlowdown) : full;
}

void fake_engine::moveTo(double when)
{
    m_progress += (when - m_now) * decodeRate();
    while (m_now < when) {
        const auto window = static_cast<std::size_t>(m_now / shareWindowSeconds);
        const double end = std::min(when, static_cast<double>(window + 1) * shareWindowSeconds);
        if (m_windows.size() <= window) {
            m_windows.resize(window + 1);
        }
        for (std::size_t rank = 0; rank < m_inSlotsByRank.size(); ++rank) {
            m_windows[window].at(rank) += (end - m_now) * m_inSlotsByRank.at(rank);
        }
        m_now = end;
    }
}

void fake_engine::submit(engine_call call, double now)
{
    std::vector<engine_call> finished;
    moveTo(now);
    call.arrivedAt = now;
    m_queue.insert({call.priority, ++m_sequence, call.id});
    m_calls.emplace(call.id, call);
    fillSlots();
}

void fake_engine::fillSlots()
{
    while (m_inSlots < m_shape.slots && !m_queue.empty()) {
        const auto first = *m_queue.begin();
        m_queue.erase(m_queue.begin());
        engine_call &call = m_calls.at(std::get<2>(first));
        ++m_inSlots;
        call.slotAt = m_now;
        ++m_inSlotsByRank.at(call.rank);
        cache_entry &entry = m_cache[call.program];
        if (entry.users++ == 0) {
            m_leastRecent.erase({entry.usedAt, call.program});
        }
        m_toPrefill.insert(first);
    }
    startPrefill();
    evict();
}

void fake_engine::startPrefill()
{
    if (m_prefilling || m_toPrefill.empty()) {
        return;
    }
    const std::uint64_t id = std::get<2>(*m_toPrefill.begin());
    m_toPrefill.erase(m_toPrefill.begin());
    engine_call &call = m_calls.at(id);
    cache_entry &entry = m_cache[call.program];
    call.cachedTokens = std::min(entry.tokens, call.promptTokens - 1);
    // Memory of the whole call is taken at once.
    const token_count needed = std::max(entry.tokens, call.promptTokens + call.outputTokens);
    m_cached += needed - entry.tokens;
    entry.tokens = needed;
    m_prefilling = id;
    m_prefillEnd = m_now + static_cast<double>(call.promptTokens - call.cachedTokens) / m_shape.prefillTokensPerSecond;
}

void fake_engine::finishPrefill()
{
    engine_call &call = m_calls.at(*m_prefilling);
    call.firstTokenAt = m_now;
    m_decoding.emplace(m_progress + static_cast<double>(call.outputTokens), call.id);
    m_prefilling.reset();
    startPrefill();
}

void fake_engine::finishDecode(std::vector<engine_call> &finished)
{
    const std::uint64_t id = m_decoding.top().second;
    m_decoding.pop();
    engine_call call = m_calls.at(id);
    m_calls.erase(id);
    call.finishedAt = m_now;
    --m_inSlots;
    --m_inSlotsByRank.at(call.rank);
    cache_entry &entry = m_cache[call.program];
    entry.usedAt = ++m_sequence;
    if (--entry.users == 0) {
        m_leastRecent.insert({entry.usedAt, call.program});
    }
    record(true, call.program, entry.tokens);
    finished.push_back(call);
    fillSlots();
}

void fake_engine::evict()
{
    while (m_cached > m_shape.cacheTokens && !m_leastRecent.empty()) {
        const std::uint32_t program = m_leastRecent.begin()->second;
        m_leastRecent.erase(m_leastRecent.begin());
        const token_count tokens = m_cache.at(program).tokens;
        m_cached -= tokens;
        m_cache.erase(program);
        record(false, program, tokens);
    }
}

void fake_engine::release(std::uint32_t program)
{
    const auto found = m_cache.find(program);
    if (found == m_cache.end() || found->second.users > 0) {
        return;
    }
    m_leastRecent.erase({found->second.usedAt, program});
    m_cached -= found->second.tokens;
    record(false, program, found->second.tokens);
    m_cache.erase(found);
}

void fake_engine::record(bool stored, std::uint32_t program, token_count tokens)
{
    m_events.push_back(
        {.sequence = ++m_eventSequence, .stored = stored, .program = std::to_string(program), .tokens = tokens});
}

std::optional<double> fake_engine::nextChange() const
{
    double next = std::numeric_limits<double>::infinity();
    if (m_prefilling) {
        next = m_prefillEnd;
    }
    if (!m_decoding.empty()) {
        next = std::min(next, m_now + std::max(0.0, m_decoding.top().first - m_progress) / decodeRate());
    }
    return std::isinf(next) ? std::nullopt : std::optional(next);
}

void fake_engine::advance(double now, std::vector<engine_call> &finished)
{
    constexpr double rounding = 1e-6; // Tokens; sums of fractions do not end exactly at the target.
    while (const auto next = nextChange()) {
        if (*next > now) {
            break;
        }
        moveTo(std::max(*next, m_now));
        if (m_prefilling && m_prefillEnd <= m_now) {
            finishPrefill();
        } else if (!m_decoding.empty() && m_decoding.top().first <= m_progress + rounding) {
            finishDecode(finished);
        } else {
            break;
        }
    }
    moveTo(std::max(now, m_now));
}

std::vector<engine_call> fake_engine::crash(double now)
{
    moveTo(now);
    std::vector<engine_call> lost;
    std::ranges::for_each(m_calls, [&lost](const auto &each) { lost.push_back(each.second); });
    std::ranges::sort(lost, {}, &engine_call::id);
    const slot_windows windows = m_windows;
    const double progress = m_progress;
    *this = fake_engine(m_shape);
    m_now = now;
    m_progress = progress;
    m_windows = windows;
    return lost;
}

load_report fake_engine::load() const
{
    return {.running = m_inSlots,
            .queued = static_cast<std::uint32_t>(m_queue.size()),
            .slots = m_shape.slots,
            .cacheUsedTokens = m_cached,
            .cacheTotalTokens = m_shape.cacheTokens};
}

std::vector<cache_event> fake_engine::takeEvents()
{
    return std::exchange(m_events, {});
}

const slot_windows &fake_engine::windows() const
{
    return m_windows;
}

} // namespace jackdawpick::bench
