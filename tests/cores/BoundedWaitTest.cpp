#include "StepWork.h"
#include "quay/core/WorkerIndex.h"

#include <doctest/doctest.h>

// Whatever waits, is reserved or is kept for others: work that there is room for starts in bounded time.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

constexpr auto checkInterval = 50ms;
constexpr int eventsPerMinute = 150;

/** A service with random long-running, batch and urgent work, labels, limits, resizes and takeovers. */
class RandomService {
public:
    explicit RandomService(unsigned seed)
        : m_random(seed)
        , m_simulation(seed, 8)
    {
        const bool needsApproval = chance(50);
        const auto approval = [&](double decisionMs, double perWorkerMs) {
            return needsApproval ? std::optional(ApprovalPolicy { decisionMs, perWorkerMs, 2000 })
                                 : std::nullopt;
        };
        m_simulation.configuration.queues = { queueOf("urgent", 0, approval(21, 0.3)),
            queueOf("watch", 1, approval(320, 4.6)), queueOf("batch", 2, approval(440, 6.2)) };
        m_simulation.configuration.teams
            = { { "team", { "key" }, 1, {} }, { "other", { "other-key" }, 1, {} } };
        m_simulation.scheduler->configure(m_simulation.configuration);
        m_simulation.scheduler->setApprovalCallers(2);
        m_simulation.hasIdleCommits = true;
        int number = 0;
        for (const auto& [id, executor] : std::map(m_simulation.executors)) {
            m_simulation.approved.insert(id);
            m_simulation.reregister(id, { 8000, 8000, number < 3 ? 2 : 0 }, { number < 2 ? "b" : "a" });
            ++number;
        }
        m_simulation.behaviour = [this](const TaskRef& task, int) {
            FakeRun started;
            started.endsAt = m_simulation.now + m_jobs.at(task.job).runTime;
            return started;
        };
    }

