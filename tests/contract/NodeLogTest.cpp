#include "edge/NodeLog.h"
#include "edge/EventCatalogue.h"
#include "quayctl/Timeline.h"

#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <regex>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace quay;

namespace {

std::string contentOf(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

TEST_CASE("the event catalogue has every event that the code logs and equals docs/EDGE-EVENTS.md")
{
    CHECK(contentOf(QUAY_SOURCE_DIR "/docs/EDGE-EVENTS.md") == edge::eventCataloguePage());
    const std::regex call(R"re((?:log\.write|writeText|note)\(\s*"([a-z_]+)")re");
    for (const char* folder : { "/src/edge", "/src/fleet" }) {
        for (const auto& entry : std::filesystem::directory_iterator(std::string(QUAY_SOURCE_DIR) + folder)) {
            const auto text = contentOf(entry.path());
            for (std::sregex_iterator it(text.begin(), text.end(), call), end; it != end; ++it) {
                CAPTURE((*it)[1].str());
                CHECK_FALSE(edge::eventNumber((*it)[1].str()).empty());
            }
        }
    }
    std::set<unsigned> numbers;
    for (const auto& event : edge::eventCatalogue())
        CHECK(numbers.insert(event.number).second);
}

TEST_CASE("a stalled reader of the log output does not block the threads that log")
{
    int pipeEnds[2] = { -1, -1 };
    REQUIRE(pipe(pipeEnds) == 0);
    const int output = dup(STDOUT_FILENO);
    std::fflush(stdout);
    REQUIRE(dup2(pipeEnds[1], STDOUT_FILENO) >= 0); // nobody reads the pipe
    {
        edge::NodeLog log("n");
        const std::string wide(400, 'x');
        // More than the pipe and the ring buffer hold, under different event names so that the rate limit
        // does not drop it.
        for (int i = 0; i < 20'000; ++i)
            log.write("event_" + std::to_string(i % 300), wide, {});
        CHECK(log.bytesWritten() > 1'000'000);
        // The writer thread has written to the pipe; the pipe is drained and closed so that the thread can be
        // joined.
        pollfd readable { pipeEnds[0], POLLIN, 0 };
        REQUIRE(poll(&readable, 1, 30'000) == 1);
        REQUIRE(dup2(output, STDOUT_FILENO) >= 0);
        close(pipeEnds[1]);
        std::string drained(1 << 16, ' ');
        REQUIRE(read(pipeEnds[0], drained.data(), drained.size()) > 0);
        close(pipeEnds[0]);
    }
    close(output);
}

TEST_CASE("a timeline merges the log lines of several nodes about one request in time order")
{
    std::vector<ctl::TimelineEntry> entries;
    std::istringstream first(
        "{\"unix_ms\":200,\"node\":\"b\",\"event\":\"start_sent\",\"request\":\"r\",\"run\":\"1\"}\n"
        "{\"unix_ms\":250,\"node\":\"b\",\"event\":\"start_sent\",\"request\":\"other\"}\n");
    std::istringstream second(
        "  12.5 node-a {\"unix_ms\":100,\"node\":\"a\",\"event\":\"job_accepted\",\"request\":\"r\"}\n"
        "not a line\n\n{\"event\":\"no time\"}\n");
    CHECK(ctl::readLog(first, "r", entries).unreadable == 0);
    const auto input = ctl::readLog(second, "r", entries);
    CHECK(input.lines == 3);
    CHECK(input.unreadable == 2);
    CHECK(ctl::formatTimeline(entries) == "+0 ms  job_accepted  [a]\n+100 ms  start_sent  [b] run=1\n");
}
