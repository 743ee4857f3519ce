#include "control/cellstate.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace rosemaryturn::control
{
namespace
{
model::Task *findTask(CellState &state, model::TaskId id)
{
    const auto found = state.tasks.find(id);
    return found == state.tasks.end() ? nullptr : &found->second;
}

void applyAccepted(CellState &state, const wire::TasksAcceptedT &record, ApplyResult &applied)
{
    if (record.specs.empty() || state.keys.count(record.specs.front()->key) > 0 || findClosedKey(state, record.specs.front()->key) != nullptr) {
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

void applyDispatched(CellState &state, const wire::TasksDispatchedT &record, ApplyResult &applied)
{
    for (const auto &placement : record.placements) {
        model::Task *task = findTask(state, placement->task);
        const auto worker = state.workers.find(placement->worker);
        const bool spilled = !placement->worker.empty() && placement->worker.front() == spillPrefix;
        const bool workerKnown = spilled || (worker != state.workers.end() && worker->second.incarnation == placement->incarnation);
        const bool matches = task != nullptr && task->phase == wire::TaskPhase::Queued && placement->attempt == task->attempt + 1;
        if (!matches || !workerKnown) {
            applied.rejected.push_back(placement->task);
            continue;
        }
        task->phase = wire::TaskPhase::Dispatched;
        task->attempt = placement->attempt;
        task->worker = placement->worker;
        task->incarnation = placement->incarnation;
        applied.dispatched.push_back(task->id);
    }
}

void endTask(model::Task &task, wire::Outcome outcome, model::Reason reason, std::uint64_t atMs, ApplyResult &applied)
{
    task.phase = wire::TaskPhase::Ended;
    task.outcome = outcome;
    task.reason = reason;
    task.endedAtMs = atMs;
    applied.ended.push_back(task.id);
}

void applyRequeued(CellState &state, const wire::TaskRequeuedT &record, ApplyResult &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->phase != wire::TaskPhase::Dispatched || task->attempt != record.attempt) {
        return;
    }
    task->phase = wire::TaskPhase::Queued;
    task->mayHaveRun = task->mayHaveRun || record.mayHaveRun;
    task->reason = static_cast<model::Reason>(record.reason);
    applied.requeued.push_back(task->id);
}

void applyEnded(CellState &state, const wire::TaskEndedT &record, ApplyResult &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->attempt != record.attempt) {
        return;
    }
    // A worker that reconnects may still report the end of an attempt whose outcome was unknown.
    const bool resolves = task->phase == wire::TaskPhase::Ended && task->outcome == wire::Outcome::Unknown && record.outcome != wire::Outcome::Unknown;
    if (task->phase == wire::TaskPhase::Ended && !resolves) {
        return;
    }
    task->answer = record.answer;
    endTask(*task, record.outcome, static_cast<model::Reason>(record.reason), record.atMs, applied);
}

void applyCancelled(CellState &state, const wire::TaskCancelledT &record, ApplyResult &applied)
{
    model::Task *task = findTask(state, record.task);
    if (task == nullptr || task->phase == wire::TaskPhase::Ended || task->cancelled) {
        return;
    }
    task->cancelled = true;
    if (task->phase == wire::TaskPhase::Queued) {
        endTask(*task, task->mayHaveRun ? wire::Outcome::Stopped : wire::Outcome::NotRun, model::Reason::Cancelled, record.atMs, applied);
        return;
    }
    applied.cancelled.push_back(task->id);
}

std::uint64_t hashOf(const std::string &key)
{
    return XXH3_64bits(key.data(), key.size());
}

/** @return when the last task of a key ended, in milliseconds of the wall clock; nullopt while a task has not ended. */
std::optional<std::uint64_t> endTimeOf(const std::vector<const model::Task *> &tasks)
{
    std::uint64_t endedAtMs = 0;
    for (const model::Task *task : tasks) {
        if (task->phase != wire::TaskPhase::Ended) {
            return std::nullopt;
        }
        endedAtMs = std::max(endedAtMs, task->endedAtMs);
    }
    return endedAtMs;
}

void closeKey(CellState &state, const std::string &key, const std::vector<const model::Task *> &tasks)
{
    const auto notAnswered = std::find_if(tasks.begin(), tasks.end(), [](const model::Task *task) {
        return task->outcome != wire::Outcome::Answered;
    });
    const model::Task &task = notAnswered == tasks.end() ? *tasks.front() : **notAnswered;
    const std::uint64_t hash = hashOf(key);
    state.closed[hash] = wire::ClosedKey(hash, task.spec.digest, task.endedAtMs, static_cast<std::uint16_t>(task.reason), task.outcome);
    state.closedOrder.push_back(hash);
}

void dropOldKeys(CellState &state, const wire::RetentionPassedT &record)
{
    while (!state.closedOrder.empty()) {
        const auto oldest = state.closed.find(state.closedOrder.front());
        const bool old = oldest == state.closed.end() || oldest->second.endedAtMs() < record.keysBeforeMs;
        if (!old && state.closedOrder.size() <= record.mostKeys) {
            return;
        }
        state.closed.erase(state.closedOrder.front());
        state.closedOrder.pop_front();
    }
}

void applyRetention(CellState &state, const wire::RetentionPassedT &record)
{
    std::vector<std::pair<std::uint64_t, std::string>> ended; // Sorted, so that every member of the group closes the same keys.
    for (const auto &[key, range] : state.keys) {
        if (const auto endedAtMs = endTimeOf(tasksOf(state, key))) {
            ended.emplace_back(*endedAtMs, key);
        }
    }
    std::sort(ended.begin(), ended.end());
    const std::size_t excess = ended.size() > record.mostAnswers ? ended.size() - record.mostAnswers : 0;
    for (std::size_t i = 0; i < ended.size() && (i < excess || ended[i].first < record.answersBeforeMs); ++i) {
        const std::string &key = ended[i].second;
        closeKey(state, key, tasksOf(state, key));
        const model::TaskRange range = state.keys.at(key);
        for (model::TaskId id = range.first; id < range.first + range.count; ++id) {
            state.tasks.erase(id);
        }
        state.keys.erase(key);
    }
    dropOldKeys(state, record);
}
}

ApplyResult apply(CellState &state, const wire::RecordT &record)
{
    ApplyResult applied;
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
    default:
        break; // Records of the configuration log and of the deployment scope.
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
    for (const std::uint64_t hash : state.closedOrder) {
        image.closed.push_back(state.closed.at(hash));
    }
    return wire::encode(image);
}

std::optional<CellState> decodeCellImage(std::span<const std::uint8_t> image)
{
    CellState state;
    if (image.empty()) {
        return state;
    }
    const auto decoded = wire::decode<wire::CellImageT>(image);
    if (!decoded) {
        return std::nullopt;
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
    for (const wire::ClosedKey &closed : decoded->closed) {
        state.closed[closed.hash()] = closed;
        state.closedOrder.push_back(closed.hash());
    }
    return state;
}

const wire::ClosedKey *findClosedKey(const CellState &state, const std::string &key)
{
    const auto found = state.closed.find(hashOf(key));
    return found == state.closed.end() ? nullptr : &found->second;
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
