#pragma once

#include "net/HttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <thread>

namespace quay::test {

/** Runs a simulated service on a thread of its own until it is destroyed. */
template <typename Standin> class StandinThread {
public:
    template <typename... Arguments>
    explicit StandinThread(Arguments&&... arguments)
        : m_standin(std::make_unique<Standin>(m_context, std::forward<Arguments>(arguments)...))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~StandinThread()
    {
        m_context.stop();
        m_thread.join();
    }

    Standin& get() { return *m_standin; }

private:
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_context.get_executor()
    };
    std::unique_ptr<Standin> m_standin;
    std::thread m_thread;
};

/** Posts a body, waits for the response and returns its status, or 0 if none arrived within 10 s. */
inline unsigned postTo(const std::string& address, const std::string& target, const std::string& body)
{
    boost::asio::io_context context(1);
    HttpClient client(context, 1, 64UL * 1024);
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    unsigned status = 0;
    client.send(address, std::move(request), 10s,
        [&](const HttpResult& result) { status = result.response ? result.response->status : 0; });
    context.run();
    return status;
}

/** Calls `start(callback)`, blocks until the callback is called, and returns its argument. */
template <typename Value, typename Start> Value await(Start start)
{
    auto promise = std::make_shared<std::promise<Value>>();
    auto future = promise->get_future();
    start([promise](Value value) { promise->set_value(std::move(value)); });
    return future.get();
}

} // namespace quay::test
