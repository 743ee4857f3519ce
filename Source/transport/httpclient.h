#pragma once

#include "transport/transporterror.h"

#include <cstdint>
#include <string>
#include <system_error>

namespace rosemaryturn::transport
{
/** The answer to an HTTP call. */
struct HttpResult
{
    long status = 0;
    std::string body;
};

/** One HTTP call. */
struct HttpRequest
{
    std::string method;
    std::string url;
    std::string body;
    std::uint64_t timeoutMs = 5000; ///< Of the whole call; rounded up to seconds.
};

/** Readies the HTTP library; called once, before any thread starts. */
void initialiseHttp();

/** Frees what the HTTP library holds; called once, at the end. */
void cleanupHttp();

/**
 * Makes a call on a fresh connection, so that no silent old one can swallow it.
 * @param request the call. @param error set when there is no answer.
 * @return the answer.
 */
HttpResult callHttp(const HttpRequest &request, std::error_code &error);
}
