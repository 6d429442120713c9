#pragma once

// Calls to the durable log of the platform and their replies, as typed values. Nothing here does I/O.
//
//   store::call what = store::read_call{.where = {"programs-0", 3}, .from = 17};
//   send(what);   // The reply is a store::reply.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace jackdawpick::store
{

struct partition
{
    std::string topic;
    std::uint32_t number = 0;
    bool operator==(const partition &) const = default;
    bool operator<(const partition &other) const
    {
        return std::tie(topic, number) < std::tie(other.topic, other.number);
    }
};

// Appends all records or none. A call without a reply may have been executed, or may be executed later.
struct append_call
{
    partition where;
    std::vector<std::string> records;
    std::optional<std::uint64_t> expectedEnd; // Only if the partition ends at this offset.
    bool operator==(const append_call &) const = default;
};

// Reads records from an offset on; waits up to `wait` for the first one.
struct read_call
{
    partition where;
    std::uint64_t from = 0;
    std::chrono::milliseconds wait{0};
    std::uint32_t maxKilobytes = 1024;
    bool keyed = false; // Records carry a key.
    bool operator==(const read_call &) const = default;
};

// Reads the newest record of each key, after the key `after` if that is not empty.
struct newest_call
{
    partition where;
    std::string after;
    bool operator==(const newest_call &) const = default;
};

// Sets or, without a value, removes a key.
struct put_call
{
    partition where;
    std::string key;
    std::string value;
    bool operator==(const put_call &) const = default;
};

// Deletes the records before an offset.
struct trim_call
{
    partition where;
    std::uint64_t before = 0;
    bool operator==(const trim_call &) const = default;
};

using call = std::variant<append_call, read_call, newest_call, put_call, trim_call>;

[[nodiscard]] std::string_view nameOf(const call &what); // Such as "append".

struct record
{
    std::uint64_t offset = 0;
    std::string key; // Empty unless the records carry keys.
    std::string value; // Empty value of a record with a key: the key was removed.
    bool operator==(const record &) const = default;
};

struct trimmed
{
    bool operator==(const trimmed &) const = default;
};

struct appended
{
    std::uint64_t offset = 0; // Of the first record.
    bool operator==(const appended &) const = default;
};

struct records_read
{
    std::uint64_t end = 0; // Offset after the newest record of the partition.
    std::vector<record> records;
    std::uint64_t next = 0; // Offset after the last record of the reply, readable or not.
    bool operator==(const records_read &) const = default;
};

// The partition does not end where the append expected.
struct conflict
{
    std::uint64_t end = 0;
    bool operator==(const conflict &) const = default;
};

// The requested records have expired.
struct expired
{
    std::uint64_t first = 0; // Oldest offset that is left.
    bool operator==(const expired &) const = default;
};

struct newest_page
{
    std::vector<record> records;
    bool more = false;
    std::uint64_t end = 0;
    bool operator==(const newest_page &) const = default;
};

enum class failure : std::uint8_t {
    NoReply, // The call may have been executed, or may be executed later.
    Refused, // Nothing was done; may succeed later.
    RateLimited, // Nothing was done; all daemons together, or this one alone, make too many calls.
    Rejected, // Nothing was done; the same call will be rejected again.
};

[[nodiscard]] std::string_view nameOf(failure value);

using reply = std::variant<appended, trimmed, conflict, records_read, expired, newest_page, failure>;

// How a call reaches the store.
enum class path : std::uint8_t {
    Direct,
    Relay, // Another daemon makes the call.
};

[[nodiscard]] std::string_view nameOf(path value);

} // namespace jackdawpick::store
