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

// Runs commands against prepared responses. Without one, the daemon is unreachable.
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
            if (responses.empty()) {
                return admin_response{.completed = false, .failure = "connection failed, nothing was sent"};
            }
            admin_response response = std::move(responses.front());
            responses.pop_front();
            return response;
        };
        return runCtl(arguments,
                      {.transport = transport ? transport : admin_transport(fake),
                       .out = [this](std::string_view text) { out += text; },
                       .err = [this](std::string_view text) { err += text; },
                       .sleep =
                           [this](std::chrono::milliseconds time) {
                               slept += time;
                           }});
    }

    void addResponse(std::uint16_t status, const std::string &body)
    {
        responses.push_back({.completed = true, .failure = {}, .status = status, .body = body});
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
    std::deque<admin_response> responses;
    admin_transport transport;
    std::chrono::milliseconds slept{0};
};

} // namespace

// Guards against usage errors that scripts cannot tell from refusals.
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
    EXPECT_EQ(nlohmann::json::parse(out)["errors"].size(), 3U); // The third error: the shares add up to more than 1.
}

// Guards against publishing an invalid file.
TEST_F(ctl_test, PublishChecksTheFileFirst)
{
    EXPECT_EQ(run({"publish", file("bad", "x = 1\n"), "--base", "0"}), ctl_exit::Refused);
    EXPECT_TRUE(requests.empty());
}

// Guards against an operator overwriting a concurrent change without noticing.
TEST_F(ctl_test, PublishReportsAConcurrentPublication)
{
    const std::string valid = file("valid", validText);
    addResponse(200, R"({"code": 0, "name": "Ok", "version": 17, "errors": []})");
    EXPECT_EQ(run({"publish", valid, "--base", "4", "--admin", "10.0.0.1:9"}), ctl_exit::Ok);
    EXPECT_EQ(out, "published: version 17\n");
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].address, "10.0.0.1:9");
    EXPECT_EQ(nlohmann::json::parse(requests[0].body), (nlohmann::json{{"base_version", 4}, {"text", validText}}));

    addResponse(409, R"({"code": 601, "name": "ConfigurationConflict", "version": 18, "errors": []})");
    EXPECT_EQ(run({"publish", valid, "--base", "4"}), ctl_exit::Conflict);
    EXPECT_NE(err.find("version in force: 18\n"), std::string::npos) << err;

    addResponse(
        422, R"({"code": 600, "name": "ConfigurationInvalid", "version": 18, "errors": ["line 1: a", "line 2: b"]})");
    EXPECT_EQ(run({"publish", valid, "--base", "18"}), ctl_exit::Refused);
    EXPECT_NE(err.find("line 1: a\nline 2: b\n"), std::string::npos) << err;
}

// Guards against a refusal or an unreachable daemon being reported as success.
TEST_F(ctl_test, RefusalsAndLostResponsesHaveTheirExitCodes)
{
    EXPECT_EQ(run({"status"}), ctl_exit::Unreachable);
    EXPECT_EQ(err, "127.0.0.1:7102: connection failed, nothing was sent\n");
    addResponse(503, R"({"error": {"code": 503, "name": "NotReady", "execution": "not_run", "message": "starting"}})");
    EXPECT_EQ(run({"drain"}), ctl_exit::Refused);
    EXPECT_EQ(err, "127.0.0.1:7102: refused: NotReady (code 503), not_run: starting\n");
    for (const auto *body : {"", "not json", "[]", "{\"error\": 3}", "{\"error\": {}}"}) {
        addResponse(500, body);
        EXPECT_EQ(run({"drain", "--json"}), ctl_exit::Refused) << body;
    }
    addResponse(200, "truncated {");
    EXPECT_EQ(run({"status"}), ctl_exit::Refused);
    addResponse(200, "{}");
    EXPECT_EQ(run({"configuration"}), ctl_exit::Refused); // Without version and text.
}

TEST_F(ctl_test, TablesOfTheDump)
{
    const std::string dump = R"({"endpoints": [{"name": "e1", "pool": "tide", "zone": "a", "kind": "engine",
        "leaving": false, "circuit": "closed", "in_flight": 3, "limit": 8, "load": 0.5}, {"name": "e2"}, 7],
        "programs": [{"customer": "vestkyst", "program": "s1.2", "turn": 4, "rank": 0, "in_flight": true}]})";
    addResponse(200, dump);
    EXPECT_EQ(run({"endpoints"}), ctl_exit::Ok);
    EXPECT_EQ(out,
              "name  pool  zone  kind    leaving  circuit  in_flight  limit  load\n"
              "e1    tide  a     engine  false    closed   3          8      0.5\n"
              "e2    -     -     -       -        -        -          -      -\n"
              "-     -     -     -       -        -        -          -      -\n");
    addResponse(200, dump);
    EXPECT_EQ(run({"programs", "--json"}), ctl_exit::Ok);
    EXPECT_EQ(nlohmann::json::parse(out).at(0).at("program"), "s1.2");
    addResponse(200, dump);
    EXPECT_EQ(run({"dump"}), ctl_exit::Ok);
    EXPECT_NE(out.find("programs.0.turn"), std::string::npos);
}

// Guards against a watch that ends when a poll fails, and against polling without a delay.
TEST_F(ctl_test, WatchContinuesAfterAFailedPoll)
{
    addResponse(200, R"({"daemon": {"ready": true}})");
    addResponse(503, "{}");
    addResponse(200, R"({"daemon": {"ready": false}})");
    EXPECT_EQ(run({"watch", "--count", "3", "--interval", "5"}), ctl_exit::Ok);
    EXPECT_EQ(out, "daemon.ready=true\ndaemon.ready=false\n");
    EXPECT_EQ(slept, std::chrono::seconds(10));
}

TEST_F(ctl_test, SettingsListsEveryKey)
{
    EXPECT_EQ(run({"settings", "--json"}), ctl_exit::Ok);
    EXPECT_EQ(nlohmann::json::parse(out).size(), settingsKeys().size());
}

// Guards against a transport that fails against a real HTTP server, which the fake transport would hide.
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
