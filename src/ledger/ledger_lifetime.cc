// Leases, closing of programs, and the receipts and snapshots that preserve state beyond the log's retention.

#include "ledger/ledger.h"

#include "receipts/receipts.h"

#include <algorithm>
#include <utility>

namespace jackdawpick
{

void ledger::renewLease(program_entry &program, time_point now)
{
    const auto &key = program.state.key;
    m_leases.erase({program.leaseEnd, key});
    program.leaseEnd = now + program.lease;
    m_leases.emplace(program.leaseEnd, key);
    // A parent makes no calls of its own while it waits for its sub-agents, so their calls renew its lease too.
    const auto parent = parentOf(key);
    const auto found = parent ? m_programs.find(*parent) : m_programs.end();
    if (found != m_programs.end() && !found->second.state.closed) {
        renewLease(found->second, now);
    }
}

std::vector<closed_program> ledger::close(const program_key &key, close_reason reason, time_point now)
{
    std::vector<closed_program> closed;
    const auto found = m_programs.find(key);
    if (found != m_programs.end() && !found->second.state.closed) {
        closeTree(found->second, reason, now, closed);
    }
    return closed;
}

void ledger::closeTree(program_entry &program, close_reason reason, time_point now, std::vector<closed_program> &closed)
{
    const std::vector<program_key> children = std::exchange(program.children, {});
    for (const auto &child : children) {
        if (const auto found = m_programs.find(child); found != m_programs.end() && !found->second.state.closed) {
            closeTree(found->second, close_reason::ParentClosed, now, closed);
        }
    }
    const program_key key = program.state.key;
    m_leases.erase({program.leaseEnd, key});
    m_snapshots.erase({program.snapshotAt, key});
    program.state.closed = true;
    program.state.reservedAhead = 0;
    program.leaseEnd = now + m_options.closedProgramRetention;
    m_closed.emplace(program.leaseEnd, key);
    closed_program ended{
        .key = key, .cacheHolders = program.state.cacheHolders, .records = {program_closed{key, reason}}};
    returnBudgetToParent(program, ended.records);
    closed.push_back(std::move(ended));
}

void ledger::returnBudgetToParent(const program_entry &child, std::vector<log_record> &records)
{
    const auto parent = parentOf(child.state.key);
    const auto found = parent ? m_programs.find(*parent) : m_programs.end();
    if (found == m_programs.end() || found->second.state.closed) {
        return;
    }
    const token_count used = child.state.spent + child.state.carved;
    const token_count unspent = child.state.budget > used ? child.state.budget - used : 0;
    found->second.state.carved -= std::min(unspent, found->second.state.carved);
    std::erase(found->second.children, child.state.key);
    records.emplace_back(budget_returned{*parent, child.state.key, unspent, child.state.attainedService});
}

std::optional<log_record> ledger::cacheReleased(const program_key &key, const std::string &endpoint)
{
    const auto found = m_programs.find(key);
    if (found == m_programs.end() || std::erase(found->second.state.cacheHolders, endpoint) == 0) {
        return std::nullopt;
    }
    return cache_released{key, endpoint};
}

void ledger::evictClosedPrograms(time_point now)
{
    while (!m_closed.empty() && m_closed.begin()->first <= now) {
        const auto [when, key] = *m_closed.begin();
        m_closed.erase(m_closed.begin());
        m_byShard[shardOf(key)].erase(key);
        m_programs.erase(key);
    }
}

// ---- Durability ----

std::string ledger::receiptFor(const program_key &key, fence token) const
{
    const auto *program = findEntry(key);
    if (program == nullptr || m_options.receiptKey.empty()) {
        return {};
    }
    const auto &state = program->state;
    return signReceipt({.program = key,
                        .turn = state.settledTurn,
                        .history = state.history,
                        .messageCount = state.messageCount,
                        .budget = state.budget,
                        .spent = state.spent,
                        .delegated = state.carved,
                        .attainedService = state.attainedService,
                        .rank = state.rank,
                        .fencingToken = token},
                       m_options.receiptKey);
}

std::vector<log_record> ledger::dueSnapshots(std::size_t limit, time_point now)
{
    std::vector<log_record> records;
    while (records.size() < limit && !m_snapshots.empty() && m_snapshots.begin()->first <= now) {
        const auto key = m_snapshots.begin()->second;
        m_snapshots.erase(m_snapshots.begin());
        program_entry &program = m_programs.at(key);
        // A snapshot does not include a call in flight, so it is postponed until the call has been settled.
        const bool busy = program.call.has_value() || !program.turnConfirmed;
        program.snapshotAt = now + (busy ? duration(std::chrono::seconds(1)) : duration(m_options.snapshotInterval));
        m_snapshots.emplace(program.snapshotAt, key);
        if (!busy) {
            records.emplace_back(program_snapshot{program.state});
        }
    }
    return records;
}

std::vector<program_key> ledger::takeExpiredLeases(time_point now)
{
    std::vector<program_key> keys;
    while (!m_leases.empty() && m_leases.begin()->first <= now) {
        const auto key = m_leases.begin()->second;
        program_entry &program = m_programs.at(key);
        if (busyProgramsInTree(key).empty()) {
            keys.push_back(key);
        }
        renewLease(program, now);
    }
    return keys;
}

std::optional<time_point> ledger::nextDeadline() const
{
    std::optional<time_point> next;
    for (const auto *index : {&m_leases, &m_snapshots, &m_closed}) {
        if (!index->empty() && (!next || index->begin()->first < *next)) {
            next = index->begin()->first;
        }
    }
    return next;
}

} // namespace jackdawpick
