#include "ctl/ctl.h"

#include "configuration/configuration.h"
#include "ctl/internal/printing.h"
#include "logging/logging.h"
#include "results/results.h"
#include "settings/settings.h"

#include <charconv>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view helpText = R"(jackdawpickctl: checks and publishes configurations and inspects daemons.

Usage:
  jackdawpickctl validate [--settings] [--json] FILE
  jackdawpickctl publish [--admin=ADDRESS] [--json] --base=VERSION FILE
  jackdawpickctl configuration [--admin=ADDRESS] [--json]
  jackdawpickctl status [--admin=ADDRESS] [--json]
  jackdawpickctl dump [--admin=ADDRESS] [--json]
  jackdawpickctl programs [--admin=ADDRESS] [--json]
  jackdawpickctl endpoints [--admin=ADDRESS] [--json]
  jackdawpickctl watch [--admin=ADDRESS] [--json] [--interval=SECONDS] [--count=N]
  jackdawpickctl drain [--admin=ADDRESS] [--json]
  jackdawpickctl log-level [--admin=ADDRESS] [--json] LEVEL
  jackdawpickctl settings [--json]
  jackdawpickctl --help

Options:
  --admin=ADDRESS     Admin address "ip:port" of a daemon [default: 127.0.0.1:7102].
  --base=VERSION      Version that the new configuration replaces; 0 for the first.
  --count=N           Number of polls; 0 polls until interrupted [default: 0].
  --help              Show this text.
  --interval=SECONDS  Time between two polls [default: 1].
  --json              Print JSON instead of text.
  --settings          The file holds a daemon's settings, not a configuration.

Commands:
  validate       Check a configuration (or settings) file; prints all errors. Needs no daemon.
  publish        Check the file, then publish it if VERSION is still in force.
  configuration  Version and text of the configuration in force.
  status         Summary of the state of the daemon.
  dump           Complete state of the daemon.
  programs       Programs that the daemon owns.
  endpoints      Engines and services as the daemon sees them.
  watch          Poll the status and print one line for each poll.
  drain          Start a graceful shutdown of the daemon.
  log-level      Set the lowest level of log lines: debug, info, warning or error.
  settings       Table of all settings with units, defaults and ranges.

Exit codes:
  0  ok
  1  refused by the daemon, or an invalid file
  2  usage error
  3  conflict: another configuration was published first; its version is printed
  4  no complete response from the daemon

Examples:
  jackdawpickctl validate wanza.toml
  jackdawpickctl validate --settings daemon.toml
  jackdawpickctl publish --admin 127.0.0.1:7102 --base 0 wanza.toml
  jackdawpickctl endpoints --admin 127.0.0.1:7102
  jackdawpickctl dump --json > dump.json
  jackdawpickctl watch --interval 5 --count 12
)";

using arguments_map = std::map<std::string, docopt::value>;

std::string lines(const json &errors)
{
    std::string text;
    for (const json &problem : errors) {
        text += (problem.is_string() ? problem.get<std::string>() : problem.dump()) + "\n";
    }
    return text;
}

// Runs one command. The member functions for the commands return the exit code. With `m_json`, output is JSON,
// otherwise text.
class command
{
public:
    command(const arguments_map &arguments, const ctl_environment &environment)
        : m_arguments(arguments)
        , m_environment(environment)
        , m_json(arguments.at("--json").asBool())
    {
    }

    ctl_exit run()
    {
        if (isSet("validate")) {
            return validate();
        }
        if (isSet("publish")) {
            return publish();
        }
        if (isSet("configuration")) {
            return show("/admin/configuration", [](const json &body) {
                return fmt::format("# version {}\n{}", body.at("version").dump(), body.at("text").get<std::string>());
            });
        }
        if (isSet("status")) {
            return show("/admin/status", asLines);
        }
        if (isSet("dump")) {
            return show("/admin/dump", asLines);
        }
        if (isSet("programs")) {
            return showTable("programs", {"customer", "program", "turn", "rank", "spent", "budget", "in_flight"});
        }
        if (isSet("endpoints")) {
            return showTable("endpoints",
                             {"name", "pool", "zone", "kind", "leaving", "circuit", "in_flight", "limit", "load"});
        }
        if (isSet("watch")) {
            return watch();
        }
        if (isSet("drain")) {
            return post("/admin/drain", json::object(), "drain started\n");
        }
        if (isSet("log-level")) {
            return logLevel();
        }
        return settings();
    }

private:
    [[nodiscard]] bool isSet(const std::string &name) const
    {
        return m_arguments.at(name).asBool();
    }

