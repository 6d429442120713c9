#include "platform/servers.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint64_t seed = 20261204;

class standin_servers : public ::testing::Test
{
protected:
    // Starts a request and runs the loop until it has ended; nothing if it has no answer within `patience`.
    std::optional<net::client_result> exchange(const std::string &address, const std::string &method,
                                               const std::string &path, const json &body = {},
                                               std::string *streamed = nullptr,
                                               std::chrono::milliseconds patience = 10s)
    {
        net::client_request request;
        request.address = address;
        request.method = method;
        request.path = path;
        request.body = body.is_null() ? std::string() : body.dump();
        request.headers = {{"X-Request-Id", "id-7"}};
        request.timeout = patience;
        std::optional<net::client_result> answer;
        net::chunk_handler onChunk;
        if (streamed != nullptr) {
            onChunk = [streamed](std::string_view bytes) {
                *streamed += bytes;
            };
        }
        m_loop.request(
            request,
            [&](const net::client_result &result) {
                if (result.error == net::client_error::None) {
                    answer = result;
                }
                m_loop.stop();
            },
            onChunk);
        m_loop.run();
        return answer;
    }

    json get(const std::string &address, const std::string &path)
    {
        const auto answer = exchange(address, "GET", path);
        return answer ? json::parse(answer->body) : json();
    }

    net::loop m_loop;
    system_clock_source m_clock;
};

std::string concatenated(const std::string &stream, json *last = nullptr)
{
    net::sse_reader reader;
    std::string text;
    for (const auto &event : reader.append(stream)) {
        if (event != "[DONE]") {
            const auto chunk = json::parse(event);
            EXPECT_EQ(chunk["request_id"], "r1");
            text += chunk["choices"][0]["delta"].value("content", "");
            if (last != nullptr) {
                *last = chunk;
            }
        }
    }
    return text;
}

} // namespace

