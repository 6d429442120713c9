#pragma once

// Splits a stream of server-sent events (SSE) into complete events and keeps their bytes unchanged.
//
//   event_splitter splitter;
//   splitter.append(bytes);
//   while (auto event = splitter.next()) { forward(event->raw); }

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

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
    void append(std::string_view bytes);
    // The next complete event; nothing until more bytes arrive.
    [[nodiscard]] std::optional<stream_event> next();
    // The bytes received so far of an event that is not complete. Valid after next() has returned nothing.
    [[nodiscard]] std::string_view incompleteEvent() const;
    // Whether these are more than line ends.
    [[nodiscard]] bool isInsideEvent() const;

private:
    std::string m_buffer;
    std::size_t m_start = 0; // Of the next event.
    std::size_t m_scanned = 0; // No terminator begins before this position of the buffer.
};

} // namespace jackdawpick::gateway::internal
