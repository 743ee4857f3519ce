#pragma once

#include "model/reason.h"

// extended_p_square_quantile.hpp writes to a string stream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace rosemaryturn::telemetry
{
/** Quantiles of one measured duration. */
class DurationQuantiles
{
public:
    DurationQuantiles();

    /** @param milliseconds one duration. */
    void record(std::uint64_t milliseconds);
    /** @return how many were noted. */
    std::uint64_t count() const;
    /** @param probability 0.5, 0.9 or 0.99. @return the quantile in milliseconds; 0 before the first. */
    double quantile(double probability) const;
    /** @return the longest in milliseconds. */
    double max() const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile, boost::accumulators::tag::max, boost::accumulators::tag::count>>;
    Accumulator m_values;
};

/** Highest number of reasons that are counted. */
constexpr std::size_t maxReasons = 64;

/** Counters and durations of the control thread. */
struct Metrics
{
    std::array<std::uint64_t, maxReasons> reasons{}; ///< Refusals, retries and ends, by reason.
    DurationQuantiles urgentWait; ///< From acceptance to dispatch, urgent work.
    DurationQuantiles normalWait; ///< The same, other work.
    std::uint64_t accepted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t requeued = 0;
    std::uint64_t spilled = 0; ///< Tasks handed to another data centre.
    std::uint64_t announcements = 0;
    std::uint64_t records = 0; ///< Committed records.
    std::uint64_t syncs = 0;
    std::uint64_t decisions = 0;
    std::uint64_t elections = 0;
};

/** Counts a refusal, retry or end. @param metrics the counters. @param reason its reason. */
void count(Metrics &metrics, model::Reason reason);

/** Refusals at the edge, counted by the traffic threads of the process. */
class RefusalCounters
{
public:
    /** @param reason why a request was refused before it reached the control thread. */
    void count(model::Reason reason);
    /** @param reason a reason. @return how often it was counted. */
    std::uint64_t value(model::Reason reason) const;

private:
    std::array<std::atomic<std::uint64_t>, maxReasons> m_counts{};
};

/** @return the counters of this process. */
RefusalCounters &refusalCounters();

/** Bytes and connections, counted by the traffic threads. */
struct TrafficTotals
{
    std::uint64_t bytesWithin = 0; ///< Sent to hosts of the own data centre.
    std::uint64_t bytesAcross = 0; ///< Sent to hosts of other data centres.
    std::uint64_t connectionsRetired = 0; ///< Silent connections that were replaced.
};

/** Control cost of this process. */
struct ProcessUsage
{
    double cpuSeconds = 0;
    std::uint64_t residentKb = 0;
};

/** @return processor time and resident memory of this process. */
ProcessUsage processUsage();
}
