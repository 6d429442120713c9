#include "rope/rope.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jackdawpick
{

namespace
{

// Of a segment beside its text: the object that holds it with its counts of holders, two blocks of the allocator, and
// the node in the count of a cache.
constexpr std::size_t segmentOverheadBytes = 176;

// Texts that own more than this part of their size beyond it are copied into a block that fits.
constexpr std::size_t tolerableSlackDivisor = 8;

// A text with its bytes in an account.
struct counted_text
{
    counted_text(std::string value, std::shared_ptr<std::size_t> account)
        : text(std::move(value))
        , bytes(text.capacity())
        , total(std::move(account))
    {
        *total += bytes;
    }
    counted_text(const counted_text &) = delete;
    counted_text &operator=(const counted_text &) = delete;
    ~counted_text()
    {
        *total -= bytes;
    }

    std::string text;
    std::size_t bytes;
    std::shared_ptr<std::size_t> total;
};

} // namespace

shared_text::shared_text(std::string text)
    : m_text(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
{
}

rope::rope(rope &&other) noexcept
    : m_segments(std::exchange(other.m_segments, {}))
    , m_size(std::exchange(other.m_size, 0))
{
}

rope &rope::operator=(rope &&other) noexcept
{
    std::swap(m_segments, other.m_segments);
    std::swap(m_size, other.m_size);
    other.m_segments.clear();
    other.m_size = 0;
    return *this;
}

rope::rope(shared_text text)
    : m_size(text.size())
{
    if (!text.empty()) {
        m_segments.push_back(std::move(text));
    }
}

void rope::append(const shared_text &text)
{
    if (!text.empty()) {
        m_size += text.size();
        m_segments.push_back(text);
    }
}

void rope::append(const rope &other)
{
    const auto count = other.m_segments.size(); // The other may be this one.
    m_segments.reserve(m_segments.size() + count);
    std::copy_n(other.m_segments.begin(), count, std::back_inserter(m_segments));
    m_size += other.m_size;
}

std::size_t rope::uncountedBytes() const
{
    return std::accumulate(
        m_segments.begin(), m_segments.end(), std::size_t{0},
        [](std::size_t sum, const shared_text &part) { return sum + (part.isCounted() ? 0 : part.size()); });
}

std::string rope::substr(std::size_t offset, std::size_t length) const
{
    std::string result;
    result.reserve(std::min(length, m_size - std::min(offset, m_size)));
    for (const auto &part : m_segments) {
        if (offset < part.size()) {
            result += part.view().substr(offset, length - result.size());
        }
        offset -= std::min(offset, part.size());
        if (result.size() == length) {
            break;
        }
    }
    return result;
}

std::string rope::str() const
{
    return substr(0, m_size);
}

std::size_t rope::heapBytes() const
{
    return m_segments.capacity() * sizeof(shared_text) + m_segments.size() * segmentOverheadBytes;
}

bool rope::operator==(const rope &other) const
{
    if (m_size != other.m_size) {
        return false;
    }
    auto mine = m_segments.begin();
    auto theirs = other.m_segments.begin();
    std::string_view left;
    std::string_view right;
    for (std::size_t compared = 0; compared < m_size;) {
        left = left.empty() ? (mine++)->view() : left;
        right = right.empty() ? (theirs++)->view() : right;
        const auto length = std::min(left.size(), right.size());
        if (left.substr(0, length) != right.substr(0, length)) {
            return false;
        }
        left.remove_prefix(length);
        right.remove_prefix(length);
        compared += length;
    }
    return true;
}

rope operator+(rope left, const rope &right)
{
    left.append(right);
    return left;
}

text_reservation::text_reservation(text_reservation &&other) noexcept
    : m_total(std::move(other.m_total))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

text_reservation &text_reservation::operator=(text_reservation &&other) noexcept
{
    std::swap(m_total, other.m_total);
    std::swap(m_bytes, other.m_bytes);
    other.resize(0);
    return *this;
}

text_reservation::~text_reservation()
{
    resize(0);
}

void text_reservation::resize(std::size_t bytes)
{
    if (m_total != nullptr) {
        *m_total += bytes - m_bytes; // Modulo the range of the type, which the addition undoes.
        m_bytes = bytes;
    }
}

text_account::text_account()
    : m_total(std::make_shared<std::size_t>(0))
{
}

shared_text text_account::share(std::string text)
{
    shared_text result;
    if (text.empty()) {
        return result;
    }
    if (text.capacity() - text.size() > text.size() / tolerableSlackDivisor) {
        text.shrink_to_fit();
    }
    auto counted = std::make_shared<const counted_text>(std::move(text), m_total);
    result.m_text = std::shared_ptr<const std::string>(counted, &counted->text);
    result.m_isCounted = true;
    return result;
}

text_reservation text_account::reserve(std::size_t bytes)
{
    text_reservation result;
    result.m_total = m_total;
    result.resize(bytes);
    return result;
}

void segment_count::add(const rope &text)
{
    for (const auto &part : text.segments()) {
        if (++m_uses[part.identity()] == 1) {
            m_bytes += part.size();
        }
    }
}

void segment_count::remove(const rope &text)
{
    for (const auto &part : text.segments()) {
        const auto found = m_uses.find(part.identity());
        if (--found->second == 0) {
            m_bytes -= part.size();
            m_uses.erase(found);
        }
    }
}

} // namespace jackdawpick
