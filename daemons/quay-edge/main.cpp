#include "NodeSettings.h"
#include "edge/EdgeNode.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;

namespace {

constexpr int exitBadSettings = 2;

std::string defaultPath()
{
    const char* path = std::getenv(quay::platform::settingsPathVariable);
    return path ? path : quay::platform::defaultSettingsPath;
}

std::optional<quay::platform::NodeSettings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "quay-edge: can't read " << path << "; name the settings file with --settings\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    quay::Reason reason;
    auto settings = quay::platform::parseNodeSettings(text.str(), reason);
    if (!settings)
        std::cerr << "quay-edge: " << path << ": " << reason.explain() << "\n";
    return settings;
}

int run(int argc, char** argv)
{
    std::string path;
    options::options_description description("quay-edge [--settings FILE]: the buckthornquay node of one "
                                             "edge VM on the users' platform.\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("check-config", "validate the settings file and exit");
    add("settings", options::value(&path)->default_value(defaultPath()), "settings file (JSON)");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    const auto settings = readSettings(path);
    if (!settings)
        return exitBadSettings;
    if (values.count("check-config")) {
        std::cout << path << " is valid\n";
        return 0;
    }
    quay::edge::EdgeNode node(*settings);
    return node.run();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quay-edge: " << error.what() << "\n";
        return exitBadSettings;
    }
}
