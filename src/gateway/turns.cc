// Histories of agent programs: finds the text of the turns that a request continues.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_delays.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <numeric>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetryDelay;
using std::chrono::milliseconds;

// How long a request may wait for its history; after that a retry by the caller is more likely to succeed.
constexpr milliseconds historyTimeout{1200};
// How long a peer may take to send a turn before the turn is read from the store instead.
constexpr milliseconds peerTurnTimeout{60};
// Failed reads that are repeated for one request; a store that loses a third of its replies fails some of a chain.
constexpr unsigned maxFailedTurnReads = 8;
// A read of one record asks for its size and for the bytes around it, rounded up; a record that is cut off is not read.
constexpr std::uint32_t bytesPerKilobyte = 1000;
constexpr std::uint32_t readKilobytesReserve = 2;
constexpr std::string_view turnTopicPrefix = "turns";

store::partition partitionFor(std::string_view prefix, const std::string &key, std::uint32_t topics,
                              std::uint32_t parts)
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const auto topic = static_cast<std::uint32_t>(hash % topics);
    const auto part = static_cast<std::uint32_t>((hash / topics) % parts);
    return {fmt::format("{}-{}", prefix, topic), part};
}

} // namespace

store::partition gateway::implementation::programPartition(const std::string &program) const
{
    return partitionFor("programs", program, m_options.layout.programTopics, m_options.layout.partsPerTopic);
}

store::partition gateway::implementation::turnPartition(const std::string &turn, bool fallback) const
{
    const auto &layout = m_options.layout;
    return partitionFor(turnTopicPrefix, fallback ? turn + "/2" : turn, layout.turnTopics, layout.partsPerTopic);
}

store::partition gateway::implementation::turnPartitionAt(std::uint32_t topic, std::uint32_t part)
{
    return {fmt::format("{}-{}", turnTopicPrefix, topic), part};
}

// The location of a record in a partition of turns.
programs::turn_location gateway::implementation::locationOf(const store::partition &where, std::uint64_t offset,
                                                            std::size_t bytes)
{
    programs::turn_location place{
        .part = static_cast<std::uint16_t>(where.number), .bytes = static_cast<std::uint32_t>(bytes), .offset = offset};
    const auto number = std::string_view(where.topic).substr(where.topic.rfind('-') + 1);
    std::from_chars(number.data(), number.data() + number.size(), place.topic);
    return place;
}

// `holder` is a daemon that has the text of the previous turn; empty if none is known.
void gateway::implementation::resolveHistory(request_context &context, const std::string &holder, time_point now)
{
    const auto &turn = context.request.previousTurn;
    if (const auto *text = m_turns.find(turn); text != nullptr) {
        useHistory(context, *text, *m_turns.chainOf(turn), now);
        return;
    }
    const auto link = m_peers.linkTo(holder);
    if (!link.has_value()) {
        readHistoryFromStore(context, now);
        return;
    }
    m_pendingTurnRequests.emplace(++m_lastPeerRequest,
                                  pending_peer_request{context.id, *link, now, now + peerTurnTimeout});
    m_effects.emplace_back(send_message{*link, peers::turn_request{m_lastPeerRequest, turn}});
}

void gateway::implementation::useHistory(request_context &context, rope history, programs::turn_chain chain,
                                         time_point now)
{
    context.history = std::move(history);
    context.chain = std::move(chain);
    context.historyPending = false;
    if (!reserveTexts(context, bytesToWrite(context), now)) {
        return;
    }
    settlePreviousTurn(context, now);
    if (context.deniedUnsettled && !context.grantedBy.has_value()) {
        context.decidersAsked = 0;
        requestReservation(context, now);
    } else {
        dispatchIfPrepared(context, now);
    }
}

void gateway::implementation::readHistoryFromStore(request_context &context, time_point now)
{
    const auto &turn = context.request.previousTurn;
    if (!storeAvailable(now)) {
        refuseRequest(context, result_code::LogUnavailable, storeRetryDelay, now);
        return;
    }
    if (const auto *chain = m_turns.chainOf(turn); chain != nullptr) {
        readChain(context, chain->records, now);
        return;
    }
    const auto where = turnPartition(turn, context.useFallbackPartition);
    const auto ticket = m_log.catchUp(where, std::min(context.deadline, now + historyTimeout / 2));
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::History});
}

// Called after the partition of the previous turn was read; `readToEnd` is false if the end was not reached in time.
void gateway::implementation::onHistoryPartitionRead(request_context &context, bool readToEnd, time_point now)
{
    const auto &turn = context.request.previousTurn;
    context.historyReadIncomplete = context.historyReadIncomplete || !readToEnd;
    if (const auto *text = m_turns.find(turn); text != nullptr) {
        useHistory(context, *text, *m_turns.chainOf(turn), now);
    } else if (m_turns.chainOf(turn) != nullptr) {
        readHistoryFromStore(context, now);
    } else if (!context.useFallbackPartition) {
        context.useFallbackPartition = true;
        readHistoryFromStore(context, now);
    } else if (context.historyReadIncomplete || isForgotten(turn)) {
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
    } else {
        refuseRequest(context, result_code::UnknownTurn, std::nullopt, now);
    }
}

