#include "edge/ConfigurationWatcher.h"

#include "Wire.h"
#include "edge/Clock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quay::edge {

using namespace platform;

namespace {

// A new version must take effect within 2 s; this leaves time for one retry.
constexpr Duration longestPollWait = 1400ms;
constexpr Duration shortestPollWait = 100ms;
constexpr auto pollMargin = 400ms; // added to the wait to get the timeout
// Of the bound on the age of the evacuations: a view is two polls old at most while the store answers.
constexpr int pollsPerBound = 4;
constexpr std::size_t largeConfigurationBytes = 128 * 1024; // a tenth of a second over a link of 10 Mbit/s
constexpr auto readTimeout = 800ms;
constexpr auto retryDelay = 120ms;
constexpr auto maxAnswerAge = 2300ms; // one poll with its timeout, and a retry
constexpr int maxConsecutiveFailures = 2;

Duration pollWaitFor(Duration maxEvacuationDelay)
{
    if (maxEvacuationDelay == Duration::zero())
        return longestPollWait;
    return std::clamp(maxEvacuationDelay / pollsPerBound, shortestPollWait, longestPollWait);
}

// The change feed has the rows of all partitions; the operator writes to the one without a name.
bool isConfigurationRow(const StoreRow& row) { return row.partition.empty() && row.key == configurationKey; }

} // namespace

ConfigurationWatcher::ConfigurationWatcher(boost::asio::io_context& context, StoreClient& store, NodeLog& log,
    const ConfigurationBounds& bounds, ChangeCallback onChange, EvacuationsCallback onEvacuations)
    : m_context(context)
    , m_store(store)
    , m_log(log)
    , m_maxAge(bounds.maxConfigurationDelay)
    , m_pollWait(pollWaitFor(bounds.maxEvacuationDelay))
    , m_onChange(std::move(onChange))
    , m_onEvacuations(std::move(onEvacuations))
    , m_timer(context)
{
}

void ConfigurationWatcher::start() { readAll(); }

bool ConfigurationWatcher::isCurrent(Instant now) const
{
    return m_current && (m_maxAge == Duration::zero() || now - m_currentAsOf < m_maxAge);
}

bool ConfigurationWatcher::isStoreLost() const { return m_consecutiveFailures >= maxConsecutiveFailures; }

bool ConfigurationWatcher::isStoreReachable(Instant now) const
{
    return !isStoreLost() && m_lastAnswerAt != Instant {} && now - m_lastAnswerAt < maxAnswerAge;
}

void ConfigurationWatcher::recordOutcome(bool ok, const std::string& detail)
{
    const auto now = clockNow();
    if (ok) {
        if (isStoreLost())
            m_log.write(
                "store_regained", {}, { { "outage_ms", std::to_string(toMilliseconds(now - m_lostAt)) } });
        m_consecutiveFailures = 0;
        m_lastAnswerAt = now;
        return;
    }
    if (++m_consecutiveFailures == maxConsecutiveFailures) {
        m_lostAt = now;
        m_log.write("store_lost", {}, { { "reason", detail } });
    }
}

void ConfigurationWatcher::logRead(std::string_view read, const StoreResult& result, Instant sentAt)
{
    const auto now = clockNow();
    std::int64_t newest = 0;
    for (const auto& row : result.rows) {
        if (isConfigurationRow(row))
            newest = std::max(newest, row.version);
    }
    m_log.write("configuration_read", {},
        { { "read", std::string(read) }, { "outcome", std::string(text(result.outcome)) },
            { "ms", std::to_string(toMilliseconds(now - sentAt)) }, { "bytes", std::to_string(result.bytes) },
            { "rows", std::to_string(result.rows.size()) }, { "row_version", std::to_string(newest) },
            { "version", std::to_string(version()) }, { "age_ms", ageText(m_currentAsOf, now) },
            { "reason", result.detail } });
}

void ConfigurationWatcher::confirmCurrent(Instant asOf)
{
    if (m_current)
        m_currentAsOf = std::max(m_currentAsOf, asOf);
}

