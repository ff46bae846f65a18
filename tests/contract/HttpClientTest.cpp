#include "net/HttpClient.h"
#include "PacedServer.h"
#include "net/HttpServer.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <memory>
#include <vector>

using namespace quay;

namespace {

long openFileDescriptors()
{
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::distance(begin(files), end(files));
}

} // namespace

TEST_CASE("an HTTP client keeps no more idle connections than its limit")
{
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<HttpServer>> servers;
    HttpClient client(context, 2, 1024);
    client.setMaxIdleConnections(3);
    const auto before = openFileDescriptors();
    for (int i = 0; i < 10; ++i) {
        servers.push_back(std::make_unique<HttpServer>(context, "127.0.0.1:0", HttpLimits {},
            [](const HttpRequest&, const Respond& respond) { respond(HttpResponse {}); }));
        servers.back()->start();
    }
    const auto withServers = openFileDescriptors();
    for (int pass = 0; pass < 2;
         ++pass) { // the second pass reconnects to servers whose connection was closed
        for (const auto& server : servers) {
            bool answered = false;
            client.send(server->address(), HttpRequest {}, 10s,
                [&](const HttpResult& result) { answered = result.response.has_value(); });
            while (!answered)
                context.run_one();
        }
    }
    // 6 descriptors: both ends of the three connections that may stay idle.
    while (openFileDescriptors() > withServers + 6 && context.run_one_for(10s)) { }
    CHECK(openFileDescriptors() == withServers + 6);
    CHECK(before < withServers);
}

TEST_CASE("destroying an HTTP client closes its idle connections")
{
    boost::asio::io_context context(1);
    HttpServer server(context, "127.0.0.1:0", HttpLimits {},
        [](const HttpRequest&, const Respond& respond) { respond(HttpResponse {}); });
    server.start();
    const auto call = [&] {
        HttpClient client(context, 1, 1024);
        bool answered = false;
        client.send(server.address(), HttpRequest {}, 10s,
            [&](const HttpResult& result) { answered = result.response.has_value(); });
        while (!answered)
            context.run_one();
    };
    call();
    while (context.poll_one()) { }
    const auto before = openFileDescriptors();
    for (int i = 0; i < 20; ++i)
        call();
    // The server closes its side of a connection once it has read the end of stream.
    while (openFileDescriptors() > before && context.run_one_for(10s)) { }
    CHECK(openFileDescriptors() <= before);
}

// A line end in an address would add headers to the request of a client that writes it into "Host".
TEST_CASE("a request to an address that is not an IP and a port fails as not sent")
{
    boost::asio::io_context context(1);
    HttpClient client(context, 1, 1024);
    for (const std::string address : { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1",
             "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:http", "127.0.0.1:80 ", " 127.0.0.1:80",
             "127.0.0.1:80\r\nX: y", "127.0.0.1\r\nX: y:80", "fe80::1%1\r\nX: y:80", "host:80", "[::1]:80",
             "300.0.0.1:80", "http://127.0.0.1:80" }) {
        CAPTURE(address);
        std::string detail;
        bool mayHaveArrived = true;
        client.send(address, HttpRequest {}, 2s, [&](const HttpResult& result) {
            mayHaveArrived = result.mayHaveArrived || result.response.has_value();
            detail = result.reason.detail;
        });
        context.restart();
        context.run_for(3s);
        CHECK_FALSE(mayHaveArrived);
        CHECK(detail.find("is not IP:PORT") != std::string::npos);
    }
}

// Guards against issue 55: a response that arrived slowly, but steadily, was abandoned and requested anew.
TEST_CASE("a response that keeps arriving may take longer than its start, one that stalls may not")
{
    constexpr std::size_t bodyBytes = 10000;
    constexpr std::size_t chunkBytes = 500;
    struct Row {
        const char* what;
        RequestTimeout timeout;
        test::Pace pace;
        bool isAnswered;
    };
    const Row rows[] = {
        { "all at once", 30s, {}, true },
        { "moving, but it has to be complete", 300ms, { chunkBytes, 50ms }, false },
        { "moving", { 2s, 5s, 30s }, { chunkBytes, 150ms }, true },
        { "never begun", { 300ms, 30s, 30s }, { chunkBytes, 0ms, 0 }, false },
        { "stalled in the middle", { 30s, 300ms, 30s }, { chunkBytes, 0ms, 10 }, false },
        { "moving for too long", { 300ms, 5s, 600ms }, { chunkBytes, 100ms }, false },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        test::PacedServer server([&](const std::string&, test::Pace& pace) {
            pace = row.pace;
            return std::string(bodyBytes, 'x');
        });
        boost::asio::io_context context(1);
        HttpClient client(context, 1, bodyBytes);
        std::optional<HttpResult> result;
        client.send(
            server.address(), HttpRequest {}, row.timeout, [&](const HttpResult& it) { result = it; });
        while (!result)
            context.run_one();
        CHECK(result->response.has_value() == row.isAnswered);
        if (row.isAnswered)
            CHECK(result->response->body.size() == bodyBytes);
        else
            CHECK(result->mayHaveArrived);
    }
}

// Guards against reads of a megabyte that took 22 s on a node with a busy event loop.
TEST_CASE("a large response takes few turns of the event loop")
{
    constexpr std::size_t bodyBytes = 1024 * 1024;
    constexpr std::size_t bytesPerTurn = 4096;
    test::PacedServer server([](const std::string&, test::Pace&) { return std::string(bodyBytes, 'x'); });
    boost::asio::io_context context(1);
    HttpClient client(context, 1, bodyBytes);
    for (int pass = 0; pass < 2; ++pass) { // the second one reuses the connection
        std::optional<HttpResult> result;
        client.send(server.address(), HttpRequest {}, 30s, [&](const HttpResult& it) { result = it; });
        std::size_t turns = 0;
        while (!result)
            turns += context.run_one();
        REQUIRE(result->response);
        CHECK(result->response->body.size() == bodyBytes);
        CHECK(turns < bodyBytes / bytesPerTurn);
    }
}
