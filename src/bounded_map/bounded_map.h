#pragma once

// A map from ids to values that holds at most a number of bytes and evicts the least recently used values.
//
//   bounded_map<std::string> names(1U << 20U);
//   const auto evicted = names.put("id", "name", heapBytes("name"));
//   if (auto *name = names.find("id")) { ... }
//
// Thread compatible.

#include <cstddef>
#include <iterator>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdawpick
{

// Bytes that a block of this size takes, with what the allocator adds to it; 0 for no block.
[[nodiscard]] constexpr std::size_t blockBytes(std::size_t size)
{
    constexpr std::size_t allocatorBytes = 16;
    return size == 0 ? 0 : size + allocatorBytes;
}

// Bytes of the block that the text owns; 0 if it is stored inside the object.
[[nodiscard]] inline std::size_t heapBytes(const std::string &text)
{
    static const std::size_t insideCapacity = std::string().capacity();
    return text.capacity() <= insideCapacity ? 0 : blockBytes(text.capacity() + 1);
}

template<typename T> [[nodiscard]] std::size_t heapBytes(const std::vector<T> &values)
{
    return blockBytes(values.capacity() * sizeof(T));
}

template<typename Value> class bounded_map
{
public:
    struct item
    {
        std::string id;
        Value value;
    };

    explicit bounded_map(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }
    bounded_map(const bounded_map &) = delete;
    bounded_map &operator=(const bounded_map &) = delete;

    // Adds or replaces a value, which owns `valueBytes` bytes outside the object. Returns what was evicted for it, the
    // least recently used first. The value itself stays, even if it alone exceeds the bound.
    std::vector<item> put(std::string id, Value value, std::size_t valueBytes)
    {
        erase(id);
        m_nodes.push_front({.content = {.id = std::move(id), .value = std::move(value)}});
        auto &added = m_nodes.front();
        added.bytes = valueBytes + heapBytes(added.content.id) + nodeBytes;
        m_bytes += added.bytes;
        m_index.emplace(added.content.id, m_nodes.begin());
        std::vector<item> evicted;
        while (m_bytes > m_maxBytes && m_nodes.size() > 1) {
            evicted.push_back(take(std::prev(m_nodes.end())));
        }
        return evicted;
    }

    // Null if there is none; otherwise the value becomes the most recently used one. Valid until it is erased.
    [[nodiscard]] Value *find(std::string_view id)
    {
        const auto found = m_index.find(id);
        if (found == m_index.end()) {
            return nullptr;
        }
        m_nodes.splice(m_nodes.begin(), m_nodes, found->second);
        return &found->second->content.value;
    }

    // As find(), but does not count as a use.
    [[nodiscard]] Value *peek(std::string_view id)
    {
        const auto found = m_index.find(id);
        return found == m_index.end() ? nullptr : &found->second->content.value;
    }

    [[nodiscard]] bool contains(std::string_view id) const
    {
        return m_index.contains(id);
    }

    void erase(std::string_view id)
    {
        if (const auto found = m_index.find(id); found != m_index.end()) {
            take(found->second);
        }
    }

    // Erases all values for which the predicate holds and returns them.
    template<typename Predicate> std::vector<item> extractIf(Predicate predicate)
    {
        std::vector<item> erased;
        for (auto current = m_nodes.begin(); current != m_nodes.end();) {
            const auto next = std::next(current);
            if (predicate(std::as_const(current->content.value))) {
                erased.push_back(take(current));
            }
            current = next;
        }
        return erased;
    }

    // Bytes held, by which the bound counts. Not less than what the process holds for the map.
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_index.size();
    }

private:
    struct node
    {
        item content;
        std::size_t bytes = 0;
    };
    using position = typename std::list<node>::iterator;

    // A node of the list has two pointers; one of the index a pointer, the key, the position and a hash. The table of
    // the index has up to two pointers for each of its nodes.
    static constexpr std::size_t listNodeBytes = blockBytes(2 * sizeof(void *) + sizeof(node));
    static constexpr std::size_t indexNodeBytes =
        blockBytes(sizeof(void *) + sizeof(std::string_view) + sizeof(position) + sizeof(std::size_t));
    static constexpr std::size_t nodeBytes = listNodeBytes + indexNodeBytes + 2 * sizeof(void *);

    item take(position which)
    {
        m_index.erase(which->content.id);
        m_bytes -= which->bytes;
        auto content = std::move(which->content);
        m_nodes.erase(which);
        return content;
    }

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::list<node> m_nodes; // Most recently used first.
    std::unordered_map<std::string_view, position> m_index; // By the ids in m_nodes.
};

} // namespace jackdawpick
