#pragma once

// The endpoints known to a daemon and the choice of one for a request.
//
//   endpoint_pool pool;
//   pool.upsert({.id = "e1", .service = "model-pool", .address = "10.0.0.1:80", .zone = "a", .slots = 12}, now);
//   if (auto chosen = pool.choose({.service = "model-pool", .zone = "a"}, 0.5, now)) {
//       pool.onDispatched(chosen->id, now);
//       ...
//       pool.onFinished(chosen->id, request_outcome::Answered, 80ms, now);
//   }
//
// Pure; thread compatible.

#include "clock/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawpick::fleet
{

struct endpoint_entry
{
    std::string id; // Of one life of the endpoint.
    std::string service;
    std::string address; // "ip:port"
    std::string zone;
    std::uint32_t slots = 1; // Requests processed at the same time.
    bool draining = false;
    bool operator==(const endpoint_entry &) const = default;
};

// A part of a prompt; requests with the same leading parts can use what an engine has cached of them. The second part
// is that of one line of turns and grows with each of them.
struct prompt_segment
{
    std::string id;
    std::uint32_t tokens = 0;
    bool operator==(const prompt_segment &) const = default;
};

struct placement_request
{
    std::string service;
    std::string zone; // Of the daemon.
    std::vector<prompt_segment> prompt; // Empty for plain services.
    std::string affinity; // Requests with the same value do best on the same endpoint; may be empty.
    std::uint32_t outputTokens = 0; // Expected; 0 for plain services.
    std::set<std::string> excluded; // Ids of endpoints that have already rejected the request.
};

struct placement
{
    std::string id;
    std::string address;
    std::chrono::duration<double, std::milli> expectedWait{0}; // Until the endpoint begins with the request.
};

// How a request at an endpoint ended.
enum class request_outcome : std::uint8_t {
    Answered,
    Rejected, // The endpoint is full or leaving and has not run the request.
    Unreachable, // No connection.
    ConnectionLost, // The connection was lost or fell silent.
    Cancelled, // By the daemon; says nothing of the endpoint.
};

// Requests in flight at each endpoint, as reported by another daemon.
using endpoint_loads = std::vector<std::pair<std::string, std::uint32_t>>;

class endpoint_pool
{
public:
    // How long an endpoint is passed over after its first failure in a row; doubled with each further one.
    static constexpr std::chrono::milliseconds firstPause{300};
    static constexpr std::chrono::milliseconds longestPause{5000};
    // How long an endpoint that the list has lost while the store was away stays in use: living endpoints are listed
    // again within this time.
    static constexpr std::chrono::milliseconds lapseGrace{2000};
    // How long a connection is taken to be kept after its last request.
    static constexpr std::chrono::milliseconds keptConnectionLife{3000};

    // Returns whether the entry says something new.
    bool upsert(const endpoint_entry &entry, time_point now);
    // Takes the endpoint out of use: at once, or after the grace if its entry may have lapsed with the store away.
    void remove(const std::string &id, bool mayHaveLapsed, time_point now);
    // Withdraws all endpoints that are not among `listed`.
    void keepOnly(const std::set<std::string> &listed, bool mayHaveLapsed, time_point now);
    // An answer said that the endpoint is leaving or that another one has its address.
    void markLeaving(const std::string &id);

    // `daemons` share the connections that an endpoint accepts from all of them.
    void setConnectionLimit(const std::string &service, std::uint32_t maxConnections, std::size_t daemons);
    void setPeerLoads(const std::string &peer, const endpoint_loads &loads, time_point now);
    void removePeer(const std::string &peer);

    // Nothing if no endpoint of the service can be used. `noise` in [0, 1) breaks ties, so that daemons with the same
    // view do not all choose the same endpoint.
    [[nodiscard]] std::optional<placement> choose(const placement_request &request, double noise, time_point now) const;
    void onDispatched(const std::string &id, time_point now);
    // `took` is the time the endpoint worked on the request; it is ignored unless the request was answered.
    void onFinished(const std::string &id, request_outcome how, std::chrono::milliseconds took, time_point now);

    // The endpoint has sent `count` events of a stream, `took` after the ones before.
    void onStreamEvents(const std::string &id, std::uint32_t count, std::chrono::milliseconds took, time_point now);

    [[nodiscard]] endpoint_loads localLoads() const;
    // Requests in flight of all daemons for each slot of the usable endpoints; above 1, requests wait at endpoints.
    // 0 if the service has no usable endpoint.
    [[nodiscard]] double utilisation(const std::string &service, time_point now) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct endpoint
    {
        endpoint_entry entry;
        bool leaving = false;
        std::optional<time_point> goneAt; // The grace after a lapse ends.
        std::uint32_t inFlight = 0; // Of this daemon.
        std::uint32_t recentPeak = 0; // Most requests in flight since peakAt: so many connections are open.
        time_point peakAt{};
        unsigned failures = 0; // In a row.
        time_point pausedUntil{};
        std::optional<double> serviceMilliseconds; // Smoothed.
        std::optional<double> eventMilliseconds; // Between two events of a stream; smoothed.
        time_point eventsSeen{};
    };

    struct peer_view
    {
        std::unordered_map<std::string, std::uint32_t> loads;
        time_point reported;
    };

    // What is usual among the endpoints of a service, in milliseconds.
    struct usual_times
    {
        double service = 0;
        std::optional<double> event;
    };

    struct candidate
    {
        const endpoint *where = nullptr;
        double wait = 0; // Milliseconds.
        double cost = 0; // Milliseconds, the wait included.
    };

    [[nodiscard]] bool isUsable(const endpoint &value, time_point now) const;
    [[nodiscard]] std::uint32_t totalInFlight(const endpoint &value, time_point now) const;
    [[nodiscard]] candidate rate(const endpoint &value, const placement_request &request, const usual_times &usual,
                                 time_point now) const;
    void rateReading(const placement_request &request, std::vector<candidate> &candidates, time_point now) const;
    [[nodiscard]] usual_times usualTimes(const std::string &service) const;
    // How many times as long as usual the endpoint takes for an event, as far as that is known and recent; at least 1.
    [[nodiscard]] static double slownessOf(const endpoint &value, const usual_times &usual, time_point now);
    [[nodiscard]] std::uint32_t connectionLimit(const std::string &service) const;
    void forgetGone(time_point now);

    std::map<std::string, endpoint> m_endpoints;
    std::map<std::string, std::uint32_t> m_connectionLimits; // Of this daemon, by service.
    std::map<std::string, peer_view> m_peers;
};

} // namespace jackdawpick::fleet
