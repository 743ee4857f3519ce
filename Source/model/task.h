#pragma once

#include "model/reason.h"
#include "model/resources.h"
#include "wire/codec.h"

#include <cstdint>
#include <string>

namespace rosemaryturn::model
{
/** Number of a task within its data centre. */
using TaskId = std::uint64_t;

/** The replicated state of one accepted task. */
struct Task
{
    TaskId id = 0;
    wire::TaskSpecT spec;
    wire::TaskPhase phase = wire::TaskPhase::Queued;
    std::uint32_t attempt = 0; ///< Number of the latest attempt; 0 before the first.
    wire::Outcome outcome = wire::Outcome::None;
    Reason reason = Reason::None;
    bool cancelled = false;
    bool mayHaveRun = false; ///< An earlier attempt began or may have; "not run" would not be true any more.
    std::uint64_t acceptedAtMs = 0; ///< Wall clock of the leader that accepted it.
    std::uint64_t endedAtMs = 0; ///< Wall clock of the leader that recorded its end.
    std::string worker; ///< Worker of the latest attempt.
    std::uint64_t incarnation = 0; ///< Incarnation of that worker's process.
    wire::Bytes answer;
};

/** @param spec a task's declaration. @return what it takes on a worker. */
Resources needOf(const wire::TaskSpecT &spec);

/** @param shape a worker's registration. @return what it offers. */
Resources offerOf(const wire::WorkerRegisteredT &shape);

/** Numbers of the tasks that one key accepted: one, or all of a gang. */
struct TaskRange
{
    TaskId first = 0;
    std::uint32_t count = 0;
};

/** @param bytes an answer. @return the checksum that workers state for it (XXH64, seed 0). */
std::uint64_t checksum(const wire::Bytes &bytes);

/** @param task a task. @param withAnswer whether to copy the answer. @return what callers see of it. */
wire::TaskViewT viewOf(const Task &task, bool withAnswer);

/** @param task a task. @return its form in a snapshot. */
wire::TaskImageT imageOf(const Task &task);

/** @param image a task's form in a snapshot. @return the task. */
Task taskOf(const wire::TaskImageT &image);

/** @param outcome an outcome. @return its stable name in bodies and docs. */
std::string_view outcomeName(wire::Outcome outcome);

/** @param phase a phase. @return its stable name. */
std::string_view phaseName(wire::TaskPhase phase);
}
