#pragma once

// Which endpoint the requests of one key (a conversation, an object) go to. All daemons come to the same order of the
// endpoints from what they share, and few keys move when endpoints come, go or change their weight.
//
//   const auto homes = selectHome(affinityKey("line 4711"), targets);
//   targets[homes.preferred]; // Gets the request unless it is much busier than others.
//
// Performs no I/O and reads no clock. Thread compatible.

#include "clock/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace jackdawpick::fleet
{

[[nodiscard]] std::uint64_t affinityKey(std::string_view value);

// Weighted rendezvous hashing: an endpoint has the highest score for a share of the keys that is proportional to its
// weight. Adding or removing an endpoint, or changing one weight, moves only the keys that it gains or loses.
[[nodiscard]] double rendezvousScore(std::uint64_t key, std::string_view endpoint, double weight);

struct affinity_target
{
    std::string_view id;
    double weight = 1; // Slots times the weight of the lasting speed.
    bool hasRoom = true; // Its load is within loadBound(), and nothing else speaks against it now.
    bool isSlow = false; // Lastingly.
    bool isLightlyLoaded = true;
};

struct home_selection
{
    std::size_t first = 0; // The target with the highest score.
    std::size_t preferred = 0; // The first in the order of scores that has room.
};

// `targets` is not empty. If all are full, the first one is preferred. A slow target leaves its keys to the next one in
// the order that is not slow, while that one is lightly loaded: capacity is not scarce then, and only time counts.
[[nodiscard]] home_selection selectHome(std::uint64_t key, std::span<const affinity_target> targets);

// Bounded load: an endpoint has room for a request with which its load is at most this. `total` is the load of all
// endpoints with the new request, `share` the fraction of it that is due to the endpoint. Up to
// three quarters of its slots, and for one request, an endpoint has room in any case: requests do not wait there, and
// small numbers are random.
[[nodiscard]] double loadBound(double total, double share, double slots);
[[nodiscard]] bool isLightLoad(double load, double slots);

// The number of engines that hold each shared first part of the prompts of a service, from the memory of the engines
// and what is in use.
class first_parts
{
public:
    // Without knowledge of the memory, and at least.
    static constexpr double minHolderShare = 1.0 / 3;
    // A first part that was not requested for this time is not counted.
    static constexpr std::chrono::seconds retention{60};
    static constexpr std::size_t maxParts = 64;

    // Tokens that an engine can keep; 0 if not known.
    void setMemory(double tokens);
    // A request with the first part `key` was sent to an engine with this many slots; it occupies `ownTokens` beyond
    // its first part.
    void onRequest(std::uint64_t key, double tokens, double ownTokens, double slots, time_point now);
    // The fraction of the engines that hold each first part.
    [[nodiscard]] double holderShare() const;

private:
    struct part
    {
        std::uint64_t key = 0;
        double tokens = 0;
        std::uint32_t uses = 0;
        time_point usedAt{};
    };

    void count(std::uint64_t key, double tokens, time_point now);
    void updateShare(double slots);

    double m_memory = 0;
    double m_ownTokens = 0; // Smoothed.
    double m_share = minHolderShare;
    time_point m_updatedAt{};
    std::vector<part> m_parts;
};

} // namespace jackdawpick::fleet
