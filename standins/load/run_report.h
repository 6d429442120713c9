#pragma once

// Sums up a run and judges it with the counts of the service stand-ins.
//
//   run_report report;
//   report.add(plan, outcome, latency);
//   report.judge(counts);
//   fmt::print("{}", report.table());

#include "load/program_caller.h"

#include <nlohmann/json_fwd.hpp>

namespace jackdawpick::standins
{

// One row of GET /admin/counts of a service stand-in.
struct effect_count
{
    std::string identity;
    std::uint64_t runs = 0;
    bool idempotent = false;
    std::int64_t firstAtMicroseconds = 0; // Monotonic clock of the machine, which all processes on it share.
};

[[nodiscard]] std::vector<effect_count> countsFromBody(const std::string &body);

class run_report
{
public:
    // `latency` of a finished program that is no sub-agent is counted by rank.
    void add(const program_plan &plan, const program_outcome &outcome, duration latency, bool subAgent);
    // Counts of all service stand-ins together; an identity may occur at several of them.
    void judge(const std::vector<effect_count> &counts);
    void noteUnreadable(const std::string &address); // Counts that could not be fetched; fails the run.

    [[nodiscard]] const call_faults &faults() const;
    [[nodiscard]] bool isClean() const; // All faults are 0 and all counts were read.
    [[nodiscard]] nlohmann::json json() const;
    [[nodiscard]] std::string table() const;

private:
    struct rank_figures
    {
        std::uint64_t finished = 0;
        std::uint64_t failed = 0;
        std::vector<double> seconds;
        std::vector<double> firstTokens;
    };

    std::map<std::string, rank_figures> m_ranks;
    std::map<std::string, std::uint64_t> m_failures;
    std::map<std::string, std::uint64_t> m_refusals;
    std::vector<std::vector<service_record>> m_services; // By program.
    std::vector<std::string> m_unreadable;
    call_faults m_faults;
    std::uint64_t m_subAgents = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_notDurable = 0;
    std::uint64_t m_effects = 0;
};

// The value below which `part` (0 to 1) of the values lie; 0 for none.
[[nodiscard]] double quantile(std::vector<double> values, double part);

} // namespace jackdawpick::standins
