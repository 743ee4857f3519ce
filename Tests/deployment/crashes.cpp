#include "deployment/fleettesting.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::FakeUpstream;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
using fakes::withUpstreams;

/** Time within which a crashing job must be given up. */
constexpr std::uint64_t giveUpMs = 60000;
/** Number of crashes at which a task must be given up whose starts were answered. */
constexpr std::uint64_t maxCrashes = 4;
/** The same for starts without an answer, and for runs that the leader inherited: the upstream may have crashed before they began. */
constexpr std::uint64_t maxPossibleCrashes = 5;

/** @param newId whether a crashed upstream comes back as a new one. @param delayMs time between the start of a crashing task and the crash. @return the options
 * of a fleet. */
FleetOptions withCrashes(bool newId, std::uint64_t delayMs)
{
    FleetOptions options = withUpstreams(8);
    options.newIdAfterCrash = newId;
    options.crashDelayMs = delayMs;
    return options;
}

/** Submits a job whose tasks crash the upstreams that start them. */
void submitCrashing(Fleet &fleet, const std::string &id, const wire::StepSpecT &step)
{
    fleet.crashingJobs.insert(id);
    fleet.submit("/0/" + id, {step});
}

/** Runs until a job is shown as failed. @return whether it is shown so in time. */
bool isGivenUp(Fleet &fleet, const std::string &path)
{
    constexpr std::uint64_t intervalMs = 100;
    const std::uint64_t untilMs = fleet.nowMs + giveUpMs;
    while (fleet.nowMs < untilMs) {
        if (fleet.phase(path) == job::Phase::Failed) {
            return true;
        }
        fleet.run(intervalMs);
    }
    return false;
}

/** Checks that a job is given up and not started again. */
void checkGivenUp(Fleet &fleet, const std::string &path)
{
    const bool givenUp = isGivenUp(fleet, path);
    const std::uint64_t crashesBefore = fleet.crashesByTasks;
    constexpr std::uint64_t afterwardsMs = 20000; // Longer than the leases.
    fleet.run(afterwardsMs);
    checkGuarantees(fleet);
    CHECK(givenUp);
    CHECK_EQUAL(crashesBefore, fleet.crashesByTasks);
}

/** Checks that a single crashing task is given up after a few crashes. */
void checkSingleTaskIsGivenUp(const FleetOptions &options)
{
    Fleet fleet(options);
    prepare(fleet);
    submitCrashing(fleet, "bad", makeStep(1, 1000, 5000));
    checkGivenUp(fleet, "/0/bad");
    CHECK(fleet.crashesByTasks > 0 && fleet.crashesByTasks <= (options.crashDelayMs == 0 ? maxPossibleCrashes : maxCrashes));
}

/** Kills hosts and starts their processes again. */
void restartHosts(Fleet &fleet, const std::vector<fakes::FakeHost *> &hosts)
{
    for (fakes::FakeHost *host : hosts) {
        CHECK(host != nullptr);
        fleet.kill(*host);
    }
    fleet.run(500);
    for (fakes::FakeHost *host : hosts) {
        fleet.start(*host);
    }
}

std::vector<fakes::FakeHost *> controlHosts(Fleet &fleet)
{
    std::vector<fakes::FakeHost *> hosts;
    for (fakes::FakeHost &host : fleet.hosts) {
        if (host.control) {
            hosts.push_back(&host);
        }
    }
    return hosts;
}

/** Restarts hosts at each start that follows a crash, and checks that the crashes before are counted. */
void checkCrashesAreStored(bool newId, bool allHosts)
{
    constexpr std::uint64_t delayMs = 1000;
    Fleet fleet(withCrashes(newId, delayMs));
    prepare(fleet);
    submitCrashing(fleet, "bad", makeStep(1, 1000, 5000));
    for (const std::uint64_t starts : {2, 3}) {
        const bool started = fleet.runUntil(
            [&] {
                return fleet.starts >= starts;
            },
            30000);
        if (started) { // The job may be given up after two crashes.
            restartHosts(fleet, allHosts ? controlHosts(fleet) : std::vector{fleet.leader()});
        }
    }
    checkGivenUp(fleet, "/0/bad");
    CHECK(fleet.crashesByTasks >= 2 && fleet.crashesByTasks <= maxPossibleCrashes);
}

