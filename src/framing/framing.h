#pragma once

// Frames on a byte stream: a 4-byte little-endian length, then as many bytes.
//
//   std::string text = encodeFrame(payload);
//   frame_cutter cutter;
//   cutter.append(bytes);
//   while (auto payload = cutter.next()) { ... }
//
// Thread compatible.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawpick::framing
{

inline constexpr std::size_t maxPayloadBytes = 16U << 20U;

// Throws error(RequestTooLarge) if the payload exceeds maxPayloadBytes.
[[nodiscard]] std::string encodeFrame(std::string_view payload);

// Holds at most one incomplete frame and what was appended after it.
class frame_cutter
{
public:
    void append(std::string_view bytes);
    // The next complete payload, valid until the next call of a member; nothing until more bytes arrive. Throws
    // error(MalformedRequest) if the length exceeds maxPayloadBytes; the cutter is then of no further use.
    [[nodiscard]] std::optional<std::string_view> next();
    [[nodiscard]] std::size_t bufferedBytes() const; // Not yet returned by next().

private:
    std::string m_buffer;
    std::size_t m_position = 0; // Start of the next frame.
};

} // namespace jackdawpick::framing
