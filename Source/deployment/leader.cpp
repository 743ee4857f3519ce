#include "deployment/leader.h"

#include "deployment/placing.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
using upstream::Run;
using upstream::RunPhase;

/** Takes up the runs that earlier leaders placed: each may be under way until its upstream's lists or the end of its lease tell otherwise. */
void inheritRuns(Leader &leader, const job::Job &job, const Now &now, wire::RunsEndedT &lost)
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
                run.need = internal::needOf(spec);
                run.gang = spec.gang;
                run.checkpoint = task.checkpoint;
                run.stopRequested = job::hasEnded(job.phase) && !task.done;
                const auto life = leader.lives.find(task.upstream);
                if (life == leader.lives.end()) {
                    internal::proposeEnd(run, wire::RunEnd::Lost, run.checkpoint, lost);
                    continue;
                }
                life->second.lapseBoundMs = now.steadyMs + upstream::maxLocalMs(leader.options.longestLeaseMs, leader.options.lease);
                leader.placed[run.task] = task.upstream;
                upstream::addRun(life->second, std::move(run));
            }
        }
    }
}

/** @return whether a record tells that a task of the job started; what was only placed is confirmed by the lists of its upstream. */
bool mayHaveBegun(const job::Job &job)
{
    const auto tells = [](const job::Task &task) {
        return task.done || task.failed > 0 || !task.checkpoint.empty();
    };
    return job::hasEnded(job.phase) || std::any_of(job.occurrences.begin(), job.occurrences.end(), [&tells](const auto &occurrence) {
               return std::any_of(occurrence.second.steps.begin(), occurrence.second.steps.end(), [&tells](const job::StepRuns &step) {
                   return std::any_of(step.tasks.begin(), step.tasks.end(), tells);
               });
           });
}

