#include "daemon_model.h"

#include <algorithm>

namespace jackdawpick::bench
{

daemon_model::daemon_model(const scheduler_options &options, const std::vector<rank_policy> &ranks, std::uint64_t seed)
    : m_table({}, seed)
    , m_caches({})
    , m_scheduler(options, seed)
{
    m_scheduler.configure(ranks, {});
}

void daemon_model::on(const hosts_input &what, time_point now)
{
    m_table.applyHostList(what.hosts, now);
}

void daemon_model::on(const load_input &what, time_point now)
{
    m_table.onLoad(*m_table.find(what.endpoint), what.report, now);
}

void daemon_model::on(const events_input &what, time_point now)
{
    m_caches.onEvents(what.endpoint, what.events, now);
}

void daemon_model::on(const call_input &what, time_point now)
{
    if (const auto refused = m_scheduler.admit(what.call, m_table, now)) {
        m_out.emplace_back(refuse_output{.handle = what.call.handle, .retryAfter = refused->retryAfter});
        return;
    }
    m_waiting.emplace(what.call.handle, what.call);
    m_scheduler.enqueue(what.call, now);
}

void daemon_model::on(const finished_input &what, time_point now)
{
    const in_flight ended = m_inFlight.at(what.handle);
    m_inFlight.erase(what.handle);
    const duration total = now - ended.since;
    m_table.onFinished(ended.endpoint, ended.call.content, what.used, what.firstToken, total, now);
    const token_count tokens = what.used.promptTokens + what.used.completionTokens;
    m_caches.onServed(ended.call.program, m_table.view(ended.endpoint).name, tokens, now);
    m_scheduler.onServed(ended.call.rank, ended.call.pool, tokens - what.used.cachedTokens, total, now);
}

void daemon_model::on(const failed_input &what, time_point now)
{
    in_flight ended = m_inFlight.at(what.handle);
    m_inFlight.erase(what.handle);
    (void)m_table.onFailed(ended.endpoint, ended.call.content, what.failure, now);
    if (what.failure.kind == failure_kind::ConnectionLost) {
        m_caches.onEndpointRemoved(m_table.view(ended.endpoint).name);
    }
    if (!m_scheduler.spendRetry(ended.call.program.customer, now)) {
        m_out.emplace_back(refuse_output{.handle = what.handle, .retryAfter = std::chrono::milliseconds(1000)});
        return;
    }
    ended.call.excluded.push_back(ended.endpoint);
    m_waiting.emplace(what.handle, ended.call);
    m_scheduler.enqueue(ended.call, now);
}

void daemon_model::on(const program_ended_input &what, time_point now)
{
    m_caches.releaseProgram(what.program, {}, now);
}

void daemon_model::on(const released_input &what, time_point now)
{
    m_caches.onReleased(what.release, true, now);
}

void daemon_model::on(const wake_input & /*what*/, time_point /*now*/)
{
}

std::vector<output> daemon_model::reduce(const input &what, time_point now)
{
    m_out.clear();
    std::visit([&](const auto &each) { on(each, now); }, what);
    for (const assignment &next : m_scheduler.assign(m_table, m_caches, now)) {
        const auto call = m_waiting.extract(next.handle);
        m_inFlight.emplace(next.handle, in_flight{.call = call.mapped(), .endpoint = next.endpoint, .since = now});
        m_out.emplace_back(dispatch_output{
            .handle = next.handle, .endpoint = m_table.view(next.endpoint).name, .priority = next.priority});
    }
    for (const expired_call &expired : m_scheduler.expire(now)) {
        m_waiting.erase(expired.handle);
        m_out.emplace_back(refuse_output{.handle = expired.handle, .retryAfter = expired.retryAfter});
    }
    for (const cache_release &release : m_caches.takeDueReleases(now)) {
        m_out.emplace_back(release_output{release});
    }
    return m_out;
}

std::optional<time_point> daemon_model::nextDeadline() const
{
    std::optional<time_point> next = m_scheduler.nextDeadline();
    if (const auto release = m_caches.nextDeadline(); release && (!next || *release < *next)) {
        next = release;
    }
    return next;
}

} // namespace jackdawpick::bench
