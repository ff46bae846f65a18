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

/** A monotonic counter. Lock-free. */
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/** A histogram of durations with fixed buckets from 100 microseconds to 100 seconds. Lock-free. */
class DurationHistogram {
public:
    /** Upper bounds of the buckets in seconds. One more bucket counts the durations above the last bound. */
    static constexpr std::array<double, 19> bounds { 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
        0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100 };

    void record(Duration duration);
    /** The count of one bucket alone, not cumulative. `bucket` must be at most bounds.size(). */
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
 * The metrics of one process, by name. Names end in the metric's unit, those of counters in "_total".
 * Callable from any thread.
 *
 * Usage: `auto& refused = metrics.counter("quay_requests_refused_total", "Requests refused as not run");`
 */
class Metrics {
public:
    using ReadCallback = std::function<double()>;

    /** The counter with that name and label set, created on first use. `labels` is a list in Prometheus
     * syntax such as `kind="queue_full"`, or empty. */
    Counter& counter(const std::string& name, const std::string& help, const std::string& labels = {});

    /** The histogram with that name and label set, created on first use. */
    DurationHistogram& histogram(
        const std::string& name, const std::string& help, const std::string& labels = {});

    /** A gauge whose value `read` returns when the page is rendered. Replaces an earlier one with the same
     * name and labels. */
    void gauge(
        const std::string& name, const std::string& help, ReadCallback read, const std::string& labels = {});

    /** A counter that is maintained elsewhere and whose value `read` returns when the page is rendered. */
    void observableCounter(
        const std::string& name, const std::string& help, ReadCallback read, const std::string& labels = {});

    /** All metrics in the Prometheus text format. */
    std::string page() const;

    /** The help text of every metric, by name. */
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

    mutable std::mutex m_mutex; // guards m_families; counters and histograms are updated without it
    std::map<std::string, Family> m_families;
};

} // namespace quay
