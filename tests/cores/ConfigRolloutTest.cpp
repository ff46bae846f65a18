#include "Seeded.h"

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

// What `serving` lets through that `accepted` forbids; empty: nothing.
std::string forbidden(const Configuration& serving, const Configuration& accepted)
{
    for (const auto& key : serving.keys) {
        const auto other = std::find_if(accepted.keys.begin(), accepted.keys.end(),
            [&](const KeyEntry& entry) { return entry.id == key.id; });
        if (!key.withdrawn && (other == accepted.keys.end() || other->withdrawn))
            return "serves withdrawn key " + key.id;
    }
    for (const auto& [id, team] : serving.teams) {
        if (team.upperLimit > accepted.teams.at(id).upperLimit)
            return "works above the limit of " + id.text;
    }
    return {};
}

// Three entry VMs with clocks of their own, a table service, lossy links, pauses and restarts.
class Fleet {
public:
    Fleet(std::uint64_t seed, bool chaos, RolloutRules rules = {}, RolloutLimits limits = {})
        : m_choices(seed)
        , m_chaos(chaos)
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
            while (!m_wire.empty() && m_wire.begin()->first <= m_now) {
                const auto deliver = m_wire.begin()->second;
                m_wire.erase(m_wire.begin());
                deliver();
                check();
            }
            if (m_chaos)
                trouble();
            for (const auto& vm : vms)
                tick(vm);
        }
    }

    void heal()
    {
        m_chaos = false;
        m_storeDown = false;
        m_cut.clear();
        m_peersCut.clear();
        for (auto& [vm, node] : m_nodes)
            node.pausedUntil = {};
    }

    void apply(const std::string& vm, std::uint64_t base)
    {
        ApplyRequest request { "op-" + std::to_string(++m_operators), base, document(m_choices), {} };
        if (m_chaos && m_choices.percent(50))
            request.voters = { vm, *vms.rbegin() };
        m_requests[request.token] = request;
        feed(vm, rollout::Apply { request });
    }

    void changeVoters(const std::string& vm)
    {
        ApplyRequest request { "voters-" + std::to_string(++m_operators), newest(), {}, { vm, "a1" }, true };
        m_requests[request.token] = request;
        feed(vm, rollout::Apply { request });
    }

    void cut(const std::string& vm) { m_cut.insert(vm); }
    void restartAsNewWithoutRow(const std::string& vm)
    {
        restart(vm);
        m_confirmed.erase(vm);
        m_confirmsLost = vm;
    }
    void cutPeers(const std::string& vm) { m_peersCut.insert(vm); }
    void storeDown(bool down) { m_storeDown = down; }
    void restart(const std::string& vm)
    {
        auto& node = m_nodes[vm];
        node.state = startRollout(vm, clock(node), m_limits, m_rules, node.state.view);
        if (m_chaos && m_choices.percent(50))
            m_confirmed.erase(vm); // as if the VM were new
        ++node.incarnation;
        node.highest = 0;
    }

    std::uint64_t newest() const
    {
        return std::max(m_store.accepted.row.document.version, m_store.prepared.row.document.version);
    }
    std::uint64_t accepted() const { return m_store.accepted.row.document.version; }
    bool serves(const std::string& vm) { return servesKeyedWork(m_nodes[vm].state, clock(m_nodes[vm])); }
    const RolloutState& state(const std::string& vm) { return m_nodes[vm].state; }
    const std::string& violation() const { return m_violation; }
    const std::map<std::string, ErrorKind>& outcomes() const { return m_outcomes; }
    std::size_t applied() const { return m_operators; }

    bool settled()
    {
        return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) {
            return serves(vm) && state(vm).view.accepted == m_store.accepted && !state(vm).view.pending();
        });
    }

