#pragma once

#include "model/resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/** Scheduling decisions as free functions on plain structs, without clock access or I/O. */
namespace rosemaryturn::policy
{
/** Index of a worker in its pool; stable for the lifetime of the pool. */
using WorkerIndex = std::uint32_t;

/** State of one worker, as used by placement. */
struct PooledWorker
{
    std::string id;
    std::string rack;
    model::Resources offer;
    model::Resources used; ///< Used by tasks that run, may still run or were just placed.
    bool eligible = false; ///< May get new tasks.
    bool probing = false; ///< Gets one idempotent task at a time.
    std::uint64_t reservedFor = 0; ///< Gang for which it is reserved; 0 for none.
    std::uint32_t tasks = 0; ///< Tasks counted in used.
};

/** All workers of a data centre, indexed by their free processor time. */
struct WorkerPool
{
    std::vector<PooledWorker> workers;
    std::unordered_map<std::string, WorkerIndex> byId;
    std::set<std::pair<std::uint64_t, WorkerIndex>> withoutAccelerators; ///< Eligible workers without accelerators, by free cpuMillis.
    std::set<std::pair<std::uint64_t, WorkerIndex>> withAccelerators; ///< Eligible workers with accelerators.
    model::Resources totalOffer; ///< Of all workers, eligible or not.
    model::Resources totalUsed;
    model::Resources largestOffer; ///< Maximum processor time and memory that any worker has offered.
};

/** Adds a worker or changes its shape. @param pool the pool. @param id its name. @param rack its rack. @param offer its resources. @return its index. */
WorkerIndex upsertWorker(WorkerPool &pool, const std::string &id, const std::string &rack, const model::Resources &offer);

/** @param pool the pool. @param id a worker's name. @return its index, or nothing. */
std::optional<WorkerIndex> findWorker(const WorkerPool &pool, const std::string &id);

/** Sets whether a worker may get new tasks. @param pool the pool. @param index the worker. @param eligible the new state. */
void setEligible(WorkerPool &pool, WorkerIndex index, bool eligible);

/** Adds a task's resources to a worker's usage. @param pool the pool. @param index the worker. @param need resources of the task. */
void allocate(WorkerPool &pool, WorkerIndex index, const model::Resources &need);

/** Removes a task's resources from a worker's usage; only after a confirmed stop or the end of the task's lease. @param pool the pool. @param index the worker.
 * @param need resources of the task. */
void release(WorkerPool &pool, WorkerIndex index, const model::Resources &need);

/** @param worker a worker. @return its free resources. */
model::Resources freeOf(const PooledWorker &worker);
}
