#pragma once

#include "policy/workerpool.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryturn::policy
{
/** How a task is placed among the workers that fit it, in a data centre's cell. */
enum class PlacementPolicy {
    Pack, ///< The fullest worker that still fits it.
    Spread, ///< The rack, then the worker, with the fewest tasks of the same service.
    FirstFit, ///< The first fit in order of registration; the baseline of the benchmarks.
};

/** Maximum workers scored per decision; bounds its cost independently of the size of the data centre. */
constexpr std::size_t maxScoredWorkers = 24;

/** Cost by the number of tasks of the same service on a worker's rack and on the worker itself; lower is better. */
using SpreadCost = std::function<std::uint64_t(const PooledWorker &)>;

/** A placement request. */
struct PlacementQuery
{
    model::Resources need;
    PlacementPolicy policy = PlacementPolicy::Pack;
    bool idempotent = false; ///< Workers that are being probed get only idempotent tasks.
    std::uint64_t reservation = 0; ///< The reservation that the task belongs to; 0 for none.
    bool backfill = false; ///< Whether the task ends before any reservation does and may therefore run on reserved workers.
    const std::vector<WorkerIndex> *avoid = nullptr; ///< Workers on which it failed recently.
    SpreadCost spreadCost; ///< Used by PlacementPolicy::Spread.
};

/** Chooses a worker. @param pool the workers. @param query the request. @return a worker that fits the task, or nothing. */
std::optional<WorkerIndex> chooseWorker(const WorkerPool &pool, const PlacementQuery &query);

/**
 * Chooses workers for all tasks of a gang, or for none.
 * @param pool the workers; unchanged on return.
 * @param needs resources of each task.
 * @param query policy and reservation; its need is ignored.
 * @return a worker for each task in order; empty if not all fit.
 */
std::vector<WorkerIndex> chooseWorkers(WorkerPool &pool, std::span<const model::Resources> needs, PlacementQuery query);

/** @param pool the workers. @param need an amount. @return whether it fits into the total offer of any registered worker. */
bool couldEverFit(const WorkerPool &pool, const model::Resources &need);
}
