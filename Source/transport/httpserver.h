#pragma once

#include "transport/transporterror.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace rosemaryturn::transport
{
class ClientTable;
struct ReceivedRequest;

/** A received request; valid only while its handler runs. */
class HttpCall
{
public:
    /** @param request the request as received. */
    explicit HttpCall(const ReceivedRequest &request);

    /** @return the body. */
    std::string_view body() const;
    /** @return the path, without the query. */
    std::string_view path() const;
    /** @return the method, such as GET. */
    std::string_view method() const;
    /** @param name header name, case-insensitive. @return its value; empty if absent. */
    std::string header(const char *name) const;
    /** @param name name of a path variable or query parameter. @return its value; empty if absent. */
    std::string parameter(const char *name) const;

private:
    const ReceivedRequest &m_request;
};

/** Response of a handler; the body is JSON by default. */
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::uint32_t retryAfterMs = 0; ///< Sent as Retry-After, rounded up to seconds; 0 omits the header.
    const char *contentType = "application/json";
    std::shared_ptr<const std::string> sharedBody = {}; ///< Sent in place of the body if set; several responses may share it.
};

/** A method and path that the server handles. */
struct HttpRoute
{
    const char *method;
    const char *path; ///< Path pattern; `:name` marks a variable.
    const char *help; ///< One-line description.
    std::function<HttpResponse(const HttpCall &)> handler; ///< Runs on the thread of its connection and may block.
};

/** Limits and defaults that apply to all routes of a server. Connections and bodies in total are limited by the client table. */
struct HttpLimits
{
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint64_t maxConnections = 1000; ///< Open connections, if the server has a client table of its own.
    std::shared_ptr<ClientTable> clients; ///< Table shared by the servers of a process; if empty, the server has its own.
    unsigned idleSeconds = 60; ///< Idle time after which a connection is closed.
    std::function<HttpResponse(const HttpCall &)> defaultHandler; ///< Handles requests that match no route; if empty, they are refused as not-found.
};

/** The HTTP server of a process. */
class HttpServer
{
public:
    HttpServer();
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /**
     * Opens the port and serves the routes.
     * @param address IPv4 address. @param port the port. @param limits the limits. @param routes the routes.
     * @return an error, or none.
     */
    std::error_code start(const std::string &address, std::uint16_t port, const HttpLimits &limits, std::vector<HttpRoute> routes);
    /** Stops accepting connections and closes each open one after its next response. */
    void quiesce();
    /** Waits for running handlers, then closes the port. */
    void stop();
    /** @return the number of requests being handled. */
    std::uint64_t inFlight() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};
}
