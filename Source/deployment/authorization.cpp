#include "deployment/authorization.h"

#include "config/credential.h"

#include <algorithm>

namespace rosemaryturn::deployment
{
namespace
{
/** @return the team with the key; null if the plan has no such key. All keys are compared, so that the time doesn't tell the position of one. */
const wire::TeamSpecT *teamOf(const wire::PlanAcceptedT &plan, std::string_view credential)
{
    const wire::TeamSpecT *found = nullptr;
    for (const auto &team : plan.teams) {
        for (const std::string &digest : team->keyDigests) {
            if (config::equalDigests(digest, credential)) {
                found = team.get();
            }
        }
    }
    return found;
}

bool isPublicQueue(const wire::PlanAcceptedT &plan, const JobOrigin &job)
{
    return std::any_of(plan.queues.begin(), plan.queues.end(), [&job](const auto &queue) {
        return queue->isPublic && queue->host == job.host && queue->prefix == job.prefix;
    });
}
}

Authorization authorizeCall(const wire::PlanAcceptedT &plan, const wire::QueueSpecT &queue, std::string_view credential)
{
    if (!plan.requiresKeys) {
        return {};
    }
    if (const wire::TeamSpecT *team = teamOf(plan, credential)) {
        return {model::Reason::None, team->name};
    }
    if (queue.isPublic) {
        return {};
    }
    return {credential.empty() ? model::Reason::CredentialMissing : model::Reason::CredentialUnknown, {}};
}

model::Reason authorizeJobAccess(const wire::PlanAcceptedT &plan, const JobOrigin &job, std::string_view team)
{
    if (!plan.requiresKeys) {
        return model::Reason::None;
    }
    if (team.empty()) {
        // A call without a key came through a public queue. Job ids are unique across queues, so that it could name a job of any other queue.
        return isPublicQueue(plan, job) ? model::Reason::None : model::Reason::OtherTeam;
    }
    // A job without a team was submitted without a key, for example before the plan required keys: its caller can't prove more than a valid key.
    return job.team.empty() || job.team == team ? model::Reason::None : model::Reason::OtherTeam;
}
}
