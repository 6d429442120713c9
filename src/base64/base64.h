#pragma once

// Base64 with padding (RFC 4648).
//
//   auto bytes = decodeBase64(encodeBase64("abc"));   // "abc"
//
// Thread safe.

#include <optional>
#include <string>
#include <string_view>

namespace jackdawpick
{

[[nodiscard]] std::string encodeBase64(std::string_view bytes);
// Nothing if `text` is not base64 with padding.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace jackdawpick
