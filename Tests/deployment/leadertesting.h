#pragma once

#include "deployment/leader.h"
#include "testing.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/** A leader whose records are committed, and whose calls are answered, when a test says so. */
namespace rosemaryturn::deployment
{
/** A leader with its replicated state and the effects that weren't handled yet. */
struct LeaderTest
{
    Leader leader;
    job::State state;
    Now now{100000, 1700000100000};
    std::vector<wire::Bytes> proposals; ///< Not committed yet.
    std::vector<UpstreamCall> calls; ///< In the order in which they were sent.
    std::vector<AdviceCall> advice; ///< Requests to the advice service, in the order in which they were sent.
    std::map<Token, wire::ReplyT> replies; ///< To requests, by token.
    std::uint64_t heartbeats = 0; ///< Number of heartbeats.
    bool commits = true; ///< Whether records are committed at once.
};

/** Commits all proposals. @param test the leader. */
inline void commit(LeaderTest &test);

/** Takes over the effects of an event. @param test the leader. @param output the effects. */
inline void collect(LeaderTest &test, LeaderOutput output)
{
    std::move(output.calls.begin(), output.calls.end(), std::back_inserter(test.calls));
    std::move(output.advice.begin(), output.advice.end(), std::back_inserter(test.advice));
    std::move(output.proposals.begin(), output.proposals.end(), std::back_inserter(test.proposals));
    for (TokenReply &reply : output.replies) {
        test.replies[reply.token] = std::move(reply.reply);
    }
    if (test.commits) {
        commit(test);
    }
}

inline void commit(LeaderTest &test)
{
    for (const wire::Bytes &proposal : std::exchange(test.proposals, {})) {
        const auto record = wire::decode<wire::RecordT>(proposal);
        job::apply(test.state, *record);
        LeaderOutput output;
        onRecordApplied(test.leader, test.state, *record, test.now, output);
        collect(test, std::move(output));
    }
}

/** Lets a leader begin. @param test the leader. @param term its term. */
inline void beginLeading(LeaderTest &test, std::uint64_t term)
{
    LeaderOutput output;
    beginLeading(test.leader, test.state, term, test.now, output);
    collect(test, std::move(output));
}

/** Advances the clock and does the periodic work. @param test the leader. @param ms the time. */
inline void pass(LeaderTest &test, std::uint64_t ms)
{
    constexpr std::uint64_t intervalMs = 20;
    for (std::uint64_t passedMs = 0; passedMs < ms; passedMs += intervalMs) {
        test.now.monotonicMs += intervalMs;
        test.now.wallMs += intervalMs;
        LeaderOutput output;
        tickLeader(test.leader, test.state, test.now, output);
        placeIfNeeded(test.leader, test.state, test.now, output);
        collect(test, std::move(output));
    }
}

/** Delivers a heartbeat. @param test the leader. @param id of the upstream. @param born start of its process. @param address of the upstream. @param
 * accelerators of the upstream. */
inline void deliverHeartbeat(LeaderTest &test, const std::string &id, std::uint64_t born, const std::string &address, std::uint32_t accelerators = 0)
{
    wire::RequestT request;
    request.operation = wire::Operation::UpstreamBeat;
    request.beat = std::make_unique<wire::UpstreamBeatT>();
    request.beat->sequence = ++test.heartbeats;
    request.beat->clockMs = test.now.monotonicMs;
    request.beat->seen = std::make_unique<wire::UpstreamSeenT>();
    wire::UpstreamSeenT &seen = *request.beat->seen;
    seen.id = id;
    seen.born = born;
    seen.address = address;
    seen.service = "s";
    seen.cpuMillis = 16000;
    seen.memoryMb = 64000;
    seen.accelerators = accelerators;
    LeaderOutput output;
    handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    collect(test, std::move(output));
}

/** Puts the next plan in force. @param test the leader. @param withQueue whether it has a queue. @param priority of the queue. */
inline void putPlan(LeaderTest &test, bool withQueue, std::uint32_t priority = 0)
{
    wire::PlanAcceptedT plan;
    plan.version = test.state.plan.version + 1;
    if (withQueue) {
        auto queue = std::make_unique<wire::QueueSpecT>();
        queue->host = "q";
        queue->prefix = "/0/";
        queue->service = "s";
        queue->attempts = 5;
        queue->priority = priority;
        plan.queues.push_back(std::move(queue));
    }
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(test, std::move(output));
}

/** Accepts a job. @param test the leader. @param spec the job without its queue. */
inline void submitJob(LeaderTest &test, wire::JobSpecT spec)
{
    putPlan(test, true);
    wire::JobAcceptedT job;
    job.spec = std::make_unique<wire::JobSpecT>(std::move(spec));
    job.spec->host = "q";
    job.spec->prefix = "/0/";
    LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(job))};
    collect(test, std::move(output));
}

