#include "job/jobs.h"

#include "job/footprint.h"

#include <algorithm>
#include <memory>

namespace rosemaryturn::job
{
namespace
{
/** Separates the parts of a tombstone's id. No plain key, host name or path contains it. */
constexpr char tombstoneSeparator = '\n';

void setHeldBytes(State &state, Job &job, std::uint64_t bytes)
{
    state.heldBytes += bytes - job.heldBytes;
    if (isTombstoneId(job.spec.id)) {
        state.tombstoneBytes += bytes - job.heldBytes;
    }
    job.heldBytes = bytes;
}

Occurrence &findOrCreateOccurrence(State &state, Job &job, std::uint32_t number)
{
    Occurrence &occurrence = job.occurrences[number];
    if (occurrence.steps.empty()) {
        for (const auto &step : job.spec.steps) {
            occurrence.steps.emplace_back().unmetCount = step->after.size();
        }
        updateHeldBytes(state, job);
    }
    return occurrence;
}

Task *findOrCreateTask(State &state, Job &job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index)
{
    if (step >= job.spec.steps.size() || index >= job.spec.steps[step]->count || occurrence >= occurrenceCount(job)) {
        return nullptr;
    }
    std::vector<Task> &tasks = findOrCreateOccurrence(state, job, occurrence).steps[step].tasks;
    tasks.resize(job.spec.steps[step]->count);
    return &tasks[index];
}

/** Discards the run state of an ended job once none of its runs is active. The id and the phase stay, as callers query them long after. */
void discardRunState(State &state, Job &job)
{
    if (!hasEnded(job.phase)) {
        return;
    }
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const StepRuns &step : occurrence.steps) {
            if (step.activeCount > 0) {
                return;
            }
        }
    }
    job.occurrences.clear();
    job.order = {};
    job.spec.steps.clear();
    job.spec.payload = std::string();
    job.checkpointBytes = 0;
    updateHeldBytes(state, job);
}

void endJob(Job &job, Phase phase, std::uint64_t atMs)
{
    if (!hasEnded(job.phase)) {
        job.phase = phase;
        job.endedAtMs = atMs;
    }
}

bool isOccurrenceDone(const Job &job, std::uint32_t number)
{
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        if (!isStepDone(job, number, step)) {
            return false;
        }
    }
    return true;
}

bool isComplete(const Job &job)
{
    return job.doneSteps == std::uint64_t{occurrenceCount(job)} * job.spec.steps.size();
}

/** Counts a step as done. */
void countDoneStep(Job &job, std::uint32_t number, std::uint32_t step)
{
    Occurrence &occurrence = job.occurrences[number];
    ++job.doneSteps;
    for (const std::uint32_t successor : job.order.successors[step]) {
        --occurrence.steps[successor].unmetCount;
    }
    while (job.firstOpen < occurrenceCount(job) && isOccurrenceDone(job, job.firstOpen)) {
        ++job.firstOpen;
    }
}

void applyAccepted(State &state, const wire::JobAcceptedT &record)
{
    if (!record.spec || state.jobNumberById.count(record.spec->id) > 0) {
        return; // A resent submission that was proposed twice yields one job.
    }
    Job job;
    job.number = state.nextJob++;
    job.acceptedAtMs = record.atMs;
    job.spec = *record.spec;
    job.order = orderOf(job.spec);
    endIfWithoutSteps(job);
    state.jobNumberById[job.spec.id] = job.number;
    updateHeldBytes(state, state.jobs.emplace(job.number, std::move(job)).first->second);
}

void applyPlaced(State &state, const wire::RunsPlacedT &record)
{
    for (const wire::RunPlaced &placed : record.runs) {
        const auto found = state.jobs.find(placed.job());
        if (found == state.jobs.end()) {
            continue;
        }
        Task *task = findOrCreateTask(state, found->second, placed.occurrence(), placed.step(), placed.index());
        if (task == nullptr || task->done || placed.run() <= task->run) {
            continue;
        }
        StepRuns &step = found->second.occurrences[placed.occurrence()].steps[placed.step()];
        step.activeCount += task->activeRun == 0 ? 1 : 0;
        task->run = placed.run();
        task->activeRun = placed.run();
        task->upstream = placed.upstream();
        if (found->second.phase == Phase::Queued) {
            found->second.phase = Phase::Running;
        }
    }
}

void markDone(StepRuns &runs, Task &task)
{
    if (!task.done) {
        task.done = true;
        ++runs.doneCount;
    }
}

