// Reservations of token budgets. One daemon decides for all programs of a partition: the one that rendezvous hashing
// ranks first among the live daemons. If it does not reply, the next one is asked; conditional appends to the log
// prevent two daemons from making conflicting decisions.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_delays.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetryDelay;
using std::chrono::milliseconds;

// How long a daemon may take for a decision, in addition to the time of storeCallsPerDecision store calls.
constexpr milliseconds baseDecisionTimeout{250};
constexpr int storeCallsPerDecision = 3;
constexpr unsigned maxDeciders = 3;
constexpr milliseconds turnHolderLifetime{60000};
// Longer histories are read from the store: each reply is held several times on its way, here and at the peer.
constexpr std::size_t maxTurnReplyBytes = 512U << 10U;

programs::reservation reservationFor(const caller_request &request)
{
    return {.program = request.program,
            .attempt = request.attempt,
            .tokens = request.maxOutputTokens,
            .budget = request.tokenBudget.value_or(0)};
}

// Whether nothing but this request has reserved or used any of the budget.
bool isFirstTurn(const programs::budget_response &response)
{
    return response.usage.spent + response.usage.reserved <= response.request.tokens;
}

std::uint64_t rendezvousWeight(const std::string &daemon, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(), seed);
}

// The reservations on which a denial rests, as request:tokens:age in ms; the oldest ones if there are many.
std::string describeUnsettled(const std::vector<programs::unsettled_reservation> &reservations, time_point now)
{
    constexpr std::size_t maxDescribed = 8;
    std::string text;
    for (const auto &entry : std::span(reservations).first(std::min(reservations.size(), maxDescribed))) {
        text += fmt::format("{}{}:{}:{}", text.empty() ? "" : ",", entry.attempt, entry.tokens,
                            millisecondsBetween(entry.since, now).count());
    }
    return reservations.size() > maxDescribed ? text + ",..." : text;
}

} // namespace

bool gateway::implementation::hasBudget(const request_context &context)
{
    return context.request.tokenBudget.has_value() && !context.request.program.empty();
}

std::string gateway::implementation::rendezvousKeyOf(const store::partition &where)
{
    return fmt::format("{}/{}", where.topic, where.number);
}

void gateway::implementation::sortByRendezvousWeight(std::vector<std::string> &daemons, const std::string &key)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(daemons.size());
    std::ranges::transform(daemons, std::back_inserter(weighted), [seed](std::string &name) {
        const auto weight = rendezvousWeight(name, seed);
        return std::pair(weight, std::move(name));
    });
    std::ranges::sort(weighted, std::greater<>());
    std::ranges::transform(weighted, daemons.begin(), [](auto &entry) { return std::move(entry.second); });
}

std::vector<std::string> gateway::implementation::rankedDeciders(const store::partition &where, time_point now) const
{
    return rankedDaemons(rendezvousKeyOf(where), now);
}

std::vector<std::string> gateway::implementation::withSelf(std::vector<std::string> names) const
{
    if (!m_shutdownBegan.has_value() || names.empty()) {
        names.push_back(m_options.self.name);
    }
    return names;
}

std::vector<std::string> gateway::implementation::rankedDaemons(const std::string &key, time_point now) const
{
    auto names = withSelf(m_peers.readyPeers(now));
    sortByRendezvousWeight(names, key);
    return names;
}

std::string gateway::implementation::firstDaemon(const std::string &key, time_point now) const
{
    return firstInRank(withSelf(m_peers.readyPeers(now)), key);
}

std::string gateway::implementation::firstInRank(std::vector<std::string> names, const std::string &key)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return std::move(*std::ranges::max_element(names, std::less<>(), [seed](const std::string &name) {
        return std::pair(rendezvousWeight(name, seed), std::string_view(name));
    }));
}

programs::budget_partition &gateway::implementation::budgetsOf(const store::partition &where)
{
    return m_budgets.try_emplace(where, where).first->second;
}

