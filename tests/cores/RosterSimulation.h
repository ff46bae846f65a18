#pragma once

#include "SeededRandom.h"
#include "quay/core/Roster.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>

namespace quay::test {

/** The faults of a run of the roster simulation. */
struct RosterFaults {
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned lostAnswerPercent = 0;
    unsigned slowPercent = 0; // messages and store requests that take up to 5 s
    bool scheduled = false; // outages, partitions, pauses, crashes and drains at random times
    std::int64_t maxFaultIntervalMs = 0; // longest time between two scheduled faults
    unsigned pauseAfterWritePercent = 0; // process pauses between sending a write and its answer
};

/**
 * Several processes of one failure domain that share a simulated store row. Simulation time is in
 * microseconds; each process has its own clock with an offset and a rate error.
 * The invariants are checked after every event; `violation` holds the first violation.
 *
 * Usage: `simulation.runUntil(end); CHECK(simulation.violation == "");`
 */
class RosterSimulation {
public:
    using Micros = std::int64_t;
    static constexpr Micros second = 1'000'000;
    static constexpr Micros tickInterval = second / 10;
    static constexpr Micros storeTimeout = second;

    struct Process {
        std::size_t vm = 0;
        RosterState state;
        Micros clockOffset = 0;
        std::int64_t clockPpm = 0;
        Micros pausedUntil = 0;
        bool alive = true;
        std::uint64_t openRead = 0;
        std::uint64_t openWrite = 0;
        std::uint64_t lastPublished = 0;
        std::array<std::uint64_t, 3> ownedKey {};
        unsigned owned = 0; // bits of the owned resources, cached for ownedKey
    };

    RosterSimulation(
        std::uint64_t seed, std::size_t vms, RosterFaults faults, RosterRules rules, RosterTiming timing)
        : m_choices(seed)
        , m_faults(faults)
        , m_rules(rules)
        , m_timing(timing)
        , m_current(vms)
        , m_storeUnreachableUntil(vms, 0)
    {
        for (int i = 0; i < 6; ++i)
            m_resources.emplace_back(ServerId { "executor-" + std::to_string(i) });
        m_resources.emplace_back(LeaderRole {});
        for (std::size_t vm = 0; vm < vms; ++vm)
            scheduleAt(m_choices.between(0, 2 * second), [this, vm] { start(vm, false); });
        if (faults.scheduled)
            scheduleAt(second, [this] { injectFault(); });
    }

    // Not copyable: events in the queue refer to this object.
    RosterSimulation(const RosterSimulation&) = delete;
    RosterSimulation& operator=(const RosterSimulation&) = delete;

    void runUntil(Micros end)
    {
        while (violation.empty() && !m_queue.empty() && m_queue.top().time <= end) {
            auto item = m_queue.top();
            m_queue.pop();
            m_now = item.time;
            (*item.run)();
            checkSingleOwner();
        }
        m_now = std::max(m_now, end);
    }

    void stopFaults()
    {
        m_faults = {};
        m_storeDownUntil = 0;
        std::fill(m_storeUnreachableUntil.begin(), m_storeUnreachableUntil.end(), 0);
        m_peersPartitionedUntil = 0;
        for (auto& process : m_processes)
            process->pausedUntil = std::min(process->pausedUntil, m_now);
    }

    /** Number of processes that may act on the resource now. */
    std::size_t ownerCount(const OwnedResource& resource) const
    {
        return static_cast<std::size_t>(std::count_if(m_processes.begin(), m_processes.end(),
            [&](const auto& process) { return mayProcessAct(*process, resource); }));
    }

    bool everyResourceHasOneOwner() const
    {
        return std::all_of(m_resources.begin(), m_resources.end(),
            [&](const auto& resource) { return ownerCount(resource) == 1; });
    }