void storeCheckpoint(State &state, Job &job, StepRuns &runs, const wire::RunEndedT &end)
{
    if (end.checkpoint.empty()) {
        return;
    }
    if (job.spec.steps[end.step]->gang) {
        // A checkpoint applies to the whole gang, and all members must have the same one.
        job.checkpointBytes -= textBytes(checkpointOf(runs, 0).size()) * runs.checkpoints.size();
        runs.checkpoints.assign(runs.tasks.size(), end.checkpoint);
        job.checkpointBytes += textBytes(end.checkpoint.size()) * runs.checkpoints.size();
    } else {
        job.checkpointBytes -= textBytes(checkpointOf(runs, end.index).size());
        setCheckpoint(runs, end.index, end.checkpoint);
        job.checkpointBytes += textBytes(end.checkpoint.size());
    }
    updateHeldBytes(state, job);
}

void countFailure(StepRuns &runs, const wire::StepSpecT &spec, Task &task, std::uint32_t run)
{
    if (!spec.gang) {
        ++task.failed;
        return;
    }
    if (runs.failedGangRun >= run) {
        return; // The failure of another member of this run has been counted.
    }
    runs.failedGangRun = run;
    for (Task &member : runs.tasks) {
        ++member.failed;
    }
}

/**
 * @return whether a task, which has no run in progress, has failed as often as the job's queue allows. A job whose queue the plan doesn't contain isn't judged:
 * no task of it is started before a later plan contains the queue again.
 */
bool hasUsedUpAttempts(const State &state, const Job &job, const wire::StepSpecT &spec, const Task &task)
{
    const auto attempts = maxAttemptsOf(state, job);
    return attempts && !spec.longRunning && !task.done && task.activeRun == 0 && task.failed >= *attempts;
}

bool hasUsedUpAttempts(const State &state, const Job &job)
{
    return std::any_of(job.occurrences.begin(), job.occurrences.end(), [&](const auto &occurrence) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            const auto &tasks = occurrence.second.steps[step].tasks;
            const bool usedUp = std::any_of(tasks.begin(), tasks.end(), [&](const Task &task) {
                return hasUsedUpAttempts(state, job, *job.spec.steps[step], task);
            });
            if (usedUp) {
                return true;
            }
        }
        return false;
    });
}

/** Puts a plan in force, and fails the jobs whose tasks have failed as often as their queue now allows. */
void applyPlan(State &state, const wire::PlanAcceptedT &plan)
{
    if (plan.version <= state.plan.version) {
        return;
    }
    state.registryBytes -= state.plan.version > 0 ? planBytes(state.plan) : 0;
    state.plan = plan;
    state.registryBytes += planBytes(plan);
    for (auto &[number, job] : state.jobs) {
        if (!hasEnded(job.phase) && hasUsedUpAttempts(state, job)) {
            endJob(job, Phase::Failed, job.acceptedAtMs);
            discardRunState(state, job);
        }
    }
}

void applyDone(StepRuns &runs, const wire::StepSpecT &spec, Task &task)
{
    markDone(runs, task);
    if (spec.gang) {
        for (Task &member : runs.tasks) {
            markDone(runs, member); // A member that is done completes the whole gang.
        }
    }
}

void applyEnd(State &state, const wire::RunEndedT &end, std::uint64_t atMs)
{
    const auto found = state.jobs.find(end.job);
    if (found == state.jobs.end()) {
        return;
    }
    Job &job = found->second;
    Task *task = findOrCreateTask(state, job, end.occurrence, end.step, end.index);
    if (task == nullptr || end.run == 0) {
        return;
    }
    const bool doneAfterLoss = end.end == wire::RunEnd::Done && task->activeRun == 0 && task->run == end.run && !task->done && !hasEnded(job.phase);
    if (task->activeRun != end.run && !doneAfterLoss) {
        return; // Already recorded.
    }
    StepRuns &runs = job.occurrences[end.occurrence].steps[end.step];
    const wire::StepSpecT &spec = *job.spec.steps[end.step];
    runs.activeCount -= task->activeRun == 0 ? 0 : 1;
    task->activeRun = 0;
    task->upstream = 0;
    storeCheckpoint(state, job, runs, end);
    if (end.end == wire::RunEnd::Done && !spec.longRunning) {
        const bool wasDone = isStepDone(job, end.occurrence, end.step);
        applyDone(runs, spec, *task);
        if (!wasDone && isStepDone(job, end.occurrence, end.step)) {
            countDoneStep(job, end.occurrence, end.step);
        }
        if (isComplete(job)) {
            endJob(job, Phase::Completed, atMs);
        }
        return;
    }
    if (end.end == wire::RunEnd::Failed && !spec.longRunning) {
        countFailure(runs, spec, *task, end.run);
    }
    if (hasUsedUpAttempts(state, job, spec, *task)) {
        endJob(job, Phase::Failed, atMs);
    }
}

