#include "journal/journal.h"

#include <algorithm>
#include <limits>

namespace jackdawpick
{

namespace
{

// Above this number of writers, those without a record in the retained part of the stream are evicted. Each restart of
// a daemon creates a writer, so the memory of a long-lived reader would otherwise grow without bound.
constexpr std::size_t maxTrackedWriters = 4096;

std::optional<time_point> earlier(std::optional<time_point> a, std::optional<time_point> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

} // namespace

log_stream::log_stream(std::string name, daemon_identity self, stream_options options, std::uint64_t firstSequence)
    : m_name(std::move(name))
    , m_self(std::move(self))
    , m_options(options)
    , m_nextSequence(firstSequence)
{
}

const std::string &log_stream::name() const
{
    return m_name;
}

std::uint64_t log_stream::submit(log_record record, time_point /*now*/)
{
    const std::size_t bytes = estimateSize(record);
    m_pending.push_back({m_nextSequence, bytes, std::move(record)});
    m_pendingBytes += bytes;
    return m_nextSequence++;
}

bool log_stream::full() const
{
    return bufferedBytes() >= m_options.maxBufferedBytes;
}

std::vector<log_request> log_stream::poll(time_point now)
{
    expireRequests(now);
    std::vector<log_request> requests;
    if (appendReady() && now >= appendDue()) {
        sendBatch(now);
        requests.emplace_back(append_request{m_name, m_sentBatch->payload});
    }
    const auto due = m_readStarted ? std::nullopt : readDue();
    if (due && now >= *due) {
        m_readStarted = now;
        m_lastRead = now;
        m_readRequested = false;
        m_readDecidesBatch = m_batchState == batch_state::Unconfirmed;
        requests.emplace_back(read_request{m_name, m_position, m_options.readLimit});
    }
    return requests;
}

void log_stream::sendBatch(time_point now)
{
    if (!m_sentBatch) {
        record_batch batch{.writer = m_self, .firstSequence = m_pending.front().sequence, .records = {}};
        std::size_t bytes = 0;
        while (!m_pending.empty() && (bytes == 0 || bytes + m_pending.front().bytes <= m_options.maxBatchBytes)) {
            bytes += m_pending.front().bytes;
            batch.records.push_back(std::move(m_pending.front().record));
            m_pending.pop_front();
        }
        m_pendingBytes -= bytes;
        m_sentBatch = sent_batch{.firstSequence = batch.firstSequence,
                                 .lastSequence = batch.firstSequence + batch.records.size() - 1,
                                 .bytes = bytes,
                                 .payload = encodeBatch(batch),
                                 .firstSent = now};
    }
    m_batchState = batch_state::Sent;
    m_appendStarted = now;
    m_lastAppend = now;
}

void log_stream::onAppend(const append_result &result, time_point now)
{
    if (!m_appendStarted) {
        // A late response to an append that timed out; the batch may be in the stream now.
        m_readRequested = m_readRequested || result.offset.has_value();
        return;
    }
    if (!result.offset) {
        appendFailed(now);
        return;
    }
    m_appendStarted.reset();
    m_appendFailures = {};
    awaitConfirmation();
}

// Responses carry no request id, so the late response to an append that timed out may be mistaken for that to a later
// append. Therefore even a successful response only starts a read, and the next batch waits until this one has been
// read back.
void log_stream::awaitConfirmation()
{
    if (m_batchState == batch_state::Sent) {
        m_batchState = batch_state::Unconfirmed;
        m_readRequested = true;
        m_readDecidesBatch = false;
    }
}

void log_stream::appendFailed(time_point now)
{
    m_appendStarted.reset();
    // If the batch has already been read back, the missing response does not matter.
    if (m_batchState == batch_state::Sent) {
        recordFailure(m_appendFailures, now);
        awaitConfirmation();
    }
}

void log_stream::readFailed(time_point now)
{
    m_readStarted.reset();
    m_readRequested = true;
    recordFailure(m_readFailures, now);
}

void log_stream::recordFailure(failure_state &state, time_point now) const
{
    auto delay = m_options.retryDelay;
    for (std::uint32_t i = 0; i < state.count && delay < m_options.maxRetryDelay; ++i) {
        delay *= 2;
    }
    state.count += 1;
    state.retryAt = now + std::min(delay, m_options.maxRetryDelay);
    state.since = state.since ? state.since : std::optional(now);
}

void log_stream::expireRequests(time_point now)
{
    if (m_appendStarted && now >= *m_appendStarted + m_options.responseTimeout) {
        appendFailed(now);
    }
    if (m_readStarted && now >= *m_readStarted + m_options.responseTimeout) {
        readFailed(now);
    }
}

std::vector<stream_record> log_stream::onRead(const read_result &result, time_point now)
{
    if (!result.ok) {
        if (m_readStarted) {
            readFailed(now);
        }
        return {};
    }
    if (m_position < result.first) {
        m_missedRecords = m_missedRecords || m_hasRead;
        m_position = result.first;
    }
    if (!result.records.empty() && result.records.front().offset > m_position) {
        return {}; // The response to a read from another position; records in between would be lost.
    }
    std::vector<stream_record> out;
    for (const auto &raw : result.records) {
        deliver(raw, out, now);
    }
    m_hasRead = true;
    m_readStarted.reset();
    m_readFailures = {};
    const bool reachedEnd = m_position >= result.end;
    m_caughtUp = m_caughtUp || reachedEnd;
    m_readRequested = m_readRequested || !reachedEnd;
    if (reachedEnd && m_readDecidesBatch && m_batchState == batch_state::Unconfirmed) {
        m_batchState = batch_state::NotInStream;
    }
    evictExpiredWriters(result.first);
    return out;
}

void log_stream::deliver(const raw_record &raw, std::vector<stream_record> &out, time_point now)
{
    if (raw.offset < m_position) {
        return;
    }
    m_position = raw.offset + 1;
    auto batch = decodeBatch(raw.payload);
    if (!batch || batch->records.empty()
        || batch->firstSequence > std::numeric_limits<std::uint64_t>::max() - batch->records.size()) {
        return; // Not a valid batch. All readers skip it, so they see the same records.
    }
    const bool own = batch->writer == m_self;
    writer_position &lastDelivered = m_writers[batch->writer];
    lastDelivered.offset = raw.offset;
    std::uint64_t sequence = batch->firstSequence;
    for (auto &record : batch->records) {
        if (sequence > lastDelivered.sequence) {
            lastDelivered.sequence = sequence;
            out.push_back({raw.offset, batch->writer, sequence, own, std::move(record)});
        }
        ++sequence;
    }
    if (own) {
        confirmThrough(lastDelivered.sequence, now);
    }
}

void log_stream::confirmThrough(std::uint64_t sequence, time_point now)
{
    if (!m_sentBatch || sequence < m_sentBatch->lastSequence) {
        return;
    }
    constexpr int weight = 8; // Of earlier samples in the moving average
    const duration taken = now - m_sentBatch->firstSent;
    m_averageCommitLatency = m_averageCommitLatency == duration{0}
        ? taken
        : m_averageCommitLatency + (taken - m_averageCommitLatency) / weight;
    m_sentBatch.reset();
    m_batchState = batch_state::None;
    m_appendFailures = {};
}

void log_stream::evictExpiredWriters(log_offset first)
{
    if (m_writers.size() > maxTrackedWriters) {
        std::erase_if(m_writers, [first](const auto &entry) { return entry.second.offset < first; });
    }
}

void log_stream::requestRead()
{
    m_readRequested = true;
}

bool log_stream::appendReady() const
{
    const bool ready = m_sentBatch ? m_batchState == batch_state::NotInStream : !m_pending.empty();
    return ready && !m_appendStarted;
}

time_point log_stream::appendDue() const
{
    const time_point spaced = m_lastAppend ? *m_lastAppend + m_options.minAppendInterval : time_point{};
    return std::max(spaced, m_appendFailures.retryAt);
}

std::optional<time_point> log_stream::readDue() const
{
    if (m_readRequested) {
        return m_readFailures.retryAt;
    }
    if (m_options.pollInterval.count() == 0) {
        return std::nullopt;
    }
    return m_lastRead ? std::max(*m_lastRead + m_options.pollInterval, m_readFailures.retryAt) : time_point{};
}

bool log_stream::caughtUp() const
{
    return m_caughtUp;
}

bool log_stream::healthy() const
{
    return !unhealthySince();
}

std::optional<time_point> log_stream::unhealthySince() const
{
    return earlier(m_appendFailures.since, m_readFailures.since);
}

bool log_stream::missedRecords() const
{
    return m_missedRecords;
}

std::chrono::milliseconds log_stream::expectedCommitLatency() const
{
    const auto average = std::chrono::ceil<std::chrono::milliseconds>(m_averageCommitLatency);
    // A record submitted now waits for the batch in flight, if any, and then for the commit of its own batch.
    const auto waiting = m_sentBatch ? std::max(average, m_options.minAppendInterval) : m_options.minAppendInterval / 2;
    return waiting + average;
}

std::size_t log_stream::bufferedBytes() const
{
    return m_pendingBytes + (m_sentBatch ? m_sentBatch->bytes : 0);
}

std::size_t log_stream::unconfirmedRecords() const
{
    return m_pending.size() + (m_sentBatch ? m_sentBatch->lastSequence - m_sentBatch->firstSequence + 1 : 0);
}

log_offset log_stream::readPosition() const
{
    return m_position;
}

std::optional<time_point> log_stream::nextDeadline() const
{
    const auto append = m_appendStarted ? std::optional(*m_appendStarted + m_options.responseTimeout)
        : appendReady()                 ? std::optional(appendDue())
                                        : std::nullopt;
    const auto read = m_readStarted ? std::optional(*m_readStarted + m_options.responseTimeout) : readDue();
    return earlier(append, read);
}

std::uint64_t log_stream::nextSequence() const
{
    return m_nextSequence;
}

void log_stream::setMinAppendInterval(std::chrono::milliseconds interval)
{
    m_options.minAppendInterval = interval;
}

} // namespace jackdawpick
