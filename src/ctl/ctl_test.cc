#include "ctl/ctl.h"

#include "settings/settings.h"

#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

const std::string validText = "[[rank]]\nname = \"tide\"\n";

// Runs commands against answers that the test prepares; without one the daemon counts as unreachable.
class ctl_test : public ::testing::Test
{
protected:
    ctl_exit run(const std::vector<std::string> &arguments)
    {
        out.clear();
        err.clear();
        requests.clear();
        const auto fake = [this](const admin_request &request) {
            requests.push_back(request);
            if (answers.empty()) {
                return admin_answer{.reached = false, .problem = "connection failed, nothing was sent"};
            }
            admin_answer answer = std::move(answers.front());
            answers.pop_front();
            return answer;
        };
        return runCtl(arguments,
                      {.transport = transport ? transport : admin_transport(fake),
                       .out = [this](std::string_view text) { out += text; },
                       .err = [this](std::string_view text) { err += text; },
                       .pause =
                           [this](std::chrono::milliseconds time) {
                               paused += time;
                           }});
    }

    void answer(std::uint16_t status, const std::string &body)
    {
        answers.push_back({.reached = true, .problem = {}, .status = status, .body = body});
    }

    static std::string file(const std::string &name, const std::string &text)
    {
        std::string path = ::testing::TempDir() + "jackdawpick_ctl_test_" + name;
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }

    std::string out;
    std::string err;
    std::vector<admin_request> requests;
    std::deque<admin_answer> answers;
    admin_transport transport;
    std::chrono::milliseconds paused{0};
};

} // namespace

// Guards against scripts that take a usage error for a refusal.
TEST_F(ctl_test, UsageErrorsExitWithTwo)
{
    for (const std::vector<std::string> &arguments : {std::vector<std::string>{},
                                                      {"publish", "f"},
                                                      {"frobnicate"},
                                                      {"publish", "f", "--base", "x"},
                                                      {"publish", "f", "--base", "-1"},
                                                      {"log-level", "loud"},
                                                      {"watch", "--count", "many"},
                                                      {"status", "extra"}}) {
        EXPECT_EQ(run(arguments), ctl_exit::Usage) << fmt::format("{} arguments: {}", arguments.size(), err);
        EXPECT_TRUE(requests.empty());
    }
    EXPECT_EQ(run({"--help"}), ctl_exit::Ok);
    EXPECT_EQ(out, ctlHelp());
}

TEST_F(ctl_test, ValidatePrintsAllErrorsWithLines)
{
    EXPECT_EQ(run({"validate", file("valid", validText)}), ctl_exit::Ok);
    const std::string bad = file("bad", "[[rank]]\nname = \"tide\"\nshare = 2\nworth = 0\n");
    EXPECT_EQ(run({"validate", bad}), ctl_exit::Refused);
    EXPECT_NE(err.find("line 3: rank[0].share: expected a number from 0 to 1 (code 600)\n"), std::string::npos) << err;
    EXPECT_NE(err.find("line 4: rank[0].worth"), std::string::npos);
    EXPECT_EQ(run({"validate", "--settings", bad}), ctl_exit::Refused);
    EXPECT_NE(err.find("(code 602)"), std::string::npos);
    EXPECT_EQ(run({"validate", "/nonexistent"}), ctl_exit::Refused);
    EXPECT_EQ(run({"validate", "--json", bad}), ctl_exit::Refused);
    EXPECT_EQ(nlohmann::json::parse(out)["errors"].size(), 3U); // Shares above 1 in sum are the third.
}

// Guards against an invalid file that reaches the log.
TEST_F(ctl_test, PublishChecksTheFileFirst)
{
    EXPECT_EQ(run({"publish", file("bad", "x = 1\n"), "--base", "0"}), ctl_exit::Refused);
    EXPECT_TRUE(requests.empty());
}

// Guards against an operator who overwrites another one's change unknowingly.
TEST_F(ctl_test, PublishReportsTheWinnerOfARace)
{
    const std::string valid = file("valid", validText);
    answer(200, R"({"code": 0, "name": "Ok", "version": 17, "errors": []})");
    EXPECT_EQ(run({"publish", valid, "--base", "4", "--admin", "10.0.0.1:9"}), ctl_exit::Ok);
    EXPECT_EQ(out, "published: version 17\n");
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].address, "10.0.0.1:9");
    EXPECT_EQ(nlohmann::json::parse(requests[0].body), (nlohmann::json{{"base_version", 4}, {"text", validText}}));

    answer(409, R"({"code": 601, "name": "ConfigurationConflict", "version": 18, "errors": []})");
    EXPECT_EQ(run({"publish", valid, "--base", "4"}), ctl_exit::Conflict);
    EXPECT_NE(err.find("version in force: 18\n"), std::string::npos) << err;

    answer(422,
           R"({"code": 600, "name": "ConfigurationInvalid", "version": 18, "errors": ["line 1: a", "line 2: b"]})");
    EXPECT_EQ(run({"publish", valid, "--base", "18"}), ctl_exit::Refused);
    EXPECT_NE(err.find("line 1: a\nline 2: b\n"), std::string::npos) << err;
}

