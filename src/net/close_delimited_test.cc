// Responses that have neither a length nor chunks, over loopback sockets: the end of their connection ends them.

#include "net/net.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>
#include <sys/socket.h>

namespace jackdawpick::net
{

namespace
{

using namespace std::chrono_literals;

struct observed_response
{
    std::optional<answer_head> head;
    std::string body;
    client_result result;
};

// A server that answers each connection with a text and then closes it in order.
class close_delimited_test : public ::testing::Test
{
protected:
    observed_response requestFrom(const std::string &text, const std::string &method = "GET")
    {
        const auto port = loop.listenTcp({},
                                         {.connected = {},
                                          .received =
                                              [&](stream_id stream, std::string_view) {
                                                  loop.send(stream, text);
                                                  loop.after(20ms, [this, stream] { loop.close(stream); });
                                              },
                                          .closed = {}});
        observed_response observed;
        loop.request(
            {.address = fmt::format("127.0.0.1:{}", port), .method = method, .body = {}, .headers = {}},
            [&](client_result result) {
                observed.result = std::move(result);
                loop.stop();
            },
            [&](std::string_view bytes) { observed.body += bytes; },
            [&](const answer_head &head) {
                observed.head = head;
                return head_verdict::Take;
            });
        loop.run();
        return observed;
    }

    net::loop loop;
};

} // namespace

// Guards against a response whose end proves nothing and that looks like one with a length.
TEST_F(close_delimited_test, HeadStatesThatTheConnectionEndsTheBody)
{
    const auto observed = requestFrom("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nabc");
    ASSERT_TRUE(observed.head.has_value());
    EXPECT_TRUE(observed.head->endsWithConnection);
    EXPECT_EQ(observed.body, "abc");
    EXPECT_EQ(observed.result.error, client_error::None);
}

// Guards against the same for a server of an earlier version of HTTP.
TEST_F(close_delimited_test, ResponseOfAnEarlierVersionEndsWithItsConnection)
{
    const auto observed = requestFrom("HTTP/1.0 200 OK\r\n\r\nabc");
    ASSERT_TRUE(observed.head.has_value());
    EXPECT_TRUE(observed.head->endsWithConnection);
    EXPECT_EQ(observed.body, "abc");
}

// Guards against responses that prove their end and are taken for ones that do not.
TEST_F(close_delimited_test, DelimitedResponsesDoNotEndWithTheirConnection)
{
    for (const std::string_view rest : {"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc",
                                        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
        const auto observed = requestFrom(fmt::format("HTTP/1.1 200 OK\r\n{}", rest));
        ASSERT_TRUE(observed.head.has_value()) << rest;
        EXPECT_FALSE(observed.head->endsWithConnection) << rest;
        EXPECT_EQ(observed.result.error, client_error::None) << rest;
    }
    EXPECT_FALSE(requestFrom("HTTP/1.1 204 No Content\r\n\r\n").head->endsWithConnection);
    EXPECT_FALSE(requestFrom("HTTP/1.1 200 OK\r\n\r\n", "HEAD").head->endsWithConnection);
}

} // namespace jackdawpick::net
