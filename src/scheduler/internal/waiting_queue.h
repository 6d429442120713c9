#pragma once

// Waiting calls, indexed by pool, rank and policy order, by handle, and by expiry time.

#include "scheduler/internal/indexed_heap.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

namespace jackdawpick::internal
{

// Exponentially decayed event rate: after `decaySeconds` without events it has fallen to 1/e.
class event_rate
{
public:
    void add(double amount, time_point now);
    [[nodiscard]] double perSecond(time_point now) const;

private:
    double m_value = 0;
    time_point m_updated;
};

struct pool_queue
{
    std::string name;
    // One lane per rank; under first_come_first_served, lane 0 holds all calls.
    std::array<indexed_heap<std::pair<double, std::uint64_t>>, maxRanks> lanes;
    std::array<std::uint32_t, maxRanks> waiting{}; // By rank.
    std::array<event_rate, maxRanks> dispatched; // By rank.
    std::array<event_rate, maxRanks> refused;
    std::array<double, maxRanks> loadShares{}; // Moving average of each rank's share in this daemon's calls.
    time_point loadSharesUpdated;
    std::size_t sampleStart = 0; // Position at which admission samples a large pool next.
};

class waiting_queue
{
public:
    explicit waiting_queue(const order_policy &order);

    // The call stops waiting at `expiry`. Does nothing if the handle is already queued.
    void add(waiting_call call, time_point expiry);
    bool remove(std::uint64_t handle);
    [[nodiscard]] const waiting_call &call(std::uint32_t slot) const;
    // Removes the first call from its lane; reinsert() or erase() must follow.
    std::uint32_t popBest(pool_queue &pool, std::size_t lane);
    void reinsert(std::uint32_t slot);
    void erase(std::uint32_t slot);
    // Returns the slot of the call that expires first, if it has expired by `now`.
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
    std::vector<std::uint32_t> m_freeSlots;
    std::unordered_map<std::uint64_t, std::uint32_t> m_byHandle;
    std::vector<pool_queue> m_pools;
    std::unordered_map<std::string, std::uint32_t> m_poolIndex;
    indexed_heap<time_point> m_expiry;
    std::array<std::size_t, maxRanks> m_waiting{};
    std::uint64_t m_sequence = 0;
};

} // namespace jackdawpick::internal
