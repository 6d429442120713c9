#include "net/net.h"
#include "results/results.h"

namespace jackdawpick::net
{

std::vector<std::string> sse_reader::append(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() + m_data.size() > maxEventBytes) {
            throw error(result_code::EndpointFailed, "a server-sent event exceeds the bound");
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (m_line.ends_with('\r')) {
            m_line.pop_back();
        }
        takeLine(m_line, events);
        m_line.clear();
    }
    return events;
}

void sse_reader::takeLine(std::string_view line, std::vector<std::string> &events)
{
    constexpr std::string_view prefix = "data:";
    if (line.empty()) {
        if (std::exchange(m_hasData, false)) {
            events.push_back(std::exchange(m_data, {}));
        }
    } else if (line.starts_with(prefix)) {
        line.remove_prefix(prefix.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (m_hasData) {
            m_data += '\n';
        }
        m_data += line;
        m_hasData = true;
    }
}

} // namespace jackdawpick::net
