#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jackdawpick
{

[[nodiscard]] std::string encodeBase64(std::string_view bytes);
// Nothing if `text` is not base64 with padding.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace jackdawpick
