#include "quay-faults/FaultProxy.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;
using namespace quay;

namespace {

constexpr int exitUsage = 2;

// Writes a temporary file and renames it, so that a reader never sees an incomplete file.
void writePortFile(const std::string& path, const std::string& text)
{
    if (path.empty())
        return;
    const auto partial = path + ".partial";
    std::ofstream(partial) << text;
    std::filesystem::rename(partial, path);
}

std::optional<faults::FaultScript> readScript(const std::string& path, Reason& reason)
{
    std::ifstream file(path);
    if (!file)
        return fail(reason, ErrorKind::NotFound, "can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return faults::parseScript(text.str(), reason);
}

int run(int argc, char** argv)
{
    std::string control;
    std::string portFile;
    std::string scriptFile;
    options::options_description description("quay-faults: a fault-injecting TCP proxy for tests.\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("listen-control", options::value(&control)->default_value("127.0.0.1:0"),
        "IP:PORT of the control interface");
    add("port-file", options::value(&portFile),
        "file to write with 'control IP:PORT' and a line 'NAME IP:PORT' for each route");
    add("script", options::value(&scriptFile), "TOML file of [[routes]] and timed [[faults]]");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    boost::asio::io_context context(1);
    faults::FaultProxy proxy(context, control);
    if (!scriptFile.empty()) {
        Reason reason;
        const auto script = readScript(scriptFile, reason);
        if (!script || !proxy.run(*script, reason)) {
            std::cerr << "quay-faults: " << reason.explain() << "\n";
            return exitUsage;
        }
    }
    const auto lines = "control " + proxy.address() + "\n" + proxy.routeLines();
    std::cout << lines << std::flush;
    writePortFile(portFile, lines);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quay-faults: " << error.what() << "\n";
        return exitUsage;
    }
}
