#include "core/core.h"

#include "core/internal/state.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

constexpr auto maintenanceInterval = std::chrono::milliseconds(250);
// Prevents a busy loop if a component returns a deadline in the past.
constexpr auto minSleep = std::chrono::milliseconds(1);
// Longer than a takeover. The maximum number limits memory.
constexpr auto unownedCacheRetention = std::chrono::seconds(120);
constexpr std::size_t maxUnownedCaches = 8192;

std::string journalName(const daemon_identity &self)
{
    return fmt::format("journal.{}.{:x}", self.name, self.incarnation);
}

stream_options streamOptions(const core_options &options, std::chrono::milliseconds poll)
{
    stream_options stream;
    stream.pollInterval = poll;
    stream.responseTimeout = options.logTimeout;
    stream.maxBufferedBytes = options.maxBufferedBytes;
    return stream;
}

ownership_options ownershipOptions(const core_options &options)
{
    ownership_options owners;
    owners.peerJournalOptions = streamOptions(options, std::chrono::milliseconds(0));
    owners.claimRenewal = options.retention / 4;
    return owners;
}

ledger_options ledgerOptions(const core_options &options)
{
    ledger_options programs;
    programs.historyRewriteInterval = options.retention / 4;
    programs.snapshotInterval = options.retention / 2;
    programs.receiptKey = options.receiptKey;
    return programs;
}

daemon_addresses addressesOf(const member_identity &self)
{
    return {.http = self.httpAddress, .peer = self.peerAddress, .zone = self.zone};
}

} // namespace

std::string_view nameOf(call_phase phase)
{
    constexpr std::array<std::string_view, 4> names{"awaiting_reservation", "waiting", "running", "awaiting_commit"};
    return names.at(static_cast<std::size_t>(phase));
}

core::implementation::implementation(core_options settings)
    : options(std::move(settings))
    , journal(journalName(options.self.daemon), options.self.daemon,
              streamOptions(options, std::chrono::milliseconds(1000)))
    , ownershipStream("ownership", options.self.daemon, streamOptions(options, options.ownershipPollInterval))
    , configurationStream("configuration", options.self.daemon,
                          streamOptions(options, options.configurationPollInterval))
    , configurations(parseConfiguration)
    , members(options.self, options.members)
    , owners(options.self.daemon, journalName(options.self.daemon), addressesOf(options.self),
             ownershipOptions(options))
    , programs(ledgerOptions(options))
    , endpoints(options.endpoints, options.seed)
    , caches(options.caches)
    , queue(options.scheduling ? *options.scheduling : scheduler_options{}, options.seed)
{
}

void core::implementation::emit(effect what)
{
    pendingEffects.push_back(std::move(what));
}

void core::implementation::log(log_level level, std::string name, std::vector<log_field> fields)
{
    emit(write_log{level, std::move(name), std::move(fields)});
}

bool core::implementation::ready() const
{
    return configurationEstablished && ownershipEstablished && configurations.version() > 0;
}

void core::implementation::on(host_list_received &received)
{
    members.onHostList(received.hosts, now);
    endpoints.applyHostList(received.hosts, now);
    std::set<std::string> listed;
    std::ranges::transform(received.hosts, std::inserter(listed, listed.end()), &host_entry::name);
    for (const auto &name : listedHosts) {
        if (!listed.contains(name)) {
            caches.onEndpointRemoved(name);
        }
    }
    listedHosts = std::move(listed);
}

void core::implementation::on(load_received &received)
{
    if (const auto id = endpoints.find(received.endpoint)) {
        endpoints.onLoad(*id, received.report, now);
    }
    if (received.leaving) {
        onEndpointLeaving(received.endpoint);
    }
}

void core::implementation::on(cache_events_received &received)
{
    caches.onEvents(received.endpoint, received.events, now);
    // A program that was created during a log outage is only in the memory of its owner, so a daemon that takes over
    // its shard does not know it. The events name the caches to release in that case.
    for (const auto &stored : received.events) {
        const auto key = programKeyFrom(stored.program);
        if (!stored.stored || !key) {
            continue;
        }
        if (owners.serves(shardOf(*key))) {
            releaseIfNotOpen(*key, received.endpoint);
            continue;
        }
        unownedCaches.push_back({now, *key, received.endpoint});
        if (unownedCaches.size() > maxUnownedCaches || now - unownedCaches.front().at > unownedCacheRetention) {
            unownedCaches.pop_front();
        }
    }
}

