#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds linkDelay{2};
// How long a daemon takes to lose a link to a host without power, and to give up connecting to it.
constexpr milliseconds silentLinkTimeout{3000};
constexpr milliseconds connectTimeout{2000};

const store::partition configurationPartition{"configuration", 0};
const store::partition endpointPartition{"endpoints", 0};
const store::partition daemonPartition{"daemons", 0};

constexpr std::size_t bytesPerKilobyte = 1024;
constexpr std::size_t recordPrefixBytes = 4; // The length before each record of a reply.

bool isOfTurns(const store::partition &where)
{
    return where.topic.starts_with("turns");
}

} // namespace

gateway_world::gateway_world(world_options options)
    : m_options(options)
    , m_random(options.seed)
{
    publish(initialConfiguration());
    for (int i = 0; i < options.engineEndpoints; ++i) {
        registerEndpoint({.id = fmt::format("engine-{}", i),
                          .service = "engines",
                          .address = fmt::format("e{}", i),
                          .zone = "z",
                          .slots = 4});
    }
    for (int i = 0; i < options.shopEndpoints; ++i) {
        registerEndpoint({.id = fmt::format("shop-{}", i),
                          .service = "shop",
                          .address = fmt::format("s{}", i),
                          .zone = "z",
                          .slots = 4});
    }
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int i = 0; i < options.daemons; ++i) {
        start(i);
    }
}

void gateway_world::warmUp()
{
    runFor(3000ms);
}

void gateway_world::start(int daemon)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    gateway_options options;
    options.self = {.name = fmt::format("daemon-{}", daemon),
                    .incarnation = ++m_lastSequence,
                    .zone = "z",
                    .callerAddress = fmt::format("caller-{}", daemon),
                    .peerAddress = fmt::format("peer-{}", daemon)};
    options.layout.configuration = configurationPartition;
    options.layout.configurationKey = "config";
    options.layout.endpoints = endpointPartition;
    options.layout.daemons = daemonPartition;
    options.layout.decodeConfiguration = [this](std::string_view text) {
        const auto found = m_publishedConfigurations.find(std::string(text));
        return found == m_publishedConfigurations.end() ? std::nullopt : std::optional(found->second);
    };
    options.layout.decodeEndpoint = [this](std::string_view, std::string_view text) {
        const auto found = m_publishedEndpoints.find(std::string(text));
        return found == m_publishedEndpoints.end() ? std::nullopt : std::optional(found->second);
    };
    options.layout.turnTopics = m_options.turnTopics;
    options.layout.partsPerTopic = m_options.parts;
    options.keyLifetime = m_options.keyLifetime;
    options.turnCacheBytes = m_options.turnCacheBytes;
    options.maxTextBytes = m_options.maxTextBytes;
    options.turnChainBytes = m_options.turnChainBytes;
    options.seed = m_random();
    ++state.incarnation;
    state.poweredOff = false;
    state.frozen = false;
    state.held.clear();
    state.core = std::make_unique<gateway>(std::move(options));
    deliver(daemon, state.incarnation, tick{});
}

void gateway_world::kill(int daemon)
{
    stop(daemon, 0ms);
}

void gateway_world::powerOff(int daemon)
{
    stop(daemon, silentLinkTimeout);
    m_daemons.at(static_cast<std::size_t>(daemon)).poweredOff = true;
}

void gateway_world::stop(int daemon, milliseconds linkLossDelay)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    ++state.incarnation;
    state.core.reset();
    setWakeAt(daemon, std::nullopt);
    dropCallers(daemon);
    std::erase_if(m_activeDispatches, [daemon](const auto &entry) { return entry.first == daemon; });
    const auto links = m_links;
    for (const auto &[end, other] : links) {
        if (end.first != daemon) {
            continue;
        }
        const link_side to = other;
        m_links.erase(end);
        m_links.erase({to.daemon, to.id});
        const int incarnation = m_daemons.at(static_cast<std::size_t>(to.daemon)).incarnation;
        schedule(linkLossDelay, [=, this] { deliver(to.daemon, incarnation, link_closed{to.id}); });
    }
}

void gateway_world::freeze(int daemon)
{
    m_daemons.at(static_cast<std::size_t>(daemon)).frozen = true;
    setWakeAt(daemon, std::nullopt);
}

