#include "deployment/leadertesting.h"
#include "fakes/fleet.h"

#include <map>
#include <set>

namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;
using fakes::makeStep;

constexpr std::uint64_t term = 10;
constexpr std::uint64_t born = 1700000050000;

/** Registers an upstream and answers its first poll. */
void addUpstream(LeaderTest &test, const std::string &id)
{
    deliverHeartbeat(test, id, born, "a-" + id);
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, id), born);
}

/** @return a leader with the given upstreams. */
LeaderTest makeLeader(const std::vector<std::string> &ids)
{
    LeaderTest test;
    beginLeading(test, term);
    for (const std::string &id : ids) {
        addUpstream(test, id);
    }
    return test;
}

/** @return a step whose tasks run on different upstreams. */
wire::StepSpecT makeSpreadStep(std::uint32_t count)
{
    wire::StepSpecT step = makeStep(count, 1000, 500);
    step.mostPerUpstream = 1;
    return step;
}

/** Submits a job of one task and returns its start on the only upstream. */
UpstreamCall startTask(LeaderTest &test, const std::string &id)
{
    submitJob(test, id, makeStep(1, 1000, 500));
    pass(test, 40);
    UpstreamCall start = takeCall(test, CallKind::Start, "u0");
    CHECK(start.id != 0);
    return start;
}

/** @return the task of a job of one task. */
const job::Task &taskOf(const LeaderTest &test, const std::string &id)
{
    const job::Task *task = job::findTask(test.state, {test.state.jobNumberById.at(id), 0, 0, 0});
    CHECK(task != nullptr);
    return *task;
}

/** Answers the next poll of the only upstream with lists. */
void answerNextPoll(LeaderTest &test, std::vector<ListedRun> running, std::vector<ListedEnd> ended = {})
{
    constexpr int maxPasses = 100;
    UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
    for (int i = 0; poll.id == 0 && i < maxPasses; ++i) {
        pass(test, 20);
        poll = takeCall(test, CallKind::Poll, "u0");
    }
    CHECK(poll.id != 0);
    answerPoll(test, poll, born, std::move(running), std::move(ended));
}
}

/** Guards against schedule of combined faults 600084: the start of a gang's member was sent again, and an upstream that had started anew took it, after the
 * gang had ended as done on another upstream whose lists hadn't arrived yet. */
TEST_CASE(Leader, AnUnansweredStartOfAGangMemberIsSentAgainOnlyAfterAListWithoutIt)
{
    LeaderTest test = makeLeader({"u0", "u1"});
    wire::StepSpecT gang = makeSpreadStep(2);
    gang.gang = true;
    submitJob(test, "j", gang);
    pass(test, 40);
    answer(test, takeCall(test, CallKind::Start, "u0"), CallStatus::Done);
    const UpstreamCall first = takeCall(test, CallKind::Start, "u1");
    CHECK(first.id != 0);
    answer(test, first, CallStatus::NoAnswer);
    pass(test, 400);
    CHECK_EQUAL(std::uint64_t{0}, takeCall(test, CallKind::Start, "u1").id);

    const UpstreamCall poll = takeCall(test, CallKind::Poll, "u1");
    CHECK(poll.id != 0);
    answerPoll(test, poll, born);
    pass(test, 40);
    const UpstreamCall second = takeCall(test, CallKind::Start, "u1");
    CHECK(second.id != 0);
    CHECK_EQUAL(first.run, second.run);
}

/** Guards against schedule of combined faults 4462: an acknowledgement reached a process that had started anew and had begun and ended a task since the
 * acknowledgement was sent; it forgot the end, and the task was started again. */
TEST_CASE(Leader, NoStartIsSentWhileAnAcknowledgementIsOnItsWay)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall first = startTask(test, "first");
    answer(test, first, CallStatus::Done);
    answerNextPoll(test, {listedRun(first)});
    answerNextPoll(test, {}, {listedEnd(first, 1)});
    pass(test, 20);
    const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
    CHECK_EQUAL(std::uint64_t{1}, poll.acknowledge);

    submitJob(test, "second", makeStep(1, 1000, 500));
    pass(test, 200);
    CHECK_EQUAL(std::uint64_t{0}, takeCall(test, CallKind::Start, "u0").id);
    answerPoll(test, poll, born);
    pass(test, 40);
    CHECK(takeCall(test, CallKind::Start, "u0").id != 0);
}

/** Guards against two leaders with one fence: a leader used a raised fence before its record was committed, so that the next one, a term later, didn't know of
 * it and its own fence was the same. */
