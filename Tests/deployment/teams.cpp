#include "deployment/fleettesting.h"
#include "deployment/leadertesting.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;
using fakes::makeStep;

constexpr std::uint64_t born = 1700000050000;
constexpr std::uint64_t placingMs = 400; ///< More than the longest retry.

void addUpstream(LeaderTest &test, const std::string &id)
{
    deliverHeartbeat(test, id, born, "a-" + id);
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, id), born);
}

wire::TeamSpecT team(const std::string &name, std::uint64_t limitCpuMillis, double weight = 1)
{
    wire::TeamSpecT spec;
    spec.name = name;
    spec.keyDigests = {"key-" + name};
    spec.limitCpuMillis = limitCpuMillis;
    spec.weight = weight;
    return spec;
}

/** Puts a plan with one queue in force. @param test the leader. @param teams its teams. @param advised whether the queue requires advice. */
void putTeams(LeaderTest &test, const std::vector<wire::TeamSpecT> &teams, bool advised = false)
{
    wire::PlanAcceptedT plan;
    plan.version = test.state.plan.version + 1;
    plan.requiresKeys = true;
    for (const wire::TeamSpecT &spec : teams) {
        plan.teams.push_back(std::make_unique<wire::TeamSpecT>(spec));
    }
    plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
    plan.queues.back()->host = "q";
    plan.queues.back()->prefix = "/0/";
    plan.queues.back()->service = "s";
    plan.queues.back()->attempts = 5;
    plan.queues.back()->advised = advised;
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(test, std::move(output));
}

/** @return a leader with two upstreams and one team, "a", with a limit of processor time. */
LeaderTest makeTeamLeader(std::uint64_t limitCpuMillis, bool advised = false)
{
    LeaderTest test;
    beginLeading(test, 10);
    addUpstream(test, "u0");
    addUpstream(test, "u1");
    putTeams(test, {team("a", limitCpuMillis)}, advised);
    return test;
}

/** Accepts a job of one step. */
void accept(LeaderTest &test, const std::string &id, const wire::StepSpecT &step, const std::string &teamName = "a")
{
    wire::JobAcceptedT job;
    job.spec = std::make_unique<wire::JobSpecT>();
    job.spec->id = id;
    job.spec->host = "q";
    job.spec->prefix = "/0/";
    job.spec->team = teamName;
    job.spec->steps.push_back(std::make_unique<wire::StepSpecT>(step));
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(job))};
    collect(test, std::move(output));
}

/** Submits a job of one step as a caller does. @return the reason of the refusal; None once accepted. */
model::Reason submitAsCaller(LeaderTest &test, const std::string &id, const wire::StepSpecT &step, const std::string &teamName)
{
    wire::RequestT request;
    request.operation = wire::Operation::SubmitJob;
    request.service = "q";
    request.path = "/0/" + id;
    request.credential = "key-" + teamName;
    request.job = std::make_unique<wire::JobSpecT>();
    request.job->team = teamName;
    request.job->steps.push_back(std::make_unique<wire::StepSpecT>(step));
    LeaderOutput output;
    handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    const model::Reason reason = output.replies.empty() ? model::Reason::None : static_cast<model::Reason>(output.replies.front().reply.error);
    collect(test, std::move(output));
    return reason;
}

/** @return the starts that were sent and not taken yet. */
std::vector<UpstreamCall> takeStarts(LeaderTest &test)
{
    std::vector<UpstreamCall> starts;
    for (const std::string id : {"u0", "u1"}) {
        for (UpstreamCall call = takeCall(test, CallKind::Start, id); call.id != 0; call = takeCall(test, CallKind::Start, id)) {
            starts.push_back(call);
        }
    }
    return starts;
}

/** Answers the next poll of an upstream. */
void answerNextPoll(LeaderTest &test, const std::string &id, std::vector<ListedRun> running, std::vector<ListedEnd> ended = {})
{
    constexpr int maxPasses = 100;
    UpstreamCall poll = takeCall(test, CallKind::Poll, id);
    for (int i = 0; poll.id == 0 && i < maxPasses; ++i) {
        pass(test, 20);
        poll = takeCall(test, CallKind::Poll, id);
    }
    CHECK(poll.id != 0);
    answerPoll(test, poll, born, std::move(running), std::move(ended));
}