/** @return the upstream that runs a task; null if there is none. */
FakeUpstream *upstreamOf(Fleet &fleet, const std::string &task)
{
    const auto found = std::find_if(fleet.upstreams.begin(), fleet.upstreams.end(), [&task](const FakeUpstream &upstream) {
        return upstream.alive && upstream.reachable && !upstream.draining && upstream.runs.count(task) > 0;
    });
    return found == fleet.upstreams.end() ? nullptr : &*found;
}

/** Ends the runs of a task several times, and checks that its job completes nevertheless. @param end ends the run of the task on an upstream. */
void checkIsNotGivenUp(const std::function<void(Fleet &, FakeUpstream &)> &end)
{
    Fleet fleet(withUpstreams(8));
    prepare(fleet);
    fleet.submit("/0/j1", {makeStep(1, 1000, 20000)});
    for (std::uint64_t round = 0; round <= maxCrashes; ++round) {
        CHECK(fleet.runUntil(
            [&] {
                return upstreamOf(fleet, "j1.0.0.0") != nullptr;
            },
            30000));
        fleet.run(1000);
        FakeUpstream *upstream = upstreamOf(fleet, "j1.0.0.0");
        CHECK(upstream != nullptr);
        end(fleet, *upstream);
    }
    CHECK(completes(fleet, "/0/j1", 20000));
    checkGuarantees(fleet);
}

/** Runs ordinary jobs beside a crashing one and checks that all of them complete. */
void checkOthersComplete(const FleetOptions &options, const wire::StepSpecT &crashing)
{
    Fleet fleet(options);
    prepare(fleet);
    constexpr int jobs = 24;
    for (int i = 0; i < jobs; ++i) {
        fleet.submit("/0/good" + std::to_string(i), {makeStep(4, 3000, 2500)});
        if (i == 2) {
            submitCrashing(fleet, "bad", crashing);
        }
        fleet.run(500);
    }
    checkGivenUp(fleet, "/0/bad");
    for (int i = 0; i < jobs; ++i) {
        CPPUNIT_ASSERT_MESSAGE("job " + std::to_string(i), fleet.phase("/0/good" + std::to_string(i)) == job::Phase::Completed);
    }
}

}

/** A task that crashes each upstream that starts it was started again without a bound. */
TEST_CASE(Deployment, ACrashingTaskIsGivenUp)
{
    checkSingleTaskIsGivenUp(withCrashes(false, 0));
}

/** The crashes weren't counted where the upstream came back under another id. */
TEST_CASE(Deployment, ACrashingTaskIsGivenUpWhereUpstreamsReturnAsNewOnes)
{
    checkSingleTaskIsGivenUp(withCrashes(true, 0));
}

/** The crashes weren't counted where the runs were lost with their leases, before the upstream was back. */
TEST_CASE(Deployment, ACrashingTaskIsGivenUpWhereUpstreamsReturnAfterTheirLeases)
{
    for (const bool newId : {false, true}) {
        FleetOptions options = withCrashes(newId, 0);
        options.crashedForMs = 12000;
        checkSingleTaskIsGivenUp(options);
    }
}

/** The crashes weren't counted where the start was answered and the run was confirmed before the crash. */
TEST_CASE(Deployment, ATaskThatCrashesSomeTimeAfterItsStartIsGivenUp)
{
    for (const std::uint64_t delayMs : {10, 100, 1500, 4000}) {
        checkSingleTaskIsGivenUp(withCrashes(false, delayMs));
        checkSingleTaskIsGivenUp(withCrashes(true, delayMs));
    }
}