TEST_CASE(Leader, ARaisedFenceIsNotUsedBeforeItIsCommitted)
{
    LeaderTest test = makeLeader({"u0"});
    answer(test, startTask(test, "j"), CallStatus::Done);
    pass(test, 20);
    test.calls.clear();
    test.commits = false;
    deliverHeartbeat(test, "u0", born + 1000, "a-u0");
    pass(test, 500);
    CHECK(test.calls.empty());

    LeaderTest next;
    next.state = test.state;
    test.commits = true;
    commit(test);
    pass(test, 20);
    const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
    CHECK_EQUAL(term + 1, poll.fence);
    next.state = test.state;
    beginLeading(next, term + 1);
    pass(next, 20);
    CHECK(takeCall(next, CallKind::Poll, "u0").fence > poll.fence);
}

/** Guards against a start that is carried out after its run was lost: the fence was the same when the upstream answered again, and its lease was renewed. */
TEST_CASE(Leader, RunsThatAreLostWithTheirLeaseRaiseTheFence)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j");
    constexpr int maxPasses = 1000;
    for (int i = 0; i < maxPasses && taskOf(test, "j").activeRun != 0; ++i) {
        answerAll(test, CallStatus::NoAnswer);
        pass(test, 20);
    }
    CHECK_EQUAL(std::uint32_t{0}, taskOf(test, "j").activeRun);
    answerAll(test, CallStatus::NoAnswer);
    pass(test, 1000);
    const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
    CHECK(poll.id != 0);
    CHECK(poll.fence > start.fence);
}

/** Guards against the end of a run on a process that returned to its address: a delayed heartbeat of another upstream there stood for the end of all its runs.
 */
TEST_CASE(Leader, AnUnlocatedRunOutlastsAHeartbeatOfAnotherUpstreamAtItsAddress)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j");
    deliverHeartbeat(test, "u1", born + 1000, "a-u0");
    pass(test, 20);
    CHECK_EQUAL(start.run, taskOf(test, "j").activeRun);

    answerAll(test, CallStatus::OtherIncarnation); // They were sent so soon after the start that it may arrive after them.
    CHECK_EQUAL(start.run, taskOf(test, "j").activeRun);
    for (int i = 0; i < 100; ++i) {
        pass(test, 20);
        answerAll(test, CallStatus::OtherIncarnation);
    }
    CHECK_EQUAL(std::uint32_t{0}, taskOf(test, "j").activeRun);
}

/** A run that a list showed is over at once when another upstream has its address: only the process of that list can have begun it. */
TEST_CASE(Leader, ALocatedRunIsLostWhenAnotherUpstreamTakesItsAddress)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j");
    answer(test, start, CallStatus::Done);
    answerNextPoll(test, {listedRun(start)});
    deliverHeartbeat(test, "u1", born + 1000, "a-u0");
    CHECK_EQUAL(start.run, taskOf(test, "j").activeRun); // The heartbeat may be delayed.
    pass(test, 20);
    answer(test, takeCall(test, CallKind::Poll, "u0"), CallStatus::OtherIncarnation);
    CHECK_EQUAL(std::uint32_t{0}, taskOf(test, "j").activeRun);
}

/** Guards against schedule of combined faults 2142: a run that a process had begun after its start was blamed for the end of the process before, and an
 * ordinary job was given up. */
TEST_CASE(Leader, ARunThatTheLaterProcessBeganIsNotBlamedForTheCrash)
{
    for (const bool began : {false, true}) {
        LeaderTest test = makeLeader({"u0"});
        const UpstreamCall start = startTask(test, "j");
        answer(test, start, CallStatus::Done);
        pass(test, 20);
        test.calls.clear();
        deliverHeartbeat(test, "u0", born + 1000, "a-u0");
        pass(test, 200);
        const UpstreamCall stop = takeCall(test, CallKind::Stop, "u0");
        CHECK(stop.id != 0);
        answer(test, stop, CallStatus::Done);
        const std::vector<ListedRun> running = began ? std::vector{listedRun(start)} : std::vector<ListedRun>{};
        constexpr int polls = 4; // The first ones are sent before the stop can be over.
        for (int i = 0; i < polls; ++i) {
            answerPoll(test, takeCall(test, CallKind::Poll, "u0"), born + 1000, running);
            pass(test, 200);
        }
        CHECK_EQUAL(began ? 0U : 1U, taskOf(test, "j").crashes);
    }
}

/** Guards against a run that counts as located on one process while a repeated start begins it on the next: its lease was reckoned on the clock of the first
 * one, and ends of the next one could be acknowledged unseen. */
TEST_CASE(Leader, AListRequestedBeforeARepeatedStartDoesNotLocateTheRun)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall first = startTask(test, "j");
    pass(test, 20);
    const UpstreamCall earlier = takeCall(test, CallKind::Poll, "u0");
    CHECK(earlier.id != 0);
    answer(test, first, CallStatus::NoAnswer);
    pass(test, 200);
    CHECK(takeCall(test, CallKind::Start, "u0").id != 0);

    const upstream::Run &run = test.leader.upstreams.begin()->second.runs.begin()->second;
    answerPoll(test, earlier, born, {listedRun(first)});
    CHECK(!run.located);
    answerNextPoll(test, {listedRun(first)});
    CHECK(run.located);
}

