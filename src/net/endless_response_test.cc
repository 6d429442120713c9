// The HTTP client against servers whose bytes never end, over loopback sockets.

#include "net/net.h"
#include "testing/allocated_bytes.h"
#include "testing/endless_sender.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jackdawpick::net
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Deadline of the users' requests, and what a call may take beyond it on a busy machine.
constexpr milliseconds requestDeadline = 3s;
constexpr milliseconds deadlineSlack = 1s;
// A host has 88 MB for its process. A hundred exchanges with faulty servers may hold a quarter of it.
constexpr std::size_t maxHeldBytesPerExchange = 220U << 10U;
// Timers and other connections wait no longer than this while servers send as fast as they can.
constexpr milliseconds maxLoopGap = 500ms;
constexpr int connectionsAtATime = 8;
constexpr std::uint64_t floodBytes = 200U << 20U;

struct shape
{
    const char *name;
    std::string beginning;
    std::string repeated;
};

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string longText(16384, 'a');

// Bytes that cannot become a response any more: the exchange ends long before its deadline.
const std::vector<shape> invalidShapes{
    {"status line", "HTTP/1.1 200 ", longText},
    {"header line", okHead + "X-A: ", longText},
    {"header lines", okHead, "X-A: b\r\n"},
    {"empty lines", "", "\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
    {"no HTTP", "", longText},
    {"no HTTP in lines", "", "SSH-2.0-x\r\n"},
    {"zero bytes", "", std::string(4096, '\0')},
    {"chunk size", chunkedHead, std::string(16384, '0')},
    {"chunk extension", chunkedHead + "5;a=", longText},
    {"quoted chunk extension", chunkedHead + "5;a=\"", longText},
    {"garbage in place of chunks", chunkedHead, longText},
    {"garbage after a chunk", chunkedHead + "1\r\na\r\n", longText},
    {"trailers", chunkedHead + "0\r\n", "X-A: b\r\n"},
    {"trailer line", chunkedHead + "0\r\nX-A: ", longText},
};

// Bytes that belong to one response until the deadline, which the client hands on as they arrive.
const std::vector<shape> endlessBodies{
    {"length", okHead + "Content-Length: 9223372036854775807\r\n\r\n", longText},
    {"no length", okHead + "\r\n", longText},
    {"chunks", chunkedHead, "4000\r\n" + longText + "\r\n"},
    {"small chunks", chunkedHead, "1\r\na\r\n"},
};

head_verdict takeAll(const answer_head & /*head*/)
{
    return head_verdict::Take;
}

class endless_response_test : public ::testing::Test
{
protected:
    endless_response_test()
    {
        loop.every(10ms, [this] {
            const auto now = std::chrono::steady_clock::now();
            longestGap = std::max(longestGap, std::chrono::duration_cast<milliseconds>(now - lastTick));
            lastTick = now;
        });
    }

    struct outcome
    {
        client_error error{};
        milliseconds took{};
        std::uint16_t status = 0;
    };

    // Starts a request; `finish` is called with its outcome. The body is counted and dropped.
    void start(client_request request, std::function<void(outcome)> finish, const head_handler &onHead = takeAll)
    {
        const auto startedAt = std::chrono::steady_clock::now();
        loop.request(
            std::move(request),
            [startedAt, finish = std::move(finish)](const client_result &result) {
                const auto took = std::chrono::steady_clock::now() - startedAt;
                finish({result.error, std::chrono::duration_cast<milliseconds>(took), result.status});
            },
            [this](std::string_view bytes) {
                ++bodyParts;
                bodyBytes += bytes.size();
            },
            onHead);
    }

    std::vector<outcome> run(const std::string &address, milliseconds timeout, const head_handler &onHead = takeAll)
    {
        std::vector<outcome> outcomes;
        lastTick = std::chrono::steady_clock::now();
        for (int i = 0; i < connectionsAtATime; ++i) {
            start(
                {.address = address, .timeout = timeout, .reuseConnection = true},
                [&](const outcome &result) {
                    outcomes.push_back(result);
                    if (outcomes.size() == connectionsAtATime) {
                        loop.stop();
                    }
                },
                onHead);
        }
        loop.run();
        return outcomes;
    }

    // Runs the loop until the server has seen the close of all its connections, or for the slack.
    void runUntilClosed(const testing::endless_sender &server, int expected)
    {
        const auto last = std::chrono::steady_clock::now() + deadlineSlack;
        while (server.closedByPeer() < expected && std::chrono::steady_clock::now() < last) {
            loop.after(10ms, [this] { loop.stop(); });
            loop.run();
        }
    }

    net::loop loop;
    std::uint64_t bodyBytes = 0;
    std::uint64_t bodyParts = 0;
    std::chrono::steady_clock::time_point lastTick;
    milliseconds longestGap{0};
};

} // namespace