// Whether a record of the turn may have been read and forgotten since.
bool gateway::implementation::isForgotten(const std::string &turn) const
{
    return m_log.isRewound(turnPartition(turn, false)) || m_log.isRewound(turnPartition(turn, true));
}

// What was evicted for lack of room is read again if anybody looks for it.
void gateway::implementation::rewindEvictedTurns()
{
    for (const auto &place : m_turns.takeEvicted()) {
        m_log.rewind(turnPartitionAt(place.topic, place.part), place.offset);
    }
}

// The age of a record that is read from the log is not known. Segments are read by their locations alone.
void gateway::implementation::onTurnDelivered(const programs::turn &turn, const programs::turn_location &location,
                                              time_point now)
{
    if (isSegmentId(turn.id)) {
        return;
    }
    programs::turn_chain chain{.records = turn.ancestors, .began = std::nullopt, .tokens = turn.tokens};
    chain.records.push_back(location);
    if (m_turns.chainOf(turn.id) != nullptr) {
        return;
    }
    if (auto history = programs::joinHistory({turn}, turn.id, m_texts); history.has_value()) {
        m_turns.add(turn.id, std::move(*history), std::move(chain), now);
    } else {
        m_turns.addChain(turn.id, std::move(chain), now);
    }
    rewindEvictedTurns();
}

// Reads all records of the chain at once: one after the other, a chain of 11 turns would take 11 round trips.
void gateway::implementation::readChain(request_context &context, std::vector<programs::turn_location> places,
                                        time_point now)
{
    const auto historyBytes =
        std::accumulate(places.begin(), places.end(), std::size_t{0},
                        [](std::size_t sum, const programs::turn_location &place) { return sum + place.bytes; });
    if (!reserveTexts(context, bytesToReceive(context, historyBytes), now)) {
        return;
    }
    const auto count = places.size();
    context.historyRead = internal::history_read{.places = std::move(places),
                                                 .records = std::vector<std::optional<programs::turn>>(count)};
    for (std::size_t i = 0; i < count; ++i) {
        readTurn(context, i, now);
    }
}

void gateway::implementation::readTurn(const request_context &context, std::size_t index, time_point now)
{
    const auto &place = context.historyRead->places.at(index);
    store::read_call call{.where = turnPartitionAt(place.topic, place.part), .from = place.offset};
    if (context.historyRead->bounded) {
        call.maxKilobytes = place.bytes / bytesPerKilobyte + readKilobytesReserve;
    }
    startStoreCall(internal::turn_read_owner{context.id, index}, std::move(call), now);
}

// A reply without records although the partition goes on has been cut off.
bool gateway::implementation::canRepeatRead(const request_context &context, std::size_t index,
                                            const store::reply &result, time_point now)
{
    const auto &read = *context.historyRead;
    const auto *found = std::get_if<store::records_read>(&result);
    const bool cutOff = found != nullptr && found->records.empty() && found->end > read.places.at(index).offset;
    return (cutOff || std::holds_alternative<store::failure>(result)) && read.failures < maxFailedTurnReads
        && millisecondsBetween(context.arrived, now) < historyTimeout;
}

// Handles the reply to a read of one record of a chain.
void gateway::implementation::onTurnRead(request_context &context, std::size_t index, const store::reply &result,
                                         time_point now)
{
    auto &read = context.historyRead;
    if (!read.has_value() || !context.historyPending) {
        return;
    }
    const auto *found = std::get_if<store::records_read>(&result);
    auto record =
        found != nullptr && !found->records.empty() && found->records.front().offset == read->places.at(index).offset
        ? programs::decodeRecord(found->records.front().value)
        : std::nullopt;
    auto *turn = record.has_value() ? std::get_if<programs::turn>(&*record) : nullptr;
    if (turn != nullptr) {
        read->records.at(index) = std::move(*turn);
    } else if (canRepeatRead(context, index, result, now)) {
        ++read->failures;
        read->bounded = read->bounded && found == nullptr;
        readTurn(context, index, now);
        return;
    } else {
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
        return;
    }
    if (!std::ranges::all_of(read->records, [](const auto &entry) { return entry.has_value(); })) {
        return;
    }
    std::vector<programs::turn> records;
    std::ranges::transform(read->records, std::back_inserter(records), [](auto &entry) { return std::move(*entry); });
    const auto tokens = records.back().tokens;
    const auto recordCount = records.size();
    auto history = programs::joinHistory(std::move(records), context.request.previousTurn, m_texts);
    if (!history.has_value()) {
        logRequest(log_level::Error, "history_inconsistent", context,
                   {{"turn", context.request.previousTurn}, {"records", recordCount}}, now);
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
        return;
    }
    programs::turn_chain chain{.records = std::move(read->places), .began = std::nullopt, .tokens = tokens};
    read.reset();
    useHistory(context, std::move(*history), std::move(chain), now);
}

void gateway::implementation::dispatchIfPrepared(request_context &context, time_point now)
{
    const bool isPrepared = !context.reservationPending && !context.historyPending && !context.quotaPending
        && context.phase == request_phase::Preparing;
    if (isPrepared && admit(context, now)) {
        dispatch(context, now);
    }
}

} // namespace jackdawpick::gateway
