#include "control/cell.h"
#include "control/cellinternal.h"

#include "model/task.h"

#include <algorithm>

namespace rosemaryturn::control
{
namespace
{
using namespace internal;

/** @return the maximum time for which a start order or lease of an earlier leader can keep a task running, in milliseconds. */
std::uint64_t inheritedLeaseMs(const CellOptions &options)
{
    constexpr std::uint64_t fullPercent = 100;
    return (options.startWindowMs + options.taskLeaseMs) * (fullPercent + options.driftPercent) / fullPercent;
}

void recordDispatch(const model::Task &task, LiveTask &live, const Now &now)
{
    live.dispatchedMs = now.monotonicMs;
    live.runUntilMs = task.spec.maxRunMs > 0 ? now.monotonicMs + task.spec.maxRunMs : UINT64_MAX;
}

void restoreDispatched(Cell &cell, const model::Task &task, LiveTask &live, const Now &now)
{
    live.countedAttempts = task.attempt;
    if (isSpilled(task)) {
        return; // Runs in the other data centre; its state is requested by its key.
    }
    const auto worker = policy::findWorker(cell.leader.pool, task.worker);
    if (worker) {
        assignWorker(cell, task, live, *worker);
    }
    live.leaseUntilMs = now.monotonicMs + inheritedLeaseMs(cell.options);
    recordDispatch(task, live, now);
    if (task.cancelled) {
        live.stopReason = model::Reason::Cancelled;
    }
}

void updateTeams(Cell &cell)
{
    for (const auto &[environment, history] : cell.config->environments) {
        for (const config::TeamDeclaration &team : history.document.teams) {
            policy::setTeam(cell.leader.queue, qualify(environment, team.name), team.quota, team.maxQueued);
        }
    }
}

void recordQueueWait(Cell &cell, const model::Task &task, const LiveTask &live, const Now &now)
{
    const std::uint64_t waited = now.monotonicMs - live.acceptedMs;
    if (task.attempt == 1) {
        (task.spec.urgent ? cell.metrics.urgentWait : cell.metrics.normalWait).record(waited);
    }
}

void sendStart(Cell &cell, model::TaskId id, const Now &now, CellOutput &output)
{
    const model::Task &task = cell.state.tasks.at(id);
    LiveTask &live = cell.leader.live.at(id);
    const LiveWorker &worker = cell.leader.workers[live.worker];
    const wire::WorkerRegisteredT &shape = cell.state.workers.at(task.worker);
    live.dispatchProposed = false;
    live.confirmed = false;
    live.lastListedAnnouncement = 0;
    recordDispatch(task, live, now);
    // Counted from the announcement, since the worker rejects a start order that refers to an announcement older than the start window.
    live.leaseUntilMs = worker.lastContactMs + inheritedLeaseMs(cell.options);
    StartOrder order;
    order.worker = task.worker;
    order.address = shape.address;
    order.port = shape.port;
    order.incarnation = task.incarnation;
    order.task = id;
    order.attempt = task.attempt;
    order.term = cell.leader.term;
    order.announcement = worker.announcement;
    order.windowMs = cell.options.startWindowMs;
    order.leaseMs = cell.options.taskLeaseMs;
    order.spec = task.spec;
    if (!task.spec.originKey.empty()) {
        order.spec.key = task.spec.originKey; // The worker sees the caller's key in every data centre.
    }
    output.starts.push_back(std::move(order));
    ++cell.metrics.dispatched;
    recordQueueWait(cell, task, live, now);
}

void onAccepted(Cell &cell, const ApplyResult &applied, const Now &now, CellOutput &output)
{
    for (const model::TaskId id : applied.accepted) {
        const model::Task &task = cell.state.tasks.at(id);
        trackTask(cell, task, now);
        ++cell.metrics.accepted;
    }
    if (applied.accepted.empty()) {
        return;
    }
    const model::Task &first = cell.state.tasks.at(applied.accepted.front());
    enqueueIfReady(cell, first.id, now);
    answerPendingSubmits(cell, first.spec.key, now, output);
}

void onRejectedPlacement(Cell &cell, model::TaskId id, const Now &now)
{
    const auto live = cell.leader.live.find(id);
    const auto task = cell.state.tasks.find(id);
    if (live == cell.leader.live.end() || task == cell.state.tasks.end()) {
        return;
    }
    live->second.dispatchProposed = false;
    releaseWorker(cell, task->second, live->second);
    if (task->second.phase == wire::TaskPhase::Queued) {
        enqueueIfReady(cell, id, now);
    }
}

void onRequeued(Cell &cell, model::TaskId id, const Now &now)
{
    const model::Task &task = cell.state.tasks.at(id);
    LiveTask &live = cell.leader.live.at(id);
    releaseWorker(cell, task, live);
    live.endProposed = false;
    live.stopReason = model::Reason::None;
    live.overuseAction = policy::OveruseAction::None;
    ++cell.metrics.requeued;
    enqueueIfReady(cell, id, now);
}

void onEnded(Cell &cell, model::TaskId id, const Now &now, CellOutput &output)
{
    const model::Task &task = cell.state.tasks.at(id);
    const auto live = cell.leader.live.find(id);
    if (live != cell.leader.live.end()) {
        // A task with an unknown outcome keeps its worker until its lease is over, since its end is proposed only then.
        releaseWorker(cell, task, live->second);
        removeFromQueue(cell, task, live->second);
        dropReservation(cell, id);
        cell.leader.live.erase(live);
    }
    if (task.outcome == wire::Outcome::Answered) {
        ++cell.metrics.answered;
    }
    count(cell.metrics, task.reason);
    answerResultWaiters(cell, id, output);
    answerWaiters(cell, task.spec.key, output);
    if (task.spec.kind == wire::TaskKind::Gang) {
        const auto members = tasksOf(cell.state, task.spec.key);
        const bool unfinished = std::any_of(members.begin(), members.end(), [](const model::Task *member) {
            return member->phase == wire::TaskPhase::Queued;
        });
        if (unfinished) {
            enqueueIfReady(cell, members.front()->id, now);
        }
    }
}

void onCancelled(Cell &cell, model::TaskId id, CellOutput &output)
{
    if (isSpilled(cell.state.tasks.at(id))) {
        cancelSpilled(cell.state.tasks.at(id), output);
        return;
    }
    requestStop(cell, id, model::Reason::Cancelled);
}

void replyLeadershipLost(CellOutput &output, Token token)
{
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(model::Reason::LeadershipLost);
    internal::reply(output, token, std::move(reply));
}

void enqueueDelayed(Cell &cell, const Now &now)
{
    auto &delayed = cell.leader.delayed;
    while (!delayed.empty() && delayed.begin()->first <= now.monotonicMs) {
        const model::TaskId id = delayed.begin()->second;
        delayed.erase(delayed.begin());
        enqueueIfReady(cell, id, now);
    }
}

void expireQueued(Cell &cell, const Now &now, CellOutput &output)
{
    auto &deadlines = cell.leader.queueDeadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= now.monotonicMs) {
        const model::TaskId id = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        const auto task = cell.state.tasks.find(id);
        const auto live = cell.leader.live.find(id);
        const bool waits = task != cell.state.tasks.end() && task->second.phase == wire::TaskPhase::Queued && live != cell.leader.live.end()
            && !live->second.dispatchProposed && !live->second.endProposed;
        if (waits) {
            proposeEnd(cell, task->second, wire::Outcome::NotRun, model::Reason::QueueDeadline, {}, now, output);
        }
    }
}

void proposeRetention(Cell &cell, const Now &now, CellOutput &output)
{
    constexpr std::uint64_t retentionEveryMs = 30000;
    if (now.monotonicMs < cell.leader.nextRetentionMs) {
        return;
    }
    cell.leader.nextRetentionMs = now.monotonicMs + retentionEveryMs;
    if (cell.state.tasks.empty() && cell.state.closed.empty()) {
        return;
    }
    wire::RetentionPassedT record;
    record.mostKeys = cell.options.maxKeptKeys;
    record.mostAnswers = cell.options.maxKeptAnswers;
    record.answersBeforeMs = now.wallMs > cell.options.answersKeptMs ? now.wallMs - cell.options.answersKeptMs : 0;
    record.keysBeforeMs = now.wallMs > cell.options.keysKeptMs ? now.wallMs - cell.options.keysKeptMs : 0;
    output.proposals.push_back(wire::encodeChange(record));
}
}

