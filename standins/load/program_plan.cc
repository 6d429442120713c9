#include "load/program_plan.h"

#include "model/model.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace jackdawpick::standins
{

namespace
{

class plan_generator
{
public:
    explicit plan_generator(const load_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    std::vector<program_plan> plans()
    {
        std::vector<program_plan> result;
        std::vector<double> nextArrival;
        for (const auto &rank : m_options.ranks) {
            nextArrival.push_back(arrivalAfter(0, rank));
        }
        for (std::uint32_t index = 0; index < m_options.programs; ++index) {
            const auto first = std::ranges::min_element(nextArrival);
            const auto &rank = m_options.ranks[static_cast<std::size_t>(first - nextArrival.begin())];
            auto plan = program(fmt::format("load-{}-{}", m_options.seed, index), rank.name);
            plan.arrival = std::chrono::milliseconds(static_cast<std::int64_t>(*first * 1000));
            result.push_back(std::move(plan));
            *first = arrivalAfter(*first, rank);
        }
        return result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    template<typename T> const T &oneOf(const std::vector<T> &values)
    {
        return values[m_random() % values.size()];
    }

    [[nodiscard]] double factorAt(double seconds, const load_rank &rank) const
    {
        double factor = 1;
        for (const auto &flood : m_options.floods) {
            const std::chrono::duration<double> at(seconds);
            factor *= flood.rank == rank.name && at >= flood.start && at < flood.end ? flood.factor : 1;
        }
        return factor;
    }

    // Poisson arrivals with a rate that changes over time, by thinning the highest rate.
    double arrivalAfter(double seconds, const load_rank &rank)
    {
        double most = 1;
        for (const auto &flood : m_options.floods) {
            most *= std::max(1.0, flood.factor);
        }
        do {
            seconds += -std::log(1 - uniform()) / (rank.programsPerSecond * most);
        } while (uniform() > factorAt(seconds, rank) / most);
        return seconds;
    }

    std::string words(std::uint32_t tokens, const std::string &start)
    {
        std::string text = start;
        while (text.size() < tokens * bytesPerToken) {
            text += fmt::format(" {:x}", m_random() & 0xffffffU);
        }
        return text;
    }

    std::chrono::milliseconds pause()
    {
        const double factor = std::exp(m_options.pauseSigma * std::normal_distribution<double>(0, 1)(m_random));
        const auto drawn = static_cast<std::int64_t>(static_cast<double>(m_options.pauseMedian.count()) * factor);
        return std::min(m_options.pauseMost, std::chrono::milliseconds(drawn));
    }

    std::uint32_t turns()
    {
        const double drawn = m_options.minTurns * std::pow(1 - uniform(), -1 / m_options.chainExponent);
        return static_cast<std::uint32_t>(std::min<double>(drawn, m_options.maxTurns));
    }

    std::vector<planned_call> calls(std::uint32_t count, const std::string &name)
    {
        std::vector<planned_call> result;
        for (std::uint32_t index = 0; index < count; ++index) {
            planned_call call;
            call.pauseBefore = index == 0 ? std::chrono::milliseconds(0) : pause();
            const bool edge = index == 0 || index + 1 == count;
            if (!edge && !m_options.services.empty() && uniform() < m_options.serviceShare) {
                call.service = oneOf(m_options.services);
                call.idempotent = uniform() >= m_options.nonIdempotentShare;
            } else {
                const auto tokens = index == 0 ? m_options.firstPromptTokens : m_options.promptTokens;
                call.text = words(tokens, fmt::format("{} turn {}", name, index + 1));
                call.maxTokens = m_options.answerTokens;
            }
            result.push_back(std::move(call));
        }
        return result;
    }

    program_plan program(const std::string &name, const std::string &rank)
    {
        program_plan plan;
        plan.name = name;
        plan.customer = oneOf(m_options.customers);
        plan.rank = rank;
        plan.zone = m_options.zones.empty() ? std::string() : oneOf(m_options.zones);
        plan.minted = uniform() < m_options.mintedShare;
        plan.budgetTokens = m_options.budgetTokens;
        plan.calls = calls(turns(), name);
        if (plan.calls.size() > 1 && uniform() < m_options.subAgentShare) {
            const std::size_t before = 1 + m_random() % (plan.calls.size() - 1);
            const auto count = 1 + m_random() % m_options.subAgentsMost;
            for (std::size_t index = 0; index < count; ++index) {
                program_plan child = plan;
                child.name = fmt::format("agent{}", index);
                child.minted = false;
                child.budgetTokens = m_options.subAgentBudgetTokens;
                child.calls = calls(m_options.subAgentTurns, name + "~" + child.name);
                child.children.clear();
                plan.calls[before].children.push_back(index);
                plan.children.push_back(std::move(child));
            }
        }
        return plan;
    }

    const load_options &m_options;
    std::mt19937_64 m_random;
};

} // namespace

std::vector<program_plan> planPrograms(const load_options &options)
{
    return plan_generator(options).plans();
}

} // namespace jackdawpick::standins
