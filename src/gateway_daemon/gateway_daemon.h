#pragma once

// The process around the gateway's reducer: turns I/O into events and effects into I/O. One loop, one thread.
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
    // Begins the graceful shutdown; the loop stops when it is complete.
    void shutdown();
    // Applies what may change while the process runs: log level, life of the address list, limit of the shutdown.
    void reload(const gateway_settings &settings);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
