#pragma once

// Immutable texts that several holders share, ropes of them, and the account of the bytes that they take. A
// conversation of which many requests hold a copy is in memory once.
//
//   text_account account;
//   rope history(account.share(std::move(input)));
//   rope prompt = history;            // Copies no text.
//   prompt.append(account.share("more"));
//   account.bytes();                  // What is held, counted once however many hold it.
//
// Ropes and shared texts are value types. An account and what was made from it are used on one thread.

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

// An immutable text. Copies share it.
class shared_text
{
public:
    shared_text() = default;
    shared_text(std::string text); // Not in any account.
    shared_text(const char *text)
        : shared_text(std::string(text))
    {
    }

    [[nodiscard]] std::string_view view() const
    {
        return m_text == nullptr ? std::string_view() : std::string_view(*m_text);
    }
    operator std::string_view() const
    {
        return view();
    }
    [[nodiscard]] std::string str() const
    {
        return std::string(view());
    }
    [[nodiscard]] std::size_t size() const
    {
        return view().size();
    }
    [[nodiscard]] bool empty() const
    {
        return view().empty();
    }
    [[nodiscard]] bool isCounted() const // In an account.
    {
        return m_isCounted;
    }
    // The same for all copies and for no other text that is held.
    [[nodiscard]] const void *identity() const
    {
        return m_text.get();
    }
    bool operator==(const shared_text &other) const
    {
        return view() == other.view();
    }

private:
    friend class text_account;
    std::shared_ptr<const std::string> m_text;
    bool m_isCounted = false;
};

// A text in segments, which it shares with other ropes.
class rope
{
public:
    rope() = default;
    rope(const rope &other) = default;
    rope &operator=(const rope &other) = default;
    rope(rope &&other) noexcept; // Leaves the other one empty.
    rope &operator=(rope &&other) noexcept;
    ~rope() = default;
    rope(shared_text text);
    rope(std::string text)
        : rope(shared_text(std::move(text)))
    {
    }
    rope(const char *text)
        : rope(std::string(text))
    {
    }

    void append(const shared_text &text);
    void append(const rope &other);
    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }
    [[nodiscard]] bool empty() const
    {
        return m_size == 0;
    }
    [[nodiscard]] const std::vector<shared_text> &segments() const // None of them is empty.
    {
        return m_segments;
    }
    // Bytes of the segments that are in no account.
    [[nodiscard]] std::size_t uncountedBytes() const;
    // Copies a part, or the whole text; a part that begins beyond the end is empty.
    [[nodiscard]] std::string substr(std::size_t offset, std::size_t length) const;
    [[nodiscard]] std::string str() const;
    [[nodiscard]] std::size_t heapBytes() const; // Of the list of segments, and of what each takes beside its text.
    bool operator==(const rope &other) const;

private:
    std::vector<shared_text> m_segments;
    std::size_t m_size = 0;
};

[[nodiscard]] rope operator+(rope left, const rope &right);

// Memory that is set aside for what will be held; given back when it is destroyed.
class text_reservation
{
public:
    text_reservation() = default;
    text_reservation(text_reservation &&other) noexcept;
    text_reservation &operator=(text_reservation &&other) noexcept;
    ~text_reservation();

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    void resize(std::size_t bytes);

private:
    friend class text_account;
    std::shared_ptr<std::size_t> m_total; // Of the account; null if nothing is reserved.
    std::size_t m_bytes = 0;
};

class text_account
{
public:
    text_account();

    // Bytes of the texts that were made from the account and are still held, and of reservations.
    [[nodiscard]] std::size_t bytes() const
    {
        return *m_total;
    }
    // Counts the text until its last copy is gone.
    [[nodiscard]] shared_text share(std::string text);
    [[nodiscard]] text_reservation reserve(std::size_t bytes);

private:
    std::shared_ptr<std::size_t> m_total;
};

// Counts the bytes of ropes that share segments, each segment once.
class segment_count
{
public:
    void add(const rope &text);
    void remove(const rope &text); // One that was added.
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::map<const void *, std::size_t> m_uses; // By the identity of the segment.
    std::size_t m_bytes = 0;
};

} // namespace jackdawpick
