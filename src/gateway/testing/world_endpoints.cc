// The endpoints of a gateway_world and the paths to them.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds endpointDelay{2};
constexpr milliseconds connectTimeout{250};

} // namespace

void gateway_world::on(int daemon, const start_dispatch &output)
{
    const int incarnation = m_daemons.at(static_cast<std::size_t>(daemon)).incarnation;
    m_activeDispatches.emplace(daemon, output.dispatch);
    m_attempts[{daemon, output.dispatch}] = output.request.attempt;
    const auto path = pathOf(daemon);
    const auto delay = path == path_behaviour::Hangs ? connectTimeout : endpointDelay;
    schedule(delay, [=, this] {
        if (!m_activeDispatches.contains({daemon, output.dispatch})) {
            return;
        }
        if (path == path_behaviour::Open) {
            runAtEndpoint(daemon, incarnation, output);
        } else {
            deliver(daemon, incarnation, dispatch_finished{output.dispatch, dispatch_outcome::NotSent});
        }
    });
}

void gateway_world::runAtEndpoint(int daemon, int incarnation, const start_dispatch &output)
{
    const auto behaviour = endpointBehaviours.contains(output.request.endpoint)
        ? endpointBehaviours.at(output.request.endpoint)
        : endpoint_behaviour::Responds;
    const auto &id = output.request.endpoint;
    const int crashCount = crashCountOf(id);
    const auto respond = [=, this](milliseconds delay, const event &content) {
        schedule(delay, [=, this] {
            const bool passes = pathOf(daemon) == path_behaviour::Open && crashCountOf(id) == crashCount;
            if (passes && m_activeDispatches.contains({daemon, output.dispatch})) {
                deliver(daemon, incarnation, content);
            }
        });
    };
    const auto end = [&](milliseconds delay, dispatch_outcome outcome) {
        respond(delay, dispatch_finished{output.dispatch, outcome});
    };
    if (behaviour == endpoint_behaviour::Unreachable || m_downEndpoints.contains(id)) {
        end(0ms, dispatch_outcome::NotSent);
        return;
    }
    const bool leaving = leavingEndpoints.contains(id);
    if (behaviour == endpoint_behaviour::Rejects || behaviour == endpoint_behaviour::IsAnother) {
        const std::uint16_t status = behaviour == endpoint_behaviour::Rejects ? 503 : 421;
        respond(0ms,
                response_head{output.dispatch,
                              {.status = status,
                               .notExecuted = true,
                               .leaving = leaving,
                               .rateLimit = rateLimitOf(output.request.endpoint),
                               .headers = {}}});
        return;
    }
    runs.push_back({.endpoint = output.request.endpoint,
                    .attempt = output.request.attempt,
                    .body = output.request.body.str(),
                    .at = now(),
                    .tenant = output.request.tenant,
                    .headers = output.request.headers,
                    .priority = output.request.priority});
    m_dispatchEndpoints[{daemon, output.dispatch}] = id;
    if (crashing.has_value() && crashing->body == output.request.body
        && output.request.attempt.starts_with(crashing->attemptPrefix)) {
        beginCrashingResponse(daemon, output, respond);
        schedule(crashing->delay, [=, this] { crashEndpoint(id); });
        return;
    }
    if (const auto endless = endlessResponses.find(output.request.endpoint); endless != endlessResponses.end()) {
        respond(0ms,
                response_head{output.dispatch,
                              {.status = 200,
                               .hasEndpointSignature = true,
                               .leaving = leaving,
                               .headers = {{"content-type", endless->second.contentType}}}});
        sendWithoutEnd(daemon, incarnation, output.dispatch, endless->second.piece);
        return;
    }
    if (behaviour == endpoint_behaviour::Hangs) {
        return;
    }
    if (behaviour == endpoint_behaviour::LosesResponse) {
        end(m_options.serviceTime, dispatch_outcome::Lost);
        return;
    }
    if (behaviour == endpoint_behaviour::FailsUnmarked || behaviour == endpoint_behaviour::Errs) {
        const std::uint16_t status = behaviour == endpoint_behaviour::Errs ? 500 : 503;
        respond(0ms,
                response_head{output.dispatch,
                              {.status = status, .hasEndpointSignature = true, .leaving = leaving, .headers = {}}});
        end(1ms, dispatch_outcome::Complete);
        return;
    }
    const bool stream = output.request.target.starts_with("/model/");
    const header_list headers{{"content-type", stream ? "text/event-stream" : "text/plain"}};
    const int pieceCount = stream ? m_options.eventsPerTurn : 1;
    const auto gap = stream ? m_options.eventInterval : m_options.serviceTime;
    const auto content = stream ? std::string() : "done:" + output.request.attempt;
    const bool losesPart = behaviour == endpoint_behaviour::LosesPartWithoutLength;
    const bool endsInside = losesPart || behaviour == endpoint_behaviour::EndsInsideEvent;
    const bool endsWithConnection = endsInside || behaviour == endpoint_behaviour::EndsWithConnection;
    const auto length = stream || endsWithConnection ? std::nullopt : std::optional<std::uint64_t>(content.size());
    respond(gap,
            response_head{output.dispatch,
                          {.status = 200,
                           .hasEndpointSignature = true,
                           .leaving = leaving,
                           .rateLimit = rateLimitOf(output.request.endpoint),
                           .headers = headers,
                           .contentLength = length,
                           .endsWithConnection = endsWithConnection}});
    const int sentPieces = behaviour == endpoint_behaviour::TruncatesResponse ? pieceCount / 2 : pieceCount;
    for (int i = 1; i <= sentPieces; ++i) {
        auto text = stream ? fmt::format("id: {0}\ndata: {1}-{0}\n\n", i, output.request.attempt) : content;
        if (endsInside && i == pieceCount) {
            text.resize(text.size() / 2);
        }
        respond(gap * i, response_chunk{output.dispatch, text});
    }
    const bool isLost = losesPart || behaviour == endpoint_behaviour::TruncatesResponse;
    end(gap * pieceCount + 1ms, isLost ? dispatch_outcome::Lost : dispatch_outcome::Complete);
}

