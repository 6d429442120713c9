#include "logging/logging.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against a value from a caller that forges further fields or lines in the log.
TEST(Logging, EscapesValuesThatCouldForgeFieldsOrLines)
{
    EXPECT_EQ(logging::format(log_level::Warning, "refused", {{"program", "a b=c\n\"d\""}, {"turn", 3}}),
              R"(warning refused program="a b=c\x0a\"d\"" turn=3)");
}

TEST(Logging, LevelNamesRoundTrip)
{
    EXPECT_EQ(logLevelFromName("error"), log_level::Error);
    EXPECT_FALSE(logLevelFromName("loud").has_value());
}

} // namespace jackdawpick