/** The crashes weren't counted where a courier delivered the start. */
TEST_CASE(Deployment, ACrashingTaskIsGivenUpThroughCouriers)
{
    for (const bool newId : {false, true}) {
        FleetOptions options = withCrashes(newId, 0);
        options.minUpstreamsForCouriers = 1;
        options.entryHosts = 3;
        checkSingleTaskIsGivenUp(options);
    }
}

/** Each start of a gang crashed all upstreams of its members, and the gang was started again without a bound. */
TEST_CASE(Deployment, ACrashingGangIsGivenUp)
{
    for (const std::uint64_t delayMs : {0, 300}) {
        Fleet fleet(withCrashes(false, delayMs));
        prepare(fleet);
        wire::StepSpecT gang = makeStep(8, 5000, 5000); // Three members fit on an upstream.
        gang.gang = true;
        submitCrashing(fleet, "bad", gang);
        checkGivenUp(fleet, "/0/bad");
    }
}

/** The crashes are counted by task: each task of a wide step crashed upstreams until its own count was used up, or without a bound. */
TEST_CASE(Deployment, ACrashingStepOfManyTasksIsGivenUp)
{
    for (const std::uint64_t delayMs : {0, 300}) {
        Fleet fleet(withCrashes(false, delayMs));
        prepare(fleet);
        submitCrashing(fleet, "bad", makeStep(10, 2000, 5000));
        checkGivenUp(fleet, "/0/bad");
    }
}

/** A leader that took over right after a crash started the crashing task again without a bound. */
TEST_CASE(Deployment, ACrashingTaskIsGivenUpAcrossFailOvers)
{
    for (const bool newId : {false, true}) {
        Fleet fleet(withCrashes(newId, 0));
        prepare(fleet);
        submitCrashing(fleet, "bad", makeStep(1, 1000, 5000));
        for (const std::uint64_t crashes : {1, 2}) {
            CHECK(fleet.runUntil(
                [&] {
                    return fleet.crashesByTasks >= crashes;
                },
                20000));
            restartHosts(fleet, {fleet.leader()});
        }
        checkGivenUp(fleet, "/0/bad");
    }
}

/** A new leader counted the crashes of a task anew. */
TEST_CASE(Deployment, TheNumberOfCrashesSurvivesAFailOver)
{
    checkCrashesAreStored(false, false);
    checkCrashesAreStored(true, false);
}

/** The number of crashes wasn't on the disks, and was lost with the processes. */
TEST_CASE(Deployment, TheNumberOfCrashesSurvivesARestartOfAllControlHosts)
{
    checkCrashesAreStored(false, true);
    checkCrashesAreStored(true, true);
}

/** Tasks of other jobs ran on the upstreams that a task crashed, and were failed with it or held up. */
TEST_CASE(Deployment, OtherJobsCompleteBesideACrashingTask)
{
    for (const std::uint64_t delayMs : {0, 800}) {
        checkOthersComplete(withCrashes(false, delayMs), makeStep(1, 1000, 5000));
    }
}

/** Many crashing tasks at once: tasks of other jobs lost their upstreams several times and were failed. */
TEST_CASE(Deployment, OtherJobsCompleteBesideACrashingStepOfManyTasks)
{
    for (const std::uint64_t delayMs : {0, 800}) {
        FleetOptions options = withCrashes(false, delayMs);
        options.upstreams = 16;
        checkOthersComplete(options, makeStep(10, 2000, 5000));
    }
}

