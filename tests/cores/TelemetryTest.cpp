#include "quay/telemetry/EventLog.h"
#include "quay/telemetry/Metrics.h"
#include "quay/telemetry/Trace.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace quay;

TEST_CASE("docs/EVENTS.md and the event table are equal")
{
    std::ifstream file(QUAY_SOURCE_DIR "/docs/EVENTS.md");
    std::ostringstream page;
    page << file.rdbuf();
    CHECK(page.str() == eventCatalogue());
}

TEST_CASE("event numbers rise and names are unique")
{
    unsigned last = 0;
    std::set<std::string_view> names;
    for (const auto& entry : eventTable()) {
        CHECK(static_cast<unsigned>(entry.id) > last);
        last = static_cast<unsigned>(entry.id);
        CHECK(names.insert(entry.name).second);
        CHECK_FALSE(entry.remedy.empty());
    }
}

TEST_CASE("an event is one line in both formats")
{
    const std::vector<EventField> fields { { "epoch", "7" }, { "jobs", "a b\n" } };
    CHECK(EventLog::format(LogFormat::Text, EventId::LeadGained, fields)
        == "BQ-1201 lead_gained epoch=7 jobs=\"a b\\n\"");
    CHECK(EventLog::format(LogFormat::Json, EventId::LeadGained, fields)
        == R"({"event":"BQ-1201","name":"lead_gained","level":"info","epoch":"7","jobs":"a b\n"})");
}

TEST_CASE("the metrics page has help, type and cumulative buckets")
{
    Metrics metrics;
    metrics.counter("quay_a_total", "A.", "kind=\"x\"").add(3);
    metrics.counter("quay_a_total", "A.", "kind=\"x\"").add();
    metrics.gauge("quay_b", "B.", [] { return 1.5; });
    auto& histogram = metrics.histogram("quay_c_seconds", "C.");
    histogram.record(1ms);
    histogram.record(3ms);
    histogram.record(500s);
    const auto page = metrics.page();
    for (const char* line :
        { "# HELP quay_a_total A.\n# TYPE quay_a_total counter\nquay_a_total{kind=\"x\"} 4\n",
            "# TYPE quay_b gauge\nquay_b 1.5\n", "quay_c_seconds_bucket{le=\"0.001\"} 1\n",
            "quay_c_seconds_bucket{le=\"0.005\"} 2\n", "quay_c_seconds_bucket{le=\"100\"} 2\n",
            "quay_c_seconds_bucket{le=\"+Inf\"} 3\n", "quay_c_seconds_count 3\n" }) {
        CAPTURE(line);
        CHECK(page.find(line) != std::string::npos);
    }
}

TEST_CASE("valid traceparent headers are parsed and others rejected")
{
    const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = parseTraceparent(valid);
    REQUIRE(context);
    CHECK(traceparent(*context) == valid);
    for (const char* bad : { "", "00", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
             "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" }) {
        CAPTURE(bad);
        CHECK_FALSE(parseTraceparent(bad));
    }
}

TEST_CASE("failed spans are kept when many successful ones follow, and memory is bounded")
{
    TraceRing traces("vm#1", 10, 5, 1);
    const auto root = traces.begin("entry", std::nullopt);
    auto child = traces.begin("slot", root.context);
    CHECK(child.context.traceId == root.context.traceId);
    CHECK(child.parentId == root.context.spanId);
    traces.end(child, true, "outcome_unknown");
    traces.end(root, false);
    for (int i = 0; i < 100; ++i)
        traces.end(traces.begin("entry", std::nullopt), false);
    const auto held = traces.find(root.context.traceId);
    REQUIRE(held.size() == 1);
    CHECK(held.front().detail == "outcome_unknown");
    const auto lines = traces.exportLines();
    CHECK(std::count(lines.begin(), lines.end(), '\n') == 11);
}
