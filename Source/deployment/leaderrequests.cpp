#include "deployment/leader.h"
#include "job/footprint.h"
#include "model/key.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment
{
namespace internal
{
void refuse(Token token, model::Reason reason, LeaderOutput &output)
{
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(reason);
    output.replies.push_back({token, std::move(reply)});
}

void refuseWithoutRoom(const Leader &leader, const job::State &state, Token token, Decision decision, std::uint64_t neededBytes, LeaderOutput &output)
{
    decision.detail = "needed=" + std::to_string(neededBytes) + " held=" + std::to_string(state.heldBytes) + " registry=" + std::to_string(state.registryBytes)
        + " proposed=" + std::to_string(leader.proposedBytes) + " open=" + std::to_string(leader.openBytes)
        + " max=" + std::to_string(leader.options.maxHeldBytes);
    output.decisions.push_back(std::move(decision));
    refuse(token, model::Reason::StateFull, output);
}
}

namespace
{
using internal::refuse;

void answer(Token token, wire::ReplyT reply, LeaderOutput &output)
{
    output.replies.push_back({token, std::move(reply)});
}

void answerPhase(Token token, const job::Job &job, LeaderOutput &output)
{
    wire::ReplyT reply;
    reply.jobPhase = static_cast<std::int8_t>(job.phase);
    answer(token, std::move(reply), output);
}

/** What a request names. */
struct Target
{
    std::string rest; ///< The path without the queue's prefix: the id of a job, or empty.
    std::string team; ///< The caller's team; empty for none.
};

JobOrigin originOf(const wire::JobSpecT &spec)
{
    return {spec.host, spec.prefix, spec.team};
}

/** Rejects a call that isn't authorized. @param teams the caller's team and that of the job. */
void refuseCaller(Leader &leader, Token token, const wire::RequestT &request, model::Reason reason, const std::string &teams, LeaderOutput &output)
{
    LeaderCounters &counters = leader.counters;
    ++(reason == model::Reason::CredentialMissing       ? counters.callsWithoutKey
           : reason == model::Reason::CredentialUnknown ? counters.callsWithUnknownKey
                                                        : counters.callsForOtherTeam);
    output.decisions.push_back(
        {"call-refused",
         request.service + request.path,
         "reason=" + std::string(model::reasonInfo(reason).name) + " operation=" + std::to_string(static_cast<int>(request.operation)) + teams});
    refuse(token, reason, output);
}

/** Finds the queue of a request and authorizes its caller. @param target receives the path without the queue's prefix and the caller's team. @return the queue;
 * null if the request was refused. */
const wire::QueueSpecT *queueFor(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, Target &target, LeaderOutput &output)
{
    if (state.plan.version == 0) {
        refuse(token, model::Reason::ConfigNotLearnt, output);
        return nullptr;
    }
    const wire::QueueSpecT *queue = job::findQueue(state.plan, request.service, request.path);
    if (queue == nullptr) {
        refuse(token, model::Reason::UnknownQueue, output);
        return nullptr;
    }
    Authorization authorization = authorizeCall(state.plan, *queue, request.credential);
    if (authorization.rejection != model::Reason::None) {
        refuseCaller(leader, token, request, authorization.rejection, {}, output);
        return nullptr;
    }
    target.rest = request.path.substr(queue->prefix.size());
    target.team = std::move(authorization.team);
    return queue;
}

/** @return whether the caller may access the job; the request was refused otherwise. */
bool mayAccess(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, const JobOrigin &job, const std::string &team,
               LeaderOutput &output)
{
    const model::Reason rejection = authorizeJobAccess(state.plan, job, team);
    if (rejection != model::Reason::None) {
        refuseCaller(leader, token, request, rejection, " team=" + team + " job-team=" + job.team, output);
    }
    return rejection == model::Reason::None;
}

void submit(Leader &leader, const job::State &state, Token token, wire::RequestT request, const Now &now, LeaderOutput &output)
{
    Target target;
    const wire::QueueSpecT *queue = queueFor(leader, state, token, request, target, output);
    if (queue == nullptr) {
        return;
    }
    const std::string &id = target.rest;
    if (!model::isPlainKey(id) || !request.job) {
        refuse(token, model::Reason::BadKey, output);
        return;
    }
    const auto accepted = state.jobNumberById.find(id);
    if (accepted != state.jobNumberById.end()) {
        if (mayAccess(leader, state, token, request, originOf(state.jobs.at(accepted->second).spec), target.team, output)) {
            answer(token, {}, output); // A repeated submission.
        }
        return;
    }
    const auto proposed = leader.pendingSubmits.find(id);
    if (proposed != leader.pendingSubmits.end()) {
        if (mayAccess(leader, state, token, request, proposed->second.origin, target.team, output)) {
            proposed->second.tokens.push_back(token);
        }
        return;
    }
    wire::JobAcceptedT record;
    record.atMs = now.wallMs;
    record.spec = std::move(request.job);
    record.spec->id = id;
    record.spec->host = queue->host;
    record.spec->prefix = queue->prefix;
    record.spec->team = target.team;
    if (const std::optional<std::uint32_t> step = internal::stepBeyondTeamLimit(leader, *record.spec)) {
        ++leader.counters.jobsBeyondTeamLimit;
        output.decisions.push_back(
            {"job-beyond-team-limit", id, "step=" + std::to_string(*step) + " " + internal::describeTeamUsage(leader, record.spec->team)});
        refuse(token, model::Reason::BeyondTeamLimit, output);
        return;
    }
    if (internal::refuseUnderLoad(leader, state, token, *record.spec, *queue, now, output)) {
        return;
    }
    const std::uint64_t neededBytes = job::acceptedBytes(*record.spec);
    if (!internal::hasRoomFor(leader, state, neededBytes)) {
        ++leader.counters.jobsWithoutRoom;
        internal::refuseWithoutRoom(leader, state, token, {"job-refused", id, {}}, neededBytes, output);
        return;
    }
    leader.proposedBytes += neededBytes;
    leader.pendingSubmits[id] = {originOf(*record.spec), {token}};
    internal::prefetchAdvice(leader, *record.spec, *queue, now, output); // The reply arrives while the record is committed.
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

/** @return the job that the request names; null if the request was refused. */
const job::Job *jobFor(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, LeaderOutput &output)
{
    Target target;
    if (queueFor(leader, state, token, request, target, output) == nullptr) {
        return nullptr;
    }
    const auto found = state.jobNumberById.find(target.rest);
    if (found == state.jobNumberById.end()) {
        refuse(token, model::Reason::UnknownJob, output);
        return nullptr;
    }
    const job::Job &job = state.jobs.at(found->second);
    return mayAccess(leader, state, token, request, originOf(job.spec), target.team, output) ? &job : nullptr;
}

void cancel(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, const Now &now, LeaderOutput &output)
{
    const job::Job *job = jobFor(leader, state, token, request, output);
    if (job == nullptr) {
        return;
    }
    if (job::hasEnded(job->phase)) {
        answerPhase(token, *job, output);
        return;
    }
    std::vector<Token> &waiting = leader.pendingCancels[job->number];
    waiting.push_back(token);
    if (waiting.size() == 1) {
        wire::JobCancelledT record;
        record.job = job->number;
        record.atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(record));
    }
}

void reportLength(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, LeaderOutput &output)
{
    Target target;
    const wire::QueueSpecT *queue = queueFor(leader, state, token, request, target, output);
    if (queue == nullptr) {
        return;
    }
    const auto found = leader.queuedCounts.find({queue->host, queue->prefix});
    wire::ReplyT reply;
    reply.jobPhase = -1; // Marks the reply as a count instead of a job's phase.
    reply.count = found == leader.queuedCounts.end() ? 0 : found->second;
    output.decisions.push_back({"queue-length", queue->host + queue->prefix, "count=" + std::to_string(reply.count)});
    answer(token, std::move(reply), output);
}

/** @return whether the path names a queue without a job. */
bool namesQueue(const job::State &state, const wire::RequestT &request)
{
    const wire::QueueSpecT *queue = job::findQueue(state.plan, request.service, request.path);
    return queue != nullptr && queue->prefix.size() == request.path.size();
}

void putPlan(Leader &leader, const job::State &state, Token token, wire::RequestT request, LeaderOutput &output)
{
    const std::uint64_t version = request.plan ? request.plan->version : 0;
    wire::ReplyT reply;
    reply.revision = std::max(version, state.plan.version);
    if (version <= state.plan.version) {
        answer(token, std::move(reply), output); // A repeated or outdated plan; nothing changes.
        return;
    }
    const std::uint64_t neededBytes = job::planBytes(*request.plan);
    const std::uint64_t heldBytes = state.plan.version > 0 ? job::planBytes(state.plan) : 0;
    if (neededBytes > heldBytes && !internal::hasRegistryRoomFor(leader, state, neededBytes - heldBytes)) {
        internal::refuseWithoutRoom(leader, state, token, {"plan-refused", std::to_string(version), {}}, neededBytes, output);
        return;
    }
    std::vector<Token> &waiting = leader.pendingPlans[version];
    waiting.push_back(token);
    if (waiting.size() == 1) {
        output.proposals.push_back(wire::encodeChange(std::move(*request.plan)));
    }
}

void readPlan(const job::State &state, Token token, LeaderOutput &output)
{
    if (state.plan.version == 0) {
        refuse(token, model::Reason::ConfigNotLearnt, output);
        return;
    }
    wire::ReplyT reply;
    reply.revision = state.plan.version;
    reply.document = state.plan.text;
    answer(token, std::move(reply), output);
}

void startWave(Leader &leader, const job::State &state, Token token, wire::RequestT request, const Now &now, LeaderOutput &output)
{
    const std::uint64_t number = request.wave ? request.wave->wave : 0;
    if (state.waves.count(number) > 0) {
        answer(token, {}, output);
        return;
    }
    const std::uint64_t neededBytes = request.wave ? job::waveBytes(*request.wave) : 0;
    if (!internal::hasRegistryRoomFor(leader, state, neededBytes)) {
        internal::refuseWithoutRoom(leader, state, token, {"wave-refused", std::to_string(number), {}}, neededBytes, output);
        return;
    }
    std::vector<Token> &waiting = leader.pendingWaves[number];
    waiting.push_back(token);
    if (waiting.size() == 1) {
        request.wave->atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(std::move(*request.wave)));
    }
}

void readWave(const job::State &state, Token token, const wire::RequestT &request, LeaderOutput &output)
{
    const auto found = state.waves.find(request.wave ? request.wave->wave : 0);
    if (found == state.waves.end()) {
        refuse(token, model::Reason::NotFound, output);
        return;
    }
    const auto &machines = found->second.machines;
    wire::ReplyT reply;
    const bool complete = std::all_of(machines.begin(), machines.end(), [](const auto &machine) {
        return machine.second.begun || machine.second.gone;
    });
    reply.jobPhase = complete ? 1 : 0;
    answer(token, std::move(reply), output);
}
}

