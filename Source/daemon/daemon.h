#pragma once

#include "config/settings.h"

#include <cstdint>
#include <system_error>

/** The program rosemaryturnd. */
namespace rosemaryturn::daemon
{
/** How the process ends. */
enum class ExitCode {
    Success = 0,
    WrongUsage = 2,
    WrongSettings = 3,
    WrongDataFolder = 4,
    PortUnavailable = 5,
    JournalFailed = 6,
};

/** Prepares the data folder of a host. @param settings checked settings. @param founding whether the host is one of the first members. @return how the process
 * ends. */
ExitCode initialiseDataFolder(const config::Settings &settings, bool founding);

/** Serves until SIGTERM or SIGINT. @param settings checked settings. @return how the process ends. */
ExitCode serve(const config::Settings &settings);
}
