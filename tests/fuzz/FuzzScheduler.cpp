#include "Wire.h"
#include "fuzz/Fuzz.h"
#include "quay/fleet/FleetScheduler.h"

#include <algorithm>

using namespace quay;
using namespace quay::fleet;

namespace {

// The input is divided by lines that contain only "=": a job's request, its record, reports of an executor.
std::vector<std::string> splitParts(const std::string& input)
{
    constexpr std::string_view divider = "\n=\n";
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (auto end = input.find(divider); end != std::string::npos; end = input.find(divider, begin)) {
        parts.push_back(input.substr(begin, end - begin));
        begin = end + divider.size();
    }
    parts.push_back(input.substr(begin));
    return parts;
}

// Commits and answers everything that the scheduler asks for.
void carryOut(FleetScheduler& scheduler, const std::vector<ExecutorReport>& reports, Instant& now)
{
    std::size_t next = 0;
    constexpr int rounds = 12;
    for (int i = 0; i < rounds; ++i) {
        SchedulerActions actions;
        scheduler.pump(now, toMilliseconds(now.time_since_epoch()), actions);
        if (actions.commit) {
            for (const auto& [id, record] : actions.commit->records) {
                Reason reason;
                fuzz::require(
                    decodeJobRecord(record, reason).has_value(), "a committed record can be read again");
            }
            scheduler.committed(actions.commit->number, now, now);
        }
        for (const auto& it : actions.starts)
            scheduler.startAnswered(it.incarnation, it.task, it.run, OrderResult::Ok, now);
        for (const auto& it : actions.stops)
            scheduler.stopAnswered(it.incarnation, it.task, it.run, OrderResult::Ok, now);
        for (const auto& it : actions.heartbeats) {
            const bool hasReport = next < reports.size();
            scheduler.heartbeatAnswered(it.incarnation, hasReport ? OrderResult::Ok : OrderResult::NoAnswer,
                hasReport ? std::optional(reports[next++]) : std::nullopt, now, now);
        }
        now += 100ms;
    }
    (void)scheduler.counts();
    (void)scheduler.pending();
}

} // namespace

// A scheduler that restores a job and hears of an executor, whatever both say.
int fuzzScheduler(const std::uint8_t* data, std::size_t size)
{
    const auto parts = splitParts(fuzz::toText(data, size));
    Reason reason;
    auto request = platform::decodeJobRequest(parts[0], reason);
    if (!request)
        return 0;
    request->id = "00000000000000aa";
    request->queue = "q";
    if (!validate(*request, reason))
        return 0;
    std::vector<ExecutorReport> reports;
    for (std::size_t i = 2; i < parts.size(); ++i) {
        if (auto report = platform::decodeExecutorReport(parts[i], reason))
            reports.push_back(std::move(*report));
    }
    Instant now { std::chrono::hours(1) };
    FleetScheduler scheduler({}, now, now);
    FleetConfiguration configuration;
    configuration.queues = { { "q", "h", "/", "service", 0, 3, 1, 300, true, {} } };
    scheduler.configure(configuration);
    ExecutorEntry entry;
    entry.id = "i-1";
    entry.service = "service";
    entry.address = "a:1";
    entry.capacity = { 32'000, 65'536, 8 };
    scheduler.executorRegistered(entry, now);
    const auto record = parts.size() > 1 ? decodeJobRecord(parts[1], reason) : std::nullopt;
    if (record)
        scheduler.restore(*request, *record, now);
    else
        scheduler.submit(*request, now);
    carryOut(scheduler, reports, now);
    scheduler.cancel(request->id, now);
    carryOut(scheduler, reports, now);
    return 1;
}
