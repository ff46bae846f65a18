#pragma once

#include "FleetPlatform.h"
#include "edge/EdgeNode.h"
#include "net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

// Whole nodes against a simulated platform in one process. Each node has its own loopback address.
namespace quay::test {

constexpr auto testTimeout = 30s; // only fails tests that hang

inline const std::string configuration
    = R"({"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"service","attempts":3,"sloMs":300,)"
      R"("advice":{"decisionMs":1,"perItemMs":0.1,"validMs":2000}}],)"
      R"("services":[{"name":"service"}],"tenants":[{"name":"t","apiKeys":["key"],"weight":1,"maxCount":{}}]})";

template <typename Condition> void waitFor(const char* what, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            FAIL(std::string(what));
        std::this_thread::sleep_for(10ms);
    }
}

// Returns status 0 if there was no answer.
inline HttpResponse call(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body = {}, const std::string& key = "key")
{
    boost::asio::io_context context;
    HttpClient client(context, 1, 1 << 20);
    HttpRequest request = jsonPost(target, body);
    request.method = method;
    request.headers["host"] = "h";
    request.headers["authorization"] = "Bearer " + key;
    HttpResponse answer;
    answer.status = 0;
    client.send(address, request, 5s, [&](HttpResult result) {
        if (result.response)
            answer = *result.response;
    });
    context.run();
    return answer;
}

// Returns an address that depends on the process id, because all nodes use the same metrics port, including
// those of test runs at the same time.
inline std::string loopbackAddress(int number)
{
    constexpr int values = 250; // of one octet of the address, without its lowest and highest values
    const int process = getpid();
    return "127." + std::to_string(1 + process / values % values) + "." + std::to_string(1 + process % values)
        + "." + std::to_string(number);
}

class Node {
public:
    Node(int number, const std::string& store, double processorShare = 0, Duration maxEvacuationDelay = {},
        Duration finishedJobRetention = 120s)
        : m_address(loopbackAddress(number))
        , m_port(20000 + (getpid() * 8) % 20000)
    {
        platform::NodeSettings settings;
        settings.node = "n" + std::to_string(number);
        settings.ip = m_address;
        settings.zone = "z";
        settings.jobApiAddress = apiEndpoint();
        settings.readinessAddress = m_address + ":" + std::to_string(m_port + 1);
        settings.firstPeerPort = static_cast<std::uint16_t>(m_port + 2);
        settings.storeAddress = settings.approvalAddress = store;
        settings.maxLeaseDuration = 6000ms;
        settings.maxStopDuration = 900ms;
        settings.terminationGracePeriod = 6s;
        settings.processorShare = processorShare;
        settings.maxConfigurationDelay = 2000ms;
        settings.finishedJobRetention = finishedJobRetention;
        settings.maxEvacuationDelay = maxEvacuationDelay;
        m_node = std::make_unique<edge::EdgeNode>(settings);
        m_thread = std::thread([this] { m_node->run(); });
    }
    ~Node() { kill(); }

    void kill()
    {
        if (!m_thread.joinable())
            return;
        m_node->halt();
        m_thread.join();
        m_node.reset();
    }

    std::string apiEndpoint() const { return m_address + ":" + std::to_string(m_port); }
    std::string peerEndpoint() const { return m_address + ":" + std::to_string(m_port + 2); }
    std::string readinessEndpoint() const { return m_address + ":" + std::to_string(m_port + 1); }
    std::string metricsPage() const { return call(m_address + ":9464", "GET", "/metrics").body; }
    bool isLeader() const { return metricsPage().find("\nquay_leads 1\n") != std::string::npos; }

private:
    std::string m_address;
    int m_port;
    std::unique_ptr<edge::EdgeNode> m_node;
    std::thread m_thread;
};

inline std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

inline bool isCompleted(const Node& node, const std::string& id)
{
    return call(node.apiEndpoint(), "GET", "/q/" + id).body.find("completed") != std::string::npos;
}

inline const std::string twoStepJob
    = R"({"spec":"x","steps":[{"count":5,"cpu":1000,"memMb":10,"estimateMs":50},{"count":2,"cpu":500,"after":[0]}]})";

} // namespace quay::test
