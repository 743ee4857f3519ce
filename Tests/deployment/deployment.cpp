#include "deployment/fleettesting.h"

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
}

TEST_CASE(Deployment, FoundsOneGroupFromSeeds)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    std::size_t voters = 0;
    for (const auto &member : fleet.leader()->host->node->membership.members) {
        voters += member->role == wire::MemberRole::Voter ? 1 : 0;
    }
    CHECK_EQUAL(std::size_t{3}, voters);
}

TEST_CASE(Deployment, ServesAJobOfTwoSteps)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    wire::StepSpecT second = makeStep(2, 1000, 500);
    second.after = {0};
    const auto token = fleet.submit("/0/j1", {makeStep(3, 1000, 500), second});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.answer(token).answered;
        },
        3000));
    CHECK_EQUAL(0, static_cast<int>(fleet.answer(token).reply.error));
    CHECK(completes(fleet, "/0/j1", 8000));
    CHECK_TEXT("", violationsText(fleet));
    CHECK_EQUAL(std::uint64_t{5}, fleet.starts);
}

TEST_CASE(Deployment, ARepeatedSubmissionIsOneJob)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    const auto again = fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    fleet.run(3000);
    const auto late = fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    fleet.run(2000);
    CHECK_EQUAL(0, static_cast<int>(fleet.answer(again).reply.error));
    CHECK(fleet.answer(late).answered);
    CHECK_EQUAL(std::uint64_t{1}, fleet.starts);
}

/** The leader forgot ended jobs by its wall clock. When that was set ahead, a repeated submission ran again. */
TEST_CASE(Deployment, ARepeatedSubmissionIsOneJobAfterTheClockWasSet)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    CHECK(completes(fleet, "/0/j1", 3000));
    constexpr std::int64_t hourMs = 3600000;
    for (fakes::FakeHost &host : fleet.hosts) {
        host.wallAheadMs = hourMs;
    }
    fleet.run(3000);
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    CHECK(completes(fleet, "/0/j1", 3000));
    CHECK_EQUAL(std::uint64_t{1}, fleet.starts);
    CHECK_TEXT("", violationsText(fleet));
}

/** Ended jobs are forgotten in the end, by a leader's own clock. */
TEST_CASE(Deployment, EndedJobsAreForgotten)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    CHECK(completes(fleet, "/0/j1", 3000));
    constexpr std::uint64_t statusMs = 120000;
    fleet.run(statusMs);
    CHECK(fleet.phase("/0/j1") == job::Phase::Completed);
    fleet.run(statusMs);
    CHECK(!fleet.phase("/0/j1"));
    CHECK(fleet.leader()->host->leader.endedSinceMs.empty());
}

TEST_CASE(Deployment, RefusesBeforeTheFirstPlanAndUnknownQueuesAndJobs)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    const auto early = fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    fleet.run(1000);
    CHECK_EQUAL(static_cast<int>(model::Reason::ConfigNotLearnt), static_cast<int>(fleet.answer(early).reply.error));
    CHECK(fleet.putPlan(1, 2, false));
    const auto unknown = fleet.sendRequest(wire::Operation::JobQuery, "/9/j1");
    const auto nobody = fleet.sendRequest(wire::Operation::JobQuery, "/0/nobody");
    fleet.run(1000);
    CHECK_EQUAL(static_cast<int>(model::Reason::UnknownQueue), static_cast<int>(fleet.answer(unknown).reply.error));
    CHECK_EQUAL(static_cast<int>(model::Reason::UnknownJob), static_cast<int>(fleet.answer(nobody).reply.error));
}

