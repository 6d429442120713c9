#include "ledger_replay/ledger_replay.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

template<typename... F> struct overloaded : F...
{
    using F::operator()...;
};
template<typename... F> overloaded(F...) -> overloaded<F...>;

} // namespace

void program_replay::apply(const log_record &record, log_offset offset, const std::string &journal)
{
    const auto update = [this](const program_key &key, auto change) {
        if (const auto found = m_programs.find(key); found != m_programs.end()) {
            change(found->second);
        }
    };
    std::visit(
        overloaded{
            [&](const program_opened &r) {
                replayed_program fresh;
                fresh.state.key = r.key;
                fresh.state.parent = r.parent;
                fresh.state.rank = r.rank;
                fresh.state.budget = r.budget;
                m_programs.insert_or_assign(r.key, std::move(fresh));
            },
            [&](const call_reserved &r) { update(r.key, [&r](replayed_program &p) { p.unsettledReservation = r; }); },
            [&](const call_settled &r) { update(r.key, [&](replayed_program &p) { apply(p, r, offset, journal); }); },
            [&](const budget_carved &r) {
                update(r.parent, [&r](replayed_program &p) { p.state.carved += r.tokens; });
            },
            [&](const budget_returned &r) {
                update(r.parent, [&r](replayed_program &p) {
                    p.state.carved -= std::min(p.state.carved, r.unspent);
                    p.state.attainedService += r.attained;
                });
            },
            [&](const program_closed &r) {
                update(r.key, [](replayed_program &p) {
                    p.state.closed = true;
                    p.state.reservedAhead = 0;
                    p.unsettledReservation.reset();
                });
            },
            [&](const cache_released &r) {
                update(r.key, [&r](replayed_program &p) { std::erase(p.state.cacheHolders, r.endpoint); });
            },
            [&](const program_snapshot &r) {
                m_programs.insert_or_assign(r.state.key, replayed_program{r.state, std::nullopt});
            },
            [](const auto &) {},
        },
        record);
}

void program_replay::apply(replayed_program &program, const call_settled &record, log_offset offset,
                           const std::string &journal)
{
    program_state &state = program.state;
    program.unsettledReservation.reset();
    state.spent += record.tokensSpent;
    state.attainedService += record.tokensSpent;
    state.reservedAhead = record.reservedAhead;
    state.cacheHolders = record.cacheHolders;
    if (record.outcome == execution::NotRun) {
        state.attempt = record.attempt + 1;
        return;
    }
    state.settledTurn = record.turn;
    state.attempt = 0;
    state.history = record.history;
    state.messageCount = record.messageCount;
    state.lastTurnOffset = offset;
    state.lastTurnJournal = journal;
    state.lastContentDigest = record.contentDigest;
    state.lastOutcome = record.outcome;
    state.lastAnswer = record.answer;
}

const replayed_program *program_replay::find(const program_key &key) const
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? nullptr : &found->second;
}

std::vector<replayed_program> program_replay::extractAll()
{
    std::vector<replayed_program> all;
    all.reserve(m_programs.size());
    std::ranges::transform(m_programs, std::back_inserter(all), [](auto &entry) { return std::move(entry.second); });
    m_programs.clear();
    std::ranges::sort(
        all, std::ranges::less{}, [](const replayed_program &p) -> const auto & { return p.state.key; });
    return all;
}

void program_replay::clear()
{
    m_programs.clear();
}

shard_replay::shard_replay(shard_index shard)
    : m_shard(shard)
{
}

void shard_replay::apply(const stream_record &record, const daemon_identity &writer, const std::string &journal)
{
    if (const auto *seal = std::get_if<shards_sealed>(&record.record)) {
        onSeal(*seal, writer);
        return;
    }
    // Other daemons may write only seals into this journal.
    if (m_sealedByOther || record.writer != writer || shardOfRecord(record.record) != m_shard) {
        return;
    }
    if (const auto *opened = std::get_if<shard_opened>(&record.record)) {
        if (opened->token >= m_highestFence) {
            m_highestFence = opened->token;
            m_opened = true;
        }
        return;
    }
    m_programs.apply(record.record, record.offset, journal);
}

void shard_replay::onSeal(const shards_sealed &seal, const daemon_identity &writer)
{
    const auto entry = std::ranges::find(seal.shards, m_shard, &shard_fence::shard);
    const bool beginsEpoch = entry != seal.shards.end() && seal.by == writer;
    // A delayed seal by an earlier claimant must not end a newer epoch. The writer's own seal appears twice if the
    // writer sealed its own journal to restore from it before it began the epoch.
    if (entry == seal.shards.end() || entry->token < m_highestFence
        || (entry->token == m_highestFence && !beginsEpoch)) {
        return;
    }
    if (m_opened && entry->token > m_highestFence) {
        m_epochs.insert_or_assign(m_highestFence, m_programs.extractAll());
    }
    m_highestFence = entry->token;
    m_opened = false;
    m_sealedByOther = !beginsEpoch;
    m_programs.clear();
}

std::optional<std::vector<replayed_program>> shard_replay::takeEpoch(fence token)
{
    const auto found = m_epochs.find(token);
    if (found == m_epochs.end()) {
        return std::nullopt;
    }
    return std::move(m_epochs.extract(found).mapped());
}

} // namespace jackdawpick
