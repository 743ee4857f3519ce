#include "fakes/bench.h"
#include "testing.h"

#include <algorithm>
#include <iostream>

namespace
{
using namespace rosemaryturn;
using fakes::Bench;

/** A fault that is injected into a settled system, and ended after a while. */
struct FaultCase
{
    const char *name;
    void (*inject)(Bench &bench);
    std::uint64_t durationMs;
    bool secondHostsDurable = true;
    bool mayEndTasks = false; ///< Whether the fault itself may end tasks, as a cancellation does.
};

wire::TaskSpecT task(const std::string &service, const std::string &key)
{
    wire::TaskSpecT spec;
    spec.key = key + "@dc1";
    spec.service = "production/" + service;
    spec.digest = std::hash<std::string>{}(service + key);
    return spec;
}

std::string cellLeader(Bench &bench)
{
    return bench.leaderOf(control::cellGroup("dc1"));
}

std::string cellStandby(Bench &bench)
{
    return cellLeader(bench) == "h1-1" ? "h1-2" : "h1-1";
}

void crashLeader(Bench &bench)
{
    bench.crash(cellLeader(bench));
}

void crashStandby(Bench &bench)
{
    bench.crash(cellStandby(bench));
}

void pauseLeader(Bench &bench)
{
    bench.pauseHost(cellLeader(bench), true);
}

void isolateLeader(Bench &bench)
{
    bench.isolate(cellLeader(bench), true);
}

void cutLeaderOneWay(Bench &bench)
{
    const std::string leader = cellLeader(bench);
    for (const auto &[other, host] : bench.hosts) {
        bench.cut(leader, other, other != leader);
    }
}

void cutToLeaderOneWay(Bench &bench)
{
    const std::string leader = cellLeader(bench);
    for (const auto &[other, host] : bench.hosts) {
        bench.cut(other, leader, other != leader);
    }
}

void isolateHome(Bench &bench)
{
    bench.isolateDataCentre(1, true);
}

void loseMessages(Bench &bench)
{
    bench.faults.dropPercent = 15;
    bench.faults.duplicatePercent = 10;
    bench.faults.maxDelayMs = 80;
}

void loseDiskOfStandby(Bench &bench)
{
    const std::string standby = cellStandby(bench);
    bench.crash(standby);
    bench.run(500);
    bench.restartWithoutDisk(standby);
}

void loseDiskOfLeader(Bench &bench)
{
    const std::string leader = cellLeader(bench);
    bench.crash(leader);
    bench.run(500);
    bench.restartWithoutDisk(leader);
}

void pauseWorker(Bench &bench)
{
    bench.workers.front().paused = true;
}

void restartWorkers(Bench &bench)
{
    for (fakes::BenchWorker &worker : bench.workers) {
        worker.restart(bench.now().monotonicMs);
    }
}

void restartAllHosts(Bench &bench)
{
    for (const auto &[id, host] : bench.hosts) {
        bench.crash(id);
    }
    bench.run(100);
    for (const auto &[id, host] : bench.hosts) {
        bench.restart(id);
    }
}

void crashTwice(Bench &bench)
{
    const std::string first = cellLeader(bench);
    bench.crash(first);
    bench.run(2500);
    bench.restart(first);
    bench.run(300);
    if (!cellLeader(bench).empty()) {
        bench.crash(cellLeader(bench));
    }
}

void pauseLeaderAndLoseMessages(Bench &bench)
{
    pauseLeader(bench);
    loseMessages(bench);
}

void isolateLeaderAndRestartWorkers(Bench &bench)
{
    isolateLeader(bench);
    bench.run(700);
    restartWorkers(bench);
}

void cancelEverything(Bench &bench)
{
    for (const auto &[key, request] : bench.requests) {
        wire::RequestT cancel;
        cancel.operation = wire::Operation::Cancel;
        cancel.key = key;
        bench.send("h2-1", std::move(cancel));
    }
}

/** Isolates the leader together with a worker that only it can reach: the new leader must not start the worker's tasks elsewhere while they still run. */
void isolateLeaderWithAWorker(Bench &bench)
{
    constexpr std::uint64_t longRunMs = 40000;
    const std::string leader = cellLeader(bench);
    bench.workers.front().runMs = longRunMs; // The other workers have capacity for the tasks that it seems to have lost.
    for (int i = 0; i < 6; ++i) {
        bench.submit(leader, task("idem", "long" + std::to_string(i)));
    }
    bench.run(1500);
    isolateLeader(bench);
    bench.workers.front().onlyEntryHost = leader;
}

/** Makes all workers of the home data centre leave, so that tasks that may spill are sent to the other data centres. */
void loseHomeWorkers(Bench &bench)
{
    for (fakes::BenchWorker &worker : bench.workers) {
        worker.leaving = worker.shape().worker.rfind("w1-", 0) == 0;
    }
    for (int i = 0; i < 12; ++i) {
        bench.submit("h2-1", task("spill", "spilled" + std::to_string(i)));
    }
    bench.run(8000);
}

void loseHomeWorkersAndLeader(Bench &bench)
{
    loseHomeWorkers(bench);
    crashLeader(bench);
}

void loseHomeWorkersAndMessages(Bench &bench)
{
    loseMessages(bench);
    loseHomeWorkers(bench);
}

void loseHomeWorkersAndLinks(Bench &bench)
{
    for (fakes::BenchWorker &worker : bench.workers) {
        worker.runMs = 2000;
    }
    loseHomeWorkers(bench);
    isolateHome(bench);
}

void crashLeaderAndWitness(Bench &bench)
{
    bench.crash(cellLeader(bench));
    bench.crash("h2-1");
}

void crashStandbyAndCutHome(Bench &bench)
{
    bench.crash(cellStandby(bench));
    isolateHome(bench);
}

void loseDiskThenCrashOther(Bench &bench)
{
    const std::string first = cellLeader(bench);
    bench.crash(first);
    bench.run(300);
    bench.restartWithoutDisk(first);
    // The repair is finished once the replacement is a voter again.
    bench.runUntil(
        [&bench, &first] {
            const std::string leader = cellLeader(bench);
            if (leader.empty()) {
                return false;
            }
            const auto &membership = bench.hosts.at(leader).host->groups.at(control::cellGroup("dc1")).membership;
            return consensus::isVotingMember(membership, first, bench.hosts.at(first).incarnation);
        },
        20000);
    if (!cellLeader(bench).empty()) {
        bench.crash(cellLeader(bench));
    }
}

constexpr void (*singleFaults[])(Bench &) = {crashLeader,
                                             crashStandby,
                                             pauseLeader,
                                             isolateLeader,
                                             cutLeaderOneWay,
                                             cutToLeaderOneWay,
                                             isolateHome,
                                             loseMessages,
                                             loseDiskOfStandby,
                                             pauseWorker,
                                             restartWorkers};

void injectTwoFaults(Bench &bench)
{
    singleFaults[bench.random()() % std::size(singleFaults)](bench);
    bench.run(bench.random()() % 3000);
    if (!cellLeader(bench).empty()) {
        singleFaults[bench.random()() % std::size(singleFaults)](bench);
    }
}

/** Submits tasks before, during and after the fault, ends the fault and waits until all tasks have ended. */
void runFaultCase(const FaultCase &faultCase, std::uint64_t seed, const fakes::InjectedDefects &defects, std::vector<std::string> &violations)
{
    constexpr std::size_t threeCentres = 3;
    constexpr std::size_t threeWorkers = 3;
    Bench bench(seed, defects, threeCentres, threeWorkers, faultCase.secondHostsDurable);
    bench.runUntil(
        [&bench] {
            return bench.isSettled();
        },
        10000);
    if (!bench.applyDocument(fakes::benchDocument("dc1"), 0)) {
        violations.push_back("the document did not come into force");
        return;
    }
    bench.run(2000);
    std::size_t number = 0;
    const auto submitTasks = [&](std::size_t count) {
        for (std::size_t i = 0; i < count; ++i, ++number) {
            const std::string key = "k" + std::to_string(number);
            const std::string host = Bench::hostId(1 + bench.random()() % 3, 1 + bench.random()() % 2);
            if (number % 10 == 9) {
                bench.submit(host, task("gang", key), 3);
            } else {
                bench.submit(host, task(number % 2 == 0 ? "idem" : "once", key));
            }
            bench.run(20);
        }
    };
    submitTasks(20);
    faultCase.inject(bench);
    submitTasks(20);
    bench.run(faultCase.durationMs);
    bench.heal();
    submitTasks(10);
    const bool ended = bench.runUntil(
        [&bench] {
            return bench.allEnded();
        },
        90000);
    for (const auto &[key, request] : bench.requests) {
        if (key.rfind("spilled", 0) == 0 && bench.invariants.startedRuns(key) == 0) {
            bench.invariants.add("was not spilled: " + key);
        }
        if (!ended && !request.end && !request.refused) {
            bench.invariants.add("never ended: " + key);
        }
        const bool idempotent = request.spec.service == "production/idem" || request.spec.service == "production/gang";
        if (!faultCase.mayEndTasks && idempotent && request.end && request.end->outcome != wire::Outcome::Answered) {
            bench.invariants.add("idempotent task was not answered: " + key + " "
                                 + std::string(model::reasonInfo(static_cast<model::Reason>(request.end->reason)).name));
        }
    }
    violations = bench.invariants.violations();
}

constexpr std::uint64_t seedsPerCase = 200;

void checkFaultCase(const FaultCase &faultCase)
{
    for (std::uint64_t seed = 1; seed <= seedsPerCase; ++seed) {
        std::vector<std::string> violations;
        runFaultCase(faultCase, seed, {}, violations);
        std::string text;
        for (const std::string &violation : violations) {
            text += violation + "; ";
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(faultCase.name) + " seed " + std::to_string(seed), std::string(), text);
    }
}

/** @return whether any seed of the case leads to a violation. */
bool isDetected(const FaultCase &faultCase, const fakes::InjectedDefects &defects)
{
    for (std::uint64_t seed = 1; seed <= seedsPerCase; ++seed) {
        std::vector<std::string> violations;
        runFaultCase(faultCase, seed, defects, violations);
        if (!violations.empty()) {
            return true;
        }
    }
    return false;
}
}

