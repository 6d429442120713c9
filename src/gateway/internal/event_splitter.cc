#include "gateway/internal/event_splitter.h"

#include <algorithm>
#include <array>

namespace jackdawpick::gateway::internal
{

namespace
{

constexpr std::array<std::string_view, 2> eventTerminators{"\n\n", "\r\n\r\n"};

// Returns the position after the first event terminator that begins at or after `from`; npos if there is none. Looks at
// each byte once, so that a series of very short events costs no more than a long one.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (auto feed = text.find('\n', from); feed != std::string_view::npos; feed = text.find('\n', feed + 1)) {
        const auto seen = text.substr(from, feed + 1 - from);
        if (std::ranges::any_of(eventTerminators, [seen](auto end) { return seen.ends_with(end); })) {
            return feed + 1;
        }
    }
    return std::string_view::npos;
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

void event_splitter::append(std::string_view bytes)
{
    m_buffer.erase(0, m_start);
    m_scanned -= m_start;
    m_start = 0;
    m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    const auto end = endOfEvent(m_buffer, m_scanned);
    if (end == std::string_view::npos) {
        constexpr std::size_t maxPartialTerminator = 3;
        const auto unscanned = std::min(m_buffer.size() - m_start, maxPartialTerminator);
        m_scanned = m_buffer.size() - unscanned;
        return std::nullopt;
    }
    stream_event event{.raw = m_buffer.substr(m_start, end - m_start)};
    addDataLines(event);
    m_start = end;
    m_scanned = end;
    return event;
}

std::string_view event_splitter::incompleteEvent() const
{
    return std::string_view(m_buffer).substr(m_start);
}

bool event_splitter::isInsideEvent() const
{
    return incompleteEvent().find_first_not_of("\r\n") != std::string_view::npos;
}

} // namespace jackdawpick::gateway::internal
