#include "policy/workerplacement.h"

#include <algorithm>
#include <limits>

namespace rosemaryturn::policy
{
namespace
{
using FreeIndex = std::set<std::pair<std::uint64_t, WorkerIndex>>;

bool isFeasible(const PooledWorker &worker, WorkerIndex index, const PlacementQuery &query)
{
    if (!worker.eligible || !model::fits(query.need, freeOf(worker))) {
        return false;
    }
    if (worker.reservedFor != 0 && worker.reservedFor != query.reservation && !query.backfill) {
        return false;
    }
    if (worker.probing && (!query.idempotent || worker.tasks > 0)) {
        return false;
    }
    return query.avoid == nullptr || std::find(query.avoid->begin(), query.avoid->end(), index) == query.avoid->end();
}

double fraction(std::uint64_t amount, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(total);
}

/** @return cost by the remaining capacity and its imbalance; a worker that is full in only one resource wastes the others. */
double packCost(const PooledWorker &worker, const model::Resources &need)
{
    const model::Resources rest = freeOf(worker) - need;
    const double cpu = fraction(rest.cpuMillis, worker.offer.cpuMillis);
    const double memory = fraction(rest.memoryMb, worker.offer.memoryMb);
    return cpu + memory + std::abs(cpu - memory);
}

std::optional<WorkerIndex> choosePackedWorker(const WorkerPool &pool, const FreeIndex &index, const PlacementQuery &query)
{
    std::optional<WorkerIndex> best;
    double bestCost = std::numeric_limits<double>::max();
    std::size_t scored = 0;
    for (auto at = index.lower_bound({query.need.cpuMillis, 0}); at != index.end() && scored < maxScoredWorkers; ++at) {
        const PooledWorker &worker = pool.workers[at->second];
        if (!isFeasible(worker, at->second, query)) {
            continue;
        }
        ++scored;
        const double cost = packCost(worker, query.need);
        if (cost < bestCost) {
            bestCost = cost;
            best = at->second;
        }
    }
    return best;
}

std::optional<WorkerIndex> chooseSpreadWorker(const WorkerPool &pool, const FreeIndex &index, const PlacementQuery &query)
{
    std::optional<WorkerIndex> best;
    std::uint64_t bestCost = std::numeric_limits<std::uint64_t>::max();
    std::size_t scored = 0;
    for (auto at = index.rbegin(); at != index.rend() && at->first >= query.need.cpuMillis && scored < maxScoredWorkers; ++at) {
        const PooledWorker &worker = pool.workers[at->second];
        if (!isFeasible(worker, at->second, query)) {
            continue;
        }
        ++scored;
        const std::uint64_t cost = query.spreadCost ? query.spreadCost(worker) : 0;
        if (cost < bestCost) {
            bestCost = cost;
            best = at->second;
        }
    }
    return best;
}

std::optional<WorkerIndex> chooseFirstWorker(const WorkerPool &pool, const PlacementQuery &query)
{
    for (WorkerIndex index = 0; index < pool.workers.size(); ++index) {
        if (isFeasible(pool.workers[index], index, query)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<WorkerIndex> chooseIndexedWorker(const WorkerPool &pool, const FreeIndex &index, const PlacementQuery &query)
{
    return query.policy == PlacementPolicy::Spread ? chooseSpreadWorker(pool, index, query) : choosePackedWorker(pool, index, query);
}
}

std::optional<WorkerIndex> chooseWorker(const WorkerPool &pool, const PlacementQuery &query)
{
    if (query.policy == PlacementPolicy::FirstFit) {
        return chooseFirstWorker(pool, query);
    }
    if (query.need.accelerators == 0) {
        // Tasks without accelerators use the scarce workers with accelerators only if no other worker fits them.
        if (const auto found = chooseIndexedWorker(pool, pool.withoutAccelerators, query)) {
            return found;
        }
    }
    return chooseIndexedWorker(pool, pool.withAccelerators, query);
}

std::vector<WorkerIndex> chooseWorkers(WorkerPool &pool, std::span<const model::Resources> needs, PlacementQuery query)
{
    std::vector<WorkerIndex> chosen;
    for (const model::Resources &need : needs) {
        query.need = need;
        const auto worker = chooseWorker(pool, query);
        if (!worker) {
            break;
        }
        allocate(pool, *worker, need);
        chosen.push_back(*worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        release(pool, chosen[i], needs[i]);
    }
    if (chosen.size() < needs.size()) {
        chosen.clear();
    }
    return chosen;
}

bool couldEverFit(const WorkerPool &pool, const model::Resources &need)
{
    return std::any_of(pool.workers.begin(), pool.workers.end(), [&need](const PooledWorker &worker) {
        return model::fits(need, worker.offer);
    });
}
}
