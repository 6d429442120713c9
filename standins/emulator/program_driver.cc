#include "emulator/program_driver.h"

#include "emulator/platform_emulator.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds resolveInterval{500};
constexpr milliseconds resolveTimeout{1000};
constexpr milliseconds callDeadline{3000};
constexpr milliseconds pauseAfterFailure{150};
constexpr int tokensOfTurn = 567;

std::string headerIn(const net::client_result &result, std::string_view name)
{
    const auto found = std::ranges::find(result.headers, name, &std::pair<std::string, std::string>::first);
    return found == result.headers.end() ? std::string() : found->second;
}

// The data of all events, each followed by a line feed, as the chain of the next turn holds it.
std::string outputOf(const std::string &stream)
{
    std::string output;
    for (const auto &data : net::sse_reader().append(stream)) {
        output += data + "\n";
    }
    return output;
}

} // namespace

struct program_driver::program
{
    std::string id;
    int turn = 0;
    bool calling = false; // A tool, between two turns.
    std::string chain; // What the next turn's engine must receive before its input.
    std::string previousTurn;
    std::string attempt;
    std::string input;
    int tries = 0;
    time_point began;
};

program_driver::program_driver(net::loop &loop, driver_options options, std::function<void()> onDone)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_onDone(std::move(onDone))
    , m_random(m_options.seed)
{
}

program_driver::~program_driver() = default;

void program_driver::start()
{
    resolve();
    m_loop.every(resolveInterval, [this] { resolve(); });
    for (int i = 0; i < m_options.programs; ++i) {
        m_loop.after(resolveInterval + m_options.spacing * i, [this, i] { begin(i); });
    }
}

const driver_report &program_driver::report() const
{
    return m_report;
}

void program_driver::resolve()
{
    const auto &directory = m_options.directories[m_random() % m_options.directories.size()];
    net::client_request request{.address = directory,
                                .path = fmt::format("/resolve?name={}&zone=z", platform_emulator::host),
                                .timeout = resolveTimeout};
    m_loop.request(std::move(request), [this](const net::client_result &result) {
        const auto answer = nlohmann::json::parse(result.body, nullptr, false);
        if (answer.is_object() && answer.contains("addresses")) {
            m_addresses = answer.at("addresses").get<std::vector<std::string>>();
        }
    });
}

void program_driver::begin(int number)
{
    auto &which = *m_programs.emplace_back(std::make_unique<program>());
    which.id = fmt::format("{}{}", m_options.prefix, number);
    which.began = std::chrono::steady_clock::now();
    sendTurn(which);
}

std::string program_driver::newAttempt(const program &which)
{
    return fmt::format("{}-{}", which.id, ++m_lastAttempt);
}

void program_driver::sendTurn(program &which)
{
    which.calling = false;
    which.attempt = newAttempt(which);
    which.input = fmt::format("input {} of {}\n", which.turn, which.id);
    net::client_request request{.method = "POST",
                                .path = fmt::format("{}x", platform_emulator::turnPath),
                                .body = which.input,
                                .headers = {{"X-Token-Budget", std::to_string(3 * m_options.turns * tokensOfTurn)},
                                            {"X-Token-Usage", fmt::format("100,{}", tokensOfTurn)},
                                            {"X-Session-Id", which.id}}};
    if (!which.previousTurn.empty()) {
        request.headers.emplace_back("X-Previous-Turn", which.previousTurn);
    }
    send(which, std::move(request), [this, &which](const net::client_result &result) { onTurn(which, result); });
}

void program_driver::sendCall(program &which)
{
    which.calling = true;
    which.attempt = newAttempt(which);
    const bool pays = which.turn % 2 == 0;
    if (pays) {
        m_report.payments.push_back(which.attempt);
    }
    net::client_request request{
        .method = pays ? "POST" : "GET",
        .path = fmt::format("{}x", pays ? platform_emulator::payPath : platform_emulator::readPath)};
    send(which, std::move(request), [this, &which](const net::client_result &result) { onCall(which, result); });
}

void program_driver::send(program &which, net::client_request request,
                          std::function<void(const net::client_result &)> onAnswer)
{
    if (m_addresses.empty()) {
        m_loop.after(pauseAfterFailure, [this, &which] { tryAgain(which, {}); });
        return;
    }
    request.address = m_addresses[m_random() % m_addresses.size()];
    request.timeout = callDeadline;
    request.headers.emplace_back("host", platform_emulator::host);
    request.headers.emplace_back("X-Attempt-Id", which.attempt);
    request.headers.emplace_back("X-Program-Id", which.id);
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(callDeadline.count()));
    m_loop.request(std::move(request), std::move(onAnswer));
}

void program_driver::onTurn(program &which, const net::client_result &result)
{
    if (result.error != net::client_error::None || result.status != 200) {
        tryAgain(which, result);
        return;
    }
    const auto output = outputOf(result.body);
    const auto expected = fmt::format("digest {:016x}\n", bodyDigest(which.chain + which.input));
    if (headerIn(result, "x-attempt-id") != which.attempt || !output.starts_with(expected)) {
        ++m_report.wrong;
    }
    which.chain += which.input + output;
    which.previousTurn = which.attempt;
    which.tries = 0;
    sendCall(which);
}

void program_driver::onCall(program &which, const net::client_result &result)
{
    if (result.error != net::client_error::None || result.status != 200) {
        tryAgain(which, result);
        return;
    }
    m_report.wrong += result.body == "done " + which.attempt ? 0 : 1;
    which.tries = 0;
    ++which.turn;
    if (which.turn == m_options.turns) {
        finish(which, true);
    } else {
        sendTurn(which);
    }
}

// A call that must not run twice is sent again, with an attempt of its own, only if it is known not to have run.
void program_driver::tryAgain(program &which, const net::client_result &result)
{
    const bool refused = result.error == net::client_error::None && (result.status == 429 || result.status == 503);
    if (refused) {
        ++m_report.refused;
        m_report.refusedAttempts.push_back(which.attempt);
    }
    const bool notSent = result.error == net::client_error::ConnectFailed || result.status == 0;
    const bool mayHaveRun = !refused && !(notSent && !result.bytesSent);
    ++which.tries;
    if (which.tries >= m_options.tries || (which.calling && which.turn % 2 == 0 && mayHaveRun)) {
        finish(which, false);
        return;
    }
    m_loop.after(pauseAfterFailure, [this, &which] { which.calling ? sendCall(which) : sendTurn(which); });
}

void program_driver::finish(program &which, bool done)
{
    const auto took = std::chrono::steady_clock::now() - which.began;
    ++(done ? m_report.finished : m_report.failed);
    m_report.programMilliseconds.push_back(std::chrono::duration_cast<milliseconds>(took).count());
    if (m_report.finished + m_report.failed == m_options.programs) {
        m_onDone();
    }
}

} // namespace jackdawpick::standins
