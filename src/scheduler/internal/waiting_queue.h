#pragma once

// Waiting calls, indexed by pool, rank and policy order, by handle, and by the time at which they expire.

#include "scheduler/internal/indexed_heap.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

namespace jackdawpick::internal
{

// Decaying count of events: after `window` without any, an e-th of it is left.
class decaying_count
{
public:
    void add(double amount, time_point now);
    [[nodiscard]] double perSecond(time_point now) const;

private:
    double m_value = 0;
    time_point m_at;
};

struct pool_queue
{
    std::string name;
    // Lane 0 holds everything under first_come_first_served.
    std::array<indexed_heap<std::pair<double, std::uint64_t>>, maxRanks> lanes;
    std::array<std::uint32_t, maxRanks> waiting{}; // By rank.
    std::array<decaying_count, maxRanks> dispatched; // By rank.
    std::array<decaying_count, maxRanks> refused;
    std::array<double, maxRanks> mix{}; // Moving average of the ranks' parts in this daemon's calls.
    time_point mixAt;
    std::size_t sampleStart = 0; // Where admission last began to sample a big pool.
};

class waiting_queue
{
public:
    explicit waiting_queue(const order_policy &order);

    // `expiry` is when the call stops waiting. A handle that already waits is ignored.
    void add(waiting_call call, time_point expiry);
    bool remove(std::uint64_t handle);
    [[nodiscard]] const waiting_call &call(std::uint32_t slot) const;
    // Takes the call out of its lane, where it is the best one, until putBack() or erase().
    std::uint32_t takeBest(pool_queue &pool, std::size_t lane);
    void putBack(std::uint32_t slot);
    void erase(std::uint32_t slot);
    // The waiting call that expires first, if that is not after `now`.
    [[nodiscard]] std::optional<std::uint32_t> expired(time_point now) const;
    [[nodiscard]] std::optional<time_point> firstExpiry() const;

    [[nodiscard]] std::vector<pool_queue> &pools();
    pool_queue &pool(const std::string &name);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(rank_index rank) const;

private:
    struct stored_call
    {
        waiting_call call;
        std::uint32_t pool = 0;
        std::uint64_t sequence = 0;
        std::size_t lane = 0;
        double key = 0;
    };

    order_policy m_order;
    std::vector<stored_call> m_calls; // By slot.
    std::vector<std::uint32_t> m_free;
    std::unordered_map<std::uint64_t, std::uint32_t> m_byHandle;
    std::vector<pool_queue> m_pools;
    std::unordered_map<std::string, std::uint32_t> m_poolIndex;
    indexed_heap<time_point> m_expiry;
    std::array<std::size_t, maxRanks> m_waiting{};
    std::uint64_t m_sequence = 0;
};

} // namespace jackdawpick::internal