void gateway_world::beginCrashingResponse(int daemon, const start_dispatch &output,
                                          const std::function<void(milliseconds, const event &)> &respond)
{
    const bool isInsideEvent = crashing->sign == crash_sign::EndInsideEvent;
    const bool isWhole = crashing->sign == crash_sign::WholeError || crashing->sign == crash_sign::WholeSuccess;
    const bool isEventStream = isInsideEvent || crashing->sign == crash_sign::EndBetweenEvents;
    const auto sendHead = [&](std::uint16_t status) {
        respond(0ms,
                response_head{output.dispatch,
                              {.status = status,
                               .hasEndpointSignature = crashing->sign != crash_sign::UnsignedHead,
                               .headers = {{"content-type", isEventStream ? "text/event-stream" : "text/plain"}},
                               .contentLength = isWhole ? std::optional<std::uint64_t>(0) : std::nullopt,
                               .endsWithConnection = isEventStream}});
    };
    switch (crashing->sign) {
    case crash_sign::Lost:
    case crash_sign::Silent:
        return;
    case crash_sign::EndBetweenEvents:
    case crash_sign::EndInsideEvent:
        m_endingWithConnection.emplace(daemon, output.dispatch);
        sendHead(200);
        respond(0ms, response_chunk{output.dispatch, "id: 1\ndata: 1\n\n"});
        if (isInsideEvent) {
            respond(0ms, response_chunk{output.dispatch, "id: 2\ndata: "});
        }
        return;
    case crash_sign::UnsignedHead:
        sendHead(200);
        return;
    case crash_sign::UnmarkedRefusal:
        sendHead(503);
        return;
    case crash_sign::WholeError:
    case crash_sign::WholeSuccess:
        sendHead(crashing->sign == crash_sign::WholeError ? 500 : 200);
        respond(0ms, dispatch_finished{output.dispatch, dispatch_outcome::Complete});
        return;
    }
}

