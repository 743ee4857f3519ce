#include "model/task.h"

#include <xxhash.h>

#include <array>

namespace rosemaryturn::model
{
Resources needOf(const wire::TaskSpecT &spec)
{
    return {spec.cpuMillis, spec.memoryMb, spec.accelerators, 1};
}

Resources offerOf(const wire::WorkerRegisteredT &shape)
{
    return {shape.cpuMillis, shape.memoryMb, shape.accelerators, shape.slots};
}

std::uint64_t checksum(const wire::Bytes &bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

wire::TaskViewT viewOf(const Task &task, bool withAnswer)
{
    wire::TaskViewT view;
    view.key = task.spec.key;
    view.task = task.id;
    view.phase = task.phase;
    view.outcome = task.outcome;
    view.reason = static_cast<std::uint16_t>(task.reason);
    view.attempt = task.attempt;
    view.worker = task.worker;
    if (withAnswer) {
        view.answer = task.answer;
    }
    return view;
}

wire::TaskImageT imageOf(const Task &task)
{
    wire::TaskImageT image;
    image.id = task.id;
    image.phase = task.phase;
    image.attempt = task.attempt;
    image.outcome = task.outcome;
    image.reason = static_cast<std::uint16_t>(task.reason);
    image.cancelled = task.cancelled;
    image.mayHaveRun = task.mayHaveRun;
    image.acceptedAtMs = task.acceptedAtMs;
    image.endedAtMs = task.endedAtMs;
    image.worker = task.worker;
    image.incarnation = task.incarnation;
    image.answer = task.answer;
    image.spec = std::make_unique<wire::TaskSpecT>(task.spec);
    return image;
}

Task taskOf(const wire::TaskImageT &image)
{
    Task task;
    task.id = image.id;
    task.phase = image.phase;
    task.attempt = image.attempt;
    task.outcome = image.outcome;
    task.reason = static_cast<Reason>(image.reason);
    task.cancelled = image.cancelled;
    task.mayHaveRun = image.mayHaveRun;
    task.acceptedAtMs = image.acceptedAtMs;
    task.endedAtMs = image.endedAtMs;
    task.worker = image.worker;
    task.incarnation = image.incarnation;
    task.answer = image.answer;
    if (image.spec) {
        task.spec = *image.spec;
    }
    return task;
}

std::string_view outcomeName(wire::Outcome outcome)
{
    constexpr std::array<std::string_view, 6> names{"none", "answered", "failed", "stopped", "not-run", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

std::string_view phaseName(wire::TaskPhase phase)
{
    constexpr std::array<std::string_view, 3> names{"queued", "dispatched", "ended"};
    return names.at(static_cast<std::size_t>(phase));
}
}
