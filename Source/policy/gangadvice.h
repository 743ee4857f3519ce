#pragma once

#include <cstdint>
#include <span>
#include <vector>

/** Choice of the upstreams that the advice service is asked about for a gang that doesn't fit on those known to be allowed. */
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
    std::uint32_t fitsNow = 0; ///< Members of the gang that fit into its free capacity.
};

/** A gang and the limits of its requests. */
struct AdviceDemand
{
    std::uint32_t count = 0; ///< Members of the gang.
    double allowedShare = 0; ///< Share of the upstreams that the service is expected to allow.
    std::size_t maxNamed = 0; ///< Maximum number of upstreams in one request.
};

/**
 * Chooses upstreams by the capacity that is free now: the gang starts on what is free at one moment on upstreams with valid tickets, so that allowed upstreams
 * without free capacity don't count. Expired tickets come first, as their upstreams are allowed for certain.
 * @param demand the gang. @param candidates the upstreams of its service that aren't denied.
 * @return the upstreams to name; empty while the valid and pending ones are expected to suffice, or while the gang doesn't fit on all together.
 */
std::vector<std::uint32_t> upstreamsToAskFor(const AdviceDemand &demand, std::span<const AdviceCandidate> candidates);
}
