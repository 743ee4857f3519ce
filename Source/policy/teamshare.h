#pragma once

#include "model/resources.h"

#include <cstddef>
#include <span>
#include <vector>

/** Hard limits of teams and their shares of the capacity. */
namespace rosemaryturn::policy
{
/** What a team may use. */
struct TeamLimits
{
    model::Resources most; ///< Maximum of what it may have running at a time; a resource of 0 is unlimited.
    double weight = 1; ///< Its share relative to those of other teams while there is less capacity than work.

    bool operator==(const TeamLimits &) const = default;
};

/** @param used usage of a team. @param need an amount. @param most its limit; a resource of 0 is unlimited. @return whether the amount fits beside the usage.
 */
bool fitsLimit(const model::Resources &used, const model::Resources &need, const model::Resources &most);

/** @param used usage of a team. @param task what one task needs. @param most its limit; a resource of 0 is unlimited. @return how many tasks fit beside the
 * usage; the highest value if no limit applies to them. */
std::size_t tasksWithinLimit(const model::Resources &used, const model::Resources &task, const model::Resources &most);

/** @param used an amount. @param total the capacity. @return the largest share of the capacity of any resource. */
double dominantShare(const model::Resources &used, const model::Resources &total);

/** What a team uses and wants, as dominant shares of the capacity. */
struct TeamDemand
{
    double weight = 1;
    double used = 0;
    double waiting = 0; ///< Of its waiting work that its limit admits.
    double largestStep = 0; ///< Of its largest waiting step.
};

/** Share of the capacity that a job of a small team may take, at least: teams are bursty, and one job may take this much at once. */
constexpr double minJobShare = 0.016;

/** @param teams the teams. @return the sum of what they use. */
double usedByTeams(std::span<const TeamDemand> teams);

/**
 * @param teams the teams. @param capacity what they can use together, as a sum of dominant shares. @return the usage by weight up to which each team is within
 * its share: the capacity is divided by weight, and what a team doesn't want goes to the others. Infinite if every team gets what it wants.
 */
double fairLevel(std::span<const TeamDemand> teams, double capacity);

/** @param team a team. @param level result of fairLevel(). @return the usage up to which the team is within its share: the share and one job beside it. */
double shareLimit(const TeamDemand &team, double level);
}
