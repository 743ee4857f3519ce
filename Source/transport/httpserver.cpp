#include "transport/httpserver.h"

#include "model/reason.h"
#include "transport/requestjson.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <ulfius.h>

#include <list>

namespace rosemaryturn::transport
{
namespace
{
constexpr intptr_t threadStackBytes = 256L * 1024L;

/** User data of the library callback of a route. */
struct RouteContext
{
    HttpRoute route;
    std::uint64_t maxBodyBytes = 0;
    std::atomic<std::uint64_t> *inFlight = nullptr;
    std::atomic<bool> *quiescing = nullptr;
};

void send(_u_response &response, const HttpResponse &answer)
{
    constexpr std::uint32_t msPerSecond = 1000;
    ulfius_set_binary_body_response(&response, answer.status, answer.body.data(), answer.body.size());
    u_map_put(response.map_header, "Content-Type", answer.contentType);
    if (answer.retryAfterMs > 0) {
        const std::string seconds = std::to_string((answer.retryAfterMs + msPerSecond - 1) / msPerSecond);
        u_map_put(response.map_header, "Retry-After", seconds.c_str());
    }
}

int handleRoute(const _u_request *request, _u_response *response, void *data)
{
    RouteContext &context = *static_cast<RouteContext *>(data);
    ++*context.inFlight;
    if (request->binary_body_length > context.maxBodyBytes) {
        send(*response, refuseAtEdge(model::Reason::BodyTooLarge, "send at most " + std::to_string(context.maxBodyBytes) + " bytes"));
    } else {
        send(*response, context.route.handler(HttpCall(*request)));
    }
    if (*context.quiescing) {
        u_map_put(response->map_header, "Connection", "close");
    }
    --*context.inFlight;
    return U_CALLBACK_COMPLETE;
}

int handleUnknown(const _u_request *, _u_response *response, void *)
{
    send(*response, refuseAtEdge(model::Reason::NotFound, "unknown path or method; see docs/PROTOCOL.md"));
    return U_CALLBACK_COMPLETE;
}
}

struct HttpServer::Implementation
{
    _u_instance instance{};
    sockaddr_in address{};
    std::list<RouteContext> routes;
    std::atomic<std::uint64_t> inFlight{0};
    std::atomic<bool> quiescing{false};
    bool running = false;
    int listener = -1;
};

HttpCall::HttpCall(const _u_request &request)
    : m_request(request)
{
}

std::string_view HttpCall::body() const
{
    return {static_cast<const char *>(m_request.binary_body), m_request.binary_body_length};
}

std::string_view HttpCall::path() const
{
    const std::string_view url = m_request.url_path == nullptr ? "" : m_request.url_path;
    return url.substr(0, url.find('?'));
}

std::string_view HttpCall::method() const
{
    return m_request.http_verb == nullptr ? "" : m_request.http_verb;
}

std::string HttpCall::header(const char *name) const
{
    const char *value = u_map_get_case(m_request.map_header, name);
    return value == nullptr ? "" : value;
}

std::string HttpCall::parameter(const char *name) const
{
    const char *value = u_map_get(m_request.map_url, name);
    return value == nullptr ? "" : value;
}

HttpServer::HttpServer()
    : m_implementation(std::make_unique<Implementation>())
{
}

HttpServer::~HttpServer()
{
    stop();
}

std::error_code HttpServer::start(const std::string &address, std::uint16_t port, const HttpLimits &limits, std::vector<HttpRoute> routes)
{
    Implementation &server = *m_implementation;
    server.address.sin_family = AF_INET;
    server.address.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &server.address.sin_addr);
    if (ulfius_init_instance(&server.instance, port, &server.address, nullptr) != U_OK) {
        return TransportError::ListenFailed;
    }
    // One byte above the limit distinguishes an oversized body from one of exactly the maximum size.
    server.instance.max_post_body_size = limits.maxBodyBytes + 1;
    server.instance.check_utf8 = 0; // The JSON parser rejects invalid UTF-8 with a specific error.
    server.instance.allowed_post_processor = U_POST_PROCESS_NONE;
    server.instance.timeout = limits.idleSeconds;
    for (HttpRoute &route : routes) {
        server.routes.push_back({std::move(route), limits.maxBodyBytes, &server.inFlight, &server.quiescing});
        RouteContext &context = server.routes.back();
        ulfius_add_endpoint_by_val(&server.instance, context.route.method, nullptr, context.route.path, 0, handleRoute, &context);
    }
    if (limits.defaultHandler) {
        server.routes.push_back({{"*", "*", "", limits.defaultHandler}, limits.maxBodyBytes, &server.inFlight, &server.quiescing});
        ulfius_set_default_endpoint(&server.instance, handleRoute, &server.routes.back());
    } else {
        ulfius_set_default_endpoint(&server.instance, handleUnknown, nullptr);
    }
    // One thread per connection: a caller that waits for its response blocks only its own thread.
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC;
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &server.address},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(limits.maxConnections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(limits.idleSeconds), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    };
    if (ulfius_start_framework_with_mhd_options(&server.instance, flags, options) != U_OK) {
        ulfius_clean_instance(&server.instance);
        return TransportError::ListenFailed;
    }
    server.running = true;
    return {};
}

void HttpServer::quiesce()
{
    m_implementation->quiescing = true;
    if (m_implementation->running && m_implementation->listener < 0) {
        m_implementation->listener = MHD_quiesce_daemon(m_implementation->instance.mhd_daemon);
    }
}

void HttpServer::stop()
{
    if (!m_implementation->running) {
        return;
    }
    m_implementation->running = false;
    ulfius_stop_framework(&m_implementation->instance);
    ulfius_clean_instance(&m_implementation->instance);
    if (m_implementation->listener >= 0) {
        ::close(m_implementation->listener);
    }
}

std::uint64_t HttpServer::inFlight() const
{
    return m_implementation->inFlight;
}
}
