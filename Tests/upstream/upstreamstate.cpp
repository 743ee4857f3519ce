#include "upstream/upstreamstate.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;
}

TEST_CASE(Life, WithoutItsClockNoLeaseIsGranted)
{
    upstream::UpstreamState upstreamState;
    CHECK_EQUAL(std::uint64_t{0}, upstream::grantLease(upstreamState, {5000, 2, 100}, 1000));
    CHECK_EQUAL(std::uint64_t{0}, upstreamState.lapseBoundMs);
}

/** The bound covers the slowest clock allowed, wherever between call and reply the upstream read it. */
TEST_CASE(Life, TheBoundCoversASlowClock)
{
    upstream::UpstreamState upstreamState;
    upstream::recordClock(upstreamState, 700000, 1000);
    const std::uint64_t until = upstream::grantLease(upstreamState, {5000, 2, 100}, 3000);
    CHECK_EQUAL(std::uint64_t{707000}, until);
    const double slowestMs = 1000 + 7000 / 0.98;
    CHECK(static_cast<double>(upstreamState.lapseBoundMs) >= slowestMs);
    CHECK(static_cast<double>(upstreamState.lapseBoundMs) < slowestMs + 200);
}

TEST_CASE(Life, ALaterGrantNeverShortensTheBound)
{
    upstream::UpstreamState upstreamState;
    upstream::recordClock(upstreamState, 700000, 1000);
    upstream::grantLease(upstreamState, {9000, 2, 100}, 1000);
    const std::uint64_t bound = upstreamState.lapseBoundMs;
    upstream::grantLease(upstreamState, {2000, 2, 100}, 1500);
    CHECK_EQUAL(bound, upstreamState.lapseBoundMs);
}

TEST_CASE(Life, RemovingARunFreesItsCapacity)
{
    upstream::UpstreamState upstreamState;
    upstreamState.capacity = {8000, 4000, 1, 0};
    upstream::Run run;
    run.task = {1, 0, 0, 0};
    run.need = {3000, 1000, 1, 0};
    upstream::addRun(upstreamState, run);
    CHECK(upstream::freeCapacity(upstreamState) == (model::Resources{5000, 3000, 0, 0}));
    upstream::removeRun(upstreamState, {1, 0, 0, 1});
    upstream::removeRun(upstreamState, {1, 0, 0, 0});
    CHECK(upstream::freeCapacity(upstreamState) == upstreamState.capacity);
}

namespace
{
/** @return an upstream that answered at 1000 ms, with one run that the answer listed. */
upstream::UpstreamState confirmedUpstream()
{
    upstream::UpstreamState upstreamState;
    upstreamState.listsRead = true;
    upstreamState.confirmedMs = 1000;
    upstream::Run run;
    run.task = {1, 0, 0, 0};
    run.phase = upstream::RunPhase::Running;
    run.located = true;
    upstream::addRun(upstreamState, run);
    return upstreamState;
}
}

TEST_CASE(UpstreamState, AcknowledgesOnlyToAProcessThatAnsweredJustBefore)
{
    upstream::UpstreamState upstreamState = confirmedUpstream();
    CHECK(upstream::mayAcknowledge(upstreamState, 1000));
    CHECK(upstream::mayAcknowledge(upstreamState, 1300));
    CHECK(!upstream::mayAcknowledge(upstreamState, 1301));
    upstreamState.silent = true;
    CHECK(!upstream::mayAcknowledge(upstreamState, 1000));
    upstreamState.silent = false;
    upstreamState.listsRead = false;
    CHECK(!upstream::mayAcknowledge(upstreamState, 1000));
}

TEST_CASE(UpstreamState, AcknowledgesNothingWhileAStartedRunIsNotListed)
{
    upstream::UpstreamState upstreamState = confirmedUpstream();
    upstream::Run run;
    run.task = {1, 0, 0, 1};
    upstream::Run &added = upstream::addRun(upstreamState, run);
    CHECK(upstream::mayAcknowledge(upstreamState, 1000)); // Its start hasn't been sent.
    added.phase = upstream::RunPhase::Starting;
    CHECK(!upstream::mayAcknowledge(upstreamState, 1000));
    added.phase = upstream::RunPhase::Running;
    CHECK(!upstream::mayAcknowledge(upstreamState, 1000)); // A process started since may have answered the start.
    added.located = true;
    CHECK(upstream::mayAcknowledge(upstreamState, 1000));
}

TEST_CASE(UpstreamState, ARunThatIsNotListedMayLastForTheLongestLease)
{
    const upstream::LeaseTiming timing;
    upstream::UpstreamState upstreamState;
    upstream::recordClock(upstreamState, 50000, 100);
    upstream::grantLease(upstreamState, timing, 200);
    upstream::Run run;
    CHECK(upstream::lapseBoundOf(upstreamState, run) >= 200 + timing.maxDeliveryMs + timing.longestLeaseMs * 100 / 98);
    run.located = true;
    CHECK_EQUAL(upstreamState.lapseBoundMs, upstream::lapseBoundOf(upstreamState, run));
    CHECK(upstreamState.lapseBoundMs < 200 + timing.longestLeaseMs);
}

/** An order that was sent long after the upstream's last reply may not have been received; the crash must not be put down to its task. */
TEST_CASE(UpstreamState, ACrashCountsForTheRunsInProgress)
{
    using upstream::CrashEvidence;
    upstream::UpstreamState upstreamState;
    upstreamState.lastContactMs = 1000;
    upstream::Run run;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::None); // Its start wasn't sent.
    run.startsSent = 1;
    run.firstOrderedAtMs = 3001;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::None);
    run.firstOrderedAtMs = 3000;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::Possible);
    run.startedAtMs = 3100;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::Confirmed);
    upstream::Run inherited;
    inherited.phase = upstream::RunPhase::Inherited;
    CHECK(upstream::crashEvidence(upstreamState, inherited) == CrashEvidence::Possible);
}

