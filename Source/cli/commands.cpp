#include "cli/commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iostream>

DEFINE_string(hosts, "127.0.0.1:8080", "comma-separated list of entry hosts as HOST:PORT, tried in turn");
DEFINE_bool(json, false, "print machine-readable JSON");

namespace rosemaryturn::cli
{
namespace
{
constexpr std::array commandTable{
    Command{"apply",
            "--environment --file --expectedRevision [--requestId --inForceMs]",
            "put a document in force, if the revision is still the expected one",
            applyDocument},
    Command{"cancel", "--key [--service --environment] [--waitMs]", "cancel a task", cancelTask},
    Command{"config", "--environment", "show the revision in force, its document and the history", showConfig},
    Command{"load",
            "--rate --seconds --services [--seed --threads --nonIdempotentPercent --waitMs]",
            "send an open-loop load and report how callers fare",
            runLoad},
    Command{"metrics", "", "show counters, waiting time, packing and control cost of one host", showMetrics},
    Command{"promote",
            "--from --environment --digest --expectedRevision [--requestId --inForceMs]",
            "put the very document of another environment in force",
            promoteDocument},
    Command{"rollback",
            "--environment --toRevision --expectedRevision [--requestId --inForceMs]",
            "put an earlier document in force as a new revision",
            rollBackDocument},
    Command{"status", "", "show the state of one host", showStatus},
    Command{"submit",
            "--service [--key --environment --payload | --payloadFile] [--idempotent=true|false --urgent --gangSize --cpuMillis --memoryMb --accelerators "
            "--queueMs --maxRunMs "
            "--waitMs]",
            "submit a task or a gang and wait for its answer",
            submitTask},
    Command{"verdict", "--worker --sequence --down=true|false", "hand in a verdict of the monitoring group", submitVerdict},
    Command{"wait", "--key [--service --environment] [--waitMs]", "wait for a task by its key", waitForTask},
};

void printTask(const nlohmann::json &task)
{
    std::cout << task.value("key", "") << ": " << task.value("state", "") << ", " << task.value("outcome", "") << " (" << task.value("reason", "")
              << "), attempt " << task.value("attempt", 0) << '\n';
    if (task.contains("answer") && !task["answer"].get_ref<const std::string &>().empty()) {
        std::cout << task["answer"].get_ref<const std::string &>() << '\n';
    }
}

void printReadable(const nlohmann::json &body)
{
    if (body.contains("error")) {
        const auto &error = body["error"];
        std::cerr << "refused: " << error.value("name", "") << ": " << error.value("text", "") << '\n';
        if (error.contains("detail")) {
            std::cerr << error["detail"].get<std::string>() << '\n';
        }
        std::cerr << "retry: " << error.value("retry", "never") << '\n';
    } else if (body.contains("outcome")) {
        printTask(body);
    } else if (body.contains("tasks") && body["tasks"].is_array()) {
        for (const auto &task : body["tasks"]) {
            printTask(task);
        }
    } else {
        std::cout << body.dump(2) << '\n';
    }
}
}

std::span<const Command> allCommands()
{
    return commandTable;
}

const Command *findCommand(std::string_view name)
{
    const auto found = std::find_if(commandTable.begin(), commandTable.end(), [name](const Command &command) {
        return command.name == name;
    });
    return found == commandTable.end() ? nullptr : &*found;
}

void print(const CallResult &result)
{
    if (result.body.is_null() || result.body.is_discarded()) {
        std::cerr << "no entry host answered; check --hosts and whether rosemaryturnd is running there\n";
        if (FLAGS_json) {
            std::cout << nlohmann::json{{"exit", exitName(result.code)}}.dump() << '\n';
        }
        return;
    }
    if (FLAGS_json) {
        std::cout << result.body.dump() << '\n';
    } else {
        printReadable(result.body);
    }
}
}
