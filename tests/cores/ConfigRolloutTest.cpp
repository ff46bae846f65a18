#include "SeededRandom.h"

#include "quay/core/ConfigRollout.h"

#include <algorithm>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <functional>

using namespace quay;
using test::SeededRandom;

namespace {

const std::set<std::string> vms { "a1", "b1", "c1" };

Configuration document(SeededRandom& choices)
{
    Configuration configuration;
    for (const auto* team : { "clinic", "agents" })
        configuration.teams[TeamId { team }]
            = { 1, static_cast<std::uint32_t>(choices.between(1, 4) * 5), 100 };
    for (const auto* key : { "k1", "k2", "k3", "k4" })
        configuration.keys.push_back({ key, KeyRole::Team, TeamId { "clinic" }, key, choices.percent(30) });
    return configuration;
}

// Describes something that `serving` allows and `accepted` forbids; empty if there is nothing.
std::string findForbidden(const Configuration& serving, const Configuration& accepted)
{
    for (const auto& key : serving.keys) {
        const auto other = std::find_if(accepted.keys.begin(), accepted.keys.end(),
            [&](const KeyEntry& entry) { return entry.id == key.id; });
        if (!key.withdrawn && (other == accepted.keys.end() || other->withdrawn))
            return "serves withdrawn key " + key.id;
    }
    for (const auto& [id, team] : serving.teams) {
        if (team.upperLimit > accepted.teams.at(id).upperLimit)
            return "exceeds the limit of " + id.text;
    }
    return {};
}

// Simulates three entry VMs with drifting clocks and a table service. Optionally injects message loss,
// duplication and delay, process pauses and restarts.
class Fleet {
public:
    Fleet(std::uint64_t seed, bool hasFaults, RolloutRules rules = {}, RolloutLimits limits = {})
        : m_choices(seed)
        , m_hasFaults(hasFaults)
        , m_rules(rules)
        , m_limits(limits)
    {
        m_store.accepted.row = { document(m_choices), vms, "first", 1 };
        m_store.accepted.row.document.version = 1;
        m_store.accepted.storeVersion = ++m_storeVersion;
        for (const auto& vm : vms) {
            m_nodes[vm].offset = Duration(m_choices.between(0, 1'000'000'000'000));
            m_nodes[vm].ratePermille = m_choices.between(-20, 20);
            restart(vm);
        }
    }

    void run(Duration span)
    {
        const auto end = m_now + span;
        while (m_now < end && m_violation.empty()) {
            m_now += 50ms;
            while (!m_messagesInFlight.empty() && m_messagesInFlight.begin()->first <= m_now) {
                const auto deliver = m_messagesInFlight.begin()->second;
                m_messagesInFlight.erase(m_messagesInFlight.begin());
                deliver();
                check();
            }
            if (m_hasFaults)
                injectFault();
            for (const auto& vm : vms)
                tick(vm);
        }
    }

    void stopFaults()
    {
        m_hasFaults = false;
        m_isStoreDown = false;
        m_disconnectedFromStore.clear();
        m_disconnectedFromPeers.clear();
        for (auto& [vm, node] : m_nodes)
            node.pausedUntil = {};
    }

    void apply(const std::string& vm, std::uint64_t baseVersion)
    {
        ApplyRequest request { "op-" + std::to_string(++m_requestCount), baseVersion, document(m_choices),
            {} };
        if (m_hasFaults && m_choices.percent(50))
            request.voters = { vm, *vms.rbegin() };
        m_requests[request.token] = request;
        feed(vm, rollout::Apply { request });
    }

    void changeVoters(const std::string& vm)
    {
        ApplyRequest request { "voters-" + std::to_string(++m_requestCount), newest(), {}, { vm, "a1" },
            true };
        m_requests[request.token] = request;
        feed(vm, rollout::Apply { request });
    }

