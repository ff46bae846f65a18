#include "quay/fleet/JobRequest.h"

#include <algorithm>

namespace quay::fleet {

bool isJobId(const std::string& id)
{
    return id.size() == jobIdDigits
        && std::all_of(id.begin(), id.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

namespace {

bool fail(Reason& reason, std::string detail)
{
    reason = Reason { ErrorKind::MalformedRequest, std::move(detail) };
    return false;
}

bool validateStep(const JobRequest& request, std::size_t number, Reason& reason)
{
    const auto& step = request.steps[number];
    const auto where = "step " + std::to_string(number) + ": ";
    if (step.taskCount < 1)
        return fail(reason, where + "it has no tasks; give it at least one");
    if (step.perTask.cpuMilli < 0 || step.perTask.memoryMb < 0 || step.perTask.accelerators < 0)
        return fail(reason, where + "a resource demand is below zero");
    if (step.estimateMs < 0 || step.maxPerExecutor < 0 || step.maxConcurrentDisruptions < 0)
        return fail(reason, where + "an estimate or a limit is below zero");
    for (int earlier : step.dependsOn) {
        if (earlier < 0 || earlier >= static_cast<int>(number))
            return fail(reason, where + "it may only depend on earlier steps");
    }
    return true;
}

} // namespace

bool validate(const JobRequest& request, Reason& reason)
{
    if (!isJobId(request.id))
        return fail(reason, "the job's id is not 16 hexadecimal digits");
    if (request.payload.size() > maxPayloadBytes)
        return fail(reason, "the payload is longer than " + std::to_string(maxPayloadBytes) + " bytes");
    if (request.steps.empty() || request.steps.size() > static_cast<std::size_t>(maxStepsPerJob))
        return fail(reason, "a job must have 1 to " + std::to_string(maxStepsPerJob) + " steps");
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        if (!validateStep(request, i, reason))
            return false;
        tasks += request.steps[i].taskCount;
    }
    if (tasks > maxTasksPerJob)
        return fail(reason, "a job may have at most " + std::to_string(maxTasksPerJob) + " tasks");
    if (request.occurrences < 0 || request.intervalMs < 0 || request.firstDueUnixMs < 0)
        return fail(reason, "the number, the interval or the first time of occurrences is below zero");
    if (request.occurrences > maxOccurrencesPerJob)
        return fail(reason,
            "a job may have at most " + std::to_string(maxOccurrencesPerJob)
                + " occurrences; submit several");
    if (request.firstDueUnixMs > maxUnixMs || request.intervalMs > maxUnixMs)
        return fail(reason, "the first time or the interval of occurrences is beyond the year 2100");
    return true;
}

} // namespace quay::fleet
