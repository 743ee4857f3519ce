#include "deployment/fleettesting.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
}

/** The simulated hosts completed the writes, and sent the messages, of a suspended host. */
TEST_CASE(Deployment, SuspendedHostsConfirmNoRecords)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    const std::string leader = fleet.leader()->id;
    const auto token = fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    const auto isWriting = [&leader](const fakes::FakeHost &host) {
        return host.control && host.id != leader && std::any_of(host.unsynced.begin(), host.unsynced.end(), [](const auto &write) {
                   return !write->records.empty();
               });
    };
    const auto isProposed = [&] {
        return !fleet.host(leader).host->leader.pendingSubmits.empty();
    };
    while (!isProposed() || std::none_of(fleet.hosts.begin(), fleet.hosts.end(), isWriting)) {
        fleet.run(1);
    }
    constexpr std::uint64_t suspensionMs = 3000;
    for (fakes::FakeHost &host : fleet.hosts) {
        if (host.control && host.id != leader) {
            fleet.suspend(host, suspensionMs);
        }
    }
    fleet.run(500);
    CHECK(!fleet.answer(token).answered);
    CHECK(completes(fleet, "/0/j1", 15000));
    CHECK_TEXT("", violationsText(fleet));
}

/** A host that is killed finds some of its unsynced writes on its disk: the group keeps what was confirmed, and agrees on the rest. */
TEST_CASE(Deployment, UnsyncedWritesOfKilledHostsMayBeKept)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetOptions options;
        options.seed = seed;
        Fleet fleet(options);
        fleet.hostFaults.keepsUnsyncedWrites = true;
        waitUntilReady(fleet);
        CHECK(fleet.putPlan(1, 2, false));
        for (int i = 0; i < 6; ++i) {
            fleet.submit("/0/j" + std::to_string(i), {makeStep(2, 1000, 300)});
            fleet.run(7);
        }
        fleet.run(25 + seed);
        for (std::uint32_t i = 0; i < options.controlHosts; ++i) {
            fleet.kill(fleet.hosts[i]);
        }
        fleet.run(500);
        for (std::uint32_t i = 0; i < options.controlHosts; ++i) {
            fleet.start(fleet.hosts[i]);
        }
        CHECK(completes(fleet, "/0/j0", 20000));
        CHECK_TEXT("", violationsText(fleet));
    }
}
