#include "deployment/placing.h"
#include "job/footprint.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace rosemaryturn::deployment::internal
{
namespace
{
/** Time before their due time at which occurrences are enqueued. */
constexpr std::uint64_t dueAheadMs = 1500;
/** Interval of the scans for due occurrences. */
constexpr std::uint64_t dueScanMs = 300;
/** Number of steps of one job that are considered at a time: occurrences that are due beyond it wait until earlier ones are done. */
constexpr std::size_t maxOpenSteps = 10000;

std::uint64_t dueTimeMs(const job::Job &job, std::uint32_t occurrence)
{
    constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();
    if (job.spec.repeatCount == 0) {
        return 0;
    }
    if (occurrence > 0 && job.spec.intervalMs > (never - job.spec.startAtMs) / occurrence) {
        return never;
    }
    return job.spec.startAtMs + occurrence * job.spec.intervalMs;
}

/** @return the end of the range of occurrences, from the first that isn't done, whose steps are considered. */
std::uint32_t endOfOpenOccurrences(const job::Job &job)
{
    const std::size_t steps = std::max<std::size_t>(job.spec.steps.size(), 1);
    const std::size_t open = std::max<std::size_t>(maxOpenSteps / steps, 1);
    return static_cast<std::uint32_t>(std::min<std::size_t>(job.firstOpen + open, job::occurrenceCount(job)));
}

/** Collects the tasks of a step without a run. */
void collectUnplacedTasks(const Leader &leader, const job::State &state, const job::Job &job, WaitingStep &waiting)
{
    const StepRef &ref = waiting.ref;
    waiting.unplaced.clear();
    waiting.crashes = 0;
    for (std::uint32_t index = 0; index < job.spec.steps[ref.step]->count; ++index) {
        const job::TaskRef taskRef{ref.job, ref.occurrence, ref.step, index};
        const job::Task *task = job::findTask(state, taskRef);
        const bool idle = task == nullptr || (!task->done && task->activeRun == 0);
        if (idle && leader.placements.count(taskRef) == 0) {
            waiting.unplaced.push_back(index);
            waiting.crashes = std::max(waiting.crashes, task == nullptr ? 0 : task->crashes);
        }
    }
}
}

/** @return the values that determine the rank of a step. */
policy::WaitingKey waitingKey(const wire::QueueSpecT *queue, const job::Job &job, std::uint32_t step, std::uint64_t dueWallMs, const Now &now)
{
    const std::uint64_t startWallMs = std::max(job.acceptedAtMs, dueWallMs);
    const double factor = queue == nullptr ? 1 : std::max(queue->slackFactor, 1.0);
    policy::WaitingKey key;
    key.priority = queue == nullptr ? 0 : queue->priority;
    key.releaseMs = static_cast<std::int64_t>(now.monotonicMs) + static_cast<std::int64_t>(startWallMs) - static_cast<std::int64_t>(now.wallMs);
    key.objectiveMs = std::llround(factor * static_cast<double>(job.order.criticalPathMs)) + (queue == nullptr ? 0 : queue->targetMs);
    key.remainingMs = static_cast<std::int64_t>(job.order.remainingMs[step]);
    key.number = job.number;
    key.isEndless = step < job.spec.steps.size() && job.spec.steps[step]->longRunning;
    return key;
}

std::string stepName(const std::string &job, std::uint32_t occurrence, std::uint32_t step)
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

/** Enqueues the steps of occurrences that are due soon. */
void enqueueDueSteps(Leader &leader, const job::State &state, const Now &now)
{
    if (now.monotonicMs < leader.nextDueScanMs) {
        return;
    }
    leader.nextDueScanMs = now.monotonicMs + dueScanMs;
    for (const std::uint64_t number : leader.timedJobs) {
        const auto job = state.jobs.find(number);
        if (job != state.jobs.end()) {
            enqueueReadySteps(leader, state, job->second, now);
        }
    }
}

bool hasRegistryRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes)
{
    return state.registryBytes + bytes <= leader.options.maxHeldBytes / 4 * 3;
}

bool hasRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes)
{
    return state.heldBytes + state.registryBytes + leader.proposedBytes + leader.openBytes + bytes <= leader.options.maxHeldBytes;
}

bool hasTombstoneRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes)
{
    constexpr std::uint64_t maxPart = 8; // The rest is left to jobs, whatever ids clients cancel.
    return state.tombstoneBytes + leader.proposedTombstoneBytes + bytes <= leader.options.maxHeldBytes / maxPart;
}