/** A crash that a task didn't cause must not fail its job. */
TEST_CASE(Deployment, TasksCompleteAfterOneCrash)
{
    Fleet fleet(withUpstreams(8));
    prepare(fleet);
    fleet.submit("/0/j1", {makeStep(8, 10000, 4000)});
    wire::StepSpecT gang = makeStep(8, 6000, 4000);
    gang.gang = true;
    fleet.submit("/0/gang", {gang});
    fleet.run(1500);
    CHECK_EQUAL(std::uint64_t{16}, fleet.starts);
    fleet.crash(fleet.upstreams[2]);
    fleet.run(3000);
    fleet.restart(fleet.upstreams[2]);
    CHECK(completes(fleet, "/0/j1", 30000));
    CHECK(completes(fleet, "/0/gang", 30000));
    checkGuarantees(fleet);
}

/** A run that is lost with the lease of an unreachable upstream is no crash: its task must not be given up. */
TEST_CASE(Deployment, ATaskOfUnreachableUpstreamsIsNotGivenUp)
{
    checkIsNotGivenUp([](Fleet &fleet, FakeUpstream &upstream) {
        upstream.reachable = false;
        fleet.run(16000); // Longer than its leases.
        upstream.reachable = true;
    });
}

namespace
{
/** @return number of tasks of a job that are at work. */
std::size_t tasksAtWork(const Fleet &fleet, const std::string &job)
{
    std::size_t count = 0;
    for (const FakeUpstream &upstream : fleet.upstreams) {
        count += static_cast<std::size_t>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&job](const auto &entry) {
            return entry.second.job == job;
        }));
    }
    return count;
}

/** Crashes the same third of the upstreams twice and checks that all tasks of a wide step are at work again soon. */
void checkWideStepAfterMassCrashes(bool longRunning)
{
    constexpr std::uint32_t tasks = 240;
    constexpr std::size_t lost = 8;
    constexpr std::uint64_t atWorkAgainMs = 9000; // Three seconds of spare capacity, and six for tasks that run until they are cancelled.
    Fleet fleet(withUpstreams(3 * lost));
    prepare(fleet);
    wire::StepSpecT step = makeStep(tasks, 1000, 600000);
    step.longRunning = longRunning;
    fleet.submit("/0/wide", {step});
    const auto allAtWork = [&fleet] {
        return tasksAtWork(fleet, "wide") == tasks;
    };
    CHECK(fleet.runUntil(allAtWork, 20000));
    for (int loss = 0; loss < 2; ++loss) {
        fleet.run(6000);
        for (std::size_t i = 0; i < lost; ++i) {
            fleet.crash(fleet.upstreams[i]);
        }
        fleet.run(3000);
        for (std::size_t i = 0; i < lost; ++i) {
            fleet.restart(fleet.upstreams[i]);
        }
    }
    CHECK(fleet.runUntil(allAtWork, atWorkAgainMs));
    checkGuarantees(fleet);
}
}

/** Tasks that had lost two upstreams by chance were tried one at a time, and a wide step was incomplete for minutes. */
TEST_CASE(Deployment, AWideStepIsAtWorkAgainAfterTwoMassCrashes)
{
    checkWideStepAfterMassCrashes(false);
    checkWideStepAfterMassCrashes(true);
}

/** Starts that were sent to an upstream that had just crashed, and never arrived, failed an ordinary job. */
TEST_CASE(Deployment, StartsThatNeverArrivedDoNotFailAJob)
{
    Fleet fleet(withUpstreams(3));
    prepare(fleet);
    fleet.submit("/0/j1", {makeStep(1, 1000, 4000)});
    for (std::uint32_t run = 1; run <= maxCrashes; ++run) {
        upstream::UpstreamState *target = nullptr;
        const auto isPlaced = [&] {
            deployment::Leader &leader = fleet.leader()->host->leader;
            for (const auto &[task, number] : leader.placements) {
                upstream::UpstreamState &state = leader.upstreams.at(number);
                const upstream::Run &placed = state.runs.at(task);
                target = placed.number == run && placed.phase == upstream::RunPhase::Recording ? &state : target;
            }
            return target != nullptr;
        };
        for (int ms = 0; ms < 20000 && !isPlaced(); ++ms) {
            fleet.run(1);
        }
        CHECK(target != nullptr);
        FakeUpstream &upstream = *std::find_if(fleet.upstreams.begin(), fleet.upstreams.end(), [&](const FakeUpstream &other) {
            return other.address == target->registration.address;
        });
        fleet.crash(upstream); // Before the start is sent.
        fleet.run(3000);
        fleet.restart(upstream);
    }
    CHECK(completes(fleet, "/0/j1", 30000));
    checkGuarantees(fleet);
}

