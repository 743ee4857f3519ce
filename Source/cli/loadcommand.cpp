#include "cli/commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

DECLARE_string(environment);
DECLARE_bool(json);
DECLARE_uint64(waitMs);
DEFINE_uint64(rate, 50, "submissions per second");
DEFINE_uint64(seconds, 10, "duration of the load in seconds");
DEFINE_string(services, "", "services and their weights as NAME=WEIGHT,NAME=WEIGHT");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_uint64(threads, 64, "maximum number of concurrent submissions");
DEFINE_uint64(nonIdempotentPercent, 0, "percentage of submissions that are marked as non-idempotent");
DEFINE_uint64(urgentPercent, 0, "percentage of submissions that are marked as urgent");
DEFINE_string(keyPrefix, "load", "prefix of all keys; use a different one for each run");

namespace rosemaryturn::cli
{
namespace
{
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::uint64_t maxRate = 20000;
constexpr std::uint64_t maxSeconds = 3600;
constexpr std::uint64_t maxThreads = 1000;
constexpr std::uint64_t percentScale = 100;

/** A submission generated before the load starts. */
struct PlannedSubmission
{
    std::chrono::nanoseconds at{}; ///< Intended send time, relative to the start of the load.
    Json body;
    std::string group; ///< Group of the latency statistics.
};

/** Results as seen by callers. */
struct LoadReport
{
    std::mutex mutex;
    std::map<std::string, std::vector<double>> latencyMs; ///< Latency of answered tasks since the intended send time, by group.
    std::map<std::string, std::uint64_t> ends; ///< Number of submissions by outcome or reason of refusal.
};

std::vector<std::pair<std::string, std::uint64_t>> parseServiceMix(const std::string &text)
{
    std::vector<std::pair<std::string, std::uint64_t>> mix;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        const std::size_t equals = part.find('=');
        const std::uint64_t weight = equals == std::string::npos ? 1 : std::strtoull(part.c_str() + equals + 1, nullptr, 10);
        if (!part.empty() && weight > 0) {
            mix.emplace_back(part.substr(0, equals), weight);
        }
    }
    return mix;
}

std::vector<PlannedSubmission> planSubmissions(const std::vector<std::pair<std::string, std::uint64_t>> &mix)
{
    std::mt19937_64 random(FLAGS_seed);
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const auto &[name, weight] : mix) {
        weights.push_back(static_cast<double>(weight));
    }
    std::discrete_distribution<std::size_t> serviceDistribution(weights.begin(), weights.end());
    std::uniform_int_distribution<std::uint64_t> percentDistribution(0, percentScale - 1);
    std::exponential_distribution<double> intervalSeconds(static_cast<double>(FLAGS_rate));
    std::vector<PlannedSubmission> submissions;
    double atSeconds = intervalSeconds(random);
    while (atSeconds < static_cast<double>(FLAGS_seconds)) {
        PlannedSubmission submission;
        submission.at = std::chrono::nanoseconds(static_cast<std::int64_t>(atSeconds * 1e9));
        const std::string &service = mix[serviceDistribution(random)].first;
        const bool urgent = percentDistribution(random) < FLAGS_urgentPercent;
        submission.group = urgent ? service + " urgent" : service;
        submission.body = {{"key", FLAGS_keyPrefix + "-" + std::to_string(FLAGS_seed) + "-" + std::to_string(submissions.size())},
                           {"service", service},
                           {"payload", "load " + std::to_string(submissions.size())},
                           {"urgent", urgent},
                           {"waitMs", FLAGS_waitMs}};
        if (percentDistribution(random) < FLAGS_nonIdempotentPercent) {
            submission.body["idempotent"] = false;
        }
        if (!FLAGS_environment.empty()) {
            submission.body["environment"] = FLAGS_environment;
        }
        submissions.push_back(std::move(submission));
        atSeconds += intervalSeconds(random);
    }
    return submissions;
}

void recordResult(LoadReport &report, const PlannedSubmission &submission, const CallResult &result, double elapsedMs)
{
    std::string end = exitName(result.code);
    if (result.body.is_object() && result.body.contains("error")) {
        end = result.body["error"].value("name", end);
    } else if (result.body.is_object() && result.body.contains("outcome")) {
        end = result.body.value("state", "") == "ended" ? result.body.value("outcome", end) : "not-ended";
    }
    const std::lock_guard lock(report.mutex);
    ++report.ends[end];
    if (end == "answered") {
        report.latencyMs[submission.group].push_back(elapsedMs);
    }
}

void sendSubmissions(const EntryHosts &allHosts, const std::vector<PlannedSubmission> &submissions, std::atomic<std::size_t> &next,
                     SteadyClock::time_point start, LoadReport &report)
{
    EntryHosts hosts = allHosts;
    for (std::size_t index = next++; index < submissions.size(); index = next++) {
        const PlannedSubmission &submission = submissions[index];
        const auto intended = start + submission.at;
        std::this_thread::sleep_until(intended);
        hosts.nextIndex = index;
        // No retries, so that the report contains every refusal that a caller sees.
        const CallResult result = callAnyHost(hosts, {"POST", "/v1/tasks", submission.body.dump(), FLAGS_waitMs + 10000, 0});
        recordResult(report, submission, result, std::chrono::duration<double, std::milli>(SteadyClock::now() - intended).count());
    }
}

double quantile(const std::vector<double> &sorted, double probability)
{
    const auto index = static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

Json summarise(LoadReport &report, std::size_t sent, double elapsedSeconds)
{
    Json latencies = Json::object();
    std::uint64_t answered = 0;
    for (auto &[group, values] : report.latencyMs) {
        std::sort(values.begin(), values.end());
        answered += values.size();
        latencies[group] = {{"answered", values.size()}, {"p50Ms", quantile(values, 0.5)}, {"p99Ms", quantile(values, 0.99)}, {"worstMs", values.back()}};
    }
    return {{"sent", sent},
            {"seconds", elapsedSeconds},
            {"answeredPerSecond", static_cast<double>(answered) / elapsedSeconds},
            {"ends", report.ends},
            {"latency", latencies}};
}
}

ExitCode runLoad(EntryHosts &hosts)
{
    const auto mix = parseServiceMix(FLAGS_services);
    const bool inRange
        = FLAGS_rate >= 1 && FLAGS_rate <= maxRate && FLAGS_seconds >= 1 && FLAGS_seconds <= maxSeconds && FLAGS_threads >= 1 && FLAGS_threads <= maxThreads;
    if (mix.empty() || !inRange) {
        std::cerr << "load requires --services=NAME=WEIGHT,..., --rate from 1 to " << maxRate << ", --seconds from 1 to " << maxSeconds
                  << ", --threads from 1 to " << maxThreads << '\n';
        return ExitCode::WrongUsage;
    }
    const std::vector<PlannedSubmission> submissions = planSubmissions(mix);
    LoadReport report;
    std::atomic<std::size_t> next{0};
    const auto start = SteadyClock::now();
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < FLAGS_threads; ++i) {
        threads.emplace_back([&] {
            sendSubmissions(hosts, submissions, next, start, report);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double elapsed = std::chrono::duration<double>(SteadyClock::now() - start).count();
    std::cout << summarise(report, submissions.size(), elapsed).dump(FLAGS_json ? -1 : 2) << '\n';
    return ExitCode::Success;
}
}
