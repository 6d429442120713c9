#pragma once

// Room in the memory of model engines: how many tokens the requests in progress are expected to take, and whether a
// further request fits. Part of the public header fleet.h.
//
//   engine_room room;
//   room.setMemory("model-pool", 291669);
//   const auto memory = room.memoryOf("model-pool", now);
//   const auto tokens = room.tokensOf(request);
//   if (memory.hasRoom({.requests = 5, .slots = 12, .tokens = 60000}, tokens)) { ... }
//
// Requests whose prompts begin with the same part share it: an engine holds it once. All amounts are tokens. Performs
// no I/O and reads no clock. Thread compatible.

#include "clock/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawpick::fleet
{

struct placement_request;

// What a request is expected to take of the memory of its engine.
struct request_tokens
{
    std::uint64_t shared = 0; // Its first part, if other conversations begin with the same.
    std::uint64_t own = 0; // The rest of the prompt and the expected output.
};

// The requests at one engine, from all daemons.
struct engine_occupancy
{
    double requests = 0;
    double slots = 1;
    double tokens = 0; // Own tokens of the requests.
    double assumed = 0; // Requests of which it is only assumed that they are at this engine.
};

// The memory of each engine of one service.
struct engine_memory
{
    double total = 0; // 0: not known.
    double sharedParts = 0; // First parts in recent use.
    double typicalRequest = 0; // Own tokens of a request.

    [[nodiscard]] bool isKnown() const;
    // What may be filled. The rest is for requests that become longer than expected: an engine without free memory
    // preempts a request and reads its prompt again.
    [[nodiscard]] double usable() const;
    // Expected tokens in memory. Requests beyond the slots wait at the engine and take none.
    [[nodiscard]] double occupied(const engine_occupancy &engine) const;
    // The memory that is needed for one more typical request, as a fraction of what may be filled. Above 1, most
    // engines with this average occupancy have no room.
    [[nodiscard]] double utilisation(const engine_occupancy &engine) const;
    // Whether the engine can run the request beside those that it has.
    [[nodiscard]] bool hasRoom(const engine_occupancy &engine, const request_tokens &request) const;
    // Of the requests that a daemon reports; earlier builds report their number only.
    [[nodiscard]] double tokensOf(std::uint32_t requests, std::optional<std::uint64_t> reported) const;
};

class engine_room
{
public:
    // First parts that were not used for this long take no memory: the engine evicts them when it needs room.
    static constexpr std::chrono::seconds firstPartLifetime{30};

    // `tokens` is the memory of each engine of the service; 0 if it is not known.
    void setMemory(const std::string &service, std::uint64_t tokens);
    [[nodiscard]] bool knowsMemory(const std::string &service) const;
    // Records the parts of a request that is sent to an engine, and returns what it takes.
    request_tokens onRequest(const placement_request &request, time_point now);
    [[nodiscard]] request_tokens tokensOf(const placement_request &request) const;
    [[nodiscard]] engine_memory memoryOf(const std::string &service, time_point now) const;
    // Whether an engine of the service that runs nothing else can run the request, whatever it generates.
    [[nodiscard]] bool canEverHold(const placement_request &request) const;
    // The services whose engines have a known memory.
    [[nodiscard]] std::vector<std::string> services() const;

private:
    struct first_part
    {
        std::uint64_t id = 0; // Hashed.
        std::uint32_t tokens = 0;
        std::uint64_t conversation = 0; // Hashed; that of the first request seen.
        bool shared = false; // Requests of different conversations begin with it.
        time_point lastUsed;
    };

    struct service_state
    {
        std::uint64_t memory = 0;
        std::vector<first_part> firstParts;
        std::optional<double> typicalRequest; // Moving average of own tokens.
    };

    static void noteFirstPart(service_state &service, const placement_request &request, time_point now);
    static request_tokens tokensIn(const service_state *service, const placement_request &request);
    [[nodiscard]] const service_state *find(const std::string &service) const;

    std::map<std::string, service_state> m_services;
};

} // namespace jackdawpick::fleet
