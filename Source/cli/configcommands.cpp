#include "cli/commands.h"

#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>
#include <vector>

DECLARE_string(environment);
DEFINE_string(file, "", "JSON file with the document");
DEFINE_string(from, "", "source environment of the document to promote");
DEFINE_string(digest, "", "digest of the document to promote");
DEFINE_int64(expectedRevision, -1, "revision expected to be in force; 0 if there is none yet");
DEFINE_uint64(toRevision, 0, "revision whose document is restored");
DEFINE_string(requestId, "", "id that makes the request idempotent: a repeated request returns the first result; random if empty");
DEFINE_string(worker, "", "worker that the verdict applies to");
DEFINE_uint64(sequence, 0, "sequence number of the verdict; a higher one replaces a lower one");
DEFINE_uint64(inForceMs, 8000, "maximum wait in milliseconds until the change is in force on all hosts of --hosts; 0 to not wait");
DEFINE_bool(down, false, "whether the monitoring group reports the worker as down");

namespace rosemaryturn::cli
{
namespace
{
using Json = nlohmann::json;

constexpr std::uint64_t probeTimeoutMs = 1000;
constexpr std::uint64_t probeIntervalMs = 50;

std::string requestId()
{
    if (!FLAGS_requestId.empty()) {
        return FLAGS_requestId;
    }
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> numbers;
    return "cli-" + std::to_string(numbers(device)) + "-" + std::to_string(numbers(device));
}

bool checkCommonFlags()
{
    if (FLAGS_environment.empty()) {
        std::cerr << "missing option --environment\n";
        return false;
    }
    if (FLAGS_expectedRevision < 0) {
        std::cerr << "missing option --expectedRevision; \"rosemaryturn config\" shows the revision in force\n";
        return false;
    }
    return true;
}

bool hasRevisionInForce(const std::string &host, std::uint64_t revision)
{
    EntryHosts singleHost{{host}, 0};
    const CallResult result = callAnyHost(singleHost, {"GET", "/v1/config/" + escapeUrl(FLAGS_environment), "", probeTimeoutMs, 0});
    return result.code == ExitCode::Success && result.body.value("revision", std::uint64_t{0}) >= revision;
}

/** Waits up to inForceMs. @return the hosts on which the revision is not in force at the end of the wait. */
std::vector<std::string> waitUntilInForce(const EntryHosts &hosts, std::uint64_t revision)
{
    std::vector<std::string> missing = hosts.addresses;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_inForceMs);
    while (true) {
        std::erase_if(missing, [revision](const std::string &host) {
            return hasRevisionInForce(host, revision);
        });
        if (missing.empty() || std::chrono::steady_clock::now() >= deadline) {
            return missing;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(probeIntervalMs));
    }
}

ExitCode changeConfig(EntryHosts &hosts, Json body)
{
    body["requestId"] = requestId();
    body["expectedRevision"] = FLAGS_expectedRevision;
    CallResult result = callAnyHost(hosts, {"POST", "/v1/config/" + escapeUrl(FLAGS_environment), body.dump()});
    if (result.code == ExitCode::Success && FLAGS_inForceMs > 0) {
        result.body["notInForceOn"] = waitUntilInForce(hosts, result.body.value("revision", std::uint64_t{0}));
    }
    print(result);
    return result.code;
}

ExitCode printResource(EntryHosts &hosts, const std::string &path)
{
    const CallResult result = callAnyHost(hosts, {"GET", path, ""});
    print(result);
    return result.code;
}
}

ExitCode applyDocument(EntryHosts &hosts)
{
    if (!checkCommonFlags()) {
        return ExitCode::WrongUsage;
    }
    std::ifstream file(FLAGS_file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        std::cerr << "--file=" << FLAGS_file << ": not a readable file with a JSON object\n";
        return ExitCode::WrongUsage;
    }
    return changeConfig(hosts, {{"document", document}});
}

ExitCode promoteDocument(EntryHosts &hosts)
{
    if (!checkCommonFlags() || FLAGS_from.empty() || FLAGS_digest.empty()) {
        std::cerr << "promote requires --from, --environment, --digest and --expectedRevision\n";
        return ExitCode::WrongUsage;
    }
    return changeConfig(hosts, {{"promoteFrom", FLAGS_from}, {"digest", FLAGS_digest}});
}

ExitCode rollBackDocument(EntryHosts &hosts)
{
    if (!checkCommonFlags() || FLAGS_toRevision == 0) {
        std::cerr << "rollback requires --environment, --toRevision and --expectedRevision\n";
        return ExitCode::WrongUsage;
    }
    return changeConfig(hosts, {{"rollbackTo", FLAGS_toRevision}});
}

ExitCode showConfig(EntryHosts &hosts)
{
    if (FLAGS_environment.empty()) {
        std::cerr << "missing option --environment\n";
        return ExitCode::WrongUsage;
    }
    return printResource(hosts, "/v1/config/" + escapeUrl(FLAGS_environment));
}

ExitCode submitVerdict(EntryHosts &hosts)
{
    if (FLAGS_worker.empty() || FLAGS_sequence == 0) {
        std::cerr << "verdict requires --worker, --sequence and --down\n";
        return ExitCode::WrongUsage;
    }
    const Json body{{"worker", FLAGS_worker}, {"sequence", FLAGS_sequence}, {"down", FLAGS_down}};
    const CallResult result = callAnyHost(hosts, {"POST", "/v1/verdicts", body.dump()});
    print(result);
    return result.code;
}

ExitCode showStatus(EntryHosts &hosts)
{
    return printResource(hosts, "/v1/status");
}

ExitCode showMetrics(EntryHosts &hosts)
{
    return printResource(hosts, "/v1/metrics");
}
}