private:
    struct Node {
        RolloutState state;
        Duration offset {};
        std::int64_t ratePermille = 0;
        unsigned incarnation = 0;
        std::uint64_t highest = 0; // accepted version that this process has had
        std::uint64_t served = 0; // accepted version that keyed work was served under, by any process
        Instant pausedUntil;
        Instant nextTick;
    };

    Instant clock(const Node& node) const
    {
        const auto elapsed = m_now.time_since_epoch();
        return Instant(elapsed + elapsed * node.ratePermille / 1000 + node.offset);
    }

    void later(std::int64_t lowMs, std::int64_t highMs, std::function<void()> deliver)
    {
        m_wire.emplace(
            m_now + std::chrono::milliseconds(m_choices.between(lowMs, highMs)), std::move(deliver));
    }

    // Loses, repeats and delays; a paused process gets the message when it runs again.
    void send(std::int64_t highMs, const std::function<void()>& deliver)
    {
        if (m_chaos && m_choices.percent(10))
            return;
        later(1, m_chaos ? highMs : 50, deliver);
        if (m_chaos && m_choices.percent(10))
            later(1, highMs, deliver);
    }

    void feed(const std::string& vm, const RolloutEvent& event)
    {
        auto& node = m_nodes[vm];
        if (m_now < node.pausedUntil) {
            const auto incarnation = node.incarnation;
            m_wire.emplace(node.pausedUntil, [=, this] { answer(vm, incarnation, event); });
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

    // A request reaches the store within its lifetime or never; its answer may take longer.
    void ask(const std::string& vm, const std::function<RolloutEvent()>& effect)
    {
        const auto incarnation = m_nodes[vm].incarnation;
        send(1500, [=, this] {
            if (m_storeDown || m_cut.contains(vm))
                return;
            const auto event = effect();
            check();
            send(1500, [=, this] { answer(vm, incarnation, event); });
        });
    }

    void perform(const std::string& vm, const rollout::Read& read)
    {
        ask(vm, [=, this]() -> RolloutEvent { return rollout::ReadAnswer { read.request, m_store }; });
    }

    void perform(const std::string& vm, const rollout::Scan& scan)
    {
        ask(vm, [=, this]() -> RolloutEvent { return rollout::ScanAnswer { scan.request, m_confirmed }; });
    }

    void perform(const std::string& vm, const rollout::Confirm& confirm)
    {
        if (vm == m_confirmsLost)
            return;
        ask(vm, [=, this]() -> RolloutEvent {
            m_confirmed[vm] = confirm.version;
            return rollout::WriteAnswer { confirm.request, true, ++m_storeVersion };
        });
    }

    void perform(const std::string& vm, const rollout::Write& write)
    {
        ask(vm, [=, this]() -> RolloutEvent { return commit(write); });
    }

    RolloutEvent commit(const rollout::Write& write)
    {
        if (write.seen.accepted.storeVersion != m_store.accepted.storeVersion
            || write.seen.prepared.storeVersion != m_store.prepared.storeVersion)
            return rollout::WriteAnswer { write.request, false, 0 };
        if (!write.accepted)
            checkPrepared(write.row);
        if (write.accepted && write.row.document.version <= accepted())
            report("the accepted version fell in the store");
        auto& row = write.accepted ? m_store.accepted : m_store.prepared;
        row = { write.row, ++m_storeVersion };
        return rollout::WriteAnswer { write.request, true, row.storeVersion };
    }

    // Whoever changes the document has seen it as it is; a change of the voters leaves it as it is.
    void checkPrepared(const RolloutRow& row)
    {
        const auto& request = m_requests.at(row.by);
        if (request.base < m_contentSince || request.base > newest())
            report("operator overwrote a version not seen");
        auto before = newestRow().document;
        before.version = row.document.version;
        if (request.votersOnly && before != row.document)
            report("a change of the voters changed the document");
        if (!request.votersOnly)
            m_contentSince = row.document.version;
        if (row.contentSince != m_contentSince)
            report("the row names a wrong version as that of its document");
    }

    const RolloutRow& newestRow() const
    {
        return m_store.prepared.row.document.version == newest() ? m_store.prepared.row
                                                                 : m_store.accepted.row;
    }

    void perform(const std::string& vm, const rollout::AskPeers& question)
    {
        for (const auto& peer : vms) {
            if (peer != vm)
                send(400, [=, this] {
                    if (!m_peersCut.contains(peer) && !m_peersCut.contains(vm))
                        feed(peer, rollout::PeerAsk { vm, question.request });
                });
        }
    }

    void perform(const std::string& /*vm*/, const rollout::Reply& reply)
    {
        // The incarnation that asked may be gone; its successor numbers its requests anew, so
        // the link drops the answer as a real connection does.
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
        if (view.pending() && m_choices.percent(20))
            feed(vm, rollout::LimitsSatisfied { view.prepared.row.document.version });
    }

    void trouble()
    {
        const auto vm = *std::next(vms.begin(), static_cast<std::ptrdiff_t>(m_choices.below(vms.size())));
        const auto what = m_choices.below(2000);
        if (what < 4)
            restart(vm);
        else if (what < 10)
            m_nodes[vm].pausedUntil = m_now + std::chrono::milliseconds(m_choices.between(100, 9000));
        else if (what < 16)
            m_cut.insert(vm);
        else if (what < 30)
            m_cut.erase(vm);
        else if (what < 34)
            m_storeDown = true;
        else if (what < 44)
            m_storeDown = false;
        else if (what < 48)
            m_peersCut.insert(vm);
        else if (what < 60)
            m_peersCut.erase(vm);
        else if (what < 62)
            m_cut = vms;
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
            if (version < node.highest)
                report(vm + " stepped back");
            node.highest = std::max(node.highest, version);
            if (m_now < node.pausedUntil || !servesKeyedWork(node.state, clock(node)))
                continue;
            if (version < node.served)
                report(vm + " serves an older version than before");
            node.served = std::max(node.served, version);
            const auto fault = forbidden(effectiveConfiguration(node.state), m_store.accepted.row.document);
            if (!fault.empty())
                report(std::string(vm).append(" ").append(fault));
        }
    }

    SeededRandom m_choices;
    bool m_chaos;
    RolloutRules m_rules;
    RolloutLimits m_limits;
    Instant m_now;
    RolloutView m_store;
    std::uint64_t m_storeVersion = 0;
    std::map<std::string, std::uint64_t> m_confirmed;
    std::map<std::string, Node> m_nodes;
    std::multimap<Instant, std::function<void()>> m_wire;
    std::set<std::string> m_cut; // can't reach the store
    std::set<std::string> m_peersCut; // can't reach its peers
    bool m_storeDown = false;
    std::string m_confirmsLost; // this VM's confirmations never arrive
    std::size_t m_operators = 0;
    std::map<std::string, ApplyRequest> m_requests; // by token
    std::uint64_t m_contentSince = 1; // by our own count, not the rows'
    std::map<std::string, ErrorKind> m_outcomes;
    std::string m_violation;
};

