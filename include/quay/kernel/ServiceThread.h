#pragma once

#include "quay/core/Time.h"
#include "quay/kernel/BoundedRing.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace quay {

/**
 * One thread with one duty. Other threads hand it tasks through a bounded ring;
 * everything the duty owns is touched by its own thread only, so it needs no locks.
 *
 * Usage: derive, call `start()`, and post tasks: `duty.post([this] { m_count++; })`.
 */
class ServiceThread {
public:
    using Task = std::function<void()>;

    ServiceThread(std::string name, std::size_t ringCapacity);
    virtual ~ServiceThread();
    ServiceThread(const ServiceThread&) = delete;
    ServiceThread& operator=(const ServiceThread&) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the thread after the task it is running; tasks still in the ring are dropped. Idempotent. */
    void stop();

    /** Hands a task over. Returns false when the ring is full; the caller then refuses the work. */
    [[nodiscard]] bool post(Task task);

    /**
     * Hands over the answer to something that this duty asked for. Never refused: answers are bounded by the
     * requests in flight, and a lost one would leave the duty waiting for ever.
     */
    void postResponse(Task task);

    /** Runs `action` on the duty's thread every `period`, from the start on. Call before start(). */
    void every(Duration period, Task action);

    /** Runs `action` once on the duty's thread after `delay`. Call from the duty's thread. */
    void after(Duration delay, Task action);

    const std::string& name() const { return m_name; }
    std::size_t queuedCount() const { return m_ring.size(); }
    std::size_t refusedCount() const { return m_ring.refusedCount(); }

protected:
    boost::asio::io_context& context() { return m_context; }
    /** Runs on the duty's thread before the first task. */
    virtual void onStart() { }

private:
    void drain();
    void armPeriodic(std::shared_ptr<boost::asio::steady_timer> timer, Duration period, Task action);

    std::string m_name;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    BoundedRing<Task> m_ring;
    std::atomic<bool> m_drainPosted = false;
    std::thread m_thread;
};

} // namespace quay
