#pragma once

// Who owns which shard, decided by the order of the log (docs/design.md, section 5): claims in stream `ownership`,
// seals in the journals, takeovers with the records of the previous owners.
//
//   ownership owners(self, ownJournal, addresses, options);
//   owners.wantShards({3, 4}, now);                  // membership suggests; claims go to stream `ownership`
//   owners.onOwnershipRecords(records, now);
//   owners.onOwnJournal(records, now);               // learns of seals by others, confirms shard_opened
//   for (auto &opened : owners.takeOpened()) { ... } // programs of shards that this daemon serves from now on

#include "journal/journal.h"

#include <set>

namespace jackdawpick
{

struct shard_owner
{
    daemon_identity daemon;
    fence token = 0;
    std::string journal;
    std::string httpAddress;
    std::string peerAddress;
    std::string zone;
    bool released = false; // Given up; nobody serves the shard until the next claim.
};

struct daemon_addresses
{
    std::string http;
    std::string peer;
    std::string zone;
};

// A program as it stands in the journals of previous owners, at takeover.
struct restored_program
{
    program_state state;
    std::optional<call_reserved> openIntent; // Reserved and never settled: outcome unknown, never dispatched again.
    bool mayHaveRun =
        false; // A call may have been in flight without a record; the reserved-ahead amount counts as spent.
};

struct opened_shard
{
    shard_index shard = 0;
    fence token = 0;
    fence previousToken = 0; // Receipts of this fence may be adopted.
    std::vector<restored_program> programs;
};

struct ownership_options
{
    stream_options foreignJournal; // For reading and sealing other daemons' journals.
    std::uint32_t maxConcurrentTakeovers = 8; // Shards moved at a time.
    std::chrono::milliseconds claimRenewal{0}; // Rewrite own claims this long after they were written; 0: never.
};

class ownership
{
public:
    ownership(daemon_identity self, std::string ownJournal, daemon_addresses addresses, ownership_options options);

    // The shards this daemon should own from now on, most wanted first. Missing ones are claimed step by step; owned
    // ones that are not listed are kept until released through releaseShards().
    void wantShards(const std::vector<shard_index> &shards, time_point now);
    // Begins a hand-over of own shards; the dispatcher has made sure that no call of theirs is in flight.
    void releaseShards(const std::vector<shard_index> &shards, time_point now);

    // Records to submit to stream `ownership` and to the own journal since the last call.
    [[nodiscard]] std::vector<log_record> takeOwnershipRecords();
    [[nodiscard]] std::vector<log_record> takeJournalRecords();
    // Requests on journals of other daemons.
    [[nodiscard]] std::vector<log_request> poll(time_point now);
    void onAppend(const append_result &result, time_point now);
    void onRead(const read_result &result, time_point now);
    [[nodiscard]] bool handlesStream(const std::string &stream) const;

    void onOwnershipRecords(const std::vector<stream_record> &records, time_point now);
    // Own journal in log order. Returns the shards lost by a seal, in the order of the journal.
    [[nodiscard]] std::vector<shard_index> onOwnJournal(const std::vector<stream_record> &records, time_point now);
    // Shards opened since the last call.
    [[nodiscard]] std::vector<opened_shard> takeOpened();

    // True if this daemon serves the shard: opened, not sealed by another and not released.
    [[nodiscard]] bool serves(shard_index shard) const;
    [[nodiscard]] std::optional<fence> servedFence(shard_index shard) const;
    [[nodiscard]] std::set<shard_index> servedShards() const;
    // Last valid claim in log order; nothing if the shard was never claimed.
    [[nodiscard]] const shard_owner *ownerOf(shard_index shard) const;
    [[nodiscard]] std::size_t takeoversInProgress() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
};

} // namespace jackdawpick