/** An upstream that ends after it was drained hasn't crashed: the tasks that it ran must not be given up. */
TEST_CASE(Deployment, ATaskOfDrainedUpstreamsIsNotGivenUp)
{
    checkIsNotGivenUp([](Fleet &fleet, FakeUpstream &upstream) {
        upstream.draining = true;
        fleet.run(5000);
        fleet.crash(upstream);
        fleet.run(3000);
        upstream.draining = false;
        fleet.restart(upstream);
    });
}

/** A job that is shown as failed without a cause must be reported. */
TEST_CASE(Deployment, TheFleetReportsAJobThatFailedWithoutACause)
{
    Fleet fleet(withUpstreams(8));
    prepare(fleet);
    fleet.submit("/0/j1", {makeStep(1, 1000, 60000)});
    fleet.run(1500);
    fakes::FakeHost *leader = fleet.leader();
    CHECK(leader != nullptr);
    std::map<std::uint64_t, job::Job> &jobs = leader->host->state.jobs;
    CHECK_EQUAL(std::size_t{1}, jobs.size());
    jobs.begin()->second.phase = job::Phase::Failed;
    fleet.crash(*std::find_if(fleet.upstreams.begin(), fleet.upstreams.end(), [](const FakeUpstream &upstream) {
        return !upstream.runs.empty();
    }));
    fleet.checkFailedJobs();
    CHECK_TEXT("LOST failed j1\n", violationsText(fleet));
}

/** A member of a gang that is started after the end of another member was acknowledged as done must be reported. */
TEST_CASE(Deployment, TheFleetReportsAGangMemberThatStartsAfterItsGangIsDone)
{
    FleetOptions options = withUpstreams(2);
    options.cpuMillis = 5000;
    Fleet fleet(options);
    prepare(fleet);
    wire::StepSpecT gang = makeStep(2, 4000, 2000);
    gang.gang = true;
    wire::StepSpecT second = makeStep(1, 1000, 60000);
    second.after = {0};
    fleet.submit("/0/j1", {gang, second});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.starts == 2;
        },
        2000));
    fleet.run(1000);
    fleet.upstreams[1].reachable = false; // The end of its member is never listed.
    const job::TaskRef member = fleet.upstreams[1].runs.begin()->second.task;
    fleet.run(3000);
    fleet.upstreams[1].reachable = true;
    fleet.restart(fleet.upstreams[1]);
    fleet.run(3000);
    CHECK_TEXT("", violationsText(fleet));

    deployment::Host &host = *fleet.leader()->host;
    upstream::Run run;
    run.task = member;
    run.task.job = host.state.jobs.begin()->first;
    run.number = 2;
    job::Task &task = host.state.jobs.begin()->second.occurrences.at(0).steps[0].tasks[member.index];
    task.done = false; // The leader doesn't start a task that is done.
    task.run = task.activeRun = run.number;
    run.phase = upstream::RunPhase::Starting;
    const std::uint32_t number = host.leader.upstreamNumbers.at(fleet.upstreams[1].id);
    host.leader.placements[run.task] = number;
    upstream::addRun(host.leader.upstreams.at(number), run);
    fleet.run(500);
    CHECK_EQUAL(std::size_t{1}, fleet.violations.size());
    CHECK_TEXT("TWICE done j1.0.0." + std::to_string(member.index), fleet.violations.front().substr(0, std::string("TWICE done j1.0.0.0").size()));
}
