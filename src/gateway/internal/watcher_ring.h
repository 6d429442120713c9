#pragma once

// Which daemons watch a daemon closely, so that its death is noticed soon in a deployment whose ordinary heartbeats are
// rare.
//
//   watcher_ring ring("daemon-1");
//   ring.add("daemon-2");
//   for (const auto &name : ring.watchers(isAlive)) { sendHeartbeat(name); }
//
// The daemons lie on a ring by the hashes of their names, which scatters the hosts of a zone. The watchers of a daemon
// are the next live ones. No I/O; thread-compatible.

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawpick::gateway::internal
{

class watcher_ring
{
public:
    // When 55% of all daemons die at once, one of eight watchers is left with a probability of 99%.
    static constexpr std::size_t watchersPerDaemon = 8;

    explicit watcher_ring(const std::string &self);

    void add(const std::string &name);
    void remove(const std::string &name);
    // The daemons that watch this one.
    [[nodiscard]] std::vector<std::string> watchers(const std::function<bool(const std::string &)> &isAlive) const;

private:
    using position = std::pair<std::uint64_t, std::string>;

    [[nodiscard]] static position positionOf(const std::string &name);

    position m_self;
    std::set<position> m_others;
};

} // namespace jackdawpick::gateway::internal
