// Settlements: what finished requests report of their use of budgets, and how lost reports are restored.
//
// A report lives in the memory of processes until it is written. The daemon that sends one keeps it for a while and
// sends it again if the link closes. If all daemons die, the record of the turn still tells what was used: before the
// decider denies a reservation, it looks for the turns of all requests whose reservations have no settlement.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// How long a report is kept after it was sent: the time until the receiver has written it, and until its death is
// known.
constexpr milliseconds sentUsageRetention{4000};
// Share of the time for a decision in which the turns of unsettled requests are looked for, so that the answer comes
// before the one who asked goes to the next decider.
constexpr int settlementCheckDivisor = 2;

} // namespace

// Called once the history of the request is known.
void gateway::implementation::settlePreviousTurn(request_context &context, time_point now)
{
    const auto decider = std::exchange(context.unsettledAt, std::nullopt);
    if (!decider.has_value()) {
        return;
    }
    if (context.chain.tokens != 0) {
        logRequest(log_level::Info, "settlement_restored", context,
                   {{"turn", context.request.previousTurn}, {"tokens", context.chain.tokens}, {"decider", *decider}},
                   now);
        sendUsage({.program = context.request.program,
                   .attempt = context.request.previousTurn,
                   .tokens = context.chain.tokens,
                   .restored = true},
                  *decider, now);
    }
}

// Reports the tokens used to the daemon that granted the reservation. Without a report, the whole reservation counts as
// used.
void gateway::implementation::settleReservation(request_context &context, bool holdsTurn, time_point now)
{
    // If no reply arrived, the daemon asked last may still have granted the reservation, but the request never runs.
    const auto decider = context.grantedBy.has_value() ? context.grantedBy : context.lastDecider;
    context.grantedBy.reset();
    context.lastDecider.reset();
    if (!decider.has_value()) {
        return;
    }
    const peers::budget_use use{.program = context.request.program,
                                .attempt = context.request.attempt,
                                .tokens = tokensDelivered(context),
                                .holdsTurn = holdsTurn};
    sendUsage(use, *decider, now);
}

void gateway::implementation::sendUsage(const peers::budget_use &use, const std::string &decider, time_point now)
{
    const auto link = decider == m_options.self.name ? std::nullopt : m_peers.linkTo(decider);
    if (link.has_value()) {
        m_sentUsages.push_back({.decider = decider, .use = use, .at = now});
        m_effects.emplace_back(send_message{*link, use});
    } else {
        recordUsage(use, m_options.self.name, now);
    }
}

void gateway::implementation::recordUsage(const peers::budget_use &use, const std::string &holder, time_point now)
{
    if (use.holdsTurn) {
        (void)m_turnHolders.put(use.attempt, {.daemon = holder, .since = now}, heapBytes(holder));
    }
    // A restored settlement has been lost once, possibly by a crash that may recur. That of a request that used nothing
    // cannot be restored, since no turn tells of it. Neither waits.
    const bool isUrgent = use.restored || use.tokens == 0;
    const auto delay = isUrgent ? milliseconds(0) : programs::budget_partition::batchingDelay;
    budgetsOf(programPartition(use.program))
        .settle({.program = use.program, .attempt = use.attempt, .tokens = use.tokens}, now, delay);
}

std::string gateway::implementation::turnHolder(const std::string &turn)
{
    const auto *found = m_turnHolders.find(turn);
    return found == nullptr ? std::string() : found->daemon;
}

// ---- Reports that a closed link may have lost ----

void gateway::implementation::forgetOldUsages(time_point now)
{
    while (!m_sentUsages.empty() && now - m_sentUsages.front().at > sentUsageRetention) {
        m_sentUsages.pop_front();
    }
}

void gateway::implementation::sendUsagesAgain(const std::string &lostDecider, time_point now)
{
    forgetOldUsages(now);
    std::vector<peers::budget_use> lost;
    std::erase_if(m_sentUsages, [&](const sent_usage &sent) {
        if (sent.decider == lostDecider) {
            lost.push_back(sent.use);
        }
        return sent.decider == lostDecider;
    });
    for (const auto &use : lost) {
        const auto names = rankedDeciders(programPartition(use.program), now);
        const auto decider = std::ranges::find_if(names, [&](const std::string &name) {
            return name == m_options.self.name || (name != lostDecider && m_peers.linkTo(name).has_value());
        });
        sendUsage(use, decider == names.end() ? m_options.self.name : *decider, now);
    }
    if (!lost.empty()) {
        log(log_level::Info, "usage_sent_again", {{"lost_decider", lostDecider}, {"reports", lost.size()}});
    }
}

// ---- Turns whose settlements were lost ----

// Looks for the turns of the reservations on which a denial rests, and decides again when their partitions are read.
void gateway::implementation::checkSettlements(const programs::budget_response &denial, time_point now)
{
    const auto &program = denial.request.program;
    const auto [entry, isNew] = m_settlementChecks.try_emplace(program);
    auto &check = entry->second;
    check.denied.push_back({.request = denial.request, .deadline = now + decisionTimeout()});
    if (!isNew) {
        return;
    }
    check.turns = denial.uncertain;
    for (const auto &turn : check.turns) {
        if (m_turns.chainOf(turn) != nullptr) {
            continue;
        }
        for (const bool fallback : {false, true}) {
            const auto ticket =
                m_log.catchUp(turnPartition(turn, fallback), now + decisionTimeout() / settlementCheckDivisor);
            m_settlementReads.emplace(ticket, program);
            ++check.openReads;
        }
    }
    if (check.openReads == 0) {
        finishSettlementCheck(program, now);
    }
}

void gateway::implementation::onSettlementRead(const std::string &program, bool readToEnd, time_point now)
{
    auto &check = m_settlementChecks.at(program);
    check.incomplete = check.incomplete || !readToEnd;
    if (--check.openReads == 0) {
        finishSettlementCheck(program, now);
    }
}

void gateway::implementation::finishSettlementCheck(const std::string &program, time_point now)
{
    const auto node = m_settlementChecks.extract(program);
    const auto &check = node.mapped();
    auto &budgets = budgetsOf(programPartition(program));
    std::vector<std::string> missing;
    std::uint32_t restored = 0;
    for (const auto &turn : check.turns) {
        const auto *chain = m_turns.chainOf(turn);
        if (chain != nullptr && chain->tokens != 0) {
            budgets.settle({.program = program, .attempt = turn, .tokens = chain->tokens}, now, milliseconds(0));
            ++restored;
        } else {
            missing.push_back(turn);
        }
    }
    log(log_level::Info, "settlements_checked",
        {{"program", program}, {"turns", check.turns.size()}, {"restored", restored}, {"complete", !check.incomplete}});
    const bool isUnknown = check.incomplete && restored == 0;
    if (!check.incomplete) {
        budgets.onTurnsMissing(program, missing, now);
    }
    for (const auto &[request, deadline] : check.denied) {
        if (isUnknown) { // A denial ends the program for good, so it must be certain.
            onBudgetDecision({.request = request,
                              .decision = programs::budget_decision::Unavailable,
                              .usage = budgets.usageOf(program),
                              .view = budgets.viewOf(program)},
                             now);
        } else {
            budgets.reserveAgain(request, deadline, now);
        }
    }
}

} // namespace jackdawpick::gateway