    void disconnectFromStore(const std::string& vm) { m_disconnectedFromStore.insert(vm); }
    void restartAsNewWithoutRow(const std::string& vm)
    {
        restart(vm);
        m_confirmed.erase(vm);
        m_vmWithLostConfirms = vm;
    }
    void disconnectFromPeers(const std::string& vm) { m_disconnectedFromPeers.insert(vm); }
    void setStoreDown(bool down) { m_isStoreDown = down; }
    void restart(const std::string& vm)
    {
        auto& node = m_nodes[vm];
        node.state = startRollout(vm, clock(node), m_limits, m_rules, node.state.view);
        if (m_hasFaults && m_choices.percent(50))
            m_confirmed.erase(vm); // like a new VM without a row
        ++node.incarnation;
        node.highestVersion = 0;
    }

    std::uint64_t newest() const
    {
        return std::max(m_store.accepted.row.document.version, m_store.prepared.row.document.version);
    }
    std::uint64_t accepted() const { return m_store.accepted.row.document.version; }
    bool mayServe(const std::string& vm)
    {
        return mayServeAuthenticatedWork(m_nodes[vm].state, clock(m_nodes[vm]));
    }
    const RolloutState& state(const std::string& vm) { return m_nodes[vm].state; }
    const std::string& violation() const { return m_violation; }
    const std::map<std::string, ErrorKind>& outcomes() const { return m_outcomes; }
    std::size_t requestCount() const { return m_requestCount; }

    bool hasConverged()
    {
        return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) {
            return mayServe(vm) && state(vm).view.accepted == m_store.accepted
                && !state(vm).view.hasPendingVersion();
        });
    }

