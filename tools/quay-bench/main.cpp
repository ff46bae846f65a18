#include "quay-bench/Result.h"

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace options = boost::program_options;
using namespace quay;
using namespace quay::bench;

namespace {

constexpr int exitOk = 0;
constexpr int exitViolations = 1;
constexpr int exitUsage = 2;

struct Arguments {
    std::string experiment;
    std::string json;
    std::string html;
    std::string build;
    std::vector<std::string> overrides;
};

std::int64_t microseconds(Instant instant)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(instant.time_since_epoch()).count();
}

Instant after(Instant start, double seconds)
{
    return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::string defaultBuildDirectory()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().string();
}

std::optional<Experiment> readExperiment(const Arguments& arguments, Reason& reason)
{
    std::ifstream file(arguments.experiment);
    if (!file)
        return fail(reason, ErrorKind::NotFound, "can't read " + arguments.experiment);
    std::ostringstream text;
    text << file.rdbuf();
    return parseExperiment(text.str(), arguments.overrides, reason);
}

// Injects the faults at their times and reads the resource usage at the start and the end of the measured
// time.
void runTimeline(const Experiment& experiment, ProcessFleet& fleet, Instant start, Observation& observation)
{
    std::this_thread::sleep_until(start);
    observation.before = fleet.usage();
    for (const auto& fault : experiment.faults) {
        std::this_thread::sleep_until(after(start, fault.atS));
        const auto done = fleet.apply(fault);
        observation.faults.push_back({ fault.atS, std::string(text(fault.kind)) + " " + done });
    }
    std::this_thread::sleep_until(after(start, experiment.durationS));
    observation.window.untilUs = microseconds(std::chrono::steady_clock::now());
    observation.after = fleet.usage();
    for (const auto& domain : fleet.domains())
        observation.leads[domain] = fleet.leadOf(domain);
}

std::optional<Observation> runAndObserve(
    const Experiment& experiment, const std::string& build, Reason& reason)
{
    ProcessFleet fleet(experiment.fleet, build);
    if (!fleet.start(configurationOf(experiment), reason))
        return std::nullopt;
    std::this_thread::sleep_for(std::chrono::duration<double>(experiment.idleS));
    Observation observation;
    LoadGenerator generator(experiment, fleet);
    const auto start = after(std::chrono::steady_clock::now(), experiment.warmupS);
    observation.window.fromUs = microseconds(start);
    std::thread timeline([&] { runTimeline(experiment, fleet, start, observation); });
    generator.run(start);
    timeline.join();
    auto ledgers = fleet.ledgers(reason);
    if (!ledgers)
        return std::nullopt;
    observation.ledgers = std::move(*ledgers);
    observation.loads = generator.outcomes();
    observation.callers = generator.callers();
    return observation;
}

int runExperiment(const Arguments& arguments)
{
    Reason reason;
    const auto experiment = readExperiment(arguments, reason);
    const auto observation = experiment ? runAndObserve(*experiment, arguments.build, reason) : std::nullopt;
    if (!observation) {
        std::cerr << "quay-bench: " << reason.explain() << "\n";
        return exitUsage;
    }
    const auto result = makeResult(*experiment, *observation);
    std::cout << formatTable(result);
    if (!arguments.json.empty())
        std::ofstream(arguments.json) << boost::json::serialize(result) << "\n";
    if (!arguments.html.empty())
        std::ofstream(arguments.html) << formatHtml(result);
    return result.at("violations").as_array().empty() ? exitOk : exitViolations;
}

int run(int argc, char** argv)
{
    Arguments arguments;
    std::string command;
    options::options_description description(
        "quay-bench run EXPERIMENT.toml: runs daemons and stand-ins on this machine under load and "
        "injected faults.\n"
        "Exit codes: 0 all checks hold, 1 a check found a violation, 2 the experiment could not be "
        "run.\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("command", options::value(&command), "run");
    add("experiment", options::value(&arguments.experiment), "experiment file (TOML)");
    add("json", options::value(&arguments.json), "write the result as JSON");
    add("html", options::value(&arguments.html), "write the result as an HTML page");
    add("set", options::value(&arguments.overrides)->composing(),
        "override PATH=VALUE, for example fleet.domains=1 or load.0.rate=500; may be repeated");
    add("build", options::value(&arguments.build)->default_value(defaultBuildDirectory()),
        "directory with daemons/quayd and standin/quay-standin");
    options::positional_options_description positional;
    positional.add("command", 1).add("experiment", 1);
    options::variables_map values;
    options::store(
        options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    options::notify(values);
    if (!values.count("help") && command == "run" && !arguments.experiment.empty())
        return runExperiment(arguments);
    std::cout << description;
    return values.count("help") ? exitOk : exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quay-bench: " << error.what() << "\n";
        return exitUsage;
    }
}