void ConfigurationWatcher::readAll()
{
    m_hadConfiguration = false;
    readPage(std::make_shared<FullRead>(FullRead { clockNow(), 0, std::string(configurationKey), {} }));
}

// One range holds the configuration and the requests, so that a start costs no more calls than without them.
void ConfigurationWatcher::readPage(std::shared_ptr<FullRead> read)
{
    m_store.scanPartition(std::string(operatorTable), "", read->nextKey, std::string(evacuationKeyEnd), 0,
        readTimeout, [this, read, sentAt = clockNow()](StoreResult result) {
            recordOutcome(result.outcome == StoreOutcome::Ok, result.detail);
            logRead("full", result, sentAt);
            if (result.outcome != StoreOutcome::Ok) {
                retryLater(true);
                return;
            }
            if (read->version == 0)
                read->version = result.version;
            std::move(result.rows.begin(), result.rows.end(), std::back_inserter(read->rows));
            if (result.hasMore && !result.rows.empty()) {
                read->nextKey = read->rows.back().key + '\x01';
                readPage(read);
            } else {
                fullyRead(*read);
            }
        });
}

void ConfigurationWatcher::fullyRead(const FullRead& read)
{
    std::set<std::string> present;
    applyNewestConfiguration(read.rows);
    for (const auto& row : read.rows) {
        applyEvacuation(row);
        present.insert(row.key);
    }
    for (const auto& request : std::map(m_requests)) {
        if (!present.contains(std::string(evacuationKeyPrefix) + request.first))
            removeEvacuation(request.first);
    }
    m_lastVersionRead = read.version;
    confirmCurrent(read.startedAt);
    m_answerDelay = clockNow() - read.startedAt > pollMargin ? m_pollWait : Duration::zero();
    publishEvacuations(read.startedAt);
    if (m_current)
        watch();
    else
        retryLater(true);
}

// The poll in flight usually has the new version too. Reading a large one twice at the same time would delay
// both.
void ConfigurationWatcher::refresh()
{
    if (m_isRefreshing || (m_currentText && m_currentText->size() > largeConfigurationBytes))
        return;
    m_isRefreshing = true;
    m_store.readRow(std::string(operatorTable), "", std::string(configurationKey), readTimeout,
        [this, sentAt = clockNow()](StoreResult result) {
            m_isRefreshing = false;
            logRead("refresh", result, sentAt);
            applyNewestConfiguration(result.rows);
            if (result.outcome == StoreOutcome::Ok)
                confirmCurrent(sentAt);
        });
}

void ConfigurationWatcher::applyFromPeer(const std::string& text)
{
    const auto before = version();
    applyConfiguration(text);
    m_log.write("configuration_from_peer", {},
        { { "bytes", std::to_string(text.size()) }, { "before", std::to_string(before) },
            { "version", std::to_string(version()) } });
}

void ConfigurationWatcher::confirmByPeer(std::int64_t peerVersion, Instant asOf)
{
    if (peerVersion == version())
        confirmCurrent(asOf);
}

// A poll waits less by what the store took to answer the one before. It does not wait at all after one that
// failed or had a configuration, since only an answer without one shows that there is no newer one.
void ConfigurationWatcher::watch()
{
    // Whole milliseconds, as the store is asked for them: it would else seem to answer before the wait is
    // over.
    const auto wait = std::chrono::floor<std::chrono::milliseconds>(
        std::max(m_pollWait - m_answerDelay, Duration::zero()));
    m_store.pollChanges(std::string(operatorTable), m_lastVersionRead, wait, m_pollWait + pollMargin,
        [this, wait, sentAt = clockNow()](StoreResult result) {
            const bool isAnswered
                = result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::HistoryTruncated;
            recordOutcome(isAnswered, result.detail);
            const bool hasConfiguration = std::ranges::any_of(result.rows, isConfigurationRow);
            if (result.outcome != StoreOutcome::Ok || hasConfiguration)
                logRead("poll", result, sentAt);
            m_answerDelay = isAnswered && !hasConfiguration
                ? std::max(clockNow() - sentAt - wait, Duration::zero())
                : m_pollWait;
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                readAll();
                return;
            }
            if (!isAnswered) {
                retryLater(false);
                return;
            }
            applyNewestConfiguration(result.rows);
            for (const auto& row : result.rows)
                applyEvacuation(row);
            m_lastVersionRead = std::max(m_lastVersionRead, result.version);
            // The store answers at the first change, so none came before the end of the wait.
            if (!result.hasMore && !hasConfiguration)
                confirmCurrent(result.rows.empty() && clockNow() - sentAt >= wait ? sentAt + wait : sentAt);
            publishEvacuations(result.hasMore ? m_evacuations.readAt : sentAt);
            // Several changes are left to read, and only the newest one counts.
            if (std::exchange(m_hadConfiguration, hasConfiguration) && hasConfiguration)
                readAll();
            else
                watch();
        });
}

