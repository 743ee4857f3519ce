#include "control/cellinternal.h"

#include "model/task.h"

/** The leader's accounting: queued tasks, tasks on workers, resources charged to teams. */
namespace rosemaryturn::control::internal
{
LiveTask &trackTask(Cell &cell, const model::Task &task, const Now &now)
{
    LiveTask &live = cell.leader.live[task.id];
    live.need = needFor(cell, task.spec);
    live.acceptedMs = now.monotonicMs;
    if (task.spec.queueMs > 0 && task.phase == wire::TaskPhase::Queued) {
        cell.leader.queueDeadlines.emplace(now.monotonicMs + task.spec.queueMs, task.id);
    }
    recordInstance(cell, task);
    return live;
}

void enqueueIfReady(Cell &cell, model::TaskId id, const Now &now)
{
    const auto found = cell.state.tasks.find(id);
    if (found == cell.state.tasks.end()) {
        return;
    }
    // A gang is queued by its first open member, once all open members are waiting.
    const model::Task *representative = nullptr;
    for (const model::Task *member : tasksOf(cell.state, found->second.spec.key)) {
        if (member->phase == wire::TaskPhase::Ended) {
            continue;
        }
        const auto live = cell.leader.live.find(member->id);
        if (member->phase == wire::TaskPhase::Dispatched || live == cell.leader.live.end() || live->second.dispatchProposed || live->second.endProposed
            || live->second.queueSequence != 0 || live->second.delayedUntilMs > now.monotonicMs) {
            return;
        }
        representative = representative == nullptr ? member : representative;
    }
    if (representative == nullptr) {
        return;
    }
    LiveTask &live = cell.leader.live.at(representative->id);
    const wire::TaskSpecT &spec = representative->spec;
    live.queueSequence = policy::enqueue(cell.leader.queue, spec.team, spec.service, representative->id, spec.urgent);
    cell.leader.scheduleNeeded = true;
}

void removeFromQueue(Cell &cell, const model::Task &task, LiveTask &live)
{
    if (live.queueSequence != 0) {
        policy::decrementQueued(cell.leader.queue, task.spec.team);
        live.queueSequence = 0;
    }
}

void assignWorker(Cell &cell, const model::Task &task, LiveTask &live, policy::WorkerIndex worker)
{
    live.worker = worker;
    live.holdsCapacity = true;
    policy::allocate(cell.leader.pool, worker, live.need);
    policy::charge(cell.leader.queue, task.spec.team, live.need);
    cell.leader.workers[worker].tasks.insert(task.id);
    ++cell.leader.runningByService[task.spec.service];
    auto &spread = cell.leader.spreadCounts[task.spec.service];
    ++spread["rack:" + cell.leader.pool.workers[worker].rack];
    ++spread[cell.leader.pool.workers[worker].id];
}

void releaseWorker(Cell &cell, const model::Task &task, LiveTask &live)
{
    if (!live.holdsCapacity) {
        return;
    }
    live.holdsCapacity = false;
    policy::release(cell.leader.pool, live.worker, live.need);
    policy::uncharge(cell.leader.queue, task.spec.team, live.need);
    cell.leader.workers[live.worker].tasks.erase(task.id);
    --cell.leader.runningByService[task.spec.service];
    auto &spread = cell.leader.spreadCounts[task.spec.service];
    --spread["rack:" + cell.leader.pool.workers[live.worker].rack];
    --spread[cell.leader.pool.workers[live.worker].id];
    live.need = needFor(cell, task.spec);
    cell.leader.scheduleNeeded = true;
}

policy::WorkerIndex addOrUpdateWorker(Cell &cell, const wire::WorkerRegisteredT &shape)
{
    const policy::WorkerIndex index = policy::upsertWorker(cell.leader.pool, shape.worker, shape.rack, model::offerOf(shape));
    if (cell.leader.workers.size() <= index) {
        cell.leader.workers.resize(index + 1);
    }
    policy::setTotal(cell.leader.queue, cell.leader.pool.totalOffer);
    return index;
}
}
