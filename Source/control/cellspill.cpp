#include "control/cellinternal.h"

#include <algorithm>

/**
 * Spills queued tasks to another data centre. The home cell records a spill as a dispatch. The other cell accepts the
 * task under a key derived from task and attempt, so that a retry, also one by the next leader, is the same request.
 * The home cell keeps the caller's key and answers the caller.
 */
namespace rosemaryturn::control
{
namespace internal
{
namespace
{
constexpr std::uint64_t spillReplyWaitMs = 5000;
constexpr std::uint64_t spillRetryDelayMs = 500;
/** Maximum queue time in the other data centre; a spill pays only if the task starts sooner there. */
constexpr std::uint32_t maxRemoteQueueMs = 2000;

std::string dataCentreOf(const model::Task &task)
{
    return task.worker.substr(1);
}

std::string spillKey(const model::Task &task)
{
    return task.spec.key.substr(0, task.spec.key.find('@')) + ":s" + std::to_string(task.id) + "-" + std::to_string(task.attempt) + "@" + dataCentreOf(task);
}

bool maySpill(const Cell &cell, const model::Task &task, const LiveTask &live, const Now &now)
{
    const bool waits = task.phase == wire::TaskPhase::Queued && live.queueSequence != 0 && !live.endProposed;
    if (!waits || !task.spec.originKey.empty()) {
        return false; // A task spills at most once.
    }
    const QualifiedService service = findQualified(*cell.config, task.spec.service);
    const bool allowed = service.declaration != nullptr && service.declaration->spill;
    return allowed && policy::isWorthSpilling(cell.options.spill, now.monotonicMs - live.acceptedMs, task.spec.payload.size());
}

std::vector<model::TaskId> tasksToSpill(const Cell &cell, const Now &now)
{
    std::vector<model::TaskId> chosen;
    for (const auto &[name, team] : cell.leader.queue.teams) {
        for (const auto *services : {&team.urgent, &team.normal}) {
            for (const auto &[service, queue] : *services) {
                for (const policy::QueuedTask &queued : queue.tasks) {
                    const auto live = cell.leader.live.find(queued.task);
                    const bool current = live != cell.leader.live.end() && live->second.queueSequence == queued.sequence;
                    if (chosen.size() >= cell.options.spill.maxPerRound || !current || !maySpill(cell, cell.state.tasks.at(queued.task), live->second, now)) {
                        break; // The queue is ordered oldest first: all later tasks waited less.
                    }
                    chosen.push_back(queued.task);
                }
            }
        }
    }
    return chosen;
}

void scheduleSpillRetry(Cell &cell, const SpillCall &call, const Now &now)
{
    cell.leader.spillRetries.emplace(now.monotonicMs + spillRetryDelayMs, call);
}

void handleSpilledEnd(Cell &cell, const model::Task &task, const wire::TaskViewT &view, const Now &now, CellOutput &output)
{
    switch (view.outcome) {
    case wire::Outcome::Answered:
        proposeEnd(cell, task, wire::Outcome::Answered, model::Reason::None, view.answer, now, output);
        return;
    case wire::Outcome::NotRun:
        handleAttemptEnd(cell, task.id, AttemptEnd::NeverBegan, static_cast<model::Reason>(view.reason), {}, now, output);
        return;
    case wire::Outcome::Failed:
        handleAttemptEnd(cell, task.id, AttemptEnd::Failed, model::Reason::TaskFailed, view.answer, now, output);
        return;
    case wire::Outcome::Stopped:
        handleAttemptEnd(cell, task.id, AttemptEnd::Stopped, static_cast<model::Reason>(view.reason), {}, now, output);
        return;
    case wire::Outcome::Unknown:
    case wire::Outcome::None:
        handleAttemptEnd(cell, task.id, AttemptEnd::Lost, static_cast<model::Reason>(view.reason), {}, now, output);
        return;
    }
}

/** @return whether the error proves that the other data centre did not accept the task. */
bool isDefiniteRefusal(model::Reason reason)
{
    switch (reason) {
    case model::Reason::UnknownService:
    case model::Reason::NeverFits:
    case model::Reason::QueueFull:
    case model::Reason::TeamQueueFull:
    case model::Reason::DeadlineTooShort:
    case model::Reason::OutOfRange:
        return true;
    default:
        return false;
    }
}
}

bool isSpilled(const model::Task &task)
{
    return !task.worker.empty() && task.worker.front() == spillPrefix;
}

void requestSpill(Cell &cell, const model::Task &task, CellOutput &output)
{
    LiveTask &live = cell.leader.live.at(task.id);
    live.leaseUntilMs = UINT64_MAX;
    SpillCall call;
    call.task = task.id;
    call.attempt = task.attempt;
    call.request.operation = wire::Operation::Submit;
    call.request.key = spillKey(task);
    call.request.waitMs = spillReplyWaitMs;
    auto spec = std::make_unique<wire::TaskSpecT>(task.spec);
    spec->key = call.request.key;
    spec->originKey = task.spec.key;
    spec->queueMs = maxRemoteQueueMs;
    spec->idempotencyStated = true;
    call.request.specs.push_back(std::move(spec));
    output.spills.push_back(std::move(call));
}

void cancelSpilled(const model::Task &task, CellOutput &output)
{
    SpillCall call;
    call.task = task.id;
    call.attempt = task.attempt;
    call.request.operation = wire::Operation::Cancel;
    call.request.key = spillKey(task);
    output.spills.push_back(std::move(call));
}

void spillQueuedTasks(Cell &cell, const Now &now, CellOutput &output)
{
    auto &retries = cell.leader.spillRetries;
    while (!retries.empty() && retries.begin()->first <= now.monotonicMs) {
        output.spills.push_back(std::move(retries.begin()->second));
        retries.erase(retries.begin());
    }
    if (now.monotonicMs < cell.leader.nextSpillMs || cell.options.otherDataCentres.empty() || cell.leader.draining) {
        return;
    }
    cell.leader.nextSpillMs = now.monotonicMs + cell.options.spill.intervalMs;
    const std::vector<model::TaskId> chosen = tasksToSpill(cell, now);
    if (chosen.empty()) {
        return;
    }
    const std::string &dataCentre = cell.options.otherDataCentres[cell.leader.nextSpillDataCentre++ % cell.options.otherDataCentres.size()];
    wire::TasksDispatchedT record;
    record.atMs = now.wallMs;
    for (const model::TaskId id : chosen) {
        LiveTask &live = cell.leader.live.at(id);
        removeFromQueue(cell, cell.state.tasks.at(id), live);
        live.dispatchProposed = true;
        auto placement = std::make_unique<wire::PlacementT>();
        placement->task = id;
        placement->attempt = cell.state.tasks.at(id).attempt + 1;
        placement->worker = spillPrefix + dataCentre;
        record.placements.push_back(std::move(placement));
    }
    cell.metrics.spilled += chosen.size();
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}
}

void handleSpillReply(Cell &cell, const SpillCall &call, const wire::ReplyT &reply, const Now &now, CellOutput &output)
{
    const auto task = cell.state.tasks.find(call.task);
    const auto live = cell.leader.live.find(call.task);
    const bool current = task != cell.state.tasks.end() && live != cell.leader.live.end() && task->second.phase == wire::TaskPhase::Dispatched
        && task->second.attempt == call.attempt && internal::isSpilled(task->second) && !live->second.endProposed;
    if (!current || call.request.operation == wire::Operation::Cancel) {
        return; // The outcome of a cancellation arrives with the reply to the submission.
    }
    const auto reason = static_cast<model::Reason>(reply.error);
    if (internal::isDefiniteRefusal(reason)) {
        internal::handleAttemptEnd(cell, call.task, internal::AttemptEnd::NeverBegan, reason, {}, now, output);
    } else if (reply.error == 0 && !reply.tasks.empty() && reply.tasks.front()->phase == wire::TaskPhase::Ended) {
        internal::handleSpilledEnd(cell, task->second, *reply.tasks.front(), now, output);
    } else {
        internal::scheduleSpillRetry(cell, call, now);
    }
}
}
