#include "cli/commands.h"
#include "testing.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace
{
using namespace rosemaryturn;

std::string readPage()
{
    std::ifstream stream(std::string(ROSEMARYTURN_ROOT) + "/docs/CLI.md");
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}
}

TEST_CASE(Cli, PageListsEveryCommandAndExitCode)
{
    const std::string text = readPage();
    for (const cli::Command &command : cli::allCommands()) {
        CPPUNIT_ASSERT_MESSAGE(std::string(command.name), text.find("| " + std::string(command.name) + " | ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(std::string(command.help), text.find(command.help) != std::string::npos);
    }
    for (const int code : {0, 2, 3, 4, 5, 6, 7}) {
        const std::string row = "| " + std::to_string(code) + " | " + cli::exitName(static_cast<cli::ExitCode>(code)) + " | ";
        CPPUNIT_ASSERT_MESSAGE(row, text.find(row) != std::string::npos);
    }
}

TEST_CASE(Cli, TableIsSortedAndFindsEachCommand)
{
    const auto commands = cli::allCommands();
    CHECK(std::is_sorted(commands.begin(), commands.end(), [](const cli::Command &a, const cli::Command &b) {
        return a.name < b.name;
    }));
    for (const cli::Command &command : commands) {
        CHECK(cli::findCommand(command.name) == &command);
    }
    CHECK(cli::findCommand("none") == nullptr);
}

TEST_CASE(Cli, HostsAndUrlsAreReadAndEscaped)
{
    const cli::EntryHosts hosts = cli::parseHosts("a:1,,b:2,");
    CHECK((hosts.addresses == std::vector<std::string>{"a:1", "b:2"}));
    CHECK_TEXT("k.1@dc%2F%20%C3%A9", cli::escapeUrl("k.1@dc/ \xc3\xa9"));
}

TEST_CASE(Cli, NoHostThatAnswersIsUnreachable)
{
    cli::EntryHosts noHosts;
    CHECK(cli::callAnyHost(noHosts, {"GET", "/healthz", ""}).code == cli::ExitCode::Unreachable);
}
