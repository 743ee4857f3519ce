#include "deployment/leader.h"

#include <utility>

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
