#include "Command.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;

namespace quay::ctl {

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "ask", "send one interactive request", "ask lookup --body term", runAsk },
        { "job submit", "submit a job", "job submit nightly --tasks 4 --request-id r-17", runJobSubmit },
        { "job status", "show a job and its tasks", "job status d1.18c2-1", runJobStatus },
        { "job wait", "wait until a job has ended", "job wait d1.18c2-1", runJobWait },
        { "job cancel", "cancel a job", "job cancel d1.18c2-1", runJobCancel },
        { "job list", "list the team's jobs that have not ended", "job list", runJobList },
        { "job explain", "explain what happened to a job and why", "job explain d1.18c2-1", runJobExplain },
        { "explain", "merge the log lines of all nodes about one request into a timeline",
            "explain 5c0e7a21d94b36f8 --logs node-1.log --logs node-2.log", runExplain },
        { "watch", "print changes of the team's jobs as they happen", "watch --cursor 0", runWatch },
        { "config check", "check a base file and its overlays", "config check base.toml site.toml",
            runConfigCheck },
        { "config diff", "show how the files differ from the accepted configuration",
            "config diff base.toml site.toml", runConfigDiff },
        { "config apply", "submit a configuration to the fleet", "config apply --wait base.toml site.toml",
            runConfigApply },
        { "config show", "show the accepted configuration", "--output json config show", runConfigShow },
        { "config status", "show the version in force and the progress of each entry VM", "config status",
            runConfigStatus },
        { "team list", "show each team's upper limit and its use", "team list", runTeamList },
        { "team set", "change a team in the accepted configuration", "team set clinic --upper-limit 200",
            runTeamSet },
        { "key add", "add a key read from the standard input", "key add clinic-2 --team clinic < key.txt",
            runKeyAdd },
        { "key withdraw", "withdraw a key; every entry VM refuses it once applied", "key withdraw clinic-1",
            runKeyWithdraw },
        { "key hash", "hash a key read from the standard input", "key hash < key.txt", runKeyHash },
        { "fleet", "show members, leaders and backend servers", "fleet", runFleet },
        { "trace", "print the spans of a trace as a tree", "trace 0af7651916cd43dd8448eb211c80319c",
            runTrace },
        { "metrics", "print the metrics page of an entry VM", "metrics", runMetrics },
        { "completion", "print the bash completion script", "completion > /etc/bash_completion.d/quayctl",
            runCompletion },
    };
    return all;
}

int runCompletion(const Invocation&)
{
    std::string completions;
    for (const auto& command : commands())
        completions += command.name + " ";
    std::cout << "complete -W '" << completions << "--address --ca --output --help' quayctl\n";
    return ExitOk;
}

namespace {

std::string environmentVariable(const char* name, const char* fallback)
{
    const char* value = std::getenv(name);
    return value ? value : fallback;
}

void printHelp(const options::options_description& description)
{
    std::cout << "quayctl [OPTIONS] COMMAND ...: the command line of buckthornquay\n\nCommands\n";
    for (const auto& command : commands()) {
        const std::string gap(command.name.size() < 16 ? 16 - command.name.size() : 1, ' ');
        std::cout << "  " << command.name << gap << command.summary << "\n"
                  << std::string(18, ' ') << "quayctl " << command.example << "\n";
    }
    std::cout
        << "\n"
        << description
        << "\nEnvironment: QUAY_ADDRESS, QUAY_CA, QUAY_KEY, QUAY_KEY_FILE.\n"
           "Exit codes: 0 success, 1 refused (not run), 2 usage, 3 outcome unknown, 4 no response, 5 job "
           "did not succeed.\n";
}

const Command* findCommand(std::vector<std::string>& arguments)
{
    for (const auto& command : commands()) {
        const auto space = command.name.find(' ');
        const std::size_t count = space == std::string::npos ? 1 : 2;
        if (arguments.size() < count)
            continue;
        const auto name = count == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
        if (name != command.name)
            continue;
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(count));
        return &command;
    }
    return nullptr;
}

std::string keyFromEnvironment()
{
    const auto file = environmentVariable("QUAY_KEY_FILE", "");
    if (file.empty())
        return environmentVariable("QUAY_KEY", "");
    auto text = readFile(file).value_or("");
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
        text.pop_back();
    return text;
}

int run(int argc, char** argv)
{
    Invocation invocation;
    std::string output;
    std::string address;
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "show this text");
    add("address",
        options::value(&address)->default_value(environmentVariable("QUAY_ADDRESS", "127.0.0.1:8080")),
        "entry VM or balancer, [http[s]://]IP:PORT");
    add("ca", options::value(&invocation.target.caFile)->default_value(environmentVariable("QUAY_CA", "")),
        "file of trusted CAs; implies HTTPS");
    add("output", options::value(&output)->default_value("table"), "table or json");
    // Global options precede the command; all arguments from the command on belong to it. A global option
    // takes the next argument as its value, except --help and options written as --name=value.
    int commandIndex = 1;
    while (commandIndex < argc && std::string(argv[commandIndex]).starts_with("--"))
        commandIndex += std::string(argv[commandIndex]).find('=') == std::string::npos
                && std::string(argv[commandIndex]) != "--help"
            ? 2
            : 1;
    commandIndex = std::min(commandIndex, argc);
    options::variables_map values;
    options::store(options::command_line_parser(commandIndex, argv).options(description).run(), values);
    options::notify(values);
    invocation.arguments.assign(argv + commandIndex, argv + argc);
    if (values.count("help") || invocation.arguments.empty()) {
        printHelp(description);
        return values.count("help") ? ExitOk : ExitUsage;
    }
    if (output != "table" && output != "json") {
        std::cerr << "quayctl: --output must be table or json\n";
        return ExitUsage;
    }
    if (!setAddress(invocation.target, address)) {
        std::cerr << "quayctl: a CA file can't be used with an http:// address\n";
        return ExitUsage;
    }
    invocation.output = output == "json" ? Output::Json : Output::Table;
    invocation.target.key = keyFromEnvironment();
    const auto* command = findCommand(invocation.arguments);
    if (!command) {
        std::cerr << "quayctl: unknown command '" << invocation.arguments.front()
                  << "'; see 'quayctl --help'\n";
        return ExitUsage;
    }
    return command->run(invocation);
}

} // namespace

} // namespace quay::ctl

int main(int argc, char** argv)
{
    try {
        return quay::ctl::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quayctl: " << error.what() << "; see 'quayctl --help'\n";
        return quay::ctl::ExitUsage;
    }
}
