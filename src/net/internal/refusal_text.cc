#include "net/internal/refusal_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick::net::internal
{

namespace
{

constexpr int retryAfterSeconds = 1;

bool advisesRetry(const result_description &row)
{
    return row.retry == retry_advice::Later;
}

} // namespace

std::string refusalText(const result_description &row, std::string_view message)
{
    const nlohmann::json body{{"error",
                               {{"code", static_cast<int>(row.code)},
                                {"name", row.name},
                                {"execution", nameOf(row.outcome)},
                                {"message", message},
                                {"retry_after_ms", advisesRetry(row) ? retryAfterSeconds * 1000 : 0}}}};
    return body.dump();
}

header_list retryHeaders(const result_description &row)
{
    if (!advisesRetry(row)) {
        return {};
    }
    return {{"Retry-After", fmt::format("{}", retryAfterSeconds)}};
}

} // namespace jackdawpick::net::internal
