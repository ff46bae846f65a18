#pragma once

#include "Client.h"

#include <string>
#include <vector>

namespace quay::ctl {

/** Exit codes of quayctl; docs/quayctl.md lists them. */
enum ExitCode {
    ExitOk = 0,
    ExitRefused = 1, // the fleet refused: "not run"
    ExitUsage = 2, // wrong words on the command line, or an unreadable file
    ExitOutcomeUnknown = 3, // the outcome is not known
    ExitUnreachable = 4, // no entry VM answered
    ExitJobFailed = 5, // `job wait`: the job ended, but not well
};

/** How results are printed. */
enum class Output {
    Table,
    Json,
};

/** What every command gets: where to call, how to print, and its own words. */
struct Invocation {
    Target target;
    Output output = Output::Table;
    std::vector<std::string> arguments; // after the command's name
};

/** One command: its name of one or two words, a line of help, and what it does. */
struct Command {
    std::string name;
    std::string summary;
    std::string example;
    int (*run)(const Invocation&);
};

/** All commands, in the order of the help text. */
const std::vector<Command>& commands();

/** Prints a refusal or success of the fleet and gives the exit code that fits. */
int reportFailure(const std::optional<HttpResponse>& response, const Reason& reason);

/** The exit code of a response. */
int exitCode(const HttpResponse& response);

/** Prints JSON as it is, or as an aligned table of its fields. */
void printResult(const Invocation& invocation, const std::string& json);

/** The whole text of a file; nullopt with a message on the standard error stream. */
std::optional<std::string> readFile(const std::string& path);

// Commands, one file a family.
int runAsk(const Invocation& invocation);
int runExplain(const Invocation& invocation);
int runJobSubmit(const Invocation& invocation);
int runJobStatus(const Invocation& invocation);
int runJobCancel(const Invocation& invocation);
int runJobList(const Invocation& invocation);
int runJobExplain(const Invocation& invocation);
int runJobWait(const Invocation& invocation);
int runWatch(const Invocation& invocation);
int runTrace(const Invocation& invocation);
int runMetrics(const Invocation& invocation);
int runConfigCheck(const Invocation& invocation);
int runConfigDiff(const Invocation& invocation);
int runConfigApply(const Invocation& invocation);
int runConfigStatus(const Invocation& invocation);
int runConfigShow(const Invocation& invocation);
int runKeyHash(const Invocation& invocation);
int runKeyAdd(const Invocation& invocation);
int runKeyWithdraw(const Invocation& invocation);
int runTeamSet(const Invocation& invocation);
int runTeamList(const Invocation& invocation);
int runFleet(const Invocation& invocation);
int runCompletion(const Invocation& invocation);

} // namespace quay::ctl