/** Counts the crash of an upstream under a run, and fails the job of its task at the maximum. */
void countCrash(State &state, const wire::RunPlaced &run, bool confirmed, const wire::RunsCrashedT &record)
{
    const auto found = state.jobs.find(run.job());
    if (found == state.jobs.end() || hasEnded(found->second.phase)) {
        return;
    }
    Job &job = found->second;
    Task *task = findOrCreateTask(state, job, run.occurrence(), run.step(), run.index());
    if (task == nullptr || task->done || run.run() <= task->crashedRun || run.run() > task->run) {
        return;
    }
    task->crashedRun = run.run();
    ++task->crashes;
    task->confirmedCrashes += confirmed ? 1 : 0;
    if (task->confirmedCrashes >= record.maxCrashes || task->crashes >= record.maxPossibleCrashes) {
        endJob(job, Phase::Failed, record.atMs);
        discardRunState(state, job);
    }
}

void applyCrashed(State &state, const wire::RunsCrashedT &record)
{
    for (const wire::RunPlaced &run : record.runs) {
        countCrash(state, run, true, record);
    }
    for (const wire::RunPlaced &run : record.possibleRuns) {
        countCrash(state, run, false, record);
    }
}

void applyForgotten(State &state, const wire::JobsForgottenT &record)
{
    for (const std::uint64_t number : record.jobs) {
        const auto found = state.jobs.find(number);
        if (found != state.jobs.end()) {
            setHeldBytes(state, found->second, 0);
            state.jobNumberById.erase(found->second.spec.id);
            state.jobs.erase(found);
        }
    }
}

void removeUpstream(State &state, std::uint32_t number)
{
    const auto found = state.upstreams.find(number);
    if (found != state.upstreams.end()) {
        state.registryBytes -= upstreamBytes(found->second);
        state.upstreams.erase(found);
    }
}

void applyWaveStart(State &state, const wire::WaveStartedT &record)
{
    if (state.waves.count(record.wave) > 0) {
        return;
    }
    Wave &wave = state.waves[record.wave];
    wave.started = record;
    state.registryBytes += waveBytes(record);
    for (const std::string &machine : record.machines) {
        wave.machines[machine].machine = machine;
    }
}

void applyWaveProgress(State &state, const wire::WaveProgressT &record)
{
    const auto found = state.waves.find(record.wave);
    if (found == state.waves.end()) {
        return;
    }
    const auto machine = found->second.machines.find(record.machine);
    if (machine != found->second.machines.end()) {
        machine->second.begun = machine->second.begun || record.begun;
        machine->second.gone = machine->second.gone || record.gone;
    }
}
}

void apply(State &state, const wire::RecordT &record)
{
    if (const auto *accepted = record.change.AsJobAccepted()) {
        applyAccepted(state, *accepted);
    } else if (const auto *placed = record.change.AsRunsPlaced()) {
        applyPlaced(state, *placed);
    } else if (const auto *ended = record.change.AsRunsEnded()) {
        for (const auto &end : ended->ends) {
            applyEnd(state, *end, ended->atMs);
        }
        for (const auto &end : ended->ends) {
            const auto job = state.jobs.find(end->job);
            if (job != state.jobs.end()) {
                discardRunState(state, job->second);
            }
        }
    } else if (const auto *crashed = record.change.AsRunsCrashed()) {
        applyCrashed(state, *crashed);
    } else if (const auto *cancelled = record.change.AsJobCancelled()) {
        const auto found = state.jobs.find(cancelled->job);
        if (found != state.jobs.end()) {
            endJob(found->second, Phase::Cancelled, cancelled->atMs);
            discardRunState(state, found->second);
        }
    } else if (const auto *forgotten = record.change.AsJobsForgotten()) {
        applyForgotten(state, *forgotten);
    } else if (const auto *seen = record.change.AsUpstreamSeen()) {
        wire::UpstreamSeenT upstream = *seen;
        if (upstream.number == 0) {
            upstream.number = state.nextUpstream;
        }
        state.nextUpstream = std::max(state.nextUpstream, upstream.number + 1);
        removeUpstream(state, upstream.number);
        state.registryBytes += upstreamBytes(upstream);
        state.upstreams[upstream.number] = std::move(upstream);
    } else if (const auto *gone = record.change.AsUpstreamGone()) {
        removeUpstream(state, gone->number);
    } else if (const auto *plan = record.change.AsPlanAccepted()) {
        applyPlan(state, *plan);
    } else if (const auto *wave = record.change.AsWaveStarted()) {
        applyWaveStart(state, *wave);
    } else if (const auto *progress = record.change.AsWaveProgress()) {
        applyWaveProgress(state, *progress);
    }
}

const Occurrence &occurrenceOf(const Job &job, std::uint32_t number)
{
    static const Occurrence none;
    const auto found = job.occurrences.find(number);
    return found == job.occurrences.end() ? none : found->second;
}

std::uint32_t occurrenceCount(const Job &job)
{
    return std::max<std::uint32_t>(job.spec.repeatCount, 1);
}