    std::size_t ownedCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_resources.begin(), m_resources.end(),
            [&](const auto& resource) { return ownerCount(resource) == 1; }));
    }

    Process& current(std::size_t vm) { return *m_current[vm]; }
    void setStoreDown(Micros duration) { m_storeDownUntil = m_now + duration; }
    void partitionFromStore(std::size_t vm, Micros duration)
    {
        m_storeUnreachableUntil[vm] = m_now + duration;
    }
    void crash(std::size_t vm) { m_current[vm]->alive = false; }
    void pause(std::size_t vm, Micros duration) { m_current[vm]->pausedUntil = m_now + duration; }
    void drain(std::size_t vm) { deliver(*m_current[vm], roster::DrainRequested {}); }
    Micros now() const { return m_now; }
    std::uint64_t writes() const { return m_writes; }
    /** Number of sends that mayAct() permitted; a run without any tests nothing. */
    std::uint64_t sends() const { return m_sends; }

    void start(std::size_t vm, bool isEndKnown)
    {
        auto process = std::make_unique<Process>();
        process->vm = vm;
        process->state.domain = DomainId { "d1" };
        process->state.self = MemberId { "vm" + std::to_string(vm) + "#" + std::to_string(++m_incarnations) };
        process->state.timing = m_timing;
        process->state.rules = m_rules;
        process->clockOffset = m_choices.between(1, 1000) * second;
        process->clockPpm = m_choices.between(-m_timing.maxClockErrorPpm, m_timing.maxClockErrorPpm);
        const Process* earlier = m_current[vm];
        m_current[vm] = process.get();
        m_processes.push_back(std::move(process));
        if (earlier && isEndKnown)
            deliver(*m_current[vm], roster::PredecessorEnded { earlier->state.self });
        tick(*m_current[vm]);
        sendPeriodically(*m_current[vm]);
    }

    std::string violation;

