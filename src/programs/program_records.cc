#include "programs/programs.h"

#include <program_records_generated.h>

namespace jackdawpick::programs
{

namespace
{

flatbuffers::Offset<void> pack(flatbuffers::FlatBufferBuilder &out, const reservation &value)
{
    const auto program = out.CreateString(value.program);
    const auto attempt = out.CreateString(value.attempt);
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
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(value.history.data());
    const auto history = out.CreateVector(bytes, value.history.size());
    return fbs::CreateTurn(out, id, history).Union();
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
        return reservation{body->program()->str(), body->attempt()->str(), body->tokens(), body->budget()};
    }
    if (const auto *body = record->body_as_Settlement()) {
        return settlement{body->program()->str(), body->attempt()->str(), body->tokens()};
    }
    if (const auto *body = record->body_as_Turn()) {
        const auto *text = reinterpret_cast<const char *>(body->history()->data());
        return turn{body->turn()->str(), std::string(text, body->history()->size())};
    }
    return std::nullopt;
}

} // namespace jackdawpick::programs
