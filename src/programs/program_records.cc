#include "programs/programs.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <memory>
#include <program_records_generated.h>
#include <xxhash.h>

namespace jackdawpick::programs
{

namespace
{

// Between the id of an attempt and the number of its retry; no request can have a line feed in its id.
constexpr char retrySeparator = '\n';

std::string attemptWithRetry(const reservation &value)
{
    return value.retry == 0 ? value.attempt : fmt::format("{}{}{}", value.attempt, retrySeparator, value.retry);
}

reservation unpack(const fbs::Reservation &body)
{
    reservation value{.program = body.program()->str(),
                      .attempt = body.attempt()->str(),
                      .tokens = body.tokens(),
                      .budget = body.budget()};
    if (const auto separator = value.attempt.find(retrySeparator); separator != std::string::npos) {
        const auto *end = value.attempt.data() + value.attempt.size();
        std::from_chars(value.attempt.data() + separator + 1, end, value.retry);
        value.attempt.resize(separator);
    }
    return value;
}

flatbuffers::Offset<void> pack(flatbuffers::FlatBufferBuilder &out, const reservation &value)
{
    const auto program = out.CreateString(value.program);
    const auto attempt = out.CreateString(attemptWithRetry(value));
    return fbs::CreateReservation(out, program, attempt, value.tokens, value.budget).Union();
}

flatbuffers::Offset<void> pack(flatbuffers::FlatBufferBuilder &out, const settlement &value)
{
    const auto program = out.CreateString(value.program);
    const auto attempt = out.CreateString(value.attempt);
    return fbs::CreateSettlement(out, program, attempt, value.tokens).Union();
}

flatbuffers::Offset<void> pack(flatbuffers::FlatBufferBuilder &out, const turn &value)
{
    const auto id = out.CreateString(value.id);
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(value.text.data());
    const auto text = out.CreateVector(bytes, value.text.size());
    const auto previous = out.CreateString(value.previous);
    std::vector<fbs::TurnLocation> locations;
    std::ranges::transform(value.ancestors, std::back_inserter(locations), [](const turn_location &place) {
        return fbs::TurnLocation(place.offset, place.bytes, place.topic, place.part);
    });
    const auto ancestors = out.CreateVectorOfStructs(locations);
    return fbs::CreateTurn(out, id, text, previous, ancestors, value.historyHash, value.tokens).Union();
}

turn unpack(const fbs::Turn &body)
{
    const auto *text = reinterpret_cast<const char *>(body.text()->data());
    turn value{.id = body.turn()->str(),
               .previous = body.previous() == nullptr ? std::string() : body.previous()->str(),
               .text = std::string(text, body.text()->size()),
               .historyHash = body.history_hash(),
               .tokens = body.tokens()};
    if (body.ancestors() != nullptr) {
        std::ranges::transform(
            *body.ancestors(), std::back_inserter(value.ancestors), [](const fbs::TurnLocation *place) {
                return turn_location{
                    .topic = place->topic(), .part = place->part(), .bytes = place->bytes(), .offset = place->offset()};
            });
    }
    return value;
}

} // namespace

std::string encodeRecord(const program_record &value)
{
    flatbuffers::FlatBufferBuilder out;
    const auto body = std::visit([&out](const auto &record) { return pack(out, record); }, value);
    // The schema's union lists the alternatives in the order of the variant, after NONE.
    const auto type = static_cast<fbs::Body>(value.index() + 1);
    out.Finish(fbs::CreateProgramRecord(out, type, body));
    return {reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()};
}

std::optional<program_record> decodeRecord(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!verifier.VerifyBuffer<fbs::ProgramRecord>(nullptr)) {
        return std::nullopt;
    }
    const auto *record = flatbuffers::GetRoot<fbs::ProgramRecord>(bytes.data());
    if (const auto *body = record->body_as_Reservation()) {
        return unpack(*body);
    }
    if (const auto *body = record->body_as_Settlement()) {
        return settlement{body->program()->str(), body->attempt()->str(), body->tokens()};
    }
    if (const auto *body = record->body_as_Turn()) {
        return unpack(*body);
    }
    return std::nullopt;
}

// The ids link each record to the one before it; the hash also covers the bytes.
std::optional<rope> joinHistory(std::vector<turn> records, std::string_view id, text_account &account)
{
    if (records.empty() || records.back().id != id || !records.front().ancestors.empty()) {
        return std::nullopt;
    }
    const bool isLinked =
        std::ranges::adjacent_find(records,
                                   [](const turn &before, const turn &after) { return before.id != after.previous; })
        == records.end();
    rope history;
    std::ranges::for_each(records, [&](turn &record) { history.append(account.share(std::move(record.text))); });
    return isLinked && hashHistory(history) == records.back().historyHash ? std::optional(std::move(history))
                                                                          : std::nullopt;
}

// The hash of the joined text.
std::uint64_t hashHistory(const rope &history)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const auto &part : history.segments()) {
        XXH3_64bits_update(state.get(), part.view().data(), part.size());
    }
    return XXH3_64bits_digest(state.get());
}

} // namespace jackdawpick::programs
