// Reservations of token budgets. One daemon decides on all programs of a partition: the one that all daemons rank first
// among those alive (rendezvous hashing). If it does not answer, the next one is asked; the log keeps two of them from
// contradicting each other.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_times.h"

#include <algorithm>
#include <type_traits>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetry;
using std::chrono::milliseconds;

// How long one daemon may take for a decision beyond the time of a few store calls.
constexpr milliseconds decisionTime{250};
constexpr int callsOfDecision = 3;
constexpr unsigned mostDeciders = 3;
constexpr milliseconds turnHolderLife{60000};

std::uint64_t rankOf(const std::string &daemon, const store::partition &where)
{
    const auto key = fmt::format("{}/{}", where.topic, where.number);
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(), XXH3_64bits(key.data(), key.size()));
}

programs::reservation reservationFor(const caller_request &request)
{
    return {.program = request.program,
            .attempt = request.attempt,
            .tokens = request.maxOutputTokens,
            .budget = request.tokenBudget.value_or(0)};
}

// Nothing but this request has been reserved or used.
bool isFirstTurn(const programs::budget_response &verdict)
{
    return verdict.usage.spent + verdict.usage.reserved <= verdict.request.tokens;
}

} // namespace

bool gateway::implementation::hasBudget(const call &value)
{
    return value.request.tokenBudget.has_value() && !value.request.program.empty();
}

std::vector<std::string> gateway::implementation::deciders(const store::partition &where, time_point now) const
{
    auto names = m_peers.reachable(now);
    if (!m_shutdownBegan.has_value() || names.empty()) {
        names.push_back(m_options.self.name);
    }
    std::ranges::sort(names, std::greater<>(), [&where](const std::string &name) { return rankOf(name, where); });
    return names;
}

programs::budget_partition &gateway::implementation::budgetsOf(const store::partition &where)
{
    return m_budgets.try_emplace(where, where).first->second;
}

void gateway::implementation::askForBudget(call &value, time_point now)
{
    const auto where = programPartition(value.request.program);
    const auto names = deciders(where, now);
    if (value.budgetTries >= std::min<std::size_t>(names.size(), mostDeciders)) {
        refuseCall(value, result_code::BudgetUndecided, storeRetry, now);
        return;
    }
    const auto &name = names[value.budgetTries];
    value.lastAsked = name;
    ++value.budgetTries;
    value.reservationPending = true;
    const auto asked = reservationFor(value.request);
    const auto link = name == m_options.self.name ? std::nullopt : m_peers.linkTo(name);
    if (!link.has_value()) {
        askHere(asked, {.caller = value.id}, std::min(value.deadline, now + 2 * decisionTimeout()), now);
        return;
    }
    m_budgetQuestions.emplace(++m_lastQuestion, peer_question{value.id, *link, now + decisionTimeout()});
    m_out.emplace_back(send_message{*link,
                                    peers::budget_request{.id = m_lastQuestion,
                                                          .program = asked.program,
                                                          .attempt = asked.attempt,
                                                          .tokens = asked.tokens,
                                                          .budget = asked.budget,
                                                          .previousTurn = value.request.previousTurn}});
}

milliseconds gateway::implementation::decisionTimeout() const
{
    return decisionTime + m_store.usualTime() * callsOfDecision;
}

void gateway::implementation::askHere(const programs::reservation &what, const budget_asker &asker, time_point deadline,
                                      time_point now)
{
    m_budgetAskers.emplace(what.attempt, asker);
    budgetsOf(programPartition(what.program)).reserve(what, deadline, now);
}

bool gateway::implementation::takeBudgetOutputs(time_point now)
{
    bool any = false;
    for (auto &[where, budgets] : m_budgets) {
        for (auto &output : budgets.takeOutputs()) {
            any = true;
            if (auto *started = std::get_if<programs::start_budget_call>(&output)) {
                startStoreCall(internal::for_budgets{where, started->id}, std::move(started->call), now);
            } else {
                onBudgetVerdict(std::get<programs::budget_response>(output), now);
            }
        }
    }
    return any;
}

void gateway::implementation::complete(const internal::for_budgets &owner, const store::reply &result, time_point now)
{
    budgetsOf(owner.where).onReply(owner.call, result, now);
}

