#pragma once

#include "job/jobs.h"
#include "model/resources.h"
#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * The leader's view of one upstream: its runs, its lease and its clock.
 *
 * An upstream measures its lease on its own steady clock, which may run slow. Its clock is never compared with a host's
 * clock: a reply carries the upstream's clock as read at some moment between sending the call and receiving the reply,
 * and from then on only durations are computed.
 */
namespace rosemaryturn::upstream
{
/** Phase of a run as known to the leader. */
enum class RunPhase {
    Recording, ///< Its record is proposed; no start has been sent.
    Starting, ///< A start was sent; the upstream hasn't confirmed the run yet.
    Running, ///< The upstream confirmed it.
    Stopping, ///< A stop was requested; the upstream hasn't listed the end yet.
    Voiding, ///< It may have started: a stop is sent, which also makes the upstream reject a delayed start.
    Inherited, ///< Placed by an earlier leader; its state is read from the upstream's lists.
};

/** What is known of a run when the process of its upstream has ended unexpectedly. */
enum class CrashEvidence {
    None, ///< It wasn't in progress.
    Possible, ///< It was ordered while the process answered, or placed by an earlier leader; the start may not have arrived.
    Confirmed, ///< A list showed it, or its start was answered.
};

/** A run that occupies capacity on an upstream. */
struct Run
{
    job::TaskRef task;
    std::uint32_t number = 0;
    RunPhase phase = RunPhase::Recording;
    model::Resources need;
    model::Resources charged; ///< What counts against the limit of its team: the need, and the processor time of a filling task.
    std::string team; ///< Team of its job; empty for none.
    bool gang = false; ///< The run is a member of a gang, whose members end together.
    bool longRunning = false; ///< The task runs until its job is cancelled.
    std::uint32_t crashes = 0; ///< Number of earlier runs of the task under which an upstream crashed.
    std::string ticket; ///< Issued by the advice service; empty if the queue needs none.
    std::string checkpoint; ///< Latest checkpoint that the upstream reported.
    std::uint64_t firstOrderedAtMs = 0; ///< Time of the first start.
    std::uint64_t orderedAtMs = 0; ///< Time of the latest start or stop.
    std::uint64_t startedAtMs = 0; ///< Time at which the upstream confirmed the run.
    std::uint32_t startsSent = 0; ///< Number of starts sent.
    std::uint64_t startSentMs = 0; ///< Time up to which starts were sent, for inherited runs by earlier leaders; 0 if none was.
    std::uint64_t absentMs = 0; ///< Time of the latest lists without it that were requested after the latest start.
    std::uint64_t missingMs = 0; ///< Time of the first of the latest lists without it although it was running; 0 if the latest list contained it.
    bool orderPending = false; ///< A start or stop awaits its reply.
    bool located = false; ///< A list of the registered process contained it, so no later process under the id can have begun it.
    CrashEvidence suspectedCrash = CrashEvidence::None; ///< Counts once lists of the process started since don't contain the run.
    bool stopAnswered = false; ///< The upstream confirmed a stop.
    std::uint64_t stopAnsweredMs = 0; ///< Time of the first confirmation.
    bool stopRequested = false; ///< The run is stopped as soon as it is known to be running.
};

/** A run of a process that has crashed, or may have. */
struct CrashedRun
{
    job::TaskRef task;
    std::uint32_t number = 0;
    bool confirmed = false; ///< The run is known to have been in progress there.
};

/** A reading of an upstream's clock. */
struct ClockSample
{
    std::uint64_t upstreamMs = 0;
    std::uint64_t atMs = 0; ///< Local time of the reply's arrival, when the upstream's clock showed at least upstreamMs.
    bool known = false;
};

/** State of an upstream as known to the leader. */
struct UpstreamState
{
    wire::UpstreamSeenT registration;
    model::Resources capacity;
    model::Resources used; ///< Occupied by runs, including those that are ending.
    std::uint64_t sequence = 0; ///< Sequence number of the latest heartbeat.
    std::uint64_t lastContactMs = 0; ///< Time of the latest heartbeat or poll reply.
    std::uint64_t drainingSinceMs = 0;
    bool registered = false; ///< The registration is committed.
    std::uint32_t recordedFenceStep = 0; ///< The fence step that is committed.
    bool shapeKnown = false; ///< A heartbeat of the registered process stated its capacity and labels.
    bool listsRead = false; ///< The upstream accepted this leader's fence and its lists were read.
    bool silent = false; ///< The latest poll got no reply; further polls don't renew the lease.
    bool gone = false; ///< The process has ended: another one took its address or its id.
    std::uint32_t unansweredStarts = 0; ///< Consecutive starts without a reply.
    ClockSample clock;
    std::uint64_t lapseBoundMs = 0; ///< Local time by which the registered process has ended every run unless the lease is renewed again.
    std::uint64_t laterLapseBoundMs = 0; ///< The same for a process started since under the id, which limits each lease to the maximum on its own clock.
    std::uint64_t recordedEnd = 0; ///< Number of the last end whose record is committed.
    std::uint64_t proposedEnd = 0; ///< Number of the last end whose record is proposed.
    std::uint64_t acknowledgedEnd = 0; ///< Number of the last end whose acknowledgement the upstream has answered.
    std::uint64_t confirmedMs = 0; ///< Time of the latest lists of the registered process.
    std::uint64_t fencedMs = 0; ///< Time of the first lists that this leader read; the upstream has carried out no order of an earlier leader since.
    bool pollPending = false; ///< A poll awaits its reply.
    bool acknowledgementPending = false; ///< The pending poll acknowledges ends.
    std::uint64_t pollSentMs = 0;
    std::uint64_t nextPollMs = 0;
    std::uint64_t renewedMs = 0; ///< Time of the latest lease renewal.
    std::uint64_t shapeMs = 0; ///< Time of the latest heartbeat, which states the capacity; 0 before the first one.
    std::uint64_t shapeClockMs = 0; ///< The upstream's clock at that time; 0 if unknown.
    std::map<job::TaskRef, Run> runs;
    bool hasSuspects = false; ///< A run with crashes may not be proven to work well yet.
    std::vector<CrashedRun> lapsedRuns; ///< Runs recorded as lost with the lease. If the process turns out to have crashed, they count as crashed under it.
    double failures = 0; ///< Number of failed runs, decayed exponentially.
    double successes = 0; ///< Number of successful runs, decayed exponentially.
    std::uint64_t avoidedUntilMs = 0; ///< The upstream gets no new runs before this time.
};

/** Parameters of the leases of upstreams. */
struct LeaseTiming
{
    std::uint64_t leaseMs = 5000; ///< Duration of a lease after a renewal.
    std::uint64_t driftPercent = 2; ///< Maximum by which an upstream's clock runs slow.
    std::uint64_t marginMs = 100; ///< Added to every bound to cover the rounding of clocks.
    std::uint64_t longestLeaseMs = 10000; ///< Maximum to which an upstream shortens every lease.
    std::uint64_t maxDeliveryMs = 1000; ///< Maximum age at which an order takes effect at an upstream: its maximum age at sending, and the network delay.
    std::uint64_t stopMs = 200; ///< Maximum time that an upstream takes to stop a run, on its clock.
};

/** @param durationMs a duration on the upstream's clock. @param timing the lease parameters. @return its maximum duration on the local clock. */
std::uint64_t maxLocalMs(std::uint64_t durationMs, const LeaseTiming &timing);

/**
 * Grants or renews the lease of an upstream. The lapse bound assumes that the call is carried out.
 * @param upstreamState the upstream state; its lapse bound is extended.
 * @param timing the lease parameters.
 * @param nowMs current time.
 * @return the end of the lease on the upstream's clock, to be sent with the call; 0 if its clock is unknown, so that the call renews nothing.
 */
std::uint64_t grantLease(UpstreamState &upstreamState, const LeaseTiming &timing, std::uint64_t nowMs);

/**
 * Extends the lapse bound of a process that has just been registered: it may have taken any earlier call, and its lease then lasts up to the maximum.
 * @param upstreamState the upstream state; its lapse bound is extended.
 */
void includeEarlierCalls(UpstreamState &upstreamState);

/**
 * Extends the lapse bound by the calls of earlier leaders, which may have renewed the lease up to now.
 * @param upstreamState the upstream state; its lapse bounds are extended.
 * @param timing the lease parameters.
 * @param nowMs current time.
 */
void includeEarlierLeaders(UpstreamState &upstreamState, const LeaseTiming &timing, std::uint64_t nowMs);

/** @param upstreamState the upstream state. @param run a run of it. @return the local time by which the run has ended unless the lease is renewed again. */
std::uint64_t lapseBoundOf(const UpstreamState &upstreamState, const Run &run);

/**
 * Decides which lists prove that a run which is missing from them is over. A run that is being stopped may be in neither list until its end is listed.
 * @param upstreamState the upstream state. @param run a run of it. @param timing the lease parameters.
 * @return the local time after which the poll for the lists must have been sent; nothing if no list proves it yet.
 */
std::optional<std::uint64_t> absenceProofMs(const UpstreamState &upstreamState, const Run &run, const LeaseTiming &timing);

/**
 * Decides whether the recorded ends may be acknowledged. Numbers of ends start anew with each process, so that a process started since would forget its own
 * ends up to the acknowledged number. This is excluded while the registered process answered just before and every run that was started is known to be one of
 * its own.
 * @param upstreamState the upstream state. @param nowMs current time. @return whether an acknowledgement sent now reaches no end that isn't recorded.
 */
bool mayAcknowledge(const UpstreamState &upstreamState, std::uint64_t nowMs);

/**
 * Decides whether a start may be sent again. The end of one member of a gang completes the whole gang. So the start of a member may be repeated only if it
 * hasn't begun before: a process started since would begin it again although the gang may have ended elsewhere.
 * @param run a run whose start wasn't confirmed. @param nowMs current time. @return whether another start may be sent.
 */
bool mayRepeatStart(const Run &run, std::uint64_t nowMs);

/** @param run a run. @return whether its start can only be repeated after lists without it. */
bool awaitsLists(const Run &run);

/** @param upstreamState the upstream state. @return whether its fence is committed. A later leader's fence is higher than every committed one. */
bool isFenceRecorded(const UpstreamState &upstreamState);

/**
 * Decides whether a run can be in progress although another upstream was found at the address: on a process that came back to it since and isn't known yet.
 * @param run a run. @param timing the lease parameters. @param sentMs time at which the call was sent that found the other upstream; 0 if unknown.
 * @return whether a start of the run may have arrived after that.
 */
bool mayOutlastProcess(const Run &run, const LeaseTiming &timing, std::uint64_t sentMs);

/** Records a clock sample. @param upstreamState the upstream state. @param upstreamMs the upstream's clock; 0 is ignored. @param nowMs time of the reply's
 * arrival. */
void recordClock(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs);

/** Records the time of a heartbeat, which states the capacity. @param upstreamState the upstream state. @param upstreamMs the upstream's clock when it was
 * made; 0 if unknown. @param nowMs time of its arrival, which may be late. */
void recordShapeTime(UpstreamState &upstreamState, std::uint64_t upstreamMs, std::uint64_t nowMs);

/** Corrects the time of the latest heartbeat after a poll reply has shown the clock: the heartbeat may have been held up before the clock was known.
 * @param upstreamState the upstream state. @param nowMs time of the reply's arrival. */
void correctShapeTime(UpstreamState &upstreamState, std::uint64_t nowMs);

/** @param upstreamState the upstream state. @return the capacity that no run occupies. */
model::Resources freeCapacity(const UpstreamState &upstreamState);

/** @param upstreamState the upstream state. @return whether its runs need more than its capacity, as after a reduction of it. */
bool isOverCapacity(const UpstreamState &upstreamState);

/**
 * Decides whether a crash of the registered process counts for a run.
 * @param upstreamState the upstream state. @param run a run of it.
 * @return the evidence that the run was in progress. A task that runs until its job is cancelled, and had run for long, isn't taken for the cause.
 */
CrashEvidence crashEvidence(const UpstreamState &upstreamState, const Run &run);

/** @param run a run. @param nowMs current time. @return whether an upstream crashed under the task before and it isn't known yet to run well this time. */
bool isUnprovenSuspect(const Run &run, std::uint64_t nowMs);

/** Adds a run, which occupies capacity. @param upstreamState the upstream state. @param run the run. @return the stored run. */
Run &addRun(UpstreamState &upstreamState, Run run);

/** Removes a run and frees its capacity. @param upstreamState the upstream state. @param task the task of the run. */
void removeRun(UpstreamState &upstreamState, const job::TaskRef &task);

/** @param upstreamState the upstream state. @return the rack label; empty if there is none. */
std::string_view rackOf(const UpstreamState &upstreamState);

/** @param upstreamState the upstream state. @param label a label. @return whether the upstream has the label; always true for an empty label. */
bool hasLabel(const UpstreamState &upstreamState, std::string_view label);
}
