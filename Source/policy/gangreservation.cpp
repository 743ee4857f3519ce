#include "policy/gangreservation.h"

#include <algorithm>
#include <tuple>

namespace rosemaryturn::policy
{
std::vector<std::uint32_t> reserveForGang(std::span<const ReservationCandidate> candidates, std::uint32_t count)
{
    std::vector<ReservationCandidate> order(candidates.begin(), candidates.end());
    std::sort(order.begin(), order.end(), [](const ReservationCandidate &a, const ReservationCandidate &b) {
        // Prefers upstreams with the fewest members to wait for; on ties the larger capacity, which needs fewer upstreams.
        return std::tuple(a.fitsSoon - a.fitsNow, b.fitsSoon, a.upstream) < std::tuple(b.fitsSoon - b.fitsNow, a.fitsSoon, b.upstream);
    });
    std::vector<std::uint32_t> reserved;
    std::uint32_t capacity = 0;
    for (const ReservationCandidate &candidate : order) {
        if (capacity >= count) {
            break;
        }
        if (candidate.fitsSoon > 0) {
            reserved.push_back(candidate.upstream);
            capacity += candidate.fitsSoon;
        }
    }
    return capacity >= count ? reserved : std::vector<std::uint32_t>{};
}
}
