#pragma once

#include <cstdint>
#include <span>
#include <vector>

/** Choice of the upstreams that the advice service is asked about for a step that doesn't fit on those known to be allowed. */
namespace rosemaryturn::policy
{
/** What is known of the advice service's answer for an upstream. */
enum class AdviceKnowledge {
    Unknown, ///< It wasn't asked about.
    Expired, ///< It is allowed, and its ticket has expired or is about to.
    Valid, ///< It is allowed with a valid ticket.
};

/** An upstream that isn't denied. */
struct AdviceCandidate
{
    std::uint32_t upstream = 0;
    AdviceKnowledge knowledge = AdviceKnowledge::Unknown;
    bool pending = false; ///< A request that names it is unanswered.
    std::uint32_t fitsNow = 0; ///< Tasks of the step that fit into its free capacity.
};

/** A step and the limits of its requests. */
struct AdviceDemand
{
    std::uint32_t count = 0; ///< Tasks to place.
    bool gang = false; ///< The tasks start together or not at all.
    double allowedShare = 0; ///< Share of the upstreams that the service is expected to allow.
    std::size_t minNamed = 0; ///< A request names this many, as further ones add little to its time; first those with capacity.
    std::size_t maxNamed = 0; ///< Maximum number of upstreams in one request.
    bool scarce = false; ///< Most hosts that make requests are busy: only what is expected to help is asked for.
    std::size_t ampleNamed = 0; ///< Number of upstreams up to which a scarce request names more than it needs, as their share in its time is small.
};

/**
 * Chooses upstreams by the capacity that is free now: a step starts on what is free at one moment on upstreams with valid tickets, so that allowed upstreams
 * without free capacity don't count. Expired tickets come first, as their upstreams are allowed for certain.
 * @param demand the step. @param candidates the upstreams of its service that aren't denied.
 * While requests are scarce, no ticket is renewed that has no room for a task, and a gang that knows as many allowed upstreams as it has tasks waits for room
 * on them unless the unknown ones are expected to make up for what is missing.
 * @return the upstreams to name; empty while the valid and pending ones are expected to suffice, or while a gang wouldn't fit if all were allowed.
 */
std::vector<std::uint32_t> upstreamsToAskFor(const AdviceDemand &demand, std::span<const AdviceCandidate> candidates);
}
