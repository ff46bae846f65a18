#include "edge/ConfigurationWatcher.h"
#include "FleetPlatform.h"
#include "PacedServer.h"
#include "Wire.h"
#include "net/HttpServer.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

// A watcher on a thread of its own and a stand-in of the platform's store.
using namespace quay;
using namespace quay::edge;
using namespace quay::fleet;
using namespace quay::platform;

namespace {

constexpr auto testTimeout = 30s; // only fails tests that hang
constexpr Duration maxDelay = 5s;
constexpr Duration maxConfigurationDelay = 3s;

const std::string configuration = R"({"version":1,"routes":[],"services":[],"tenants":[]})";

class Watcher {
public:
    explicit Watcher(const std::string& storeAddress, Duration bound = maxDelay)
        : m_store(m_context, storeAddress)
        , m_watcher(
              m_context, m_store, m_log, { maxConfigurationDelay, bound },
              [this](const FleetConfiguration& it) { changed([&] { m_applied.push_back(it.version); }); },
              [this](const EvacuationView& view) { changed([&] { m_views.push_back(view); }); })
    {
        m_store.setObserver([this](StoreCall call, StoreOutcome outcome, Duration) {
            changed([&] {
                m_reads += call == StoreCall::Read && outcome == StoreOutcome::Ok ? 1 : 0;
                m_failures += outcome == StoreOutcome::NotApplied ? 1 : 0;
            });
        });
        std::signal(SIGPIPE, SIG_IGN); // NOLINT: as a node does
        m_thread = std::thread([this] { m_context.run(); });
        boost::asio::post(m_context, [this] { m_watcher.start(); });
    }
    ~Watcher()
    {
        m_context.stop();
        m_thread.join();
    }

    template <typename Condition> void waitUntil(const char* what, Condition condition)
    {
        std::unique_lock lock(m_mutex);
        if (!m_condition.wait_for(lock, testTimeout, condition))
            FAIL(std::string(what));
    }
    // Waits until the newest view names exactly these domains.
    EvacuationView viewWith(const std::vector<std::string>& domains)
    {
        EvacuationView view;
        waitUntil("the view has the requests", [&] {
            std::vector<std::string> named;
            for (const auto& it :
                m_views.empty() ? EvacuationView {}.evacuations : m_views.back().evacuations)
                named.push_back(it.domain);
            if (m_views.empty() || named != domains)
                return false;
            view = m_views.back();
            return true;
        });
        return view;
    }
    // The newest view, once there are more than `count`.
    EvacuationView viewAfter(std::size_t count)
    {
        EvacuationView view;
        waitUntil("there is a further view", [&] {
            if (m_views.size() <= count)
                return false;
            view = m_views.back();
            return true;
        });
        return view;
    }
    // A view that was read after this moment.
    EvacuationView nextView()
    {
        const auto after = std::chrono::steady_clock::now();
        EvacuationView view;
        waitUntil("the requests are read again", [&] {
            if (m_views.empty() || m_views.back().readAt < after)
                return false;
            view = m_views.back();
            return true;
        });
        return view;
    }
    void waitForFailures(int more)
    {
        int before = 0;
        waitUntil("now", [&] { return before = m_failures, true; });
        waitUntil("calls fail", [&] { return m_failures >= before + more; });
    }
    std::vector<EvacuationView> views()
    {
        const std::lock_guard lock(m_mutex);
        return m_views;
    }
    std::vector<std::int64_t> appliedVersions()
    {
        const std::lock_guard lock(m_mutex);
        return m_applied;
    }
    void waitUntilVersion(std::int64_t version)
    {
        waitUntil(
            "the version is in force", [&] { return !m_applied.empty() && m_applied.back() == version; });
    }
    // What `read` returns on the watcher's thread.
    template <typename Read> auto on(Read read)
    {
        std::packaged_task<decltype(read(m_watcher))()> task([&] { return read(m_watcher); });
        boost::asio::post(m_context, [&] { task(); });
        return task.get_future().get();
    }
    int reads()
    {
        const std::lock_guard lock(m_mutex);
        return m_reads;
    }

private:
    template <typename Action> void changed(Action action)
    {
        {
            const std::lock_guard lock(m_mutex);
            action();
        }
        m_condition.notify_all();
    }

    std::mutex m_mutex; // guards what the watcher's thread and the test use
    std::condition_variable m_condition;
    std::vector<EvacuationView> m_views;
    std::vector<std::int64_t> m_applied;
    int m_reads = 0;
    int m_failures = 0;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work
        = boost::asio::make_work_guard(m_context);
    NodeLog m_log { "watcher" };
    StoreClient m_store;
    ConfigurationWatcher m_watcher;
    std::thread m_thread;
};

} // namespace

