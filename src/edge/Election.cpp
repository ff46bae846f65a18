#include "edge/Election.h"

#include "edge/Clock.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace quay::edge {

using namespace platform;

namespace {

// Each node probes the leader at least this often, and a leader of many nodes gets 200 probes a second. One
// of the nodes then notices its failure within milliseconds.
constexpr Duration minLeaderProbeInterval = 300ms;
constexpr Duration maxLeaderProbeInterval = 900ms; // approvals and relays count a node as lost after more
constexpr Duration probeIntervalPerNode = 5ms;
constexpr auto leaderProbeTimeout = 600ms;
// A leader that has not answered a probe for this long is probably gone. The commit timeout starts then;
// until the probe times out, its callers still rely on it.
constexpr auto suspectAfter = 200ms;
constexpr auto rowReadTimeout = 800ms;
constexpr Duration rowReadInterval = 180ms;
constexpr Duration minRowReadInterval = 20ms;
constexpr auto leaderCommitTimeout = 450ms; // two heartbeat intervals of an idle leader
// For a leader that reports that its commits fail, or at whose address nothing or no leader listens.
constexpr auto failedLeaderCommitTimeout = 250ms;
// Spread of the candidates over time, so that few of them write the row before they read the new leader's:
// less than a transaction each, and the time of a few transactions at least. Smaller nodes come later anyway.
constexpr auto jitterPerCandidate = 3ms;
constexpr Duration minJitterRange = 120ms;
constexpr auto acquireTimeout = 1200ms;
constexpr auto successorRequestInterval = 200ms; // several times what a write of the row takes
constexpr auto candidateUpdateInterval = 100ms; // looks at all nodes, and each of them probes
constexpr auto smallNodeDelay = 800ms; // a larger node can detect the failure and write the row within it
constexpr auto handoverInterval = 15000ms; // between handovers of one node; many times the cost of one
constexpr auto staleLeadershipLimit = 2500ms; // a poll without an answer, and one more after it

Duration acquireJitter(const std::string& node, std::size_t candidateCount)
{
    const auto range
        = std::max<Duration>(minJitterRange, jitterPerCandidate * static_cast<int>(candidateCount));
    return Duration(
        static_cast<Duration::rep>(std::hash<std::string>()(node) % static_cast<std::size_t>(range.count())));
}

} // namespace

Election::Election(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
    Identity identity, const fleet::SchedulerBounds& bounds)
    : m_services(services)
    , m_peers(peers)
    , m_configurationWatcher(configurationWatcher)
    , m_identity(std::move(identity))
    , m_bounds(bounds)
    , m_timer(services.context)
    , m_requestedTakeovers(services.metrics.counter(
          "quay_requested_takeovers_total", "Requests of a leader, which the store refused, to replace it"))
{
}

void Election::start() { readLeadershipRow(); }

void Election::scheduleCheck(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            checkLeader();
    });
}

void Election::checkLeader()
{
    if (m_leader)
        return;
    if (m_suspectVersion < 0 && !m_knownLeader.address.empty())
        probe();
    else
        readLeadershipRow();
}

void Election::probe()
{
    const auto sentAt = clockNow();
    m_peers.probe(
        m_knownLeader.address, ownProbe(), leaderProbeTimeout, [this, sentAt](const LeaderStatus& status) {
            const bool isConnectionRefused = !status.isAnswered && clockNow() - sentAt < suspectAfter;
            m_isLeaderGone = isConnectionRefused || (status.isAnswered && !status.isLeader);
            probeAnswered(status, sentAt);
        });
    m_timer.expires_after(suspectAfter);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec && !m_leader)
            readLeadershipRow();
    });
}

// A node that is not eligible reports a processor share of 0, so that no leader hands over to it.
LeaderProbe Election::ownProbe() const
{
    const bool isEligible = mayLead() && m_configurationWatcher.isStoreReachable(clockNow());
    return { m_identity.node, m_identity.peerAddress, m_identity.zone,
        isEligible ? m_identity.processorShare : 0 };
}

