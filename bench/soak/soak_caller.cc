#include "soak/soak_caller.h"

#include "soak/fake_endpoints.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr token_count programBudget = 200000;
constexpr auto reconnectDelay = 300ms;

} // namespace

soak_caller::soak_caller(std::uint32_t number, std::uint64_t seed, std::uint32_t turns)
    : m_number(number)
    , m_random(seed)
    , m_turns(turns)
    , m_key{number % 2 == 0 ? "wanza" : "vestkyst", fmt::format("program-{}", number)}
{
}

call_request soak_caller::makeCall()
{
    call_request call{.program = m_key,
                      .turn = m_turn,
                      .requestId = fmt::format("{}.{}", m_number, m_turn),
                      .budgetTokens = programBudget};
    call.rank = m_number % 3 == 0 ? "urgent" : "routine";
    const bool pay = m_random() % 4 == 0;
    call.body = std::make_shared<const std::string>(
        fmt::format("body {} {} {}", toString(m_key), m_turn, pay ? "payment" : "model"));
    call.contentDigest = digestOf(*call.body);
    m_sentMessages = m_messages;
    if (pay) {
        call.path = "/v1/services/payment/pay";
        call.kind = service_call{.service = "payment", .path = "pay", .idempotent = false};
        m_payments.push_back({.requestId = fmt::format("{}#{}", toString(m_key), m_turn)});
        return call;
    }
    m_sentMessages.push_back({"user", *call.body});
    call.path = "/v1/chat/completions";
    call.kind =
        model_call{.model = "model", .history = digestHistory(m_sentMessages), .maxTokens = 100, .stream = true};
    call.messages = std::make_shared<const std::vector<message>>(m_sentMessages);
    return call;
}

std::optional<call_request> soak_caller::nextCall(time_point now)
{
    if (m_finished || m_outstanding || now < m_due) {
        return std::nullopt;
    }
    if (!m_call) {
        if (m_stopped || m_turn > m_turns) {
            m_finished = true;
            return std::nullopt;
        }
        m_call = makeCall();
        m_mayHaveRun = false;
    }
    m_outstanding = true;
    m_text.clear();
    call_request call = *m_call;
    call.receipt = m_receipt;
    return call;
}

void soak_caller::onText(const std::string &text)
{
    m_text += text;
}

void soak_caller::onAnswer(const finish_call &answer, time_point now)
{
    const auto expected = fake_endpoints::answerTo(toString(m_key), m_call->contentDigest);
    if (answer.program != m_key || answer.turn != m_turn) {
        fault(fmt::format("turn {} got the answer of {} turn {}", m_turn, toString(answer.program), answer.turn));
    }
    if (answer.answer != expected) {
        fault(fmt::format("turn {} answered '{}' instead of '{}'", m_turn, answer.answer, expected));
    }
    if (!answer.replayed && !answer.isService && m_text != expected) {
        fault(fmt::format("turn {} streamed '{}' instead of '{}'", m_turn, m_text, expected));
    }
    m_receipt = answer.receipt.empty() ? std::nullopt : std::optional(answer.receipt);
    completeTurn(execution::Ran, answer.answer, now);
}

void soak_caller::completeTurn(execution outcome, const std::string &answer, time_point now)
{
    const bool pay = std::holds_alternative<service_call>(m_call->kind);
    if (pay) {
        m_payments.back().least = outcome == execution::Ran ? 1 : 0;
    } else if (outcome == execution::Ran) {
        m_messages = m_sentMessages;
        m_messages.push_back({"assistant", answer});
    }
    m_call.reset();
    m_outstanding = false;
    ++m_turn;
    m_due = now + std::chrono::milliseconds(m_random() % 3000);
}

void soak_caller::onRefusal(const refusal &reason, time_point now)
{
    ++m_refusals[reason.code];
    const auto &row = describe(reason.code);
    const bool pay = std::holds_alternative<service_call>(m_call->kind);
    m_mayHaveRun = m_mayHaveRun || row.outcome != execution::NotRun;
    if (row.retry == retry_advice::Later && reason.retryAfter.count() <= 0) {
        fault(fmt::format("{} gives no time to come back", row.name));
    }
    if (reason.code == result_code::OutcomeUnknown && pay) {
        completeTurn(execution::Unknown, {}, now);
        return;
    }
    // The ledger recognises a resend of the same turn, so every refusal of an attempt may be followed by another one.
    const bool again = row.retry == retry_advice::Later || row.outcome == execution::Unknown;
    if (again) {
        retryAt(now + std::max(reason.retryAfter, std::chrono::milliseconds(reconnectDelay)));
        return;
    }
    if (reason.code == result_code::RequestQuarantined) {
        // Two lost connections look like two endpoints that the request has crashed.
        m_finished = true;
        m_outstanding = false;
        return;
    }
    fault(fmt::format("turn {} refused with {}: {}", m_turn, row.name, reason.message));
    m_finished = true;
    m_outstanding = false;
}

void soak_caller::onDisconnect(time_point now)
{
    m_mayHaveRun = true;
    retryAt(now + reconnectDelay);
}

void soak_caller::retryAt(time_point when)
{
    m_outstanding = false;
    m_due = when;
    // A caller that gives up after "not run" only must find that the payment never ran.
    if (m_stopped && !m_mayHaveRun) {
        if (std::holds_alternative<service_call>(m_call->kind)) {
            m_payments.back().most = 0;
        }
        m_call.reset();
        m_finished = true;
    }
}

void soak_caller::stop()
{
    m_stopped = true;
}

void soak_caller::fault(std::string text)
{
    m_faults.push_back(fmt::format("{}: {}", toString(m_key), text));
}

const program_key &soak_caller::key() const
{
    return m_key;
}

bool soak_caller::finished() const
{
    return m_finished;
}

std::uint32_t soak_caller::settledTurns() const
{
    return m_turn - 1;
}

const std::vector<message> &soak_caller::messages() const
{
    return m_messages;
}

std::optional<time_point> soak_caller::nextDeadline() const
{
    return m_finished || m_outstanding ? std::nullopt : std::optional(m_due);
}

const std::vector<soak_caller::payment> &soak_caller::payments() const
{
    return m_payments;
}

const std::vector<std::string> &soak_caller::faults() const
{
    return m_faults;
}

const std::map<result_code, std::uint32_t> &soak_caller::refusals() const
{
    return m_refusals;
}

} // namespace jackdawpick
