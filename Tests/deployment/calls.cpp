#include "deployment/fleettesting.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;

constexpr std::uint64_t waitMs = 5000;

/** A host without a vote that is connected to the leader, and the effects of its latest events. */
struct EntryProcess
{
    deployment::Host host;
    deployment::Now now{10000, 1700000000000};
    deployment::HostOutput output;
};

/** Starts a process of the entry host "e0" that knows its leader. @param seed of the process. @return the process, without open calls. */
EntryProcess startEntryProcess(std::uint64_t seed)
{
    deployment::HostOptions options;
    options.host = "e0";
    options.seeds = {"c0"};
    EntryProcess process;
    std::error_code error;
    process.host = deployment::makeHost(options, 1, {}, seed, process.now, error);
    deployment::handlePeer(process.host, "c0", {true, true, 1, "dc1", false}, process.now, process.output);
    deployment::tick(process.host, process.now, process.output);
    wire::ReplyT topology;
    topology.leader = "c0";
    deployment::handleReply(process.host, process.output.calls.at(0).id, topology, process.now, process.output);
    process.output = {};
    return process;
}

/** Sends a request of a local caller to the leader. @param process the host. @param operation the operation. @return the id of the call. */
std::uint64_t callLeader(EntryProcess &process, wire::Operation operation)
{
    wire::RequestT request;
    request.operation = operation;
    request.waitMs = waitMs;
    deployment::handleLocalRequest(process.host, 1, std::move(request), process.now, process.output);
    CHECK_EQUAL(std::size_t{1}, process.output.calls.size());
    return process.output.calls.at(0).id;
}

/** Kills the control hosts and starts them again. @param fleet the deployment. @param downMs the time between the two. */
void restartControlHosts(Fleet &fleet, std::uint64_t downMs)
{
    for (fakes::FakeHost &host : fleet.hosts) {
        if (host.control) {
            fleet.kill(host);
        }
    }
    fleet.run(downMs);
    for (fakes::FakeHost &host : fleet.hosts) {
        if (host.control) {
            fleet.start(host);
        }
    }
}
}

/** A restarted host passed the reply to a call of its predecessor to a caller of its own: a submission counted as accepted that had never arrived. */
TEST_CASE(Calls, ARestartedHostIgnoresRepliesToItsPredecessor)
{
    for (const wire::Operation operation : {wire::Operation::SubmitJob,
                                            wire::Operation::JobQuery,
                                            wire::Operation::JobCancel,
                                            wire::Operation::QueueLength,
                                            wire::Operation::UpstreamBeat,
                                            wire::Operation::UpstreamLeave,
                                            wire::Operation::PlanPut,
                                            wire::Operation::PlanRead,
                                            wire::Operation::StartWave,
                                            wire::Operation::ReadWave}) {
        EntryProcess former = startEntryProcess(1);
        EntryProcess successor = startEntryProcess(2);
        const std::uint64_t formerCall = callLeader(former, operation);
        const std::uint64_t ownCall = callLeader(successor, operation);
        deployment::handleReply(successor.host, formerCall, {}, successor.now, successor.output);
        CHECK(successor.output.replies.empty());
        CHECK_EQUAL(std::uint64_t{1}, successor.host.unmatchedReplies);
        deployment::handleReply(successor.host, ownCall, {}, successor.now, successor.output);
        CHECK_EQUAL(std::size_t{1}, successor.output.replies.size());
        CHECK_EQUAL(std::uint64_t{1}, successor.host.unmatchedReplies);
    }
}

/** A submission is accepted, its answer lost and its key removed: a rejection of the repetition would state that nothing was done. */
TEST_CASE(Calls, ARemovedKeyDoesNotHideAnAcceptedSubmission)
{
    EntryProcess process = startEntryProcess(1);
    wire::ReplyT reply;
    reply.leader = "c0";
    reply.error = static_cast<std::uint16_t>(model::Reason::LeadershipLost);
    deployment::handleReply(process.host, callLeader(process, wire::Operation::SubmitJob), reply, process.now, process.output);
    process.output = {};
    process.now.monotonicMs += process.host.options.retryDelayMs;
    deployment::tick(process.host, process.now, process.output);
    reply.error = static_cast<std::uint16_t>(model::Reason::CredentialUnknown);
    deployment::handleReply(process.host, process.output.calls.at(0).id, reply, process.now, process.output);
    CHECK_EQUAL(static_cast<int>(model::Reason::HomeSilent), static_cast<int>(process.output.replies.at(0).reply.error));
}

