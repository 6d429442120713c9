// The initial configuration of a gateway_world, and requests for its routes.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

routing::configuration initialConfiguration()
{
    const auto model = routing::route{.name = "model",
                                      .host = "h",
                                      .pathPrefix = "/model/",
                                      .kind = routing::request_kind::Stream,
                                      .timeout = 3000ms,
                                      .rank = 0,
                                      .services = {{"engines", 1}},
                                      .retainsTurns = true,
                                      .retention = 60s};
    const auto read = routing::route{.name = "read",
                                     .host = "h",
                                     .pathPrefix = "/read/",
                                     .kind = routing::request_kind::Idempotent,
                                     .timeout = 1200ms,
                                     .services = {{"shop", 1}},
                                     .maxAttempts = 3};
    const auto pay = routing::route{.name = "pay",
                                    .host = "h",
                                    .pathPrefix = "/pay/",
                                    .kind = routing::request_kind::NonIdempotent,
                                    .timeout = 2000ms,
                                    .services = {{"shop", 1}}};
    return {
        .version = 1,
        .routes = {model, read, pay},
        .services = {{.name = "engines",
                      .engine = routing::engine_profile{.slots = 4, .tokensPerEvent = gateway_world::tokensPerEvent}},
                     {.name = "shop", .engine = std::nullopt}}};
}

caller_request modelTurn(const std::string &program, const std::string &attempt, std::uint32_t budget,
                         const std::string &previous)
{
    return {.attempt = attempt,
            .method = "POST",
            .host = "h",
            .path = "/model/x",
            .target = "/model/x",
            .headers = {},
            .body = "in:" + attempt + "\n",
            .deadline = 3000ms,
            .program = program,
            .session = program,
            .previousTurn = previous,
            .tokenBudget = budget,
            .maxOutputTokens = 60,
            .prompt = {}};
}

std::string eventTextOf(const std::string &attempt, int events)
{
    std::string text;
    for (int i = 1; i <= events; ++i) {
        text += fmt::format("{}-{}\n", attempt, i);
    }
    return text;
}

caller_request shopRequest(const std::string &path, const std::string &attempt)
{
    return {.attempt = attempt,
            .method = "GET",
            .host = "h",
            .path = path,
            .target = path,
            .headers = {},
            .body = {},
            .deadline = 1200ms,
            .prompt = {}};
}

} // namespace jackdawpick::gateway::testing
