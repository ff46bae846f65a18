#include "cores/SeededRandom.h"
#include "edge/JobRows.h"
#include "edge/PeerClient.h"
#include "edge/RelayCodec.h"
#include "fuzz/Fuzz.h"
#include "peer.pb.h"
#include "quay/core/ConfigCompiler.h"
#include "quay/core/Job.h"
#include "quay/fleet/JobRecord.h"
#include "quay/telemetry/Trace.h"
#include "tableservice/ServerListCodec.h"
#include "tableservice/TableCodec.h"

#include <doctest/doctest.h>
#include <fstream>
#include <google/protobuf/stubs/logging.h>

using namespace quay;
using namespace quay::test;

namespace {

constexpr std::uint64_t seedsPerInput = 200;
constexpr std::size_t mutationsPerSeed = 10;
constexpr std::size_t maxMutatedBytes = 4096;

struct FuzzCase {
    const char* name;
    fuzz::Target target;
    std::vector<std::string> valid;
};

std::string readSourceFile(const std::string& name)
{
    std::ifstream file(QUAY_SOURCE_DIR "/" + name);
    return { std::istreambuf_iterator<char>(file), {} };
}

std::string jobRecord()
{
    JobRecord record;
    record.id = JobId { "d1.1-1" };
    record.domain = DomainId { "d1" };
    record.spec = JobSpec { JobKind::Gang, TeamId { "clinic" }, QueueId { "night" }, "r-1", 2,
        { 1000, 64, 1 }, true, 5, 4, "\"quoted\" \n text \xc3\xa9" };
    record.note = "why";
    record.tasks
        = { { TaskState::Running, 2, ServerId { "w1" }, "" }, { TaskState::OutcomeUnknown, 1, {}, "lost" } };
    return toJson(record);
}

std::string configuration()
{
    const auto result = compileConfiguration({ "base.toml", readSourceFile("docs/examples/base.toml") }, {});
    REQUIRE(result.configuration);
    return toJson(*result.configuration);
}

std::string serverList()
{
    FleetList list;
    list.servers.emplace_back();
    list.servers.back().id = ServerId { "w1" };
    list.servers.back().capacity = { 4000, 8192, 1 };
    return encodeServerList(list);
}

std::vector<std::string> tableBodies()
{
    return { encodeTransaction({ { { "a", 0 }, { "b", 7 } }, { { "a", "{\"x\":1}" } }, { "c" } }),
        encodeOutcome({ TransactionStatus::Done, 12, {} }),
        encodeOutcome({ TransactionStatus::Conflict, 0, "a" }), encodeKeys({ "a", "b" }),
        encodeScan({ "job/", "job/d1", 100 }), encodeRows({ { "a", "v", 3 } }) };
}

std::vector<std::string> envelopes()
{
    wire::Envelope ask;
    ask.set_sender("e1#1");
    ask.set_correlation(7);
    ask.mutable_ask_forward()->set_body("body \xff of bytes");
    ask.mutable_ask_forward()->set_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    wire::Envelope job;
    job.mutable_job_forward()->set_record(jobRecord());
    wire::Envelope answer;
    answer.set_is_answer(true);
    answer.mutable_ask_answer()->set_kind(19);
    return { ask.SerializeAsString(), job.SerializeAsString(), answer.SerializeAsString() };
}

const std::string twoSteps
    = R"({"spec":"s","steps":[{"count":3,"cpu":1000,"memMb":64,"gang":true},{"count":2,"cpu":500,"after":[0],"longRunning":true}]})";

fleet::JobRecord halfDoneRecord()
{
    fleet::JobRecord record;
    record.phase = fleet::JobPhase::Running;
    record.tasks = { { 0, 1, 0, 3, 1, true, "i-1", 1000, "c" }, { 0, 1, 1, 1, 0, false, "", 0, "" } };
    record.done = { { 0, 0, { 0, 1, 2 } } };
    return record;
}

std::vector<std::string> storedRows()
{
    return { encode(halfDoneRecord()), encode(edge::StoredJob { "00000000000000aa", "q", "t", twoSteps }),
        encode(edge::LeadershipRecord { "n", "a:1", 7, 9, edge::storedFormat, 0.5, 4 }) };
}

std::vector<std::string> platformMessages()
{
    return {
        twoSteps, "{}",
        R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","attempts":3,"sloMs":300,"advice":{"decisionMs":1,"perItemMs":0.1,"validMs":2000}}],"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["key"],"weight":1,"maxCount":{"cpu":1}}]})",
        R"({"service":"s","address":"a:1","zone":"z","state":"ready","born":1000,"coldLeftMs":700,"capacity":{"cpu":32000,"memMb":65536},"labels":["a","r1"]})",
        R"({"clockMs":5,"born":1000,"running":[["00000000000000aa.0.1.0",3,"c",50,7]],"finished":[[1,"00000000000000aa.0.1.1",1,"done",""]]})",
        R"({"node":"n","ip":"10.0.0.1","zone":"z","listen":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2"},"portRange":[7420,7435],"limits":{"cpuShare":0.25},"bounds":{"maxHoldMs":6000,"stopMs":900,"graceS":6,"status_s":120,"evacuateMs":5000},"advice":"10.0.0.2:1","platform":{"address":"10.0.0.3:1","rowBytes":65536}})"
    };
}

