#include "net/HttpClient.h"
#include "quay-faults/FaultProxy.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <poll.h>
#include <thread>

using namespace quay;
using namespace quay::faults;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int timeoutMs = 20'000; // an expected event that takes longer is a failure
constexpr int silenceMs = 60; // too short a wait may miss a wrong delivery but never fails a correct proxy

// Responds to every line with "echo:" and the line, and counts the lines.
class EchoServer {
public:
    explicit EchoServer(asio::io_context& context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    unsigned lines() const { return m_lines; }

private:
    struct Connection {
        explicit Connection(tcp::socket theSocket)
            : socket(std::move(theSocket))
        {
        }
        tcp::socket socket;
        asio::streambuf input;
        std::string output;
    };

    void accept()
    {
        m_acceptor.async_accept([this](auto ec, tcp::socket socket) {
            if (ec)
                return;
            auto connection = std::make_shared<Connection>(std::move(socket));
            read(connection);
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(
            connection->socket, connection->input, '\n', [this, connection](auto ec, std::size_t) {
                if (ec)
                    return;
                std::istream stream(&connection->input);
                std::string line;
                std::getline(stream, line);
                ++m_lines;
                connection->output = "echo:" + line + "\n";
                asio::async_write(connection->socket, asio::buffer(connection->output),
                    [this, connection](auto error, std::size_t) {
                        if (!error)
                            read(connection);
                    });
            });
    }

    tcp::acceptor m_acceptor;
    std::atomic<unsigned> m_lines = 0;
};

// Runs the proxy and its target on one thread.
class ProxyFixture {
public:
    ProxyFixture()
        : m_echo(m_context)
        , m_proxy(std::make_unique<FaultProxy>(m_context, "127.0.0.1:0"))
        , m_control(m_proxy->address())
        , m_thread([this] { m_context.run(); })
    {
    }
    ProxyFixture(const ProxyFixture&) = delete;
    ProxyFixture& operator=(const ProxyFixture&) = delete;
    ~ProxyFixture()
    {
        m_context.stop();
        m_thread.join();
    }

    // Sends a request to the control address and returns the response.
    HttpResponse control(const std::string& method, const std::string& target, const std::string& body = {})
    {
        asio::io_context context(1);
        HttpClient client(context, 1, 1024 * 1024);
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        HttpResult outcome;
        client.send(m_control, std::move(request), std::chrono::milliseconds(timeoutMs),
            [&](HttpResult result) { outcome = std::move(result); });
        context.run();
        REQUIRE(outcome.response.has_value());
        return *outcome.response;
    }

    std::string addRoute()
    {
        const boost::json::object spec { { "name", "r" }, { "target", m_echo.address() } };
        const auto response = control("POST", "/v1/routes", boost::json::serialize(spec));
        REQUIRE(response.status == 200);
        return std::string(boost::json::parse(response.body).at("address").as_string());
    }

    void fault(const std::string& json) { REQUIRE(control("POST", "/v1/faults", json).status == 200); }

    std::int64_t count(const char* field)
    {
        const auto value = boost::json::parse(control("GET", "/v1/routes").body);
        return value.at("routes").at(0).at(field).to_number<std::int64_t>();
    }

    unsigned linesAtTarget() const { return m_echo.lines(); }

    template <typename Condition> bool waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return condition();
    }

private:
    asio::io_context m_context { 1 };
    EchoServer m_echo;
    std::unique_ptr<FaultProxy> m_proxy;
    std::string m_control;
    std::thread m_thread;
};

// Blocking TCP client.
class Caller {
public:
    explicit Caller(const std::string& address)
        : m_socket(m_context)
    {
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        m_socket.connect({ asio::ip::address_v4::loopback(), port });
    }

    void send(const std::string& line)
    {
        boost::system::error_code ignored; // readLine() reports a reset connection
        asio::write(m_socket, asio::buffer(line + "\n"), ignored);
    }

    // Returns the next line, "silent" on timeout or "reset" if the connection has ended.
    std::string readLine(int waitMs)
    {
        while (m_input.find('\n') == std::string::npos) {
            pollfd entry { m_socket.native_handle(), POLLIN, 0 };
            if (::poll(&entry, 1, waitMs) <= 0)
                return "silent";
            char bytes[256];
            boost::system::error_code ec;
            const auto size = m_socket.read_some(asio::buffer(bytes), ec);
            if (ec)
                return "reset";
            m_input.append(bytes, size);
        }
        const auto end = m_input.find('\n');
        auto line = m_input.substr(0, end);
        m_input.erase(0, end + 1);
        return line;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_input;
};

struct Row {
    const char* name;
    const char* fault;
    const char* duringFault; // what readLine() returns after the caller has sent "a"
    unsigned linesAtTarget; // 1 if "a" reached the target while the fault was active
    const char* end; // the command that ends the fault
    std::vector<std::string> after; // lines that the same connection then receives after sending "b"
};

} // namespace

TEST_CASE("faults proxy: each fault takes effect and can be ended")
{
    const std::vector<Row> rows {
        { "no fault", R"({"route":"r","kind":"clear"})", "echo:a", 1, R"({"route":"r","kind":"clear"})",
            { "echo:b" } },
        { "cut of requests", R"({"route":"r","kind":"cut","direction":"request"})", "silent", 0,
            R"({"route":"r","kind":"release"})", { "echo:a", "echo:b" } },
        { "cut of responses", R"({"route":"r","kind":"cut","direction":"response"})", "silent", 1,
            R"({"route":"r","kind":"release","direction":"response"})", { "echo:a", "echo:b" } },
        { "cut both ways", R"({"route":"r","kind":"hold"})", "silent", 0, R"({"route":"r","kind":"clear"})",
            { "echo:a", "echo:b" } },
        { "one answer lost", R"({"route":"r","kind":"lose_answers","answers":1})", "silent", 1,
            R"({"route":"r","kind":"release"})", { "echo:b" } },
        { "answer lost by bytes", R"({"route":"r","kind":"lose_answers","bytes":7})", "silent", 1,
            R"({"route":"r","kind":"release"})", { "echo:b" } },
        { "drop", R"({"route":"r","kind":"drop"})", "reset", 0, R"({"route":"r","kind":"clear"})",
            { "reset" } },
        { "reset", R"({"route":"r","kind":"reset"})", "reset", 0, R"({"route":"r","kind":"clear"})",
            { "reset" } },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        ProxyFixture fixture;
        const auto address = fixture.addRoute();
        Caller caller(address);
        caller.send("first");
        CHECK(caller.readLine(timeoutMs) == "echo:first");

        fixture.fault(row.fault);
        caller.send("a");
        const bool expectsSilence = std::string(row.duringFault) == "silent";
        CHECK(caller.readLine(expectsSilence ? silenceMs : timeoutMs) == row.duringFault);
        CHECK(fixture.linesAtTarget() == 1 + row.linesAtTarget);

        fixture.fault(row.end);
        caller.send("b");
        for (const auto& line : row.after)
            CHECK(caller.readLine(timeoutMs) == line);
        Caller later(address);
        later.send("later");
        CHECK(later.readLine(timeoutMs) == "echo:later");
    }
}

TEST_CASE("faults proxy: drop resets every new connection")
{
    ProxyFixture fixture;
    const auto address = fixture.addRoute();
    fixture.fault(R"({"route":"r","kind":"drop"})");
    for (int i = 0; i < 3; ++i) {
        Caller caller(address);
        CHECK(caller.readLine(timeoutMs) == "reset");
    }
    CHECK(fixture.linesAtTarget() == 0);
    CHECK(fixture.count("resets") == 3);
}

TEST_CASE("faults proxy: a delay applies in each direction and keeps the order")
{
    ProxyFixture fixture;
    Caller caller(fixture.addRoute());
    fixture.fault(R"({"route":"r","kind":"delay","delay_ms":40,"jitter_ms":30,"seed":7})");
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 20; ++i)
        caller.send(std::to_string(i));
    for (int i = 0; i < 20; ++i)
        CHECK(caller.readLine(timeoutMs) == "echo:" + std::to_string(i));
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(80));
}

