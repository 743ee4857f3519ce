#include "transport/operatorapi.h"

#include "transport/requestjson.h"

namespace rosemaryturn::transport
{
namespace
{
using Json = nlohmann::json;

HttpResponse errorFromReply(const wire::ReplyT &reply)
{
    return refusal(static_cast<model::Reason>(reply.error), reply.detail, reply.retryAfterMs);
}

HttpResponse readConfig(Gateway &gateway, const HttpCall &call)
{
    wire::RequestT request;
    request.operation = wire::Operation::ReadConfig;
    request.key = call.parameter("environment");
    const wire::ReplyT reply = gateway.call(std::move(request));
    if (reply.error != 0) {
        return errorFromReply(reply);
    }
    Json json{{"environment", call.parameter("environment")}, {"revision", reply.revision}};
    if (reply.revision != 0) {
        json["digest"] = reply.digest;
        json["document"] = Json::parse(reply.document, nullptr, false);
        json["history"] = Json::parse(reply.statusJson, nullptr, false);
    }
    return {200, json.dump(), 0};
}

HttpResponse changeConfig(Gateway &gateway, const HttpCall &call)
{
    std::vector<config::FieldError> errors;
    wire::RequestT request = readConfigChange(call.body(), call.parameter("environment"), errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    const wire::ReplyT reply = gateway.call(std::move(request));
    if (reply.error != 0) {
        const std::string inForce = "revision in force: " + std::to_string(reply.revision);
        return refusal(static_cast<model::Reason>(reply.error), reply.detail.empty() ? inForce : reply.detail, reply.retryAfterMs);
    }
    return {200, Json{{"revision", reply.revision}}.dump(), 0};
}

HttpResponse handleVerdict(Gateway &gateway, const HttpCall &call)
{
    std::vector<config::FieldError> errors;
    wire::RequestT request = readVerdict(call.body(), errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    const wire::ReplyT reply = gateway.call(std::move(request));
    return reply.error != 0 ? errorFromReply(reply) : HttpResponse{200, Json{{"taken", true}}.dump(), 0};
}

HttpResponse statusResponse(Gateway &gateway)
{
    wire::RequestT request;
    request.operation = wire::Operation::HostStatus;
    const wire::ReplyT reply = gateway.call(std::move(request));
    return reply.error != 0 ? errorFromReply(reply) : HttpResponse{200, reply.statusJson, 0};
}

HttpResponse metricsResponse(Gateway &gateway, const OperatorApiOptions &options)
{
    wire::RequestT request;
    request.operation = wire::Operation::HostMetrics;
    const wire::ReplyT reply = gateway.call(std::move(request));
    if (reply.error != 0) {
        return errorFromReply(reply);
    }
    Json json = Json::parse(reply.statusJson, nullptr, false);
    const telemetry::TrafficTotals traffic = options.traffic();
    json["traffic"] = {{"bytesWithin", traffic.bytesWithin}, {"bytesAcross", traffic.bytesAcross}, {"connectionsRetired", traffic.connectionsRetired}};
    json["syncs"] = options.syncs();
    return {200, json.dump(), 0};
}

HttpResponse readinessResponse(const OperatorApiOptions &options)
{
    const bool ready = options.ready();
    return {ready ? 200U : 503U, Json{{"ready", ready}}.dump(), 0};
}
}

std::vector<HttpRoute> operatorRoutes(Gateway &gateway, const OperatorApiOptions &options)
{
    return {
        {"GET",
         "/v1/config/:environment",
         "read the revision in force and the history",
         [&gateway](const HttpCall &call) {
             return readConfig(gateway, call);
         }},
        {"POST",
         "/v1/config/:environment",
         "apply, promote or roll back a document",
         [&gateway](const HttpCall &call) {
             return changeConfig(gateway, call);
         }},
        {"POST",
         "/v1/verdicts",
         "submit a verdict of the monitoring group",
         [&gateway](const HttpCall &call) {
             return handleVerdict(gateway, call);
         }},
        {"GET",
         "/v1/status",
         "read the status of this host",
         [&gateway](const HttpCall &) {
             return statusResponse(gateway);
         }},
        {"GET",
         "/v1/metrics",
         "read counters, waiting times, packing and control cost",
         [&gateway, options](const HttpCall &) {
             return metricsResponse(gateway, options);
         }},
        {"GET",
         "/healthz",
         "check that the process is running",
         [](const HttpCall &) {
             return HttpResponse{200, R"({"healthy":true})", 0};
         }},
        {"GET",
         "/readyz",
         "check whether callers may be routed to this host",
         [options](const HttpCall &) {
             return readinessResponse(options);
         }},
    };
}
}
