#include "policy/overload.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>
#include <vector>

namespace rosemaryturn::policy
{
namespace
{
/** Number of jobs below which the sizes in a queue aren't known well enough to tell large jobs from others. */
constexpr std::uint64_t minSamples = 20;
/** Number of jobs over which the mean is smoothed. */
constexpr std::uint64_t meanSamples = 1000;
/** Part of a job's value that doesn't depend on its size, and the highest value. */
constexpr double fixedValue = 0.3;
constexpr double maxValue = 4;
/** Of five jobs, the number that is preferred. Large jobs must be served half as often as all of their queue; three of five leave a margin. */
constexpr std::uint64_t preferredLargeOfFive = 3;
constexpr std::uint64_t preferredOfFive = 0;
/** Factors of the value of preferred jobs. The values per core-second of two queues differ by as much as the sizes of their jobs. */
constexpr double largePreference = 16;
constexpr double preference = 4;
/** Share of free capacity from which on steps wait for something else, such as tickets, and no job is deferred or refused. */
constexpr double minFreeShare = 0.2;
/** Work that can be placed in the time of one evaluation is no shortage. */
constexpr std::int64_t minBudgetMs = 100;
/** Shortest delay before a retry. */
constexpr std::int64_t minRetryMs = 1000;

double densityOf(const WaitingKey &key, double workMs, std::int64_t nowMs)
{
    const Timeliness timeliness = timelinessOf(key, nowMs);
    const double share = timeliness == Timeliness::InTime ? 1 : timeliness == Timeliness::Late ? lateValue : 0;
    return share * key.weight / std::max(workMs, 1.0);
}

/** @return the core-milliseconds that are placed before a job. */
double workAheadOf(const ServiceLoad &load, const WaitingKey &key, double workMs, std::int64_t nowMs)
{
    if (wouldBeDeferred(load, key, workMs, nowMs)) {
        return load.allWorkMs; // It comes after all others, and of those that are too late the oldest are placed first when there is capacity.
    }
    const auto after = std::lower_bound(load.ahead.begin(), load.ahead.end(), waitingRank(key, nowMs), [](const WorkAhead &entry, const WaitingRank &rank) {
        return entry.rank < rank;
    });
    return after == load.ahead.begin() ? 0 : std::prev(after)->workMs;
}
}

void recordWork(WorkStatistics &statistics, double workMs)
{
    ++statistics.count;
    statistics.mean += (workMs - statistics.mean) / static_cast<double>(std::min(statistics.count, meanSamples));
    statistics.largeFrom(workMs);
}

double valueOf(const WorkStatistics &statistics, double workMs)
{
    return statistics.mean <= 0 ? 1 : std::min(fixedValue + (1 - fixedValue) * workMs / statistics.mean, maxValue);
}

double weightOf(const WorkStatistics &statistics, double workMs, std::uint64_t number)
{
    constexpr std::uint64_t spread = 0x9E3779B97F4A7C15; // Spreads consecutive numbers, as callers may submit large jobs at regular intervals.
    constexpr unsigned highBits = 33;
    const std::uint64_t draw = ((number * spread) >> highBits) % 5;
    const bool isLarge = statistics.count >= minSamples && workMs >= boost::accumulators::p_square_quantile(statistics.largeFrom);
    const double factor = isLarge ? (draw < preferredLargeOfFive ? largePreference : 1) : (draw < preferredOfFive ? preference : 1);
    return factor * valueOf(statistics, workMs);
}

void deferForShortage(std::span<WaitingJob> jobs, ServiceLoad &load, std::int64_t nowMs)
{
    load.shortage = false;
    load.deferredBelow = 0;
    load.allWorkMs = 0;
    load.ahead.clear();
    std::vector<std::pair<WaitingRank, WaitingJob *>> order;
    order.reserve(jobs.size());
    for (WaitingJob &job : jobs) {
        job.deferred = false;
        job.key.deferred = false;
        load.allWorkMs += job.workMs;
        if (timelinessOf(job.key, nowMs) != Timeliness::TooLate) {
            order.emplace_back(waitingRank(job.key, nowMs), &job);
        }
    }
    std::sort(order.begin(), order.end());
    const bool mayDefer = load.totalCores > 0 && load.freeCores < minFreeShare * load.totalCores;
    std::priority_queue<std::pair<double, WaitingJob *>, std::vector<std::pair<double, WaitingJob *>>, std::greater<>> added;
    double addedMs = 0;
    for (const auto &[rank, job] : order) {
        addedMs += job->workMs;
        added.emplace(densityOf(job->key, job->workMs, nowMs), job);
        // Steps that follow start later, so that the work has to be started by the latest start of the last one, not of the first.
        const std::int64_t startByMs = latestStartMs(job->key, nowMs) + job->key.remainingMs - job->key.stepMs;
        while (mayDefer && !added.empty() && addedMs > load.totalCores * static_cast<double>(std::max(startByMs - nowMs, minBudgetMs))) {
            const auto [density, victim] = added.top();
            added.pop();
            victim->deferred = true;
            addedMs -= victim->workMs;
            load.shortage = true;
            load.deferredBelow = std::max(load.deferredBelow, density);
        }
    }
    double aheadMs = 0;
    load.ahead.reserve(order.size());
    for (const auto &[rank, job] : order) {
        if (!job->deferred) {
            aheadMs += job->workMs;
            load.ahead.push_back({rank, aheadMs});
        }
    }
}

bool wouldBeDeferred(const ServiceLoad &load, const WaitingKey &key, double workMs, std::int64_t nowMs)
{
    return load.known && load.shortage && densityOf(key, workMs, nowMs) <= load.deferredBelow;
}

OverloadAdmission admitUnderLoad(const ServiceLoad &load, const WaitingKey &key, double workMs, double widestCores, std::int64_t nowMs)
{
    OverloadAdmission result;
    if (!load.known || load.totalCores <= 0 || load.freeCores >= std::max(widestCores, minFreeShare * load.totalCores)) {
        return result;
    }
    const double aheadMs = workAheadOf(load, key, workMs, nowMs) / load.totalCores;
    const double ownMs = std::max(static_cast<double>(key.remainingMs), workMs / load.totalCores);
    const double latestMs = static_cast<double>(lateFactor * key.objectiveMs);
    result.completionMs = std::llround(aheadMs + ownMs);
    result.admitted = ownMs > latestMs || aheadMs + ownMs <= latestMs;
    if (!result.admitted) {
        result.retryAfterMs = std::max(std::llround(aheadMs + ownMs - latestMs), static_cast<long long>(minRetryMs));
    }
    return result;
}
}
