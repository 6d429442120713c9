#pragma once

// The I/O layer around the scheduler's reducer (core): translates I/O to events and effects to I/O. Runs on the thread
// of one loop.
//
//   net::loop loop;
//   scheduler_daemon daemon(loop, clock, settings);
//   daemon.start();   // opens the ports
//   loop.run();       // returns after a drain

#include "clock/clock.h"
#include "net/net.h"
#include "settings/settings.h"

#include <memory>

namespace jackdawpick
{

struct daemon_ports
{
    std::uint16_t http = 0;
    std::uint16_t admin = 0;
    std::uint16_t peer = 0;
};

class scheduler_daemon
{
public:
    // Throws error(SettingsInvalid) for an unknown policy or log level.
    scheduler_daemon(net::loop &loop, const clock_source &clock, daemon_settings settings);
    ~scheduler_daemon();
    scheduler_daemon(const scheduler_daemon &) = delete;
    scheduler_daemon &operator=(const scheduler_daemon &) = delete;

    // Opens the ports and starts the polls. Returns the ports in use. Throws error(SettingsInvalid) if a port cannot be
    // opened.
    daemon_ports start();
    // Starts a drain; the loop stops when the drain is complete.
    void drain();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
