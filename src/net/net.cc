#include "net/net.h"

#include "net/internal/http_client.h"
#include "net/internal/http_server.h"
#include "net/internal/memory_account.h"
#include "net/internal/tcp_streams.h"
#include "net/internal/transport.h"

#include <algorithm>
#include <list>

namespace jackdawpick::net
{

struct loop::implementation
{
    // The transport is declared before its users, since their timers are cancelled in its context.
    loop_counters counters;
    internal::memory_account account;
    internal::account_entry texts{account}; // Of the owner of the loop.
    internal::transport transport;
    internal::open_requests requests;
    std::vector<std::unique_ptr<internal::http_server>> servers;
    internal::http_client client{transport, account, counters};
    internal::tcp_streams streams{transport, account, counters};
    std::list<std::unique_ptr<internal::timer>> timers;
    std::function<void()> wakeTask;
    internal::timer wake{transport, [this] {
                             const auto task = wakeTask;
                             task();
                         }};

    [[nodiscard]] std::shared_ptr<internal::http_session> find(request_id id) const
    {
        const auto found = requests.sessions.find(static_cast<std::uint64_t>(id));
        return found == requests.sessions.end() ? nullptr : found->second;
    }
};

void holdSignals()
{
    internal::transport::holdSignals();
}

loop::loop()
    : m_impl(std::make_unique<implementation>())
{
}

loop::~loop() = default;

std::uint16_t loop::listenHttp(const listen_options &options, std::function<void(http_request)> handler,
                               std::function<void(request_id)> disconnected, std::function<void(request_id)> drained)
{
    auto server = std::make_unique<internal::http_server>(m_impl->transport, m_impl->account, m_impl->requests,
                                                          m_impl->counters, options, std::move(handler),
                                                          std::move(disconnected), std::move(drained));
    return m_impl->servers.emplace_back(std::move(server))->port();
}

void loop::respond(request_id id, const http_head &head, const std::string &body)
{
    if (const auto session = m_impl->find(id)) {
        session->respond(head, body);
    }
}

void loop::beginStream(request_id id, const http_head &head)
{
    if (const auto session = m_impl->find(id)) {
        session->beginStream(head);
    }
}

void loop::writeStream(request_id id, std::string_view bytes)
{
    if (const auto session = m_impl->find(id)) {
        session->writeStream(bytes);
    }
}

void loop::endStream(request_id id)
{
    if (const auto session = m_impl->find(id)) {
        session->endStream();
    }
}

void loop::abort(request_id id)
{
    if (const auto session = m_impl->find(id)) {
        session->abort();
    }
}

void loop::closeAfterAnswers()
{
    std::ranges::for_each(m_impl->servers, [](const auto &server) { server->closeAfterAnswers(); });
}

void loop::finishServers(std::chrono::milliseconds idleTime, std::function<void()> done)
{
    const auto open = std::make_shared<std::size_t>(m_impl->servers.size());
    const auto finished = [open, done = std::move(done)] {
        if (--*open == 0) {
            done();
        }
    };
    std::ranges::for_each(m_impl->servers, [&finished](const auto &server) { server->finish(finished); });
    after(idleTime, [this] {
        std::ranges::for_each(m_impl->servers, [](const auto &server) { server->closeIdleConnections(); });
    });
}

void loop::closeConnections()
{
    std::ranges::for_each(m_impl->servers, [](const auto &server) { server->closeConnections(); });
}

std::size_t loop::bufferedBytes(request_id id) const
{
    const auto session = m_impl->find(id);
    return session == nullptr ? 0 : session->buffered();
}

client_id loop::request(client_request request, result_handler onResult, chunk_handler onChunk, head_handler onHead)
{
    return m_impl->client.request(std::move(request), {std::move(onResult), std::move(onChunk), std::move(onHead)});
}

void loop::cancel(client_id id)
{
    m_impl->client.cancel(id);
}

void loop::pauseReceiving(client_id id, bool paused)
{
    m_impl->client.pause(id, paused);
}

std::uint16_t loop::listenTcp(const listen_options &options, tcp_handlers handlers)
{
    return m_impl->streams.listen(options, std::move(handlers));
}

stream_id loop::connectTcp(const std::string &address, tcp_handlers handlers)
{
    return m_impl->streams.connect(address, std::move(handlers));
}

void loop::send(stream_id id, std::string bytes)
{
    m_impl->streams.send(id, std::move(bytes));
}

void loop::close(stream_id id)
{
    m_impl->streams.close(id);
}

void loop::after(std::chrono::milliseconds delay, std::function<void()> task)
{
    auto &timers = m_impl->timers;
    const auto place = timers.emplace(timers.end());
    *place = std::make_unique<internal::timer>(m_impl->transport, [&timers, place, task = std::move(task)] {
        timers.erase(place);
        task();
    });
    (*place)->start(delay);
}

void loop::every(std::chrono::milliseconds interval, std::function<void()> task)
{
    auto &timers = m_impl->timers;
    const auto place = timers.emplace(timers.end());
    *place = std::make_unique<internal::timer>(m_impl->transport, [place, interval, task = std::move(task)] {
        (*place)->start(interval);
        task();
    });
    (*place)->start(interval);
}

void loop::wakeAt(std::optional<time_point> when, std::function<void()> task)
{
    m_impl->wakeTask = std::move(task);
    if (!when.has_value()) {
        m_impl->wake.stop();
        return;
    }
    const auto wait = *when - system_clock_source().now();
    m_impl->wake.start(std::chrono::ceil<std::chrono::microseconds>(wait));
}

void loop::onSignals(std::function<void()> terminate, std::function<void()> reload)
{
    m_impl->transport.onSignals(std::move(terminate), std::move(reload));
}

void loop::run()
{
    m_impl->transport.run();
}

void loop::stop()
{
    m_impl->transport.stop();
}

const loop_counters &loop::counters() const
{
    return m_impl->counters;
}

void loop::setClientLimits(const client_limits &limits)
{
    m_impl->account.setLimits(limits);
}

void loop::holdTexts(std::size_t bytes)
{
    m_impl->texts.hold(held_kind::Text, bytes);
}

const client_usage &loop::clientUsage() const
{
    return m_impl->account.usage();
}

std::string_view nameOf(held_kind kind)
{
    constexpr std::array<std::string_view, heldKindCount> names{"input", "head", "body", "response", "control", "text"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view nameOf(turn_away_reason reason)
{
    constexpr std::array<std::string_view, turnAwayReasonCount> names{
        "memory", "connections", "too_large", "malformed", "too_slow", "not_reading", "fell_behind"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace jackdawpick::net
