#include "quay/telemetry/Event.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace quay {

namespace {

using enum EventId;
using enum EventLevel;

constexpr std::array table {
    EventEntry { DaemonStarted, "daemon_started", Info, "member domain callers peers",
        "the daemon listens for callers and peers", "nothing to do" },
    EventEntry { DaemonDraining, "daemon_draining", Info, "why in_flight",
        "a graceful shutdown began; the health check fails from now on",
        "wait for daemon_stopped; a second SIGTERM stops it immediately" },
    EventEntry { DaemonStopped, "daemon_stopped", Info, "exit_code", "the daemon exits", "nothing to do" },
    EventEntry { WorkLeftBehind, "work_left_behind", Error, "in_flight",
        "the drain time limit or a second signal aborted requests in flight",
        "raise limits.drain_limit_ms if requests take that long" },
    EventEntry { SettingsRejected, "settings_rejected", Error, "detail", "the settings file has errors",
        "correct the named lines and start the daemon again" },
    EventEntry { NotHandedOver, "not_handed_over", Warning, "member",
        "the process exited before another member had taken over the work it owned",
        "other members take the work over when its lease expires" },
    EventEntry { RequestRefused, "request_refused", Debug, "kind route trace",
        "a caller's request was not run", "the response to the caller names the remedy" },
    EventEntry { RequestFailed, "request_failed", Warning, "kind route trace",
        "a caller's request ended with an unknown outcome", "follow its trace: quayctl trace TRACE_ID" },
    EventEntry { LeadGained, "lead_gained", Info, "epoch jobs",
        "this process became the leader for the domain's durable jobs", "nothing to do" },
    EventEntry { LeadLost, "lead_lost", Info, "epoch",
        "this process is no longer the leader for the domain's durable jobs",
        "if it was not drained, see docs/operators/ownership.md" },
    EventEntry { OwnershipChanged, "ownership_changed", Info, "epoch executors leads",
        "the roster assigned this process a different part of the domain", "nothing to do" },
    EventEntry { MemberRemoved, "member_removed", Error, "member",
        "the other members declared this process dead; it must rejoin as a new process",
        "the service manager restarts it; if that repeats, look for process pauses or a network partition" },
    EventEntry { StoreLost, "store_lost", Warning, "since_ms", "the table service does not respond",
        "see docs/operators/store-outage.md" },
    EventEntry {
        StoreBack, "store_back", Info, "outage_ms", "the table service responds again", "nothing to do" },
    EventEntry { StoreConflict, "store_conflict", Warning, "key",
        "a conditional write failed because another process had changed the row",
        "normal after a failover; if it repeats, see quayctl fleet" },
    EventEntry {
        EventId::JobAccepted, "job_accepted", Debug, "job team kind", "a job is durable", "nothing to do" },
    EventEntry { EventId::JobEnded, "job_ended", Debug, "job state", "a job's final record is durable",
        "nothing to do" },
    EventEntry { JobOutcomeUnknown, "job_outcome_unknown", Error, "job",
        "a non-idempotent task may or may not have run", "check its effect by hand; it is never run again" },
    EventEntry { WorkerSilent, "worker_silent", Warning, "worker", "a worker does not respond",
        "check the VM; its tasks are recovered after their leases expire" },
    EventEntry { ConfigurationInForce, "configuration_in_force", Info, "version",
        "this process now uses a different version of the configuration", "nothing to do" },
    EventEntry { ConfigurationStale, "configuration_stale", Warning, "version",
        "neither the store nor a peer confirmed the configuration in time; work that needs a key is refused",
        "see docs/operators/configuration.md" },
    EventEntry { ConfigurationFresh, "configuration_fresh", Info, "version",
        "work that needs a key is served again", "nothing to do" },
    EventEntry { ConfigurationRefused, "configuration_refused", Warning, "detail",
        "an operator's change was not accepted", "quayctl config diff, then apply again" },
    EventEntry { QuotaFenced, "quota_fenced", Error, "member",
        "another member took over this process's quota grants; this process starts no new work",
        "the service manager restarts it" },
    EventEntry { ServerEjected, "server_ejected", Warning, "server failures",
        "a backend server's failure rate was far above that of the fleet; it temporarily gets no new work",
        "check the VM; see quayctl fleet" },
    EventEntry { ServerRestored, "server_restored", Info, "server",
        "an ejected backend server gets work again", "nothing to do" },
    EventEntry { PeerMessageDropped, "peer_message_dropped", Debug, "peer",
        "a message to a peer could not be queued", "normal while a peer is down" },
    EventEntry { CertificateReplaced, "certificate_replaced", Info, "expiry",
        "new caller connections use the new TLS certificate", "nothing to do" },
    EventEntry { CertificateRejected, "certificate_rejected", Error, "detail",
        "the TLS files changed and can't be used; the previous certificate stays in use",
        "correct the files; see docs/operators/tls.md" },
};

} // namespace

std::span<const EventEntry> eventTable() { return table; }

const EventEntry& describe(EventId id)
{
    const auto* it
        = std::find_if(table.begin(), table.end(), [id](const EventEntry& entry) { return entry.id == id; });
    if (it == table.end())
        throw std::logic_error("event has no row in the event table");
    return *it;
}

std::string_view text(EventLevel level)
{
    constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    return names[static_cast<std::size_t>(level)];
}

std::string eventCatalogue()
{
    std::string page = "# Log events\n\nEvery line of a daemon's log is one of these events.\n\n"
                       "| number | name | level | fields | meaning | remedy |\n|---|---|---|---|---|---|\n";
    for (const auto& entry : table) {
        page += "| BQ-" + std::to_string(static_cast<unsigned>(entry.id)) + " | " + std::string(entry.name)
            + " | " + std::string(text(entry.level)) + " | " + std::string(entry.fields) + " | "
            + std::string(entry.meaning) + " | " + std::string(entry.remedy) + " |\n";
    }
    return page;
}

} // namespace quay