void gateway_world::thaw(int daemon)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    state.frozen = false;
    for (auto &input : std::exchange(state.held, {})) {
        deliver(daemon, state.incarnation, std::move(input));
    }
    deliver(daemon, state.incarnation, tick{});
}

bool gateway_world::counts(int daemon, int other) const
{
    const auto names = m_daemons.at(static_cast<std::size_t>(daemon)).core->readyDaemons(now());
    return std::ranges::find(names, fmt::format("daemon-{}", other)) != names.end();
}

void gateway_world::setWakeAt(int daemon, std::optional<time_point> when)
{
    auto &current = m_daemons.at(static_cast<std::size_t>(daemon)).wakeAt;
    if (current.has_value()) {
        m_wakes.erase({*current, daemon});
    }
    current = when;
    if (when.has_value()) {
        m_wakes.insert({*when, daemon});
    }
}

void gateway_world::dropCallers(int daemon)
{
    for (auto &[place, response] : m_responseByCaller) {
        if (place.first == daemon && !response->ended()) {
            response->aborted = true;
            response->endedAt = now();
        }
    }
}

void gateway_world::shutdown(int daemon)
{
    deliver(daemon, m_daemons.at(static_cast<std::size_t>(daemon)).incarnation, shutdown_requested{});
}

bool gateway_world::isRunning(int daemon) const
{
    return m_daemons.at(static_cast<std::size_t>(daemon)).core != nullptr;
}

bool gateway_world::isFrozen(int daemon) const
{
    return m_daemons.at(static_cast<std::size_t>(daemon)).frozen;
}

gateway &gateway_world::core(int daemon)
{
    return *m_daemons.at(static_cast<std::size_t>(daemon)).core;
}

time_point gateway_world::now() const
{
    return m_clock.now();
}

void gateway_world::schedule(milliseconds delay, std::function<void()> task)
{
    m_queue.push({now() + delay, ++m_lastSequence, std::move(task)});
}

void gateway_world::runFor(milliseconds time)
{
    const auto end = now() + time;
    while (true) {
        const auto nextTask = m_queue.empty() ? time_point::max() : m_queue.top().at;
        const auto nextWake = m_wakes.empty() ? time_point::max() : m_wakes.begin()->first;
        const auto next = std::min(nextTask, nextWake);
        if (next > end) {
            break;
        }
        m_clock.advanceTo(next);
        if (nextWake < nextTask) {
            const int waking = m_wakes.begin()->second;
            deliver(waking, m_daemons[static_cast<std::size_t>(waking)].incarnation, tick{});
        } else {
            const auto task = m_queue.top().task;
            m_queue.pop();
            task();
        }
    }
    m_clock.advanceTo(end);
}

void gateway_world::deliver(int daemon, int incarnation, event input)
{
    auto &state = m_daemons.at(static_cast<std::size_t>(daemon));
    if (state.incarnation != incarnation || state.core == nullptr) {
        return;
    }
    if (state.frozen) {
        state.held.push_back(std::move(input));
        return;
    }
    auto effects = state.core->handle(std::move(input), now());
    for (auto &effect : effects) {
        apply(daemon, effect);
    }
    if (state.incarnation == incarnation && state.core != nullptr) {
        setWakeAt(daemon, state.core->nextDeadline());
    }
}

void gateway_world::apply(int daemon, effect &output)
{
    std::visit([&](auto &body) { on(daemon, body); }, output);
}

// ---- Callers ----

caller_response &gateway_world::send(int daemon, caller_request request)
{
    auto &response = m_responses.emplace_back();
    const caller_id caller{++m_lastCaller};
    m_responseByCaller.emplace(std::pair(daemon, caller), &response);
    m_callerByResponse.emplace(&response, std::pair(daemon, caller));
    if (!isRunning(daemon)) {
        response.aborted = true;
        response.endedAt = now();
        return response;
    }
    const int incarnation = m_daemons.at(static_cast<std::size_t>(daemon)).incarnation;
    schedule(1ms, [=, this, request = std::move(request)]() mutable {
        deliver(daemon, incarnation, request_arrived{caller, std::move(request)});
    });
    return response;
}

