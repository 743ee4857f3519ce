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
    bool mayHaveRun = false; ///< An earlier attempt started or may have started, so the outcome can no longer be "not run".
    std::uint64_t acceptedAtMs = 0; ///< Wall clock of the leader that accepted it.
    std::uint64_t endedAtMs = 0; ///< Wall clock of the leader that recorded its end.
    std::string worker; ///< Worker of the latest attempt.
    std::uint64_t incarnation = 0; ///< Incarnation of that worker's process.
    wire::Bytes answer;
};

/** @param spec a task's specification. @return the resources that it needs on a worker. */
Resources needOf(const wire::TaskSpecT &spec);

/** @param shape a worker's registration. @return the resources that it offers. */
Resources offerOf(const wire::WorkerRegisteredT &shape);

/** Numbers of the tasks accepted under one key: a single task or all tasks of a gang. */
struct TaskRange
{
    TaskId first = 0;
    std::uint32_t count = 0;
};

/** @param bytes an answer. @return the checksum that workers state for it (XXH64, seed 0). */
std::uint64_t checksum(const wire::Bytes &bytes);

/** @param task a task. @param withAnswer whether to copy the answer. @return its representation for callers. */
wire::TaskViewT viewOf(const Task &task, bool withAnswer);

/** @param task a task. @return its representation in a snapshot. */
wire::TaskImageT imageOf(const Task &task);

/** @param image a task's representation in a snapshot. @return the task. */
Task taskOf(const wire::TaskImageT &image);

/** @param outcome an outcome. @return its stable name in bodies and documentation. */
std::string_view outcomeName(wire::Outcome outcome);

/** @param phase a phase. @return its stable name. */
std::string_view phaseName(wire::TaskPhase phase);
}
