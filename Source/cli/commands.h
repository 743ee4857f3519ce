#pragma once

#include "cli/entryhosts.h"
#include "cli/exitcode.h"

#include <span>
#include <string_view>

namespace rosemaryturn::cli
{
/** A command of the command line tool. */
struct Command
{
    std::string_view name;
    std::string_view flags; ///< Options, as shown by --help.
    std::string_view help;
    ExitCode (*run)(EntryHosts &hosts);
};

/** @return all commands, sorted by name. */
std::span<const Command> allCommands();

/** @param name the name of a command. @return the command, or nullptr. */
const Command *findCommand(std::string_view name);

/** Prints a result, as the JSON received (with --json) or as readable text. @param result the result. */
void print(const CallResult &result);

// taskcommands.cpp
ExitCode submitTask(EntryHosts &hosts);
ExitCode waitForTask(EntryHosts &hosts);
ExitCode cancelTask(EntryHosts &hosts);

// configcommands.cpp
ExitCode applyDocument(EntryHosts &hosts);
ExitCode promoteDocument(EntryHosts &hosts);
ExitCode rollBackDocument(EntryHosts &hosts);
ExitCode showConfig(EntryHosts &hosts);
ExitCode submitVerdict(EntryHosts &hosts);
ExitCode showStatus(EntryHosts &hosts);
ExitCode showMetrics(EntryHosts &hosts);

// loadcommand.cpp
ExitCode runLoad(EntryHosts &hosts);
}
