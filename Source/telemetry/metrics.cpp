#include "telemetry/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace rosemaryturn::telemetry
{
namespace
{
const std::array<double, 3> probabilities{0.5, 0.9, 0.99};
constexpr double microsPerSecond = 1e6;
constexpr std::uint64_t bytesPerKb = 1024;
}

DurationQuantiles::DurationQuantiles()
    : m_values(boost::accumulators::extended_p_square_probabilities = probabilities)
{
}

void DurationQuantiles::record(std::uint64_t milliseconds)
{
    m_values(static_cast<double>(milliseconds));
}

std::uint64_t DurationQuantiles::count() const
{
    return boost::accumulators::count(m_values);
}

double DurationQuantiles::quantile(double probability) const
{
    if (count() == 0) {
        return 0;
    }
    if (count() < probabilities.size() * 2 + 3) {
        return max(); // The estimate is not meaningful for so few samples.
    }
    return boost::accumulators::quantile(m_values, boost::accumulators::quantile_probability = probability);
}

double DurationQuantiles::max() const
{
    return count() == 0 ? 0 : boost::accumulators::max(m_values);
}

void count(Metrics &metrics, model::Reason reason)
{
    ++metrics.reasons.at(static_cast<std::size_t>(reason));
}

void RefusalCounters::count(model::Reason reason)
{
    ++m_counts.at(static_cast<std::size_t>(reason));
}

std::uint64_t RefusalCounters::value(model::Reason reason) const
{
    return m_counts.at(static_cast<std::size_t>(reason));
}

RefusalCounters &refusalCounters()
{
    static RefusalCounters counters;
    return counters;
}

ProcessUsage processUsage()
{
    ProcessUsage usage;
    rusage resourceUsage{};
    getrusage(RUSAGE_SELF, &resourceUsage);
    usage.cpuSeconds = static_cast<double>(resourceUsage.ru_utime.tv_sec + resourceUsage.ru_stime.tv_sec)
        + static_cast<double>(resourceUsage.ru_utime.tv_usec + resourceUsage.ru_stime.tv_usec) / microsPerSecond;
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (statm >> total >> resident) {
        usage.residentKb = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / bytesPerKb;
    }
    return usage;
}
}
