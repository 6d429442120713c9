#pragma once

// Runs agent programs through the daemons, as the users' callers do: it asks a directory for addresses, sends turns and
// calls of tools one after the other, tries again as the platform's pages allow, and checks every answer.
//
//   program_driver driver(loop, {.directories = {"127.0.0.1:8143"}, .programs = 50}, [&] { loop.stop(); });
//   driver.start();
//   loop.run();
//   driver.report().finished

#include "net/net.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jackdawpick::standins
{

struct driver_options
{
    std::vector<std::string> directories; // "ip:port" of daemons.
    int programs = 50;
    int turns = 3; // Of a program; a call of a tool follows each.
    std::chrono::milliseconds spacing{20}; // Between the starts of programs.
    int tries = 8; // Of one turn or call.
    unsigned seed = 1;
    std::string prefix = "p"; // Of the ids of programs.
};

struct driver_report
{
    int finished = 0;
    int failed = 0;
    int wrong = 0; // Answers that belong to another request, or a chain that reached the engine changed.
    int refused = 0; // Answers 429 or 503.
    std::vector<std::string> refusedAttempts;
    std::vector<std::string> payments; // Attempts of calls that must not run twice.
    std::vector<std::int64_t> programMilliseconds;
};

class program_driver
{
public:
    program_driver(net::loop &loop, driver_options options, std::function<void()> onDone);
    ~program_driver();
    program_driver(const program_driver &) = delete;
    program_driver &operator=(const program_driver &) = delete;

    void start();
    [[nodiscard]] const driver_report &report() const;

private:
    struct program;

    void resolve();
    void begin(int number);
    void sendTurn(program &which);
    void sendCall(program &which);
    void send(program &which, net::client_request request, std::function<void(const net::client_result &)> onAnswer);
    void onTurn(program &which, const net::client_result &result);
    void onCall(program &which, const net::client_result &result);
    void tryAgain(program &which, const net::client_result &result);
    void finish(program &which, bool done);
    [[nodiscard]] std::string newAttempt(const program &which);

    net::loop &m_loop;
    driver_options m_options;
    std::function<void()> m_onDone;
    std::mt19937 m_random;
    std::vector<std::string> m_addresses;
    std::vector<std::unique_ptr<program>> m_programs;
    driver_report m_report;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace jackdawpick::standins
