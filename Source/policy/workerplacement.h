#pragma once

#include "policy/workerpool.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryturn::policy
{
/** How a kind of work chooses among workers that can hold it. */
enum class PlacementPolicy {
    Pack, ///< The fullest worker that still holds it.
    Spread, ///< The rack, then the worker, with the fewest tasks of the same service.
    FirstFit, ///< The first in the order of registration; the baseline of the benchmarks.
};

/** Most workers that one decision scores; bounds its cost whatever the size of the data centre. */
constexpr std::size_t maxScoredWorkers = 24;

/** Counts how many tasks of the same service a worker's rack and the worker itself hold; lower is better. */
using SpreadCost = std::function<std::uint64_t(const PooledWorker &)>;

/** One placement question. */
struct PlacementQuery
{
    model::Resources need;
    PlacementPolicy policy = PlacementPolicy::Pack;
    bool idempotent = false; ///< Only idempotent work goes to a worker that is probed.
    std::uint64_t reservation = 0; ///< The reservation the work belongs to; 0 for none.
    bool backfill = false; ///< Ends before any reservation does, so that it may use withheld workers.
    const std::vector<WorkerIndex> *avoid = nullptr; ///< Workers that just failed it.
    SpreadCost spreadCost; ///< For Spread.
};

/** Chooses a worker. @param pool the workers. @param query the question. @return a worker that holds the need, or nothing. */
std::optional<WorkerIndex> chooseWorker(const WorkerPool &pool, const PlacementQuery &query);

/**
 * Chooses workers for all tasks of a gang, or for none.
 * @param pool the workers; unchanged on return.
 * @param needs what each task takes.
 * @param query policy and reservation; its need is ignored.
 * @return a worker for each task in order, or empty.
 */
std::vector<WorkerIndex> chooseWorkers(WorkerPool &pool, std::span<const model::Resources> needs, PlacementQuery query);

/** @param pool the workers. @param need an amount. @return whether any registered worker, empty, could hold it. */
bool couldEverFit(const WorkerPool &pool, const model::Resources &need);
}
