#include "control/cellinternal.h"

#include "model/task.h"

#include <algorithm>
#include <optional>

namespace rosemaryturn::control::internal
{
namespace
{
/** Maximum number of placements in one record; bounds the time of a pass. */
constexpr std::size_t maxPlacementsPerPass = 512;
/** Maximum number of resource shapes recorded as not placeable within one pass. */
constexpr std::size_t maxFailedShapes = 16;
/** Maximum number of workers examined for preemption. */
constexpr std::size_t maxPreemptionScan = 64;

/** Results collected during one pass over the queue. */
struct Pass
{
    wire::TasksDispatchedT record;
    std::vector<std::pair<model::Resources, policy::PlacementPolicy>> failedShapes;
};

bool matchesFailedShape(const Pass &pass, const policy::PlacementQuery &query)
{
    return std::any_of(pass.failedShapes.begin(), pass.failedShapes.end(), [&query](const auto &failed) {
        return failed.second == query.policy && model::fits(failed.first, query.need);
    });
}

policy::SpreadCost spreadCostOf(const Cell &cell, const std::string &service)
{
    const auto found = cell.leader.spreadCounts.find(service);
    if (found == cell.leader.spreadCounts.end()) {
        return {};
    }
    return [&counts = found->second](const policy::PooledWorker &worker) {
        constexpr std::uint64_t rackWeight = 1U << 20U;
        const auto rack = counts.find("rack:" + worker.rack);
        const auto self = counts.find(worker.id);
        return (rack == counts.end() ? 0 : rack->second * rackWeight) + (self == counts.end() ? 0 : self->second);
    };
}

policy::PlacementQuery queryFor(const Cell &cell, const model::Task &task, const LiveTask &live, const Now &now)
{
    policy::PlacementQuery query;
    query.need = live.need;
    query.idempotent = task.spec.idempotent;
    query.reservation = task.id;
    query.avoid = live.avoidedWorkers.empty() ? nullptr : &live.avoidedWorkers;
    const QualifiedService service = findQualified(*cell.config, task.spec.service);
    query.policy = service.declaration == nullptr ? policy::PlacementPolicy::Pack : service.declaration->placement;
    if (query.policy == policy::PlacementPolicy::Spread) {
        query.spreadCost = spreadCostOf(cell, task.spec.service);
    }
    // A short task may run on reserved workers if it certainly ends before the reservation does.
    for (const auto &[number, reservation] : cell.leader.reservations) {
        query.backfill = task.spec.maxRunMs > 0 && now.monotonicMs + task.spec.maxRunMs * 2ULL < reservation.untilMs;
    }
    return query;
}

void proposePlacement(Cell &cell, const model::Task &task, LiveTask &live, policy::WorkerIndex worker, Pass &pass)
{
    const std::string &name = cell.leader.pool.workers[worker].id;
    live.queueSequence = 0;
    live.dispatchProposed = true;
    assignWorker(cell, task, live, worker);
    auto placement = std::make_unique<wire::PlacementT>();
    placement->task = task.id;
    placement->attempt = task.attempt + 1;
    placement->worker = name;
    placement->incarnation = cell.state.workers.at(name).incarnation;
    pass.record.placements.push_back(std::move(placement));
    ++cell.metrics.decisions;
}

void reserve(Cell &cell, model::TaskId task, std::vector<policy::WorkerIndex> workers, std::uint64_t untilMs)
{
    for (const policy::WorkerIndex worker : workers) {
        cell.leader.pool.workers[worker].reservedFor = task;
    }
    cell.leader.reservations[cell.leader.nextReservation++] = {task, untilMs, std::move(workers)};
}

bool holdsReservation(const Cell &cell, model::TaskId task)
{
    return std::any_of(cell.leader.reservations.begin(), cell.leader.reservations.end(), [task](const auto &entry) {
        return entry.second.task == task;
    });
}

std::vector<const model::Task *> unfinishedMembers(const Cell &cell, const std::string &key)
{
    std::vector<const model::Task *> members = tasksOf(cell.state, key);
    std::erase_if(members, [](const model::Task *member) {
        return member->phase == wire::TaskPhase::Ended;
    });
    return members;
}

/** Chooses workers that fit the gang once all other tasks have left them, those with the most free CPU first. */
std::vector<policy::WorkerIndex> workersForGang(const Cell &cell, const std::vector<model::Resources> &needs)
{
    std::vector<policy::WorkerIndex> order;
    for (policy::WorkerIndex index = 0; index < cell.leader.pool.workers.size(); ++index) {
        const policy::PooledWorker &worker = cell.leader.pool.workers[index];
        if (worker.eligible && worker.reservedFor == 0) {
            order.push_back(index);
        }
    }
    std::sort(order.begin(), order.end(), [&cell](policy::WorkerIndex a, policy::WorkerIndex b) {
        return policy::freeOf(cell.leader.pool.workers[a]).cpuMillis > policy::freeOf(cell.leader.pool.workers[b]).cpuMillis;
    });
    std::vector<policy::WorkerIndex> chosen;
    std::size_t next = 0;
    for (const policy::WorkerIndex index : order) {
        model::Resources remaining = cell.leader.pool.workers[index].offer;
        bool used = false;
        while (next < needs.size() && model::fits(needs[next], remaining)) {
            remaining = remaining - needs[next++];
            used = true;
        }
        if (used) {
            chosen.push_back(index);
        }
        if (next == needs.size()) {
            return chosen;
        }
    }
    return {};
}

/** Allows workers on which the task failed, since no other worker fits it. */
void clearAvoidedWorkers(Cell &cell, LiveTask &live)
{
    if (!live.avoidedWorkers.empty()) {
        live.avoidedWorkers.clear();
        cell.leader.retryPlacement = true;
    }
}

bool placeGang(Cell &cell, const policy::NextTask &next, const model::Task &first, const Now &now, Pass &pass)
{
    const auto members = unfinishedMembers(cell, first.spec.key);
    std::vector<model::Resources> needs;
    model::Resources total;
    for (const model::Task *member : members) {
        needs.push_back(cell.leader.live.at(member->id).need);
        total = total + needs.back();
    }
    if (!policy::withinQuota(cell.leader.queue, first.spec.team, total)) {
        return false;
    }
    LiveTask &live = cell.leader.live.at(first.id);
    const auto chosen = policy::chooseWorkers(cell.leader.pool, needs, queryFor(cell, first, live, now));
    if (chosen.empty()) {
        clearAvoidedWorkers(cell, live);
        const bool withinDelay = now.monotonicMs < live.acceptedMs + cell.options.gangReservationDelayMs;
        if (!withinDelay && cell.leader.reservations.empty()) {
            auto workers = workersForGang(cell, needs);
            if (!workers.empty()) {
                reserve(cell, first.id, std::move(workers), now.monotonicMs + cell.options.gangReservationMs);
            }
        }
        return false;
    }
    policy::take(cell.leader.queue, next, true);
    dropReservation(cell, first.id);
    for (std::size_t i = 0; i < members.size(); ++i) {
        proposePlacement(cell, *members[i], cell.leader.live.at(members[i]->id), chosen[i], pass);
    }
    return true;
}

bool isPreemptible(const model::Task &task, const LiveTask &live)
{
    return task.spec.kind == wire::TaskKind::Batch && !task.spec.urgent && task.spec.idempotent && live.stopReason == model::Reason::None && live.confirmed;
}

/** @return the tasks to stop so that the need fits the worker; nullopt when stopping all preemptible tasks is not enough. */
std::optional<std::vector<model::TaskId>> victimsOn(const Cell &cell, policy::WorkerIndex index, const model::Resources &need)
{
    model::Resources remaining = policy::freeOf(cell.leader.pool.workers[index]);
    std::vector<model::TaskId> victims;
    for (const model::TaskId id : cell.leader.workers[index].tasks) {
        if (model::fits(need, remaining)) {
            break;
        }
        const LiveTask &live = cell.leader.live.at(id);
        if (isPreemptible(cell.state.tasks.at(id), live)) {
            remaining = remaining + live.need;
            victims.push_back(id);
        }
    }
    return model::fits(need, remaining) ? std::optional(victims) : std::nullopt;
}

/** Stops batch tasks on one worker and reserves it for an urgent task, which then waits only as long as the stop takes. */
void preempt(Cell &cell, const model::Task &task, const model::Resources &need, const Now &now)
{
    if (holdsReservation(cell, task.id)) {
        return;
    }
    std::optional<std::vector<model::TaskId>> best;
    policy::WorkerIndex bestWorker = 0;
    std::size_t scanned = 0;
    for (policy::WorkerIndex index = 0; index < cell.leader.pool.workers.size() && scanned < maxPreemptionScan; ++index) {
        const policy::PooledWorker &worker = cell.leader.pool.workers[index];
        if (!worker.eligible || worker.reservedFor != 0 || !model::fits(need, worker.offer)) {
            continue;
        }
        ++scanned;
        const auto victims = victimsOn(cell, index, need);
        if (victims && (!best || victims->size() < best->size())) {
            best = victims;
            bestWorker = index;
        }
    }
    if (!best) {
        return;
    }
    for (const model::TaskId victim : *best) {
        requestStop(cell, victim, model::Reason::Preempted);
    }
    reserve(cell, task.id, {bestWorker}, now.monotonicMs + cell.options.preemptionReservationMs);
}

bool isConcurrencyLimited(const Cell &cell, const model::Task &task)
{
    if (!policy::isSlowed(cell.leader.quarantine, task.spec.service)) {
        return false;
    }
    const auto running = cell.leader.runningByService.find(task.spec.service);
    return running != cell.leader.runningByService.end() && running->second >= cell.options.quarantine.slowedConcurrency;
}

/** Places one task or gang. @return false when its service is blocked until the next pass. */
bool placeNext(Cell &cell, const policy::NextTask &next, const Now &now, Pass &pass)
{
    const model::Task &task = cell.state.tasks.at(next.task.task);
    LiveTask &live = cell.leader.live.at(next.task.task);
    if (isConcurrencyLimited(cell, task)) {
        return false;
    }
    if (task.spec.kind == wire::TaskKind::Gang) {
        return placeGang(cell, next, task, now, pass);
    }
    live.need = needFor(cell, task.spec);
    if (!policy::withinQuota(cell.leader.queue, task.spec.team, live.need)) {
        return false;
    }
    const policy::PlacementQuery query = queryFor(cell, task, live, now);
    const bool cacheable = query.avoid == nullptr && !holdsReservation(cell, task.id);
    if (cacheable && matchesFailedShape(pass, query)) {
        return false;
    }
    const auto worker = policy::chooseWorker(cell.leader.pool, query);
    if (!worker) {
        if (cacheable && pass.failedShapes.size() < maxFailedShapes) {
            pass.failedShapes.emplace_back(query.need, query.policy);
        }
        if (task.spec.urgent) {
            preempt(cell, task, live.need, now);
        }
        clearAvoidedWorkers(cell, live);
        return false;
    }
    policy::take(cell.leader.queue, next, true);
    dropReservation(cell, task.id);
    proposePlacement(cell, task, live, *worker, pass);
    return true;
}

bool isStale(const Cell &cell, const policy::NextTask &next)
{
    const auto live = cell.leader.live.find(next.task.task);
    return live == cell.leader.live.end() || live->second.queueSequence != next.task.sequence;
}
}

void schedule(Cell &cell, const Now &now, CellOutput &output)
{
    if (!cell.leader.scheduleNeeded || cell.leader.draining) {
        return;
    }
    cell.leader.scheduleNeeded = false;
    Pass pass;
    policy::NextTask next;
    policy::beginPass(cell.leader.queue);
    while (pass.record.placements.size() < maxPlacementsPerPass && policy::peek(cell.leader.queue, next)) {
        if (isStale(cell, next)) {
            policy::take(cell.leader.queue, next, false);
        } else if (!placeNext(cell, next, now, pass)) {
            policy::block(cell.leader.queue, next);
        }
    }
    cell.leader.scheduleNeeded = pass.record.placements.size() >= maxPlacementsPerPass || cell.leader.retryPlacement;
    cell.leader.retryPlacement = false;
    policy::recordStarts(cell.leader.rate, now.monotonicMs, pass.record.placements.size());
    if (!pass.record.placements.empty()) {
        pass.record.atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(std::move(pass.record)));
    }
}

void dropReservation(Cell &cell, model::TaskId task)
{
    for (auto at = cell.leader.reservations.begin(); at != cell.leader.reservations.end();) {
        if (at->second.task != task) {
            ++at;
            continue;
        }
        for (const policy::WorkerIndex worker : at->second.workers) {
            cell.leader.pool.workers[worker].reservedFor = 0;
        }
        at = cell.leader.reservations.erase(at);
        cell.leader.scheduleNeeded = true;
    }
}

void expireReservations(Cell &cell, const Now &now)
{
    std::vector<model::TaskId> expired;
    for (const auto &[number, reservation] : cell.leader.reservations) {
        if (reservation.untilMs <= now.monotonicMs) {
            expired.push_back(reservation.task);
        }
    }
    for (const model::TaskId task : expired) {
        dropReservation(cell, task);
    }
}
}
