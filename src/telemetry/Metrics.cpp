#include "quay/telemetry/Metrics.h"

#include <algorithm>
#include <sstream>

namespace quay {

namespace {

constexpr double microsecondsPerSecond = 1e6;

std::string formatNumber(double value)
{
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
}

std::string joinLabels(const std::string& labels, const std::string& more)
{
    if (labels.empty())
        return "{" + more + "}";
    return "{" + labels + (more.empty() ? "" : "," + more) + "}";
}

std::string bracedLabels(const std::string& labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

void writeHistogram(
    std::string& page, const std::string& name, const std::string& labels, const DurationHistogram& histogram)
{
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < DurationHistogram::bounds.size(); ++i) {
        cumulativeCount += histogram.countOf(i);
        const auto bound = "le=\"" + formatNumber(DurationHistogram::bounds[i]) + "\"";
        page += name + "_bucket" + joinLabels(labels, bound) + " " + std::to_string(cumulativeCount) + "\n";
    }
    cumulativeCount += histogram.countOf(DurationHistogram::bounds.size());
    page += name + "_bucket" + joinLabels(labels, "le=\"+Inf\"") + " " + std::to_string(cumulativeCount)
        + "\n";
    page += name + "_sum" + bracedLabels(labels) + " " + formatNumber(histogram.sumSeconds()) + "\n";
    page += name + "_count" + bracedLabels(labels) + " " + std::to_string(cumulativeCount) + "\n";
}

} // namespace

void DurationHistogram::record(Duration duration)
{
    const auto us
        = std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    const double seconds = static_cast<double>(us) / microsecondsPerSecond;
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    m_counts[static_cast<std::size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
    m_sumUs.fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

double DurationHistogram::sumSeconds() const
{
    return static_cast<double>(m_sumUs.load(std::memory_order_relaxed)) / microsecondsPerSecond;
}

Metrics::Series& Metrics::series(
    Kind kind, const std::string& name, const std::string& help, const std::string& labels)
{
    auto& family = m_families[name];
    family.kind = kind;
    family.help = help;
    return family.series[labels];
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const std::string& labels)
{
    std::lock_guard lock(m_mutex);
    auto& one = series(Kind::Counter, name, help, labels);
    if (!one.counter)
        one.counter = std::make_unique<Counter>();
    return *one.counter;
}

DurationHistogram& Metrics::histogram(
    const std::string& name, const std::string& help, const std::string& labels)
{
    std::lock_guard lock(m_mutex);
    auto& one = series(Kind::Histogram, name, help, labels);
    if (!one.histogram)
        one.histogram = std::make_unique<DurationHistogram>();
    return *one.histogram;
}

void Metrics::gauge(
    const std::string& name, const std::string& help, ReadCallback read, const std::string& labels)
{
    std::lock_guard lock(m_mutex);
    series(Kind::Gauge, name, help, labels).read = std::move(read);
}

void Metrics::observableCounter(
    const std::string& name, const std::string& help, ReadCallback read, const std::string& labels)
{
    std::lock_guard lock(m_mutex);
    series(Kind::Counter, name, help, labels).read = std::move(read);
}

void Metrics::writeSeries(
    std::string& page, const std::string& name, const std::string& labels, const Series& one)
{
    if (one.histogram)
        writeHistogram(page, name, labels, *one.histogram);
    else if (one.counter)
        page += name + bracedLabels(labels) + " " + std::to_string(one.counter->value()) + "\n";
    else if (one.read)
        page += name + bracedLabels(labels) + " " + formatNumber(one.read()) + "\n";
}

std::string Metrics::page() const
{
    static constexpr std::array<const char*, 3> kindNames { "counter", "gauge", "histogram" };
    std::lock_guard lock(m_mutex);
    std::string page;
    for (const auto& [name, family] : m_families) {
        page += "# HELP " + name + " " + family.help + "\n";
        page += "# TYPE " + name + " " + kindNames[static_cast<std::size_t>(family.kind)] + "\n";
        for (const auto& [labels, one] : family.series)
            writeSeries(page, name, labels, one);
    }
    return page;
}

std::map<std::string, std::string> Metrics::helpByName() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> rows;
    for (const auto& [name, family] : m_families)
        rows.emplace(name, family.help);
    return rows;
}

} // namespace quay
