#include "transport/httpserver.h"

#include "model/reason.h"
#include "transport/clienttable.h"
#include "transport/requestjson.h"

#include <arpa/inet.h>
#include <strings.h>
#include <unistd.h>

#include <microhttpd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>

namespace rosemaryturn::transport
{
/** A received request and the variables of its path. */
struct ReceivedRequest
{
    MHD_Connection *connection = nullptr;
    std::string_view target; ///< Not unescaped.
    std::string_view method;
    std::string_view body;
    std::map<std::string, std::string, std::less<>> variables;
};

namespace
{
constexpr intptr_t threadStackBytes = 256L * 1024L;
/** Connections beyond the limit that the library may hold: those that the table closed and whose threads have not ended yet. */
constexpr std::uint64_t maxClosingConnections = 64;
constexpr std::uint32_t refusedRetryMs = 1000;

std::string_view withoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/** @return the next segment of a path, which is removed from it together with its slash. */
std::string_view takeSegment(std::string_view &path)
{
    if (path.starts_with('/')) {
        path.remove_prefix(1);
    }
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(end);
    return segment;
}

/** @return whether a path matches a pattern. @param variables receives the path variables. */
bool matches(std::string_view pattern, std::string_view path, std::map<std::string, std::string, std::less<>> &variables)
{
    while (!pattern.empty() && !path.empty()) {
        const std::string_view expected = takeSegment(pattern);
        const std::string_view segment = takeSegment(path);
        if (expected.starts_with(':')) {
            std::string value(segment);
            MHD_http_unescape(value.data());
            value.resize(value.find('\0') == std::string::npos ? value.size() : value.find('\0'));
            variables[std::string(expected.substr(1))] = std::move(value);
        } else if (expected != segment) {
            return false;
        }
    }
    return pattern.empty() && (path.empty() || path == "/");
}

MHD_Result queue(MHD_Connection *connection, HttpResponse &&answer, bool close)
{
    constexpr std::uint32_t msPerSecond = 1000;
    using Body = std::shared_ptr<const std::string>;
    auto *body = new Body(answer.sharedBody ? std::move(answer.sharedBody) : std::make_shared<const std::string>(std::move(answer.body)));
    MHD_Response *response = MHD_create_response_from_buffer_with_free_callback_cls((*body)->size(),
                                                                                    const_cast<char *>((*body)->data()), // The library only reads it.
                                                                                    [](void *text) {
                                                                                        delete static_cast<Body *>(text);
                                                                                    },
                                                                                    body);
    if (response == nullptr) {
        delete body;
        return MHD_NO;
    }
    if (close) {
        MHD_add_response_header(response, "Connection", "close");
    }
    MHD_add_response_header(response, "Content-Type", answer.contentType);
    if (answer.retryAfterMs > 0) {
        const std::string seconds = std::to_string((answer.retryAfterMs + msPerSecond - 1) / msPerSecond);
        MHD_add_response_header(response, "Retry-After", seconds.c_str());
    }
    const MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

/** @return the announced size of the body; 0 if none is announced. */
std::uint64_t announcedSize(MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    std::uint64_t size = 0;
    if (text != nullptr) {
        const std::string_view digits = text;
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), size);
        if (result.ec == std::errc::result_out_of_range) {
            return UINT64_MAX;
        }
    }
    return size;
}

std::uint64_t steadyMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::shared_ptr<ClientTable> makeTable(const HttpLimits &limits)
{
    ClientLimits own;
    own.maxConnections = limits.maxConnections;
    own.maxBodyBytes = std::max(own.maxBodyBytes, limits.maxBodyBytes * 8);
    auto table = std::make_shared<ClientTable>(own, steadyMs);
    table->startExpiry();
    return table;
}
}

