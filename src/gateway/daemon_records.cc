// The records by which daemons find each other: this daemon's own, those of the others, and the removal of those whose
// hosts are gone.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time before a failed registration is repeated; doubles with each failure in a row up to 8 s, since all daemons that
// start on a store which refuses them repeat theirs. Up to this share of it is added at random.
constexpr milliseconds registrationRetryDelay{500};
constexpr double registrationJitter = 0.5;
// A daemon that has been dead for this long is not expected back soon. Every other one tries to connect to it until its
// record is removed; if it is back, it writes a new one.
constexpr seconds goneAfter{20};

} // namespace

void gateway::implementation::registerSelf(time_point now)
{
    if (m_registrationPending || m_registerAt > now) {
        return;
    }
    m_registrationPending = true;
    const auto &self = m_options.self;
    startStoreCall(internal::registration_owner{},
                   store::put_call{m_options.layout.daemons, self.name, peers::encodeMessage(self)}, now);
}

void gateway::implementation::complete(const internal::registration_owner & /*owner*/, const store::reply &result,
                                       time_point now)
{
    m_registrationPending = false;
    if (std::holds_alternative<store::appended>(result)) { // The record is written once.
        m_registerAt = time_point::max();
        m_failedRegistrations = 0;
        return;
    }
    constexpr unsigned maxDoublings = 4;
    const auto delay = registrationRetryDelay * (1U << std::min(m_failedRegistrations, maxDoublings));
    m_registerAt = now + delay + std::chrono::duration_cast<milliseconds>(delay * (registrationJitter * random()));
    ++m_failedRegistrations;
}

void gateway::implementation::applyDaemons(const internal::watch_update &update, time_point now)
{
    for (const auto &record : update.records) {
        if (applyCrashRecord(record, update.writtenAfter.value_or(now), now)) {
            continue;
        }
        if (record.value.empty()) {
            onDaemonRemoved(record.key, now);
            continue;
        }
        const auto message = peers::decodeMessage(record.value);
        if (const auto *identity = message.has_value() ? std::get_if<peers::hello>(&*message) : nullptr) {
            m_peers.addOrUpdate(*identity, now);
        } else {
            log(log_level::Warning, "daemon_unreadable", {{"key", record.key}, {"offset", record.offset}});
        }
    }
}

void gateway::implementation::onDaemonRemoved(const std::string &name, time_point now)
{
    log(log_level::Info, "daemon_removed", {{"daemon", name}});
    if (name == m_options.self.name) {
        m_registerAt = now; // Another daemon has taken this one for gone.
        return;
    }
    m_peers.remove(name, m_effects);
    m_pool.removePeer(name);
}

// One daemon removes a record, and only while it reaches most of the others: else it is itself the one that is cut off.
void gateway::implementation::removeGoneDaemons(time_point now)
{
    const bool seesMost = (m_peers.aliveCount(now) + 1) * 2 > m_peers.size() + 1;
    if (!seesMost || m_shutdownBegan.has_value()) {
        return;
    }
    for (const auto &name : m_peers.deadFor(goneAfter, now)) {
        if (firstDaemon("records/" + name, now) == m_options.self.name) {
            log(log_level::Info, "daemon_record_deleted", {{"daemon", name}});
            startStoreCall(internal::gone_daemon_owner{}, store::put_call{m_options.layout.daemons, name, {}}, now);
        }
    }
}

void gateway::implementation::complete(const internal::gone_daemon_owner & /*owner*/, const store::reply &result,
                                       time_point /*now*/)
{
    // Deleted again if the watch does not show it.
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Warning, "daemon_record_not_deleted", {{"reason", store::nameOf(*reason)}});
    }
}

} // namespace jackdawpick::gateway
