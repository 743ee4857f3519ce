#include "deployment/leader.h"

#include "deployment/placing.h"
#include "job/footprint.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
using upstream::Run;
using upstream::RunPhase;

/** Adds the runs that earlier leaders placed. Each may be running until its upstream's lists or the end of its lease show otherwise. */
void inheritRuns(Leader &leader, const job::Job &job, wire::RunsEndedT &lost)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const wire::StepSpecT &spec = *job.spec.steps[step];
            for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                const job::Task &task = occurrence.steps[step].tasks[index];
                if (task.activeRun == 0) {
                    continue;
                }
                Run run;
                run.task = {job.number, number, step, index};
                run.number = task.activeRun;
                run.phase = RunPhase::Inherited;
                run.need = internal::resourcesPerTask(spec);
                run.charged = internal::chargePerTask(spec);
                run.team = job.spec.team;
                run.gang = spec.gang;
                run.longRunning = spec.longRunning;
                run.crashes = task.crashes;
                run.checkpoint = job::checkpointOf(occurrence.steps[step], index);
                run.startSentMs = leader.leadingSinceMs;
                run.stopRequested = job::hasEnded(job.phase) && !task.done;
                const auto upstreamState = leader.upstreams.find(task.upstream);
                if (upstreamState == leader.upstreams.end()) {
                    internal::proposeEnd(run, wire::RunEnd::Lost, run.checkpoint, lost);
                    continue;
                }
                internal::addPlacedRun(leader, upstreamState->second, std::move(run));
            }
        }
    }
}

/** @return whether the records show that a task of the job started; placed runs are confirmed by their upstream's lists. */
bool mayHaveStarted(const job::Job &job)
{
    const auto hasStarted = [](const job::Task &task) {
        return task.done || task.failed > 0;
    };
    return job::hasEnded(job.phase) || std::any_of(job.occurrences.begin(), job.occurrences.end(), [&hasStarted](const auto &occurrence) {
               return std::any_of(occurrence.second.steps.begin(), occurrence.second.steps.end(), [&hasStarted](const job::StepRuns &step) {
                   return !step.checkpoints.empty() || std::any_of(step.tasks.begin(), step.tasks.end(), hasStarted);
               });
           });
}

void answerAll(std::vector<Token> &tokens, const wire::ReplyT &reply, LeaderOutput &output)
{
    for (const Token token : tokens) {
        output.replies.push_back({token, reply});
    }
    tokens.clear();
}

template<typename Key, typename Map>
void answerWaiting(Map &waiting, const Key &key, const wire::ReplyT &reply, LeaderOutput &output)
{
    const auto found = waiting.find(key);
    if (found != waiting.end()) {
        answerAll(found->second, reply, output);
        waiting.erase(found);
    }
}

void refuseAll(std::span<const Token> tokens, LeaderOutput &output)
{
    for (const Token token : tokens) {
        internal::refuse(token, model::Reason::LeadershipLost, output);
    }
}

template<typename Map>
void refuseWaiting(Map &waiting, LeaderOutput &output)
{
    for (const auto &[key, tokens] : waiting) {
        refuseAll(tokens, output);
    }
    waiting.clear();
}

void refuseSubmits(Leader &leader, LeaderOutput &output)
{
    for (const auto &[id, submit] : leader.pendingSubmits) {
        refuseAll(submit.tokens, output);
        refuseAll(submit.cancels, output);
    }
    leader.pendingSubmits.clear();
}

/** Answers the requests that waited for the record of a job or a tombstone, and cancels the job if that was requested meanwhile. */
void completeSubmit(Leader &leader, const job::Job &job, std::uint64_t proposedBytes, PendingSubmit submit, const Now &now, LeaderOutput &output)
{
    const bool tombstone = job::isTombstoneId(job.spec.id);
    leader.proposedBytes -= std::min(leader.proposedBytes, proposedBytes);
    leader.proposedTombstoneBytes -= tombstone ? std::min(leader.proposedTombstoneBytes, proposedBytes) : 0;
    leader.counters.tombstones += tombstone ? 1 : 0;
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(tombstone ? model::Reason::UnknownJob : model::Reason::None);
    answerAll(submit.tokens, reply, output);
    for (const Token token : submit.cancels) {
        internal::cancelJob(leader, job, token, now, output);
    }
}

void applyJobAccepted(Leader &leader, const job::State &state, const wire::JobAcceptedT &record, const Now &now, LeaderOutput &output)
{
    const std::string &id = record.spec->id;
    const auto number = state.jobNumberById.find(id);
    if (number == state.jobNumberById.end()) {
        return;
    }
    const job::Job &job = state.jobs.at(number->second);
    if (auto submit = leader.pendingSubmits.extract(id)) {
        completeSubmit(leader, job, job::acceptedBytes(*record.spec), std::move(submit.mapped()), now, output);
    }
    if (job::hasEnded(job.phase) || !leader.queuedJobs.insert(job.number).second) {
        return;
    }
    ++leader.queuedCounts[{job.spec.host, job.spec.prefix}];
    ++leader.counters.accepted;
    output.decisions.push_back({"accepted", id, "job=" + std::to_string(job.number) + " steps=" + std::to_string(job.spec.steps.size())});
    if (job.spec.repeatCount > 0) {
        leader.timedJobs.insert(job.number);
    }
    internal::enqueueReadySteps(leader, state, job, now);
}

