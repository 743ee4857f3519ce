#pragma once

#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <string>
#include <vector>

namespace rosemaryturn::transport
{
/** @param gateway carries the requests; outlives the routes. @param dataCentre of this host, to which its upstreams belong. @return the calls of upstreams. */
std::vector<HttpRoute> upstreamRoutes(Gateway &gateway, const std::string &dataCentre);
}
