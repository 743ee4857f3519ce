#include "upstream/upstreamstate.h"

#include <algorithm>

namespace rosemaryturn::upstream
{
namespace
{
constexpr std::uint64_t wholePercent = 100;
}

std::uint64_t maxLocalMs(std::uint64_t durationMs, const LeaseTiming &timing)
{
    return durationMs * wholePercent / (wholePercent - timing.driftPercent) + timing.marginMs;
}

std::uint64_t grantLease(UpstreamState &life, const LeaseTiming &timing, std::uint64_t nowMs)
{
    if (!life.clock.known) {
        return 0;
    }
    const std::uint64_t until = life.clock.upstreamMs + (nowMs - life.clock.atMs) + timing.leaseMs;
    life.lapseBoundMs = std::max(life.lapseBoundMs, life.clock.atMs + maxLocalMs(until - life.clock.upstreamMs, timing));
    life.renewedMs = nowMs;
    return until;
}

void recordClock(UpstreamState &life, std::uint64_t upstreamMs, std::uint64_t nowMs)
{
    if (upstreamMs > 0) {
        life.clock = {upstreamMs, nowMs, true};
    }
}

model::Resources freeCapacity(const UpstreamState &life)
{
    return life.capacity - life.used;
}

Run &addRun(UpstreamState &life, Run run)
{
    life.used = life.used + run.need;
    return life.runs.insert_or_assign(run.task, std::move(run)).first->second;
}

void removeRun(UpstreamState &life, const job::TaskRef &task)
{
    const auto found = life.runs.find(task);
    if (found != life.runs.end()) {
        life.used = life.used - found->second.need;
        life.runs.erase(found);
    }
}

std::string_view rackOf(const UpstreamState &life)
{
    // An upstream has two labels: its kind, and its rack.
    return life.registration.labels.size() > 1 ? std::string_view(life.registration.labels[1]) : std::string_view();
}

bool hasLabel(const UpstreamState &life, std::string_view label)
{
    return label.empty() || std::find(life.registration.labels.begin(), life.registration.labels.end(), label) != life.registration.labels.end();
}
}
