#pragma once

// Engines and plain services: pools, health, circuits, load, adaptive concurrency limits, leaving hosts and requests
// that crash endpoints.
//
//   endpoint_table table(options, seed);
//   table.applyHostList(hosts, now);
//   if (table.accepts(id, now)) { table.onDispatched(id, digest, tokens, now); }

#include "model/model.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jackdawpick
{

// Index of an endpoint; stable while the daemon runs, also when the endpoint comes and goes.
enum class endpoint_id : std::uint32_t {};

enum class circuit_state : std::uint8_t {
    Closed,
    Open,
    HalfOpen,
};

[[nodiscard]] std::string_view nameOf(circuit_state state);

struct endpoint_options
{
    std::uint32_t failuresToOpen = 3;
    std::chrono::milliseconds openFor{1000}; // Doubles while probes fail, up to maxOpenFor.
    std::chrono::milliseconds maxOpenFor{30000};
    std::uint32_t initialLimit = 8;
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 256;
    std::uint32_t crashesToQuarantine = 2; // Endpoints that died while running a request.
    std::chrono::milliseconds suspectMemory{600000};
    std::chrono::milliseconds quarantineFor{3600000};
};

struct endpoint_view
{
    endpoint_id id{};
    std::string name;
    std::string address;
    std::string zone;
    std::string pool;
    endpoint_kind kind = endpoint_kind::Engine;
    bool leaving = false;
    bool listed = false;
    bool checksFencing = false;
    circuit_state circuit = circuit_state::Closed;
    std::uint32_t inFlight = 0; // Own dispatches.
    std::uint32_t limit = 0; // Own adaptive limit.
    std::uint32_t slots = 0;
    load_report load; // Last report.
    std::optional<time_point> loadAt;
    double tokensPerSecond = 0; // Measured speed of decoding; 0 before the first finished call.
};

class endpoint_table
{
public:
    endpoint_table(endpoint_options options, std::uint64_t seed);

    void applyHostList(const std::vector<host_entry> &hosts, time_point now);
    // From the endpoint's own answer or another daemon. Returns true if this was news.
    bool markLeaving(const std::string &name, time_point now);
    void onLoad(endpoint_id id, const load_report &report, time_point now);

    void onDispatched(endpoint_id id, digest content, token_count expectedTokens, time_point now);
    // `firstToken` is the time from dispatch to the first token, `total` the time to the end.
    void onFinished(endpoint_id id, digest content, const usage &used, duration firstToken, duration total,
                    time_point now);
    void onCancelled(endpoint_id id, digest content, time_point now);
    // Returns digests that this failure has put into quarantine.
    [[nodiscard]] std::vector<digest> onFailed(endpoint_id id, digest content, const endpoint_failure &failure,
                                               time_point now);
    // A notice from another daemon.
    void addQuarantine(digest content, time_point now);
    [[nodiscard]] bool isQuarantined(digest content, time_point now) const;

    // Listed, not leaving, circuit closed or due for a probe, and below the own limit.
    [[nodiscard]] bool accepts(endpoint_id id, time_point now) const;
    // Load from 0 (idle) upwards in units of the endpoint's slots: last report corrected by own dispatches since.
    [[nodiscard]] double load(endpoint_id id, time_point now) const;
    [[nodiscard]] const std::vector<endpoint_id> &pool(const std::string &name) const; // Listed members, empty if none.
    [[nodiscard]] const endpoint_view &view(endpoint_id id) const;
    [[nodiscard]] std::optional<endpoint_id> find(const std::string &name) const;
    [[nodiscard]] std::vector<endpoint_id> all() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
};

} // namespace jackdawpick
