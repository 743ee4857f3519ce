#pragma once

#include <cstdint>
#include <span>
#include <vector>

/** Capacity reservation for a gang that does not fit yet, so that smaller steps do not starve it. */
namespace rosemaryturn::policy
{
/** An upstream that may run members of the gang. */
struct ReservationCandidate
{
    std::uint32_t upstream = 0;
    std::uint32_t fitsNow = 0; ///< Members that fit into its free capacity.
    std::uint32_t fitsSoon = 0; ///< Members that fit once the short-running work there has ended; at least fitsNow.
};

/**
 * Chooses the upstreams that can run the whole gang soonest: those with the least capacity still in use, and as few as possible.
 * @param candidates eligible upstreams.
 * @param count number of gang members.
 * @return the upstreams to reserve; empty when the gang does not fit even on all of them.
 */
std::vector<std::uint32_t> reserveForGang(std::span<const ReservationCandidate> candidates, std::uint32_t count);
}