TEST_CASE(Deployment, AGangStartsTogetherOrWaits)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    wire::StepSpecT gang = makeStep(20, 6000, 1000); // Two per upstream, so at most 16 at a time: it never fits.
    gang.gang = true;
    fleet.submit("/0/wide", {gang});
    gang.count = 10;
    fleet.submit("/0/fits", {gang});
    CHECK(completes(fleet, "/0/fits", 8000));
    CHECK(fleet.phase("/0/wide") == job::Phase::Queued);
    CHECK_EQUAL(std::uint64_t{10}, fleet.starts);
    CHECK_EQUAL(std::uint64_t{0}, fleet.aloneEnds);
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, AJobThatAlwaysFailsEndsAfterItsAttempts)
{
    FleetOptions options;
    options.failShare = 1;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 3, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 200)});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.phase("/0/j1") == job::Phase::Failed;
        },
        10000));
    CHECK_EQUAL(std::uint64_t{3}, fleet.starts);
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, ACancelStopsTheRuns)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(4, 1000, 60000)});
    fleet.run(2000);
    const auto cancel = fleet.sendRequest(wire::Operation::JobCancel, "/0/j1");
    fleet.run(1500);
    CHECK(fleet.answer(cancel).answered);
    CHECK(fleet.phase("/0/j1") == job::Phase::Cancelled);
    for (const fakes::FakeUpstream &upstream : fleet.upstreams) {
        CHECK(upstream.runs.empty());
    }
}

TEST_CASE(Deployment, ANewLeaderAdoptsActiveRuns)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(6, 1000, 6000)});
    fleet.run(1500);
    CHECK_EQUAL(std::uint64_t{6}, fleet.starts);
    fleet.kill(*fleet.leader());
    CHECK(completes(fleet, "/0/j1", 15000));
    CHECK_EQUAL(std::uint64_t{6}, fleet.starts); // No run was started again.
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, ASuspendedLeaderSendsNoStaleOrdersAfterResuming)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    for (int i = 0; i < 20; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(4, 2000, 1500)});
        fleet.run(60);
    }
    fleet.suspend(*fleet.leader(), 6000);
    fleet.run(20000);
    for (int i = 0; i < 20; ++i) {
        CHECK(completes(fleet, "/0/j" + std::to_string(i), 20000));
    }
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, AHostThatLostItsDiskRejoinsAsANewMember)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    for (int i = 0; i < 30; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(2, 1000, 500)});
        fleet.run(50);
    }
    for (int round = 0; round < 3; ++round) {
        fakes::FakeHost &lost = *fleet.leader();
        fleet.kill(lost, true);
        fleet.run(1000);
        fleet.start(lost);
        fleet.run(8000); // Time to restore the membership before the next loss.
    }
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        5000));
    for (int i = 0; i < 30; ++i) {
        CHECK(completes(fleet, "/0/j" + std::to_string(i), 20000));
    }
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, WorkOfALostUpstreamRunsAgainAfterItsLease)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(8, 12000, 4000)});
    fleet.run(1500);
    CHECK_EQUAL(std::uint64_t{8}, fleet.starts);
    fleet.upstreams[0].reachable = false; // Its run continues until the lease ends.
    CHECK(completes(fleet, "/0/j1", 25000));
    CHECK_EQUAL(std::uint64_t{9}, fleet.starts);
    CHECK_TEXT("", violationsText(fleet));
}

/** An end as done of a run that was replaced was dropped without a trace, so that logs and metrics didn't show that a task may have been carried out twice. */
TEST_CASE(Deployment, ADoneEndOfAReplacedRunIsCounted)
{
    Fleet fleet(fakes::withUpstreams(2));
    prepare(fleet);
    wire::StepSpecT second = makeStep(1, 1000, 20000); // The state of the first step is kept until the job has ended.
    second.after = {0};
    fleet.submit("/0/j", {makeStep(1, 1000, 2000), second});
    fleet.run(500);
    fakes::FakeUpstream &first = fleet.upstreams[fleet.upstreams[0].runs.empty() ? 1 : 0];
    first.reachable = false;
    constexpr std::uint64_t startsUntilSecondStep = 3;
    CHECK(fleet.runUntil(
        [&] {
            return fleet.starts == startsUntilSecondStep;
        },
        20000));
    CHECK_EQUAL(std::uint64_t{0}, fleet.leader()->host->leader.counters.endsAfterReplacement);
    first.reachable = true;
    fleet.run(5000);
    CHECK_EQUAL(std::uint64_t{1}, fleet.leader()->host->leader.counters.endsAfterReplacement);
    CHECK_TEXT("", violationsText(fleet)); // Its lease was over in between.
}

TEST_CASE(Deployment, AnUpstreamThatRestartsLosesOnlyItsOwnRuns)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(8, 12000, 4000)});
    fleet.run(1500);
    fleet.restart(fleet.upstreams[2]);
    CHECK(completes(fleet, "/0/j1", 15000));
    CHECK_EQUAL(std::uint64_t{9}, fleet.starts);
    CHECK_TEXT("", violationsText(fleet));
}

