#pragma once

// HTTP/1.1 messages with the parser of Boost.Beast; sockets are not its business here.

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawpick::net::internal
{

namespace beast_http = boost::beast::http;

// Bound of the bytes that wait for more before they can be parsed: a header, the line before a chunk, or trailers. The
// parser itself bounds the header only.
inline constexpr std::uint32_t maxHeaderBytes = 32768;

// Bound of the fields of a request: as many as 16 KiB, the largest header that callers send, can hold ("a:" and a line
// end each). A field costs far more memory than the four bytes that it needs on the wire.
inline constexpr std::size_t maxHeaderFields = 4096;

using header_list = std::vector<std::pair<std::string, std::string>>;

// The value of the first field with this lower-case name, or an empty text.
[[nodiscard]] inline std::string_view headerValue(const header_list &headers, std::string_view name)
{
    const auto found = std::ranges::find(headers, name, &header_list::value_type::first);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

// Collects one request or response. With a sink, the body goes there instead of into `body`.
template<bool IsRequest> class message_parser final : public beast_http::basic_parser<IsRequest>
{
public:
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;

    std::string method;
    std::string target;
    int status = 0;
    int version = 11;
    header_list headers; // Names in lower case.
    std::string body;
    std::size_t maxCollected = 64U << 20U; // Bound of `body`; what goes to the sink has none.
    std::function<void(std::string_view)> sink;

    // Memory that the parsed head occupies.
    [[nodiscard]] std::size_t headBytes() const
    {
        return headers.capacity() * sizeof(header_list::value_type) + m_textBytes + method.capacity()
            + target.capacity();
    }

private:
    void on_request_impl(beast_http::verb /*verb*/, text name, text where, int number, error_code & /*ec*/) override
    {
        method.assign(name.data(), name.size());
        target.assign(where.data(), where.size());
        version = number;
    }

    void on_response_impl(int code, text /*reason*/, int number, error_code & /*ec*/) override
    {
        status = code;
        version = number;
    }

    // Of a text, beside the object: short ones lie in the object itself.
    static std::size_t allocatedBytes(const std::string &value)
    {
        static const std::size_t inObject = std::string().capacity();
        return value.capacity() > inObject ? value.capacity() + 1 : 0;
    }

    void on_field_impl(beast_http::field /*field*/, text name, text value, error_code &ec) override
    {
        if (IsRequest && headers.size() >= maxHeaderFields) {
            ec = beast_http::error::header_limit;
            return;
        }
        std::string lower(name.data(), name.size());
        std::ranges::transform(lower, lower.begin(),
                               [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto &added = headers.emplace_back(std::move(lower), std::string(value.data(), value.size()));
        m_textBytes += allocatedBytes(added.first) + allocatedBytes(added.second);
    }

    void on_header_impl(error_code & /*ec*/) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, error_code & /*ec*/) override
    {
    }

    std::size_t on_body_impl(text bytes, error_code &ec) override
    {
        return take(bytes, ec);
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/, error_code & /*ec*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, text bytes, error_code &ec) override
    {
        return take(bytes, ec);
    }

    void on_finish_impl(error_code & /*ec*/) override
    {
    }

    std::size_t take(text bytes, error_code &ec)
    {
        if (sink) {
            sink({bytes.data(), bytes.size()});
        } else if (body.size() + bytes.size() > maxCollected) {
            ec = beast_http::error::body_limit;
            return 0;
        } else {
            makeRoom(bytes.size());
            body.append(bytes.data(), bytes.size());
        }
        return bytes.size();
    }

    // Grows the body to twice its size, but not beyond what the message can have: std::string alone would reserve up to
    // twice the length of a body of known length.
    void makeRoom(std::size_t added)
    {
        const auto needed = body.size() + added;
        if (needed <= body.capacity()) {
            return;
        }
        const auto length = this->content_length();
        const auto most =
            length ? static_cast<std::size_t>(std::min<std::uint64_t>(*length, maxCollected)) : maxCollected;
        std::string larger;
        larger.reserve(std::max(needed, std::min(2 * needed, most)));
        larger += body;
        body.swap(larger);
    }

    std::size_t m_textBytes = 0; // Allocated by the fields.
};

} // namespace jackdawpick::net::internal