    [[nodiscard]] std::string value(const std::string &name) const
    {
        return m_arguments.at(name).asString();
    }

    [[nodiscard]] std::uint64_t number(const std::string &name) const
    {
        const std::string text = value(name);
        std::uint64_t result = 0;
        const char *end = text.data() + text.size();
        const auto [rest, status] = std::from_chars(text.data(), end, result);
        if (status != std::errc{} || rest != end) {
            throw docopt::DocoptArgumentError(fmt::format("{}: expected an unsigned integer, not \"{}\"", name, text));
        }
        return result;
    }

    void out(std::string_view text) const
    {
        m_environment.out(text);
    }

    void err(std::string_view text) const
    {
        m_environment.err(text);
    }

    [[nodiscard]] static std::string readFile(const std::string &file)
    {
        std::ifstream stream(file, std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
        if (!stream.is_open() || stream.bad()) {
            throw error(result_code::NotFound, fmt::format("{}: cannot be read", file));
        }
        return text;
    }

    // Prints the errors of a file. Returns Ok if there are none.
    ctl_exit reportFile(const std::string &file, const json &errors) const
    {
        if (m_json) {
            out(json{{"file", file}, {"errors", errors}}.dump(2) + "\n");
        } else if (errors.empty()) {
            out(fmt::format("{}: valid\n", file));
        } else {
            err(lines(errors));
        }
        return errors.empty() ? ctl_exit::Ok : ctl_exit::Refused;
    }

    static json configurationErrors(const std::string &file, const std::string &text)
    {
        json errors = json::array();
        for (const auto &problem : parseConfiguration(text).errors) {
            errors.push_back(fmt::format("{}: {} (code {})", file, toString(problem),
                                         static_cast<unsigned>(result_code::ConfigurationInvalid)));
        }
        return errors;
    }

    ctl_exit validate()
    {
        const std::string file = value("FILE");
        if (!isSet("--settings")) {
            return reportFile(file, configurationErrors(file, readFile(file)));
        }
        json errors = json::array();
        for (const auto &problem : loadSettings(file).errors) {
            errors.push_back(toString(problem));
        }
        return reportFile(file, errors);
    }

    // Sends a request. Returns the body of a 2xx response; otherwise prints the failure and returns nullopt. Sets
    // `code` in either case.
    std::optional<json> exchange(const std::string &method, const std::string &path, const std::string &body,
                                 ctl_exit &code) const
    {
        const std::string address = value("--admin");
        const auto response = m_environment.transport({address, method, path, body});
        if (!response.completed) {
            err(fmt::format("{}: {}\n", address, response.failure));
            code = ctl_exit::Unreachable;
            return {};
        }
        json parsed = json::parse(response.body, nullptr, false);
        if (response.status >= 200 && response.status < 300 && !parsed.is_discarded()) {
            code = ctl_exit::Ok;
            return parsed;
        }
        code = reportRefusal(address, response, parsed);
        return {};
    }

    ctl_exit reportRefusal(const std::string &address, const admin_response &response, const json &body) const
    {
        if (m_json && !body.is_discarded()) {
            out(body.dump(2) + "\n");
        }
        const json refusalFields = body.is_object() ? body.value("error", body) : json::object();
        if (!refusalFields.is_object() || !refusalFields.contains("code") || !refusalFields.contains("name")) {
            err(fmt::format("{}: unexpected response with status {}\n", address, response.status));
            return ctl_exit::Refused;
        }
        const bool conflict = refusalFields["code"] == static_cast<std::uint16_t>(result_code::ConfigurationConflict);
        err(fmt::format("{}: refused: {} (code {}){}{}\n", address, fieldText(refusalFields, "name"),
                        fieldText(refusalFields, "code"),
                        refusalFields.contains("execution") ? ", " + fieldText(refusalFields, "execution") : "",
                        refusalFields.contains("message") ? ": " + fieldText(refusalFields, "message") : ""));
        if (conflict && refusalFields.contains("version")) {
            err(fmt::format("version in force: {}\n", fieldText(refusalFields, "version")));
        }
        if (refusalFields.contains("errors") && refusalFields["errors"].is_array()) {
            err(lines(refusalFields["errors"]));
        }
        return conflict ? ctl_exit::Conflict : ctl_exit::Refused;
    }

    static std::string fieldText(const json &object, const std::string &key)
    {
        const json &found = object.at(key);
        return found.is_string() ? found.get<std::string>() : found.dump();
    }

    ctl_exit show(const std::string &path, const std::function<std::string(const json &)> &print) const
    {
        auto code = ctl_exit::Ok;
        if (const auto body = exchange("GET", path, "", code)) {
            out(m_json ? body->dump(2) + "\n" : print(*body));
        }
        return code;
    }

    ctl_exit showTable(const std::string &section, const std::vector<std::string_view> &columns) const
    {
        auto code = ctl_exit::Ok;
        if (const auto body = exchange("GET", "/admin/dump", "", code)) {
            const json rows = body->value(section, json::array());
            out(m_json ? rows.dump(2) + "\n" : asTable(rows, columns));
        }
        return code;
    }

    ctl_exit post(const std::string &path, const json &body, const std::string &successText) const
    {
        auto code = ctl_exit::Ok;
        if (const auto response = exchange("POST", path, body.dump(), code)) {
            out(m_json ? response->dump(2) + "\n" : successText);
        }
        return code;
    }

    ctl_exit publish()
    {
        const std::string file = value("FILE");
        const auto base = number("--base");
        const std::string text = readFile(file);
        if (const json errors = configurationErrors(file, text); !errors.empty()) {
            return reportFile(file, errors);
        }
        auto code = ctl_exit::Ok;
        const json body{{"base_version", base}, {"text", text}};
        if (const auto response = exchange("POST", "/admin/configuration", body.dump(), code)) {
            out(m_json ? response->dump(2) + "\n"
                       : fmt::format("published: version {}\n", response->value("version", std::uint64_t{0})));
        }
        return code;
    }

    ctl_exit logLevel()
    {
        const std::string level = value("LEVEL");
        if (!logLevelFromName(level)) {
            throw docopt::DocoptArgumentError("LEVEL: expected debug, info, warning or error");
        }
        return post("/admin/log-level", {{"level", level}}, fmt::format("log level: {}\n", level));
    }

    // A failed poll is reported, and the next poll tries again. The exit code is that of the last poll.
    ctl_exit watch()
    {
        const auto count = number("--count");
        const auto interval = std::chrono::seconds(std::min<std::uint64_t>(number("--interval"), 86400));
        auto code = ctl_exit::Ok;
        for (std::uint64_t poll = 0; count == 0 || poll < count; ++poll) {
            if (poll > 0) {
                m_environment.sleep(interval);
            }
            if (const auto body = exchange("GET", "/admin/status", "", code)) {
                out(m_json ? body->dump() + "\n" : asOneLine(*body));
            }
        }
        return code;
    }

    ctl_exit settings()
    {
        json array = json::array();
        std::vector<std::vector<std::string>> rows{{"key", "unit", "default", "range", "meaning"}};
        for (const auto &key : settingsKeys()) {
            array.push_back({{"key", key.key},
                             {"unit", key.unit},
                             {"default", key.defaultValue},
                             {"range", key.range},
                             {"meaning", key.meaning}});
            rows.push_back({key.key, key.unit, key.defaultValue, key.range, key.meaning});
        }
        out(m_json ? array.dump(2) + "\n" : alignColumns(rows));
        return ctl_exit::Ok;
    }

    const arguments_map &m_arguments;
    const ctl_environment &m_environment;
    bool m_json;
};

} // namespace

std::string_view ctlHelp()
{
    return helpText;
}

ctl_exit runCtl(const std::vector<std::string> &arguments, const ctl_environment &environment)
{
    try {
        const auto parsed = docopt::docopt_parse(std::string(helpText), arguments, true, false);
        return command(parsed, environment).run();
    } catch (const docopt::DocoptExitHelp &) {
        environment.out(helpText);
        return ctl_exit::Ok;
    } catch (const docopt::DocoptArgumentError &problem) {
        environment.err(fmt::format("{}\nSee jackdawpickctl --help.\n", problem.what()));
        return ctl_exit::Usage;
    } catch (const std::exception &problem) {
        environment.err(fmt::format("{}\n", problem.what()));
        return ctl_exit::Refused;
    }
}

} // namespace jackdawpick
