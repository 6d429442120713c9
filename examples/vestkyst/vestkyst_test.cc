#include "configuration/configuration.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against an example that prints what the daemons refuse, and against services that would be run twice.
TEST(VestkystExample, OutputParsesWithoutErrors)
{
    std::ifstream file(VESTKYST_OUTPUT);
    ASSERT_TRUE(file.is_open());
    const std::string text(std::istreambuf_iterator<char>(file), {});

    const auto parsed = parseConfiguration(text);
    for (const auto &problem : parsed.errors) {
        ADD_FAILURE() << toString(problem);
    }
    std::vector<std::string> ranks;
    std::ranges::transform(parsed.value.ranks, std::back_inserter(ranks), &rank_policy::name);
    EXPECT_EQ(ranks, (std::vector<std::string>{"tide", "routine"}));
    std::vector<std::string> services;
    std::ranges::transform(parsed.value.services, std::back_inserter(services), &service_definition::name);
    EXPECT_EQ(services, (std::vector<std::string>{"bookings", "roster", "lifeguard-callout"}));
    EXPECT_TRUE(std::ranges::none_of(parsed.value.services, &service_definition::idempotentByDefault));
}

} // namespace jackdawpick