/** Guards against runs that are never lost: a process whose start time was lower than that of the one before answered the calls, and the polls went on to renew
 * the lease. */
TEST_CASE(Leader, RunsAreLostWhenAProcessWithAnEarlierStartTimeAnswers)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j");
    answer(test, start, CallStatus::Done);
    answerNextPoll(test, {listedRun(start)});
    constexpr int maxPasses = 1000;
    for (int i = 0; i < maxPasses && taskOf(test, "j").activeRun != 0; ++i) {
        pass(test, 20);
        const UpstreamCall stop = takeCall(test, CallKind::Stop, "u0");
        if (stop.id != 0) {
            answer(test, stop, CallStatus::Done);
        }
        const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
        if (poll.id != 0) {
            answerPoll(test, poll, born - 1000);
        }
    }
    CHECK_EQUAL(std::uint32_t{0}, taskOf(test, "j").activeRun);
}

/** Guards against a second run beside one that is ending: a run whose gang had been broken was in neither list until its end, and was taken for lost. */
TEST_CASE(Leader, ARunMissingFromListsIsLostOnlyOnceItsEndWouldBeListed)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j");
    answer(test, start, CallStatus::Done);
    answerNextPoll(test, {listedRun(start)});
    answerNextPoll(test, {});
    CHECK_EQUAL(start.run, taskOf(test, "j").activeRun);
    pass(test, test.leader.options.lease.stopMs);
    CHECK_EQUAL(start.run, taskOf(test, "j").activeRun);
    constexpr int polls = 3;
    for (int i = 0; i < polls; ++i) {
        pass(test, 2 * test.leader.options.lease.stopMs);
        const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
        if (poll.id != 0) {
            answerPoll(test, poll, born);
        }
    }
    CHECK(taskOf(test, "j").activeRun != start.run); // It may have been placed again.
}

/** Guards against a fence that rises without end: a start that the raised fence refused was counted as a copy under way, so that the end of its run raised the
 * fence again, which refused the next starts. */
TEST_CASE(Leader, ARefusedStartDoesNotRaiseTheFenceWithTheEndOfItsRun)
{
    LeaderTest test = makeLeader({"u0"});
    answer(test, startTask(test, "j"), CallStatus::Fenced);
    pass(test, 500);
    const UpstreamCall second = takeCall(test, CallKind::Start, "u0");
    CHECK(second.id != 0);
    answer(test, second, CallStatus::Done);
    UpstreamReply reply;
    reply.id = takeCall(test, CallKind::Poll, "u0").id;
    reply.status = CallStatus::Done;
    reply.incarnation = born;
    reply.hasLists = true;
    reply.ended = {listedEnd(second, 1)};
    deliverReply(test, std::move(reply));
    CHECK(test.leader.placements.empty());
    CHECK_EQUAL(std::uint32_t{0}, test.leader.upstreams.begin()->second.registration.fenceStep);
}

/** Guards against inherited runs that never end: each late heartbeat of an earlier process had the lists read again, from which the time of a stop counted. */
TEST_CASE(Leader, LateHeartbeatsDoNotKeepAnAbsentInheritedRun)
{
    LeaderTest before = makeLeader({"u0"});
    startTask(before, "j");
    LeaderTest test;
    test.state = before.state;
    test.now = before.now;
    beginLeading(test, term + 1);
    constexpr int passes = 150;
    constexpr int heartbeatEvery = 10;
    for (int i = 0; i < passes; ++i) {
        pass(test, 20);
        if (i % heartbeatEvery == 0) {
            deliverHeartbeat(test, "u0", born - 1000, "a-u0");
        }
        const UpstreamCall poll = takeCall(test, CallKind::Poll, "u0");
        if (poll.id != 0) {
            answerPoll(test, poll, born);
        }
    }
    const job::Task &task = taskOf(test, "j");
    CHECK(task.activeRun == 0 || task.run > 1); // It may have been placed again.
}

/** Guards against runs that are ended by the refusal of a process at another address: once no plan named the service, a heartbeat could move a running process.
 */
TEST_CASE(Leader, AHeartbeatMovesNoProcessWhoseServiceAPlanHasDropped)
{
    LeaderTest test = makeLeader({"u0"});
    const UpstreamCall start = startTask(test, "j"); // Its plan names no service.
    answer(test, start, CallStatus::Done);
    answerNextPoll(test, {listedRun(start)});
    deliverHeartbeat(test, "u0", born, "a-other");
    CHECK_EQUAL(std::string("a-u0"), test.leader.upstreams.begin()->second.registration.address);
}

