#include "deployment/leadertesting.h"
#include "fakes/fleet.h"

#include <optional>

namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;

constexpr std::uint64_t term = 10;
constexpr std::uint64_t born = 1700000050000;

/** A service of one upstream of 16 cores that never ends a run. */
struct Service
{
    LeaderTest test;
    std::vector<ListedRun> running;
};

/** Lets time pass with heartbeats, and answers the calls. */
void live(Service &service, std::uint64_t ms)
{
    constexpr std::uint64_t intervalMs = 200;
    for (std::uint64_t passedMs = 0; passedMs < ms; passedMs += intervalMs) {
        deliverHeartbeat(service.test, "u0", born, "a-u0");
        pass(service.test, intervalMs);
        for (const UpstreamCall &call : std::exchange(service.test.calls, {})) {
            if (call.kind == CallKind::Poll) {
                answerPoll(service.test, call, born, service.running);
            } else {
                service.running.push_back(listedRun(call));
                answer(service.test, call, CallStatus::Done);
            }
        }
    }
}

/** @param teams whether the plan has one. @return a service whose leader has led for some seconds. */
Service makeService(bool teams)
{
    Service service;
    beginLeading(service.test, term);
    wire::PlanAcceptedT plan;
    plan.version = 1;
    plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
    plan.queues.back()->host = "q";
    plan.queues.back()->prefix = "/0/";
    plan.queues.back()->service = "s";
    plan.queues.back()->attempts = 5;
    plan.queues.back()->targetMs = 1000;
    plan.services.push_back(std::make_unique<wire::ServiceSpecT>());
    plan.services.back()->name = "s";
    if (teams) {
        plan.teams.push_back(std::make_unique<wire::TeamSpecT>());
        plan.teams.back()->name = "t";
    }
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(service.test, std::move(output));
    live(service, 6000);
    return service;
}

/** Submits a job of 16 core-seconds with an objective of 2 s. @return the refusal, or nothing. */
std::optional<wire::ReplyT> submit(Service &service, const std::string &id)
{
    wire::RequestT request;
    request.operation = wire::Operation::SubmitJob;
    request.service = "q";
    request.path = "/0/" + id;
    request.job = std::make_unique<wire::JobSpecT>();
    request.job->steps.push_back(std::make_unique<wire::StepSpecT>(fakes::makeStep(16, 1000, 1000)));
    LeaderOutput output;
    handleRequest(service.test.leader, service.test.state, 1, std::move(request), service.test.now, output);
    std::optional<wire::ReplyT> refusal;
    if (!output.replies.empty() && output.replies.front().reply.error != 0) {
        CHECK_TEXT("job-refused", output.decisions.front().name);
        refusal = output.replies.front().reply;
    }
    collect(service.test, std::move(output));
    return refusal;
}

/** Submits jobs, five a second. @return the number of jobs accepted before the first refusal. */
int fill(Service &service, int jobs, const std::string &prefix = "j")
{
    for (int i = 0; i < jobs; ++i) {
        if (submit(service, prefix + std::to_string(i))) {
            return i;
        }
        live(service, 200);
    }
    return jobs;
}
}

/** Jobs were accepted that could only be completed when their callers had no use for them any more. */
TEST_CASE(LeaderOverload, AJobThatWouldMissThriceItsObjectiveIsRefused)
{
    constexpr int jobs = 40;
    Service service = makeService(true);
    const int accepted = fill(service, jobs);
    CHECK(accepted >= 4 && accepted < jobs); // The work of three jobs takes half of three times the objective.
    const std::optional<wire::ReplyT> refusal = submit(service, "more");
    CHECK(refusal && refusal->error == static_cast<std::uint16_t>(model::Reason::Overloaded));
    CHECK(refusal->retryAfterMs >= 1000 && refusal->retryAfterMs < 20000);
    CHECK(service.test.leader.counters.jobsOverloaded >= 2);
    CHECK(!submit(service, "j0")); // Known: a repeated submission isn't refused.
    CHECK_EQUAL(static_cast<std::size_t>(accepted), service.test.state.jobs.size());

    Service usual = makeService(false);
    CHECK_EQUAL(jobs, fill(usual, jobs));
    CHECK(usual.test.leader.overload.jobs.empty());
}

/** A new leader counts the same backlog, and refuses nothing while it doesn't know yet what its upstreams run. */
TEST_CASE(LeaderOverload, ANewLeaderRebuildsTheBacklogAndRefusesNothingAtFirst)
{
    constexpr int jobs = 40;
    Service service = makeService(true);
    const int accepted = fill(service, jobs);
    CHECK(accepted < jobs);
    live(service, 1000);
    const auto before = service.test.leader.overload.jobs;
    const double backlogMs = service.test.leader.overload.queues.at({"q", "/0/"}).backlogMs;
    CHECK_EQUAL((accepted - 1) * 16000.0, backlogMs);
    beginLeading(service.test, term + 1);
    CHECK(service.test.leader.overload.jobs == before);
    CHECK_EQUAL(backlogMs, service.test.leader.overload.queues.at({"q", "/0/"}).backlogMs);
    live(service, 2000);
    CHECK(!submit(service, "early"));
    wire::JobCancelledT cancelled;
    cancelled.job = service.test.state.jobNumberById.at("early");
    LeaderOutput output;
    output.proposals = {wire::encodeChange(cancelled)};
    collect(service.test, std::move(output));
    CHECK_EQUAL(backlogMs, service.test.leader.overload.queues.at({"q", "/0/"}).backlogMs);
    live(service, 4000);
    CHECK(fill(service, jobs, "later") < jobs);
}