private:
    struct Node {
        RolloutState state;
        Duration offset {};
        std::int64_t ratePermille = 0;
        unsigned incarnation = 0;
        std::uint64_t highestVersion = 0; // highest accepted version of this process
        // Highest version used for authenticated work by any process of the VM.
        std::uint64_t servedVersion = 0;
        Instant pausedUntil;
        Instant nextTick;
    };

    Instant clock(const Node& node) const
    {
        const auto elapsed = m_now.time_since_epoch();
        return Instant(elapsed + elapsed * node.ratePermille / 1000 + node.offset);
    }

    void deliverLater(std::int64_t lowMs, std::int64_t highMs, std::function<void()> deliver)
    {
        m_messagesInFlight.emplace(
            m_now + std::chrono::milliseconds(m_choices.between(lowMs, highMs)), std::move(deliver));
    }

    // Delivers a message with random loss, duplication and delay. feed() postpones it while the process is
    // paused.
    void send(std::int64_t highMs, const std::function<void()>& deliver)
    {
        if (m_hasFaults && m_choices.percent(10))
            return;
        deliverLater(1, m_hasFaults ? highMs : 50, deliver);
        if (m_hasFaults && m_choices.percent(10))
            deliverLater(1, highMs, deliver);
    }

    void feed(const std::string& vm, const RolloutEvent& event)
    {
        auto& node = m_nodes[vm];
        if (m_now < node.pausedUntil) {
            const auto incarnation = node.incarnation;
            m_messagesInFlight.emplace(node.pausedUntil, [=, this] { answer(vm, incarnation, event); });
            return;
        }
        auto result = step(std::move(node.state), event, clock(node));
        node.state = std::move(result.state);
        check();
        for (const auto& action : result.actions)
            std::visit([&](const auto& one) { perform(vm, one); }, action);
    }

    void answer(const std::string& vm, unsigned incarnation, const RolloutEvent& event)
    {
        if (m_nodes[vm].incarnation == incarnation)
            feed(vm, event);
    }

    // A request reaches the store within its lifetime or never; its answer may arrive later.
    void callStore(const std::string& vm, const std::function<RolloutEvent()>& effect)
    {
        const auto incarnation = m_nodes[vm].incarnation;
        send(1500, [=, this] {
            if (m_isStoreDown || m_disconnectedFromStore.contains(vm))
                return;
            const auto event = effect();
            check();
            send(1500, [=, this] { answer(vm, incarnation, event); });
        });
    }

    void perform(const std::string& vm, const rollout::Read& read)
    {
        callStore(vm, [=, this]() -> RolloutEvent { return rollout::ReadAnswer { read.request, m_store }; });
    }

    void perform(const std::string& vm, const rollout::Scan& scan)
    {
        callStore(vm, [=, this]() -> RolloutEvent {
            return rollout::ScanAnswer { scan.request, m_confirmed };
        });
    }

    void perform(const std::string& vm, const rollout::Confirm& confirm)
    {
        if (vm == m_vmWithLostConfirms)
            return;
        callStore(vm, [=, this]() -> RolloutEvent {
            m_confirmed[vm] = confirm.version;
            return rollout::WriteAnswer { confirm.request, true, ++m_storeVersion };
        });
    }

    void perform(const std::string& vm, const rollout::Write& write)
    {
        callStore(vm, [=, this]() -> RolloutEvent { return commit(write); });
    }

    RolloutEvent commit(const rollout::Write& write)
    {
        if (write.seen.accepted.storeVersion != m_store.accepted.storeVersion
            || write.seen.prepared.storeVersion != m_store.prepared.storeVersion)
            return rollout::WriteAnswer { write.request, false, 0 };
        if (!write.accepted)
            checkPrepared(write.row);
        if (write.accepted && write.row.document.version <= accepted())
            report("the accepted version in the store decreased");
        auto& row = write.accepted ? m_store.accepted : m_store.prepared;
        row = { write.row, ++m_storeVersion };
        return rollout::WriteAnswer { write.request, true, row.storeVersion };
    }

    // A change of the document must be based on the newest document; a change of the voters must not modify
    // it.
    void checkPrepared(const RolloutRow& row)
    {
        const auto& request = m_requests.at(row.requestToken);
        if (request.baseVersion < m_contentSince || request.baseVersion > newest())
            report("an operator overwrote a version without having seen it");
        auto before = newestRow().document;
        before.version = row.document.version;
        if (request.votersOnly && before != row.document)
            report("a change of the voters changed the document");
        if (!request.votersOnly)
            m_contentSince = row.document.version;
        if (row.contentSince != m_contentSince)
            report("the row has a wrong version for the start of its document");
    }

    const RolloutRow& newestRow() const
    {
        return m_store.prepared.row.document.version == newest() ? m_store.prepared.row
                                                                 : m_store.accepted.row;
    }

    void perform(const std::string& vm, const rollout::QueryPeers& question)
    {
        for (const auto& peer : vms) {
            if (peer != vm)
                send(400, [=, this] {
                    if (!m_disconnectedFromPeers.contains(peer) && !m_disconnectedFromPeers.contains(vm))
                        feed(peer, rollout::PeerQuery { vm, question.request });
                });
        }
    }

    void perform(const std::string& /*vm*/, const rollout::Reply& reply)
    {
        // The process may have restarted since its query. Its new incarnation reuses request numbers, so the
        // answer is dropped, as on a real connection.
        const auto incarnation = m_nodes[reply.to].incarnation;
        send(400, [=, this] { answer(reply.to, incarnation, reply.answer); });
    }

    void perform(const std::string& /*vm*/, const rollout::ApplyDone& done)
    {
        m_outcomes[done.token] = done.kind;
    }

    void tick(const std::string& vm)
    {
        auto& node = m_nodes[vm];
        if (m_now < node.nextTick || m_now < node.pausedUntil)
            return;
        node.nextTick = m_now + std::chrono::milliseconds(m_choices.between(100, 300));
        satisfyLimits(vm);
        feed(vm, rollout::Tick {});
    }

    void satisfyLimits(const std::string& vm)
    {
        const auto& view = state(vm).view;
        if (view.hasPendingVersion() && m_choices.percent(20))
            feed(vm, rollout::LimitsSatisfied { view.prepared.row.document.version });
    }

    void injectFault()
    {
        const auto vm = *std::next(vms.begin(), static_cast<std::ptrdiff_t>(m_choices.below(vms.size())));
        const auto what = m_choices.below(2000);
        if (what < 4)
            restart(vm);
        else if (what < 10)
            m_nodes[vm].pausedUntil = m_now + std::chrono::milliseconds(m_choices.between(100, 9000));
        else if (what < 16)
            m_disconnectedFromStore.insert(vm);
        else if (what < 30)
            m_disconnectedFromStore.erase(vm);
        else if (what < 34)
            m_isStoreDown = true;
        else if (what < 44)
            m_isStoreDown = false;
        else if (what < 48)
            m_disconnectedFromPeers.insert(vm);
        else if (what < 60)
            m_disconnectedFromPeers.erase(vm);
        else if (what < 62)
            m_disconnectedFromStore = vms;
        else if (what < 65)
            changeVoters(vm);
        else if (what < 100)
            apply(vm, newest() - (m_choices.percent(30) ? 1 : 0));
    }

    void report(const std::string& what)
    {
        if (m_violation.empty())
            m_violation = what + " at " + std::to_string(toMilliseconds(m_now.time_since_epoch())) + " ms";
    }

    void check()
    {
        for (auto& [vm, node] : m_nodes) {
            const auto version = node.state.view.accepted.row.document.version;
            if (version < node.highestVersion)
                report(vm + " returned to a lower version");
            node.highestVersion = std::max(node.highestVersion, version);
            if (m_now < node.pausedUntil || !mayServeAuthenticatedWork(node.state, clock(node)))
                continue;
            if (version < node.servedVersion)
                report(vm + " serves a lower version than before");
            node.servedVersion = std::max(node.servedVersion, version);
            const auto fault
                = findForbidden(effectiveConfiguration(node.state), m_store.accepted.row.document);
            if (!fault.empty())
                report(std::string(vm).append(" ").append(fault));
        }
    }

    SeededRandom m_choices;
    bool m_hasFaults;
    RolloutRules m_rules;
    RolloutLimits m_limits;
    Instant m_now;
    RolloutView m_store;
    std::uint64_t m_storeVersion = 0;
    std::map<std::string, std::uint64_t> m_confirmed;
    std::map<std::string, Node> m_nodes;
    std::multimap<Instant, std::function<void()>> m_messagesInFlight;
    std::set<std::string> m_disconnectedFromStore; // VMs that can't reach the store
    std::set<std::string> m_disconnectedFromPeers; // VMs that can't reach their peers
    bool m_isStoreDown = false;
    std::string m_vmWithLostConfirms; // this VM's confirmations never arrive
    std::size_t m_requestCount = 0;
    std::map<std::string, ApplyRequest> m_requests; // by token
    std::uint64_t m_contentSince = 1; // tracked independently of the rows
    std::map<std::string, ErrorKind> m_outcomes;
    std::string m_violation;
};

