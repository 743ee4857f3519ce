#include "deployment/fleettesting.h"

#include <cstdint>
#include <string>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
using fakes::withUpstreams;

/** Processor time that a whole upstream has. */
constexpr std::uint32_t wholeCpuMillis = 16000;

/**
 * Submits a job and waits until its first start was sent, which is carried out later.
 * @param fleet the deployment. @param path of the job. @param steps of the job. @param delayMs the delay of the start.
 */
void sendDelayedStart(Fleet &fleet, const std::string &path, const std::vector<wire::StepSpecT> &steps, std::uint64_t delayMs)
{
    fleet.orderFaults.startsOnly = true;
    fleet.orderFaults.delayedShare = 1;
    fleet.orderFaults.delayMs = delayMs;
    fleet.orderFaults.delaySpreadMs = 1;
    fleet.submit(path, steps);
    CHECK(fleet.runUntil(
        [&] {
            return fleet.startsSent == 1;
        },
        2000));
}

/** @param stopMs the time that a stop takes. @return the options of a fleet whose only upstream doesn't list a run that is being stopped. */
FleetOptions withHiddenStops(std::uint64_t stopMs)
{
    FleetOptions options = withUpstreams(1);
    options.upstreamBehavior.minStopMs = options.upstreamBehavior.maxStopMs = stopMs;
    options.upstreamBehavior.hidesStoppingRuns = true;
    return options;
}

/** Waits until an upstream has begun a number of runs. @param fleet the deployment. @param starts the number. */
void waitForStarts(Fleet &fleet, std::uint64_t starts)
{
    CHECK(fleet.runUntil(
        [&] {
            return fleet.starts == starts;
        },
        20000));
}
}

/** A run that was being stopped was missing from both lists and taken for ended: its capacity was used while it still ran. */
TEST_CASE(Deployment, ARunThatIsBeingStoppedKeepsItsCapacityUntilItsEndIsListed)
{
    constexpr std::uint64_t pollMs = 1000;
    for (std::uint64_t ms = 0; ms < pollMs; ms += 100) { // The stop begins at different moments of a poll.
        Fleet fleet(withHiddenStops(900));
        prepare(fleet);
        fleet.submit("/0/stopped", {makeStep(1, wholeCpuMillis, 60000)});
        waitForStarts(fleet, 1);
        fleet.run(2000 + ms);
        fleet.sendRequest(wire::Operation::JobCancel, "/0/stopped");
        fleet.submit("/0/next", {makeStep(1, wholeCpuMillis, 300)});
        CHECK(completes(fleet, "/0/next", 10000));
        checkGuarantees(fleet);
    }
}

/** The same for a run whose start had no answer, so that its stop was to make sure that it never begins. */
TEST_CASE(Deployment, AnUnconfirmedRunThatIsBeingStoppedKeepsItsCapacity)
{
    Fleet fleet(withHiddenStops(900));
    prepare(fleet);
    fleet.orderFaults.startsOnly = true;
    fleet.orderFaults.unansweredShare = 1;
    fleet.submit("/0/stopped", {makeStep(1, wholeCpuMillis, 60000)});
    waitForStarts(fleet, 1);
    fleet.sendRequest(wire::Operation::JobCancel, "/0/stopped");
    fleet.submit("/0/next", {makeStep(1, wholeCpuMillis, 300)});
    fleet.run(200);
    fleet.orderFaults = {};
    CHECK(completes(fleet, "/0/next", 10000));
    checkGuarantees(fleet);
}

/** The same for a run that an earlier leader had stopped. */
TEST_CASE(Deployment, ANewLeaderWaitsForTheStopsOfTheEarlierOne)
{
    Fleet fleet(withHiddenStops(4000));
    prepare(fleet);
    fleet.submit("/0/stopped", {makeStep(1, wholeCpuMillis, 60000)});
    waitForStarts(fleet, 1);
    fleet.run(1000);
    fleet.sendRequest(wire::Operation::JobCancel, "/0/stopped");
    fleet.submit("/0/next", {makeStep(1, wholeCpuMillis, 300)});
    fleet.run(400);
    fleet.kill(*fleet.leader());
    CHECK(completes(fleet, "/0/next", 20000));
    checkGuarantees(fleet);
}

/** An end was acknowledged while a copy of the run's start was still to be carried out: the upstream had forgotten the run and began it again. */
TEST_CASE(Deployment, AStartCarriedOutAfterTheAcknowledgementOfItsRunIsRefused)
{
    FleetOptions options = withUpstreams(1);
    options.upstreamBehavior.forgetsAcknowledgedRuns = true;
    Fleet fleet(options);
    prepare(fleet);
    sendDelayedStart(fleet, "/0/j1", {makeStep(1, 1000, 300)}, 2000);
    fleet.orderFaults = {};
    CHECK(completes(fleet, "/0/j1", 1900)); // By the second copy; the first one follows after 2 s.
    fleet.run(3000);
    checkGuarantees(fleet);
}

/** A run was lost with its lease, and its start was carried out under a lease that the upstream was given since. */
TEST_CASE(Deployment, AStartCarriedOutUnderALaterLeaseIsRefused)
{
    FleetOptions options = withUpstreams(2);
    options.upstreamBehavior.startsUnderAnyLease = true;
    Fleet fleet(options);
    prepare(fleet);
    sendDelayedStart(fleet, "/0/lost", {makeStep(1, wholeCpuMillis, 60000)}, 25000);
    const bool first = fleet.leader()->host->leader.placements.begin()->second == 1;
    fakes::FakeUpstream &upstream = fleet.upstreams[first ? 0 : 1];
    upstream.reachable = false;
    fleet.orderFaults = {};
    waitForStarts(fleet, 1); // On the other upstream, after the lease.
    upstream.reachable = true;
    fleet.submit("/0/other", {makeStep(1, 1000, 60000)}); // Renews the lease.
    fleet.run(15000);
    CHECK_EQUAL(std::uint64_t{2}, fleet.starts);
    checkGuarantees(fleet);
}

/** The start of a run that was taken for never begun was carried out after a later run of its task had ended and been acknowledged. */
TEST_CASE(Deployment, AStartCarriedOutAfterALaterRunOfItsTaskIsRefused)
{
    FleetOptions options = withUpstreams(1);
    options.upstreamBehavior.forgetsAcknowledgedRuns = true;
    Fleet fleet(options);
    prepare(fleet);
    sendDelayedStart(fleet, "/0/j1", {makeStep(1, 1000, 300)}, 4500);
    fleet.orderFaults.delayedShare = 0;
    fleet.orderFaults.busyShare = 1;
    CHECK(fleet.runUntil(
        [&] {
            return fleet.startsSent == 2;
        },
        2000));
    fleet.orderFaults = {};
    CHECK(completes(fleet, "/0/j1", 3500)); // By the second run.
    fleet.run(3000);
    checkGuarantees(fleet);
}
