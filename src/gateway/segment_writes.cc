// Writes texts that do not fit into the record of a turn in records of their own, the segments: histories whose records
// would be deleted before the retention of the turn ends, and long inputs. They are known when the request is
// dispatched, so they are written while the endpoint works, and the end of the response waits for one record only.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Time until a segment that neither of its partitions took is tried again: while the endpoint works, and while the end
// of the response waits.
constexpr milliseconds retryDelayWhileDispatched{1000};
constexpr milliseconds retryDelayAtEnd{40};
// Stands in the ids of segments between that of the turn and their number. No request can name it.
constexpr char segmentMark = '\n';

} // namespace

// What is to be written before the response: all of it if the records of the chain are too old, else the input, unless
// they hold it.
rope gateway::implementation::textToWrite(const request_context &context, bool rewrites)
{
    if (rewrites) {
        return context.history + rope(context.input);
    }
    return context.inputWritten ? rope() : rope(context.input);
}

// When the history, the input or both are to be written in segments; unset if the record of the turn can hold them.
std::optional<time_point> gateway::implementation::segmentsDueAt(const request_context &context, time_point now) const
{
    if (!context.route->retainsTurns) {
        return std::nullopt;
    }
    if (!context.inputWritten && context.input.size() > maxSegmentBytes) {
        return now;
    }
    const auto &chain = context.chain;
    if (chain.records.empty() || context.history.size() + context.input.size() <= maxSegmentBytes) {
        return std::nullopt;
    }
    return chain.began.has_value() ? std::max(now, *chain.began + checkpointAge()) : now;
}

// Plans the next step of writing segments; replaces the one planned before.
void gateway::implementation::planSegments(request_context &context, std::optional<time_point> when)
{
    if (context.segmentsDue.has_value()) {
        m_segmentsDue.erase({*context.segmentsDue, context.id});
    }
    context.segmentsDue = when;
    if (when.has_value()) {
        m_segmentsDue.emplace(*when, context.id);
    }
}

void gateway::implementation::continueDueSegments(time_point now)
{
    while (!m_segmentsDue.empty() && m_segmentsDue.begin()->first <= now) {
        auto &context = m_requests.at(m_segmentsDue.begin()->second);
        planSegments(context, std::nullopt);
        if (context.segmentedWrite.has_value()) {
            retrySegments(context, now);
        } else if (context.phase == request_phase::Dispatched) {
            const bool rewrites = reachesBackTooFar(context, now);
            const auto text = textToWrite(context, rewrites);
            startSegments(context, rewrites, text, text.size(), now);
        }
    }
}

std::optional<time_point> gateway::implementation::nextSegments() const
{
    return m_segmentsDue.empty() ? std::nullopt : std::optional(m_segmentsDue.begin()->first);
}

bool gateway::implementation::isSegmentId(std::string_view id)
{
    return id.find(segmentMark) != std::string_view::npos;
}

// Writes that much of the text in segments, which form a chain like turns do: one of their own if `rewrites` is set,
// else after the records of the request's chain.
void gateway::implementation::startSegments(request_context &context, bool rewrites, const rope &text,
                                            std::size_t bytes, time_point now)
{
    auto &write = context.segmentedWrite.emplace();
    write.before = rewrites ? programs::turn_chain{} : context.chain;
    write.began = now;
    auto previous = rewrites ? std::string() : context.previousRecord;
    for (std::size_t written = 0; written < bytes; written += maxSegmentBytes) {
        const auto number = context.segmentCount++;
        const programs::turn piece{.id = fmt::format("{}{}{}", context.request.attempt, segmentMark, number),
                                   .previous = std::exchange(previous, {}),
                                   .text = text.substr(written, std::min(maxSegmentBytes, bytes - written)),
                                   .ancestors = {}};
        previous = piece.id;
        write.segments.push_back({.number = number,
                                  .id = piece.id,
                                  .record = shareRecord(context, programs::encodeRecord(piece)),
                                  .useFallbackPartition = isFailing(turnPartition(piece.id, false), now),
                                  .location = std::nullopt});
        appendSegment(context, write.segments.back(), now);
    }
}

