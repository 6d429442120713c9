#include "store/partition_log.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::store
{

ticket_id partition_log::append(const partition &where, shared_text record, time_point deadline)
{
    auto &state = m_partitions[where];
    m_active.insert(where);
    const ticket_id ticket{++m_lastTicket};
    state.queued.push_back({.ticket = ticket, .record = std::move(record), .deadline = deadline});
    startAppend(where, state);
    return ticket;
}

ticket_id partition_log::catchUp(const partition &where, time_point deadline)
{
    auto &state = m_partitions[where];
    m_active.insert(where);
    const ticket_id ticket{++m_lastTicket};
    state.pendingReads.push_back({.ticket = ticket, .afterRead = state.readsStarted, .deadline = deadline});
    startRead(where, state);
    return ticket;
}

void partition_log::rewind(const partition &where, std::uint64_t offset)
{
    if (const auto found = m_partitions.find(where); found != m_partitions.end()) {
        found->second.next = std::min(found->second.next, offset);
    }
}

bool partition_log::isRewound(const partition &where) const
{
    const auto found = m_partitions.find(where);
    return found != m_partitions.end() && found->second.next < found->second.delivered;
}

void partition_log::startAppend(const partition &where, partition_state &state)
{
    if (state.appendCall.has_value() || state.queued.empty() || state.retryAppendAt.has_value()) {
        return;
    }
    append_call batch{.where = where};
    for (auto &entry : state.queued) {
        batch.records.push_back(entry.record);
        state.inFlight.push_back(std::move(entry));
    }
    state.queued.clear();
    const call_id id{++m_lastCall};
    state.appendCall = id;
    m_calls.emplace(m_lastCall, pending_call{.where = where});
    m_outputs.emplace_back(start_call{.id = id, .what = std::move(batch)});
}

void partition_log::startRead(const partition &where, partition_state &state)
{
    if (state.readCall.has_value() || state.retryReadAt.has_value()) {
        return;
    }
    const call_id id{++m_lastCall};
    state.readCall = id;
    ++state.readsStarted;
    m_calls.emplace(m_lastCall, pending_call{.where = where, .isRead = true, .from = state.next});
    m_outputs.emplace_back(start_call{.id = id, .what = read_call{.where = where, .from = state.next}});
}

void partition_log::onReply(call_id id, const reply &result, time_point now)
{
    const auto node = m_calls.extract(static_cast<std::uint64_t>(id));
    if (!node) {
        return;
    }
    const partition &where = node.mapped().where;
    auto &state = m_partitions[where];
    if (!node.mapped().isRead) {
        state.appendCall.reset();
        if (const auto *done = std::get_if<appended>(&result)) {
            onAppended(state, *done);
        } else {
            const auto *reason = std::get_if<failure>(&result);
            onAppendFailed(state, reason == nullptr ? failure::NoReply : *reason, now);
        }
        startAppend(where, state);
    } else {
        state.readCall.reset();
        if (const auto *records = std::get_if<records_read>(&result)) {
            // After a rewind since the read began, the records before it come first.
            if (node.mapped().from <= state.next) {
                onRead(where, state, *records);
            }
            if (!state.pendingReads.empty()) {
                startRead(where, state);
            }
        } else if (const auto *expiredRecords = std::get_if<expired>(&result)) {
            state.next = std::max(state.next, expiredRecords->first);
            startRead(where, state);
        } else {
            state.retryReadAt = now + retryDelay;
        }
    }
    failOverdue(state, now);
    if (idle(state) && !state.retryReadAt.has_value()) {
        m_active.erase(where);
    }
}

void partition_log::onAppended(partition_state &state, const appended &result)
{
    std::uint64_t offset = result.offset;
    for (const auto &entry : std::exchange(state.inFlight, {})) {
        m_outputs.emplace_back(ticket_result{.ticket = entry.ticket, .done = true, .offset = offset});
        ++offset;
    }
}

void partition_log::onAppendFailed(partition_state &state, failure reason, time_point now)
{
    auto failed = std::exchange(state.inFlight, {});
    if (reason == failure::Rejected) {
        std::ranges::for_each(failed, [this](const pending_append &entry) {
            m_outputs.emplace_back(ticket_result{.ticket = entry.ticket});
        });
        return;
    }
    state.queued.insert(state.queued.begin(), std::make_move_iterator(failed.begin()),
                        std::make_move_iterator(failed.end()));
    state.retryAppendAt = now + retryDelay;
}

// A reply may begin before the requested offset; skips records that have already been delivered.
void partition_log::deliver(const partition &where, partition_state &state, const records_read &result)
{
    std::vector<record> newRecords;
    std::ranges::copy_if(result.records, std::back_inserter(newRecords),
                         [&](const record &entry) { return entry.offset >= state.next; });
    if (!newRecords.empty()) {
        state.next = newRecords.back().offset + 1;
        state.delivered = std::max(state.delivered, state.next);
        m_outputs.emplace_back(deliver_records{.where = where, .records = std::move(newRecords)});
    }
}

void partition_log::onRead(const partition &where, partition_state &state, const records_read &result)
{
    deliver(where, state, result);
    if (state.next >= result.end) {
        const auto readNumber = state.readsStarted;
        std::erase_if(state.pendingReads, [&](const pending_read &entry) {
            const bool complete = readNumber > entry.afterRead;
            if (complete) {
                m_outputs.emplace_back(ticket_result{.ticket = entry.ticket, .done = true});
            }
            return complete;
        });
    }
}

void partition_log::failOverdue(partition_state &state, time_point now)
{
    const auto failIfOverdue = [&](const auto &entry) {
        if (entry.deadline > now) {
            return false;
        }
        m_outputs.emplace_back(ticket_result{.ticket = entry.ticket});
        return true;
    };
    std::erase_if(state.queued, failIfOverdue);
    std::erase_if(state.pendingReads, failIfOverdue);
}

bool partition_log::idle(const partition_state &state)
{
    return state.queued.empty() && state.inFlight.empty() && state.pendingReads.empty() && !state.readCall.has_value()
        && !state.appendCall.has_value();
}

void partition_log::tick(time_point now)
{
    const std::set<partition> active = m_active;
    for (const auto &where : active) {
        auto &state = m_partitions[where];
        failOverdue(state, now);
        if (state.retryAppendAt.has_value() && *state.retryAppendAt <= now) {
            state.retryAppendAt.reset();
            startAppend(where, state);
        }
        if (state.retryReadAt.has_value() && *state.retryReadAt <= now) {
            state.retryReadAt.reset();
            if (!state.pendingReads.empty()) {
                startRead(where, state);
            }
        }
        if (idle(state) && !state.retryAppendAt.has_value() && !state.retryReadAt.has_value()) {
            m_active.erase(where);
        }
    }
}

std::optional<time_point> partition_log::nextDeadline() const
{
    std::optional<time_point> earliest;
    const auto takeEarlier = [&earliest](time_point when) {
        earliest = earliest.has_value() ? std::min(*earliest, when) : when;
    };
    for (const auto &where : m_active) {
        const auto &state = m_partitions.at(where);
        std::ranges::for_each(state.queued, takeEarlier, &pending_append::deadline);
        std::ranges::for_each(state.pendingReads, takeEarlier, &pending_read::deadline);
        if (state.retryAppendAt.has_value()) {
            takeEarlier(*state.retryAppendAt);
        }
        if (state.retryReadAt.has_value()) {
            takeEarlier(*state.retryReadAt);
        }
    }
    return earliest;
}

std::vector<log_output> partition_log::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace jackdawpick::store
