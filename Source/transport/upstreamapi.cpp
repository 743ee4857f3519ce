#include "transport/upstreamapi.h"

#include "transport/requestjson.h"

namespace rosemaryturn::transport
{
namespace
{
HttpAnswer refuseName(const std::string &worker)
{
    return refuseAtEdge(model::Reason::BadKey, "/upstreams has " + worker + ": name a worker with A-Z a-z 0-9 . _ : -");
}

HttpAnswer takeAnnouncement(Gateway &gateway, const std::string &dataCentre, const HttpCall &call)
{
    const std::string worker = call.parameter("worker");
    if (!isKey(worker)) {
        return refuseName(worker);
    }
    std::vector<config::FieldError> errors;
    wire::RequestT request = readAnnouncement(call.body(), worker, errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    request.dataCentre = dataCentre;
    return announcementAnswer(gateway.call(std::move(request)));
}

HttpAnswer takeResults(Gateway &gateway, const std::string &dataCentre, const HttpCall &call)
{
    const std::string worker = call.parameter("worker");
    if (!isKey(worker)) {
        return refuseName(worker);
    }
    std::vector<config::FieldError> errors;
    wire::RequestT request = readResults(call.body(), worker, errors);
    if (!errors.empty()) {
        return refusal(errors);
    }
    request.dataCentre = dataCentre;
    return resultsAnswer(gateway.call(std::move(request)));
}
}

std::vector<HttpRoute> upstreamRoutes(Gateway &gateway, const std::string &dataCentre)
{
    return {
        {"POST",
         "/v1/upstreams/:worker/announcements",
         "announce, renew leases, report usage, leave",
         [&gateway, dataCentre](const HttpCall &call) {
             return takeAnnouncement(gateway, dataCentre, call);
         }},
        {"POST",
         "/v1/upstreams/:worker/results",
         "hand in ends of tasks",
         [&gateway, dataCentre](const HttpCall &call) {
             return takeResults(gateway, dataCentre, call);
         }},
    };
}
}
