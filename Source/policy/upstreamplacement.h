#pragma once

#include "model/resources.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/** Where the tasks of one step go, among the upstreams that may run it. */
namespace rosemaryturn::policy
{
/** An upstream that may run tasks of a step. */
struct UpstreamCandidate
{
    std::uint32_t upstream = 0;
    model::Resources free;
    std::uint32_t runningTasks = 0; ///< Tasks of the step that it runs already.
    std::string_view rack;
    bool dataLocal = true; ///< Whether the step runs at full speed there.
    double penalty = 0; ///< Above 0 for upstreams that are better left alone, such as slow ones.
};

/** What a step asks for. */
struct StepDemand
{
    model::Resources task; ///< Of each task.
    std::uint32_t count = 0;
    std::uint32_t maxPerUpstream = 0; ///< 0 for no bound.
    bool sameRack = false; ///< Runs at full speed only when all tasks share a rack.
};

/** @param need what is asked for. @param candidate an upstream. @return how many of the tasks its free room holds. */
std::uint32_t taskCapacity(const StepDemand &need, const UpstreamCandidate &candidate);

/** @param need what is asked for. @param candidates upstreams. @return how many of the tasks they hold together, at most as many as are asked for. */
std::uint32_t totalTaskCapacity(const StepDemand &need, std::span<const UpstreamCandidate> candidates);

/**
 * Picks an upstream for each task: near before far, then the one whose rest is smallest, so that large tasks find room later.
 * @param need what is asked for.
 * @param candidates where it may go; their free room shrinks with what is picked.
 * @return one upstream a task; shorter than the count when the room doesn't hold more.
 */
std::vector<std::uint32_t> placeStep(const StepDemand &need, std::span<UpstreamCandidate> candidates);
}
