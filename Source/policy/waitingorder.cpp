#include "policy/waitingorder.h"

namespace rosemaryturn::policy
{
Timeliness timelinessOf(const WaitingKey &key, std::int64_t nowMs)
{
    const std::int64_t completionMs = nowMs + key.remainingMs;
    if (completionMs <= key.releaseMs + key.objectiveMs) {
        return Timeliness::InTime;
    }
    return completionMs <= key.releaseMs + lateFactor * key.objectiveMs ? Timeliness::Late : Timeliness::TooLate;
}

bool hasSpareCapacity(const model::Resources &used, const model::Resources &total)
{
    const auto isBelowLimit = [](std::uint64_t usedPart, std::uint64_t totalPart) {
        return static_cast<double>(usedPart) <= maxUsedShareForTooLate * static_cast<double>(totalPart);
    };
    return isBelowLimit(used.cpuMillis, total.cpuMillis) && isBelowLimit(used.memoryMb, total.memoryMb) && isBelowLimit(used.accelerators, total.accelerators);
}

std::tuple<int, std::uint32_t, int, std::int64_t, std::uint64_t> waitingRank(const WaitingKey &key, std::int64_t nowMs)
{
    const Timeliness timeliness = timelinessOf(key, nowMs);
    const std::int64_t latestStartMs = key.releaseMs + key.objectiveMs - key.remainingMs;
    return {timeliness == Timeliness::TooLate ? 1 : 0, key.priority, timeliness == Timeliness::Late ? 1 : 0, latestStartMs, key.number};
}
}
