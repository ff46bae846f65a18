#pragma once

#include "net/HttpClient.h"
#include "quay-bench/Histogram.h"
#include "quay-bench/ProcessFleet.h"
#include "quay-bench/Sharing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace quay::bench {

/** What came of one load's arrivals. */
struct LoadOutcome {
    std::uint64_t arrivals = 0;
    std::uint64_t answered = 0; // interactive: whole answer; jobs: accepted
    std::map<std::string, std::uint64_t> refusals; // by "kind (disposition)", or "no answer"
    Histogram waits; // interactive: from the scheduled arrival to the whole answer
    std::vector<Histogram> waitsBySecond; // of the scheduled arrival
    std::vector<JobDemand> jobs; // accepted ones
};

/**
 * Sends the arrivals of all loads at their scheduled times, whatever has been answered by then (open loop).
 * Times of waiting count from the schedule, so that a stalled sender or server hides nothing.
 */
class LoadGenerator {
public:
    LoadGenerator(const Experiment& experiment, const ProcessFleet& fleet);

    /** Runs from the warm-up before `start` to the end of the settling time, on the caller's thread. */
    void run(Instant start);

    const std::vector<LoadOutcome>& outcomes() const { return m_outcomes; }
    const CallerRecord& callers() const { return m_callers; }

private:
    struct ArrivalStream {
        std::mt19937_64 random;
        std::unique_ptr<boost::asio::steady_timer> timer;
        Instant next;
        std::uint64_t sent = 0;
    };
    // One arrival until it has been answered or given up.
    struct Arrival {
        std::size_t load = 0;
        std::uint64_t number = 0;
        std::string id;
        std::string domain; // jobs only
        bool isMeasured = true; // not of the warm-up
        Instant scheduled;
        unsigned connectAttempts = 0;
    };

    void schedule(std::size_t load);
    void sendArrival(std::size_t load);
    void sendInteractive(Arrival arrival);
    void onInteractiveResponse(Arrival arrival, HttpResult result);
    void sendJob(Arrival arrival);
    void onJobResponse(Arrival arrival, HttpResult result);
    void retryJob(Arrival arrival);
    void countRefusal(const Arrival& arrival, const HttpResult& result);
    void cancelServices();
    std::string jobBody(const LoadSpec& load) const;
    std::string pickEntry();

    const Experiment& m_experiment;
    const ProcessFleet& m_fleet;
    boost::asio::io_context m_context { 1 };
    HttpClient m_client;
    std::mt19937_64 m_random;
    std::vector<ArrivalStream> m_streams;
    std::vector<LoadOutcome> m_outcomes;
    CallerRecord m_callers;
    Instant m_start {};
    Instant m_end {};
};

} // namespace quay::bench
