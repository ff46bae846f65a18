#include "StoreClient.h"
#include "net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace quay;
using namespace quay::platform;

namespace {

StoreResult readPage(const std::string& body)
{
    boost::asio::io_context context(1);
    HttpServer server(context, "127.0.0.1:0", HttpLimits {}, [&](const HttpRequest&, const Respond& respond) {
        HttpResponse response;
        response.body = body;
        respond(response);
    });
    server.start();
    StoreClient store(context, server.address());
    std::optional<StoreResult> result;
    store.scanPartition("servers", "", {}, {}, 0, 10s, [&](StoreResult answer) { result = answer; });
    while (!result)
        context.run_one();
    return *result;
}

} // namespace

// A reader that refuses the page asks for it again without end, and hears of no other row.
TEST_CASE("a row with a name or value that can't be decoded does not hide the other rows of its page")
{
    struct Row {
        const char* name;
        std::string row;
    };
    const Row rows[] = {
        { "a value that is not base64", R"({"key":"odd","value":"!!!!","ver":7})" },
        { "a value of another type", R"({"key":"odd","value":[[]],"ver":7})" },
        { "a version beyond 64 bits", R"({"key":"odd","value":"","ver":99999999999999999999})" },
        { "a name of another type", R"({"key":7,"value":"","ver":7})" },
        { "not an object", "7" },
        { "a name that is not UTF-8", "{\"key\":\"\xc3\xff\",\"value\":\"\",\"ver\":7}" },
        { "half a surrogate pair first", R"({"key":"\ud800","value":"","ver":7})" },
        { "half a surrogate pair before text", R"({"key":"\ud800a\\","value":"","ver":7})" },
        { "half a surrogate pair before an escape", R"({"key":"\ud800\n","value":"","ver":7})" },
        { "two first halves", R"({"key":"\uD800\uD800","value":"","ver":7})" },
        { "a second half alone", R"({"key":"\\\udc00","value":"","ver":7})" },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        const auto result = readPage(R"({"rows":[{"key":"a","value":"YQ==","ver":6},)" + row.row
            + R"(,{"key":"\ud83d\ude00","value":"Yg==","ver":8}],"hasMore":false,"ver":9})");
        CHECK(result.outcome == StoreOutcome::Ok);
        CHECK(result.version == 9);
        CHECK(result.rows.size() >= 2);
        if (result.rows.size() < 2)
            continue;
        CHECK(result.rows.front().value == "a");
        CHECK(result.rows.back().key == "\xf0\x9f\x98\x80");
        CHECK(result.rows.back().value == "b");
    }
}
