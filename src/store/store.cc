#include "store/store.h"

#include <array>
#include <numeric>

namespace jackdawpick::store
{

namespace
{

constexpr std::array<std::string_view, 5> failureNames{"no_reply", "refused", "rate_limited", "rejected", "full"};
constexpr std::array<std::string_view, 2> pathNames{"direct", "relay"};

// In the order of the alternatives of store::call.
constexpr std::array<std::string_view, 5> callNames{"append", "read", "newest", "put", "trim"};

} // namespace

std::string_view nameOf(const call &value)
{
    return callNames.at(value.index());
}

std::string_view nameOf(failure value)
{
    return failureNames.at(static_cast<std::size_t>(value));
}

bool isServed(const reply &value)
{
    const auto *reason = std::get_if<failure>(&value);
    return reason == nullptr || *reason == failure::Rejected || *reason == failure::Full;
}

std::size_t recordBytes(const call &value)
{
    if (const auto *append = std::get_if<append_call>(&value)) {
        return std::accumulate(append->records.begin(), append->records.end(), std::size_t{0},
                               [](std::size_t sum, const shared_text &record) { return sum + record.size(); });
    }
    const auto *put = std::get_if<put_call>(&value);
    return put == nullptr ? 0 : put->key.size() + put->value.size();
}

std::size_t recordBytes(const reply &value)
{
    const auto *read = std::get_if<records_read>(&value);
    const auto *page = std::get_if<newest_page>(&value);
    if (read == nullptr && page == nullptr) {
        return 0;
    }
    const auto &records = read != nullptr ? read->records : page->records;
    return std::accumulate(records.begin(), records.end(), std::size_t{0}, [](std::size_t sum, const record &entry) {
        return sum + entry.key.size() + entry.value.size();
    });
}

std::string_view nameOf(path value)
{
    return pathNames.at(static_cast<std::size_t>(value));
}

} // namespace jackdawpick::store
