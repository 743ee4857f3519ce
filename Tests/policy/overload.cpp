#include "policy/overload.h"
#include "testing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace
{
using namespace rosemaryturn::policy;

/** Jobs of one step on a service of 600 cores, in the proportions of docs/design/demand.md. */
struct SimulatedJob
{
    WaitingKey key;
    std::uint32_t cpuMillis = 0;
    std::uint32_t unplaced = 0;
    std::uint32_t running = 0;
    double workMs = 0;
    std::int64_t durationMs = 0;
    std::int64_t endMs = -1;
};

struct Kind
{
    std::uint32_t priority;
    double perSecond;
    double tasks;
    std::uint32_t cpuMillis;
    double durationMs;
    double slackFactor;
    std::int64_t targetMs;
};

constexpr std::array kinds{Kind{0, 10, 3, 1000, 800, 1.5, 600}, Kind{1, 1.2, 20, 4500, 4000, 2.2, 1200}, Kind{2, 3, 25, 1700, 2300, 4, 3000}};
constexpr double cores = 600;

struct Outcome
{
    double value = 0; ///< As a share of the value of all jobs if in time.
    std::array<double, 3> served{}; ///< Share served until the end of the overload, by kind.
    std::array<double, 3> largest{}; ///< The same for the largest tenth.
    std::array<double, 3> large{}; ///< The same for the fifth below it.
    std::size_t refused = 0;
};

std::vector<SimulatedJob> makeJobs(double load, std::int64_t untilMs, std::uint32_t seed)
{
    std::mt19937 random(seed); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same jobs in each run.
    double offered = 0;
    for (const Kind &kind : kinds) {
        offered += kind.perSecond * kind.tasks * kind.cpuMillis / 1000.0 * kind.durationMs / 1000.0;
    }
    std::vector<SimulatedJob> jobs;
    for (const Kind &kind : kinds) {
        std::exponential_distribution<double> pause(kind.perSecond * load * cores / offered / 1000.0);
        std::lognormal_distribution<double> size(-0.125, 0.5);
        for (double atMs = pause(random); atMs < static_cast<double>(untilMs); atMs += pause(random)) {
            SimulatedJob job;
            job.unplaced = std::max(1U, static_cast<std::uint32_t>(std::lround(kind.tasks * size(random))));
            job.cpuMillis = kind.cpuMillis;
            job.durationMs = static_cast<std::int64_t>(kind.durationMs);
            job.workMs = job.unplaced * kind.cpuMillis / 1000.0 * kind.durationMs;
            job.key = {kind.priority,
                       static_cast<std::int64_t>(atMs),
                       kind.targetMs + static_cast<std::int64_t>(kind.slackFactor * kind.durationMs),
                       job.durationMs,
                       0,
                       job.durationMs};
            jobs.push_back(job);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const SimulatedJob &a, const SimulatedJob &b) {
        return a.key.releaseMs < b.key.releaseMs;
    });
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        jobs[i].key.number = i + 1;
    }
    return jobs;
}

/** Computes the value and the shares served. */
void summarize(const std::vector<SimulatedJob> &jobs, const std::array<WorkStatistics, kinds.size()> &statistics, Outcome &outcome)
{
    std::array<std::vector<const SimulatedJob *>, kinds.size()> byKind;
    double possible = 0;
    for (const SimulatedJob &job : jobs) {
        byKind.at(job.key.priority).push_back(&job);
        const double value = valueOf(statistics.at(job.key.priority), job.workMs);
        possible += value;
        const std::int64_t tookMs = job.endMs - job.key.releaseMs;
        outcome.value += job.endMs < 0 || tookMs > lateFactor * job.key.objectiveMs ? 0 : tookMs <= job.key.objectiveMs ? value : lateValue * value;
    }
    outcome.value /= possible;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        auto &list = byKind.at(kind);
        std::sort(list.begin(), list.end(), [](const SimulatedJob *a, const SimulatedJob *b) {
            return a->workMs < b->workMs;
        });
        const auto servedShare = [&list](double from, double to) {
            const auto first = list.begin() + static_cast<std::ptrdiff_t>(from * static_cast<double>(list.size()));
            const auto last = list.begin() + static_cast<std::ptrdiff_t>(to * static_cast<double>(list.size()));
            return static_cast<double>(std::count_if(first,
                                                     last,
                                                     [](const SimulatedJob *job) {
                                                         return job->endMs >= 0;
                                                     }))
                / static_cast<double>(last - first);
        };
        outcome.served.at(kind) = servedShare(0, 1);
        outcome.large.at(kind) = servedShare(0.7, 0.9);
        outcome.largest.at(kind) = servedShare(0.9, 1);
    }
}

