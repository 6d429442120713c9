#pragma once

// Binary min-heap with removal by slot. Slots are small integers chosen by the caller; each occurs at most once.

#include <cstdint>
#include <utility>
#include <vector>

namespace jackdawpick::internal
{

template<typename key_type> class indexed_heap
{
public:
    [[nodiscard]] bool empty() const
    {
        return m_items.empty();
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_items.size();
    }

    [[nodiscard]] std::uint32_t topSlot() const
    {
        return m_items.front().slot;
    }

    [[nodiscard]] const key_type &topKey() const
    {
        return m_items.front().key;
    }

    void push(std::uint32_t slot, key_type key)
    {
        if (m_position.size() <= slot) {
            m_position.resize(slot + 1, absent);
        }
        m_items.push_back({std::move(key), slot});
        m_position[slot] = static_cast<std::uint32_t>(m_items.size() - 1);
        siftUp(m_items.size() - 1);
    }

    // Does nothing if the slot is not in the heap.
    void remove(std::uint32_t slot)
    {
        if (slot >= m_position.size() || m_position[slot] == absent) {
            return;
        }
        const std::size_t index = std::exchange(m_position[slot], absent);
        const std::size_t last = m_items.size() - 1;
        if (index != last) {
            m_items[index] = std::move(m_items[last]);
            m_position[m_items[index].slot] = static_cast<std::uint32_t>(index);
        }
        m_items.pop_back();
        if (index < m_items.size()) {
            siftUp(index);
            siftDown(index);
        }
    }

private:
    struct item
    {
        key_type key;
        std::uint32_t slot;
    };
    static constexpr std::uint32_t absent = UINT32_MAX;

    void swapItems(std::size_t left, std::size_t right)
    {
        std::swap(m_items[left], m_items[right]);
        m_position[m_items[left].slot] = static_cast<std::uint32_t>(left);
        m_position[m_items[right].slot] = static_cast<std::uint32_t>(right);
    }

    void siftUp(std::size_t index)
    {
        while (index > 0 && m_items[index].key < m_items[(index - 1) / 2].key) {
            swapItems(index, (index - 1) / 2);
            index = (index - 1) / 2;
        }
    }

    void siftDown(std::size_t index)
    {
        for (std::size_t child = 2 * index + 1; child < m_items.size(); child = 2 * index + 1) {
            if (child + 1 < m_items.size() && m_items[child + 1].key < m_items[child].key) {
                ++child;
            }
            if (!(m_items[child].key < m_items[index].key)) {
                return;
            }
            swapItems(index, child);
            index = child;
        }
    }

    std::vector<item> m_items;
    std::vector<std::uint32_t> m_position; // By slot.
};

} // namespace jackdawpick::internal
