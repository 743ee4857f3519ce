#include "policy/workerpool.h"

#include <algorithm>

namespace rosemaryturn::policy
{
namespace
{
std::set<std::pair<std::uint64_t, WorkerIndex>> &indexOf(WorkerPool &pool, const PooledWorker &worker)
{
    return worker.offer.accelerators > 0 ? pool.withAccelerators : pool.withoutAccelerators;
}

std::pair<std::uint64_t, WorkerIndex> indexKey(const PooledWorker &worker, WorkerIndex index)
{
    return {freeOf(worker).cpuMillis, index};
}

void removeFromIndex(WorkerPool &pool, WorkerIndex index)
{
    const PooledWorker &worker = pool.workers[index];
    indexOf(pool, worker).erase(indexKey(worker, index));
}

void addToIndex(WorkerPool &pool, WorkerIndex index)
{
    const PooledWorker &worker = pool.workers[index];
    if (worker.eligible) {
        indexOf(pool, worker).insert(indexKey(worker, index));
    }
}
}

model::Resources freeOf(const PooledWorker &worker)
{
    return worker.offer - worker.used;
}

std::optional<WorkerIndex> findWorker(const WorkerPool &pool, const std::string &id)
{
    const auto found = pool.byId.find(id);
    return found == pool.byId.end() ? std::nullopt : std::optional(found->second);
}

WorkerIndex upsertWorker(WorkerPool &pool, const std::string &id, const std::string &rack, const model::Resources &offer)
{
    const auto [position, inserted] = pool.byId.try_emplace(id, static_cast<WorkerIndex>(pool.workers.size()));
    const WorkerIndex index = position->second;
    if (inserted) {
        pool.workers.emplace_back();
        pool.workers.back().id = id;
    }
    removeFromIndex(pool, index);
    PooledWorker &worker = pool.workers[index];
    pool.totalOffer = pool.totalOffer - worker.offer + offer;
    pool.largestOffer.cpuMillis = std::max(pool.largestOffer.cpuMillis, offer.cpuMillis);
    pool.largestOffer.memoryMb = std::max(pool.largestOffer.memoryMb, offer.memoryMb);
    worker.rack = rack;
    worker.offer = offer;
    addToIndex(pool, index);
    return index;
}

void setEligible(WorkerPool &pool, WorkerIndex index, bool eligible)
{
    if (pool.workers[index].eligible == eligible) {
        return;
    }
    removeFromIndex(pool, index);
    pool.workers[index].eligible = eligible;
    addToIndex(pool, index);
}

void allocate(WorkerPool &pool, WorkerIndex index, const model::Resources &need)
{
    removeFromIndex(pool, index);
    PooledWorker &worker = pool.workers[index];
    worker.used = worker.used + need;
    ++worker.tasks;
    pool.totalUsed = pool.totalUsed + need;
    addToIndex(pool, index);
}

void release(WorkerPool &pool, WorkerIndex index, const model::Resources &need)
{
    removeFromIndex(pool, index);
    PooledWorker &worker = pool.workers[index];
    worker.used = worker.used - need;
    --worker.tasks;
    pool.totalUsed = pool.totalUsed - need;
    addToIndex(pool, index);
}
}
