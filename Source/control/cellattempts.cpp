#include "control/cellinternal.h"

#include <algorithm>
#include <optional>

namespace rosemaryturn::control::internal
{
namespace
{
/** @return whether an attempt with this end reason is not counted, since neither the task nor the worker failed. */
bool isExemptFromAttemptLimit(model::Reason reason)
{
    return reason == model::Reason::Preempted || reason == model::Reason::GangIncomplete;
}

void proposeRequeue(Cell &cell, const model::Task &task, LiveTask &live, AttemptEnd end, model::Reason reason, std::uint64_t delayMs, const Now &now,
                    CellOutput &output)
{
    live.endProposed = true;
    if (delayMs > 0) {
        live.delayedUntilMs = now.monotonicMs + delayMs;
        cell.leader.delayed.emplace(live.delayedUntilMs, task.id);
    }
    count(cell.metrics, reason);
    wire::TaskRequeuedT record;
    record.task = task.id;
    record.attempt = task.attempt;
    record.reason = static_cast<std::uint16_t>(reason);
    record.mayHaveRun = end != AttemptEnd::NeverBegan;
    output.proposals.push_back(wire::encodeChange(record));
}

/** @return the outcome of a task whose last attempt ended so. */
wire::Outcome outcomeOf(AttemptEnd end, bool idempotent)
{
    switch (end) {
    case AttemptEnd::NeverBegan:
        return wire::Outcome::NotRun;
    case AttemptEnd::Failed:
        return wire::Outcome::Failed;
    case AttemptEnd::Stopped:
        return wire::Outcome::Stopped;
    case AttemptEnd::Lost:
        // A lost idempotent task certainly does not run any more and has no answer.
        return idempotent ? wire::Outcome::Failed : wire::Outcome::Unknown;
    }
    return wire::Outcome::Unknown;
}

/** @return why the task must not be retried; nullopt when it may be. */
std::optional<model::Reason> retryRefusal(const Cell &cell, const model::Task &task, const LiveTask &live, AttemptEnd end, model::Reason reason)
{
    if (task.cancelled) {
        return model::Reason::Cancelled;
    }
    if (reason == model::Reason::RunTimeExceeded || reason == model::Reason::ReplacedByConfig) {
        return reason;
    }
    const bool safe = end == AttemptEnd::NeverBegan || task.spec.idempotent || task.spec.kind == wire::TaskKind::Service;
    if (!safe) {
        return reason;
    }
    if (task.spec.kind == wire::TaskKind::Service || isExemptFromAttemptLimit(reason)) {
        return std::nullopt;
    }
    return live.countedAttempts >= retryPolicyOf(cell, task.spec.service).maxAttempts ? std::optional(model::Reason::AttemptsExhausted) : std::nullopt;
}

/** @return the delay before the next attempt, in milliseconds. */
std::uint64_t retryDelayMs(Cell &cell, const model::Task &task, const LiveTask &live, AttemptEnd end, model::Reason reason)
{
    if (isExemptFromAttemptLimit(reason)) {
        return 0;
    }
    const policy::RetryPolicy policy = retryPolicyOf(cell, task.spec.service);
    // The retry budget limits failures that retries amplify. Retrying work whose host is gone adds no load. An
    // exhausted budget never ends an accepted task; it only delays the retry.
    if (end == AttemptEnd::Failed && !policy::takeRetry(cell.leader.retryBudgets[task.spec.service])) {
        count(cell.metrics, model::Reason::RetryBudgetSpent);
        return policy.capMs;
    }
    return policy::backoffMs(policy, live.countedAttempts, cell.random);
}
}

policy::RetryPolicy retryPolicyOf(const Cell &cell, const std::string &service)
{
    constexpr double percent = 100.0;
    policy::RetryPolicy policy = cell.options.retry;
    const QualifiedService found = findQualified(*cell.config, service);
    if (found.declaration != nullptr) {
        policy.maxAttempts = found.declaration->attempts;
        policy.budgetShare = found.declaration->retryPercent / percent;
    }
    return policy;
}

void proposeEnd(Cell &cell, const model::Task &task, wire::Outcome outcome, model::Reason reason, const wire::Bytes &answer, const Now &now, CellOutput &output)
{
    const auto live = cell.leader.live.find(task.id);
    if (live != cell.leader.live.end()) {
        live->second.endProposed = true;
    }
    if (outcome == wire::Outcome::NotRun && task.mayHaveRun) {
        outcome = task.cancelled ? wire::Outcome::Stopped : wire::Outcome::Failed; // The last attempt did not run; an earlier one did.
    }
    wire::TaskEndedT record;
    record.task = task.id;
    record.attempt = task.attempt;
    record.atMs = now.wallMs;
    record.outcome = outcome;
    record.reason = static_cast<std::uint16_t>(reason);
    record.answer = answer;
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

void handleAttemptEnd(Cell &cell, model::TaskId id, AttemptEnd end, model::Reason reason, const wire::Bytes &answer, const Now &now, CellOutput &output)
{
    const auto found = cell.leader.live.find(id);
    if (found == cell.leader.live.end() || found->second.endProposed) {
        return;
    }
    const model::Task &task = cell.state.tasks.at(id);
    LiveTask &live = found->second;
    if (!isExemptFromAttemptLimit(reason)) {
        ++live.countedAttempts;
    }
    if (end != AttemptEnd::Stopped && std::find(live.avoidedWorkers.begin(), live.avoidedWorkers.end(), live.worker) == live.avoidedWorkers.end()) {
        live.avoidedWorkers.push_back(live.worker);
    }
    const std::optional<model::Reason> refusal = retryRefusal(cell, task, live, end, reason);
    if (!refusal) {
        proposeRequeue(cell, task, live, end, reason, retryDelayMs(cell, task, live, end, reason), now, output);
    } else {
        const bool cancelledUnstarted = refusal == model::Reason::Cancelled && end == AttemptEnd::NeverBegan;
        proposeEnd(cell, task, cancelledUnstarted ? wire::Outcome::NotRun : outcomeOf(end, task.spec.idempotent), *refusal, answer, now, output);
    }
    if (task.spec.kind == wire::TaskKind::Gang) {
        stopGangMembers(cell, task);
    }
}

void requestStop(Cell &cell, model::TaskId id, model::Reason reason)
{
    const auto live = cell.leader.live.find(id);
    if (live != cell.leader.live.end() && live->second.stopReason == model::Reason::None) {
        live->second.stopReason = reason;
    }
}

void stopGangMembers(Cell &cell, const model::Task &member)
{
    for (const model::Task *other : tasksOf(cell.state, member.spec.key)) {
        if (other->id == member.id || other->phase == wire::TaskPhase::Ended) {
            continue;
        }
        if (other->phase == wire::TaskPhase::Dispatched) {
            requestStop(cell, other->id, model::Reason::GangIncomplete);
        }
    }
}
}