std::uint64_t chargedCpu(const LeaderTest &test, const std::string &name)
{
    const auto usage = test.leader.teamUsage.find(name);
    return usage == test.leader.teamUsage.end() ? 0 : usage->second.cpuMillis;
}
}

/** A step wider than the limit would wait for ever, or run whole. */
TEST_CASE(Teams, AStepWiderThanTheLimitRunsInWaves)
{
    LeaderTest test = makeTeamLeader(2500);
    accept(test, "wide", makeStep(5, 1000, 500));
    pass(test, placingMs);
    std::vector<UpstreamCall> starts = takeStarts(test);
    CHECK_EQUAL(std::size_t{2}, starts.size());
    CHECK_EQUAL(std::uint64_t{2000}, chargedCpu(test, "a"));
    CHECK_EQUAL(std::uint32_t{0}, test.leader.waiting.begin()->second.failedAttempts);
    for (const UpstreamCall &start : starts) {
        answer(test, start, CallStatus::Done);
    }
    CHECK(starts[0].upstream == starts[1].upstream);
    pass(test, placingMs);
    CHECK(takeStarts(test).empty());
    answerNextPoll(test, starts[0].upstream, {listedRun(starts[1])}, {listedEnd(starts[0], 1)});
    CHECK_EQUAL(std::uint64_t{1000}, chargedCpu(test, "a"));
    pass(test, 20); // The next pass, not the next retry.
    CHECK_EQUAL(std::uint64_t{2000}, chargedCpu(test, "a"));
    answerNextPoll(test, starts[0].upstream, {listedRun(starts[1])}); // The end is acknowledged.
    pass(test, placingMs);
    CHECK_EQUAL(std::size_t{1}, takeStarts(test).size());
}

/** Tasks that fill idle processor time count whole: they do use it. */
TEST_CASE(Teams, AFillingStepIsChargedItsProcessorTime)
{
    LeaderTest test = makeTeamLeader(2500);
    wire::StepSpecT step = makeStep(5, 1000, 500);
    step.fills = true;
    accept(test, "filling", step);
    pass(test, placingMs);
    CHECK_EQUAL(std::size_t{2}, takeStarts(test).size());
}

/** A job of no team, or of a team that the plan doesn't contain, isn't limited. */
TEST_CASE(Teams, JobsWithoutATeamHaveNoLimit)
{
    LeaderTest test = makeTeamLeader(1000);
    accept(test, "none", makeStep(4, 1000, 500), "");
    accept(test, "other", makeStep(4, 1000, 500), "removed");
    pass(test, placingMs);
    CHECK_EQUAL(std::size_t{8}, takeStarts(test).size());
}

/** A gang, or a task, that can never fit would wait for ever. */
TEST_CASE(Teams, WhatCanNeverFitTheLimitIsRejected)
{
    LeaderTest test = makeTeamLeader(4000);
    wire::StepSpecT gang = makeStep(5, 1000, 500);
    gang.gang = true;
    CHECK(submitAsCaller(test, "gang", gang, "a") == model::Reason::BeyondTeamLimit);
    CHECK(submitAsCaller(test, "task", makeStep(1, 4001, 500), "a") == model::Reason::BeyondTeamLimit);
    CHECK_EQUAL(std::uint64_t{2}, test.leader.counters.jobsBeyondTeamLimit);
    CHECK_EQUAL(std::size_t{0}, test.state.jobs.size());
    gang.count = 4;
    CHECK(submitAsCaller(test, "gang", gang, "a") == model::Reason::None);
    CHECK(submitAsCaller(test, "wide", makeStep(5, 1000, 500), "a") == model::Reason::None);
}

