#include "settings/settings.h"

#include "results/results.h"
#include "toml_text/internal/mutate_text.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace jackdawpick
{

namespace
{

const std::string minimal = "[daemon]\nname = \"entry-1\"\nzone = \"addis-a\"\n"
                            "[platform]\nlog_address = \"127.0.0.1:7001\"\nhost_list_address = \"127.0.0.1:7002\"\n";

std::string problems(const std::string &text)
{
    std::string lines;
    for (const auto &problem : parseSettings(text, "d.toml").errors) {
        lines += toString(problem) + "\n";
    }
    return lines;
}

// A text that sets every key of the table to its default.
std::string textOfAllDefaults()
{
    std::string text;
    std::string table;
    for (const auto &key : settingsKeys()) {
        const auto dot = key.key.find('.');
        if (key.key.substr(0, dot) != table) {
            table = key.key.substr(0, dot);
            text += fmt::format("[{}]\n", table);
        }
        const bool isNumber = key.range.starts_with("an integer");
        std::string value = key.defaultValue == "empty" ? "" : key.defaultValue;
        if (value == "required") {
            value = key.key.ends_with("address") ? "127.0.0.1:7001" : "x";
        }
        text += fmt::format("{} = {}\n", key.key.substr(dot + 1), isNumber ? value : fmt::format("\"{}\"", value));
    }
    return text;
}

} // namespace

// Guards against a default outside its own documented range, and against two keys that write to the same member.
TEST(Settings, DefaultsAreWithinTheirRanges)
{
    EXPECT_EQ(problems(minimal), "");
    EXPECT_EQ(problems(textOfAllDefaults()), "");
    EXPECT_EQ(settingsKeys().size(), 35U); // As many as daemon_settings has members.
    EXPECT_EQ(parseSettings(textOfAllDefaults(), "d.toml").value.retention, daemon_settings{}.retention);
}

// Guards against a start that reports one error per attempt.
TEST(Settings, AllErrorsAtOnceWithFileLineKeyAndCode)
{
    EXPECT_EQ(problems("[daemon]\nname = \"a.b\"\nzones = \"z\"\nhttp_port = 65536\n[log]\nretention_ms = \"1 d\"\n"
                       "[disks]\n[http]\nmax_connections = 1.5\n[platform]\nlog_address = \"localhost:1\"\n"),
              "d.toml: daemon.zone: expected 1 to 32 letters, digits, '-', '_' or '.' (code 602)\n"
              "d.toml: platform.host_list_address: expected an address \"ip:port\" (code 602)\n"
              "d.toml:2: daemon.name: expected 1 to 32 letters, digits, '-' or '_' (code 602)\n"
              "d.toml:3: daemon.zones: expected no such key (code 602)\n"
              "d.toml:4: daemon.http_port: expected an integer from 0 to 65535 (code 602)\n"
              "d.toml:6: log.retention_ms: expected an integer from 10000 to 2592000000 (code 602)\n"
              "d.toml:7: disks: expected no such key (code 602)\n"
              "d.toml:9: http.max_connections: expected an integer from 1 to 65536 (code 602)\n"
              "d.toml:11: platform.log_address: expected an address \"ip:port\" (code 602)\n");
}

// Guards against settings that are valid one by one and make the daemon fail later.
TEST(Settings, ContradictionsAreErrors)
{
    const auto expectProblem = [](const std::string &text, const std::string &key) {
        const auto parsed = parseSettings(minimal + text, "d.toml");
        ASSERT_EQ(parsed.errors.size(), 1U) << text;
        EXPECT_EQ(parsed.errors.front().key, key);
        EXPECT_GT(parsed.errors.front().line, 6U);
    };
    expectProblem("[membership]\nsuspect_after_ms = 1000\n", "membership.suspect_after_ms");
    expectProblem("[membership]\nheartbeat_interval_ms = 3000\n", "membership.heartbeat_interval_ms");
    expectProblem("[log]\nretention_ms = 10000\ntimeout_ms = 5001\n", "log.timeout_ms");
    expectProblem("[http]\nmax_body_bytes = 9000000\n", "http.max_body_bytes");

    const auto ofDaemon = [](const std::string &line) {
        return problems("[daemon]\n" + line + minimal.substr(minimal.find('\n') + 1));
    };
    EXPECT_NE(ofDaemon("http_port = 80\nadmin_port = 80\n").find("d.toml:3: daemon.admin_port"), std::string::npos);
    EXPECT_NE(ofDaemon("peer_port = 80\nadmin_port = 80\n").find("d.toml:2: daemon.peer_port"), std::string::npos);
    EXPECT_NE(ofDaemon("listen_address = \"0.0.0.0\"\n").find("daemon.advertised_http"), std::string::npos);
    EXPECT_EQ(ofDaemon("http_port = 0\nadmin_port = 0\npeer_port = 0\n"), "");
}

// Guards against a policy that the scheduler does not know, found only after the daemon has joined.
TEST(Settings, PoliciesAreThoseOfTheScheduler)
{
    EXPECT_EQ(problems(minimal + "[scheduler]\norder = \"fifo\"\nrouting = \"\"\nadmission = \"none\"\n"),
              "d.toml:8: scheduler.order: expected one of first_come_first_served, rank_first, attained_service "
              "(code 602)\n"
              "d.toml:9: scheduler.routing: expected one of random, round_robin, least_loaded, program_hash, "
              "prefix_affinity, sbqa (code 602)\n");
}

// Guards against host names, which the daemons do not resolve, and against numbers that other parsers read as octal.
TEST(Settings, AddressesAreIpNumbersWithPorts)
{
    for (const auto *address : {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.01:1", "256.0.0.1:1",
                                "127.0.0.1:1 ", "1.2.3:1", "1.2.3.4.5:1", "localhost:80", ":80", "[::1]:80"}) {
        EXPECT_EQ(parseSettings(fmt::format("{}weight_store_address = \"{}\"\n", minimal, address), "d").errors.size(),
                  1U)
            << address;
    }
    EXPECT_EQ(problems(minimal + "weight_store_address = \"10.0.0.9:65535\"\n"), "");
}

TEST(Settings, FileThatCannotBeReadThrows)
{
    EXPECT_THROW(static_cast<void>(loadSettings("/nonexistent/daemon.toml")), error);
}

// Guards against a text that makes the parser throw, overflow or hang; run under the sanitizers.
TEST(Settings, AnyTextIsReadOrRefused)
{
    constexpr std::uint64_t seed = 20261204;
    SCOPED_TRACE(fmt::format("seed {}", seed));
    std::mt19937_64 random(seed);
    const std::string valid = textOfAllDefaults();
    const auto below = [&random](std::size_t bound) {
        return static_cast<std::size_t>(random() % bound);
    };
    std::size_t accepted = 0;
    for (int run = 0; run < 4000; ++run) {
        std::string text = run % 4 == 0 ? "" : valid;
        const std::size_t edits = run % 4 == 0 ? below(200) : 1 + below(run % 4);
        for (std::size_t i = 0; i < edits; ++i) {
            mutateText(text, random);
        }
        const auto parsed = parseSettings(text, "fuzz.toml");
        accepted += parsed.errors.empty() ? 1 : 0;
        EXPECT_TRUE(std::ranges::none_of(parsed.errors, &std::string::empty, &settings_error::expected));
    }
    // Edits in comments, spaces and numbers leave some texts valid; none or all would mean that the test is blind.
    EXPECT_GT(accepted, 100U);
    EXPECT_LT(accepted, 3000U);
}

} // namespace jackdawpick
