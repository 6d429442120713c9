#include "emulator/platform_emulator.h"
#include "emulator/program_driver.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <exception>
#include <fmt/format.h>
#include <iostream>

namespace
{

using namespace jackdawpick;
using namespace jackdawpick::standins;
using arguments = std::map<std::string, docopt::value>;

constexpr const char *usageText = R"(The users' platform on loopback, and programs that run through daemons.

Usage:
  jackdawpick-emulator serve [--store=ADDR] [--engines=N] [--services=N] [--seed=N] [--lose-replies=X]
      [--lose-answers=X] [--end-with-connection=X] [--rate-limit=X]
  jackdawpick-emulator drive --directory=ADDR... [--programs=N] [--turns=N] [--spacing-ms=N] [--seed=N]
  jackdawpick-emulator --help

Options:
  --store=ADDR        Address of the store [default: 127.0.0.1:0].
  --engines=N         Model engines [default: 4].
  --services=N        Endpoints of the plain service [default: 3].
  --seed=N            Seed of all random draws [default: 1].
  --lose-replies=X    Part of the appends that are executed without a reply [default: 0].
  --lose-answers=X    Part of the requests that endpoints run without an answer [default: 0].
  --end-with-connection=X  Part of the answers that have neither a length nor chunks [default: 0].
  --rate-limit=X      Requests per second that each endpoint states to take; 0: none [default: 0].
  --directory=ADDR    Directory address of a daemon; may be given several times.
  --programs=N        Programs to run [default: 100].
  --turns=N           Turns of a program [default: 3].
  --spacing-ms=N      Time between the starts of programs [default: 20].
)";

int integer(const arguments &given, const std::string &name)
{
    return std::stoi(given.at(name).asString());
}

double number(const arguments &given, const std::string &name)
{
    return std::stod(given.at(name).asString());
}

int serve(const arguments &given)
{
    net::loop loop;
    const double limit = number(given, "--rate-limit");
    platform_emulator platform(loop,
                               {.storeAddress = given.at("--store").asString(),
                                .engines = integer(given, "--engines"),
                                .services = integer(given, "--services"),
                                .seed = static_cast<unsigned>(integer(given, "--seed")),
                                .losesReply = number(given, "--lose-replies"),
                                .losesAnswer = number(given, "--lose-answers"),
                                .endsWithConnection = number(given, "--end-with-connection"),
                                .rateLimit = limit > 0 ? std::optional(limit) : std::nullopt});
    fmt::print("store {}\n", platform.start());
    std::fflush(stdout);
    loop.onSignals([&loop] { loop.stop(); });
    loop.run();
    std::map<std::string, int> runs;
    std::ranges::for_each(platform.runs(), [&runs](const emulated_run &run) { ++runs[run.attempt]; });
    const auto twice = std::ranges::count_if(runs, [](const auto &entry) { return entry.second > 1; });
    fmt::print("runs {}\nattempts that ran twice {}\n", platform.runs().size(), twice);
    return 0;
}

std::int64_t quantile(std::vector<std::int64_t> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

int drive(const arguments &given)
{
    net::loop loop;
    program_driver driver(loop,
                          {.directories = given.at("--directory").asStringList(),
                           .programs = integer(given, "--programs"),
                           .turns = integer(given, "--turns"),
                           .spacing = std::chrono::milliseconds(integer(given, "--spacing-ms")),
                           .seed = static_cast<unsigned>(integer(given, "--seed"))},
                          [&loop] { loop.stop(); });
    loop.onSignals([&loop] { loop.stop(); });
    driver.start();
    loop.run();
    const auto &report = driver.report();
    fmt::print("{:<24}{:>8}\n", "programs finished", report.finished);
    fmt::print("{:<24}{:>8}\n", "programs failed", report.failed);
    fmt::print("{:<24}{:>8}\n", "wrong answers", report.wrong);
    fmt::print("{:<24}{:>8}\n", "refusals", report.refused);
    fmt::print("{:<24}{:>8}\n", "program p50 ms", quantile(report.programMilliseconds, 0.5));
    fmt::print("{:<24}{:>8}\n", "program p95 ms", quantile(report.programMilliseconds, 0.95));
    return report.wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto given = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
        return given.at("serve").asBool() ? serve(given) : drive(given);
    } catch (const std::exception &problem) {
        std::cerr << "jackdawpick-emulator: " << problem.what() << '\n';
        return 1;
    }
}
