#pragma once

#include "job/jobs.h"
#include "model/resources.h"
#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * One upstream as the leader orders it about: the runs that it may hold, its lease, its fence, its clock.
 *
 * An upstream keeps a lease on its own steady clock, which may run slow. No host's clock is compared with it: a
 * reply tells the upstream's clock at a moment between the sending of the call and the arrival of the reply, and
 * from there on only durations count.
 */
namespace rosemaryturn::upstream
{
/** How far a run has come, as far as the leader knows. */
enum class RunPhase {
    Recording, ///< Its record is proposed; no order was sent.
    Starting, ///< The start was sent and has no answer yet.
    Running, ///< The upstream confirmed it.
    Stopping, ///< It is to end; the end isn't listed yet.
    Voiding, ///< It may have begun: a stop is sent that also keeps a late start from being carried out.
    Inherited, ///< Placed by an earlier leader; the upstream's lists will tell.
};

/** One run that holds room on an upstream. */
struct Run
{
    job::TaskRef task;
    std::uint32_t number = 0;
    RunPhase phase = RunPhase::Recording;
    model::Resources need;
    bool gang = false; ///< Its members end together.
    std::string ticket; ///< What the advice service gave for it; empty where none is needed.
    std::string checkpoint; ///< Latest that the upstream reported.
    std::uint64_t firstOrderedAtMs = 0; ///< When its first start was sent.
    std::uint64_t orderedAtMs = 0; ///< When the latest order for it was sent.
    std::uint64_t startedAtMs = 0; ///< When it was confirmed.
    std::uint32_t startsSent = 0; ///< Starts sent.
    bool orderPending = false; ///< An order has no answer yet.
    std::uint64_t mayRunUntilMs = 0; ///< Own clock: a start without an answer may have begun in a process that was started since, whose clock is another.
    bool stopAnswered = false; ///< A stop for it was carried out.
    std::uint64_t stopAnsweredMs = 0; ///< When that answer came.
    bool stopRequested = false; ///< It is to end as soon as its fate is known.
};

/** What the upstream's clock showed. */
struct ClockSample
{
    std::uint64_t upstreamMs = 0;
    std::uint64_t atMs = 0; ///< Own clock when the reply had come: the upstream's clock was not behind upstreamMs any more.
    bool known = false;
};

/** An upstream as the leader knows it. */
struct UpstreamState
{
    wire::UpstreamSeenT registration;
    model::Resources capacity;
    model::Resources used; ///< Held by runs, also by those that are ending.
    std::uint64_t sequence = 0; ///< Of the latest heartbeat.
    std::uint64_t lastContactMs = 0; ///< When it last said anything.
    std::uint64_t drainingSinceMs = 0;
    bool registered = false; ///< Its record is committed.
    bool listsRead = false; ///< It took the own fence and its lists were read.
    bool silent = false; ///< The latest poll got no answer; it is looked at without renewing its lease.
    bool gone = false; ///< It said good-bye.
    std::uint32_t unansweredStarts = 0; ///< Orders without an answer in a row.
    ClockSample clock;
    std::uint64_t lapseBoundMs = 0; ///< Own clock by which every run on it is over unless its lease is renewed again.
    std::uint64_t recordedEnd = 0; ///< Number of the last end that is recorded.
    std::uint64_t proposedEnd = 0; ///< Number of the last end that is proposed to be recorded.
    std::uint64_t acknowledgedEnd = 0; ///< What the upstream was last told.
    bool pollPending = false; ///< A poll has no answer yet.
    std::uint64_t pollSentMs = 0;
    std::uint64_t nextPollMs = 0;
    std::uint64_t renewedMs = 0; ///< When a renewal was last sent.
    std::map<job::TaskRef, Run> runs;
    double failures = 0; ///< Decayed count of failed runs.
    double successes = 0; ///< Decayed count of runs that ended well.
    std::uint64_t avoidedUntilMs = 0; ///< No new work before this.
};

/** Bounds of leases. */
struct LeaseTiming
{
    std::uint64_t leaseMs = 5000; ///< How long a renewal keeps runs alive.
    std::uint64_t driftPercent = 2; ///< How much slower an upstream's clock may run.
    std::uint64_t marginMs = 100; ///< Added to every bound, for the rounding of clocks.
};

/** @param durationMs a duration on the upstream's clock. @param timing the bounds. @return the longest that it lasts on the own clock. */
std::uint64_t maxLocalMs(std::uint64_t durationMs, const LeaseTiming &timing);

/**
 * Grants a lease: what a call may carry as the end of the upstream's lease, noted as carried out from now on.
 * @param upstreamState the upstream; its lapse bound moves.
 * @param timing the bounds.
 * @param nowMs the present.
 * @return the end on the upstream's clock; 0 when its clock isn't known, so that the call renews nothing.
 */
std::uint64_t grantLease(UpstreamState &upstreamState, const LeaseTiming &timing, std::uint64_t nowMs);

/** Notes what an answer told of the clock. @param upstreamState the upstream. @param upstreamMs its clock. @param nowMs when the answer came. */
void recordClock(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs);

/** @param upstreamState an upstream. @return the room that nothing holds. */
model::Resources freeCapacity(const UpstreamState &upstreamState);

/** Lets a run hold its room. @param upstreamState the upstream. @param run the run. @return the run in its place. */
Run &addRun(UpstreamState &upstreamState, Run run);

/** Gives the room of a run back. @param upstreamState the upstream. @param task its task. */
void removeRun(UpstreamState &upstreamState, const job::TaskRef &task);

/** @param upstreamState an upstream. @return the label that names its rack; empty when it has none. */
std::string_view rackOf(const UpstreamState &upstreamState);

/** @param upstreamState an upstream. @param label a label. @return whether it hasLabel the label; the empty one is always carried. */
bool hasLabel(const UpstreamState &upstreamState, std::string_view label);
}
