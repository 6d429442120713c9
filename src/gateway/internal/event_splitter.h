#pragma once

// Cuts a server-sent event stream after each complete event, keeping its bytes.
//
//   event_splitter splitter;
//   for (auto &event : splitter.append(bytes)) { forward(event.raw); }

#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::gateway::internal
{

struct stream_event
{
    std::string raw; // All bytes, the blank line at the end included.
    std::string data; // The "data" lines, joined by line feeds.
    bool hasData = false;
};

class event_splitter
{
public:
    // Events completed by `bytes`.
    [[nodiscard]] std::vector<stream_event> append(std::string_view bytes);
    // What has arrived of the next event.
    [[nodiscard]] const std::string &incompleteEvent() const;

private:
    std::string m_buffer;
    std::size_t m_scanned = 0; // Bytes of the buffer that are known to hold no end of an event.
};

} // namespace jackdawpick::gateway::internal
