#pragma once

// One program as a good caller runs it: turns in order, the history carried along, receipts presented, refusals and
// broken connections handled, every answer checked. Pure; the time comes in.
//
//   program_caller caller(plan, options, {});
//   caller_action action = caller.next(now);
//   caller.onReply(reply, now);

#include "load/call_reply.h"
#include "load/program_plan.h"
#include "model/model.h"

#include <map>

namespace jackdawpick::standins
{

struct send_call
{
    std::string path;
    std::string body;
    bool stream = false;
};

struct wait_until
{
    time_point when{};
};

struct run_children
{
    std::vector<std::size_t> children;
};

struct program_end
{
};

using caller_action = std::variant<send_call, wait_until, run_children, program_end>;

// Calls that went wrong although the system said otherwise. All must stay 0.
struct call_faults
{
    std::uint64_t lost = 0; // No final answer, a truncated one, or an acknowledged effect that did not happen.
    std::uint64_t doubled = 0; // A non-idempotent call ran more than once.
    std::uint64_t reordered = 0; // Chunks, turns or effects out of order.
    std::uint64_t mixed = 0; // An answer that belongs to another request.
    std::uint64_t falseNotRun = 0; // A call ended as not run, but ran.
    auto operator<=>(const call_faults &) const = default;
};

struct service_record
{
    std::string operation;
    std::uint32_t turn = 0;
    bool idempotent = true;
    execution outcome = execution::Unknown; // What the caller was told.
};

struct program_outcome
{
    bool finished = false;
    std::string failure; // Name of the result code that ended the program, or NoAnswer.
    call_faults faults;
    std::map<std::string, std::uint64_t> refusals; // By name of the result code.
    std::uint64_t brokenConnections = 0;
    std::uint64_t calls = 0; // Settled.
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t notDurable = 0; // Answers that stated so.
    std::vector<duration> firstTokens;
    std::vector<service_record> services;
};

class program_caller
{
public:
    // `parent` is the id of the parent program for a sub-agent and empty otherwise. `plan` and `options` must outlive
    // the caller.
    program_caller(const program_plan &plan, const load_options &options, const std::string &parent);

    // What to do now. Not to be called while a call is in flight or children run.
    [[nodiscard]] caller_action next(time_point now);
    void onReply(const call_reply &reply, time_point now);
    void onChildrenEnded();
    // Ends the program as failed.
    void abandon(const std::string &reason);

    [[nodiscard]] const program_plan &plan() const;
    [[nodiscard]] const std::string &program() const; // Empty until the daemon has chosen the id.
    [[nodiscard]] const program_outcome &outcome() const;

private:
    [[nodiscard]] const planned_call &call() const;
    [[nodiscard]] std::string requestId() const;
    [[nodiscard]] std::string operation() const;
    [[nodiscard]] send_call modelCall() const;
    [[nodiscard]] send_call serviceCall() const;
    void onBroken(time_point now);
    void onRefusal(const reply_refusal &refusal, time_point now);
    void settleUnknown();
    void onAnswer(const call_reply &reply);
    void checkModelAnswer(const call_reply &reply);
    void checkServiceAnswer(const call_reply &reply);
    void retryAt(time_point when, time_point now, const std::string &reason);
    void settle(const std::string &role, const std::string &content);
    void recordService(execution outcome);
    void fail(const std::string &reason);

    const program_plan &m_plan;
    const load_options &m_options;
    std::string m_parent;
    std::string m_program;
    std::vector<message> m_messages;
    std::string m_receipt;
    std::size_t m_call = 0;
    std::uint32_t m_turn = 1;
    bool m_childrenRun = false;
    std::optional<time_point> m_readyAt; // Of the current attempt.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_unknown = 0; // Refusals of the current call that leave its outcome open.
    bool m_mayHaveRun = false; // Some attempt of the current call ended without "not run".
    time_point m_firstSent{};
    time_point m_lastSent{};
    bool m_ended = false;
    program_outcome m_outcome;
};

// Compares an answer with what the engine must have generated for these messages.
[[nodiscard]] call_faults compareAnswer(const std::string &expected, const std::string &received);

} // namespace jackdawpick::standins
