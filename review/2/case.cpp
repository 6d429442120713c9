// A turn that was answered whole can no longer be continued: LOST.
//
// A conversation of some 180 KB pauses for 55 s and goes on with one more turn. While that turn is written, the store is
// down for 1.2 s. The turn is answered whole. From 27 s later on, well inside its retention, new turns that continue it
// are sent to both daemons, each beside the first turn of another program.

#include "stage.hpp"

using namespace review;

namespace
{

constexpr std::int64_t pauseMs = 55000;
constexpr std::int64_t outageMs = 1200;
constexpr std::int64_t engineMs = 30;
constexpr std::int64_t returnsAfterMs = 27000;
constexpr int tries = 12;
constexpr int triesUntilBroken = 5; // Of RULES.md.
constexpr std::size_t longInput = 90000; // The site's largest request has 100,000 bytes.

header_list turnHeaders(const std::string &attempt, const std::string &program, const std::string &previous)
{
    header_list headers{{"X-Attempt-Id", attempt},
                        {"X-Deadline-Ms", "3000"},
                        {"X-Program-Id", program},
                        {"X-Session-Id", "s-" + program},
                        {"X-Program-Deadline-Ms", std::to_string(150000 - nowMs())},
                        {"X-Token-Budget", "100000"},
                        {"X-Token-Usage", "100,300"}};
    if (!previous.empty()) {
        headers.emplace_back("X-Previous-Turn", previous);
    }
    return headers;
}

// The input of the turn that is sent after the pause.
std::string lastInput()
{
    return std::string(5000, 'c');
}

struct turn_result
{
    std::string attempt;
    int status = 0;
    bool whole = false;
};

turn_result sendTurn(const daemon_process &daemon, const std::string &program, const std::string &input,
                     const std::string &previous, bool quiet)
{
    turn_result result{.attempt = newAttempt()};
    const auto bytes = requestText("POST", "/turn/1", turnHeaders(result.attempt, program, previous), input);
    const auto answer = call(daemon.callers(), bytes, 6000);
    result.status = answer.response.status();
    result.whole = answer.response.whole;
    if (!quiet) {
        note("client sends turn %s of %s to %s, X-Previous-Turn: %s; gets %d, %s, after %lld ms %s",
             result.attempt.c_str(), program.c_str(), daemon.name().c_str(),
             previous.empty() ? "none" : previous.c_str(), result.status, result.whole ? "whole" : "not whole",
             static_cast<long long>(answer.took), result.status == 200 ? "" : answer.response.body.c_str());
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const auto folder = openStage(argc > 1 ? argv[1] : "record.txt");
    store platform;
    std::atomic<bool> away{false};
    // Takes the store down for a while.
    const auto beginOutage = [&away] {
        std::thread([&away] {
            away = true;
            note("the store is down");
            sleepMs(outageMs);
            away = false;
            note("the store is back");
        }).detach();
    };
    engine *self = nullptr;
    engine llm("llm-1", "engines", [&](int file, const message &request) {
        if (troubled() && request.body.ends_with(lastInput())) {
            beginOutage();
        }
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto &[name, value] : self->heads(request, "text/event-stream")) {
            head += name + ": " + value + "\r\n";
        }
        std::string events;
        for (int i = 1; i <= 8; ++i) {
            events += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
        }
        sendAll(file, head + "Transfer-Encoding: chunked\r\n\r\n");
        sleepMs(engineMs);
        return sendAll(file, chunk(events) + "0\r\n\r\n");
    });
    self = &llm;
    platform.put("keyed.op", "config", configuration(1).dump());
    llm.announce(platform);
    platform.setHook([&away](int file, const message &) {
        return away && sendAll(file, responseText(503, {}, "{}")); // Nothing is done.
    });
    daemon_process first(folder, "entry-1", platform.port());
    daemon_process second(folder, "entry-2", platform.port());
    first.start();
    second.start();
    if (!first.waitReady() || !second.waitReady()) {
        finish(exitNotRun, "the daemons did not become ready");
    }
    sleepMs(1500);

    // The usual load: programs of two turns.
    std::thread([&] {
        for (int i = 0;; ++i) {
            const auto &daemon = i % 2 == 0 ? first : second;
            const auto program = "load-" + std::to_string(i);
            if (!away) {
                const auto turn = sendTurn(daemon, program, std::string(60000, 'x'), "", true);
                sendTurn(daemon, program, std::string(20000, 'y'), turn.attempt, true);
            }
            sleepMs(120);
        }
    }).detach();

    const std::string program = "program-1";
    const auto opening = sendTurn(first, program, std::string(longInput, 'a'), "", false);
    const auto before = sendTurn(first, program, std::string(longInput, 'b'), opening.attempt, false);
    const auto paused = nowMs();
    while (nowMs() < paused + pauseMs) {
        sleepMs(20);
    }
    const auto kept = sendTurn(first, program, lastInput(), before.attempt, false);
    const auto answered = nowMs();
    if (kept.status != 200 || !kept.whole) {
        finish(exitNotRun, "the turn was not answered whole, so nothing is owed");
    }
    while (nowMs() < answered + returnsAfterMs) {
        sleepMs(20);
    }
    int reached = 0;
    int firstTurns = 0;
    std::set<std::string> attempts;
    for (int i = 0; i < tries; ++i) {
        const auto &daemon = i % 2 == 0 ? second : first;
        attempts.insert(sendTurn(daemon, program, "go on\n", kept.attempt, false).attempt);
        attempts.insert(sendTurn(daemon, "other-" + std::to_string(i), "hello\n", "", false).attempt);
        sleepMs(400);
    }
    for (const auto &entry : llm.runs()) {
        if (attempts.contains(entry.attempt)) {
            const bool continues = entry.body.ends_with("go on\n");
            reached += continues ? 1 : 0;
            firstTurns += continues ? 0 : 1;
        }
    }
    const bool broken = tries - reached >= triesUntilBroken && firstTurns * 10 >= tries * 9;
    finish(broken ? exitBroken : exitHeld,
           "of " + std::to_string(tries) + " turns that continue one answered whole " + std::to_string((nowMs() - answered) / 1000)
               + " s ago, " + std::to_string(reached) + " reached an engine; of as many first turns, "
               + std::to_string(firstTurns));
}
