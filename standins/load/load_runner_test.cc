#include "load/load_runner.h"

#include "platform/servers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint64_t seed = 20261204;

enum class mistake : std::uint8_t {
    None,
    RepeatsServiceCalls,
    SwapsAnswers, // Gives a model answer for another history.
    CutsAnswers, // Leaves out the last chunk but reports the end.
    BreaksOnce, // Every first attempt of a turn ends without an answer.
};

// The callers' interface without any scheduling: hands calls straight to one engine and one service stand-in.
class pass_through
{
public:
    pass_through(net::loop &loop, std::string engine, std::string service, mistake kind)
        : m_loop(loop)
        , m_engine(std::move(engine))
        , m_service(std::move(service))
        , m_mistake(kind)
    {
        m_address = fmt::format("127.0.0.1:{}",
                                loop.listenHttp({}, [this](const net::http_request &request) { receive(request); }));
    }

    [[nodiscard]] const std::string &address() const
    {
        return m_address;
    }

private:
    void receive(const net::http_request &request)
    {
        if (request.path == "/v1/entry") {
            const json answer{{"entries", json::array({{{"address", m_address}, {"zone", "a"}}})}, {"keep_seconds", 5}};
            m_loop.respond(request.id, {}, answer.dump());
        } else if (request.method == "DELETE") {
            m_loop.respond(request.id, {}, "{}");
        } else if (m_mistake == mistake::BreaksOnce
                   && m_seen.insert(json::parse(request.body)["jackdawpick"]["request_id"]).second) {
            m_loop.respond(request.id, {}, "");
        } else if (request.path == "/v1/chat/completions") {
            complete(request);
        } else {
            serve(request);
        }
    }

    json marksOf(const json &body)
    {
        json marks{{"program", body["jackdawpick"].value("program", fmt::format("s1.{}", ++m_minted))},
                   {"turn", body["jackdawpick"]["turn"]},
                   {"request_id", body["jackdawpick"]["request_id"]},
                   {"durable", true}};
        return marks;
    }

    void complete(const net::http_request &request)
    {
        json body = json::parse(request.body);
        const json marks = marksOf(body);
        body["request_id"] = marks["request_id"];
        body["program"] = marks["program"];
        if (m_mistake == mistake::SwapsAnswers) {
            body["messages"] = json::array({{{"role", "user"}, {"content", "another program"}}});
        }
        auto chunks = std::make_shared<std::string>();
        m_loop.request(
            {.address = m_engine, .method = "POST", .path = "/v1/chat/completions", .body = body.dump()},
            [this, id = request.id, marks, chunks](const net::client_result &) { finish(id, marks, *chunks); },
            [chunks](std::string_view bytes) { *chunks += bytes; });
    }

    void finish(net::request_id id, const json &marks, const std::string &stream)
    {
        net::sse_reader reader;
        auto events = reader.append(stream);
        if (m_mistake == mistake::CutsAnswers) {
            events.erase(events.end() - 3);
        }
        m_loop.beginStream(id, {.contentType = "text/event-stream"});
        for (const auto &event : events) {
            json chunk = json::parse(event, nullptr, false);
            if (chunk.is_object() && chunk.contains("usage")) {
                chunk["jackdawpick"] = marks;
            }
            m_loop.writeStream(id, fmt::format("data: {}\n\n", chunk.is_object() ? chunk.dump() : event));
        }
        m_loop.endStream(id);
    }

    void serve(const net::http_request &request)
    {
        const json body = json::parse(request.body);
        const json marks = marksOf(body);
        const net::client_request call{.address = m_service,
                                       .method = "POST",
                                       .path = request.path.substr(request.path.rfind('/')),
                                       .body = body["body"].dump()};
        if (m_mistake == mistake::RepeatsServiceCalls) {
            m_loop.request(call, [](const net::client_result &) {});
        }
        m_loop.request(call, [this, id = request.id, marks](const net::client_result &result) {
            json answer = json::parse(result.body);
            answer["jackdawpick"] = marks;
            m_loop.respond(id, {}, answer.dump());
        });
    }

    net::loop &m_loop;
    std::string m_engine;
    std::string m_service;
    mistake m_mistake;
    std::string m_address;
    std::set<std::string> m_seen;
    std::uint64_t m_minted = 0;
};

load_options options()
{
    load_options result;
    result.seed = seed;
    result.programs = 30;
    result.model = "tide-7b";
    result.ranks = {{.name = "urgent", .programsPerSecond = 200}, {.name = "routine", .programsPerSecond = 200}};
    result.services = {"payments"};
    result.serviceShare = 0.5;
    result.nonIdempotentShare = 1;
    result.minTurns = 3;
    result.maxTurns = 6;
    result.pauseMedian = 1ms;
    result.subAgentShare = 0.5;
    result.retry = 1ms;
    return result;
}

run_report runWith(mistake kind)
{
    net::loop loop;
    const system_clock_source clock;
    engine_server_options fast;
    fast.options.tokensPerSecond = 20000;
    fast.options.prefillTokensPerSecond = 1e6;
    engine_server engine(loop, clock, fast);
    service_server service(loop, clock, {.latency = 1ms}, seed);
    const auto serviceAddress = service.listen("127.0.0.1:0");
    pass_through entry(loop, engine.listen("127.0.0.1:0"), serviceAddress, kind);
    const auto planned = options();
    load_runner runner(loop, clock, planned, {.entries = {entry.address()}, .serviceAdmins = {serviceAddress}});
    runner.start([&loop] { loop.stop(); });
    loop.run();
    return runner.report();
}

} // namespace

TEST(LoadRunner, FaultlessPathIsClean)
{
    const auto report = runWith(mistake::None);
    EXPECT_TRUE(report.isClean()) << report.table();
    EXPECT_TRUE(report.json()["failures"].empty()) << report.table();
    EXPECT_GT(report.json()["effects"], 10);
    EXPECT_GT(report.json()["sub_agents"], 5);
}

TEST(LoadRunner, BrokenConnectionsAreResentWithoutDoubling)
{
    const auto report = runWith(mistake::BreaksOnce);
    EXPECT_TRUE(report.isClean()) << report.table();
    EXPECT_TRUE(report.json()["failures"].empty()) << report.table();
    EXPECT_GE(report.json()["broken_connections"], report.json()["calls"]);
}

// Guards against a load tool that lets a faulty system pass.
TEST(LoadRunner, MistakesOfTheSystemAreFound)
{
    const auto doubled = runWith(mistake::RepeatsServiceCalls);
    EXPECT_EQ(doubled.faults().doubled, doubled.json()["effects"]) << doubled.table();
    EXPECT_GT(runWith(mistake::SwapsAnswers).faults().mixed, 30U);
    EXPECT_GT(runWith(mistake::CutsAnswers).faults().lost, 30U);
}

} // namespace jackdawpick::standins
