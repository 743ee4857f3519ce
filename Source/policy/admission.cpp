#include "policy/admission.h"

#include "policy/workerplacement.h"

#include <algorithm>

namespace rosemaryturn::policy
{
namespace
{
constexpr std::uint64_t rateWindowMs = 1000;
constexpr double rateWeight = 0.3;
constexpr double msPerSecond = 1000.0;
/** Minimum retry delay; used as it is while the start rate is unknown. */
constexpr std::uint64_t defaultRetryAfterMs = 1000;

bool fitsEmptyQuota(const model::Resources &quota, const model::Resources &need)
{
    const auto within = [](std::uint64_t amount, std::uint64_t limit) {
        return limit == 0 || amount <= limit;
    };
    return within(need.cpuMillis, quota.cpuMillis) && within(need.memoryMb, quota.memoryMb) && within(need.accelerators, quota.accelerators);
}

bool fitsAnyShape(const WorkerPool &pool, std::span<const model::Resources> declared, const model::Resources &need)
{
    const bool fitsDeclared = std::any_of(declared.begin(), declared.end(), [&need](const model::Resources &shape) {
        return model::fits(need, shape);
    });
    return fitsDeclared || couldEverFit(pool, need);
}

bool canEverRun(const AdmissionQuery &query, const TeamQueue *team, const WorkerPool &pool, std::span<const model::Resources> declared)
{
    const bool noneRegistered = pool.totalOffer == model::Resources{};
    if (noneRegistered && declared.empty()) {
        return true; // No worker shapes are known yet; the task's queue deadline limits the wait.
    }
    model::Resources all;
    for (const model::Resources &need : query.needs) {
        if (!fitsAnyShape(pool, declared, need)) {
            return false;
        }
        all = all + need;
    }
    const bool gangFits = query.needs.size() == 1 || noneRegistered || model::fits(all, pool.totalOffer);
    return gangFits && (team == nullptr || fitsEmptyQuota(team->quota, all));
}
}

void recordStarts(StartRate &rate, std::uint64_t nowMs, std::uint64_t count)
{
    rate.startedInWindow += count;
    const std::uint64_t elapsed = nowMs - rate.windowStartMs;
    if (elapsed < rateWindowMs) {
        return;
    }
    const double currentRate = static_cast<double>(rate.startedInWindow) * msPerSecond / static_cast<double>(elapsed);
    rate.perSecond = rate.perSecond == 0 ? currentRate : rate.perSecond + rateWeight * (currentRate - rate.perSecond);
    rate.windowStartMs = nowMs;
    rate.startedInWindow = 0;
}

std::uint64_t expectedWaitMs(const StartRate &rate, std::size_t ahead)
{
    if (rate.perSecond <= 0) {
        return 0;
    }
    return static_cast<std::uint64_t>(static_cast<double>(ahead) * msPerSecond / rate.perSecond);
}

AdmissionResult admit(const AdmissionPolicy &policy, const AdmissionQuery &query, const FairQueue &queue, const WorkerPool &pool,
                      std::span<const model::Resources> declared, const StartRate &rate)
{
    const auto found = queue.teams.find(query.team);
    const TeamQueue *team = found == queue.teams.end() ? nullptr : &found->second;
    if (!canEverRun(query, team, pool, declared)) {
        return {model::Reason::NeverFits, 0};
    }
    const std::uint64_t wait = expectedWaitMs(rate, queue.queued);
    const std::uint64_t retryAfterMs = std::max(wait, defaultRetryAfterMs);
    if (queue.queued + query.needs.size() > policy.maxQueued) {
        return {model::Reason::QueueFull, retryAfterMs};
    }
    const std::size_t teamQueued = team == nullptr ? 0 : team->queued;
    const std::size_t teamLimit = team == nullptr || team->maxQueued == 0 ? policy.maxQueuedPerTeam : team->maxQueued;
    if (teamQueued + query.needs.size() > teamLimit) {
        return {model::Reason::TeamQueueFull, retryAfterMs};
    }
    if (query.queueMs > 0 && !query.urgent && wait > query.queueMs) {
        return {model::Reason::DeadlineTooShort, wait - query.queueMs};
    }
    return {};
}
}
