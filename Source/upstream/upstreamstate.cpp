#include "upstream/upstreamstate.h"

#include <algorithm>

namespace rosemaryturn::upstream
{
namespace
{
constexpr std::uint64_t fullPercent = 100;
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
    upstreamState.renewedMs = nowMs;
    return until;
}

void recordClock(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs)
{
    if (upstreamMs > 0) {
        upstreamState.clock = {upstreamMs, nowMs, true};
    }
}

model::Resources freeCapacity(const UpstreamState &upstreamState)
{
    return upstreamState.capacity - upstreamState.used;
}

Run &addRun(UpstreamState &upstreamState, Run run)
{
    upstreamState.used = upstreamState.used + run.need;
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