private:
    struct Item {
        Micros time;
        std::uint64_t order;
        std::shared_ptr<std::function<void()>> run;
        bool operator<(const Item& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void scheduleAt(Micros time, std::function<void()> run)
    {
        m_queue.push({ time, ++m_order, std::make_shared<std::function<void()>>(std::move(run)) });
    }

    Instant localTime(const Process& process) const
    {
        const Micros local = process.clockOffset + m_now + m_now * process.clockPpm / 1'000'000;
        return Instant {} + std::chrono::microseconds(local);
    }

    bool mayProcessAct(const Process& process, const OwnedResource& resource) const
    {
        return process.alive && mayAct(process.state, resource, localTime(process));
    }

    void reportViolation(const std::string& what)
    {
        if (violation.empty())
            violation = what + " at " + std::to_string(m_now) + " us";
    }

    // Paused processes count too, because they may resume at any time. Evaluates the two halves of mayAct()
    // separately: ownsInEveryView() is expensive and changes only with the process's views, so it is cached.
    void checkSingleOwner()
    {
        unsigned ownedByOthers = 0;
        for (const auto& process : m_processes) {
            if (!process->alive || process->state.heldViews.empty()
                || !isCovered(process->state, localTime(*process)))
                continue;
            const unsigned owned = ownedResourceBits(*process);
            if (ownedByOthers & owned)
                reportViolation("two owners");
            ownedByOthers |= owned;
        }
    }

    // Cache key of a process's list of views. Epochs only rise and each has one view, so the first epoch, the
    // last epoch and the count identify the list.
    static std::array<std::uint64_t, 3> viewsKey(const RosterState& state)
    {
        return { state.heldViews.front().epoch, state.heldViews.back().epoch, state.heldViews.size() };
    }

    unsigned ownedResourceBits(Process& process) const
    {
        const auto key = viewsKey(process.state);
        if (process.ownedKey == key)
            return process.owned;
        process.ownedKey = key;
        process.owned = 0;
        for (std::size_t i = 0; i < m_resources.size(); ++i)
            process.owned |= ownsInEveryView(process.state, m_resources[i]) ? 1U << i : 0U;
        return process.owned;
    }

    // --- processes ---

    void tick(Process& process)
    {
        if (!process.alive)
            return;
        deliver(process, roster::Tick {});
        const Micros next
            = std::max(m_now, process.pausedUntil) + tickInterval + m_choices.between(0, 20'000);
        scheduleAt(next, [this, &process] { tick(process); });
    }

    void deliver(Process& process, const RosterEvent& event)
    {
        if (!process.alive)
            return;
        if (process.pausedUntil > m_now) {
            scheduleAt(process.pausedUntil, [this, &process, event] { deliver(process, event); });
            return;
        }
        for (const auto& action : step(process.state, event, localTime(process)))
            std::visit([&](const auto& it) { perform(process, it); }, action);
        if (process.state.removed)
            restartRemoved(process);
    }

    void restartRemoved(Process& process)
    {
        process.alive = false;
        const auto vm = process.vm;
        scheduleAt(m_now + m_choices.between(second / 10, 3 * second), [this, vm] { restart(vm); });
    }

    void restart(std::size_t vm)
    {
        if (!m_current[vm]->alive)
            start(vm, m_choices.percent(50)); // with or without knowledge of the old process's end
    }

    // --- messages ---

    Micros delay()
    {
        return m_choices.percent(m_faults.slowPercent) ? m_choices.between(0, 5 * second)
                                                       : m_choices.between(500, 20'000);
    }

    bool arePeersPartitioned(const Process& from, const Process& to) const
    {
        return m_now < m_peersPartitionedUntil && (from.vm == m_partitionedVm || to.vm == m_partitionedVm);
    }

    void sendPeer(Process& from, const MemberId& to, const RosterEvent& event)
    {
        for (auto& process : m_processes) {
            if (!process->alive || process->state.self != to || arePeersPartitioned(from, *process)
                || m_choices.percent(m_faults.lossPercent))
                continue;
            Process& target = *process;
            const int copies = m_choices.percent(m_faults.duplicatePercent) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
                scheduleAt(m_now + delay(), [this, &target, event] { deliver(target, event); });
        }
    }

    void perform(Process& process, const roster::SendHeartbeat& action)
    {
        sendPeer(process, action.to,
            roster::HeartbeatReceived { process.state.self, action.version, action.leaving });
    }

    void perform(Process& process, const roster::SendPromiseRequest& action)
    {
        sendPeer(process, action.to,
            roster::PromiseRequested { process.state.self, action.request, action.length });
    }

    void perform(Process& process, const roster::SendPromise& action)
    {
        sendPeer(process, action.to, roster::PromiseGranted { process.state.self, action.request });
    }

    void perform(Process& process, const roster::PublishOwnership& action)
    {
        if (action.view.epoch < process.lastPublished && !action.removed)
            reportViolation("a published epoch decreased");
        process.lastPublished = std::max(process.lastPublished, action.view.epoch);
    }

    // --- store ---

    bool storeReachable(const Process& process) const
    {
        return m_now >= m_storeDownUntil && m_now >= m_storeUnreachableUntil[process.vm];
    }

    void perform(Process& process, const roster::ReadRow&)
    {
        const auto id = ++m_requestCount;
        process.openRead = id;
        scheduleAt(
            m_now + storeTimeout, [this, &process, id] { endRead(process, id, roster::ReadFailed {}); });
        scheduleAt(m_now + delay(), [this, &process, id] { serveRead(process, id); });
    }

    void serveRead(Process& process, std::uint64_t id)
    {
        if (!storeReachable(process) || m_choices.percent(m_faults.lossPercent))
            return;
        const roster::ReadAnswered answer { m_row, m_version };
        scheduleAt(m_now + delay(), [this, &process, id, answer] { endRead(process, id, answer); });
    }

    void endRead(Process& process, std::uint64_t id, const RosterEvent& event)
    {
        if (process.openRead != id)
            return;
        process.openRead = 0;
        deliver(process, event);
    }

    void perform(Process& process, const roster::WriteRow& action)
    {
        const auto id = ++m_requestCount;
        process.openWrite = id;
        if (m_choices.percent(m_faults.pauseAfterWritePercent))
            process.pausedUntil = m_now + m_choices.between(second / 10, 12 * second);
        scheduleAt(
            m_now + storeTimeout, [this, &process, id] { endWrite(process, id, roster::WriteUnknown {}); });
        // A write may arrive long after its sender has timed out or crashed.
        scheduleAt(m_now + delay(), [this, &process, id, action] { serveWrite(process, id, action); });
    }

    void serveWrite(Process& process, std::uint64_t id, const roster::WriteRow& action)
    {
        if (!storeReachable(process) || m_choices.percent(m_faults.lossPercent))
            return;
        RosterEvent answer = roster::WriteConflicted { m_row, m_version };
        if (action.expectedVersion == m_version) {
            applyWrite(action.record);
            answer = roster::WriteDone { m_version };
        }
        if (m_choices.percent(m_faults.lostAnswerPercent))
            return;
        scheduleAt(m_now + delay(), [this, &process, id, answer] { endWrite(process, id, answer); });
    }

    void applyWrite(const RosterRecord& record)
    {
        if (m_row && record.epoch < m_row->epoch)
            reportViolation("the row's epoch decreased");
        if (m_row && record.epoch == m_row->epoch && viewOf(record) != viewOf(*m_row))
            reportViolation("owners changed within an epoch");
        m_row = record;
        m_version += 1 + m_choices.below(3); // other rows of the store also use up versions
        ++m_writes;
    }

    void endWrite(Process& process, std::uint64_t id, const RosterEvent& event)
    {
        if (process.openWrite != id)
            return;
        process.openWrite = 0;
        deliver(process, event);
    }

    // --- sends to backend servers ---

    void sendPeriodically(Process& process)
    {
        if (!process.alive)
            return;
        scheduleAt(std::max(m_now, process.pausedUntil) + m_choices.between(10'000, 200'000),
            [this, &process] { sendPeriodically(process); });
        const auto index = m_choices.below(m_resources.size());
        if (process.pausedUntil > m_now || !mayProcessAct(process, m_resources[index]))
            return;
        ++m_sends;
        const Micros pauseBeforeSend = choosePauseBeforeSend();
        const Micros messageDelay = m_choices.between(0, micros(m_timing.maxMessageDelay));
        const bool late = pauseBeforeSend > micros(m_timing.maxSendDelay);
        const auto token = fencingToken(process.state);
        scheduleAt(m_now + pauseBeforeSend + messageDelay,
            [this, &process, index, token, late] { onSendArrived(process, index, token, late); });
    }

    Micros choosePauseBeforeSend()
    {
        if (m_faults.scheduled && m_choices.percent(5))
            return m_choices.between(0, 15 * second); // process pauses exactly between check and send
        if (m_faults.scheduled && m_choices.percent(30))
            return micros(m_timing.maxSendDelay);
        return 0;
    }

    // A send within the bounds must not arrive after another process may act on the resource. A later send
    // must be recognizable by its token: the resource's owner at that time has a higher one.
    void onSendArrived(const Process& sender, std::size_t index, std::uint64_t token, bool late)
    {
        for (const auto& other : m_processes) {
            if (other.get() == &sender || !mayProcessAct(*other, m_resources[index]))
                continue;
            if (!late)
                reportViolation("a send within its bounds arrived after the next owner started");
            else if (token >= fencingToken(other->state))
                reportViolation("a late send can't be recognized by its fencing token");
        }
    }

    static Micros micros(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    // --- faults at random times ---

    void injectFault()
    {
        if (!m_faults.scheduled)
            return;
        const auto vm = m_choices.below(m_current.size());
        injectFaultAt(vm, m_choices.below(6));
        scheduleAt(m_now + m_choices.between(second / 5, m_faults.maxFaultIntervalMs * 1000),
            [this] { injectFault(); });
    }

    void injectFaultAt(std::size_t vm, std::size_t kind)
    {
        if (kind == 0)
            setStoreDown(m_choices.between(second, 20 * second));
        else if (kind == 1)
            partitionFromStore(vm, m_choices.between(second, 20 * second));
        else if (kind == 2)
            partitionPeers(vm);
        else if (!m_current[vm] || !m_current[vm]->alive)
            return;
        else if (kind == 3)
            pause(vm, m_choices.between(second / 10, 12 * second));
        else if (kind == 4)
            crashAndRestart(vm);
        else
            drain(vm);
    }

    void partitionPeers(std::size_t vm)
    {
        m_partitionedVm = vm;
        m_peersPartitionedUntil = m_now + m_choices.between(second, 10 * second);
    }

    void crashAndRestart(std::size_t vm)
    {
        crash(vm);
        scheduleAt(m_now + m_choices.between(second / 10, 5 * second), [this, vm] { restart(vm); });
    }

    SeededRandom m_choices;
    RosterFaults m_faults;
    RosterRules m_rules;
    RosterTiming m_timing;
    std::vector<OwnedResource> m_resources;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<Process*> m_current;
    std::priority_queue<Item> m_queue;
    std::uint64_t m_order = 0;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_incarnations = 0;
    Micros m_now = 0;

    std::optional<RosterRecord> m_row;
    std::uint64_t m_version = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_sends = 0;
    Micros m_storeDownUntil = 0;
    std::vector<Micros> m_storeUnreachableUntil;
    std::size_t m_partitionedVm = 0;
    Micros m_peersPartitionedUntil = 0;
};

} // namespace quay::test
