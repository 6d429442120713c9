#include "gateway/internal/request_identity.h"

#include <vector>
#include <xxhash.h>

namespace jackdawpick::gateway::internal
{

namespace
{

// What names the caller of a request in all its attempts: the program if there is one, else the session or the object.
std::string_view callerOf(const caller_request &request)
{
    if (!request.program.empty()) {
        return request.program;
    }
    return request.session.empty() ? request.affinity : request.session;
}

// Joins the fields with spaces; two lists of different fields never give the same text.
std::string joinFields(const std::vector<std::string_view> &fields)
{
    constexpr char separator = ' ';
    constexpr char escape = '\\';
    std::string text;
    for (const auto &field : fields) {
        if (&field != &fields.front()) {
            text += separator;
        }
        for (const char each : field) {
            if (each == separator || each == escape) {
                text += escape;
            }
            text += each;
        }
    }
    return text;
}

} // namespace

endpoint_calls::request_identity identityOf(const caller_request &request, std::string_view tenant)
{
    std::vector<std::string_view> fields{request.method, request.host, request.path};
    if (!tenant.empty()) {
        fields.emplace_back(tenant);
    }
    if (request.body.empty()) {
        fields.insert(fields.end(), {request.program, request.affinity});
    }
    const auto head = joinFields(fields);
    const auto caller = callerOf(request);
    return {.content =
                XXH3_64bits_withSeed(request.body.data(), request.body.size(), XXH3_64bits(head.data(), head.size())),
            .caller = XXH3_64bits(caller.data(), caller.size())};
}

} // namespace jackdawpick::gateway::internal
