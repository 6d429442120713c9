// Entry point of jackdawpickctl; see ctl.h.

#include "ctl/ctl.h"
#include "logging/logging.h"

#include <iostream>
#include <thread>

int main(int argc, char **argv)
{
    using namespace jackdawpick;
    // The tool prints its own error messages; log lines of the network library would repeat them.
    logging::setLevel(log_level::Error);
    net::loop loop;
    const ctl_environment environment{.transport = netTransport(loop),
                                      .out = [](std::string_view text) { std::cout << text << std::flush; },
                                      .err = [](std::string_view text) { std::cerr << text << std::flush; },
                                      .sleep =
                                          [](std::chrono::milliseconds time) {
                                              std::this_thread::sleep_for(time);
                                          }};
    return static_cast<int>(runCtl({argv + 1, argv + argc}, environment));
}