void handleRequest(Leader &leader, const job::State &state, Token token, wire::RequestT request, const Now &now, LeaderOutput &output)
{
    switch (request.operation) {
    case wire::Operation::SubmitJob:
        submit(leader, state, token, std::move(request), now, output);
        return;
    case wire::Operation::JobQuery:
        if (namesQueue(state, request)) {
            reportLength(leader, state, token, request, output);
        } else if (const job::Job *job = jobFor(leader, state, token, request, output)) {
            answerPhase(token, *job, output);
        }
        return;
    case wire::Operation::JobCancel:
        cancel(leader, state, token, request, now, output);
        return;
    case wire::Operation::QueueLength:
        reportLength(leader, state, token, request, output);
        return;
    case wire::Operation::UpstreamBeat:
        internal::handleHeartbeat(leader, state, token, *request.beat, now, output);
        return;
    case wire::Operation::UpstreamLeave:
        internal::handleLeave(leader, token, request.worker, now, output);
        return;
    case wire::Operation::PlanPut:
        putPlan(leader, state, token, std::move(request), output);
        return;
    case wire::Operation::PlanRead:
        readPlan(state, token, output);
        return;
    case wire::Operation::StartWave:
        startWave(leader, state, token, std::move(request), now, output);
        return;
    case wire::Operation::ReadWave:
        readWave(state, token, request, output);
        return;
    default:
        refuse(token, model::Reason::NotFound, output);
        return;
    }
}
}
