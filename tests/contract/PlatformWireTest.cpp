#include "NodeSettings.h"
#include "Wire.h"
#include "edge/JobRows.h"
#include "edge/PeerClient.h"
#include "quay/fleet/JobRecord.h"

#include <doctest/doctest.h>

using namespace quay;
using namespace quay::fleet;
using namespace quay::platform;

namespace {

constexpr const char* validJobId = "5c0e7a21d94b36f8";

} // namespace

TEST_CASE("an invalid job request is rejected with an error that names the field")
{
    struct Row {
        const char* name;
        std::string body;
        const char* expected; // a part of the error; null: the body is valid
    };
    const Row rows[] = {
        { "minimal", R"({"spec":"x","steps":[{"count":1,"cpu":500}]})", nullptr },
        { "unknown fields are ignored", R"({"spec":"x","new":1,"steps":[{"count":1,"newer":{}}]})", nullptr },
        { "two steps in order", R"({"steps":[{"count":1},{"count":2,"after":[0]}]})", nullptr },
        { "not JSON", "{", "not JSON" },
        { "empty", "", "not JSON" },
        { "a list", "[]", "object" },
        { "no steps", R"({"spec":"x"})", "steps" },
        { "steps of the wrong type", R"({"steps":{}})", "steps" },
        { "no task", R"({"steps":[{"count":0}]})", "no task" },
        { "a count of the wrong type", R"({"steps":[{"count":"4"}]})", "count" },
        { "a count that exceeds the integer range", R"({"steps":[{"count":5000000000}]})", "count" },
        { "too many tasks", R"({"steps":[{"count":901}]})", "tasks" },
        { "a negative demand", R"({"steps":[{"count":1,"cpu":-1}]})", "below zero" },
        { "depends on itself", R"({"steps":[{"count":1,"after":[0]}]})", "earlier" },
        { "depends on a later step", R"({"steps":[{"count":1,"after":[1]},{"count":1}]})", "earlier" },
        { "depends on a negative step", R"({"steps":[{"count":1,"after":[-1]}]})", "earlier" },
        { "a payload that is too long",
            R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})", "payload" },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Reason reason;
        auto request = decodeJobRequest(row.body, reason);
        bool isValid = request.has_value();
        if (isValid) {
            request->id = validJobId;
            isValid = validate(*request, reason);
        }
        CHECK(isValid == (row.expected == nullptr));
        if (row.expected)
            CHECK(reason.explain().find(row.expected) != std::string::npos);
    }
}

TEST_CASE("a job id has exactly 16 hexadecimal digits")
{
    CHECK(isJobId(validJobId));
    CHECK(isJobId("5C0E7A21D94B36F8"));
    for (const char* id :
        { "", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36fg", "5c0e7a21d94b36f " })
        CHECK_FALSE(isJobId(id));
}

TEST_CASE("a row that is not a complete registration is not decoded as an executor")
{
    struct Row {
        const char* name;
        const char* body;
        bool isValid;
    };
    const Row rows[] = {
        { "complete",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","capacity":{"cpu":1}})",
            true },
        { "draining", R"({"service":"s","address":"a:1","state":"draining","remainingMs":5,"capacity":{}})",
            true },
        { "no service", R"({"address":"a:1","state":"ready","capacity":{}})", false },
        { "no address", R"({"service":"s","state":"ready","capacity":{}})", false },
        { "no capacity", R"({"service":"s","address":"a:1","state":"ready"})", false },
        { "unknown state", R"({"service":"s","address":"a:1","state":"asleep","capacity":{}})", false },
        { "address of the wrong type", R"({"service":"s","address":7,"state":"ready","capacity":{}})",
            false },
        { "not JSON", "\x01\x02", false },
        { "a string", "\"x\"", false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Reason reason;
        CHECK(decodeExecutorEntry("i-1", row.body, reason).has_value() == row.isValid);
    }
}

TEST_CASE(
    "an executor's remaining cold time is read, and an odd one counts as none without a loss of the entry")
{
    struct Row {
        const char* field;
        std::int64_t expected;
    };
    const Row rows[] = { { "", 0 }, { R"(,"coldLeftMs":0)", 0 }, { R"(,"coldLeftMs":1500)", 1500 },
        { R"(,"coldLeftMs":null)", 0 }, { R"(,"coldLeftMs":"1500")", 0 }, { R"(,"coldLeftMs":-1)", 0 },
        { R"(,"coldLeftMs":1e300)", 0 }, { R"(,"coldLeftMs":8000000000000000)", 0 },
        { R"(,"coldLeftMs":[[]])", 0 } };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.field));
        Reason reason;
        const auto entry = decodeExecutorEntry("i-1",
            R"({"service":"s","address":"1.2.3.4:5","state":"ready","capacity":{"cpu":7})"
                + std::string(row.field) + "}",
            reason);
        REQUIRE(entry);
        CHECK(entry->coldRemainingMs == row.expected);
        CHECK(entry->capacity.cpuMilli == 7);
    }
}

