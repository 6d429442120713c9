#include "fleet/engine_room.h"

#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <string_view>
#include <unordered_set>
#include <xxhash.h>

namespace jackdawpick::fleet
{

namespace
{

constexpr double usableFraction = 0.9;
// More first parts than this fraction of the memory holds are spread over the engines.
constexpr double maxSharedFraction = 0.5;
// Requests that differ only in the end of long prompts have few first parts; the bound is for arbitrary ids.
constexpr std::size_t maxFirstParts = 32;
// Requests that old reports tell of are spread over the engines, and the number at one engine deviates from the mean by
// its root. So much of a deviation is left free; more refuses programs that could be served.
constexpr double assumedDeviations = 0.5;
// Engines count as equally empty within this fraction of the memory, so that daemons do not all choose the same.
constexpr double emptiestRange = 0.1;
constexpr double requestSizeSmoothing = 0.05; // Weight of the newest request in the moving average.
// Clients' estimates of the output are right at the median and often far too low, so the part of the maximum beyond the
// estimate counts with this weight.
constexpr double underestimateWeight = 0.5;

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t expectedOutput(const placement_request &request)
{
    const std::uint64_t estimate = request.outputTokensEstimate.value_or(request.outputTokens);
    if (request.outputTokens == 0 || estimate >= request.outputTokens) {
        return request.outputTokens == 0 ? estimate : request.outputTokens;
    }
    return estimate
        + static_cast<std::uint64_t>(underestimateWeight * static_cast<double>(request.outputTokens - estimate));
}

std::uint64_t promptTokens(const placement_request &request)
{
    return std::accumulate(request.prompt.begin(), request.prompt.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const prompt_segment &segment) { return sum + segment.tokens; });
}

} // namespace

// ---- engine_memory ----

bool engine_memory::isKnown() const
{
    return total > 0;
}

double engine_memory::usable() const
{
    return usableFraction * total;
}

double engine_memory::occupied(const engine_occupancy &engine) const
{
    return sharedParts + engine.tokens * std::min(1.0, engine.slots / std::max(engine.requests, 1.0));
}

bool engine_memory::hasRoom(const engine_occupancy &engine, const request_tokens &request) const
{
    if (!isKnown()) {
        return true;
    }
    const auto own = static_cast<double>(request.own);
    // An engine that runs nothing else can evict the other first parts.
    if (engine.requests < 1 && engine.tokens + own + static_cast<double>(request.shared) <= total) {
        return true;
    }
    const engine_occupancy withRequest{
        .requests = engine.requests + 1, .slots = engine.slots, .tokens = engine.tokens + own};
    const double deviation = typicalRequest * std::sqrt(std::max(engine.assumed, 0.0));
    return std::max(occupied(withRequest), sharedParts + own) + assumedDeviations * deviation <= usable();
}

double engine_memory::utilisation(const engine_occupancy &engine) const
{
    const double withNext = occupied({.requests = engine.requests + 1,
                                      .slots = engine.slots,
                                      .tokens = engine.tokens + (engine.requests > 0 ? typicalRequest : 0)});
    return (withNext + assumedDeviations * typicalRequest * std::sqrt(engine.requests)) / usable();
}

double engine_memory::tokensOf(std::uint32_t requests, std::optional<std::uint64_t> reported) const
{
    return reported.has_value() ? static_cast<double>(*reported) : typicalRequest * requests;
}

// ---- engine_room ----

void engine_room::setMemory(const std::string &service, std::uint64_t tokens)
{
    if (tokens > 0) {
        m_services[service].memory = tokens;
    } else if (const auto found = m_services.find(service); found != m_services.end()) {
        found->second.memory = 0;
    }
}

const engine_room::service_state *engine_room::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool engine_room::knowsMemory(const std::string &service) const
{
    const auto *state = find(service);
    return state != nullptr && state->memory > 0;
}

// The second segment of a prompt belongs to one conversation. A prompt of a single segment says nothing about sharing.
void engine_room::noteFirstPart(service_state &service, const placement_request &request, time_point now)
{
    const auto &first = request.prompt.front();
    const auto id = hashOf(first.id);
    const auto conversation = request.prompt.size() > 1 ? hashOf(request.prompt[1].id) : 0;
    auto &parts = service.firstParts;
    const auto found = std::ranges::find(parts, id, &first_part::id);
    if (found == parts.end()) {
        if (parts.size() >= maxFirstParts) {
            parts.erase(std::ranges::min_element(
                parts, {}, [](const first_part &part) { return std::pair(part.shared, part.lastUsed); }));
        }
        parts.push_back({.id = id, .tokens = first.tokens, .conversation = conversation, .lastUsed = now});
        return;
    }
    const bool isOther = conversation != 0 && found->conversation != 0 && conversation != found->conversation;
    found->shared = found->shared || isOther;
    found->conversation = found->conversation == 0 ? conversation : found->conversation;
    found->tokens = first.tokens;
    found->lastUsed = now;
}

request_tokens engine_room::onRequest(const placement_request &request, time_point now)
{
    if (request.prompt.empty()) {
        return {};
    }
    auto &service = m_services[request.service];
    noteFirstPart(service, request, now);
    const auto tokens = tokensIn(&service, request);
    const auto own = static_cast<double>(service.memory > 0 ? std::min(tokens.own, service.memory) : tokens.own);
    service.typicalRequest =
        service.typicalRequest.value_or(own) * (1 - requestSizeSmoothing) + own * requestSizeSmoothing;
    return tokens;
}

