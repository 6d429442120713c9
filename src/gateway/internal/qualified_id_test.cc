#include "gateway/internal/qualified_id.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jackdawpick::gateway::internal
{

namespace
{

// Ids of which many read like names: the parts of a name in any order.
std::string arbitraryId()
{
    const auto part =
        rc::gen::element<std::string>("0", "1", "3", "03", ":", "/", "red", "r", "a", "", std::string(1, '\0'));
    const auto parts = *rc::gen::container<std::vector<std::string>>(part);
    std::string id;
    for (const auto &each : parts) {
        id += each;
    }
    return id;
}

qualified_id arbitraryValue()
{
    auto id = *rc::gen::oneOf(rc::gen::exec(arbitraryId), rc::gen::arbitrary<std::string>());
    auto tenant =
        *rc::gen::oneOf(rc::gen::element<std::string>("", "red", "r", "3:red/"), rc::gen::arbitrary<std::string>());
    if (id.empty()) {
        id = "a";
    }
    // A caller without a tenant may send what is the name of a tenant's id.
    return *rc::gen::element(qualified_id{tenant, id}, qualified_id{{}, encode({tenant, id})});
}

} // namespace

// Guards against a caller that reaches the turns, budgets or attempts of another one by an id that it makes up.
RC_GTEST_PROP(QualifiedId, NoTwoValuesShareAName, ())
{
    const auto one = arbitraryValue();
    const auto other = arbitraryValue();
    RC_ASSERT((one == other) == (encode(one) == encode(other)));
}

// Guards against a name that is read as another caller's.
RC_GTEST_PROP(QualifiedId, NameIsReadBack, ())
{
    const auto value = arbitraryValue();
    RC_ASSERT(decode(encode(value)) == value);
}

// Guards against turns and budgets that are lost when the daemons are replaced: records of earlier builds have these
// names.
TEST(QualifiedId, NamesOfEarlierBuildsStay)
{
    EXPECT_EQ(encode({.tenant = "outlet", .id = "turn-1"}), "6:outlet/turn-1");
    EXPECT_EQ(encode({.tenant = {}, .id = "turn-1"}), "turn-1");
    EXPECT_EQ(encode({.tenant = {}, .id = "12:30/turn"}), "12:30/turn"); // Shorter than its number says.
    EXPECT_EQ(encode({.tenant = {}, .id = "06:outlet/turn-1"}), "06:outlet/turn-1");
    EXPECT_EQ(encode({.tenant = {}, .id = "6:outlet/turn-1"}), "0:/6:outlet/turn-1");
    EXPECT_EQ(encode({.tenant = "outlet", .id = {}}), "");
}

} // namespace jackdawpick::gateway::internal