/** A restarted host took the reply to a query of its predecessor for one to its own, and a submission's reply for the list of control hosts. */
TEST_CASE(Calls, ARestartedHostIgnoresTheTopologyOfItsPredecessor)
{
    EntryProcess former = startEntryProcess(1);
    EntryProcess successor = startEntryProcess(2);
    for (EntryProcess *process : {&former, &successor}) {
        process->now.monotonicMs += process->host.options.topologyIntervalMs;
        deployment::tick(process->host, process->now, process->output);
        CHECK_EQUAL(std::size_t{1}, process->output.calls.size());
    }
    wire::ReplyT topology;
    topology.leader = "c9";
    deployment::handleReply(successor.host, former.output.calls.at(0).id, topology, successor.now, successor.output);
    CHECK_TEXT("c0", deployment::leaderOf(successor.host, successor.now));
    deployment::handleReply(successor.host, successor.output.calls.at(0).id, topology, successor.now, successor.output);
    CHECK_TEXT("c9", deployment::leaderOf(successor.host, successor.now));
}

/** A restarted leader took advice for its predecessor's requests as that for its own: jobs were never started, as the upstreams that the advice service
 * allows for them counted as denied. */
TEST_CASE(Calls, ARestartedLeaderIgnoresAdviceForItsPredecessor)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetOptions options = fakes::withUpstreams(16); // Each step is allowed on some of them.
        options.seed = seed;
        options.allowedShare = 0.5;
        options.entryHosts = 4;
        Fleet fleet(options);
        fleet.trace = std::getenv("ROSEMARYTURN_TRACE") != nullptr;
        waitUntilReady(fleet);
        CHECK(fleet.putPlan(1, 3, true));
        fleet.hostFaults.heldReplyShare = 0.7;
        std::vector<std::string> jobs;
        for (int cycle = 0; cycle < 3; ++cycle) {
            for (int i = 0; i < 30; ++i) {
                jobs.push_back("/0/j" + std::to_string(cycle) + "-" + std::to_string(i));
                fleet.submit(jobs.back(), {makeStep(1, 1000, 500)});
                fleet.run(30);
            }
            restartControlHosts(fleet, 500);
            fleet.run(3000);
        }
        fleet.hostFaults.heldReplyShare = 0;
        CHECK_TEXT("", violationsText(fleet));
        for (const std::string &path : jobs) {
            CHECK(completes(fleet, path, 30000));
        }
        CHECK_TEXT("", violationsText(fleet));
    }
}

/** Replies of every kind are held while the processes that called are replaced again and again. */
TEST_CASE(Calls, HeldRepliesKeepThePromises)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        FleetOptions options = fakes::withUpstreams(8);
        options.seed = seed;
        options.allowedShare = 0.5;
        options.entryHosts = 1; // All submissions of one process have adjacent call ids.
        Fleet fleet(options);
        waitUntilReady(fleet);
        CHECK(fleet.putPlan(1, 3, true));
        fleet.hostFaults.heldReplyShare = 0.5;
        std::mt19937_64 random(seed);
        std::vector<std::pair<std::string, deployment::Token>> submitted;
        constexpr int jobs = 160;
        constexpr int jobsPerProcess = 8;
        for (int i = 0; i < jobs; ++i) {
            const std::string path = "/0/j" + std::to_string(i);
            submitted.emplace_back(path, fleet.submit(path, {makeStep(1 + i % 3, 1000, 400)}));
            fleet.run(random() % 100);
            if (i % jobsPerProcess == jobsPerProcess - 1) {
                fakes::FakeHost &host = i % 3 == 0 ? fleet.hosts[random() % options.controlHosts] : fleet.hosts.back();
                fleet.kill(host);
                fleet.run(random() % 300);
                fleet.start(host);
                fleet.run(200);
            }
        }
        fleet.hostFaults.heldReplyShare = 0;
        fleet.run(waitMs);
        for (const auto &[path, token] : submitted) {
            const fakes::FakeAnswer &answer = fleet.answer(token);
            if (answer.answered && answer.reply.error == 0) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " accepted but unknown: " + path, fleet.phase(path).has_value());
            }
        }
        CHECK_TEXT("", violationsText(fleet));
    }
}

