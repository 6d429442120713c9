#pragma once

// Rate limits that endpoints state in their responses, and permits to send to such endpoints.
//
//   limit_table limits;                                  // What every daemon knows.
//   limits.onStated("endpoint-1", 4.0, now);             // 4 requests a second from all daemons together
//   limits.onNotStated("endpoint-1", dispatchedAt, now); // a later response without a limit ends it
//
//   permit_issuer permits;                               // At the one daemon that issues them for an endpoint.
//   permits.issueFor({{"endpoint-1", 4.0}}, now);
//   if (permits.take("endpoint-1", 0, now).granted) { ... }
//
// No I/O; thread compatible.

#include "clock/clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawpick::limits
{

// What an endpoint stated in its responses to one daemon.
struct limit_report
{
    std::string endpoint;
    std::optional<double> rate; // Requests per second from all daemons together; unset if it stated no limit.
    std::chrono::milliseconds age{0};
    bool operator==(const limit_report &) const = default;
};

// A limit that is in force.
struct endpoint_limit
{
    std::string endpoint;
    double rate = 0; // Requests per second.
    bool operator==(const endpoint_limit &) const = default;
};

// The limits in force, from this daemon's own responses and the reports of its peers. The latest statement counts.
class limit_table
{
public:
    // Statements are forgotten after this time, so that endpoints that are gone do not stay in memory. An endpoint in
    // use states its limit in each response.
    static constexpr std::chrono::seconds statementLifetime{60};

    // A response stated a limit. Returns whether the limit in force changed.
    bool onStated(const std::string &endpoint, double rate, time_point now);
    // A response stated no limit. Ends the limit only if the request was dispatched after the latest statement:
    // otherwise the response may have been sent before it. Returns whether the limit in force changed.
    bool onNotStated(const std::string &endpoint, time_point dispatchedAt, time_point now);
    // A peer's report about its own responses. Returns whether the limit in force changed.
    bool onReport(const limit_report &report, time_point now);

    // Whether the endpoint stated a limit before and has none now.
    [[nodiscard]] bool hasEnded(const std::string &endpoint) const;
    // Requests per second; nothing if the endpoint has no limit.
    [[nodiscard]] std::optional<double> rateOf(const std::string &endpoint) const;
    [[nodiscard]] std::vector<endpoint_limit> inForce() const;
    // The statements in this daemon's own responses. Reports of peers are not passed on: their age would be
    // underestimated by the delay of each link, and an outdated limit could circulate without end.
    [[nodiscard]] std::vector<limit_report> ownReports(time_point now) const;
    // Forgets old statements. Returns the endpoints whose limit thereby ended.
    std::vector<std::string> evictExpired(time_point now);

private:
    struct statement
    {
        std::optional<double> rate;
        time_point at;
    };

    struct endpoint_statements
    {
        std::optional<statement> own;
        statement latest;
    };

    bool apply(const std::string &endpoint, const statement &value);

    std::map<std::string, endpoint_statements> m_endpoints;
};

struct permit_decision
{
    bool granted = false;
    std::chrono::milliseconds retryAfter{0}; // Until a permit can be available; 0 if granted.
    bool operator==(const permit_decision &) const = default;
};

// Issues permits to send to limited endpoints, one token bucket for each. A bucket is empty when issuing begins, since
// another daemon may have issued permits until now.
class permit_issuer
{
public:
    // A bucket holds at most this many permits, plus the permits of `burstTime`.
    static constexpr double minBurst = 4;
    static constexpr std::chrono::milliseconds burstTime{250};
    // Some requests are sent even to an endpoint that states a limit of 0: only a response can end the limit.
    static constexpr double minRate = 0.2; // Requests per second.

    // Replaces the endpoints for which permits are issued. The buckets of those that stay are kept.
    void issueFor(const std::vector<endpoint_limit> &endpoints, time_point now);
    // Takes a permit if at least `reserve` others remain for more urgent requests.
    [[nodiscard]] permit_decision take(const std::string &endpoint, double reserve, time_point now);

private:
    struct bucket
    {
        double rate = 0; // Permits per second.
        double permits = 0;
        time_point filledAt;
    };

    static void fill(bucket &value, time_point now);

    std::map<std::string, bucket> m_buckets;
};

} // namespace jackdawpick::limits
