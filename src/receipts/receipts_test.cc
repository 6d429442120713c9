#include "receipts/receipts.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

const receipt example{.program = {"wanza", "s17.1.2"},
                      .turn = 4,
                      .history = {0x1234, 900},
                      .messageCount = 9,
                      .budget = 5000,
                      .spent = 1200,
                      .delegated = 100,
                      .attainedService = 1100,
                      .rank = 1,
                      .fencingToken = 77};

} // namespace

TEST(Receipts, RoundTrip)
{
    EXPECT_EQ(verifyReceipt(signReceipt(example, "secret"), "secret"), example);
}

// Guards against receipts that a caller modified, or that were signed with the key of another installation.
TEST(Receipts, ModifiedReceiptOrOtherKeyIsRejected)
{
    const std::string text = signReceipt(example, "secret");
    EXPECT_FALSE(verifyReceipt(text, "other").has_value());
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        // The last character of base64 text may contain unused bits; a change there may leave the bytes the same.
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        const auto read = verifyReceipt(changed, "secret");
        EXPECT_TRUE(!read.has_value() || *read == example) << i;
    }
    EXPECT_FALSE(verifyReceipt("", "secret").has_value());
    EXPECT_FALSE(verifyReceipt(".", "secret").has_value());
    EXPECT_FALSE(verifyReceipt("a.b.c", "secret").has_value());
}

} // namespace jackdawpick