/** A gang that was accepted before the limit was reduced waits without taking part in anything that serves its placement, until the limit is raised. */
TEST_CASE(Teams, AGangHeldByAReducedLimitTakesPartInNothing)
{
    LeaderTest test = makeTeamLeader(4000, true);
    test.leader.advisers = {{"", 0, 0}};
    putTeams(test, {team("a", 3000)}, true);
    wire::StepSpecT gang = makeStep(4, 1000, 500);
    gang.gang = true;
    accept(test, "gang", gang);
    pass(test, placingMs);
    const WaitingStep &waiting = test.leader.waiting.begin()->second;
    CHECK(waiting.heldByTeamLimit);
    CHECK(waiting.reserved.empty());
    CHECK_EQUAL(std::uint32_t{0}, waiting.failedAttempts);
    CHECK_EQUAL(std::uint64_t{0}, test.leader.counters.adviceCalls);
    CHECK_EQUAL(std::uint64_t{1}, test.leader.counters.stepsHeldByTeamLimit);
    CHECK(!test.leader.placementNeeded);
    putTeams(test, {team("a", 4000)}, false);
    pass(test, 20);
    CHECK_EQUAL(std::size_t{4}, takeStarts(test).size());
}

/** A reduced limit stops no task, and blocks starts until the usage is within it. */
TEST_CASE(Teams, AReducedLimitStopsNothingAndBlocksStarts)
{
    LeaderTest test = makeTeamLeader(3000);
    accept(test, "wide", makeStep(6, 1000, 500));
    pass(test, placingMs);
    const std::vector<UpstreamCall> starts = takeStarts(test);
    CHECK_EQUAL(std::size_t{3}, starts.size());
    for (const UpstreamCall &start : starts) {
        answer(test, start, CallStatus::Done);
    }
    putTeams(test, {team("a", 2000)});
    answerNextPoll(test, starts[0].upstream, {listedRun(starts[1]), listedRun(starts[2])}, {listedEnd(starts[0], 1)});
    pass(test, placingMs);
    CHECK(takeStarts(test).empty());
    CHECK(takeCall(test, CallKind::Stop, starts[0].upstream).id == 0);
    CHECK_EQUAL(std::uint64_t{2000}, chargedCpu(test, "a"));
    answerNextPoll(test, starts[0].upstream, {listedRun(starts[2])}, {listedEnd(starts[1], 2)});
    CHECK_EQUAL(std::uint64_t{1000}, chargedCpu(test, "a"));
    pass(test, 20);
    CHECK_EQUAL(std::uint64_t{2000}, chargedCpu(test, "a"));
}

/** A leader that was lost between placing and starting may have started the runs: the next one charges them before it places anything. */
TEST_CASE(Teams, ANewLeaderChargesRunsOfUnknownFate)
{
    LeaderTest test = makeTeamLeader(2000);
    accept(test, "wide", makeStep(4, 1000, 500));
    pass(test, placingMs);
    CHECK_EQUAL(std::size_t{2}, takeStarts(test).size());
    test.calls.clear();
    beginLeading(test, 11);
    CHECK_EQUAL(std::uint64_t{2000}, chargedCpu(test, "a"));
    deliverHeartbeat(test, "u0", born, "a-u0");
    deliverHeartbeat(test, "u1", born, "a-u1");
    pass(test, placingMs);
    CHECK(takeStarts(test).empty());
}

/** A run on a silent upstream may go on until its lease is over by the slowest clock; until then it is charged. */
TEST_CASE(Teams, ARunOnASilentUpstreamIsChargedUntilItsLeaseIsOver)
{
    LeaderTest test = makeTeamLeader(1000);
    accept(test, "two", makeStep(2, 1000, 500));
    pass(test, placingMs);
    const std::vector<UpstreamCall> starts = takeStarts(test);
    CHECK_EQUAL(std::size_t{1}, starts.size());
    answer(test, starts[0], CallStatus::Done);
    const std::string silent = starts[0].upstream;
    const std::string other = silent == "u0" ? "u1" : "u0";
    const std::uint64_t boundMs = test.leader.upstreams.at(test.leader.upstreamNumbers.at(silent)).lapseBoundMs;
    std::uint64_t startedMs = 0;
    constexpr std::uint64_t heartbeatMs = 1500;
    for (std::uint64_t nextMs = test.now.monotonicMs; startedMs == 0 && test.now.monotonicMs < boundMs + 30000;) {
        if (test.now.monotonicMs >= nextMs) {
            nextMs += heartbeatMs;
            deliverHeartbeat(test, other, born, "a-" + other);
        }
        pass(test, 20);
        const UpstreamCall poll = takeCall(test, CallKind::Poll, other);
        if (poll.id != 0) {
            answerPoll(test, poll, born);
        }
        answer(test, takeCall(test, CallKind::Poll, silent), CallStatus::NoAnswer);
        startedMs = takeCall(test, CallKind::Start, other).id != 0 ? test.now.monotonicMs : 0;
    }
    CHECK(startedMs > boundMs);
    CHECK_EQUAL(std::uint64_t{1000}, chargedCpu(test, "a"));
}

