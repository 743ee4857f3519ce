#pragma once

#include <cstdint>

namespace rosemaryturn::telemetry
{
/** Limits the number of log lines per second and counts the dropped ones. */
class LineLimit
{
public:
    /** @param perSecond maximum number of lines per second. */
    explicit LineLimit(std::uint64_t perSecond);

    /** @param nowMs current time. @return whether a line may be written now. */
    bool admit(std::uint64_t nowMs);
    /** @return number of lines dropped since the last call. */
    std::uint64_t takeDroppedCount();
    /** @return total number of lines dropped. */
    std::uint64_t dropped() const;

private:
    std::uint64_t m_perSecond;
    std::uint64_t m_second = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};
}
