#include "load/load_runner.h"
#include "logging/logging.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <nlohmann/json.hpp>
#include <sstream>

namespace
{

using namespace jackdawpick;
using namespace jackdawpick::standins;

constexpr const char *usageText = R"(Replays agent programs against jackdawpick and checks every answer.

Usage:
  jackdawpick-load --config=FILE --entry=LIST [--service-admin=LIST] [--bound-s=N] [--seed=N] [--json] [--verbose]
  jackdawpick-load --help

Options:
  --config=FILE          Ranks, rates, chains, pauses, sub-agents and services in TOML.
  --entry=LIST           IP:PORT,... of daemons to ask for entry addresses.
  --service-admin=LIST   IP:PORT,... of the service stand-ins, whose counts judge doubled and lost calls.
  --bound-s=N            Programs that still run after this time count as failed [default: 600].
  --seed=N               Replaces the seed of the file.
  --json                 Print JSON instead of a table.
  --verbose              Log each refusal and each broken connection.

The exit code is 1 if a call was lost, doubled, reordered or mixed up, and 2 if the run could not be made.
)";

std::vector<std::string> listOf(const docopt::value &given)
{
    std::vector<std::string> result;
    if (given) {
        std::istringstream text(given.asString());
        for (std::string part; std::getline(text, part, ',');) {
            result.push_back(part);
        }
    }
    return result;
}

int run(const std::map<std::string, docopt::value> &given)
{
    auto options = loadLoadOptions(given.at("--config").asString());
    if (given.at("--seed")) {
        options.seed = static_cast<std::uint64_t>(given.at("--seed").asLong());
    }
    if (given.at("--verbose").asBool()) {
        logging::setLevel(log_level::Debug);
    }
    const runner_options target{.entries = listOf(given.at("--entry")),
                                .serviceAdmins = listOf(given.at("--service-admin")),
                                .bound = std::chrono::seconds(given.at("--bound-s").asLong())};
    net::loop loop;
    const system_clock_source clock;
    load_runner runner(loop, clock, options, target);
    bool complete = false;
    loop.onSignals([&loop] { loop.stop(); });
    runner.start([&] {
        complete = true;
        loop.stop();
    });
    loop.run();
    if (!complete) {
        return 2;
    }
    const auto &report = runner.report();
    fmt::print("{}", given.at("--json").asBool() ? report.json().dump(2) + "\n" : report.table());
    fmt::print(stderr, "seed {}\n", options.seed);
    return report.isClean() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const auto given = docopt::docopt(usageText, {argv + 1, argv + argc});
    try {
        return run(given);
    } catch (const std::exception &problem) {
        logging::write(log_level::Error, "stopped", {{"reason", std::string(problem.what())}});
        return 2;
    }
}