/** The limit holds on a simulated deployment in which callers send more than it allows. */
TEST_CASE(Teams, UpstreamsNeverRunMoreThanTheLimit)
{
    fakes::Fleet fleet(fakes::withUpstreams(4));
    fleet.teams = {team("a", 6000), team("b", 0)};
    fakes::prepare(fleet);
    for (int i = 0; i < 6; ++i) {
        fleet.submit("/0/a" + std::to_string(i), {makeStep(8, 1000, 400)}, "a");
        fleet.submit("/0/b" + std::to_string(i), {makeStep(8, 1000, 400)}, "b");
    }
    for (int i = 0; i < 6; ++i) {
        CHECK(fakes::completes(fleet, "/0/a" + std::to_string(i), 30000));
        CHECK(fakes::completes(fleet, "/0/b" + std::to_string(i), 30000));
    }
    fakes::checkGuarantees(fleet);
}

/** The backlog of one team used up the attempts of each pass, so that steps of other teams weren't tried. */
TEST_CASE(Teams, TheBacklogOfOneTeamLeavesAttemptsToOthers)
{
    LeaderTest test = makeTeamLeader(0);
    putTeams(test, {team("a", 0), team("b", 0)});
    accept(test, "part", makeStep(2, 9000, 60000), "b"); // On each upstream 7 cores are left.
    pass(test, placingMs);
    CHECK_EQUAL(std::size_t{2}, takeStarts(test).size());
    constexpr int backlog = 100;
    for (int i = 0; i < backlog; ++i) {
        accept(test, "wide" + std::to_string(i), makeStep(1, 8000, 500), "a");
    }
    accept(test, "narrow", makeStep(1, 1000, 500), "b");
    pass(test, 20);
    CHECK_EQUAL(std::size_t{1}, takeStarts(test).size());
}