constexpr std::uint64_t healthySeeds = 30; // keeps the run under the sanitizers short
constexpr std::uint64_t seeds = 60; // searched for a planted fault, until it is found

// Promises longer than the staleness bound: here nothing but the promise holds an acceptor back.
RolloutLimits longPromises()
{
    RolloutLimits limits;
    limits.promiseFor = 15s;
    limits.driftMargin = 700ms; // clocks of the test differ by up to 4 %
    return limits;
}

bool faultIsFound(RolloutRules rules, RolloutLimits limits)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(seed, true, rules, limits);
        fleet.run(120s);
        if (!fleet.violation().empty())
            return true;
    }
    return false;
}

// All go on without the store by each other's promises; then one VM alone reaches the store
// again, can't be heard any more, and is asked for a change.
std::string lonelyReturn(std::uint64_t seed, RolloutRules rules)
{
    Fleet fleet(seed, false, rules, longPromises());
    fleet.run(10s);
    fleet.storeDown(true);
    fleet.run(10s);
    for (const auto& vm : vms)
        CHECK(fleet.serves(vm));
    fleet.cutPeers("a1");
    fleet.cut("b1");
    fleet.cut("c1");
    fleet.storeDown(false);
    fleet.apply("a1", 1);
    fleet.run(30s);
    CHECK((fleet.accepted() == 2 || !fleet.violation().empty()));
    return fleet.violation();
}

// A new VM reads, but its row is never made; then it is cut off and a change comes.
std::string unseenNewcomer(std::uint64_t seed, RolloutRules rules)
{
    Fleet fleet(seed, false, rules);
    fleet.run(5s);
    fleet.restartAsNewWithoutRow("c1");
    fleet.run(2s);
    fleet.cut("c1");
    fleet.cutPeers("c1");
    fleet.apply("a1", 1);
    fleet.run(10s);
    CHECK((fleet.accepted() == 2 || !fleet.violation().empty()));
    return fleet.violation();
}

