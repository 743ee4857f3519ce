#include "config/credential.h"
#include "deployment/fleettesting.h"
#include "deployment/leadertesting.h"

#include <array>
#include <functional>
#include <map>

/** Once a cancellation is answered, nothing of its job is started, wherever the submission is at that moment. */
namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;
using fakes::Fleet;
using fakes::makeStep;
using model::Reason;
using wire::Operation;

constexpr std::uint64_t term = 10;
constexpr std::uint64_t born = 1700000050000;
constexpr Token callToken = 1000; ///< Of the requests that call() sends.

/** @return a leader with one queue and one upstream. */
LeaderTest makeLeader()
{
    LeaderTest test;
    beginLeading(test, term);
    putPlan(test, true);
    deliverHeartbeat(test, "u0", born, "a0");
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, "u0"), born);
    return test;
}

/** Sends a request of a caller. @param test the leader. @param token of the reply. @param operation the operation. @param path of the job. @param key of the
 * caller's team; empty for none. */
void request(LeaderTest &test, Token token, Operation operation, const std::string &path, const std::string &key = {})
{
    wire::RequestT request;
    request.operation = operation;
    request.service = "q";
    request.path = path;
    request.credential = key.empty() ? "" : config::credentialDigest(key);
    if (operation == Operation::SubmitJob) {
        request.job = std::make_unique<wire::JobSpecT>();
        request.job->payload = "payload";
        request.job->steps.push_back(std::make_unique<wire::StepSpecT>(makeStep(1, 1000, 500)));
    }
    LeaderOutput output;
    handleRequest(test.leader, test.state, token, std::move(request), test.now, output);
    collect(test, std::move(output));
}

/** @param test the leader. @param token of a request. @return the reason of its refusal, None if it was granted; nothing while it waits. */
std::optional<Reason> reasonOf(const LeaderTest &test, Token token)
{
    const auto found = test.replies.find(token);
    return found == test.replies.end() ? std::nullopt : std::optional(static_cast<Reason>(found->second.error));
}

/** Sends a request and returns the reason of its refusal, as reasonOf() does. */
std::optional<Reason> call(LeaderTest &test, Operation operation, const std::string &path, const std::string &key = {})
{
    test.replies.erase(callToken);
    request(test, callToken, operation, path, key);
    return reasonOf(test, callToken);
}

/** Checks that a job is shown as cancelled and that nothing of it is started. */
void checkNothingRuns(LeaderTest &test, const std::string &path)
{
    constexpr std::uint64_t placementMs = 2000;
    pass(test, placementMs);
    CHECK(takeCall(test, CallKind::Start, "u0").id == 0);
    CHECK(call(test, Operation::JobQuery, path) == Reason::None);
    CHECK_EQUAL(static_cast<int>(job::Phase::Cancelled), static_cast<int>(test.replies.at(callToken).jobPhase));
    CHECK(test.leader.queuedCounts[std::pair("q", "/0/")] == 0);
}
}

/** A cancellation was answered with "no such job" while the record of the submission was being committed, and the job ran. */
TEST_CASE(Cancels, ACancelOfAProposedSubmissionIsAnsweredOnceTheJobIsCancelled)
{
    LeaderTest test = makeLeader();
    test.commits = false;
    request(test, 11, Operation::SubmitJob, "/0/j");
    request(test, 12, Operation::JobCancel, "/0/j");
    CHECK(!reasonOf(test, 11));
    CHECK(!reasonOf(test, 12));
    test.commits = true;
    commit(test);
    CHECK(reasonOf(test, 11) == Reason::None);
    CHECK(reasonOf(test, 12) == Reason::None);
    checkNothingRuns(test, "/0/j");
}