struct HttpServer::Implementation
{
    MHD_Daemon *daemon = nullptr;
    HttpLimits limits;
    std::shared_ptr<ClientTable> clients;
    std::vector<HttpRoute> routes;
    std::atomic<std::uint64_t> inFlight{0};
    std::atomic<bool> quiescing{false};
    int listener = -1;
    int number = 0; ///< Number of this server in the client table.

    /** Refuses a connection before a thread is started for it. */
    static MHD_Result acceptConnection(void *data, const sockaddr *, socklen_t)
    {
        return static_cast<Implementation *>(data)->clients->acceptsConnections() ? MHD_YES : MHD_NO;
    }

    static void notifyConnection(void *data, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code)
    {
        ClientTable &clients = *static_cast<Implementation *>(data)->clients;
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            *context = clients.add(static_cast<Implementation *>(data)->number, info->connect_fd);
        } else if (*context != nullptr) {
            clients.remove(static_cast<ClientConnection *>(*context));
        }
    }

    /** Called with the request line. @return the request's context for the other callbacks. */
    static void *notifyRequestLine(void *data, const char *target, MHD_Connection *connection)
    {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        auto *client = static_cast<ClientConnection *>(info->socket_context);
        static_cast<Implementation *>(data)->clients->beginRequest(*client, target);
        return nullptr; // The library passes each request to receive() first with an empty context.
    }

    static void notifyCompleted(void *data, MHD_Connection *, void **context, MHD_RequestTerminationCode)
    {
        if (*context != nullptr) {
            static_cast<Implementation *>(data)->clients->endRequest(*static_cast<ClientConnection *>(*context));
        }
    }

    static MHD_Result receive(void *data, MHD_Connection *connection, const char *, const char *method, const char *, const char *upload,
                              std::size_t *uploadSize, void **context)
    {
        Implementation &server = *static_cast<Implementation *>(data);
        if (*context == nullptr) {
            *context = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
            return server.admit(connection, *static_cast<ClientConnection *>(*context));
        }
        ClientConnection &client = *static_cast<ClientConnection *>(*context);
        if (*uploadSize > 0) {
            const model::Reason reason = server.clients->append(client, {upload, *uploadSize}, server.limits.maxBodyBytes);
            *uploadSize = 0;
            return reason == model::Reason::None ? MHD_YES : MHD_NO;
        }
        return server.clients->beginHandling(client) ? server.answer(connection, client, method) : MHD_NO;
    }

    /** Admits or refuses a request by its headers. */
    MHD_Result admit(MHD_Connection *connection, ClientConnection &client)
    {
        const std::uint64_t size = announcedSize(connection);
        if (size > limits.maxBodyBytes) {
            return queue(connection, tooLarge(), quiescing);
        }
        const model::Reason reason = clients->beginBody(client, size);
        return reason == model::Reason::None ? MHD_YES : MHD_NO;
    }

    HttpResponse tooLarge() const
    {
        return refuseAtEdge(model::Reason::BodyTooLarge, "send at most " + std::to_string(limits.maxBodyBytes) + " bytes");
    }

    /** Runs the handler of a complete request. */
    MHD_Result answer(MHD_Connection *connection, ClientConnection &client, const char *method)
    {
        ++inFlight;
        ReceivedRequest request;
        request.connection = connection;
        request.target = client.target;
        request.method = method;
        request.body = client.body.view();
        HttpResponse response;
        {
            const ParsePermit permit(*clients, request.body.size());
            if (permit.isGranted()) {
                response = dispatch(request);
            }
            if (!permit.isGranted() || permit.isExceeded()) {
                response = refuseAtEdge(model::Reason::TooManyBodies, {});
                response.retryAfterMs = refusedRetryMs;
            }
        }
        if (!clients->beginSending(client, response.sharedBody ? response.sharedBody->size() : response.body.size())) {
            if (request.method != "GET") { // It may have had an effect, which a refusal would deny.
                --inFlight;
                return MHD_NO;
            }
            response = refuseAtEdge(model::Reason::TooManyBodies, {});
            response.retryAfterMs = refusedRetryMs;
        }
        const MHD_Result result = queue(connection, std::move(response), quiescing);
        --inFlight;
        return result;
    }

    HttpResponse dispatch(ReceivedRequest &request) const
    {
        for (const HttpRoute &route : routes) {
            request.variables.clear();
            if (::strcasecmp(route.method, request.method.data()) == 0 && matches(route.path, withoutQuery(request.target), request.variables)) {
                return route.handler(HttpCall(request));
            }
        }
        request.variables.clear();
        if (limits.defaultHandler) {
            return limits.defaultHandler(HttpCall(request));
        }
        return refuseAtEdge(model::Reason::NotFound, "unknown path or method; see docs/PROTOCOL.md");
    }
};

