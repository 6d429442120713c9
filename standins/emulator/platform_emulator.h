#pragma once

// The users' platform on loopback: its store, model engines and plain services, on one loop. For tests of real daemons
// and for the demo.
//
//   net::loop loop;
//   platform_emulator platform(loop, {.engines = 3, .services = 2});
//   const auto store = platform.start();   // "127.0.0.1:41234"
//   loop.run();

#include "emulator/emulated_log.h"
#include "net/net.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <vector>

namespace jackdawpick::standins
{

// An endpoint that the store lists and that something else serves.
struct listed_endpoint
{
    std::string id;
    std::string service; // "engines" or "shop".
    std::string address;
};

struct emulator_options
{
    std::string storeAddress = "127.0.0.1:0";
    int engines = 3;
    int services = 2;
    int slots = 8;
    unsigned seed = 1;
    std::chrono::milliseconds eventGap{15};
    int eventsPerTurn = 6;
    std::chrono::milliseconds serviceTime{20};
    std::chrono::milliseconds storeTime{4};
    double losesReply = 0; // Part of the appends that are executed without a reply.
    double losesAnswer = 0; // Part of the requests that endpoints run without an answer.
    double endsWithConnection = 0; // Part of the answers that have neither a length nor chunks.
    std::optional<double> rateLimit; // Requests per second that each endpoint states to take.
    std::vector<listed_endpoint> otherEndpoints;
};

// What an endpoint was asked to run.
struct emulated_run
{
    std::string endpoint;
    std::string attempt;
    std::uint64_t bodyDigest = 0;
};

class platform_emulator
{
public:
    // The program's host name and the prefixes of its routes.
    static constexpr std::string_view host = "programs.example";
    static constexpr std::string_view turnPath = "/turn/"; // Retained turns.
    static constexpr std::string_view readPath = "/read/"; // May run again.
    static constexpr std::string_view payPath = "/pay/"; // Must not run again.

    platform_emulator(net::loop &loop, emulator_options options);
    ~platform_emulator();
    platform_emulator(const platform_emulator &) = delete;
    platform_emulator &operator=(const platform_emulator &) = delete;

    // Opens all ports and publishes the configuration. Returns the address of the store.
    std::string start();
    [[nodiscard]] const std::vector<emulated_run> &runs() const;
    void setStoreAway(bool away); // Calls get no reply.

private:
    struct endpoint;

    void handleStore(const net::http_request &request);
    void append(const net::http_request &request);
    void trim(const net::http_request &request);
    void read(const net::http_request &request);
    void newest(const net::http_request &request);
    void answerRead(net::request_id id, const std::string &topic, std::uint32_t part, std::uint64_t from);
    void reply(net::request_id id, std::uint16_t status, const nlohmann::json &body);
    void addEndpoint(const std::string &service, int number, bool engine);
    void announce(const endpoint &which);
    void publishConfiguration();
    void handleEndpoint(endpoint &which, const net::http_request &request);
    void runTurn(endpoint &which, const net::http_request &request);
    void runCall(endpoint &which, const net::http_request &request);
    [[nodiscard]] net::http_head answerHead(const endpoint &which, const std::string &attempt, std::string contentType);
    [[nodiscard]] bool happens(double part);

    net::loop &m_loop;
    emulator_options m_options;
    std::mt19937 m_random;
    emulated_log m_log;
    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    std::vector<emulated_run> m_runs;
    bool m_away = false;
};

// Digest of a body, as engines state it in the first event of a turn.
[[nodiscard]] std::uint64_t bodyDigest(const std::string &body);

} // namespace jackdawpick::standins
