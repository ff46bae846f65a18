#pragma once

#include "net/HttpClient.h"
#include "quay-bench/Histogram.h"
#include "quay-bench/ProcessFleet.h"
#include "quay-bench/Sharing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace quay::bench {

/** Results of the arrivals of one load. */
struct LoadOutcome {
    std::uint64_t arrivals = 0;
    std::uint64_t answered = 0; // interactive: complete responses; jobs: accepted ones
    // By "kind (disposition)", or without a response "no answer", "no connection" or "never accepted".
    std::map<std::string, std::uint64_t> refusals;
    Histogram waits; // interactive: from the scheduled arrival to the complete response
    std::vector<Histogram> waitsBySecond; // by second of the scheduled arrival in the measured time
    std::vector<JobDemand> jobs; // accepted jobs, also those of the warm-up
};

/**
 * Open-loop load generator: sends the arrivals of all loads at their scheduled times, independently of
 * responses. Waiting times count from the scheduled arrival, so a stall of the sender or the server is not
 * omitted from them.
 *
 * Usage: `LoadGenerator generator(experiment, fleet); generator.run(start); generator.outcomes();`
 */
class LoadGenerator {
public:
    LoadGenerator(const Experiment& experiment, const ProcessFleet& fleet);

    /**
     * Blocks from the warm-up before `start`, which begins the measured time, to the end of the settling
     * time.
     */
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
    // An arrival that awaits its response.
    struct Arrival {
        std::size_t load = 0;
        std::uint64_t number = 0;
        std::string id;
        std::string domain; // jobs only
        bool isMeasured = true; // false during the warm-up
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