TEST_CASE(Deployment, ADrainingUpstreamGetsNothingNew)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.upstreams[0].draining = true;
    fleet.run(2000);
    for (int i = 0; i < 8; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(4, 3000, 1000)});
    }
    for (int i = 0; i < 40; ++i) {
        fleet.run(100);
        CHECK(fleet.upstreams[0].runs.empty());
    }
}

TEST_CASE(Deployment, TheHighestPlanVersionSurvivesAFailover)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    for (int i = 0; i < 5; ++i) {
        CHECK(fleet.putPlan(static_cast<std::uint32_t>(1 + i), 2, false));
    }
    fleet.kill(*fleet.leader());
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        6000));
    CHECK_EQUAL(std::uint64_t{5}, fleet.leader()->host->state.plan.version);
    CHECK_EQUAL(std::size_t{5}, fleet.leader()->host->state.plan.queues.size());
}

namespace
{
FleetOptions withCouriers()
{
    FleetOptions options;
    options.minUpstreamsForCouriers = 1;
    options.entryHosts = 3;
    return options;
}

/** Cuts an upstream off from all control hosts; entry hosts still reach it. */
void partitionFromControl(Fleet &fleet, const std::string &upstream, bool partitioned)
{
    for (std::uint32_t i = 0; i < fleet.options.controlHosts; ++i) {
        fleet.setPartitioned("c" + std::to_string(i), upstream, partitioned);
    }
}
}

/** A leader was suspended between a placement and its commit. Resumed without its lease, it sent the start to an upstream that had restarted meanwhile and had
 * seen no fence, although its successor had completed the task. */
TEST_CASE(Deployment, AResumedLeaderWithoutItsLeaseSendsNoOrders)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/j1", {makeStep(1, 1000, 500)});
    fakes::FakeHost &first = *fleet.leader();
    CHECK(fleet.runUntil(
        [&] {
            return !first.host->leader.placements.empty();
        },
        1000));
    CHECK_EQUAL(std::uint64_t{0}, fleet.starts);
    constexpr std::uint64_t suspensionMs = 8000;
    constexpr std::uint64_t restartBeforeMs = 30;
    const std::uint64_t resumesMs = fleet.nowMs + suspensionMs;
    fleet.suspend(first, suspensionMs);
    fleet.run(4000);
    CHECK(fleet.leader() != nullptr && fleet.leader()->id != first.id);
    CHECK(completes(fleet, "/0/j1", 2000));
    fleet.run(resumesMs - restartBeforeMs - fleet.nowMs);
    for (fakes::FakeUpstream &upstream : fleet.upstreams) {
        fleet.restart(upstream);
    }
    fleet.run(2000);
    CHECK_TEXT("", violationsText(fleet));
    CHECK_EQUAL(std::uint64_t{1}, fleet.starts);
}

/** An upstream restarted while only couriers reached it, so the leader didn't know. The acknowledgement of the earlier process's ends made the new one forget
 * the end of a run, which was then run again. */
TEST_CASE(Deployment, AnAcknowledgementIsNotAppliedByALaterProcess)
{
    FleetOptions options = withCouriers();
    options.upstreams = 1;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    for (int i = 0; i < 4; ++i) {
        fleet.submit("/0/before" + std::to_string(i), {makeStep(1, 1000, 300)});
    }
    fleet.run(2500);
    CHECK_EQUAL(std::uint64_t{4}, fleet.starts);
    partitionFromControl(fleet, "u0", true);
    fleet.restart(fleet.upstreams[0]);
    fleet.submit("/0/after", {makeStep(1, 1000, 400)});
    fleet.run(3000);
    partitionFromControl(fleet, "u0", false);
    CHECK(completes(fleet, "/0/after", 15000));
    CHECK_TEXT("", violationsText(fleet));
}

/** A start reached a restarted upstream of which the leader didn't know. That process limits leases to the longest allowed, which exceeds what the leader had
 * granted the earlier one; the task was started again elsewhere while it was still running. */
