#pragma once

#include "model/resources.h"

#include <cstddef>

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
}