/** A leader that took over while no plan named the queue ranked its steps above all others, also once the queue was back. */
TEST_CASE(Leader, AQueueThatReturnsRanksItsWaitingStepsAnew)
{
    LeaderTest test = makeLeader({});
    submitJob(test, "j", makeStep(1, 1000, 500));
    putPlan(test, false);
    beginLeading(test, term + 1);
    pass(test, 40);
    CHECK_EQUAL(std::size_t{1}, test.leader.waiting.size());
    putPlan(test, true, 3);
    CHECK_EQUAL(std::uint32_t{3}, test.leader.waiting.begin()->second.key.priority);
}

/** The attempts are judged only once the queue is back; the leader has to stop what the job still runs and waits for. */
TEST_CASE(Leader, AJobThatFailsWithTheReturnOfItsQueueIsNotPlaced)
{
    LeaderTest test = makeLeader({"u0"});
    UpstreamCall start = startTask(test, "j");
    for (std::uint64_t number = 1; number <= 5; ++number) {
        answer(test, start, CallStatus::Done);
        putPlan(test, number < 5);
        ListedEnd end = listedEnd(start, number);
        end.end = wire::RunEnd::Failed;
        answerNextPoll(test, {}, {end});
        answerNextPoll(test, {}); // No start is sent before the end is acknowledged.
        pass(test, 40);
        start = takeCall(test, CallKind::Start, "u0");
        CHECK_EQUAL(number < 5, start.id != 0);
    }
    CHECK(test.state.jobs.at(1).phase == job::Phase::Running);
    putPlan(test, true);
    CHECK(test.state.jobs.at(1).phase == job::Phase::Failed);
    CHECK(test.leader.waiting.empty());
    CHECK_EQUAL(std::uint64_t{1}, test.leader.counters.jobsFailedByPlan);
}

/** The longest chain was searched along every way through the steps, so that 36 steps that list all earlier ones blocked each leader. */
TEST_CASE(Leader, AChainThatListsAllEarlierStepsIsRanked)
{
    constexpr std::uint32_t steps = 350;
    constexpr std::uint32_t durationMs = 500;
    LeaderTest test = makeLeader({"u0"});
    wire::JobSpecT spec;
    spec.id = "j";
    for (std::uint32_t step = 0; step < steps; ++step) {
        spec.steps.push_back(std::make_unique<wire::StepSpecT>(makeStep(1, 1000, durationMs)));
        for (std::uint32_t earlier = 0; earlier < step; ++earlier) {
            spec.steps.back()->after.push_back(earlier);
        }
    }
    submitJob(test, std::move(spec));
    for (std::uint32_t step = 0; step < steps; ++step) {
        deliverHeartbeat(test, "u0", born, "a-u0");
        CHECK_EQUAL(std::size_t{1}, test.leader.waiting.size());
        CHECK_EQUAL(std::int64_t{steps - step} * durationMs, test.leader.waiting.begin()->second.key.remainingMs);
        pass(test, 40);
        const UpstreamCall start = takeCall(test, CallKind::Start, "u0");
        CHECK_EQUAL(step, start.task.step);
        answer(test, start, CallStatus::Done);
        answerNextPoll(test, {}, {listedEnd(start, step + 1)});
        answerNextPoll(test, {}); // No start is sent before the end is acknowledged.
    }
    CHECK(test.state.jobs.at(1).phase == job::Phase::Completed);
}

/** All due occurrences were enqueued at once, without a bound on their number, and scanned again every 300 ms. */
TEST_CASE(Leader, DueOccurrencesAreEnqueuedInBoundedNumbers)
{
    constexpr std::size_t maxWaiting = 10000;
    LeaderTest test = makeLeader({"u0"});
    wire::JobSpecT spec;
    spec.id = "j";
    spec.repeatCount = 200000;
    spec.steps.push_back(std::make_unique<wire::StepSpecT>(makeStep(1, 16000, 500)));
    submitJob(test, std::move(spec));
    CHECK(test.leader.waiting.size() <= maxWaiting);
    for (std::uint32_t occurrence = 0; occurrence < 20; ++occurrence) {
        deliverHeartbeat(test, "u0", born, "a-u0");
        pass(test, 400);
        const UpstreamCall start = takeCall(test, CallKind::Start, "u0");
        CHECK_EQUAL(occurrence, start.task.occurrence);
        answer(test, start, CallStatus::Done);
        answerNextPoll(test, {}, {listedEnd(start, occurrence + 1)});
        answerNextPoll(test, {}); // No start is sent before the end is acknowledged.
        CHECK(test.leader.waiting.size() <= maxWaiting);
        CHECK(test.leader.waiting.size() >= maxWaiting / 2);
    }
}