void gateway::implementation::onBudgetVerdict(const programs::budget_response &verdict, time_point now)
{
    const auto [first, last] = m_budgetAskers.equal_range(verdict.request.attempt);
    const std::vector<std::pair<std::string, budget_asker>> askers(first, last);
    m_budgetAskers.erase(first, last);
    if (verdict.decision != programs::budget_decision::Granted) {
        log(log_level::Info, "budget_decided",
            {{"request", verdict.request.attempt},
             {"program", verdict.request.program},
             {"answer", programs::nameOf(verdict.decision)},
             {"budget", verdict.request.budget},
             {"asked", verdict.request.tokens},
             {"spent", verdict.usage.spent},
             {"reserved", verdict.usage.reserved}});
    }
    for (const auto &[attempt, asker] : askers) {
        if (!asker.caller.has_value()) {
            m_out.emplace_back(send_message{asker.link,
                                            peers::budget_reply{asker.request, verdict.decision,
                                                                turnHolder(asker.previousTurn), isFirstTurn(verdict)}});
        } else if (auto *value = findCall(*asker.caller); value != nullptr) {
            value->firstTurn = isFirstTurn(verdict);
            onBudgetAnswer(*value, verdict.decision, m_options.self.name, turnHolder(value->request.previousTurn), now);
        } else if (verdict.decision == programs::budget_decision::Granted) {
            // The caller has left meanwhile.
            budgetsOf(programPartition(verdict.request.program))
                .settle({.program = verdict.request.program, .attempt = attempt, .tokens = 0}, now);
        }
    }
}

void gateway::implementation::onBudgetAnswer(call &value, programs::budget_decision answer, const std::string &decider,
                                             const std::string &holder, time_point now)
{
    value.reservationPending = false;
    switch (answer) {
    case programs::budget_decision::Denied:
        logCall(
            log_level::Info, "budget_exceeded", value,
            {{"budget", *value.request.tokenBudget}, {"asked", value.request.maxOutputTokens}, {"decider", decider}},
            now);
        value.lastAsked.reset(); // A denied reservation holds nothing.
        refuseCall(value, result_code::BudgetExceeded, std::nullopt, now);
        return;
    case programs::budget_decision::Unavailable:
        refuseCall(value, result_code::BudgetUnavailable, storeRetry, now);
        return;
    case programs::budget_decision::Granted:
        break;
    }
    value.reservedAt = decider;
    if (value.historyPending) {
        beginHistory(value, holder, now);
    } else {
        continueIfPrepared(value, now);
    }
}

// ---- Messages ----

void gateway::implementation::onBudgetMessage(const link_message &what, time_point now)
{
    std::visit(
        [&](const auto &body) {
            using message_type = std::decay_t<decltype(body)>;
            constexpr bool handledElsewhere =
                std::is_same_v<
                    message_type,
                    peers::
                        hello> || std::is_same_v<message_type, peers::heartbeat> || std::is_same_v<message_type, peers::store_request> || std::is_same_v<message_type, peers::store_response> || std::is_same_v<message_type, peers::run_reports>;
            if constexpr (!handledElsewhere) {
                on(what.link, body, now);
            }
        },
        what.content);
}

void gateway::implementation::on(link_id link, const peers::budget_request &what, time_point now)
{
    const programs::reservation asked{
        .program = what.program, .attempt = what.attempt, .tokens = what.tokens, .budget = what.budget};
    askHere(asked, {.caller = std::nullopt, .link = link, .request = what.id, .previousTurn = what.previousTurn},
            now + decisionTimeout(), now);
}

void gateway::implementation::on(link_id link, const peers::budget_reply &what, time_point now)
{
    const auto node = m_budgetQuestions.extract(what.id);
    auto *value = node ? findCall(node.mapped().caller) : nullptr;
    if (value != nullptr && value->reservationPending) {
        value->firstTurn = what.firstTurn;
        onBudgetAnswer(*value, what.answer, m_peers.nameOf(link), what.turnHolder, now);
    }
}

void gateway::implementation::on(link_id link, const peers::budget_use &what, time_point now)
{
    noteUse(what, m_peers.nameOf(link), now);
}

void gateway::implementation::on(link_id link, const peers::turn_request &what, time_point /*now*/)
{
    const auto *text = m_turns.find(what.turn);
    m_out.emplace_back(
        send_message{link, peers::turn_reply{what.id, text != nullptr, text == nullptr ? std::string() : *text}});
}