std::vector<std::string> nodeMessages()
{
    edge::RelayRequest request { 7, 10ms, { {} } };
    request.calls[0].number = 3;
    request.calls[0].domain = "z";
    request.calls[0].order.task = { "00000000000000aa", 0, 1, 2 };
    edge::RelayResult result;
    result.number = 3;
    result.response.report
        = fleet::ExecutorReport { 5, 1000, { { { "00000000000000aa", 0, 1, 2 }, 1, "c", 50, 7 } }, {} };
    edge::LeaderStatus status;
    status.isAnswered = status.isLeader = true;
    status.pending = { { "q", 3 } };
    status.configurationAge = 1400ms;
    return { encode(edge::LeaderProbe { "n", "a:1", "z", 0.5 }), encode(status),
        edge::encodeApprovalRequest("00000000000000aa.0.1", { "i-1" }, 100ms), edge::encode(request),
        edge::encode(std::vector { result }), encode(edge::CancelAnswer::Reserved) };
}

std::vector<std::string> schedulerInputs()
{
    const std::string divider = "\n=\n";
    const std::string report
        = R"({"clockMs":5,"born":1000,"running":[["00000000000000aa.0.1.0",3,"c",50,7]],"finished":[[1,"00000000000000aa.0.1.1",1,"failed",""]]})";
    return { twoSteps + divider + encode(halfDoneRecord()) + divider + report + divider + report,
        twoSteps + divider + "none" + divider + report,
        R"({"spec":"s","steps":[{"count":1}],"times":20,"firstMs":1,"intervalMs":10})" + divider
            + R"({"phase":1,"tasks":[],"done":[],"occurrences":[0,3,5,5]})" };
}

