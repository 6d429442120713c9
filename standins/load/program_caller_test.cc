#include "load/run_report.h"
#include "platform/answer_text.h"
#include "platform/service_model.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

planned_call ask(const std::string &text)
{
    planned_call call;
    call.text = text;
    call.maxTokens = 32;
    return call;
}

planned_call tool(bool idempotent)
{
    planned_call call;
    call.service = "payments";
    call.idempotent = idempotent;
    return call;
}

class program_caller_test : public ::testing::Test
{
protected:
    program_caller_test()
    {
        m_options.model = "tide-7b";
        m_options.giveUp = 10s;
        m_plan.name = "p1";
        m_plan.customer = "wanza";
        m_plan.rank = "urgent";
        m_plan.calls = {ask("one"), tool(false), ask("two")};
    }

    // Advances the clock through waits until the caller sends.
    json sent(program_caller &caller)
    {
        auto action = caller.next(m_clock.now());
        while (const auto *wait = std::get_if<wait_until>(&action)) {
            m_clock.advanceTo(wait->when);
            action = caller.next(m_clock.now());
        }
        const auto *call = std::get_if<send_call>(&action);
        return call == nullptr ? json() : json::parse(call->body);
    }

    // The answer that a faultless system gives to what was sent.
    static call_reply answerTo(const json &body)
    {
        call_reply reply;
        reply.broken = false;
        const json &marks = body["jackdawpick"];
        reply.requestId = marks["request_id"];
        reply.program = marks["program"];
        reply.turn = marks["turn"];
        reply.receipt = "receipt-" + std::to_string(reply.turn);
        if (body.contains("messages")) {
            std::vector<message> messages;
            for (const auto &entry : body["messages"]) {
                messages.push_back({.role = entry["role"], .content = entry["content"]});
            }
            const auto plan = planAnswer(messages, body["max_tokens"]);
            reply.content = answerTokens(plan, 0, plan.tokens);
        } else {
            reply.operation = body["body"]["operation"];
            reply.result = serviceResult(reply.operation, "run");
        }
        return reply;
    }

    static call_reply refusalOf(result_code code, std::chrono::milliseconds retryAfter = {})
    {
        const auto &row = describe(code);
        call_reply reply;
        reply.broken = false;
        reply.refusal = reply_refusal{
            .code = code, .name = std::string(row.name), .outcome = row.outcome, .retryAfter = retryAfter};
        return reply;
    }

    manual_clock m_clock;
    load_options m_options;
    program_plan m_plan;
};

} // namespace

TEST_F(program_caller_test, CarriesHistoryTurnsAndReceipts)
{
    program_caller caller(m_plan, m_options, "");
    for (std::uint32_t turn = 1; turn <= 3; ++turn) {
        const auto body = sent(caller);
        EXPECT_EQ(body["jackdawpick"]["turn"], turn);
        EXPECT_EQ(body["jackdawpick"].value("receipt", ""), turn == 1 ? "" : "receipt-" + std::to_string(turn - 1));
        if (turn == 3) {
            EXPECT_EQ(body["messages"].size(), 4U) << "user, assistant, tool result, user";
        }
        caller.onReply(answerTo(body), m_clock.now());
    }
    EXPECT_TRUE(std::holds_alternative<program_end>(caller.next(m_clock.now())));
    EXPECT_TRUE(caller.outcome().finished);
    EXPECT_EQ(caller.outcome().faults, call_faults{});
    EXPECT_EQ(caller.outcome().services.at(0).outcome, execution::Ran);
}

// Guards against a resend that the daemon could take for a new call.
TEST_F(program_caller_test, BrokenConnectionsAndRefusalsResendTheSameTurnAfterTheWait)
{
    program_caller caller(m_plan, m_options, "");
    caller.onReply(answerTo(sent(caller)), m_clock.now());
    const auto body = sent(caller);
    caller.onReply(call_reply{}, m_clock.now());
    EXPECT_EQ(sent(caller), body);
    const auto refusedAt = m_clock.now();
    caller.onReply(refusalOf(result_code::OwnerUnreachable, 700ms), refusedAt);
    EXPECT_EQ(sent(caller), body);
    EXPECT_EQ(m_clock.now() - refusedAt, 700ms);
    caller.onReply(refusalOf(result_code::OwnershipLost), m_clock.now());
    EXPECT_EQ(sent(caller), body);
    caller.onReply(answerTo(body), m_clock.now());
    EXPECT_EQ(caller.outcome().refusals.at("OwnerUnreachable"), 1U);
    EXPECT_EQ(caller.outcome().faults, call_faults{});
}

