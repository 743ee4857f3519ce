#include "deployment/leader.h"
#include "job/footprint.h"
#include "model/key.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
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
}

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

/** Cancels a job, or answers with its phase if it has ended. */
void cancelJob(Leader &leader, const job::Job &job, Token token, const Now &now, LeaderOutput &output)
{
    if (job::hasEnded(job.phase)) {
        answerPhase(token, job, output);
        return;
    }
    std::vector<Token> &waiting = leader.pendingCancels[job.number];
    waiting.push_back(token);
    if (waiting.size() == 1) {
        wire::JobCancelledT record;
        record.job = job.number;
        record.atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(record));
    }
}
}

namespace
{
using internal::refuse;

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

/** @return whether the cancellation of an id by a team, before its submission, was answered or is being recorded. */
bool hasTombstone(const Leader &leader, const job::State &state, const JobOrigin &origin, const std::string &team, const std::string &id)
{
    const std::string tombstone = job::tombstoneId(origin.host, origin.prefix, team, id);
    return state.jobNumberById.count(tombstone) > 0 || leader.pendingSubmits.count(tombstone) > 0;
}

/** @return whether the id of a submission was cancelled in its queue by a caller that may cancel the job, as authorizeJobAccess() decides it: its own team,
 * any caller before the plan required keys, and any team for a job without one. */
bool isCancelledBefore(const Leader &leader, const job::State &state, const JobOrigin &origin, const std::string &id)
{
    const bool anyTombstone = state.tombstoneBytes + leader.proposedTombstoneBytes > 0;
    return anyTombstone
        && (hasTombstone(leader, state, origin, origin.team, id) || hasTombstone(leader, state, origin, {}, id)
            || (origin.team.empty() && std::any_of(state.plan.teams.begin(), state.plan.teams.end(), [&](const auto &team) {
                    return hasTombstone(leader, state, origin, team->name, id);
                })));
}

/** Reserves the memory for a job or a tombstone that is about to be proposed. @param id by which callers know it. @return false if the state has no room for
 * it; the request was refused. */
bool reserveRoom(Leader &leader, const job::State &state, Token token, const wire::JobSpecT &spec, const std::string &id, LeaderOutput &output)
{
    const bool tombstone = job::isTombstoneId(spec.id);
    const std::uint64_t neededBytes = job::acceptedBytes(spec);
    if (!internal::hasRoomFor(leader, state, neededBytes) || (tombstone && !internal::hasTombstoneRoomFor(leader, state, neededBytes))) {
        ++(tombstone ? leader.counters.tombstonesWithoutRoom : leader.counters.jobsWithoutRoom);
        internal::refuseWithoutRoom(leader, state, token, {tombstone ? "cancel-refused" : "job-refused", id, {}}, neededBytes, output);
        return false;
    }
    leader.proposedBytes += neededBytes;
    leader.proposedTombstoneBytes += tombstone ? neededBytes : 0;
    leader.pendingSubmits[spec.id] = {originOf(spec), {token}, {}};
    return true;
}

/** Records a job whose id was cancelled before its submission. It has no steps, so that nothing of it runs. */
void submitCancelled(Leader &leader, const job::State &state, Token token, wire::JobAcceptedT record, LeaderOutput &output)
{
    wire::JobSpecT &spec = *record.spec;
    spec.steps.clear();
    spec.payload.clear();
    spec.repeatCount = 0;
    if (reserveRoom(leader, state, token, spec, spec.id, output)) {
        ++leader.counters.jobsCancelledBefore;
        output.decisions.push_back({"submitted-after-cancel", spec.id, "queue=" + spec.host + spec.prefix});
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
}

/** Records the cancellation of an id that no submission has used, so that one that arrives later runs nothing. */
void cancelUnsubmitted(Leader &leader, const job::State &state, Token token, const wire::QueueSpecT &queue, const Target &target, const Now &now,
                       LeaderOutput &output)
{
    const std::string id = job::tombstoneId(queue.host, queue.prefix, target.team, target.rest);
    const auto proposed = leader.pendingSubmits.find(id);
    if (proposed != leader.pendingSubmits.end()) {
        proposed->second.tokens.push_back(token);
        return;
    }
    // A submission under an id that isn't a plain key is always refused.
    if (state.jobNumberById.count(id) > 0 || !model::isPlainKey(target.rest)) {
        refuse(token, model::Reason::UnknownJob, output);
        return;
    }
    wire::JobAcceptedT record;
    record.atMs = now.wallMs;
    record.spec = std::make_unique<wire::JobSpecT>();
    record.spec->id = id;
    if (reserveRoom(leader, state, token, *record.spec, target.rest, output)) {
        output.decisions.push_back({"cancelled-unsubmitted", target.rest, "queue=" + queue.host + queue.prefix + " team=" + target.team});
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
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
    if (isCancelledBefore(leader, state, originOf(*record.spec), id)) {
        submitCancelled(leader, state, token, std::move(record), output);
        return;
    }
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
    if (reserveRoom(leader, state, token, *record.spec, id, output)) {
        internal::prefetchAdvice(leader, *record.spec, *queue, now, output); // The reply arrives while the record is committed.
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
}

/** @return the job with an id; null if there is none. Callers don't see tombstones. */
const job::Job *findJob(const job::State &state, const std::string &id)
{
    const auto found = state.jobNumberById.find(id);
    return found == state.jobNumberById.end() || job::isTombstoneId(id) ? nullptr : &state.jobs.at(found->second);
}

void reportPhase(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, LeaderOutput &output)
{
    Target target;
    if (queueFor(leader, state, token, request, target, output) == nullptr) {
        return;
    }
    const job::Job *job = findJob(state, target.rest);
    if (job == nullptr) {
        refuse(token, model::Reason::UnknownJob, output);
    } else if (mayAccess(leader, state, token, request, originOf(job->spec), target.team, output)) {
        answerPhase(token, *job, output);
    }
}

void cancel(Leader &leader, const job::State &state, Token token, const wire::RequestT &request, const Now &now, LeaderOutput &output)
{
    Target target;
    const wire::QueueSpecT *queue = queueFor(leader, state, token, request, target, output);
    if (queue == nullptr) {
        return;
    }
    if (const job::Job *job = findJob(state, target.rest)) {
        if (mayAccess(leader, state, token, request, originOf(job->spec), target.team, output)) {
            internal::cancelJob(leader, *job, token, now, output);
        }
        return;
    }
    const auto proposed = leader.pendingSubmits.find(target.rest);
    if (proposed == leader.pendingSubmits.end()) {
        cancelUnsubmitted(leader, state, token, *queue, target, now, output);
    } else if (mayAccess(leader, state, token, request, proposed->second.origin, target.team, output)) {
        proposed->second.cancels.push_back(token);
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
        } else {
            reportPhase(leader, state, token, request, output);
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