void gateway::implementation::appendSegment(const request_context &context, internal::segment &segment, time_point now)
{
    segment.retryPending = false;
    auto deadline = now + primaryTimeout();
    if (context.phase == request_phase::WritingTurn) {
        deadline = std::min(deadline, segmentsDeadline(context));
    }
    const auto ticket = m_log.append(turnPartition(segment.id, segment.useFallbackPartition), segment.record, deadline);
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::WriteSegment, segment.number});
}

void gateway::implementation::retrySegments(request_context &context, time_point now)
{
    const bool atEnd = context.phase == request_phase::WritingTurn;
    if (atEnd && segmentsDeadline(context) <= now) {
        abandonSegments(context, now);
        return;
    }
    for (auto &segment : context.segmentedWrite->segments) {
        if (segment.retryPending) {
            appendSegment(context, segment, now);
        }
    }
    if (atEnd) {
        planSegments(context, segmentsDeadline(context));
    }
}

void gateway::implementation::onSegmentWritten(request_context &context, std::size_t number,
                                               const store::ticket_result &result, time_point now)
{
    if (!context.segmentedWrite.has_value()) {
        return;
    }
    auto &segments = context.segmentedWrite->segments;
    const auto segment = std::ranges::find(segments, number, &internal::segment::number);
    if (segment == segments.end()) {
        return; // Of a write that was abandoned.
    }
    const auto where = turnPartition(segment->id, segment->useFallbackPartition);
    if (!result.done) {
        onSegmentFailed(context, *segment, where, now);
        return;
    }
    segment->location = locationOf(where, result.offset, segment->record.size());
    markTurnAppend(where, result.offset + 1, now);
    if (std::ranges::all_of(segments, [](const auto &entry) { return entry.location.has_value(); })) {
        onAllSegmentsWritten(context, now);
    }
}

// Tries the other partition; both are tried again after a delay.
void gateway::implementation::onSegmentFailed(request_context &context, internal::segment &segment,
                                              const store::partition &where, time_point now)
{
    const bool wasPrimary = !segment.useFallbackPartition;
    segment.useFallbackPartition = wasPrimary;
    if (wasPrimary) {
        markFailing(where, now);
        appendSegment(context, segment, now);
        return;
    }
    segment.retryPending = true;
    const bool atEnd = context.phase == request_phase::WritingTurn;
    const auto retryAt = now + (atEnd ? retryDelayAtEnd : retryDelayWhileDispatched);
    planSegments(context, std::min(context.segmentsDue.value_or(retryAt), retryAt));
}

void gateway::implementation::onAllSegmentsWritten(request_context &context, time_point now)
{
    const auto write = *std::exchange(context.segmentedWrite, std::nullopt);
    context.chain = write.before;
    if (context.chain.records.empty()) {
        context.chain.began = write.began;
    }
    std::ranges::transform(write.segments, std::back_inserter(context.chain.records),
                           [](const auto &entry) { return *entry.location; });
    context.previousRecord = write.segments.back().id;
    context.inputWritten = true;
    logRequest(log_level::Info, "segments_written", context,
               {{"segments", write.segments.size()},
                {"records", context.chain.records.size()},
                {"took_ms", millisecondsBetween(write.began, now).count()},
                {"response_waits", context.phase == request_phase::WritingTurn}},
               now);
    if (write.rest.has_value()) {
        planSegments(context, std::nullopt);
        writeTurnRecord(context, *write.rest, now);
    } else if (context.phase == request_phase::WritingTurn) {
        planSegments(context, std::nullopt);
        writeTurn(context, now);
    } else {
        planSegments(context, segmentsDueAt(context, now));
    }
}

// The end of the response waits no longer. The turn rests on the records of its old chain if these are kept for long
// enough; otherwise it would look whole and could not be continued later.
void gateway::implementation::abandonSegments(request_context &context, time_point now)
{
    context.segmentedWrite.reset();
    planSegments(context, std::nullopt);
    logRequest(log_level::Warning, "segment_not_written", context, chainFields(context.chain, now), now);
    const auto text = textToWrite(context, false) + rope(context.response);
    if (text.size() <= maxSegmentBytes && outlivesRetention(context.chain, context.turnWriteDeadline)) {
        writeTurnRecord(context, text.str(), now);
    } else {
        breakOffUnkept(context, now);
    }
}

} // namespace jackdawpick::gateway
