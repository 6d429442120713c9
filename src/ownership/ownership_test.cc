#include "ownership/ownership.h"
#include "testing/fake_log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>

namespace jackdawpick
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t nodeCount = 4;
constexpr shard_index shardsUsed = 6;
constexpr std::uint32_t programsPerShard = 2;

program_key keyOf(shard_index shard, std::uint32_t number)
{
    return {"c", "s" + std::to_string(shard) + ".p" + std::to_string(number)};
}

// A settled turn that a node relies on: its writer after reading it back, or a later owner that restored it.
struct accepted_turn
{
    program_key key;
    std::uint32_t turn = 0;
    digest id = 0; // Unique per settle record.
};

// Events of all nodes, recorded for the checks.
struct cluster_history
{
    std::map<digest, fence> writtenUnder;
    std::vector<accepted_turn> accepted;
    std::map<std::tuple<program_key, std::uint32_t, std::uint32_t>, int> dispatches; // By program, turn, attempt.
    std::map<program_key, std::map<std::uint32_t, digest>> confirmed; // Turns read back by their writers.
    std::map<program_key, std::map<fence, std::uint32_t>> restored; // Settled turn found by the owner of each fence.
    std::map<digest, fence> confirmedUnder;
    digest nextId = 1;
    std::size_t openings = 0;
    // Records of a shard remain in the log after its last owner stopped for the retention less the age of the last
    // snapshots. A shard that was not served for longer has lost its programs, so its next owner need not restore any.
    std::optional<duration> maxUnservedTime;
    std::map<shard_index, time_point> lastServed;
    std::size_t expirations = 0;

    void expire(shard_index shard, time_point now)
    {
        const auto last = lastServed.find(shard);
        if (!maxUnservedTime || last == lastServed.end() || now - last->second <= *maxUnservedTime) {
            return;
        }
        ++expirations;
        const auto ofShard = [shard](const program_key &key) {
            return shardOf(key) == shard;
        };
        std::erase_if(accepted, [&](const accepted_turn &turn) { return ofShard(turn.key); });
        std::erase_if(dispatches, [&](const auto &entry) { return ofShard(std::get<0>(entry.first)); });
        std::erase_if(confirmed, [&](const auto &entry) { return ofShard(entry.first); });
        std::erase_if(restored, [&](const auto &entry) { return ofShard(entry.first); });
    }
};

// A daemon reduced to its journal, its ownership and a minimal ledger that records reservation and outcome of each
// turn.
class node
{
public:
    node(fake_log &log, cluster_history &past, const daemon_identity &self, ownership_options options,
         std::uint64_t seed)
        : owners(self, journalOf(self), {}, options)
        , m_log(log)
        , m_past(past)
        , m_self(self)
        , m_client(log.addClient())
        , m_journal(journalOf(self), self, {.minAppendInterval = 30ms})
        , m_stream("ownership", self, {.minAppendInterval = 30ms, .pollInterval = 200ms, .readLimit = 20})
        , m_random(seed)
        , m_rewriteInterval(options.claimRenewal)
    {
    }

    static std::string journalOf(const daemon_identity &self)
    {
        return "journal." + self.name + "." + std::to_string(self.incarnation);
    }

    void step(time_point now)
    {
        for (const auto &answer : m_log.takeAnswers(m_client, now)) {
            if (const auto *append = std::get_if<append_result>(&answer)) {
                route(*append, now);
            } else {
                route(std::get<read_result>(answer), now);
            }
            drain(now);
        }
        for (auto requests : {owners.poll(now), m_journal.poll(now), m_stream.poll(now)}) {
            std::ranges::for_each(requests, [&](const log_request &request) { m_log.send(m_client, request, now); });
        }
        drain(now);
    }

    // Starts a turn of a random program of a random served shard.
    void startTurn(time_point now)
    {
        const auto served = owners.servedShards();
        if (served.empty()) {
            return;
        }
        const shard_index shard = *std::next(served.begin(), static_cast<std::ptrdiff_t>(m_random() % served.size()));
        const program_key key = keyOf(shard, static_cast<std::uint32_t>(m_random() % programsPerShard));
        auto &ledger = m_ledgers.at(shard);
        if (!ledger.busy.insert(key).second) {
            return;
        }
        const auto *program = ledger.programs.find(key);
        if (program == nullptr) {
            m_journal.submit(program_opened{key, std::nullopt, 0, 1000}, now);
        }
        call_reserved reservation;
        reservation.key = key;
        reservation.turn = program == nullptr ? 1 : program->state.settledTurn + 1;
        reservation.attempt = program == nullptr ? 0 : program->state.attempt;
        reservation.idempotent = false;
        m_journal.submit(reservation, now);
    }