HttpCall::HttpCall(const ReceivedRequest &request)
    : m_request(request)
{
}

std::string_view HttpCall::body() const
{
    return m_request.body;
}

std::string_view HttpCall::path() const
{
    return withoutQuery(m_request.target);
}

std::string_view HttpCall::method() const
{
    return m_request.method;
}

std::string HttpCall::header(const char *name) const
{
    struct Search
    {
        const char *name;
        std::string value;
        bool found = false;
    } search{name, {}};
    MHD_get_connection_values(
        m_request.connection,
        MHD_HEADER_KIND,
        [](void *data, MHD_ValueKind, const char *key, const char *value) {
            Search &search = *static_cast<Search *>(data);
            if (::strcasecmp(key, search.name) == 0) { // Repeated headers are a list.
                search.value.append(search.found ? "," : "").append(value == nullptr ? "" : value);
                search.found = true;
            }
            return MHD_YES;
        },
        &search);
    return std::move(search.value);
}

std::string HttpCall::parameter(const char *name) const
{
    const auto found = m_request.variables.find(name);
    if (found != m_request.variables.end()) {
        return found->second;
    }
    const char *value = MHD_lookup_connection_value(m_request.connection, MHD_GET_ARGUMENT_KIND, name);
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
    sockaddr_in listen{};
    listen.sin_family = AF_INET;
    listen.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &listen.sin_addr);
    server.limits = limits;
    server.clients = limits.clients ? limits.clients : makeTable(limits);
    server.routes = std::move(routes);
    server.number = port;
    // One thread per connection: a caller that waits for its response blocks only its own thread. Other designs cost a thread switch more for each request;
    // docs/design/clients.md. poll() also serves descriptors from 1024 on, which select() doesn't.
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC | MHD_USE_POLL;
    const std::uint64_t connections = server.clients->limits().maxConnections;
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&Implementation::notifyConnection), &server},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&Implementation::notifyRequestLine), &server},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&Implementation::notifyCompleted), &server},
        {MHD_OPTION_SOCK_ADDR, 0, &listen},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(connections + std::min(connections / 4, maxClosingConnections)), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(limits.idleSeconds), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    };
    server.daemon = MHD_start_daemon(
        flags, port, &Implementation::acceptConnection, &server, &Implementation::receive, &server, MHD_OPTION_ARRAY, options, MHD_OPTION_END);
    return server.daemon != nullptr ? std::error_code{} : TransportError::ListenFailed;
}

void HttpServer::quiesce()
{
    m_implementation->quiescing = true;
    if (m_implementation->daemon != nullptr && m_implementation->listener < 0) {
        m_implementation->listener = MHD_quiesce_daemon(m_implementation->daemon);
    }
}

void HttpServer::stop()
{
    if (m_implementation->daemon == nullptr) {
        return;
    }
    MHD_stop_daemon(m_implementation->daemon);
    m_implementation->daemon = nullptr;
    if (m_implementation->listener >= 0) {
        ::close(m_implementation->listener);
    }
}

std::uint64_t HttpServer::inFlight() const
{
    return m_implementation->inFlight;
}
}
