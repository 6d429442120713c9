#include "wire/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace jackdawpick
{

namespace
{

peer_message arbitraryMessage()
{
    const auto text = [] {
        return *rc::gen::arbitrary<std::string>();
    };
    const auto number = [] {
        return *rc::gen::arbitrary<std::uint64_t>();
    };
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return hello{.version = protocolVersion, .daemon = {text(), number()}, .zone = text()};
    case 1:
        return heartbeat{.daemon = {text(), number()},
                         .zone = text(),
                         .configurationVersion = number(),
                         .draining = *rc::gen::arbitrary<bool>()};
    case 2:
        return forward_call{.id = number(), .path = text(), .body = text()};
    case 3:
        return forward_chunk{.id = number(), .text = text()};
    case 4:
        return forward_end{.id = number(),
                           .httpStatus = *rc::gen::arbitrary<std::uint16_t>(),
                           .retryAfterMs = *rc::gen::arbitrary<std::uint32_t>(),
                           .body = text()};
    case 5:
        return forward_cancel{.id = number()};
    case 6:
        return quarantine_notice{.content = number()};
    case 7:
        return leaving_notice{.endpoint = text()};
    default:
        return configuration_hint{.version = number()};
    }
}

// Reads until the bytes end or are rejected. Reads out of bounds are detected by the sanitizers.
std::size_t readAll(std::string_view bytes)
{
    frame_reader reader;
    std::size_t count = 0;
    try {
        reader.append(bytes);
        while (reader.next().has_value()) {
            ++count;
        }
    } catch (const error &problem) {
        EXPECT_EQ(problem.code(), result_code::MalformedRequest);
    }
    return count;
}

} // namespace

// Guards against fields lost in encoding and frames split wrongly at the boundaries of network reads.
RC_GTEST_PROP(Wire, MessagesRoundTripInPiecesOfAnySize, ())
{
    std::vector<peer_message> sent;
    std::string bytes;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
        sent.push_back(arbitraryMessage());
        bytes += encodeFrame(sent.back());
    }
    const auto piece = *rc::gen::inRange<std::size_t>(1, 64);
    frame_reader reader;
    std::vector<peer_message> received;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        reader.append(std::string_view(bytes).substr(at, piece));
        while (auto message = reader.next()) {
            received.push_back(std::move(*message));
        }
    }
    RC_ASSERT(received == sent);
}

// Guards against malformed bytes from a faulty or malicious peer crashing the daemon.
RC_GTEST_PROP(Wire, MalformedBytesAreRejected, (const std::string &garbage))
{
    readAll(garbage);
    std::string framed = "____" + garbage;
    framed[0] = static_cast<char>(garbage.size() & 0xffU);
    framed[1] = static_cast<char>(garbage.size() >> 8U);
    framed[2] = framed[3] = 0;
    readAll(framed);
}

// Guards against crashes on a message with a few changed bytes that passes the verifier.
RC_GTEST_PROP(Wire, MutatedMessagesNeverCrash, ())
{
    std::string bytes = encodeFrame(arbitraryMessage());
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
    }
    readAll(bytes);
}

// Guards against a length prefix that makes the reader wait for gigabytes.
TEST(Wire, OversizedFramesAreRejectedImmediately)
{
    frame_reader reader;
    reader.append(std::string("\x01\x00\x00\x01", 4));
    EXPECT_THROW((void)reader.next(), error);
    EXPECT_THROW((void)encodeFrame(forward_call{.id = 1, .path = "/", .body = std::string(maxFrameBytes, 'x')}), error);
}

// Guards against accepting a daemon of another protocol version as a peer.
TEST(Wire, OtherVersionsAreRejected)
{
    frame_reader reader;
    reader.append(encodeFrame(hello{.version = protocolVersion + 1, .daemon = {"addis-1", 7}, .zone = "addis-a"}));
    EXPECT_THROW((void)reader.next(), error);
}

// Guards against heartbeats that exceed their share of the control traffic: under 100 bytes (docs/design.md, section
// 8), and slightly more with longer names.
TEST(Wire, HeartbeatsAreSmall)
{
    const auto frameBytes = [](const std::string &name, const std::string &zone) {
        return encodeFrame(heartbeat{.daemon = {name, 0xffffffffffffffffU},
                                     .zone = zone,
                                     .configurationVersion = 0xffffffffffffffffU,
                                     .draining = true})
            .size();
    };
    EXPECT_LT(frameBytes("wanza-1", "addis-a"), 100U);
    EXPECT_LT(frameBytes("vestkyst-host-11", "vestkyst-d"), 120U);
}

} // namespace jackdawpick