/** A cancellation overtook its submission, was answered with "no such job", and the job ran. */
TEST_CASE(Cancels, ASubmissionAfterItsCancelRunsNothing)
{
    LeaderTest test = makeLeader();
    test.commits = false;
    request(test, 11, Operation::JobCancel, "/0/j");
    request(test, 12, Operation::JobCancel, "/0/j");
    request(test, 13, Operation::SubmitJob, "/0/j"); // Before the cancellation is committed.
    CHECK(!reasonOf(test, 11));
    test.commits = true;
    commit(test);
    CHECK(reasonOf(test, 11) == Reason::UnknownJob);
    CHECK(reasonOf(test, 12) == Reason::UnknownJob);
    CHECK(reasonOf(test, 13) == Reason::None);
    checkNothingRuns(test, "/0/j");
    CHECK_EQUAL(std::uint64_t{1}, test.leader.counters.tombstones);
    CHECK(call(test, Operation::JobCancel, "/0/k") == Reason::UnknownJob);
    CHECK(call(test, Operation::JobQuery, "/0/k") == Reason::UnknownJob); // Nobody has submitted it.
    CHECK(call(test, Operation::JobQuery, "/0/" + job::tombstoneId("q", "/0/", "", "k")) == Reason::UnknownJob);
    CHECK(call(test, Operation::SubmitJob, "/0/k") == Reason::None);
    CHECK(call(test, Operation::SubmitJob, "/0/k") == Reason::None); // Sent again by its client.
    checkNothingRuns(test, "/0/k");
    CHECK_EQUAL(std::uint64_t{2}, test.leader.counters.jobsCancelledBefore);
}

/** A cancellation is a fact of the group: it holds under a later leader, which may have received it in a snapshot. */
TEST_CASE(Cancels, AnAnsweredCancelOutlivesItsLeader)
{
    LeaderTest test = makeLeader();
    CHECK(call(test, Operation::JobCancel, "/0/j") == Reason::UnknownJob);
    const std::uint64_t bytes = test.state.tombstoneBytes;
    CHECK(bytes > 0);
    test.state = job::decodeImage(job::encodeImage(test.state)).value();
    CHECK_EQUAL(bytes, test.state.tombstoneBytes);
    beginLeading(test, term + 1);
    CHECK(call(test, Operation::SubmitJob, "/0/j") == Reason::None);
    checkNothingRuns(test, "/0/j");
}

/** Requests whose records may be lost with the leader aren't answered as if they were recorded. */
TEST_CASE(Cancels, ACancelThatIsNotRecordedIsNotAnswered)
{
    LeaderTest test = makeLeader();
    test.commits = false;
    request(test, 11, Operation::SubmitJob, "/0/j");
    request(test, 12, Operation::JobCancel, "/0/j");
    request(test, 13, Operation::JobCancel, "/0/k");
    LeaderOutput output;
    endLeading(test.leader, output);
    collect(test, std::move(output));
    for (const Token token : {11, 12, 13}) {
        CHECK(reasonOf(test, token) == Reason::LeadershipLost);
    }
}

/** A client that isn't told that its job was accepted must not be able to keep another's job from running. */
TEST_CASE(Cancels, ACancelBarsOnlyTheQueueAndTheTeamOfItsCaller)
{
    LeaderTest test = makeLeader();
    wire::PlanAcceptedT plan;
    plan.version = test.state.plan.version + 1;
    plan.requiresKeys = true;
    for (const std::string name : {"a", "b"}) {
        plan.teams.push_back(std::make_unique<wire::TeamSpecT>());
        plan.teams.back()->name = name;
        plan.teams.back()->keyDigests = {config::credentialDigest("k" + name)};
    }
    for (const std::string prefix : {"/0/", "/1/", "/public/"}) {
        plan.queues.push_back(std::make_unique<wire::QueueSpecT>(*test.state.plan.queues.at(0)));
        plan.queues.back()->prefix = prefix;
        plan.queues.back()->isPublic = prefix == "/public/";
    }
    CHECK(call(test, Operation::JobCancel, "/0/early") == Reason::UnknownJob); // Before the plan required keys.
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(test, std::move(output));
    const auto isCancelled = [&test](const std::string &path, const std::string &key) {
        CHECK(call(test, Operation::SubmitJob, path, key) == Reason::None);
        return test.state.jobs.at(test.state.jobNumberById.at(path.substr(path.rfind('/') + 1))).phase == job::Phase::Cancelled;
    };
    CHECK(isCancelled("/0/early", "ka"));
    CHECK(call(test, Operation::JobCancel, "/0/j", "kc") == Reason::CredentialUnknown);
    for (const std::string id : {"j1", "j2", "j3"}) {
        CHECK(call(test, Operation::JobCancel, "/0/" + id, "ka") == Reason::UnknownJob);
    }
    CHECK(isCancelled("/0/j1", "ka"));
    CHECK(!isCancelled("/0/j2", "kb"));
    CHECK(!isCancelled("/1/j3", "ka"));
    CHECK(call(test, Operation::JobCancel, "/public/p", "ka") == Reason::UnknownJob);
    CHECK(isCancelled("/public/p", "")); // As for a job: one without a team may be cancelled with any key.
}