constexpr std::uint64_t invariantSeeds = 30; // bounds the run time under the sanitizers
constexpr std::uint64_t faultSeeds = 60; // maximum seeds tried to detect a disabled rule

// Promises that last longer than the staleness bound, so that only the promise can block an acceptor.
RolloutLimits longPromises()
{
    RolloutLimits limits;
    limits.promiseDuration = 15s;
    limits.driftMargin = 700ms; // clocks of the test differ by up to 4 %
    return limits;
}

bool faultIsFound(RolloutRules rules, RolloutLimits limits)
{
    for (std::uint64_t seed = 1; seed <= faultSeeds; ++seed) {
        Fleet fleet(seed, true, rules, limits);
        fleet.run(120s);
        if (!fleet.violation().empty())
            return true;
    }
    return false;
}

// All VMs keep serving without the store because of each other's promises. Then one VM reconnects to the
// store, is disconnected from its peers and gets a change to apply.
std::string oneVmReconnects(std::uint64_t seed, RolloutRules rules)
{
    Fleet fleet(seed, false, rules, longPromises());
    fleet.run(10s);
    fleet.setStoreDown(true);
    fleet.run(10s);
    for (const auto& vm : vms)
        CHECK(fleet.mayServe(vm));
    fleet.disconnectFromPeers("a1");
    fleet.disconnectFromStore("b1");
    fleet.disconnectFromStore("c1");
    fleet.setStoreDown(false);
    fleet.apply("a1", 1);
    fleet.run(30s);
    CHECK((fleet.accepted() == 2 || !fleet.violation().empty()));
    return fleet.violation();
}

// A new VM reads the configuration, but its row is never written. Then it is disconnected and a change is
// applied.
std::string newVmWithoutRow(std::uint64_t seed, RolloutRules rules)
{
    Fleet fleet(seed, false, rules);
    fleet.run(5s);
    fleet.restartAsNewWithoutRow("c1");
    fleet.run(2s);
    fleet.disconnectFromStore("c1");
    fleet.disconnectFromPeers("c1");
    fleet.apply("a1", 1);
    fleet.run(10s);
    CHECK((fleet.accepted() == 2 || !fleet.violation().empty()));
    return fleet.violation();
}