bool hasPlacedRuns(const Leader &leader, std::uint64_t job)
{
    const auto first = leader.placements.lower_bound({job, 0, 0, 0});
    return first != leader.placements.end() && first->first.job == job;
}

/** Removes jobs that ended long ago. The time counts from when this leader saw the end: clocks of different hosts, and one that is set, don't shorten it. */
void forgetJobs(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    constexpr std::size_t maxPerRecord = 200;
    wire::JobsForgottenT record;
    for (const auto &[number, job] : state.jobs) {
        if (!job::hasEnded(job.phase)) {
            continue;
        }
        const std::uint64_t sinceMs = leader.endedSinceMs.try_emplace(number, now.monotonicMs).first->second;
        if (record.jobs.size() < maxPerRecord && now.monotonicMs > sinceMs + leader.options.keepJobsMs && !hasPlacedRuns(leader, number)) {
            record.jobs.push_back(number);
        }
    }
    if (!record.jobs.empty()) {
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
}
}

void beginLeading(Leader &leader, const job::State &state, std::uint64_t term, const Now &now, LeaderOutput &output)
{
    const LeaderOptions options = leader.options;
    std::vector<Adviser> advisers = std::move(leader.advisers);
    const std::uint64_t nextCall = leader.nextCall;
    const LeaderCounters counters = leader.counters;
    leader = {};
    leader.options = options;
    leader.advisers = std::move(advisers);
    leader.nextCall = nextCall;
    leader.counters = counters;
    leader.reportedAdvice = counters;
    leader.active = true;
    leader.term = term;
    leader.leadingSinceMs = now.monotonicMs;
    internal::applyPlanToAdvice(leader, state.plan);
    internal::applyPlanToTeams(leader, state.plan);
    for (const auto &[number, seen] : state.upstreams) {
        internal::addUpstream(leader, seen, now);
        upstream::UpstreamState &upstreamState = leader.upstreams.at(number);
        upstream::includeEarlierLeaders(upstreamState, leader.options.lease, now.monotonicMs);
        upstreamState.shapeKnown = false; // The capacity may have been reduced since it was recorded.
    }
    internal::rebuildBacklog(leader, state);
    wire::RunsEndedT lost;
    for (const auto &[number, job] : state.jobs) {
        inheritRuns(leader, job, lost);
        if (!mayHaveStarted(job)) {
            leader.queuedJobs.insert(number);
            ++leader.queuedCounts[{job.spec.host, job.spec.prefix}];
        }
    }
    for (const auto &[number, job] : state.jobs) {
        if (job.spec.repeatCount > 0 && !job::hasEnded(job.phase)) {
            leader.timedJobs.insert(number);
        }
        internal::enqueueReadySteps(leader, state, job, now);
    }
    internal::proposeEnds(std::move(lost), now, output);
    output.decisions.push_back({"leads",
                                std::to_string(term),
                                "jobs=" + std::to_string(state.jobs.size()) + " upstreams=" + std::to_string(leader.upstreams.size())
                                    + " runs=" + std::to_string(leader.placements.size()) + " plan=" + std::to_string(state.plan.version)
                                    + " queued=" + std::to_string(leader.queuedJobs.size())});
}

void endLeading(Leader &leader, LeaderOutput &output)
{
    if (!leader.active) {
        return;
    }
    leader.active = false;
    refuseSubmits(leader, output);
    refuseWaiting(leader.pendingCancels, output);
    refuseWaiting(leader.pendingPlans, output);
    refuseWaiting(leader.pendingWaves, output);
    output.decisions.push_back({"leads-no-more", std::to_string(leader.term), ""});
}