/** Clients that send cancellations of random ids must not take the memory of jobs, and aren't told that a cancellation holds that wasn't stored. */
TEST_CASE(Cancels, CancelsOfUnknownIdsHaveABoundedPartOfTheMemory)
{
    LeaderTest test = makeLeader();
    test.leader.options.maxHeldBytes = 4U << 20U;
    test.commits = false; // Proposed ones count, too.
    int stored = 0;
    while (call(test, Operation::JobCancel, "/0/c" + std::to_string(stored)) != Reason::StateFull) {
        ++stored;
    }
    test.commits = true;
    commit(test);
    CHECK(stored > 100);
    CHECK(test.state.tombstoneBytes <= test.leader.options.maxHeldBytes / 8);
    CHECK_EQUAL(std::uint64_t{0}, test.leader.proposedTombstoneBytes);
    CHECK_EQUAL(std::uint64_t{0}, test.leader.proposedBytes);
    CHECK_EQUAL(std::uint64_t{1}, test.leader.counters.tombstonesWithoutRoom);
    CHECK(call(test, Operation::JobCancel, "/0/c0") == Reason::UnknownJob); // Stored before.
    CHECK(call(test, Operation::SubmitJob, "/0/j") == Reason::None);
    CHECK(call(test, Operation::JobCancel, "/0/j") == Reason::None);
}

/** Cancelled ids are kept as long as ended jobs, and their memory is free afterwards. */
TEST_CASE(Cancels, CancelledIdsAreForgotten)
{
    LeaderTest test = makeLeader();
    CHECK(call(test, Operation::JobCancel, "/0/j") == Reason::UnknownJob);
    CHECK(call(test, Operation::JobCancel, "/0/k") == Reason::UnknownJob);
    CHECK(call(test, Operation::SubmitJob, "/0/k") == Reason::None);
    pass(test, test.leader.options.keepJobsMs - 1000);
    CHECK_EQUAL(std::size_t{3}, test.state.jobs.size());
    pass(test, 4000);
    CHECK(test.state.jobs.empty());
    CHECK(test.state.jobNumberById.empty());
    CHECK_EQUAL(std::uint64_t{0}, test.state.tombstoneBytes);
    CHECK_EQUAL(std::uint64_t{0}, test.state.heldBytes);
}

/** A host with an earlier build keeps tombstones as queued jobs, and writes them so into its snapshots. */
TEST_CASE(Cancels, AJobWithoutStepsInASnapshotIsCancelled)
{
    LeaderTest test = makeLeader();
    CHECK(call(test, Operation::JobCancel, "/0/j") == Reason::UnknownJob);
    const auto image = wire::decode<wire::DeploymentImageT>(job::encodeImage(test.state));
    image->jobs.at(0)->phase = static_cast<std::int8_t>(job::Phase::Queued);
    image->jobs.at(0)->endedAtMs = 0;
    const job::State read = job::decodeImage(wire::encode(*image)).value();
    CHECK(read.jobs.begin()->second.phase == job::Phase::Cancelled);
    CHECK_EQUAL(test.state.tombstoneBytes, read.tombstoneBytes);
}