/** Accepts a job of one step. @param test the leader. @param id of the job. @param step the step. */
inline void submitJob(LeaderTest &test, const std::string &id, const wire::StepSpecT &step)
{
    wire::JobSpecT spec;
    spec.id = id;
    spec.steps.push_back(std::make_unique<wire::StepSpecT>(step));
    submitJob(test, std::move(spec));
}

/** Takes the oldest call of a kind. @param test the leader. @param kind the kind. @param upstream its id. @return the call; its id is 0 if there is none. */
inline UpstreamCall takeCall(LeaderTest &test, CallKind kind, const std::string &upstream)
{
    const auto found = std::find_if(test.calls.begin(), test.calls.end(), [&](const UpstreamCall &call) {
        return call.kind == kind && call.upstream == upstream;
    });
    if (found == test.calls.end()) {
        return {};
    }
    UpstreamCall call = std::move(*found);
    test.calls.erase(found);
    return call;
}

/** Delivers the reply to a call. @param test the leader. @param reply the reply; its clock is set. */
inline void deliverReply(LeaderTest &test, UpstreamReply reply)
{
    reply.clockMs = test.now.monotonicMs;
    LeaderOutput output;
    handleUpstreamReply(test.leader, test.state, reply, test.now, output);
    collect(test, std::move(output));
}

/** Answers a call without lists. @param test the leader. @param call the call. @param status the result. */
inline void answer(LeaderTest &test, const UpstreamCall &call, CallStatus status)
{
    UpstreamReply reply;
    reply.id = call.id;
    reply.status = status;
    deliverReply(test, std::move(reply));
}

/** Answers all calls without lists. @param test the leader. @param status the result. */
inline void answerAll(LeaderTest &test, CallStatus status)
{
    for (const UpstreamCall &call : std::exchange(test.calls, {})) {
        answer(test, call, status);
    }
}

/** @param call a start. @param number of the end. @return the end as done of the run that it starts, as an upstream lists it. */
inline ListedEnd listedEnd(const UpstreamCall &call, std::uint64_t number)
{
    ListedEnd end;
    end.number = number;
    end.job = call.job;
    end.task = call.task;
    end.task.job = 0;
    end.run = call.run;
    end.end = wire::RunEnd::Done;
    return end;
}

/** @param call a start. @return the run that it starts, as an upstream lists it. */
inline ListedRun listedRun(const UpstreamCall &call)
{
    ListedRun run;
    run.job = call.job;
    run.task = call.task;
    run.task.job = 0;
    run.run = call.run;
    return run;
}

/** Answers a poll. @param test the leader. @param call the poll. @param born start of the process. @param running its runs. @param ended its ends. */
inline void answerPoll(LeaderTest &test, const UpstreamCall &call, std::uint64_t born, std::vector<ListedRun> running = {}, std::vector<ListedEnd> ended = {})
{
    UpstreamReply reply;
    reply.id = call.id;
    reply.status = CallStatus::Done;
    reply.incarnation = born;
    reply.hasLists = true;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    deliverReply(test, std::move(reply));
}
}