    void release(time_point now)
    {
        for (const shard_index shard : owners.servedShards()) {
            if (m_ledgers.at(shard).busy.empty()) {
                owners.releaseShards({shard}, now);
                m_ledgers.at(shard).closing = true;
                drain(now);
                return;
            }
        }
    }

    // After records of the stream expired unread, ownership can no longer be determined and the daemon has to restart.
    [[nodiscard]] bool mustRestart() const
    {
        return m_stream.missedRecords();
    }
    [[nodiscard]] const daemon_identity &self() const
    {
        return m_self;
    }
    void crash()
    {
        m_log.removeClient(m_client);
    }
    [[nodiscard]] const program_replay *programsOf(shard_index shard) const
    {
        const auto found = m_ledgers.find(shard);
        return found == m_ledgers.end() ? nullptr : &found->second.programs;
    }
    void drain(time_point now)
    {
        for (auto &record : owners.takeOwnershipRecords()) {
            m_stream.submit(std::move(record), now);
        }
        for (auto &record : owners.takeJournalRecords()) {
            m_journal.submit(std::move(record), now);
        }
    }

    ownership owners;

private:
    struct shard_ledger
    {
        fence token = 0;
        program_replay programs; // From records read back.
        std::set<program_key> busy;
        bool closing = false;
        std::map<program_key, time_point> written; // Last snapshot
    };

    void route(const append_result &result, time_point now)
    {
        if (result.stream == "ownership") {
            m_stream.onAppend(result, now);
        } else if (result.stream == m_journal.name()) {
            m_journal.onAppend(result, now);
        } else {
            owners.onAppend(result, now);
        }
    }

    void route(const read_result &result, time_point now)
    {
        if (result.stream == "ownership") {
            owners.onOwnershipRecords(m_stream.onRead(result, now), now);
            if (m_stream.caughtUp()) {
                owners.onOwnershipCaughtUp();
            }
            return;
        }
        if (result.stream == m_journal.name()) {
            for (const auto &record : m_journal.onRead(result, now)) {
                onOwnRecord(record, now);
            }
        }
        owners.onRead(result, now);
    }

    void onOwnRecord(const stream_record &record, time_point now)
    {
        for (const shard_index shard : owners.onOwnJournalRecords({record}, now)) {
            m_ledgers.erase(shard);
        }
        for (auto &opened : owners.takeOpenedShards()) {
            open(opened, now);
        }
        const auto shard = shardOfRecord(record.record);
        const auto found = shard ? m_ledgers.find(*shard) : m_ledgers.end();
        if (!record.own || found == m_ledgers.end()) {
            return;
        }
        shard_ledger &ledger = found->second;
        ledger.programs.apply(record.record, record.offset, m_journal.name());
        if (const auto *reservation = std::get_if<call_reserved>(&record.record)) {
            EXPECT_EQ(++m_past.dispatches[std::tuple(reservation->key, reservation->turn, reservation->attempt)], 1)
                << toString(reservation->key) << " turn " << reservation->turn << " ran twice";
            settle(ledger, *reservation, m_random() % 8 == 0 ? execution::NotRun : execution::Ran, now);
        } else if (const auto *settled = std::get_if<call_settled>(&record.record)) {
            confirm(ledger, *settled);
        }
    }

    void settle(const shard_ledger &ledger, const call_reserved &reservation, execution outcome, time_point now)
    {
        call_settled record;
        record.key = reservation.key;
        record.turn = reservation.turn;
        record.attempt = reservation.attempt;
        record.outcome = outcome;
        record.contentDigest = m_past.nextId++;
        m_past.writtenUnder[record.contentDigest] = ledger.token;
        m_journal.submit(std::move(record), now);
    }

