#include "deployment/fleettesting.h"

#include <cstdint>
#include <string>
#include <utility>

namespace
{
using namespace rosemaryturn;
using fakes::FakeUpstream;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
using fakes::withUpstreams;

/** Shrinks an upstream and checks that the work of a queue completes without a start over the new capacity. */
void checkShrinking(fakes::FakeCapacity capacity)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(4, 3000, 1500)});
        if (i == jobs / 4) {
            fleet.setCapacity(fleet.upstreams[0], capacity);
        }
        fleet.run(500);
    }
    for (int i = 0; i < jobs; ++i) {
        CPPUNIT_ASSERT_MESSAGE("job " + std::to_string(i), completes(fleet, "/0/j" + std::to_string(i), 60000));
    }
    checkGuarantees(fleet);
}

/** Shrinks the only upstream while starts are lost, and delivers them again once the earlier capacity doesn't count any more. */
void checkResentStarts(const fakes::OrderFaults &faults)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    fleet.orderFaults = faults;
    fleet.submit("/0/j1", {makeStep(3, 5000, 1000)});
    fleet.run(400);
    fleet.setCapacity(fleet.upstreams[0], {6000, 64000});
    fleet.run(6000);
    CHECK_EQUAL(std::uint64_t{0}, fleet.starts);
    fleet.orderFaults = {};
    CHECK(completes(fleet, "/0/j1", 30000)); // The tasks fit one at a time.
    checkGuarantees(fleet);
}

/**
 * Shrinks the only upstream between a heartbeat and a placement whose record takes two seconds to be committed.
 * @param stated whether a heartbeat states the new capacity before the record is committed.
 */
void checkSlowRecord(bool stated)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    fleet.submit("/0/before", {makeStep(1, 12000, 60000)});
    fleet.run(1000);
    fleet.submit("/0/next", {makeStep(1, 12000, 500)}); // Fits once the run before it ends.
    FakeUpstream &upstream = fleet.upstreams[0];
    const std::uint64_t sequence = upstream.sequence;
    CHECK(fleet.runUntil(
        [&] {
            return upstream.sequence > sequence;
        },
        2000));
    fleet.run(100); // The heartbeat arrives.
    upstream.sendsHeartbeats = false;
    fleet.setCapacity(upstream, {4000, 64000});
    CHECK_EQUAL(std::size_t{1}, upstream.runs.size());
    constexpr std::uint64_t runEndsAfterMs = 3600;
    upstream.runs.begin()->second.endsMs = fleet.nowMs + runEndsAfterMs;
    fleet.run(runEndsAfterMs - 100);
    const std::uint64_t syncMs = std::exchange(fleet.options.syncMs, 2000);
    fleet.run(300); // The run has ended, and the next one may have been placed.
    upstream.sendsHeartbeats = stated;
    fleet.run(4000);
    fleet.options.syncMs = syncMs;
    fleet.run(3000);
    checkGuarantees(fleet);
    CHECK_EQUAL(std::uint64_t{1}, fleet.starts);
    upstream.sendsHeartbeats = true;
    fleet.setCapacity(upstream, {16000, 64000});
    CHECK(completes(fleet, "/0/next", 20000));
    checkGuarantees(fleet);
}
}

/** Starts were sent to an upstream over the capacity to which it had shrunk. */
TEST_CASE(Deployment, AShrunkUpstreamGetsNothingOverItsCapacity)
{
    checkShrinking({4000, 64000});
    checkShrinking({16000, 250}); // Two tasks fit into the memory.
    checkShrinking({0, 0});
}

/** The runs of an upstream that shrinks below what they occupy go on. */
TEST_CASE(Deployment, RunsOnAShrunkUpstreamGoOn)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    fleet.submit("/0/j1", {makeStep(4, 4000, 9000)});
    fleet.run(1000);
    fleet.submit("/0/j2", {makeStep(4, 1000, 500)});
    fleet.setCapacity(fleet.upstreams[0], {3000, 64000});
    CHECK(completes(fleet, "/0/j1", 20000));
    CHECK(completes(fleet, "/0/j2", 20000));
    CHECK_EQUAL(std::uint64_t{8}, fleet.starts);
    checkGuarantees(fleet);
}

/** An upstream that had grown again was still taken to be small. */
TEST_CASE(Deployment, AnUpstreamIsUsedAgainAfterItHasGrown)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    fleet.setCapacity(fleet.upstreams[0], {2000, 64000});
    fleet.run(6000);
    fleet.submit("/0/j1", {makeStep(1, 16000, 500)});
    fleet.run(5000);
    CHECK_EQUAL(std::uint64_t{0}, fleet.starts);
    fleet.setCapacity(fleet.upstreams[0], {16000, 64000});
    fleet.run(3000);
    CHECK(fleet.phase("/0/j1") == job::Phase::Completed);
    checkGuarantees(fleet);
}

