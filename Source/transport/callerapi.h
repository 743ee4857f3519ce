#pragma once

#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryturn::transport
{
/** Options of the HTTP API for callers. */
struct CallerApiOptions
{
    std::string environment; ///< Default environment of requests that do not specify one.
    std::uint64_t maxWaitMs = 60000; ///< Upper bound of the wait that a caller may request.
};

/** @param gateway forwards the requests; must outlive the routes. @param options the options. @return routes to submit, query and cancel tasks. */
std::vector<HttpRoute> callerRoutes(Gateway &gateway, const CallerApiOptions &options);
}