    void confirm(shard_ledger &ledger, const call_settled &settled)
    {
        ledger.busy.erase(settled.key);
        if (settled.outcome == execution::NotRun) {
            return;
        }
        m_past.accepted.push_back({settled.key, settled.turn, settled.contentDigest});
        const auto [place, fresh] = m_past.confirmed[settled.key].emplace(settled.turn, settled.contentDigest);
        EXPECT_TRUE(fresh) << toString(settled.key) << " turn " << settled.turn << " settled twice";
        for (const auto &[token, turn] : m_past.restored[settled.key]) {
            EXPECT_TRUE(token <= ledger.token || turn >= settled.turn)
                << toString(settled.key) << ": turn " << settled.turn << " of fence " << ledger.token
                << " is missing from what fence " << token << " restored";
        }
        m_past.confirmedUnder[settled.contentDigest] = ledger.token;
    }

    void open(opened_shard &opened, time_point now)
    {
        m_past.openings += 1;
        m_past.expire(opened.shard, now);
        shard_ledger &ledger = m_ledgers[opened.shard];
        ledger = {.token = opened.token, .programs = {}, .busy = {}, .written = {}};
        std::map<program_key, std::uint32_t> turns;
        for (auto &program : opened.programs) {
            const program_key key = program.state.key;
            turns[key] = program.state.settledTurn;
            if (program.state.settledTurn > 0) {
                m_past.accepted.push_back({key, program.state.settledTurn, program.state.lastContentDigest});
            }
            ledger.programs.apply(program_snapshot{program.state}, 0, "");
            if (program.unsettledReservation) {
                ledger.busy.insert(key);
                settle(ledger, *program.unsettledReservation, execution::Unknown, now);
            }
        }
        for (std::uint32_t i = 0; i < programsPerShard; ++i) {
            const program_key key = keyOf(opened.shard, i);
            m_past.restored[key][opened.token] = turns[key];
            for (const auto &[turn, id] : m_past.confirmed[key]) {
                EXPECT_TRUE(m_past.confirmedUnder[id] > opened.token || turn <= turns[key])
                    << toString(key) << ": confirmed turn " << turn << " is missing at fence " << opened.token;
            }
        }
    }

public:
    // Writes snapshots of idle programs again within the retention, as the dispatcher does.
    void rewriteSnapshots(time_point now)
    {
        for (auto &[shard, ledger] : m_ledgers) {
            for (std::uint32_t i = 0; i < programsPerShard && m_rewriteInterval.count() > 0 && !ledger.closing; ++i) {
                const program_key key = keyOf(shard, i);
                const auto *program = ledger.programs.find(key);
                const auto written = ledger.written.try_emplace(key, now).first;
                if (program != nullptr && !ledger.busy.contains(key) && now >= written->second + m_rewriteInterval) {
                    written->second = now;
                    m_journal.submit(program_snapshot{program->state}, now);
                }
            }
        }
    }

private:
    fake_log &m_log;
    cluster_history &m_past;
    daemon_identity m_self;
    std::size_t m_client;
    log_stream m_journal;
    log_stream m_stream;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_rewriteInterval;
    std::map<shard_index, shard_ledger> m_ledgers;
};

// Determines from the raw log which settle records are valid: those before the first seal with a higher fence.
std::set<digest> validTurns(const fake_log &log, const cluster_history &past)
{
    std::set<digest> valid;
    for (const auto &name : log.streams()) {
        std::map<daemon_identity, std::uint64_t> seen;
        std::map<shard_index, std::vector<fence>> seals;
        for (const auto &raw : log.everything(name)) {
            const auto batch = decodeBatch(raw.payload);
            std::uint64_t sequence = batch->firstSequence - 1;
            for (const auto &record : batch->records) {
                if (++sequence <= seen[batch->writer]) {
                    continue;
                }
                seen[batch->writer] = sequence;
                if (const auto *seal = std::get_if<shards_sealed>(&record)) {
                    for (const auto &[shard, token] : seal->shards) {
                        seals[shard].push_back(token);
                    }
                } else if (const auto *settled = std::get_if<call_settled>(&record)) {
                    const fence under = past.writtenUnder.at(settled->contentDigest);
                    const auto &before = seals[shardOf(settled->key)];
                    if (std::ranges::none_of(before, [under](fence token) { return token > under; })) {
                        valid.insert(settled->contentDigest);
                    }
                }
            }
        }
    }
    return valid;
}

