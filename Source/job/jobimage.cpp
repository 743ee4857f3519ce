#include "job/footprint.h"
#include "job/jobs.h"

#include <map>
#include <tuple>
#include <utility>

namespace rosemaryturn::job
{
namespace
{
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** Writes the states of tasks. Most tasks of a step are in the same state, and all that are share one table. */
class TaskWriter
{
public:
    explicit TaskWriter(FlatBufferBuilder &builder)
        : m_builder(builder)
    {
    }

    Offset<wire::TaskState> write(const Task &task, const std::string &checkpoint)
    {
        const Key key{task.run, task.failed, task.done, task.activeRun, task.upstream, task.crashes, task.confirmedCrashes, task.crashedRun};
        if (!m_last.IsNull() && key == m_lastKey && checkpoint == m_lastCheckpoint) {
            return m_last;
        }
        m_lastKey = key;
        m_lastCheckpoint = checkpoint;
        if (!checkpoint.empty()) {
            return m_last = create(task, m_builder.CreateString(checkpoint));
        }
        if (m_written.size() >= maxShared) {
            m_written.clear();
        }
        const auto [entry, added] = m_written.try_emplace(key);
        if (added) {
            entry->second = create(task, 0);
        }
        return m_last = entry->second;
    }

private:
    using Key = std::tuple<std::uint32_t, std::uint32_t, bool, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    static constexpr std::size_t maxShared = 10000; ///< Bounds the memory for states that few tasks share.

    Offset<wire::TaskState> create(const Task &task, Offset<flatbuffers::String> checkpoint)
    {
        return wire::CreateTaskState(
            m_builder, task.run, task.failed, task.done, task.activeRun, task.upstream, checkpoint, task.crashes, task.confirmedCrashes, task.crashedRun);
    }

    FlatBufferBuilder &m_builder;
    std::map<Key, Offset<wire::TaskState>> m_written;
    Key m_lastKey;
    std::string m_lastCheckpoint;
    Offset<wire::TaskState> m_last;
};

Offset<wire::StepState> writeStep(FlatBufferBuilder &builder, TaskWriter &tasks, const StepRuns &step)
{
    std::vector<Offset<wire::TaskState>> offsets;
    offsets.reserve(step.tasks.size());
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        offsets.push_back(tasks.write(step.tasks[index], checkpointOf(step, index)));
    }
    return wire::CreateStepState(builder, builder.CreateVector(offsets), step.failedGangRun);
}

Offset<wire::JobState> writeJob(FlatBufferBuilder &builder, TaskWriter &tasks, const Job &job)
{
    std::vector<Offset<wire::OccurrenceState>> occurrences;
    for (const auto &[number, occurrence] : job.occurrences) {
        std::vector<Offset<wire::StepState>> steps;
        for (const StepRuns &step : occurrence.steps) {
            steps.push_back(writeStep(builder, tasks, step));
        }
        occurrences.push_back(wire::CreateOccurrenceState(builder, number, builder.CreateVector(steps)));
    }
    const auto accepted = wire::CreateJobAccepted(builder, job.number, job.acceptedAtMs, wire::JobSpec::Pack(builder, &job.spec));
    return wire::CreateJobState(builder, accepted, static_cast<std::int8_t>(job.phase), job.endedAtMs, builder.CreateVector(occurrences));
}

/** @return whether the numbers of steps and tasks are those of the specification. */
bool readOccurrence(const wire::OccurrenceState &image, Job &job)
{
    const wire::JobSpecT &spec = job.spec;
    Occurrence &occurrence = job.occurrences[image.number()];
    const auto *steps = image.steps();
    if ((steps == nullptr ? 0 : steps->size()) != spec.steps.size()) {
        return false;
    }
    occurrence.steps.resize(spec.steps.size());
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const wire::StepState &step = *steps->Get(number);
        StepRuns &runs = occurrence.steps[number];
        runs.failedGangRun = step.failedGangRun();
        const std::uint32_t count = step.tasks() == nullptr ? 0 : step.tasks()->size();
        if (count != 0 && count != spec.steps[number]->count) {
            return false;
        }
        runs.tasks.reserve(count);
        for (std::uint32_t index = 0; index < count; ++index) {
            const wire::TaskState &task = *step.tasks()->Get(index);
            runs.tasks.push_back(
                {task.run(), task.failed(), task.activeRun(), task.upstream(), task.crashes(), task.confirmedCrashes(), task.crashedRun(), task.done()});
            runs.doneCount += task.done() ? 1 : 0;
            runs.activeCount += task.activeRun() > 0 ? 1 : 0;
            if (task.checkpoint() != nullptr && task.checkpoint()->size() > 0) {
                runs.checkpoints.resize(count);
                runs.checkpoints[index] = task.checkpoint()->str();
                job.checkpointBytes += textBytes(runs.checkpoints[index].size());
            }
        }
    }
    return true;
}

