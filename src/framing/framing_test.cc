#include "framing/framing.h"

#include "results/results.h"
#include "testing/allocated_bytes.h"

#include <gtest/gtest.h>

namespace jackdawpick::framing
{

// Guards against frames that depend on how the network has cut the stream.
TEST(Framing, FramesAreIndependentOfCuts)
{
    const std::string first = "first";
    const std::string second(70000, 'x');
    const std::string stream = encodeFrame(first) + encodeFrame("") + encodeFrame(second);
    for (const std::size_t step : {1U, 3U, 4U, 9U, 70000U, 200000U}) {
        frame_cutter cutter;
        std::vector<std::string> payloads;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            cutter.append(std::string_view(stream).substr(at, step));
            while (const auto payload = cutter.next()) {
                payloads.emplace_back(*payload);
            }
        }
        EXPECT_EQ(payloads, (std::vector<std::string>{first, "", second})) << "step " << step;
    }
}

// Guards against memory that a peer can claim with a length alone.
TEST(Framing, LengthBeyondTheBoundIsRefused)
{
    frame_cutter cutter;
    cutter.append("\xff\xff\xff\x7f");
    EXPECT_THROW((void)cutter.next(), error);
    EXPECT_THROW((void)encodeFrame(std::string(maxPayloadBytes + 1, 'x')), error);
}

// Guards against links that each keep the memory of the largest frame they ever had.
TEST(Framing, MemoryOfALargeFrameIsReleased)
{
    constexpr std::size_t links = 20;
    constexpr std::size_t payloadBytes = 4U << 20U;
    const auto frame = encodeFrame(std::string(payloadBytes, 'a'));
    std::vector<frame_cutter> cutters(links);
    const testing::peak_allocation peak;
    for (auto &cutter : cutters) {
        cutter.append(frame);
        EXPECT_EQ(cutter.bufferedBytes(), frame.size());
        EXPECT_EQ(cutter.next().value().size(), payloadBytes);
        EXPECT_EQ(cutter.bufferedBytes(), 0U);
        cutter.append("b");
        EXPECT_FALSE(cutter.next().has_value());
        EXPECT_EQ(cutter.bufferedBytes(), 1U);
    }
    EXPECT_LT(peak.bytes(), 3 * payloadBytes);
}

} // namespace jackdawpick::framing