void Election::probeAnswered(const LeaderStatus& status, Instant sentAt)
{
    if (m_leader)
        return;
    if (status.isAnswered && status.isLeader && status.canCommit) {
        if (!m_isLeaderReachable)
            m_services.log.write("leader_found", {},
                { { "leader", m_knownLeader.node }, { "address", m_knownLeader.address } });
        m_isLeaderReachable = true;
        m_suspectVersion = -1;
        if (status.pending) {
            m_pending = *status.pending;
            m_pendingAt = clockNow();
        }
        compareConfiguration(status, sentAt);
        scheduleCheck(std::clamp<Duration>(probeIntervalPerNode * static_cast<int>(status.nodeCount),
            minLeaderProbeInterval, maxLeaderProbeInterval));
        return;
    }
    m_hasLeaderLostStore = status.isAnswered && status.isLeader;
    if (m_isLeaderReachable)
        m_services.log.write("leader_missed", {},
            { { "leader", m_knownLeader.node }, { "answered", status.isAnswered ? "yes" : "no" },
                { "leads", status.isLeader ? "yes" : "no" }, { "usable", status.canCommit ? "yes" : "no" } });
    m_isLeaderReachable = false;
    readLeadershipRow();
}

// The leader answered after the probe was sent, so its version was the newest no longer before that than its
// age. Only a node that the store does not answer takes the configuration itself from the leader.
void Election::compareConfiguration(const LeaderStatus& status, Instant sentAt)
{
    if (status.configurationAge)
        m_configurationWatcher.confirmByPeer(status.configurationVersion, sentAt - *status.configurationAge);
    if (status.configurationVersion <= m_configurationWatcher.version())
        return;
    m_configurationWatcher.refresh();
    if (!m_configurationWatcher.isStoreLost() || m_isFetchingConfiguration)
        return;
    m_isFetchingConfiguration = true;
    m_peers.requestConfiguration(m_knownLeader.address, [this](const std::optional<std::string>& text) {
        m_isFetchingConfiguration = false;
        if (text)
            m_configurationWatcher.applyFromPeer(*text);
    });
}

void Election::readLeadershipRow()
{
    m_services.store.readRow(leadershipTable, cellPartition, leadershipKey, rowReadTimeout,
        [this](StoreResult result) { leadershipRowRead(result); });
}

void Election::leadershipRowRead(const StoreResult& result)
{
    if (m_leader)
        return;
    if (result.outcome != StoreOutcome::Ok) {
        scheduleCheck(rowReadInterval);
        return;
    }
    const auto now = clockNow();
    if (result.rows.empty()) {
        if (mayLead())
            acquireLeadership(0);
        else
            scheduleCheck(rowReadInterval);
        return;
    }
    const auto& row = result.rows.front();
    if (row.version != m_lastReadVersion)
        m_lastReadVersionSince = now;
    m_lastReadVersion = row.version;
    Reason reason;
    const auto leadership = decodeLeadershipRecord(row.value, reason);
    const bool wasFormatKnown
        = std::exchange(m_isFormatKnown, !leadership || leadership->format <= storedFormat);
    if (wasFormatKnown && !m_isFormatKnown)
        m_services.log.write("format_unknown", {},
            { { "format", std::to_string(leadership->format) }, { "known", std::to_string(storedFormat) } });
    const bool isVacant = !leadership || leadership->node.empty();
    const bool isOwnPreviousProcess = leadership && leadership->node == m_identity.node
        && leadership->incarnation != m_identity.incarnation;
    const Duration extraDelay
        = leadership && isClearlySmaller(m_identity.processorShare, leadership->largestShare)
        ? Duration(smallNodeDelay)
        : Duration();
    if (!isVacant && !isOwnPreviousProcess)
        m_vacantSince = {};
    else if (m_vacantSince == Instant {})
        m_vacantSince = now;
    if (isVacant || isOwnPreviousProcess) {
        m_isLeaderReachable = false;
        if (mayLead() && now - m_vacantSince >= extraDelay)
            acquireLeadership(row.version);
        else
            scheduleCheck(rowReadInterval);
        return;
    }
    const bool isNewLeader = leadership->incarnation != m_knownLeader.incarnation;
    m_knownLeader = *leadership;
    if (isNewLeader || row.version != m_suspectVersion) {
        // The leader is new, was not suspected until now, or has committed since it was suspected. Probe it,
        // and start the commit timeout again.
        m_suspectVersion = row.version;
        m_suspectedAt = now;
        if (isNewLeader) {
            m_suspectVersion = -1;
            scheduleCheck(Duration::zero());
        } else {
            scheduleCheck(rowReadInterval);
            m_peers.probe(m_knownLeader.address, ownProbe(), leaderProbeTimeout,
                [this, sentAt = now](const LeaderStatus& status) {
                    m_hasLeaderLostStore = status.isAnswered && status.isLeader && !status.canCommit;
                    if (!m_leader && status.isAnswered && status.isLeader && status.canCommit)
                        probeAnswered(status, sentAt);
                });
        }
        return;
    }
    const auto jitter = acquireJitter(m_identity.node, leadership->candidateCount);
    const auto commitTimeout
        = m_hasLeaderLostStore || m_isLeaderGone ? failedLeaderCommitTimeout : leaderCommitTimeout;
    const auto dueIn = m_suspectedAt + commitTimeout + jitter + extraDelay - now;
    if (mayLead() && dueIn <= Duration::zero())
        acquireLeadership(row.version);
    else
        scheduleCheck(
            std::clamp<Duration>(std::chrono::ceil<Duration>(dueIn), minRowReadInterval, rowReadInterval));
}

