#pragma once

// Runs planned programs against entry addresses over HTTP.
//
//   load_runner runner(loop, clock, options, {.entries = {"127.0.0.1:8001"}});
//   runner.start([&] { loop.stop(); });
//   loop.run();
//   fmt::print("{}", runner.report().table());

#include "load/entry_list.h"
#include "load/run_report.h"

#include <functional>
#include <memory>
#include <set>

namespace jackdawpick::standins
{

struct runner_options
{
    std::vector<std::string> entries; // "ip:port"
    std::vector<std::string> serviceAdmins{}; // Service stand-ins whose counts judge the run.
    std::chrono::milliseconds bound{600000}; // Programs that still run then count as lost.
};

// `loop`, `clock` and `options` must outlive the runner.
class load_runner
{
public:
    load_runner(net::loop &loop, const clock_source &clock, const load_options &options, const runner_options &target);

    // Calls `done` once all programs have ended and the counts have been read.
    void start(std::function<void()> done);
    [[nodiscard]] const run_report &report() const;

private:
    struct running_program
    {
        program_caller caller;
        running_program *parent = nullptr;
        std::size_t childrenLeft = 0;
        time_point start{};
        std::string avoid{}; // Address of the last broken connection.
        bool ended = false;
    };

    void add(const program_plan &plan, running_program *parent, std::chrono::milliseconds delay);
    void step(running_program &program);
    void act(running_program &program, const send_call &call);
    void act(running_program &program, const wait_until &wait);
    void act(running_program &program, const run_children &children);
    void act(running_program &program, const program_end &);
    void send(running_program &program, const send_call &call, const std::string &address);
    void receive(running_program &program, const std::string &address, const call_reply &reply);
    void askEntry(const std::string &zone);
    void askSource(const std::string &zone, std::vector<std::string> sources);
    void entryKnown(const std::string &zone, bool known);
    void end(running_program &program);
    void closeProgram(const running_program &program);
    void readCounts();
    void finish();

    net::loop &m_loop;
    const clock_source &m_clock;
    const load_options &m_options;
    runner_options m_target;
    std::vector<program_plan> m_plans;
    std::vector<std::unique_ptr<running_program>> m_programs;
    std::size_t m_left = 0; // Programs without sub-agents that have not ended.
    entry_list m_entries;
    std::map<std::string, std::vector<running_program *>> m_asking; // Waiting for a list, by zone.
    std::size_t m_closing = 0;
    std::size_t m_countsLeft = 0;
    std::vector<effect_count> m_counts;
    bool m_finished = false;
    run_report m_report;
    std::function<void()> m_done;
};

} // namespace jackdawpick::standins
