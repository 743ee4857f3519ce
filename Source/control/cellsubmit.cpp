#include "control/cellinternal.h"

#include "model/task.h"

#include <algorithm>

namespace rosemaryturn::control::internal
{
namespace
{
wire::ReplyT viewReply(const std::vector<const model::Task *> &tasks)
{
    wire::ReplyT result;
    for (const model::Task *task : tasks) {
        result.tasks.push_back(std::make_unique<wire::TaskViewT>(model::viewOf(*task, true)));
    }
    return result;
}

/** @return the reply for an ended request whose answer is no longer retained. */
wire::ReplyT closedReply(const std::string &key, const wire::ClosedKey &closed)
{
    wire::ReplyT result;
    auto view = std::make_unique<wire::TaskViewT>();
    view->key = key;
    view->phase = wire::TaskPhase::Ended;
    view->outcome = closed.outcome();
    const bool answered = closed.outcome() == wire::Outcome::Answered;
    view->reason = answered ? static_cast<std::uint16_t>(model::Reason::AnswerExpired) : closed.reason();
    view->answerDropped = true;
    result.tasks.push_back(std::move(view));
    return result;
}

bool allEnded(const std::vector<const model::Task *> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(), [](const model::Task *task) {
        return task->phase == wire::TaskPhase::Ended;
    });
}

void answerClosedOrUnknownKey(Cell &cell, Token token, const std::string &key, CellOutput &output)
{
    if (const wire::ClosedKey *closed = findClosedKey(cell.state, key)) {
        reply(output, token, closedReply(key, *closed));
    } else {
        refuse(cell, output, token, model::Reason::NotFound, key);
    }
}

void answerOrWait(Cell &cell, Token token, const std::string &key, std::uint64_t untilMs, const Now &now, CellOutput &output)
{
    const auto tasks = tasksOf(cell.state, key);
    if (allEnded(tasks) || untilMs <= now.monotonicMs) {
        reply(output, token, viewReply(tasks));
        return;
    }
    const Waiter waiter{token, key};
    cell.leader.waiters[key].push_back(waiter);
    cell.leader.waitDeadlines.emplace(untilMs, waiter);
}

/** Fills in the fields that the caller omitted with the values of the service declaration. */
void applyServiceDefaults(wire::TaskSpecT &spec, const QualifiedService &service)
{
    const config::ServiceDeclaration &declared = *service.declaration;
    spec.team = qualify(service.environment, declared.team);
    spec.kind = declared.kind;
    spec.idempotent = spec.idempotencyStated ? spec.idempotent : declared.idempotent;
    spec.cpuMillis = spec.cpuMillis == 0 ? static_cast<std::uint32_t>(declared.size.cpuMillis) : spec.cpuMillis;
    spec.memoryMb = spec.memoryMb == 0 ? static_cast<std::uint32_t>(declared.size.memoryMb) : spec.memoryMb;
    spec.accelerators = spec.accelerators == 0 ? static_cast<std::uint32_t>(declared.size.accelerators) : spec.accelerators;
    spec.queueMs = spec.queueMs == 0 ? declared.queueMs : spec.queueMs;
    spec.maxRunMs = spec.maxRunMs == 0 ? declared.maxRunMs : spec.maxRunMs;
}

/** Answers a resubmission from the state of its key. @return false when the key is new. */
bool answerKnownKey(Cell &cell, Token token, const wire::TaskSpecT &spec, std::uint64_t untilMs, const Now &now, CellOutput &output)
{
    const auto tasks = tasksOf(cell.state, spec.key);
    if (!tasks.empty()) {
        if (tasks.front()->spec.digest != spec.digest) {
            refuse(cell, output, token, model::Reason::KeyReused);
        } else {
            answerOrWait(cell, token, spec.key, untilMs, now, output);
        }
        return true;
    }
    if (const wire::ClosedKey *closed = findClosedKey(cell.state, spec.key)) {
        if (closed->digest() != spec.digest) {
            refuse(cell, output, token, model::Reason::KeyReused);
        } else {
            reply(output, token, closedReply(spec.key, *closed));
        }
        return true;
    }
    const auto pending = cell.leader.pendingSubmits.find(spec.key);
    if (pending == cell.leader.pendingSubmits.end()) {
        return false;
    }
    if (pending->second.front().digest != spec.digest) {
        refuse(cell, output, token, model::Reason::KeyReused);
    } else {
        pending->second.push_back({token, spec.digest, untilMs});
    }
    return true;
}

std::vector<model::Resources> declaredShapes(const Cell &cell, const std::string &environment)
{
    const auto found = cell.config->environments.find(environment);
    return found == cell.config->environments.end() ? std::vector<model::Resources>{} : found->second.document.workerShapes;
}

policy::AdmissionResult admitAll(const Cell &cell, const wire::TasksAcceptedT &record, const std::string &environment)
{
    std::vector<model::Resources> needs;
    for (const auto &spec : record.specs) {
        needs.push_back(model::needOf(*spec));
    }
    const std::vector<model::Resources> shapes = declaredShapes(cell, environment);
    const wire::TaskSpecT &first = *record.specs.front();
    const policy::AdmissionQuery admissionQuery{first.team, needs, first.urgent, first.queueMs};
    return policy::admit(cell.options.admission, admissionQuery, cell.leader.queue, cell.leader.pool, shapes, cell.leader.rate);
}
}

