// Turns of a tenant must not exist for callers of a public route, whatever ids these send.
#include "stage-2.hpp"

using namespace stage;

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    std::mutex mutex;
    std::map<std::string, std::string> bodies; // Of the turns that the engine has run, by attempt id.
    server llm("127.0.0.1", [&](const message &request, connection &link) {
        if (!isMeantFor("i-llm", request, link)) {
            return true;
        }
        const auto attempt = request.header("x-attempt-id");
        const auto tenant = request.header("x-tenant");
        note("engine runs the turn " + attempt + ", tenant " + (tenant.empty() ? "none" : tenant)
             + ", body: " + json(request.body).dump());
        {
            const std::lock_guard lock(mutex);
            bodies[attempt] = request.body;
        }
        auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        for (const auto &[name, value] : signatureOf("i-llm", request)) {
            head += name + ": " + value + "\r\n";
        }
        const auto event = "id: 1\ndata: answer-to-" + attempt + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        return link.send(head + "\r\n" + size + event + "\r\n0\r\n\r\n");
    });
    keepListed(platform, "i-llm", entryOf("llm", llm.address()));
    const auto turnRoute = [](const std::string &prefix, bool isPublic) {
        auto route = plainRoute(prefix, "streaming", "llm");
        route.merge_patch(
            {{"retained", true}, {"retention_s", 60.0}, {"sticky", true}, {"resumable", false}, {"public", isPublic}});
        return route;
    };
    auto service = plainService("llm");
    service["engine"] = {
        {"slots", 12}, {"kv_cache_tokens", 291669}, {"tokens_per_event", 27}, {"models", {{{"name", "m"}}}}};
    auto config = configuration(1, {turnRoute("/members/", false), turnRoute("/open/", true)}, json::array({service}));
    config["tenants"] = json::array({{{"name", "outlet"}, {"api_keys", json::array({"key-1"})}},
                                     {{"name", "market"}, {"api_keys", json::array({"key-2"})}}});
    platform.put("keyed.op", "config", config.dump());
    const json fields = {{"bounds",
                          {{"strict_revocation", true},
                           {"revoke_timeout_ms", 5000},
                           {"quota_window_s", 5},
                           {"quota_overrun", 0.1},
                           {"quota_slack", 20}}}};
    daemon_process first(folder.path, "frontend-1", platform.address(), fields);
    daemon_process second(folder.path, "frontend-2", platform.address(), fields);
    first.awaitReady();
    second.awaitReady();
    sleepFor(1500ms);

    const auto turn = [&](const daemon_process &daemon, const std::string &path, const std::string &attempt,
                          const std::string &previous, const std::string &key, const std::string &input) {
        header_list headers{
            {"Host", "shop.example"},     {"X-Attempt-Id", attempt},  {"X-Program-Id", "program-" + attempt},
            {"X-Session-Id", attempt},    {"X-Token-Budget", "5000"}, {"X-Token-Usage", "100,100"},
            {"X-Prompt-Prefix", "a:100"}, {"X-Deadline-Ms", "3000"}};
        if (!previous.empty()) {
            headers.emplace_back("X-Previous-Turn", previous);
        }
        if (!key.empty()) {
            headers.emplace_back("Authorization", "Token " + key);
        }
        connection client;
        client.open(daemon.callers);
        note("client sends POST " + path + ", id " + attempt + ", previous turn "
             + (previous.empty() ? "none" : previous) + ", " + (key.empty() ? "no key" : key) + ", input " + input);
        client.send(requestText("POST", path, headers, input));
        const auto response = client.read(false, "POST");
        note("client gets " + describe(response));
        const std::lock_guard lock(mutex);
        return bodies.contains(attempt) ? std::optional(bodies[attempt]) : std::nullopt;
    };
    int wrong = 0;
    for (int i = 0; i < 3; ++i) {
        const auto number = std::to_string(i);
        const auto member = "turn-" + number;
        const auto secret = "[secret-" + number + "-of-outlet]";
        if (turn(first, "/members/x", member, "", "key-1", secret) != secret) {
            cannotRun("the tenant's turn is not served");
        }
        // The other tenant, and a caller without a key, name the turn as the pages say: 404.
        if (turn(second, "/members/x", "market-" + number, member, "key-2", "[market]").has_value()
            || turn(second, "/open/x", "plain-" + number, member, "", "[public]").has_value()) {
            note("the turn was served to another caller under its own id");
            ++wrong;
        }
        // No client has ever sent a turn with this id, so no such turn exists.
        const auto made = withTrouble() ? "6:outlet/" + member : "9:nobody-at/" + member;
        if (const auto body = turn(second, "/open/x", "asker-" + number, made, "", "[public]"); body.has_value()) {
            note("a turn ran whose previous turn names no turn; its body holds the tenant's: "
                 + std::string(body->find(secret) != std::string::npos ? "yes" : "no"));
            ++wrong;
        }
        // A turn of a caller without a key, with an id of its own choice.
        const auto other = "theirs-" + number;
        turn(first, "/members/x", other, "", "key-1", secret);
        turn(first, "/open/x", withTrouble() ? "6:outlet/" + other : "9:nobody-at/" + other, "", "", "[planted]");
        const auto next = turn(first, "/members/x", "next-" + number, other, "key-1", "[go on]");
        const auto expected = secret + "answer-to-" + other + "\n[go on]";
        if (next.has_value() && *next != expected) {
            note("the tenant's next turn ran with another body than its chain's");
            ++wrong;
        }
    }
    note("turns that ran with foreign texts: " + std::to_string(wrong));
    finish(wrong > 0 ? 1 : 0);
}
