#pragma once

#include "Client.h"

#include <string>
#include <vector>

namespace quay::ctl {

/** Exit codes of quayctl; docs/quayctl.md lists them. */
enum ExitCode {
    ExitOk = 0,
    ExitRefused = 1, // refused with the disposition "not run"
    ExitUsage = 2, // invalid command line or unreadable input
    ExitOutcomeUnknown = 3, // whether the request took effect is not known
    ExitUnreachable = 4, // no response from the entry VM or the balancer
    ExitJobFailed = 5, // `job wait`: the job ended without success
};

/** Format of printed results. */
enum class Output {
    Table,
    Json,
};

/** Input of a command: the entry VM to call, the output format and the command's own arguments. */
struct Invocation {
    Target target;
    Output output = Output::Table;
    std::vector<std::string> arguments; // those after the command's name
};

/** One command: its name of one or two words, its help texts and the function that returns its exit code. */
struct Command {
    std::string name;
    std::string summary;
    std::string example;
    int (*run)(const Invocation&);
};

/** Returns all commands in the order of the help text. */
const std::vector<Command>& commands();

/**
 * Returns the exit code of a call. Unless it succeeded, prints the error of the response, or without a
 * response the detail of `reason`, to standard error.
 */
int reportFailure(const std::optional<HttpResponse>& response, const Reason& reason);

/** Maps a response to an exit code: below status 300 ExitOk, otherwise by the disposition of its error. */
int exitCode(const HttpResponse& response);

/** Prints a JSON document to standard output, unchanged or as aligned tables, as `invocation.output` asks. */
void printResult(const Invocation& invocation, const std::string& json);

/** Returns the content of a file; prints an error and returns nullopt if it can't be opened. */
std::optional<std::string> readFile(const std::string& path);

// The functions of commands(). Each returns an exit code.
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
