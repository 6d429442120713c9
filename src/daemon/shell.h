#pragma once

// The daemon around the reducer: turns I/O into events and effects into I/O. One loop, one thread.
//
//   net::loop loop;
//   shell daemon(loop, clock, settings);
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

class shell
{
public:
    // Throws error(SettingsInvalid) for a policy or log level that does not exist.
    shell(net::loop &loop, const clock_source &clock, daemon_settings settings);
    ~shell();
    shell(const shell &) = delete;
    shell &operator=(const shell &) = delete;

    // Opens the ports and starts polling. Throws error(SettingsInvalid) if a port cannot be opened.
    daemon_ports start();
    // Begins a drain; the loop stops when it is complete.
    void drain();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