// Guards against sending a payment again whose outcome the system does not know.
TEST_F(program_caller_test, UnknownOutcomeMovesOnToTheNextTurn)
{
    program_caller caller(m_plan, m_options, "");
    caller.onReply(answerTo(sent(caller)), m_clock.now());
    (void)sent(caller);
    caller.onReply(refusalOf(result_code::OutcomeUnknown), m_clock.now());
    EXPECT_EQ(sent(caller)["jackdawpick"]["turn"], 3);
    EXPECT_EQ(caller.outcome().unknownOutcomes, 1U);
    EXPECT_EQ(caller.outcome().services.at(0).outcome, execution::Unknown);
}

TEST_F(program_caller_test, GivesUpAfterItsPatience)
{
    program_caller refused(m_plan, m_options, "");
    program_caller unanswered(m_plan, m_options, "");
    for (auto *caller : {&refused, &unanswered}) {
        int sends = 0;
        while (!sent(*caller).is_null()) {
            ++sends;
            caller->onReply(caller == &refused ? refusalOf(result_code::Overloaded, 1s) : call_reply{}, m_clock.now());
        }
        EXPECT_GE(sends, 5);
        EXPECT_LE(sends, 12);
    }
    EXPECT_EQ(refused.outcome().failure, "Overloaded");
    EXPECT_EQ(refused.outcome().faults.lost, 0U);
    EXPECT_EQ(unanswered.outcome().failure, "NoAnswer");
    EXPECT_EQ(unanswered.outcome().faults.lost, 1U);
}

TEST_F(program_caller_test, SubAgentsRunBeforeTheirCallAndNameTheirParent)
{
    m_plan.calls[1].children = {0};
    m_plan.children = {m_plan};
    m_plan.children[0].name = "agent0";
    program_caller parent(m_plan, m_options, "");
    parent.onReply(answerTo(sent(parent)), m_clock.now());
    EXPECT_TRUE(std::holds_alternative<run_children>(parent.next(m_clock.now())));
    program_caller child(m_plan.children[0], m_options, parent.program());
    const auto marks = sent(child)["jackdawpick"];
    EXPECT_EQ(marks["program"], "p1~agent0");
    EXPECT_EQ(marks["parent"], "p1");
    parent.onChildrenEnded();
    EXPECT_EQ(sent(parent)["jackdawpick"]["turn"], 2);
}

// Guards against a check that passes an answer to another request or a damaged one.
TEST_F(program_caller_test, WrongAnswersAreCounted)
{
    const auto faultsOf = [this](const std::function<void(call_reply &)> &damage) {
        program_caller caller(m_plan, m_options, "");
        auto reply = answerTo(sent(caller));
        damage(reply);
        caller.onReply(reply, m_clock.now());
        return caller.outcome().faults;
    };
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.content.pop_back(); }).lost, 1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.content.erase(20, 4); }).lost, 1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.content += reply.content.substr(20, 4); }).doubled, 1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) {
                  std::swap_ranges(&reply.content[16], &reply.content[20], &reply.content[20]);
              }).reordered,
              1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.turn = 2; }).reordered, 1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.requestId = "wanza/p2/1"; }).mixed, 1U);
    EXPECT_EQ(faultsOf([](call_reply &reply) { reply.chunkRequestIds = {"wanza/p1/1", "wanza/p2/1"}; }).mixed, 1U);
    const std::vector<message> foreign{{.role = "user", .content = "other"}};
    const auto plan = planAnswer(foreign, 32);
    EXPECT_EQ(faultsOf([&](call_reply &reply) { reply.content = answerTokens(plan, 0, plan.tokens); }).mixed, 1U);
}

// Guards against a report that trusts what callers were told instead of what the services did.
TEST_F(program_caller_test, ReportJudgesByTheServicesCounts)
{
    program_outcome outcome;
    outcome.services = {{.operation = "a", .turn = 1, .idempotent = false, .outcome = execution::Ran},
                        {.operation = "b", .turn = 2, .idempotent = false, .outcome = execution::Ran},
                        {.operation = "c", .turn = 3, .idempotent = false, .outcome = execution::NotRun},
                        {.operation = "d", .turn = 4, .idempotent = false, .outcome = execution::Ran}};
    run_report report;
    report.add(m_plan, outcome, 1s, false);
    EXPECT_TRUE(report.isClean());
    report.judge({{.identity = "a", .runs = 1, .firstAtMicroseconds = 20},
                  {.identity = "a", .runs = 1, .firstAtMicroseconds = 30},
                  {.identity = "c", .runs = 1, .firstAtMicroseconds = 40},
                  {.identity = "d", .runs = 1, .firstAtMicroseconds = 10},
                  {.identity = "e", .runs = 2, .idempotent = true, .firstAtMicroseconds = 10}});
    EXPECT_EQ(report.faults(), (call_faults{.lost = 1, .doubled = 1, .reordered = 1, .mixed = 0, .falseNotRun = 1}));
    EXPECT_FALSE(report.isClean());
}

} // namespace jackdawpick::standins