// A voter has an unanswered accepting write. Returns true if it still promises to accept no version.
bool promisesWithWriteInFlight(RolloutRules rules)
{
    SeededRandom choices(1);
    RolloutView view { { { document(choices), { "a1" }, "first" }, 1 }, {} };
    view.accepted.row.document.version = 1;
    view.prepared = { view.accepted.row, 2 };
    view.prepared.row.document.version = 2;
    const Instant start;
    auto state = startRollout("a1", start, {}, rules);
    std::vector<RolloutAction> actions;
    const auto feed = [&](const RolloutEvent& event, Duration at) {
        auto result = step(std::move(state), event, start + at);
        state = std::move(result.state);
        actions = std::move(result.actions);
    };
    feed(rollout::Tick {}, 3s);
    feed(rollout::WriteAnswer { std::get<rollout::Confirm>(actions.at(0)).request, true, 3 }, 3s);
    feed(rollout::ReadAnswer { std::get<rollout::Read>(actions.at(0)).request, view }, 3s);
    for (const auto at : { 5s, 7s }) {
        feed(rollout::Tick {}, at);
        feed(rollout::ReadAnswer { std::get<rollout::Read>(actions.at(1)).request, view }, at);
    }
    feed(rollout::Tick {}, 8s); // after all views from before the change have expired
    CHECK(state.acceptRequest);
    feed(rollout::PeerQuery { "b1", 1 }, 12s);
    return std::get<rollout::Reply>(actions.at(0)).answer.promised;
}

} // namespace

TEST_CASE("promises are kept and rows are written before reads; violating either rule is detected")
{
    struct Row {
        std::string (*scenario)(std::uint64_t, RolloutRules);
        bool RolloutRules::*rule;
    };
    const Row rows[] = {
        { oneVmReconnects, &RolloutRules::keepPromises },
        { newVmWithoutRow, &RolloutRules::registerFirst },
    };
    for (const auto& row : rows) {
        RolloutRules broken;
        broken.*row.rule = false;
        bool found = false;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const auto violation = row.scenario(seed, {});
            CHECK_MESSAGE(violation.empty(), violation);
            found = found || !row.scenario(seed, broken).empty();
        }
        CHECK(found);
    }
}

TEST_CASE("no promise is given while an accepting write may still take effect")
{
    RolloutRules broken;
    broken.promiseOnlyIfResolved = false;
    CHECK_FALSE(promisesWithWriteInFlight({}));
    CHECK(promisesWithWriteInFlight(broken));
}

TEST_CASE("no interleaving violates an invariant, and the rollout converges once faults end")
{
    std::uint64_t versions = 0;
    test::forEachSeed(invariantSeeds, [&](std::uint64_t seed) {
        Fleet fleet(seed, true, {}, seed % 2 ? RolloutLimits {} : longPromises());
        fleet.run(120s);
        CHECK_MESSAGE(fleet.violation().empty(), fleet.violation());
        versions += fleet.accepted();
        fleet.stopFaults();
        fleet.run(60s);
        CHECK_MESSAGE(fleet.violation().empty(), fleet.violation());
        CHECK(fleet.hasConverged());
    });
    CHECK(versions > invariantSeeds); // the runs must accept changes
}

TEST_CASE("each disabled safety rule is detected")
{
    struct Row {
        std::string name;
        bool RolloutRules::*rule;
    };
    const Row rows[] = {
        { "accepts without waiting for confirmations", &RolloutRules::waitForConfirmations },
        { "measures freshness from the answer", &RolloutRules::countFromRequest },
        { "serves the stored view after a restart", &RolloutRules::firstReadBeforeServing },
        { "lets a late answer replace a newer row", &RolloutRules::keepHighest },
        { "ignores the base version", &RolloutRules::checkBaseVersion },
        { "keeps allowing what a prepared version forbids", &RolloutRules::restrictByPending },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        RolloutRules rules;
        rules.*row.rule = false;
        const bool found = faultIsFound(rules, {}) || faultIsFound(rules, longPromises());
        CHECK_MESSAGE(found, row.name);
    }
}