void ConfigurationWatcher::retryLater(bool fromStart)
{
    m_timer.expires_after(retryDelay);
    m_timer.async_wait([this, fromStart](boost::system::error_code ec) {
        if (ec)
            return;
        if (fromStart)
            readAll();
        else
            watch();
    });
}

// A change feed has each version; decoding a large one takes a small node a noticeable time.
void ConfigurationWatcher::applyNewestConfiguration(const std::vector<StoreRow>& rows)
{
    std::vector<const StoreRow*> configurations;
    for (const auto& row : rows) {
        if (isConfigurationRow(row) && !row.isDeleted)
            configurations.push_back(&row);
    }
    std::ranges::stable_sort(
        configurations, std::ranges::greater(), [](const StoreRow* row) { return row->version; });
    for (const auto* row : configurations) {
        if (applyConfiguration(row->value))
            return;
    }
}

// Returns false if the text can't be decoded.
bool ConfigurationWatcher::applyConfiguration(const std::string& text)
{
    Reason reason;
    auto configuration = decodeConfiguration(text, reason);
    if (!configuration) {
        m_log.write("configuration_unreadable", {}, { { "reason", reason.explain() } });
        return false;
    }
    if (m_current && configuration->version <= m_current->version)
        return true;
    m_current = std::make_shared<const fleet::FleetConfiguration>(std::move(*configuration));
    m_currentText = std::make_shared<const std::string>(text);
    m_log.write("configuration_in_force", {},
        { { "version", std::to_string(m_current->version) },
            { "queues", std::to_string(m_current->queues.size()) },
            { "teams", std::to_string(m_current->teams.size()) } });
    m_onChange(*m_current);
    return true;
}

void ConfigurationWatcher::applyEvacuation(const StoreRow& row)
{
    if (!row.key.starts_with(evacuationKeyPrefix))
        return;
    const auto logUnreadable = [&](const std::string& why) {
        m_log.write("evacuation_unreadable", {}, { { "key", row.key }, { "reason", why } });
    };
    if (!row.partition.empty()) {
        logUnreadable("the row is in partition '" + row.partition + "'");
        return;
    }
    if (row.isDeleted) {
        removeEvacuation(row.key.substr(evacuationKeyPrefix.size()));
        return;
    }
    Reason oddity;
    const auto request = decodeEvacuation(row.key, row.value, row.version, oddity);
    if (oddity.kind != ErrorKind::None)
        logUnreadable(oddity.detail);
    if (!request)
        return;
    const auto [known, isNew] = m_requests.try_emplace(request->domain, request->version);
    if (!isNew && known->second == request->version)
        return;
    known->second = request->version;
    m_log.write("evacuation_read", {},
        { { "domain", request->domain }, { "version", std::to_string(request->version) },
            { "repeated", isNew ? "no" : "yes" } });
}

void ConfigurationWatcher::removeEvacuation(const std::string& domain)
{
    if (m_requests.erase(domain) != 0)
        m_log.write("evacuation_taken_back", {}, { { "domain", domain } });
}

void ConfigurationWatcher::publishEvacuations(Instant readAt)
{
    m_evacuations.evacuations.clear();
    for (const auto& [domain, version] : m_requests)
        m_evacuations.evacuations.push_back({ domain, version });
    m_evacuations.readAt = readAt;
    m_onEvacuations(m_evacuations);
}

} // namespace quay::edge
