// One machine is left and carries the usual load of all: the texts of finished turns must not fill its memory.
#include "stage-2.hpp"

using namespace stage;

namespace
{

// The sheet of swanfield-val-grown: 61 turns a second of quick-review, about four in a program, and 26 of comps-brief,
// about nine in a program, each with 17,000 bytes of input and eight events of 180 bytes; most machines have 96 MB.
constexpr int machines = 6;
constexpr int memoryMegabytes = 96;
constexpr std::size_t memoryLimit = std::size_t{memoryMegabytes} << 20U;
constexpr int turnsPerSecond = 88;
constexpr int turnsOfLongProgram = 9;
constexpr int turnsOfShortProgram = 4;
constexpr int inputBytes = 17000;
constexpr auto loadTime = 55s;
constexpr int clients = 72;

bool runTurn(const std::string &id, const message &request, connection &link)
{
    sleepFor(80ms); // 20,000 tokens of the prompt, 257 in a ms.
    auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    for (const auto &[name, value] : signatureOf(id, request)) {
        head += name + ": " + value + "\r\n";
    }
    link.send(head + "\r\n");
    for (int piece = 1; piece <= 8; ++piece) {
        sleepFor(29ms); // 27 tokens of 1.06 ms.
        const auto event = "id: " + std::to_string(piece) + "\ndata: " + std::string(180, 'p') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        link.send(size + event + "\r\n");
    }
    return link.send("0\r\n\r\n");
}

std::string turnText(const std::string &attempt, const std::string &program, const std::string &previous)
{
    header_list headers{{"Host", "shop.example"},           {"X-Attempt-Id", attempt},
                        {"X-Program-Id", program},          {"X-Session-Id", program},
                        {"X-Program-Deadline-Ms", "20000"}, {"X-Token-Budget", "5000"},
                        {"X-Token-Usage", "20160,216"},     {"X-Prompt-Prefix", "5c1e:12600," + program + ":7560"},
                        {"X-Deadline-Ms", "3000"}};
    if (!previous.empty()) {
        headers.emplace_back("X-Previous-Turn", previous);
    }
    return requestText("POST", "/brief/turn", headers, std::string(inputBytes, 'i'));
}

} // namespace

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    run_list reached;
    std::vector<std::unique_ptr<server>> engines;
    for (int i = 0; i < 24; ++i) {
        const auto id = "i-llm-" + std::to_string(i);
        engines.push_back(std::make_unique<server>("127.0.0.1", [&, id](const message &request, connection &link) {
            if (!isMeantFor(id, request, link)) {
                return true;
            }
            reached.add(request.header("x-attempt-id"));
            return runTurn(id, request, link);
        }));
        keepListed(platform, id, entryOf("llm", engines.back()->address()));
    }
    auto brief = plainRoute("/brief/", "streaming", "llm");
    brief.merge_patch({{"retained", true},
                       {"retention_s", 60.0},
                       {"sticky", true},
                       {"resumable", false},
                       {"gap_target_ms", 300},
                       {"priority", 0}});
    auto llm = plainService("llm");
    llm["max_connections"] = 590;
    llm["engine"] = {
        {"slots", 12}, {"kv_cache_tokens", 290252}, {"tokens_per_event", 27}, {"models", {{{"name", "m"}}}}};
    platform.put("keyed.op", "config", configuration(1, json::array({brief}), json::array({llm})).dump());
    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (int i = 0; i < machines; ++i) {
        daemons.push_back(std::make_unique<daemon_process>(
            folder.path, "frontend-" + std::to_string(i + 1), platform.address(),
            json{{"limits", {{"memory_mb", memoryMegabytes}, {"file_descriptors", 3075}}}}));
    }
    for (const auto &daemon : daemons) {
        daemon->awaitReady();
    }
    sleepFor(1500ms);
    std::vector<daemon_process *> left;
    for (const auto &daemon : daemons) {
        if (withTrouble() && !left.empty()) {
            daemon->end(SIGKILL);
        } else {
            left.push_back(daemon.get());
        }
    }
    note("machines left: " + std::to_string(left.size()) + " of " + std::to_string(machines));
    if (withTrouble()) {
        sleepFor(2s); // Until the last one knows that the others are gone.
    }

    // The platform kills a process that exceeds its memory.
    std::atomic<std::size_t> peak{0};
    std::atomic<bool> killed{false};
    std::thread([&] {
        while (!killed) {
            for (auto *daemon : left) {
                const auto used = daemon->memory();
                peak = std::max(peak.load(), used);
                if (used > memoryLimit) {
                    killed = true;
                    note("the platform kills a daemon: it uses " + std::to_string(used >> 20U) + " MB of "
                         + std::to_string(memoryMegabytes));
                    daemon->signal(SIGKILL);
                }
            }
            sleepFor(10ms);
        }
    }).detach();

    // Each client keeps its connection for many programs, and ends at the end of the load or when a daemon is killed.
    const auto begin = steady::now();
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> lost{0};
    std::atomic<int> brokenOff{0};
    const auto client = [&](int number) {
        connection link;
        auto *daemon = left[static_cast<std::size_t>(number) % left.size()];
        const int turnsOfProgram =
            number * turnsPerSecond / clients % 88 < 26 ? turnsOfLongProgram : turnsOfShortProgram;
        bool kept = false; // The connection has served a request before.
        std::string previous;
        std::string program;
        for (int turn = 0; !killed && steady::now() - begin < loadTime; ++turn) {
            std::this_thread::sleep_until(
                begin + std::chrono::milliseconds(1000 * (turn * clients + number) / turnsPerSecond));
            if (turn % turnsOfProgram == 0 || previous.empty()) {
                program = "p" + std::to_string(number) + "-" + std::to_string(turn);
                previous.clear();
            }
            const auto attempt = "t" + std::to_string(number) + "-" + std::to_string(turn);
            if (!kept && !link.open(daemon->callers)) {
                return;
            }
            ++sent;
            link.send(turnText(attempt, program, previous));
            const auto response = link.read(false, "POST");
            const bool answered = response.has_value() && response->complete;
            const bool isWhole = answered && response->status() == 200;
            whole += isWhole ? 1 : 0;
            if (!answered && kept && reached.count(attempt) > 0) {
                ++(response.has_value() ? brokenOff : lost);
                note("turn " + attempt + " on a kept connection had reached a server; " + describe(response));
            } else if (!isWhole) {
                note("turn " + attempt + ": " + describe(response));
            }
            kept = answered && response->header("connection") != "close";
            previous = isWhole ? attempt : std::string();
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back(client, i);
    }
    for (int i = 0; !killed && steady::now() - begin < loadTime; ++i) {
        if (i % 5 == 0) {
            note(std::to_string(sent) + " turns sent; most memory of a daemon so far " + std::to_string(peak >> 20U)
                 + " MB");
        }
        sleepFor(1s);
    }
    std::ranges::for_each(threads, &std::thread::join);
    note("turns sent: " + std::to_string(sent) + ", answered whole: " + std::to_string(whole)
         + "; on kept connections, had reached a server and closed without an answer: " + std::to_string(lost)
         + ", broken off: " + std::to_string(brokenOff) + "; most memory of a daemon: " + std::to_string(peak >> 20U)
         + " MB of " + std::to_string(memoryMegabytes));
    if (!killed && whole < sent * 9 / 10) {
        cannotRun("the load was not served");
    }
    finish(killed && lost > 3 ? 1 : 0);
}