void reply(CellOutput &output, Token token, wire::ReplyT reply)
{
    output.replies.push_back({token, std::move(reply)});
}

void refuse(Cell &cell, CellOutput &output, Token token, model::Reason reason, const std::string &detail, std::uint64_t retryAfterMs)
{
    count(cell.metrics, reason);
    wire::ReplyT refusal;
    refusal.error = static_cast<std::uint16_t>(reason);
    refusal.detail = detail;
    refusal.retryAfterMs = static_cast<std::uint32_t>(std::min<std::uint64_t>(retryAfterMs, UINT32_MAX));
    reply(output, token, std::move(refusal));
}

model::Resources needFor(const Cell &cell, const wire::TaskSpecT &spec)
{
    const model::Resources declared = model::needOf(spec);
    const auto estimate = cell.leader.usageEstimates.find(spec.service);
    if (estimate == cell.leader.usageEstimates.end()) {
        return declared;
    }
    return policy::resourcesToReserve(declared, estimate->second, cell.leader.pool.largestOffer);
}

void submit(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output)
{
    if (request.specs.empty()) {
        refuse(cell, output, token, model::Reason::MissingField);
        return;
    }
    const std::uint64_t untilMs = request.waitMs == 0 ? 0 : now.monotonicMs + request.waitMs;
    if (answerKnownKey(cell, token, *request.specs.front(), untilMs, now, output)) {
        return;
    }
    if (cell.leader.draining) {
        refuse(cell, output, token, model::Reason::ShuttingDown);
        return;
    }
    const std::string &name = request.specs.front()->service;
    const QualifiedService service = findQualified(*cell.config, name);
    if (service.declaration == nullptr) {
        refuse(cell, output, token, model::Reason::UnknownService, name);
        return;
    }
    const bool sizeMatchesKind = request.specs.size() == 1 || service.declaration->kind == wire::TaskKind::Gang;
    if (!sizeMatchesKind || service.declaration->kind == wire::TaskKind::Service) {
        refuse(cell, output, token, model::Reason::OutOfRange, "a gangSize above 1 requires kind gang, and long-running services are declared, not submitted");
        return;
    }
    wire::TasksAcceptedT record;
    record.atMs = now.wallMs;
    for (const auto &spec : request.specs) {
        record.specs.push_back(std::make_unique<wire::TaskSpecT>(*spec));
        applyServiceDefaults(*record.specs.back(), service);
    }
    const policy::AdmissionResult admitted = admitAll(cell, record, service.environment);
    if (admitted.reason != model::Reason::None) {
        refuse(cell, output, token, admitted.reason, name, admitted.retryAfterMs);
        return;
    }
    policy::creditNewTask(cell.leader.retryBudgets[name], retryPolicyOf(cell, name));
    const wire::TaskSpecT &first = *record.specs.front();
    cell.leader.pendingSubmits[first.key].push_back({token, first.digest, untilMs});
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

namespace
{
/** Cancels the tasks of a key that haven't ended, and answers once they have. */
void cancelTasks(Cell &cell, Token token, const std::string &key, std::uint64_t untilMs, const Now &now, CellOutput &output)
{
    const auto tasks = tasksOf(cell.state, key);
    if (tasks.empty()) {
        answerClosedOrUnknownKey(cell, token, key, output);
        return;
    }
    for (const model::Task *task : tasks) {
        if (task->phase != wire::TaskPhase::Ended && !task->cancelled) {
            wire::TaskCancelledT record;
            record.task = task->id;
            record.atMs = now.wallMs;
            output.proposals.push_back(wire::encodeChange(record));
        }
    }
    answerOrWait(cell, token, key, untilMs, now, output);
}
}

void answerPendingSubmits(Cell &cell, const std::string &key, const Now &now, CellOutput &output)
{
    const auto found = cell.leader.pendingSubmits.find(key);
    if (found == cell.leader.pendingSubmits.end()) {
        return;
    }
    const std::vector<PendingSubmit> submits = std::move(found->second);
    cell.leader.pendingSubmits.erase(found);
    for (const PendingSubmit &submit : submits) {
        const auto tasks = tasksOf(cell.state, key);
        if (submit.cancels) {
            cancelTasks(cell, submit.token, key, submit.waitUntilMs, now, output);
        } else if (tasks.empty() || tasks.front()->spec.digest != submit.digest) {
            refuse(cell, output, submit.token, model::Reason::KeyReused);
        } else {
            answerOrWait(cell, submit.token, key, submit.waitUntilMs, now, output);
        }
    }
}

void query(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output)
{
    if (tasksOf(cell.state, request.key).empty()) {
        answerClosedOrUnknownKey(cell, token, request.key, output);
        return;
    }
    const std::uint64_t untilMs = request.waitMs == 0 ? 0 : now.monotonicMs + request.waitMs;
    answerOrWait(cell, token, request.key, untilMs, now, output);
}

void cancel(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output)
{
    const std::uint64_t untilMs = now.monotonicMs + request.waitMs;
    const auto pending = cell.leader.pendingSubmits.find(request.key);
    if (pending != cell.leader.pendingSubmits.end()) {
        pending->second.push_back({token, 0, untilMs, true});
        return;
    }
    cancelTasks(cell, token, request.key, untilMs, now, output);
}

void answerWaiters(Cell &cell, const std::string &key, CellOutput &output)
{
    const auto found = cell.leader.waiters.find(key);
    if (found == cell.leader.waiters.end()) {
        return;
    }
    const auto tasks = tasksOf(cell.state, key);
    if (!allEnded(tasks)) {
        return;
    }
    const wire::ReplyT result = viewReply(tasks);
    for (const Waiter &waiter : found->second) {
        reply(output, waiter.token, result);
    }
    cell.leader.waiters.erase(found);
}

void expireWaiters(Cell &cell, const Now &now, CellOutput &output)
{
    auto &deadlines = cell.leader.waitDeadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= now.monotonicMs) {
        const Waiter waiter = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        const auto found = cell.leader.waiters.find(waiter.key);
        if (found == cell.leader.waiters.end()) {
            continue;
        }
        auto &waiting = found->second;
        const auto position = std::find_if(waiting.begin(), waiting.end(), [&waiter](const Waiter &other) {
            return other.token == waiter.token;
        });
        if (position == waiting.end()) {
            continue;
        }
        waiting.erase(position);
        if (waiting.empty()) {
            cell.leader.waiters.erase(found);
        }
        reply(output, waiter.token, viewReply(tasksOf(cell.state, waiter.key)));
    }
}
}
