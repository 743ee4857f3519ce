#pragma once

#include "deployment/leader.h"
#include "policy/crashisolation.h"
#include "policy/upstreamplacement.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/** Placement of waiting steps. The candidate upstreams are gathered once per pass, so that the cost of an attempt doesn't grow with their number. */
namespace rosemaryturn::deployment::internal
{
/** An upstream that may get new runs. */
struct PlacementCandidate
{
    upstream::UpstreamState *state = nullptr;
    bool reserved = false; ///< Reserved for a gang that ranks higher in this pass.
    std::uint64_t suspectJob = 0; ///< Job of the unproven suspects that run there; 0 for none, the highest value for several jobs.
    bool exclusive = false; ///< An unproven suspect there runs alone.
};

/** What upstreams have and what of it is in use. */
struct CapacityUse
{
    model::Resources used;
    model::Resources total;
};

/** The candidates of one service. */
struct ServiceCandidates
{
    std::vector<PlacementCandidate> candidates; ///< Ordered by the number of the upstream.
    bool othersWait = false; ///< A step that isn't too late was tried before in this pass and still has tasks to place.
    std::optional<CapacityUse> use; ///< Cached since the last placement; empty if not computed.
    policy::AdviceClaims claims; ///< Of the steps that stay unplaced in this pass.
};

/** The candidates by service. */
using CandidatesByService = std::unordered_map<std::string, ServiceCandidates>;

/** Inputs of one attempt to place a step. */
struct PlacementAttempt
{
    WaitingStep &waiting;
    const wire::StepSpecT &step;
    const wire::QueueSpecT &queue;
    Advice &advice;
    std::span<PlacementCandidate> candidates; ///< Candidates of the queue's service.
    policy::Isolation isolation = policy::Isolation::None; ///< By the crashes under its tasks.
    std::size_t maxTasks = SIZE_MAX; ///< Maximum number of tasks to place.
    const policy::AdviceClaims *claims = nullptr; ///< Of the steps ranked above; null if they aren't known.
    bool teamAtLimit = false; ///< Its team may use no more capacity, so that advice would be useless.
};

/** The advice service's reply on an upstream for a step. */
enum class AdviceStatus {
    Unknown, ///< It wasn't requested.
    Allowed,
    Denied,
};

/** @param leader the leader state. @param now the current time. @return the upstreams that may get new runs. */
CandidatesByService gatherCandidates(Leader &leader, const Now &now);

/** @param step a step. @return the resources that each of its tasks occupies. */
model::Resources resourcesPerTask(const wire::StepSpecT &step);

/** @param attempt a step to place. @return its requirements for policy::placeStep(). */
policy::StepDemand stepDemandFor(const PlacementAttempt &attempt);

/** @param attempt a step to place. @param candidate an upstream. @return the upstream as input of policy::placeStep(). */
policy::UpstreamCandidate upstreamCandidateFor(const PlacementAttempt &attempt, const PlacementCandidate &candidate);

/** @param attempt a step to place. @param candidate an upstream of its service. @return whether labels and reservations let the step run there. */
bool isEligible(const PlacementAttempt &attempt, const PlacementCandidate &candidate);

/** @param attempt a step to place. @param capacity number of tasks that fit. @return whether that is enough to place any; a gang is placed whole. */
bool isEnoughCapacity(const PlacementAttempt &attempt, std::size_t capacity);

/** @param ticket a ticket. @param upstreamState the upstream state. @param now the current time. @return whether it is valid for the process there long enough
 * to be used.
 */
bool isValid(const Ticket &ticket, const upstream::UpstreamState &upstreamState, const Now &now);

/**
 * Calls a function for each upstream that a step may run on.
 * @param attempt a step to place. @param visit called with the candidate, its advice status, and its ticket or null.
 */
template<typename Visit>
void forEachEligible(const PlacementAttempt &attempt, Visit visit)
{
    // Candidates, allowed and denied upstreams are all ordered by number, so they are merged in one pass.
    auto allowed = attempt.advice.allowed.begin();
    auto denied = attempt.advice.denied.begin();
    for (PlacementCandidate &candidate : attempt.candidates) {
        const std::uint32_t number = candidate.state->registration.number;
        while (allowed != attempt.advice.allowed.end() && allowed->first < number) {
            ++allowed;
        }
        while (denied != attempt.advice.denied.end() && *denied < number) {
            ++denied;
        }
        if (!isEligible(attempt, candidate)) {
            continue;
        }
        if (allowed != attempt.advice.allowed.end() && allowed->first == number) {
            visit(candidate, AdviceStatus::Allowed, &allowed->second);
        } else {
            const bool refused = denied != attempt.advice.denied.end() && *denied == number;
            visit(candidate, refused ? AdviceStatus::Denied : AdviceStatus::Unknown, static_cast<const Ticket *>(nullptr));
        }
    }
}

/** Updates what the advisers can take. @param leader the leader state. @param now the current time. */
void updateAdviceRoom(Leader &leader, const Now &now);

/** Decides whether a step may request advice, and records why it may not. @param leader the leader state. @param attempt a step to place. @param now the
 * current time. @return whether it has to wait. */
bool holdAdvice(Leader &leader, const PlacementAttempt &attempt, const Now &now);

/** Updates the capacity in the claims on a service. @param service its candidates. */
void updateClaims(ServiceCandidates &service);

/** Adds a step that stays unplaced to the claims on its service. @param attempt the step. @param now the current time. @param claims the claims. */
void claimCapacity(const PlacementAttempt &attempt, const Now &now, policy::AdviceClaims &claims);

/** Requests advice for a step unless a request is pending. @param leader the leader state. @param attempt a step to place. @param now the current time. @param
 * output receives the effects. */
void requestAdvice(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output);

/** Requests advice if renewed tickets, or upstreams not requested before, could let the step be placed. @param leader the leader state. @param attempt a step
 * to place. @param now the current time. @param output receives the effects. */
void requestAdviceIfUseful(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output);
}
