#include "cores/SeededRandom.h"
#include "fuzz/Fuzz.h"
#include "peer.pb.h"
#include "quay/core/ConfigCompiler.h"
#include "quay/core/Job.h"
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
constexpr std::size_t maxGrownBytes = 4096;

struct FuzzCase {
    const char* name;
    fuzz::Target target;
    std::vector<std::string> valid;
};

std::string sourceFile(const std::string& name)
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
    const auto result = compileConfiguration({ "base.toml", sourceFile("docs/examples/base.toml") }, {});
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

std::vector<FuzzCase> cases()
{
    const std::string settings = "name = \"e1\"\ndomain = \"d1\"\nlisten = \"127.0.0.1:0\"\n"
                                 "peer_listen = \"127.0.0.1:0\"\n[platform]\ntable = \"127.0.0.1:1\"\n"
                                 "vm_list = \"127.0.0.1:1\"\n[tls]\ncert = \"c\"\nkey = \"k\"\n";
    return {
        { "job spec", fuzzJobSpec,
            { R"({"queue":"q","kind":"gang","tasks":3,"cpu_milli":500,"idempotent":true,"payload":"x"})" } },
        { "job record", fuzzJobRecord, { jobRecord() } },
        { "configuration", fuzzConfiguration, { configuration() } },
        { "config compiler", fuzzConfigCompiler, { sourceFile("docs/examples/base.toml") } },
        { "settings", fuzzSettings, { settings } },
        { "traceparent", fuzzTraceparent, { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" } },
        { "transaction", fuzzTransaction, tableBodies() },
        { "VM list", fuzzServerList, { serverList() } },
        { "peer envelope", fuzzPeerEnvelope, envelopes() },
    };
}

// One small change, of the kinds that break parsers: a byte, a digit, a cut, a doubled or a nested part.
void mutate(std::string& text, SeededRandom& choices)
{
    if (text.empty() || text.size() > maxGrownBytes) {
        text = text.substr(0, maxGrownBytes / 2) + "x";
        return;
    }
    const auto at = choices.below(text.size());
    const auto length = choices.below(std::min<std::size_t>(text.size() - at, 32) + 1);
    constexpr std::string_view special = "{}[]\",:=#.-0123456789eEtrufals\\\n\x00\xff\xc3";
    switch (choices.below(7)) {
    case 0:
        text[at] = static_cast<char>(choices.below(256));
        return;
    case 1:
        text[at] = special[choices.below(special.size())];
        return;
    case 2:
        text.erase(at, length);
        return;
    case 3:
        text.insert(at, text.substr(at, length));
        return;
    case 4:
        text.insert(at, 1 + choices.below(64), special[choices.below(special.size())]);
        return;
    case 5:
        text[at] = static_cast<char>(text[at] ^ (1 << choices.below(8)));
        return;
    default:
        text.insert(at, choices.percent(50) ? "18446744073709551616" : "-9223372036854775809");
    }
}

int run(const FuzzCase& fuzzCase, const std::string& text)
{
    return fuzzCase.target(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

} // namespace

TEST_CASE("each fuzz target takes its valid inputs")
{
    for (const auto& fuzzCase : cases()) {
        CAPTURE(fuzzCase.name);
        for (const auto& text : fuzzCase.valid) {
            CAPTURE(text);
            CHECK(run(fuzzCase, text) == 1);
        }
    }
}

TEST_CASE("mutated inputs never crash a parser, and what parses survives printing")
{
    const google::protobuf::LogSilencer silencer; // it would tell of every string that is not UTF-8
    for (const auto& fuzzCase : cases()) {
        std::size_t parsed = 0;
        std::size_t refused = 0;
        forEachSeed(seedsPerInput, [&](std::uint64_t seed) {
            SeededRandom choices(seed);
            for (const auto& valid : fuzzCase.valid) {
                auto text = valid;
                for (std::size_t i = 0; i < mutationsPerSeed; ++i) {
                    mutate(text, choices);
                    ++(run(fuzzCase, text) == 1 ? parsed : refused);
                }
            }
        });
        CAPTURE(fuzzCase.name);
        CHECK(parsed > 0);
        CHECK(refused > 0);
    }
}

TEST_CASE("a printer that loses a part is found")
{
    const fuzz::Target lossy = [](const std::uint8_t* data, std::size_t size) {
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
    const FuzzCase planted { "planted", lossy, { encodeTransaction({ {}, {}, { "c" } }) } };
    CHECK_THROWS_AS(run(planted, planted.valid.front()), std::logic_error);
}
