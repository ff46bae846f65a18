#include "edge/Election.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace quay::edge {

using namespace platform;

namespace {

constexpr auto greetInterval = 300ms;
constexpr auto greetTimeout = 600ms;
constexpr auto examineTimeout = 800ms;
constexpr auto examineInterval = 180ms;
constexpr auto silenceUntilReplaced = 700ms; // two heartbeats of a leader without work
constexpr auto silenceOfUnusable = 250ms; // of a leader that says itself that the store refuses it
constexpr auto jitterLongest = 120; // ms; spreads candidates over a few transactions
constexpr auto acquireTimeout = 1200ms;
constexpr auto weakPatience = 800ms; // a strong candidate has seen the silence and written the row by then
constexpr auto handOverPause = 15000ms; // of one node; many times what a change of leader costs

Instant clockNow() { return std::chrono::steady_clock::now(); }

} // namespace

Election::Election(EdgeServices services, PeerClient& peers, ConfigurationFollower& follower,
    Identity identity, const fleet::SchedulerBounds& bounds)
    : m_services(services)
    , m_peers(peers)
    , m_follower(follower)
    , m_identity(std::move(identity))
    , m_bounds(bounds)
    , m_timer(services.context)
{
}

void Election::start() { examine(); }

void Election::schedule(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            step();
    });
}

void Election::step()
{
    if (m_leader)
        return;
    if (m_suspectVersion < 0 && !m_known.address.empty())
        greet();
    else
        examine();
}

void Election::greet()
{
    m_peers.greet(m_known.address, self(), greetTimeout, [this](Greeting greeting) { greeted(greeting); });
}

// The share is that of a candidate: a node that could not lead now names none.
Greeter Election::self() const
{
    const bool isFit = !m_isRetired && m_follower.current() && m_follower.isStoreReachable(clockNow());
    return { m_identity.node, m_identity.peerAddress, isFit ? m_identity.processorShare : 0 };
}

void Election::greeted(const Greeting& greeting)
{
    if (m_leader)
        return;
    if (greeting.isAnswered && greeting.isLeader && greeting.isUsable) {
        if (!m_isLeaderUp)
            m_services.log.write(
                "leader_found", {}, { { "leader", m_known.node }, { "address", m_known.address } });
        m_isLeaderUp = true;
        if (greeting.pending) {
            m_pending = *greeting.pending;
            m_pendingAt = clockNow();
        }
        if (greeting.configurationVersion > m_follower.version())
            m_follower.refresh();
        schedule(greetInterval);
        return;
    }
    m_isUnusable = greeting.isAnswered && greeting.isLeader;
    if (m_isLeaderUp)
        m_services.log.write("leader_missed", {},
            { { "leader", m_known.node }, { "answered", greeting.isAnswered ? "yes" : "no" },
                { "leads", greeting.isLeader ? "yes" : "no" },
                { "usable", greeting.isUsable ? "yes" : "no" } });
    m_isLeaderUp = false;
    examine();
}

void Election::examine()
{
    m_services.store.readRow(
        leadTable, cellPartition, leadKey, examineTimeout, [this](StoreResult result) { examined(result); });
}

void Election::examined(const StoreResult& result)
{
    if (m_leader)
        return;
    if (result.outcome != StoreOutcome::Ok) {
        schedule(examineInterval);
        return;
    }
    const auto now = clockNow();
    const bool mayLead = !m_isRetired && m_follower.current();
    if (result.rows.empty()) {
        if (mayLead)
            acquire(0);
        else
            schedule(examineInterval);
        return;
    }
    const auto& row = result.rows.front();
    if (row.version != m_seenVersion)
        m_seenSince = now;
    m_seenVersion = row.version;
    Reason reason;
    const auto lead = decodeLeadRecord(row.value, reason);
    const bool isVacant = !lead || lead->node.empty();
    const bool isOwnPast
        = lead && lead->node == m_identity.node && lead->incarnation != m_identity.incarnation;
    const Duration patience = lead && isWeak(m_identity.processorShare, lead->strongestShare)
        ? Duration(weakPatience)
        : Duration();
    if (!isVacant && !isOwnPast)
        m_vacantSince = {};
    else if (m_vacantSince == Instant {})
        m_vacantSince = now;
    if (isVacant || isOwnPast) {
        m_isLeaderUp = false;
        if (mayLead && now - m_vacantSince >= patience)
            acquire(row.version);
        else
            schedule(examineInterval);
        return;
    }
    const bool isNew = lead->incarnation != m_known.incarnation;
    m_known = *lead;
    if (isNew || row.version != m_suspectVersion) {
        // Another leader, or this one is at work: greet it, and measure its silence from here.
        m_suspectVersion = row.version;
        m_suspectedAt = now;
        if (isNew) {
            m_suspectVersion = -1;
            schedule(Duration::zero());
        } else {
            schedule(examineInterval);
            m_peers.greet(m_known.address, self(), greetTimeout, [this](const Greeting& greeting) {
                m_isUnusable = greeting.isAnswered && greeting.isLeader && !greeting.isUsable;
                if (m_leader || !greeting.isAnswered || !greeting.isLeader || !greeting.isUsable)
                    return;
                m_suspectVersion = -1;
                greeted(greeting);
            });
        }
        return;
    }
    const auto jitter = std::chrono::milliseconds(std::hash<std::string>()(m_identity.node) % jitterLongest);
    const auto silence = m_isUnusable ? silenceOfUnusable : silenceUntilReplaced;
    if (mayLead && now - m_suspectedAt >= silence + jitter + patience)
        acquire(row.version);
    else
        schedule(examineInterval);
}

