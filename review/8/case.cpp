// The last tenant is removed by a new configuration: its key must not be served any more, nor any other.
#include "stage-2.hpp"

using namespace stage;

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    run_list runs;
    std::atomic<int> keysSeen{0};
    server shop("127.0.0.1", [&](const message &request, connection &link) {
        if (!isMeantFor("i-shop", request, link)) {
            return true;
        }
        const auto attempt = request.header("x-attempt-id");
        const auto key = request.header("authorization");
        const auto tenant = request.header("x-tenant");
        keysSeen += key.empty() ? 0 : 1;
        note("server runs " + request.first + ", id " + attempt + ", tenant " + (tenant.empty() ? "none" : tenant)
             + (key.empty() ? "" : ", and is shown the key: " + key));
        runs.add(attempt);
        return link.send(responseText(200, signatureOf("i-shop", request), "done " + attempt));
    });
    const json routes = json::array({plainRoute("/pay/", "non_idempotent", "shop")});
    auto config = configuration(1, routes, json::array({plainService("shop")}));
    config["tenants"] = json::array({{{"name", "outlet"}, {"api_keys", json::array({"key-1"})}}});
    platform.put("keyed.op", "config", config.dump());
    keepListed(platform, "i-shop", entryOf("shop", shop.address(), 6));
    const json fields = {{"bounds",
                          {{"strict_revocation", true},
                           {"revoke_timeout_ms", 5000},
                           {"quota_window_s", 5},
                           {"quota_overrun", 0.1},
                           {"quota_slack", 20}}}};
    daemon_process daemon(folder.path, "frontend-1", platform.address(), fields);
    daemon.awaitReady();
    sleepFor(1s);

    const auto pay = [&](const std::string &attempt, const std::string &key) {
        connection client;
        client.open(daemon.callers);
        note("client sends POST /pay/now, id " + attempt + ", key " + key);
        client.send(requestText("POST", "/pay/now",
                                {{"Host", "shop.example"},
                                 {"X-Attempt-Id", attempt},
                                 {"Authorization", "Token " + key},
                                 {"X-Deadline-Ms", "2000"}},
                                "amount=100"));
        note("client gets " + describe(client.read(false, "POST")));
        return runs.count(attempt) > 0;
    };
    if (!pay("before-1", "key-1") || pay("before-2", "never-a-key")) {
        cannotRun("keys are not checked under the first configuration");
    }
    config["version"] = 2;
    if (withTrouble()) {
        config["tenants"] = json::array();
    } else {
        config["routes"][0]["timeout_ms"] = 2500;
    }
    platform.put("keyed.op", "config", config.dump());
    note(withTrouble() ? "the store acknowledges version 2, which takes the only tenant and its key away"
                       : "the store acknowledges version 2, which changes a timeout");
    sleepFor(6s); // revoke_timeout_ms is 5,000.
    const bool revokedRan = pay("after-1", "key-1") && withTrouble();
    const bool unknownRan = pay("after-2", "never-a-key");
    note(std::string("a request with a key that was taken away has run: ") + (revokedRan ? "yes" : "no"));
    note(std::string("a request with a key that no configuration ever held has run: ") + (unknownRan ? "yes" : "no"));
    note("servers were shown a key: " + std::to_string(keysSeen.load()) + " times");
    finish(revokedRan || unknownRan || keysSeen > 0 ? 1 : 0);
}
