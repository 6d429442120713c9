#pragma once

// Typed calls to the platform's durable log and their replies. Performs no I/O.
//
//   store::call call = store::read_call{.where = {"programs-0", 3}, .from = 17};
//   send(call);   // The reply is a store::reply.

#include "rope/rope.h"

#include <chrono>
#include <cstddef>
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

// Appends all records atomically. A call without a reply may have been executed, or may be executed later.
struct append_call
{
    partition where;
    std::vector<shared_text> records;
    std::optional<std::uint64_t> expectedEnd; // If set, the append fails unless the partition ends at this offset.
    bool operator==(const append_call &) const = default;
};

// Reads records starting at an offset; waits up to `wait` for the first one.
struct read_call
{
    partition where;
    std::uint64_t from = 0;
    std::chrono::milliseconds wait{0};
    std::uint32_t maxKilobytes = 1024;
    bool keyed = false; // Records carry a key.
    bool operator==(const read_call &) const = default;
};

// Reads one page of the newest records per key, starting after the key `after` unless that is empty.
struct newest_call
{
    partition where;
    std::string after;
    bool operator==(const newest_call &) const = default;
};

// Sets a key, or removes it if the value is empty.
struct put_call
{
    partition where;
    std::string key;
    std::string value;
    bool operator==(const put_call &) const = default;
};

// Deletes all records before an offset.
struct trim_call
{
    partition where;
    std::uint64_t before = 0;
    bool operator==(const trim_call &) const = default;
};

using call = std::variant<append_call, read_call, newest_call, put_call, trim_call>;

[[nodiscard]] std::string_view nameOf(const call &value); // Such as "append".

struct record
{
    std::uint64_t offset = 0;
    std::string key; // Empty unless the records carry keys.
    std::string value; // In a record with a key, an empty value means that the key was removed.
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
    std::uint64_t end = 0; // Offset after the last record of the partition.
    std::vector<record> records;
    std::uint64_t next = 0; // Offset after the last record of the reply, including records that could not be decoded.
    bool operator==(const records_read &) const = default;
};

// The partition does not end at the offset that the append expected.
struct conflict
{
    std::uint64_t end = 0;
    bool operator==(const conflict &) const = default;
};

// The requested records have expired.
struct expired
{
    std::uint64_t first = 0; // Oldest offset still available.
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
    Refused, // Not executed; may succeed later.
    RateLimited, // Not executed; all daemons together, or this one alone, make too many calls.
    Rejected, // Not executed; the same call will be rejected again.
    Full, // Not executed: the store has no room for records. May succeed after records are deleted; reads are served.
};

[[nodiscard]] std::string_view nameOf(failure value);

using reply = std::variant<appended, trimmed, conflict, records_read, expired, newest_page, failure>;

// Whether the store processed the call, even if it did not accept it.
[[nodiscard]] bool isServed(const reply &value);

// Bytes of keys and values of the records that the call appends, or that the reply holds; 0 for other kinds.
[[nodiscard]] std::size_t recordBytes(const call &value);
[[nodiscard]] std::size_t recordBytes(const reply &value);

// The path by which a call reaches the store.
enum class path : std::uint8_t {
    Direct,
    Relay, // Another daemon makes the call.
};

[[nodiscard]] std::string_view nameOf(path value);

} // namespace jackdawpick::store
