#include "policy/upstreamplacement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace rosemaryturn::policy
{
std::uint32_t taskCapacity(const StepDemand &need, const UpstreamCandidate &candidate)
{
    std::uint64_t count = need.count;
    const auto bound = [&count](std::uint64_t wanted, std::uint64_t offered) {
        if (wanted > 0) {
            count = std::min(count, offered / wanted);
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
/** Lower is better. */
auto rank(const StepDemand &need, const UpstreamCandidate &candidate)
{
    const std::uint64_t rest = candidate.free.cpuMillis - need.task.cpuMillis;
    return std::tuple(!candidate.dataLocal, candidate.penalty, rest, candidate.upstream);
}

std::vector<std::uint32_t> pick(const StepDemand &need, std::span<UpstreamCandidate> candidates, std::string_view rack, bool anyRack)
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
    // A task makes the rest of its upstream smaller, so that it stays the best until it is full.
    std::vector<std::uint32_t> picked;
    for (UpstreamCandidate *candidate : order) {
        while (picked.size() < need.count && taskCapacity(need, *candidate) > 0) {
            candidate->free = candidate->free - need.task;
            ++candidate->runningTasks;
            picked.push_back(candidate->upstream);
        }
    }
    return picked;
}

/** @return the rack that holds all tasks with the least room to spare; nothing when none does. */
std::string_view tightestRack(const StepDemand &need, std::span<const UpstreamCandidate> candidates, bool &found)
{
    std::map<std::string_view, std::uint64_t> rooms;
    for (const UpstreamCandidate &candidate : candidates) {
        rooms[candidate.rack] += taskCapacity(need, candidate);
    }
    std::string_view best;
    for (const auto &[rack, room] : rooms) {
        if (room >= need.count && (!found || room < rooms[best])) {
            best = rack;
            found = true;
        }
    }
    return best;
}
}

std::uint32_t totalTaskCapacity(const StepDemand &need, std::span<const UpstreamCandidate> candidates)
{
    std::uint32_t room = 0;
    for (const UpstreamCandidate &candidate : candidates) {
        room += taskCapacity(need, candidate);
        if (room >= need.count) {
            return need.count;
        }
    }
    return room;
}

std::vector<std::uint32_t> placeStep(const StepDemand &need, std::span<UpstreamCandidate> candidates)
{
    if (need.sameRack) {
        bool found = false;
        const std::string_view rack = tightestRack(need, candidates, found);
        if (found) {
            return pick(need, candidates, rack, false);
        }
    }
    return pick(need, candidates, {}, true);
}
}