namespace
{
/** @return the number of jobs without a started task that a caller of the queue is told. */
std::uint64_t queueLength(LeaderTest &test)
{
    wire::RequestT request;
    request.operation = wire::Operation::QueueLength;
    request.service = "q";
    request.path = "/0/";
    LeaderOutput output;
    handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    CHECK_EQUAL(std::size_t{1}, output.replies.size());
    return output.replies.front().reply.count;
}

/** Submits a job of a gang of two on two upstreams. @return the starts of its members. */
std::vector<UpstreamCall> startGang(LeaderTest &test)
{
    wire::StepSpecT gang = makeSpreadStep(2);
    gang.gang = true;
    submitJob(test, "j", gang);
    pass(test, 40);
    std::vector<UpstreamCall> starts{takeCall(test, CallKind::Start, "u0"), takeCall(test, CallKind::Start, "u1")};
    CHECK(starts[0].id != 0 && starts[1].id != 0);
    return starts;
}
}

/** A gang works from the moment when all its members are present; the answer to the start of one took its job out of the number of waiting jobs for good. */
TEST_CASE(Leader, AGangCountsAsWaitingUntilAllItsMembersArePresent)
{
    LeaderTest test = makeLeader({"u0", "u1"});
    const std::vector<UpstreamCall> starts = startGang(test);
    CHECK_EQUAL(std::uint64_t{1}, queueLength(test));
    answer(test, starts[0], CallStatus::Done);
    CHECK_EQUAL(std::uint64_t{1}, queueLength(test));
    answerNextPoll(test, {listedRun(starts[0])});
    CHECK_EQUAL(std::uint64_t{1}, queueLength(test));
    answer(test, starts[1], CallStatus::Done);
    CHECK_EQUAL(std::uint64_t{0}, queueLength(test));
}

TEST_CASE(Leader, AGangThatEndsWithoutAllItsMembersStillWaits)
{
    for (const wire::RunEnd runEnd : {wire::RunEnd::Alone, wire::RunEnd::Stopped, wire::RunEnd::Failed, wire::RunEnd::Done}) {
        LeaderTest test = makeLeader({"u0", "u1"});
        const std::vector<UpstreamCall> starts = startGang(test);
        answer(test, starts[0], CallStatus::Done);
        ListedEnd end = listedEnd(starts[0], 1);
        end.end = runEnd;
        answerNextPoll(test, {}, {end});
        const bool worked = runEnd == wire::RunEnd::Failed || runEnd == wire::RunEnd::Done;
        CHECK_EQUAL(worked ? std::uint64_t{0} : std::uint64_t{1}, queueLength(test));
        beginLeading(test, term + 1);
        CHECK_EQUAL(worked ? std::uint64_t{0} : std::uint64_t{1}, queueLength(test));
    }
}

/** The members that an earlier leader started are present once the lists of all their upstreams have shown them. */
TEST_CASE(Leader, AnInheritedGangCountsAsStartedOnceAllItsMembersAreListed)
{
    LeaderTest test = makeLeader({"u0", "u1"});
    const std::vector<UpstreamCall> starts = startGang(test);
    beginLeading(test, term + 1);
    test.calls.clear();
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, "u0"), born, {listedRun(starts[0])});
    CHECK_EQUAL(std::uint64_t{1}, queueLength(test));
    answerPoll(test, takeCall(test, CallKind::Poll, "u1"), born, {listedRun(starts[1])});
    CHECK_EQUAL(std::uint64_t{0}, queueLength(test));
}

/** Long requests to the advice service left a third of the advisers unused although no queue had short ones. */
TEST_CASE(Leader, LongAdviceRequestsUseAllAdvisersWhileNoneIsShort)
{
    for (const bool withShort : {false, true}) {
        LeaderTest test = makeLeader({"u1"});
        setAdvisers(test.leader, {"", "e0", "e1", "e2", "e3", "e4"});
        wire::PlanAcceptedT plan;
        plan.version = 1;
        for (int i = 0; i < (withShort ? 2 : 1); ++i) {
            auto queue = std::make_unique<wire::QueueSpecT>();
            queue->host = "q";
            queue->prefix = "/" + std::to_string(i) + "/";
            queue->service = "s";
            queue->attempts = 5;
            queue->advised = true;
            queue->adviceMs = i == 0 ? 300 : 7;
            plan.queues.push_back(std::move(queue));
        }
        LeaderOutput output;
        output.proposals = {wire::encodeChange(std::move(plan))};
        collect(test, std::move(output));
        std::set<std::string> used;
        constexpr int jobs = 18;
        for (int i = 0; i < jobs; ++i) {
            wire::RequestT request;
            request.operation = wire::Operation::SubmitJob;
            request.service = "q";
            request.path = "/0/j" + std::to_string(i);
            request.job = std::make_unique<wire::JobSpecT>();
            request.job->steps.push_back(std::make_unique<wire::StepSpecT>(fakes::makeStep(1, 1000, 500)));
            LeaderOutput step;
            handleRequest(test.leader, test.state, 10 + i, std::move(request), test.now, step);
            for (const AdviceCall &call : step.advice) {
                used.insert(call.host);
            }
        }
        CHECK_EQUAL(std::size_t{withShort ? 4U : 6U}, used.size());
    }
}

