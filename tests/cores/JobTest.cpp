#include "quay/core/Job.h"

#include <doctest/doctest.h>

using namespace quay;

TEST_CASE("a job record is unchanged after serialization and parsing")
{
    JobRecord record;
    record.id = JobId { "j-1" };
    record.domain = DomainId { "d1" };
    record.spec = JobSpec { JobKind::Gang, TeamId { "clinic" }, QueueId { "night" }, "r-1", 2,
        { 1000, 64, 1 }, true, 5, 4, "\"quoted\" \n text" };
    record.state = JobState::Failed;
    record.note = "why";
    record.tasks
        = { { TaskState::Running, 2, ServerId { "w1" }, "" }, { TaskState::OutcomeUnknown, 1, {}, "lost" } };
    Reason reason;
    CHECK(parseJobRecord(toJson(record), reason) == record);
    CHECK_FALSE(parseJobRecord("{}", reason));
    CHECK_FALSE(parseJobRecord(toJson(record).substr(9), reason));
}

TEST_CASE("a submission is parsed, or refused with the right error kind")
{
    struct Row {
        const char* body;
        ErrorKind kind;
    };
    const Row rows[] = {
        { R"({"queue":"q"})", ErrorKind::None },
        { R"({"queue":"q","kind":"gang","tasks":3,"cpu_milli":500,"idempotent":true,"payload":"x"})",
            ErrorKind::None },
        { R"({"kind":"batch"})", ErrorKind::MalformedRequest },
        { R"({"queue":"q","kind":"cron"})", ErrorKind::MalformedRequest },
        { R"({"queue":"q","tasks":0})", ErrorKind::MalformedRequest },
        { R"({"queue":"q","tasks":1.5})", ErrorKind::MalformedRequest },
        { R"({"queue":"q","cpu_milli":-1})", ErrorKind::MalformedRequest },
        { R"({"queue":7})", ErrorKind::MalformedRequest },
        { R"({"queue":"q","colour":"red"})", ErrorKind::UnknownField },
        { R"([1])", ErrorKind::MalformedRequest },
        { R"({"queue":"q")", ErrorKind::MalformedRequest },
        { "", ErrorKind::MalformedRequest },
    };
    for (const auto& row : rows) {
        CAPTURE(row.body);
        Reason reason;
        CHECK(parseJobSpec(row.body, reason).has_value() == (row.kind == ErrorKind::None));
        CHECK(reason.kind == row.kind);
    }
}

TEST_CASE("task ids are composed and split")
{
    JobId job;
    std::uint32_t index = 0;
    CHECK(splitTaskId(taskId(JobId { "a/b" }, 12), job, index));
    CHECK(job == JobId { "a/b" });
    CHECK(index == 12);
    for (const char* bad : { "", "/1", "j", "j/", "j/x", "j/1x" })
        CHECK_FALSE(splitTaskId(TaskId { bad }, job, index));
}
