#include "fakes/teaminvariants.h"

#include <utility>

namespace rosemaryturn::fakes
{
namespace
{
bool isWithin(const model::Resources &used, const model::Resources &most)
{
    const auto within = [](std::uint64_t usedPart, std::uint64_t mostPart) {
        return mostPart == 0 || usedPart <= mostPart;
    };
    return within(used.cpuMillis, most.cpuMillis) && within(used.memoryMb, most.memoryMb) && within(used.accelerators, most.accelerators);
}

std::string describe(const model::Resources &amount)
{
    return std::to_string(amount.cpuMillis) + "/" + std::to_string(amount.memoryMb) + "/" + std::to_string(amount.accelerators);
}
}

void TeamInvariants::recordPlacement(const std::string &run, std::uint64_t term, const model::Resources &most)
{
    Placement &placement = m_placements[run];
    if (placement.term != term) {
        placement = {term, m_nextSequence++, most};
    }
}

std::string TeamInvariants::checkRunning(const std::vector<TeamRun> &running, const std::string &team) const
{
    model::Resources used;
    Placement latest;
    for (const TeamRun &run : running) {
        if (run.team != team) {
            continue;
        }
        used = used + run.charge;
        const auto placement = m_placements.find(run.run);
        if (placement == m_placements.end()) {
            return "TEAM " + team + ": " + run.run + " runs and wasn't placed";
        }
        if (placement->second.sequence > latest.sequence) {
            latest = placement->second;
        }
    }
    return isWithin(used, latest.most) ? std::string() : "TEAM " + team + " runs " + describe(used) + " of " + describe(latest.most);
}

std::string checkTeamUsage(const deployment::Leader &leader, const job::State &state, const std::map<std::string, wire::JobSpecT> &jobs)
{
    std::map<std::string, model::Resources, std::less<>> counted;
    for (const auto &[number, upstreamState] : leader.upstreams) {
        for (const auto &[task, run] : upstreamState.runs) {
            const wire::JobSpecT &job = jobs.at(state.jobs.at(task.job).spec.id);
            const wire::StepSpecT &step = *job.steps[task.step];
            model::Resources &usage = counted[job.team];
            usage = usage + model::Resources{step.cpuMillis, step.memoryMb, step.accelerators, 0};
        }
    }
    std::string text;
    for (const auto &[team, usage] : counted) {
        const auto charged = leader.teamUsage.find(team);
        if (charged == leader.teamUsage.end() || charged->second != usage) {
            text += "CHARGED " + team + ": " + (charged == leader.teamUsage.end() ? "nothing" : describe(charged->second)) + " of " + describe(usage) + "\n";
        }
    }
    for (const auto &[team, usage] : leader.teamUsage) {
        if (counted.count(team) == 0) {
            text += "CHARGED " + team + ": " + describe(usage) + " without runs\n";
        }
    }
    return text;
}
}