/** Tasks that run until their job is cancelled see crashes by chance in a long life; those that cause them crash soon after each start. */
TEST_CASE(UpstreamState, ACrashDoesNotCountForATaskThatHasRunForLong)
{
    using upstream::CrashEvidence;
    upstream::UpstreamState upstreamState;
    upstream::Run run;
    run.longRunning = true;
    run.startsSent = 1;
    run.firstOrderedAtMs = 1000;
    run.startedAtMs = 1100;
    upstreamState.lastContactMs = 31100;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::Confirmed);
    upstreamState.lastContactMs = 31101;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::None);
    run.firstOrderedAtMs = 0; // Started by an earlier leader.
    upstreamState.lastContactMs = 1200;
    CHECK(upstream::crashEvidence(upstreamState, run) == CrashEvidence::None);
}

/** A heartbeat that was held up on its way states an old capacity. */
TEST_CASE(UpstreamState, TheCapacityIsAsOldAsItsHeartbeat)
{
    upstream::UpstreamState upstreamState;
    upstream::recordShapeTime(upstreamState, 50000, 1000); // Its clock isn't known yet.
    CHECK_EQUAL(std::uint64_t{1000}, upstreamState.shapeMs);
    upstream::recordClock(upstreamState, 50100, 1100);
    upstream::recordShapeTime(upstreamState, 51000, 4000);
    CHECK_EQUAL(std::uint64_t{2000}, upstreamState.shapeMs);
    upstream::recordShapeTime(upstreamState, 50900, 4100);
    CHECK_EQUAL(std::uint64_t{2000}, upstreamState.shapeMs);
}

/** A heartbeat that arrived before the clock was known counted as new, however long it had been held up. */
TEST_CASE(UpstreamState, AReplyShowsTheAgeOfAnEarlierHeartbeat)
{
    upstream::UpstreamState upstreamState;
    upstream::recordShapeTime(upstreamState, 50000, 10000);
    upstream::recordClock(upstreamState, 58000, 10100);
    upstream::correctShapeTime(upstreamState, 10100);
    CHECK_EQUAL(std::uint64_t{2100}, upstreamState.shapeMs);
    upstream::recordShapeTime(upstreamState, 58500, 10700);
    upstream::correctShapeTime(upstreamState, 10700);
    CHECK_EQUAL(std::uint64_t{10600}, upstreamState.shapeMs);
}

/** A run that is being stopped may be missing from both lists. */
TEST_CASE(UpstreamState, AMissingRunIsOverOnceItsStopIs)
{
    const upstream::LeaseTiming timing; // A stop takes 200 ms, on a clock that may be 2% slow, and the margin is 100 ms.
    upstream::UpstreamState upstreamState;
    upstream::Run run;
    CHECK(!upstream::absenceProofMs(upstreamState, run, timing));
    run.phase = upstream::RunPhase::Running;
    run.startedAtMs = 1000;
    CHECK(!upstream::absenceProofMs(upstreamState, run, timing));
    run.missingMs = 1500; // It may be ending since.
    CHECK_EQUAL(std::uint64_t{1804}, upstream::absenceProofMs(upstreamState, run, timing).value_or(0));
    run.phase = upstream::RunPhase::Stopping;
    CHECK(!upstream::absenceProofMs(upstreamState, run, timing));
    run.stopAnswered = true;
    run.stopAnsweredMs = 2000;
    CHECK_EQUAL(std::uint64_t{2304}, upstream::absenceProofMs(upstreamState, run, timing).value_or(0));
    run.phase = upstream::RunPhase::Inherited;
    CHECK(!upstream::absenceProofMs(upstreamState, run, timing));
    upstreamState.listsRead = true;
    upstreamState.fencedMs = 3000;
    CHECK_EQUAL(std::uint64_t{3304}, upstream::absenceProofMs(upstreamState, run, timing).value_or(0));
}

TEST_CASE(UpstreamState, ASuspectIsUnprovenUntilItHasRunForAWhile)
{
    upstream::UpstreamState upstreamState;
    upstream::Run run;
    CHECK(!upstream::isUnprovenSuspect(run, 1000));
    run.crashes = 1;
    CHECK(upstream::isUnprovenSuspect(run, 1000));
    run.startedAtMs = 1000;
    CHECK(upstream::isUnprovenSuspect(run, 1999));
    CHECK(!upstream::isUnprovenSuspect(run, 2000));
    CHECK(!upstreamState.hasSuspects);
    upstream::addRun(upstreamState, run);
    CHECK(upstreamState.hasSuspects);
}

TEST_CASE(UpstreamState, RunsExceedAReducedCapacity)
{
    upstream::UpstreamState upstreamState;
    upstreamState.capacity = {4000, 4000, 0, 0};
    upstream::Run run;
    run.need = {3000, 1000, 0, 0};
    upstream::addRun(upstreamState, run);
    CHECK(!upstream::isOverCapacity(upstreamState));
    upstreamState.capacity = {2000, 4000, 0, 0};
    CHECK(upstream::isOverCapacity(upstreamState));
    CHECK(upstream::freeCapacity(upstreamState) == (model::Resources{0, 3000, 0, 0}));
}
