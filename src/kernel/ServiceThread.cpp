#include "quay/kernel/ServiceThread.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <pthread.h>
#include <utility>

namespace quay {

namespace {

// Bounds the tasks of one drain, so that timers and sockets are served in between.
constexpr int maxTasksPerDrain = 256;

// Linux limits a thread's name to 15 characters.
constexpr std::size_t maxThreadNameLength = 15;

} // namespace

ServiceThread::ServiceThread(std::string name, std::size_t taskQueueCapacity)
    : m_name(std::move(name))
    , m_work(boost::asio::make_work_guard(m_context))
    , m_taskQueue(taskQueueCapacity)
{
}

ServiceThread::~ServiceThread() { stop(); }

void ServiceThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.substr(0, maxThreadNameLength).c_str());
        onStart();
        m_context.run();
    });
}

void ServiceThread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

bool ServiceThread::post(Task task)
{
    if (!m_taskQueue.tryPush(std::move(task)))
        return false;
    // One posted drain serves all tasks that are pushed before it starts.
    if (!m_isDrainPosted.exchange(true))
        boost::asio::post(m_context, [this] { drain(); });
    return true;
}

void ServiceThread::postResponse(Task task) { boost::asio::post(m_context, std::move(task)); }

void ServiceThread::drain()
{
    // The flag is cleared before the loop: a task that is pushed after this line posts another drain, and
    // one that was pushed before it is seen by the loop.
    m_isDrainPosted = false;
    for (int i = 0; i < maxTasksPerDrain; ++i) {
        auto task = m_taskQueue.tryPop();
        if (!task)
            return;
        (*task)();
    }
    if (!m_isDrainPosted.exchange(true))
        boost::asio::post(m_context, [this] { drain(); });
}

void ServiceThread::every(Duration period, Task action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    schedulePeriodic(std::move(timer), period, std::move(action));
}

void ServiceThread::schedulePeriodic(
    std::shared_ptr<boost::asio::steady_timer> timer, Duration period, Task action)
{
    timer->expires_after(period);
    auto& handle = *timer;
    handle.async_wait([this, timer = std::move(timer), period, action = std::move(action)](auto ec) mutable {
        if (ec)
            return;
        action();
        schedulePeriodic(std::move(timer), period, std::move(action));
    });
}

void ServiceThread::after(Duration delay, Task action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    auto& handle = *timer;
    handle.async_wait([timer = std::move(timer), action = std::move(action)](auto ec) {
        if (!ec)
            action();
    });
}

} // namespace quay
