#pragma once

#include "model/resources.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>

namespace rosemaryturn::policy
{
/** Quantile of one reported amount. */
using AmountQuantile
    = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile, boost::accumulators::tag::count>>;

/** What the tasks of a service were seen to use. */
struct UsageEstimate
{
    UsageEstimate();

    AmountQuantile cpuMillis;
    AmountQuantile memoryMb;
};

/** Takes a lagged usage report in. @param estimate the service's estimate. @param cpuMillis what a task used. @param memoryMb what it used. */
void recordUsage(UsageEstimate &estimate, std::uint64_t cpuMillis, std::uint64_t memoryMb);

/**
 * Amount to set aside for a task.
 * @param declared what the operator or caller stated.
 * @param estimate what tasks of the service were seen to use.
 * @param largest what no task can exceed, so that a wrong report does not make work unplaceable.
 * @return the larger of declared and estimated, part by part.
 */
model::Resources resourcesToReserve(const model::Resources &declared, const UsageEstimate &estimate, const model::Resources &largest);

/** What a worker is asked to do with a task that uses more than was set aside. */
enum class OveruseAction {
    None,
    Throttle,
    Checkpoint,
    Stop,
};

/**
 * Chooses the next step against a task that uses more than it declared.
 * @param previous the step of the last report.
 * @param declared what was set aside for it.
 * @param used what it uses.
 * @param workerOverfull whether the worker holds more than it offers.
 * @return one step further than before while it goes on, None when it is within its size.
 */
OveruseAction nextOveruseAction(OveruseAction previous, const model::Resources &declared, const model::Resources &used, bool workerOverfull);
}
