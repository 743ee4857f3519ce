#include "upstream/upstreamstate.h"

#include <algorithm>

namespace rosemaryturn::upstream
{
namespace
{
constexpr std::uint64_t fullPercent = 100;
/** Age of the lists up to which the process that returned them is taken to be the one that receives an acknowledgement or a repeated start: less than a process
 * takes to be replaced by another one that has begun and ended a run. */
constexpr std::uint64_t maxConfirmationAgeMs = 300;
/** Age of the latest contact up to which the process is taken to have received an order: a heartbeat and its delivery. */
constexpr std::uint64_t maxContactAgeMs = 2000;
/** A task that runs until its job is cancelled isn't taken for the cause of a crash that happens later than this after its start. */
constexpr std::uint64_t longRunningSuspicionMs = 30000;
/** Time after which a run of a suspect counts as working well. */
constexpr std::uint64_t provenAfterMs = 1000;

/** @return the local time by which the lease of any process is over that took a call sent until now. */
std::uint64_t longestLapseBoundMs(const LeaseTiming &timing, std::uint64_t nowMs)
{
    return nowMs + timing.maxDeliveryMs + maxLocalMs(timing.longestLeaseMs, timing);
}
}

std::uint64_t maxLocalMs(std::uint64_t durationMs, const LeaseTiming &timing)
{
    return durationMs * fullPercent / (fullPercent - timing.driftPercent) + timing.marginMs;
}

std::uint64_t grantLease(UpstreamState &upstreamState, const LeaseTiming &timing, std::uint64_t nowMs)
{
    if (!upstreamState.clock.known) {
        return 0;
    }
    const std::uint64_t until = upstreamState.clock.upstreamMs + (nowMs - upstreamState.clock.atMs) + timing.leaseMs;
    upstreamState.lapseBoundMs = std::max(upstreamState.lapseBoundMs, upstreamState.clock.atMs + maxLocalMs(until - upstreamState.clock.upstreamMs, timing));
    upstreamState.laterLapseBoundMs = longestLapseBoundMs(timing, nowMs);
    upstreamState.renewedMs = nowMs;
    return until;
}

void includeEarlierCalls(UpstreamState &upstreamState)
{
    upstreamState.lapseBoundMs = std::max(upstreamState.lapseBoundMs, upstreamState.laterLapseBoundMs);
}

void includeEarlierLeaders(UpstreamState &upstreamState, const LeaseTiming &timing, std::uint64_t nowMs)
{
    upstreamState.laterLapseBoundMs = longestLapseBoundMs(timing, nowMs);
    includeEarlierCalls(upstreamState);
}

std::uint64_t lapseBoundOf(const UpstreamState &upstreamState, const Run &run)
{
    return run.located ? upstreamState.lapseBoundMs : std::max(upstreamState.lapseBoundMs, upstreamState.laterLapseBoundMs);
}

std::optional<std::uint64_t> absenceProofMs(const UpstreamState &upstreamState, const Run &run, const LeaseTiming &timing)
{
    const std::uint64_t stopMs = maxLocalMs(timing.stopMs, timing);
    switch (run.phase) {
    case RunPhase::Running: // It may be ending, as when another member of its gang has ended.
        return run.missingMs > 0 ? std::optional(run.missingMs + stopMs) : std::nullopt;
    case RunPhase::Stopping:
    case RunPhase::Voiding:
        return run.stopAnswered ? std::optional(run.stopAnsweredMs + stopMs) : std::nullopt;
    case RunPhase::Inherited: // An earlier leader may have stopped it.
        return upstreamState.listsRead ? std::optional(upstreamState.fencedMs + stopMs) : std::nullopt;
    case RunPhase::Recording:
    case RunPhase::Starting:
        break;
    }
    return std::nullopt;
}

bool mayAcknowledge(const UpstreamState &upstreamState, std::uint64_t nowMs)
{
    const bool confirmed = upstreamState.listsRead && !upstreamState.silent && nowMs <= upstreamState.confirmedMs + maxConfirmationAgeMs;
    return confirmed && std::all_of(upstreamState.runs.begin(), upstreamState.runs.end(), [](const auto &entry) {
               return entry.second.located || entry.second.phase == RunPhase::Recording;
           });
}

bool mayRepeatStart(const Run &run, std::uint64_t nowMs)
{
    return !run.gang || run.startsSent == 0 || (run.absentMs > run.orderedAtMs && nowMs <= run.absentMs + maxConfirmationAgeMs);
}

bool awaitsLists(const Run &run)
{
    return run.gang && run.phase == RunPhase::Starting && run.startsSent > 0 && !run.orderPending;
}

bool isFenceRecorded(const UpstreamState &upstreamState)
{
    return upstreamState.registration.fenceStep == upstreamState.recordedFenceStep;
}

bool mayOutlastProcess(const Run &run, const LeaseTiming &timing, std::uint64_t sentMs)
{
    return !run.located && run.startSentMs > 0 && run.startSentMs + timing.maxDeliveryMs >= sentMs;
}

void recordClock(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs)
{
    if (upstreamMs > 0) {
        upstreamState.clock = {upstreamMs, nowMs, true};
    }
}

void recordShapeTime(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs)
{
    const ClockSample &clock = upstreamState.clock;
    const std::uint64_t upstreamNowMs = clock.known ? clock.upstreamMs + (nowMs - clock.atMs) : upstreamMs;
    const std::uint64_t ageMs = upstreamMs == 0 ? 0 : upstreamNowMs - std::min(upstreamNowMs, upstreamMs);
    const std::uint64_t sentMs = nowMs - std::min(nowMs, ageMs);
    if (sentMs >= upstreamState.shapeMs) {
        upstreamState.shapeMs = sentMs;
        upstreamState.shapeClockMs = upstreamMs;
    }
}

void correctShapeTime(UpstreamState &upstreamState, std::uint64_t nowMs)
{
    const ClockSample &clock = upstreamState.clock;
    if (!clock.known || upstreamState.shapeClockMs == 0 || clock.upstreamMs < upstreamState.shapeClockMs) {
        return;
    }
    const std::uint64_t ageMs = clock.upstreamMs - upstreamState.shapeClockMs + (nowMs - clock.atMs);
    upstreamState.shapeMs = std::min(upstreamState.shapeMs, nowMs - std::min(nowMs, ageMs));
}

model::Resources freeCapacity(const UpstreamState &upstreamState)
{
    return upstreamState.capacity - upstreamState.used;
}

bool isOverCapacity(const UpstreamState &upstreamState)
{
    return !model::fits(upstreamState.used, upstreamState.capacity);
}

CrashEvidence crashEvidence(const UpstreamState &upstreamState, const Run &run)
{
    // The age of a run that an earlier leader started is unknown.
    const bool hasRunForLong = run.firstOrderedAtMs == 0 || (run.startedAtMs > 0 && upstreamState.lastContactMs > run.startedAtMs + longRunningSuspicionMs);
    if (run.longRunning && hasRunForLong) {
        return CrashEvidence::None;
    }
    if (run.located || run.startedAtMs > 0) {
        return CrashEvidence::Confirmed;
    }
    const bool ordered = run.startsSent > 0 && run.firstOrderedAtMs <= upstreamState.lastContactMs + maxContactAgeMs;
    return ordered || run.phase == RunPhase::Inherited ? CrashEvidence::Possible : CrashEvidence::None;
}

bool isUnprovenSuspect(const Run &run, std::uint64_t nowMs)
{
    return run.crashes > 0 && (run.startedAtMs == 0 || nowMs < run.startedAtMs + provenAfterMs);
}

Run &addRun(UpstreamState &upstreamState, Run run)
{
    upstreamState.used = upstreamState.used + run.need;
    upstreamState.hasSuspects = upstreamState.hasSuspects || run.crashes > 0;
    return upstreamState.runs.insert_or_assign(run.task, std::move(run)).first->second;
}

void removeRun(UpstreamState &upstreamState, const job::TaskRef &task)
{
    const auto found = upstreamState.runs.find(task);
    if (found != upstreamState.runs.end()) {
        upstreamState.used = upstreamState.used - found->second.need;
        upstreamState.runs.erase(found);
    }
}

std::string_view rackOf(const UpstreamState &upstreamState)
{
    // The first label names the kind of the upstream, the second its rack.
    return upstreamState.registration.labels.size() > 1 ? std::string_view(upstreamState.registration.labels[1]) : std::string_view();
}

bool hasLabel(const UpstreamState &upstreamState, std::string_view label)
{
    return label.empty()
        || std::find(upstreamState.registration.labels.begin(), upstreamState.registration.labels.end(), label) != upstreamState.registration.labels.end();
}
}
