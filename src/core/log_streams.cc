#include "core/internal/state.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

// Limits the snapshots per maintenance step, so that they do not delay turn records.
constexpr std::size_t snapshotsPerStep = 64;

} // namespace

std::uint64_t core::implementation::journalRecords(std::vector<log_record> records)
{
    std::uint64_t sequence = 0;
    for (auto &record : records) {
        sequence = journal.submit(std::move(record), now);
    }
    return sequence;
}

void core::implementation::pollLog()
{
    for (auto &record : owners.takeOwnershipRecords()) {
        ownershipStream.submit(std::move(record), now);
    }
    journalRecords(owners.takeJournalRecords());
    const auto send = [this](std::vector<log_request> requests) {
        for (auto &request : requests) {
            const auto *read = std::get_if<read_request>(&request);
            if (read != nullptr && read->stream == journal.name()) {
                lastJournalReadSentAt = now;
            }
            emit(send_log_request{std::move(request)});
        }
    };
    send(journal.poll(now));
    send(ownershipStream.poll(now));
    send(configurationStream.poll(now));
    send(owners.poll(now));
}

bool core::implementation::logUnavailable() const
{
    const auto since = journal.unhealthySince();
    return since && now - *since >= options.outageThreshold;
}

void core::implementation::on(append_finished &received)
{
    const auto &stream = received.result.stream;
    if (stream == journal.name()) {
        journal.onAppend(received.result, now);
    } else if (stream == ownershipStream.name()) {
        ownershipStream.onAppend(received.result, now);
    } else if (stream == configurationStream.name()) {
        configurationStream.onAppend(received.result, now);
    }
    if (owners.handlesStream(stream)) {
        owners.onAppend(received.result, now);
    }
}

void core::implementation::on(read_finished &received)
{
    const auto &result = received.result;
    if (result.tag != 0) {
        continueHistory(result.tag, result);
    } else if (result.stream == journal.name()) {
        // The answer may have been queued while this daemon was suspended; it is current only as of its request.
        journalCurrentAsOf = result.ok ? lastJournalReadSentAt : journalCurrentAsOf;
        onJournal(journal.onRead(result, now));
    } else if (result.stream == ownershipStream.name()) {
        owners.onOwnershipRecords(ownershipStream.onRead(result, now), now);
        if (!ownershipEstablished && ownershipStream.caughtUp()) {
            ownershipEstablished = true;
            owners.onOwnershipCaughtUp();
        }
    } else if (result.stream == configurationStream.name()) {
        onConfiguration(configurationStream.onRead(result, now));
        if (!configurationEstablished && configurationStream.caughtUp()) {
            configurationEstablished = true;
            configurations.onCaughtUp(now);
        }
    }
    // Ownership also reads this daemon's journal when it restores a shard that this daemon owned before.
    if (result.tag == 0 && owners.handlesStream(result.stream)) {
        owners.onRead(result, now);
    }
}

// Records are processed one at a time: a record is only confirmed if no seal of its shard precedes it.
void core::implementation::onJournal(const std::vector<stream_record> &records)
{
    for (const auto &record : records) {
        for (const auto shard : owners.onOwnJournalRecords({record}, now)) {
            log(log_level::Info, "shard_lost", {{"shard", shard}, {"offset", record.offset}});
            stopServingShard(shard);
        }
        if (!record.own) {
            continue;
        }
        if (const auto *settled = std::get_if<call_settled>(&record.record);
            settled != nullptr && settled->outcome != execution::NotRun) {
            programs.confirmTurn(settled->key, settled->turn, journal.name(), record.offset);
        }
        onRecordsCommitted(record.sequence);
    }
}

void core::implementation::openShards()
{
    for (auto &opened : owners.takeOpenedShards()) {
        const auto lease = configurations.current().limits.programLease;
        journalRecords(programs.openShard(opened, lease, now));
        for (const auto &restored : opened.programs) {
            const auto &state = restored.state;
            if (state.closed) {
                releaseCaches(state.key, state.cacheHolders);
            } else {
                auto named = state.cacheHolders;
                std::erase(named, unidentifiedEndpoint);
                caches.restore(state.key, named, state.history.tokens, now);
            }
        }
        releaseUnownedCaches(opened.shard);
        log(opened.programs.empty() ? log_level::Debug : log_level::Info, "shard_opened",
            {{"shard", opened.shard}, {"fence", opened.token}, {"programs", opened.programs.size()}});
    }
}

void core::implementation::onConfiguration(const std::vector<stream_record> &records)
{
    const auto before = configurations.version();
    for (const auto &outcome : configurations.onRecords(records, now)) {
        onPublicationDecided(outcome);
    }
    const auto version = configurations.version();
    if (version == before) {
        return;
    }
    versionReverted = versionReverted || version < highestVersion;
    highestVersion = std::max(highestVersion, version);
    queue.configure(configurations.current().ranks, configurations.current().limits);
    log(log_level::Info, "configuration_in_force", {{"version", version}});
    notifyPeers(configuration_hint{version}, members.neighbours());
}

void core::implementation::renewRecords()
{
    if (logUnavailable()) {
        return;
    }
    // Renewal is staggered by the position in the list of daemons, so that usually only the first daemon renews.
    const auto live = members.liveDaemons(now);
    const auto own = std::ranges::find(live, options.self.daemon.name,
                                       [](const member_identity &member) { return member.daemon.name; });
    const auto position = std::min<std::int64_t>(own - live.begin(), 8);
    const auto renewAfter = options.retention / 4 + position * options.retention / 64;
    if (auto renewal = configurations.dueRenewal(renewAfter, now)) {
        configurationStream.submit(std::move(*renewal), now);
    }
    if (!journal.full()) {
        journalRecords(programs.dueSnapshots(snapshotsPerStep, now));
    }
}

} // namespace jackdawpick
