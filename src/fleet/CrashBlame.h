#pragma once

#include "quay/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

// Decides which tasks are blamed for the crash of an executor. A task that was started shortly before becomes
// a suspect; suspects don't share executors; one that crashes executors alone fails like one that fails by
// itself. Crashes that have another cause blame nobody.
namespace quay::fleet {

/** A run on an executor that has crashed. */
struct RunAtCrash {
    std::optional<Instant> startedAt; // when its start was sent; nothing: it was placed by an earlier leader
    bool isStarted = true; // false: no start was sent
    int crashes = 0; // of its task that were blamed on it before
    bool wasSeenBefore = false; // this leader has blamed an earlier crash on it
    int failures = 0; // of its task, by itself
    int maxAttempts = 0; // 0: no limit
    int unit = 0; // members of one gang have the same one
};

/** What is known of a crash. */
struct CrashFacts {
    std::string executor;
    Instant aliveAt; // its last answer; zero: it has never answered this leader
    Instant silentSince; // the first order without an answer, or when its end was learned
    bool isDraining = false;
    bool isGone = false; // another process is at its address, or it is not registered any more
    std::size_t silentTogether = 0; // other executors that are silent since about then, without a new start
    std::size_t executors = 0; // in the cell
    std::vector<RunAtCrash> runs;
};

enum class Blame {
    None,
    Suspect,
    Convicted,
};

struct CrashVerdict {
    std::string why; // one word for the log
    std::vector<Blame> runs; // as in CrashFacts
    std::vector<bool> isNew; // as in CrashFacts: whether the run was young enough to be the cause
    std::size_t suspects = 0; // tasks and gangs that were

    bool operator==(const CrashVerdict&) const = default;
};

/** A crash of the last seconds. It is unexplained once each task that could have caused it has been cleared.
 */
struct CrashSign {
    std::uint64_t number = 0;
    Instant at;
    std::string executor;
    std::size_t suspects = 0; // runs, members of a gang each
};

/** Bounded. Lost with the leader; the counts of the tasks are not. */
struct CrashHistory {
    std::deque<CrashSign> signs; // oldest first
    std::uint64_t nextNumber = 1;
};

/** Whether the run was young when the executor was last known alive, and also when it was found silent. */
bool isNewAtCrash(const RunAtCrash& run, Instant aliveAt, Instant silentSince);

/** Whether two executors have turned silent at about the same time. */
bool isSameTime(Instant a, Instant b);

CrashVerdict judgeCrash(const CrashFacts& facts, const CrashHistory& history);

/** Adds a crash and returns its number. */
std::uint64_t noteCrash(CrashHistory& history, const CrashFacts& facts, const CrashVerdict& verdict);

/** A suspect of crash `number` was not its cause. */
void exonerate(CrashHistory& history, std::uint64_t number);

/** Whether a run has lasted long enough to show that it does not crash its executor. */
bool hasOutlivedSuspicion(Instant startedAt, Instant now);

/** How long a long-running task waits after its `crashes`-th crash. At most two seconds. */
Duration pauseAfterCrashes(int crashes);

/** Until when a suspect waits for an executor without another one. `startNotBefore` is zero without a pause.
 */
Instant apartUntil(Instant now, Instant startNotBefore);

/** Counts of a record may be any number. */
int boundedCrashes(std::int64_t crashes);

} // namespace quay::fleet
