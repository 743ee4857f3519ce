#include "transport/httpclient.h"

#include <ulfius.h>

namespace rosemaryturn::transport
{
namespace
{
constexpr std::uint64_t msPerSecond = 1000;
}

void initialiseHttp()
{
    ulfius_global_init();
}

void cleanupHttp()
{
    ulfius_global_close();
}

HttpResult callHttp(const HttpRequest &request, std::error_code &error)
{
    _u_request call{};
    _u_response answer{};
    ulfius_init_request(&call);
    ulfius_init_response(&answer);
    const unsigned long seconds = (request.timeoutMs + msPerSecond - 1) / msPerSecond;
    ulfius_set_request_properties(&call, U_OPT_HTTP_VERB, request.method.c_str(), U_OPT_HTTP_URL, request.url.c_str(), U_OPT_TIMEOUT, seconds, U_OPT_NONE);
    if (!request.body.empty()) {
        ulfius_set_binary_body_request(&call, request.body.data(), request.body.size());
        u_map_put(call.map_header, "Content-Type", "application/json");
        u_map_put(call.map_header, "Expect", ""); // Avoids the extra round trip of "100 Continue" for large bodies.
    }
    HttpResult result;
    if (ulfius_send_http_request(&call, &answer) != U_OK) {
        error = TransportError::NoConnection;
    } else {
        result.status = answer.status;
        result.body.assign(static_cast<const char *>(answer.binary_body), answer.binary_body_length);
    }
    ulfius_clean_response(&answer);
    ulfius_clean_request(&call);
    return result;
}
}
