#pragma once

/** The program rosemaryturn. */
namespace rosemaryturn::cli
{
/** How a command ends; docs/CLI.md lists them. */
enum class ExitCode {
    Success = 0,
    WrongUsage = 2,
    Refused = 3, ///< The request fails again unless it is changed.
    RefusedForNow = 4, ///< The same request may be sent again.
    Unreachable = 5, ///< No entry host answered.
    EndedWithoutAnswer = 6, ///< The task ended as failed, stopped, not-run or unknown.
    NotEnded = 7, ///< The task had not ended when the wait was over.
};

/** @param code how a command ends. @return its name in JSON output. */
const char *exitName(ExitCode code);
}