// Guards against memory without bound for bytes that never become a response, against taking an interim response for
// the final one, and against waiting for the deadline while such bytes arrive.
TEST_F(endless_response_test, InvalidBytesEndTheExchange)
{
    for (const auto &[name, beginning, repeated] : invalidShapes) {
        SCOPED_TRACE(name);
        const testing::endless_sender server({.beginning = beginning, .repeated = repeated});
        const testing::peak_allocation peak;
        for (const auto &[error, took, status] : run(server.address(), requestDeadline)) {
            EXPECT_EQ(error, client_error::ConnectionLost);
            EXPECT_LT(took, requestDeadline);
        }
        EXPECT_LE(peak.bytes(), connectionsAtATime * maxHeldBytesPerExchange);
        runUntilClosed(server, connectionsAtATime);
        EXPECT_EQ(server.closedByPeer(), connectionsAtATime);
    }
    EXPECT_LE(longestGap, maxLoopGap);
}

// Guards against memory without bound, a starved loop and an exchange beyond its deadline while servers send bodies as
// fast as they can.
TEST_F(endless_response_test, EndlessBodiesEndAtTheDeadline)
{
    constexpr milliseconds timeout = 500ms;
    for (const auto &[name, beginning, repeated] : endlessBodies) {
        SCOPED_TRACE(name);
        const testing::endless_sender server({.beginning = beginning, .repeated = repeated});
        const testing::peak_allocation peak;
        for (const auto &[error, took, status] : run(server.address(), timeout)) {
            EXPECT_EQ(error, client_error::Timeout);
            EXPECT_EQ(status, 200);
            EXPECT_LE(took, timeout + deadlineSlack);
        }
        EXPECT_LE(peak.bytes(), connectionsAtATime * maxHeldBytesPerExchange);
        runUntilClosed(server, connectionsAtATime);
        EXPECT_EQ(server.closedByPeer(), connectionsAtATime);
    }
    EXPECT_LE(longestGap, maxLoopGap);
}

// Guards against memory that grows with the bytes received over many exchanges.
TEST_F(endless_response_test, AFloodOverManyConnectionsHoldsLittle)
{
    const testing::endless_sender server({.beginning = okHead + "\r\n", .repeated = longText});
    const testing::peak_allocation peak;
    int rounds = 0;
    while (bodyBytes < floodBytes && rounds < 100) {
        ++rounds;
        run(server.address(), 200ms);
    }
    EXPECT_GE(bodyBytes, floodBytes);
    EXPECT_LE(peak.bytes(), connectionsAtATime * maxHeldBytesPerExchange);
    runUntilClosed(server, rounds * connectionsAtATime);
    EXPECT_EQ(server.closedByPeer(), rounds * connectionsAtATime);
    EXPECT_LE(longestGap, maxLoopGap);
}

