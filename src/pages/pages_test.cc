// Compares the tables on the pages in docs/ with the tables in the program. A table stands between the lines
// "<!-- table NAME -->" and "<!-- end NAME -->"; a failure prints the table that the page should have.

#include "ctl/ctl.h"
#include "metrics/metrics.h"
#include "results/results.h"
#include "settings/settings.h"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace jackdawpick
{

namespace
{

std::string readPage(const std::string &name)
{
    std::ifstream stream(std::string(DOCS_FOLDER) + "/" + name, std::ios::binary);
    EXPECT_TRUE(stream.is_open()) << name;
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

std::string tableOn(const std::string &page, const std::string &name)
{
    const std::string begin = fmt::format("<!-- table {} -->\n", name);
    const auto from = page.find(begin);
    const auto to = page.find(fmt::format("<!-- end {} -->", name));
    if (from == std::string::npos || to == std::string::npos) {
        return "no table " + name;
    }
    return page.substr(from + begin.size(), to - from - begin.size());
}

} // namespace

// Guards against a code that callers meet and cannot look up, or one that is described differently.
TEST(Pages, ResultCodes)
{
    std::string expected = "| code | name | execution | retry | HTTP status | what to do |\n"
                           "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &row : allResults()) {
        expected += fmt::format("| {} | `{}` | {} | {} | {} | {} |\n", static_cast<unsigned>(row.code), row.name,
                                nameOf(row.outcome), nameOf(row.retry), row.httpStatus, row.remedy);
    }
    EXPECT_EQ(tableOn(readPage("result-codes.md"), "codes"), expected);
}

// Guards against settings that exist without documentation, and against outdated defaults and ranges.
TEST(Pages, Settings)
{
    std::string expected = "| key | unit | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &key : settingsKeys()) {
        expected +=
            fmt::format("| `{}` | {} | {} | {} | {} |\n", key.key, key.unit, key.defaultValue, key.range, key.meaning);
    }
    EXPECT_EQ(tableOn(readPage("OPERATIONS.md"), "settings"), expected);
}

// Guards against dashboards that ask for a metric that does not exist.
TEST(Pages, Metrics)
{
    std::string expected = "| metric | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &row : allMetrics()) {
        expected += fmt::format("| `{}` | {} | {} | {} | {} |\n", row.name, nameOf(row.kind), row.unit,
                                row.labels.empty() ? "-" : row.labels, row.meaning);
    }
    EXPECT_EQ(tableOn(readPage("OPERATIONS.md"), "metrics"), expected);
}

// Guards against a command of the tool that the operators' page does not mention.
TEST(Pages, ToolCommands)
{
    const std::string page = readPage("OPERATIONS.md");
    const std::string help(ctlHelp());
    const std::string prefix = "\n  jackdawpickctl ";
    std::size_t commands = 0;
    for (auto at = help.find(prefix); at < help.find("Options:"); at = help.find(prefix, at + 1)) {
        const auto from = at + prefix.size();
        const std::string name = help.substr(from, help.find_first_of(" \n", from) - from);
        EXPECT_NE(page.find("jackdawpickctl " + name), std::string::npos) << name;
        ++commands;
    }
    EXPECT_EQ(commands, 12U);
}

} // namespace jackdawpick
