#include "caller_api/caller_api.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

namespace jackdawpick
{

namespace
{

using nlohmann::json;

std::variant<call_request, refusal> parse(const std::string &text, const std::string &path = "/v1/chat/completions")
{
    return parseCall(path, std::make_shared<const std::string>(text), {});
}

call_request parsed(const json &body, const std::string &path = "/v1/chat/completions")
{
    auto result = parse(body.dump(), path);
    const auto *reason = std::get_if<refusal>(&result);
    EXPECT_EQ(reason, nullptr) << (reason == nullptr ? "" : reason->message);
    return reason == nullptr ? std::get<call_request>(result) : call_request{};
}

refusal refused(const json &body, const std::string &path = "/v1/chat/completions")
{
    auto result = parse(body.dump(), path);
    const auto *reason = std::get_if<refusal>(&result);
    EXPECT_NE(reason, nullptr) << body;
    return reason == nullptr ? refusal{} : *reason;
}

json chatBody()
{
    return json::parse(R"({"model": "tide-7b", "max_tokens": 50, "temperature": 0.5, "stream": true,
        "messages": [{"role": "system", "content": "s"}, {"role": "user", "content": "a"},
                     {"role": "assistant", "content": "b"}, {"role": "user", "content": "c"},
                     {"role": "tool", "content": [{"type": "text", "text": "x"}], "name": null}],
        "jackdawpick": {"customer": "wanza", "program": "p1", "turn": 2, "rank": "trade", "budget_tokens": 900,
                        "parent": "p0", "request_id": "r1", "deadline_ms": 5000, "receipt": "abc"}})");
}

json serviceBody()
{
    return json::parse(R"({"jackdawpick": {"customer": "wanza", "program": "p1", "idempotent": true},
                           "body": {"amount": 3}})");
}

} // namespace

// Guards against fields that are lost when a request is parsed.
TEST(CallerApi, ModelCallKeepsEveryField)
{
    const auto call = parsed(chatBody());
    const auto &model = std::get<model_call>(call.kind);
    EXPECT_EQ(call.program, (program_key{"wanza", "p1"}));
    EXPECT_EQ(call.parent, (program_key{"wanza", "p0"}));
    EXPECT_EQ(call.turn, 2U);
    EXPECT_EQ(call.rank, "trade");
    EXPECT_EQ(call.budgetTokens, 900U);
    EXPECT_EQ(call.requestId, "r1");
    EXPECT_EQ(call.deadline, std::chrono::milliseconds(5000));
    EXPECT_EQ(call.receipt, "abc");
    EXPECT_EQ(model.model, "tide-7b");
    EXPECT_EQ(model.maxTokens, 50U);
    EXPECT_TRUE(model.stream);
    EXPECT_EQ(model.history.size(), 5U);
    ASSERT_EQ(call.messages->size(), 5U);
    EXPECT_EQ(call.messages->at(3), (message{"user", "c"}));
    EXPECT_EQ(call.messages->at(4).content, R"({"content":[{"text":"x","type":"text"}]})");
}

// Guards against a retry that is treated as a new request, and against a new request that is treated as a retry.
TEST(CallerApi, DigestCoversExactlyTheRequestToTheEndpoint)
{
    const auto base = parsed(chatBody()).contentDigest;
    for (const auto *key : {"request_id", "receipt", "deadline_ms"}) {
        auto body = chatBody();
        body["jackdawpick"].erase(key);
        EXPECT_EQ(parsed(body).contentDigest, base) << key;
    }
    for (const auto *patch : {R"([{"op": "replace", "path": "/model", "value": "other"}])",
                              R"([{"op": "replace", "path": "/max_tokens", "value": 51}])",
                              R"([{"op": "replace", "path": "/temperature", "value": 0.6}])",
                              R"([{"op": "replace", "path": "/messages/0/content", "value": "t"}])",
                              R"([{"op": "remove", "path": "/messages/4"}])"}) {
        EXPECT_NE(parsed(chatBody().patch(json::parse(patch))).contentDigest, base) << patch;
    }
    const auto pay = parsed(serviceBody(), "/v1/services/payment/pay").contentDigest;
    auto other = serviceBody();
    other["body"]["amount"] = 4;
    EXPECT_NE(parsed(other, "/v1/services/payment/pay").contentDigest, pay);
    EXPECT_NE(parsed(serviceBody(), "/v1/services/payment/refund").contentDigest, pay);
    EXPECT_NE(parsed(serviceBody(), "/v1/services/order/pay").contentDigest, pay);
}