TEST_CASE("requests to empty domains are read at the start and followed, and odd ones lose no other")
{
    standin::FleetPlatform platform(0);
    platform.configure(configuration);
    platform.writeRow("op", "", "evacuate/before", "{}");
    platform.writeRow("op", "", "wave/1", "{}");
    Watcher watcher(platform.storeAddress());
    const auto first = watcher.viewWith({ "before" });
    CHECK(first.readAt != Instant {});
    CHECK(watcher.reads() == 1); // the configuration and the requests together
    platform.writeRow("op", "", "evacuate/", "{}"); // names no domain
    platform.writeRow("op", "other", "evacuate/elsewhere", "{}"); // the operator doesn't write there
    platform.writeRow("op", "", "evacuate/odd", "{"); // its key says all that matters
    platform.writeEncodedRow("op", "", "evacuate/odder", "!!!!");
    platform.writeRow("op", "", "evacuate/z", "{}");
    watcher.viewWith({ "before", "odd", "odder", "z" });
    platform.removeRow("op", "other", "evacuate/elsewhere");
    platform.removeRow("op", "", "evacuate/");
    platform.removeRow("op", "", "evacuate/odd");
    platform.removeRow("op", "", "evacuate/odder");
    const auto some = watcher.viewWith({ "before", "z" });
    platform.writeRow("op", "", "evacuate/before", "{}"); // the same request again
    const auto again = watcher.nextView();
    REQUIRE(again.evacuations.size() == 2);
    CHECK(again.evacuations[0].version > some.evacuations[0].version);
    CHECK(again.evacuations[1] == some.evacuations[1]);
    platform.removeRow("op", "", "evacuate/before");
    platform.removeRow("op", "", "evacuate/z");
    CHECK(watcher.viewWith({}).evacuations.empty());
    CHECK(watcher.reads() == 1);
}

TEST_CASE("after its history was discarded the store is read in full: requests and removals in the gap count")
{
    standin::FleetPlatform platform(0);
    platform.configure(configuration);
    platform.writeRow("op", "", "evacuate/a", "{}");
    platform.writeRow("op", "", "evacuate/b", "{}");
    Watcher watcher(platform.storeAddress());
    watcher.viewWith({ "a", "b" });
    platform.setStoreUnavailable(true);
    watcher.waitForFailures(1); // no poll waits for the changes
    platform.removeRow("op", "", "evacuate/a");
    platform.writeRow("op", "", "evacuate/c", "{}");
    platform.truncateHistory();
    platform.setStoreUnavailable(false);
    watcher.viewWith({ "b", "c" });
    CHECK(watcher.reads() == 2);
}

TEST_CASE(
    "while the store does not answer, the view stays as it is and grows old until nothing may be started")
{
    standin::FleetPlatform platform(0);
    platform.configure(configuration);
    Watcher watcher(platform.storeAddress());
    watcher.viewWith({});
    platform.setStoreUnavailable(true);
    watcher.waitForFailures(1);
    platform.writeRow("op", "", "evacuate/z", "{}");
    const auto acknowledgedAt = std::chrono::steady_clock::now();
    const auto last = watcher.views().back();
    watcher.waitForFailures(3);
    CHECK(watcher.views().back() == last);
    CHECK(last.readAt <= acknowledgedAt);
    CHECK(mayStartIn(last, "z", maxDelay, last.readAt));
    CHECK_FALSE(mayStartIn(last, "z", maxDelay, last.readAt + maxDelay));
    platform.setStoreUnavailable(false);
    CHECK(watcher.viewWith({ "z" }).readAt >= acknowledgedAt);
}

