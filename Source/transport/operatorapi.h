#pragma once

#include "telemetry/metrics.h"
#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace rosemaryturn::transport
{
/** Data sources outside the control thread for the API of operators, the monitoring group and the platform. */
struct OperatorApiOptions
{
    std::function<bool()> ready; ///< Whether the load balancer may route callers to this host.
    std::function<telemetry::TrafficTotals()> traffic; ///< Traffic between hosts since the process started.
    std::function<std::uint64_t()> syncs; ///< Number of disk syncs since the process started.
};

/** @param gateway forwards the requests; must outlive the routes. @param options the data sources. @return routes for configuration, verdicts, status, metrics
 * and health. */
std::vector<HttpRoute> operatorRoutes(Gateway &gateway, const OperatorApiOptions &options);
}
