#pragma once

#include "deployment/leader.h"
#include "model/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemaryturn::fakes
{
/** A task that a fake upstream runs. */
struct TeamRun
{
    std::string run; ///< Name of the task and number of the run.
    std::string team;
    model::Resources charge; ///< What the task uses.
};

/**
 * Checks the limits of teams: a run may only be placed if it fits the limit then in force beside everything of its team that may run. So what runs at any
 * time fits the limit by which the latest of these runs was placed, also after the limit was reduced.
 */
class TeamInvariants
{
public:
    /** Records a placement. @param run the run. @param term of the leader that placed it; a later one may place a run anew whose record was lost.
     * @param most the limit of its team in the plan by which it was placed. */
    void recordPlacement(const std::string &run, std::uint64_t term, const model::Resources &most);
    /** @param running all tasks that run. @param team a team. @return a violation; empty for none. */
    std::string checkRunning(const std::vector<TeamRun> &running, const std::string &team) const;

private:
    struct Placement
    {
        std::uint64_t term = 0;
        std::uint64_t sequence = 0;
        model::Resources most;
    };

    std::map<std::string, Placement> m_placements; ///< By run.
    std::uint64_t m_nextSequence = 1;
};

/** @param leader a leader. @param state its replicated state. @param jobs all jobs, by id. @return how what it has charged to its teams differs from a
 * recount of its runs; empty if it doesn't. */
std::string checkTeamUsage(const deployment::Leader &leader, const job::State &state, const std::map<std::string, wire::JobSpecT> &jobs);
}
