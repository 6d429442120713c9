#pragma once

// Splits a stream of server-sent events (SSE) into complete events and keeps their bytes unchanged.
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
    std::string raw; // All bytes, including the terminating blank line.
    std::string data; // Values of the "data" fields, joined by line feeds.
    bool hasData = false;
};

class event_splitter
{
public:
    // Appends `bytes` and returns the events that they complete.
    [[nodiscard]] std::vector<stream_event> append(std::string_view bytes);
    // The bytes received so far of an event that is not complete.
    [[nodiscard]] const std::string &incompleteEvent() const;

private:
    std::string m_buffer;
    std::size_t m_scanned = 0; // No terminator begins before this position of the buffer.
};

} // namespace jackdawpick::gateway::internal