namespace
{
constexpr int teamCount = 20;

std::uint64_t median(std::vector<std::uint64_t> values)
{
    CHECK(!values.empty());
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** Median times from a submission to the first start of a task. */
struct StartTimes
{
    std::uint64_t hotMs = 0; ///< Of the first team.
    std::uint64_t othersMs = 0;
};

/**
 * Runs a deployment at 86 percent of its processors while all teams send at their usual rates.
 * @param hotPercent rate of the first team, in percent of its usual one. @return the times; of jobs without a start, the time that they have waited.
 */
StartTimes startTimes(std::uint64_t hotPercent)
{
    // 8 upstreams of 16 cores; a job takes 2 cores (1.6 percent) for 2.25 s, with the time for its start and for the report of its end. So a job each 820 ms
    // of each of 20 teams takes 110 cores.
    constexpr std::uint64_t intervalMs = 820;
    constexpr std::uint64_t sendingMs = 40000;
    constexpr std::uint64_t warmUpMs = 10000;
    constexpr std::uint64_t stepMs = 5;
    fakes::Fleet fleet(fakes::withUpstreams(8));
    for (int i = 0; i < teamCount; ++i) {
        fleet.teams.push_back(team("t" + std::to_string(i), 0));
    }
    fakes::prepare(fleet);
    const std::uint64_t beginMs = fleet.nowMs;
    std::vector<std::mt19937_64> random;
    std::vector<std::uint64_t> nextMs;
    const auto pauseMs = [&](int index) {
        const std::uint64_t meanMs = index == 0 ? intervalMs * 100 / hotPercent : intervalMs;
        return 1 + random[static_cast<std::size_t>(index)]() % (2 * meanMs);
    };
    for (int i = 0; i < teamCount; ++i) {
        random.emplace_back(i);
        nextMs.push_back(beginMs + pauseMs(i));
    }
    std::map<std::string, std::pair<int, std::uint64_t>> sent; ///< Team and time, by job.
    while (fleet.nowMs < beginMs + sendingMs) {
        for (int i = 0; i < teamCount; ++i) {
            for (std::uint64_t &dueMs = nextMs[static_cast<std::size_t>(i)]; dueMs <= fleet.nowMs; dueMs += pauseMs(i)) {
                const std::string id = "j" + std::to_string(sent.size());
                sent[id] = {i, fleet.nowMs};
                fleet.submit("/0/" + id, {makeStep(2, 1000, 2000)}, "t" + std::to_string(i));
            }
        }
        fleet.run(stepMs);
    }
    std::vector<std::uint64_t> hot;
    std::vector<std::uint64_t> others;
    for (const auto &[id, job] : sent) {
        const auto started = fleet.firstStartMs.find(id);
        const std::uint64_t waitedMs = (started == fleet.firstStartMs.end() ? fleet.nowMs : started->second) - job.second;
        if (job.second >= beginMs + warmUpMs) {
            (job.first == 0 ? hot : others).push_back(waitedMs);
        }
    }
    fakes::checkGuarantees(fleet);
    return {median(hot), median(others)};
}
}

/** A team that sent 7.5 times its usual rate delayed the jobs of all teams alike. */
TEST_CASE(Teams, ATeamThatSendsTooMuchDelaysItsOwnJobs)
{
    constexpr std::uint64_t maxGrowthMs = 300; // Half of the shortest objective. The capacity is full, so a job waits for some ends of tasks that last 2 s.
    constexpr std::uint64_t minHotGrowthMs = 1000;
    const StartTimes usual = startTimes(100);
    const StartTimes overloaded = startTimes(750);
    const std::string text = "others " + std::to_string(usual.othersMs) + " to " + std::to_string(overloaded.othersMs) + " ms, hot "
        + std::to_string(usual.hotMs) + " to " + std::to_string(overloaded.hotMs) + " ms";
    CPPUNIT_ASSERT_MESSAGE(text, overloaded.othersMs <= usual.othersMs + maxGrowthMs);
    CPPUNIT_ASSERT_MESSAGE(text, overloaded.hotMs >= usual.hotMs + minHotGrowthMs);
}

/** While all teams have more work than capacity, they use it by weight. */
TEST_CASE(Teams, SaturatedCapacityIsDividedByWeight)
{
    fakes::Fleet fleet(fakes::withUpstreams(8));
    fleet.teams = {team("a", 0, 1), team("b", 0, 2), team("c", 0, 5)};
    fakes::prepare(fleet);
    constexpr int jobs = 400;
    for (int i = 0; i < jobs; ++i) {
        for (const std::string name : {"a", "b", "c"}) {
            fleet.submit("/0/" + name + std::to_string(i), {makeStep(2, 1000, 1000)}, name);
        }
    }
    fleet.run(3000);
    std::map<std::string, std::uint64_t> usedMillis;
    std::uint64_t totalMillis = 0;
    constexpr int samples = 40;
    for (int i = 0; i < samples; ++i) {
        fleet.run(100);
        for (const auto &[name, usage] : fleet.leader()->host->leader.teamUsage) {
            usedMillis[name] += usage.cpuMillis;
            totalMillis += usage.cpuMillis;
        }
    }
    const auto share = [&](const std::string &name) {
        return static_cast<double>(usedMillis[name]) / static_cast<double>(totalMillis);
    };
    const std::string text = "a " + std::to_string(share("a")) + " b " + std::to_string(share("b")) + " c " + std::to_string(share("c"));
    constexpr double tolerance = 4 * 2.0 / 128; // Two teams may have a job of 2 cores beside their share, and place one more until they have it.
    CPPUNIT_ASSERT_MESSAGE(text, std::abs(share("a") - 1.0 / 8) < tolerance);
    CPPUNIT_ASSERT_MESSAGE(text, std::abs(share("b") - 2.0 / 8) < tolerance);
    CPPUNIT_ASSERT_MESSAGE(text, std::abs(share("c") - 5.0 / 8) < tolerance);
    fakes::checkGuarantees(fleet);
}