void answerAll(std::vector<Token> &tokens, const wire::ReplyT &reply, LeaderOutput &output)
{
    for (const Token token : tokens) {
        output.answers.push_back({token, reply});
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

template<typename Map>
void refuseWaiting(Map &waiting, LeaderOutput &output)
{
    for (auto &[key, tokens] : waiting) {
        for (const Token token : tokens) {
            internal::refuse(token, model::Reason::LeadershipLost, output);
        }
    }
    waiting.clear();
}

void followAccepted(Leader &leader, const job::State &state, const wire::JobAcceptedT &record, const Now &now, LeaderOutput &output)
{
    const std::string &id = record.spec->id;
    const auto number = state.byId.find(id);
    if (number == state.byId.end()) {
        return;
    }
    const job::Job &job = state.jobs.at(number->second);
    answerWaiting(leader.submits, id, {}, output);
    if (job::hasEnded(job.phase) || !leader.queuedJobs.insert(job.number).second) {
        return;
    }
    ++leader.queued[{job.spec.host, job.spec.prefix}];
    ++leader.counters.accepted;
    output.decisions.push_back({"accepted", id, "job=" + std::to_string(job.number) + " steps=" + std::to_string(job.spec.steps.size())});
    if (job.spec.repeatCount > 0) {
        leader.timed.insert(job.number);
    }
    internal::noteReadySteps(leader, state, job, now);
}

bool holdsRoom(const Leader &leader, std::uint64_t job)
{
    const auto first = leader.placed.lower_bound({job, 0, 0, 0});
    return first != leader.placed.end() && first->first.job == job;
}

void forgetJobs(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    constexpr std::size_t mostAtOnce = 200;
    wire::JobsForgottenT record;
    for (const auto &[number, job] : state.jobs) {
        if (record.jobs.size() >= mostAtOnce) {
            break;
        }
        if (job::hasEnded(job.phase) && now.wallMs > job.endedAtMs + leader.options.keepJobsMs && !holdsRoom(leader, number)) {
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
    leader.active = true;
    leader.term = term;
    leader.sinceMs = now.steadyMs;
    for (const auto &[number, seen] : state.upstreams) {
        internal::addLife(leader, seen, now);
    }
    wire::RunsEndedT lost;
    for (const auto &[number, job] : state.jobs) {
        inheritRuns(leader, job, now, lost);
        if (!mayHaveBegun(job)) {
            leader.queuedJobs.insert(number);
            ++leader.queued[{job.spec.host, job.spec.prefix}];
        }
    }
    for (const auto &[number, job] : state.jobs) {
        if (job.spec.repeatCount > 0 && !job::hasEnded(job.phase)) {
            leader.timed.insert(number);
        }
        internal::noteReadySteps(leader, state, job, now);
    }
    internal::proposeEnds(std::move(lost), now, output);
    output.decisions.push_back({"leads",
                                std::to_string(term),
                                "jobs=" + std::to_string(state.jobs.size()) + " upstreams=" + std::to_string(leader.lives.size())
                                    + " runs=" + std::to_string(leader.placed.size()) + " plan=" + std::to_string(state.plan.version)});
}

void endLeading(Leader &leader, LeaderOutput &output)
{
    if (!leader.active) {
        return;
    }
    leader.active = false;
    refuseWaiting(leader.submits, output);
    refuseWaiting(leader.cancels, output);
    refuseWaiting(leader.plans, output);
    refuseWaiting(leader.waves, output);
    output.decisions.push_back({"leads-no-more", std::to_string(leader.term), ""});
}

void recordApplied(Leader &leader, const job::State &state, const wire::RecordT &record, const Now &now, LeaderOutput &output)
{
    if (!leader.active) {
        return;
    }
    if (const auto *accepted = record.change.AsJobAccepted()) {
        followAccepted(leader, state, *accepted, now, output);
    } else if (const auto *placed = record.change.AsRunsPlaced()) {
        internal::startPlaced(leader, state, *placed, now, output);
    } else if (const auto *ended = record.change.AsRunsEnded()) {
        internal::followEnds(leader, state, *ended, now, output);
    } else if (const auto *cancelled = record.change.AsJobCancelled()) {
        answerWaiting(leader.cancels, cancelled->job, {}, output);
        const auto job = state.jobs.find(cancelled->job);
        if (job != state.jobs.end() && job->second.phase == job::Phase::Cancelled) {
            ++leader.counters.jobsCancelled;
            output.decisions.push_back({"cancelled", job->second.spec.id, ""});
            internal::followJobEnd(leader, state, job->second, now, output);
        }
    } else if (const auto *seen = record.change.AsUpstreamSeen()) {
        internal::followUpstreamRecord(leader, state, *seen, now);
    } else if (const auto *plan = record.change.AsPlanAccepted()) {
        wire::ReplyT reply;
        reply.revision = state.plan.version;
        answerWaiting(leader.plans, plan->version, reply, output);
        output.decisions.push_back({"plan-in-force", std::to_string(state.plan.version), "queues=" + std::to_string(state.plan.queues.size())});
        leader.placeSoon = true;
    } else if (const auto *wave = record.change.AsWaveStarted()) {
        answerWaiting(leader.waves, wave->wave, {}, output);
    }
}

namespace
{
/** Tells once a second how full the upstreams are and what waits. */
void tellLoad(Leader &leader, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t tellEveryMs = 1000;
    if (now.steadyMs < leader.nextLoadMs) {
        return;
    }
    leader.nextLoadMs = now.steadyMs + tellEveryMs;
    std::uint64_t usedCpu = 0;
    std::uint64_t wholeCpu = 0;
    std::uint64_t usedMemory = 0;
    std::uint64_t wholeMemory = 0;
    std::size_t usable = 0;
    for (const auto &[number, life] : leader.lives) {
        usedCpu += life.used.cpuMillis;
        usedMemory += life.used.memoryMb;
        if (internal::mayPlaceOn(leader, life, now)) {
            wholeCpu += life.capacity.cpuMillis;
            wholeMemory += life.capacity.memoryMb;
            ++usable;
        }
    }
    std::map<std::uint32_t, std::size_t> waiting;
    std::uint64_t oldestMs = 0;
    for (const auto &[ref, step] : leader.waiting) {
        if (!step.unplaced.empty()) {
            ++waiting[step.key.priority];
            oldestMs = std::max(oldestMs, now.steadyMs - step.sinceMs);
        }
    }
    std::string detail = "usable=" + std::to_string(usable) + " cpu=" + std::to_string(usedCpu) + "/" + std::to_string(wholeCpu)
        + " memory=" + std::to_string(usedMemory) + "/" + std::to_string(wholeMemory) + " advice=" + std::to_string(leader.openAdvice.size());
    for (const auto &[priority, count] : waiting) {
        detail += " waiting" + std::to_string(priority) + "=" + std::to_string(count);
    }
    std::uint64_t busiestMs = 0;
    for (const Adviser &adviser : leader.advisers) {
        busiestMs = std::max(busiestMs, adviser.busyUntilMs - std::min(adviser.busyUntilMs, now.steadyMs));
    }
    output.decisions.push_back(
        {"load", std::to_string(leader.term), detail + " oldestMs=" + std::to_string(oldestMs) + " adviceBacklogMs=" + std::to_string(busiestMs)});
}
}

void noteLatency(LatencyHistogram &histogram, std::uint64_t ms)
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
    const bool forgetDue = now.steadyMs >= leader.nextForgetMs;
    internal::tickLives(leader, state, now, output);
    for (auto open = leader.openAdvice.begin(); open != leader.openAdvice.end();) {
        if (now.steadyMs <= open->second.sentMs + open->second.timeoutMs) {
            ++open;
            continue;
        }
        const AdviceReply unanswered{open->first, false, 0, {}};
        ++open;
        takeAdviceReply(leader, unanswered, now);
    }
    tellLoad(leader, now, output);
    if (forgetDue) {
        internal::forgetAdvice(leader, now);
        forgetJobs(leader, state, now, output);
    }
}
}