caller_response &gateway_world::sendAndWait(int daemon, caller_request request)
{
    auto &response = send(daemon, std::move(request));
    runFor(std::chrono::seconds(1));
    return response;
}

void gateway_world::disconnect(const caller_response &response)
{
    const auto [daemon, caller] = m_callerByResponse.at(&response);
    deliver(daemon, m_daemons.at(static_cast<std::size_t>(daemon)).incarnation, caller_disconnected{caller});
}

caller_response *gateway_world::pendingResponse(int daemon, caller_id caller)
{
    const auto found = m_responseByCaller.find({daemon, caller});
    return found == m_responseByCaller.end() || found->second->ended() ? nullptr : found->second;
}

void gateway_world::on(int daemon, const start_response &output)
{
    if (auto *response = pendingResponse(daemon, output.caller)) {
        response->status = output.status;
    }
}

void gateway_world::on(int daemon, const response_bytes &output)
{
    if (auto *response = pendingResponse(daemon, output.caller)) {
        response->body += output.bytes;
    }
}

void gateway_world::on(int daemon, const end_response &output)
{
    if (auto *response = pendingResponse(daemon, output.caller)) {
        response->complete = true;
        response->endedAt = now();
    }
}

void gateway_world::on(int daemon, const abort_response &output)
{
    if (auto *response = pendingResponse(daemon, output.caller)) {
        response->aborted = true;
        response->endedAt = now();
    }
}

void gateway_world::on(int daemon, const refuse &output)
{
    if (auto *response = pendingResponse(daemon, output.caller)) {
        response->status = describe(output.code).httpStatus;
        response->retryAfter = output.retryAfter;
        response->refusal = output.code;
        response->complete = true;
        response->endedAt = now();
    }
}

// ---- Store ----

store::reply gateway_world::execute(const store::call &call)
{
    return std::visit([this](const auto &body) { return execute(body); }, call);
}

store::reply gateway_world::execute(const store::append_call &call)
{
    auto &records = m_partitions[call.where].records;
    const std::uint64_t first = records.size();
    if (call.expectedEnd.has_value() && *call.expectedEnd != first) {
        return store::conflict{first};
    }
    std::size_t bytes = 0;
    for (const auto &value : call.records) {
        if (value.size() > maxRecordBytes) {
            return store::failure::Rejected;
        }
        bytes += value.size();
    }
    if (isFullFor(bytes)) {
        return store::failure::Full;
    }
    for (const auto &value : call.records) {
        records.push_back({.offset = records.size(), .key = {}, .value = value.str()});
    }
    m_storedBytes += bytes;
    appendedBytes += isOfTurns(call.where) ? bytes : 0;
    return store::appended{first};
}

store::reply gateway_world::execute(const store::put_call &call)
{
    auto &records = m_partitions[call.where].records;
    if (isFullFor(call.value.size())) {
        return store::failure::Full;
    }
    m_storedBytes += call.value.size();
    records.push_back({.offset = records.size(), .key = call.key, .value = call.value});
    return store::appended{records.back().offset};
}

store::reply gateway_world::execute(const store::read_call &call)
{
    const auto &[records, first] = m_partitions[call.where];
    if (call.from < first) {
        return store::expired{first};
    }
    store::records_read result{.end = records.size(), .records = {}, .next = call.from};
    std::size_t bytes = 0;
    for (auto i = std::min<std::size_t>(call.from, records.size()); i < records.size(); ++i) {
        bytes += recordPrefixBytes + records[i].value.size();
        if (bytes + (isOfTurns(call.where) ? readOverheadBytes : 0)
            > std::size_t{call.maxKilobytes} * bytesPerKilobyte) {
            break;
        }
        result.records.push_back(records[i]);
        result.next = i + 1;
    }
    readBytes += isOfTurns(call.where) ? bytes : 0;
    return result;
}

void gateway_world::publish(routing::configuration configuration)
{
    const auto text = fmt::format("configuration {}", configuration.version);
    m_publishedConfigurations[text] = std::move(configuration);
    execute(store::put_call{configurationPartition, "config", text});
}

void gateway_world::registerEndpoint(const fleet::endpoint_entry &entry)
{
    const auto text = fmt::format("{} {} {} {}", entry.id, entry.address, entry.draining, entry.born);
    m_publishedEndpoints[text] = entry;
    m_latestEndpoints[entry.id] = entry;
    execute(store::put_call{endpointPartition, entry.id, text});
}

