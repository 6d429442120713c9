#include "load/load_runner.h"

#include "logging/logging.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::standins
{

namespace
{

// A call's answer may take its deadline; the rest covers the daemon's own work and a full queue of events.
constexpr std::chrono::milliseconds answerMargin{5000};
constexpr std::chrono::milliseconds entryTimeout{2000};
constexpr std::chrono::milliseconds closeTimeout{2000};

} // namespace

load_runner::load_runner(net::loop &loop, const clock_source &clock, const load_options &options,
                         const runner_options &target)
    : m_loop(loop)
    , m_clock(clock)
    , m_options(options)
    , m_target(target)
    , m_plans(planPrograms(options))
    , m_entries(target.entries)
{
}

void load_runner::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_left = m_plans.size();
    for (const auto &plan : m_plans) {
        add(plan, nullptr, plan.arrival);
    }
    m_loop.after(m_target.bound, [this] {
        for (std::size_t index = 0; index < m_programs.size() && !m_finished; ++index) {
            auto &program = *m_programs[index];
            if (!program.ended) {
                program.caller.abandon("NoAnswer");
                end(program);
            }
        }
    });
}

const run_report &load_runner::report() const
{
    return m_report;
}

void load_runner::add(const program_plan &plan, running_program *parent, std::chrono::milliseconds delay)
{
    const std::string parentId = parent == nullptr ? std::string() : parent->caller.program();
    m_programs.push_back(std::make_unique<running_program>(
        running_program{.caller = program_caller(plan, m_options, parentId), .parent = parent}));
    auto &program = *m_programs.back();
    m_loop.after(delay, [this, &program] {
        program.start = m_clock.now();
        step(program);
    });
}

void load_runner::step(running_program &program)
{
    if (!program.ended) {
        std::visit([this, &program](const auto &action) { act(program, action); }, program.caller.next(m_clock.now()));
    }
}

void load_runner::act(running_program &program, const send_call &call)
{
    const auto &zone = program.caller.plan().zone;
    if (const auto address = m_entries.choose(zone, program.avoid, m_clock.now())) {
        send(program, call, *address);
        return;
    }
    auto &asking = m_asking[zone];
    asking.push_back(&program);
    if (asking.size() == 1) {
        askEntry(zone);
    }
}

void load_runner::act(running_program &program, const wait_until &wait)
{
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(wait.when - m_clock.now());
    m_loop.after(std::max(delay, std::chrono::milliseconds(1)), [this, &program] { step(program); });
}

void load_runner::act(running_program &program, const run_children &children)
{
    program.childrenLeft = children.children.size();
    for (const auto index : children.children) {
        add(program.caller.plan().children[index], &program, std::chrono::milliseconds(0));
    }
}

void load_runner::act(running_program &program, const program_end &)
{
    end(program);
}

void load_runner::send(running_program &program, const send_call &call, const std::string &address)
{
    net::client_request request;
    request.address = address;
    request.method = "POST";
    request.path = call.path;
    request.body = call.body;
    request.headers = {{"Content-Type", "application/json"}};
    request.timeout = m_options.deadline + answerMargin;
    auto stream = std::make_shared<stream_reply>();
    const auto onResult = [this, &program, address, stream, streamed = call.stream](const net::client_result &result) {
        if (result.error != net::client_error::None) {
            receive(program, address, call_reply{});
        } else if (streamed && result.status / 100 == 2) {
            receive(program, address, stream->reply());
        } else {
            receive(program, address, replyFromBody(result.body));
        }
    };
    if (call.stream) {
        m_loop.request(std::move(request), onResult,
                       [this, stream](std::string_view bytes) { stream->append(bytes, m_clock.now()); });
    } else {
        m_loop.request(std::move(request), onResult);
    }
}

