#include "gateway/internal/event_splitter.h"

#include <algorithm>
#include <array>

namespace jackdawpick::gateway::internal
{

namespace
{

constexpr std::array<std::string_view, 2> eventTerminators{"\n\n", "\r\n\r\n"};

// Returns the position after the first event terminator at or after `from`; npos if there is none.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    std::size_t earliest = std::string_view::npos;
    for (const auto end : eventTerminators) {
        const auto found = text.find(end, from);
        if (found != std::string_view::npos) {
            earliest = std::min(earliest, found + end.size());
        }
    }
    return earliest;
}

void addDataLines(stream_event &event)
{
    constexpr std::string_view fieldName = "data:";
    std::string_view remaining = event.raw;
    while (!remaining.empty()) {
        const auto end = std::min(remaining.find('\n'), remaining.size());
        auto line = remaining.substr(0, end);
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.starts_with(fieldName)) {
            continue;
        }
        line.remove_prefix(fieldName.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        event.data += event.hasData ? "\n" : "";
        event.data += line;
        event.hasData = true;
    }
}

} // namespace

std::vector<stream_event> event_splitter::append(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<stream_event> events;
    std::size_t start = 0;
    for (auto end = endOfEvent(m_buffer, m_scanned); end != std::string::npos; end = endOfEvent(m_buffer, start)) {
        auto &event = events.emplace_back();
        event.raw = m_buffer.substr(start, end - start);
        addDataLines(event);
        start = end;
    }
    m_buffer.erase(0, start);
    constexpr std::size_t maxPartialTerminator = 3;
    m_scanned = m_buffer.size() - std::min(m_buffer.size(), maxPartialTerminator);
    return events;
}

const std::string &event_splitter::incompleteEvent() const
{
    return m_buffer;
}

} // namespace jackdawpick::gateway::internal