// Guards against a non-idempotent call being treated as idempotent by default.
TEST(CallerApi, ServiceCallsAreNotIdempotentUnlessStated)
{
    auto body = serviceBody();
    const auto stated = parsed(body, "/v1/services/payment/a/b");
    EXPECT_TRUE(std::get<service_call>(stated.kind).idempotent);
    EXPECT_EQ(std::get<service_call>(stated.kind).path, "a/b");
    body["jackdawpick"].erase("idempotent");
    EXPECT_FALSE(isIdempotent(parsed(body, "/v1/services/payment/pay")));
}

// Guards against invalid calls that are accepted, and against messages that do not name the field.
TEST(CallerApi, RefusalsNameTheField)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {R"([{"op": "remove", "path": "/model"}])", "model"},
        {R"([{"op": "replace", "path": "/max_tokens", "value": -1}])", "max_tokens"},
        {R"([{"op": "replace", "path": "/max_tokens", "value": 1.5}])", "max_tokens"},
        {R"([{"op": "replace", "path": "/stream", "value": "yes"}])", "stream"},
        {R"([{"op": "replace", "path": "/messages", "value": []}])", "messages"},
        {R"([{"op": "remove", "path": "/messages/1/role"}])", "messages[1].role"},
        {R"([{"op": "remove", "path": "/jackdawpick"}])", "jackdawpick"},
        {R"([{"op": "replace", "path": "/jackdawpick/customer", "value": ""}])", "jackdawpick.customer"},
        {R"([{"op": "replace", "path": "/jackdawpick/program", "value": "a/b"}])", "jackdawpick.program"},
        {R"([{"op": "replace", "path": "/jackdawpick/request_id", "value": "a\r\nb"}])", "jackdawpick.request_id"},
        {R"([{"op": "replace", "path": "/jackdawpick/turn", "value": 0}])", "jackdawpick.turn"},
        {R"([{"op": "replace", "path": "/jackdawpick/turn", "value": 4294967296}])", "jackdawpick.turn"},
        {R"([{"op": "add", "path": "/jackdawpick/budget", "value": 1}])", "jackdawpick.budget"},
    };
    for (const auto &[patch, field] : cases) {
        const auto reason = refused(chatBody().patch(json::parse(patch)));
        EXPECT_EQ(reason.code, result_code::MalformedRequest) << patch;
        EXPECT_TRUE(reason.message.starts_with(field)) << reason.message;
    }
    EXPECT_EQ(refused(chatBody(), "/v1/other").code, result_code::NotFound);
    EXPECT_EQ(refused(chatBody(), "/v1/services//x").code, result_code::UnknownService);
    auto body = chatBody();
    body["messages"] = json::array();
    for (std::size_t i = 0; i <= caller_limits{}.maxMessages; ++i) {
        body["messages"].push_back({{"role", "user"}, {"content", "x"}});
    }
    EXPECT_EQ(refused(body).code, result_code::HistoryTooLarge);
}

// Guards against stack exhaustion by deeply nested values.
TEST(CallerApi, DeepNestingIsRefused)
{
    const auto result = parse(R"({"messages": )" + std::string(1000000, '['));
    ASSERT_TRUE(std::holds_alternative<refusal>(result));
    EXPECT_EQ(std::get<refusal>(result).code, result_code::MalformedRequest);
}

