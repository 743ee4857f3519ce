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

/** Decisions as free functions over plain structs; nothing here reads a clock or does I/O. */
namespace rosemaryturn::policy
{
/** Position of a worker in its pool; it stays the same while the pool lives. */
using WorkerIndex = std::uint32_t;

/** What placement knows of one worker. */
struct PooledWorker
{
    std::string id;
    std::string rack;
    model::Resources offer;
    model::Resources used; ///< By tasks that run, may still run, or were just placed.
    bool eligible = false; ///< May get new work now.
    bool probing = false; ///< Gets one idempotent task at a time.
    std::uint64_t reservedFor = 0; ///< Gang reservation that withholds it; 0 for none.
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
    model::Resources largestOffer; ///< Most of each resource that any worker ever offered.
};

/** Adds a worker or changes its shape. @param pool the pool. @param id its name. @param rack its rack. @param offer what it offers. @return its position. */
WorkerIndex upsertWorker(WorkerPool &pool, const std::string &id, const std::string &rack, const model::Resources &offer);

/** @param pool the pool. @param id a worker's name. @return its position, or nothing. */
std::optional<WorkerIndex> findWorker(const WorkerPool &pool, const std::string &id);

/** Says whether a worker may get new work. @param pool the pool. @param index the worker. @param eligible the new state. */
void setEligible(WorkerPool &pool, WorkerIndex index, bool eligible);

/** Counts a task onto a worker. @param pool the pool. @param index the worker. @param need what the task takes. */
void allocate(WorkerPool &pool, WorkerIndex index, const model::Resources &need);

/** Takes a task off a worker, after a confirmed stop or the end of its lease only. @param pool the pool. @param index the worker. @param need what the task
 * took. */
void release(WorkerPool &pool, WorkerIndex index, const model::Resources &need);

/** @param worker a worker. @return what it has left. */
model::Resources freeOf(const PooledWorker &worker);
}
