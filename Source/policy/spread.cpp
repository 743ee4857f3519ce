#include "policy/spread.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace rosemaryturn::policy
{
std::uint32_t roomFor(const SpreadNeed &need, const SpreadCandidate &candidate)
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
    if (need.mostPerUpstream > 0) {
        count = std::min<std::uint64_t>(count, need.mostPerUpstream - std::min(need.mostPerUpstream, candidate.present));
    }
    return static_cast<std::uint32_t>(count);
}

namespace
{
/** Lower is better. */
auto rank(const SpreadNeed &need, const SpreadCandidate &candidate)
{
    const std::uint64_t rest = candidate.free.cpuMillis - need.task.cpuMillis;
    return std::tuple(!candidate.near, candidate.penalty, rest, candidate.upstream);
}

std::vector<std::uint32_t> pick(const SpreadNeed &need, std::span<SpreadCandidate> candidates, std::string_view rack, bool anyRack)
{
    std::vector<SpreadCandidate *> order;
    for (SpreadCandidate &candidate : candidates) {
        if ((anyRack || candidate.rack == rack) && roomFor(need, candidate) > 0) {
            order.push_back(&candidate);
        }
    }
    std::sort(order.begin(), order.end(), [&need](const SpreadCandidate *a, const SpreadCandidate *b) {
        return rank(need, *a) < rank(need, *b);
    });
    // A task makes the rest of its upstream smaller, so that it stays the best until it is full.
    std::vector<std::uint32_t> picked;
    for (SpreadCandidate *candidate : order) {
        while (picked.size() < need.count && roomFor(need, *candidate) > 0) {
            candidate->free = candidate->free - need.task;
            ++candidate->present;
            picked.push_back(candidate->upstream);
        }
    }
    return picked;
}

/** @return the rack that holds all tasks with the least room to spare; nothing when none does. */
std::string_view rackForAll(const SpreadNeed &need, std::span<const SpreadCandidate> candidates, bool &found)
{
    std::map<std::string_view, std::uint64_t> rooms;
    for (const SpreadCandidate &candidate : candidates) {
        rooms[candidate.rack] += roomFor(need, candidate);
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

std::uint32_t roomForAll(const SpreadNeed &need, std::span<const SpreadCandidate> candidates)
{
    std::uint32_t room = 0;
    for (const SpreadCandidate &candidate : candidates) {
        room += roomFor(need, candidate);
        if (room >= need.count) {
            return need.count;
        }
    }
    return room;
}

std::vector<std::uint32_t> spread(const SpreadNeed &need, std::span<SpreadCandidate> candidates)
{
    if (need.oneRack) {
        bool found = false;
        const std::string_view rack = rackForAll(need, candidates, found);
        if (found) {
            return pick(need, candidates, rack, false);
        }
    }
    return pick(need, candidates, {}, true);
}
}