/** Starts that were lost were sent again after the upstream had shrunk. */
TEST_CASE(Deployment, LostStartsAreNotSentAgainOverAShrunkCapacity)
{
    fakes::OrderFaults faults;
    faults.lostShare = 1;
    faults.startsOnly = true;
    checkResentStarts(faults);
}

/** The same, while polls were lost too, so that the upstream was taken to be silent. */
TEST_CASE(Deployment, StartsToASilentUpstreamAreNotSentAgainOverAShrunkCapacity)
{
    fakes::OrderFaults faults;
    faults.lostShare = 1;
    checkResentStarts(faults);
}

/** A placement was recorded slowly, and its start was sent although a heartbeat had stated a smaller capacity meanwhile. */
TEST_CASE(Deployment, APlacedRunIsNotStartedOverTheCapacityStatedSince)
{
    checkSlowRecord(true);
}

/** A placement was recorded slowly, and its start was sent by a heartbeat that was too old by then. */
TEST_CASE(Deployment, APlacedRunIsNotStartedByAnOldHeartbeat)
{
    checkSlowRecord(false);
}

/** Polls were answered while heartbeats didn't arrive, and the leader went on to fill the capacity of the last heartbeat. */
TEST_CASE(Deployment, PollsDoNotStandInForHeartbeatsThatStateTheCapacity)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    fleet.submit("/0/long", {makeStep(1, 2000, 60000)}); // The leader polls an upstream with runs.
    fleet.run(1500);
    fleet.upstreams[0].sendsHeartbeats = false;
    fleet.setCapacity(fleet.upstreams[0], {4000, 64000});
    for (int i = 0; i < 20; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(4, 3000, 400)});
        fleet.run(500);
    }
    checkGuarantees(fleet);
    fleet.upstreams[0].sendsHeartbeats = true;
    fleet.setCapacity(fleet.upstreams[0], {16000, 64000});
    for (int i = 0; i < 20; ++i) {
        CPPUNIT_ASSERT_MESSAGE("job " + std::to_string(i), completes(fleet, "/0/j" + std::to_string(i), 30000));
    }
    checkGuarantees(fleet);
}

/** A leader that took over from the records filled a capacity that had shrunk while there was no leader. */
TEST_CASE(Deployment, ANewLeaderDoesNotFillTheRecordedCapacity)
{
    Fleet fleet(withUpstreams(2));
    prepare(fleet);
    for (std::uint32_t i = 0; i < fleet.options.controlHosts; ++i) {
        fleet.kill(fleet.hosts[i]);
    }
    for (FakeUpstream &upstream : fleet.upstreams) {
        fleet.setCapacity(upstream, {4000, 64000});
        upstream.sendsHeartbeats = false;
    }
    fleet.run(6000);
    for (std::uint32_t i = 0; i < fleet.options.controlHosts; ++i) {
        fleet.start(fleet.hosts[i]);
    }
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        10000));
    fleet.run(500);
    const deployment::Token token = fleet.submit("/0/j1", {makeStep(4, 4000, 1000)});
    fleet.run(6000);
    CHECK(fleet.answer(token).answered && fleet.answer(token).reply.error == 0);
    checkGuarantees(fleet);
    for (FakeUpstream &upstream : fleet.upstreams) {
        upstream.sendsHeartbeats = true;
    }
    CHECK(completes(fleet, "/0/j1", 20000));
    checkGuarantees(fleet);
}

/** A new leader took a heartbeat that had been held up for seconds for a new one, since it didn't know the clock of the upstream yet. */
TEST_CASE(Deployment, ANewLeaderDoesNotFillACapacityStatedByADelayedHeartbeat)
{
    Fleet fleet(withUpstreams(1));
    prepare(fleet);
    FakeUpstream &upstream = fleet.upstreams[0];
    const std::string formerLeader = fleet.leader()->id;
    fleet.setPartitioned(formerLeader, upstream.id, true);
    fleet.orderFaults.delayedReportShare = 1;
    fleet.orderFaults.delayMs = 9000;
    fleet.orderFaults.delaySpreadMs = 1;
    const std::uint64_t sequence = upstream.sequence;
    CHECK(fleet.runUntil(
        [&] {
            return upstream.sequence > sequence;
        },
        2000));
    const std::uint64_t arrivesMs = fleet.nowMs + fleet.orderFaults.delayMs;
    upstream.sendsHeartbeats = false;
    upstream.receivesOrders = false;
    fleet.setCapacity(upstream, {4000, 64000});
    fleet.kill(fleet.host(formerLeader));
    fleet.run(arrivesMs - fleet.nowMs + 100);
    upstream.receivesOrders = true;
    fleet.submit("/0/j1", {makeStep(4, 4000, 1000)});
    fleet.run(4000);
    checkGuarantees(fleet);
    fleet.orderFaults = {};
    upstream.sendsHeartbeats = true;
    CHECK(completes(fleet, "/0/j1", 20000));
    checkGuarantees(fleet);
}
