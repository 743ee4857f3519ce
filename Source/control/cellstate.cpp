#include "control/cellstate.h"

#include <algorithm>

namespace rosemaryturn::control
{
namespace
{
model::Task *findTask(CellState &state, model::TaskId id)
{
    const auto found = state.tasks.find(id);
    return found == state.tasks.end() ? nullptr : &found->second;
}

void applyAccepted(CellState &state, const wire::TasksAcceptedT &record, Applied &applied)
{
    if (record.specs.empty() || state.keys.count(record.specs.front()->key) > 0) {
        return;
    }
    model::TaskRange range{state.nextTask, static_cast<std::uint32_t>(record.specs.size())};
    state.keys[record.specs.front()->key] = range;
    for (const auto &spec : record.specs) {
        model::Task task;
        task.id = state.nextTask++;
        task.spec = *spec;
        task.acceptedAtMs = record.atMs;
        applied.accepted.push_back(task.id);
        state.tasks.emplace(task.id, std::move(task));
    }
}

void applyDispatched(CellState &state, const wire::TasksDispatchedT &record, Applied &applied)
{
    for (const auto &placement : record.placements) {
        model::Task *task = findTask(state, placement->task);
        const auto worker = state.workers.find(placement->worker);
        const bool handedOff = !placement->worker.empty() && placement->worker.front() == handOffMark;
        const bool workerKnown = handedOff || (worker != state.workers.end() && worker->second.incarnation == placement->incarnation);
        const bool fits = task != nullptr && task->phase == wire::TaskPhase::Queued && placement->attempt == task->attempt + 1;
        if (!fits || !workerKnown) {
            applied.refused.push_back(placement->task);
            continue;
        }
        task->phase = wire::TaskPhase::Dispatched;
        task->attempt = placement->attempt;
        task->worker = placement->worker;
        task->incarnation = placement->incarnation;
        applied.dispatched.push_back(task->id);
    }
}

void endTask(model::Task &task, wire::Outcome outcome, model::Reason reason, std::uint64_t atMs, Applied &applied)
{
    task.phase = wire::TaskPhase::Ended;
    task.outcome = outcome;
    task.reason = reason;
    task.endedAtMs = atMs;
    applied.ended.push_back(task.id);
}

void applyRequeued(CellState &state, const wire::TaskRequeuedT &record, Applied &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->phase != wire::TaskPhase::Dispatched || task->attempt != record.attempt) {
        return;
    }
    task->phase = wire::TaskPhase::Queued;
    task->reason = static_cast<model::Reason>(record.reason);
    applied.requeued.push_back(task->id);
}

void applyEnded(CellState &state, const wire::TaskEndedT &record, Applied &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->attempt != record.attempt) {
        return;
    }
    // A worker that comes back may still tell the end of an attempt whose fate was unknown.
    const bool resolves = task->phase == wire::TaskPhase::Ended && task->outcome == wire::Outcome::Unknown && record.outcome != wire::Outcome::Unknown;
    if (task->phase == wire::TaskPhase::Ended && !resolves) {
        return;
    }
    task->answer = record.answer;
    endTask(*task, record.outcome, static_cast<model::Reason>(record.reason), record.atMs, applied);
}

void applyCancelled(CellState &state, const wire::TaskCancelledT &record, Applied &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->phase == wire::TaskPhase::Ended || task->cancelled) {
        return;
    }
    task->cancelled = true;
    if (task->phase == wire::TaskPhase::Queued) {
        endTask(*task, wire::Outcome::NotRun, model::Reason::Cancelled, record.atMs, applied);
        return;
    }
    applied.cancelled.push_back(task->id);
}

void forgetTask(CellState &state, const model::Task &task)
{
    const auto key = state.keys.find(task.spec.key);
    if (key != state.keys.end() && key->second.first + key->second.count == task.id + 1) {
        state.keys.erase(key);
    }
}

