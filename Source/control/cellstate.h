#pragma once

#include "model/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/** State machines of the control thread: replicated states and the decisions of their leaders. */
namespace rosemaryturn::control
{
/** Prefix of Task::worker while the task is spilled; the name of the other data centre follows. */
constexpr char spillPrefix = '@';

/** Replicated state of a data centre's cell; modified only by apply(). */
struct CellState
{
    model::TaskId nextTask = 1;
    std::unordered_map<model::TaskId, model::Task> tasks;
    std::unordered_map<std::string, model::TaskRange> keys;
    std::map<std::string, wire::WorkerRegisteredT> workers;
    std::unordered_map<std::uint64_t, wire::ClosedKey> closed; ///< Ended requests whose answers are dropped, by hash of their key.
    std::deque<std::uint64_t> closedOrder; ///< Hashes of the closed keys, oldest first.
};

/** Changes made by a record, from which the leader updates its own state. */
struct ApplyResult
{
    std::vector<model::TaskId> accepted;
    std::vector<model::TaskId> dispatched;
    std::vector<model::TaskId> requeued;
    std::vector<model::TaskId> ended;
    std::vector<model::TaskId> cancelled; ///< Still running when cancelled.
    std::vector<model::TaskId> rejected; ///< Tasks whose placement no longer applies.
    std::vector<std::string> workers; ///< Registered, changed or removed.
};

/**
 * Applies one committed record.
 * @param state the state.
 * @param record the record; ignored when it does not match the state.
 * @return the changes made.
 */
ApplyResult apply(CellState &state, const wire::RecordT &record);

/** @param state the state. @return the encoded snapshot. */
wire::Bytes encodeImage(const CellState &state);

/** @param image an encoded snapshot; empty for the state of a new cell. @return the state; nothing if the snapshot can't be read. */
std::optional<CellState> decodeCellImage(std::span<const std::uint8_t> image);

/** @param state the state. @param key a request's key. @return the entry retained after its answer was dropped; null when the key is not closed. */
const wire::ClosedKey *findClosedKey(const CellState &state, const std::string &key);

/** @param state the state. @param key a request's key. @return its tasks ordered by id; empty when the key is unknown. */
std::vector<const model::Task *> tasksOf(const CellState &state, const std::string &key);
}
