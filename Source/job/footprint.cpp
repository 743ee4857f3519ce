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
constexpr std::uint64_t queueBytes = 800;
constexpr std::uint64_t serviceBytes = 300;
constexpr std::uint64_t teamBytes = 1000;
constexpr std::uint64_t keyBytes = 500;
constexpr std::uint64_t registrationBytes = 3000;
constexpr std::uint64_t labelBytes = 64;
constexpr std::uint64_t waveMachineBytes = 400;
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

std::uint64_t planBytes(const wire::PlanAcceptedT &plan)
{
    std::uint64_t bytes = textBytes(plan.text.size()) + queueBytes * plan.queues.size() + serviceBytes * plan.services.size();
    for (const auto &team : plan.teams) {
        bytes += teamBytes + keyBytes * team->keyDigests.size();
    }
    return bytes;
}

std::uint64_t upstreamBytes(const wire::UpstreamSeenT &upstream)
{
    std::uint64_t bytes = registrationBytes
        + textBytes(upstream.id.size() + upstream.address.size() + upstream.service.size() + upstream.dataCentre.size() + upstream.machine.size());
    for (const std::string &label : upstream.labels) {
        bytes += labelBytes + textBytes(label.size());
    }
    return bytes;
}

std::uint64_t waveBytes(const wire::WaveStartedT &wave)
{
    std::uint64_t bytes = waveMachineBytes;
    for (const std::string &machine : wave.machines) {
        bytes += waveMachineBytes + textBytes(machine.size());
    }
    return bytes;
}
}
