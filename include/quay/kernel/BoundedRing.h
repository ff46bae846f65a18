#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace quay {

/**
 * A thread-safe FIFO queue of fixed capacity, stored as a ring buffer.
 * A push to a full ring fails, which gives the caller back-pressure; no item is dropped silently.
 *
 * Usage: `BoundedRing<Event> ring(1024); if (!ring.tryPush(std::move(event))) refuse();`
 */
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_slots(capacity)
    {
    }

    /** Appends the item. Returns false and leaves the item unchanged if the ring is full. */
    bool tryPush(T&& item);

    /** Removes and returns the oldest item; nullopt if the ring is empty. */
    std::optional<T> tryPop();

    std::size_t capacity() const { return m_slots.size(); }
    std::size_t size() const;

    /** The number of pushes that failed because the ring was full. */
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