void onRecordApplied(Leader &leader, const job::State &state, const wire::RecordT &record, const Now &now, LeaderOutput &output)
{
    if (!leader.active) {
        return;
    }
    internal::updateBacklog(leader, state, record);
    if (const auto *accepted = record.change.AsJobAccepted()) {
        applyJobAccepted(leader, state, *accepted, now, output);
    } else if (const auto *placed = record.change.AsRunsPlaced()) {
        internal::closePlacedOccurrences(leader, *placed);
        internal::startPlacedRuns(leader, state, *placed, now, output);
    } else if (const auto *ended = record.change.AsRunsEnded()) {
        internal::applyRunsEnded(leader, state, *ended, now, output);
    } else if (const auto *crashed = record.change.AsRunsCrashed()) {
        internal::applyRunsCrashed(leader, state, *crashed, now, output);
    } else if (const auto *cancelled = record.change.AsJobCancelled()) {
        answerWaiting(leader.pendingCancels, cancelled->job, {}, output);
        const auto job = state.jobs.find(cancelled->job);
        if (job != state.jobs.end() && job->second.phase == job::Phase::Cancelled) {
            ++leader.counters.jobsCancelled;
            output.decisions.push_back({"cancelled", job->second.spec.id, ""});
            internal::onJobEnded(leader, state, job->second, now, output);
        }
    } else if (const auto *seen = record.change.AsUpstreamSeen()) {
        internal::applyUpstreamRecord(leader, state, *seen, now);
    } else if (const auto *plan = record.change.AsPlanAccepted()) {
        wire::ReplyT reply;
        reply.revision = state.plan.version;
        answerWaiting(leader.pendingPlans, plan->version, reply, output);
        output.decisions.push_back({"plan-in-force", std::to_string(state.plan.version), "queues=" + std::to_string(state.plan.queues.size())});
        internal::applyPlanToAdvice(leader, state.plan);
        internal::applyPlanToTeams(leader, state.plan);
        internal::rebuildBacklog(leader, state);
        internal::applyPlanToWaitingSteps(leader, state, now, output);
    } else if (const auto *forgotten = record.change.AsJobsForgotten()) {
        for (const std::uint64_t number : forgotten->jobs) {
            leader.endedSinceMs.erase(number);
        }
    } else if (const auto *wave = record.change.AsWaveStarted()) {
        answerWaiting(leader.pendingWaves, wave->wave, {}, output);
    }
}

namespace
{
/** Logs the load of the upstreams and the waiting steps once a second. */
void reportLoad(Leader &leader, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t reportIntervalMs = 1000;
    if (now.monotonicMs < leader.nextLoadReportMs) {
        return;
    }
    leader.nextLoadReportMs = now.monotonicMs + reportIntervalMs;
    std::uint64_t usedCpu = 0;
    std::uint64_t totalCpu = 0;
    std::uint64_t usedMemory = 0;
    std::uint64_t totalMemory = 0;
    std::size_t usable = 0;
    for (const auto &[number, upstreamState] : leader.upstreams) {
        usedCpu += upstreamState.used.cpuMillis;
        usedMemory += upstreamState.used.memoryMb;
        if (internal::mayPlaceOn(leader, upstreamState, now)) {
            totalCpu += upstreamState.capacity.cpuMillis;
            totalMemory += upstreamState.capacity.memoryMb;
            ++usable;
        }
    }
    std::map<std::uint32_t, std::size_t> waiting;
    std::uint64_t oldestMs = 0;
    for (const auto &[ref, step] : leader.waiting) {
        if (!step.unplaced.empty()) {
            ++waiting[step.key.priority];
            oldestMs = std::max(oldestMs, now.monotonicMs - step.waitingSinceMs);
        }
    }
    std::string detail = "usable=" + std::to_string(usable) + " cpu=" + std::to_string(usedCpu) + "/" + std::to_string(totalCpu)
        + " memory=" + std::to_string(usedMemory) + "/" + std::to_string(totalMemory) + " advice=" + std::to_string(leader.pendingAdvice.size());
    for (const auto &[priority, count] : waiting) {
        detail += " waiting" + std::to_string(priority) + "=" + std::to_string(count);
    }
    std::uint64_t busiestMs = 0;
    for (const Adviser &adviser : leader.advisers) {
        busiestMs = std::max(busiestMs, adviser.load.busyUntilMs - std::min(adviser.load.busyUntilMs, now.monotonicMs));
    }
    output.decisions.push_back(
        {"load", std::to_string(leader.term), detail + " oldestMs=" + std::to_string(oldestMs) + " adviceBacklogMs=" + std::to_string(busiestMs)});
}
}

void recordLatency(LatencyHistogram &histogram, std::uint64_t ms)
{
    const auto bound = std::lower_bound(latencyBoundsMs.begin(), latencyBoundsMs.end(), ms);
    ++histogram.counts.at(static_cast<std::size_t>(bound - latencyBoundsMs.begin()));
    histogram.sumMs += ms;
}

void tickLeader(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    if (!leader.active) {
        return;
    }
    const bool cleanupDue = now.monotonicMs >= leader.nextCleanupMs;
    internal::tickUpstreams(leader, state, now, output);
    for (auto open = leader.pendingAdvice.begin(); open != leader.pendingAdvice.end();) {
        if (now.monotonicMs <= open->second.sentMs + open->second.timeoutMs) {
            ++open;
            continue;
        }
        const AdviceReply unanswered{open->first, false, 0, {}};
        ++open;
        handleAdviceReply(leader, unanswered, now);
    }
    reportLoad(leader, now, output);
    internal::reportHeldAdvice(leader, now, output);
    if (cleanupDue) {
        internal::expireUnusedAdvice(leader, now);
        forgetJobs(leader, state, now, output);
    }
}
}