TEST_CASE(FaultTable, NoFault)
{
    checkFaultCase({"no fault",
                    [](Bench &) {
                    },
                    0});
}

TEST_CASE(FaultTable, LeaderCrashes)
{
    checkFaultCase({"leader crashes", crashLeader, 4000});
}

TEST_CASE(FaultTable, StandbyCrashes)
{
    checkFaultCase({"standby crashes", crashStandby, 4000});
}

TEST_CASE(FaultTable, LeaderPausesLongerThanEveryLease)
{
    checkFaultCase({"leader pauses", pauseLeader, 15000});
}

TEST_CASE(FaultTable, LeaderPausesBriefly)
{
    checkFaultCase({"leader pauses briefly", pauseLeader, 1500});
}

TEST_CASE(FaultTable, LeaderIsCutOff)
{
    checkFaultCase({"leader cut off", isolateLeader, 15000});
}

TEST_CASE(FaultTable, LeaderReceivesButCannotSend)
{
    checkFaultCase({"leader cannot send", cutLeaderOneWay, 8000});
}

TEST_CASE(FaultTable, LeaderSendsButCannotReceive)
{
    checkFaultCase({"leader cannot receive", cutToLeaderOneWay, 8000});
}

TEST_CASE(FaultTable, HomeDataCentreIsCutOff)
{
    checkFaultCase({"home cut off", isolateHome, 10000});
}

