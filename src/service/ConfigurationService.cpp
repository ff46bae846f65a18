#include "service/ConfigurationService.h"

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr auto readPeriod = std::chrono::milliseconds(500);
constexpr auto stalenessBound = std::chrono::seconds(5);
constexpr auto commitTimeout = std::chrono::seconds(5);
constexpr auto acceptedKey = "config/accepted";

} // namespace

ConfigurationService::ConfigurationService(StoreService& store)
    : Duty("configuration", ringCapacity)
    , m_store(store)
{
    every(readPeriod, [this] { readAccepted(); });
}

void ConfigurationService::onStart() { readAccepted(); }

void ConfigurationService::readAccepted()
{
    const auto askedAt = std::chrono::steady_clock::now();
    m_store.read({ acceptedKey }, 2s, [this, askedAt](auto rows) {
        if (!rows || rows->empty())
            return;
        ActiveConfiguration next = *m_active.get();
        Reason reason;
        if (rows->front().version) {
            auto configuration = parseConfiguration(rows->front().value, reason);
            if (!configuration || configuration->version < next.configuration.version)
                return;
            next.configuration = std::move(*configuration);
        }
        next.known = true;
        next.freshUntil = askedAt + stalenessBound;
        m_active.set(std::move(next));
    });
}

void ConfigurationService::apply(std::uint64_t baseVersion, Configuration next, ApplyDone done)
{
    m_store.read({ acceptedKey }, commitTimeout, [this, baseVersion, next, done](auto rows) mutable {
        if (!rows) {
            done(std::nullopt, Reason { ErrorKind::StoreUnavailable, {} });
            return;
        }
        Reason reason;
        const auto& row = rows->front();
        const auto current = row.version ? parseConfiguration(row.value, reason) : Configuration {};
        if (!current || current->version != baseVersion) {
            const auto version = current ? current->version : 0;
            done(std::nullopt,
                Reason { ErrorKind::VersionConflict, "current version is " + std::to_string(version) });
            return;
        }
        next.version = baseVersion + 1;
        Transaction transaction;
        transaction.checks.push_back({ acceptedKey, row.version });
        transaction.puts.push_back({ acceptedKey, toJson(next) });
        m_store.commit(std::move(transaction), commitTimeout,
            [done, version = next.version](TransactionOutcome outcome) {
                if (outcome.status == TransactionStatus::Done)
                    done(version, {});
                else if (outcome.status == TransactionStatus::Conflict)
                    done(std::nullopt, Reason { ErrorKind::VersionConflict, {} });
                else
                    done(std::nullopt, Reason { ErrorKind::StoreUnavailable, {} });
            });
    });
}

} // namespace quay
