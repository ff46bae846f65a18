#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quay {

/** The severity of an event. */
enum class EventLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Every event that a daemon logs. Numbers are never reused. Each range of 100 covers one subject, such as
 * 1000 for the daemon's lifecycle and 1200 for membership. */
enum class EventId : unsigned {
    DaemonStarted = 1001,
    DaemonDraining = 1002,
    DaemonStopped = 1003,
    WorkLeftBehind = 1004,
    SettingsRejected = 1005,
    NotHandedOver = 1006,
    RequestRefused = 1101,
    RequestFailed = 1102,
    LeadGained = 1201,
    LeadLost = 1202,
    OwnershipChanged = 1203,
    MemberRemoved = 1204,
    StoreLost = 1301,
    StoreBack = 1302,
    StoreConflict = 1303,
    JobAccepted = 1401,
    JobEnded = 1402,
    JobOutcomeUnknown = 1403,
    WorkerSilent = 1404,
    ConfigurationInForce = 1501,
    ConfigurationStale = 1502,
    ConfigurationFresh = 1503,
    ConfigurationRefused = 1504,
    QuotaFenced = 1601,
    ServerEjected = 1701,
    ServerRestored = 1702,
    PeerMessageDropped = 1801,
    CertificateReplaced = 1901,
    CertificateRejected = 1902,
};

/** One row of the event table. */
struct EventEntry {
    EventId id;
    std::string_view name;
    EventLevel level;
    std::string_view fields; // names of the event's fields, separated by spaces
    std::string_view meaning;
    std::string_view remedy;
};

/** All events in order of their numbers. A test checks that docs/EVENTS.md has the same rows. */
std::span<const EventEntry> eventTable();

/** The row of an event. */
const EventEntry& describe(EventId id);

std::string_view text(EventLevel level);

/** The table as the Markdown text of docs/EVENTS.md. */
std::string eventCatalogue();

} // namespace quay
