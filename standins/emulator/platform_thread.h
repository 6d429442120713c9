#pragma once

// The emulated platform for tests of daemons in processes of their own.
//
//   temporary_folder folder;
//   platform_thread platform({.engines = 1});
//   daemon_process daemon(program, folder.path, "daemon-0", platform.storeAddress);

#include "emulator/platform_emulator.h"

#include <atomic>
#include <filesystem>
#include <future>
#include <map>
#include <stdlib.h>
#include <string>
#include <thread>

namespace jackdawpick::standins
{

// The emulated platform on a loop and a thread of its own.
class platform_thread
{
public:
    explicit platform_thread(const emulator_options &options)
    {
        std::promise<std::string> started;
        auto address = started.get_future();
        m_thread = std::thread([this, options, &started] {
            net::loop loop;
            platform_emulator platform(loop, options);
            started.set_value(platform.start());
            loop.every(std::chrono::milliseconds(20), [&] {
                if (m_stop) {
                    loop.stop();
                }
            });
            loop.run();
            for (const auto &run : platform.runs()) {
                ++m_runs[run.attempt];
            }
        });
        storeAddress = address.get();
    }

    ~platform_thread()
    {
        stop();
    }

    platform_thread(const platform_thread &) = delete;
    platform_thread &operator=(const platform_thread &) = delete;

    // Returns how often each request was run.
    const std::map<std::string, int> &stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_runs;
    }

    std::string storeAddress;

private:
    std::thread m_thread;
    std::atomic<bool> m_stop{false};
    std::map<std::string, int> m_runs;
};

class temporary_folder
{
public:
    temporary_folder()
        : path((std::filesystem::temp_directory_path() / "jackdawpick-XXXXXX").string())
    {
        static_cast<void>(::mkdtemp(path.data()));
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }

    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    std::string path;
};

} // namespace jackdawpick::standins
