#include "deployment/fleettesting.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <string>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;

/** Injects one random fault. */
void injectFault(Fleet &fleet, std::mt19937_64 &random)
{
    fakes::FakeHost &control = fleet.hosts[random() % fleet.options.controlHosts];
    fakes::FakeUpstream &upstream = fleet.upstreams[random() % fleet.upstreams.size()];
    const bool allHostsUp = std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&fleet](const fakes::FakeHost &host) {
        return host.alive && host.partitionedFrom.empty() && fleet.nowMs >= host.suspendedUntilMs;
    });
    switch (random() % 6) {
    case 0:
        if (allHostsUp) {
            fleet.suspend(control, 500 + random() % 5000);
        }
        break;
    case 1:
        if (allHostsUp) {
            fleet.kill(control);
            fleet.run(500);
            fleet.start(control);
        }
        break;
    case 2:
        fleet.crash(upstream);
        fleet.run(random() % 2 == 0 ? 300 : 2500); // Shorter and longer than a poll's wait and timeout.
        fleet.restart(upstream);
        break;
    case 3:
        upstream.reachable = !upstream.reachable;
        break;
    case 4:
        fleet.setPartitioned(control.id, upstream.id, random() % 2 == 0);
        break;
    default:
        break;
    }
}

/** Injects one random fault of a courier. */
void injectCourierFault(Fleet &fleet, std::mt19937_64 &random)
{
    fakes::FakeHost &courier = fleet.hosts[fleet.options.controlHosts + random() % fleet.options.entryHosts];
    const std::string control = "c" + std::to_string(random() % fleet.options.controlHosts);
    switch (random() % 5) {
    case 0:
        fleet.suspend(courier, 500 + random() % 6000);
        break;
    case 1:
        fleet.kill(courier);
        fleet.run(300);
        fleet.start(courier);
        break;
    case 2:
        courier.draining = !courier.draining;
        break;
    case 3:
        fleet.setPartitioned(courier.id, control, random() % 2 == 0);
        break;
    default:
        break;
    }
}

/** Runs a stream of jobs with random faults, during which the fleet checks the guarantees. @return the violations; empty for none. */
std::string runSchedule(std::uint64_t seed, bool couriers)
{
    FleetOptions options;
    options.minUpstreamsForCouriers = couriers ? 1 : options.minUpstreamsForCouriers;
    options.entryHosts = couriers ? 4 : options.entryHosts;
    options.seed = seed;
    options.failShare = 0.03;
    options.allowedShare = 0.7;
    Fleet fleet(options);
    fleet.trace = std::getenv("ROSEMARYTURN_TRACE") != nullptr;
    std::mt19937_64 random(seed);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(2, 3, true));
    fleet.orderFaults.delayedShare = 0.04;
    fleet.orderFaults.lostShare = 0.02;
    int jobs = 0;
    for (int round = 0; round < 24; ++round) {
        for (int i = 0; i < 3; ++i) {
            const auto firstMs = static_cast<std::uint32_t>(300 + random() % 1500);
            const auto firstCpu = static_cast<std::uint32_t>(1000 + random() % 4000);
            wire::StepSpecT first = makeStep(1 + random() % 4, firstCpu, firstMs);
            first.gang = random() % 3 == 0;
            const auto secondMs = static_cast<std::uint32_t>(300 + random() % 700);
            const auto secondCpu = static_cast<std::uint32_t>(1000 + random() % 3000);
            wire::StepSpecT second = makeStep(1 + random() % 3, secondCpu, secondMs);
            second.after = {0};
            fleet.submit("/" + std::to_string(random() % 2) + "/j" + std::to_string(jobs++), {first, second});
            fleet.run(200);
        }
        injectFault(fleet, random);
        if (couriers) {
            injectCourierFault(fleet, random);
        }
        fleet.run(400);
    }
    fleet.orderFaults = {};
    for (fakes::FakeUpstream &upstream : fleet.upstreams) {
        upstream.reachable = true;
        for (fakes::FakeHost &host : fleet.hosts) {
            fleet.setPartitioned(host.id, upstream.id, false);
        }
    }
    for (fakes::FakeHost &host : fleet.hosts) {
        host.draining = false;
        for (std::uint32_t control = 0; control < options.controlHosts; ++control) {
            fleet.setPartitioned(host.id, "c" + std::to_string(control), false);
        }
    }
    fleet.run(25000);
    std::string text = violationsText(fleet);
    for (const auto &[number, job] : fleet.leader() == nullptr ? std::map<std::uint64_t, job::Job>{} : fleet.leader()->host->state.jobs) {
        if (!job::hasEnded(job.phase)) {
            text += "LOST job " + job.spec.id + " phase " + std::to_string(static_cast<int>(job.phase)) + "\n";
        }
    }
    return text;
}

void runSchedules(bool couriers)
{
    const char *limit = std::getenv("ROSEMARYTURN_SCHEDULES"); // For manual runs of more schedules than in CI.
    const std::uint64_t count = limit == nullptr ? 12 : std::strtoull(limit, nullptr, 10);
    const char *firstSeed = std::getenv("ROSEMARYTURN_SEED"); // For manual runs: the first seed.
    for (std::uint64_t seed = firstSeed == nullptr ? 1 : std::strtoull(firstSeed, nullptr, 10); seed <= count; ++seed) {
        const std::string violations = runSchedule(seed, couriers);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violations);
    }
}
}

/** Seeds that failed before, of schedules without couriers and with them. */
TEST_CASE(Deployment, SchedulesThatFailedBeforeKeepThePromises)
{
    for (const std::uint64_t seed : {307, 331, 407, 512, 855, 1974}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), runSchedule(seed, false));
    }
    for (const std::uint64_t seed : {29, 4281}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " with couriers", std::string(), runSchedule(seed, true));
    }
}

TEST_CASE(Deployment, RandomSchedulesKeepThePromises)
{
    runSchedules(false);
}

TEST_CASE(Deployment, RandomSchedulesWithCouriersKeepThePromises)
{
    runSchedules(true);
}