void gateway::implementation::requestReservation(request_context &context, time_point now)
{
    const auto where = programPartition(context.request.program);
    const auto names = rankedDeciders(where, now);
    if (context.decidersAsked >= std::min<std::size_t>(names.size(), maxDeciders)) {
        refuseRequest(context, result_code::BudgetUndecided, storeRetryDelay, now);
        return;
    }
    const auto &name = names[context.decidersAsked];
    context.lastDecider = name;
    ++context.decidersAsked;
    context.reservationPending = true;
    const auto reservation = reservationFor(context.request);
    const auto link = name == m_options.self.name ? std::nullopt : m_peers.linkTo(name);
    if (!link.has_value()) {
        reserveLocally(reservation, {.caller = context.id}, std::min(context.deadline, now + 2 * decisionTimeout()),
                       now);
        return;
    }
    m_pendingReservations.emplace(++m_lastPeerRequest,
                                  pending_peer_request{context.id, *link, now, now + decisionTimeout()});
    m_effects.emplace_back(send_message{*link,
                                        peers::budget_request{.id = m_lastPeerRequest,
                                                              .program = reservation.program,
                                                              .attempt = reservation.attempt,
                                                              .tokens = reservation.tokens,
                                                              .budget = reservation.budget,
                                                              .previousTurn = context.request.previousTurn}});
}

milliseconds gateway::implementation::decisionTimeout() const
{
    return baseDecisionTimeout + m_store.smoothedLatency() * storeCallsPerDecision;
}

void gateway::implementation::reserveLocally(const programs::reservation &reservation,
                                             const reservation_requester &requester, time_point deadline,
                                             time_point now)
{
    m_reservationRequesters.emplace(reservation.attempt, requester);
    budgetsOf(programPartition(reservation.program)).reserve(reservation, deadline, now);
}

bool gateway::implementation::processBudgetOutputs(time_point now)
{
    bool any = false;
    for (auto &[where, budgets] : m_budgets) {
        for (auto &output : budgets.takeOutputs()) {
            any = true;
            if (auto *started = std::get_if<programs::start_budget_call>(&output)) {
                startStoreCall(internal::budget_owner{where, started->id}, std::move(started->call), now);
            } else {
                onBudgetDecision(std::get<programs::budget_response>(output), now);
            }
        }
    }
    return any;
}

void gateway::implementation::complete(const internal::budget_owner &owner, const store::reply &result, time_point now)
{
    budgetsOf(owner.where).onReply(owner.call, result, now);
}

void gateway::implementation::logDecision(const programs::budget_response &response, time_point now)
{
    std::vector<log_field> fields{{"request", response.request.attempt},
                                  {"program", response.request.program},
                                  {"answer", programs::nameOf(response.decision)},
                                  {"budget", response.request.budget},
                                  {"asked", response.request.tokens},
                                  {"spent", response.usage.spent},
                                  {"reserved", response.usage.reserved},
                                  {"reserved_written", response.view.reservedWritten},
                                  {"reserved_unwritten", response.view.reservedUnwritten}};
    if (response.view.confirmed.has_value()) {
        fields.emplace_back("view_age_ms", millisecondsBetween(*response.view.confirmed, now).count());
    }
    if (!response.unsettled.empty()) {
        fields.emplace_back("unsettled", describeUnsettled(response.unsettled, now));
    }
    log(log_level::Info, "budget_decided", std::move(fields));
}

