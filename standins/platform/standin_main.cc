#include "logging/logging.h"
#include "platform/servers.h"
#include "results/results.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <sstream>

namespace
{

using namespace jackdawpick;
using namespace jackdawpick::standins;
using arguments = std::map<std::string, docopt::value>;

constexpr const char *usageText = R"(Stand-ins for the platform that jackdawpick runs on.

Usage:
  jackdawpick-standin engine [--listen=ADDR] [--seed=N] [--fault=FAULT]... [--slots=N] [--tokens-per-second=X]
      [--prefill-per-second=X] [--batch-slowdown=X] [--cache-tokens=N] [--chunk-tokens=N] [--models=LIST]
      [--weights=ADDR] [--no-fence-check]
  jackdawpick-standin service [--listen=ADDR] [--seed=N] [--fault=FAULT]... [--latency-ms=N]
  jackdawpick-standin log [--listen=ADDR] [--seed=N] [--fault=FAULT]... [--appends-per-second=X]
      [--retention-ms=N] [--latency-ms=N]
  jackdawpick-standin weights [--listen=ADDR] [--fault=FAULT]... [--loads-per-minute=X] [--load-ms=N]
  jackdawpick-standin hosts [--listen=ADDR] [--fault=FAULT]... [--file=FILE] [--lag-ms=N]
  jackdawpick-standin --help

Options:
  --listen=ADDR             IP:PORT; port 0 is chosen by the system [default: 127.0.0.1:0].
  --seed=N                  Seed of all random draws [default: 1].
  --fault=FAULT             NAME=VALUE as GET /admin/faults lists them; may be given several times.
  --slots=N                 Requests in the batch [default: 16].
  --tokens-per-second=X     Decoding speed of a single request [default: 80].
  --prefill-per-second=X    Prefill speed in tokens per second [default: 8000].
  --batch-slowdown=X        Part by which each further request slows decoding [default: 0.05].
  --cache-tokens=N          Size of the prefix cache [default: 200000].
  --chunk-tokens=N          Tokens in a chunk of a stream [default: 16].
  --models=LIST             Models loaded at start, separated by commas; none: any model is served.
  --weights=ADDR            Weight store that load orders fetch from.
  --no-fence-check          Accept orders with a stale fence.
  --latency-ms=N            Latency: median of a service, that of each answer of the log.
  --appends-per-second=X    Rate limit of the log [default: 300].
  --retention-ms=N          Retention of the log [default: 86400000].
  --loads-per-minute=X      Rate limit of the weight store [default: 60].
  --load-ms=N               Time to fetch a model [default: 500].
  --file=FILE               Host list {"hosts": [...]}, read again when it changes.
  --lag-ms=N                Lag of the host list [default: 1000].
)";

double number(const arguments &given, const std::string &name)
{
    try {
        return std::stod(given.at(name).asString());
    } catch (const std::logic_error &) {
        throw error(result_code::SettingsInvalid, fmt::format("{}: expected a number", name));
    }
}

template<typename T> T whole(const arguments &given, const std::string &name)
{
    return static_cast<T>(number(given, name));
}

std::chrono::milliseconds milliseconds(const arguments &given, const std::string &name,
                                       std::chrono::milliseconds otherwise)
{
    return given.at(name) ? std::chrono::milliseconds(whole<std::int64_t>(given, name)) : otherwise;
}

std::string text(const arguments &given, const std::string &name)
{
    return given.at(name) ? given.at(name).asString() : std::string();
}

std::unique_ptr<engine_server> makeEngine(net::loop &loop, const clock_source &clock, const arguments &given)
{
    engine_server_options options;
    options.seed = whole<std::uint64_t>(given, "--seed");
    options.weightStore = text(given, "--weights");
    auto &engine = options.options;
    engine.slots = whole<std::uint32_t>(given, "--slots");
    engine.tokensPerSecond = number(given, "--tokens-per-second");
    engine.prefillTokensPerSecond = number(given, "--prefill-per-second");
    engine.batchSlowdown = number(given, "--batch-slowdown");
    engine.cacheTokens = whole<token_count>(given, "--cache-tokens");
    engine.chunkTokens = whole<std::uint32_t>(given, "--chunk-tokens");
    engine.checksFencing = !given.at("--no-fence-check").asBool();
    engine.loadsFromStore = !options.weightStore.empty();
    std::istringstream models(text(given, "--models"));
    for (std::string model; std::getline(models, model, ',');) {
        engine.models.push_back(model);
    }
    if (engine.slots == 0 || engine.chunkTokens == 0 || engine.tokensPerSecond <= 0
        || engine.prefillTokensPerSecond <= 0) {
        throw error(result_code::SettingsInvalid, "slots, chunk size and speeds: expected numbers above 0");
    }
    return std::make_unique<engine_server>(loop, clock, options);
}

std::unique_ptr<service_server> makeService(net::loop &loop, const clock_source &clock, const arguments &given)
{
    service_options options;
    options.latency = milliseconds(given, "--latency-ms", options.latency);
    return std::make_unique<service_server>(loop, clock, options, whole<std::uint64_t>(given, "--seed"));
}

std::unique_ptr<log_server> makeLog(net::loop &loop, const clock_source &clock, const arguments &given)
{
    log_options options;
    options.appendsPerSecond = number(given, "--appends-per-second");
    options.retention = milliseconds(given, "--retention-ms", options.retention);
    options.latency = milliseconds(given, "--latency-ms", options.latency);
    return std::make_unique<log_server>(loop, clock, options, whole<std::uint64_t>(given, "--seed"));
}

std::unique_ptr<weight_server> makeWeights(net::loop &loop, const clock_source &clock, const arguments &given)
{
    weight_options options;
    options.loadsPerMinute = number(given, "--loads-per-minute");
    options.loadTime = milliseconds(given, "--load-ms", options.loadTime);
    return std::make_unique<weight_server>(loop, clock, options);
}

std::unique_ptr<host_server> makeHosts(net::loop &loop, const clock_source &clock, const arguments &given)
{
    host_options options;
    options.lag = milliseconds(given, "--lag-ms", options.lag);
    return std::make_unique<host_server>(loop, clock, options, text(given, "--file"));
}

template<typename Server> void serve(net::loop &loop, Server &server, const arguments &given)
{
    for (const auto &fault : given.at("--fault").asStringList()) {
        server.faults().assign(fault);
    }
    fmt::print("listening {}\n", server.listen(given.at("--listen").asString()));
    std::fflush(stdout);
    loop.onSignals([&loop] { loop.stop(); });
    loop.run();
}

void run(const arguments &given)
{
    net::loop loop;
    const system_clock_source clock;
    if (given.at("engine").asBool()) {
        serve(loop, *makeEngine(loop, clock, given), given);
    } else if (given.at("service").asBool()) {
        serve(loop, *makeService(loop, clock, given), given);
    } else if (given.at("log").asBool()) {
        serve(loop, *makeLog(loop, clock, given), given);
    } else if (given.at("weights").asBool()) {
        serve(loop, *makeWeights(loop, clock, given), given);
    } else {
        serve(loop, *makeHosts(loop, clock, given), given);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto given = docopt::docopt(usageText, {argv + 1, argv + argc});
    try {
        run(given);
    } catch (const std::exception &problem) {
        logging::write(log_level::Error, "stopped", {{"reason", std::string(problem.what())}});
        return 1;
    }
    return 0;
}