/** Requests of a leader that was gone kept the advice service busy for seconds, while the requests of its successor waited behind them. */
TEST_CASE(Calls, TheAdviceRequestsOfALostHostAreDropped)
{
    EntryProcess process = startEntryProcess(1);
    deployment::handlePeer(process.host, "c1", {true, true, 1, "dc1", false}, process.now, process.output);
    const auto requestAdvice = [&process](const std::string &from, std::uint64_t call) {
        wire::RequestT request;
        request.operation = wire::Operation::Advise;
        request.waitMs = waitMs;
        request.advice = std::make_unique<wire::AdviceAskT>();
        request.advice->step = from + "-" + std::to_string(call);
        request.advice->costMs = 300;
        deployment::handleCall(process.host, from, call, std::move(request), process.now, process.output);
    };
    constexpr std::uint64_t requests = 10;
    for (std::uint64_t call = 1; call <= requests; ++call) {
        requestAdvice("c0", call);
    }
    requestAdvice("c1", 1);
    const std::vector<deployment::LocalAdviceRequest> sent = std::exchange(process.output.advice, {});
    CHECK(sent.size() < requests); // The service handles them in turn, so that the others can wait here.
    deployment::handlePeer(process.host, "c0", {false, true, 1, "dc1", false}, process.now, process.output);
    deployment::handleAdviceReply(process.host, {sent.front().id, true, 0, {}}, process.now, process.output);
    CHECK(process.output.peerReplies.empty());
    CHECK_EQUAL(std::size_t{1}, process.output.advice.size());
    CHECK_TEXT("c1-1", process.output.advice.front().step);
    CHECK_EQUAL(requests - sent.size(), process.host.adviceDropped);
}

/** A request that had waited until its sender gave it up was sent all the same. */
TEST_CASE(Calls, AdviceRequestsAreSentInTurnAndInTime)
{
    constexpr std::uint64_t decisionMs = 200;
    EntryProcess process = startEntryProcess(1);
    for (std::uint64_t call = 1; call <= 5; ++call) {
        wire::RequestT request;
        request.operation = wire::Operation::Advise;
        request.waitMs = call == 3 ? 100 : waitMs;
        request.advice = std::make_unique<wire::AdviceAskT>();
        request.advice->step = "s" + std::to_string(call);
        request.advice->costMs = decisionMs;
        deployment::handleCall(process.host, "c0", call, std::move(request), process.now, process.output);
    }
    std::string steps;
    while (!process.output.advice.empty()) {
        process.now.monotonicMs += decisionMs;
        const deployment::LocalAdviceRequest sent = process.output.advice.front();
        process.output.advice.erase(process.output.advice.begin());
        steps += sent.step + " ";
        CHECK(sent.timeoutMs <= waitMs);
        deployment::handleAdviceReply(process.host, {sent.id, true, 0, {}}, process.now, process.output);
    }
    CHECK_TEXT("s1 s2 s4 s5 ", steps);
    CHECK_EQUAL(std::size_t{4}, process.output.peerReplies.size());
    CHECK(process.host.adviceOrigins.empty());
    CHECK(process.host.adviceInProgress.empty());
}

