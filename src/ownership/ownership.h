#pragma once

// Who owns which shard, decided by the order of the log (docs/design.md, section 5): claims in stream `ownership`,
// seals in the journals, takeovers with the records of the previous owners.
//
//   ownership owners(self, ownJournal, addresses, options);
//   owners.setWantedShards({3, 4}, now);                  // membership suggests; claims go to stream `ownership`
//   owners.onOwnershipRecords(records, now);
//   owners.onOwnJournalRecords(records, now);               // learns of seals by others, confirms shard_opened
//   for (auto &opened : owners.takeOpenedShards()) { ... } // programs of shards that this daemon serves from now on

#include "journal/journal.h"
#include "ledger_replay/ledger_replay.h"

#include <array>
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
    stream_options peerJournalOptions; // For reading and sealing other daemons' journals.
    std::uint32_t maxConcurrentTakeovers = 256; // Shards moved at a time.
    std::chrono::milliseconds claimRenewal{0}; // Rewrite own claims this long after they were written; 0: never.
};

class ownership
{
public:
    ownership(daemon_identity self, std::string ownJournal, daemon_addresses addresses, ownership_options options);

    // The shards this daemon should own from now on, most wanted first. Missing ones are claimed step by step; owned
    // ones that are not listed are kept until released through releaseShards().
    void setWantedShards(const std::vector<shard_index> &shards, time_point now);
    // Begins a hand-over of own shards; the dispatcher has made sure that no call of theirs is in flight.
    void releaseShards(const std::vector<shard_index> &shards, time_point now);

    // Records to submit to stream `ownership` and to the own journal since the last call.
    [[nodiscard]] std::vector<log_record> takeOwnershipRecords();
    [[nodiscard]] std::vector<log_record> takeJournalRecords();
    // Requests on journals of other daemons, and reads of the own journal to restore a shard that was owned before.
    [[nodiscard]] std::vector<log_request> poll(time_point now);
    void onAppend(const append_result &result, time_point now);
    void onRead(const read_result &result, time_point now);
    // May be true for the own journal at times; its answers then go both here and to its log_stream.
    [[nodiscard]] bool handlesStream(const std::string &stream) const;

    // Stream `ownership` has been read to its end. No shard is claimed before that, since the records that name the
    // current owner may not have been read yet.
    void onOwnershipCaughtUp();
    void onOwnershipRecords(const std::vector<stream_record> &records, time_point now);
    // Own journal in log order. Returns the shards lost by a seal, released ones included, in the order of the journal.
    // Records of a lost shard that follow the seal are void; a caller that applies records passes them one by one to
    // tell which those are.
    [[nodiscard]] std::vector<shard_index> onOwnJournalRecords(const std::vector<stream_record> &records,
                                                               time_point now);
    // Shards opened since the last call.
    [[nodiscard]] std::vector<opened_shard> takeOpenedShards();

    // True if this daemon serves the shard: opened, not sealed by another and not released.
    [[nodiscard]] bool serves(shard_index shard) const;
    [[nodiscard]] std::optional<fence> servedFence(shard_index shard) const;
    [[nodiscard]] std::set<shard_index> servedShards() const;
    // Last valid claim in log order; nothing if the shard was never claimed.
    [[nodiscard]] const shard_owner *ownerOf(shard_index shard) const;
    [[nodiscard]] std::size_t takeoversInProgress() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct seen_claim
    {
        fence expected = 0;
        shard_owner owner;
    };

    struct shard_entry
    {
        // Valid claims, oldest first, back to one that is known to have been opened.
        std::vector<shard_owner> claims;
        // Set while this reader began behind the start of the stream and no renewal has named the owner; claims are
        // then kept to be judged again.
        bool provisional = false;
        std::vector<seen_claim> candidates;
        fence renewedFence = 0; // Highest one taken from a renewal.
        bool ambiguous = false; // The first claim seen names an earlier owner that this reader does not know.
    };

    // A won claim that is not served yet.
    struct takeover
    {
        fence token = 0;
        std::vector<shard_owner> previous; // Earlier claims, newest first.
        std::size_t step = 0; // The one whose journal is being read.
        fence previousToken = 0;
        bool released = false; // The previous owner gave the shard up with no call in flight.
        std::optional<std::vector<replayed_program>> programs; // Restored; wait for the own journal to be sealed.
        std::optional<opened_shard> result; // Set once the snapshots have been submitted.
    };

    // Seals one journal and reads it from its start through the seal, for several shards.
    struct journal_reader
    {
        log_stream stream;
        daemon_identity writer;
        std::vector<shard_fence> seal;
        std::map<shard_index, shard_replay> replays;
    };

    struct served_shard
    {
        fence token = 0;
        std::optional<time_point> renewed; // When the last renewal was written.
        bool releasing = false;
        std::uint32_t openedUnread = 0; // shard_opened records submitted and not read back yet.
    };

    [[nodiscard]] fence currentFence(shard_index shard) const;
    void proposeClaims();
    [[nodiscard]] bool mayClaim(shard_index shard) const;
    void onClaim(const shard_claimed &claim, log_offset offset);
    void onRenewal(const shard_claimed &claim, time_point now);
    void adoptRenewal(shard_index shard, const shard_owner &owner, log_offset asOf);
    static bool applyClaim(shard_entry &entry, const seen_claim &claim);
    void onReleased(const shard_released &release);
    void dropSuperseded(shard_index shard);
    void beginTakeover(shard_index shard);
    void continueTakeover(shard_index shard);
    void restore(shard_index shard, takeover &what, std::vector<replayed_program> programs);
    void submitSnapshots(shard_index shard, takeover &what);
    static bool waitsFor(const takeover &what, const std::string &journal);
    void beginReading(const std::string &journal, const std::set<shard_index> &shards);
    void finishReading(const std::string &journal);
    void onOwnSeal(const shards_sealed &seal, std::vector<shard_index> &lost);
    void onOwnOpened(const shard_opened &opened);
    void renewClaims(time_point now);

    daemon_identity m_self;
    std::string m_ownJournal;
    daemon_addresses m_addresses;
    ownership_options m_options;

    std::array<shard_entry, shardCount> m_shards;
    log_offset m_firstOffset = 0; // Of the first record read from stream `ownership`; 0: none yet.
    log_offset m_position = 0; // Of the last one.
    bool m_caughtUp = false;

    std::vector<shard_index> m_wanted; // In order of preference.
    std::set<shard_index> m_claiming; // Claim submitted, verdict unknown.
    std::map<shard_index, takeover> m_takeovers;
    std::map<std::string, std::set<shard_index>> m_toRead; // Shards that wait for a journal to be read.
    std::map<std::string, journal_reader> m_readers;
    std::map<std::string, std::uint64_t> m_foreignSequences; // Next sequence number in journals read before.
    std::map<shard_index, served_shard> m_served;
    std::optional<time_point> m_nextRenewal; // Earliest one among the served shards; nothing without any.
    std::map<shard_index, fence> m_ownSeals; // Highest seal read in the own journal.

    std::vector<log_record> m_ownershipRecords;
    std::vector<log_record> m_journalRecords;
    std::vector<opened_shard> m_opened;
    std::vector<shard_index> m_lost; // Lost without a seal; reported by the next onOwnJournalRecords().
};

} // namespace jackdawpick