/** Serves jobs with a paused clock. @param byValue whether by the order of an overload instead of the usual one. */
Outcome serve(std::vector<SimulatedJob> jobs, bool byValue, std::int64_t untilMs)
{
    constexpr std::int64_t tickMs = 20;
    constexpr std::int64_t evaluationMs = 200;
    std::array<WorkStatistics, kinds.size()> statistics;
    std::multimap<std::int64_t, SimulatedJob *> ends;
    std::vector<SimulatedJob *> waiting;
    ServiceLoad load;
    load.totalCores = cores;
    double usedCores = 0;
    std::size_t next = 0;
    Outcome outcome;
    for (std::int64_t nowMs = 0; nowMs < untilMs; nowMs += tickMs) {
        for (; !ends.empty() && ends.begin()->first <= nowMs; ends.erase(ends.begin())) {
            SimulatedJob &job = *ends.begin()->second;
            usedCores -= job.cpuMillis / 1000.0;
            --job.running;
            job.endMs = job.running + job.unplaced == 0 ? nowMs : -1;
        }
        for (; next < jobs.size() && jobs[next].key.releaseMs <= nowMs; ++next) {
            SimulatedJob &job = jobs[next];
            job.key.byValue = byValue;
            recordWork(statistics.at(job.key.priority), job.workMs);
            job.key.weight = weightOf(statistics.at(job.key.priority), job.workMs, job.key.number);
            if (byValue && !admitUnderLoad(load, job.key, job.workMs, job.unplaced * job.cpuMillis / 1000.0, nowMs).admitted) {
                ++outcome.refused;
                continue;
            }
            job.key.deferred = byValue && wouldBeDeferred(load, job.key, job.workMs, nowMs);
            waiting.push_back(&job);
        }
        load.freeCores = cores - usedCores;
        if (byValue && nowMs % evaluationMs == 0) {
            std::vector<WaitingJob> inputs;
            inputs.reserve(waiting.size());
            for (const SimulatedJob *job : waiting) {
                inputs.push_back({job->key, job->unplaced * job->cpuMillis / 1000.0 * static_cast<double>(job->durationMs)});
            }
            deferForShortage(inputs, load, nowMs);
            load.known = true;
            for (std::size_t i = 0; i < waiting.size(); ++i) {
                waiting[i]->key.deferred = inputs[i].deferred;
            }
        }
        std::sort(waiting.begin(), waiting.end(), [nowMs](const SimulatedJob *a, const SimulatedJob *b) {
            return waitingRank(a->key, nowMs) < waitingRank(b->key, nowMs);
        });
        const bool alone = !waiting.empty() && timelinessOf(waiting.front()->key, nowMs) == Timeliness::TooLate;
        for (SimulatedJob *job : waiting) {
            const double need = job->cpuMillis / 1000.0;
            const bool tooLate = timelinessOf(job->key, nowMs) == Timeliness::TooLate;
            const double limit = cores * (!tooLate ? 1 : byValue && alone ? maxUsedShareForTooLateAlone : maxUsedShareForTooLate);
            while (job->unplaced > 0 && usedCores + need <= limit) {
                --job->unplaced;
                ++job->running;
                usedCores += need;
                ends.emplace(nowMs + job->durationMs, job);
            }
        }
        waiting.erase(std::remove_if(waiting.begin(),
                                     waiting.end(),
                                     [](const SimulatedJob *job) {
                                         return job->unplaced == 0;
                                     }),
                      waiting.end());
    }
    summarize(jobs, statistics, outcome);
    return outcome;
}
}

/**
 * With 1.3 times as much work as capacity, the order by priority served a third of the least urgent kind, and an order by value alone would starve the largest
 * jobs, which have the least value per core-second.
 */