TEST_F(standin_servers, EngineStreamsTheAnswerAndReportsUsage)
{
    engine_server engine(
        m_loop, m_clock,
        {.options = {.tokensPerSecond = 5000, .cacheEventDelay = 0ms, .cacheEventLoss = 0}, .seed = seed});
    const auto address = engine.listen("127.0.0.1:0");
    const json body{{"request_id", "r1"},
                    {"program", "wanza/p"},
                    {"stream", true},
                    {"max_tokens", 64},
                    {"messages", json::array({{{"role", "user"}, {"content", "tide at noon"}}})}};
    const std::vector<message> messages{{.role = "user", .content = "tide at noon"}};
    const auto plan = planAnswer(messages, 64);
    const auto expected = answerTokens(plan, 0, plan.tokens);
    std::string stream;
    json last;
    ASSERT_TRUE(exchange(address, "POST", "/v1/chat/completions", body, &stream));
    EXPECT_EQ(concatenated(stream, &last), expected);
    EXPECT_TRUE(stream.ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(last["usage"]["completion_tokens"], plan.tokens);

    json resumed = body;
    resumed["resume_from"] = plan.tokens - 5;
    stream.clear();
    ASSERT_TRUE(exchange(address, "POST", "/v1/chat/completions", resumed, &stream));
    EXPECT_EQ(concatenated(stream), answerTokens(plan, plan.tokens - 5, plan.tokens));

    json whole = body;
    whole["stream"] = false;
    const auto answer = exchange(address, "POST", "/v1/chat/completions", whole);
    EXPECT_EQ(json::parse(answer->body)["choices"][0]["message"]["content"], expected);
    EXPECT_EQ(get(address, "/kv/events?from=1")["events"][0]["program"], "wanza/p");
    EXPECT_EQ(get(address, "/load")["slots"], 16);
    EXPECT_EQ(get(address, "/admin/stats")["completed"], 3);
}

// Guards against a client that goes away and leaves its request in the batch.
TEST_F(standin_servers, ClosingTheConnectionCancels)
{
    engine_server_options options;
    options.options.tokensPerSecond = 1;
    engine_server engine(m_loop, m_clock, options);
    const auto address = engine.listen("127.0.0.1:0");
    const json body{{"max_tokens", 4096}, {"messages", json::array({{{"role", "user"}, {"content", "x"}}})}};
    EXPECT_FALSE(exchange(address, "POST", "/v1/chat/completions", body, nullptr, 200ms));
    json stats = json::object();
    for (int attempt = 0; attempt < 100 && stats.value("cancelled", 0) == 0; ++attempt) {
        stats = get(address, "/admin/stats");
    }
    EXPECT_EQ(stats["cancelled"], 1);
}

TEST_F(standin_servers, EngineMovesCachesAndChecksFences)
{
    const engine_server_options options;
    engine_server engine(m_loop, m_clock, options);
    const auto address = engine.listen("127.0.0.1:0");
    const json prefix{{"program", "p"}, {"blocks", json::array({json::array({1, 10}), json::array({2, 20})})}};
    EXPECT_EQ(exchange(address, "POST", "/kv/import", prefix)->status, 200);
    const auto exported = exchange(address, "POST", "/kv/export", {{"program", "p"}});
    EXPECT_EQ(json::parse(exported->body)["blocks"], prefix["blocks"]);
    EXPECT_EQ(exchange(address, "POST", "/kv/release", {{"program", "p"}})->status, 200);
    EXPECT_EQ(exchange(address, "POST", "/kv/export", {{"program", "p"}})->status, 404);
    EXPECT_EQ(exchange(address, "POST", "/orders", {{"fence", 5}, {"kind", "role"}, {"model", "decode"}})->status, 200);
    EXPECT_EQ(exchange(address, "POST", "/orders", {{"fence", 4}, {"kind", "role"}, {"model", "mixed"}})->status, 409);
    EXPECT_EQ(get(address, "/admin/stats")["role"], "decode");
}

TEST_F(standin_servers, ServiceCountsEffectsAndFaultsAreSwitchedOverHttp)
{
    service_server service(m_loop, m_clock, {.latency = 1ms}, seed);
    const auto address = service.listen("127.0.0.1:0");
    const json body{{"operation", "p/1"}};
    const auto first = exchange(address, "POST", "/run", body);
    EXPECT_EQ(json::parse(first->body)["result"], serviceResult("p/1", "run"));
    EXPECT_EQ(exchange(address, "POST", "/admin/fault", {{"fault", "nonsense"}})->status, 400);
    EXPECT_EQ(exchange(address, "POST", "/admin/fault", {{"fault", "lost_answer"}, {"value", 1}})->status, 200);
    EXPECT_EQ(get(address, "/admin/faults")["faults"]["lost_answer"], 1.0);
    EXPECT_FALSE(exchange(address, "POST", "/run", body, nullptr, 200ms));
    const auto counts = get(address, "/admin/counts");
    EXPECT_EQ(counts["calls"][0]["runs"], 2);
    EXPECT_EQ(counts["calls"][0]["request_id"], "id-7");
    EXPECT_EQ(counts["doubled"], 1);
    EXPECT_EQ(exchange(address, "POST", "/admin/fault", {{"fault", "leaving"}})->status, 200);
    const auto headers = exchange(address, "POST", "/admin/fault", {{"fault", "lost_answer"}, {"value", 0}})->headers;
    EXPECT_NE(std::ranges::find(headers, std::pair<std::string, std::string>("x-leaving", "1")), headers.end());
}

// Guards against a silence fault that closes the connection: the daemon must find out by itself.
TEST_F(standin_servers, SilenceHoldsOpenRequestsAndServesNewOnes)
{
    service_server service(m_loop, m_clock, {.latency = 1s, .spread = 0}, seed);
    const auto address = service.listen("127.0.0.1:0");
    std::optional<net::client_error> silent;
    const net::client_request held{
        .address = address, .method = "POST", .path = "/run", .body = "{}", .timeout = 2500ms};
    m_loop.request(held, [&](const net::client_result &result) {
        silent = result.error;
        m_loop.stop();
    });
    while (get(address, "/admin/faults")["open_requests"] != 2) { }
    EXPECT_EQ(exchange(address, "POST", "/admin/fault", {{"fault", "silence"}})->status, 200);
    EXPECT_EQ(get(address, "/admin/faults")["silent_requests"], 1);
    EXPECT_EQ(exchange(address, "POST", "/run", json::object())->status, 200);
    EXPECT_FALSE(silent.has_value());
    m_loop.run();
    EXPECT_EQ(silent, net::client_error::Timeout);
}

TEST_F(standin_servers, LogAppendsReadsAndRefuses)
{
    log_server log(m_loop, m_clock, {.appendsPerSecond = 1}, seed);
    const auto address = log.listen("127.0.0.1:0");
    const auto appended = exchange(address, "POST", "/streams/journal.d1.5/append", {{"payload", "aGk="}});
    EXPECT_EQ(json::parse(appended->body)["offset"], 1);
    const auto refused = exchange(address, "POST", "/streams/journal.d1.5/append", {{"payload", "aGk="}});
    EXPECT_EQ(refused->status, 429);
    const auto page = get(address, "/streams/journal.d1.5?from=1&limit=5");
    EXPECT_EQ(page["records"][0]["payload"], "aGk=");
    EXPECT_EQ(page["end"], 2);
    EXPECT_EQ(exchange(address, "POST", "/admin/fault", {{"fault", "outage"}})->status, 200);
    EXPECT_EQ(exchange(address, "GET", "/streams/journal.d1.5")->status, 503);
}

TEST_F(standin_servers, HostListKeepsAllFieldsOverItsOwnCalls)
{
    host_server list(m_loop, m_clock, {.lag = 0ms}, "");
    const auto address = list.listen("127.0.0.1:0");
    const json daemon{{"name", "d1"},
                      {"kind", "daemon"},
                      {"zone", "a"},
                      {"http_address", "127.0.0.1:1"},
                      {"peer_address", "127.0.0.1:2"}};
    EXPECT_EQ(exchange(address, "POST", "/admin/hosts", {{"hosts", json::array({daemon})}})->status, 200);
    EXPECT_EQ(exchange(address, "POST", "/admin/host/state", {{"name", "d1"}, {"state", "leaving"}})->status, 200);
    const auto hosts = get(address, "/hosts")["hosts"];
    EXPECT_EQ(hosts[0]["address"], "127.0.0.1:1");
    EXPECT_EQ(hosts[0]["peer_address"], "127.0.0.1:2");
    EXPECT_EQ(hosts[0]["state"], "leaving");
    EXPECT_EQ(exchange(address, "POST", "/admin/hosts", {{"hosts", json::array({{{"kind", "x"}}})}})->status, 400);
}

TEST_F(standin_servers, LoadOrderFetchesFromTheWeightStore)
{
    weight_server store(m_loop, m_clock, {.loadTime = 1ms});
    const auto storeAddress = store.listen("127.0.0.1:0");
    engine_server engine(
        m_loop, m_clock,
        {.options = {.loadsFromStore = true, .models = {"tide-7b"}}, .seed = seed, .weightStore = storeAddress});
    const auto address = engine.listen("127.0.0.1:0");
    const json ask{
        {"model", "lesson-3b"}, {"max_tokens", 4}, {"messages", json::array({{{"role", "user"}, {"content", "x"}}})}};
    EXPECT_EQ(exchange(address, "POST", "/v1/chat/completions", ask)->status, 404);
    EXPECT_EQ(exchange(address, "POST", "/orders", {{"fence", 1}, {"kind", "load"}, {"model", "lesson-3b"}})->status,
              200);
    std::uint16_t status = 404;
    for (int attempt = 0; attempt < 1000 && status == 404; ++attempt) {
        status = exchange(address, "POST", "/v1/chat/completions", ask)->status;
    }
    EXPECT_EQ(status, 200);
    EXPECT_EQ(get(storeAddress, "/admin/stats")["served"]["lesson-3b"], 1);
}

} // namespace jackdawpick::standins
