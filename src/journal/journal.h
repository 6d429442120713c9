#pragma once

// Client of one log stream: group commit, confirmation of own records by reading them back, deduplication of resent
// batches, and detection of outages. Does no I/O: requests to the log are returned as log_request values, and responses
// are passed to onAppend() and onRead().
//
//   log_stream journal("journal.addis-1.9f", self, options);
//   std::uint64_t sequence = journal.submit(program_closed{key, reason}, now);
//   for (auto &request : journal.poll(now)) { ... }            // send to the log; later:
//   for (auto &record : journal.onRead(read, now)) { ... }     // each record of the stream once, in log order
//
// At most one append and one read are in flight. The order of one writer's records is preserved.

#include "records/records.h"

#include <deque>
#include <map>

namespace jackdawpick
{

struct append_request
{
    std::string stream;
    std::string payload;
};

struct read_request
{
    std::string stream;
    log_offset from = 1;
    std::uint32_t limit = 0; // Batches.
    std::uint64_t tag = 0; // Copied into the response; 0 for reads by log_stream.
};

using log_request = std::variant<append_request, read_request>;

// Response to an append. Without an offset, the append failed or its response was lost; it may have taken effect.
struct append_result
{
    std::string stream;
    std::optional<log_offset> offset;
};

struct raw_record
{
    log_offset offset = 0;
    std::string payload;
};

// Response to a read. `first` is the oldest retained offset, `end` the offset that the next append will get.
struct read_result
{
    std::string stream;
    std::uint64_t tag = 0;
    bool ok = false;
    std::vector<raw_record> records;
    log_offset first = 1;
    log_offset end = 1;
};

// A record in log order. Records of one batch share the batch's offset.
struct stream_record
{
    log_offset offset = 0;
    daemon_identity writer;
    std::uint64_t sequence = 0;
    bool own = false; // Written by this incarnation: the record is now durable.
    log_record record;
};

struct stream_options
{
    std::chrono::milliseconds minAppendInterval{40}; // Between the starts of two appends.
    std::chrono::milliseconds pollInterval{0}; // Between two reads when nothing is appended; 0: no polling.
    std::chrono::milliseconds responseTimeout{1000}; // A request without a response for this long has failed.
    std::chrono::milliseconds retryDelay{200}; // After a first failure; doubles up to maxRetryDelay.
    std::chrono::milliseconds maxRetryDelay{2000};
    std::size_t maxBufferedBytes = 8U << 20U;
    std::size_t maxBatchBytes = 1U << 20U;
    std::uint32_t readLimit = 256; // Batches per read.
};

class log_stream
{
public:
    // `firstSequence` continues the sequence numbers of an earlier object of this incarnation on the same stream. If
    // they started again at 1, readers would drop the records as duplicates.
    log_stream(std::string name, daemon_identity self, stream_options options, std::uint64_t firstSequence = 1);

    [[nodiscard]] const std::string &name() const;

    // Buffers a record and returns its sequence number. Callers check full() first; records beyond the bound are still
    // accepted, so that calls already in flight can always be settled.
    std::uint64_t submit(log_record record, time_point now);
    [[nodiscard]] bool full() const;

    // Requests that are due at `now`.
    [[nodiscard]] std::vector<log_request> poll(time_point now);
    void onAppend(const append_result &result, time_point now);
    // Returns the new records of the stream, each once, in log order.
    [[nodiscard]] std::vector<stream_record> onRead(const read_result &result, time_point now);
    // Requests a read at the next poll(), for example after a hint from a peer.
    void requestRead();

    // True once a read has reached the end of the stream.
    [[nodiscard]] bool caughtUp() const;
    // False after an append or read failed or timed out, until the next success.
    [[nodiscard]] bool healthy() const;
    // Time since which healthy() has been false; empty if healthy.
    [[nodiscard]] std::optional<time_point> unhealthySince() const;
    // True if records after the last one read expired before they were read.
    [[nodiscard]] bool missedRecords() const;
    // Expected time until a record submitted now is read back.
    [[nodiscard]] std::chrono::milliseconds expectedCommitLatency() const;
    [[nodiscard]] std::size_t bufferedBytes() const;
    [[nodiscard]] std::size_t unconfirmedRecords() const;
    [[nodiscard]] log_offset readPosition() const; // Offset of the next batch to read.
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // Sequence number that the next submitted record will get.
    [[nodiscard]] std::uint64_t nextSequence() const;

    void setMinAppendInterval(std::chrono::milliseconds interval);

private:
    struct buffered_record
    {
        std::uint64_t sequence = 0;
        std::size_t bytes = 0;
        log_record record;
    };

    // A batch that has been sent at least once. A resend has the same bytes: readers drop duplicates by sequence
    // number, so a batch with other records under the same numbers would lose records.
    struct sent_batch
    {
        std::uint64_t firstSequence = 0;
        std::uint64_t lastSequence = 0;
        std::size_t bytes = 0;
        std::string payload;
        time_point firstSent;
    };

    // State of the batch that was sent last.
    enum class batch_state : std::uint8_t {
        None,
        Sent, // Waiting for the response to the append.
        Unconfirmed, // Acknowledged, failed or timed out; a read started after that decides whether the batch is in the
                     // stream.
        NotInStream, // Must be sent again.
    };

    // Backoff after consecutive failures of one kind of request.
    struct failure_state
    {
        std::uint32_t count = 0;
        time_point retryAt;
        std::optional<time_point> since;
    };

    void recordFailure(failure_state &state, time_point now) const;
    void expireRequests(time_point now);
    void appendFailed(time_point now);
    void readFailed(time_point now);
    void awaitConfirmation();
    [[nodiscard]] bool appendReady() const;
    [[nodiscard]] time_point appendDue() const;
    [[nodiscard]] std::optional<time_point> readDue() const;
    void sendBatch(time_point now);
    void deliver(const raw_record &raw, std::vector<stream_record> &out, time_point now);
    void confirmThrough(std::uint64_t sequence, time_point now);
    void evictExpiredWriters(log_offset first);

    struct writer_position
    {
        std::uint64_t sequence = 0; // Highest sequence number delivered.
        log_offset offset = 0;
    };

    std::string m_name;
    daemon_identity m_self;
    stream_options m_options;

    std::uint64_t m_nextSequence = 1;
    std::deque<buffered_record> m_pending;
    std::size_t m_pendingBytes = 0;
    std::optional<sent_batch> m_sentBatch;
    batch_state m_batchState = batch_state::None;
    std::optional<time_point> m_appendStarted; // Set while an append is in flight.
    std::optional<time_point> m_lastAppend;
    failure_state m_appendFailures;
    duration m_averageCommitLatency{0};

    log_offset m_position = 1;
    std::map<daemon_identity, writer_position> m_writers;
    std::optional<time_point> m_readStarted; // Set while a read is in flight.
    std::optional<time_point> m_lastRead;
    bool m_readRequested = false;
    bool m_readDecidesBatch = false; // The read in flight started after the batch became Unconfirmed.
    failure_state m_readFailures;
    bool m_hasRead = false;
    bool m_caughtUp = false;
    bool m_missedRecords = false;
};

} // namespace jackdawpick
