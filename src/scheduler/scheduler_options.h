#pragma once

// Policies of the scheduler. Each is an alternative of a variant; settings choose them by name.
//
//   scheduler_options options;
//   options.routing = *routingFromName(settings.routing);

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace jackdawpick
{

// ---- Order of waiting calls ----

// Arrival only; ranks and shares are ignored. Baseline.
struct first_come_first_served
{
};

// Rank first with minimum shares; arrival within a rank. Baseline.
struct rank_first
{
};

// Rank first with minimum shares; within a rank the program with the least attained service, and waiting makes up for
// attained service at a fixed rate, so that a long program is delayed by a bounded time only.
struct attained_service
{
    double ageingTokensPerSecond = 20000;
};

using order_policy = std::variant<first_come_first_served, rank_first, attained_service>;

// ---- Choice of endpoint ----

struct random_routing
{
};

struct round_robin_routing
{
};

struct least_loaded_routing
{
};

// Hash of the program id over the members of the pool; the next members where that one takes no work.
struct program_hash_routing
{
};

// The endpoint with the least estimated time to serve the call, among those that hold a prefix of the program and some
// random others. A holder above the bound on load is left out.
struct prefix_affinity_routing
{
    double loadBound = 1.5; // In units of the endpoint's slots.
    double holderExtra = 0.2; // Added to the load ceiling for a holder: a short wait there costs less than recomputing.
    std::uint32_t choices = 2; // Random candidates beside the holders.
    std::uint32_t firstTurnChoices = 2; // For a program without any prefix, whose later turns will follow the choice.
    double recomputeWeight = 1.5; // Recomputing a prefix delays other calls too.
    double slowdownSeconds = 1.0; // Extra time of a call on a full endpoint compared with an idle one.
    double remoteZoneSeconds = 0.003;
};

// SbQA (Quiané-Ruiz, Lamarre, Valduriez, BDA 2008): random k, of these the kn least loaded, of these the best balance
// of the consumer's and the provider's interests.
struct sbqa_routing
{
    std::uint32_t k = 6;
    std::uint32_t kn = 3;
    double epsilon = 1; // Keeps the negative score above zero where an interest is 1.
};

using routing_policy = std::variant<random_routing, round_robin_routing, least_loaded_routing, program_hash_routing,
                                    prefix_affinity_routing, sbqa_routing>;

// ---- Admission ----

// Admits everything. Baseline.
struct no_admission
{
};

// Refuses a call whose estimated wait passes its rank's queue target. A new program is admitted only while the endpoints
// have room for what its rank may use: a program stays for many calls, and one refused at its first call has used
// nothing yet.
struct target_admission
{
    // Load of the pool up to which all new programs are admitted, and from which none is; in between the part falls
    // linearly, since the reports that daemons decide by lag and would make them admit and refuse in step.
    double fullAdmissionLoad = 0.92;
    double noAdmissionLoad = 0.99;
    // The same for the load of the whole pool, only for a rank that uses more than `boundedFrom` of its own room: when
    // several ranks flood, their parts are known less exactly than their sum, but a rank that is not the cause of an
    // overload must not be refused for it.
    double boundedFrom = 0.7;
    double fullPoolLoad = 1.0;
    double noPoolLoad = 1.08;
    // A rank may use this much more than the shares of less urgent ranks leave: it goes first in any case, and its
    // queue must not run dry.
    double urgentMargin = 0.05;
    double shareMargin = 0.03; // The same for a rank that is admitted by its own share.
    double mixSeconds = 2; // Over which the parts of the ranks in the load are averaged; 0 for no averaging.
    std::chrono::milliseconds minRetry{500};
    std::chrono::milliseconds maxRetry{30000};
};

using admission_policy = std::variant<no_admission, target_admission>;

// ---- Limits on what is sent to one endpoint ----

struct dispatch_limits
{
    double loadCeiling = 1.05; // Endpoint load above which the least urgent calls wait here instead.
    double urgentExtra = 0.25; // Added for the most urgent rank, which engines run before what they have queued.
};

struct scheduler_options
{
    order_policy order = attained_service{};
    routing_policy routing = prefix_affinity_routing{};
    admission_policy admission = target_admission{};
    dispatch_limits limits{};
};

// ---- Names for the settings ----

inline constexpr std::array<std::pair<std::string_view, order_policy>, 3> orderNames{{
    {"first_come_first_served", first_come_first_served{}},
    {"rank_first", rank_first{}},
    {"attained_service", attained_service{}},
}};

inline constexpr std::array<std::pair<std::string_view, routing_policy>, 6> routingNames{{
    {"random", random_routing{}},
    {"round_robin", round_robin_routing{}},
    {"least_loaded", least_loaded_routing{}},
    {"program_hash", program_hash_routing{}},
    {"prefix_affinity", prefix_affinity_routing{}},
    {"sbqa", sbqa_routing{}},
}};

inline constexpr std::array<std::pair<std::string_view, admission_policy>, 2> admissionNames{{
    {"none", no_admission{}},
    {"target", target_admission{}},
}};

// The policy with its default parameters; empty if the name is not in the table.
[[nodiscard]] std::optional<order_policy> orderFromName(std::string_view name);
[[nodiscard]] std::optional<routing_policy> routingFromName(std::string_view name);
[[nodiscard]] std::optional<admission_policy> admissionFromName(std::string_view name);

[[nodiscard]] std::string_view nameOf(const order_policy &policy);
[[nodiscard]] std::string_view nameOf(const routing_policy &policy);
[[nodiscard]] std::string_view nameOf(const admission_policy &policy);

} // namespace jackdawpick
