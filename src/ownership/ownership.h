#pragma once

// Tracks which daemon owns which shard and moves shards to this daemon. The order of the log decides (docs/design.md,
// section 5): daemons claim shards in stream `ownership`, seal the journals of previous owners and restore the programs
// from the records there.
//
//   ownership owners(self, ownJournal, addresses, options);
//   owners.setWantedShards({3, 4}, now);            // from membership; claims go to stream `ownership`
//   owners.onOwnershipRecords(records, now);
//   owners.onOwnJournalRecords(records, now);       // detects seals by others, confirms shard_opened
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
    bool released = false; // The owner released the shard; it is not served until the next claim.
};

struct daemon_addresses
{
    std::string http;
    std::string peer;
    std::string zone;
};

// A program as restored at takeover from the journals of previous owners.
struct restored_program
{
    program_state state;
    // Reserved and not settled: the outcome is unknown, so only an idempotent call may be dispatched again.
    std::optional<call_reserved> unsettledReservation;
    // A call may have been in flight without a record; the tokens reserved in advance then count as spent.
    bool mayHaveRun = false;
};

struct opened_shard
{
    shard_index shard = 0;
    fence token = 0;
    fence previousToken = 0; // Receipts issued under this token may be accepted.
    std::vector<restored_program> programs;
};

struct ownership_options
{
    stream_options peerJournalOptions; // For reading and sealing other daemons' journals.
    std::uint32_t maxConcurrentTakeovers = 256; // Claims and takeovers of shards at the same time.
    std::chrono::milliseconds claimRenewal{0}; // Interval between renewals of own claims; 0: never.
};

class ownership
{
public:
    ownership(daemon_identity self, std::string ownJournal, daemon_addresses addresses, ownership_options options);

    // Sets the shards that this daemon should own, in order of preference. Those it does not own are claimed, limited
    // by maxConcurrentTakeovers. Owned shards that are not listed are kept until releaseShards().
    void setWantedShards(const std::vector<shard_index> &shards, time_point now);
    // Starts to release served shards. The caller ensures that none of their calls is in flight.
    void releaseShards(const std::vector<shard_index> &shards, time_point now);

    // Records to submit to stream `ownership` and to the own journal, produced since the last call.
    [[nodiscard]] std::vector<log_record> takeOwnershipRecords();
    [[nodiscard]] std::vector<log_record> takeJournalRecords();
    // Requests to journals of other daemons, and reads of the own journal to restore a shard owned earlier.
    [[nodiscard]] std::vector<log_request> poll(time_point now);
    void onAppend(const append_result &result, time_point now);
    void onRead(const read_result &result, time_point now);
    // True while a takeover reads the stream. For the own journal, responses go both here and to its log_stream.
    [[nodiscard]] bool handlesStream(const std::string &stream) const;

    // Stream `ownership` has been read to its end. No shard is claimed earlier, since the records that name the current
    // owner may not have been read yet.
    void onOwnershipCaughtUp();
    void onOwnershipRecords(const std::vector<stream_record> &records, time_point now);
    // Own journal in log order. Returns the shards lost by a seal, released ones included, in the order of the journal.
    // Records of a lost shard that follow the seal are void; a caller that applies records passes them one by one to
    // tell which those are.
    [[nodiscard]] std::vector<shard_index> onOwnJournalRecords(const std::vector<stream_record> &records,
                                                               time_point now);
    // Shards that this daemon began to serve since the last call.
    [[nodiscard]] std::vector<opened_shard> takeOpenedShards();

    // True if this daemon serves the shard: opened, not sealed by another and not released.
    [[nodiscard]] bool serves(shard_index shard) const;
    [[nodiscard]] std::optional<fence> servedFence(shard_index shard) const;
    [[nodiscard]] std::set<shard_index> servedShards() const;
    // Last valid claim in log order; null if the shard was never claimed.
    [[nodiscard]] const shard_owner *ownerOf(shard_index shard) const;
    [[nodiscard]] std::size_t takeoversInProgress() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct observed_claim
    {
        fence expected = 0;
        shard_owner owner;
    };

    struct shard_entry
    {
        // Valid claims, oldest first, back to one that is known to have been opened.
        std::vector<shard_owner> claims;
        // Set if this reader started after the beginning of the stream and no renewal has named the owner yet; claims
        // are then kept as candidates and validated again when a renewal arrives.
        bool provisional = false;
        std::vector<observed_claim> candidates;
        fence renewedFence = 0; // Highest fencing token taken from a renewal.
        bool ambiguous = false; // The first claim read refers to an earlier owner unknown to this reader.
    };

    // A valid claim of this daemon whose shard is not served yet.
    struct takeover
    {
        fence token = 0;
        std::vector<shard_owner> previous; // Earlier claims, newest first.
        std::size_t step = 0; // Index in `previous` of the claim whose journal is being read.
        fence previousToken = 0;
        bool released = false; // The previous owner released the shard with no call in flight.
        std::optional<std::vector<replayed_program>> programs; // Restored; waiting for the own journal to be sealed.
        std::optional<opened_shard> result; // Set once the snapshots have been submitted.
    };

    // Seals one journal for several shards and reads it from its start through the seal.
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
    void applyRenewal(shard_index shard, const shard_owner &owner, log_offset asOf);
    static bool applyClaim(shard_entry &entry, const observed_claim &claim);
    void onReleased(const shard_released &release);
    void dropSupersededTakeover(shard_index shard);
    void beginTakeover(shard_index shard);
    void continueTakeover(shard_index shard);
    void restore(shard_index shard, takeover &pending, std::vector<replayed_program> programs);
    void submitSnapshots(shard_index shard, takeover &pending);
    static bool needsJournal(const takeover &pending, const std::string &journal);
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
    std::set<shard_index> m_pendingClaims; // Claim submitted, outcome unknown.
    std::map<shard_index, takeover> m_takeovers;
    std::map<std::string, std::set<shard_index>> m_journalsToRead; // Journals to read, with the shards that need them.
    std::map<std::string, journal_reader> m_readers;
    std::map<std::string, std::uint64_t> m_peerSequences; // Next own sequence number in journals of other daemons.
    std::map<shard_index, served_shard> m_served;
    std::optional<time_point> m_nextRenewal; // Earliest among the served shards; empty if none.
    std::map<shard_index, fence> m_ownSeals; // Highest seal read in the own journal.

    std::vector<log_record> m_ownershipRecords;
    std::vector<log_record> m_journalRecords;
    std::vector<opened_shard> m_opened;
    std::vector<shard_index> m_lost; // Lost without a seal; returned by the next onOwnJournalRecords().
};

} // namespace jackdawpick
