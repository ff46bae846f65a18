#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace quay {

/**
 * Publishes immutable snapshots of a value: one thread replaces the value, any thread reads it consistently.
 * A reader's snapshot stays valid while the reader holds the pointer. Before the first set(), get() returns a
 * default-constructed value.
 *
 * Usage: `Published<Roster> roster; auto current = roster.get();`
 */
template <typename T> class Published {
public:
    Published()
        : m_value(std::make_shared<const T>())
    {
    }

    std::shared_ptr<const T> get() const
    {
        std::lock_guard lock(m_mutex);
        return m_value;
    }

    void set(T value)
    {
        auto next = std::make_shared<const T>(std::move(value));
        std::lock_guard lock(m_mutex);
        m_value.swap(next);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value; // never null
};

} // namespace quay
