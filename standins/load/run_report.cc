#include "load/run_report.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

std::vector<effect_count> countsFromBody(const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    std::vector<effect_count> counts;
    if (!answer.is_object() || !answer.contains("calls")) {
        return counts;
    }
    for (const auto &row : answer["calls"]) {
        counts.push_back({.identity = row.value("identity", ""),
                          .runs = row.value("runs", std::uint64_t{0}),
                          .idempotent = row.value("idempotent", false),
                          .firstAtMicroseconds = row.value("first_at_us", std::int64_t{0})});
    }
    return counts;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
}

void run_report::add(const program_plan &plan, const program_outcome &outcome, duration latency, bool subAgent)
{
    auto &rank = m_ranks[plan.rank];
    if (subAgent) {
        ++m_subAgents;
    } else if (outcome.finished) {
        ++rank.finished;
        rank.seconds.push_back(std::chrono::duration<double>(latency).count());
    } else {
        ++rank.failed;
    }
    if (!outcome.finished) {
        ++m_failures[outcome.failure];
    }
    for (const auto &first : outcome.firstTokens) {
        rank.firstTokens.push_back(std::chrono::duration<double>(first).count());
    }
    for (const auto &[name, count] : outcome.refusals) {
        m_refusals[name] += count;
    }
    m_faults.lost += outcome.faults.lost;
    m_faults.doubled += outcome.faults.doubled;
    m_faults.reordered += outcome.faults.reordered;
    m_faults.mixed += outcome.faults.mixed;
    m_calls += outcome.calls;
    m_broken += outcome.brokenConnections;
    m_unknown += outcome.unknownOutcomes;
    m_notDurable += outcome.notDurable;
    m_services.push_back(outcome.services);
}

void run_report::judge(const std::vector<effect_count> &counts)
{
    std::map<std::string, effect_count> effects;
    for (const auto &count : counts) {
        auto &sum = effects.try_emplace(count.identity, effect_count{.identity = count.identity}).first->second;
        sum.firstAtMicroseconds =
            sum.runs == 0 ? count.firstAtMicroseconds : std::min(sum.firstAtMicroseconds, count.firstAtMicroseconds);
        sum.runs += count.runs;
        sum.idempotent = count.idempotent;
    }
    m_effects += effects.size();
    m_faults.doubled += static_cast<std::uint64_t>(std::ranges::count_if(
        effects, [](const auto &entry) { return entry.second.runs > 1 && !entry.second.idempotent; }));
    for (const auto &program : m_services) {
        std::int64_t last = 0;
        for (const auto &record : program) {
            const auto found = effects.find(record.operation);
            const bool ran = found != effects.end() && found->second.runs > 0;
            m_faults.lost += record.outcome == execution::Ran && !ran ? 1 : 0;
            m_faults.falseNotRun += record.outcome == execution::NotRun && ran ? 1 : 0;
            if (ran) {
                m_faults.reordered += found->second.firstAtMicroseconds < last ? 1 : 0;
                last = found->second.firstAtMicroseconds;
            }
        }
    }
}

void run_report::noteUnreadable(const std::string &address)
{
    m_unreadable.push_back(address);
}

const call_faults &run_report::faults() const
{
    return m_faults;
}

bool run_report::isClean() const
{
    return m_faults == call_faults{} && m_unreadable.empty();
}

nlohmann::json run_report::json() const
{
    nlohmann::json ranks = nlohmann::json::object();
    for (const auto &[name, figures] : m_ranks) {
        ranks[name] = {{"finished", figures.finished},
                       {"failed", figures.failed},
                       {"p50_s", quantile(figures.seconds, 0.5)},
                       {"p95_s", quantile(figures.seconds, 0.95)},
                       {"first_token_p95_s", quantile(figures.firstTokens, 0.95)}};
    }
    return {{"ranks", ranks},
            {"failures", m_failures},
            {"refusals", m_refusals},
            {"sub_agents", m_subAgents},
            {"calls", m_calls},
            {"effects", m_effects},
            {"broken_connections", m_broken},
            {"unknown_outcomes", m_unknown},
            {"not_durable", m_notDurable},
            {"unreadable_counts", m_unreadable},
            {"lost", m_faults.lost},
            {"doubled", m_faults.doubled},
            {"reordered", m_faults.reordered},
            {"mixed", m_faults.mixed},
            {"false_not_run", m_faults.falseNotRun}};
}

std::string run_report::table() const
{
    std::string text = fmt::format("{:<12} {:>8} {:>6} {:>8} {:>8} {:>15}\n", "rank", "finished", "failed", "p50 s",
                                   "p95 s", "first token p95");
    for (const auto &[name, figures] : m_ranks) {
        text += fmt::format("{:<12} {:>8} {:>6} {:>8.2f} {:>8.2f} {:>15.3f}\n", name, figures.finished, figures.failed,
                            quantile(figures.seconds, 0.5), quantile(figures.seconds, 0.95),
                            quantile(figures.firstTokens, 0.95));
    }
    text += fmt::format("calls {}, sub-agents {}, service effects {}, broken connections {}, unknown outcomes {}, "
                        "answers not durable {}\n",
                        m_calls, m_subAgents, m_effects, m_broken, m_unknown, m_notDurable);
    for (const auto &[name, count] : m_failures) {
        text += fmt::format("failed programs: {} {}\n", name, count);
    }
    for (const auto &[name, count] : m_refusals) {
        text += fmt::format("refusals: {} {}\n", name, count);
    }
    for (const auto &address : m_unreadable) {
        text += fmt::format("counts of {} could not be read\n", address);
    }
    text += fmt::format("lost {}, doubled {}, reordered {}, mixed {}, not run but ran {}\n", m_faults.lost,
                        m_faults.doubled, m_faults.reordered, m_faults.mixed, m_faults.falseNotRun);
    return text;
}

} // namespace jackdawpick::standins
