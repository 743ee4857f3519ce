#include "policy/upstreamplacement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace rosemaryturn::policy
{
std::uint32_t taskCapacity(const StepDemand &need, const UpstreamCandidate &candidate)
{
    std::uint64_t count = need.count;
    const auto bound = [&count](std::uint64_t needed, std::uint64_t available) {
        if (needed > 0) {
            count = std::min(count, available / needed);
        }
    };
    bound(need.task.cpuMillis, candidate.free.cpuMillis);
    bound(need.task.memoryMb, candidate.free.memoryMb);
    bound(need.task.accelerators, candidate.free.accelerators);
    if (need.maxPerUpstream > 0) {
        count = std::min<std::uint64_t>(count, need.maxPerUpstream - std::min(need.maxPerUpstream, candidate.runningTasks));
    }
    return static_cast<std::uint32_t>(count);
}

namespace
{
/** @return the sort key of a candidate; lower is preferred. */
auto rank(const StepDemand &need, const UpstreamCandidate &candidate)
{
    const std::uint64_t remainingCpu = candidate.free.cpuMillis - need.task.cpuMillis;
    return std::tuple(!candidate.dataLocal, candidate.penalty, remainingCpu, candidate.upstream);
}

std::vector<std::uint32_t> fillInOrder(const StepDemand &need, std::span<UpstreamCandidate> candidates, std::string_view rack, bool anyRack)
{
    std::vector<UpstreamCandidate *> order;
    for (UpstreamCandidate &candidate : candidates) {
        if ((anyRack || candidate.rack == rack) && taskCapacity(need, candidate) > 0) {
            order.push_back(&candidate);
        }
    }
    std::sort(order.begin(), order.end(), [&need](const UpstreamCandidate *a, const UpstreamCandidate *b) {
        return rank(need, *a) < rank(need, *b);
    });
    // Placing a task lowers the remaining capacity, so the best upstream stays the best until it is full. One pass over the sorted candidates suffices.
    std::vector<std::uint32_t> chosen;
    for (UpstreamCandidate *candidate : order) {
        while (chosen.size() < need.count && taskCapacity(need, *candidate) > 0) {
            candidate->free = candidate->free - need.task;
            ++candidate->runningTasks;
            chosen.push_back(candidate->upstream);
        }
    }
    return chosen;
}

/** @param found receives whether such a rack exists. @return the rack that fits all tasks with the least spare capacity. */
std::string_view tightestRack(const StepDemand &need, std::span<const UpstreamCandidate> candidates, bool &found)
{
    std::map<std::string_view, std::uint64_t> capacities;
    for (const UpstreamCandidate &candidate : candidates) {
        capacities[candidate.rack] += taskCapacity(need, candidate);
    }
    std::string_view best;
    for (const auto &[rack, capacity] : capacities) {
        if (capacity >= need.count && (!found || capacity < capacities[best])) {
            best = rack;
            found = true;
        }
    }
    return best;
}
}

std::uint32_t totalTaskCapacity(const StepDemand &need, std::span<const UpstreamCandidate> candidates)
{
    std::uint32_t capacity = 0;
    for (const UpstreamCandidate &candidate : candidates) {
        capacity += taskCapacity(need, candidate);
        if (capacity >= need.count) {
            return need.count;
        }
    }
    return capacity;
}

std::vector<std::uint32_t> placeStep(const StepDemand &need, std::span<UpstreamCandidate> candidates)
{
    if (need.sameRack) {
        bool found = false;
        const std::string_view rack = tightestRack(need, candidates, found);
        if (found) {
            return fillInOrder(need, candidates, rack, false);
        }
    }
    return fillInOrder(need, candidates, {}, true);
}
}