namespace
{
/** Submits a job as a caller does. @param test the leader. @param id of the job. @param spec the job. @return the reason of the refusal; None once accepted or
 * while its record isn't committed. */
model::Reason submitAsCaller(LeaderTest &test, const std::string &id, wire::JobSpecT spec)
{
    wire::RequestT request;
    request.operation = wire::Operation::SubmitJob;
    request.service = "q";
    request.path = "/0/" + id;
    request.job = std::make_unique<wire::JobSpecT>(std::move(spec));
    LeaderOutput output;
    handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    const model::Reason reason = output.replies.empty() ? model::Reason::None : static_cast<model::Reason>(output.replies.front().reply.error);
    collect(test, std::move(output));
    return reason;
}

wire::JobSpecT jobOf(std::uint32_t tasks)
{
    wire::JobSpecT spec;
    spec.steps.push_back(std::make_unique<wire::StepSpecT>(makeStep(tasks, 10, 1000)));
    return spec;
}
}

/** Jobs were accepted until the memory of each control host was used up. */
TEST_CASE(Leader, AJobWithoutRoomIsRefusedAtOnce)
{
    LeaderTest test = makeLeader({"u1"});
    putPlan(test, true);
    test.leader.options.maxHeldBytes = 4U << 20U;
    int accepted = 0;
    while (submitAsCaller(test, "j" + std::to_string(accepted), jobOf(20000)) == model::Reason::None) {
        ++accepted;
    }
    CHECK_EQUAL(3, accepted);
    CHECK(test.state.heldBytes <= test.leader.options.maxHeldBytes);
    CHECK(submitAsCaller(test, "more", jobOf(20000)) == model::Reason::StateFull);
    CHECK_EQUAL(std::uint64_t{2}, test.leader.counters.jobsWithoutRoom);
    CHECK(submitAsCaller(test, "small", jobOf(10)) == model::Reason::None);
    CHECK(submitAsCaller(test, "j0", jobOf(20000)) == model::Reason::None); // Known: a repeated submission is no new job.
    wire::JobCancelledT cancelled;
    cancelled.job = test.state.jobNumberById.at("j0");
    LeaderOutput output;
    output.proposals = {wire::encodeChange(cancelled)};
    collect(test, std::move(output));
    CHECK(submitAsCaller(test, "more", jobOf(20000)) == model::Reason::None);
}

/** Plans, upstreams and waves took memory without a bound. Jobs that fill theirs must not keep out the upstreams that work them off. */
TEST_CASE(Leader, PlansUpstreamsAndWavesWithoutRoomAreRefused)
{
    LeaderTest test = makeLeader({"u1"});
    putPlan(test, true);
    test.leader.options.maxHeldBytes = 4U << 20U;
    while (submitAsCaller(test, "j" + std::to_string(test.state.nextJob), jobOf(20000)) == model::Reason::None) { }
    const auto ask = [&](wire::Operation operation, std::size_t bytes) {
        wire::RequestT request;
        request.operation = operation;
        request.plan = std::make_unique<wire::PlanAcceptedT>(test.state.plan);
        ++request.plan->version;
        request.plan->text = std::string(bytes, 't');
        request.plan->services.push_back(std::make_unique<wire::ServiceSpecT>());
        request.plan->services.back()->name = "s";
        request.wave = std::make_unique<wire::WaveStartedT>();
        request.wave->wave = bytes;
        request.wave->machines = {std::string(bytes, 'm')};
        request.beat = std::make_unique<wire::UpstreamBeatT>();
        request.beat->seen = std::make_unique<wire::UpstreamSeenT>();
        request.beat->seen->id = "u" + std::to_string(bytes);
        request.beat->seen->service = "s";
        request.beat->seen->address = "address" + std::to_string(bytes);
        request.beat->seen->labels = {std::string(bytes, 'l')};
        LeaderOutput output;
        handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
        const bool refused = !output.replies.empty() && output.replies.front().reply.error == static_cast<std::uint16_t>(model::Reason::StateFull);
        CHECK_EQUAL(refused, output.proposals.empty());
        collect(test, std::move(output));
        return refused;
    };
    for (const wire::Operation operation : {wire::Operation::PlanPut, wire::Operation::StartWave, wire::Operation::UpstreamBeat}) {
        CHECK(ask(operation, 1U << 20U));
        CHECK(!ask(operation, 1000));
    }
    const std::uint64_t registryBytes = test.state.registryBytes;
    CHECK(registryBytes > 3000);
    CHECK_EQUAL(registryBytes, job::decodeImage(job::encodeImage(test.state)).value().registryBytes);
}

