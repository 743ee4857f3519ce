#pragma once

#include "model/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

/** State machines of the control thread: replicated states and the decisions of their leaders. */
namespace rosemaryturn::control
{
/** Starts the name that a task's worker has while another data centre runs it. */
constexpr char spillPrefix = '@';

/** The replicated state of a data centre's cell; changed by apply() only. */
struct CellState
{
    model::TaskId nextTask = 1;
    std::unordered_map<model::TaskId, model::Task> tasks;
    std::unordered_map<std::string, model::TaskRange> keys;
    std::map<std::string, wire::WorkerRegisteredT> workers;
    std::unordered_map<std::uint64_t, wire::ClosedKey> closed; ///< Ended requests whose answers are gone, by the hash of their key.
    std::deque<std::uint64_t> closedOrder; ///< Their hashes, first closed first.
};

/** What a record changed, for the leader's own bookkeeping. */
struct ApplyResult
{
    std::vector<model::TaskId> accepted;
    std::vector<model::TaskId> dispatched;
    std::vector<model::TaskId> requeued;
    std::vector<model::TaskId> ended;
    std::vector<model::TaskId> cancelled; ///< Still running when cancelled.
    std::vector<model::TaskId> rejected; ///< Placements that no longer apply.
    std::vector<std::string> workers; ///< Registered, changed or removed.
};

/**
 * Applies one committed record.
 * @param state the state.
 * @param record the record; one that does not fit the state changes nothing.
 * @return what it changed.
 */
ApplyResult apply(CellState &state, const wire::RecordT &record);

/** @param state the state. @return its snapshot. */
wire::Bytes encodeImage(const CellState &state);

/** @param image a snapshot; empty for the state of a new cell. @return the state. */
CellState decodeCellImage(const wire::Bytes &image);

/** @param state the state. @param key a request's key. @return what is left of it once its answer is gone; null when it is not closed. */
const wire::ClosedKey *findClosedKey(const CellState &state, const std::string &key);

/** @param state the state. @param key a request's key. @return its tasks in order; empty when the key is unknown. */
std::vector<const model::Task *> tasksOf(const CellState &state, const std::string &key);
}
