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

struct _u_request;

namespace rosemaryturn::transport
{
/** One request as the handlers see it; valid during the handler only. */
class HttpCall
{
public:
    /** @param request the library's request. */
    explicit HttpCall(const _u_request &request);

    /** @return the body. */
    std::string_view body() const;
    /** @return the path, without the query. */
    std::string_view path() const;
    /** @return the method, such as GET. */
    std::string_view method() const;
    /** @param name a header. @return its value; empty when missing. */
    std::string header(const char *name) const;
    /** @param name a variable of the path or query. @return its value; empty when missing. */
    std::string parameter(const char *name) const;

private:
    const _u_request &m_request;
};

/** An HTTP answer with a JSON body. */
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::uint32_t retryAfterMs = 0; ///< Sent as Retry-After, in whole seconds; 0 for none.
    const char *contentType = "application/json";
};

/** One call that the server offers. */
struct HttpRoute
{
    const char *method;
    const char *path; ///< With :name for variables.
    const char *help;
    std::function<HttpResponse(const HttpCall &)> handler; ///< Runs on a thread of its connection and may wait.
};

/** What a server does with all of its calls. */
struct HttpLimits
{
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint64_t maxConnections = 1000;
    unsigned idleSeconds = 60; ///< Silence after which a connection is closed.
    std::function<HttpResponse(const HttpCall &)> defaultHandler; ///< Takes what no route does; not-found where there is none.
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
     * @param address IP number. @param port the port. @param limits the bounds. @param routes the calls.
     * @return an error, or none.
     */
    std::error_code start(const std::string &address, std::uint16_t port, const HttpLimits &limits, std::vector<HttpRoute> routes);
    /** Takes no new connections and closes each open one after its next answer. */
    void quiesce();
    /** Closes the port after the handlers returned. */
    void stop();
    /** @return requests whose handler runs now. */
    std::uint64_t inFlight() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};
}
