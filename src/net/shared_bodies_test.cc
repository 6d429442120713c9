// Bodies in segments that are sent without a copy, and the account of texts that the owner of a loop holds.

#include "net/net.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::net
{

namespace
{

// Server and client in one loop. A test that hangs is ended by ctest.
class shared_bodies : public ::testing::Test
{
protected:
    void serve(std::function<void(http_request)> handler)
    {
        address = fmt::format("127.0.0.1:{}", loop.listenHttp(options, std::move(handler)));
    }

    client_result exchange(client_request request)
    {
        client_result result;
        loop.request(std::move(request), [&](client_result received) {
            result = std::move(received);
            loop.stop();
        });
        loop.run();
        return result;
    }

    net::loop loop;
    listen_options options;
    std::string address;
};

} // namespace

// Guards against bytes that are lost or doubled where the segments of a body meet, or where the kernel takes a part.
TEST_F(shared_bodies, BodyInSegmentsArrivesWhole)
{
    std::string received;
    serve([&](http_request request) {
        received = std::move(request.body);
        loop.respond(request.id, {}, "done");
    });
    rope body;
    for (std::size_t i = 0; i < 300; ++i) {
        body.append(shared_text(std::string(i * 97 % 40000 + 1, static_cast<char>('a' + i % 26))));
    }
    ASSERT_LE(body.size(), options.maxBodyBytes * 2);
    body = body.substr(0, options.maxBodyBytes - 100000);
    for (std::size_t i = 0; i < 100; ++i) {
        body.append(shared_text(std::string(997, static_cast<char>('a' + i % 26))));
    }
    const auto result = exchange({.address = address, .method = "POST", .body = body});
    EXPECT_EQ(result.error, client_error::None);
    EXPECT_TRUE(received == body.str()) << received.size();
}

// Guards against texts of the owner that take no room from requests, and against texts counted once more by an
// exchange.
TEST_F(shared_bodies, TextsOfTheOwnerTakeRoomFromRequests)
{
    loop.setClientLimits({.heldBytes = 2U << 20U, .connections = 100});
    options.handlerHoldsBodies = true;
    std::size_t held = 0;
    serve([&](const http_request &request) {
        held = loop.clientUsage().heldBytes.at(static_cast<std::size_t>(held_kind::Body));
        loop.respond(request.id, {}, "done");
    });
    const std::string large(1U << 20U, 'b');
    EXPECT_EQ(exchange({.address = address, .method = "POST", .body = large}).status, 200);
    EXPECT_EQ(held, 0U);
    loop.holdTexts(1U << 20U);
    EXPECT_EQ(exchange({.address = address, .method = "POST", .body = large}).status, 503);
    EXPECT_EQ(exchange({.address = address, .method = "POST", .body = "small"}).status, 200);
    loop.holdTexts(0);
    EXPECT_EQ(exchange({.address = address, .method = "POST", .body = large}).status, 200);
    text_account account;
    loop.request({.address = address, .method = "POST", .body = account.share(large)}, [](const client_result &) {});
    EXPECT_LT(loop.clientUsage().heldBytes.at(static_cast<std::size_t>(held_kind::Control)), large.size());
}

} // namespace jackdawpick::net