/** Jobs whose records aren't committed yet take memory, too. */
TEST_CASE(Leader, JobsThatAreProposedCountForTheRoom)
{
    LeaderTest test = makeLeader({"u1"});
    putPlan(test, true);
    test.leader.options.maxHeldBytes = 4U << 20U;
    test.commits = false;
    for (int i = 0; i < 3; ++i) {
        CHECK(submitAsCaller(test, "j" + std::to_string(i), jobOf(20000)) == model::Reason::None);
    }
    CHECK(submitAsCaller(test, "more", jobOf(20000)) == model::Reason::StateFull);
    CHECK(submitAsCaller(test, "j1", jobOf(20000)) == model::Reason::None); // Waits for the same record.
    test.commits = true;
    commit(test);
    CHECK_EQUAL(std::uint64_t{0}, test.leader.proposedBytes);
    CHECK(submitAsCaller(test, "more", jobOf(20000)) == model::Reason::StateFull);
}

/** 10,000 due occurrences of 20,000 tasks were opened at once: a job of 200 bytes took 820 MB. */
TEST_CASE(Leader, OccurrencesWithoutRoomWait)
{
    LeaderTest test = makeLeader({"u1"});
    putPlan(test, true);
    test.leader.options.maxHeldBytes = 16U << 20U;
    wire::JobSpecT timed = jobOf(20000);
    timed.repeatCount = 10000;
    timed.startAtMs = test.now.wallMs - 1000;
    CHECK(submitAsCaller(test, "timed", std::move(timed)) == model::Reason::None);
    pass(test, 2000);
    CHECK(test.leader.waiting.size() > 1);
    CHECK(test.state.heldBytes + test.leader.openBytes <= test.leader.options.maxHeldBytes);
    CHECK(test.leader.counters.occurrencesWithoutRoom > 0);
    wire::JobCancelledT cancelled;
    cancelled.job = test.state.jobNumberById.at("timed");
    LeaderOutput output;
    output.proposals = {wire::encodeChange(cancelled)};
    collect(test, std::move(output));
    CHECK_EQUAL(std::uint64_t{0}, test.leader.openBytes);
    CHECK(test.leader.openOccurrences.empty());
}

namespace
{
/** A leader with two advisers and one upstream, which an advice service always allows. */
struct AdvisedLeader
{
    LeaderTest test;
    std::map<std::string, std::uint64_t> freeMs; ///< When the advice service has handled the requests of each adviser.
    std::multimap<std::uint64_t, AdviceCall> open; ///< Requests by the time of their reply.
    std::vector<std::string> asked; ///< Steps of the requests.
    std::vector<ListedRun> running; ///< Runs on the upstream.
    bool localFails = false; ///< Whether the requests of the leader's own host aren't answered.
    std::size_t failed = 0; ///< Number of such requests.
};

void passWithAdvice(AdvisedLeader &self, std::uint64_t ms)
{
    LeaderTest &test = self.test;
    for (std::uint64_t passedMs = 0; passedMs < ms; passedMs += 20) {
        pass(test, 20);
        deliverHeartbeat(test, "u0", born, "a-u0");
        for (AdviceCall &call : std::exchange(test.advice, {})) {
            std::uint64_t &freeMs = self.freeMs[call.host];
            freeMs = std::max(freeMs, test.now.monotonicMs) + call.costMs;
            self.asked.push_back(call.step);
            self.open.emplace(freeMs, std::move(call));
        }
        while (!self.open.empty() && self.open.begin()->first <= test.now.monotonicMs) {
            const AdviceCall call = self.open.extract(self.open.begin()).mapped();
            const bool fails = self.localFails && call.host.empty();
            self.failed += fails ? 1 : 0;
            handleAdviceReply(test.leader, {call.id, !fails, 2000, {{"u0", "t"}}}, test.now);
        }
        for (const UpstreamCall &call : std::exchange(test.calls, {})) {
            if (call.kind == CallKind::Start) {
                self.running.push_back(listedRun(call));
            }
            call.kind == CallKind::Poll ? answerPoll(test, call, born, self.running) : answer(test, call, CallStatus::Done);
        }
    }
}

/** Submits a job of one task; the shorter it is, the more urgent. */
void submitAdvised(LeaderTest &test, const std::string &id, std::uint32_t durationMs)
{
    wire::JobSpecT spec;
    spec.steps.push_back(std::make_unique<wire::StepSpecT>(makeStep(1, 4000, durationMs)));
    CHECK(submitAsCaller(test, id, std::move(spec)) == model::Reason::None);
}

AdvisedLeader makeAdvisedLeader()
{
    AdvisedLeader self;
    self.test = makeLeader({"u0"});
    setAdvisers(self.test.leader, {"", "e0"});
    wire::PlanAcceptedT plan;
    plan.version = 1;
    plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
    wire::QueueSpecT &queue = *plan.queues.front();
    queue.host = "q";
    queue.prefix = "/0/";
    queue.service = "s";
    queue.attempts = 5;
    queue.slackFactor = 2;
    queue.targetMs = 60000;
    queue.advised = true;
    queue.adviceMs = 400;
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(self.test, std::move(output));
    return self;
}
}

