#pragma once

#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryturn::transport
{
/** What the calls of callers need to know. */
struct CallerApiOptions
{
    std::string environment; ///< Meant by a submission that names none.
    std::uint64_t maxWaitMs = 60000;
};

/** @param gateway carries the requests; outlives the routes. @param options see there. @return the calls of callers: submit, ask, cancel. */
std::vector<HttpRoute> callerRoutes(Gateway &gateway, const CallerApiOptions &options);
}
