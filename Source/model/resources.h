#pragma once

#include <cstdint>

namespace rosemaryturn::model
{
/** Amounts of resources that a worker offers or a task needs. */
struct Resources
{
    std::uint64_t cpuMillis = 0; ///< Thousandths of a processor core.
    std::uint64_t memoryMb = 0; ///< Mebibytes of memory.
    std::uint64_t accelerators = 0; ///< Whole accelerators.
    std::uint64_t slots = 0; ///< Concurrent tasks.

    bool operator==(const Resources &) const = default;
};

/** @param need required resources. @param offer available resources. @return whether the need fits into the offer. */
bool fits(const Resources &need, const Resources &offer);

/** @param a one amount. @param b another. @return the sum. */
Resources operator+(const Resources &a, const Resources &b);

/** @param a one amount. @param b the amount to subtract. @return the difference, at least zero for each resource. */
Resources operator-(const Resources &a, const Resources &b);
}