    void run(Duration span)
    {
        const auto end = m_simulation.now + span;
        while (m_simulation.now < end) {
            if (between(0, 60'000) < eventsPerMinute * toMilliseconds(checkInterval))
                applyRandomEvent();
            m_simulation.run(checkInterval);
            checkWaits();
        }
    }

    const std::vector<std::string>& violations() const { return m_simulation.violations; }
    std::string longestWaiter;
    Duration longest {};
    int finished = 0;

private:
    struct Job {
        JobRequest request;
        Duration runTime {};
        Instant owedSince; // zero: not owed a start at present
    };

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
    }
    bool chance(int percent) { return between(0, 99) < percent; }

    void applyRandomEvent()
    {
        const auto what = between(0, 99);
        if (what < 55)
            submitShort();
        else if (what < 75)
            submitBatch();
        else if (what < 85)
            submitLongRunning();
        else if (what < 90)
            cancelLongRunning();
        else if (what < 95)
            changeLimit();
        else if (what < 99)
            resize();
        else
            takeOver();
    }

    void submit(const char* queue, int tasks, Resources each, Duration runTime, bool isLongRunning)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0x1000 + ++m_submitted);
        auto request = jobOf(id, tasks, each);
        request.queue = queue;
        request.team = chance(70) ? "team" : "other";
        auto& step = request.steps[0];
        step.isLongRunning = isLongRunning;
        step.isGang = tasks > 1 && chance(15);
        step.estimateMs = toMilliseconds(std::min<Duration>(runTime, 20s));
        step.requiredLabel = chance(40) ? (chance(60) ? "b" : "a") : "";
        if (chance(15))
            step.perTask.accelerators = between(1, 2);
        m_jobs[id] = { request, runTime, {} };
        m_simulation.submit(request);
    }

    void submitShort()
    {
        submit("urgent", static_cast<int>(between(1, 3)), { between(200, 3000), between(100, 1500), 0 },
            std::chrono::milliseconds(between(200, 900)), false);
    }
    void submitBatch()
    {
        submit("batch", static_cast<int>(between(1, 3)), { between(500, 6000), between(100, 5000), 0 },
            std::chrono::milliseconds(between(1000, 30'000)), false);
    }
    void submitLongRunning()
    {
        submit("watch", static_cast<int>(between(1, 2)), { between(500, 8000), between(100, 7000), 0 },
            std::chrono::hours(24), true);
    }
    void cancelLongRunning()
    {
        for (const auto& [id, job] : m_jobs) {
            if (job.request.steps[0].isLongRunning && !isFinal(m_simulation.phase(id)) && chance(40)) {
                m_simulation.cancel(id);
                return;
            }
        }
    }
    void changeLimit()
    {
        auto& limit = m_simulation.configuration.teams[0].upperLimit;
        limit = chance(30) ? Resources() : Resources { between(5000, 30'000), between(0, 1) * 20'000, 0 };
        m_simulation.scheduler->configure(m_simulation.configuration);
    }
    void resize()
    {
        auto it = m_simulation.executors.begin();
        std::advance(it, between(0, static_cast<std::int64_t>(m_simulation.executors.size()) - 1));
        auto capacity = it->second.entry.capacity;
        capacity.cpuMilli = between(6000, 9000);
        m_simulation.reregister(it->first, capacity, it->second.entry.labels);
    }
    void takeOver()
    {
        m_simulation.takeover();
        m_simulation.scheduler->setApprovalCallers(2);
        for (auto& [id, job] : m_jobs)
            job.owedSince = {};
    }

    // What runs at one moment.
    struct Usage {
        Resources capacity;
        Resources used;
        std::map<std::string, Resources> room; // by executor
        std::map<std::string, Resources> usedByTeam;
        std::set<std::string> runningJobs;
    };

    Usage currentUsage() const
    {
        Usage usage;
        for (const auto& [id, executor] : m_simulation.executors) {
            auto& room = usage.room[id] = executor.entry.capacity;
            usage.capacity += executor.entry.capacity;
            for (const auto& [task, run] : executor.running) {
                room -= run.demand;
                usage.used += run.demand;
                usage.usedByTeam[m_jobs.at(task.job).request.team] += run.demand;
                usage.runningJobs.insert(task.job);
            }
        }
        return usage;
    }

    static bool isUnderHalf(const Resources& used, const Resources& all)
    {
        return (used.cpuMilli * 2 < all.cpuMilli || all.cpuMilli == 0)
            && (used.memoryMb * 2 < all.memoryMb || all.memoryMb == 0)
            && (used.accelerators * 2 < all.accelerators || all.accelerators == 0);
    }

    // Room for twice the tasks of the step, on the executors that it may use.
    bool hasRoomTwice(const StepRequest& step, const Usage& usage) const
    {
        std::int64_t places = 0;
        for (const auto& [id, executor] : m_simulation.executors) {
            const auto& labels = executor.entry.labels;
            if (step.requiredLabel.empty()
                || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end())
                places += fitCount(step.perTask, usage.room.at(id));
        }
        return places >= 2 * (step.isGang ? step.taskCount : 1);
    }

    bool fitsLimit(const JobRequest& request, const Usage& usage) const
    {
        const auto found = usage.usedByTeam.find(request.team);
        const auto used = found == usage.usedByTeam.end() ? Resources() : found->second;
        const auto& limit = m_simulation.configuration.teamNamed(request.team)->upperLimit;
        const auto& step = request.steps[0];
        const auto after = used + step.perTask * (step.isGang ? step.taskCount : 1);
        return isUnderHalf(used, limit) && (limit.cpuMilli == 0 || after.cpuMilli <= limit.cpuMilli)
            && (limit.memoryMb == 0 || after.memoryMb <= limit.memoryMb);
    }

    void checkWaits()
    {
        const auto usage = currentUsage();
        for (auto it = m_jobs.begin(); it != m_jobs.end();) {
            auto& [id, job] = *it;
            const bool isRunning = usage.runningJobs.count(id) > 0;
            if (isFinal(m_simulation.phase(id))) {
                ++finished;
                it = isRunning ? std::next(it) : m_jobs.erase(it);
                continue;
            }
            const bool isOwed = !isRunning && isUnderHalf(usage.used, usage.capacity)
                && hasRoomTwice(job.request.steps[0], usage) && fitsLimit(job.request, usage);
            if (!isOwed)
                job.owedSince = {};
            else if (job.owedSince == Instant {})
                job.owedSince = m_simulation.now;
            else if (m_simulation.now - job.owedSince > longest) {
                longest = m_simulation.now - job.owedSince;
                longestWaiter = id + " in " + job.request.queue;
            }
            ++it;
        }
    }

    std::mt19937 m_random;
    FleetSimulation m_simulation;
    std::map<std::string, Job> m_jobs;
    int m_submitted = 0;
};

void checkBoundedWait(unsigned first, unsigned last)
{
    for (unsigned seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        RandomService service(seed);
        service.run(60s);
        CAPTURE(service.longestWaiter);
        CHECK(service.longest < longestWait);
        CHECK(service.finished > 0);
        CHECK(service.violations().empty());
    }
}

} // namespace

// Guards against review/6, review/8 and others of their kind: room that is kept from work that could use it.
TEST_CASE(
    "seeded work: in a service under half used, what there is room for twice starts within three seconds")
{
    checkBoundedWait(1, 40);
}
