#pragma once

#include "wire/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/**
 * Jobs made of steps: the replicated state of one deployment and how its log records change it.
 *
 * Everything here is `state x record -> state`, the same on each host; nothing depends on the present.
 */
namespace rosemaryturn::job
{
/** What callers are told of a job. */
enum class Phase : std::int8_t {
    Queued, ///< No task was ever placed.
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** One task of one occurrence of a step. */
struct Task
{
    std::uint32_t run = 0; ///< Number of the latest run; 0 before the first.
    std::uint32_t failed = 0; ///< Runs that ended by a failure.
    std::uint32_t activeRun = 0; ///< The run that may be under way; 0 for none.
    std::uint32_t upstream = 0; ///< Where the active run was placed.
    bool done = false;
    std::string checkpoint; ///< Latest known; empty for none.
};

/** One occurrence of one step. */
struct StepRuns
{
    std::vector<Task> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0;
    std::uint32_t failedGangRun = 0; ///< Latest gang run that was counted as failed: its members count once together.
};

/** One time that the steps of a job run. */
struct Occurrence
{
    std::vector<StepRuns> steps;
};

/** An accepted job. */
struct Job
{
    std::uint64_t number = 0;
    std::uint64_t acceptedAtMs = 0; ///< Wall clock of the leader that accepted it.
    std::uint64_t endedAtMs = 0; ///< Wall clock of the leader that recorded the end; 0 before it.
    Phase phase = Phase::Queued;
    wire::JobSpecT spec;
    std::map<std::uint32_t, Occurrence> occurrences; ///< Those of which a task was ever placed.
};

/** Names one task. */
struct TaskRef
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/** A request for upkeep of machines, a bounded number at a time. */
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
    std::unordered_map<std::string, std::uint64_t> byId; ///< Job numbers by the caller's id.
    std::map<std::uint32_t, wire::UpstreamSeenT> upstreams;
    wire::PlanAcceptedT plan; ///< Version 0 before the first.
    std::map<std::uint64_t, Wave> waves;
};

/** @param state the state. @param record a committed record; kinds of other logs are passed over. */
void apply(State &state, const wire::RecordT &record);

/** @param state the state. @return its encoded image. */
wire::Bytes encodeImage(const State &state);

/** @param bytes an encoded image; empty for the state before the first record. @return the state. */
State decodeImage(const wire::Bytes &bytes);

/** @param job a job. @param number an occurrence. @return its runs; an empty set where none was ever placed. */
const Occurrence &occurrenceOf(const Job &job, std::uint32_t number);

/** @param job a job. @return how many occurrences it has. */
std::uint32_t occurrenceCount(const Job &job);

/** @param phase a phase. @return whether no task of it may be started any more. */
bool hasEnded(Phase phase);

/** @param job a job. @param occurrence one of its occurrences. @param step a step. @return whether all tasks of the step are done. */
bool isStepDone(const Job &job, std::uint32_t occurrence, std::uint32_t step);

/** @param job a job. @param occurrence one of its occurrences. @param step a step. @return whether all steps that it waits for are done. */
bool isStepReady(const Job &job, std::uint32_t occurrence, std::uint32_t step);

/** @param state the state. @param job a job. @return the queue that it was handed in to, or null when the plan lists it no more. */
const wire::QueueSpecT *queueOf(const State &state, const Job &job);

/**
 * Finds the queue that a request names.
 * @param plan the plan in force.
 * @param host the host name of the request.
 * @param path its path.
 * @return the queue with the longest prefix of the path, or null.
 */
const wire::QueueSpecT *findQueue(const wire::PlanAcceptedT &plan, std::string_view host, std::string_view path);

/** @param state the state. @param job a job. @return failures of one task, or of a gang, that end the job. */
std::uint32_t maxAttemptsOf(const State &state, const Job &job);

/** @param state the state. @param ref a task. @return the task, or null when there is none. */
const Task *findTask(const State &state, const TaskRef &ref);
}
