#include "daemon/shell.h"
#include "logging/logging.h"
#include "results/results.h"

#include <docopt/docopt.h>
#include <iostream>

namespace
{

using namespace jackdawpick;

constexpr const char *usageText = R"(jackdawpickd schedules the calls of agent programs onto engines and services.

Usage:
  jackdawpickd --config FILE [--check]
  jackdawpickd --help
  jackdawpickd --version

Options:
  --config FILE  Settings of this daemon (TOML).
  --check        Check the settings and exit.
  --help         Show this text.
  --version      Show the version.
)";

constexpr const char *versionText = "jackdawpickd 0.1";
constexpr int exitInvalidSettings = 2;

int run(const daemon_settings &settings)
{
    const system_clock_source clock;
    net::loop loop;
    shell daemon(loop, clock, settings);
    bool terminating = false;
    loop.onSignals([&] {
        // A second signal ends the process without waiting for the calls in flight.
        if (std::exchange(terminating, true)) {
            loop.stop();
        } else {
            daemon.drain();
        }
    });
    const auto ports = daemon.start();
    logging::write(log_level::Info, "listening",
                   {{"daemon", settings.name}, {"http", ports.http}, {"admin", ports.admin}, {"peer", ports.peer}});
    loop.run();
    logging::write(log_level::Info, "stopped", {{"daemon", settings.name}});
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto arguments = docopt::docopt(usageText, {argv + 1, argv + argc}, true, versionText);
        const auto file = arguments.at("--config").asString();
        const auto parsed = loadSettings(file);
        if (!parsed.errors.empty()) {
            for (const auto &problem : parsed.errors) {
                std::cerr << toString(problem) << '\n';
            }
            return exitInvalidSettings;
        }
        if (arguments.at("--check").asBool()) {
            std::cout << file << ": valid\n";
            return 0;
        }
        return run(parsed.value);
    } catch (const error &problem) {
        std::cerr << "jackdawpickd: " << problem.what() << " (code " << static_cast<int>(problem.code()) << ")\n";
        return problem.code() == result_code::SettingsInvalid ? exitInvalidSettings : 1;
    } catch (const std::exception &problem) {
        std::cerr << "jackdawpickd: " << problem.what() << '\n';
        return 1;
    }
}