// A voter whose accepting write is not answered. True if it promises to accept nothing.
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
    feed(rollout::Tick {}, 8s); // past the bound of all views from before the change
    CHECK(state.acceptRequest);
    feed(rollout::PeerAsk { "b1", 1 }, 12s);
    return std::get<rollout::Reply>(actions.at(0)).answer.promised;
}

} // namespace

TEST_CASE("promises are kept and rows come before reads; breaking either rule is found")
{
    struct Row {
        std::string (*scenario)(std::uint64_t, RolloutRules);
        bool RolloutRules::*rule;
    };
    const Row rows[] = {
        { lonelyReturn, &RolloutRules::keepPromises },
        { unseenNewcomer, &RolloutRules::registerFirst },
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

TEST_CASE("no interleaving breaks the rollout, and it settles once trouble ends")
{
    std::uint64_t versions = 0;
    test::forEachSeed(healthySeeds, [&](std::uint64_t seed) {
        Fleet fleet(seed, true, {}, seed % 2 ? RolloutLimits {} : longPromises());
        fleet.run(120s);
        CHECK_MESSAGE(fleet.violation().empty(), fleet.violation());
        versions += fleet.accepted();
        fleet.heal();
        fleet.run(60s);
        CHECK_MESSAGE(fleet.violation().empty(), fleet.violation());
        CHECK(fleet.settled());
    });
    CHECK(versions > healthySeeds); // the runs do accept changes
}

TEST_CASE("each planted fault is found")
{
    struct Row {
        std::string name;
        bool RolloutRules::*rule;
    };
    const Row rows[] = {
        { "accepts without waiting", &RolloutRules::waitForConfirmations },
        { "counts freshness from the answer", &RolloutRules::countFromRequest },
        { "serves from memory after a restart", &RolloutRules::firstReadBeforeServing },
        { "takes a late answer as news", &RolloutRules::keepHighest },
        { "ignores the base version", &RolloutRules::checkBaseVersion },
        { "goes on with what a prepared version forbids", &RolloutRules::restrictByPending },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        RolloutRules rules;
        rules.*row.rule = false;
        const bool found = faultIsFound(rules, {}) || faultIsFound(rules, longPromises());
        CHECK_MESSAGE(found, row.name);
    }
}

TEST_CASE("a change is in force everywhere within ten seconds, also with one VM cut off")
{
    for (const bool oneCut : { false, true }) {
        CAPTURE(oneCut);
        Fleet fleet(7, false);
        fleet.run(5s);
        if (oneCut)
            fleet.cut("c1");
        fleet.apply("a1", 1);
        fleet.run(10s);
        CHECK(fleet.accepted() == 2);
        for (const auto& vm : vms) { // the VM that is cut off learns it from its peers
            CHECK(fleet.state(vm).view.accepted.row.document.version == 2);
            CHECK(fleet.serves(vm));
        }
        CHECK(fleet.outcomes().at("op-1") == ErrorKind::None);
    }
}

TEST_CASE("a change of the voters alone makes no operator's change conflict")
{
    struct Row {
        std::string changesVoters;
        Duration before; // the operator's change comes this much later
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
        CHECK(fleet.state("c1").view.accepted.row.by == "op-2");
        fleet.apply("b1", 1); // has seen neither
        fleet.run(10s);
        CHECK(fleet.outcomes().at("op-3") == ErrorKind::VersionConflict);
        CHECK(fleet.violation().empty());
    }
}

TEST_CASE("of two operators with the same base one wins and the other is told")
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

TEST_CASE("when nobody reaches the store and all voters are heard, keyed work goes on")
{
    Fleet fleet(5, false);
    fleet.run(10s);
    fleet.storeDown(true);
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        for (const auto& vm : vms)
            CHECK(fleet.serves(vm));
    }
    fleet.restart("c1"); // it can't know what its predecessor accepted
    fleet.run(10s);
    for (const auto& vm : vms)
        CHECK_FALSE(fleet.serves(vm));
    fleet.storeDown(false);
    fleet.run(10s);
    CHECK(fleet.settled());
}

TEST_CASE("a row is the same after a round through JSON")
{
    SeededRandom choices(1);
    RolloutRow row { document(choices), vms, "op-1", 3 };
    row.document.version = 5;
    Reason reason;
    CHECK(parseRolloutRow(toJson(row), reason) == row);
    auto older = boost::json::parse(toJson(row)).as_object();
    older.erase("content_since"); // a row written before the field existed
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
