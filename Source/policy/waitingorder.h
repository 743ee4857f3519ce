#pragma once

#include "model/resources.h"

#include <cstdint>
#include <tuple>

/** Order in which waiting steps are placed, by the cost of further delay to their callers. */
namespace rosemaryturn::policy
{
/** Sort criteria of a waiting step; all times are milliseconds on the same clock. */
struct WaitingKey
{
    std::uint32_t priority = 0; ///< Priority of its queue; 0 is the most urgent.
    std::int64_t releaseMs = 0; ///< Time when its job was submitted or became due.
    std::int64_t objectiveMs = 0; ///< Target duration of the job, from releaseMs.
    std::int64_t remainingMs = 0; ///< Estimated length of the critical path that still has to run.
    std::uint64_t number = 0; ///< Job number, in order of arrival.
};

/** Expected completion of a job, relative to its objective, if the step is placed now. */
enum class Timeliness {
    InTime,
    Late, ///< Completes within lateFactor times the objective; a late result is worth a fifth of one in time.
    TooLate, ///< Completes later still and is worth little to the caller; runs only on spare capacity.
};

/** Multiple of the objective up to which a late result still has value. */
constexpr std::int64_t lateFactor = 3;

/** @param key a waiting step. @param nowMs current time. @return the expected completion if the step is placed now. */
Timeliness timelinessOf(const WaitingKey &key, std::int64_t nowMs);

/** Share of the capacity in use above which steps that are too late wait, since they would take capacity from steps that can still be in time. It is above
 * one half so that no step waits indefinitely while upstreams are idle. */
constexpr double maxUsedShareForTooLate = 0.6;

/** @param used capacity in use. @param total total capacity. @return whether there is spare capacity for steps that are too late. */
bool hasSpareCapacity(const model::Resources &used, const model::Resources &total);

/**
 * @param key a waiting step. @param nowMs current time.
 * @return the rank; lower values are placed first. Steps that are too late rank last. The others are ordered by the priority of their queue; within a queue
 * steps that can be in time precede late ones, and the earliest latest start time comes first.
 */
std::tuple<int, std::uint32_t, int, std::int64_t, std::uint64_t> waitingRank(const WaitingKey &key, std::int64_t nowMs);
}
