#include "transport/upstreamapi.h"

#include "transport/requestjson.h"

namespace rosemaryturn::transport
{
namespace
{
HttpResponse refuseWorkerName(const std::string &worker)
{
    return refuseAtEdge(model::Reason::BadKey, "/upstreams: invalid worker name " + worker + "; allowed characters are A-Z a-z 0-9 . _ : -");
}

HttpResponse handleAnnouncement(Gateway &gateway, const std::string &dataCentre, const HttpCall &call)
{
    const std::string worker = call.parameter("worker");
    if (!isValidKey(worker)) {
        return refuseWorkerName(worker);
    }
    std::vector<config::FieldError> errors;
    wire::RequestT request = readAnnouncement(call.body(), worker, errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    request.dataCentre = dataCentre;
    return announcementResponse(gateway.call(std::move(request)));
}

HttpResponse handleResults(Gateway &gateway, const std::string &dataCentre, const HttpCall &call)
{
    const std::string worker = call.parameter("worker");
    if (!isValidKey(worker)) {
        return refuseWorkerName(worker);
    }
    std::vector<config::FieldError> errors;
    wire::RequestT request = readResults(call.body(), worker, errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    request.dataCentre = dataCentre;
    return resultsResponse(gateway.call(std::move(request)));
}
}

std::vector<HttpRoute> upstreamRoutes(Gateway &gateway, const std::string &dataCentre)
{
    return {
        {"POST",
         "/v1/upstreams/:worker/announcements",
         "announce, renew leases, report usage, leave",
         [&gateway, dataCentre](const HttpCall &call) {
             return handleAnnouncement(gateway, dataCentre, call);
         }},
        {"POST",
         "/v1/upstreams/:worker/results",
         "submit results of ended tasks",
         [&gateway, dataCentre](const HttpCall &call) {
             return handleResults(gateway, dataCentre, call);
         }},
    };
}
}