TEST_CASE(Deployment, ARunOnAnUnknownProcessIsNotReplacedBeforeTheLongestLease)
{
    FleetOptions options = withCouriers();
    options.upstreams = 2;
    options.cpuMillis = 4000;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/fill", {makeStep(1, 4000, 60000)}); // Occupies one of the upstreams.
    fleet.run(1500);
    fakes::FakeUpstream &target = fleet.upstreams[fleet.upstreams[0].runs.empty() ? 0 : 1];
    partitionFromControl(fleet, target.id, true);
    fleet.restart(target);
    fleet.submit("/0/j1", {makeStep(1, 4000, 30000)});
    CHECK(fleet.runUntil(
        [&] {
            return !target.runs.empty();
        },
        1500));
    target.reachable = false;
    fleet.sendRequest(wire::Operation::JobCancel, "/0/fill"); // Leaves room for the task to be started again.
    fleet.run(20000);
    CHECK_TEXT("", violationsText(fleet));
    CHECK(fleet.starts >= 3);
}

namespace
{
/** @return the options of a fleet with couriers and two upstreams, each with capacity for one task of four cores. */
FleetOptions twoSmallUpstreams()
{
    FleetOptions options = withCouriers();
    options.upstreams = 2;
    options.cpuMillis = 4000;
    return options;
}

/** Occupies one of two upstreams and completes a short job on the other, whose start was sent before the leader knew that its process had been replaced.
 * @return the latter upstream. */
fakes::FakeUpstream &startOnUnknownProcess(Fleet &fleet)
{
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/fill", {makeStep(1, 4000, 60000)}); // Occupies one of the upstreams.
    fleet.run(1500);
    fakes::FakeUpstream &target = fleet.upstreams[fleet.upstreams[0].runs.empty() ? 0 : 1];
    partitionFromControl(fleet, target.id, true);
    fleet.restart(target);
    fleet.submit("/0/j1", {makeStep(1, 4000, 200)});
    CHECK(fleet.runUntil(
        [&] {
            return !target.runs.empty();
        },
        1500));
    partitionFromControl(fleet, target.id, false);
    CHECK(completes(fleet, "/0/j1", 5000));
    return target;
}
}

/** An upstream took a start before the leader knew of its process, which limits that lease to the longest allowed. Runs started there later last as long, but
 * the leader counted the leases that it had granted itself, and started a task again elsewhere while it was still running. */
TEST_CASE(Deployment, ARunOutlastsTheLeaseThatItsProcessTookBeforeItWasRegistered)
{
    Fleet fleet(twoSmallUpstreams());
    fakes::FakeUpstream &target = startOnUnknownProcess(fleet);
    fleet.submit("/0/j2", {makeStep(1, 4000, 30000)});
    CHECK(fleet.runUntil(
        [&] {
            return !target.runs.empty();
        },
        1500));
    target.reachable = false;
    fleet.sendRequest(wire::Operation::JobCancel, "/0/fill"); // Leaves room for the task to be started again.
    fleet.run(20000);
    CHECK_TEXT("", violationsText(fleet));
    CHECK(fleet.starts >= 4);
}

/** As above, but the leader that had sent the start was lost after it had recorded the end. Its successor inherited no run there and counted its own leases. */
TEST_CASE(Deployment, ANewLeaderAllowsForLeasesOfUpstreamsWithoutRuns)
{
    Fleet fleet(twoSmallUpstreams());
    fakes::FakeUpstream &target = startOnUnknownProcess(fleet);
    fleet.kill(*fleet.leader());
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        6000));
    fleet.submit("/0/j2", {makeStep(1, 4000, 30000)});
    CHECK(fleet.runUntil(
        [&] {
            return !target.runs.empty();
        },
        3000));
    target.reachable = false;
    fleet.sendRequest(wire::Operation::JobCancel, "/0/fill"); // Leaves room for the task to be started again.
    fleet.run(20000);
    CHECK_TEXT("", violationsText(fleet));
    CHECK(fleet.starts >= 4);
}

/** The start of a gang's member got no answer, and the gang was done before it was listed. The start was sent again, to a process that had taken the upstream's
 * place and knew nothing of the gang. */
