#include "policy/spill.h"

namespace rosemaryturn::policy
{
bool isWorthSpilling(const SpillPolicy &policy, std::uint64_t waitedMs, std::size_t payloadBytes)
{
    constexpr double bytesPerKilobyte = 1024;
    const double requiredWaitMs = static_cast<double>(policy.minWaitMs) + policy.msPerKilobyte * static_cast<double>(payloadBytes) / bytesPerKilobyte;
    return static_cast<double>(waitedMs) >= requiredWaitMs;
}
}
