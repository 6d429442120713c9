// Runs many randomised histories and prints the first faults with their seeds.

#include "soak/soak_world.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace
{

constexpr char usageText[] = R"(Runs randomised histories of several daemons with failures and checks what must hold.

Usage:
  jackdawpick-soak [--seed=N] [--histories=N] [--daemons=N] [--programs=N] [--turns=N] [--broken=NAME] [--calm] [--trace]
  jackdawpick-soak --help

Options:
  --seed=N       Seed of the first history; each further one adds 1 [default: 1].
  --histories=N  Number of histories [default: 100].
  --daemons=N    Daemons in each [default: 3].
  --programs=N   Programs in each [default: 8].
  --turns=N      Turns of each program [default: 6].
  --broken=NAME  Breaks a mechanism to show that the checks notice [default: none].
  --calm         Without failures.
  --trace        Prints what happens to standard error.

Exit code 0 if every history kept all invariants, 1 otherwise.
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace jackdawpick;
    auto arguments = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    const auto number = [&](const char *name) {
        return static_cast<std::uint64_t>(arguments[name].asLong());
    };
    soak_options options;
    options.daemons = static_cast<std::uint32_t>(number("--daemons"));
    options.programs = static_cast<std::uint32_t>(number("--programs"));
    options.turns = static_cast<std::uint32_t>(number("--turns"));
    options.faults = !arguments["--calm"].asBool();
    options.trace = arguments["--trace"].asBool();
    const auto broken = sabotageFromName(arguments["--broken"].asString());
    if (!broken) {
        fmt::print(stderr, "unknown mechanism {}\n", arguments["--broken"].asString());
        return 2;
    }
    options.broken = *broken;
    soak_report total;
    std::uint64_t failed = 0;
    constexpr std::uint64_t failuresToPrint = 20;
    const auto first = number("--seed");
    const auto last = first + number("--histories");
    for (auto seed = first; seed < last; ++seed) {
        const auto report = soak_world(seed, options).run();
        total.events += report.events;
        total.turns += report.turns;
        total.crashes += report.crashes;
        total.freezes += report.freezes;
        total.outages += report.outages;
        total.drains += report.drains;
        total.endpointCrashes += report.endpointCrashes;
        total.cutLinks += report.cutLinks;
        total.publications += report.publications;
        for (const auto &[code, count] : report.refusals) {
            total.refusals[code] += count;
        }
        failed += report.faults.empty() ? 0 : 1;
        if (!report.faults.empty() && failed <= failuresToPrint) {
            fmt::print("{}\n", report.faults.front());
        }
    }
    fmt::print("histories={} failed={} seeds={}..{} events={} turns={} crashes={} freezes={} outages={} drains={} "
               "endpoint_crashes={} cut_links={} "
               "publications={}\n",
               last - first, failed, first, last - 1, total.events, total.turns, total.crashes, total.freezes,
               total.outages, total.drains, total.endpointCrashes, total.cutLinks, total.publications);
    for (const auto &[code, count] : total.refusals) {
        fmt::print("refused {}={}\n", describe(code).name, count);
    }
    return failed == 0 ? 0 : 1;
}
