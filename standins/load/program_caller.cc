#include "load/program_caller.h"

#include "platform/answer_text.h"
#include "platform/service_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

// Attempts after which a call whose outcome stays open is taken as it stands.
constexpr std::uint32_t maxUnknown = 3;
// Wait before asking again where a refusal advises a retry without a time.
constexpr std::chrono::milliseconds defaultRetry{500};
constexpr std::size_t digestBytes = 16; // The answer starts with the digest of the history.

std::vector<std::string> sortedTokens(const std::string &text)
{
    std::vector<std::string> tokens;
    for (std::size_t at = 0; at < text.size(); at += bytesPerToken) {
        tokens.push_back(text.substr(at, bytesPerToken));
    }
    std::ranges::sort(tokens);
    return tokens;
}

} // namespace

call_faults compareAnswer(const std::string &expected, const std::string &received)
{
    call_faults faults;
    if (received == expected) {
        return faults;
    }
    if (expected.starts_with(received)) {
        faults.lost = 1;
    } else if (sortedTokens(expected) == sortedTokens(received)) {
        faults.reordered = 1;
    } else if (received.substr(0, digestBytes) != expected.substr(0, digestBytes)) {
        faults.mixed = 1;
    } else if (received.starts_with(expected) || received.size() > expected.size()) {
        faults.doubled = 1; // A part of the stream came twice.
    } else {
        faults.lost = 1; // A part in the middle is missing.
    }
    return faults;
}

program_caller::program_caller(const program_plan &plan, const load_options &options, const std::string &parent)
    : m_plan(plan)
    , m_options(options)
    , m_parent(parent)
{
    if (!parent.empty()) {
        m_program = fmt::format("{}{}{}", parent, subAgentSeparator, plan.name);
    } else if (!plan.minted) {
        m_program = plan.name;
    }
}

const planned_call &program_caller::call() const
{
    return m_plan.calls[m_call];
}

// The same for every resend of a turn, and different for every other turn of the run. A slash is not allowed in it.
std::string program_caller::requestId() const
{
    const std::string name = m_parent.empty() ? m_plan.name : m_program;
    return fmt::format("{}:{}:{}", m_plan.customer, name, m_turn);
}

std::string program_caller::operation() const
{
    return fmt::format("{}/{}/{}", m_plan.customer, m_program, m_turn);
}

caller_action program_caller::next(time_point now)
{
    if (m_ended || m_call == m_plan.calls.size()) {
        m_outcome.finished = !m_ended;
        return program_end{};
    }
    if (!call().children.empty() && !m_childrenRun) {
        return run_children{call().children};
    }
    if (!m_readyAt) {
        m_readyAt = now + call().pauseBefore;
    }
    if (now < *m_readyAt) {
        return wait_until{*m_readyAt};
    }
    if (m_attempts++ == 0) {
        m_firstSent = now;
    }
    m_lastSent = now;
    return call().service.empty() ? modelCall() : serviceCall();
}

send_call program_caller::modelCall() const
{
    json messages = json::array();
    for (const auto &entry : m_messages) {
        messages.push_back({{"role", entry.role}, {"content", entry.content}});
    }
    messages.push_back({{"role", "user"}, {"content", call().text}});
    json marks{{"customer", m_plan.customer},
               {"turn", m_turn},
               {"rank", m_plan.rank},
               {"request_id", requestId()},
               {"deadline_ms", m_options.deadline.count()}};
    if (!m_program.empty()) {
        marks["program"] = m_program;
    }
    if (m_turn == 1) {
        marks["budget_tokens"] = m_plan.budgetTokens;
        if (!m_parent.empty()) {
            marks["parent"] = m_parent;
        }
    }
    if (!m_receipt.empty()) {
        marks["receipt"] = m_receipt;
    }
    const json body{{"model", m_options.model},
                    {"messages", messages},
                    {"max_tokens", call().maxTokens},
                    {"stream", true},
                    {"jackdawpick", marks}};
    return {.path = "/v1/chat/completions", .body = body.dump(), .stream = true};
}

send_call program_caller::serviceCall() const
{
    json marks{{"customer", m_plan.customer},
               {"program", m_program},
               {"turn", m_turn},
               {"rank", m_plan.rank},
               {"request_id", requestId()},
               {"deadline_ms", m_options.deadline.count()},
               {"idempotent", call().idempotent}};
    if (!m_receipt.empty()) {
        marks["receipt"] = m_receipt;
    }
    const json effect{{"operation", operation()}, {"idempotent", call().idempotent}};
    const json body{{"jackdawpick", marks}, {"body", effect}};
    return {.path = fmt::format("/v1/services/{}/{}", call().service, m_options.servicePath), .body = body.dump()};
}

void program_caller::onReply(const call_reply &reply, time_point now)
{
    if (reply.broken) {
        onBroken(now);
    } else if (reply.refusal) {
        onRefusal(*reply.refusal, now);
    } else {
        if (reply.firstToken) {
            m_outcome.firstTokens.push_back(*reply.firstToken - m_lastSent);
        }
        onAnswer(reply);
    }
}