// Guards against a refusal or an unreachable daemon that looks like success.
TEST_F(ctl_test, RefusalsAndLostAnswersHaveTheirExitCodes)
{
    EXPECT_EQ(run({"status"}), ctl_exit::Unreachable);
    EXPECT_EQ(err, "127.0.0.1:7102: connection failed, nothing was sent\n");
    answer(503, R"({"error": {"code": 503, "name": "NotReady", "execution": "not_run", "message": "starting"}})");
    EXPECT_EQ(run({"drain"}), ctl_exit::Refused);
    EXPECT_EQ(err, "127.0.0.1:7102: refused: NotReady (code 503), not_run: starting\n");
    for (const auto *body : {"", "not json", "[]", "{\"error\": 3}", "{\"error\": {}}"}) {
        answer(500, body);
        EXPECT_EQ(run({"drain", "--json"}), ctl_exit::Refused) << body;
    }
    answer(200, "truncated {");
    EXPECT_EQ(run({"status"}), ctl_exit::Refused);
    answer(200, "{}");
    EXPECT_EQ(run({"configuration"}), ctl_exit::Refused); // Without version and text.
}

TEST_F(ctl_test, TablesOfTheDump)
{
    const std::string dump = R"({"endpoints": [{"name": "e1", "pool": "tide", "zone": "a", "kind": "engine",
        "leaving": false, "circuit": "closed", "in_flight": 3, "limit": 8, "load": 0.5}, {"name": "e2"}, 7],
        "programs": [{"customer": "vestkyst", "program": "s1.2", "turn": 4, "rank": 0, "in_flight": true}]})";
    answer(200, dump);
    EXPECT_EQ(run({"endpoints"}), ctl_exit::Ok);
    EXPECT_EQ(out,
              "name  pool  zone  kind    leaving  circuit  in_flight  limit  load\n"
              "e1    tide  a     engine  false    closed   3          8      0.5\n"
              "e2    -     -     -       -        -        -          -      -\n"
              "-     -     -     -       -        -        -          -      -\n");
    answer(200, dump);
    EXPECT_EQ(run({"programs", "--json"}), ctl_exit::Ok);
    EXPECT_EQ(nlohmann::json::parse(out).at(0).at("program"), "s1.2");
    answer(200, dump);
    EXPECT_EQ(run({"dump"}), ctl_exit::Ok);
    EXPECT_NE(out.find("programs.0.turn"), std::string::npos);
}

// Guards against a watch that ends when one poll fails, and against a busy loop.
TEST_F(ctl_test, WatchGoesOnAfterAFailedPoll)
{
    answer(200, R"({"daemon": {"ready": true}})");
    answer(503, "{}");
    answer(200, R"({"daemon": {"ready": false}})");
    EXPECT_EQ(run({"watch", "--count", "3", "--interval", "5"}), ctl_exit::Ok);
    EXPECT_EQ(out, "daemon.ready=true\ndaemon.ready=false\n");
    EXPECT_EQ(paused, std::chrono::seconds(10));
}

TEST_F(ctl_test, SettingsListsEveryKey)
{
    EXPECT_EQ(run({"settings", "--json"}), ctl_exit::Ok);
    EXPECT_EQ(nlohmann::json::parse(out).size(), settingsKeys().size());
}

// Guards against a tool that works with the fake only: the same commands over HTTP.
TEST_F(ctl_test, TalksToAnHttpServer)
{
    net::loop loop;
    std::string method;
    std::string body;
    const auto port = loop.listenHttp({.address = "127.0.0.1", .port = 0}, [&](const net::http_request &request) {
        method = request.method + " " + request.path;
        body = request.body;
        loop.respond(request.id, {.status = request.path == "/admin/drain" ? std::uint16_t{202} : std::uint16_t{409}},
                     R"({"code": 601, "name": "ConfigurationConflict", "version": 5, "errors": []})");
    });
    transport = netTransport(loop);
    const std::string address = fmt::format("127.0.0.1:{}", port);
    EXPECT_EQ(run({"drain", "--admin", address}), ctl_exit::Ok) << err;
    EXPECT_EQ(method, "POST /admin/drain");
    EXPECT_EQ(run({"publish", file("valid", validText), "--base", "1", "--admin", address}), ctl_exit::Conflict);
    EXPECT_EQ(method, "POST /admin/configuration");
    EXPECT_EQ(nlohmann::json::parse(body).at("base_version"), 1);
    EXPECT_EQ(run({"status", "--admin", "127.0.0.1:1"}), ctl_exit::Unreachable);
    EXPECT_EQ(err, "127.0.0.1:1: connection failed, nothing was sent\n");
    EXPECT_EQ(run({"status", "--admin", "nonsense"}), ctl_exit::Unreachable);
}

} // namespace jackdawpick