std::vector<FuzzCase> fuzzCases()
{
    const std::string settings = "name = \"e1\"\ndomain = \"d1\"\nlisten = \"127.0.0.1:0\"\n"
                                 "peer_listen = \"127.0.0.1:0\"\n[platform]\ntable = \"127.0.0.1:1\"\n"
                                 "vm_list = \"127.0.0.1:1\"\n[tls]\ncert = \"c\"\nkey = \"k\"\n";
    return {
        { "job spec", fuzzJobSpec,
            { R"({"queue":"q","kind":"gang","tasks":3,"cpu_milli":500,"idempotent":true,"payload":"x"})" } },
        { "job record", fuzzJobRecord, { jobRecord() } },
        { "configuration", fuzzConfiguration, { configuration() } },
        { "config compiler", fuzzConfigCompiler, { readSourceFile("docs/examples/base.toml") } },
        { "settings", fuzzSettings, { settings } },
        { "traceparent", fuzzTraceparent, { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" } },
        { "transaction", fuzzTransaction, tableBodies() },
        { "VM list", fuzzServerList, { serverList() } },
        { "peer envelope", fuzzPeerEnvelope, envelopes() },
        { "stored rows", fuzzStoredRows, storedRows() },
        { "platform messages", fuzzPlatformMessages, platformMessages() },
        { "messages between nodes", fuzzNodeMessages, nodeMessages() },
        { "scheduler", fuzzScheduler, schedulerInputs() },
    };
}

// Applies one random change of a kind that often breaks parsers: a changed byte or bit, a syntax character, a
// removed or duplicated range, repeated characters (deep nesting), or a number out of the 64-bit range.
void mutate(std::string& text, SeededRandom& random)
{
    if (text.empty() || text.size() > maxMutatedBytes) {
        text = text.substr(0, maxMutatedBytes / 2) + "x";
        return;
    }
    const auto at = random.below(text.size());
    const auto length = random.below(std::min<std::size_t>(text.size() - at, 32) + 1);
    constexpr std::string_view special = "{}[]\",:=#.-0123456789eEtrufals\\\n\x00\xff\xc3";
    switch (random.below(7)) {
    case 0:
        text[at] = static_cast<char>(random.below(256));
        return;
    case 1:
        text[at] = special[random.below(special.size())];
        return;
    case 2:
        text.erase(at, length);
        return;
    case 3:
        text.insert(at, text.substr(at, length));
        return;
    case 4:
        text.insert(at, 1 + random.below(64), special[random.below(special.size())]);
        return;
    case 5:
        text[at] = static_cast<char>(text[at] ^ (1 << random.below(8)));
        return;
    default:
        text.insert(at, random.percent(50) ? "18446744073709551616" : "-9223372036854775809");
    }
}

int runTarget(const FuzzCase& fuzzCase, const std::string& text)
{
    return fuzzCase.target(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

} // namespace

TEST_CASE("each fuzz target parses its valid inputs")
{
    for (const auto& fuzzCase : fuzzCases()) {
        CAPTURE(fuzzCase.name);
        for (const auto& text : fuzzCase.valid) {
            CAPTURE(text);
            CHECK(runTarget(fuzzCase, text) == 1);
        }
    }
}

TEST_CASE("mutated inputs never crash a parser, and parsed values are unchanged by serializing and parsing")
{
    // Suppresses an error message of protobuf for each string that is not valid UTF-8.
    const google::protobuf::LogSilencer silencer;
    for (const auto& fuzzCase : fuzzCases()) {
        std::size_t parsed = 0;
        std::size_t refused = 0;
        forEachSeed(seedsPerInput, [&](std::uint64_t seed) {
            SeededRandom random(seed);
            for (const auto& valid : fuzzCase.valid) {
                auto text = valid;
                for (std::size_t i = 0; i < mutationsPerSeed; ++i) {
                    mutate(text, random);
                    ++(runTarget(fuzzCase, text) == 1 ? parsed : refused);
                }
            }
        });
        CAPTURE(fuzzCase.name);
        CHECK(parsed > 0);
        CHECK(refused > 0);
    }
}

TEST_CASE("a fuzz target detects a serializer that drops a field")
{
    const fuzz::Target lossyTarget = [](const std::uint8_t* data, std::size_t size) {
        Reason reason;
        const auto transaction = decodeTransaction(fuzz::toText(data, size), reason);
        if (!transaction)
            return 0;
        auto printed = *transaction;
        printed.deletes.clear();
        fuzz::require(
            decodeTransaction(encodeTransaction(printed), reason) == transaction, "parse(print(x)) == x");
        return 1;
    };
    const FuzzCase lossyCase { "planted", lossyTarget, { encodeTransaction({ {}, {}, { "c" } }) } };
    CHECK_THROWS_AS(runTarget(lossyCase, lossyCase.valid.front()), std::logic_error);
}
