#pragma once

#include "model/resources.h"

#include <cstdint>
#include <tuple>

/** In which order waiting steps are tried, by what a further delay costs their callers. */
namespace rosemaryturn::policy
{
/** What the order of a waiting step depends on; times in milliseconds on one clock. */
struct WaitingKey
{
    std::uint32_t priority = 0; ///< Of its queue; 0 comes first.
    std::int64_t releaseMs = 0; ///< When its job was handed in, or came due.
    std::int64_t objectiveMs = 0; ///< Within this its job is in time.
    std::int64_t remainingMs = 0; ///< Longest chain of work still to run, as estimated.
    std::uint64_t number = 0; ///< Of the job, in the order of arrival.
};

/** What can still be earned for the caller by placing a step now. */
enum class Timeliness {
    InTime,
    Late, ///< Worth a fifth, up to three times the objective.
    TooLate, ///< The caller gains little from it any more; it runs when there is room to spare.
};

/** A late result counts up to this many times the objective. */
constexpr std::int64_t lateFactor = 3;

/** @param key a step. @param nowMs the present. @return what is still to be had. */
Timeliness timelinessOf(const WaitingKey &key, std::int64_t nowMs);

/** While more than this share of the room is in use, what is too late waits: the room that it took would be missing for what can be in time. Above a half, so
 * that nothing waits on and on beside idle upstreams. */
constexpr double maxUsedShareForTooLate = 0.6;

/** @param used room in use. @param whole all room. @return whether there is room to spare for steps that are too late. */
bool hasSpareCapacity(const model::Resources &used, const model::Resources &whole);

/**
 * @param key a step. @param nowMs the present.
 * @return where it stands: lower values are tried first. Steps that are too late come last; before them the queues' priorities
 * decide; within a queue what can be in time goes before what is late, and the nearest latest start first.
 */
std::tuple<int, std::uint32_t, int, std::int64_t, std::uint64_t> waitingRank(const WaitingKey &key, std::int64_t nowMs);
}
