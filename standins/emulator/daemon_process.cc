#include "emulator/daemon_process.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace jackdawpick::standins
{

namespace
{

constexpr std::chrono::milliseconds pollInterval{5};
constexpr mode_t logFileMode = 0644;
constexpr int exitNotStarted = 127;

// Below the range from which the kernel takes the ports of outgoing connections. The address belongs to this process.
constexpr std::uint16_t firstPort = 20000;

std::uint16_t nextPort()
{
    static std::uint16_t next = firstPort;
    return next++;
}

std::string loopback(std::uint16_t port)
{
    return fmt::format("{}:{}", loopbackAddress(), port);
}

} // namespace

std::string loopbackAddress()
{
    constexpr pid_t perByte = 256;
    constexpr pid_t networks = 120; // 127.1 to 127.120
    const auto process = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + process / perByte / perByte % networks, process / perByte % perByte,
                       process % perByte);
}

daemon_process::daemon_process(std::string program, const std::string &folder, const std::string &name,
                               const std::string &storeAddress, const std::string &furtherSettings)
    : m_program(std::move(program))
    , m_settingsFile(folder + "/" + name + ".toml")
    , m_logFile(folder + "/" + name + ".log")
    , m_callersPort(nextPort())
    , m_directoryPort(nextPort())
    , m_readinessPort(nextPort())
    , m_peersPort(nextPort())
    , m_metricsPort(nextPort())
{
    std::ofstream(m_settingsFile) << fmt::format(
        "[daemon]\nname = \"{}\"\nzone = \"z\"\n"
        "[listen]\ncallers = \"{}\"\ndirectory = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n"
        "[store]\naddress = \"{}\"\n{}",
        name, loopback(m_callersPort), loopback(m_directoryPort), loopback(m_readinessPort), loopback(m_peersPort),
        loopback(m_metricsPort), storeAddress, furtherSettings);
}

daemon_process::~daemon_process()
{
    if (m_process != 0) {
        signal(SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void daemon_process::start()
{
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFileMode);
    m_process = ::fork();
    if (m_process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (m_process == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(m_program.c_str(), m_program.c_str(), "--config", m_settingsFile.c_str(), nullptr);
        ::_exit(exitNotStarted);
    }
    ::close(log);
}

void daemon_process::signal(int number) const
{
    ::kill(m_process, number);
}

std::optional<int> daemon_process::waitForEnd(std::chrono::milliseconds longest)
{
    if (m_process == 0) {
        return std::nullopt;
    }
    const auto last = std::chrono::steady_clock::now() + longest;
    int status = 0;
    while (::waitpid(m_process, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() >= last) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    m_process = 0;
    return status;
}

std::string daemon_process::lastOutput() const
{
    constexpr std::size_t keptBytes = 1500;
    std::ifstream input(m_logFile);
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    return text.substr(text.size() - std::min(text.size(), keptBytes));
}

std::uint16_t daemon_process::callersPort() const
{
    return m_callersPort;
}

std::uint16_t daemon_process::directoryPort() const
{
    return m_directoryPort;
}

std::uint16_t daemon_process::readinessPort() const
{
    return m_readinessPort;
}

std::uint16_t daemon_process::peersPort() const
{
    return m_peersPort;
}

std::uint16_t daemon_process::metricsPort() const
{
    return m_metricsPort;
}

pid_t daemon_process::id() const
{
    return m_process;
}

} // namespace jackdawpick::standins