// Guards against a collected response that fills the memory: replies of the store are collected.
TEST_F(endless_response_test, ACollectedBodyHasABound)
{
    constexpr std::size_t maxBody = 1U << 20U;
    for (const auto &[name, beginning, repeated] : endlessBodies) {
        SCOPED_TRACE(name);
        const testing::endless_sender server({.beginning = beginning, .repeated = repeated});
        const testing::peak_allocation peak;
        client_result result;
        loop.request({.address = server.address(), .timeout = requestDeadline, .maxCollectedBytes = maxBody},
                     [&](client_result received) {
                         result = std::move(received);
                         loop.stop();
                     });
        loop.run();
        EXPECT_EQ(result.error, client_error::ConnectionLost);
        // A text that grows holds its old and its new block for a moment.
        EXPECT_LE(peak.bytes(), 3 * maxBody + maxHeldBytesPerExchange);
        runUntilClosed(server, 1);
        EXPECT_EQ(server.closedByPeer(), 1);
    }
}

// Guards against a sender of single bytes that holds an exchange beyond its deadline: each byte restarts only the bound
// of silence.
TEST_F(endless_response_test, ASlowSenderEndsAtTheDeadline)
{
    constexpr milliseconds timeout = 1s;
    std::vector<std::unique_ptr<testing::endless_sender>> servers;
    const std::vector<std::pair<std::string, std::string>> contents{
        {"", "a"}, {okHead, "a"}, {chunkedHead, "0"}, {okHead + "\r\n", "a"}, {chunkedHead + "0\r\n", "X"}};
    std::vector<outcome> outcomes;
    for (const auto &[beginning, repeated] : contents) {
        servers.push_back(std::make_unique<testing::endless_sender>(
            testing::endless_content{.beginning = beginning, .repeated = repeated, .pause = 100ms}));
        start({.address = servers.back()->address(), .timeout = timeout, .silence = 500ms}, [&](const outcome &result) {
            outcomes.push_back(result);
            if (outcomes.size() == contents.size()) {
                loop.stop();
            }
        });
    }
    loop.run();
    for (const auto &[error, took, status] : outcomes) {
        EXPECT_EQ(error, client_error::Timeout);
        EXPECT_GE(took, timeout);
        EXPECT_LE(took, timeout + deadlineSlack);
    }
    for (const auto &server : servers) {
        runUntilClosed(*server, 1);
        EXPECT_EQ(server->closedByPeer(), 1);
    }
}

// Guards against reading on after a complete response: the bytes behind it belong to no request, and a connection that
// delivers them must not serve another one.
TEST_F(endless_response_test, BytesAfterAResponseCloseTheConnection)
{
    for (const auto pause : {0ms, 50ms}) { // Together with the response; while the connection is idle.
        const testing::endless_sender server({.beginning = okHead + "Content-Length: 2\r\n\r\nok",
                                              .repeated = okHead + "Content-Length: 2\r\n\r\nno",
                                              .pauseAfterBeginning = pause});
        const testing::peak_allocation peak;
        for (const auto &[error, took, status] : run(server.address(), requestDeadline)) {
            EXPECT_EQ(error, client_error::None);
            EXPECT_EQ(status, 200);
        }
        runUntilClosed(server, connectionsAtATime);
        EXPECT_EQ(server.closedByPeer(), connectionsAtATime);
        EXPECT_LE(peak.bytes(), connectionsAtATime * maxHeldBytesPerExchange);
        EXPECT_EQ(bodyBytes, 2U * connectionsAtATime);
        bodyBytes = 0;
    }
}