void gateway::implementation::onBudgetDecision(const programs::budget_response &response, time_point now)
{
    if (response.decision == programs::budget_decision::Denied && !response.uncertain.empty()) {
        checkSettlements(response, now);
        return;
    }
    const auto [first, last] = m_reservationRequesters.equal_range(response.request.attempt);
    const std::vector<std::pair<std::string, reservation_requester>> requesters(first, last);
    m_reservationRequesters.erase(first, last);
    if (response.decision != programs::budget_decision::Granted) {
        logDecision(response, now);
    }
    auto &budgets = budgetsOf(programPartition(response.request.program));
    for (const auto &[attempt, requester] : requesters) {
        auto *context = requester.caller.has_value() ? findRequest(*requester.caller) : nullptr;
        const auto &previous = context == nullptr ? requester.previousTurn : context->request.previousTurn;
        const peers::budget_reply reply{.id = requester.request,
                                        .answer = response.decision,
                                        .turnHolder = turnHolder(previous),
                                        .firstTurn = isFirstTurn(response),
                                        .previousUnsettled = budgets.isUnsettled(response.request.program, previous)};
        if (!requester.caller.has_value()) {
            m_effects.emplace_back(send_message{requester.link, reply});
        } else if (context != nullptr) {
            onReservationDecided(*context, reply, m_options.self.name, now);
        } else if (response.decision == programs::budget_decision::Granted) {
            // The caller has disconnected; the reservation is settled with no use.
            budgets.settle({.program = response.request.program, .attempt = attempt, .tokens = 0}, now);
        }
    }
}

void gateway::implementation::onReservationDecided(request_context &context, const peers::budget_reply &reply,
                                                   const std::string &decider, time_point now)
{
    context.reservationPending = false;
    context.firstTurn = reply.firstTurn;
    context.unsettledAt = reply.previousUnsettled ? std::optional(decider) : std::nullopt;
    switch (reply.answer) {
    case programs::budget_decision::Denied:
        onReservationDenied(context, reply, decider, now);
        return;
    case programs::budget_decision::Unavailable:
        refuseRequest(context, result_code::BudgetUnavailable, storeRetryDelay, now);
        return;
    case programs::budget_decision::Granted:
        break;
    }
    context.grantedBy = decider;
    if (context.historyPending) {
        resolveHistory(context, reply.turnHolder, now);
    } else {
        dispatchIfPrepared(context, now);
    }
}

// If the settlement of the previous turn was lost, its whole reservation counts. The turn itself says what it used, so
// it is read and settled, and the reservation is requested once more.
void gateway::implementation::onReservationDenied(request_context &context, const peers::budget_reply &reply,
                                                  const std::string &decider, time_point now)
{
    context.lastDecider.reset(); // There is nothing to settle after a denial.
    if (context.unsettledAt.has_value() && context.historyPending && !context.deniedUnsettled) {
        context.deniedUnsettled = true;
        resolveHistory(context, reply.turnHolder, now);
        return;
    }
    logRequest(
        log_level::Info, "budget_exceeded", context,
        {{"budget", *context.request.tokenBudget}, {"asked", context.request.maxOutputTokens}, {"decider", decider}},
        now);
    refuseRequest(context, result_code::BudgetExceeded, std::nullopt, now);
}

// ---- Messages ----

void gateway::implementation::on(link_id link, const peers::budget_request &message, time_point now)
{
    const programs::reservation reservation{
        .program = message.program, .attempt = message.attempt, .tokens = message.tokens, .budget = message.budget};
    reserveLocally(reservation,
                   {.caller = std::nullopt, .link = link, .request = message.id, .previousTurn = message.previousTurn},
                   now + decisionTimeout(), now);
}

void gateway::implementation::on(link_id link, const peers::budget_reply &message, time_point now)
{
    const auto node = m_pendingReservations.extract(message.id);
    auto *context = node ? findRequest(node.mapped().caller) : nullptr;
    if (context != nullptr && context->reservationPending) {
        onReservationDecided(*context, message, m_peers.nameOf(link), now);
    }
}

void gateway::implementation::on(link_id link, const peers::budget_use &message, time_point now)
{
    recordUsage(message, m_peers.nameOf(link), now);
}

void gateway::implementation::on(link_id link, const peers::turn_request &message, time_point now)
{
    peers::turn_reply reply{.id = message.id, .history = {}, .records = {}};
    if (const auto *text = m_turns.find(message.turn); text != nullptr && text->size() <= maxTurnReplyBytes) {
        const auto &chain = *m_turns.chainOf(message.turn);
        reply.found = true;
        reply.history = *text;
        reply.records = chain.records;
        reply.tokens = chain.tokens;
        if (chain.began.has_value()) {
            reply.beganAgo = millisecondsBetween(*chain.began, now);
        }
    }
    m_effects.emplace_back(send_message{link, std::move(reply)});
}