void program_caller::onBroken(time_point now)
{
    ++m_outcome.brokenConnections;
    m_mayHaveRun = true;
    const auto wait = m_options.retry * (1U << std::min(m_attempts - 1, 10U));
    retryAt(now + std::min(wait, m_options.retry * 10), now, "NoAnswer");
}

// Resends are always the same turn with the same request id, so the daemon recognises them; a call that is not
// idempotent is sent again only to learn its outcome.
void program_caller::onRefusal(const reply_refusal &refusal, time_point now)
{
    ++m_outcome.refusals[refusal.name];
    const auto wait = refusal.retryAfter.count() > 0 ? refusal.retryAfter : defaultRetry;
    const auto advice = describe(refusal.code).retry;
    if (refusal.code == result_code::OutcomeUnknown) {
        settleUnknown();
        return;
    }
    m_mayHaveRun = m_mayHaveRun || refusal.outcome != execution::NotRun;
    // During a takeover, calls are refused until the new owner serves the shard; only it knows the outcome.
    if (advice == retry_advice::Later || refusal.code == result_code::OwnershipLost) {
        retryAt(now + wait, now, refusal.name);
        return;
    }
    if (advice == retry_advice::IfIdempotent) {
        if (++m_unknown <= maxUnknown) {
            retryAt(now + wait, now, refusal.name);
        } else if (!call().idempotent) {
            settleUnknown();
        } else {
            fail(refusal.name);
        }
        return;
    }
    fail(refusal.name);
}

void program_caller::settleUnknown()
{
    ++m_outcome.unknownOutcomes;
    recordService(execution::Unknown);
    settle("user", "The outcome of the tool call is unknown.");
}

void program_caller::onAnswer(const call_reply &reply)
{
    if (m_program.empty()) {
        m_program = reply.program;
    }
    const bool foreign =
        std::ranges::any_of(reply.chunkRequestIds, [this](const std::string &id) { return id != requestId(); });
    if (foreign || reply.requestId != requestId() || reply.program != m_program) {
        ++m_outcome.faults.mixed;
    } else if (reply.turn != m_turn) {
        ++m_outcome.faults.reordered;
    }
    m_outcome.notDurable += reply.durable ? 0 : 1;
    if (!reply.receipt.empty()) {
        m_receipt = reply.receipt;
    }
    if (call().service.empty()) {
        checkModelAnswer(reply);
    } else {
        checkServiceAnswer(reply);
    }
}

void program_caller::checkModelAnswer(const call_reply &reply)
{
    m_messages.push_back({.role = "user", .content = call().text});
    const auto plan = planAnswer(m_messages, call().maxTokens);
    const auto found = compareAnswer(answerTokens(plan, 0, plan.tokens), reply.content);
    auto &faults = m_outcome.faults;
    faults.lost += found.lost;
    faults.doubled += found.doubled;
    faults.reordered += found.reordered;
    faults.mixed += found.mixed;
    settle("assistant", reply.content);
}

void program_caller::checkServiceAnswer(const call_reply &reply)
{
    if (reply.operation != operation() || reply.result != serviceResult(operation(), m_options.servicePath)) {
        ++m_outcome.faults.mixed;
    }
    recordService(execution::Ran);
    settle("user", "The tool answered " + reply.result);
}

void program_caller::recordService(execution outcome)
{
    if (m_call < m_plan.calls.size() && !call().service.empty()) {
        m_outcome.services.push_back(
            {.operation = operation(), .turn = m_turn, .idempotent = call().idempotent, .outcome = outcome});
    }
}

void program_caller::retryAt(time_point when, time_point now, const std::string &reason)
{
    if (when - m_firstSent > m_options.giveUp) {
        m_outcome.faults.lost += reason == "NoAnswer" ? 1 : 0;
        fail(reason);
        return;
    }
    m_readyAt = std::max(when, now);
}

void program_caller::settle(const std::string &role, const std::string &content)
{
    m_messages.push_back({.role = role, .content = content});
    ++m_outcome.calls;
    ++m_call;
    ++m_turn;
    m_readyAt.reset();
    m_attempts = 0;
    m_unknown = 0;
    m_mayHaveRun = false;
    m_childrenRun = false;
}

void program_caller::onChildrenEnded()
{
    m_childrenRun = true;
}

void program_caller::abandon(const std::string &reason)
{
    m_mayHaveRun = true;
    fail(reason);
}

void program_caller::fail(const std::string &reason)
{
    if (m_attempts > 0) {
        recordService(m_mayHaveRun ? execution::Unknown : execution::NotRun);
    }
    m_ended = true;
    m_outcome.failure = reason;
}

const program_plan &program_caller::plan() const
{
    return m_plan;
}

const std::string &program_caller::program() const
{
    return m_program;
}

const program_outcome &program_caller::outcome() const
{
    return m_outcome;
}

} // namespace jackdawpick::standins
