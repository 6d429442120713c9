// HTTP servers that end while clients go on: no request that arrives is lost, and no answer is cut.

#include "net/net.h"
#include "testing/raw_connection.h"

#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace jackdawpick::net
{

namespace
{

using namespace std::chrono_literals;
using testing::raw_connection;

constexpr auto idleTime = 100ms;
constexpr auto longestEnd = 1500ms; // Until a server that serves nobody has ended.

std::string requestText(std::string_view name)
{
    return fmt::format("POST /{} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", name);
}

class closing_server_test : public ::testing::Test
{
protected:
    closing_server_test()
    {
        listen_options options;
        options.maxUnsentBytes = 64U << 20U;
        port = loop.listenHttp(options, [this](const http_request &request) {
            ++requests;
            if (request.path == "/later") {
                waiting = request.id;
            } else if (request.path == "/large") {
                loop.respond(request.id, {}, std::string(largeBytes, 'x'));
            } else {
                loop.respond(request.id, {}, "done");
            }
        });
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    // Sends the bytes and returns what has arrived after some time.
    std::string exchange(raw_connection &client, const std::string &bytes)
    {
        client.send(bytes);
        runFor(30ms);
        return client.receive();
    }

    void finish()
    {
        loop.finishServers(idleTime, [this] {
            ++ends;
            loop.stop();
        });
    }

    static constexpr std::size_t largeBytes = 16U << 20U;
    net::loop loop;
    std::uint16_t port = 0;
    int requests = 0;
    int ends = 0;
    std::optional<request_id> waiting;
};

} // namespace

// Guards against a kept connection on which the client sends a request that meets the close: each answer announces it.
TEST_F(closing_server_test, AnswersAnnounceTheClose)
{
    raw_connection client(port);
    EXPECT_EQ(exchange(client, requestText("a")).find("Connection: close"), std::string::npos);
    loop.closeAfterAnswers();
    const auto last = exchange(client, requestText("b"));
    EXPECT_NE(last.find("Connection: close"), std::string::npos);
    EXPECT_NE(last.find("done"), std::string::npos);
    EXPECT_TRUE(client.ended());
}

// Guards against the close of a connection after an answer whose head, sent before, has promised to keep it: the next
// request of its client was lost.
TEST_F(closing_server_test, AnswerThatPromisedToKeepItsConnectionKeepsIt)
{
    raw_connection client(port);
    client.send(requestText("later"));
    runFor(30ms);
    ASSERT_TRUE(waiting.has_value());
    loop.beginStream(*waiting, {});
    loop.closeAfterAnswers();
    loop.writeStream(*waiting, "part");
    loop.endStream(*waiting);
    runFor(30ms);
    EXPECT_NE(client.receive().find("part"), std::string::npos);
    EXPECT_FALSE(client.ended());
    EXPECT_NE(exchange(client, requestText("next")).find("done"), std::string::npos);
    EXPECT_TRUE(client.ended());
}

// Guards against an answer that stops for good when the buffers of the kernel are full once: the rest was not written
// when its client read on.
TEST_F(closing_server_test, AnswerLargerThanTheBuffersArrives)
{
    raw_connection client(port);
    client.send(requestText("large"));
    std::string received;
    for (int i = 0; i < 20000 && received.size() < largeBytes; ++i) {
        runFor(1ms);
        received += client.receive();
    }
    EXPECT_GE(received.size(), largeBytes);
}

// Guards against an answer that is dropped because its connection already waits for the next request: its bytes were
// still queued when idle connections were closed.
TEST_F(closing_server_test, SlowReaderGetsTheWholeAnswer)
{
    raw_connection client(port);
    client.send(requestText("large"));
    runFor(50ms); // The answer does not fit into the buffers of the kernel.
    finish();
    runFor(idleTime + 50ms);
    EXPECT_EQ(ends, 0);
    std::string received;
    for (int i = 0; i < 20000 && ends == 0; ++i) {
        received += client.receive();
        runFor(1ms);
    }
    received += client.receive();
    EXPECT_GE(received.size(), largeBytes);
}

// Guards against a request that lies in the socket, or in the queue of the listener, when the server ends.
TEST_F(closing_server_test, RequestsThatWaitAreAnswered)
{
    raw_connection kept(port);
    EXPECT_NE(exchange(kept, requestText("a")).find("done"), std::string::npos);
    raw_connection accepted(port);
    runFor(10ms);
    raw_connection queued(port); // Nobody has accepted it yet.
    kept.send(requestText("b"));
    accepted.send(requestText("c"));
    queued.send(requestText("d"));
    finish();
    runFor(longestEnd);
    for (auto *client : {&kept, &accepted, &queued}) {
        EXPECT_NE(client->receive().find("done"), std::string::npos);
    }
    EXPECT_EQ(requests, 4);
}

// Guards against a server that ends in the middle of a request: its body comes in pieces.
TEST_F(closing_server_test, RequestThatArrivesInPiecesIsAnswered)
{
    raw_connection client(port);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
    runFor(10ms);
    finish();
    for (int i = 0; i < 5; ++i) {
        client.send("3\r\nabc\r\n");
        runFor(60ms);
    }
    EXPECT_EQ(ends, 0);
    EXPECT_NE(exchange(client, "0\r\n\r\n").find("done"), std::string::npos);
}

// Guards against a server that never ends because clients keep connections, or goes on accepting new ones.
TEST_F(closing_server_test, EndsWhenAllConnectionsWait)
{
    raw_connection kept(port);
    EXPECT_NE(exchange(kept, requestText("a")).find("done"), std::string::npos);
    raw_connection silent(port);
    runFor(10ms);
    finish();
    runFor(longestEnd);
    EXPECT_EQ(ends, 1);
    EXPECT_TRUE(kept.ended());
    EXPECT_TRUE(silent.ended());
    EXPECT_FALSE(raw_connection(port).connected());
}

// Guards against a process that a signal ends in its first milliseconds, before it can handle signals.
TEST_F(closing_server_test, SignalsBeforeTheLoopHandlesThemWait)
{
    holdSignals();
    ::raise(SIGHUP);
    int reloads = 0;
    loop.onSignals([] {}, [&] { ++reloads; });
    runFor(30ms);
    EXPECT_EQ(reloads, 1);
}

} // namespace jackdawpick::net
