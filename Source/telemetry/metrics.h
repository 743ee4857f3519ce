#pragma once

#include "model/reason.h"

// extended_p_square_quantile.hpp uses std::stringstream without including <sstream>.
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
/** Estimates quantiles of a duration without storing the samples. */
class DurationQuantiles
{
public:
    DurationQuantiles();

    /** Adds a sample. @param milliseconds the duration. */
    void record(std::uint64_t milliseconds);
    /** @return number of samples. */
    std::uint64_t count() const;
    /** @param probability 0.5, 0.9 or 0.99. @return the quantile in milliseconds; 0 without samples. */
    double quantile(double probability) const;
    /** @return the longest duration in milliseconds; 0 without samples. */
    double max() const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile, boost::accumulators::tag::max, boost::accumulators::tag::count>>;
    Accumulator m_values;
};

/** Capacity of the counters by reason. */
constexpr std::size_t maxReasons = 64;

/** Counters and durations of the control thread. */
struct Metrics
{
    std::array<std::uint64_t, maxReasons> reasons{}; ///< Refusals, retries and ends, by reason.
    DurationQuantiles urgentWait; ///< From acceptance to dispatch, urgent tasks.
    DurationQuantiles normalWait; ///< From acceptance to dispatch, other tasks.
    std::uint64_t accepted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t requeued = 0;
    std::uint64_t spilled = 0; ///< Tasks forwarded to another data centre.
    std::uint64_t announcements = 0;
    std::uint64_t records = 0; ///< Committed records.
    std::uint64_t syncs = 0;
    std::uint64_t decisions = 0;
    std::uint64_t elections = 0;
};

/** Counts a refusal, retry or end of a task. @param metrics the counters. @param reason its reason. */
void count(Metrics &metrics, model::Reason reason);

/** Thread-safe counters of requests that the network threads refuse. */
class RefusalCounters
{
public:
    /** Counts a request refused before it reached the control thread. @param reason the reason. */
    void count(model::Reason reason);
    /** @param reason a reason. @return number of requests refused for it. */
    std::uint64_t value(model::Reason reason) const;

private:
    std::array<std::atomic<std::uint64_t>, maxReasons> m_counts{};
};

/** @return the refusal counters of this process. */
RefusalCounters &refusalCounters();

/** Bytes and connections, counted by the network threads. */
struct TrafficTotals
{
    std::uint64_t bytesWithin = 0; ///< Sent to hosts of the same data centre.
    std::uint64_t bytesAcross = 0; ///< Sent to hosts of other data centres.
    std::uint64_t connectionsRetired = 0; ///< Silent connections that were replaced.
};

/** Processor time and memory used by a process. */
struct ProcessUsage
{
    double cpuSeconds = 0;
    std::uint64_t residentKb = 0;
};

/** @return processor time and resident memory of this process. */
ProcessUsage processUsage();
}
