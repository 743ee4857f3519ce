#include "config/credential.h"
#include "deployment/fleettesting.h"
#include "deployment/leadertesting.h"

namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;
using model::Reason;
using wire::Operation;

wire::TeamSpecT makeTeam(const std::string &name, const std::vector<std::string> &keys)
{
    wire::TeamSpecT team;
    team.name = name;
    for (const std::string &key : keys) {
        team.keyDigests.push_back(config::credentialDigest(key));
    }
    return team;
}

/** Puts the next plan in force, with the queues /0/ and /public/ and the team "a" with the key "ka". @param keys of the team "b". */
void putTeams(LeaderTest &test, const std::vector<std::string> &keys)
{
    wire::PlanAcceptedT plan;
    plan.version = test.state.plan.version + 1;
    plan.requiresKeys = true;
    for (const wire::TeamSpecT &team : {makeTeam("a", {"ka"}), makeTeam("b", keys)}) {
        plan.teams.push_back(std::make_unique<wire::TeamSpecT>(team));
    }
    for (const char *prefix : {"/0/", "/public/"}) {
        auto queue = std::make_unique<wire::QueueSpecT>();
        queue->host = "q";
        queue->prefix = prefix;
        queue->isPublic = queue->prefix == "/public/";
        plan.queues.push_back(std::move(queue));
    }
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(test, std::move(output));
}

/** @return why a call was rejected, None if it was answered or waits. */
Reason call(LeaderTest &test, Operation operation, const std::string &path, const std::string &key)
{
    wire::RequestT request;
    request.operation = operation;
    request.service = "q";
    request.path = path;
    request.credential = config::credentialDigest(key);
    if (operation == Operation::SubmitJob) {
        request.job = std::make_unique<wire::JobSpecT>();
        request.job->team = "forged";
        request.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    }
    LeaderOutput output;
    handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    const Reason reason = output.replies.empty() ? Reason::None : static_cast<Reason>(output.replies.front().reply.error);
    CHECK_EQUAL(reason != Reason::None && reason != Reason::UnknownQueue && reason != Reason::UnknownJob,
                !output.decisions.empty() && output.decisions.front().name == "call-refused");
    collect(test, std::move(output));
    return reason;
}

constexpr std::array jobOperations{Operation::JobQuery, Operation::JobCancel, Operation::SubmitJob};
}

TEST_CASE(Keys, CallsNeedAKeyOfThePlanAndOfTheTeamOfTheJob)
{
    LeaderTest test;
    beginLeading(test, 1);
    submitJob(test, "open", {}); // Accepted before the plan required keys.
    CHECK(call(test, Operation::JobQuery, "/0/open", "any") == Reason::None);
    putTeams(test, {"kb"});
    CHECK(call(test, Operation::SubmitJob, "/0/j", "ka") == Reason::None);
    CHECK_TEXT("a", test.state.jobs.at(test.state.jobNumberById.at("j")).spec.team);
    for (const Operation operation : jobOperations) {
        CHECK(call(test, operation, "/0/j", "") == Reason::CredentialMissing);
        CHECK(call(test, operation, "/0/j", "kc") == Reason::CredentialUnknown);
        CHECK(call(test, operation, "/0/j", "kb") == Reason::OtherTeam);
        CHECK(call(test, operation, "/public/j", "") == Reason::OtherTeam); // Another queue is no way around.
        CHECK(call(test, operation, "/public/open", "") == Reason::OtherTeam);
        CHECK(call(test, operation, "/9/j", "") == Reason::UnknownQueue);
    }
    CHECK(test.state.jobs.at(test.state.jobNumberById.at("j")).phase == job::Phase::Queued);
    CHECK(call(test, Operation::QueueLength, "/0/", "") == Reason::CredentialMissing);
    CHECK(call(test, Operation::JobQuery, "/0/", "kc") == Reason::CredentialUnknown);
    CHECK(call(test, Operation::JobQuery, "/0/", "kb") == Reason::None);
    CHECK(call(test, Operation::JobQuery, "/0/none", "kb") == Reason::UnknownJob);
    CHECK_EQUAL(std::uint64_t{4}, test.leader.counters.callsWithoutKey);
    CHECK_EQUAL(std::uint64_t{4}, test.leader.counters.callsWithUnknownKey);
    CHECK_EQUAL(std::uint64_t{9}, test.leader.counters.callsForOtherTeam);
    const std::size_t jobs = test.state.jobs.size();
    for (const Operation operation : {Operation::SubmitJob, Operation::JobQuery, Operation::JobCancel}) {
        CHECK(call(test, operation, "/0/j", "ka") == Reason::None);
        CHECK(call(test, operation, "/0/open", "kb") == Reason::None);
    }
    CHECK_EQUAL(jobs, test.state.jobs.size());
    CHECK(call(test, Operation::SubmitJob, "/public/p", "removed") == Reason::None);
    CHECK_TEXT("", test.state.jobs.at(test.state.jobNumberById.at("p")).spec.team);
    putTeams(test, {});
    CHECK(call(test, Operation::JobQuery, "/0/open", "kb") == Reason::CredentialUnknown);
}

