#pragma once

// The I/O layer around the gateway's reducer: translates I/O to events and effects to I/O. Runs on the thread of one
// loop.
//
//   net::loop loop;
//   gateway_daemon daemon(loop, clock, settings);
//   daemon.start();   // opens the ports
//   loop.run();       // returns after shutdown()

#include "clock/clock.h"
#include "gateway_settings/gateway_settings.h"
#include "net/net.h"

#include <memory>

namespace jackdawpick
{

class gateway_daemon
{
public:
    gateway_daemon(net::loop &loop, const clock_source &clock, gateway_settings settings);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon &) = delete;
    gateway_daemon &operator=(const gateway_daemon &) = delete;

    // Throws error(SettingsInvalid) if a port cannot be opened.
    void start();
    // Starts the graceful shutdown; the loop stops when it is complete and the connections of callers are closed.
    void shutdown();
    // Applies the settings that may change at run time: the log level and the lifetime of the address list.
    void reload(const gateway_settings &settings);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
