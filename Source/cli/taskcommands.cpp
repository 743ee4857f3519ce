#include "cli/commands.h"

#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

DEFINE_string(key, "", "key of the task; a submission without a key gets a random one");
DEFINE_string(service, "", "service of the task, as declared in the document");
DEFINE_string(environment, "", "environment of the service or document");
DEFINE_string(payload, "", "payload of the task");
DEFINE_string(payloadFile, "", "file with the payload of the task");
DEFINE_string(idempotent, "", "true or false; if empty, as declared by the service");
DEFINE_bool(urgent, false, "place the task before other tasks");
DEFINE_uint64(gangSize, 1, "number of tasks of a gang");
DEFINE_uint64(cpuMillis, 0, "processor capacity in thousandths of a core; 0 to use the declaration of the service");
DEFINE_uint64(memoryMb, 0, "memory in megabytes; 0 to use the declaration of the service");
DEFINE_uint64(accelerators, 0, "number of accelerators; 0 to use the declaration of the service");
DEFINE_uint64(queueMs, 0, "maximum wait for a worker in milliseconds; 0 to use the declaration of the service");
DEFINE_uint64(maxRunMs, 0, "maximum run time in milliseconds; 0 to use the declaration of the service");
DEFINE_uint64(waitMs, 30000, "maximum wait for the answer in milliseconds; 0 to not wait");

namespace rosemaryturn::cli
{
namespace
{
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/** Maximum wait per call, which bounds the delay when a host fails during the call. */
constexpr std::uint64_t maxCallWaitMs = 5000;
constexpr std::uint64_t networkMarginMs = 7000;
constexpr long statusAccepted = 202;

std::string randomKey()
{
    std::random_device device;
    std::string key = "cli-";
    constexpr std::string_view hexDigits = "0123456789abcdef";
    constexpr int length = 24;
    std::uniform_int_distribution<std::size_t> digitDistribution(0, hexDigits.size() - 1);
    for (int i = 0; i < length; ++i) {
        key += hexDigits[digitDistribution(device)];
    }
    return key;
}

std::uint64_t remainingMs(SteadyClock::time_point deadline)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock::now()).count();
    return remaining > 0 ? static_cast<std::uint64_t>(remaining) : 0;
}

std::string queryString(std::uint64_t waitMs)
{
    std::string query = "?waitMs=" + std::to_string(waitMs);
    if (!FLAGS_service.empty()) {
        query += "&service=" + escapeUrl(FLAGS_service);
    }
    if (!FLAGS_environment.empty()) {
        query += "&environment=" + escapeUrl(FLAGS_environment);
    }
    return query;
}

bool addNumber(Json &body, const char *name, std::uint64_t value)
{
    if (value > 0) {
        body[name] = value;
    }
    return value > 0;
}

/** @return false if the flags are invalid. */
bool buildSubmission(Json &body)
{
    body = {{"key", FLAGS_key}, {"service", FLAGS_service}, {"payload", FLAGS_payload}};
    if (!FLAGS_payloadFile.empty()) {
        std::ifstream file(FLAGS_payloadFile, std::ios::binary);
        if (!file) {
            std::cerr << "--payloadFile=" << FLAGS_payloadFile << ": cannot be read\n";
            return false;
        }
        body["payload"] = std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }
    if (!FLAGS_idempotent.empty()) {
        if (FLAGS_idempotent != "true" && FLAGS_idempotent != "false") {
            std::cerr << "--idempotent=" << FLAGS_idempotent << ": must be true or false\n";
            return false;
        }
        body["idempotent"] = FLAGS_idempotent == "true";
    }
    if (!FLAGS_environment.empty()) {
        body["environment"] = FLAGS_environment;
    }
    if (FLAGS_urgent) {
        body["urgent"] = true;
    }
    addNumber(body, "gangSize", FLAGS_gangSize > 1 ? FLAGS_gangSize : 0);
    addNumber(body, "cpuMillis", FLAGS_cpuMillis);
    addNumber(body, "memoryMb", FLAGS_memoryMb);
    addNumber(body, "accelerators", FLAGS_accelerators);
    addNumber(body, "queueMs", FLAGS_queueMs);
    addNumber(body, "maxRunMs", FLAGS_maxRunMs);
    return true;
}

