#include "daemon/daemon.h"
#include "telemetry/log.h"

#include <gflags/gflags.h>

#include <iostream>
#include <vector>

DEFINE_string(settings, "", "settings file, in JSON; see docs/SETTINGS.md");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(init, false, "initialise the data folder of a host that joins the cluster or has lost its disk, and exit");
DEFINE_bool(founding, false, "with --init: this host is one of the first members of the cluster");

namespace
{
using rosemaryturn::daemon::ExitCode;

ExitCode runDaemon()
{
    using namespace rosemaryturn;
    if (FLAGS_settings.empty()) {
        std::cerr << "rosemaryturnd: missing option --settings=FILE\n";
        return ExitCode::WrongUsage;
    }
    std::vector<config::FieldError> errors;
    const auto settings = config::readSettings(FLAGS_settings, errors);
    if (!settings) {
        for (const config::FieldError &error : errors) {
            std::cerr << FLAGS_settings << ": " << config::describe(error) << '\n';
        }
        return ExitCode::WrongSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": settings are valid\n";
        return ExitCode::Success;
    }
    telemetry::openLog(settings->logFile, settings->logLevel);
    return FLAGS_init ? daemon::initialiseDataFolder(*settings, FLAGS_founding) : daemon::serve(*settings);
}
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("rosemaryturnd --settings=FILE [--check | --init [--founding]]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(runDaemon());
}
