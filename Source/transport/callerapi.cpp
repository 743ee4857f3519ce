#include "transport/callerapi.h"

#include "transport/requestjson.h"

#include <algorithm>
#include <charconv>

namespace rosemaryturn::transport
{
namespace
{
/** @return the query parameter waitMs, 0 if absent. @param errors receives an error if it is not an integer. */
std::uint64_t readWaitMs(const HttpCall &call, std::vector<config::FieldError> &errors)
{
    const std::string text = call.parameter("waitMs");
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (!text.empty() && (result.ec != std::errc{} || result.ptr != text.data() + text.size())) {
        errors.push_back({model::Reason::OutOfRange, "?waitMs", text, "expected an integer number of milliseconds"});
    }
    return value;
}

HttpResponse submitTask(Gateway &gateway, const CallerApiOptions &options, const HttpCall &call)
{
    std::vector<config::FieldError> errors;
    wire::RequestT request = readSubmission(call.body(), options.environment, errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    request.waitMs = static_cast<std::uint32_t>(std::min<std::uint64_t>(request.waitMs, options.maxWaitMs));
    return taskResponse(gateway.call(std::move(request)));
}

HttpResponse handleKeyRequest(Gateway &gateway, const CallerApiOptions &options, const HttpCall &call, wire::Operation operation)
{
    std::vector<config::FieldError> errors;
    wire::RequestT request;
    request.operation = operation;
    request.key = call.parameter("key");
    const std::string service = call.parameter("service");
    const std::string environment = call.parameter("environment");
    if (!service.empty()) {
        request.service = control::qualify(environment.empty() ? options.environment : environment, service);
    }
    request.waitMs = static_cast<std::uint32_t>(std::min(readWaitMs(call, errors), options.maxWaitMs));
    if (!isValidKey(request.key)) {
        errors.push_back({model::Reason::BadKey, "/key", request.key, std::string(model::reasonInfo(model::Reason::BadKey).text)});
    }
    if (!errors.empty()) {
        return refusal(errors);
    }
    return taskResponse(gateway.call(std::move(request)));
}
}

std::vector<HttpRoute> callerRoutes(Gateway &gateway, const CallerApiOptions &options)
{
    return {
        {"POST",
         "/v1/tasks",
         "submit a task or a gang",
         [&gateway, options](const HttpCall &call) {
             return submitTask(gateway, options, call);
         }},
        {"GET",
         "/v1/tasks/:key",
         "query a task by its key",
         [&gateway, options](const HttpCall &call) {
             return handleKeyRequest(gateway, options, call, wire::Operation::Query);
         }},
        {"DELETE",
         "/v1/tasks/:key",
         "cancel a task",
         [&gateway, options](const HttpCall &call) {
             return handleKeyRequest(gateway, options, call, wire::Operation::Cancel);
         }},
    };
}
}
