#pragma once

#include "quay/core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quay {

/** A number that only rises. Adding takes no lock. */
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/** Counts of durations in fixed buckets, from 100 microseconds to 100 seconds. Recording takes no lock. */
class DurationHistogram {
public:
    /** Upper bounds of the buckets in seconds; one more bucket holds what is above the last. */
    static constexpr std::array<double, 19> bounds { 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
        0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100 };

    void record(Duration duration);
    std::uint64_t countOf(std::size_t bucket) const
    {
        return m_counts[bucket].load(std::memory_order_relaxed);
    }
    double sumSeconds() const;

private:
    std::array<std::atomic<std::uint64_t>, bounds.size() + 1> m_counts {};
    std::atomic<std::uint64_t> m_sumUs = 0;
};

/**
 * All metrics of one process, by name. Names end in their unit; counters end in "_total".
 *
 * Usage: `auto& refused = metrics.counter("quay_requests_refused_total", "Requests refused as not run");`
 */
class Metrics {
public:
    using ReadCallback = std::function<double()>;

    /** The counter of that name and label set, made at its first use. `labels`: `kind="queue_full"` or empty.
     */
    Counter& counter(const std::string& name, const std::string& help, const std::string& labels = {});

    /** The histogram of that name and label set, made at its first use. */
    DurationHistogram& histogram(
        const std::string& name, const std::string& help, const std::string& labels = {});

    /** A value that is read when the page is asked for; replaces an earlier one of the same name and labels.
     */
    void gauge(
        const std::string& name, const std::string& help, ReadCallback read, const std::string& labels = {});

    /** The same for a number that only rises and is counted elsewhere. */
    void observableCounter(
        const std::string& name, const std::string& help, ReadCallback read, const std::string& labels = {});

    /** The page that scrapers read. */
    std::string page() const;

    /** Name and help of every metric, in order of name. */
    std::map<std::string, std::string> helpByName() const;

private:
    enum class Kind {
        Counter,
        Gauge,
        Histogram,
    };
    struct Series {
        std::unique_ptr<Counter> counter;
        std::unique_ptr<DurationHistogram> histogram;
        ReadCallback read;
    };
    struct Family {
        Kind kind = Kind::Counter;
        std::string help;
        std::map<std::string, Series> series; // by labels
    };

    Series& series(Kind kind, const std::string& name, const std::string& help, const std::string& labels);
    static void writeSeries(
        std::string& page, const std::string& name, const std::string& labels, const Series& one);

    mutable std::mutex m_mutex; // of the map; counting goes through references and takes no lock
    std::map<std::string, Family> m_families;
};

} // namespace quay
