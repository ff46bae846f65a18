#include "cores/SeededRandom.h"
#include "edge/NodeLog.h"
#include "edge/OrderDispatcher.h"
#include "edge/OrderRelay.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <future>
#include <google/protobuf/stubs/logging.h>
#include <thread>

// The leader's dispatcher, relay nodes and executors on threads of their own, connected through loopback.
using namespace quay;
using namespace quay::edge;
using namespace quay::fleet;
using namespace quay::platform;

namespace {

constexpr auto testTimeout = 30s; // only fails tests that hang
constexpr auto answerTimeout = 20s; // of calls that are answered; a busy machine must not end them
constexpr auto silenceTimeout = 300ms; // of calls that are not answered
constexpr int executorCount = 120; // more than a leader exchanges with itself

// A context with a thread.
struct Loop {
    ~Loop() { stop(); }
    void stop()
    {
        context.stop();
        if (thread.joinable())
            thread.join();
    }
    template <typename Action> void run(Action action)
    {
        std::promise<void> done;
        boost::asio::post(context, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work
        = boost::asio::make_work_guard(context);
    std::thread thread { [this] { context.run(); } };
};

// One server that plays all executors, which differ by their id only. Counts the requests of each kind.
class Executors {
public:
    Executors()
        : m_server(m_loop.context, "127.0.0.1:0", {},
            [this](const HttpRequest& request, const Respond& respond) { serve(request, respond); })
    {
        m_server.start();
    }
    ~Executors() { m_loop.stop(); }

    std::string address() const { return m_server.address(); }
    std::atomic<int> starts = 0;
    std::atomic<int> heartbeats = 0;
    std::atomic<bool> isSilent = false; // requests are carried out, but not answered

private:
    void serve(const HttpRequest& request, const Respond& respond)
    {
        HttpResponse response;
        if (request.path() == "/run-start") {
            ++starts;
            response.body = R"({"clockMs":5})";
        } else {
            ++heartbeats;
            response.body = R"({"clockMs":7,"born":3,"running":[["00000000000000aa.0.1.2",4,"c",50,6]],)"
                            R"("finished":[[9,"00000000000000bb.1.0.3",2,"failed","d"]]})";
        }
        if (isSilent)
            m_unanswered.push_back(respond);
        else
            respond(response);
    }

    Loop m_loop;
    std::vector<Respond> m_unanswered;
    HttpServer m_server;
};

// A relay node of zone "z".
class RelayNode {
public:
    explicit RelayNode(Duration maxDelay = {})
        : m_client(m_loop.context, 100)
        , guard(maxDelay, m_log, m_metrics)
        , m_relay(m_loop.context, m_client, guard)
        , m_server(m_loop.context, "127.0.0.1:0", {}, [this](const HttpRequest& request, Respond respond) {
            ++requests;
            m_relay.serve(request, std::move(respond));
        })
    {
        m_server.start();
    }
    ~RelayNode() { m_loop.stop(); }

    std::string address() const { return m_server.address(); }
    /** Stops answering, as a node that is cut off or frozen. */
    void freeze() { m_loop.stop(); }
    void setView(const EvacuationView& view)
    {
        m_loop.run([&] { guard.setView(view); });
    }
    std::atomic<int> requests = 0;

private:
    Loop m_loop;
    NodeLog m_log { "relay" };
    Metrics m_metrics;
    ExecutorClient m_client;

public:
    StartGuard guard;

private:
    OrderRelay m_relay;
    HttpServer m_server;
};

class Leader {
public:
    explicit Leader(const std::vector<RelayNode*>& relays, Duration maxDelay = {})
        : m_direct(m_loop.context, 100)
        , guard(maxDelay, m_log, m_metrics)
        , dispatcher(m_loop.context, m_direct, guard, m_log, m_metrics)
    {
        loop().run([&] {
            dispatcher.beginSession(17);
            for (int i = 0; i < executorCount; ++i)
                dispatcher.executorSeen("i-" + std::to_string(i), "z");
            for (std::size_t i = 0; i < relays.size(); ++i)
                dispatcher.nodeSeen("relay-" + std::to_string(i),
                    { relays[i]->address(), "z", 1.0 / (1 + i) }, std::chrono::steady_clock::now());
        });
    }
    ~Leader() { m_loop.stop(); }

    Loop& loop() { return m_loop; }

    // Sends heartbeats to all executors and returns their results.
    std::vector<HeartbeatResponse> heartbeats(const std::string& address, Duration timeout = answerTimeout)
    {
        std::promise<void> done;
        std::vector<HeartbeatResponse> results;
        loop().run([&] {
            for (int i = 0; i < executorCount; ++i)
                dispatcher.heartbeat({ address, "i-" + std::to_string(i), 17 }, 0, 1000, {}, timeout,
                    [&](HeartbeatResponse response) {
                        results.push_back(std::move(response));
                        if (results.size() == executorCount)
                            done.set_value();
                    });
        });
        REQUIRE(done.get_future().wait_for(testTimeout) == std::future_status::ready);
        return results;
    }

private:
    Loop m_loop;
    NodeLog m_log { "leader" };
    Metrics m_metrics;
    ExecutorClient m_direct;

public:
    StartGuard guard;
    OrderDispatcher dispatcher;
};

std::size_t count(const std::vector<HeartbeatResponse>& responses, OrderResult result)
{
    return static_cast<std::size_t>(std::count_if(
        responses.begin(), responses.end(), [&](const auto& it) { return it.order.result == result; }));
}

} // namespace

TEST_CASE("a relayed heartbeat brings the executor's whole report, and few requests reach the relay")
{
    Executors executors;
    RelayNode relay;
    Leader leader({ &relay });
    const auto responses = leader.heartbeats(executors.address());
    const ExecutorReport report { 7, 3, { { { "00000000000000aa", 0, 1, 2 }, 4, "c", 50, 6 } },
        { { 9, { "00000000000000bb", 1, 0, 3 }, 2, RunOutcome::Failed, "d" } } };
    for (const auto& it : responses) {
        CHECK(it.order.result == OrderResult::Ok);
        CHECK(it.report == report);
    }
    CHECK(executors.heartbeats == executorCount);
    CHECK(relay.requests < executorCount / 4);
}

TEST_CASE("a delay of the leader's own process is not taken for silence of its executors")
{
    Executors executors;
    RelayNode relay;
    Leader leader({ &relay });
    std::promise<OrderResponse> answer;
    leader.loop().run([&] {
        leader.dispatcher.start({ executors.address(), "i-1", 17 },
            { { "00000000000000aa", 0, 0, 0 }, 1, "work", {}, {}, 1000 }, 90ms,
            [&](OrderResponse response) { answer.set_value(std::move(response)); });
    });
    while (executors.starts == 0)
        std::this_thread::sleep_for(1ms);
    leader.loop().run([] { std::this_thread::sleep_for(900ms); }); // ten times the timeout of the start
    auto future = answer.get_future();
    REQUIRE(future.wait_for(testTimeout) == std::future_status::ready);
    CHECK(future.get().result == OrderResult::Ok);
}

TEST_CASE("calls that are lost with their relay end as unanswered, and later ones take another way")
{
    struct Row {
        const char* name;
        bool hasSecondRelay; // otherwise the leader sends directly
    };
    for (const auto& row : { Row { "another relay", true }, Row { "no other relay", false } }) {
        CAPTURE(std::string(row.name));
        Executors executors;
        RelayNode first;
        RelayNode second;
        Leader leader(row.hasSecondRelay ? std::vector { &first, &second } : std::vector { &first });
        CHECK(count(leader.heartbeats(executors.address()), OrderResult::Ok) == executorCount);
        first.freeze();
        const auto lost = leader.heartbeats(executors.address(), silenceTimeout);
        CHECK(count(lost, OrderResult::Ok) + count(lost, OrderResult::NoAnswer) == executorCount);
        CHECK(count(lost, OrderResult::NoAnswer) > 0); // none may be said not to have been carried out
        const int secondBefore = second.requests;
        CHECK(count(leader.heartbeats(executors.address()), OrderResult::Ok) == executorCount);
        CHECK((second.requests > secondBefore) == row.hasSecondRelay);
    }
}

TEST_CASE("executors that do not answer their relay are asked directly, and the relay is given up")
{
    Executors executors;
    RelayNode relay;
    Leader leader({ &relay });
    executors.isSilent = true;
    CHECK(count(leader.heartbeats(executors.address(), silenceTimeout), OrderResult::Ok) == 0);
    executors.isSilent = false;
    const int before = relay.requests;
    CHECK(count(leader.heartbeats(executors.address()), OrderResult::Ok) == executorCount);
    CHECK(relay.requests <= before + 1); // a request that waited for results
}

TEST_CASE("a relay refuses an earlier leader once a later one has used it")
{
    Executors executors;
    RelayNode relay;
    const auto send = [&](std::int64_t session) {
        RelayCall call;
        call.number = 1;
        call.kind = RelayCallKind::Start;
        call.target = { executors.address(), "i-1", session };
        call.timeout = 300ms;
        call.order = { { "00000000000000aa", 0, 0, 0 }, 1, "work", {}, {}, 1000 };
        boost::asio::io_context context;
        HttpClient client(context, 1, 1 << 20);
        unsigned status = 0;
        client.send(relay.address(), relayPost(encode(RelayRequest { session, {}, { call } })), 5s,
            [&](const HttpResult& result) { status = result.response ? result.response->status : 0; });
        context.run();
        return status;
    };
    CHECK(send(5) == 200);
    CHECK(send(7) == 200);
    CHECK(send(5) == 409);
    CHECK(send(7) == 200);
    while (executors.starts < 3)
        std::this_thread::sleep_for(1ms);
    CHECK(executors.starts == 3); // that of the refused request was not sent
}

namespace {

RelayCall startCall(const std::string& address, const std::string& domain)
{
    RelayCall call;
    call.number = 1;
    call.kind = RelayCallKind::Start;
    call.target = { address, "i-1", 17 };
    call.timeout = 5s;
    call.order = { { "00000000000000aa", 0, 0, 0 }, 1, "work", {}, {}, 1000 };
    call.domain = domain;
    return call;
}

// Sends one call to a relay, as a leader does, and returns its result.
RelayResult relayed(const RelayNode& relay, const RelayCall& call)
{
    std::vector<RelayResult> results;
    std::vector<RelayCall> calls { call };
    while (results.empty()) {
        boost::asio::io_context context;
        HttpClient client(context, 1, 1 << 20);
        client.send(relay.address(), relayPost(encode(RelayRequest { 17, 1s, calls })), testTimeout,
            [&](const HttpResult& result) {
                REQUIRE(result.response);
                results = decodeRelayResults(result.response->body).value();
            });
        context.run();
        calls.clear(); // the next requests wait for the result
    }
    return results.front();
}

OrderResult startThrough(Leader& leader, const std::string& address, const std::function<void()>& afterwards)
{
    std::promise<OrderResult> answer;
    leader.loop().run([&] {
        leader.dispatcher.start({ address, "i-1", 17 },
            { { "00000000000000aa", 0, 0, 0 }, 1, "", {}, {}, 1000 }, 5s,
            [&](const OrderResponse& response) { answer.set_value(response.result); });
        afterwards();
    });
    auto future = answer.get_future();
    REQUIRE(future.wait_for(testTimeout) == std::future_status::ready);
    return future.get();
}

constexpr Duration longBound = std::chrono::hours(1); // beyond any test

EvacuationView viewOf(std::vector<DomainEvacuation> evacuations, Duration age)
{
    return { std::move(evacuations), std::chrono::steady_clock::now() - age };
}

} // namespace

// A relay may have been stopped with an order in its hands, and its leader may have been replaced meanwhile.
TEST_CASE("a relay sends no start to a domain that it knows to be emptied, or whose requests it can't know")
{
    const auto old = 2 * longBound;
    struct Row {
        const char* name;
        Duration bound;
        EvacuationView view;
        const char* domain;
        OrderResult expected;
        bool isBlind;
    };
    const Row rows[] = {
        { "nothing is emptied", longBound, viewOf({}, {}), "z", OrderResult::Ok, false },
        { "emptied", longBound, viewOf({ { "z", 3 } }, {}), "z", OrderResult::Unreachable, false },
        { "emptied, and the view is old", longBound, viewOf({ { "z", 3 } }, old), "z",
            OrderResult::Unreachable, false },
        { "another domain is emptied", longBound, viewOf({ { "y", 3 } }, {}), "z", OrderResult::Ok, false },
        { "a relay that was stopped, with an old view", longBound, viewOf({}, old), "z",
            OrderResult::Unreachable, true },
        { "a relay that has read nothing", longBound, {}, "z", OrderResult::Unreachable, true },
        { "no bound, and nothing read", {}, {}, "z", OrderResult::Ok, false },
        { "no bound, emptied", {}, viewOf({ { "z", 3 } }, old), "z", OrderResult::Unreachable, false },
        { "a leader of an older release, which names no domain", longBound, viewOf({ { "z", 3 } }, {}), "",
            OrderResult::Ok, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Executors executors;
        RelayNode relay(row.bound);
        relay.setView(row.view);
        const auto result = relayed(relay, startCall(executors.address(), row.domain));
        CHECK(result.response.order.result == row.expected);
        CHECK(result.isRelayBlind == row.isBlind);
        CHECK(executors.starts == (row.expected == OrderResult::Ok ? 1 : 0));
        auto heartbeat = startCall(executors.address(), row.domain);
        heartbeat.kind = RelayCallKind::Heartbeat;
        CHECK(relayed(relay, heartbeat).response.order.result == OrderResult::Ok); // what runs there goes on
    }
}

TEST_CASE("a start that waits at the leader while its domain is emptied is not sent, whichever way it takes")
{
    for (const bool hasRelay : { false, true }) {
        CAPTURE(hasRelay);
        Executors executors;
        RelayNode relay;
        Leader leader(hasRelay ? std::vector { &relay } : std::vector<RelayNode*> {}, longBound);
        leader.loop().run([&] { leader.guard.setView(viewOf({}, {})); });
        CHECK(startThrough(leader, executors.address(), [] {}) == OrderResult::Ok);
        const auto empty = [&] { leader.guard.setView(viewOf({ { "z", 3 } }, {})); };
        if (!hasRelay)
            leader.loop().run(empty);
        CHECK(startThrough(leader, executors.address(), empty) == OrderResult::Unreachable);
        leader.loop().run([&] { leader.guard.setView(viewOf({}, 2 * longBound)); });
        CHECK(startThrough(leader, executors.address(), [] {}) == OrderResult::Unreachable);
        CHECK(executors.starts == 1);
        CHECK(count(leader.heartbeats(executors.address()), OrderResult::Ok) == executorCount);
    }
}

TEST_CASE(
    "a relay that can't read the operator's requests keeps no domain from work: starts take another way")
{
    Executors executors;
    RelayNode relay(longBound);
    Leader leader({ &relay });
    CHECK(startThrough(leader, executors.address(), [] {}) == OrderResult::Unreachable);
    CHECK(startThrough(leader, executors.address(), [] {}) == OrderResult::Ok);
    CHECK(executors.starts == 1);
}

TEST_CASE("the failure domain of a start and a relay's blindness survive their encoding")
{
    const auto request
        = decodeRelayRequest(encode(RelayRequest { 7, 1s, { startCall("127.0.0.1:1", "z") } }));
    REQUIRE(request);
    CHECK(request->calls.front().domain == "z");
    RelayResult result;
    result.isRelayBlind = true;
    CHECK(decodeRelayResults(encode(std::vector { result }))->front().isRelayBlind);
}

TEST_CASE("malformed relay messages are refused")
{
    google::protobuf::LogSilencer silencer;
    RelayCall call;
    call.target = { "127.0.0.1:1", "i-1", 7 };
    call.order = { { "00000000000000aa", 0, 0, 0 }, 1, "work", "c", "t", 1000 };
    const auto request = encode(RelayRequest { 7, 1s, { call, call } });
    REQUIRE(decodeRelayRequest(request));
    RelayResult result;
    result.response.report = ExecutorReport { 1, 2, { { call.order.task, 1, "c", 2, 3 } },
        { { 1, call.order.task, 1, RunOutcome::Done, "c" } } };
    const auto results = encode(std::vector { result, result });
    REQUIRE(decodeRelayResults(results));
    test::SeededRandom random(1);
    for (int i = 0; i < 20'000; ++i) {
        for (auto bytes : { request, results }) {
            for (auto changes = 1 + random.below(4); changes > 0; --changes)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            bytes.resize(random.below(bytes.size() + 1));
            const auto decodedRequest = decodeRelayRequest(bytes);
            if (decodedRequest)
                for (const auto& it : decodedRequest->calls)
                    CHECK(it.kind <= RelayCallKind::Heartbeat);
            const auto decodedResults = decodeRelayResults(bytes);
            if (decodedResults)
                for (const auto& it : *decodedResults)
                    CHECK(it.response.order.result <= OrderResult::Unreachable);
        }
    }
}