// Guards against crashes and exceptions on hostile bodies: random bytes and mutations of valid ones.
TEST(CallerApi, SurvivesRandomAndMutatedBodies)
{
    constexpr unsigned seed = 20261204;
    SCOPED_TRACE(fmt::format("seed {}", seed));
    std::mt19937 random(seed);
    const std::vector<std::string> valid{chatBody().dump(), serviceBody().dump()};
    const std::string alphabet = std::string(1, 0) + "{}[]\":,\\u0012-+.eE truefalsn\x80\xff";
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string text = i % 4 == 0 ? std::string() : valid.at(static_cast<std::size_t>(i) % 2);
        for (auto changes = random() % 6; changes > 0; --changes) {
            const auto at = random() % (text.size() + 1);
            switch (random() % 3) {
            case 0:
                text.insert(at, 1, alphabet.at(random() % alphabet.size()));
                break;
            case 1:
                text.erase(at, random() % 8);
                break;
            default:
                text.replace(at, 1, 1, static_cast<char>(random()));
            }
        }
        const auto *path = i % 2 == 0 ? "/v1/chat/completions" : "/v1/services/payment/pay";
        const auto result = parse(text, path);
        if (const auto *call = std::get_if<call_request>(&result)) {
            ++accepted;
            start_dispatch dispatch;
            dispatch.kind = call->kind;
            dispatch.body = call->body;
            EXPECT_TRUE(json::accept(endpointBody(dispatch)));
        } else {
            EXPECT_TRUE(json::accept(refusalJson(std::get<refusal>(result))));
        }
    }
    EXPECT_GT(accepted, 1000); // Otherwise the mutated bodies would exercise only the JSON parser.
}

// Guards against the object `jackdawpick` reaching an endpoint, and against engine requests without request id,
// priority or program.
TEST(CallerApi, EndpointBodies)
{
    start_dispatch dispatch;
    dispatch.requestId = "d7";
    dispatch.program = "wanza/p1";
    dispatch.priority = 1;
    dispatch.kind = model_call{.model = "tide-7b", .history = {}, .maxTokens = 50};
    dispatch.body = std::make_shared<const std::string>(chatBody().dump());
    const auto engine = json::parse(endpointBody(dispatch));
    EXPECT_FALSE(engine.contains("jackdawpick"));
    EXPECT_EQ(engine.at("request_id"), "d7");
    EXPECT_EQ(engine.at("priority"), 1);
    EXPECT_EQ(engine.at("program"), "wanza/p1");
    EXPECT_EQ(engine.at("messages"), chatBody().at("messages"));
    dispatch.kind = service_call{};
    dispatch.body = std::make_shared<const std::string>(serviceBody().dump());
    EXPECT_EQ(json::parse(endpointBody(dispatch)), (json{{"amount", 3}}));
}

// Guards against responses that are not valid JSON or lack the fields that the caller needs for its next call.
TEST(CallerApi, ResponsesCarryProgramAndUsage)
{
    finish_call finished{.program = {"wanza", "p1"},
                         .turn = 2,
                         .requestId = "r1",
                         .answer = "bad \xff utf-8",
                         .used = {10, 4, 6},
                         .durable = false,
                         .receipt = "abc"};
    const auto complete = json::parse(responseJson(finished));
    EXPECT_EQ(complete.at("jackdawpick").at("durable"), false);
    EXPECT_EQ(complete.at("jackdawpick").at("receipt"), "abc");
    EXPECT_EQ(complete.at("usage").at("cached_tokens"), 4);
    EXPECT_TRUE(streamEnd(finished).ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(streamEnd(finished).find("bad"), std::string::npos);
    finished.replayed = true;
    EXPECT_NE(streamEnd(finished).find("bad"), std::string::npos);
    finished.isService = true;
    finished.answer = R"({"paid": true})";
    EXPECT_EQ(json::parse(responseJson(finished)).at("body").at("paid"), true);
    finished.answer = "plain";
    EXPECT_EQ(json::parse(responseJson(finished)).at("body"), "plain");
    const auto refusalText = refusalJson({result_code::Overloaded, "wait", std::chrono::milliseconds(250)});
    EXPECT_EQ(json::parse(refusalText).at("error").at("execution"), "not_run");
    EXPECT_EQ(json::parse(refusalText).at("error").at("retry_after_ms"), 250);
}

} // namespace jackdawpick