TEST_CASE(Deployment, TheStartOfAGangMemberIsNotSentAgainOnceTheGangIsDone)
{
    FleetOptions options;
    options.upstreams = 2;
    options.cpuMillis = 4000;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    wire::StepSpecT gang = makeStep(2, 4000, 100);
    gang.gang = true;
    wire::StepSpecT second = makeStep(1, 1000, 9000);
    second.after = {0};
    fleet.submit("/0/j1", {gang, second});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.startsSent == 2;
        },
        1000));
    partitionFromControl(fleet, "u1", true); // The starts are on their way; the answer of this upstream doesn't arrive.
    fleet.run(450);
    CHECK_EQUAL(std::uint64_t{3}, fleet.starts); // Of the gang and of the next step.
    fleet.restart(fleet.upstreams[1]);
    fleet.upstreams[1].sendsHeartbeats = false;
    partitionFromControl(fleet, "u1", false);
    fleet.run(1500);
    fleet.upstreams[1].sendsHeartbeats = true;
    CHECK_TEXT("", violationsText(fleet));
    CHECK(completes(fleet, "/0/j1", 15000));
}

/** An upstream restarted just before an acknowledgement of the earlier process's ends arrived, and carried it out seconds later: it forgot an end that no list
 * had shown, and the task was run again. */
TEST_CASE(Deployment, AnAcknowledgementCarriedOutLateIsNotAppliedByALaterProcess)
{
    FleetOptions options;
    options.upstreams = 1;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.submit("/0/before", {makeStep(4, 1000, 300)});
    CHECK(fleet.runUntil(
        [&] {
            return fleet.doneEndsListed == 4;
        },
        3000));
    fakes::FakeUpstream &upstream = fleet.upstreams[0];
    fleet.restart(upstream);
    fleet.orderFaults.delayedShare = 1;
    CHECK(fleet.runUntil(
        [&] {
            return fleet.acknowledgementsSent == 1;
        },
        300));
    fleet.orderFaults.delayedShare = 0;
    fleet.submit("/0/after", {makeStep(1, 1000, 300)});
    CHECK(fleet.runUntil(
        [&] {
            return !upstream.runs.empty();
        },
        5000));
    partitionFromControl(fleet, "u0", true);
    fleet.run(4000); // Less than the lease. The acknowledgement arrives after the end of the run.
    CHECK_EQUAL(std::uint64_t{2}, upstream.nextEnd);
    partitionFromControl(fleet, "u0", false);
    CHECK(completes(fleet, "/0/after", 20000));
    CHECK_TEXT("", violationsText(fleet));
}

/** The fence that an upstream has seen outlasts the registration that it was derived from, and a leader with a lower one could never use that upstream again.
 */
TEST_CASE(Deployment, AnUpstreamWithAHigherFenceIsUsedAgain)
{
    FleetOptions options;
    options.upstreams = 1;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.upstreams[0].fence = fleet.leader()->host->leader.term + 2;
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    CHECK(completes(fleet, "/0/j1", 12000));
    CHECK_TEXT("", violationsText(fleet));
}

/** A host that sent a request to the advice service for another leader had one of its own with the same id. The reply to the one was taken for that to the
 * other, and the upstreams that it didn't name counted as denied for good: the step was never started. */
TEST_CASE(Deployment, RequestsForAdviceOfTwoLeadersHaveDifferentIds)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    deployment::Host &host = *fleet.leader()->host;
    host.nextCall = host.leader.nextCall;
    wire::RequestT request;
    request.operation = wire::Operation::Advise;
    request.advice = std::make_unique<wire::AdviceAskT>();
    request.advice->step = "j1.0.0";
    deployment::HostOutput output;
    deployment::handleCall(host, "c9", 1, std::move(request), {fleet.nowMs, fleet.nowMs}, output);
    CHECK_EQUAL(std::size_t{1}, output.advice.size());
    CHECK(output.advice.front().id < host.leader.nextCall); // The next request of the own leader has another id.
}