request_tokens engine_room::tokensIn(const service_state *service, const placement_request &request)
{
    if (request.prompt.empty()) {
        return {};
    }
    const auto total = promptTokens(request) + expectedOutput(request);
    const auto id = hashOf(request.prompt.front().id);
    const bool isShared = service != nullptr && std::ranges::any_of(service->firstParts, [id](const first_part &part) {
                              return part.id == id && part.shared;
                          });
    const std::uint64_t shared = isShared ? request.prompt.front().tokens : 0;
    return {.shared = shared, .own = total - shared};
}

request_tokens engine_room::tokensOf(const placement_request &request) const
{
    return tokensIn(find(request.service), request);
}

engine_memory engine_room::memoryOf(const std::string &service, time_point now) const
{
    if (!knowsMemory(service)) {
        return {};
    }
    const auto *state = find(service);
    const auto total = static_cast<double>(state->memory);
    double shared = 0;
    for (const auto &part : state->firstParts) {
        shared += part.shared && now - part.lastUsed < firstPartLifetime ? part.tokens : 0;
    }
    return {.total = total,
            .sharedParts = std::min(shared, maxSharedFraction * total),
            .typicalRequest = state->typicalRequest.value_or(0)};
}

bool engine_room::canEverHold(const placement_request &request) const
{
    return !knowsMemory(request.service) || request.prompt.empty()
        || promptTokens(request) + request.outputTokens <= find(request.service)->memory;
}

std::vector<std::string> engine_room::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_services) {
        if (state.memory > 0) {
            names.push_back(name);
        }
    }
    return names;
}

// ---- endpoint_pool ----

std::uint64_t endpoint_pool::addTokens(const std::string &id, const placement_request &request, time_point now)
{
    const auto tokens = m_room.onRequest(request, now);
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return 0;
    }
    found->second.tokens += tokens.own;
    return tokens.own;
}

void endpoint_pool::removeTokens(const std::string &id, std::uint64_t tokens)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        found->second.tokens -= std::min(found->second.tokens, tokens);
    }
}

bool endpoint_pool::canEverHold(const placement_request &request) const
{
    return m_room.canEverHold(request);
}

std::chrono::milliseconds endpoint_pool::typicalServiceTime(const std::string &service) const
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(typicalTimes(service).service));
}

bool endpoint_pool::keepThoseWithRoom(std::vector<candidate> &candidates, const placement_request &request,
                                      time_point now) const
{
    const auto memory = m_room.memoryOf(request.service, now);
    if (!memory.isKnown() || request.prompt.empty()) {
        return true;
    }
    const auto tokens = m_room.tokensOf(request);
    const auto occupancyOf = [](const candidate &entry) {
        return engine_occupancy{.requests = entry.inFlight,
                                .slots = static_cast<double>(std::max(entry.target->entry.slots, 1U)),
                                .tokens = entry.tokens,
                                .assumed = entry.assumed};
    };
    const auto lacksRoom = [&](const candidate &entry) {
        return !memory.hasRoom(occupancyOf(entry), tokens);
    };
    if (!std::ranges::all_of(candidates, lacksRoom)) {
        std::erase_if(candidates, lacksRoom);
        return true;
    }
    if (candidates.empty()) {
        return true;
    }
    // A request that must be sent all the same is preempted least at the emptiest engines.
    const auto tokensAt = [](const candidate &entry) {
        return entry.tokens;
    };
    const double least = tokensAt(*std::ranges::min_element(candidates, {}, tokensAt));
    std::erase_if(candidates,
                  [&](const candidate &entry) { return entry.tokens > least + emptiestRange * memory.total; });
    return false;
}

std::vector<memory_utilisation> endpoint_pool::memoryUtilisations(time_point now) const
{
    std::vector<memory_utilisation> result;
    for (const auto &service : m_room.services()) {
        const auto memory = m_room.memoryOf(service, now);
        result.push_back({.service = service,
                          .memory = static_cast<std::uint64_t>(memory.total),
                          .sharedParts = static_cast<std::uint64_t>(memory.sharedParts),
                          .fraction = memoryUtilisation(service, now)});
    }
    return result;
}

double endpoint_pool::memoryUtilisation(const std::string &service, time_point now) const
{
    const auto memory = m_room.memoryOf(service, now);
    if (!memory.isKnown()) {
        return 0;
    }
    std::unordered_set<std::string_view> usable;
    engine_occupancy all{.slots = 0};
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && isUsable(value, now)) {
            usable.insert(id);
            all.requests += value.inFlight;
            all.slots += std::max(value.entry.slots, 1U);
            all.tokens += static_cast<double>(value.tokens);
        }
    }
    for (const auto &[name, peer] : m_peers) {
        for (const auto &load : peer.loads) {
            if (usable.contains(load.endpoint)) {
                all.requests += load.requests;
                all.tokens += memory.tokensOf(load.requests, load.tokens);
            }
        }
    }
    const auto engines = static_cast<double>(usable.size());
    if (engines == 0) {
        return 0;
    }
    const engine_occupancy average{
        .requests = all.requests / engines, .slots = all.slots / engines, .tokens = all.tokens / engines};
    return memory.utilisation(average);
}

} // namespace jackdawpick::fleet
