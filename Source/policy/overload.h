#pragma once

#include "policy/waitingorder.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <span>
#include <vector>

/** What to delay and what to refuse while a service has less capacity than its jobs need; docs/design/overload.md tells what was weighed. */
namespace rosemaryturn::policy
{
/** Sizes of the jobs of a queue, in core-milliseconds of work. */
struct WorkStatistics
{
    std::uint64_t count = 0;
    double mean = 0; ///< Smoothed over the latest thousand jobs.
    boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>> largeFrom{
        boost::accumulators::quantile_probability = 0.7}; ///< Estimates the size at which the largest three tenths begin.
};

/** Adds a job to the statistics. @param statistics of its queue. @param workMs core-milliseconds of the job. */
void recordWork(WorkStatistics &statistics, double workMs);

/** @param statistics of its queue. @param workMs core-milliseconds of a job. @return the value of the job to its caller if it is completed in time. */
double valueOf(const WorkStatistics &statistics, double workMs);

/**
 * Computes the weight of a job when others have to be deferred for it. Within a queue large jobs have the least value per core-second, and so have the jobs of
 * one queue compared with another, so that they alone would bear a lasting shortage. Therefore three fifths of the largest three tenths of each queue and a
 * fifth of the other jobs are deferred after the others. The choice depends on the job's number, so that a new leader makes the same one.
 * @param statistics of its queue. @param workMs core-milliseconds of a job. @param number of the job. @return its value, several times as high if preferred.
 */
double weightOf(const WorkStatistics &statistics, double workMs, std::uint64_t number);

/** A job with waiting steps, as input of deferForShortage(). */
struct WaitingJob
{
    WaitingKey key; ///< Of the step of the job that has to start first.
    double workMs = 0; ///< Core-milliseconds of the job that aren't placed yet.
    bool deferred = false; ///< Set by deferForShortage().
};

/** Work that is placed before a rank. */
struct WorkAhead
{
    WaitingRank rank; ///< Of a waiting job.
    double workMs = 0; ///< Core-milliseconds of the jobs up to this one.
};

/** State of a service as of the latest evaluation, for the admission of new jobs. */
struct ServiceLoad
{
    bool known = false; ///< False before the first evaluation and for some seconds after a change of leader.
    double totalCores = 0;
    double freeCores = 0;
    bool shortage = false; ///< Not all waiting jobs can be completed in time.
    double deferredBelow = 0; ///< Highest value per core-millisecond of a job that was deferred.
    std::vector<WorkAhead> ahead; ///< The waiting jobs that aren't deferred, in the order of their ranks.
    double allWorkMs = 0; ///< Core-milliseconds of all waiting jobs, with those that are too late.
};

/**
 * Decides which waiting jobs are deferred, so that the others can be completed in time. Jobs are added in the order of their ranks; whenever the work
 * added can't be started in time, those of the least value per core-millisecond are taken out again.
 * @param jobs the waiting jobs of one service; receives which are deferred. @param load the capacity of the service; receives the rest. @param nowMs current
 * time.
 */
void deferForShortage(std::span<WaitingJob> jobs, ServiceLoad &load, std::int64_t nowMs);

/** @param load of the service. @param key of a job. @param workMs its core-milliseconds. @param nowMs current time.
 * @return whether the latest evaluation would have deferred the job. */
bool wouldBeDeferred(const ServiceLoad &load, const WaitingKey &key, double workMs, std::int64_t nowMs);

/** Result of an admission decision. */
struct OverloadAdmission
{
    bool admitted = true;
    std::int64_t completionMs = 0; ///< Estimated duration until the job is completed.
    std::int64_t retryAfterMs = 0; ///< Time after which the backlog, if it only drains, has room for the job.
};

/**
 * Decides whether a new job is admitted. It is refused only if the work ahead of it lets it complete later than lateFactor times its objective, although an
 * idle service would complete it within that time.
 * @param load of the service. @param key of the job. @param workMs its core-milliseconds. @param widestCores cores that its widest step needs at a time.
 * @param nowMs current time. @return the decision.
 */
OverloadAdmission admitUnderLoad(const ServiceLoad &load, const WaitingKey &key, double workMs, double widestCores, std::int64_t nowMs);
}