/** Short requests would wait for the way to the service and back if only two were sent at a time. */
TEST_CASE(Calls, MoreShortAdviceRequestsAreSentAtATime)
{
    for (const auto &[costMs, sent] : {std::pair(7U, 5U), std::pair(50U, 5U), std::pair(100U, 3U), std::pair(326U, 2U)}) {
        EntryProcess process = startEntryProcess(1);
        for (std::uint64_t call = 1; call <= 10; ++call) {
            wire::RequestT request;
            request.operation = wire::Operation::Advise;
            request.waitMs = waitMs;
            request.advice = std::make_unique<wire::AdviceAskT>();
            request.advice->costMs = costMs;
            deployment::handleCall(process.host, "c0", call, std::move(request), process.now, process.output);
        }
        CHECK_EQUAL(std::size_t{sent}, process.output.advice.size());
    }
}

/** Steps waited for the time-out of a request to the advice service after the host that had sent it was lost, and the call was kept for good. */
TEST_CASE(Calls, AdviceRequestsThroughALostHostCountAsUnansweredAtOnce)
{
    Fleet fleet(fakes::withUpstreams(4));
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 3, true));
    deployment::Host &leader = *fleet.leader()->host;
    leader.options.canRequestAdvice = false;
    deployment::internal::refreshAdvisers(leader);
    for (int i = 0; i < 20; ++i) {
        fleet.submit("/0/j" + std::to_string(i), {makeStep(1, 1000, 500)});
    }
    CHECK(fleet.runUntil(
        [&] {
            return !leader.adviceCalls.empty();
        },
        5000));
    const std::string lost = leader.adviceCalls.begin()->second.to;
    const auto open = static_cast<std::uint64_t>(std::count_if(leader.adviceCalls.begin(), leader.adviceCalls.end(), [&lost](const auto &call) {
        return call.second.to == lost;
    }));
    const std::size_t others = leader.adviceCalls.size() - open;
    const std::uint64_t unanswered = leader.leader.counters.adviceUnanswered;
    deployment::HostOutput output;
    deployment::handlePeer(leader, lost, {false, false, 1, "", false}, {fleet.nowMs, fleet.nowMs}, output);
    CHECK_EQUAL(unanswered + open, leader.leader.counters.adviceUnanswered);
    CHECK_EQUAL(others, leader.adviceCalls.size());
}

/** A submission that had waited at a suspended host for longer than cancellations are kept would have run after its cancellation was answered. */
TEST_CASE(Calls, AStalledHostForwardsNoEarlierSubmission)
{
    constexpr std::uint64_t suspendedMs = 200000; // Longer than LeaderOptions::keepJobsMs.
    constexpr std::uint64_t tickMs = 40;
    EntryProcess process = startEntryProcess(1);
    const auto isForwarded = [&process](wire::Operation operation) {
        wire::RequestT request;
        request.operation = operation;
        request.waitMs = waitMs;
        process.output = {};
        deployment::handlePeer(process.host, "c0", {true, true, 1, "dc1", false}, process.now, process.output);
        process.host.reportedLeaderMs = process.now.monotonicMs;
        deployment::handleLocalRequest(process.host, 1, std::move(request), process.now, process.output);
        process.host.routed.clear();
        CHECK_EQUAL(process.output.calls.empty(), !process.output.replies.empty());
        for (const deployment::TokenReply &reply : process.output.replies) {
            CHECK_EQUAL(static_cast<int>(model::Reason::RequestTooSlow), static_cast<int>(reply.reply.error));
        }
        return !process.output.calls.empty();
    };
    CHECK(isForwarded(wire::Operation::SubmitJob));
    process.now.monotonicMs += suspendedMs;
    CHECK(!isForwarded(wire::Operation::SubmitJob));
    CHECK(isForwarded(wire::Operation::JobCancel));
    for (std::uint64_t passedMs = 0; passedMs < process.host.options.stallGraceMs; passedMs += tickMs) {
        CHECK(!isForwarded(wire::Operation::SubmitJob));
        process.now.monotonicMs += tickMs;
        deployment::tick(process.host, process.now, process.output);
    }
    CHECK(isForwarded(wire::Operation::SubmitJob));
    process.now.monotonicMs += process.host.options.maxStallMs - 1; // A request that is that old is still barred by its tombstone.
    CHECK(isForwarded(wire::Operation::SubmitJob));
}