namespace
{
constexpr std::uint64_t taskMs = 6000;

/** A disturbance while a submission and its cancellation are on their way. */
struct Disturbance
{
    const char *name;
    std::function<void(Fleet &)> before; ///< Runs before the first of the two requests is sent.
    std::function<void(Fleet &)> between; ///< Runs before the second one is sent.
    bool leavesUpstreamsAlone; ///< Whether nothing delays a stop, so that runs must be gone in time.
};

void killLeader(Fleet &fleet)
{
    if (fakes::FakeHost *leader = fleet.leader()) {
        fleet.kill(*leader);
    }
}

void suspendLeader(Fleet &fleet)
{
    constexpr std::uint64_t suspendedMs = 5000;
    if (fakes::FakeHost *leader = fleet.leader()) {
        fleet.suspend(*leader, suspendedMs);
    }
}

void cutLeaderFromEntryHost(Fleet &fleet)
{
    if (const fakes::FakeHost *leader = fleet.leader()) {
        fleet.setPartitioned(leader->id, "e3", true);
    }
}

const std::array disturbances{
    Disturbance{"none", {}, {}, true},
    Disturbance{"entry host suspended",
                [](Fleet &fleet) {
                    fleet.suspend(fleet.host("e3"), 1000);
                },
                {},
                true},
    Disturbance{"entry host suspended for long",
                [](Fleet &fleet) {
                    fleet.suspend(fleet.host("e3"), 5000);
                },
                {},
                true},
    Disturbance{"entry host cut off from the leader", cutLeaderFromEntryHost, {}, true},
    Disturbance{"leader killed before", killLeader, {}, false},
    Disturbance{"leader killed between", {}, killLeader, false},
    Disturbance{"leader suspended before", suspendLeader, {}, false},
    Disturbance{"leader suspended between", {}, suspendLeader, false},
};

/** Cancels a job as a client does: it repeats the request until it is answered with success or "no such job". @return whether it was. */
bool cancelUntilAnswered(Fleet &fleet, const std::string &path)
{
    constexpr int tries = 30;
    for (int i = 0; i < tries; ++i) {
        const Token token = fleet.sendRequest(Operation::JobCancel, path, &fleet.host("e4"));
        fleet.runUntil(
            [&] {
                return fleet.answer(token).answered;
            },
            3000);
        const auto reason = static_cast<Reason>(fleet.answer(token).reply.error);
        if (fleet.answer(token).answered && (reason == Reason::None || reason == Reason::UnknownJob)) {
            return true;
        }
        fleet.run(100);
    }
    return false;
}

/** Sends a submission and its cancellation through different hosts. @param offsetMs delay of the cancellation; negative if it is sent first. */
void playCancel(Fleet &fleet, const std::string &path, int offsetMs, const Disturbance &disturbance)
{
    const std::vector<wire::StepSpecT> steps{makeStep(1, 500, taskMs)};
    const auto runBetween = [&] {
        fleet.run(static_cast<std::uint64_t>(std::abs(offsetMs)));
        if (disturbance.between) {
            disturbance.between(fleet);
        }
    };
    if (disturbance.before) {
        disturbance.before(fleet);
    }
    if (offsetMs < 0) {
        const Token token = fleet.sendRequest(Operation::JobCancel, path, &fleet.host("e4"));
        runBetween();
        fleet.submit(path, steps, {}, &fleet.host("e3"));
        fleet.runUntil(
            [&] {
                return fleet.answer(token).answered;
            },
            3000);
    } else {
        fleet.submit(path, steps, {}, &fleet.host("e3"));
        runBetween();
    }
    CHECK(cancelUntilAnswered(fleet, path));
    constexpr std::uint64_t watchedMs = 9000;
    constexpr std::uint64_t repeatMs = 2000;
    for (std::uint64_t passedMs = 0; passedMs < watchedMs; passedMs += 100) {
        if (passedMs == repeatMs) { // A client that had no answer sends its submission again.
            fleet.submit(path, steps, {}, &fleet.host("e4"));
        }
        fleet.run(100);
        if (disturbance.leavesUpstreamsAlone) {
            fleet.checkCancelledRuns();
        }
    }
}

void endDisturbance(Fleet &fleet)
{
    for (fakes::FakeHost &host : fleet.hosts) {
        host.partitionedFrom.clear();
        if (!host.alive) {
            fleet.start(host);
        }
    }
    fleet.reconnectHosts();
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        10000));
    fleet.run(1000);
}
}

/** A job ran after its cancellation was answered with "no such job", whenever the submission arrived at the leader or was committed after that. */
TEST_CASE(Cancels, AnAnsweredCancelHoldsWhereverItsSubmissionIs)
{
    constexpr std::array offsets{-2000, -400, -60, -30, -10, 0, 5, 15, 31, 40, 50, 61, 70, 90, 110, 130, 150, 400, 700, 1500};
    for (const Disturbance &disturbance : disturbances) {
        Fleet fleet(fakes::withUpstreams(4));
        prepare(fleet);
        int number = 0;
        for (const int offsetMs : offsets) {
            playCancel(fleet, "/0/j" + std::to_string(number++), offsetMs, disturbance);
            endDisturbance(fleet);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                std::string(disturbance.name) + ", cancelled after " + std::to_string(offsetMs) + " ms", std::string(), violationsText(fleet));
        }
    }
}
