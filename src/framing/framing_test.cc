#include "framing/framing.h"

#include "results/results.h"

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

} // namespace jackdawpick::framing