void gateway_world::removeEndpoint(const std::string &id)
{
    execute(store::put_call{endpointPartition, id, ""});
}

// ---- Links ----

int gateway_world::daemonAt(const std::string &peerAddress) const
{
    for (int i = 0; i < m_options.daemons; ++i) {
        if (peerAddress == fmt::format("peer-{}", i)) {
            return i;
        }
    }
    return -1;
}

void gateway_world::on(int daemon, const open_link &output)
{
    const int other = daemonAt(output.address);
    const int incarnation = m_daemons.at(static_cast<std::size_t>(daemon)).incarnation;
    ++connectAttempts[other];
    const bool canConnect = other >= 0 && isRunning(other) && !blockedLinks.contains({daemon, other});
    if (!canConnect) {
        const bool silent = other >= 0 && m_daemons.at(static_cast<std::size_t>(other)).poweredOff;
        schedule(silent ? connectTimeout : linkDelay,
                 [=, this] { deliver(daemon, incarnation, link_closed{output.link}); });
        return;
    }
    constexpr std::uint64_t linkIdStep = 2;
    m_lastLink += linkIdStep;
    const link_id incoming{m_lastLink};
    m_links[{daemon, output.link}] = {other, incoming};
    m_links[{other, incoming}] = {daemon, output.link};
    const int otherIncarnation = m_daemons.at(static_cast<std::size_t>(other)).incarnation;
    schedule(linkDelay, [=, this] {
        deliver(other, otherIncarnation, link_opened{.link = incoming, .incoming = true});
        deliver(daemon, incarnation, link_opened{.link = output.link});
    });
}

void gateway_world::on(int daemon, const send_message &output)
{
    heartbeats += std::holds_alternative<peers::heartbeat>(output.content) ? 1 : 0;
    const auto found = m_links.find({daemon, output.link});
    if (found == m_links.end() || blockedLinks.contains({daemon, found->second.daemon})) {
        return;
    }
    const auto to = found->second;
    const int incarnation = m_daemons.at(static_cast<std::size_t>(to.daemon)).incarnation;
    schedule(linkDelay, [=, this] { deliver(to.daemon, incarnation, link_message{to.id, output.content}); });
}

void gateway_world::on(int daemon, const close_link &output)
{
    const auto node = m_links.extract({daemon, output.link});
    if (node) {
        const auto to = node.mapped();
        m_links.erase({to.daemon, to.id});
        const int incarnation = m_daemons.at(static_cast<std::size_t>(to.daemon)).incarnation;
        schedule(linkDelay, [=, this] { deliver(to.daemon, incarnation, link_closed{to.id}); });
    }
}

// ---- Other effects ----

void gateway_world::on(int daemon, const log_line &output)
{
    ++m_logLineCounts[output.event];
    auto &line = m_lastLogLines[output.event] = output.event;
    std::ranges::for_each(output.fields,
                          [&line](const log_field &field) { line += fmt::format(" {}={}", field.key, field.value); });
    if (m_options.printLog) {
        fmt::print("{:>8} daemon-{} {}\n", millisecondsBetween(time_point(), now()).count(), daemon,
                   logging::format(output.level, output.event, output.fields));
    }
}

std::string gateway_world::lastLogLineOf(std::string_view event) const
{
    const auto found = m_lastLogLines.find(std::string(event));
    return found == m_lastLogLines.end() ? std::string() : found->second;
}

int gateway_world::logLinesOf(std::string_view event) const
{
    const auto found = m_logLineCounts.find(std::string(event));
    return found == m_logLineCounts.end() ? 0 : found->second;
}

void gateway_world::on(int /*daemon*/, const increment_counter & /*output*/)
{
}

void gateway_world::on(int /*daemon*/, const record_duration & /*output*/)
{
}

void gateway_world::on(int /*daemon*/, const close_after_responses & /*output*/)
{
}

void gateway_world::on(int daemon, const stop_process & /*output*/)
{
    // The gateway must not be destroyed within its own call.
    schedule(0ms, [=, this] { kill(daemon); });
}

} // namespace jackdawpick::gateway::testing
