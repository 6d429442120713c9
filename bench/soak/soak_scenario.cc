#include "soak/soak_scenario.h"

#include <fmt/format.h>

namespace jackdawpick
{

using namespace std::chrono_literals;

std::vector<host_entry> endpointHosts()
{
    std::vector<host_entry> hosts;
    for (std::uint32_t i = 0; i < engineCount; ++i) {
        hosts.push_back({.name = fmt::format("engine-{}", i),
                         .kind = host_kind::Engine,
                         .address = fmt::format("127.0.0.1:{}", 2000 + i),
                         .peerAddress = {},
                         .pool = "engines",
                         .zone = fmt::format("zone-{}", i),
                         .slots = 8});
    }
    for (std::uint32_t i = 0; i < serviceCount; ++i) {
        hosts.push_back({.name = fmt::format("payment-{}", i),
                         .kind = host_kind::Service,
                         .address = fmt::format("127.0.0.1:{}", 3000 + i),
                         .peerAddress = {},
                         .pool = "payments",
                         .zone = fmt::format("zone-{}", i),
                         .slots = 8});
    }
    return hosts;
}

configuration cluster(double routineShare)
{
    configuration value;
    value.ranks = {{.name = "urgent", .queueTarget = 60000ms, .worth = 100, .share = 1 - routineShare},
                   {.name = "routine", .queueTarget = 60000ms, .worth = 1, .share = routineShare}};
    value.pools = {{.model = "model", .pool = "engines", .adapters = {}, .version = {}}};
    value.services = {{.name = "payment", .pool = "payments", .ranks = {"urgent", "routine"}, .callCost = 10}};
    value.limits.callDeadline = 30s;
    value.limits.retryRatio = 1;
    return value;
}

fake_log_options logOptions(bool faults)
{
    fake_log_options options;
    if (faults) {
        options.loseAnswer = 0.03;
        options.loseRequest = 0.01;
        options.delay = 0.02;
        options.lateBy = 3000ms;
    }
    return options;
}

} // namespace jackdawpick
