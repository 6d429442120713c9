#pragma once

// Messages between daemons. A frame on a TCP connection is a 4-byte little-endian length and one FlatBuffers envelope.
//
//   std::string frame = encodeFrame(heartbeat{...});
//   frame_reader reader;
//   reader.append(bytes);
//   while (auto message = reader.next()) { ... }   // throws error(MalformedRequest) if malformed

#include "framing/framing.h"
#include "membership/membership.h"
#include "model/model.h"

namespace jackdawpick
{

inline constexpr std::uint32_t protocolVersion = 1;
inline constexpr std::size_t maxFrameBytes = framing::maxPayloadBytes;

struct hello
{
    std::uint32_t version = protocolVersion;
    daemon_identity daemon;
    std::string zone;
    bool operator==(const hello &) const = default;
};

// A call forwarded to the owner of its program, as received over HTTP. The sender chooses `id`, unique per link.
struct forward_call
{
    std::uint64_t id = 0;
    std::string path;
    std::string body;
    bool operator==(const forward_call &) const = default;
};

struct forward_chunk
{
    std::uint64_t id = 0;
    std::string text;
    bool operator==(const forward_chunk &) const = default;
};

// End of a forwarded call: a JSON object, and the HTTP status that the caller gets if nothing was streamed before.
struct forward_end
{
    std::uint64_t id = 0;
    std::uint16_t httpStatus = 200;
    std::uint32_t retryAfterMs = 0;
    std::string body;
    bool operator==(const forward_end &) const = default;
};

struct forward_cancel
{
    std::uint64_t id = 0;
    bool operator==(const forward_cancel &) const = default;
};

struct quarantine_notice
{
    digest content = 0;
    bool operator==(const quarantine_notice &) const = default;
};

struct leaving_notice
{
    std::string endpoint;
    bool operator==(const leaving_notice &) const = default;
};

struct configuration_hint
{
    log_offset version = 0;
    bool operator==(const configuration_hint &) const = default;
};

using peer_message = std::variant<hello, heartbeat, forward_call, forward_chunk, forward_end, forward_cancel,
                                  quarantine_notice, leaving_notice, configuration_hint>;

// Throws error(RequestTooLarge) if the message exceeds the maximum frame size.
[[nodiscard]] std::string encodeFrame(const peer_message &message);

// Splits a byte stream into messages. Buffers at most one incomplete frame.
class frame_reader
{
public:
    void append(std::string_view bytes);
    // Returns the next complete message, or nothing until more bytes arrive. Throws error(MalformedRequest) if the
    // bytes are not a valid frame or the peer uses another protocol version; the reader must not be used afterwards.
    [[nodiscard]] std::optional<peer_message> next();

private:
    framing::frame_cutter m_frames;
};

} // namespace jackdawpick
