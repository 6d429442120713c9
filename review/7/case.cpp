// A request whose body is framed by a transfer coding other than chunks: the bytes of its body must not run as a request.
#include "stage-2.hpp"

using namespace stage;

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    run_list runs;
    server shop("127.0.0.1", [&](const message &request, connection &link) {
        if (!isMeantFor("i-shop", request, link)) {
            return true;
        }
        const auto attempt = request.header("x-attempt-id");
        note("server runs " + request.first + ", id " + attempt + ", " + std::to_string(request.body.size()) + " bytes");
        runs.add(attempt);
        return link.send(responseText(200, signatureOf("i-shop", request), "done " + attempt));
    });
    const json routes = {plainRoute("/note/", "non_idempotent", "shop"), plainRoute("/pay/", "non_idempotent", "shop")};
    platform.put("keyed.op", "config", configuration(1, routes, json::array({plainService("shop")})).dump());
    keepListed(platform, "i-shop", entryOf("shop", shop.address(), 6));
    daemon_process daemon(folder.path, "frontend-1", platform.address());
    daemon.awaitReady();
    sleepFor(1s);

    int smuggled = 0;
    int sent = 0;
    for (const std::string coding : {"identity", "gzip", "chunked, identity"}) {
        const auto outer = "outer-" + std::to_string(++sent);
        const auto inner = "nobody-sent-" + std::to_string(sent);
        const auto body = requestText("POST", "/pay/now", {{"Host", "shop.example"}, {"X-Attempt-Id", inner}}, "amount=100");
        const auto framing =
            withTrouble() ? "Transfer-Encoding: " + coding : "Content-Length: " + std::to_string(body.size());
        connection client;
        if (!client.open(daemon.callers)) {
            cannotRun("no connection to the daemon");
        }
        note("client sends POST /note/text, id " + outer + ", " + framing + ", a body of " + std::to_string(body.size())
             + " bytes that reads like a payment with the id " + inner);
        client.send("POST /note/text HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + outer + "\r\nX-Deadline-Ms: 2000\r\n"
                    + framing + "\r\n\r\n" + body);
        const auto response = client.read(false, "POST");
        note("client gets " + describe(response));
        if (const auto more = client.leftover(1s); !more.empty()) {
            note("client gets more, with no request waiting: " + more.substr(0, more.find("\r\n")));
        }
        if (!withTrouble() && (!response.has_value() || response->status() != 200)) {
            cannotRun("the plain request is not served");
        }
        smuggled += runs.count(inner) > 0 ? 1 : 0;
    }
    note("payments that no client sent and a server has run: " + std::to_string(smuggled));
    finish(smuggled > 0 ? 1 : 0);
}
