#include "daemon/internal/daemon_metrics.h"

namespace jackdawpick
{

namespace
{

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void daemon_metrics::apply(const observe_call &observed, time_point now)
{
    m_registry.add(metric::Calls, {observed.rank, observed.pool, describe(observed.code).name});
    m_registry.observe(metric::CallSeconds, {observed.rank}, seconds(observed.total), now);
    if (observed.firstToken) {
        m_registry.observe(metric::FirstTokenSeconds, {observed.rank}, seconds(*observed.firstToken), now);
        if (observed.tokens > 1) {
            const double secondsPerToken =
                seconds(observed.total - *observed.firstToken) / static_cast<double>(observed.tokens - 1);
            m_registry.observe(metric::InterTokenSeconds, {observed.rank}, secondsPerToken, now);
        }
    }
}

void daemon_metrics::apply(const observe_program &observed, time_point now)
{
    m_registry.observe(metric::ProgramSeconds, {observed.rank}, seconds(observed.latency), now);
}

std::string daemon_metrics::exposition(const core &state, const net::loop_counters &networkCounters, time_point now)
{
    const auto &counters = state.counters();
    const auto set = [this](metric id, metrics_registry::label_values labels, std::uint64_t value) {
        m_registry.set(id, labels, static_cast<double>(value));
    };
    set(metric::Tokens, {"prompt"}, counters.promptTokens);
    set(metric::Tokens, {"cached"}, counters.cachedTokens);
    set(metric::Tokens, {"completion"}, counters.completionTokens);
    set(metric::WastedTokens, {}, counters.wastedTokens);
    set(metric::Retries, {}, counters.retries);
    set(metric::LateAnswers, {}, counters.lateAnswers);
    set(metric::ForwardedCalls, {}, counters.callsForwarded);
    set(metric::Programs, {"opened"}, counters.programsOpened);
    set(metric::Programs, {"closed"}, counters.programsClosed);
    for (const auto &[code, count] : counters.refusals) {
        set(metric::Refusals, {describe(code).name}, count);
    }
    set(metric::ConfigurationVersion, {}, state.configurationVersion());
    set(metric::ControlBytes, {"in"}, networkCounters.tcpBytesIn);
    set(metric::ControlBytes, {"out"}, networkCounters.tcpBytesOut);
    set(metric::Violations, {}, state.violations().size());
    return m_registry.exposition(now);
}

} // namespace jackdawpick