void Election::acquire(std::int64_t version)
{
    const LeadRecord lead { m_identity.node, m_identity.peerAddress, m_identity.incarnation, 0,
        std::max(m_identity.processorShare, m_known.strongestShare) };
    StoreTransaction transaction;
    transaction.conditions.push_back({ leadTable, cellPartition, leadKey, {}, version, false });
    transaction.puts.push_back({ leadTable, cellPartition, leadKey, encode(lead), 0, false });
    if (m_acquireSentAt == Instant {})
        m_acquireSentAt = clockNow();
    m_services.store.transact(
        transaction, acquireTimeout, [this, version](StoreResult result) { acquired(result, version); });
}

void Election::acquired(const StoreResult& result, std::int64_t condition)
{
    if (result.outcome == StoreOutcome::Ok) {
        m_services.log.write("leadership_taken", {},
            { { "fence", std::to_string(result.version) }, { "before", m_known.node },
                { "condition", std::to_string(condition) } });
        // The row had this version from its first read on, so nobody has committed since.
        lead(result.version, condition == m_seenVersion ? m_seenSince : clockNow());
        return;
    }
    if (result.outcome == StoreOutcome::ConditionFailed && !result.rows.empty()) {
        Reason reason;
        const auto now = decodeLeadRecord(result.rows.front().value, reason);
        if (now && now->node == m_identity.node && now->incarnation == m_identity.incarnation) {
            lead(result.rows.front().version, clockNow()); // an attempt whose answer was lost
            return;
        }
    }
    if (result.outcome != StoreOutcome::Unknown)
        m_acquireSentAt = {};
    m_suspectVersion = -1;
    schedule(examineInterval);
}

void Election::lead(std::int64_t version, Instant lastForeignCommit)
{
    if (m_isRetired) {
        m_acquireSentAt = {};
        schedule(examineInterval);
        return;
    }
    m_suspectVersion = -1;
    m_isLeaderUp = false;
    m_known = { m_identity.node, m_identity.peerAddress, m_identity.incarnation, 0,
        std::max(m_identity.processorShare, m_known.strongestShare) };
    m_vacantSince = {};
    m_strengths = {};
    m_leader = std::make_shared<CellLeader>(m_services, m_bounds, m_known, version, lastForeignCommit,
        std::exchange(m_acquireSentAt, Instant {}), [this] {
            m_leader.reset();
            m_known = {};
            schedule(Duration::zero());
        });
    m_leader->begin(*m_follower.current());
}

void Election::retire(std::function<void()> done)
{
    m_isRetired = true;
    if (m_leader)
        giveUp("this node stops", std::move(done));
    else
        done();
}

void Election::heard(const std::string& node, double share)
{
    const auto now = clockNow();
    m_strengths.heard(node, share, now);
    if (!m_leader || m_isRetired || !m_leader->isLoaded() || !m_leader->isUsable(now))
        return;
    m_leader->strongestNode(std::max(m_identity.processorShare, m_strengths.strongest(now)));
    if (now < m_nextHandOver || !m_strengths.hasStronger(m_identity.processorShare, now))
        return;
    m_nextHandOver = now + handOverPause;
    giveUp("a stronger node is there", [] {});
}

void Election::giveUp(std::string_view why, std::function<void()> done)
{
    m_leader->giveUp([this, why = std::string(why), done = std::move(done)] {
        m_services.log.write("leadership_given_up", {}, { { "reason", why } });
        m_leader->stop();
        m_leader.reset();
        m_known = {};
        schedule(Duration::zero());
        done();
    });
}

void Election::configurationChanged(const fleet::FleetConfiguration& configuration)
{
    if (m_leader)
        m_leader->configure(configuration);
}

} // namespace quay::edge