TEST_CASE(FaultTable, MessagesLostDoubledReordered)
{
    checkFaultCase({"messages lost", loseMessages, 10000});
}

TEST_CASE(FaultTable, StandbyLosesItsDisk)
{
    checkFaultCase({"standby loses its disk", loseDiskOfStandby, 5000});
}

TEST_CASE(FaultTable, LeaderLosesItsDisk)
{
    checkFaultCase({"leader loses its disk", loseDiskOfLeader, 5000});
}

TEST_CASE(FaultTable, WorkerPausesLongerThanItsLeases)
{
    checkFaultCase({"worker pauses", pauseWorker, 15000});
}

TEST_CASE(FaultTable, WorkersRestart)
{
    checkFaultCase({"workers restart", restartWorkers, 3000});
}

TEST_CASE(FaultTable, AllHostsRestart)
{
    checkFaultCase({"all hosts restart", restartAllHosts, 3000});
}

TEST_CASE(FaultTable, SecondHostLostRightAfterRepair)
{
    checkFaultCase({"second loss", crashTwice, 4000});
}

TEST_CASE(FaultTable, LeaderPausesWhileMessagesAreLost)
{
    checkFaultCase({"leader pauses, messages lost", pauseLeaderAndLoseMessages, 9000});
}

TEST_CASE(FaultTable, LeaderCutOffWhileWorkersRestart)
{
    checkFaultCase({"leader cut off, workers restart", isolateLeaderAndRestartWorkers, 9000});
}

