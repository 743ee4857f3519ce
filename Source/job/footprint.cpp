#include "job/footprint.h"

namespace rosemaryturn::job
{
namespace
{
constexpr std::uint64_t jobBytes = 2000;
constexpr std::uint64_t stepBytes = 1500;
constexpr std::uint64_t predecessorBytes = 40;
constexpr std::uint64_t taskBytes = 64;
/** Of a task that saves its progress: its checkpoint is a text of its own, and no other task shares its part of a snapshot. */
constexpr std::uint64_t checkpointingTaskBytes = 512;
/** Copies of a text: one in the state, the others in snapshots. */
constexpr std::uint64_t textCopies = 8;
}

std::uint64_t textBytes(std::size_t length)
{
    return textCopies * length;
}

std::uint64_t specBytes(const wire::JobSpecT &spec)
{
    std::uint64_t bytes = jobBytes + textBytes(spec.id.size() + spec.host.size() + spec.prefix.size() + spec.payload.size() + spec.team.size());
    for (const auto &step : spec.steps) {
        bytes += stepBytes + predecessorBytes * step->after.size() + textBytes(step->label.size() + step->dataRack.size() + step->image.size());
    }
    return bytes;
}

std::uint64_t occurrenceBytes(const wire::JobSpecT &spec)
{
    std::uint64_t bytes = 0;
    for (const auto &step : spec.steps) {
        bytes += stepBytes + std::uint64_t{step->count} * (step->checkpointing ? checkpointingTaskBytes : taskBytes);
    }
    return bytes;
}

std::uint64_t acceptedBytes(const wire::JobSpecT &spec)
{
    return specBytes(spec) + occurrenceBytes(spec);
}
}
