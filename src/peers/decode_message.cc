// Decoding of messages between daemons.

#include "peers/peers.h"

#include <algorithm>
#include <iterator>
#include <peer_messages_generated.h>

namespace jackdawpick::peers
{

namespace
{

constexpr double percent = 100;

std::string decode(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

std::string decode(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(bytes->data()), bytes->size());
}

heartbeat decode(const fbs::Beat &body)
{
    heartbeat value{.ready = body.ready(),
                    .storeReachable = body.store_reachable(),
                    .endpointsUnreachable = body.endpoints_unreachable(),
                    .knowsPermitsAndRelays = body.limits() != nullptr,
                    .knowsTenants = body.knows_tenants(),
                    .configuration = body.configuration(),
                    .nextWithin = std::chrono::milliseconds(body.next_within_ms())};
    for (const auto *load : *body.loads()) {
        const auto tokens = load->tokens();
        value.loads.push_back({.endpoint = load->endpoint()->str(),
                               .requests = load->in_flight(),
                               .tokens = tokens.has_value() ? std::optional(*tokens) : std::nullopt});
    }
    if (body.limits() != nullptr) {
        std::ranges::transform(*body.limits(), std::back_inserter(value.limits), [](const auto *limit) {
            return limits::limit_report{.endpoint = limit->endpoint()->str(),
                                        .rate = limit->stated() ? std::optional(limit->rate()) : std::nullopt,
                                        .age = std::chrono::milliseconds(limit->age_ms())};
        });
    }
    if (body.leaving() != nullptr) {
        std::ranges::transform(*body.leaving(), std::back_inserter(value.leaving), [](const auto *endpoint) {
            return endpoint_calls::endpoint_incarnation{endpoint->endpoint()->str(), endpoint->born()};
        });
    }
    if (body.silent() != nullptr) {
        std::ranges::transform(*body.silent(), std::back_inserter(value.silent), [](const auto *report) {
            return silence_report{report->daemon()->str(), std::chrono::milliseconds(report->silent_ms())};
        });
    }
    value.speeds.total = body.speed_sample_total();
    if (body.speeds() != nullptr) {
        std::ranges::transform(*body.speeds(), std::back_inserter(value.speeds.latest), [](const auto *sample) {
            return fleet::speed_sample{.endpoint = sample->endpoint(), .ratio = sample->ratio_percent() / percent};
        });
    }
    return value;
}

// The vector is null in messages of builds that do not know it.
std::vector<crashes::run_notice> decodeNotices(const flatbuffers::Vector<flatbuffers::Offset<fbs::RunReport>> *encoded)
{
    std::vector<crashes::run_notice> notices;
    if (encoded != nullptr) {
        std::ranges::transform(*encoded, std::back_inserter(notices), [](const auto *run) {
            return crashes::run_notice{.request = {run->request(), run->caller()},
                                       .endpoint = {run->endpoint()->str(), run->born()},
                                       .age = std::chrono::milliseconds(run->age_ms())};
        });
    }
    return notices;
}

run_reports decode(const fbs::RunReports &body)
{
    run_reports value;
    for (const auto *report : *body.reports()) {
        crashes::run_report result{.request = {report->request(), report->caller()},
                                   .age = std::chrono::milliseconds(report->age_ms())};
        if (!report->endpoint()->str().empty()) {
            result.failed = crashes::endpoint_incarnation{report->endpoint()->str(), report->born()};
        }
        if (result.failed.has_value() || report->proven()) {
            value.reports.push_back(std::move(result));
        }
    }
    value.unproven = decodeNotices(body.unproven());
    value.backups = decodeNotices(body.backups());
    return value;
}

std::vector<shared_text> decodeRecords(const fbs::StoreCall &body)
{
    std::vector<shared_text> records;
    if (body.records() != nullptr) {
        for (const auto *record : *body.records()) {
            records.emplace_back(decode(record->content()));
        }
    }
    return records;
}

std::optional<message> decode(const fbs::StoreCall &body)
{
    const store::partition where{decode(body.topic()), body.part()};
    switch (body.kind()) {
    case fbs::CallKind::Append:
        return store_request{body.id(),
                             store::append_call{where, decodeRecords(body),
                                                body.conditional() ? std::optional(body.from()) : std::nullopt}};
    case fbs::CallKind::Read:
        return store_request{body.id(),
                             store::read_call{.where = where,
                                              .from = body.from(),
                                              .wait = std::chrono::milliseconds(body.wait_ms()),
                                              .maxKilobytes = body.max_kilobytes(),
                                              .keyed = body.keyed()}};
    case fbs::CallKind::Newest:
        return store_request{body.id(), store::newest_call{where, decode(body.key())}};
    case fbs::CallKind::Trim:
        return store_request{body.id(), store::trim_call{where, body.from()}};
    case fbs::CallKind::Put: {
        auto records = decodeRecords(body);
        if (records.size() == 1) {
            return store_request{body.id(), store::put_call{where, decode(body.key()), records.front().str()}};
        }
        break;
    }
    }
    return std::nullopt;
}

std::vector<store::record> decodeRecords(const fbs::StoreReply &body)
{
    std::vector<store::record> records;
    if (body.records() != nullptr) {
        for (const auto *record : *body.records()) {
            records.push_back({record->offset(), decode(record->key()), decode(record->value())});
        }
    }
    return records;
}

std::optional<message> decode(const fbs::StoreReply &body)
{
    switch (body.kind()) {
    case fbs::ReplyKind::Appended:
        return store_response{body.id(), store::appended{body.offset()}};
    case fbs::ReplyKind::RecordsRead:
        return store_response{body.id(), store::records_read{body.end(), decodeRecords(body), body.offset()}};
    case fbs::ReplyKind::Expired:
        return store_response{body.id(), store::expired{body.offset()}};
    case fbs::ReplyKind::NewestPage:
        return store_response{body.id(), store::newest_page{decodeRecords(body), body.more(), body.end()}};
    case fbs::ReplyKind::Trimmed:
        return store_response{body.id(), store::trimmed{}};
    case fbs::ReplyKind::Conflict:
        return store_response{body.id(), store::conflict{body.end()}};
    case fbs::ReplyKind::Failure:
        if (body.failure() <= static_cast<std::uint8_t>(store::failure::Full)) {
            return store_response{body.id(), static_cast<store::failure>(body.failure())};
        }
        break;
    }
    return std::nullopt;
}

std::optional<message> decode(const fbs::BudgetReply &body)
{
    if (body.answer() > static_cast<std::uint8_t>(programs::budget_decision::Unavailable)) {
        return std::nullopt;
    }
    return budget_reply{body.id(), static_cast<programs::budget_decision>(body.answer()), decode(body.turn_holder()),
                        body.first_turn(), body.previous_unsettled()};
}

// The verifier checks that the elements of a vector of structs lie in the buffer, not that they are aligned.
template<typename T> bool isAligned(const flatbuffers::Vector<const T *> &elements)
{
    return reinterpret_cast<std::uintptr_t>(elements.Data()) % alignof(T) == 0;
}

std::optional<message> decode(const fbs::TurnReply &body)
{
    if (body.records() != nullptr && !isAligned(*body.records())) {
        return std::nullopt;
    }
    turn_reply value{
        .id = body.id(), .found = body.found(), .history = decode(body.history()), .tokens = body.tokens()};
    if (body.records() != nullptr) {
        std::ranges::transform(*body.records(), std::back_inserter(value.records), [](const fbs::TurnLocation *place) {
            return programs::turn_location{
                .topic = place->topic(), .part = place->part(), .bytes = place->bytes(), .offset = place->offset()};
        });
    }
    if (body.began_known()) {
        value.beganAgo = std::chrono::milliseconds(body.began_ms_ago());
    }
    return value;
}

endpoint_calls::header_list decodeHeaders(const flatbuffers::Vector<flatbuffers::Offset<fbs::Header>> &list)
{
    endpoint_calls::header_list headers;
    std::ranges::transform(list, std::back_inserter(headers),
                           [](const auto *header) { return std::pair(header->name()->str(), header->value()->str()); });
    return headers;
}

relayed_request decode(const fbs::RelayedRequest &body)
{
    return {.id = body.id(),
            .request = {.address = decode(body.address()),
                        .endpoint = decode(body.endpoint()),
                        .endpointBorn = body.endpoint_born(),
                        .identity = {body.content(), body.caller()},
                        .attempt = decode(body.attempt()),
                        .method = decode(body.method()),
                        .host = decode(body.host()),
                        .target = decode(body.target()),
                        .headers = decodeHeaders(*body.headers()),
                        .body = decode(body.body()),
                        .remaining = std::chrono::milliseconds(body.remaining_ms()),
                        .priority = body.has_priority() ? std::optional(body.priority()) : std::nullopt,
                        .tenant = decode(body.tenant())}};
}

// Builds that do not state how a body ends take the end of any connection for the end of a response.
bool endsWithConnection(const fbs::RelayedHead &body)
{
    return body.body_end() == fbs::BodyEnd::Connection
        || (body.body_end() == fbs::BodyEnd::Unstated && !body.has_length());
}

relayed_head decode(const fbs::RelayedHead &body)
{
    return {.id = body.id(),
            .head = {.status = body.status(),
                     .hasEndpointSignature = body.has_signature(),
                     .notExecuted = body.not_executed(),
                     .leaving = body.leaving(),
                     .rateLimit = body.states_limit() ? std::optional(body.rate_limit()) : std::nullopt,
                     .headers = decodeHeaders(*body.headers()),
                     .contentLength = body.has_length() ? std::optional(body.content_length()) : std::nullopt,
                     .endsWithConnection = endsWithConnection(body)}};
}

std::optional<message> decode(const fbs::RelayedEnd &body)
{
    using endpoint_calls::dispatch_outcome;
    if (body.outcome() > static_cast<std::uint8_t>(dispatch_outcome::TimedOut)) {
        return std::nullopt;
    }
    return relayed_end{body.id(), static_cast<dispatch_outcome>(body.outcome()), body.accepted(),
                       body.endpoint_leaving()};
}

std::optional<message> decodeRelayed(const fbs::Message &root)
{
    if (const auto *body = root.body_as_RelayedRequest()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_RelayedHead()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_RelayedChunk()) {
        return relayed_chunk{body->id(), decode(body->bytes())};
    }
    if (const auto *body = root.body_as_RelayedEnd()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_RelayedCancel()) {
        return relayed_cancel{body->id()};
    }
    return std::nullopt;
}

quota_request decode(const fbs::QuotaRequest &body)
{
    return {.id = body.id(),
            .tenant = decode(body.tenant()),
            .asked = {.count = body.count(), .used = body.used(), .repeated = body.repeated()}};
}

quota_reply decode(const fbs::QuotaReply &body)
{
    return {.id = body.id(),
            .decided = body.decided(),
            .grant = {.granted = body.granted(),
                      .retryAfter = std::chrono::milliseconds(body.retry_after_ms()),
                      .lifetime = std::chrono::milliseconds(body.lifetime_ms()),
                      .pressure = body.pressure(),
                      .provisional = body.provisional()},
            .holder = decode(body.holder()),
            .lease = body.lease()};
}

std::optional<message> decodeRequestOrReply(const fbs::Message &root)
{
    if (const auto *body = root.body_as_BudgetRequest()) {
        return budget_request{body->id(),     decode(body->program()), decode(body->attempt()),
                              body->tokens(), body->budget(),          decode(body->previous_turn())};
    }
    if (const auto *body = root.body_as_BudgetReply()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_BudgetUse()) {
        return budget_use{decode(body->program()), decode(body->attempt()), body->tokens(), body->holds_turn(),
                          body->restored()};
    }
    if (const auto *body = root.body_as_TurnMark()) {
        return turn_mark{{decode(body->topic()), body->part()},
                         body->end(),
                         body->trimmed(),
                         std::chrono::milliseconds(body->written_ms_ago())};
    }
    if (const auto *body = root.body_as_TurnRequest()) {
        return turn_request{body->id(), decode(body->turn())};
    }
    if (const auto *body = root.body_as_TurnReply()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_RunReports()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_PermitRequest()) {
        return permit_request{body->id(), decode(body->endpoint()), body->reserve()};
    }
    if (const auto *body = root.body_as_PermitReply()) {
        return permit_reply{body->id(), {body->granted(), std::chrono::milliseconds(body->retry_after_ms())}};
    }
    if (const auto *body = root.body_as_QuotaRequest()) {
        return decode(*body);
    }
    if (const auto *body = root.body_as_QuotaReply()) {
        return decode(*body);
    }
    return decodeRelayed(root);
}

} // namespace

std::optional<message> decodeMessage(std::string_view bytes)
{
    // FlatBuffers requires an aligned buffer, and the payload of a frame can start at any offset.
    const std::string aligned(bytes);
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(aligned.data()), aligned.size());
    if (!verifier.VerifyBuffer<fbs::Message>(nullptr)) {
        return std::nullopt;
    }
    const auto *root = flatbuffers::GetRoot<fbs::Message>(aligned.data());
    if (const auto *body = root->body_as_Hello()) {
        return hello{decode(body->name()), body->incarnation(), decode(body->zone()), decode(body->caller_address()),
                     decode(body->peer_address())};
    }
    if (const auto *body = root->body_as_Beat()) {
        return decode(*body);
    }
    if (const auto *body = root->body_as_StoreCall()) {
        return decode(*body);
    }
    if (const auto *body = root->body_as_StoreReply()) {
        return decode(*body);
    }
    return decodeRequestOrReply(*root);
}

} // namespace jackdawpick::peers