TEST_CASE("a request to empty a failure domain is decoded from its key; an odd document is told and holds")
{
    struct Row {
        const char* name;
        std::string key;
        std::string body;
        const char* domain; // null: no request
        bool isOdd;
    };
    const Row rows[] = {
        { "a request", "evacuate/z-1", "{}", "z-1", false },
        { "a document with fields", "evacuate/z", R"({"since":1})", "z", false },
        { "a name with a slash", "evacuate/a/b", "{}", "a/b", false },
        { "not JSON", "evacuate/z", "{", "z", true },
        { "no document", "evacuate/z", "", "z", true },
        { "a list", "evacuate/z", "[]", "z", true },
        { "bytes", "evacuate/z", "\x01\xff", "z", true },
        { "nested deeply", "evacuate/z", std::string(10'000, '['), "z", true },
        { "an empty name", "evacuate/", "{}", nullptr, true },
        { "another key", "config", "{}", nullptr, true },
        { "a prefix of the key", "evacuate", "{}", nullptr, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Reason oddity;
        const auto request = decodeEvacuation(row.key, row.body, 9, oddity);
        CHECK((oddity.kind != ErrorKind::None) == row.isOdd);
        REQUIRE(request.has_value() == (row.domain != nullptr));
        if (request)
            CHECK(*request == DomainEvacuation { row.domain, 9 });
    }
}

// Another writer left entries of these kinds. Those with numbers out of range were used: sums of them
// overflowed.
TEST_CASE("an executor's entry that is nested deeply or holds an impossible number is rejected")
{
    constexpr std::size_t depth = 10'000;
    const std::string opened(depth, '[');
    const auto nested = opened + std::string(depth, ']');
    const auto entry = [](const std::string& fields) {
        return R"({"service":"s","address":"1.2.3.4:5","state":"ready",)" + fields + "}";
    };
    struct Row {
        const char* name;
        std::string body;
        bool isValid;
    };
    const Row rows[] = {
        { "complete", entry(R"("born":1790000000000,"remainingMs":0,"labels":["a"],"capacity":{"cpu":1})"),
            true },
        { "a negative remaining time", entry(R"("remainingMs":-5,"capacity":{"cpu":1})"), true },
        { "nested", nested, false },
        { "opened only", opened, false },
        { "nested capacity", entry("\"capacity\":" + nested), false },
        { "nested label", entry("\"capacity\":{},\"labels\":[" + nested + "]"), false },
        { "nested unknown field", entry("\"capacity\":{},\"new\":" + nested), false },
        { "a label of the wrong type", entry(R"("capacity":{},"labels":["a",[["b"]]])"), false },
        { "cpu beyond the range of a double", entry(R"("capacity":{"cpu":1e400})"), false },
        { "cpu beyond 64 bits", entry(R"("capacity":{"cpu":99999999999999999999})"), false },
        { "cpu of 1e18", entry(R"("capacity":{"cpu":1e18})"), false },
        { "cpu of 1e15", entry(R"("capacity":{"cpu":1e15})"), false },
        { "negative cpu", entry(R"("capacity":{"cpu":-1})"), false },
        { "memory of 1e15", entry(R"("capacity":{"memMb":1e15})"), false },
        { "negative memory", entry(R"("capacity":{"memMb":-1})"), false },
        { "1e15 accelerators", entry(R"("capacity":{"gpu":1e15})"), false },
        { "negative accelerators", entry(R"("capacity":{"gpu":-1})"), false },
        { "born beyond the range of a double", entry(R"("capacity":{},"born":1e400)"), false },
        { "born beyond 64 bits", entry(R"("capacity":{},"born":99999999999999999999)"), false },
        { "born in the far future", entry(R"("capacity":{},"born":8000000000000000)"), false },
        { "born before 1970", entry(R"("capacity":{},"born":-1)"), false },
        { "remaining beyond the range of a double", entry(R"("capacity":{},"remainingMs":1e400)"), false },
        { "remaining longer than the clock's range", entry(R"("capacity":{},"remainingMs":8e15)"), false },
        { "remaining negative and large", entry(R"("capacity":{},"remainingMs":-8e15)"), false },
        { "invalid UTF-8", entry("\"capacity\":{},\"zone\":\"\xc3\xff\""), false },
        { "an unpaired surrogate", entry(R"("capacity":{},"zone":"\ud800")"), false },
        { "empty", "", false },
        { "a list", "[]", false },
        { "a number", "1e400", false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Reason reason;
        CHECK(decodeExecutorEntry("i-1", row.body, reason).has_value() == row.isValid);
        CHECK((row.isValid || !reason.detail.empty()));
    }
}

TEST_CASE("an executor's report is decoded from arrays with fixed positions")
{
    Reason reason;
    const auto report = decodeExecutorReport(
        R"({"clockMs":482113,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"bb8",41,12.6]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"alone",""]]})",
        reason);
    REQUIRE(report);
    CHECK(report->clockMs == 482113);
    CHECK(report->running == std::vector { RunningTask { { validJobId, 0, 1, 17 }, 2, "bb8", 41, 13 } });
    CHECK(report->ended
        == std::vector { EndedTask { 58, { validJobId, 0, 1, 9 }, 1, RunOutcome::GangIncomplete, "" } });
    for (const char* bad : { R"({"running":[]})", R"({"clockMs":1,"running":[["x",1]]})",
             R"({"clockMs":1,"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})" })
        CHECK_FALSE(decodeExecutorReport(bad, reason));
}

TEST_CASE("a decoded configuration matches queues by longest prefix and holds keys and limits")
{
    Reason reason;
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/x/","service":"s","priority":2,"attempts":2,)"
        R"("stretch":2.2,"sloMs":1200,"advice":{"decisionMs":430.0,"perItemMs":6.1,"validMs":2000}},)"
        R"({"name":"b","host":"h","prefix":"/x/y/","service":"s","public":true}],)"
        R"("services":[{"name":"s","enforcesCapacity":true}],)"
        R"("tenants":[{"name":"t","apiKeys":["k"],"weight":12,"maxCount":{"cpu":10,"memMb":0,"gpu":0}}]})",
        reason);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->queueFor("h", "/x/1")->name == "a");
    CHECK(configuration->queueFor("h", "/x/y/1")->name == "b");
    CHECK(configuration->queueFor("other", "/x/1") == nullptr);
    CHECK(configuration->queueNamed("a")->approval->ticketValidityMs == 2000);
    CHECK(configuration->teamOfKey("k")->upperLimit.cpuMilli == 10);
    CHECK(configuration->teamOfKey("") == nullptr);
    CHECK_FALSE(decodeConfiguration(R"({"routes":[]})", reason));
    CHECK_FALSE(decodeConfiguration(R"({"version":1,"routes":[{"name":3}]})", reason));
}

TEST_CASE("an invalid setting is rejected with an error that names the field")
{
    const std::string good
        = R"({"node":"n","ip":"127.0.0.1","zone":"z","listen":{"front":"127.0.0.1:1","readiness":"127.0.0.1:2"},)"
          R"("portRange":[7420,7435],"platform":{"address":"127.0.0.1:3"},"limits":{"cpuShare":0.25,"maxFds":4100},"bounds":{"maxHoldMs":6000},"new":{}})";
    Reason reason;
    const auto settings = parseNodeSettings(good, reason);
    REQUIRE(settings);
    CHECK(settings->maxLeaseDuration == 6000ms);
    CHECK(settings->processorShare == 0.25);
    CHECK(settings->maxFileDescriptors == 4100);
    CHECK(settings->firstPeerPort == 7420);
    CHECK(settings->maxEvacuationDelay == Duration::zero());
    CHECK(settings->maxConfigurationDelay == 2000ms);
    for (const auto& bound : { std::pair<const char*, Duration> { "5000", 5000ms }, { "0", Duration::zero() },
             { "null", Duration::zero() }, { "1e300", std::chrono::hours(24 * 365) } }) {
        const std::string value = bound.first;
        CAPTURE(value);
        auto text = good;
        text.replace(text.find("\"maxHoldMs\""), 0, "\"evacuateMs\":" + value + ",");
        const auto bounded = parseNodeSettings(text, reason);
        REQUIRE(bounded);
        CHECK(bounded->maxEvacuationDelay == bound.second);
        text.replace(text.find("evacuateMs"), 10, "configApplyMs");
        CHECK(parseNodeSettings(text, reason)->maxConfigurationDelay
            == (value == "null" ? Duration(2000ms) : bound.second));
    }
    struct Row {
        const char* from;
        const char* to;
        const char* expected;
    };
    const Row rows[] = {
        { R"("node":"n",)", "", "node" },
        { R"("front":"127.0.0.1:1")", R"("front":1)", "listen.front" },
        { R"("address":"127.0.0.1:3")", "", "platform.address" },
        { R"([7420,7435])", "[]", "portRange" },
        { R"("maxHoldMs":6000)", R"("maxHoldMs":"6000")", "bounds.maxHoldMs" },
        { R"("maxHoldMs":6000)", R"("maxHoldMs":-1)", "bounds.maxHoldMs" },
        { R"("maxHoldMs":6000)", R"("evacuateMs":-1)", "bounds.evacuateMs" },
        { R"("maxHoldMs":6000)", R"("evacuateMs":"5000")", "bounds.evacuateMs" },
        { R"("cpuShare":0.25)", R"("cpuShare":"much")", "limits.cpuShare" },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.expected));
        auto text = good;
        text.replace(text.find(row.from), std::string(row.from).size(), row.to);
        CHECK_FALSE(parseNodeSettings(text, reason));
        CHECK(reason.explain().find(row.expected) != std::string::npos);
    }
    CHECK_FALSE(parseNodeSettings("nothing", reason));
}

TEST_CASE("a leader probe carries its sender's name, address, zone and processor share")
{
    const edge::LeaderProbe probe { "n", "a:1", "z", 0.25 };
    CHECK(edge::decodeLeaderProbe(encode(probe)) == probe);
    for (const char* bad : { "", "[]", "{}", R"({"node":"n","address":"a:1","share":"much"})" })
        CHECK_FALSE(edge::decodeLeaderProbe(bad));
}

TEST_CASE("a leader status without pending counts differs from one with counts of 0")
{
    edge::LeaderStatus status;
    status.isAnswered = status.isLeader = status.canCommit = true;
    status.configurationVersion = 7;
    CHECK(edge::decodeLeaderStatus(encode(status)) == status);
    CHECK_FALSE(edge::decodeLeaderStatus(encode(status))->pending);
    status.pending = { { "q", 0 }, { "r", 12 } };
    CHECK(edge::decodeLeaderStatus(encode(status)) == status);
    CHECK_FALSE(edge::decodeLeaderStatus("{}"));
}

TEST_CASE("the age of a leader's configuration is rounded up, and odd ages count as unknown")
{
    struct Row {
        const char* sent;
        std::optional<Duration> age;
    };
    const Row rows[] = {
        { R"(,"version_age_ms":0)", 0ms }, { R"(,"version_age_ms":1400)", 1400ms },
        { R"(,"version_age_ms":3600000)", 3600000ms }, { R"(,"version_age_ms":3600001)", std::nullopt },
        { R"(,"version_age_ms":9223372036854775807)", std::nullopt },
        { R"(,"version_age_ms":-1)", std::nullopt }, { "", std::nullopt }, // of an earlier release
    };
    for (const auto& row : rows) {
        CAPTURE(row.sent);
        const auto status = edge::decodeLeaderStatus(
            R"({"leader":true,"usable":true,"version":7)" + std::string(row.sent) + "}");
        REQUIRE(status);
        CHECK(status->configurationAge == row.age);
        CHECK(edge::decodeLeaderStatus(encode(*status)) == status);
    }
    edge::LeaderStatus status;
    status.configurationAge = 1400ms + 1us;
    CHECK(edge::decodeLeaderStatus(encode(status))->configurationAge == 1401ms);
}

TEST_CASE("a stored job keeps its policy, and is read without one that is malformed")
{
    const edge::StoredJob job { validJobId, "q", "t", "{}" };
    Reason reason;
    auto withPolicy = job;
    for (const auto& approval :
        { std::optional<ApprovalPolicy>(), std::optional(ApprovalPolicy { 20, 0.3, 2000 }) }) {
        withPolicy.policy = QueuePolicy { "q", {}, {}, "service", 2, 3, 2.2, 1200, false, approval };
        CHECK(edge::decodeStoredJob(encode(withPolicy), reason) == withPolicy);
        CHECK(edge::isSameSubmission(withPolicy, job));
    }
    CHECK(reason.kind == ErrorKind::None);
    // A job whose policy can't be read is not lost: it runs by the configuration.
    for (const char* policy : { "7", "{}", R"({"service":1})",
             R"({"service":"s","priority":1e300,"attempts":1,"factor":1,"slackMs":1})",
             R"({"service":"s","priority":1,"attempts":1,"factor":1,"slackMs":1e17})",
             R"({"service":"s","priority":1,"attempts":1,"factor":1,"slackMs":1,"approval":[1,2]})" }) {
        CAPTURE(policy);
        Reason policyReason;
        auto bytes = encode(job);
        bytes.insert(bytes.size() - 1, std::string(",\"policy\":") + policy);
        CHECK(edge::decodeStoredJob(bytes, policyReason) == job);
        CHECK(policyReason.kind == ErrorKind::MalformedRequest);
    }
}

TEST_CASE("stored rows round-trip through their encoding, and other bytes are rejected")
{
    Reason reason;
    JobRecord record;
    record.phase = JobPhase::Running;
    record.tasks = { { 0, 1, 2, 3, 1, true, "i-1", 1000, "c" }, { 0, 0, 4, 1, 0, false, "", 0, "" } };
    record.done = { { 0, 0, { 0, 1, 2, 5, 7, 8 } } };
    CHECK(decodeJobRecord(encode(record), reason) == record);
    auto scheduled = record;
    scheduled.doneOccurrences = { 0, 1, 2, 5, 9998, 9999 };
    CHECK(decodeJobRecord(encode(scheduled), reason) == scheduled);
    // As release 0.1 stored it, which nodes of a later release have to read.
    const auto earlier = decodeJobRecord(
        R"({"phase":1,"tasks":[[0,1,2,3,1,1,"i-1",1000,"c"],[0,0,4,1,0,0,"",0,""]],"done":[[0,0,[0,2,5,5,7,8]]]})",
        reason);
    CHECK(earlier == record);
    CHECK_FALSE(decodeJobRecord(R"({"phase":1,"tasks":[[0,1,2,3,1,1,0]],"done":[]})", reason));
    CHECK_FALSE(decodeJobRecord(
        R"({"phase":1,"executors":[["i-1",1000]],"tasks":[[0,1,2,3,1,1,1]],"done":[]})", reason));
    // A range that begins far below 0 would fill the memory before its end is reached.
    CHECK_FALSE(decodeJobRecord(R"({"phase":1,"tasks":[],"done":[[0,0,[-30000000,1]]]})", reason));
    CHECK_FALSE(decodeJobRecord(R"({"phase":1,"tasks":[],"done":[],"occurrences":[-30000000,1]})", reason));
    const edge::StoredJob job { validJobId, "q", "t", R"({"spec":"\u0000é"})" };
    CHECK(edge::decodeStoredJob(encode(job), reason) == job);
    const edge::LeadershipRecord lead { "n", "a:1", 1ULL << 50U, 9, 3, 0.5, 4 };
    CHECK(edge::decodeLeadershipRecord(encode(lead), reason) == lead);
    for (const char* bad : { "", "{}", "[]", R"({"phase":9,"tasks":[],"done":[]})" }) {
        CHECK_FALSE(decodeJobRecord(bad, reason));
        CHECK_FALSE(edge::decodeStoredJob(bad, reason));
        CHECK_FALSE(edge::decodeLeadershipRecord(bad, reason));
    }
    for (const std::string& bytes :
        { std::string(), std::string("a"), std::string("ab\0c", 4), std::string(300, '\xff') })
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
    CHECK_FALSE(decodeBase64("!!!!"));
}