void Election::acquireLeadership(std::int64_t version)
{
    if (m_isAcquiring)
        return; // its answer decides what follows
    m_isAcquiring = true;
    const LeadershipRecord leadership { m_identity.node, m_identity.peerAddress, m_identity.incarnation, 0,
        storedFormat, std::max(m_identity.processorShare, m_knownLeader.largestShare),
        m_knownLeader.candidateCount };
    StoreTransaction transaction;
    transaction.conditions.push_back({ leadershipTable, cellPartition, leadershipKey, {}, version, false });
    transaction.puts.push_back(
        { leadershipTable, cellPartition, leadershipKey, encode(leadership), 0, false });
    if (m_acquireSentAt == Instant {})
        m_acquireSentAt = clockNow();
    m_services.store.transact(transaction, acquireTimeout,
        [this, version](StoreResult result) { acquireAnswered(result, version); });
}

void Election::takeOver(std::int64_t version, std::function<void(bool)> done)
{
    if (m_leader || m_isAcquiring || !mayLead() || !m_configurationWatcher.isStoreReachable(clockNow())) {
        done(false);
        return;
    }
    m_onTakenOver = std::move(done);
    m_requestedTakeovers.add();
    m_services.log.write("takeover_requested", {},
        { { "leader", m_knownLeader.node }, { "condition", std::to_string(version) } });
    acquireLeadership(version);
}

// One node at a time: the next one is asked if this one has not taken the row shortly after.
void Election::askSuccessor(std::int64_t version)
{
    const auto now = clockNow();
    const auto successors = m_candidates.successors(now);
    if (now < m_nextSuccessorRequestAt || successors.empty())
        return;
    m_nextSuccessorRequestAt = now + successorRequestInterval;
    const auto& address = successors[m_successorsAsked++ % successors.size()];
    m_services.log.write("successor_asked", {},
        { { "address", address }, { "condition", std::to_string(version) },
            { "eligible", std::to_string(successors.size()) } });
    m_peers.requestTakeover(address, version, [this, leader = std::weak_ptr(m_leader)](bool isTaken) {
        if (const auto replaced = leader.lock(); replaced && replaced == m_leader && isTaken)
            m_leader->replaced();
    });
}

void Election::acquireAnswered(const StoreResult& result, std::int64_t expectedVersion)
{
    m_isAcquiring = false;
    applyAcquireResult(result, expectedVersion);
    if (const auto onTakenOver = std::exchange(m_onTakenOver, nullptr))
        onTakenOver(m_leader != nullptr);
}