// Guards against sending a request on an idle connection whose extra bytes or whose end have arrived and have not been
// read yet: a request that must not run twice would be lost on it.
TEST_F(endless_response_test, AnIdleConnectionWithUnreadBytesIsNotUsed)
{
    const testing::endless_sender server(
        {.beginning = okHead + "Content-Length: 2\r\n\r\nok", .repeated = "more", .pauseAfterBeginning = 30ms});
    outcome first;
    outcome second;
    start({.address = server.address(), .reuseConnection = true}, [&](const outcome &result) {
        first = result;
        // The loop does not read while it is held here, as it is when other work takes its time.
        loop.after(1ms, [&] {
            std::this_thread::sleep_for(200ms);
            start({.address = server.address(), .method = "POST", .reuseConnection = true}, [&](const outcome &later) {
                second = later;
                loop.stop();
            });
        });
    });
    loop.run();
    EXPECT_EQ(first.error, client_error::None);
    EXPECT_EQ(second.error, client_error::None);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against refusing a response because of the few interim responses that HTTP allows before it.
TEST_F(endless_response_test, InterimResponsesAreSkipped)
{
    const testing::endless_sender server({.beginning = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
                                                       "</a>\r\n\r\n"
                                              + okHead + "Content-Length: 2\r\n\r\nok",
                                          .repeated = ""});
    for (const auto &[error, took, status] : run(server.address(), requestDeadline)) {
        EXPECT_EQ(error, client_error::None);
        EXPECT_EQ(status, 200);
    }
    EXPECT_EQ(bodyBytes, 2U * connectionsAtATime);
}

// Guards against reading responses to other requests for as long as a server sends them: one may arrive late, not many.
TEST_F(endless_response_test, ResponsesToOthersEndTheExchange)
{
    const testing::endless_sender server(
        {.beginning = "", .repeated = okHead + "X-Id: other\r\nContent-Length: 2\r\n\r\nno"});
    const testing::peak_allocation peak;
    const auto skipAll = [](const answer_head &) {
        return head_verdict::Skip;
    };
    for (const auto &[error, took, status] : run(server.address(), requestDeadline, skipAll)) {
        EXPECT_EQ(error, client_error::ConnectionLost);
        EXPECT_LT(took, requestDeadline);
    }
    EXPECT_EQ(bodyBytes, 0U);
    EXPECT_LE(peak.bytes(), connectionsAtATime * maxHeldBytesPerExchange);
    runUntilClosed(server, connectionsAtATime);
    EXPECT_EQ(server.closedByPeer(), connectionsAtATime);
}

// Guards against forwarding a status that HTTP does not have.
TEST_F(endless_response_test, AStatusOutOfRangeIsNoResponse)
{
    for (const auto *line : {"HTTP/1.1 000 \r\n", "HTTP/1.1 099 \r\n", "HTTP/1.1 600 \r\n", "HTTP/1.1 999 \r\n",
                             "HTTP/1.1 101 Switching Protocols\r\n"}) {
        SCOPED_TRACE(line);
        const testing::endless_sender server(
            {.beginning = std::string(line) + "Content-Length: 2\r\n\r\nok", .repeated = ""});
        for (const auto &[error, took, status] : run(server.address(), requestDeadline)) {
            EXPECT_EQ(error, client_error::ConnectionLost);
        }
    }
}

// Guards against a call of the owner for each chunk: a server that sends chunks of one byte would hold the loop.
TEST_F(endless_response_test, SmallChunksArePassedTogether)
{
    constexpr std::size_t chunks = 5000; // Fewer bytes than the transport reads at once.
    std::string beginning = chunkedHead;
    for (std::size_t i = 0; i < chunks; ++i) {
        beginning += "1\r\na\r\n";
    }
    const testing::endless_sender server({.beginning = beginning + "0\r\n\r\n", .repeated = ""});
    for (const auto &[error, took, status] : run(server.address(), requestDeadline)) {
        EXPECT_EQ(error, client_error::None);
    }
    EXPECT_EQ(bodyBytes, chunks * connectionsAtATime);
    // The kernel may deliver the bytes of a response in several parts.
    EXPECT_GT(bodyParts, 0U);
    EXPECT_LE(bodyParts, chunks * connectionsAtATime / 100);
}

} // namespace jackdawpick::net
