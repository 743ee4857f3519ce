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
    std::int64_t stepMs = 0; ///< Estimated length of the step itself.
    bool isEndless = false; ///< Whether its tasks run until their job is cancelled, so that there is no completion that could be too late.
    bool byValue = false; ///< Whether the deployment orders steps by what a delay costs their callers; docs/design/overload.md.
    double weight = 1; ///< Value of its job when others have to be deferred for it; policy/overload.h.
    bool deferred = false; ///< Its job waits for those that can be completed in time without it.
};

/** Expected completion of a job, relative to its objective, if the step is placed now. */
enum class Timeliness {
    InTime,
    Late, ///< Completes within lateFactor times the objective; a late result is worth a fifth of one in time.
    TooLate, ///< Completes later still and is worth little to the caller; runs only on spare capacity. Never that of an endless step.
};

/** Multiple of the objective up to which a late result still has value. */
constexpr std::int64_t lateFactor = 3;

/** Value of a late result, as a share of the value of one in time. */
constexpr double lateValue = 0.2;

/** @param key a waiting step. @param nowMs current time. @return the expected completion if the step is placed now. */
Timeliness timelinessOf(const WaitingKey &key, std::int64_t nowMs);

/** Share of the capacity in use above which steps that are too late wait, since they would take capacity from steps that can still be in time. It is above
 * one half so that no step waits indefinitely while upstreams are idle. */
constexpr double maxUsedShareForTooLate = 0.6;

/** The same share under WaitingKey::byValue while no other step waits: a result that is too late still counts as served. The rest lets new jobs start at once.
 */
constexpr double maxUsedShareForTooLateAlone = 0.9;

/** @param need resources of a task of a step that is too late. @param used capacity in use. @param total total capacity. @param maxUsedShare the share in use
 * up to which there is spare capacity. @return whether there is spare capacity of each kind that the step needs. */
bool hasSpareCapacity(const model::Resources &need, const model::Resources &used, const model::Resources &total, double maxUsedShare = maxUsedShareForTooLate);

/** @param key a waiting step. @param nowMs current time. @return the latest time at which it can be placed to be in time or, if that has passed, late. */
std::int64_t latestStartMs(const WaitingKey &key, std::int64_t nowMs);

/** Rank of a waiting step; lower values are placed first. */
using WaitingRank = std::tuple<int, int, std::uint32_t, int, std::int64_t, std::uint64_t>;

/**
 * @param key a waiting step. @param nowMs current time.
 * @return the rank. Steps that are too late rank last. The others are ordered by the priority of their queue; within a queue steps that can be in time precede
 * late ones, and the earliest latest start time comes first. With byValue, deferred steps rank before those that are too late only, the others are ordered by
 * priority, then by the latest start time at which they keep their value; of those that are too late the oldest comes first.
 */
WaitingRank waitingRank(const WaitingKey &key, std::int64_t nowMs);
}
