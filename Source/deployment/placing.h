#pragma once

#include "deployment/leader.h"
#include "policy/spread.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/** What one pass over the waiting steps sees of the upstreams: gathered once, so that an attempt costs little however many there are. */
namespace rosemaryturn::deployment::internal
{
/** An upstream that may take new work. */
struct PlacementCandidate
{
    upstream::UpstreamState *state = nullptr;
    bool reserved = false; ///< Kept free for a gang earlier in the order.
};

/** The upstreams of a service that may take new work. */
struct ServiceCandidates
{
    std::vector<PlacementCandidate> candidates; ///< Ordered by the number of the upstream.
    std::optional<bool> hasSpareCapacity; ///< As found since the last placement; empty for not asked yet.
};

/** The upstreams that may take new work, by service. */
using CandidatesByService = std::unordered_map<std::string, ServiceCandidates>;

/** What one attempt to place a step needs to know. */
struct PlacementAttempt
{
    WaitingStep &waiting;
    const wire::StepSpecT &step;
    const wire::QueueSpecT &queue;
    Advice &advice;
    std::span<PlacementCandidate> candidates; ///< Of the queue's service.
};

/** What the advice service said of an upstream for a step. */
enum class AdviceStatus {
    Unknown,
    Allowed,
    Denied,
};

/** @param leader what is known. @param now the present. @return the upstreams that may take new work. */
CandidatesByService gatherCandidates(Leader &leader, const Now &now);

/** @param step a step. @return the room that each of its tasks holds. */
model::Resources resourcesPerTask(const wire::StepSpecT &step);

/** @param attempt a step to place. @return what it asks for. */
policy::SpreadNeed spreadNeedFor(const PlacementAttempt &attempt);

/** @param attempt a step to place. @param candidate an upstream. @return the upstream as the choice of a place sees it. */
policy::SpreadCandidate spreadCandidateFor(const PlacementAttempt &attempt, const PlacementCandidate &candidate);

/** @param attempt a step to place. @param candidate an upstream of its service. @return whether the step may go there, as far as labels and kept room tell. */
bool isEligible(const PlacementAttempt &attempt, const PlacementCandidate &candidate);

/** @param attempt a step to place. @param room how many tasks there is room for. @return whether that is enough to place any. */
bool isEnoughCapacity(const PlacementAttempt &attempt, std::size_t room);

/** @param ticket what the advice service gave. @param upstreamState an upstream. @param now the present. @return whether it holds there long enough to be used.
 */
bool isValid(const Ticket &ticket, const upstream::UpstreamState &upstreamState, const Now &now);

/**
 * Visits the upstreams that a step may go to, with what the advice service said of each.
 * @param attempt the step. @param visit called with the candidate, its standing, and its ticket or null.
 */
template<typename Visit>
void forEachEligible(const PlacementAttempt &attempt, Visit visit)
{
    // All three are ordered by the number of the upstream, so one walk meets them side by side.
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

/** Puts a question for a step to the advice service, unless one is under way. @param leader what is known. @param attempt the step. @param now the present.
 * @param output what to do. */
void requestAdvice(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output);

/** Asks for new tickets when they, or upstreams that weren't asked about, would let the step be placed. @param leader what is known. @param attempt the step.
 * @param now the present. @param output what to do. */
void requestAdviceIfUseful(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output);
}
