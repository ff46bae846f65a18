#include "edge/ApprovalBroker.h"

#include <algorithm>

namespace quay::edge {

namespace {

constexpr double longCallMs = 120; // beyond this a call would make an urgent step miss its objective
constexpr auto callerExpiry = 1500ms; // a few greetings
constexpr auto spareTime = 1000ms; // beyond the expected end of a call

} // namespace

ApprovalBroker::ApprovalBroker(platform::ApprovalClient& own, DurationHistogram& queueTime, Forward forward)
    : m_own(own)
    , m_queueTime(queueTime)
    , m_forward(std::move(forward))
{
}

void ApprovalBroker::callerSeen(const std::string& node, const std::string& address, Instant now)
{
    auto& caller = m_callers[node];
    caller.address = address;
    caller.lastSeen = now;
}

int ApprovalBroker::callers(Instant now) const
{
    return static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [&](const auto& it) {
        return it.second.address.empty() || now - it.second.lastSeen < callerExpiry;
    }));
}

void ApprovalBroker::ask(const std::string& step, const std::vector<std::string>& workers, double expectedMs,
    Instant now, Done done)
{
    std::vector<Caller*> alive;
    for (auto& [node, caller] : m_callers) {
        if (caller.address.empty() || now - caller.lastSeen < callerExpiry)
            alive.push_back(&caller);
    }
    // With two nodes or more the first third serves short calls only.
    const bool isLong = expectedMs > longCallMs;
    const std::size_t reserved = alive.size() > 1 ? std::max<std::size_t>(1, alive.size() / 3) : 0;
    const std::size_t first = isLong ? reserved : 0;
    auto it = std::min_element(alive.begin() + static_cast<std::ptrdiff_t>(first), alive.end(),
        [&](const Caller* a, const Caller* b) {
            return std::max(a->busyUntil, now) < std::max(b->busyUntil, now);
        });
    if (it == alive.end()) {
        done({});
        return;
    }
    auto& caller = **it;
    const auto length = std::chrono::microseconds(static_cast<long long>(expectedMs * 1000));
    m_queueTime.record(std::max<Duration>(caller.busyUntil - now, {}));
    caller.busyUntil = std::max(caller.busyUntil, now) + length;
    const auto timeout = caller.busyUntil - now + spareTime;
    if (caller.address.empty())
        m_own.requestApprovals(step, workers, timeout, std::move(done));
    else
        m_forward(caller.address, step, workers, timeout, std::move(done));
}

} // namespace quay::edge
