#pragma once

#include "model/resources.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/** Placement of the tasks of one step on upstreams, in the deployment scope. */
namespace rosemaryturn::policy
{
/** An upstream that may run tasks of a step. */
struct UpstreamCandidate
{
    std::uint32_t upstream = 0;
    model::Resources free;
    std::uint32_t runningTasks = 0; ///< Tasks of the step that already run there.
    std::string_view rack;
    bool dataLocal = true; ///< Whether the step's data is local to the rack, or the step has no data rack; otherwise it runs slower.
    double penalty = 0; ///< Above 0 for upstreams to avoid while others have capacity.
};

/** Requirements of a step. */
struct StepDemand
{
    model::Resources task; ///< Resources for each task.
    std::uint32_t count = 0; ///< Tasks to place.
    std::uint32_t maxPerUpstream = 0; ///< Maximum tasks of the step on one upstream; 0 for no limit.
    bool sameRack = false; ///< Prefer a single rack for all tasks; the step runs slower across racks.
};

/** @param need the step's requirements. @param candidate an upstream. @return number of tasks that fit into its free capacity. */
std::uint32_t taskCapacity(const StepDemand &need, const UpstreamCandidate &candidate);

/** @param need the step's requirements. @param candidates upstreams. @return number of tasks that fit on all candidates together, at most need.count. */
std::uint32_t totalTaskCapacity(const StepDemand &need, std::span<const UpstreamCandidate> candidates);

/**
 * Chooses an upstream for each task: data-local upstreams first, then by penalty, then the tightest fit, which keeps large gaps for large tasks.
 * @param need the step's requirements.
 * @param candidates eligible upstreams; their free capacity is reduced by the tasks placed.
 * @return one upstream per task; fewer than need.count when the capacity is exhausted.
 */
std::vector<std::uint32_t> placeStep(const StepDemand &need, std::span<UpstreamCandidate> candidates);
}
