#include "policy/crashisolation.h"

#include <algorithm>

namespace rosemaryturn::policy
{
Isolation isolationFor(std::uint32_t crashes)
{
    if (crashes == 0) {
        return Isolation::None;
    }
    return crashes == 1 ? Isolation::Separate : Isolation::Exclusive;
}

std::size_t trialsAllowed(std::size_t waiting, std::size_t running, std::size_t proven)
{
    constexpr std::size_t firstShare = 4; // Tasks that run well release the rest within few times the time of a trial.
    const std::size_t allowed = std::max((waiting + running + firstShare - 1) / firstShare, proven);
    return std::min(waiting, allowed - std::min(allowed, running));
}
}