// Several nodes over one log. Crashes, stalls, false suspicions, outages and lost responses occur until `faultsEnd`.
class cluster
{
public:
    cluster(std::uint64_t seed, bool retention)
        : log(seed, {})
        , m_random(seed)
    {
        m_faults = {.loseRequest = 0.03, .loseAnswer = 0.05, .delay = 0.05, .lateBy = 3000ms, .appendsPerSecond = 150};
        m_noFaults = {.appendsPerSecond = 300};
        m_options.peerJournalOptions.readLimit = 16;
        if (retention) {
            m_faults.retention = m_noFaults.retention = 40s;
            m_options.claimRenewal = 8s;
            past.maxUnservedTime = m_noFaults.retention - 2 * m_options.claimRenewal;
        }
        m_frozenUntil.resize(nodeCount);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes.push_back(nullptr);
            restart(i);
        }
    }

    void run(duration faulty, duration recovery)
    {
        const time_point faultsEnd = clock.now() + faulty;
        const time_point end = faultsEnd + recovery;
        for (int tick = 0; clock.now() < end && !testing::Test::HasFailure(); ++tick, clock.advance(10ms)) {
            const bool faultFree = clock.now() >= faultsEnd;
            log.setOptions(faultFree ? m_noFaults : m_faults);
            if (tick % 50 == 0) {
                m_outage = !faultFree && m_random() % (m_outage ? 3 : 25) == 0;
                log.setOutage(m_outage);
            }
            for (std::size_t i = 0; i < nodeCount; ++i) {
                stepNode(i, tick, faultFree);
            }
        }
    }

    fake_log log;
    cluster_history past;
    manual_clock clock;
    std::vector<std::unique_ptr<node>> nodes;

private:
    void restart(std::size_t index)
    {
        if (nodes[index]) {
            nodes[index]->crash();
        }
        nodes[index] = std::make_unique<node>(log, past, daemon_identity{"d" + std::to_string(index), ++m_incarnations},
                                              m_options, m_random());
    }

    void stepNode(std::size_t index, int tick, bool faultFree)
    {
        if (!faultFree && m_random() % 1500 == 0) {
            restart(index);
        }
        if (!faultFree && m_random() % 1500 == 0) {
            m_frozenUntil[index] = clock.now() + std::chrono::milliseconds(m_random() % 8000);
        }
        if (!faultFree && clock.now() < m_frozenUntil[index]) {
            return;
        }
        nodes[index]->step(clock.now());
        if (nodes[index]->mustRestart()) {
            restart(index);
        }
        node &self = *nodes[index];
        for (const shard_index shard : self.owners.servedShards()) {
            past.lastServed[shard] = clock.now();
        }
        if (tick % 100 == 0) {
            self.owners.setWantedShards(wanted(index, faultFree), clock.now());
            self.drain(clock.now());
            self.rewriteSnapshots(clock.now());
        }
        if (m_random() % 10 == 0) {
            self.startTurn(clock.now());
        }
        if (!faultFree && m_random() % 1000 == 0) {
            self.release(clock.now());
        }
    }

    [[nodiscard]] bool alive(const daemon_identity &who, bool faultFree)
    {
        const bool falselySuspected = !faultFree && m_random() % 30 == 0;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (nodes[i]->self() == who) {
                return !falselySuspected && (faultFree || clock.now() >= m_frozenUntil[i]);
            }
        }
        return false;
    }

    // Shards without a live owner. During faults all nodes claim them, so that claims conflict.
    std::vector<shard_index> wanted(std::size_t index, bool faultFree)
    {
        std::vector<shard_index> shards;
        for (shard_index shard = 0; shard < shardsUsed; ++shard) {
            const auto *owner = nodes[index]->owners.ownerOf(shard);
            const bool open = owner == nullptr || owner->released || !alive(owner->daemon, faultFree);
            if (open && (!faultFree || shard % nodeCount == index)) {
                shards.push_back(shard);
            }
        }
        return shards;
    }

    fake_log_options m_faults;
    fake_log_options m_noFaults;
    ownership_options m_options;
    std::mt19937_64 m_random;
    std::vector<time_point> m_frozenUntil;
    std::uint64_t m_incarnations = 0;
    bool m_outage = false;
};

