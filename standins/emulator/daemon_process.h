#pragma once

// A daemon as a process of its own, on loopback addresses, for tests that stop and restart it.
//
//   daemon_process daemon("jackdawpickd", "/tmp/x", "daemon-0", storeAddress);
//   daemon.start();
//   daemon.signal(SIGTERM);
//   daemon.waitForEnd(8s);

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace jackdawpick::standins
{

// The loopback address of this process and its daemons: a port that is free for a moment, while a daemon restarts, must
// not go to a test that runs at the same time.
[[nodiscard]] std::string loopbackAddress();

class daemon_process
{
public:
    // Writes the settings into the folder; the output of the process goes there too. `furtherSettings` are tables of
    // the settings file.
    daemon_process(std::string program, const std::string &folder, const std::string &name,
                   const std::string &storeAddress, const std::string &furtherSettings = {});
    // Kills the process if it runs.
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    void start();
    void signal(int number) const;
    // Returns the exit status as of waitpid(), or nothing if the process still runs after this time.
    std::optional<int> waitForEnd(std::chrono::milliseconds longest);
    [[nodiscard]] std::uint16_t callersPort() const;
    [[nodiscard]] std::uint16_t directoryPort() const;
    [[nodiscard]] std::uint16_t readinessPort() const;
    [[nodiscard]] std::uint16_t peersPort() const;
    [[nodiscard]] std::uint16_t metricsPort() const;
    [[nodiscard]] pid_t id() const; // 0 if none runs.
    // The last lines that the process has written.
    [[nodiscard]] std::string lastOutput() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    std::uint16_t m_callersPort = 0;
    std::uint16_t m_directoryPort = 0;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_peersPort = 0;
    std::uint16_t m_metricsPort = 0;
    pid_t m_process = 0; // 0 if none runs.
};

} // namespace jackdawpick::standins
