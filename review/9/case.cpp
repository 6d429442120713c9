// A crowd of small turns that all continue one large one: what they bring into memory must stay within the machine's.
#include "stage-2.hpp"

using namespace stage;

namespace
{

// The sheet of wanza-agents: 130 MB; limits.max_body_bytes is 4,194,304.
constexpr int memoryMegabytes = 130;
constexpr std::size_t memoryLimit = std::size_t{memoryMegabytes} << 20U;
constexpr int crowd = 40;
constexpr int largeInput = 4000000;
constexpr int usualInput = 17000;
constexpr int payers = 12;

bool runTurn(const std::string &id, const message &request, connection &link)
{
    auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    for (const auto &[name, value] : signatureOf(id, request)) {
        head += name + ": " + value + "\r\n";
    }
    link.send(head + "\r\n");
    for (int piece = 1; piece <= 10; ++piece) {
        sleepFor(100ms);
        const auto event = "id: " + std::to_string(piece) + "\ndata: " + std::string(160, 'p') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        link.send(size + event + "\r\n");
    }
    return link.send("0\r\n\r\n");
}

} // namespace

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    run_list reached;
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < 8; ++i) {
        const bool isEngine = i < 4;
        const auto id = (isEngine ? "i-llm-" : "i-shop-") + std::to_string(i);
        servers.push_back(
            std::make_unique<server>("127.0.0.1", [&, id, isEngine](const message &request, connection &link) {
                if (!isMeantFor(id, request, link)) {
                    return true;
                }
                reached.add(request.header("x-attempt-id"));
                if (isEngine) {
                    return runTurn(id, request, link);
                }
                sleepFor(104ms); // As order-place takes.
                return link.send(responseText(200, signatureOf(id, request), std::string(800, 'd')));
            }));
        keepListed(platform, id, entryOf(isEngine ? "llm" : "shop", servers.back()->address(), isEngine ? 12 : 6));
    }
    auto chat = plainRoute("/chat/", "streaming", "llm");
    chat.merge_patch({{"retained", true},
                      {"retention_s", 60.0},
                      {"sticky", true},
                      {"resumable", false},
                      {"gap_target_ms", 200},
                      {"priority", 0}});
    auto llm = plainService("llm");
    llm["max_connections"] = 150;
    llm["engine"] = {
        {"slots", 12}, {"kv_cache_tokens", 416087}, {"tokens_per_event", 27}, {"models", {{{"name", "m"}}}}};
    platform.put(
        "keyed.op", "config",
        configuration(1, {chat, plainRoute("/order/", "non_idempotent", "shop")}, {llm, plainService("shop")}).dump());
    daemon_process daemon(folder.path, "frontend-1", platform.address(),
                          {{"limits", {{"memory_mb", memoryMegabytes}}}});
    daemon.awaitReady();
    sleepFor(1s);

    // The platform kills a process that exceeds its memory.
    std::atomic<std::size_t> peak{0};
    std::atomic<int> ended{0}; // Turns of the crowd.
    std::atomic<bool> killed{false};
    std::thread([&] {
        while (!killed) {
            peak = std::max(peak.load(), daemon.memory());
            if (peak > memoryLimit) {
                killed = true;
                note("the platform kills the daemon: " + std::to_string(peak >> 20U) + " MB of "
                     + std::to_string(memoryMegabytes)
                     + "; turns of the crowd that have ended: " + std::to_string(ended));
                daemon.signal(SIGKILL);
            }
            sleepFor(5ms);
        }
    }).detach();

    const auto turn = [&](const std::string &attempt, const std::string &previous, const std::string &input) {
        header_list headers{
            {"Host", "shop.example"},     {"X-Attempt-Id", attempt},          {"X-Program-Id", "program"},
            {"X-Session-Id", attempt},    {"X-Program-Deadline-Ms", "20000"}, {"X-Token-Budget", "100000"},
            {"X-Token-Usage", "800,270"}, {"X-Prompt-Prefix", "a:800"},       {"X-Deadline-Ms", "3000"}};
        if (!previous.empty()) {
            headers.emplace_back("X-Previous-Turn", previous);
        }
        connection client;
        client.open(daemon.callers);
        client.send(requestText("POST", "/chat/turn", headers, input));
        const auto response = client.read(false, "POST");
        note("turn " + attempt + ": " + describe(response));
        return response.has_value() && response->complete && response->status() == 200;
    };

    // Ordinary clients on kept connections.
    std::atomic<bool> stop{false};
    std::atomic<int> lost{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int payer = 0; payer < payers; ++payer) {
        threads.emplace_back([&, payer] {
            connection client;
            client.open(daemon.callers);
            for (int i = 0; !stop; ++i) {
                const auto attempt = "order-" + std::to_string(payer) + "-" + std::to_string(i);
                client.send(requestText(
                    "POST", "/order/now",
                    {{"Host", "shop.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "3000"}}, "order"));
                const auto response = client.read(false, "POST");
                if (!response.has_value()) {
                    const bool isLost = i > 0 && reached.count(attempt) > 0;
                    lost += isLost ? 1 : 0;
                    note(attempt + ": " + describe(response) + (isLost ? "; it had reached a server" : ""));
                    return;
                }
                served += response->status() == 200 ? 1 : 0;
                sleepFor(20ms);
            }
        });
    }
    const int bytes = withTrouble() ? largeInput : usualInput;
    note("one turn with " + std::to_string(bytes) + " bytes of input");
    if (!turn("first", "", std::string(static_cast<std::size_t>(bytes), 'i'))) {
        cannotRun("the first turn is not served");
    }
    note("the daemon's memory was at most " + std::to_string(peak >> 20U) + " MB; " + std::to_string(crowd)
         + " small turns continue it within 0.8 s");
    std::vector<std::thread> agents;
    std::atomic<int> whole{0};
    for (int i = 0; i < crowd; ++i) {
        agents.emplace_back([&, i] {
            whole += turn("agent-" + std::to_string(i), "first", "input") ? 1 : 0;
            ++ended;
        });
        sleepFor(20ms);
    }
    std::ranges::for_each(agents, &std::thread::join);
    stop = true;
    std::ranges::for_each(threads, &std::thread::join);
    note("turns of the crowd answered whole: " + std::to_string(whole) + "; orders answered: " + std::to_string(served)
         + "; orders on kept connections that had reached a server and got no answer: " + std::to_string(lost)
         + "; the daemon's memory was at most " + std::to_string(peak >> 20U) + " MB of "
         + std::to_string(memoryMegabytes));
    if (!withTrouble() && whole != crowd) {
        cannotRun("not all turns of the usual size were served");
    }
    finish(killed && lost > 3 ? 1 : 0);
}