void checkFinalState(cluster &run)
{
    for (shard_index shard = 0; shard < shardsUsed; ++shard) {
        std::vector<const node *> serving;
        for (const auto &one : run.nodes) {
            if (one->owners.serves(shard)) {
                serving.push_back(one.get());
            }
        }
        ASSERT_EQ(serving.size(), 1) << "shard " << shard;
        for (std::uint32_t i = 0; i < programsPerShard; ++i) {
            const auto &confirmed = run.past.confirmed[keyOf(shard, i)];
            if (!confirmed.empty()) {
                const auto *program = serving.front()->programsOf(shard)->find(keyOf(shard, i));
                ASSERT_NE(program, nullptr);
                EXPECT_GE(program->state.settledTurn, confirmed.rbegin()->first);
            }
        }
    }
    const auto valid = validTurns(run.log, run.past);
    std::map<std::pair<program_key, std::uint32_t>, digest> ids;
    for (const auto &[key, turn, id] : run.past.accepted) {
        EXPECT_TRUE(valid.contains(id)) << toString(key) << " turn " << turn << " was written after the seal";
        EXPECT_EQ(ids.emplace(std::pair(key, turn), id).first->second, id)
            << toString(key) << " turn " << turn << " has two outcomes";
    }
}

void runSeeds(std::uint64_t first, std::uint64_t last, bool retention)
{
    std::size_t openings = 0;
    std::size_t turns = 0;
    std::size_t expirations = 0;
    for (std::uint64_t seed = first; seed <= last && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        cluster run(seed, retention);
        run.run(retention ? 120s : 60s, 30s);
        checkFinalState(run);
        openings += run.past.openings;
        turns += run.past.accepted.size();
        expirations += run.past.expirations;
    }
    std::printf("%zu shards opened, %zu turns accepted, %zu times records expired before the takeover\n", openings,
                turns, expirations);
    EXPECT_LE(expirations, openings / 100);
}

} // namespace

namespace
{

const daemon_identity first{"a", 1};
const daemon_identity second{"b", 2};

stream_record at(log_offset offset, const daemon_identity &writer, log_record record)
{
    return {
        .offset = offset, .writer = writer, .sequence = offset, .own = writer == first, .record = std::move(record)};
}

shard_claimed claimOf(const daemon_identity &by, fence expected, log_offset renewedAsOf = 0)
{
    return {.expected = {{3, expected}},
            .by = by,
            .journal = node::journalOf(by),
            .httpAddress = "",
            .peerAddress = "",
            .zone = "",
            .renewedAsOf = renewedAsOf};
}

} // namespace

// Guards against a renewal changing the owner, and against a reader that starts late accepting an invalid claim.
TEST(Ownership, RenewalKeepsTheFenceAndTellsLateReaders)
{
    const std::vector<stream_record> records{at(1, first, claimOf(first, 0)), at(2, second, claimOf(second, 0)),
                                             at(3, first, claimOf(first, 1, 2))};
    for (std::ptrdiff_t start = 0; start < 3; ++start) {
        ownership reader({"c", 3}, "journal.c.3", {}, {});
        reader.onOwnershipRecords({records.begin() + start, records.end()}, {});
        ASSERT_NE(reader.ownerOf(3), nullptr);
        EXPECT_EQ(reader.ownerOf(3)->token, 1);
        EXPECT_EQ(reader.ownerOf(3)->daemon, first);
    }
}

// Guards against serving under a claim that a later claimant had sealed before this daemon read its own claim.
TEST(Ownership, SealReadBeforeTheOwnClaimPreventsOpening)
{
    ownership owners(first, node::journalOf(first), {}, {});
    owners.onOwnershipCaughtUp();
    owners.setWantedShards({3}, {});
    ASSERT_EQ(owners.takeOwnershipRecords().size(), 1);
    EXPECT_TRUE(owners.onOwnJournalRecords({at(1, second, shards_sealed{{{3, 9}}, second})}, {}).empty());
    owners.onOwnershipRecords({at(1, first, claimOf(first, 0))}, {});
    const auto submitted = owners.takeJournalRecords();
    ASSERT_EQ(submitted.size(), 2);
    EXPECT_TRUE(owners.onOwnJournalRecords({at(2, first, submitted[0]), at(2, first, submitted[1])}, {}).empty());
    EXPECT_FALSE(owners.serves(3));
    EXPECT_TRUE(owners.takeOpenedShards().empty());
}

// One owner at a time, no confirmed turn lost, no call dispatched twice, no record after a seal accepted.
TEST(OwnershipRandom, HoldsUnderCrashesFreezesAndLogFaults)
{
    runSeeds(1, 60, false);
}

// The same with a log whose records expire: readers that start late learn the owners from renewals.
TEST(OwnershipRandom, HoldsWhileRecordsExpire)
{
    runSeeds(1001, 1030, true);
}

} // namespace jackdawpick