TEST_CASE("a change is effective on all VMs within ten seconds, even if one VM can't reach the store")
{
    for (const bool isOneDisconnected : { false, true }) {
        CAPTURE(isOneDisconnected);
        Fleet fleet(7, false);
        fleet.run(5s);
        if (isOneDisconnected)
            fleet.disconnectFromStore("c1");
        fleet.apply("a1", 1);
        fleet.run(10s);
        CHECK(fleet.accepted() == 2);
        for (const auto& vm : vms) { // the VM without the store learns it from its peers
            CHECK(fleet.state(vm).view.accepted.row.document.version == 2);
            CHECK(fleet.mayServe(vm));
        }
        CHECK(fleet.outcomes().at("op-1") == ErrorKind::None);
    }
}

TEST_CASE("a change of only the voters never conflicts with an operator's change")
{
    struct Row {
        std::string changesVoters;
        Duration before; // delay of the operator's change
        bool hasSeenIt;
    };
    for (const auto& row : { Row { "a1", 0ms, false }, Row { "b1", 0ms, false }, Row { "a1", 500ms, false },
             Row { "b1", 500ms, false }, Row { "a1", 10s, false }, Row { "b1", 10s, true } }) {
        CAPTURE(row.changesVoters);
        CAPTURE(toMilliseconds(row.before));
        Fleet fleet(3, false);
        fleet.run(5s);
        fleet.changeVoters(row.changesVoters);
        fleet.run(row.before);
        fleet.apply("a1", row.hasSeenIt ? 2 : 1);
        fleet.run(15s);
        CHECK(fleet.outcomes().at("op-2") == ErrorKind::None);
        CHECK(fleet.state("c1").view.accepted.row.requestToken == "op-2");
        fleet.apply("b1", 1); // based on a version before both changes
        fleet.run(10s);
        CHECK(fleet.outcomes().at("op-3") == ErrorKind::VersionConflict);
        CHECK(fleet.violation().empty());
    }
}

TEST_CASE("of two changes with the same base one succeeds and the other gets a conflict")
{
    Fleet fleet(3, false);
    fleet.run(5s);
    fleet.apply("a1", 1);
    fleet.apply("b1", 1);
    fleet.run(10s);
    std::multiset<ErrorKind> kinds;
    for (const auto& [token, kind] : fleet.outcomes())
        kinds.insert(kind);
    CHECK(kinds == std::multiset<ErrorKind> { ErrorKind::None, ErrorKind::VersionConflict });
    CHECK(fleet.accepted() == 2);
}

TEST_CASE("authenticated work continues while no VM reaches the store and all voters answer")
{
    Fleet fleet(5, false);
    fleet.run(10s);
    fleet.setStoreDown(true);
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        for (const auto& vm : vms)
            CHECK(fleet.mayServe(vm));
    }
    fleet.restart("c1"); // the new process can't know what the previous one accepted
    fleet.run(10s);
    for (const auto& vm : vms)
        CHECK_FALSE(fleet.mayServe(vm));
    fleet.setStoreDown(false);
    fleet.run(10s);
    CHECK(fleet.hasConverged());
}

TEST_CASE("a rollout row survives a round trip through JSON")
{
    SeededRandom choices(1);
    RolloutRow row { document(choices), vms, "op-1", 3 };
    row.document.version = 5;
    Reason reason;
    CHECK(parseRolloutRow(toJson(row), reason) == row);
    auto older = boost::json::parse(toJson(row)).as_object();
    older.erase("content_since"); // rows of earlier releases lack the field
    row.contentSince = 5;
    CHECK(parseRolloutRow(boost::json::serialize(older), reason) == row);
    for (const auto* wrong :
        { "", "[]", "{}", "{\"by\":1}", "{\"by\":\"x\",\"voters\":[],\"document\":{}}" }) {
        CAPTURE(wrong);
        reason = {};
        CHECK_FALSE(parseRolloutRow(wrong, reason));
        CHECK(reason.kind == ErrorKind::InvalidConfiguration);
    }
}