namespace {

// A store whose polls are answered by the test, with the longest wait that any of them asked for.
class HeldStore {
public:
    HeldStore()
        : m_server(m_context, "127.0.0.1:0", {},
            [this](const HttpRequest& request, Respond respond) { serve(request, std::move(respond)); })
    {
        m_server.start();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~HeldStore()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const { return m_server.address(); }
    std::atomic<int> polls = 0;
    std::atomic<int> longestWaitMs = 0;
    std::atomic<int> lastWaitMs = 0;
    void awaitPoll(int count)
    {
        while (polls < count)
            std::this_thread::sleep_for(1ms);
    }
    // Answers the newest poll at the end of its wait, without a change, and returns when it arrived.
    Instant answerPollAfterWait()
    {
        std::promise<Instant> arrived;
        boost::asio::post(m_context, [&] { arrived.set_value(m_pollArrivedAt); });
        std::this_thread::sleep_until(
            arrived.get_future().get() + std::chrono::milliseconds(lastWaitMs.load()));
        return answerPoll();
    }
    // Answers the newest poll and returns when it arrived.
    Instant answerPoll(const std::string& body = R"({"rows":[],"ver":5})")
    {
        std::promise<Instant> arrived;
        boost::asio::post(m_context, [&] {
            HttpResponse response;
            response.body = body;
            std::exchange(m_poll, nullptr)(response);
            arrived.set_value(m_pollArrivedAt);
        });
        return arrived.get_future().get();
    }

private:
    void serve(const HttpRequest& request, Respond respond)
    {
        if (request.path() == "/rows-feed") {
            lastWaitMs = std::stoi(request.query("waitMs"));
            longestWaitMs = std::max(longestWaitMs.load(), lastWaitMs.load());
            m_poll = std::move(respond);
            m_pollArrivedAt = std::chrono::steady_clock::now();
            ++polls;
            return;
        }
        HttpResponse response;
        response.body = R"({"rows":[{"table":"op","part":"","key":"config","ver":5,"value":")"
            + encodeBase64(configuration) + R"("}],"hasMore":false,"ver":5})";
        respond(response);
    }

    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work
        = boost::asio::make_work_guard(m_context);
    HttpServer m_server;
    Respond m_poll;
    Instant m_pollArrivedAt;
    std::thread m_thread;
};

} // namespace

// The store may have made its answer before the request was written, and the answer comes after it.
TEST_CASE("a view counts as read when its poll was sent, and polls are well below the bound")
{
    struct Row {
        Duration bound;
        int longestWaitMs;
    };
    for (const auto& row : { Row { 5s, 1250 }, Row { 2s, 500 }, Row { 1ms, 100 }, Row { {}, 1400 },
             Row { std::chrono::hours(1), 1400 } }) {
        CAPTURE(row.longestWaitMs);
        HeldStore store;
        Watcher watcher(store.address(), row.bound);
        store.awaitPoll(1);
        const auto arrivedAt = store.answerPoll();
        CHECK(watcher.viewAfter(1).readAt <= arrivedAt);
        CHECK(store.longestWaitMs == row.longestWaitMs);
    }
}

namespace {

std::string configurationWith(int version, int queues)
{
    auto text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int i = 0; i < queues; ++i)
        text += (i == 0 ? "" : ",") + std::string(R"({"name":"q)") + std::to_string(i)
            + R"(","host":"h","prefix":"/)" + std::to_string(i) + R"(/","service":"s"})";
    return text + R"(],"services":[{"name":"s"}],"tenants":[]})";
}

std::string configurationRow(int version, const std::string& text)
{
    return R"({"table":"op","part":"","key":"config","ver":)" + std::to_string(version) + R"(,"value":")"
        + encodeBase64(text) + "\"}";
}

std::string rowsAnswer(const std::string& rows, int version)
{
    return R"({"rows":[)" + rows + R"(],"hasMore":false,"ver":)" + std::to_string(version) + "}";
}

} // namespace

// Guards against issue 55: a full read had 800 ms in all and began anew after it, so a large configuration
// never reached a node with a thin link.
TEST_CASE(
    "a configuration that takes longer to arrive than a read may be silent is read, by each kind of read")
{
    constexpr Duration pause = 100ms;
    constexpr std::size_t chunks = 25; // 2.5 s in all
    struct Row {
        const char* what;
        int slowVersion; // whose answers are paced
    };
    for (const auto& row : { Row { "full read", 1 }, Row { "change feed", 2 } }) {
        CAPTURE(row.what);
        const auto answerWith = [](int version) {
            return rowsAnswer(configurationRow(version, configurationWith(version, 500)), version);
        };
        test::PacedServer store([&](const std::string& target, test::Pace& pace) {
            const bool isFeed = target.starts_with("/rows-feed");
            const bool isUpToDate = isFeed && target.find("after=2&") != std::string::npos;
            if (isUpToDate) {
                pace = { 10, pause / 2 }; // as a poll that waits
                return rowsAnswer({}, 2);
            }
            auto body = answerWith(isFeed ? 2 : 1);
            if ((isFeed ? 2 : 1) == row.slowVersion) {
                pace.chunkBytes = body.size() / chunks;
                pace.pause = pause;
            }
            return body;
        });
        Watcher watcher(store.address());
        watcher.waitUntilVersion(2);
    }
}

