#pragma once

// One agent program as its caller sees it: sends turns in order, resends after failures, and checks every answer.
//
//   soak_caller caller(3, seed);
//   if (auto call = caller.nextCall(now)) { ... }
//   caller.onAnswer(answer, now);
//   caller.onRefusal(reason, now);

#include "core/events.h"

#include <random>

namespace jackdawpick
{

class soak_caller
{
public:
    soak_caller(std::uint32_t number, std::uint64_t seed, std::uint32_t turns);

    // The call to send at `now`, if one is due and none is outstanding.
    [[nodiscard]] std::optional<call_request> nextCall(time_point now);
    void onText(const std::string &text);
    void onAnswer(const finish_call &answer, time_point now);
    void onRefusal(const refusal &reason, time_point now);
    // The connection broke without an answer: ask again with the same turn.
    void onDisconnect(time_point now);
    // Stops making further turns; an outstanding one is still resolved.
    void stop();

    [[nodiscard]] const program_key &key() const;
    [[nodiscard]] bool finished() const; // All turns done, or given up for a reason that permits it.
    [[nodiscard]] std::uint32_t settledTurns() const;
    [[nodiscard]] const std::vector<message> &messages() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    // Request identities of payments with the runs that are allowed for them: 0 or at most 1, exactly 1 when answered.
    struct payment
    {
        std::string requestId;
        std::uint32_t least = 0;
        std::uint32_t most = 1;
    };
    [[nodiscard]] const std::vector<payment> &payments() const;
    // What went wrong, in words; empty if nothing did.
    [[nodiscard]] const std::vector<std::string> &faults() const;
    [[nodiscard]] const std::map<result_code, std::uint32_t> &refusals() const;

private:
    [[nodiscard]] call_request makeCall();
    void completeTurn(execution outcome, const std::string &answer, time_point now);
    void retryAt(time_point when);
    void fault(std::string text);

    std::uint32_t m_number;
    std::mt19937_64 m_random;
    std::uint32_t m_turns;
    program_key m_key;
    std::uint32_t m_turn = 1;
    std::vector<message> m_messages;
    std::optional<call_request> m_call; // Of the current turn; resent unchanged.
    std::vector<message> m_sentMessages;
    std::optional<std::string> m_receipt;
    std::string m_text;
    bool m_outstanding = false;
    bool m_mayHaveRun = false; // Some attempt of the current turn ended without "not run".
    bool m_finished = false;
    bool m_stopped = false;
    time_point m_due{};
    std::vector<payment> m_payments;
    std::vector<std::string> m_faults;
    std::map<result_code, std::uint32_t> m_refusals;
};

} // namespace jackdawpick
