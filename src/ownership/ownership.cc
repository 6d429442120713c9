#include "ownership/ownership.h"

#include <algorithm>
#include <utility>

namespace jackdawpick
{

ownership::ownership(daemon_identity self, std::string ownJournal, daemon_addresses addresses,
                     ownership_options options)
    : m_self(std::move(self))
    , m_ownJournal(std::move(ownJournal))
    , m_addresses(std::move(addresses))
    , m_options(options)
{
}

// ---- Claims ----

void ownership::setWantedShards(const std::vector<shard_index> &shards, time_point /*now*/)
{
    m_wanted = shards;
    proposeClaims();
}

fence ownership::currentFence(shard_index shard) const
{
    const auto &claims = m_shards.at(shard).claims;
    return claims.empty() ? 0 : claims.back().token;
}

bool ownership::mayClaim(shard_index shard) const
{
    const shard_entry &entry = m_shards.at(shard);
    if (entry.ambiguous || m_pendingClaims.contains(shard) || m_takeovers.contains(shard)) {
        return false;
    }
    return entry.claims.empty() || entry.claims.back().released || entry.claims.back().daemon != m_self;
}

void ownership::proposeClaims()
{
    if (!m_caughtUp) {
        return;
    }
    shard_claimed claim{.expected = {},
                        .by = m_self,
                        .journal = m_ownJournal,
                        .httpAddress = m_addresses.http,
                        .peerAddress = m_addresses.peer,
                        .zone = m_addresses.zone};
    for (const shard_index shard : m_wanted) {
        if (takeoversInProgress() >= m_options.maxConcurrentTakeovers) {
            break;
        }
        if (mayClaim(shard)) {
            m_pendingClaims.insert(shard);
            claim.expected.push_back({shard, currentFence(shard)});
        }
    }
    if (!claim.expected.empty()) {
        m_ownershipRecords.emplace_back(std::move(claim));
    }
}

void ownership::onOwnershipCaughtUp()
{
    if (m_caughtUp) {
        return;
    }
    m_caughtUp = true;
    proposeClaims();
}

void ownership::onOwnershipRecords(const std::vector<stream_record> &records, time_point now)
{
    for (const auto &record : records) {
        if (m_firstOffset == 0) {
            m_firstOffset = record.offset;
            const bool trimmed = record.offset > 1;
            std::ranges::for_each(m_shards, [trimmed](shard_entry &entry) { entry.provisional = trimmed; });
        }
        m_position = record.offset;
        if (const auto *claim = std::get_if<shard_claimed>(&record.record)) {
            if (claim->renewedAsOf != 0) {
                onRenewal(*claim, now);
            } else {
                onClaim(*claim, record.offset);
            }
        } else if (const auto *release = std::get_if<shard_released>(&record.record)) {
            onReleased(*release);
        }
    }
    proposeClaims();
}

namespace
{

shard_owner ownerFromClaim(const shard_claimed &claim, fence token)
{
    return {.daemon = claim.by,
            .token = token,
            .journal = claim.journal,
            .httpAddress = claim.httpAddress,
            .peerAddress = claim.peerAddress,
            .zone = claim.zone};
}

} // namespace

bool ownership::applyClaim(shard_entry &entry, const observed_claim &claim)
{
    const fence current = entry.claims.empty() ? 0 : entry.claims.back().token;
    const bool unknown = entry.provisional && entry.claims.empty();
    if (claim.expected != current && !unknown) {
        return false;
    }
    entry.ambiguous = entry.ambiguous || claim.expected != current;
    entry.claims.push_back(claim.owner);
    return true;
}

void ownership::onClaim(const shard_claimed &claim, log_offset offset)
{
    for (const auto &[shard, expected] : claim.expected) {
        shard_entry &entry = m_shards.at(shard);
        const observed_claim seen{expected, ownerFromClaim(claim, offset)};
        const bool won = applyClaim(entry, seen);
        if (entry.provisional) {
            entry.candidates.push_back(seen);
        }
        if (won) {
            dropSupersededTakeover(shard);
        }
        if (claim.by == m_self) {
            m_pendingClaims.erase(shard);
            if (won) {
                beginTakeover(shard);
                continue;
            }
        }
        // Claiming again immediately after losing would let two daemons take the shard from each other indefinitely.
        if (won || claim.by == m_self) {
            std::erase(m_wanted, shard);
        }
    }
}

void ownership::onRenewal(const shard_claimed &claim, time_point now)
{
    for (const auto &[shard, token] : claim.expected) {
        shard_entry &entry = m_shards.at(shard);
        const shard_owner owner = ownerFromClaim(claim, token);
        if (entry.provisional) {
            applyRenewal(shard, owner, claim.renewedAsOf);
        } else if (currentFence(shard) == token && token != 0) {
            // Only a served shard is renewed, so a takeover need not read the journals of earlier claims any more.
            const bool released = entry.claims.back().released;
            entry.claims = {owner};
            entry.claims.back().released = released;
        }
        if (const auto served = m_served.find(shard); served != m_served.end() && served->second.token == token) {
            served->second.renewed = now;
        }
    }
}

// The renewal states the fencing token as of an offset; later claims are validated against it. If the offset lies
// before the first record that this reader has read, a claim in between may be missing, and a later renewal may correct
// this one.
void ownership::applyRenewal(shard_index shard, const shard_owner &owner, log_offset asOf)
{
    shard_entry &entry = m_shards.at(shard);
    if (owner.token < entry.renewedFence) {
        return;
    }
    entry.renewedFence = owner.token;
    entry.provisional = asOf + 1 < m_firstOffset;
    entry.ambiguous = false;
    entry.claims = {owner};
    for (const auto &candidate : entry.candidates) {
        if (candidate.owner.token > asOf) {
            applyClaim(entry, candidate);
        }
    }
    if (!entry.provisional) {
        entry.candidates.clear();
    }
    dropSupersededTakeover(shard);
    // A claim of this daemon that was accepted without knowledge of the earlier owner may turn out to be invalid.
    const auto served = m_served.find(shard);
    if (served != m_served.end()
        && std::ranges::find(entry.claims, served->second.token, &shard_owner::token) == entry.claims.end()) {
        m_served.erase(served);
        m_lost.push_back(shard);
    }
}

void ownership::onReleased(const shard_released &release)
{
    for (const auto &[shard, token] : release.shards) {
        shard_entry &entry = m_shards.at(shard);
        if (currentFence(shard) != token || token == 0 || entry.claims.back().daemon != release.by) {
            continue;
        }
        entry.claims.back().released = true;
        entry.claims.erase(entry.claims.begin(), entry.claims.end() - 1);
    }
}

// Cancels a takeover whose claim is no longer the last valid one.
void ownership::dropSupersededTakeover(shard_index shard)
{
    const auto found = m_takeovers.find(shard);
    if (found != m_takeovers.end() && found->second.token != currentFence(shard)) {
        m_takeovers.erase(found);
    }
}

// ---- Takeover ----

void ownership::beginTakeover(shard_index shard)
{
    const auto &claims = m_shards.at(shard).claims;
    takeover pending;
    pending.token = claims.back().token;
    pending.previous = {claims.rbegin() + 1, claims.rend()};
    m_takeovers.insert_or_assign(shard, std::move(pending));
    continueTakeover(shard);
}

void ownership::continueTakeover(shard_index shard)
{
    takeover &pending = m_takeovers.at(shard);
    if (pending.step == pending.previous.size()) {
        restore(shard, pending, {});
    } else {
        m_journalsToRead[pending.previous[pending.step].journal].insert(shard);
    }
}

std::vector<log_request> ownership::poll(time_point now)
{
    for (auto it = m_journalsToRead.begin(); it != m_journalsToRead.end();) {
        if (m_readers.contains(it->first)) {
            ++it;
            continue;
        }
        beginReading(it->first, it->second);
        it = m_journalsToRead.erase(it);
    }
    renewClaims(now);
    std::vector<log_request> requests;
    for (auto &[journal, reader] : m_readers) {
        std::ranges::move(reader.stream.poll(now), std::back_inserter(requests));
    }
    return requests;
}

bool ownership::needsJournal(const takeover &pending, const std::string &journal)
{
    return pending.step < pending.previous.size() && pending.previous[pending.step].journal == journal
        && !pending.programs && !pending.result;
}

void ownership::beginReading(const std::string &journal, const std::set<shard_index> &shards)
{
    const std::uint64_t sequence = m_peerSequences.try_emplace(journal, 1).first->second;
    journal_reader reader{.stream = log_stream(journal, m_self, m_options.peerJournalOptions, sequence),
                          .writer = {},
                          .seal = {},
                          .replays = {}};
    for (const shard_index shard : shards) {
        const auto found = m_takeovers.find(shard);
        // The takeover that needed the journal may have been superseded, possibly by a later one of the same shard.
        if (found == m_takeovers.end() || !needsJournal(found->second, journal)) {
            continue;
        }
        const takeover &pending = found->second;
        reader.writer = pending.previous[pending.step].daemon;
        reader.seal.push_back({shard, pending.token});
        reader.replays.emplace(shard, shard);
    }
    if (reader.seal.empty()) {
        return;
    }
    const shards_sealed seal{reader.seal, m_self};
    if (journal == m_ownJournal) {
        m_journalRecords.emplace_back(seal); // Through the own log_stream, which numbers the records of this journal.
    } else {
        reader.stream.submit(seal, {});
    }
    reader.stream.requestRead();
    m_readers.emplace(journal, std::move(reader));
}

void ownership::onAppend(const append_result &result, time_point now)
{
    if (const auto found = m_readers.find(result.stream); found != m_readers.end()) {
        found->second.stream.onAppend(result, now);
    }
}

void ownership::onRead(const read_result &result, time_point now)
{
    const auto found = m_readers.find(result.stream);
    if (found == m_readers.end()) {
        return;
    }
    journal_reader &reader = found->second;
    for (const auto &record : reader.stream.onRead(result, now)) {
        for (auto &[shard, replay] : reader.replays) {
            replay.apply(record, reader.writer, result.stream);
        }
        const auto *seal = std::get_if<shards_sealed>(&record.record);
        if (seal != nullptr && *seal == shards_sealed{reader.seal, m_self}) {
            finishReading(result.stream);
            proposeClaims();
            return;
        }
    }
}

void ownership::finishReading(const std::string &journal)
{
    journal_reader reader = std::move(m_readers.extract(journal).mapped());
    m_peerSequences[journal] = reader.stream.nextSequence();
    for (const auto &[shard, token] : reader.seal) {
        const auto found = m_takeovers.find(shard);
        if (found == m_takeovers.end() || found->second.token != token) {
            continue; // Superseded while reading.
        }
        takeover &pending = found->second;
        bool opened = false;
        while (!opened && pending.step < pending.previous.size() && pending.previous[pending.step].journal == journal) {
            const shard_owner &previous = pending.previous[pending.step++];
            if (auto programs = reader.replays.at(shard).takeEpoch(previous.token)) {
                opened = true;
                pending.previousToken = previous.token;
                pending.released = previous.released;
                restore(shard, pending, std::move(*programs));
            }
        }
        if (!opened) {
            continueTakeover(shard);
        }
    }
}

// If this daemon still serves the shard under an older fencing token because it has not read the seal yet, its ledger
// may still write records of that epoch. They must not follow the snapshots, so the journal is sealed and the seal read
// back first.
void ownership::restore(shard_index shard, takeover &pending, std::vector<replayed_program> programs)
{
    pending.programs = std::move(programs);
    if (m_served.contains(shard)) {
        m_journalRecords.emplace_back(shards_sealed{{{shard, pending.token}}, m_self});
    } else {
        submitSnapshots(shard, pending);
    }
}

// Submits the restored programs and shard_opened together, so that no record of an earlier epoch can come in between.
void ownership::submitSnapshots(shard_index shard, takeover &pending)
{
    opened_shard opened{.shard = shard, .token = pending.token, .previousToken = pending.previousToken, .programs = {}};
    auto programs = *std::exchange(pending.programs, std::nullopt);
    m_journalRecords.emplace_back(shards_sealed{{{shard, pending.token}}, m_self});
    for (auto &program : programs) {
        const program_state &state = program.state;
        m_journalRecords.emplace_back(program_snapshot{state});
        if (program.unsettledReservation) {
            // Without this record the next owner would assume that the call never started and run it again.
            m_journalRecords.emplace_back(*program.unsettledReservation);
        }
        const bool mayHaveRun =
            !pending.released && !state.closed && !program.unsettledReservation && state.reservedAhead > 0;
        opened.programs.push_back({std::move(program.state), std::move(program.unsettledReservation), mayHaveRun});
    }
    m_journalRecords.emplace_back(shard_opened{shard, pending.token});
    pending.result = std::move(opened);
}

// ---- Own journal ----

std::vector<shard_index> ownership::onOwnJournalRecords(const std::vector<stream_record> &records, time_point /*now*/)
{
    std::vector<shard_index> lost = std::exchange(m_lost, {});
    for (const auto &record : records) {
        if (const auto *seal = std::get_if<shards_sealed>(&record.record)) {
            onOwnSeal(*seal, lost);
        } else if (const auto *opened = std::get_if<shard_opened>(&record.record); opened != nullptr && record.own) {
            onOwnOpened(*opened);
        }
    }
    proposeClaims();
    return lost;
}

void ownership::onOwnSeal(const shards_sealed &seal, std::vector<shard_index> &lost)
{
    for (const auto &[shard, token] : seal.shards) {
        fence &highest = m_ownSeals[shard];
        highest = std::max(highest, token);
        const auto served = m_served.find(shard);
        if (served != m_served.end() && served->second.token < token) {
            m_served.erase(served);
            lost.push_back(shard);
        }
        const auto pending = m_takeovers.find(shard);
        if (pending != m_takeovers.end() && pending->second.token < token) {
            m_takeovers.erase(pending);
        } else if (pending != m_takeovers.end() && pending->second.token == token && pending->second.programs) {
            submitSnapshots(shard, pending->second);
        }
    }
    if (const auto reader = m_readers.find(m_ownJournal); reader != m_readers.end() && seal.by == m_self) {
        reader->second.stream.requestRead();
    }
}

void ownership::onOwnOpened(const shard_opened &opened)
{
    const auto pending = m_takeovers.find(opened.shard);
    const bool valid = m_ownSeals[opened.shard] <= opened.token;
    if (pending != m_takeovers.end() && pending->second.token == opened.token && pending->second.result && valid) {
        m_opened.push_back(std::move(*pending->second.result));
        m_takeovers.erase(pending);
        m_served[opened.shard] = {.token = opened.token, .renewed = std::nullopt};
        m_nextRenewal = m_options.claimRenewal.count() > 0 ? std::optional(time_point{}) : std::nullopt;
        return;
    }
    const auto served = m_served.find(opened.shard);
    if (served == m_served.end() || served->second.token != opened.token || served->second.openedUnread == 0) {
        return;
    }
    served->second.openedUnread -= 1;
    if (served->second.releasing && served->second.openedUnread == 0) {
        m_ownershipRecords.emplace_back(shard_released{{{opened.shard, opened.token}}, m_self});
    }
}

// A second shard_opened marks the end of the shard's records: once it has been read back, all of them are durable and
// the release may be written.
void ownership::releaseShards(const std::vector<shard_index> &shards, time_point /*now*/)
{
    for (const shard_index shard : shards) {
        std::erase(m_wanted, shard);
        const auto served = m_served.find(shard);
        if (served == m_served.end() || served->second.releasing) {
            continue;
        }
        served->second.releasing = true;
        served->second.openedUnread += 1;
        m_journalRecords.emplace_back(shard_opened{shard, served->second.token});
    }
}

// The first renewal is written immediately after opening. It tells readers that start later that this claim was valid,
// which they cannot determine if the claim it was based on has expired.
void ownership::renewClaims(time_point now)
{
    if (m_options.claimRenewal.count() == 0 || !m_nextRenewal || now < *m_nextRenewal) {
        return;
    }
    // Recomputed here, so that other calls need not visit every served shard.
    m_nextRenewal.reset();
    shard_claimed renewal{.expected = {},
                          .by = m_self,
                          .journal = m_ownJournal,
                          .httpAddress = m_addresses.http,
                          .peerAddress = m_addresses.peer,
                          .zone = m_addresses.zone,
                          .renewedAsOf = m_position};
    for (auto &[shard, served] : m_served) {
        if (served.releasing) {
            continue;
        }
        const bool due = !served.renewed || now >= *served.renewed + m_options.claimRenewal;
        served.renewed = due ? now : *served.renewed;
        const auto next = *served.renewed + m_options.claimRenewal;
        m_nextRenewal = m_nextRenewal ? std::min(*m_nextRenewal, next) : next;
        if (!due) {
            continue;
        }
        if (currentFence(shard) == served.token) {
            served.openedUnread += 1;
            renewal.expected.push_back({shard, served.token});
            m_journalRecords.emplace_back(shard_opened{shard, served.token});
        }
    }
    if (!renewal.expected.empty()) {
        m_ownershipRecords.emplace_back(std::move(renewal));
    }
}

// ---- Queries ----

std::vector<log_record> ownership::takeOwnershipRecords()
{
    return std::exchange(m_ownershipRecords, {});
}

std::vector<log_record> ownership::takeJournalRecords()
{
    return std::exchange(m_journalRecords, {});
}

std::vector<opened_shard> ownership::takeOpenedShards()
{
    return std::exchange(m_opened, {});
}

bool ownership::handlesStream(const std::string &stream) const
{
    return m_readers.contains(stream);
}

bool ownership::serves(shard_index shard) const
{
    return servedFence(shard).has_value();
}

std::optional<fence> ownership::servedFence(shard_index shard) const
{
    const auto found = m_served.find(shard);
    return found == m_served.end() || found->second.releasing ? std::nullopt : std::optional(found->second.token);
}

std::set<shard_index> ownership::servedShards() const
{
    std::set<shard_index> shards;
    for (const auto &[shard, served] : m_served) {
        if (!served.releasing) {
            shards.insert(shard);
        }
    }
    return shards;
}

const shard_owner *ownership::ownerOf(shard_index shard) const
{
    const auto &claims = m_shards.at(shard).claims;
    return claims.empty() ? nullptr : &claims.back();
}

std::size_t ownership::takeoversInProgress() const
{
    return m_pendingClaims.size() + m_takeovers.size();
}

std::optional<time_point> ownership::nextDeadline() const
{
    std::optional<time_point> next;
    const auto addDeadline = [&next](std::optional<time_point> when) {
        next = next && when ? std::min(*next, *when) : next ? next : when;
    };
    for (const auto &[journal, reader] : m_readers) {
        addDeadline(reader.stream.nextDeadline());
    }
    if (std::ranges::any_of(m_journalsToRead, [this](const auto &entry) { return !m_readers.contains(entry.first); })) {
        addDeadline(time_point{});
    }
    addDeadline(m_nextRenewal);
    return next;
}

} // namespace jackdawpick
