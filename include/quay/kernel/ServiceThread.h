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
 * Base class of a service that runs on one thread of its own. Other threads post tasks to it through a
 * bounded queue. Only this thread accesses the service's state, so the state needs no locks.
 *
 * Usage: derive, call `start()`, and post tasks: `service.post([this] { m_count++; })`.
 */
class ServiceThread {
public:
    using Task = std::function<void()>;

    ServiceThread(std::string name, std::size_t taskQueueCapacity);
    virtual ~ServiceThread();
    ServiceThread(const ServiceThread&) = delete;
    ServiceThread& operator=(const ServiceThread&) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the thread after its current task. Tasks that are still queued don't run. Idempotent. */
    void stop();

    /** Queues a task for this thread. Returns false if the queue is full; the caller must then refuse the
     * work. */
    [[nodiscard]] bool post(Task task);

    /**
     * Queues the handler of a response to a request of this service. Not subject to the queue's capacity:
     * responses are bounded by the requests in flight, and a dropped one would leave its request pending for
     * ever.
     */
    void postResponse(Task task);

    /**
     * Runs `action` on this thread repeatedly: first `period` after this call, then `period` after the end of
     * the previous run. Call before start().
     */
    void every(Duration period, Task action);

    /** Runs `action` once on this thread after `delay`. Call from this thread. */
    void after(Duration delay, Task action);

    const std::string& name() const { return m_name; }
    std::size_t queuedCount() const { return m_taskQueue.size(); }
    std::size_t refusedCount() const { return m_taskQueue.refusedCount(); }

protected:
    boost::asio::io_context& context() { return m_context; }
    /** Called on this thread before the first task. */
    virtual void onStart() { }

private:
    void drain();
    void schedulePeriodic(std::shared_ptr<boost::asio::steady_timer> timer, Duration period, Task action);

    std::string m_name;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    BoundedRing<Task> m_taskQueue;
    std::atomic<bool> m_isDrainPosted = false;
    std::thread m_thread;
};

} // namespace quay
