#include "deployment/placing.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment::internal
{
namespace
{
/** Interval of the evaluations of what is deferred. */
constexpr std::uint64_t evaluationMs = 200;
/** Age at which an evaluation isn't used for admission any more: nothing has waited since. */
constexpr std::uint64_t maxEvaluationAgeMs = 1500;
/** Time after a change of leader in which nothing is refused: upstreams are being polled, and the runs of earlier leaders still occupy them. */
constexpr std::uint64_t settlingMs = 5000;

double coresOf(const model::Resources &resources)
{
    constexpr double millisPerCore = 1000;
    return static_cast<double>(resources.cpuMillis) / millisPerCore;
}

/** @return the core-milliseconds of a task; 0 if it runs until its job is cancelled. */
double taskWorkMs(const wire::StepSpecT &step)
{
    return step.longRunning ? 0 : coresOf(resourcesPerTask(step)) * step.estimatedMs;
}

/** @return the core-milliseconds of an occurrence. */
double workOf(const wire::JobSpecT &spec)
{
    double workMs = 0;
    for (const auto &step : spec.steps) {
        workMs += step->count * taskWorkMs(*step);
    }
    return workMs;
}

/** @return the core-milliseconds without a run, of the first occurrence that isn't done; the later ones of a timed job aren't due yet. */
double unplacedWork(const job::Job &job)
{
    if (job::hasEnded(job.phase)) {
        return 0;
    }
    const job::Occurrence &occurrence = job::occurrenceOf(job, job.firstOpen);
    double workMs = 0;
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const wire::StepSpecT &spec = *job.spec.steps[step];
        const std::uint32_t placed = step < occurrence.steps.size() ? occurrence.steps[step].doneCount + occurrence.steps[step].activeCount : 0;
        workMs += (spec.count - std::min(spec.count, placed)) * taskWorkMs(spec);
    }
    return workMs;
}

/** Sets the backlog of a job. */
void setBacklog(Leader &leader, const job::Job &job, double workMs)
{
    const auto entry = leader.overload.jobs.find(job.number);
    const double before = entry == leader.overload.jobs.end() ? 0 : entry->second;
    double &queued = leader.overload.queues[{job.spec.host, job.spec.prefix}].backlogMs;
    queued = std::max(queued + workMs - before, 0.0);
    if (workMs > 0) {
        leader.overload.jobs[job.number] = workMs;
    } else if (entry != leader.overload.jobs.end()) {
        leader.overload.jobs.erase(entry);
    }
}

/** Jobs of a record whose backlog may have changed. */
std::set<std::uint64_t> jobsOf(const wire::RecordT &record)
{
    std::set<std::uint64_t> jobs;
    if (const auto *placed = record.change.AsRunsPlaced()) {
        for (const wire::RunPlaced &run : placed->runs) {
            jobs.insert(run.job());
        }
    } else if (const auto *ended = record.change.AsRunsEnded()) {
        for (const auto &end : ended->ends) {
            jobs.insert(end->job);
        }
    } else if (const auto *crashed = record.change.AsRunsCrashed()) {
        for (const wire::RunPlaced &run : crashed->runs) {
            jobs.insert(run.job());
        }
        for (const wire::RunPlaced &run : crashed->possibleRuns) {
            jobs.insert(run.job());
        }
    } else if (const auto *cancelled = record.change.AsJobCancelled()) {
        jobs.insert(cancelled->job);
    }
    return jobs;
}

/** @return the key of a job as if it was submitted now. */
policy::WaitingKey keyOfNewJob(const Leader &leader, const job::State &state, const wire::JobSpecT &spec, const wire::QueueSpecT &queue, double workMs,
                               const Now &now)
{
    job::Job job;
    job.number = state.nextJob + leader.pendingSubmits.size();
    job.acceptedAtMs = now.wallMs;
    job.order = job::orderOf(spec);
    policy::WaitingKey key = waitingKey(&queue, job, 0, 0, now);
    key.remainingMs = static_cast<std::int64_t>(job.order.criticalPathMs);
    key.stepMs = spec.steps.front()->estimatedMs;
    key.byValue = true;
    const auto known = leader.overload.queues.find({queue.host, queue.prefix});
    key.weight = known == leader.overload.queues.end() ? 1 : policy::weightOf(known->second.sizes, workMs, job.number);
    return key;
}
}