void gateway::implementation::on(link_id /*link*/, const peers::turn_reply &message, time_point now)
{
    const auto node = m_pendingTurnRequests.extract(message.id);
    auto *context = node ? findRequest(node.mapped().caller) : nullptr;
    if (context == nullptr || !context->historyPending) {
        return;
    }
    if (!message.found || message.records.empty()) {
        readHistoryFromStore(*context, now);
        return;
    }
    if (!reserveTexts(*context, bytesToReceive(*context, message.history.size()), now)) {
        return;
    }
    programs::turn_chain chain{.records = message.records, .began = std::nullopt, .tokens = message.tokens};
    if (message.beganAgo.has_value()) {
        // The reply was sent after the request, so this is not later than the true time.
        chain.began = node.mapped().sent - *message.beganAgo;
    }
    useHistory(*context, rope(m_texts.share(message.history.str())), std::move(chain), now);
}

// ---- Timeouts and lost links ----

void gateway::implementation::abandonPeerRequests(link_id link, time_point now)
{
    retryAbandonedPeerRequests([link](const pending_peer_request &pending) { return pending.link == link; }, now);
}

void gateway::implementation::tickBudgets(time_point now)
{
    forgetOldUsages(now);
    for (auto &[where, budgets] : m_budgets) {
        budgets.tick(now);
    }
    retryAbandonedPeerRequests([now](const pending_peer_request &pending) { return pending.deadline <= now; }, now);
}

// Gives up the peer requests that `isAbandoned` selects: the next daemon is asked for the reservation, the turn is read
// from the store, and the permit counts as denied.
void gateway::implementation::retryAbandonedPeerRequests(
    const std::function<bool(const pending_peer_request &)> &isAbandoned, time_point now)
{
    const auto take = [&isAbandoned](std::map<std::uint64_t, pending_peer_request> &pendingRequests) {
        std::vector<caller_id> callers;
        std::erase_if(pendingRequests, [&](const auto &entry) {
            const bool abandoned = isAbandoned(entry.second);
            if (abandoned) {
                callers.push_back(entry.second.caller);
            }
            return abandoned;
        });
        return callers;
    };
    const auto undecided = take(m_pendingReservations);
    const auto unread = take(m_pendingTurnRequests);
    const auto unpermitted = take(m_pendingPermits);
    for (const auto caller : undecided) {
        if (auto *context = findRequest(caller); context != nullptr && context->reservationPending) {
            requestReservation(*context, now);
        }
    }
    for (const auto caller : unread) {
        if (auto *context = findRequest(caller); context != nullptr && context->historyPending) {
            readHistoryFromStore(*context, now);
        }
    }
    for (const auto caller : unpermitted) {
        if (auto *context = findRequest(caller); context != nullptr) {
            onPermitUnanswered(*context, now);
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
    for (const auto *pendingRequests : {&m_pendingReservations, &m_pendingTurnRequests, &m_pendingPermits}) {
        std::ranges::for_each(*pendingRequests, [&](const auto &entry) { consider(entry.second.deadline); });
    }
    return earliest;
}

programs::unwritten_records gateway::implementation::unwrittenBudgetRecords() const
{
    programs::unwritten_records total;
    for (const auto &[where, budgets] : m_budgets) {
        const auto unwritten = budgets.unwrittenRecords();
        total.reservations += unwritten.reservations;
        total.settlements += unwritten.settlements;
        if (unwritten.oldest.has_value()) {
            total.oldest = std::min(total.oldest.value_or(*unwritten.oldest), *unwritten.oldest);
        }
    }
    return total;
}

void gateway::implementation::evictIdleBudgets(time_point now)
{
    for (auto &[where, budgets] : m_budgets) {
        budgets.evictIdle(now);
    }
    (void)m_turnHolders.extractIf([now](const turn_holder &known) { return now - known.since > turnHolderLifetime; });
}

} // namespace jackdawpick::gateway
