// Encoding of messages between daemons.

#include "peers/peers.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <peer_messages_generated.h>

namespace jackdawpick::peers
{

namespace
{

using buffer_builder = flatbuffers::FlatBufferBuilder;
using body_offset = flatbuffers::Offset<void>;

constexpr double percent = 100;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> encodeBytes(buffer_builder &out, std::string_view text)
{
    return out.CreateVector(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> encodeRope(buffer_builder &out, const rope &text)
{
    std::uint8_t *place = nullptr;
    const auto offset = out.CreateUninitializedVector(text.size(), &place);
    for (const auto &part : text.segments()) {
        place = std::ranges::copy(part.view(), place).out;
    }
    return offset;
}

body_offset encode(buffer_builder &out, const hello &value)
{
    const auto name = out.CreateString(value.name);
    const auto zone = out.CreateString(value.zone);
    const auto caller = out.CreateString(value.callerAddress);
    const auto peer = out.CreateString(value.peerAddress);
    return fbs::CreateHello(out, name, value.incarnation, zone, caller, peer).Union();
}

body_offset encode(buffer_builder &out, const heartbeat &value)
{
    std::vector<flatbuffers::Offset<fbs::Load>> loads;
    std::ranges::transform(value.loads, std::back_inserter(loads), [&out](const auto &load) {
        const auto tokens = load.tokens.has_value() ? flatbuffers::Optional<std::uint64_t>(*load.tokens)
                                                    : flatbuffers::Optional<std::uint64_t>();
        return fbs::CreateLoad(out, out.CreateString(load.endpoint), load.requests, tokens);
    });
    std::vector<flatbuffers::Offset<fbs::Limit>> limits;
    std::ranges::transform(value.limits, std::back_inserter(limits), [&out](const limits::limit_report &report) {
        return fbs::CreateLimit(out, out.CreateString(report.endpoint), report.rate.has_value(),
                                report.rate.value_or(0), static_cast<std::uint32_t>(report.age.count()));
    });
    std::vector<flatbuffers::Offset<fbs::Leaving>> leaving;
    std::ranges::transform(value.leaving, std::back_inserter(leaving), [&out](const auto &endpoint) {
        return fbs::CreateLeaving(out, out.CreateString(endpoint.id), endpoint.born);
    });
    std::vector<flatbuffers::Offset<fbs::Silence>> silent;
    std::ranges::transform(value.silent, std::back_inserter(silent), [&out](const silence_report &report) {
        return fbs::CreateSilence(out, out.CreateString(report.daemon),
                                  static_cast<std::uint32_t>(report.silentFor.count()));
    });
    std::vector<fbs::SpeedSample> speeds;
    std::ranges::transform(value.speeds.latest, std::back_inserter(speeds), [](const fleet::speed_sample &sample) {
        return fbs::SpeedSample(sample.endpoint, static_cast<std::uint16_t>(std::lround(sample.ratio * percent)));
    });
    return fbs::CreateBeat(out, value.ready, value.storeReachable, value.configuration, out.CreateVector(loads),
                           out.CreateVector(limits), value.endpointsUnreachable, out.CreateVector(leaving),
                           out.CreateVector(silent), static_cast<std::uint32_t>(value.nextWithin.count()),
                           value.knowsTenants, value.speeds.total, out.CreateVectorOfStructs(speeds))
        .Union();
}

// Encodes a call as a StoreCall; sets only the fields that its kind uses.
struct call_encoder
{
    buffer_builder &out;
    std::uint64_t id;

    body_offset operator()(const store::append_call &call) const
    {
        std::vector<flatbuffers::Offset<fbs::Bytes>> records;
        std::ranges::transform(call.records, std::back_inserter(records), [this](const shared_text &record) {
            return fbs::CreateBytes(out, encodeBytes(out, record));
        });
        const auto list = out.CreateVector(records);
        return fbs::CreateStoreCall(out, id, fbs::CallKind::Append, out.CreateString(call.where.topic),
                                    call.where.number, list, call.expectedEnd.value_or(0), 0, 0, false, 0,
                                    call.expectedEnd.has_value())
            .Union();
    }

    body_offset operator()(const store::read_call &call) const
    {
        return fbs::CreateStoreCall(out, id, fbs::CallKind::Read, out.CreateString(call.where.topic), call.where.number,
                                    0, call.from, static_cast<std::uint32_t>(call.wait.count()), call.maxKilobytes,
                                    call.keyed)
            .Union();
    }

    body_offset operator()(const store::newest_call &call) const
    {
        const auto topic = out.CreateString(call.where.topic);
        const auto key = out.CreateString(call.after);
        return fbs::CreateStoreCall(out, id, fbs::CallKind::Newest, topic, call.where.number, 0, 0, 0, 0, true, key)
            .Union();
    }

    body_offset operator()(const store::trim_call &call) const
    {
        return fbs::CreateStoreCall(out, id, fbs::CallKind::Trim, out.CreateString(call.where.topic), call.where.number,
                                    0, call.before)
            .Union();
    }

    body_offset operator()(const store::put_call &call) const
    {
        const auto topic = out.CreateString(call.where.topic);
        const auto key = out.CreateString(call.key);
        const auto records = out.CreateVector(std::vector{fbs::CreateBytes(out, encodeBytes(out, call.value))});
        return fbs::CreateStoreCall(out, id, fbs::CallKind::Put, topic, call.where.number, records, 0, 0, 0, true, key)
            .Union();
    }
};

body_offset encode(buffer_builder &out, const store_request &value)
{
    return std::visit(call_encoder{out, value.id}, value.what);
}

// Encodes a reply as a StoreReply; sets only the fields that its kind uses.
struct reply_encoder
{
    buffer_builder &out;
    std::uint64_t id;

    auto encodeRecords(const std::vector<store::record> &records) const
    {
        std::vector<flatbuffers::Offset<fbs::Record>> list;
        std::ranges::transform(records, std::back_inserter(list), [this](const store::record &entry) {
            const auto key = out.CreateString(entry.key);
            return fbs::CreateRecord(out, entry.offset, key, encodeBytes(out, entry.value));
        });
        return out.CreateVector(list);
    }

    body_offset operator()(const store::appended &result) const
    {
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::Appended, result.offset).Union();
    }

    body_offset operator()(const store::trimmed & /*result*/) const
    {
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::Trimmed).Union();
    }

    body_offset operator()(const store::conflict &result) const
    {
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::Conflict, 0, result.end).Union();
    }

