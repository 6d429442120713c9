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
    std::chrono::milliseconds answerTimeout{1000}; // An answer this late counts as lost.
    std::chrono::milliseconds retryDelay{200}; // First delay after a failure; doubles up to maxRetryDelay.
    std::chrono::milliseconds maxRetryDelay{2000};
    std::size_t maxBufferedBytes = 8U << 20U;
    std::size_t maxBatchBytes = 256U << 10U;
    std::uint32_t readLimit = 256; // Batches per read.
};

class log_stream
{
public:
    log_stream(std::string name, daemon_identity self, stream_options options);

    [[nodiscard]] const std::string &name() const;

    // Buffers a record and returns its sequence number. The caller asks full() first; records beyond the bound are
    // still accepted, so that settling calls already in flight never fails.
    std::uint64_t submit(log_record record, time_point now);
    [[nodiscard]] std::uint64_t lastSubmitted() const; // Sequence number of the newest record; 0 before the first.
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
    [[nodiscard]] std::chrono::milliseconds expectedCommit() const;
    [[nodiscard]] std::size_t bufferedBytes() const;
    [[nodiscard]] std::size_t unconfirmedRecords() const;
    [[nodiscard]] log_offset readPosition() const; // Offset of the next batch to read.
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    void setMinAppendInterval(std::chrono::milliseconds interval);
};

} // namespace jackdawpick