TEST_CASE(Overload, UnderALastingShortageMoreValueIsServedAndNoSizeStarves)
{
    constexpr std::int64_t untilMs = 300000;
    const std::vector<SimulatedJob> jobs = makeJobs(1.3, untilMs, 1);
    const Outcome usual = serve(jobs, false, untilMs);
    const Outcome byValue = serve(jobs, true, untilMs);
    CHECK(byValue.value > usual.value + 0.05);
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        CHECK(byValue.served.at(kind) >= 0.5);
        CHECK(byValue.largest.at(kind) >= 0.5 * byValue.served.at(kind));
        CHECK(byValue.large.at(kind) >= 0.5 * byValue.served.at(kind));
    }
    CHECK(usual.served.at(2) < 0.5);
}

/** Below the capacity nothing is refused, and the order costs nothing. */
TEST_CASE(Overload, WithoutAShortageNothingIsRefused)
{
    constexpr std::int64_t untilMs = 60000;
    const Outcome byValue = serve(makeJobs(0.8, untilMs, 1), true, untilMs);
    CHECK_EQUAL(std::size_t{0}, byValue.refused);
    CHECK(byValue.value >= serve(makeJobs(0.8, untilMs, 1), false, untilMs).value);
}

namespace
{
/** @return a job of 1 s that needs 100 cores, with an objective of 3 s. */
WaitingKey keyOfJob(std::uint64_t number)
{
    WaitingKey key{0, 0, 3000, 1000, number, 1000};
    key.byValue = true;
    return key;
}

ServiceLoad loadOf(double freeCores)
{
    ServiceLoad load;
    load.known = true;
    load.totalCores = 100;
    load.freeCores = freeCores;
    return load;
}
}

/** The work that has to be started by the latest start is limited by the capacity; the job of the least value per core-second gives way. */
TEST_CASE(Overload, TheLeastValuePerCoreSecondIsDeferred)
{
    std::vector<WaitingJob> jobs{{keyOfJob(1), 100000}, {keyOfJob(2), 90000}, {keyOfJob(3), 50000}};
    jobs[0].key.weight = 1.2;
    ServiceLoad load = loadOf(0);
    deferForShortage(jobs, load, 0);
    CHECK(!jobs[0].deferred && jobs[1].deferred && !jobs[2].deferred);
    CHECK(load.shortage);
    CHECK(wouldBeDeferred(load, keyOfJob(4), 95000, 0));
    CHECK(!wouldBeDeferred(load, keyOfJob(4), 50000, 0));
    load = loadOf(50); // Steps that wait beside free capacity wait for something else.
    deferForShortage(jobs, load, 0);
    CHECK(!jobs[1].deferred && !load.shortage);
}

/** A wrong refusal is worse than a late job. */
TEST_CASE(Overload, AJobIsRefusedOnlyIfTheBacklogLetsItMissThriceItsObjective)
{
    std::vector<WaitingJob> jobs{{keyOfJob(1), 700000}, {keyOfJob(2), 90000}};
    for (const bool known : {true, false}) {
        for (const double freeCores : {0.0, 50.0}) {
            ServiceLoad load = loadOf(freeCores);
            load.known = known;
            deferForShortage(jobs, load, 0);
            const OverloadAdmission fits = admitUnderLoad(load, keyOfJob(3), 10000, 10, 0);
            CHECK(fits.admitted); // Few core-seconds have much value for each: none of the deferred jobs is ahead.
            const OverloadAdmission last = admitUnderLoad(load, keyOfJob(3), 750000, 10, 0);
            CHECK_EQUAL(!known || freeCores > 0, last.admitted);
            CHECK_EQUAL(last.admitted ? std::int64_t{0} : std::int64_t{6400}, last.retryAfterMs); // 7,900 ms ahead and 7,500 ms of its own.
            CHECK(admitUnderLoad(load, keyOfJob(3), 1000000, 10, 0).admitted); // An idle service would be too slow for it as well.
        }
    }
}

/** Guards against a choice by the plain number: with large jobs submitted at regular intervals, all of them or none would be preferred. */
TEST_CASE(Overload, ThreeFifthsOfTheLargeJobsArePreferred)
{
    WorkStatistics sizes;
    for (int i = 1; i <= 1000; ++i) {
        recordWork(sizes, i % 100);
    }
    for (const std::uint64_t step : {1U, 5U, 10U}) {
        int preferred = 0;
        for (std::uint64_t number = 0; number < 1000 * step; number += step) {
            preferred += weightOf(sizes, 95, number) > 2 * valueOf(sizes, 95) ? 1 : 0;
        }
        CHECK(preferred > 550 && preferred < 650);
    }
}