void applyRetention(CellState &state, const wire::RetentionPassedT &record)
{
    for (auto at = state.tasks.begin(); at != state.tasks.end();) {
        model::Task &task = at->second;
        const bool ended = task.phase == wire::TaskPhase::Ended;
        if (ended && task.endedAtMs < record.keysBeforeMs) {
            forgetTask(state, task);
            at = state.tasks.erase(at);
            continue;
        }
        if (ended && !task.answerDropped && task.endedAtMs < record.answersBeforeMs) {
            task.answer = {};
            task.spec.payload = {};
            task.answerDropped = true;
        }
        ++at;
    }
}
}

Applied apply(CellState &state, const wire::RecordT &record)
{
    Applied applied;
    switch (record.change.type) {
    case wire::Change::TasksAccepted:
        applyAccepted(state, *record.change.AsTasksAccepted(), applied);
        break;
    case wire::Change::TasksDispatched:
        applyDispatched(state, *record.change.AsTasksDispatched(), applied);
        break;
    case wire::Change::TaskRequeued:
        applyRequeued(state, *record.change.AsTaskRequeued(), applied);
        break;
    case wire::Change::TaskEnded:
        applyEnded(state, *record.change.AsTaskEnded(), applied);
        break;
    case wire::Change::TaskCancelled:
        applyCancelled(state, *record.change.AsTaskCancelled(), applied);
        break;
    case wire::Change::WorkerRegistered:
        state.workers[record.change.AsWorkerRegistered()->worker] = *record.change.AsWorkerRegistered();
        applied.workers.push_back(record.change.AsWorkerRegistered()->worker);
        break;
    case wire::Change::WorkerRemoved:
        state.workers.erase(record.change.AsWorkerRemoved()->worker);
        applied.workers.push_back(record.change.AsWorkerRemoved()->worker);
        break;
    case wire::Change::RetentionPassed:
        applyRetention(state, *record.change.AsRetentionPassed());
        break;
    case wire::Change::ConfigChange:
    case wire::Change::VerdictChange:
    case wire::Change::NONE:
        break; // Records of the configuration log.
    }
    return applied;
}

wire::Bytes encodeImage(const CellState &state)
{
    wire::CellImageT image;
    image.nextTask = state.nextTask;
    for (const auto &[id, task] : state.tasks) {
        image.tasks.push_back(std::make_unique<wire::TaskImageT>(model::imageOf(task)));
    }
    std::sort(image.tasks.begin(), image.tasks.end(), [](const auto &a, const auto &b) {
        return a->id < b->id;
    });
    for (const auto &[name, worker] : state.workers) {
        image.workers.push_back(std::make_unique<wire::WorkerRegisteredT>(worker));
    }
    return wire::encode(image);
}

CellState decodeCellImage(const wire::Bytes &image)
{
    CellState state;
    const auto decoded = image.empty() ? nullptr : wire::decode<wire::CellImageT>(image);
    if (!decoded) {
        return state;
    }
    state.nextTask = decoded->nextTask;
    for (const auto &taskImage : decoded->tasks) {
        model::Task task = model::taskOf(*taskImage);
        model::TaskRange &range = state.keys[task.spec.key];
        range.first = range.count == 0 ? task.id : range.first;
        ++range.count;
        state.tasks.emplace(task.id, std::move(task));
    }
    for (const auto &worker : decoded->workers) {
        state.workers[worker->worker] = *worker;
    }
    return state;
}

std::vector<const model::Task *> tasksOf(const CellState &state, const std::string &key)
{
    std::vector<const model::Task *> tasks;
    const auto found = state.keys.find(key);
    if (found == state.keys.end()) {
        return tasks;
    }
    for (model::TaskId id = found->second.first; id < found->second.first + found->second.count; ++id) {
        const auto task = state.tasks.find(id);
        if (task != state.tasks.end()) {
            tasks.push_back(&task->second);
        }
    }
    return tasks;
}
}
