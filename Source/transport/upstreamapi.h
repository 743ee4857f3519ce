#pragma once

#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <string>
#include <vector>

namespace rosemaryturn::transport
{
/** @param gateway forwards the requests; must outlive the routes. @param dataCentre data centre of this host and its upstreams. @return routes for
 * announcements and results. */
std::vector<HttpRoute> upstreamRoutes(Gateway &gateway, const std::string &dataCentre);
}
