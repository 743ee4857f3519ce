#pragma once

#include "telemetry/metrics.h"
#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace rosemaryturn::transport
{
/** What the calls of operators, the monitoring group and the platform need besides the control thread. */
struct OperatorApiOptions
{
    std::function<bool()> ready; ///< Whether the balancer may send callers here.
    std::function<telemetry::TrafficTotals()> traffic; ///< Bytes between hosts so far.
    std::function<std::uint64_t()> syncs; ///< Disk syncs so far.
};

/** @param gateway carries the requests; outlives the routes. @param options see there. @return the calls. */
std::vector<HttpRoute> operatorRoutes(Gateway &gateway, const OperatorApiOptions &options);
}