    body_offset operator()(const store::records_read &result) const
    {
        const auto records = encodeRecords(result.records);
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::RecordsRead, result.next, result.end, false, 0, records)
            .Union();
    }

    body_offset operator()(const store::expired &result) const
    {
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::Expired, result.first).Union();
    }

    body_offset operator()(const store::newest_page &result) const
    {
        const auto records = encodeRecords(result.records);
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::NewestPage, 0, result.end, result.more, 0, records)
            .Union();
    }

    body_offset operator()(const store::failure &reason) const
    {
        return fbs::CreateStoreReply(out, id, fbs::ReplyKind::Failure, 0, 0, false, static_cast<std::uint8_t>(reason))
            .Union();
    }
};

body_offset encode(buffer_builder &out, const store_response &value)
{
    return std::visit(reply_encoder{out, value.id}, value.result);
}

body_offset encode(buffer_builder &out, const budget_request &value)
{
    const auto program = out.CreateString(value.program);
    const auto attempt = out.CreateString(value.attempt);
    const auto turn = out.CreateString(value.previousTurn);
    return fbs::CreateBudgetRequest(out, value.id, program, attempt, value.tokens, value.budget, turn).Union();
}

body_offset encode(buffer_builder &out, const budget_reply &value)
{
    const auto holder = out.CreateString(value.turnHolder);
    const auto answer = static_cast<std::uint8_t>(value.answer);
    return fbs::CreateBudgetReply(out, value.id, answer, holder, value.firstTurn, value.previousUnsettled).Union();
}

body_offset encode(buffer_builder &out, const budget_use &value)
{
    const auto program = out.CreateString(value.program);
    const auto attempt = out.CreateString(value.attempt);
    return fbs::CreateBudgetUse(out, program, attempt, value.tokens, value.holdsTurn, value.restored).Union();
}

body_offset encode(buffer_builder &out, const turn_request &value)
{
    return fbs::CreateTurnRequest(out, value.id, out.CreateString(value.turn)).Union();
}

auto encodeRun(buffer_builder &out, const endpoint_calls::request_identity &request,
               const endpoint_calls::endpoint_incarnation &endpoint, std::chrono::milliseconds age)
{
    return fbs::CreateRunReport(out, request.content, out.CreateString(endpoint.id), endpoint.born,
                                static_cast<std::uint32_t>(age.count()), request.caller, endpoint.id.empty());
}

auto encodeNotices(buffer_builder &out, const std::vector<crashes::run_notice> &notices)
{
    std::vector<flatbuffers::Offset<fbs::RunReport>> encoded;
    std::ranges::transform(notices, std::back_inserter(encoded), [&out](const auto &notice) {
        return encodeRun(out, notice.request, notice.endpoint, notice.age);
    });
    return out.CreateVector(encoded);
}

body_offset encode(buffer_builder &out, const run_reports &value)
{
    std::vector<flatbuffers::Offset<fbs::RunReport>> reports;
    std::ranges::transform(value.reports, std::back_inserter(reports), [&out](const auto &report) {
        return encodeRun(out, report.request, report.failed.value_or(crashes::endpoint_incarnation{}), report.age);
    });
    const auto unproven = encodeNotices(out, value.unproven);
    const auto backups = encodeNotices(out, value.backups);
    return fbs::CreateRunReports(out, out.CreateVector(reports), unproven, backups).Union();
}