/** Requests were made for all steps as they came: tickets lapsed before there was room, and a new urgent step waited behind them at the advisers. */
TEST_CASE(Leader, ScarceAdviceGoesToStepsWhoseTurnComes)
{
    AdvisedLeader self = makeAdvisedLeader();
    for (int i = 0; i < 20; ++i) {
        submitAdvised(self.test, "j" + std::to_string(i), 20000);
    }
    passWithAdvice(self, 20);
    submitAdvised(self.test, "urgent", 500);
    passWithAdvice(self, 1600);
    constexpr std::size_t places = 4;
    CHECK_EQUAL(places, self.running.size());
    CHECK(std::any_of(self.running.begin(), self.running.end(), [](const ListedRun &run) {
        return run.job == "urgent";
    }));
    CHECK(self.asked.size() <= places + 4); // Each adviser had two requests when the last place was taken.
    CHECK(self.test.leader.counters.adviceHeld.at(static_cast<std::size_t>(policy::AdviceHold::Hosts)) >= 12);
}

/** After a restart of all control hosts a request was sent for each step of the backlog at once, and none could get ahead of them any more. */
TEST_CASE(Leader, AfterARestartTheFirstRequestsAreForTheOldestAndMostUrgentSteps)
{
    AdvisedLeader before = makeAdvisedLeader();
    for (int i = 0; i < 12; ++i) {
        submitAdvised(before.test, "j" + std::to_string(i), i < 9 ? 20000 : 500);
        pass(before.test, 20);
    }
    AdvisedLeader after;
    after.test.state = before.test.state;
    after.test.now = before.test.now;
    setAdvisers(after.test.leader, {"", "e0"});
    beginLeading(after.test, term + 1);
    passWithAdvice(after, 300);
    CHECK(after.asked.size() <= 4);
    passWithAdvice(after, 900);
    const std::vector<std::string> expected{"j9.0.0", "j10.0.0", "j11.0.0", "j0.0.0", "j1.0.0"};
    CHECK(after.asked.size() >= expected.size() && std::equal(expected.begin(), expected.end(), after.asked.begin()));
}

/** An adviser whose link was cut had no delay to learn from: it stayed the fastest one, and most short requests went through it in vain. */
TEST_CASE(Leader, AnAdviserThatFailsIsNotTakenForTheFastest)
{
    AdvisedLeader self = makeAdvisedLeader();
    self.localFails = true;
    constexpr std::size_t jobs = 16;
    for (std::size_t i = 0; i < jobs; ++i) {
        submitAdvised(self.test, "j" + std::to_string(i), 1000);
        passWithAdvice(self, 1000);
    }
    CHECK(self.asked.size() >= jobs);
    CHECK(self.failed <= 4);
}

/** A late task that needs no accelerator wasn't started again on idle processors while all accelerators were in use. */
TEST_CASE(Leader, ALateStepDoesNotWaitForResourcesThatItDoesNotNeed)
{
    LeaderTest test;
    beginLeading(test, term);
    constexpr std::uint32_t accelerators = 4;
    deliverHeartbeat(test, "u0", born, "a-u0", accelerators);
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, "u0"), born);
    wire::StepSpecT training = makeStep(1, 1000, 600000);
    training.accelerators = accelerators;
    submitJob(test, "training", training);
    pass(test, 40);
    answer(test, takeCall(test, CallKind::Start, "u0"), CallStatus::Done);
    submitJob(test, "late", makeStep(1, 1000, 500)); // Accepted at time 0 of the clock, so that it is too late.
    pass(test, 200);
    CHECK_TEXT("late", takeCall(test, CallKind::Start, "u0").job);
}

/** A task that lasts and had failed wasn't started again while over 0.6 of the service was in use, as its job was older than three times its objective. */
TEST_CASE(Leader, ATaskThatLastsIsStartedAgainWhileMostCapacityIsInUse)
{
    LeaderTest test = makeLeader({"u0"});
    wire::StepSpecT large = makeStep(1, 11000, 500);
    large.longRunning = true;
    submitJob(test, "large", large);
    pass(test, 40);
    answer(test, takeCall(test, CallKind::Start, "u0"), CallStatus::Done);
    wire::StepSpecT small = makeStep(1, 1000, 500);
    small.longRunning = true;
    submitJob(test, "small", small);
    pass(test, 200);
    CHECK_TEXT("small", takeCall(test, CallKind::Start, "u0").job);
}
