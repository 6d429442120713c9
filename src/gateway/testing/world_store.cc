// The store of a gateway_world: listing and deleting records, and what tests ask of it and do to its records.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jackdawpick::gateway::testing
{

namespace
{

using std::chrono::milliseconds;
using namespace std::chrono_literals;

// Appends to a partition are refused while the ones before take longer than this.
constexpr milliseconds maxAppendWait{2000};
// The time that a refusal takes.
constexpr milliseconds refusalTime{1};

const store::partition &partitionOf(const store::call &call)
{
    return std::visit([](const auto &body) -> const store::partition & { return body.where; }, call);
}

bool addsRecords(const store::call &call)
{
    return std::holds_alternative<store::append_call>(call) || std::holds_alternative<store::put_call>(call);
}

} // namespace

void gateway_world::on(int daemon, const make_store_call &output)
{
    ++storeCalls;
    ++storeCallCounts[store::nameOf(output.call)];
    const int incarnation = m_daemons.at(static_cast<std::size_t>(daemon)).incarnation;
    const auto reply = [=, this](milliseconds delay, const store::reply &result) {
        schedule(delay, [=, this] { deliver(daemon, incarnation, store_replied{output.id, result}); });
    };
    const auto &behaviour = storeBehaviours[daemon];
    if (behaviour.unavailable || unavailableTopics.contains(partitionOf(output.call).topic)) {
        reply(output.timeout, store::failure::NoReply);
        return;
    }
    if (const auto refusal = refusalOf(behaviour, output.call); refusal.has_value()) {
        reply(refusalTime, *refusal);
        return;
    }
    const bool replyLost = std::uniform_real_distribution<double>(0, 1)(m_random) < behaviour.replyLossRate;
    // A long poll always lasts its full time; no test depends on an earlier reply.
    const auto *read = std::get_if<store::read_call>(&output.call);
    const auto wait = read == nullptr ? appendWait(output.call) : read->wait;
    const auto oneWayDelay = behaviour.delay / 2;
    const bool isLate = addsRecords(output.call) && behaviour.delay + wait > output.timeout;
    schedule(oneWayDelay + wait, [=, this] {
        const auto result = execute(output.call);
        if (!replyLost && !isLate) {
            reply(behaviour.delay - oneWayDelay, result);
        } else if (replyLost) {
            reply(output.timeout, store::failure::NoReply);
        }
    });
    if (isLate && !replyLost) {
        reply(output.timeout, store::failure::NoReply);
    }
}

// Why the store does not execute the call, if it does not.
std::optional<store::failure> gateway_world::refusalOf(const store_behaviour &behaviour, const store::call &call)
{
    const auto *put = std::get_if<store::put_call>(&call);
    const bool isRefusedKey = put != nullptr
        && std::ranges::any_of(refusedKeyPrefixes,
                               [put](const std::string &prefix) { return put->key.starts_with(prefix); });
    const bool isRefusedTopic =
        refusedTopicPrefix.has_value() && partitionOf(call).topic.starts_with(*refusedTopicPrefix);
    if (behaviour.refuses || isRefusedKey || isRefusedTopic) {
        return store::failure::Refused;
    }
    if (!addsRecords(call)) {
        return m_readsAllowed.take(m_options.readsPerSecond, now()) ? std::nullopt
                                                                    : std::optional(store::failure::RateLimited);
    }
    if (behaviour.full) {
        return store::failure::Full;
    }
    if (!m_writesAllowed.take(m_options.writesPerSecond, now())) {
        return store::failure::RateLimited;
    }
    const auto busyUntil = m_appendingUntil[partitionOf(call)];
    return busyUntil - now() > maxAppendWait ? std::optional(store::failure::Refused) : std::nullopt;
}

// Takes one call if the limit of all daemons together allows it; 0 is no limit.
bool gateway_world::call_allowance::take(int perSecond, time_point now)
{
    if (perSecond == 0) {
        return true;
    }
    const std::chrono::duration<double> passed = now - refilledAt;
    refilledAt = now;
    calls = std::min(calls + passed.count() * perSecond, static_cast<double>(perSecond));
    if (calls < 1) {
        return false;
    }
    calls -= 1;
    return true;
}

// How long the call waits for the appends to its partition before it, and for itself.
milliseconds gateway_world::appendWait(const store::call &call)
{
    if (!addsRecords(call) || m_options.appendTime == 0ms) {
        return 0ms;
    }
    auto &busyUntil = m_appendingUntil[partitionOf(call)];
    busyUntil = std::max(busyUntil, now()) + m_options.appendTime;
    return millisecondsBetween(now(), busyUntil);
}

store::reply gateway_world::execute(const store::trim_call &call)
{
    if (onTrim) {
        onTrim(call);
    }
    auto &content = m_partitions[call.where];
    for (; content.first < std::min<std::uint64_t>(call.before, content.records.size()); ++content.first) {
        m_storedBytes -= std::exchange(content.records[content.first].value, {}).size();
    }
    return store::trimmed{};
}

store::reply gateway_world::execute(const store::newest_call &call)
{
    const auto &records = m_partitions[call.where].records;
    std::map<std::string, store::record> newest;
    for (const auto &record : records) {
        newest[record.key] = record;
    }
    store::newest_page page{.records = {}, .end = records.size()};
    for (const auto &[key, record] : newest) {
        if (!record.value.empty()) {
            page.records.push_back(record);
        }
    }
    return page;
}

void gateway_world::replaceRecord(const store::partition &where, std::uint64_t offset, std::uint64_t copyOf)
{
    auto &records = m_partitions.at(where).records;
    records.at(offset).value = records.at(copyOf).value;
}

void gateway_world::deleteRecordsBefore(const store::partition &where, std::uint64_t offset)
{
    execute(store::trim_call{where, offset});
}

bool gateway_world::isFullFor(std::size_t bytes) const
{
    return m_options.storeBytes != 0 && m_storedBytes + bytes > m_options.storeBytes;
}

std::size_t gateway_world::storedBytes(std::string_view topicPrefix) const
{
    std::size_t bytes = 0;
    for (const auto &[where, content] : m_partitions) {
        if (where.topic.starts_with(topicPrefix)) {
            bytes = std::accumulate(content.records.begin(), content.records.end(), bytes,
                                    [](std::size_t sum, const auto &record) { return sum + record.value.size(); });
        }
    }
    return bytes;
}

std::size_t gateway_world::recordCount(std::string_view topicPrefix) const
{
    std::size_t count = 0;
    for (const auto &[where, content] : m_partitions) {
        count += where.topic.starts_with(topicPrefix) ? content.records.size() - content.first : 0;
    }
    return count;
}

std::optional<programs::turn_location> gateway_world::findTurn(const std::string &turn,
                                                               std::vector<programs::turn_location> &ancestors) const
{
    for (const auto &[where, content] : m_partitions) {
        for (auto offset = content.first; where.topic.starts_with("turns-") && offset < content.records.size();
             ++offset) {
            const auto &bytes = content.records.at(offset).value;
            const auto record = programs::decodeRecord(bytes);
            const auto *found = record.has_value() ? std::get_if<programs::turn>(&*record) : nullptr;
            if (found != nullptr && found->id == turn) {
                ancestors = found->ancestors;
                return programs::turn_location{
                    .topic = static_cast<std::uint16_t>(std::stoul(where.topic.substr(where.topic.find('-') + 1))),
                    .part = static_cast<std::uint16_t>(where.number),
                    .bytes = static_cast<std::uint32_t>(bytes.size()),
                    .offset = offset};
            }
        }
    }
    return std::nullopt;
}

std::set<std::string> gateway_world::topics() const
{
    std::set<std::string> names;
    for (const auto &[where, content] : m_partitions) {
        if (!content.records.empty()) {
            names.insert(where.topic);
        }
    }
    return names;
}

} // namespace jackdawpick::gateway::testing
