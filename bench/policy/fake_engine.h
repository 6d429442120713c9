#pragma once

// Model engine on virtual time: continuous batch with slots, decode speed that falls with the batch, one prefill at a
// time, prefix cache with least-recently-used eviction, and a queue by priority. Progress between changes of the batch
// is linear, so one event per call is enough.

#include "model/model.h"

#include <array>
#include <deque>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawpick::bench
{

struct engine_shape
{
    std::uint32_t slots = 24;
    double stepSeconds = 0.014; // Between two tokens of a call that is alone.
    double stepSecondsPerCall = 0.000175; // Added by every other call of the batch.
    double prefillTokensPerSecond = 8000;
    double prefillSlowdown = 0.25; // Part of the decode speed that is lost while a prefill runs.
    token_count cacheTokens = 800000;
};

struct engine_call
{
    std::uint64_t id = 0;
    std::uint32_t program = 0;
    std::size_t daemon = 0;
    rank_index rank = 0;
    rank_index priority = 0;
    token_count promptTokens = 0;
    token_count outputTokens = 0;
    token_count cachedTokens = 0; // Set by the engine.
    double arrivedAt = 0;
    double slotAt = 0;
    double firstTokenAt = 0;
    double finishedAt = 0;
};

// Slot seconds by rank in windows of this length, from time 0.
inline constexpr double shareWindowSeconds = 10;
using slot_windows = std::vector<std::array<double, 2>>;

class fake_engine
{
public:
    explicit fake_engine(const engine_shape &shape);

    void submit(engine_call call, double now);
    // Runs up to `now`; appends finished calls.
    void advance(double now, std::vector<engine_call> &finished);
    [[nodiscard]] std::optional<double> nextChange() const;
    // Loses the cache and all calls, which are returned.
    [[nodiscard]] std::vector<engine_call> crash(double now);
    void release(std::uint32_t program);
    [[nodiscard]] load_report load() const;
    // Cache events since the last call; `program` is the plan's index as text.
    [[nodiscard]] std::vector<cache_event> takeEvents();
    [[nodiscard]] const slot_windows &windows() const;

private:
    struct cache_entry
    {
        token_count tokens = 0;
        std::uint32_t users = 0;
        std::uint64_t usedAt = 0;
    };
    using ordered_calls = std::set<std::tuple<rank_index, std::uint64_t, std::uint64_t>>; // Priority, sequence, id

    [[nodiscard]] double decodeRate() const;
    void moveTo(double when);
    void fillSlots();
    void startPrefill();
    void finishPrefill();
    void finishDecode(std::vector<engine_call> &finished);
    void evict();
    void record(bool stored, std::uint32_t program, token_count tokens);

    engine_shape m_shape;
    double m_now = 0;
    double m_progress = 0; // Tokens that a call decoding since time 0 would have generated.
    std::unordered_map<std::uint64_t, engine_call> m_calls;
    ordered_calls m_queue; // Without a slot.
    ordered_calls m_toPrefill; // With a slot.
    std::optional<std::uint64_t> m_prefilling;
    double m_prefillEnd = 0;
    using decode_end = std::pair<double, std::uint64_t>; // Progress at the end, id
    std::priority_queue<decode_end, std::vector<decode_end>, std::greater<>> m_decoding;
    std::uint32_t m_inSlots = 0;
    std::array<std::uint32_t, 2> m_inSlotsByRank{};
    slot_windows m_windows;
    std::unordered_map<std::uint32_t, cache_entry> m_cache;
    std::set<std::pair<std::uint64_t, std::uint32_t>> m_leastRecent; // Unused entries only.
    token_count m_cached = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_eventSequence = 0;
    std::vector<cache_event> m_events;
};

} // namespace jackdawpick::bench
