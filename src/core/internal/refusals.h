#pragma once

// Construction of refusals, and the delays after which callers are advised to retry.

#include "model/model.h"

namespace jackdawpick
{

inline constexpr std::chrono::milliseconds notReadyRetry{1000};
inline constexpr std::chrono::milliseconds drainingRetry{100};
inline constexpr std::chrono::milliseconds ownerChangingRetry{500};
inline constexpr std::chrono::milliseconds logRetry{1000};
inline constexpr std::chrono::milliseconds noEndpointRetry{500};

[[nodiscard]] inline refusal makeRefusal(result_code code, std::string message,
                                         std::chrono::milliseconds retryAfter = {})
{
    return {.code = code, .message = std::move(message), .retryAfter = retryAfter};
}

} // namespace jackdawpick
