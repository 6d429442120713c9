// The memory that the texts of requests may take. Texts are in memory once, however many requests continue them; what a
// request is still going to make of them is set aside before it is sent.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

// Turns that need no more than this are taken while there is any room, larger ones only while others leave some of it
// to ordinary ones.
constexpr std::size_t ordinaryTurnBytes = 256U << 10U;
constexpr double largeTurnShare = 0.75;
// Other turns that this daemon has in memory end within about a second; another daemon may have room now.
constexpr std::chrono::milliseconds memoryRetryDelay{500};

} // namespace

// Whether there is room beside what is held, or beside all of it but the cached texts if that is enough; these are
// evicted then.
bool gateway::implementation::makeTextRoom(std::size_t more)
{
    const double share = more <= ordinaryTurnBytes ? 1 : largeTurnShare;
    const auto limit = static_cast<std::size_t>(share * static_cast<double>(m_options.maxTextBytes));
    if (m_texts.bytes() + more > limit + m_turns.textBytes()) {
        return false;
    }
    while (m_texts.bytes() + more > limit && m_turns.evictOldestText()) { }
    return m_texts.bytes() + more <= limit;
}

// What the records hold that the turn may still write: its input, and the history if it has to be written again. The
// response is counted as it arrives.
std::size_t gateway::implementation::bytesToWrite(const request_context &context) const
{
    if (!context.route->retainsTurns) {
        return 0;
    }
    return context.input.size() + (mayReachBackTooFar(context) ? context.history.size() : 0);
}

// What a request needs for a history that comes from the store or a peer: its text and, as its records may be old, its
// records once more.
std::size_t gateway::implementation::bytesToReceive(const request_context &context, std::size_t historyBytes)
{
    return 2 * historyBytes + context.input.size();
}

// Sets memory aside for the request in place of what was set aside before.
bool gateway::implementation::reserveTexts(request_context &context, std::size_t bytes, time_point now)
{
    const auto reserved = context.memory.bytes();
    if (bytes > reserved && !makeTextRoom(bytes - reserved)) {
        logRequest(log_level::Info, "memory_full", context,
                   {{"needed_bytes", bytes},
                    {"reserved_bytes", reserved},
                    {"held_bytes", m_texts.bytes()},
                    {"limit_bytes", m_options.maxTextBytes},
                    {"history_bytes", context.history.size()},
                    {"input_bytes", context.input.size()}},
                   now);
        refuseRequest(context, result_code::MemoryFull, memoryRetryDelay, now);
        return false;
    }
    context.memory = m_texts.reserve(bytes);
    return true;
}

// Counts the response of a retained turn, and its part of the record.
void gateway::implementation::countResponse(request_context &context)
{
    const auto bytes = context.responseText.capacity() + context.responseText.size();
    if (bytes > context.countedResponse) {
        context.memory.resize(context.memory.bytes() + bytes - std::exchange(context.countedResponse, bytes));
    }
}

// The record is counted by itself from now on, also after the request has ended and while a call of the store holds it.
shared_text gateway::implementation::shareRecord(request_context &context, std::string record)
{
    auto shared = m_texts.share(std::move(record));
    context.memory.resize(context.memory.bytes() - std::min(context.memory.bytes(), shared.size()));
    return shared;
}

std::size_t gateway::implementation::textBytes() const
{
    return m_texts.bytes();
}

} // namespace jackdawpick::gateway