ExitCode exitCodeOf(const CallResult &result)
{
    if (result.code != ExitCode::Success) {
        return result.code;
    }
    if (result.status == statusAccepted) {
        return ExitCode::NotEnded;
    }
    const Json tasks = result.body.contains("tasks") ? result.body["tasks"] : Json::array({result.body});
    for (const Json &task : tasks) {
        if (task.value("outcome", "") != "answered") {
            return ExitCode::EndedWithoutAnswer;
        }
    }
    return ExitCode::Success;
}

/** Polls any host for the task by its key until all its tasks have ended or the deadline has passed. */
CallResult pollByKey(EntryHosts &hosts, CallResult result, SteadyClock::time_point deadline)
{
    while (result.code == ExitCode::Success && result.status == statusAccepted && remainingMs(deadline) > 0) {
        const std::uint64_t waitMs = std::min(remainingMs(deadline), maxCallWaitMs);
        const std::string key = result.body.value("key", FLAGS_key);
        result = callAnyHost(
            hosts, {"GET", "/v1/tasks/" + escapeUrl(key) + queryString(waitMs), "", waitMs + networkMarginMs, remainingMs(deadline) + networkMarginMs});
    }
    return result;
}

ExitCode printTaskResult(const CallResult &result)
{
    print(result);
    return exitCodeOf(result);
}

bool checkKeyFlag()
{
    if (FLAGS_key.empty()) {
        std::cerr << "missing option --key\n";
        return false;
    }
    return true;
}
}

ExitCode submitTask(EntryHosts &hosts)
{
    if (FLAGS_service.empty()) {
        std::cerr << "missing option --service\n";
        return ExitCode::WrongUsage;
    }
    if (FLAGS_key.empty()) {
        FLAGS_key = randomKey();
    }
    Json body;
    if (!buildSubmission(body)) {
        return ExitCode::WrongUsage;
    }
    const auto deadline = SteadyClock::now() + std::chrono::milliseconds(FLAGS_waitMs);
    body["waitMs"] = std::min(FLAGS_waitMs, maxCallWaitMs);
    const Call call{
        "POST", "/v1/tasks", body.dump(-1, ' ', false, Json::error_handler_t::replace), maxCallWaitMs + networkMarginMs, FLAGS_waitMs + networkMarginMs};
    return printTaskResult(pollByKey(hosts, callAnyHost(hosts, call), deadline));
}

ExitCode waitForTask(EntryHosts &hosts)
{
    if (!checkKeyFlag()) {
        return ExitCode::WrongUsage;
    }
    const auto deadline = SteadyClock::now() + std::chrono::milliseconds(FLAGS_waitMs);
    const std::uint64_t waitMs = std::min(FLAGS_waitMs, maxCallWaitMs);
    const Call call{"GET", "/v1/tasks/" + escapeUrl(FLAGS_key) + queryString(waitMs), "", waitMs + networkMarginMs, FLAGS_waitMs + networkMarginMs};
    return printTaskResult(pollByKey(hosts, callAnyHost(hosts, call), deadline));
}

ExitCode cancelTask(EntryHosts &hosts)
{
    if (!checkKeyFlag()) {
        return ExitCode::WrongUsage;
    }
    const std::uint64_t waitMs = std::min(FLAGS_waitMs, maxCallWaitMs);
    const CallResult result
        = callAnyHost(hosts, {"DELETE", "/v1/tasks/" + escapeUrl(FLAGS_key) + queryString(waitMs), "", waitMs + networkMarginMs, networkMarginMs});
    print(result);
    if (result.code != ExitCode::Success) {
        return result.code;
    }
    return result.status == statusAccepted ? ExitCode::NotEnded : ExitCode::Success;
}
}
