#include "deployment/fleettesting.h"

#include <string>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::makeStep;
using fakes::withUpstreams;

constexpr std::uint64_t laterMs = 500;

/** Starts a task that runs for long. @param fleet the deployment. @return the upstream that runs it. */
fakes::FakeUpstream &startLongTask(Fleet &fleet)
{
    fleet.submit("/0/j1", {makeStep(1, 1000, 6000)});
    fleet.run(1500);
    for (fakes::FakeUpstream &upstream : fleet.upstreams) {
        if (!upstream.runs.empty()) {
            return upstream;
        }
    }
    CPPUNIT_FAIL("the task hasn't started");
    return fleet.upstreams.front();
}

/** Checks that the only run of the task is left alone and completes, and that its upstream is still used. */
void checkRunContinues(Fleet &fleet, fakes::FakeUpstream &upstream)
{
    CHECK(completes(fleet, "/0/j1", 9000));
    CHECK_EQUAL(std::uint64_t{1}, fleet.starts);
    checkGuarantees(fleet);
    const std::uint32_t number = fleet.leader()->host->leader.upstreamNumbers.at(upstream.id);
    const upstream::UpstreamState &known = fleet.leader()->host->leader.upstreams.at(number);
    CHECK(deployment::internal::mayPlaceOn(fleet.leader()->host->leader, known, {fleet.nowMs, fleet.nowMs}));
}
}

/** A heartbeat of another sender with a fresh id, an upstream's address and a service that no plan names ended that upstream's runs, which were started
 * elsewhere while they continued. */
TEST_CASE(Deployment, AHeartbeatOfAnUnnamedServiceEndsNoRunsAtItsAddress)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    fakes::FakeUpstream &upstream = startLongTask(fleet);
    wire::UpstreamBeatT beat = fleet.nextHeartbeat(upstream);
    beat.seen->id = "stranger";
    beat.seen->service = "unnamed";
    beat.seen->born += laterMs;
    fleet.deliverHeartbeat(beat);
    fleet.run(1000);
    CHECK_EQUAL(std::size_t{0}, fleet.leader()->host->leader.upstreamNumbers.count("stranger"));
    checkRunContinues(fleet, upstream);
}

/** A heartbeat of another sender with an upstream's id, a later start and a service that no plan names made the leader stop that upstream's runs, and the
 * upstream's own heartbeats count as delayed. */
TEST_CASE(Deployment, AHeartbeatOfAnUnnamedServiceChangesNoUpstream)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    fakes::FakeUpstream &upstream = startLongTask(fleet);
    wire::UpstreamBeatT beat = fleet.nextHeartbeat(upstream);
    beat.seen->service = "unnamed";
    beat.seen->born += laterMs;
    beat.sequence += 1000;
    fleet.deliverHeartbeat(beat);
    fleet.run(1000);
    checkRunContinues(fleet, upstream);
}

/** A process keeps its address. A heartbeat that named another one sent the upstream's calls there, and the refusal that came back ended its runs. */
TEST_CASE(Deployment, AHeartbeatDoesNotMoveAProcess)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    fakes::FakeUpstream &upstream = startLongTask(fleet);
    const fakes::FakeUpstream &other = fleet.upstreams[upstream.id == fleet.upstreams[0].id ? 1 : 0];
    for (int i = 0; i < 20; ++i) {
        wire::UpstreamBeatT beat = fleet.nextHeartbeat(upstream);
        beat.seen->address = other.address;
        fleet.deliverHeartbeat(beat);
        fleet.run(100);
    }
    checkRunContinues(fleet, upstream);
}

/** A late heartbeat of a process that had an upstream's address before, and was not known yet, ended the runs there if the clock of its machine was ahead. */
TEST_CASE(Deployment, ALateHeartbeatOfAnEarlierProcessEndsNoRunsAtItsAddress)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    fakes::FakeUpstream &upstream = startLongTask(fleet);
    wire::UpstreamBeatT beat = fleet.nextHeartbeat(upstream);
    beat.seen->id = "earlier";
    beat.seen->born += laterMs;
    fleet.deliverHeartbeat(beat);
    fleet.run(1000);
    checkRunContinues(fleet, upstream);
}

/** The clock of an upstream's machine was set back between two processes under one id. The later one's heartbeats and lists counted as an earlier one's until
 * the upstream was forgotten. */
TEST_CASE(Deployment, AnUpstreamIsUsedAgainAfterItsClockWasSetBack)
{
    Fleet fleet(withUpstreams(1));
    fakes::FakeUpstream &upstream = fleet.upstreams.front();
    upstream.wallAheadMs = 60000;
    fleet.restart(upstream);
    prepare(fleet);
    startLongTask(fleet);
    upstream.wallAheadMs = 0;
    fleet.restart(upstream);
    CHECK(fleet.runUntil(
        [&] {
            return fleet.starts == 2;
        },
        5000));
    CHECK(completes(fleet, "/0/j1", 12000));
    checkGuarantees(fleet);
}

/** A heartbeat of an earlier process under the same id arrived late. It only has the leader ask the registered process, whose runs continue. */
TEST_CASE(Deployment, ALateHeartbeatOfAnEarlierProcessUnderTheIdChangesNothing)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    fakes::FakeUpstream &upstream = startLongTask(fleet);
    wire::UpstreamBeatT beat = fleet.nextHeartbeat(upstream);
    beat.seen->born -= laterMs;
    beat.sequence += 1000;
    fleet.deliverHeartbeat(beat);
    checkRunContinues(fleet, upstream);
}

/** Before the first plan any service may be the one that it names. What another sender said under an upstream's id then kept its own heartbeats from counting.
 */
TEST_CASE(Deployment, AHeartbeatOfAnUnnamedServiceBeforeTheFirstPlanIsCorrected)
{
    Fleet fleet(withUpstreams(1));
    waitUntilReady(fleet);
    wire::UpstreamBeatT beat = fleet.nextHeartbeat(fleet.upstreams.front());
    beat.seen->service = "unnamed";
    beat.seen->born += laterMs;
    fleet.deliverHeartbeat(beat);
    fleet.run(100);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 500)});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.starts == 1;
        },
        5000));
    CHECK(completes(fleet, "/0/j1", 3000));
    checkGuarantees(fleet);
}