bool isOverloadControlled(const Leader &leader, const job::State &state)
{
    return leader.options.overload || !state.plan.teams.empty();
}

/** Counts the backlog anew, as at the beginning of a term or under a plan that begins to call for it. */
void rebuildBacklog(Leader &leader, const job::State &state)
{
    leader.overload.jobs.clear();
    leader.overload.services.clear();
    std::erase_if(leader.overload.queues, [&state](const auto &entry) {
        return std::none_of(state.plan.queues.begin(), state.plan.queues.end(), [&entry](const auto &queue) {
            return queue->host == entry.first.first && queue->prefix == entry.first.second;
        });
    });
    for (auto &[name, queue] : leader.overload.queues) {
        queue.backlogMs = 0;
    }
    if (!isOverloadControlled(leader, state)) {
        return;
    }
    for (const auto &[number, job] : state.jobs) {
        if (job::hasEnded(job.phase)) {
            continue;
        }
        QueueLoad &queue = leader.overload.queues[{job.spec.host, job.spec.prefix}];
        if (number > leader.overload.lastSampled) {
            leader.overload.lastSampled = number;
            policy::recordWork(queue.sizes, workOf(job.spec));
        }
        setBacklog(leader, job, unplacedWork(job));
    }
}

void updateBacklog(Leader &leader, const job::State &state, const wire::RecordT &record)
{
    if (!isOverloadControlled(leader, state)) {
        return;
    }
    if (const auto *accepted = record.change.AsJobAccepted()) {
        const auto number = state.jobNumberById.find(accepted->spec->id);
        if (number != state.jobNumberById.end() && number->second > leader.overload.lastSampled) {
            const job::Job &job = state.jobs.at(number->second);
            if (job::hasEnded(job.phase)) {
                return; // Cancelled before its submission, so that its size says nothing about its queue.
            }
            leader.overload.lastSampled = number->second;
            policy::recordWork(leader.overload.queues[{job.spec.host, job.spec.prefix}].sizes, workOf(job.spec));
            setBacklog(leader, job, unplacedWork(job));
        }
        return;
    }
    for (const std::uint64_t number : jobsOf(record)) {
        const auto job = state.jobs.find(number);
        if (job != state.jobs.end()) {
            setBacklog(leader, job->second, unplacedWork(job->second));
        }
    }
}

/** Sets what deferSteps() needs; until its next evaluation a new step is treated as the latest one would have done. */
void setWeight(const Leader &leader, const job::State &state, const job::Job &job, std::uint32_t step, policy::WaitingKey &key, const Now &now)
{
    key.stepMs = job.spec.steps[step]->estimatedMs;
    key.byValue = isOverloadControlled(leader, state);
    const auto queue = leader.overload.queues.find({job.spec.host, job.spec.prefix});
    if (!key.byValue || queue == leader.overload.queues.end()) {
        return;
    }
    key.weight = policy::weightOf(queue->second.sizes, workOf(job.spec), job.number);
    const wire::QueueSpecT *spec = job::queueOf(state, job);
    const auto service = spec == nullptr ? leader.overload.services.end() : leader.overload.services.find(spec->service);
    key.deferred = service != leader.overload.services.end()
        && policy::wouldBeDeferred(service->second.load, key, unplacedWork(job), static_cast<std::int64_t>(now.monotonicMs));
}

