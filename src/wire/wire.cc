#include "wire/wire.h"

#include "wire/internal/wire_generated.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

namespace fb = wire_fb;
using builder = flatbuffers::FlatBufferBuilder;

constexpr std::size_t initialBufferBytes = 256;

constexpr unsigned halfBits = 32;

std::uint32_t lowHalf(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

std::uint32_t highHalf(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value >> halfBits);
}

std::uint64_t joinHalves(std::uint32_t low, std::uint32_t high)
{
    return low | static_cast<std::uint64_t>(high) << halfBits;
}

// ---- Encoding ----

struct message_encoder
{
    builder &out;

    fb::Message type = fb::Message::NONE;
    flatbuffers::Offset<void> offset{};

    template<typename T> void set(fb::Message kind, flatbuffers::Offset<T> value)
    {
        type = kind;
        offset = value.Union();
    }

    void operator()(const hello &m)
    {
        const auto name = out.CreateString(m.daemon.name);
        const auto zone = out.CreateString(m.zone);
        set(fb::Message::Hello, fb::CreateHello(out, m.version, name, m.daemon.incarnation, zone));
    }

    void operator()(const heartbeat &m)
    {
        const auto name = out.CreateString(m.daemon.name);
        const auto zone = out.CreateString(m.zone);
        const fb::HeartbeatState state(lowHalf(m.daemon.incarnation), highHalf(m.daemon.incarnation),
                                       lowHalf(m.configurationVersion), highHalf(m.configurationVersion));
        set(fb::Message::Heartbeat, fb::CreateHeartbeat(out, name, zone, &state, m.draining));
    }

    void operator()(const forward_call &m)
    {
        const auto path = out.CreateString(m.path);
        const auto body = out.CreateString(m.body);
        set(fb::Message::ForwardCall, fb::CreateForwardCall(out, m.id, path, body));
    }

    void operator()(const forward_chunk &m)
    {
        const auto text = out.CreateString(m.text);
        set(fb::Message::ForwardChunk, fb::CreateForwardChunk(out, m.id, text));
    }

    void operator()(const forward_end &m)
    {
        const auto body = out.CreateString(m.body);
        set(fb::Message::ForwardEnd, fb::CreateForwardEnd(out, m.id, m.httpStatus, m.retryAfterMs, body));
    }

    void operator()(const forward_cancel &m)
    {
        set(fb::Message::ForwardCancel, fb::CreateForwardCancel(out, m.id));
    }

    void operator()(const quarantine_notice &m)
    {
        set(fb::Message::QuarantineNotice, fb::CreateQuarantineNotice(out, m.content));
    }

    void operator()(const leaving_notice &m)
    {
        const auto endpoint = out.CreateString(m.endpoint);
        set(fb::Message::LeavingNotice, fb::CreateLeavingNotice(out, endpoint));
    }

    void operator()(const configuration_hint &m)
    {
        set(fb::Message::ConfigurationHint, fb::CreateConfigurationHint(out, m.version));
    }
};

// ---- Decoding ----

std::string unpack(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

[[noreturn]] void throwMalformed(const std::string &why)
{
    throw error(result_code::MalformedRequest, why);
}

hello unpack(const fb::Hello &m)
{
    if (m.version() != protocolVersion) {
        throwMalformed(fmt::format("peer uses protocol version {}, expected {}", m.version(), protocolVersion));
    }
    return {.version = m.version(),
            .daemon = {.name = unpack(m.name()), .incarnation = m.incarnation()},
            .zone = unpack(m.zone())};
}

peer_message unpack(const fb::Envelope &envelope)
{
    switch (envelope.message_type()) {
    case fb::Message::Hello:
        return unpack(*envelope.message_as_Hello());
    case fb::Message::Heartbeat: {
        const auto &m = *envelope.message_as_Heartbeat();
        if (m.state() == nullptr) {
            throwMalformed("heartbeat message has no state");
        }
        return heartbeat{
            .daemon = {.name = unpack(m.name()),
                       .incarnation = joinHalves(m.state()->incarnation_low(), m.state()->incarnation_high())},
            .zone = unpack(m.zone()),
            .configurationVersion = joinHalves(m.state()->version_low(), m.state()->version_high()),
            .draining = m.draining()};
    }
    case fb::Message::ForwardCall: {
        const auto &m = *envelope.message_as_ForwardCall();
        return forward_call{.id = m.id(), .path = unpack(m.path()), .body = unpack(m.body())};
    }
    case fb::Message::ForwardChunk: {
        const auto &m = *envelope.message_as_ForwardChunk();
        return forward_chunk{.id = m.id(), .text = unpack(m.text())};
    }
    case fb::Message::ForwardEnd: {
        const auto &m = *envelope.message_as_ForwardEnd();
        return forward_end{
            .id = m.id(), .httpStatus = m.http_status(), .retryAfterMs = m.retry_after_ms(), .body = unpack(m.body())};
    }
    case fb::Message::ForwardCancel:
        return forward_cancel{.id = envelope.message_as_ForwardCancel()->id()};
    case fb::Message::QuarantineNotice:
        return quarantine_notice{.content = envelope.message_as_QuarantineNotice()->content()};
    case fb::Message::LeavingNotice:
        return leaving_notice{.endpoint = unpack(envelope.message_as_LeavingNotice()->endpoint())};
    case fb::Message::ConfigurationHint:
        return configuration_hint{.version = envelope.message_as_ConfigurationHint()->version()};
    case fb::Message::NONE:
        break;
    }
    throwMalformed(fmt::format("unknown peer message type {}", static_cast<int>(envelope.message_type())));
}

peer_message decode(std::string_view bytes)
{
    // FlatBuffers needs an aligned buffer, but a frame can start at any position of the stream.
    const std::vector<std::uint64_t> aligned = [bytes] {
        std::vector<std::uint64_t> copy((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
        std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char *>(copy.data()));
        return copy;
    }();
    const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!fb::VerifyEnvelopeBuffer(verifier)) {
        throwMalformed("peer message failed FlatBuffers verification");
    }
    const auto *envelope = fb::GetEnvelope(data);
    // The verifier accepts a union with a type but no value.
    if (envelope->message_type() != fb::Message::NONE && envelope->message() == nullptr) {
        throwMalformed("peer message has a type but no value");
    }
    return unpack(*envelope);
}

} // namespace

std::string encodeFrame(const peer_message &message)
{
    builder out(initialBufferBytes);
    message_encoder encoder{out};
    std::visit(encoder, message);
    out.Finish(fb::CreateEnvelope(out, encoder.type, encoder.offset));
    return framing::encodeFrame({reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()});
}

void frame_reader::append(std::string_view bytes)
{
    m_frames.append(bytes);
}

std::optional<peer_message> frame_reader::next()
{
    const auto payload = m_frames.next();
    return payload.has_value() ? std::optional(decode(*payload)) : std::nullopt;
}

} // namespace jackdawpick