std::string tombstoneId(std::string_view host, std::string_view prefix, std::string_view team, std::string_view id)
{
    std::string text;
    for (const std::string_view part : {host, prefix, team}) {
        text.append(part);
        text.push_back(tombstoneSeparator);
    }
    return text.append(id);
}

bool isTombstoneId(std::string_view id)
{
    return id.find(tombstoneSeparator) != std::string_view::npos;
}

void endIfWithoutSteps(Job &job)
{
    if (job.spec.steps.empty() && !hasEnded(job.phase)) {
        job.phase = Phase::Cancelled;
        job.endedAtMs = job.acceptedAtMs;
    }
}

bool hasEnded(Phase phase)
{
    return phase == Phase::Completed || phase == Phase::Failed || phase == Phase::Cancelled;
}

bool isStepDone(const Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    const Occurrence &runs = occurrenceOf(job, occurrence);
    return step < runs.steps.size() && runs.steps[step].doneCount == job.spec.steps[step]->count;
}

bool isStepReady(const Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    const Occurrence &runs = occurrenceOf(job, occurrence);
    return step < runs.steps.size() ? runs.steps[step].unmetCount == 0 : job.spec.steps[step]->after.empty();
}

StepOrder orderOf(const wire::JobSpecT &spec)
{
    StepOrder order;
    order.successors.resize(spec.steps.size());
    order.remainingMs.resize(spec.steps.size());
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        order.remainingMs[step] += spec.steps[step]->estimatedMs;
        order.criticalPathMs = std::max(order.criticalPathMs, order.remainingMs[step]);
        for (const std::uint32_t earlier : spec.steps[step]->after) {
            if (earlier < step) { // A step that lists itself or a later one never becomes ready.
                order.successors[earlier].push_back(static_cast<std::uint32_t>(step));
                order.remainingMs[earlier] = std::max(order.remainingMs[earlier], order.remainingMs[step]);
            }
        }
    }
    return order;
}

void updateHeldBytes(State &state, Job &job)
{
    const std::uint64_t occurrences = job.spec.steps.empty() ? 0 : std::max<std::size_t>(job.occurrences.size(), 1);
    setHeldBytes(state, job, specBytes(job.spec) + occurrences * occurrenceBytes(job.spec) + job.checkpointBytes);
}

void recountSteps(Job &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            occurrence.steps[step].unmetCount = job.spec.steps[step]->after.size();
        }
    }
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (isStepDone(job, number, step)) {
                countDoneStep(job, number, step);
            }
        }
    }
}

const wire::QueueSpecT *queueOf(const State &state, const Job &job)
{
    for (const auto &queue : state.plan.queues) {
        if (queue->host == job.spec.host && queue->prefix == job.spec.prefix) {
            return queue.get();
        }
    }
    return nullptr;
}

const wire::QueueSpecT *findQueue(const wire::PlanAcceptedT &plan, std::string_view host, std::string_view path)
{
    const wire::QueueSpecT *best = nullptr;
    for (const auto &queue : plan.queues) {
        if (queue->host == host && path.substr(0, queue->prefix.size()) == queue->prefix && (best == nullptr || queue->prefix.size() > best->prefix.size())) {
            best = queue.get();
        }
    }
    return best;
}

std::optional<std::uint32_t> maxAttemptsOf(const State &state, const Job &job)
{
    const wire::QueueSpecT *queue = queueOf(state, job);
    return queue == nullptr ? std::nullopt : std::optional(std::max<std::uint32_t>(queue->attempts, 1));
}

namespace
{
const StepRuns *findStep(const State &state, const TaskRef &ref)
{
    const auto found = state.jobs.find(ref.job);
    if (found == state.jobs.end()) {
        return nullptr;
    }
    const Occurrence &occurrence = occurrenceOf(found->second, ref.occurrence);
    return ref.step < occurrence.steps.size() ? &occurrence.steps[ref.step] : nullptr;
}
}

const std::string &checkpointOf(const StepRuns &step, std::uint32_t index)
{
    static const std::string none;
    return index < step.checkpoints.size() ? step.checkpoints[index] : none;
}

const std::string &checkpointOf(const State &state, const TaskRef &ref)
{
    static const StepRuns none;
    const StepRuns *step = findStep(state, ref);
    return checkpointOf(step == nullptr ? none : *step, ref.index);
}

void setCheckpoint(StepRuns &step, std::uint32_t index, std::string checkpoint)
{
    step.checkpoints.resize(step.tasks.size());
    step.checkpoints[index] = std::move(checkpoint);
}

const Task *findTask(const State &state, const TaskRef &ref)
{
    const StepRuns *step = findStep(state, ref);
    return step == nullptr || ref.index >= step->tasks.size() ? nullptr : &step->tasks[ref.index];
}
}