void core::implementation::releaseIfNotOpen(const program_key &key, const std::string &endpoint)
{
    const auto *state = programs.find(key);
    if (state == nullptr || state->closed) {
        caches.releaseProgram(key, {endpoint}, now);
    }
}

void core::implementation::releaseUnownedCaches(shard_index shard)
{
    std::erase_if(unownedCaches, [&](const unowned_cache &cached) {
        const bool inShard = shardOf(cached.program) == shard;
        if (inShard) {
            releaseIfNotOpen(cached.program, cached.endpoint);
        }
        return inShard;
    });
}

void core::implementation::on(release_finished &received)
{
    if (!caches.onReleased({.program = received.program, .endpoint = received.endpoint}, received.acknowledged, now)) {
        return;
    }
    const auto slash = received.program.find('/');
    if (slash == std::string::npos) {
        return;
    }
    if (auto record = programs.cacheReleased({received.program.substr(0, slash), received.program.substr(slash + 1)},
                                             received.endpoint)) {
        journalRecords({std::move(*record)});
    }
}

void core::implementation::on(drain_requested &)
{
    if (drain) {
        return;
    }
    drain = true;
    drainDeadline = now + options.drainTimeout;
    members.setDraining(true);
    log(log_level::Info, "drain_started", {{"calls", calls.size()}, {"shards", owners.servedShards().size()}});
}

void core::implementation::on(tick &)
{
    expireWaiting();
    expireDeadlines();
    expireAnswers();
    expireForwardedCalls();
    finishCallsDuringOutage();
    for (const auto &key : programs.takeExpiredLeases(now)) {
        closeProgram(key, close_reason::LeaseExpired);
    }
    programs.evictClosedPrograms(now);
    if (now >= nextMaintenance) {
        nextMaintenance = now + maintenanceInterval;
        renewRecords();
        maintainMembership();
        advanceDrain();
    }
}

void core::implementation::afterEvent()
{
    openShards();
    assignWaitingCalls();
    for (const auto &release : caches.takeDueReleases(now)) {
        const auto id = endpoints.find(release.endpoint);
        emit(release_cache{release.program, release.endpoint, id ? endpoints.view(*id).address : std::string{}});
    }
    pollLog();
    checkInvariants();
}

std::optional<time_point> core::implementation::nextDeadline() const
{
    std::optional<time_point> next = nextMaintenance;
    const auto consider = [&next](std::optional<time_point> when) {
        if (when && (!next || *when < *next)) {
            next = when;
        }
    };
    consider(journal.nextDeadline());
    consider(ownershipStream.nextDeadline());
    consider(configurationStream.nextDeadline());
    consider(owners.nextDeadline());
    consider(members.nextDeadline());
    consider(programs.nextDeadline());
    consider(queue.nextDeadline());
    consider(caches.nextDeadline());
    if (!deadlines.empty()) {
        consider(deadlines.begin()->first);
    }
    return std::max(*next, now + minSleep);
}

core::core(core_options options)
    : m_impl(std::make_unique<implementation>(std::move(options)))
{
}

core::~core() = default;
core::core(core &&) noexcept = default;
core &core::operator=(core &&) noexcept = default;

effects core::reduce(event what, time_point now)
{
    m_impl->now = now;
    std::visit([this](auto &received) { m_impl->on(received); }, what);
    m_impl->afterEvent();
    return std::exchange(m_impl->pendingEffects, {});
}

std::optional<time_point> core::nextDeadline() const
{
    return m_impl->nextDeadline();
}

bool core::ready() const
{
    return m_impl->ready();
}

bool core::draining() const
{
    return m_impl->drain;
}

std::vector<entry_address> core::entryAddresses(const std::string &zone, time_point now) const
{
    return m_impl->members.entryAddresses(zone, now);
}

std::chrono::seconds core::entryListLifetime() const
{
    return m_impl->members.entryListLifetime();
}

log_offset core::configurationVersion() const
{
    return m_impl->configurations.version();
}

const std::string &core::configurationText() const
{
    return m_impl->configurations.text();
}

const configuration &core::currentConfiguration() const
{
    return m_impl->configurations.current();
}

const core_counters &core::counters() const
{
    return m_impl->counters;
}

std::vector<endpoint_view> core::endpointViews() const
{
    std::vector<endpoint_view> views;
    std::ranges::transform(m_impl->endpoints.all(), std::back_inserter(views),
                           [this](endpoint_id id) { return m_impl->endpoints.view(id); });
    return views;
}

nlohmann::json core::dump(time_point now) const
{
    return m_impl->dump(now);
}

std::vector<std::string> core::violations() const
{
    return m_impl->violations();
}

} // namespace jackdawpick