TEST_CASE("faults proxy: lost answers are counted and responses pass again after the requested number")
{
    ProxyFixture fixture;
    Caller caller(fixture.addRoute());
    fixture.fault(R"({"route":"r","kind":"lose_answers","answers":3})");
    for (int i = 0; i < 3; ++i) {
        caller.send("x");
        const auto expected = (i + 1) * 7;
        CHECK(fixture.waitUntil([&] { return fixture.count("lost_bytes") == expected; }));
    }
    caller.send("y");
    CHECK(caller.readLine(timeoutMs) == "echo:y");
    CHECK(fixture.linesAtTarget() == 4);
    CHECK(fixture.count("response_bytes") == 7);
}

TEST_CASE("faults proxy: a script applies its faults at their times")
{
    asio::io_context context(1);
    EchoServer echo(context);
    FaultProxy proxy(context, "127.0.0.1:0");
    Reason reason;
    const auto script = parseScript("[[routes]]\nname = \"r\"\ntarget = \"" + echo.address()
            + "\"\n[[faults]]\nat_ms = 50\nroute = \"r\"\nkind = \"release\"\n"
              "[[faults]]\nroute = \"r\"\nkind = \"cut\"\n",
        reason);
    REQUIRE(script.has_value());
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(proxy.run(*script, reason));
    std::thread thread([&] { context.run(); });
    const auto line = proxy.routeLines();
    Caller caller(line.substr(2, line.size() - 3));
    caller.send("a");
    CHECK(caller.readLine(timeoutMs) == "echo:a");
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(50));
    context.stop();
    thread.join();
}

TEST_CASE("faults proxy: invalid commands are refused")
{
    struct InvalidCall {
        const char* path;
        const char* body;
        unsigned status;
    };
    const std::vector<InvalidCall> rows { { "/v1/faults", "{", 400 },
        { "/v1/faults", R"({"route":"r","kind":"melt"})", 400 },
        { "/v1/faults", R"({"route":"r","kind":"cut","direction":"up"})", 400 },
        { "/v1/faults", R"({"route":"r","kind":"cut","colour":"red"})", 400 },
        { "/v1/faults", R"({"route":"r","kind":"lose_answers"})", 400 },
        { "/v1/faults", R"({"route":"r","kind":"delay","delay_ms":-1})", 400 },
        { "/v1/faults", R"({"route":"other","kind":"cut"})", 404 },
        { "/v1/routes", R"({"name":"r","target":"127.0.0.1:1"})", 400 },
        { "/v1/routes", R"({"name":"s"})", 400 }, { "/v1/routes", R"({"name":"s","target":"nowhere"})", 400 },
        { "/v1/other", "{}", 404 } };
    ProxyFixture fixture;
    fixture.addRoute();
    for (const auto& row : rows) {
        CAPTURE(row.body);
        CHECK(fixture.control("POST", row.path, row.body).status == row.status);
    }
}