/** After the loss of a leader, a backlog of wide steps that didn't fit came first in the waiting order, and the small steps behind them were never tried. */
TEST_CASE(Deployment, SmallStepsArePlacedBehindABacklogThatDoesNotFit)
{
    FleetOptions options;
    options.upstreams = 12;
    options.cpuMillis = 16000;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(2, 2, true));
    fleet.submit("/0/first", {makeStep(12, 12000, 20000)}); // Leaves 4 cores free on each upstream.
    fleet.run(1500);
    for (int i = 0; i < 200; ++i) {
        fleet.submit("/0/wide" + std::to_string(i), {makeStep(2, 12000, 300)});
    }
    fleet.run(700);
    for (int i = 0; i < 8; ++i) {
        fleet.submit("/0/small" + std::to_string(i), {makeStep(1, 3000, 300)});
    }
    fleet.run(1000); // The wide steps aren't overdue yet and still precede the small ones.
    for (int i = 0; i < 8; ++i) {
        CHECK(fleet.phase("/0/small" + std::to_string(i)) == job::Phase::Completed);
    }
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

/** A job whose start order never reached the upstream hasn't begun and must still count as queued. */
TEST_CASE(Deployment, AJobWhoseStartIsLostStillCountsAsQueued)
{
    FleetOptions options;
    options.upstreams = 1;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.orderFaults.lostShare = 1;
    fleet.submit("/0/j1", {makeStep(1, 1000, 500)});
    fleet.run(2000);
    const deployment::Token waiting = fleet.sendRequest(wire::Operation::QueueLength, "/0/");
    fleet.run(300);
    CHECK_EQUAL(std::uint64_t{1}, fleet.answer(waiting).reply.count);
    fleet.orderFaults.lostShare = 0;
    CHECK(completes(fleet, "/0/j1", 20000));
    const deployment::Token none = fleet.sendRequest(wire::Operation::QueueLength, "/0/");
    fleet.run(300);
    CHECK_EQUAL(std::uint64_t{0}, fleet.answer(none).reply.count);
}

namespace
{
std::size_t votersOf(const fakes::FakeHost &host)
{
    const auto &members = host.host->node->membership.members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto &member) {
        return member->role == wire::MemberRole::Voter;
    }));
}
}

/** Six control hosts are partitioned into halves. With six voters neither half had a majority, and no request was served until the partition healed. */
TEST_CASE(Deployment, APartitionIntoHalvesLeavesAMajority)
{
    FleetOptions options;
    options.controlHosts = 6;
    Fleet fleet(options);
    waitUntilReady(fleet);
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr && votersOf(*fleet.leader()) == 5;
        },
        10000));
    CHECK(fleet.putPlan(1, 2, false));
    fleet.run(3000);
    CHECK_EQUAL(std::size_t{5}, votersOf(*fleet.leader()));
    for (const char *left : {"c0", "c2", "c4"}) {
        for (const char *right : {"c1", "c3", "c5"}) {
            fleet.setPartitioned(left, right, true);
        }
    }
    fleet.run(4000);
    fleet.submit("/0/j1", {makeStep(2, 1000, 500)});
    CHECK(completes(fleet, "/0/j1", 12000));
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

/** The leader is partitioned from the other control hosts, but entry hosts still reach it: they kept forwarding requests that it may not decide. */
TEST_CASE(Deployment, APartitionedLeaderDoesNotDelayCallers)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    const std::string old = fleet.leader()->id;
    for (const char *other : {"c0", "c1", "c2"}) {
        if (old != other) {
            fleet.setPartitioned(old, other, true);
        }
    }
    fleet.run(3000);
    const deployment::Token token = fleet.submit("/0/j1", {makeStep(1, 1000, 500)});
    fleet.run(1500);
    CHECK(fleet.answer(token).answered);
    CHECK_EQUAL(std::uint16_t{0}, fleet.answer(token).reply.error);
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

