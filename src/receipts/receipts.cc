#include "receipts/receipts.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace jackdawpick
{

namespace
{

// The URL-safe alphabet needs no escaping in a header or query string.
std::string encodeBase64Url(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    while (text.ends_with('=')) {
        text.pop_back();
    }
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view encoded)
{
    std::string text(encoded);
    std::ranges::replace(text, '-', '+');
    std::ranges::replace(text, '_', '/');
    const std::size_t padding = (4 - text.size() % 4) % 4;
    text.append(padding, '=');
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                        reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0 || static_cast<std::size_t>(length) < padding) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string computeHmac(std::string_view bytes, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(bytes.data()),
         bytes.size(), mac.data(), &length);
    return {reinterpret_cast<const char *>(mac.data()), length};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

receipt fromJson(const nlohmann::json &fields)
{
    return {.program = {fields.at("customer"), fields.at("program")},
            .turn = fields.at("turn"),
            .history = {.value = fields.at("digest"), .tokens = fields.at("tokens")},
            .messageCount = fields.at("messages"),
            .budget = fields.at("budget"),
            .spent = fields.at("spent"),
            .delegated = fields.at("carved"),
            .attainedService = fields.at("attained"),
            .rank = fields.at("rank"),
            .fencingToken = fields.at("fence")};
}

} // namespace

std::string signReceipt(const receipt &contents, std::string_view key)
{
    const nlohmann::json fields{{"customer", contents.program.customer},
                                {"program", contents.program.program},
                                {"turn", contents.turn},
                                {"digest", contents.history.value},
                                {"tokens", contents.history.tokens},
                                {"messages", contents.messageCount},
                                {"budget", contents.budget},
                                {"spent", contents.spent},
                                {"carved", contents.delegated},
                                {"attained", contents.attainedService},
                                {"rank", contents.rank},
                                {"fence", contents.fencingToken}};
    const std::string bytes = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return encodeBase64Url(bytes) + "." + encodeBase64Url(computeHmac(bytes, key));
}

std::optional<receipt> verifyReceipt(std::string_view text, std::string_view key)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto bytes = decodeBase64Url(text.substr(0, dot));
    const auto mac = decodeBase64Url(text.substr(dot + 1));
    if (!bytes || !mac || !equalInConstantTime(*mac, computeHmac(*bytes, key))) {
        return std::nullopt;
    }
    const auto fields = nlohmann::json::parse(*bytes, nullptr, false);
    if (fields.is_discarded()) {
        return std::nullopt;
    }
    try {
        return fromJson(fields);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace jackdawpick