int gateway_world::crashCountOf(const std::string &endpoint) const
{
    const auto found = m_crashCounts.find(endpoint);
    return found == m_crashCounts.end() ? 0 : found->second;
}

void gateway_world::crashEndpoint(const std::string &id)
{
    if (!m_downEndpoints.insert(id).second) {
        return; // Another request has crashed it in the same moment.
    }
    ++m_crashCounts[id];
    crashing->crashes.push_back(now());
    schedule(crashing->downTime, [=, this] { restartEndpoint(id); });
    if (crashing->sign == crash_sign::Silent) {
        return;
    }
    for (const auto &place : m_activeDispatches) {
        const auto found = m_dispatchEndpoints.find(place);
        const bool isAffected =
            found != m_dispatchEndpoints.end() && found->second == id && pathOf(place.first) == path_behaviour::Open;
        if (isAffected) {
            const int incarnation = m_daemons.at(static_cast<std::size_t>(place.first)).incarnation;
            const auto outcome =
                m_endingWithConnection.contains(place) ? dispatch_outcome::Complete : dispatch_outcome::Lost;
            schedule(0ms, [this, place, incarnation, outcome] {
                if (m_activeDispatches.contains(place)) {
                    deliver(place.first, incarnation, dispatch_finished{place.second, outcome});
                }
            });
        }
    }
}

void gateway_world::restartEndpoint(const std::string &id)
{
    auto entry = m_latestEndpoints.at(id);
    entry.born = static_cast<std::uint64_t>(++m_lastSequence);
    if (crashing->keepsId) {
        m_downEndpoints.erase(id);
    } else {
        removeEndpoint(id);
        entry.id = fmt::format("{}-{}", id, entry.born);
    }
    registerEndpoint(entry);
}

void gateway_world::sendWithoutEnd(int daemon, int incarnation, dispatch_id dispatch, const std::string &piece)
{
    schedule(1ms, [=, this] {
        if (m_activeDispatches.contains({daemon, dispatch})) {
            endlessBytes += piece.size();
            deliver(daemon, incarnation, response_chunk{dispatch, piece});
            sendWithoutEnd(daemon, incarnation, dispatch, piece);
        }
    });
}

bool gateway_world::isDown(const std::string &address) const
{
    return std::ranges::none_of(m_latestEndpoints, [&](const auto &item) {
        return item.second.address == address && !m_downEndpoints.contains(item.first);
    });
}

path_behaviour gateway_world::pathOf(int daemon) const
{
    const auto found = endpointPaths.find(daemon);
    return found == endpointPaths.end() ? path_behaviour::Open : found->second;
}

void gateway_world::on(int daemon, const probe_endpoint &output)
{
    const int incarnation = m_daemons.at(static_cast<std::size_t>(daemon)).incarnation;
    const auto path = pathOf(daemon);
    schedule(path == path_behaviour::Hangs ? connectTimeout : endpointDelay, [=, this] {
        deliver(daemon, incarnation,
                probe_finished{output.probe, path == path_behaviour::Open && !isDown(output.address)});
    });
}

void gateway_world::on(int daemon, const cancel_dispatch &output)
{
    m_activeDispatches.erase({daemon, output.dispatch});
    cancelledAttempts.push_back(m_attempts.at({daemon, output.dispatch}));
}

std::optional<double> gateway_world::rateLimitOf(const std::string &endpoint) const
{
    const auto found = endpointLimits.find(endpoint);
    return found == endpointLimits.end() ? std::nullopt : std::optional(found->second);
}

int gateway_world::mostRunsWithin(const std::string &endpoint, milliseconds period, time_point start) const
{
    std::deque<time_point> recent;
    std::size_t most = 0;
    for (const auto &run : runs) {
        if (run.endpoint != endpoint || run.at < start) {
            continue;
        }
        recent.push_back(run.at);
        while (recent.front() <= run.at - period) {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
    }
    return static_cast<int>(most);
}

int gateway_world::runsOf(const std::string &attempt) const
{
    return static_cast<int>(std::ranges::count(runs, attempt, &endpoint_run::attempt));
}

} // namespace jackdawpick::gateway::testing
