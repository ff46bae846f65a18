#include "quay/core/Settings.h"
#include "service/Daemon.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;

namespace {

constexpr int exitInvalidSettings = 2;

std::optional<quay::Settings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "quayd: can't read " << path << "; set the path of the settings file with --settings\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto result = quay::parseSettings(path, text.str());
    for (const auto& error : result.errors)
        std::cerr << error.explain() << "\n";
    return result.settings;
}

int run(int argc, char** argv)
{
    std::string path;
    options::options_description description(
        "quayd --settings FILE: the buckthornquay daemon of one entry VM.\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("settings", options::value(&path)->default_value("/etc/buckthornquay/quayd.toml"),
        "settings file (TOML)");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    const auto settings = readSettings(path);
    return settings ? quay::runDaemon(*settings) : exitInvalidSettings;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quayd: " << error.what() << "\n";
        return exitInvalidSettings;
    }
}
