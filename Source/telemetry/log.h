#pragma once

#include "telemetry/event.h"

#include <string>
#include <vector>

namespace rosemaryturn::telemetry
{
/** File name that selects the standard output stream. */
constexpr const char *standardOutput = "-";

/** Opens the log; call it once, before the first event. @param file the log file, or empty for the standard error stream. @param level minimum level: debug,
 * info, warn or error. */
void openLog(const std::string &file, const std::string &level);

/** Writes an event; does nothing before openLog() is called. @param event the event. @param fields its fields. */
void log(Event event, const std::vector<Field> &fields = {});
}