TEST_CASE(FaultTable, CancellationWave)
{
    checkFaultCase({"cancellation wave", cancelEverything, 1000, true, true});
}

TEST_CASE(FaultTable, LeaderIsCutOffTogetherWithAWorker)
{
    checkFaultCase({"leader cut off with a worker", isolateLeaderWithAWorker, 25000});
}

TEST_CASE(FaultTable, WorkIsHandedToOtherDataCentres)
{
    checkFaultCase({"spill", loseHomeWorkers, 4000});
}

TEST_CASE(FaultTable, LeaderCrashesWhileWorkIsHandedOver)
{
    checkFaultCase({"spill, leader crashes", loseHomeWorkersAndLeader, 4000});
}

TEST_CASE(FaultTable, MessagesLostWhileWorkIsHandedOver)
{
    checkFaultCase({"spill, messages lost", loseHomeWorkersAndMessages, 4000});
}

TEST_CASE(FaultTable, HomeIsCutOffWhileWorkIsHandedOver)
{
    checkFaultCase({"spill, home cut off", loseHomeWorkersAndLinks, 8000});
}

TEST_CASE(FaultTable, LeaderAndWitnessCrash)
{
    checkFaultCase({"leader and witness crash", crashLeaderAndWitness, 6000});
}

TEST_CASE(FaultTable, StandbyCrashesWhileHomeIsCutOff)
{
    checkFaultCase({"standby crashes, home cut off", crashStandbyAndCutHome, 6000});
}

TEST_CASE(FaultTable, ReplacementLosesItsOnlyPeer)
{
    checkFaultCase({"disk lost, then the other host", loseDiskThenCrashOther, 5000});
}

TEST_CASE(FaultTable, TwoRandomFaultsTogether)
{
    checkFaultCase({"any two", injectTwoFaults, 6000});
}

TEST_CASE(FaultTable, HostWithoutADiskCrashes)
{
    checkFaultCase({"host without a disk crashes",
                    [](Bench &bench) {
                        bench.crash("h1-2");
                    },
                    3000,
                    false});
}

TEST_CASE(FaultTable, OnlyDurableHostOfADataCentreCrashes)
{
    checkFaultCase({"the host with the disk crashes",
                    [](Bench &bench) {
                        bench.crash("h1-1");
                    },
                    6000,
                    false});
}

TEST_CASE(FaultTable, AllHostsRestartAndHalfHaveNoDisk)
{
    checkFaultCase({"all hosts restart, half have no disk", restartAllHosts, 3000, false});
}

TEST_CASE(FaultTable, CheckerCatchesFencingOff)
{
    fakes::InjectedDefects defects;
    defects.fencingDisabled = true;
    CHECK(isDetected({"leader cut off", isolateLeader, 15000}, defects));
}

TEST_CASE(FaultTable, CheckerCatchesForgottenVote)
{
    fakes::InjectedDefects defects;
    defects.voteLost = true;
    CHECK(isDetected({"all hosts restart", restartAllHosts, 3000}, defects));
}

TEST_CASE(FaultTable, CheckerCatchesSkippedSync)
{
    fakes::InjectedDefects defects;
    defects.syncSkipped = true;
    CHECK(isDetected({"all hosts restart", restartAllHosts, 3000}, defects));
}
