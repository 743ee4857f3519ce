#pragma once

#include "cli/entryhosts.h"
#include "cli/exitcode.h"

#include <span>
#include <string_view>

namespace rosemaryturn::cli
{
/** One command of the tool. */
struct Command
{
    std::string_view name;
    std::string_view flags; ///< Its options, for its help page.
    std::string_view help;
    ExitCode (*run)(EntryHosts &hosts);
};

/** @return all commands, sorted by name. */
std::span<const Command> allCommands();

/** @param name a command's name. @return the command, or null. */
const Command *findCommand(std::string_view name);

/** Prints a result: the JSON as it came with --json, else for people. @param result the result. */
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
