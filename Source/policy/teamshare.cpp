#include "policy/teamshare.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <numeric>

namespace rosemaryturn::policy
{
namespace
{
bool fitsPart(std::uint64_t used, std::uint64_t need, std::uint64_t most)
{
    return most == 0 || (used <= most && need <= most - used);
}

std::size_t countWithin(std::uint64_t used, std::uint64_t task, std::uint64_t most)
{
    if (most > 0 && used > most) {
        return 0; // As after a reduction of the limit: nothing starts until the usage is within it again.
    }
    return most == 0 || task == 0 ? SIZE_MAX : static_cast<std::size_t>((most - used) / task);
}

double share(std::uint64_t used, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
}
}

bool fitsLimit(const model::Resources &used, const model::Resources &need, const model::Resources &most)
{
    return fitsPart(used.cpuMillis, need.cpuMillis, most.cpuMillis) && fitsPart(used.memoryMb, need.memoryMb, most.memoryMb)
        && fitsPart(used.accelerators, need.accelerators, most.accelerators);
}

std::size_t tasksWithinLimit(const model::Resources &used, const model::Resources &task, const model::Resources &most)
{
    return std::min({countWithin(used.cpuMillis, task.cpuMillis, most.cpuMillis),
                     countWithin(used.memoryMb, task.memoryMb, most.memoryMb),
                     countWithin(used.accelerators, task.accelerators, most.accelerators)});
}

double dominantShare(const model::Resources &used, const model::Resources &total)
{
    return std::max({share(used.cpuMillis, total.cpuMillis), share(used.memoryMb, total.memoryMb), share(used.accelerators, total.accelerators)});
}

double usedByTeams(std::span<const TeamDemand> teams)
{
    return std::accumulate(teams.begin(), teams.end(), 0.0, [](double sum, const TeamDemand &team) {
        return sum + team.used;
    });
}

double fairLevel(std::span<const TeamDemand> teams, double capacity)
{
    std::vector<TeamDemand> order(teams.begin(), teams.end());
    std::sort(order.begin(), order.end(), [](const TeamDemand &a, const TeamDemand &b) {
        return (a.used + a.waiting) * b.weight < (b.used + b.waiting) * a.weight;
    });
    double left = capacity;
    double weights = std::accumulate(order.begin(), order.end(), 0.0, [](double sum, const TeamDemand &team) {
        return sum + team.weight;
    });
    for (const TeamDemand &team : order) {
        if ((team.used + team.waiting) * weights > left * team.weight) {
            return left / weights;
        }
        left -= team.used + team.waiting;
        weights -= team.weight;
    }
    return std::numeric_limits<double>::infinity();
}

double shareLimit(const TeamDemand &team, double level)
{
    return team.weight * level + std::max(minJobShare, team.largestStep);
}
}
