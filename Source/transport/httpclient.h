#pragma once

#include "transport/transporterror.h"

#include <cstdint>
#include <string>
#include <system_error>

namespace rosemaryturn::transport
{
/** Response to an HTTP request. */
struct HttpResult
{
    long status = 0;
    std::string body;
};

/** An HTTP request to send. */
struct HttpRequest
{
    std::string method;
    std::string url;
    std::string body;
    std::uint64_t timeoutMs = 5000; ///< Total time of the request; rounded up to whole seconds.
};

/** Initialises the HTTP library; call once, before any thread starts. */
void initialiseHttp();

/** Releases the resources of the HTTP library; call once, before the process exits. */
void cleanupHttp();

/**
 * Sends a request on a new connection, so that it cannot be lost on a stale one. Blocks until the response arrives.
 * @param request the request. @param error set when there is no response.
 * @return the response.
 */
HttpResult callHttp(const HttpRequest &request, std::error_code &error);
}
