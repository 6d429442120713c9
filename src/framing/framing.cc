#include "framing/framing.h"

#include "results/results.h"

#include <cstdint>
#include <fmt/format.h>

namespace jackdawpick::framing
{

namespace
{

constexpr std::size_t lengthBytes = 4;
// A larger buffer is released once its frames have been returned.
constexpr std::size_t maxKeptBytes = 256U << 10U;

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return length;
}

} // namespace

std::string encodeFrame(std::string_view payload)
{
    if (payload.size() > maxPayloadBytes) {
        throw error(result_code::RequestTooLarge, fmt::format("peer message exceeds {} bytes", maxPayloadBytes));
    }
    std::string frame;
    frame.reserve(lengthBytes + payload.size());
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        frame += static_cast<char>((payload.size() >> (8 * i)) & 0xffU);
    }
    return frame.append(payload);
}

void frame_cutter::append(std::string_view bytes)
{
    if (m_position == m_buffer.size() && m_buffer.capacity() > maxKeptBytes) {
        std::string().swap(m_buffer);
    } else {
        m_buffer.erase(0, m_position);
    }
    m_position = 0;
    m_buffer.append(bytes);
}

std::optional<std::string_view> frame_cutter::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_position);
    if (rest.size() < lengthBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = readLength(rest);
    if (length > maxPayloadBytes) {
        throw error(result_code::MalformedRequest,
                    fmt::format("peer frame of {} bytes exceeds {}", length, maxPayloadBytes));
    }
    if (rest.size() - lengthBytes < length) {
        return std::nullopt;
    }
    m_position += lengthBytes + length;
    return rest.substr(lengthBytes, length);
}

std::size_t frame_cutter::bufferedBytes() const
{
    return m_buffer.size() - m_position;
}

} // namespace jackdawpick::framing
