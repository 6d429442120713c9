// Measures the scheduling targets of docs/design.md, section 7. Usage: policy_measure [seeds]
//
// One line a target: name, baseline, ours, ratio, target, spread of the ratio over the seeds, verdict. Lines that begin
// with # are for information. Percentiles are taken over the programs of all seeds together.

#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <map>
#include <numeric>

using namespace jackdawpick;
using namespace jackdawpick::bench;

namespace
{

// Programs that start in this time, after the fleet has filled up, count for latency.
constexpr double measureFrom = 200;
constexpr double measureTo = 320;
// The flood lasts from 200 s to 260 s. Work already admitted when it starts takes some seconds, so goodput is taken
// from 10 s after its start, the time that the targets allow for the way back.
constexpr double adaptSeconds = 10;
constexpr double recoverySeconds = 40;

using seed_results = std::vector<run_result>; // One a seed.
using result_table = std::map<std::string, seed_results>; // By workload and run.

struct named_run
{
    std::string name;
    run_plan plan;
};

scheduler_options baseline(const routing_policy &routing)
{
    scheduler_options options;
    options.order = first_come_first_served{};
    options.routing = routing;
    options.admission = no_admission{};
    return options;
}

std::vector<named_run> plannedRuns(const fleet_shape &fleet, std::uint64_t seed)
{
    run_plan plan;
    plan.fleet = fleet;
    plan.seed = seed;
    std::vector<named_run> runs;
    for (const auto &[name, load] : {std::pair("70", 0.7), std::pair("90", 0.9), std::pair("100", 1.0)}) {
        plan.load = load;
        runs.push_back({fmt::format("ours.{}", name), plan});
        for (const auto &[policy, routing] : routingNames) {
            if (load < 1) {
                named_run run{fmt::format("{}.{}", policy, name), plan};
                run.plan.options = baseline(routing);
                runs.push_back(run);
            }
        }
    }
    plan.load = 0.7;
    for (const double factor : {2.0, 5.0}) {
        for (const auto &[name, urgent, routine] :
             {std::tuple("urgent", true, false), std::tuple("routine", false, true), std::tuple("both", true, true)}) {
            plan.flood = {.factor = factor, .urgent = urgent, .routine = routine};
            runs.push_back({fmt::format("flood{}.{}", factor, name), plan});
        }
    }
    plan.flood = {.factor = 2, .urgent = false, .routine = true};
    plan.faults = {.crash = true, .lateReports = true};
    runs.push_back({"flood2.routine.crash", plan});
    return runs;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

enum class which_rank : std::uint8_t {
    Urgent,
    Routine,
    All,
};

// Latencies of normal programs, those of the flood left out, so that runs are compared on the same programs.
std::vector<double> latencies(const run_result &run, which_rank rank, bool ideal, double from, double to)
{
    std::vector<double> values;
    for (const program_result &program : run.programs) {
        const bool counted = rank == which_rank::All || program.rank == static_cast<rank_index>(rank);
        if (counted && !program.ofFlood && program.start >= from && program.start < to) {
            values.push_back(ideal ? program.ideal : program.latency);
        }
    }
    return values;
}

// Useful slot seconds per slot second of the fleet: only calls of programs that were completed.
double goodput(const run_result &run, which_rank rank, double from, double to)
{
    double sum = 0;
    for (const call_result &call : run.calls) {
        const bool counted = rank == which_rank::All || call.rank == static_cast<rank_index>(rank);
        if (counted && call.useful && call.finished >= from && call.finished < to) {
            sum += call.slotSeconds;
        }
    }
    return sum / ((to - from) * run.fleetSlots);
}

// Smallest part of the used slots that routine work had in a 10 s window of the flood.
double smallestShare(const run_result &run, const flood_plan &flood)
{
    double smallest = 1;
    for (auto window = static_cast<std::size_t>(flood.startSeconds / shareWindowSeconds);
         window < static_cast<std::size_t>(flood.endSeconds / shareWindowSeconds); ++window) {
        const auto &[urgent, routine] = run.windows.at(window);
        smallest = std::min(smallest, routine / (urgent + routine));
    }
    return smallest;
}

using figure = std::function<double(const run_result &)>;

double meanOf(const seed_results &runs, const figure &value)
{
    return std::accumulate(runs.begin(), runs.end(), 0.0,
                           [&value](double sum, const run_result &run) { return sum + value(run); })
        / static_cast<double>(runs.size());
}

struct measured
{
    double baseline = 0;
    double ours = 0;
    std::vector<double> seedRatios;
};

enum class bound : std::uint8_t {
    AtMost,
    AtLeast,
};

void printLine(const std::string &name, const measured &values, double ratio, bound kind, double target)
{
    const bool met = kind == bound::AtMost ? ratio <= target : ratio >= target;
    const auto [low, high] = std::ranges::minmax(values.seedRatios);
    fmt::print("{:40} {:9.3f} {:9.3f} {:7.3f} {}{:<6} {:.3f}..{:.3f} {}\n", name, values.baseline, values.ours, ratio,
               kind == bound::AtMost ? "<=" : ">=", target, low, high, met ? "met" : "MISSED");
}

// Ours over the baseline, of percentiles over the programs of all seeds.
void printQuantile(const std::string &name, const seed_results &base, bool ideal, const seed_results &ours,
                   which_rank rank, double part, double from, double to, double target)
{
    std::vector<double> allBase;
    std::vector<double> allOurs;
    measured values;
    for (std::size_t seed = 0; seed < ours.size(); ++seed) {
        const auto left = latencies(base[seed], rank, ideal, from, to);
        const auto right = latencies(ours[seed], rank, false, from, to);
        allBase.insert(allBase.end(), left.begin(), left.end());
        allOurs.insert(allOurs.end(), right.begin(), right.end());
        values.seedRatios.push_back(quantile(right, part) / quantile(left, part));
    }
    values.baseline = quantile(allBase, part);
    values.ours = quantile(allOurs, part);
    printLine(name, values, values.ours / values.baseline, bound::AtMost, target);
}

void printBetter(const std::string &name, const seed_results &base, const seed_results &ours, const figure &value,
                 double target)
{
    measured values{.baseline = meanOf(base, value), .ours = meanOf(ours, value), .seedRatios = {}};
    for (std::size_t seed = 0; seed < ours.size(); ++seed) {
        values.seedRatios.push_back(value(base[seed]) / value(ours[seed]));
    }
    printLine(name, values, values.baseline / values.ours, bound::AtLeast, target);
}

void printPart(const std::string &name, double base, const seed_results &ours, const figure &value, double target)
{
    measured values{.baseline = base, .ours = meanOf(ours, value), .seedRatios = {}};
    std::ranges::transform(ours, std::back_inserter(values.seedRatios),
                           [&](const run_result &run) { return value(run) / base; });
    printLine(name, values, values.ours / base, bound::AtLeast, target);
}

void printBaselines(const fleet_shape &fleet, result_table &results)
{
    for (const auto *load : {"70", "90"}) {
        for (const auto &row : results) {
            const std::string &name = row.first;
            const seed_results &runs = row.second;
            if (!name.ends_with(fmt::format(".{}", load))) {
                continue;
            }
            const auto part = [&runs](double which) {
                return meanOf(runs, [which](const run_result &run) {
                    return quantile(latencies(run, which_rank::All, false, measureFrom, measureTo), which);
                });
            };
            fmt::print("# {}.{:24} p50 {:8.1f} s p95 {:8.1f} s wasted {:6.2f} M tokens\n", fleet.name, name, part(0.5),
                       part(0.95), meanOf(runs, [](const run_result &run) { return run.wastedTokens / 1e6; }));
        }
    }
}

void printNormal(const fleet_shape &fleet, result_table &results)
{
    const std::string &name = fleet.name;
    printQuantile(name + ".load70.p50_vs_ideal", results["ours.70"], true, results["ours.70"], which_rank::All, 0.5,
                  measureFrom, measureTo, 1.3);
    printQuantile(name + ".load70.p95_vs_ideal", results["ours.70"], true, results["ours.70"], which_rank::All, 0.95,
                  measureFrom, measureTo, 1.3);
    printBetter(
        name + ".load90.p95_vs_fcfs_least_loaded", results["least_loaded.90"], results["ours.90"],
        [](const run_result &run) {
            return quantile(latencies(run, which_rank::All, false, measureFrom, measureTo), 0.95);
        },
        1.5);
    for (const auto *load : {"70", "90"}) {
        printBetter(
            fmt::format("{}.load{}.wasted_cache", name, load), results[fmt::format("least_loaded.{}", load)],
            results[fmt::format("ours.{}", load)], [](const run_result &run) { return run.wastedTokens / 1e6; }, 3);
    }
}

void printFloods(const fleet_shape &fleet, result_table &results)
{
    const flood_plan flood;
    const std::string &name = fleet.name;
    const seed_results &normal = results["ours.70"];
    for (const auto *run : {"flood2.routine", "flood5.routine", "flood2.routine.crash"}) {
        printQuantile(fmt::format("{}.{}.urgent_p95", name, run), normal, false, results[run], which_rank::Urgent, 0.95,
                      flood.startSeconds, flood.endSeconds, 1.2);
    }
    const double from = flood.startSeconds + adaptSeconds;
    const double to = flood.endSeconds;
    const figure total = [=](const run_result &run) {
        return goodput(run, which_rank::All, from, to);
    };
    const double peak = std::max(meanOf(results["ours.90"], total), meanOf(results["ours.100"], total));
    for (const auto *run : {"flood2.urgent", "flood5.urgent"}) {
        printPart(
            fmt::format("{}.{}.urgent_goodput", name, run), peak * (1 - fleet.routineShare), results[run],
            [=](const run_result &each) { return goodput(each, which_rank::Urgent, from, to); }, 0.95);
    }
    for (const auto *run : {"flood2.urgent", "flood5.urgent", "flood2.both", "flood5.both"}) {
        measured values{.baseline = fleet.routineShare, .ours = 1, .seedRatios = {}};
        for (const run_result &each : results[run]) {
            values.ours = std::min(values.ours, smallestShare(each, flood));
            values.seedRatios.push_back(smallestShare(each, flood) / fleet.routineShare);
        }
        printLine(fmt::format("{}.{}.routine_share", name, run), values, values.ours / values.baseline, bound::AtLeast,
                  0.9);
    }
    for (const auto *run : {"flood5.urgent", "flood5.routine", "flood5.both"}) {
        printPart(fmt::format("{}.{}.goodput", name, run), peak, results[run], total, 0.95);
    }
    const double after = flood.endSeconds + adaptSeconds;
    const figure later = [=](const run_result &run) {
        return goodput(run, which_rank::All, after, after + recoverySeconds);
    };
    for (const auto *run : {"flood5.urgent", "flood5.routine", "flood5.both"}) {
        printPart(fmt::format("{}.{}.recovered_goodput", name, run), meanOf(normal, later), results[run], later, 0.95);
        printQuantile(fmt::format("{}.{}.recovered_urgent_p95", name, run), normal, false, results[run],
                      which_rank::Urgent, 0.95, after, after + recoverySeconds, 1.2);
        printQuantile(fmt::format("{}.{}.recovered_routine_p95", name, run), normal, false, results[run],
                      which_rank::Routine, 0.95, after, after + recoverySeconds, 1.2);
    }
}

// All runs of one workload; independent runs on a few threads, since the machine is shared.
result_table runAll(const fleet_shape &fleet, std::uint64_t seeds)
{
    constexpr std::size_t threads = 4;
    std::vector<named_run> runs;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::ranges::move(plannedRuns(fleet, seed), std::back_inserter(runs));
    }
    std::vector<run_result> done(runs.size());
    std::vector<std::future<void>> workers;
    for (std::size_t worker = 0; worker < threads; ++worker) {
        workers.push_back(std::async(std::launch::async, [&runs, &done, worker] {
            for (std::size_t i = worker; i < runs.size(); i += threads) {
                done[i] = simulate(runs[i].plan);
            }
        }));
    }
    std::ranges::for_each(workers, [](auto &worker) { worker.get(); });
    result_table results;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        results[runs[i].name].push_back(std::move(done[i]));
    }
    return results;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::stoul(argv[1]) : 8;
    for (const fleet_shape &fleet : {wanza(), vestkyst()}) {
        result_table results = runAll(fleet, seeds);
        const capacity_estimate capacity = estimateCapacity(fleet);
        fmt::print("# {}: seeds 1 to {}, estimated capacity {:.1f} calls/s\n", fleet.name, seeds,
                   capacity.callsPerSecond);
        printBaselines(fleet, results);
        printNormal(fleet, results);
        printFloods(fleet, results);
    }
    return 0;
}
