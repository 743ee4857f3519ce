#include "policy/waitingorder.h"

namespace rosemaryturn::policy
{
Prospect prospectOf(const WaitingKey &key, std::int64_t nowMs)
{
    const std::int64_t doneMs = nowMs + key.remainingMs;
    if (doneMs <= key.begunMs + key.objectiveMs) {
        return Prospect::InTime;
    }
    return doneMs <= key.begunMs + lateFactor * key.objectiveMs ? Prospect::Late : Prospect::TooLate;
}

bool isRoomToSpare(const model::Resources &used, const model::Resources &whole)
{
    const auto isSpare = [](std::uint64_t usedPart, std::uint64_t wholePart) {
        return static_cast<double>(usedPart) <= mostUsedForTooLate * static_cast<double>(wholePart);
    };
    return isSpare(used.cpuMillis, whole.cpuMillis) && isSpare(used.memoryMb, whole.memoryMb) && isSpare(used.accelerators, whole.accelerators);
}

std::tuple<int, std::uint32_t, int, std::int64_t, std::uint64_t> waitingRank(const WaitingKey &key, std::int64_t nowMs)
{
    const Prospect prospect = prospectOf(key, nowMs);
    const std::int64_t latestStartMs = key.begunMs + key.objectiveMs - key.remainingMs;
    return {prospect == Prospect::TooLate ? 1 : 0, key.priority, prospect == Prospect::Late ? 1 : 0, latestStartMs, key.number};
}
}