// Guards against issue 55: a node that had been away applied each version that it had missed in its turn.
TEST_CASE("of the versions in one answer only the newest valid one is applied, and never an older one")
{
    struct Row {
        std::vector<std::pair<int, std::string>> answer; // by the version of the row
        std::vector<std::int64_t> applied;
    };
    const std::string invalid = R"({"version":9,"routes":[{"name":7}]})";
    const Row rows[] = {
        { { { 6, configurationWith(2, 1) }, { 7, configurationWith(5, 1) }, { 8, configurationWith(8, 1) } },
            { 1, 8 } },
        { { { 6, configurationWith(2, 1) }, { 7, configurationWith(5, 1) }, { 8, invalid } }, { 1, 5 } },
        { { { 6, invalid } }, { 1 } },
        { { { 6, configurationWith(1, 1) } }, { 1 } },
        { { { 6, configurationWith(0, 1) } }, { 1 } },
    };
    for (const auto& row : rows) {
        HeldStore store;
        Watcher watcher(store.address());
        std::string answer;
        for (const auto& [version, text] : row.answer)
            answer += (answer.empty() ? "" : ",") + configurationRow(version, text);
        store.awaitPoll(1);
        store.answerPoll(rowsAnswer(answer, 8));
        store.awaitPoll(2);
        CHECK(watcher.appliedVersions() == row.applied);
    }
}

TEST_CASE("a configuration from a peer is applied only if it is valid and newer")
{
    struct Row {
        std::string text;
        std::int64_t version;
    };
    const Row rows[] = {
        { configurationWith(3, 1), 3 },
        { configurationWith(1, 2), 1 },
        { configurationWith(0, 1), 1 },
        { R"({"version":9,"routes":[{"name":7}]})", 1 },
        { "{", 1 },
        { "", 1 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.text);
        HeldStore store;
        Watcher watcher(store.address());
        store.awaitPoll(1);
        watcher.on([&](ConfigurationWatcher& it) { it.applyFromPeer(row.text); });
        CHECK(watcher.on([](ConfigurationWatcher& it) { return it.version(); }) == row.version);
    }
}

// Times are relative to the moment as of which the store has shown version 1 to be the newest.
TEST_CASE("a configuration is current for as long as the bound, and a peer confirms only its own version")
{
    struct Row {
        std::int64_t confirmedVersion; // by a peer
        Duration confirmedAt;
        Duration now;
        bool isCurrent;
    };
    const Row rows[] = {
        { 0, 0ms, maxConfigurationDelay - 1ms, true }, { 0, 0ms, maxConfigurationDelay, false },
        { 1, 500ms, maxConfigurationDelay + 499ms, true }, { 1, 500ms, maxConfigurationDelay + 500ms, false },
        { 1, -500ms, maxConfigurationDelay - 1ms, true },
        { 2, 500ms, maxConfigurationDelay, false }, // the node holds an older one
        { 0, 500ms, maxConfigurationDelay, false }, // the peer holds an older one
    };
    for (const auto& row : rows) {
        CAPTURE(row.confirmedVersion);
        CAPTURE(row.now.count());
        HeldStore store;
        Watcher watcher(store.address());
        store.awaitPoll(1);
        CHECK(watcher.on([&](ConfigurationWatcher& it) {
            const auto start = it.currentAsOf();
            it.confirmByPeer(row.confirmedVersion, start + row.confirmedAt);
            return it.isCurrent(start + row.now);
        }) == row.isCurrent);
    }
}

// Guards against an age that grows by a poll's whole wait: the store is asked for whole milliseconds.
TEST_CASE("a poll that ends without a change shows that the configuration was current at the end of its wait")
{
    HeldStore store;
    Watcher watcher(store.address(), 1s);
    store.awaitPoll(1);
    Instant notSentBefore {}; // of the next poll
    for (int poll = 1; poll <= 8; ++poll) {
        const std::chrono::milliseconds wait(store.lastWaitMs);
        const auto arrivedAt = store.answerPollAfterWait();
        store.awaitPoll(poll + 1);
        const auto asOf = watcher.on([](ConfigurationWatcher& it) { return it.currentAsOf(); });
        CHECK(asOf >= notSentBefore + wait);
        CHECK(asOf <= arrivedAt + wait);
        notSentBefore = arrivedAt + wait;
    }
}