void deferSteps(Leader &leader, const job::State &state, const Now &now)
{
    if (!isOverloadControlled(leader, state) || now.monotonicMs < leader.overload.nextEvaluationMs) {
        return;
    }
    leader.overload.nextEvaluationMs = now.monotonicMs + evaluationMs;
    for (auto &[name, service] : leader.overload.services) {
        service.load.totalCores = 0;
        service.load.freeCores = 0;
        service.jobs.clear();
    }
    for (const auto &[number, upstreamState] : leader.upstreams) {
        if (mayPlaceOn(leader, upstreamState, now)) {
            policy::ServiceLoad &load = leader.overload.services[upstreamState.registration.service].load;
            load.totalCores += coresOf(upstreamState.capacity);
            load.freeCores += coresOf(upstream::freeCapacity(upstreamState));
        }
    }
    const auto nowMs = static_cast<std::int64_t>(now.monotonicMs);
    for (const auto &[ref, waiting] : leader.waiting) {
        const job::Job &job = state.jobs.at(ref.job);
        const wire::QueueSpecT *queue = job::queueOf(state, job);
        // Work that the limit of its team holds back takes no capacity from others.
        if (waiting.unplaced.empty() || waiting.dueWallMs > now.wallMs || queue == nullptr
            || isHeldByTeamLimit(leader, waiting.team, *job.spec.steps[ref.step])) {
            continue;
        }
        std::vector<policy::WaitingJob> &jobs = leader.overload.services[queue->service].jobs;
        const auto backlog = leader.overload.jobs.find(ref.job);
        if (jobs.empty() || jobs.back().key.number != ref.job) {
            jobs.push_back({waiting.key, backlog == leader.overload.jobs.end() ? 0 : backlog->second});
        } else if (policy::latestStartMs(waiting.key, nowMs) < policy::latestStartMs(jobs.back().key, nowMs)) {
            jobs.back().key = waiting.key;
        }
    }
    for (auto &[name, service] : leader.overload.services) {
        policy::deferForShortage(service.jobs, service.load, nowMs);
        service.load.known = now.monotonicMs >= leader.leadingSinceMs + settlingMs;
        service.evaluatedMs = now.monotonicMs;
        for (const policy::WaitingJob &job : service.jobs) {
            const StepRef first{job.key.number, 0, 0};
            for (auto step = leader.waiting.lower_bound(first); step != leader.waiting.end() && step->first.job == job.key.number; ++step) {
                step->second.key.deferred = job.deferred;
            }
        }
    }
}

/** Refuses a job that can't be completed within lateFactor times its objective. @return whether the job was refused. */
bool refuseUnderLoad(Leader &leader, const job::State &state, Token token, const wire::JobSpecT &spec, const wire::QueueSpecT &queue, const Now &now,
                     LeaderOutput &output)
{
    const auto service = leader.overload.services.find(queue.service);
    if (!isOverloadControlled(leader, state) || service == leader.overload.services.end() || spec.steps.empty() || spec.repeatCount > 0
        || now.monotonicMs > service->second.evaluatedMs + maxEvaluationAgeMs) {
        return false;
    }
    double widestCores = 0;
    for (const auto &step : spec.steps) {
        widestCores = std::max(widestCores, step->count * coresOf(resourcesPerTask(*step)));
    }
    const policy::ServiceLoad &load = service->second.load;
    const double workMs = workOf(spec);
    const policy::WaitingKey key = keyOfNewJob(leader, state, spec, queue, workMs, now);
    const policy::OverloadAdmission decision = policy::admitUnderLoad(load, key, workMs, widestCores, static_cast<std::int64_t>(now.monotonicMs));
    if (decision.admitted) {
        return false;
    }
    ++leader.counters.jobsOverloaded;
    output.decisions.push_back(
        {"job-refused",
         spec.id,
         "reason=overloaded queue=" + queue.host + queue.prefix + " workMs=" + std::to_string(static_cast<std::uint64_t>(workMs))
             + " completionMs=" + std::to_string(decision.completionMs) + " objectiveMs=" + std::to_string(key.objectiveMs)
             + " backlogMs=" + std::to_string(static_cast<std::uint64_t>(load.allWorkMs))
             + " cores=" + std::to_string(static_cast<std::uint64_t>(load.totalCores)) + " free=" + std::to_string(static_cast<std::uint64_t>(load.freeCores))
             + " deferred=" + (policy::wouldBeDeferred(load, key, workMs, static_cast<std::int64_t>(now.monotonicMs)) ? "1" : "0")
             + " evaluatedMsAgo=" + std::to_string(now.monotonicMs - service->second.evaluatedMs) + " retryAfterMs=" + std::to_string(decision.retryAfterMs)});
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(model::Reason::Overloaded);
    reply.retryAfterMs = static_cast<std::uint32_t>(std::min<std::int64_t>(decision.retryAfterMs, UINT32_MAX));
    output.replies.push_back({token, std::move(reply)});
    return true;
}
}