bool readJob(const wire::JobState &image, Job &job)
{
    if (image.accepted() == nullptr || image.accepted()->spec() == nullptr) {
        return false;
    }
    job.number = image.accepted()->number();
    job.acceptedAtMs = image.accepted()->atMs();
    image.accepted()->spec()->UnPackTo(&job.spec);
    job.phase = static_cast<Phase>(image.phase());
    job.endedAtMs = image.endedAtMs();
    if (image.occurrences() != nullptr) {
        for (const wire::OccurrenceState *occurrence : *image.occurrences()) {
            if (!readOccurrence(*occurrence, job)) {
                return false;
            }
        }
    }
    job.order = orderOf(job.spec);
    endIfWithoutSteps(job);
    recountSteps(job);
    return true;
}

Offset<wire::WaveState> writeWave(FlatBufferBuilder &builder, const Wave &wave)
{
    std::vector<Offset<wire::WaveMachine>> machines;
    for (const auto &[name, machine] : wave.machines) {
        machines.push_back(wire::WaveMachine::Pack(builder, &machine));
    }
    return wire::CreateWaveState(builder, wire::WaveStarted::Pack(builder, &wave.started), builder.CreateVector(machines));
}

bool readWave(const wire::WaveState &image, State &state)
{
    if (image.started() == nullptr) {
        return false;
    }
    Wave &wave = state.waves[image.started()->wave()];
    image.started()->UnPackTo(&wave.started);
    state.registryBytes += waveBytes(wave.started);
    if (image.machines() != nullptr) {
        for (const wire::WaveMachine *machine : *image.machines()) {
            wire::WaveMachineT entry;
            machine->UnPackTo(&entry);
            wave.machines[entry.machine] = entry;
        }
    }
    return true;
}
}

wire::Bytes encodeImage(const State &state)
{
    FlatBufferBuilder builder;
    TaskWriter tasks(builder);
    std::vector<Offset<wire::JobState>> jobs;
    for (const auto &[number, job] : state.jobs) {
        jobs.push_back(writeJob(builder, tasks, job));
    }
    std::vector<Offset<wire::UpstreamSeen>> upstreams;
    for (const auto &[number, upstream] : state.upstreams) {
        upstreams.push_back(wire::UpstreamSeen::Pack(builder, &upstream));
    }
    std::vector<Offset<wire::WaveState>> waves;
    for (const auto &[number, wave] : state.waves) {
        waves.push_back(writeWave(builder, wave));
    }
    const auto plan = wire::PlanAccepted::Pack(builder, &state.plan);
    builder.Finish(wire::CreateDeploymentImage(
        builder, state.nextJob, state.nextUpstream, builder.CreateVector(jobs), builder.CreateVector(upstreams), plan, builder.CreateVector(waves)));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

bool isReadableImage(std::span<const std::uint8_t> bytes)
{
    return wire::verifiedRoot<wire::DeploymentImage>(bytes) != nullptr;
}

std::optional<State> decodeImage(std::span<const std::uint8_t> bytes)
{
    State state;
    if (bytes.empty()) {
        return state;
    }
    const wire::DeploymentImage *image = wire::verifiedRoot<wire::DeploymentImage>(bytes);
    if (image == nullptr) {
        return std::nullopt;
    }
    state.nextJob = image->nextJob();
    state.nextUpstream = image->nextUpstream();
    if (image->jobs() != nullptr) {
        for (const wire::JobState *entry : *image->jobs()) {
            Job job;
            if (!readJob(*entry, job)) {
                return std::nullopt;
            }
            state.jobNumberById[job.spec.id] = job.number;
            updateHeldBytes(state, state.jobs.emplace(job.number, std::move(job)).first->second);
        }
    }
    if (image->upstreams() != nullptr) {
        for (const wire::UpstreamSeen *upstream : *image->upstreams()) {
            wire::UpstreamSeenT &registration = state.upstreams[upstream->number()];
            upstream->UnPackTo(&registration);
            state.registryBytes += upstreamBytes(registration);
        }
    }
    if (image->plan() != nullptr) {
        image->plan()->UnPackTo(&state.plan);
        state.registryBytes += state.plan.version > 0 ? planBytes(state.plan) : 0;
    }
    if (image->waves() != nullptr) {
        for (const wire::WaveState *wave : *image->waves()) {
            if (!readWave(*wave, state)) {
                return std::nullopt;
            }
        }
    }
    return state;
}
}
