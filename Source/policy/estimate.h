#pragma once

#include "model/resources.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>

namespace rosemaryturn::policy
{
/** Streaming quantile of a reported amount. */
using AmountQuantile
    = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile, boost::accumulators::tag::count>>;

/** Reported resource usage of the tasks of a service. */
struct UsageEstimate
{
    UsageEstimate();

    AmountQuantile cpuMillis;
    AmountQuantile memoryMb;
};

/** Adds a usage report, which may lag. @param estimate the service's estimate. @param cpuMillis used processor time. @param memoryMb used memory. */
void recordUsage(UsageEstimate &estimate, std::uint64_t cpuMillis, std::uint64_t memoryMb);

/**
 * Computes the resources to reserve for a task.
 * @param declared resources stated by the operator or caller.
 * @param estimate usage of the service's tasks.
 * @param largest upper bound of the estimate, so that a wrong report does not make tasks unplaceable.
 * @return the larger of declared and estimated, per resource.
 */
model::Resources resourcesToReserve(const model::Resources &declared, const UsageEstimate &estimate, const model::Resources &largest);

/** Action against a task that uses more resources than it declared. */
enum class OveruseAction {
    None,
    Throttle,
    Checkpoint,
    Stop,
};

/**
 * Chooses the next action against a task that uses more than it declared.
 * @param previous action chosen at the last report.
 * @param declared resources reserved for the task.
 * @param used resources that it uses.
 * @param workerOverfull whether the tasks on the worker use more than it offers.
 * @return the next stronger action while the overuse lasts; None otherwise.
 */
OveruseAction nextOveruseAction(OveruseAction previous, const model::Resources &declared, const model::Resources &used, bool workerOverfull);
}
