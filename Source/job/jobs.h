#pragma once

#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/**
 * Jobs made of steps: the replicated state of one deployment and how log records change it.
 *
 * Applying a record is deterministic (`state x record -> state`): it yields the same state on each host and doesn't read the clock.
 */
namespace rosemaryturn::job
{
/** Phase of a job as reported to callers. */
enum class Phase : std::int8_t {
    Queued, ///< No task has been placed yet.
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** One task of one occurrence of a step. */
struct Task
{
    std::uint32_t run = 0; ///< Number of the latest run; 0 before the first.
    std::uint32_t failed = 0; ///< Number of runs that failed.
    std::uint32_t activeRun = 0; ///< The run that may be in progress; 0 for none.
    std::uint32_t upstream = 0; ///< Number of the upstream of the active run; 0 for none.
    std::uint32_t crashes = 0; ///< Number of runs under which an upstream crashed, or may have.
    std::uint32_t confirmedCrashes = 0; ///< Number of those that are known to have been in progress.
    std::uint32_t crashedRun = 0; ///< Latest run counted as a crash; 0 for none.
    bool done = false;

    bool operator==(const Task &) const = default;
};

/** The tasks of one step in one occurrence of a job. */
struct StepRuns
{
    std::vector<Task> tasks; ///< Empty before the first one is placed.
    std::vector<std::string> checkpoints; ///< Latest checkpoint of each task; empty before the first one.
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0;
    std::uint32_t failedGangRun = 0; ///< Latest gang run counted as failed; the failures of its members count once.
    std::size_t unmetCount = 0; ///< Number of entries of the step's `after` whose step isn't done.
};

/** One execution of all steps of a job. */
struct Occurrence
{
    std::vector<StepRuns> steps;
};

/** The order of a job's steps, derived from their `after` lists once, when the job is accepted or restored. */
struct StepOrder
{
    std::vector<std::vector<std::uint32_t>> successors; ///< By step: the steps that list it.
    std::vector<std::uint64_t> remainingMs; ///< By step: estimated duration of the longest chain of steps that begins with it.
    std::uint64_t criticalPathMs = 0; ///< Estimated duration of the longest chain of steps.
};

/**
 * An accepted job, or the tombstone of one: an ended job without steps that records the cancellation of an id before its submission, so that a submission which
 * arrives later runs nothing.
 */
struct Job
{
    std::uint64_t number = 0;
    std::uint64_t acceptedAtMs = 0; ///< Wall clock time of the leader that accepted the job.
    std::uint64_t endedAtMs = 0; ///< Wall clock time of the leader that recorded the end; 0 before the end.
    Phase phase = Phase::Queued;
    wire::JobSpecT spec;
    StepOrder order; ///< Empty once the steps are discarded.
    std::map<std::uint32_t, Occurrence> occurrences; ///< The occurrences with at least one task placed so far.
    std::uint64_t doneSteps = 0; ///< Number of steps that are done, over all occurrences.
    std::uint32_t firstOpen = 0; ///< First occurrence with a step that isn't done.
    std::uint64_t checkpointBytes = 0; ///< Memory for the texts of its checkpoints.
    std::uint64_t heldBytes = 0; ///< Memory for the job, as job/footprint.h estimates it; part of State::heldBytes.
};

/** Identifies a task. */
struct TaskRef
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/** A maintenance wave over machines, of which a bounded number is taken down at a time. */
struct Wave
{
    wire::WaveStartedT started;
    std::map<std::string, wire::WaveMachineT, std::less<>> machines;
};

/** The replicated state of a deployment. */
struct State
{
    std::uint64_t nextJob = 1;
    std::uint32_t nextUpstream = 1;
    std::map<std::uint64_t, Job> jobs;
    std::unordered_map<std::string, std::uint64_t> jobNumberById; ///< Job numbers, by the id that the caller gave or by tombstoneId().
    std::map<std::uint32_t, wire::UpstreamSeenT> upstreams;
    wire::PlanAcceptedT plan; ///< Version 0 before the first plan.
    std::map<std::uint64_t, Wave> waves;
    std::uint64_t heldBytes = 0; ///< Memory for all jobs, as job/footprint.h estimates it.
    std::uint64_t tombstoneBytes = 0; ///< The part of heldBytes that tombstones take.
    std::uint64_t registryBytes = 0; ///< Memory for the plan, the upstreams and the waves, estimated likewise.
};

/** Applies a record. @param state the state to change. @param record a committed record; record types of other logs are ignored. */
void apply(State &state, const wire::RecordT &record);

/** @param state the state. @return its encoded image. */
wire::Bytes encodeImage(const State &state);

/** @param bytes an encoded image. @return whether its structure is intact, so that decodeImage() can read it. */
bool isReadableImage(std::span<const std::uint8_t> bytes);

/** @param bytes an encoded image; empty for the initial state. @return the state; nothing if the image can't be read. */
std::optional<State> decodeImage(std::span<const std::uint8_t> bytes);

/** @param spec a job's specification. @return the order of its steps; takes time in proportion to the length of the `after` lists. */
StepOrder orderOf(const wire::JobSpecT &spec);

/** Updates the estimate of the memory for a job and for the state. @param state the state. @param job one of its jobs, after a change of its size. */
void updateHeldBytes(State &state, Job &job);

/** Ends a job that has no steps as cancelled: a tombstone, or a job that was submitted after its cancellation. Builds without tombstones keep such a job as
 * queued, also in their snapshots. @param job a job that is accepted or restored. */
void endIfWithoutSteps(Job &job);

/** Sets the counts of steps that are derived from the tasks. @param job a job whose occurrences were restored. */
void recountSteps(Job &job);

/** @param job a job. @param number an occurrence. @return the occurrence; an empty one if none of its tasks was placed yet. */
const Occurrence &occurrenceOf(const Job &job, std::uint32_t number);

/** @param job a job. @return how many occurrences it has. */
std::uint32_t occurrenceCount(const Job &job);

/** Identifies the tombstone of a job. @param host host of its queue. @param prefix prefix of its queue. @param team the team that cancels it; empty for none.
 * @param id the job's id, a plain key. @return the id, which is no plain key and therefore differs from that of any job. */
std::string tombstoneId(std::string_view host, std::string_view prefix, std::string_view team, std::string_view id);

/** @param id the id of a job or a tombstone. @return whether it is one that tombstoneId() made. */
bool isTombstoneId(std::string_view id);

/** @param phase a phase. @return whether it is final, so that no task of the job may be started. */
bool hasEnded(Phase phase);

/** @param job a job. @param occurrence one of its occurrences. @param step a step. @return whether all tasks of the step are done. */
bool isStepDone(const Job &job, std::uint32_t occurrence, std::uint32_t step);

/** @param job a job. @param occurrence one of its occurrences. @param step a step. @return whether all steps that it depends on are done. */
bool isStepReady(const Job &job, std::uint32_t occurrence, std::uint32_t step);

/** @param state the state. @param job a job. @return the queue that it was submitted to, or null if the plan no longer contains it. */
const wire::QueueSpecT *queueOf(const State &state, const Job &job);

/**
 * Finds the queue that a request is addressed to.
 * @param plan the plan in force.
 * @param host the host name of the request.
 * @param path the path of the request.
 * @return the queue with the longest prefix of the path, or null.
 */
const wire::QueueSpecT *findQueue(const wire::PlanAcceptedT &plan, std::string_view host, std::string_view path);

/** @param state the state. @param job a job. @return the number of failures of one task, or of one gang, that fails the job; nothing while the plan doesn't
 * contain its queue. */
std::optional<std::uint32_t> maxAttemptsOf(const State &state, const Job &job);

/** @param step the tasks of a step. @param index one of them. @return its latest checkpoint; empty for none. */
const std::string &checkpointOf(const StepRuns &step, std::uint32_t index);

/** @param state the state. @param ref a task. @return its latest checkpoint; empty for none. */
const std::string &checkpointOf(const State &state, const TaskRef &ref);

/** Stores the latest checkpoint of a task. @param step the tasks of a step. @param index one of them. @param checkpoint its checkpoint. */
void setCheckpoint(StepRuns &step, std::uint32_t index, std::string checkpoint);

/** @param state the state. @param ref a task. @return the task, or null if it doesn't exist. */
const Task *findTask(const State &state, const TaskRef &ref);
}
