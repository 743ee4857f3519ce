#include "deployment/fleettesting.h"

#include <cstdint>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
using fakes::withUpstreams;

/** Processor time that a whole upstream has. */
constexpr std::uint32_t wholeCpuMillis = 16000;

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