void gateway::implementation::on(link_id /*link*/, const peers::turn_reply &what, time_point now)
{
    const auto node = m_turnQuestions.extract(what.id);
    auto *value = node ? findCall(node.mapped().caller) : nullptr;
    if (value == nullptr || !value->historyPending) {
        return;
    }
    if (!what.found) {
        readHistory(*value, now);
        return;
    }
    value->history = what.history;
    value->historyPending = false;
    continueIfPrepared(*value, now);
}

// ---- Use ----

// Tells the daemon that granted the reservation what was used of it. Unless that is told, the whole reservation counts.
void gateway::implementation::settle(call &value, bool holdsTurn, time_point now)
{
    // A request that ends without a grant may have been reserved all the same; it will never run.
    const auto decider = value.reservedAt.has_value() ? value.reservedAt : value.lastAsked;
    value.reservedAt.reset();
    value.lastAsked.reset();
    if (!decider.has_value()) {
        return;
    }
    const peers::budget_use use{.program = value.request.program,
                                .attempt = value.request.attempt,
                                .tokens = tokensHandedOver(value),
                                .holdsTurn = holdsTurn};
    const auto link = *decider == m_options.self.name ? std::nullopt : m_peers.linkTo(*decider);
    if (link.has_value()) {
        m_out.emplace_back(send_message{*link, use});
    } else {
        noteUse(use, m_options.self.name, now);
    }
}

void gateway::implementation::noteUse(const peers::budget_use &use, const std::string &holder, time_point now)
{
    if (use.holdsTurn) {
        m_turnHolders[use.attempt] = {holder, now};
    }
    budgetsOf(programPartition(use.program))
        .settle({.program = use.program, .attempt = use.attempt, .tokens = use.tokens}, now);
}

std::string gateway::implementation::turnHolder(const std::string &turn) const
{
    const auto found = m_turnHolders.find(turn);
    return found == m_turnHolders.end() ? std::string() : found->second.first;
}

// ---- Time and lost links ----

void gateway::implementation::failBudgetRequests(link_id link, time_point now)
{
    continueWithout([link](const peer_question &question) { return question.link == link; }, now);
}

void gateway::implementation::tickBudgets(time_point now)
{
    for (auto &[where, budgets] : m_budgets) {
        budgets.tick(now);
    }
    continueWithout([now](const peer_question &question) { return question.deadline <= now; }, now);
}

// Another daemon did not answer the questions that `isOver` names: the next one is asked, and the turn is read from the
// store.
void gateway::implementation::continueWithout(const std::function<bool(const peer_question &)> &isOver, time_point now)
{
    const auto take = [&isOver](std::map<std::uint64_t, peer_question> &questions) {
        std::vector<caller_id> callers;
        std::erase_if(questions, [&](const auto &entry) {
            const bool over = isOver(entry.second);
            if (over) {
                callers.push_back(entry.second.caller);
            }
            return over;
        });
        return callers;
    };
    const auto undecided = take(m_budgetQuestions);
    const auto unread = take(m_turnQuestions);
    for (const auto caller : undecided) {
        if (auto *value = findCall(caller); value != nullptr && value->reservationPending) {
            askForBudget(*value, now);
        }
    }
    for (const auto caller : unread) {
        if (auto *value = findCall(caller); value != nullptr && value->historyPending) {
            readHistory(*value, now);
        }
    }
}

std::optional<time_point> gateway::implementation::nextBudgetDeadline() const
{
    std::optional<time_point> earliest;
    const auto consider = [&earliest](time_point when) {
        earliest = std::min(earliest.value_or(when), when);
    };
    for (const auto &[where, budgets] : m_budgets) {
        if (const auto due = budgets.nextDeadline(); due.has_value()) {
            consider(*due);
        }
    }
    for (const auto *questions : {&m_budgetQuestions, &m_turnQuestions}) {
        std::ranges::for_each(*questions, [&](const auto &entry) { consider(entry.second.deadline); });
    }
    return earliest;
}

void gateway::implementation::forgetIdleBudgets(time_point now)
{
    for (auto &[where, budgets] : m_budgets) {
        budgets.evictIdle(now);
    }
    std::erase_if(m_turnHolders, [now](const auto &entry) { return now - entry.second.second > turnHolderLife; });
}

} // namespace jackdawpick::gateway
