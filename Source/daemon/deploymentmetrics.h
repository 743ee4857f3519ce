#pragma once

#include "deployment/host.h"
#include "telemetry/metrics.h"
#include "transport/clienttable.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace rosemaryturn::daemon
{
/** Holds the metrics of a host as text; written by the control thread, readable from any thread. */
class DeploymentMetrics
{
public:
    /** @param host the host. @param traffic traffic of its peer connections. @param syncs number of journal syncs. @param linesDropped number of suppressed log
     * lines. */
    void update(const deployment::Host &host, const telemetry::TrafficTotals &traffic, std::uint64_t syncs, std::uint64_t linesDropped);
    /** @return one line per metric: NAME VALUE. */
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::string m_text;
};

/** @param clients the connections of clients. @return one line per metric: NAME VALUE. */
std::string clientMetrics(const transport::ClientTable &clients);
}
