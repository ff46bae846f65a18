#include "quay/core/Preemption.h"
#include "SeededRandom.h"

#include <algorithm>
#include <map>
#include <unordered_map>

using namespace quay;
using namespace quay::test;

namespace {

PreemptionCandidate makeTask(const char* name, const char* worker)
{
    PreemptionCandidate task;
    task.task = TaskId { name };
    task.worker = ServerId { worker };
    task.size = { 8'000, 8'192, 0 };
    task.throttledCpuMilli = task.size.cpuMilli;
    return task;
}

// Returns the first violated rule of a plan; empty if there is none.
std::string checkPlan(const PreemptionPlan& plan, const Resources& need,
    const std::unordered_map<ServerId, Resources>& freeOf, const std::vector<PreemptionCandidate>& running)
{
    if (plan.actions.empty())
        return {};
    auto room = freeOf.at(plan.actions.front().worker);
    std::vector<TaskId> seen;
    for (const auto& action : plan.actions) {
        const auto& task = *std::find_if(running.begin(), running.end(),
            [&](const PreemptionCandidate& it) { return it.task == action.task; });
        if (task.kind == JobKind::Gang)
            return "gang preempted";
        if (task.kind == JobKind::Service && action.step != PreemptionStep::Throttle)
            return "service checkpointed or stopped";
        if (action.step == PreemptionStep::Stop && !task.idempotent)
            return "non-idempotent task stopped";
        if (action.worker != plan.actions.front().worker || task.worker != action.worker)
            return "more than one worker";
        if (std::find(seen.begin(), seen.end(), action.task) != seen.end())
            return "task preempted twice";
        seen.push_back(action.task);
        room += action.step == PreemptionStep::Throttle
            ? Resources { task.size.cpuMilli - task.throttledCpuMilli, 0, 0 }
            : task.size;
    }
    return need.fitsIn(room) ? "" : "too little capacity freed";
}

} // namespace

TEST_CASE("the least disruptive step with the least lost work is chosen")
{
    auto throttled = makeTask("throttled", "w1");
    throttled.throttledCpuMilli = 2'000;
    auto checkpointable = makeTask("saved", "w1");
    checkpointable.canCheckpoint = true;
    auto cheap = makeTask("cheap", "w1");
    cheap.idempotent = true;
    cheap.workSinceCheckpointMs = 10;
    auto costly = makeTask("dear", "w1");
    costly.idempotent = true;
    costly.workSinceCheckpointMs = 1'000;
    auto gang = makeTask("gang", "w1");
    gang.kind = JobKind::Gang;
    gang.canCheckpoint = true;
    gang.idempotent = true;
    auto service = makeTask("service", "w1");
    service.kind = JobKind::Service;
    service.idempotent = true;
    const auto nonIdempotent = makeTask("once", "w1");
    auto onOtherWorker = checkpointable;
    onOtherWorker.task = TaskId { "elsewhere" };
    onOtherWorker.worker = ServerId { "w2" };

    struct Row {
        const char* what;
        Resources need;
        std::vector<PreemptionCandidate> running;
        std::optional<std::vector<std::string>> victims;
    };
    const Row rows[] = {
        { "fits already", { 1'000, 1'024, 0 }, { throttled }, std::vector<std::string> {} },
        { "throttle is enough", { 7'000, 1'024, 0 }, { cheap, checkpointable, throttled },
            { { "throttled" } } },
        { "memory needs a checkpoint", { 7'000, 8'000, 0 }, { cheap, checkpointable, throttled },
            { { "saved" } } },
        { "stop the task that loses least work", { 7'000, 8'000, 0 }, { costly, cheap }, { { "cheap" } } },
        { "stop both tasks", { 16'000, 16'384, 0 }, { costly, cheap }, { { "cheap", "dear" } } },
        { "checkpoint before stop", { 16'000, 16'384, 0 }, { cheap, checkpointable, costly },
            { { "saved", "cheap" } } },
        { "nothing may be preempted", { 7'000, 8'000, 0 }, { gang, service, nonIdempotent }, std::nullopt },
        { "the other worker's plan is less disruptive", { 7'000, 8'000, 0 }, { cheap, onOtherWorker },
            { { "elsewhere" } } },
    };
    const std::vector<ServerId> workers { ServerId { "w1" }, ServerId { "w2" } };
    const std::vector<Resources> freeOf { { 1'000, 1'024, 0 }, { 1'000, 1'024, 0 } };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        const auto plan = choosePreemption(row.need, workers, freeOf, row.running);
        REQUIRE(plan.has_value() == row.victims.has_value());
        std::vector<std::string> victims;
        for (std::size_t i = 0; plan && i < plan->actions.size(); ++i)
            victims.push_back(plan->actions[i].task.text);
        CHECK((!row.victims || victims == *row.victims));
    }
}

TEST_CASE("random plans violate no rule, and a plan is found whenever all allowed preemptions suffice")
{
    forEachSeed(300, [](std::uint64_t seed) {
        SeededRandom choices(seed);
        std::vector<PreemptionCandidate> running;
        std::vector<ServerId> workers;
        std::vector<Resources> freeOf;
        std::unordered_map<ServerId, Resources> most, room;
        for (int worker = 0; worker < 3; ++worker) {
            workers.emplace_back("w" + std::to_string(worker));
            freeOf.push_back(
                { choices.between(-500, 2'000), choices.between(0, 2'000), choices.between(0, 1) });
            most[workers.back()] = room[workers.back()] = freeOf.back();
        }
        for (int i = 0; i < 12; ++i) {
            auto task = makeTask(("t" + std::to_string(i)).c_str(), workers[choices.below(3)].text.c_str());
            task.kind = static_cast<JobKind>(choices.below(3));
            task.size = { choices.between(0, 8'000), choices.between(0, 8'000), choices.between(0, 2) };
            task.throttledCpuMilli = choices.between(0, 8'000);
            task.canCheckpoint = choices.percent(40);
            task.idempotent = choices.percent(40);
            task.workSinceCheckpointMs = choices.between(0, 1'000);
            if (task.kind == JobKind::Batch && (task.canCheckpoint || task.idempotent))
                most[task.worker] += task.size;
            else if (task.kind != JobKind::Gang)
                most[task.worker].cpuMilli
                    += std::max<std::int64_t>(task.size.cpuMilli - task.throttledCpuMilli, 0);
            running.push_back(task);
        }
        const Resources need { choices.between(0, 16'000), choices.between(0, 16'000),
            choices.between(0, 2) };
        const auto plan = choosePreemption(need, workers, freeOf, running);
        const bool possible = std::any_of(
            workers.begin(), workers.end(), [&](const ServerId& it) { return need.fitsIn(most[it]); });
        REQUIRE(plan.has_value() == possible);
        if (plan)
            REQUIRE(checkPlan(*plan, need, room, running) == "");
    });
}

TEST_CASE("the plan checker detects invalid plans")
{
    auto task = makeTask("t", "w1");
    const std::unordered_map<ServerId, Resources> room { { ServerId { "w1" }, {} } };
    PreemptionPlan plan { { { task.task, task.worker, PreemptionStep::Stop, task.size, 0 } } };
    CHECK(checkPlan(plan, { 1, 1, 0 }, room, { task }) == "non-idempotent task stopped");
    task.idempotent = true;
    CHECK(checkPlan(plan, { 1, 1, 0 }, room, { task }) == "");
    CHECK(checkPlan(plan, { 9'000, 1, 0 }, room, { task }) == "too little capacity freed");
    task.kind = JobKind::Gang;
    CHECK(checkPlan(plan, { 1, 1, 0 }, room, { task }) == "gang preempted");
}
