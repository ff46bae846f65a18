#include "quay-bench/Result.h"

#include <algorithm>
#include <cmath>

namespace quay::bench {

namespace json = boost::json;

namespace {

constexpr double usPerS = 1e6;
constexpr double usPerMs = 1e3;
constexpr double percent = 100;

double rounded(double value) { return std::round(value * 1000) / 1000; }

json::object waitsJson(const Histogram& histogram)
{
    const auto ms
        = [&](double part) { return rounded(static_cast<double>(histogram.percentile(part)) / usPerMs); };
    return { { "count", histogram.count() }, { "p50_ms", ms(50) }, { "p99_ms", ms(99) },
        { "p99_9_ms", ms(99.9) }, { "max_ms", rounded(static_cast<double>(histogram.max()) / usPerMs) } };
}

// Returns the time of the first start of each task.
std::map<std::string, std::int64_t> firstStartTimes(const Ledgers& ledgers)
{
    std::map<std::string, std::int64_t> starts;
    for (const auto& run : ledgers.runs) {
        const auto [it, isNew] = starts.emplace(run.task, run.startUs);
        if (!isNew)
            it->second = std::min(it->second, run.startUs);
    }
    return starts;
}

struct TaskWaits {
    Histogram waits;
    std::vector<Histogram> bySecond;
    std::uint64_t started = 0;
    std::uint64_t notStarted = 0;
};

// A task that never started counts with its waiting time at the end of the window; leaving it out would lower
// the percentiles.
TaskWaits taskWaits(const LoadOutcome& outcome, const std::map<std::string, std::int64_t>& starts,
    const Window& window, std::size_t secondCount)
{
    TaskWaits result;
    result.bySecond.resize(secondCount);
    for (const auto& job : outcome.jobs) {
        if (job.arrivalUs < window.fromUs)
            continue; // arrived during the warm-up
        for (std::uint32_t i = 0; i < job.tasks; ++i) {
            const auto it = starts.find(job.job + "/" + std::to_string(i));
            const bool hasStarted = it != starts.end();
            ++(hasStarted ? result.started : result.notStarted);
            const auto waited = (hasStarted ? it->second : window.untilUs) - job.arrivalUs;
            result.waits.add(waited);
            const auto second = static_cast<std::size_t>(
                std::max<std::int64_t>(job.arrivalUs - window.fromUs, 0) / static_cast<std::int64_t>(usPerS));
            if (second < secondCount)
                result.bySecond[second].add(waited);
        }
    }
    return result;
}

json::array p99Series(const std::vector<Histogram>& seconds)
{
    json::array series;
    for (const auto& histogram : seconds)
        series.emplace_back(rounded(static_cast<double>(histogram.percentile(99)) / usPerMs));
    return series;
}

json::object loadJson(const LoadSpec& spec, const LoadOutcome& outcome,
    const std::map<std::string, std::int64_t>& starts, const Window& window)
{
    json::object object { { "name", spec.name }, { "team", spec.team }, { "kind", text(spec.kind) },
        { "arrivals", outcome.arrivals }, { "answered", outcome.answered } };
    json::object refusals;
    for (const auto& [kind, count] : outcome.refusals)
        refusals[kind] = count;
    object["refusals"] = refusals;
    if (spec.kind == LoadKind::Interactive) {
        object["waiting"] = waitsJson(outcome.waits);
        object["p99_ms_by_second"] = p99Series(outcome.waitsBySecond);
        return object;
    }
    const auto waits = taskWaits(outcome, starts, window, outcome.waitsBySecond.size());
    object["tasks_started"] = waits.started;
    object["tasks_not_started"] = waits.notStarted;
    object["waiting"] = waitsJson(waits.waits);
    object["p99_ms_by_second"] = p99Series(waits.bySecond);
    return object;
}

json::array loadsJson(const Experiment& experiment, const Observation& observation)
{
    json::array loads;
    const auto starts = firstStartTimes(observation.ledgers);
    for (std::size_t i = 0; i < experiment.loads.size(); ++i)
        loads.push_back(loadJson(experiment.loads[i], observation.loads[i], starts, observation.window));
    return loads;
}

json::object packingJson(const Experiment& experiment, const Observation& observation)
{
    const auto workers
        = static_cast<std::size_t>(experiment.fleet.domains) * experiment.fleet.workersPerDomain;
    const auto result
        = packing(observation.ledgers.runs, experiment.fleet.worker, workers, observation.window);
    return { { "capacity_in_use", rounded(result.capacityInUse) },
        { "workers_in_use", rounded(result.workersInUse) }, { "workers", workers },
        { "in_use_on_busy_workers", rounded(result.inUseOnBusyWorkers) } };
}

json::object shareJson(const Experiment& experiment, const Observation& observation)
{
    std::vector<JobDemand> demands;
    for (const auto& load : observation.loads)
        demands.insert(demands.end(), load.jobs.begin(), load.jobs.end());
    std::map<std::string, double> weights;
    for (const auto& [name, team] : experiment.teams)
        weights[name] = team.share;
    const auto workers = std::int64_t { experiment.fleet.domains } * experiment.fleet.workersPerDomain;
    const auto& worker = experiment.fleet.worker;
    const Resources fleet { worker.cpuMilli * workers, worker.memoryMb * workers,
        worker.accelerators * workers };
    const auto error = shareError(observation.ledgers.runs, demands, weights, fleet, observation.window);
    json::object teams;
    for (const auto& [name, held] : error.held)
        teams[name] = json::object { { "held", rounded(held) }, { "fair", rounded(error.fair.at(name)) } };
    return { { "mean_error", rounded(error.mean) }, { "max_error", rounded(error.max) }, { "teams", teams } };
}

// CPU time of an entry VM in the window. After a restart only the new process counts.
double cpuSecondsOf(const Observation& observation, const std::string& name)
{
    const auto& after = observation.after.entries.at(name);
    const auto it = observation.before.entries.find(name);
    const bool isSame = it != observation.before.entries.end() && it->second.pid == after.pid;
    return after.cpuSeconds - (isSame ? it->second.cpuSeconds : 0);
}

json::array controlJson(const Observation& observation)
{
    const auto lengthS = static_cast<double>(observation.window.length()) / usPerS;
    json::array entries;
    for (const auto& [name, usage] : observation.after.entries) {
        const bool leads = std::any_of(observation.leads.begin(), observation.leads.end(),
            [&, entry = &name](const auto& lead) { return lead.second == *entry; });
        json::object entry { { "vm", name }, { "leads", leads }, { "running", usage.pid != 0 },
            { "cpu_percent_of_core", rounded(cpuSecondsOf(observation, name) / lengthS * percent) },
            { "resident_mb", rounded(usage.residentMb) } };
        const auto after = observation.after.peerBytes.find(name);
        const auto before = observation.before.peerBytes.find(name);
        if (after != observation.after.peerBytes.end() && before != observation.before.peerBytes.end()
            && after->second > 0)
            entry["peer_bytes_per_s"] = rounded((after->second - before->second) / lengthS);
        entries.push_back(std::move(entry));
    }
    return entries;
}

json::object storeJson(const Observation& observation)
{
    const auto lengthS = static_cast<double>(observation.window.length()) / usPerS;
    const auto rate = [&](std::uint64_t after, std::uint64_t before) {
        return rounded(static_cast<double>(after - before) / lengthS);
    };
    return { { "transactions_per_s",
                 rate(observation.after.storeTransactions, observation.before.storeTransactions) },
        { "reads_per_s", rate(observation.after.storeReads, observation.before.storeReads) } };
}

} // namespace

json::object makeResult(const Experiment& experiment, const Observation& observation)
{
    const auto& fleet = experiment.fleet;
    const auto lengthS = static_cast<double>(observation.window.length()) / usPerS;
    json::array faults;
    for (const auto& fault : observation.faults)
        faults.push_back(json::object { { "at_s", rounded(fault.atS) }, { "what", fault.description } });
    json::array violations;
    for (const auto& line : findViolations(observation.ledgers, observation.callers, fleet.worker))
        violations.emplace_back(line);
    return { { "experiment", experiment.name }, { "seed", experiment.seed }, { "seconds", rounded(lengthS) },
        { "fleet",
            json::object { { "domains", fleet.domains }, { "entries_per_domain", fleet.entriesPerDomain },
                { "workers_per_domain", fleet.workersPerDomain },
                { "executors_per_domain", fleet.executorsPerDomain }, { "slots", fleet.slots },
                { "service_ms", fleet.serviceMs } } },
        { "loads", loadsJson(experiment, observation) }, { "packing", packingJson(experiment, observation) },
        { "share", shareJson(experiment, observation) }, { "control", controlJson(observation) },
        { "store", storeJson(observation) }, { "faults", faults }, { "violations", violations } };
}

} // namespace quay::bench
