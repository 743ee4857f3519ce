#include "cli/commands.h"
#include "transport/httpclient.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>

DECLARE_string(hosts);
DECLARE_bool(help);
DECLARE_bool(helpshort);

namespace
{
using namespace rosemaryturn::cli;

void printOverview(std::ostream &stream)
{
    stream << "rosemaryturn COMMAND [--hosts=HOST:PORT,...] [--json] [options]\n\n";
    for (const Command &command : allCommands()) {
        stream << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.help << '\n';
    }
    stream << "\nrosemaryturn COMMAND --help shows the options of a command; docs/CLI.md is the full reference.\n";
}

void printHelp(const Command &command)
{
    std::cout << "rosemaryturn " << command.name << ' ' << command.flags << "\n\n" << command.help << '\n';
}

ExitCode runCommandLine(int argc, char **argv)
{
    const Command *command = argc > 1 ? findCommand(argv[1]) : nullptr;
    if (FLAGS_help || FLAGS_helpshort) {
        if (command == nullptr) {
            printOverview(std::cout);
        } else {
            printHelp(*command);
        }
        return ExitCode::Success;
    }
    if (command == nullptr || argc > 2) {
        std::cerr << (argc > 2 ? "unexpected argument " + std::string(argv[2]) : argc > 1 ? "unknown command " + std::string(argv[1]) : "no command") << "\n\n";
        printOverview(std::cerr);
        return ExitCode::WrongUsage;
    }
    EntryHosts hosts = parseHosts(FLAGS_hosts);
    rosemaryturn::transport::initialiseHttp();
    const ExitCode code = command->run(hosts);
    rosemaryturn::transport::cleanupHttp();
    return code;
}
}

int main(int argc, char **argv)
{
    gflags::AllowCommandLineReparsing();
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    return static_cast<int>(runCommandLine(argc, argv));
}
