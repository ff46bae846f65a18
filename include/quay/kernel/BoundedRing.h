#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace quay {

/**
 * A first-in first-out ring of fixed capacity that joins threads.
 * A full ring refuses the item: the caller sees the back-pressure, nothing is dropped silently.
 *
 * Usage: `BoundedRing<Event> ring(1024); if (!ring.tryPush(std::move(event))) refuse();`
 */
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_slots(capacity)
    {
    }

    /** Appends the item, or returns false and leaves it untouched when the ring is full. */
    bool tryPush(T&& item);

    /** Takes the oldest item; nullopt when empty. */
    std::optional<T> tryPop();

    std::size_t capacity() const { return m_slots.size(); }
    std::size_t size() const;

    /** How many pushes were refused because the ring was full. */
    std::size_t refusedCount() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::optional<T>> m_slots;
    std::size_t m_head = 0; // index of the oldest item
    std::size_t m_size = 0;
    std::size_t m_refusedCount = 0;
};

template <typename T> bool BoundedRing<T>::tryPush(T&& item)
{
    std::lock_guard lock(m_mutex);
    if (m_size == m_slots.size()) {
        ++m_refusedCount;
        return false;
    }
    m_slots[(m_head + m_size) % m_slots.size()] = std::move(item);
    ++m_size;
    return true;
}

template <typename T> std::optional<T> BoundedRing<T>::tryPop()
{
    std::lock_guard lock(m_mutex);
    if (!m_size)
        return std::nullopt;
    auto item = std::exchange(m_slots[m_head], std::nullopt);
    m_head = (m_head + 1) % m_slots.size();
    --m_size;
    return item;
}

template <typename T> std::size_t BoundedRing<T>::size() const
{
    std::lock_guard lock(m_mutex);
    return m_size;
}

template <typename T> std::size_t BoundedRing<T>::refusedCount() const
{
    std::lock_guard lock(m_mutex);
    return m_refusedCount;
}

} // namespace quay
