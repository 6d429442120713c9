#include "toml_text/toml_text.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

std::string repeated(std::string_view part, int times)
{
    std::string text;
    for (int i = 0; i < times; ++i) {
        text += part;
    }
    return text;
}

void expectRefused(const std::string &text)
{
    toml_errors errors;
    EXPECT_FALSE(parseToml(text, errors).has_value()) << text.substr(0, 60);
    EXPECT_EQ(errors.size(), 1U);
}

} // namespace

// Guards against a published text that exhausts the stack of every daemon through toml++'s recursion.
TEST(TomlText, DeepTextsAreRefusedBeforeParsing)
{
    expectRefused(repeated("a.", 200000) + "a = 1");
    expectRefused("[" + repeated("a.", 200000) + "a]");
    expectRefused("a = " + repeated("[", 200000));
    expectRefused("a = " + repeated("{a=", 200000));
    // A multi-line string could hide a dotted key from the check.
    expectRefused("a = {b = \"\"\"\n\"\"\", " + repeated("c.", 200000) + "c = 1}");
    expectRefused(std::string(maxTomlBytes + 1, '#'));
}

// Guards against refusing dots and brackets that are not structure.
TEST(TomlText, StringsAndCommentsDoNotCountAsDepth)
{
    const std::string noise = repeated(".[{", 30);
    const std::string text = "a = \"" + noise + "\\\"" + noise + "\" # " + noise + "\"\"\"\nb = '" + noise
        + "'\nc = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9]\n";
    toml_errors errors;
    EXPECT_TRUE(parseToml(text, errors).has_value());
    EXPECT_TRUE(errors.empty());
}

// Guards against errors that stop at the first or name the wrong line.
TEST(TomlText, ReaderReportsEveryErrorWithItsLine)
{
    toml_errors errors;
    const auto root = parseToml("a = \"x\"\nb = 7\nc = 1979-05-27\nd.e = 1\n", errors);
    ASSERT_TRUE(root.has_value());
    table_reader reader(*root, "t", errors);
    EXPECT_FALSE(reader.integer("a", 0, 9));
    EXPECT_FALSE(reader.integer("b", 8, 9));
    EXPECT_FALSE(reader.text("c"));
    EXPECT_FALSE(reader.boolean("missing"));
    reader.finish();
    ASSERT_EQ(errors.size(), 4U);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_EQ(errors[i].line, i + 1);
    }
    EXPECT_EQ(errors[1].key, "t.b");
    EXPECT_EQ(errors[3].expected, "expected no such key");
}

} // namespace jackdawpick
