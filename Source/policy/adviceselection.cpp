#include "policy/adviceselection.h"

#include <algorithm>
#include <tuple>

namespace rosemaryturn::policy
{
namespace
{
/** Factor by which the expected capacity exceeds the need: other steps take a part of it before the answer arrives. */
constexpr double capacityMargin = 1.5;

/** The same for scarce requests that name more than they need. Other steps take up most of what was free, and each repetition costs the fixed part of a
 * request. With 6, twice as many steps of the lowest queue were in time as with 1.5 in a simulation of a heavy day; 3 gave a third of the gain. */
constexpr double ampleCapacityMargin = 6;

/** Share of a gang's tasks that has to be expected to fit before a scarce request is made: the number of allowed upstreams among 30 varies by about as much. */
constexpr double minExpectedShare = 0.75;

/** @return the tasks that an upstream is expected to take if it is asked about. */
double expectedFit(const AdviceDemand &demand, const AdviceCandidate &candidate)
{
    return candidate.knowledge == AdviceKnowledge::Unknown ? demand.allowedShare * candidate.fitsNow : candidate.fitsNow;
}
}

namespace
{
/** @return whether a gang that knows enough allowed upstreams had better wait for room on them than ask for others. */
bool waitsForKnown(const AdviceDemand &demand, std::span<const AdviceCandidate> candidates)
{
    double expected = 0;
    std::size_t known = 0;
    for (const AdviceCandidate &candidate : candidates) {
        expected += expectedFit(demand, candidate);
        known += candidate.knowledge == AdviceKnowledge::Unknown ? 0 : 1;
    }
    return demand.gang && known >= demand.count && expected < minExpectedShare * demand.count;
}
}

std::vector<std::uint32_t> upstreamsToAskFor(const AdviceDemand &demand, std::span<const AdviceCandidate> candidates)
{
    double expected = 0;
    std::uint64_t reachable = 0; ///< Tasks that fit if all candidates are allowed.
    std::vector<AdviceCandidate> order;
    for (const AdviceCandidate &candidate : candidates) {
        reachable += candidate.fitsNow;
        if (candidate.knowledge == AdviceKnowledge::Valid || candidate.pending) {
            expected += expectedFit(demand, candidate);
        } else if (!demand.scarce || candidate.knowledge == AdviceKnowledge::Unknown || candidate.fitsNow > 0) {
            order.push_back(candidate);
        }
    }
    if (demand.scarce && waitsForKnown(demand, candidates)) {
        return {};
    }
    const double wanted = capacityMargin * demand.count;
    const bool anyFits = std::any_of(order.begin(), order.end(), [](const AdviceCandidate &candidate) {
        return candidate.fitsNow > 0;
    });
    if (!anyFits || expected >= wanted || (demand.gang && reachable < demand.count)) {
        return {};
    }
    std::sort(order.begin(), order.end(), [](const AdviceCandidate &a, const AdviceCandidate &b) {
        if ((a.fitsNow > 0) != (b.fitsNow > 0)) {
            return a.fitsNow > 0;
        }
        return std::tuple(a.knowledge != AdviceKnowledge::Expired, b.fitsNow, a.upstream)
            < std::tuple(b.knowledge != AdviceKnowledge::Expired, a.fitsNow, b.upstream);
    });
    std::vector<std::uint32_t> named;
    for (const AdviceCandidate &candidate : order) {
        const bool isAmple = !demand.scarce || named.size() >= demand.ampleNamed || expected >= ampleCapacityMargin * demand.count;
        const bool suffices = (expected >= wanted && isAmple) || candidate.fitsNow == 0;
        if ((suffices && named.size() >= demand.minNamed) || named.size() >= demand.maxNamed) {
            break;
        }
        named.push_back(candidate.upstream);
        expected += expectedFit(demand, candidate);
    }
    return named;
}
}