namespace
{
/** Reserves memory for an occurrence whose steps are enqueued. The first one of a job is part of what the job holds. @return false if there is no room. */
bool openOccurrence(Leader &leader, const job::State &state, const job::Job &job, std::uint32_t number)
{
    const bool reserved = job.occurrences.empty() ? number == job.firstOpen : job.occurrences.count(number) > 0;
    if (reserved || leader.openOccurrences.count({job.number, number}) > 0) {
        return true;
    }
    const std::uint64_t bytes = job::occurrenceBytes(job.spec);
    if (!hasRoomFor(leader, state, bytes)) {
        ++leader.counters.occurrencesWithoutRoom;
        return false;
    }
    leader.openOccurrences[{job.number, number}] = bytes;
    leader.openBytes += bytes;
    return true;
}
}

/** Ends the reservations for occurrences that are part of the state from now on. */
void closePlacedOccurrences(Leader &leader, const wire::RunsPlacedT &record)
{
    for (const wire::RunPlaced &placed : record.runs) {
        const auto entry = leader.openOccurrences.find({placed.job(), placed.occurrence()});
        if (entry != leader.openOccurrences.end()) {
            leader.openBytes -= entry->second;
            leader.openOccurrences.erase(entry);
        }
    }
}

void enqueueReadySteps(Leader &leader, const job::State &state, const job::Job &job, const Now &now)
{
    if (job::hasEnded(job.phase)) {
        return;
    }
    const std::uint32_t end = endOfOpenOccurrences(job);
    for (std::uint32_t occurrence = job.firstOpen; occurrence < end; ++occurrence) {
        if (dueTimeMs(job, occurrence) > now.wallMs + dueAheadMs || !openOccurrence(leader, state, job, occurrence)) {
            break;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepRef ref{job.number, occurrence, step};
            if (leader.waiting.count(ref) == 0 && !job::isStepDone(job, occurrence, step) && job::isStepReady(job, occurrence, step)) {
                updateWaitingStep(leader, state, ref, now);
            }
        }
    }
}

void updateWaitingStep(Leader &leader, const job::State &state, const StepRef &ref, const Now &now)
{
    const auto found = state.jobs.find(ref.job);
    if (found == state.jobs.end() || job::hasEnded(found->second.phase) || !job::isStepReady(found->second, ref.occurrence, ref.step)) {
        leader.waiting.erase(ref);
        return;
    }
    const job::Job &job = found->second;
    if (job::isStepDone(job, ref.occurrence, ref.step)) {
        leader.waiting.erase(ref);
        return;
    }
    const auto [entry, added] = leader.waiting.try_emplace(ref);
    WaitingStep &waiting = entry->second;
    if (added) {
        const wire::QueueSpecT *queue = job::queueOf(state, job);
        waiting.ref = ref;
        waiting.name = stepName(job.spec.id, ref.occurrence, ref.step);
        waiting.team = job.spec.team;
        waiting.charge = chargePerTask(*job.spec.steps[ref.step]);
        waiting.waitingSinceMs = now.monotonicMs;
        waiting.dueWallMs = dueTimeMs(job, ref.occurrence);
        waiting.key = waitingKey(queue, job, ref.step, waiting.dueWallMs, now);
        setWeight(leader, state, job, ref.step, waiting.key, now);
    }
    collectUnplacedTasks(leader, state, job, waiting);
    leader.placementNeeded = true;
}

void removeWaitingSteps(Leader &leader, std::uint64_t job)
{
    auto entry = leader.waiting.lower_bound({job, 0, 0});
    while (entry != leader.waiting.end() && entry->first.job == job) {
        entry = leader.waiting.erase(entry);
    }
    auto open = leader.openOccurrences.lower_bound({job, 0});
    while (open != leader.openOccurrences.end() && open->first.first == job) {
        leader.openBytes -= open->second;
        open = leader.openOccurrences.erase(open);
    }
}

/** Ranks the waiting steps by the plan now in force, and stops the jobs that failed with it; a task of each of these waits. */
void applyPlanToWaitingSteps(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    std::set<std::uint64_t> ended;
    for (auto &[ref, waiting] : leader.waiting) {
        const job::Job &job = state.jobs.at(ref.job);
        if (job::hasEnded(job.phase)) {
            ended.insert(ref.job);
        } else {
            const std::int64_t releaseMs = waiting.key.releaseMs; // Independent of steps of the clock since.
            waiting.key = waitingKey(job::queueOf(state, job), job, ref.step, waiting.dueWallMs, now);
            waiting.key.releaseMs = releaseMs;
            setWeight(leader, state, job, ref.step, waiting.key, now);
        }
    }
    for (const std::uint64_t number : ended) {
        const job::Job &job = state.jobs.at(number);
        ++leader.counters.jobsFailedByPlan;
        output.decisions.push_back({"job-failed-by-plan", job.spec.id, "plan=" + std::to_string(state.plan.version)});
        onJobEnded(leader, state, job, now, output);
    }
    leader.placementNeeded = true;
}
}
