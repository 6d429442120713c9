#pragma once

// Client of one log stream: group commit, read back, removal of repeated batches and outage state. Pure: requests to
// the log go out as log_request values, answers come in through onAppend() and onRead().
//
//   log_stream journal("journal.addis-1.9f", self, options);
//   std::uint64_t sequence = journal.submit(program_closed{key, reason}, now);
//   for (auto &request : journal.poll(now)) { ... }            // hand to the log, later:
//   for (auto &record : journal.onRead(read, now)) { ... }     // every record of the stream once, in log order
//
// One append and one read are in flight at most. Records of one writer keep their order.

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
    std::uint64_t tag = 0; // Copied into the answer; 0 for reads by log_stream.
};

using log_request = std::variant<append_request, read_request>;

// Answer to an append. Without an offset the append failed or its answer was lost; it may have taken effect.
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

// Answer to a read. `first` is the oldest offset still kept, `end` the offset that the next append will get.
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
    std::chrono::milliseconds minAppendInterval{40}; // Lower bound between the starts of two appends.
    std::chrono::milliseconds pollInterval{0}; // Reads the stream this often without own appends; 0: never.
    std::chrono::milliseconds responseTimeout{1000}; // An answer this late counts as lost.
    std::chrono::milliseconds retryDelay{200}; // First delay after a failure; doubles up to maxRetryDelay.
    std::chrono::milliseconds maxRetryDelay{2000};
    std::size_t maxBufferedBytes = 8U << 20U;
    std::size_t maxBatchBytes = 1U << 20U;
    std::uint32_t readLimit = 256; // Batches per read.
};

class log_stream
{
public:
    // `firstSequence` continues the numbers of an earlier object of this incarnation on the same stream; starting again
    // at 1 would make readers drop the records as repeated.
    log_stream(std::string name, daemon_identity self, stream_options options, std::uint64_t firstSequence = 1);

    [[nodiscard]] const std::string &name() const;

    // Buffers a record and returns its sequence number. The caller asks full() first; records beyond the bound are
    // still accepted, so that settling calls already in flight never fails.
    std::uint64_t submit(log_record record, time_point now);
    [[nodiscard]] bool full() const;

    // Requests that are due at `now`.
    [[nodiscard]] std::vector<log_request> poll(time_point now);
    void onAppend(const append_result &result, time_point now);
    // New records of the stream, each once, in log order.
    [[nodiscard]] std::vector<stream_record> onRead(const read_result &result, time_point now);
    // Asks for a read at the next poll(), for example after a hint from a peer.
    void requestRead();

    // True once a read has reached the end of the stream.
    [[nodiscard]] bool caughtUp() const;
    // False after an append or read failed or timed out, until the next success.
    [[nodiscard]] bool healthy() const;
    // Since when healthy() has been false.
    [[nodiscard]] std::optional<time_point> unhealthySince() const;
    // Records between the last one read and the oldest kept have expired: the reader has missed records.
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

    // A batch that has been sent at least once. It keeps its bytes on a resend: readers drop the repeat by its sequence
    // numbers, so a changed batch under the same numbers would lose records.
    struct offered_batch
    {
        std::uint64_t firstSequence = 0;
        std::uint64_t lastSequence = 0;
        std::size_t bytes = 0;
        std::string payload;
        time_point firstSent;
    };

    // State of the offered batch.
    enum class offer_state : std::uint8_t {
        None,
        Sent, // The answer to the append is outstanding.
        Searching, // Answered, failed or lost; a read begun after that decides whether the batch is in the stream.
        Absent, // Not in the stream; to be sent again.
    };

    // Delay after consecutive failures of one kind of request.
    struct failure_state
    {
        std::uint32_t count = 0;
        time_point retryAt;
        std::optional<time_point> since;
    };

    void fail(failure_state &state, time_point now) const;
    void expireAnswers(time_point now);
    void appendFailed(time_point now);
    void readFailed(time_point now);
    void beginSearch();
    [[nodiscard]] bool appendWaiting() const;
    [[nodiscard]] time_point appendDue() const;
    [[nodiscard]] std::optional<time_point> readDue() const;
    void offerBatch(time_point now);
    void deliver(const raw_record &raw, std::vector<stream_record> &out, time_point now);
    void confirmThrough(std::uint64_t sequence, time_point now);
    void forgetExpiredWriters(log_offset first);

    struct writer_mark
    {
        std::uint64_t sequence = 0; // Highest one delivered.
        log_offset offset = 0;
    };

    std::string m_name;
    daemon_identity m_self;
    stream_options m_options;

    std::uint64_t m_nextSequence = 1;
    std::deque<buffered_record> m_pending;
    std::size_t m_pendingBytes = 0;
    std::optional<offered_batch> m_offered;
    offer_state m_offerState = offer_state::None;
    std::optional<time_point> m_appendStarted; // Set while an append is in flight.
    std::optional<time_point> m_lastAppend;
    failure_state m_appendFailures;
    duration m_commitAverage{0};

    log_offset m_position = 1;
    std::map<daemon_identity, writer_mark> m_writers;
    std::optional<time_point> m_readStarted; // Set while a read is in flight.
    std::optional<time_point> m_lastRead;
    bool m_readWanted = false;
    bool m_readDecidesSearch = false; // The read in flight began after the search did.
    failure_state m_readFailures;
    bool m_hasRead = false;
    bool m_caughtUp = false;
    bool m_missedRecords = false;
};

} // namespace jackdawpick
