#pragma once

#include "config/settings.h"

#include <cstdint>
#include <system_error>

/** Start-up and shutdown of the daemons. */
namespace rosemaryturn::daemon
{
/** Exit codes of the process. */
enum class ExitCode {
    Success = 0,
    WrongUsage = 2,
    WrongSettings = 3,
    WrongDataFolder = 4,
    PortUnavailable = 5,
    JournalFailed = 6,
};

/** Writes the identity of a host into its data folder. @param settings valid settings. @param founding whether the host is one of the first members of the
 * cluster. @return the exit code. */
ExitCode initialiseDataFolder(const config::Settings &settings, bool founding);

/** Runs the host until SIGTERM or SIGINT. @param settings valid settings. @return the exit code. */
ExitCode serve(const config::Settings &settings);
}
