#include "config/memorymeter.h"

#include <algorithm>

namespace rosemaryturn::config
{
namespace
{
/** Reservations are at least this large, as each takes a lock. */
constexpr std::uint64_t minReservedBytes = std::uint64_t{64} * 1024;

thread_local MemoryMeter *threadMeter = nullptr;

bool add(std::uint64_t MemoryMeter::*part, std::uint64_t bytes)
{
    if (threadMeter == nullptr) {
        return true;
    }
    MemoryMeter &meter = *threadMeter;
    if (meter.exceeded) {
        return false;
    }
    meter.*part += bytes;
    const std::uint64_t neededBytes = std::max(meter.jsonBytes + meter.requestBytes, meter.requestBytes * requestCopies);
    if (neededBytes <= meter.grantedBytes) {
        return true;
    }
    const std::uint64_t missingBytes = std::max(neededBytes - meter.grantedBytes, minReservedBytes);
    meter.exceeded = !meter.grow || !meter.grow(missingBytes);
    meter.grantedBytes += meter.exceeded ? 0 : missingBytes;
    return !meter.exceeded;
}
}

void setThreadMeter(MemoryMeter *meter)
{
    threadMeter = meter;
}

bool addJsonMemory(std::uint64_t bytes)
{
    return add(&MemoryMeter::jsonBytes, bytes);
}

bool addRequestMemory(std::uint64_t bytes)
{
    return add(&MemoryMeter::requestBytes, bytes);
}
}
