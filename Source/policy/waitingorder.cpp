#include "policy/waitingorder.h"

namespace rosemaryturn::policy
{
Timeliness timelinessOf(const WaitingKey &key, std::int64_t nowMs)
{
    const std::int64_t completionMs = nowMs + key.remainingMs;
    if (completionMs <= key.releaseMs + key.objectiveMs) {
        return Timeliness::InTime;
    }
    return key.isEndless || completionMs <= key.releaseMs + lateFactor * key.objectiveMs ? Timeliness::Late : Timeliness::TooLate;
}

bool hasSpareCapacity(const model::Resources &need, const model::Resources &used, const model::Resources &total, double maxUsedShare)
{
    const auto isSpare = [&](std::uint64_t model::Resources::*kind) {
        return need.*kind == 0 || static_cast<double>(used.*kind) <= maxUsedShare * static_cast<double>(total.*kind);
    };
    return isSpare(&model::Resources::cpuMillis) && isSpare(&model::Resources::memoryMb) && isSpare(&model::Resources::accelerators);
}

std::int64_t latestStartMs(const WaitingKey &key, std::int64_t nowMs)
{
    const std::int64_t factor = timelinessOf(key, nowMs) == Timeliness::InTime ? 1 : lateFactor;
    return key.releaseMs + factor * key.objectiveMs - key.remainingMs;
}

WaitingRank waitingRank(const WaitingKey &key, std::int64_t nowMs)
{
    const Timeliness timeliness = timelinessOf(key, nowMs);
    if (key.byValue && timeliness == Timeliness::TooLate) {
        return {1, 0, 0, 0, key.releaseMs, key.number};
    }
    if (key.byValue) {
        return {0, key.deferred ? 1 : 0, key.priority, 0, latestStartMs(key, nowMs), key.number};
    }
    const std::int64_t startMs = key.releaseMs + key.objectiveMs - key.remainingMs;
    return {timeliness == Timeliness::TooLate ? 1 : 0, 0, key.priority, timeliness == Timeliness::Late ? 1 : 0, startMs, key.number};
}
}
