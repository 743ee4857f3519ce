#pragma once

/** Command line tool rosemaryturn. */
namespace rosemaryturn::cli
{
/** Exit codes of the commands, documented in docs/CLI.md. */
enum class ExitCode {
    Success = 0,
    WrongUsage = 2,
    Refused = 3, ///< Permanent refusal: the unchanged request fails again.
    RefusedForNow = 4, ///< Temporary refusal: the same request may be sent again.
    Unreachable = 5, ///< No entry host answered.
    EndedWithoutAnswer = 6, ///< The task ended as failed, stopped, not-run or unknown.
    NotEnded = 7, ///< The task had not ended when the wait timed out.
};

/** @param code an exit code. @return its name in JSON output. */
const char *exitName(ExitCode code);
}
