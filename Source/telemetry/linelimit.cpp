#include "telemetry/linelimit.h"

namespace rosemaryturn::telemetry
{
LineLimit::LineLimit(std::uint64_t perSecond)
    : m_perSecond(perSecond)
{
}

bool LineLimit::admit(std::uint64_t nowMs)
{
    constexpr std::uint64_t msPerSecond = 1000;
    if (nowMs / msPerSecond != m_second) {
        m_second = nowMs / msPerSecond;
        m_admitted = 0;
    }
    if (m_admitted < m_perSecond) {
        ++m_admitted;
        return true;
    }
    ++m_dropped;
    return false;
}

std::uint64_t LineLimit::takeDroppedCount()
{
    const std::uint64_t unreported = m_dropped - m_reported;
    m_reported = m_dropped;
    return unreported;
}

std::uint64_t LineLimit::dropped() const
{
    return m_dropped;
}
}