void load_runner::receive(running_program &program, const std::string &address, const call_reply &reply)
{
    if (program.ended) {
        return;
    }
    program.avoid.clear();
    if (reply.broken) {
        logging::write(log_level::Debug, "connection_broken",
                       {{"program", program.caller.program()}, {"address", address}});
        program.avoid = address;
        m_entries.drop(program.caller.plan().zone);
    } else if (reply.refusal) {
        logging::write(log_level::Debug, "call_refused",
                       {{"program", program.caller.program()}, {"code", reply.refusal->name}});
    }
    program.caller.onReply(reply, m_clock.now());
    step(program);
}

void load_runner::askEntry(const std::string &zone)
{
    askSource(zone, m_entries.sources(zone));
}

// Asks the sources one after another until one answers.
void load_runner::askSource(const std::string &zone, std::vector<std::string> sources)
{
    if (sources.empty()) {
        entryKnown(zone, false);
        return;
    }
    net::client_request request;
    request.address = sources.front();
    request.path = zone.empty() ? "/v1/entry" : "/v1/entry?zone=" + zone;
    request.timeout = entryTimeout;
    sources.erase(sources.begin());
    m_loop.request(std::move(request), [this, zone, sources](const net::client_result &result) {
        if (result.error == net::client_error::None && result.status == 200
            && m_entries.update(zone, result.body, m_clock.now())) {
            entryKnown(zone, true);
        } else {
            askSource(zone, sources);
        }
    });
}

void load_runner::entryKnown(const std::string &zone, bool known)
{
    const auto waiting = std::exchange(m_asking[zone], {});
    for (auto *program : waiting) {
        if (program->ended) {
            continue;
        }
        if (!known) {
            // Nothing was sent, but the caller has to wait and try again as after a broken connection.
            program->caller.onReply(call_reply{}, m_clock.now());
        }
        step(*program);
    }
}

void load_runner::end(running_program &program)
{
    if (std::exchange(program.ended, true)) {
        return;
    }
    const auto now = m_clock.now();
    const bool subAgent = program.parent != nullptr;
    m_report.add(program.caller.plan(), program.caller.outcome(), now - program.start, subAgent);
    closeProgram(program);
    if (!subAgent) {
        --m_left;
    } else if (--program.parent->childrenLeft == 0 && !program.parent->ended) {
        program.parent->caller.onChildrenEnded();
        step(*program.parent);
    }
    if (m_left == 0 && m_closing == 0) {
        readCounts();
    }
}

// A good caller says when a program is over, so that its caches are released at once instead of with its lease.
void load_runner::closeProgram(const running_program &program)
{
    const auto &plan = program.caller.plan();
    const auto address = m_entries.choose(plan.zone, program.avoid, m_clock.now());
    if (program.caller.program().empty() || !address) {
        return;
    }
    net::client_request request;
    request.address = *address;
    request.method = "DELETE";
    request.path = fmt::format("/v1/programs/{}/{}", plan.customer, program.caller.program());
    request.timeout = closeTimeout;
    ++m_closing;
    m_loop.request(std::move(request), [this](const net::client_result &) {
        if (--m_closing == 0 && m_left == 0) {
            readCounts();
        }
    });
}

void load_runner::readCounts()
{
    if (std::exchange(m_finished, true)) {
        return;
    }
    m_countsLeft = m_target.serviceAdmins.size();
    for (const auto &address : m_target.serviceAdmins) {
        net::client_request request;
        request.address = address;
        request.path = "/admin/counts";
        m_loop.request(std::move(request), [this, address](const net::client_result &result) {
            if (result.error == net::client_error::None && result.status == 200) {
                const auto counts = countsFromBody(result.body);
                m_counts.insert(m_counts.end(), counts.begin(), counts.end());
            } else {
                m_report.noteUnreadable(address);
            }
            if (--m_countsLeft == 0) {
                finish();
            }
        });
    }
    if (m_target.serviceAdmins.empty()) {
        finish();
    }
}

void load_runner::finish()
{
    if (!m_target.serviceAdmins.empty()) {
        m_report.judge(m_counts);
    }
    m_done();
}

} // namespace jackdawpick::standins
