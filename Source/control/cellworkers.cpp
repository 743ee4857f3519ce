#include "control/cellinternal.h"

#include "model/task.h"

#include <algorithm>

namespace rosemaryturn::control::internal
{
namespace
{
constexpr std::uint64_t fullPercent = 100;
constexpr std::uint64_t eligibilityEveryMs = 200;
constexpr std::uint64_t leaseScanEveryMs = 200;
/** Part of the start window, in percent, after which a silent worker gets no new tasks; the rest is left for the start order to arrive. */
constexpr std::uint64_t maxSilencePercent = 60;

std::uint64_t withDrift(const Cell &cell, std::uint64_t durationMs)
{
    return durationMs * (fullPercent + cell.options.driftPercent) / fullPercent;
}

wire::RunningTaskT taskAction(const model::Task &task, wire::TaskAction action)
{
    wire::RunningTaskT entry;
    entry.task = task.id;
    entry.attempt = task.attempt;
    entry.action = action;
    return entry;
}

wire::TaskAction actionFor(const LiveTask &live)
{
    if (live.stopReason != model::Reason::None || live.overuseAction == policy::OveruseAction::Stop) {
        return wire::TaskAction::Stop;
    }
    if (live.overuseAction == policy::OveruseAction::Checkpoint) {
        return wire::TaskAction::Checkpoint;
    }
    return live.overuseAction == policy::OveruseAction::Throttle ? wire::TaskAction::Throttle : wire::TaskAction::Continue;
}

/** Accounts for the usage that a task reports, so that its worker is not overcommitted. */
void recordReportedUsage(Cell &cell, const model::Task &task, LiveTask &live, const wire::RunningTaskT &report)
{
    if (report.cpuMillis == 0 && report.memoryMb == 0) {
        return;
    }
    policy::recordUsage(cell.leader.usageEstimates[task.spec.service], report.cpuMillis, report.memoryMb);
    const model::Resources declared = model::needOf(task.spec);
    model::Resources used = declared;
    used.cpuMillis = std::max<std::uint64_t>(declared.cpuMillis, report.cpuMillis);
    used.memoryMb = std::max<std::uint64_t>(declared.memoryMb, report.memoryMb);
    if (live.holdsCapacity && !(used == live.need)) {
        policy::release(cell.leader.pool, live.worker, live.need);
        policy::uncharge(cell.leader.queue, task.spec.team, live.need);
        live.need = used;
        policy::allocate(cell.leader.pool, live.worker, live.need);
        policy::charge(cell.leader.queue, task.spec.team, live.need);
    }
    const policy::PooledWorker &worker = cell.leader.pool.workers[live.worker];
    const bool overfull = !model::fits(worker.used, worker.offer);
    live.overuseAction = policy::nextOveruseAction(live.overuseAction, declared, used, overfull);
    if (live.overuseAction == policy::OveruseAction::Stop && live.stopReason == model::Reason::None) {
        live.stopReason = model::Reason::Preempted;
    }
}

void renewLease(Cell &cell, const model::Task &task, LiveTask &live, const wire::RunningTaskT &report, std::uint64_t number, const Now &now,
                wire::ReplyT &reply)
{
    live.confirmed = true;
    live.lastListedAnnouncement = number;
    recordReportedUsage(cell, task, live, report);
    const wire::TaskAction action = actionFor(live);
    if (action != wire::TaskAction::Stop) {
        live.leaseUntilMs = std::max(live.leaseUntilMs, now.monotonicMs + withDrift(cell, cell.options.taskLeaseMs));
        reply.renewed.push_back(std::make_unique<wire::RunningTaskT>(taskAction(task, action)));
    }
    if (action != wire::TaskAction::Continue) {
        reply.actions.push_back(std::make_unique<wire::RunningTaskT>(taskAction(task, action)));
    }
}

bool isAttemptOf(const model::Task &task, const wire::RunningTaskT &report, const wire::WorkerRegisteredT &shape)
{
    return task.phase == wire::TaskPhase::Dispatched && task.attempt == report.attempt && task.worker == shape.worker && task.incarnation == shape.incarnation;
}

/** @return whether the worker's result can still resolve an attempt with an unknown outcome; a stop would make the worker drop the result. */
bool mayStillReportResult(const model::Task &task, const wire::RunningTaskT &report, const wire::WorkerRegisteredT &shape)
{
    return task.phase == wire::TaskPhase::Ended && task.outcome == wire::Outcome::Unknown && task.attempt == report.attempt && task.worker == shape.worker;
}

void handleListedTasks(Cell &cell, const wire::AnnouncementT &announcement, const Now &now, wire::ReplyT &reply)
{
    for (const auto &report : announcement.running) {
        const auto task = cell.state.tasks.find(report->task);
        const auto live = cell.leader.live.find(report->task);
        const bool known = task != cell.state.tasks.end() && live != cell.leader.live.end();
        if (known && isAttemptOf(task->second, *report, *announcement.shape)) {
            renewLease(cell, task->second, live->second, *report, announcement.number, now, reply);
            continue;
        }
        if (task != cell.state.tasks.end() && mayStillReportResult(task->second, *report, *announcement.shape)) {
            continue;
        }
        wire::RunningTaskT stop = *report;
        stop.action = wire::TaskAction::Stop;
        reply.actions.push_back(std::make_unique<wire::RunningTaskT>(stop));
    }
}

/** Handles the tasks that the worker is expected to hold but did not list. */
void handleUnlistedTasks(Cell &cell, policy::WorkerIndex index, const wire::AnnouncementT &announcement, const Now &now, wire::ReplyT &reply,
                         CellOutput &output)
{
    const LiveWorker &worker = cell.leader.workers[index];
    const std::vector<model::TaskId> tasks(worker.tasks.begin(), worker.tasks.end());
    for (const model::TaskId id : tasks) {
        const LiveTask &live = cell.leader.live.at(id);
        const model::Task &task = cell.state.tasks.at(id);
        if (task.phase != wire::TaskPhase::Dispatched || live.endProposed || live.lastListedAnnouncement == announcement.number
            || task.incarnation != announcement.shape->incarnation) {
            continue;
        }
        if (live.confirmed) {
            if (announcement.number >= live.firstExpectedAnnouncement) {
                const bool stopped = live.stopReason != model::Reason::None;
                handleAttemptEnd(
                    cell, id, stopped ? AttemptEnd::Stopped : AttemptEnd::Lost, stopped ? live.stopReason : model::Reason::WorkerLostTask, {}, now, output);
            }
            continue;
        }
        // An attempt that is not listed may still have begun and lost its lease since. The worker is therefore requested
        // to void it, and reports by a result whether the attempt can still begin.
        if (now.monotonicMs > live.dispatchedMs + cell.options.startWindowMs / 2) {
            reply.actions.push_back(std::make_unique<wire::RunningTaskT>(taskAction(task, wire::TaskAction::Void)));
        }
    }
}

void processAnnouncement(Cell &cell, Token token, const wire::AnnouncementT &announcement, const Now &now, CellOutput &output)
{
    const auto index = policy::findWorker(cell.leader.pool, announcement.shape->worker);
    if (!index) {
        refuse(cell, output, token, model::Reason::WorkerUnregistered, announcement.shape->worker);
        return;
    }
    LiveWorker &worker = cell.leader.workers[*index];
    wire::ReplyT answer;
    answer.term = cell.leader.term;
    answer.leaseMs = static_cast<std::uint32_t>(cell.options.taskLeaseMs);
    answer.windowMs = static_cast<std::uint32_t>(cell.options.startWindowMs);
    if (worker.announced && announcement.number <= worker.announcement) {
        reply(output, token, std::move(answer)); // An outdated announcement that arrives late renews nothing.
        return;
    }
    worker.announcement = announcement.number;
    worker.lastContactMs = now.monotonicMs;
    worker.announced = true;
    ++cell.metrics.announcements;
    handleListedTasks(cell, announcement, now, answer);
    handleUnlistedTasks(cell, *index, announcement, now, answer, output);
    reply(output, token, std::move(answer));
    cell.leader.nextEligibilityMs = now.monotonicMs;
}

bool isIntact(const wire::TaskResultT &result)
{
    return result.answer.size() == result.statedLength && model::checksum(result.answer) == result.checksum;
}

/** Handles one result. @return whether the reply has to wait until a proposed record is committed. */
bool handleResult(Cell &cell, Token token, const std::string &worker, const wire::TaskResultT &result, const Now &now, wire::ReplyT &answer, CellOutput &output)
{
    const auto acknowledge = [&answer, &result] {
        auto entry = std::make_unique<wire::RunningTaskT>();
        entry->task = result.task;
        entry->attempt = result.attempt;
        answer.renewed.push_back(std::move(entry));
    };
    if (!isIntact(result)) {
        count(cell.metrics, model::Reason::AnswerCorrupt);
        return false; // Not acknowledged, so that the worker sends the result again.
    }
    const auto found = cell.state.tasks.find(result.task);
    const bool current = found != cell.state.tasks.end() && found->second.attempt == result.attempt && found->second.worker == worker;
    if (!current || found->second.phase == wire::TaskPhase::Queued) {
        count(cell.metrics, model::Reason::AnswerFenced);
        acknowledge();
        return false;
    }
    const model::Task &task = found->second;
    const bool open = task.phase == wire::TaskPhase::Dispatched || task.outcome == wire::Outcome::Unknown;
    acknowledge();
    if (!open) {
        return false; // A duplicate result.
    }
    auto &waiting = cell.leader.resultWaiters[task.id];
    const auto live = cell.leader.live.find(task.id);
    const bool proposed = live != cell.leader.live.end() && live->second.endProposed;
    waiting.push_back(token);
    if (proposed) {
        return true;
    }
    const bool ran = !result.refused;
    policy::recordAttemptEnd(cell.leader.quarantine, worker, task.spec.service, ran && !result.failed, cell.leader.pool.workers.size(), now.monotonicMs);
    if (result.refused) {
        handleAttemptEnd(cell, task.id, AttemptEnd::NeverBegan, model::Reason::StartNeverBegan, {}, now, output);
    } else if (result.failed) {
        handleAttemptEnd(cell, task.id, AttemptEnd::Failed, model::Reason::TaskFailed, result.answer, now, output);
    } else {
        proposeEnd(cell, task, wire::Outcome::Answered, model::Reason::None, result.answer, now, output);
    }
    return true;
}

void removeSilentWorker(Cell &cell, policy::WorkerIndex index, const Now &now, CellOutput &output)
{
    LiveWorker &worker = cell.leader.workers[index];
    const std::string &name = cell.leader.pool.workers[index].id;
    if (!worker.tasks.empty() || cell.state.workers.count(name) == 0 || now.monotonicMs < worker.lastContactMs + cell.options.silentWorkerTimeoutMs) {
        return;
    }
    worker.lastContactMs = now.monotonicMs; // Delays the next proposal by the timeout if this one is not committed.
    wire::WorkerRemovedT record;
    record.worker = name;
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

bool isExpired(const Cell &cell, model::TaskId id, const Now &now)
{
    const LiveTask &live = cell.leader.live.at(id);
    return !live.dispatchProposed && (now.monotonicMs > live.leaseUntilMs || now.monotonicMs > live.runUntilMs);
}

void expireTask(Cell &cell, model::TaskId id, const Now &now, CellOutput &output)
{
    const LiveTask &live = cell.leader.live.at(id);
    const model::Task &task = cell.state.tasks.at(id);
    if (task.phase != wire::TaskPhase::Dispatched || live.endProposed) {
        return;
    }
    if (now.monotonicMs > live.leaseUntilMs) {
        policy::recordAttemptEnd(cell.leader.quarantine, task.worker, task.spec.service, false, cell.leader.pool.workers.size(), now.monotonicMs);
        const bool restarted = cell.leader.workers[live.worker].incarnation != task.incarnation;
        handleAttemptEnd(cell, id, AttemptEnd::Lost, restarted ? model::Reason::WorkerRestarted : model::Reason::LeaseExpired, {}, now, output);
        return;
    }
    if (now.monotonicMs > live.runUntilMs && live.stopReason == model::Reason::None) {
        requestStop(cell, id, model::Reason::RunTimeExceeded);
    }
}
}

void handleAnnouncement(Cell &cell, Token token, const wire::AnnouncementT &announcement, const Now &now, CellOutput &output)
{
    const wire::WorkerRegisteredT &shape = *announcement.shape;
    const auto known = cell.state.workers.find(shape.worker);
    if (known != cell.state.workers.end() && known->second == shape) {
        processAnnouncement(cell, token, announcement, now, output);
        return;
    }
    if (known != cell.state.workers.end() && shape.incarnation < known->second.incarnation) {
        refuse(cell, output, token, model::Reason::WorkerRestarted, "a newer process of this worker is registered");
        return;
    }
    auto &pending = cell.leader.pendingAnnouncements[shape.worker];
    const bool proposed = !pending.empty() && *pending.back().announcement.shape == shape;
    pending.push_back({token, announcement});
    if (!proposed) {
        output.proposals.push_back(wire::encodeChange(shape));
    }
}

void onWorkerChanged(Cell &cell, const std::string &worker, const Now &now, CellOutput &output)
{
    const auto shape = cell.state.workers.find(worker);
    if (shape == cell.state.workers.end()) {
        if (const auto index = policy::findWorker(cell.leader.pool, worker)) {
            policy::setEligible(cell.leader.pool, *index, false);
            policy::upsertWorker(cell.leader.pool, worker, "", {});
            policy::setTotal(cell.leader.queue, cell.leader.pool.totalOffer);
        }
        return;
    }
    const policy::WorkerIndex index = addOrUpdateWorker(cell, shape->second);
    LiveWorker &live = cell.leader.workers[index];
    if (live.incarnation != shape->second.incarnation) {
        // A new process numbers its announcements from the start. Tasks of the earlier process keep their leases until
        // they expire, since that process may be paused and still hold the tasks.
        live.incarnation = shape->second.incarnation;
        live.lastContactMs = now.monotonicMs;
        live.announced = false;
        live.announcement = 0;
    }
    processPendingAnnouncements(cell, worker, now, output);
}

void processPendingAnnouncements(Cell &cell, const std::string &worker, const Now &now, CellOutput &output)
{
    const auto found = cell.leader.pendingAnnouncements.find(worker);
    if (found == cell.leader.pendingAnnouncements.end()) {
        return;
    }
    const std::vector<PendingAnnouncement> pending = std::move(found->second);
    cell.leader.pendingAnnouncements.erase(found);
    for (const PendingAnnouncement &announcement : pending) {
        if (*announcement.announcement.shape == cell.state.workers.at(worker)) {
            processAnnouncement(cell, announcement.token, announcement.announcement, now, output);
        } else {
            cell.leader.pendingAnnouncements[worker].push_back(announcement);
        }
    }
}

void handleResults(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output)
{
    wire::ReplyT answer;
    answer.term = cell.leader.term;
    std::size_t open = 0;
    for (const auto &result : request.results) {
        if (handleResult(cell, token, request.worker, *result, now, answer, output)) {
            ++open;
        }
    }
    if (open == 0) {
        reply(output, token, std::move(answer));
        return;
    }
    cell.leader.pendingResultCounts[token] = open;
    cell.leader.pendingResultReplies[token] = std::move(answer);
}

void answerResultWaiters(Cell &cell, model::TaskId id, CellOutput &output)
{
    const auto found = cell.leader.resultWaiters.find(id);
    if (found == cell.leader.resultWaiters.end()) {
        return;
    }
    for (const Token token : found->second) {
        const auto open = cell.leader.pendingResultCounts.find(token);
        if (open != cell.leader.pendingResultCounts.end() && --open->second == 0) {
            reply(output, token, std::move(cell.leader.pendingResultReplies[token]));
            cell.leader.pendingResultReplies.erase(token);
            cell.leader.pendingResultCounts.erase(open);
        }
    }
    cell.leader.resultWaiters.erase(found);
}

void expireLeases(Cell &cell, const Now &now, CellOutput &output)
{
    if (now.monotonicMs < cell.leader.nextLeaseScanMs) {
        return;
    }
    cell.leader.nextLeaseScanMs = now.monotonicMs + leaseScanEveryMs;
    std::vector<model::TaskId> due;
    for (policy::WorkerIndex index = 0; index < cell.leader.workers.size(); ++index) {
        for (const model::TaskId id : cell.leader.workers[index].tasks) {
            if (isExpired(cell, id, now)) {
                due.push_back(id);
            }
        }
        removeSilentWorker(cell, index, now, output);
    }
    for (const model::TaskId id : due) {
        expireTask(cell, id, now, output);
    }
}

void refreshEligibility(Cell &cell, const Now &now)
{
    if (now.monotonicMs < cell.leader.nextEligibilityMs) {
        return;
    }
    cell.leader.nextEligibilityMs = now.monotonicMs + eligibilityEveryMs;
    const std::uint64_t maxSilenceMs = cell.options.startWindowMs * maxSilencePercent / fullPercent;
    for (policy::WorkerIndex index = 0; index < cell.leader.workers.size(); ++index) {
        const LiveWorker &worker = cell.leader.workers[index];
        policy::PooledWorker &pooled = cell.leader.pool.workers[index];
        const auto shape = cell.state.workers.find(pooled.id);
        const bool registered = shape != cell.state.workers.end() && !shape->second.leaving;
        const bool recent = worker.announced && now.monotonicMs <= worker.lastContactMs + maxSilenceMs;
        const bool eligible
            = registered && recent && !isDown(*cell.config, pooled.id) && !policy::isExcluded(cell.leader.quarantine, pooled.id, now.monotonicMs);
        cell.leader.scheduleNeeded = cell.leader.scheduleNeeded || (eligible && !pooled.eligible);
        policy::setEligible(cell.leader.pool, index, eligible);
        pooled.probing = policy::isProbing(cell.leader.quarantine, pooled.id, now.monotonicMs);
    }
}
}
