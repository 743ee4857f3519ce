#pragma once

#include <cstdint>

namespace rosemaryturn::telemetry
{
/** Bounds how many lines a second are logged; the others are counted. */
class LineLimit
{
public:
    /** @param perSecond lines that each second may have. */
    explicit LineLimit(std::uint64_t perSecond);

    /** @param nowMs the present. @return whether a line may be written now. */
    bool admit(std::uint64_t nowMs);
    /** @return lines that were not admitted since the last call. */
    std::uint64_t takeDroppedCount();
    /** @return lines that were not admitted, in all. */
    std::uint64_t dropped() const;

private:
    std::uint64_t m_perSecond;
    std::uint64_t m_second = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};
}
