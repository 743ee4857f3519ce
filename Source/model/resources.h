#pragma once

#include <cstdint>

namespace rosemaryturn::model
{
/** An amount of what a worker offers and a task needs. */
struct Resources
{
    std::uint64_t cpuMillis = 0; ///< Thousandths of a processor core.
    std::uint64_t memoryMb = 0; ///< Mebibytes of memory.
    std::uint64_t accelerators = 0; ///< Whole accelerators.
    std::uint64_t slots = 0; ///< Tasks side by side.

    bool operator==(const Resources &) const = default;
};

/** @param need what is asked for. @param offer what is there. @return whether the offer holds the need. */
bool fits(const Resources &need, const Resources &offer);

/** @param a one amount. @param b another. @return both together. */
Resources operator+(const Resources &a, const Resources &b);

/** @param a one amount. @param b what is taken off. @return the rest; each part stops at zero. */
Resources operator-(const Resources &a, const Resources &b);
}
