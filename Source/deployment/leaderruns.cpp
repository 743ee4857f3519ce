#include "deployment/leader.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rosemaryturn::deployment::internal
{
namespace
{
using upstream::Run;
using upstream::RunPhase;
using upstream::UpstreamState;

/** Delay before an unanswered stop is sent again. */
constexpr std::uint64_t stopResendMs = 400;

UpstreamCall makeOrder(Leader &leader, const job::State &state, CallKind kind, const UpstreamState &upstreamState, Run &run, const Now &now)
{
    UpstreamCall call;
    call.id = leader.nextCall++;
    call.kind = kind;
    call.address = upstreamState.registration.address;
    call.upstream = upstreamState.registration.id;
    call.task = run.task;
    call.run = run.number;
    call.fence = fenceFor(leader, upstreamState);
    call.timeoutMs = leader.options.orderTimeoutMs;
    const auto job = state.jobs.find(run.task.job);
    if (job != state.jobs.end()) {
        call.job = job->second.spec.id;
    }
    leader.pendingCalls[call.id] = {kind, upstreamState.registration.number, upstreamState.registration.born, run.task, run.number, now.monotonicMs};
    run.orderedAtMs = now.monotonicMs;
    run.orderPending = true;
    return call;
}

bool isGang(const job::State &state, const job::TaskRef &task)
{
    const auto job = state.jobs.find(task.job);
    return job != state.jobs.end() && job->second.spec.steps[task.step]->gang;
}

/** Requests the stop of all placed members of the gang that a task belongs to. */
void stopGang(Leader &leader, const job::State &state, const job::TaskRef &task, const Now &now, LeaderOutput &output)
{
    const job::TaskRef first{task.job, task.occurrence, task.step, 0};
    for (auto entry = leader.placements.lower_bound(first); entry != leader.placements.end(); ++entry) {
        const job::TaskRef &member = entry->first;
        if (member.job != task.job || member.occurrence != task.occurrence || member.step != task.step) {
            break;
        }
        UpstreamState &upstreamState = leader.upstreams.at(entry->second);
        const auto run = upstreamState.runs.find(member);
        if (run != upstreamState.runs.end()) {
            requestStop(leader, state, upstreamState, run->second, now, output);
        }
    }
}

/** @return whether a run whose start was held back can't be started any more. */
bool isUnsentInVain(const Leader &leader, const job::State &state, const UpstreamState &upstreamState, const Run &run, const Now &now)
{
    const bool startable = isWanted(state, run) && !run.stopRequested && mayStillStart(leader, upstreamState, now) && !upstreamState.silent;
    return run.phase == RunPhase::Starting && run.startsSent == 0 && !startable;
}

void endUnsentRun(Leader &leader, UpstreamState &upstreamState, const Run &run, const Now &now, LeaderOutput &output)
{
    ++leader.counters.runsNever;
    wire::RunsEndedT record;
    proposeEnd(run, wire::RunEnd::Never, {}, record);
    proposeEnds(std::move(record), now, output);
    releaseRun(leader, upstreamState, run.task);
    leader.placementNeeded = true;
}

void tickStarting(Leader &leader, const job::State &state, UpstreamState &upstreamState, Run &run, const Now &now, LeaderOutput &output)
{
    if (run.stopRequested || !isWanted(state, run) || !mayStillStart(leader, upstreamState, now)) {
        run.phase = RunPhase::Voiding;
        run.stopAnswered = false;
        return;
    }
    // A gang whose members don't all start is stopped before its first members time out waiting for the others.
    const std::uint64_t maxWaitMs = leader.options.gangWaitMs / 2;
    if (run.startsSent > 1 && run.startedAtMs == 0 && now.monotonicMs > run.firstOrderedAtMs + maxWaitMs && isGang(state, run.task)) {
        stopGang(leader, state, run.task, now, output);
        return;
    }
    if (!upstreamState.silent && !upstreamState.acknowledgementPending && upstream::mayRepeatStart(run, now.monotonicMs)) {
        sendStart(leader, state, upstreamState, run, now, output);
    }
}
}

/** @return whether the records still ask for a run: its job hasn't ended, and its task is neither done, as by another member of its gang, nor placed anew. */
bool isWanted(const job::State &state, const Run &run)
{
    const auto job = state.jobs.find(run.task.job);
    const job::Task *task = job::findTask(state, run.task);
    return job != state.jobs.end() && !job::hasEnded(job->second.phase) && task != nullptr && !task->done && task->activeRun == run.number;
}

/** @return whether a start may be sent to an upstream: its process is the registered one, isn't about to leave, and has capacity for its runs. */
bool mayStillStart(const Leader &leader, const UpstreamState &upstreamState, const Now &now)
{
    const bool drainOver
        = upstreamState.registration.draining && now.monotonicMs + leader.options.orderTimeoutMs > upstreamState.drainingSinceMs + leader.options.drainMs;
    // The start of a run that was placed before the capacity was reduced would exceed it.
    const bool fits
        = upstreamState.shapeKnown && now.monotonicMs < upstreamState.shapeMs + leader.options.maxShapeAgeMs && !upstream::isOverCapacity(upstreamState);
    return !upstreamState.gone && upstreamState.listsRead && !drainOver && fits;
}

void sendStart(Leader &leader, const job::State &state, UpstreamState &upstreamState, Run &run, const Now &now, LeaderOutput &output)
{
    const job::Job &job = state.jobs.at(run.task.job);
    if (run.startsSent == 0) {
        run.firstOrderedAtMs = now.monotonicMs;
    }
    UpstreamCall call = makeOrder(leader, state, CallKind::Start, upstreamState, run, now);
    call.payload = job.spec.payload;
    call.ticket = run.ticket;
    call.checkpoint = job::checkpointOf(state, run.task);
    call.leaseUntilMs = upstream::grantLease(upstreamState, leader.options.lease, now.monotonicMs);
    ++run.startsSent;
    run.startSentMs = now.monotonicMs;
    run.phase = RunPhase::Starting;
    ++leader.counters.starts;
    output.calls.push_back(std::move(call));
}

void sendStop(Leader &leader, const job::State &state, UpstreamState &upstreamState, Run &run, const Now &now, LeaderOutput &output)
{
    if (!upstream::isFenceRecorded(upstreamState)) {
        return; // Sent by tickRuns().
    }
    ++leader.counters.stops;
    output.calls.push_back(makeOrder(leader, state, CallKind::Stop, upstreamState, run, now));
}

void requestStop(Leader &leader, const job::State &state, UpstreamState &upstreamState, Run &run, const Now &now, LeaderOutput &output)
{
    run.stopRequested = true;
    if (run.phase == RunPhase::Running) {
        run.phase = RunPhase::Stopping;
        sendStop(leader, state, upstreamState, run, now, output);
    } else if (run.phase == RunPhase::Starting && !run.orderPending) {
        run.phase = RunPhase::Voiding;
        run.stopAnswered = false;
    }
}

void startPlacedRuns(Leader &leader, const job::State &state, const wire::RunsPlacedT &record, const Now &now, LeaderOutput &output)
{
    wire::RunsEndedT neverStarted;
    for (const wire::RunPlaced &placed : record.runs) {
        const job::TaskRef task{placed.job(), placed.occurrence(), placed.step(), placed.index()};
        const auto upstreamState = leader.upstreams.find(placed.upstream());
        const auto run = upstreamState == leader.upstreams.end() ? decltype(upstreamState->second.runs.end()){} : upstreamState->second.runs.find(task);
        if (upstreamState == leader.upstreams.end() || run == upstreamState->second.runs.end() || run->second.number != placed.run()) {
            continue;
        }
        const job::Task *current = job::findTask(state, task);
        const bool isActive = current != nullptr && current->activeRun == placed.run();
        const bool startable = isWanted(state, run->second) && !run->second.stopRequested;
        if (startable && mayStillStart(leader, upstreamState->second, now) && !upstreamState->second.silent && upstreamState->second.clock.known) {
            if (upstreamState->second.acknowledgementPending) {
                // A process that was started since could take the start and then apply the acknowledgement to its own end. Sent by tickRuns().
                run->second.phase = RunPhase::Starting;
            } else {
                sendStart(leader, state, upstreamState->second, run->second, now, output);
            }
            continue;
        }
        if (isActive) {
            ++leader.counters.runsNever;
            proposeEnd(run->second, wire::RunEnd::Never, {}, neverStarted);
        }
        releaseRun(leader, upstreamState->second, task);
        leader.placementNeeded = true;
    }
    proposeEnds(std::move(neverStarted), now, output);
}

namespace
{
/** Takes a job out of the count of its queue. @return the job if it was counted. */
const job::Job *takeOutOfCount(Leader &leader, const job::State &state, std::uint64_t number)
{
    if (leader.queuedJobs.erase(number) == 0) {
        return nullptr;
    }
    const auto job = state.jobs.find(number);
    if (job == state.jobs.end()) {
        return nullptr;
    }
    --leader.queuedCounts[{job->second.spec.host, job->second.spec.prefix}];
    return &job->second;
}

/** @return whether all members of the gang run that a run belongs to are confirmed by their upstreams. A gang works from that moment. */
bool isGangPresent(const Leader &leader, const wire::StepSpecT &step, const Run &run)
{
    job::TaskRef member = run.task;
    for (member.index = 0; member.index < step.count; ++member.index) {
        const auto placement = leader.placements.find(member);
        if (placement == leader.placements.end()) {
            return false;
        }
        const auto &runs = leader.upstreams.at(placement->second).runs;
        const auto found = runs.find(member);
        if (found == runs.end() || found->second.number != run.number || found->second.phase != RunPhase::Running) {
            return false;
        }
    }
    return true;
}
}

/** Takes the job of a run that has worked out of the count of jobs without a started task, and logs what shows it. */
void markRunWorked(Leader &leader, const job::State &state, const UpstreamState &upstreamState, const Run &run, std::string_view evidence, LeaderOutput &output)
{
    // Called for every run in a poll's list; few of their jobs are still queued.
    if (const job::Job *job = takeOutOfCount(leader, state, run.task.job)) {
        output.decisions.push_back({"job-started",
                                    job->spec.id,
                                    "evidence=" + std::string(evidence) + " step=" + std::to_string(run.task.step) + " index=" + std::to_string(run.task.index)
                                        + " run=" + std::to_string(run.number) + " upstream=" + upstreamState.registration.id});
    }
}

/** The same for a run that its upstream has confirmed; a member of a gang only waits until all of them are present. */
void markRunPresent(Leader &leader, const job::State &state, const UpstreamState &upstreamState, const Run &run, std::string_view evidence,
                    LeaderOutput &output)
{
    if (leader.queuedJobs.count(run.task.job) == 0) {
        return;
    }
    const auto job = state.jobs.find(run.task.job);
    if (!run.gang
        || (job != state.jobs.end() && run.task.step < job->second.spec.steps.size() && isGangPresent(leader, *job->second.spec.steps[run.task.step], run))) {
        markRunWorked(leader, state, upstreamState, run, evidence, output);
    }
}

void onJobEnded(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output)
{
    if (takeOutOfCount(leader, state, job.number) != nullptr) {
        output.decisions.push_back({"job-ended-unstarted", job.spec.id, "phase=" + std::to_string(static_cast<int>(job.phase))});
    }
    leader.timedJobs.erase(job.number);
    removeWaitingSteps(leader, job.number);
    stopJob(leader, state, job, now, output);
}

void applyRunsEnded(Leader &leader, const job::State &state, const wire::RunsEndedT &record, const Now &now, LeaderOutput &output)
{
    const auto upstreamState = leader.upstreams.find(record.upstream);
    if (upstreamState != leader.upstreams.end() && upstreamState->second.registration.born == record.born) {
        upstreamState->second.recordedEnd = std::max(upstreamState->second.recordedEnd, record.upTo);
    }
    std::set<StepRef> steps;
    std::set<std::uint64_t> jobs;
    for (const auto &end : record.ends) {
        const job::TaskRef task{end->job, end->occurrence, end->step, end->index};
        jobs.insert(end->job);
        steps.insert({end->job, end->occurrence, end->step});
        if (end->end != wire::RunEnd::Done && isGang(state, task)) {
            stopGang(leader, state, task, now, output);
        }
    }
    for (const std::uint64_t number : jobs) {
        const auto job = state.jobs.find(number);
        if (job == state.jobs.end()) {
            continue;
        }
        if (job::hasEnded(job->second.phase)) {
            onJobEnded(leader, state, job->second, now, output);
        } else {
            enqueueReadySteps(leader, state, job->second, now);
        }
    }
    for (const StepRef &step : steps) {
        updateWaitingStep(leader, state, step, now);
    }
    leader.placementNeeded = true;
}

void stopJob(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output)
{
    for (auto entry = leader.placements.lower_bound({job.number, 0, 0, 0}); entry != leader.placements.end() && entry->first.job == job.number; ++entry) {
        const auto upstreamState = leader.upstreams.find(entry->second);
        const auto run = upstreamState->second.runs.find(entry->first);
        const job::Task *task = job::findTask(state, entry->first);
        const bool ending = task != nullptr && task->done; // The members of a gang end together; the others need no stop.
        if (run != upstreamState->second.runs.end() && !ending) {
            requestStop(leader, state, upstreamState->second, run->second, now, output);
        }
    }
}

/** Removes a run and its placement, which frees its capacity and ends its charge. @param task by value, since it may refer to the removed run's own field. */
void releaseRun(Leader &leader, UpstreamState &upstreamState, job::TaskRef task)
{
    const auto run = upstreamState.runs.find(task);
    if (run != upstreamState.runs.end()) {
        releaseCharge(leader, run->second);
    }
    upstream::removeRun(upstreamState, task);
    leader.placements.erase(task);
}

void proposeEnd(const Run &run, wire::RunEnd end, const std::string &checkpoint, wire::RunsEndedT &record)
{
    auto entry = std::make_unique<wire::RunEndedT>();
    entry->job = run.task.job;
    entry->occurrence = run.task.occurrence;
    entry->step = run.task.step;
    entry->index = run.task.index;
    entry->run = run.number;
    entry->end = end;
    entry->checkpoint = checkpoint;
    record.ends.push_back(std::move(entry));
}

void proposeEnds(wire::RunsEndedT record, const Now &now, LeaderOutput &output)
{
    if (record.ends.empty() && record.upTo == 0) {
        return;
    }
    record.atMs = now.wallMs;
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

void tickRuns(Leader &leader, const job::State &state, UpstreamState &upstreamState, const Now &now, LeaderOutput &output)
{
    if (!upstream::isFenceRecorded(upstreamState)) {
        return;
    }
    std::vector<job::TaskRef> due;
    for (const auto &[task, run] : upstreamState.runs) {
        const std::uint64_t pauseMs = run.phase == RunPhase::Stopping ? stopResendMs : leader.options.resendMs;
        const bool waitsForOrder = run.phase == RunPhase::Starting || run.phase == RunPhase::Stopping || (run.phase == RunPhase::Voiding && !run.stopAnswered);
        const bool stopDue = run.phase == RunPhase::Running && run.stopRequested;
        const bool answerLost = now.monotonicMs > run.orderedAtMs + 3 * leader.options.orderTimeoutMs;
        if ((!run.orderPending || answerLost) && (waitsForOrder || stopDue) && now.monotonicMs >= run.orderedAtMs + pauseMs) {
            due.push_back(task);
        }
    }
    for (const job::TaskRef &task : due) {
        const auto found = upstreamState.runs.find(task);
        if (found == upstreamState.runs.end()) {
            continue;
        }
        Run &run = found->second;
        run.orderPending = false;
        if (isUnsentInVain(leader, state, upstreamState, run, now)) {
            endUnsentRun(leader, upstreamState, run, now, output);
            continue;
        }
        if (run.phase == RunPhase::Starting) {
            tickStarting(leader, state, upstreamState, run, now, output);
        } else if (run.phase == RunPhase::Running) {
            requestStop(leader, state, upstreamState, run, now, output);
        }
        if (run.phase == RunPhase::Stopping || (run.phase == RunPhase::Voiding && !run.stopAnswered)) {
            if (!run.orderPending) {
                sendStop(leader, state, upstreamState, run, now, output);
            }
        }
    }
}
}
