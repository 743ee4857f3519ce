#include "policy/estimate.h"

#include <algorithm>

namespace rosemaryturn::policy
{
namespace
{
constexpr double reservedQuantile = 0.9;
/** Reports required before the estimate is used. */
constexpr std::size_t minReportCount = 20;

std::uint64_t estimated(const AmountQuantile &amounts)
{
    if (boost::accumulators::count(amounts) < minReportCount) {
        return 0;
    }
    return static_cast<std::uint64_t>(std::max(0.0, boost::accumulators::p_square_quantile(amounts)));
}
}

UsageEstimate::UsageEstimate()
    : cpuMillis(boost::accumulators::quantile_probability = reservedQuantile)
    , memoryMb(boost::accumulators::quantile_probability = reservedQuantile)
{
}

void recordUsage(UsageEstimate &estimate, std::uint64_t cpuMillis, std::uint64_t memoryMb)
{
    estimate.cpuMillis(static_cast<double>(cpuMillis));
    estimate.memoryMb(static_cast<double>(memoryMb));
}

model::Resources resourcesToReserve(const model::Resources &declared, const UsageEstimate &estimate, const model::Resources &largest)
{
    model::Resources result = declared;
    result.cpuMillis = std::max(declared.cpuMillis, std::min(estimated(estimate.cpuMillis), largest.cpuMillis));
    result.memoryMb = std::max(declared.memoryMb, std::min(estimated(estimate.memoryMb), largest.memoryMb));
    return result;
}

OveruseAction nextOveruseAction(OveruseAction previous, const model::Resources &declared, const model::Resources &used, bool workerOverfull)
{
    const bool exceeds = used.cpuMillis > declared.cpuMillis || used.memoryMb > declared.memoryMb;
    if (!exceeds || !workerOverfull) {
        return OveruseAction::None;
    }
    switch (previous) {
    case OveruseAction::None:
        return OveruseAction::Throttle;
    case OveruseAction::Throttle:
        return OveruseAction::Checkpoint;
    case OveruseAction::Checkpoint:
    case OveruseAction::Stop:
        return OveruseAction::Stop;
    }
    return OveruseAction::None;
}
}
