#pragma once

// Scheduling policies. Each policy is an alternative of a variant; the settings select it by name.
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

// Order of arrival; ranks and shares are ignored. Baseline.
struct first_come_first_served
{
};

// By rank, with minimum shares; in order of arrival within a rank. Baseline.
struct rank_first
{
};

// By rank, with minimum shares; within a rank, least attained service first. Waiting time offsets attained service at a
// fixed rate, which bounds the delay of a long program.
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

// Hashes the program id to a member of the pool; tries the following members if that one accepts no work.
struct program_hash_routing
{
};

// Selects the endpoint with the shortest estimated service time among the holders of a cached prefix of the program and
// some random members. Holders whose load exceeds `loadBound` are not considered.
struct prefix_affinity_routing
{
    double loadBound = 1.5; // In units of the endpoint's slots.
    double holderExtraLoad = 0.2; // Added to the load ceiling of a holder: a short wait costs less than recomputation.
    std::uint32_t choices = 2; // Random candidates in addition to the holders.
    std::uint32_t firstTurnChoices = 2; // Without any cached prefix; later turns will follow this choice.
    double recomputeWeight = 1.5; // Above 1, since recomputing a prefix also delays other calls.
    double slowdownSeconds = 1.0; // Extra time of a call on a full endpoint compared with an idle one.
    double remoteZoneSeconds = 0.003;
};

// SbQA (Quiané-Ruiz, Lamarre, Valduriez, BDA 2008): samples k members, keeps the kn least loaded ones and selects the
// one with the best balance between the interests of consumer and provider.
struct sbqa_routing
{
    std::uint32_t k = 6;
    std::uint32_t kn = 3;
    double epsilon = 1; // Keeps the factors of a negative score above zero where an interest is 1.
};

using routing_policy = std::variant<random_routing, round_robin_routing, least_loaded_routing, program_hash_routing,
                                    prefix_affinity_routing, sbqa_routing>;

// ---- Admission ----

// Admits everything. Baseline.
struct no_admission
{
};

// Refuses a call whose estimated wait exceeds its rank's queue target. A new program is admitted only while its rank
// uses less than its part of the endpoints' capacity: an admitted program makes many calls, and refusing its first call
// wastes no work.
struct target_admission
{
    // Relative load of the rank up to which all new programs are admitted, and from which none is. In between, the
    // admitted fraction falls linearly: load reports are delayed, and with a single threshold all daemons would admit
    // and refuse in step.
    double fullAdmissionLoad = 0.92;
    double noAdmissionLoad = 0.99;
    // The same limits for the load of the whole pool. They apply only to a rank whose relative load exceeds
    // `poolLimitThreshold`: when several ranks are overloaded, their total is known more exactly than the load of each,
    // but a rank that does not cause an overload must not be refused because of it.
    double poolLimitThreshold = 0.7;
    double fullAdmissionPoolLoad = 1.0;
    double noAdmissionPoolLoad = 1.08;
    // A rank may exceed the capacity that the shares of less urgent ranks leave by this much: it is served first in any
    // case, and its queue must not run empty.
    double urgentMargin = 0.03;
    double shareMargin = 0.03; // The same margin for a rank that is admitted by its own share.
    double loadShareSeconds = 2; // Time constant of the average of each rank's load share; 0: no averaging.
    std::chrono::milliseconds minRetry{500};
    std::chrono::milliseconds maxRetry{30000};
};

using admission_policy = std::variant<no_admission, target_admission>;

// ---- Load limits of an endpoint ----

struct dispatch_limits
{
    double loadCeiling = 1.05; // Endpoint load above which less urgent calls remain queued here.
    double urgentExtraLoad = 0.25; // Added for the most urgent rank, whose calls overtake the engine's own queue.
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

// Returns the policy with its default parameters; empty for an unknown name.
[[nodiscard]] std::optional<order_policy> orderFromName(std::string_view name);
[[nodiscard]] std::optional<routing_policy> routingFromName(std::string_view name);
[[nodiscard]] std::optional<admission_policy> admissionFromName(std::string_view name);

[[nodiscard]] std::string_view nameOf(const order_policy &policy);
[[nodiscard]] std::string_view nameOf(const routing_policy &policy);
[[nodiscard]] std::string_view nameOf(const admission_policy &policy);

} // namespace jackdawpick
