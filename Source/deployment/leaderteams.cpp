#include "deployment/leader.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rosemaryturn::deployment::internal
{
namespace
{
const model::Resources &usageOf(const Leader &leader, const std::string &team)
{
    static const model::Resources none;
    const auto found = leader.teamUsage.find(team);
    return found == leader.teamUsage.end() ? none : found->second;
}

/** Time after a failed attempt for which the upstreams are taken to have less capacity than work: some times the longest pause between attempts. */
constexpr std::uint64_t saturatedMs = 500;

model::Resources times(const model::Resources &amount, std::uint64_t count)
{
    return {amount.cpuMillis * count, amount.memoryMb * count, amount.accelerators * count, 0};
}

/** @return what the upstreams that get new runs have in all. */
model::Resources totalCapacity(const Leader &leader, const Now &now)
{
    model::Resources total;
    for (const auto &[number, upstreamState] : leader.upstreams) {
        if (mayPlaceOn(leader, upstreamState, now)) {
            total = total + upstreamState.capacity;
        }
    }
    return total;
}

/** @return what the teams use and want, by name; jobs of no team count as one. */
std::map<std::string_view, policy::TeamDemand> teamDemands(const Leader &leader, const model::Resources &total, const Now &now)
{
    std::map<std::string_view, policy::TeamDemand> demands;
    const auto demandOf = [&](const std::string &name) -> policy::TeamDemand & {
        const auto [entry, added] = demands.try_emplace(name);
        const auto limits = added ? leader.teams.find(name) : leader.teams.end();
        if (limits != leader.teams.end()) {
            entry->second.weight = limits->second.weight;
        }
        return entry->second;
    };
    for (const auto &[name, usage] : leader.teamUsage) {
        demandOf(name).used = policy::dominantShare(usage, total);
    }
    for (const auto &[ref, waiting] : leader.waiting) {
        if (waiting.dueWallMs <= now.wallMs && !waiting.unplaced.empty() && !waiting.heldByTeamLimit) {
            const double share = policy::dominantShare(times(waiting.charge, waiting.unplaced.size()), total);
            policy::TeamDemand &demand = demandOf(waiting.team);
            demand.waiting += share;
            demand.largestStep = std::max(demand.largestStep, share);
        }
    }
    return demands;
}
}

/** Notes that a pass couldn't place some steps, and what is used then. */
void recordFailures(Leader &leader, const Now &now)
{
    constexpr std::uint64_t keptMs = 2000; // Longer than the tasks of most jobs.
    leader.lastFailureMs = now.monotonicMs;
    if (leader.teams.empty()) {
        return;
    }
    const model::Resources total = totalCapacity(leader, now);
    double used = 0;
    for (const auto &[name, usage] : leader.teamUsage) {
        used += policy::dominantShare(usage, total);
    }
    if (used >= leader.fullUsage || now.monotonicMs > leader.fullUsageMs + keptMs) {
        leader.fullUsage = used;
        leader.fullUsageMs = now.monotonicMs;
    }
}

/** Computes what each team may use while work waits that can't be placed; there is no such bound while all can be placed, or the plan has no teams. */
void updateShareLimits(Leader &leader, const Now &now)
{
    leader.shareLimits.clear();
    leader.anyOverShare = false;
    const bool saturated = leader.lastFailureMs > 0 && now.monotonicMs <= leader.lastFailureMs + saturatedMs;
    if (leader.teams.empty() || !saturated) {
        return;
    }
    leader.shareCapacity = totalCapacity(leader, now);
    const std::map<std::string_view, policy::TeamDemand> demands = teamDemands(leader, leader.shareCapacity, now);
    std::vector<policy::TeamDemand> values;
    values.reserve(demands.size());
    for (const auto &[name, demand] : demands) {
        values.push_back(demand);
    }
    // Runs that have just ended leave capacity that is divided, too. Less than all of it may be usable, as when advice or the size of tasks binds.
    const double level = policy::fairLevel(values, std::max(policy::usedByTeams(values), leader.fullUsage));
    for (const auto &[name, demand] : demands) {
        const double limit = policy::shareLimit(demand, level);
        leader.shareLimits.emplace(name, limit);
        leader.anyOverShare = leader.anyOverShare || demand.used > limit;
    }
}

/** @return whether a team uses more than its share, with what was placed in the pass so far. */
bool isOverShare(const Leader &leader, const std::string &team)
{
    const auto limit = leader.shareLimits.find(team);
    return limit != leader.shareLimits.end() && policy::dominantShare(usageOf(leader, team), leader.shareCapacity) > limit->second;
}

/** Puts the limits of a plan in force. Runs beyond a reduced limit go on; nothing is started until the usage leaves room again. */
void applyPlanToTeams(Leader &leader, const wire::PlanAcceptedT &plan)
{
    leader.teams.clear();
    for (const auto &team : plan.teams) {
        const double weight = team->weight > 0 ? team->weight : 1;
        leader.teams[team->name] = {{team->limitCpuMillis, team->limitMemoryMb, team->limitAccelerators, 0}, weight};
    }
}

/** @return what each task of a step counts against the limit of its team. A filling step is charged its processor time, too: its tasks do use it. */
model::Resources chargePerTask(const wire::StepSpecT &step)
{
    return {step.cpuMillis, step.memoryMb, step.accelerators, 0};
}

/** Adds a run, which occupies capacity of its upstream and is charged to its team until releaseRun(). The task has no other run. */
void addPlacedRun(Leader &leader, upstream::UpstreamState &upstreamState, upstream::Run run)
{
    model::Resources &usage = leader.teamUsage[run.team];
    usage = usage + run.charged;
    leader.placements[run.task] = upstreamState.registration.number;
    upstream::addRun(upstreamState, std::move(run));
}

/** Ends the charge of a run that has ended, or is proved not to be running any more. Steps held back by the limit of its team are tried again. */
void releaseCharge(Leader &leader, const upstream::Run &run)
{
    const auto usage = leader.teamUsage.find(run.team);
    if (usage == leader.teamUsage.end()) {
        return;
    }
    usage->second = usage->second - run.charged;
    if (usage->second == model::Resources{}) {
        leader.teamUsage.erase(usage);
    }
    leader.placementNeeded = leader.placementNeeded || leader.teams.count(run.team) > 0;
}

/** @return how many tasks of a step may be started within the limit of its team; the highest value without a limit. */
std::size_t tasksWithinTeamLimit(const Leader &leader, const std::string &team, const wire::StepSpecT &step)
{
    const auto limits = leader.teams.find(team);
    return limits == leader.teams.end() ? SIZE_MAX : policy::tasksWithinLimit(usageOf(leader, team), chargePerTask(step), limits->second.most);
}

/** @return whether the limit of its team alone keeps a step from being placed: no task fits, or a gang doesn't fit whole. Such a step takes part in nothing
 * that serves its placement. */
bool isHeldByTeamLimit(const Leader &leader, const std::string &team, const wire::StepSpecT &step)
{
    return tasksWithinTeamLimit(leader, team, step) < (step.gang ? step.count : 1);
}

/** @return the first step that can't be placed even while nothing else of its team runs: a gang, or a single task, exceeds the limit. */
std::optional<std::uint32_t> stepBeyondTeamLimit(const Leader &leader, const wire::JobSpecT &job)
{
    const auto limits = leader.teams.find(job.team);
    if (limits == leader.teams.end()) {
        return std::nullopt;
    }
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        const wire::StepSpecT &step = *job.steps[i];
        if (policy::tasksWithinLimit({}, chargePerTask(step), limits->second.most) < (step.gang ? step.count : 1)) {
            return i;
        }
    }
    return std::nullopt;
}

/** @return the usage and the limit of a team for the log; a limit of 0 means none. */
std::string describeTeamUsage(const Leader &leader, const std::string &team)
{
    const model::Resources &used = usageOf(leader, team);
    const auto limits = leader.teams.find(team);
    const model::Resources most = limits == leader.teams.end() ? model::Resources{} : limits->second.most;
    return "team=" + team + " cpu=" + std::to_string(used.cpuMillis) + "/" + std::to_string(most.cpuMillis) + " memory=" + std::to_string(used.memoryMb) + "/"
        + std::to_string(most.memoryMb) + " accelerators=" + std::to_string(used.accelerators) + "/" + std::to_string(most.accelerators);
}
}
