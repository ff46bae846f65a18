#include "service/ConfigurationService.h"

#include <algorithm>

namespace quay {

namespace {

constexpr auto changeTimeout = std::chrono::seconds(20);
// The first configuration sets the first voters. The delay lets all processes that start together be seen.
constexpr auto firstChangeDelay = std::chrono::seconds(3);

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

} // namespace

void ConfigurationService::apply(std::uint64_t baseVersion, Configuration next, ApplyDone done)
{
    const bool queued = post([this, baseVersion, next = std::move(next), done] {
        const auto propose = [=, this] { proposeChange({ {}, baseVersion, next, desiredVoters() }, done); };
        const auto earliest = m_state.startedAt + firstChangeDelay;
        const auto now = monotonicNow();
        if (m_state.view.accepted.storeVersion || now >= earliest)
            propose();
        else
            after(earliest - now, propose);
    });
    if (!queued)
        done(std::nullopt, Reason { ErrorKind::Overloaded, {} });
}

// Assigns the token of the request.
void ConfigurationService::proposeChange(ApplyRequest request, ApplyDone done)
{
    request.token = m_self.text + "/" + std::to_string(m_nextToken++);
    m_changes[request.token] = Change { std::move(done), monotonicNow() + changeTimeout };
    applyEvent(rollout::Apply { std::move(request) });
}

std::string ConfigurationService::currentVersions() const
{
    const auto accepted = m_state.view.accepted.row.document.version;
    auto text = "version " + std::to_string(accepted) + " is in force";
    if (m_state.view.hasPendingVersion())
        text += ", version " + std::to_string(m_state.view.prepared.row.document.version) + " is prepared";
    return text;
}

void ConfigurationService::perform(const rollout::ApplyDone& action)
{
    const auto found = m_changes.find(action.token);
    if (found == m_changes.end())
        return;
    auto& change = found->second;
    if (action.kind == ErrorKind::None) {
        const auto& view = m_state.view;
        const bool isPrepared = view.prepared.row.requestToken == action.token;
        change.prepared = true;
        change.version = (isPrepared ? view.prepared : view.accepted).row.document.version;
        return;
    }
    change.done(std::nullopt, Reason { action.kind, currentVersions() });
    m_changes.erase(found);
}

void ConfigurationService::completeDecidedChanges()
{
    std::erase_if(
        m_changes, [this](const auto& entry) { return completeIfDecided(entry.first, entry.second); });
}

// A prepared change ends in one of three ways: it is accepted; a later one replaces it before that; or a
// later one is already accepted when the rows are read, in which case it is unknown whether this one had been
// accepted.
bool ConfigurationService::completeIfDecided(const std::string& token, const Change& change)
{
    const auto& accepted = m_state.view.accepted.row;
    const bool wasSuperseded = change.prepared && accepted.document.version > change.version;
    const auto prepared = m_state.view.prepared.row.document.version;
    const bool replaced
        = change.prepared && prepared > change.version && accepted.document.version < change.version;
    if (change.prepared && accepted.requestToken == token)
        change.done(change.version, {});
    else if (wasSuperseded)
        change.done(std::nullopt, Reason { ErrorKind::OutcomeUnknown, currentVersions() });
    else if (replaced)
        change.done(std::nullopt,
            Reason { ErrorKind::VersionConflict, "replaced before it was in force; " + currentVersions() });
    else if (monotonicNow() >= change.deadline)
        timeOutChange(token, change);
    else
        return false;
    return true;
}

// A change whose write was not sent is withdrawn; any other may still come into force.
void ConfigurationService::timeOutChange(const std::string& token, const Change& change)
{
    const bool isInProgress = m_state.apply && m_state.apply->token == token;
    if (isInProgress && !m_state.applySent) {
        m_state.apply.reset();
        change.done(std::nullopt, Reason { ErrorKind::StoreUnavailable, currentVersions() });
        return;
    }
    const std::string pendingDetail = change.prepared ? "version " + std::to_string(change.version)
            + " is prepared; it waits for every entry VM to confirm, or for running work above a lowered "
              "limit to end"
                                                      : currentVersions();
    change.done(std::nullopt, Reason { ErrorKind::OutcomeUnknown, pendingDetail });
}

} // namespace quay