/** Such ids reached upstreams and the advice service in JSON texts, whose encoder ended the process. */
TEST_CASE(Keys, IdsThatAreNotPlainKeysAreRefused)
{
    LeaderTest test;
    beginLeading(test, 1);
    putTeams(test, {"kb"});
    for (const std::string &id : {std::string("\xff\xfe") + "5a01c3d97e21", std::string("a\0b", 3), std::string("a b"), std::string(201, 'a')}) {
        wire::RequestT job;
        job.operation = Operation::SubmitJob;
        job.service = "q";
        job.path = "/public/" + id;
        job.job = std::make_unique<wire::JobSpecT>();
        wire::RequestT heartbeat;
        heartbeat.operation = Operation::UpstreamBeat;
        heartbeat.beat = std::make_unique<wire::UpstreamBeatT>();
        heartbeat.beat->seen = std::make_unique<wire::UpstreamSeenT>();
        heartbeat.beat->seen->id = id;
        LeaderOutput output;
        handleRequest(test.leader, test.state, 1, std::move(job), test.now, output);
        handleRequest(test.leader, test.state, 2, std::move(heartbeat), test.now, output);
        CHECK(output.proposals.empty());
        for (const TokenReply &reply : output.replies) {
            CHECK(static_cast<Reason>(reply.reply.error) == Reason::BadKey);
        }
        CHECK_EQUAL(std::size_t{2}, output.replies.size());
    }
    CHECK(call(test, Operation::SubmitJob, "/public/5a01c3d97e21ffff", "") == Reason::None);
}

/** A submission of another team must not be acknowledged with the record of a job that isn't its own. */
TEST_CASE(Keys, AProposedJobBelongsToItsTeam)
{
    LeaderTest test;
    beginLeading(test, 1);
    putTeams(test, {"kb"});
    test.commits = false;
    CHECK(call(test, Operation::SubmitJob, "/0/j", "ka") == Reason::None);
    CHECK(call(test, Operation::SubmitJob, "/0/j", "kb") == Reason::OtherTeam);
    CHECK(call(test, Operation::SubmitJob, "/0/j", "ka") == Reason::None);
    CHECK_EQUAL(std::size_t{1}, test.proposals.size());
    commit(test);
    CHECK_EQUAL(std::uint64_t{0}, test.leader.proposedBytes);
}

/** A leader that is cut off or suspended while another one accepts a plan without a key must not accept the key any more, nor must any later leader. */
TEST_CASE(Keys, ARemovedKeyIsRejectedByEveryLeader)
{
    constexpr int calls = 120;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        fakes::FleetOptions options;
        options.seed = seed;
        fakes::Fleet fleet(options);
        waitUntilReady(fleet);
        fleet.teams = {makeTeam("a", {"k1", "k2"})};
        fleet.credential = config::credentialDigest("k1");
        CHECK(fleet.putPlan(1, 2, false));
        fleet.submit("/0/first", {fakes::makeStep(1, 1000, 300)}, "a");
        CHECK(completes(fleet, "/0/first", 5000));
        const std::string old = fleet.leader()->id;
        const auto partitionOld = [&](bool partitioned) {
            fleet.setPartitioned(old, fleet.hosts[3].id, partitioned);
            for (std::uint32_t i = 0; i < options.controlHosts; ++i) {
                if (fleet.hosts[i].id != old) {
                    fleet.setPartitioned(old, fleet.hosts[i].id, partitioned);
                    fleet.setPartitioned(fleet.hosts[4].id, fleet.hosts[i].id, partitioned); // This entry host reaches only the old leader.
                }
            }
        };
        partitionOld(seed % 2 == 0);
        fleet.suspend(fleet.host(old), seed % 2 == 0 ? 0 : 4000);
        fleet.teams = {makeTeam("a", {"k2"})};
        for (int tries = 0; !fleet.putPlan(1, 2, false); ++tries) {
            CHECK(tries < 10); // Through an entry host that reaches the new leader.
        }
        std::vector<Token> tokens;
        for (int i = 0; i < calls; ++i) {
            tokens.push_back(fleet.submit("/0/late" + std::to_string(i), {fakes::makeStep(1, 1000, 300)}, "a"));
            tokens.push_back(fleet.sendRequest(i % 2 == 0 ? Operation::JobQuery : Operation::JobCancel, "/0/first"));
            fleet.run(50);
            if (i == calls / 3) {
                partitionOld(false);
            } else if (i == calls / 2 && fleet.leader() != nullptr) {
                fleet.kill(*fleet.leader());
            }
        }
        fleet.run(5000);
        std::size_t unknown = 0;
        for (const Token token : tokens) {
            CHECK(fleet.answer(token).answered && fleet.answer(token).reply.error != 0);
            unknown += static_cast<Reason>(fleet.answer(token).reply.error) == Reason::CredentialUnknown ? 1 : 0;
        }
        CHECK(unknown > 0);
        CHECK_EQUAL(std::size_t{1}, fleet.leader()->host->state.jobs.size());
        fleet.credential = config::credentialDigest("k2");
        CHECK(fleet.phase("/0/first") == job::Phase::Completed);
        CHECK_TEXT("", violationsText(fleet));
    }
}