void beginLeading(Cell &cell, std::uint64_t term, const Now &now, CellOutput &output)
{
    cell.leader = Leader{};
    cell.leader.active = true;
    cell.leader.term = term;
    cell.leader.quarantine.policy = cell.options.quarantine;
    cell.leader.rate.windowStartMs = now.monotonicMs;
    ++cell.metrics.elections;
    updateTeams(cell);
    for (const auto &[name, shape] : cell.state.workers) {
        LiveWorker &worker = cell.leader.workers[addOrUpdateWorker(cell, shape)];
        worker.incarnation = shape.incarnation;
        worker.lastContactMs = now.monotonicMs; // The worker could not contact this leader earlier.
    }
    std::vector<model::TaskId> waiting;
    for (const auto &[id, task] : cell.state.tasks) {
        if (task.phase == wire::TaskPhase::Ended) {
            continue;
        }
        LiveTask &live = trackTask(cell, task, now);
        if (task.phase == wire::TaskPhase::Dispatched) {
            restoreDispatched(cell, task, live, now);
            if (isSpilled(task)) {
                requestSpill(cell, task, output);
            }
        } else {
            waiting.push_back(id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const model::TaskId id : waiting) {
        enqueueIfReady(cell, id, now);
    }
}

void endLeading(Cell &cell, CellOutput &output)
{
    for (const auto &[key, submits] : cell.leader.pendingSubmits) {
        for (const PendingSubmit &submit : submits) {
            replyLeadershipLost(output, submit.token);
        }
    }
    for (const auto &[worker, announcements] : cell.leader.pendingAnnouncements) {
        for (const PendingAnnouncement &announcement : announcements) {
            replyLeadershipLost(output, announcement.token);
        }
    }
    for (const auto &[token, open] : cell.leader.pendingResultCounts) {
        replyLeadershipLost(output, token);
    }
    for (const auto &[key, waiters] : cell.leader.waiters) {
        for (const Waiter &waiter : waiters) {
            replyLeadershipLost(output, waiter.token);
        }
    }
    cell.leader = Leader{};
}

void applyRecord(Cell &cell, const wire::RecordT &record, const Now &now, CellOutput &output)
{
    ++cell.metrics.records;
    const ApplyResult applied = apply(cell.state, record);
    if (!cell.leader.active) {
        return;
    }
    for (const std::string &worker : applied.workers) {
        onWorkerChanged(cell, worker, now, output);
    }
    onAccepted(cell, applied, now, output);
    if (record.change.type == wire::Change::TasksAccepted && applied.accepted.empty() && !record.change.AsTasksAccepted()->specs.empty()) {
        answerPendingSubmits(cell, record.change.AsTasksAccepted()->specs.front()->key, now, output);
    }
    for (const model::TaskId id : applied.rejected) {
        onRejectedPlacement(cell, id, now);
    }
    for (const model::TaskId id : applied.dispatched) {
        const model::Task &task = cell.state.tasks.at(id);
        if (isSpilled(task)) {
            cell.leader.live.at(id).dispatchProposed = false;
            requestSpill(cell, task, output);
        } else {
            sendStart(cell, id, now, output);
        }
    }
    for (const model::TaskId id : applied.requeued) {
        onRequeued(cell, id, now);
    }
    for (const model::TaskId id : applied.cancelled) {
        onCancelled(cell, id, output);
    }
    for (const model::TaskId id : applied.ended) {
        onEnded(cell, id, now, output);
    }
}

void handleRequest(Cell &cell, Token token, const wire::RequestT &request, const Now &now, bool leaseHeld, CellOutput &output)
{
    // Without the lease another leader may already be active, so renewals and reads are not safe.
    if (!cell.leader.active || !leaseHeld) {
        refuse(cell, output, token, model::Reason::NoLeader);
        return;
    }
    switch (request.operation) {
    case wire::Operation::Submit:
        submit(cell, token, request, now, output);
        return;
    case wire::Operation::Query:
        query(cell, token, request, now, output);
        return;
    case wire::Operation::Cancel:
        cancel(cell, token, request, now, output);
        return;
    case wire::Operation::Announce:
        handleAnnouncement(cell, token, *request.announcement, now, output);
        return;
    case wire::Operation::Results:
        handleResults(cell, token, request, now, output);
        return;
    default:
        refuse(cell, output, token, model::Reason::UnknownField);
        return;
    }
}

void tickCell(Cell &cell, const Now &now, bool leaseHeld, CellOutput &output)
{
    if (!cell.leader.active) {
        return;
    }
    expireWaiters(cell, now, output);
    if (!leaseHeld) {
        return;
    }
    enqueueDelayed(cell, now);
    expireQueued(cell, now, output);
    expireLeases(cell, now, output);
    expireReservations(cell, now);
    refreshEligibility(cell, now);
    reconcileServices(cell, now, output);
    proposeRetention(cell, now, output);
    schedule(cell, now, output);
    spillQueuedTasks(cell, now, output);
}

void onConfigChanged(Cell &cell, const Now &now)
{
    if (!cell.leader.active) {
        return;
    }
    updateTeams(cell);
    cell.leader.nextEligibilityMs = now.monotonicMs;
    cell.leader.nextReconcileMs = now.monotonicMs;
    cell.leader.scheduleNeeded = true;
}
}
