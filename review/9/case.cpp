// An entry of a server that another writer has left, with fields missing: it names no server to use.
#include "stage-2.hpp"

using namespace stage;

int main()
{
    temporary_folder folder;
    store platform("127.0.0.1");
    run_list stockRuns;
    const auto serve = [&](const std::string &id, run_list *runs) {
        return [id, runs](const message &request, connection &link) {
            if (!isMeantFor(id, request, link)) {
                return true;
            }
            const auto attempt = request.header("x-attempt-id");
            sleepFor(69ms); // As payment-charge takes.
            if (runs != nullptr && request.word(1).starts_with("/pay/")) {
                runs->add(attempt);
            }
            return link.send(responseText(200, signatureOf(id, request), "done " + attempt));
        };
    };
    server payments("127.0.0.1", serve("i-pay", nullptr));
    server stock("127.0.0.1", serve("i-stock", &stockRuns));
    const json routes = {plainRoute("/pay/", "non_idempotent", "payments"), plainRoute("/stock/", "idempotent", "stock")};
    platform.put("keyed.op", "config", configuration(1, routes, {plainService("payments"), plainService("stock")}).dump());
    keepListed(platform, "i-pay", entryOf("payments", payments.address(), 6));
    keepListed(platform, "i-stock", entryOf("stock", stock.address(), 6));
    daemon_process daemon(folder.path, "frontend-1", platform.address());
    daemon.awaitReady();
    sleepFor(1s);

    const std::string foreign = json{{"service", "payments"}, {"address", stock.address()}, {"state", "ready"}}.dump();
    constexpr int clients = 12;
    constexpr int paymentsEach = 40;
    std::atomic<int> wrong{0};
    std::atomic<int> served{0};
    std::atomic<bool> done{false};
    std::thread writer([&] {
        while (withTrouble() && !done) {
            note("another writer leaves the entry i-stock: " + foreign);
            platform.put("keyed.servers", "i-stock", foreign);
            sleepFor(1500ms);
        }
    });
    const auto pay = [&](int number) {
        for (int i = 0; i < paymentsEach; ++i) {
            const auto attempt = "pay-" + std::to_string(number) + "-" + std::to_string(i);
            connection client;
            client.open(daemon.callers);
            client.send(requestText("POST", "/pay/now",
                                    {{"Host", "shop.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "2000"}}, "amount=1"));
            const auto response = client.read(false, "POST");
            served += response.has_value() && response->status() == 200 ? 1 : 0;
            if (stockRuns.count(attempt) > 0) {
                note("payment " + attempt + " was run by the service stock; the client gets " + describe(response));
                ++wrong;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back(pay, i);
    }
    std::ranges::for_each(threads, &std::thread::join);
    done = true;
    writer.join();
    note("payments answered with 200: " + std::to_string(served) + ", run by the service stock: " + std::to_string(wrong) + ", of "
         + std::to_string(clients * paymentsEach));
    finish(wrong > 0 ? 1 : 0);
}