void Election::applyAcquireResult(const StoreResult& result, std::int64_t expectedVersion)
{
    if (result.outcome == StoreOutcome::Ok) {
        m_services.log.write("leadership_taken", {},
            { { "fence", std::to_string(result.version) }, { "before", m_knownLeader.node },
                { "condition", std::to_string(expectedVersion) } });
        // The row kept the expected version from m_lastReadVersionSince until this write, so no other leader
        // has committed in between.
        startLeading(
            result.version, expectedVersion == m_lastReadVersion ? m_lastReadVersionSince : clockNow());
        return;
    }
    if (result.outcome == StoreOutcome::ConditionFailed && !result.rows.empty()) {
        Reason reason;
        const auto current = decodeLeadershipRecord(result.rows.front().value, reason);
        if (current && current->node == m_identity.node && current->incarnation == m_identity.incarnation) {
            startLeading(result.rows.front().version,
                clockNow()); // an earlier attempt succeeded, but its answer was lost
            return;
        }
    }
    if (result.outcome != StoreOutcome::Unknown)
        m_acquireSentAt = {};
    m_suspectVersion = -1;
    scheduleCheck(rowReadInterval);
}

void Election::startLeading(std::int64_t version, Instant lastPredecessorCommit)
{
    if (m_hasResigned) {
        m_acquireSentAt = {};
        scheduleCheck(rowReadInterval);
        return;
    }
    m_suspectVersion = -1;
    m_isLeaderReachable = false;
    m_knownLeader = { m_identity.node, m_identity.peerAddress, m_identity.incarnation, 0, storedFormat,
        std::max(m_identity.processorShare, m_knownLeader.largestShare), m_knownLeader.candidateCount };
    m_vacantSince = {};
    m_candidates = {};
    m_staleSince = {};
    m_leader = std::make_shared<CellLeader>(m_services, m_bounds, m_knownLeader, version,
        lastPredecessorCommit, std::exchange(m_acquireSentAt, Instant {}), [this] {
            m_leader.reset();
            m_knownLeader = {};
            scheduleCheck(Duration::zero());
        });
    m_leader->onCommitsRefused([this](std::int64_t rowVersion) { askSuccessor(rowVersion); });
    m_leader->begin(*m_configurationWatcher.current(), m_configurationWatcher.evacuations());
}

void Election::resign(std::function<void()> done)
{
    m_hasResigned = true;
    if (m_leader)
        relinquish("this node is shutting down", std::move(done));
    else
        done();
}

void Election::probeReceived(const std::string& node, const std::string& address, double share)
{
    const auto now = clockNow();
    m_candidates.recordProbe(node, address, share, now);
    if (!m_leader || m_hasResigned || !m_leader->isLoaded())
        return;
    updateStaleness(now);
    if (!m_leader->canCommit(now) || now < m_nextCandidateUpdate)
        return;
    m_nextCandidateUpdate = now + candidateUpdateInterval;
    m_leader->setCandidates(std::max(m_identity.processorShare, m_candidates.largestRecentShare(now)),
        m_candidates.successors(now).size());
    const auto reason = handoverReason(now);
    if (!reason || now < m_nextHandoverAt)
        return;
    m_nextHandoverAt = now + handoverInterval;
    relinquish(*reason, [] {});
}

// While the leader can't commit, the time does not count: once the store answers again, the configuration has
// its time to arrive.
void Election::updateStaleness(Instant now)
{
    if (m_configurationWatcher.isCurrent(now) || !m_leader->canCommit(now))
        m_staleSince = {};
    else if (m_staleSince == Instant {})
        m_staleSince = now;
}

// A change of leader costs more than a short wait for the configuration, which the leader may be the last to
// read after an outage of the store.
std::optional<std::string_view> Election::handoverReason(Instant now) const
{
    if (m_staleSince != Instant {} && now - m_staleSince >= staleLeadershipLimit
        && !m_candidates.successors(now).empty())
        return "the configuration may have been replaced, and another node has the newest one";
    if (m_candidates.hasClearlyLarger(m_identity.processorShare, now))
        return "a node with a clearly larger processor share is available";
    return std::nullopt;
}

void Election::relinquish(std::string_view why, std::function<void()> done)
{
    m_leader->relinquish([this, why = std::string(why), done = std::move(done)] {
        m_services.log.write("leadership_given_up", {}, { { "reason", why } });
        m_leader->stop();
        m_leader.reset();
        m_knownLeader = {};
        scheduleCheck(Duration::zero());
        done();
    });
}

void Election::configurationChanged(const fleet::FleetConfiguration& configuration)
{
    if (m_leader)
        m_leader->configure(configuration);
}

void Election::evacuationsRead(const fleet::EvacuationView& evacuations)
{
    if (m_leader)
        m_leader->setEvacuations(evacuations);
}

} // namespace quay::edge