TEST_CASE(Deployment, CouriersDeliverTheOrdersOfTheLeader)
{
    Fleet fleet(withCouriers());
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    fleet.submit("/0/j1", {makeStep(6, 4000, 700)});
    CHECK(completes(fleet, "/0/j1", 8000));
    const deployment::Couriers &couriers = fleet.leader()->host->couriers;
    CHECK(couriers.ordersSent >= 6);
    CHECK_EQUAL(std::uint64_t{0}, couriers.ordersLost);
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

TEST_CASE(Deployment, ADrainingCourierReturnsItsOrders)
{
    Fleet fleet(withCouriers());
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    for (fakes::FakeHost &host : fleet.hosts) {
        host.draining = !host.control;
    }
    fleet.submit("/0/j1", {makeStep(6, 4000, 700)});
    CHECK(completes(fleet, "/0/j1", 5000));
    CHECK(fleet.leader()->host->couriers.ordersDeclined > 0);
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

/** All couriers fail at once while work runs: the leader renews the leases directly, and no run is lost. */
TEST_CASE(Deployment, LeasesAreRenewedAfterAllCouriersFail)
{
    Fleet fleet(withCouriers());
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    fleet.submit("/0/j1", {makeStep(6, 4000, 9000)});
    fleet.run(2000);
    for (fakes::FakeHost &host : fleet.hosts) {
        if (!host.control) {
            fleet.kill(host);
        }
    }
    fleet.run(9000);
    CHECK_EQUAL(std::uint64_t{0}, fleet.leader()->host->leader.counters.runsLost);
    CHECK_EQUAL(std::uint64_t{6}, fleet.leader()->host->leader.counters.endsDone);
    CHECK_EQUAL(std::string(), violationsText(fleet));
}

/** An answer to an earlier process of the leader's host may have the id of a pending call of the current process. */
TEST_CASE(Deployment, AnAnswerToAnEarlierProcessIsIgnored)
{
    Fleet fleet(withCouriers());
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, true));
    fleet.submit("/0/j1", {makeStep(1, 4000, 9000)});
    fleet.run(1500);
    deployment::Host &host = *fleet.leader()->host;
    CHECK(!host.couriers.pendingOrders.empty());
    const auto [id, delivery] = *host.couriers.pendingOrders.begin();
    wire::OrderAnswersT answers;
    answers.origin = host.couriers.origin + 1;
    answers.declined.push_back(id);
    deployment::HostOutput output;
    deployment::handleOrderAnswers(host, delivery.courier, std::move(answers), {fleet.nowMs, fleet.nowMs}, output);
    CHECK_EQUAL(std::size_t{1}, host.couriers.pendingOrders.count(id));
    CHECK(output.upstreamCalls.empty());
}

TEST_CASE(Couriers, AnUpstreamKeepsItsCourierWhileOthersComeAndGo)
{
    deployment::Couriers couriers;
    couriers.hosts["dc1"] = {"e1", "e2", "e3"};
    const deployment::CourierOptions options;
    for (const std::string &courier : couriers.hosts["dc1"]) {
        couriers.clocks[courier] = {500, 0, 0};
    }
    std::map<std::string, std::string> before;
    for (int i = 0; i < 60; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        before[upstream] = deployment::selectCourier(couriers, options, "dc1", upstream, 0);
    }
    couriers.avoidedUntilMs["e2"] = 100;
    std::size_t moved = 0;
    for (const auto &[upstream, courier] : before) {
        const std::string now = deployment::selectCourier(couriers, options, "dc1", upstream, 50);
        CHECK(now != "e2");
        CHECK(courier == "e2" || now == courier);
        moved += courier == "e2" ? 1 : 0;
        CHECK_EQUAL(courier, deployment::selectCourier(couriers, options, "dc1", upstream, 100));
    }
    CHECK(moved > 5 && moved < 40);
    CHECK_EQUAL(std::string(), deployment::selectCourier(couriers, options, "dc2", "u1", 0));
    CHECK_EQUAL(std::string(), deployment::selectCourier(couriers, options, "dc1", "u1", options.maxClockAgeMs)); // The clock sample is too old.
}

/** Random schedule with couriers, seed 65: a courier suspended for five seconds then started a run on an upstream that had restarted meanwhile. */
TEST_CASE(Couriers, ADelayedOrderIsReturned)
{
    deployment::Couriers couriers;
    couriers.clocks["e1"] = {70000, 1000, 0};
    const std::uint64_t sentAtMs = deployment::estimateCourierClock(couriers, "e1", 2000);
    CHECK_EQUAL(std::uint64_t{70980}, sentAtMs); // 2% less than the second that passed on the own clock.
    CHECK(deployment::isFresh(sentAtMs, 71060));
    CHECK(!deployment::isFresh(sentAtMs, 76000));
    CHECK(!deployment::isFresh(deployment::estimateCourierClock(couriers, "e2", 2000), 76000));
}