body_offset encode(buffer_builder &out, const turn_mark &value)
{
    return fbs::CreateTurnMark(out, out.CreateString(value.where.topic), value.where.number, value.end, value.trimmed,
                               static_cast<std::uint32_t>(value.writtenAgo.count()))
        .Union();
}

body_offset encode(buffer_builder &out, const permit_request &value)
{
    return fbs::CreatePermitRequest(out, value.id, out.CreateString(value.endpoint), value.reserve).Union();
}

body_offset encode(buffer_builder &out, const permit_reply &value)
{
    return fbs::CreatePermitReply(out, value.id, value.decision.granted,
                                  static_cast<std::uint32_t>(value.decision.retryAfter.count()))
        .Union();
}

auto encodeHeaders(buffer_builder &out, const endpoint_calls::header_list &headers)
{
    std::vector<flatbuffers::Offset<fbs::Header>> list;
    std::ranges::transform(headers, std::back_inserter(list), [&out](const auto &header) {
        return fbs::CreateHeader(out, out.CreateString(header.first), out.CreateString(header.second));
    });
    return out.CreateVector(list);
}

body_offset encode(buffer_builder &out, const relayed_request &value)
{
    const auto &request = value.request;
    const auto address = out.CreateString(request.address);
    const auto endpoint = out.CreateString(request.endpoint);
    const auto attempt = out.CreateString(request.attempt);
    const auto method = out.CreateString(request.method);
    const auto host = out.CreateString(request.host);
    const auto target = out.CreateString(request.target);
    const auto headers = encodeHeaders(out, request.headers);
    const auto body = encodeRope(out, request.body);
    const auto tenant = out.CreateString(request.tenant);
    return fbs::CreateRelayedRequest(out, value.id, address, endpoint, attempt, method, host, target, headers, body,
                                     static_cast<std::uint32_t>(std::max<std::int64_t>(request.remaining.count(), 0)),
                                     request.priority.has_value(), request.priority.value_or(0), request.endpointBorn,
                                     request.identity.content, request.identity.caller, tenant)
        .Union();
}

body_offset encode(buffer_builder &out, const relayed_head &value)
{
    const auto &head = value.head;
    return fbs::CreateRelayedHead(out, value.id, head.status, head.hasEndpointSignature, head.notExecuted,
                                  head.rateLimit.has_value(), head.rateLimit.value_or(0),
                                  encodeHeaders(out, head.headers), head.contentLength.has_value(),
                                  head.contentLength.value_or(0), head.leaving,
                                  head.endsWithConnection ? fbs::BodyEnd::Connection : fbs::BodyEnd::Delimited)
        .Union();
}

body_offset encode(buffer_builder &out, const relayed_chunk &value)
{
    return fbs::CreateRelayedChunk(out, value.id, encodeBytes(out, value.bytes)).Union();
}

body_offset encode(buffer_builder &out, const relayed_end &value)
{
    return fbs::CreateRelayedEnd(out, value.id, static_cast<std::uint8_t>(value.outcome), value.accepted,
                                 value.endpointLeaving)
        .Union();
}

body_offset encode(buffer_builder &out, const relayed_cancel &value)
{
    return fbs::CreateRelayedCancel(out, value.id).Union();
}

body_offset encode(buffer_builder &out, const turn_reply &value)
{
    const auto history = encodeRope(out, value.history);
    std::vector<fbs::TurnLocation> locations;
    std::ranges::transform(value.records, std::back_inserter(locations), [](const programs::turn_location &place) {
        return fbs::TurnLocation(place.offset, place.bytes, place.topic, place.part);
    });
    const auto ago = value.beganAgo.value_or(std::chrono::milliseconds(0)).count();
    return fbs::CreateTurnReply(out, value.id, value.found, history, out.CreateVectorOfStructs(locations),
                                value.beganAgo.has_value(), static_cast<std::uint32_t>(ago), value.tokens)
        .Union();
}

body_offset encode(buffer_builder &out, const quota_request &value)
{
    return fbs::CreateQuotaRequest(out, value.id, out.CreateString(value.tenant), value.asked.count, value.asked.used,
                                   value.asked.repeated)
        .Union();
}

body_offset encode(buffer_builder &out, const quota_reply &value)
{
    const auto &grant = value.grant;
    const auto holder = out.CreateString(value.holder);
    return fbs::CreateQuotaReply(out, value.id, value.decided, grant.granted,
                                 static_cast<std::uint32_t>(grant.retryAfter.count()),
                                 static_cast<std::uint32_t>(grant.lifetime.count()), grant.pressure, grant.provisional,
                                 holder, value.lease)
        .Union();
}

} // namespace

std::string encodeMessage(const message &value)
{
    buffer_builder out;
    const auto body = std::visit([&out](const auto &alternative) { return encode(out, alternative); }, value);
    const auto type = static_cast<fbs::Body>(value.index() + 1); // The union lists the alternatives in the same order.
    out.Finish(fbs::CreateMessage(out, type, body));
    return {reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()};
}

} // namespace jackdawpick::peers
