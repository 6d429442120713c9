#include "daemon/scheduler_daemon.h"
#include "gateway_daemon/gateway_daemon.h"
#include "logging/logging.h"
#include "results/results.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <malloc.h>

namespace
{

using namespace jackdawpick;

constexpr const char *usageText = R"(jackdawpickd schedules the calls of agent programs onto engines and services.

Usage:
  jackdawpickd [--config FILE] [--check]
  jackdawpickd --help
  jackdawpickd --version

Options:
  --config FILE  Settings of this daemon (TOML). Without it, the file named by the environment variable
                 JACKDAWPICK_SETTINGS. A file with a table [listen] is for a daemon on the users' platform.
  --check        Check the settings and exit.
  --help         Show this text.
  --version      Show the version.
)";

constexpr const char *versionText = "jackdawpickd 0.1";
constexpr int exitInvalidSettings = 2;

constexpr std::chrono::seconds settingsCheckInterval{1};

// Larger blocks go back to the system when they are freed. By default the allocator raises this bound to the size of
// the largest block that was freed, 4 MB after one large request, and keeps most of what a crowd of clients held.
constexpr int mappedBlockBytes = 256 << 10;
constexpr int keptHeapBytes = 2 << 20; // Free memory at the end of the heap that is kept.

std::string settingsFile(const docopt::value &argument)
{
    if (argument.isString()) {
        return argument.asString();
    }
    const char *fromEnvironment = std::getenv("JACKDAWPICK_SETTINGS"); // NOLINT(concurrency-mt-unsafe)
    if (fromEnvironment == nullptr) {
        throw error(result_code::SettingsInvalid, "neither --config nor JACKDAWPICK_SETTINGS names a settings file");
    }
    return fromEnvironment;
}

std::string readFile(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        throw error(result_code::SettingsInvalid, fmt::format("cannot read {}", file));
    }
    return {std::istreambuf_iterator<char>(input), {}};
}

bool reportErrors(const std::vector<settings_error> &errors)
{
    for (const auto &problem : errors) {
        std::cerr << toString(problem) << '\n';
    }
    return !errors.empty();
}

// Reloads the settings if the file has changed since `lastText`, or in any case if `always` is set. Errors in the file
// are logged and the settings in force are kept.
void reloadGateway(gateway_daemon &daemon, const std::string &file, std::string &lastText, bool always)
{
    std::ifstream input(file);
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    if (!input || (text == lastText && !always)) {
        return;
    }
    lastText = text;
    const auto parsed = parseGatewaySettings(text, file);
    for (const auto &problem : parsed.errors) {
        logging::write(log_level::Error, "settings_invalid", {{"problem", toString(problem)}});
    }
    if (parsed.errors.empty()) {
        daemon.reload(parsed.value);
    }
}

int runGateway(const gateway_settings &settings, const std::string &file, std::string text)
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
    logging::useStandardOutput();
    logging::setLevel(logLevelFromName(settings.logLevel).value_or(log_level::Info));
    const system_clock_source clock;
    net::loop loop;
    gateway_daemon daemon(loop, clock, settings);
    loop.onSignals([&daemon] { daemon.shutdown(); }, [&] { reloadGateway(daemon, file, text, true); });
    loop.every(settingsCheckInterval, [&] { reloadGateway(daemon, file, text, false); });
    daemon.start();
    logging::write(log_level::Info, "started",
                   {{"daemon", settings.name},
                    {"zone", settings.zone},
                    {"callers", settings.callers},
                    {"peers", settings.peers},
                    {"store", settings.storeAddress}});
    logging::flush();
    loop.run();
    logging::write(log_level::Info, "stopped",
                   {{"daemon", settings.name}, {"dropped_log_lines", logging::droppedLines()}});
    logging::flush();
    return 0;
}

int runScheduler(const daemon_settings &settings)
{
    const system_clock_source clock;
    net::loop loop;
    scheduler_daemon daemon(loop, clock, settings);
    bool drainStarted = false;
    loop.onSignals([&] {
        // A second signal stops the process without waiting for the calls in flight.
        if (std::exchange(drainStarted, true)) {
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
    net::holdSignals();
    try {
        const auto arguments = docopt::docopt(usageText, {argv + 1, argv + argc}, true, versionText);
        const auto file = settingsFile(arguments.at("--config"));
        const auto text = readFile(file);
        const bool isGateway = isGatewaySettings(text);
        const auto gatewayResult = isGateway ? parseGatewaySettings(text, file) : parsed_gateway_settings{};
        const auto schedulerResult = isGateway ? parsed_settings{} : parseSettings(text, file);
        if (reportErrors(gatewayResult.errors) || reportErrors(schedulerResult.errors)) {
            return exitInvalidSettings;
        }
        if (arguments.at("--check").asBool()) {
            std::cout << file << ": valid\n";
            return 0;
        }
        return isGateway ? runGateway(gatewayResult.value, file, text) : runScheduler(schedulerResult.value);
    } catch (const error &problem) {
        std::cerr << "jackdawpickd: " << problem.what() << " (code " << static_cast<int>(problem.code()) << ")\n";
        return problem.code() == result_code::SettingsInvalid ? exitInvalidSettings : 1;
    } catch (const std::exception &problem) {
        std::cerr << "jackdawpickd: " << problem.what() << '\n';
        return 1;
    }
}
