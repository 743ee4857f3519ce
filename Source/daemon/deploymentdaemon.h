#pragma once

#include "config/deploymentsettings.h"
#include "deployment/loop.h"
#include "transport/asynchttpclient.h"
#include "transport/gateway.h"
#include "transport/httpserver.h"

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace rosemaryturn::daemon
{
/** An HTTP server for callers, upstreams or operators. */
struct EdgeServer
{
    config::SocketAddress address;
    transport::HttpLimits limits;
};

/** Services of the daemon that the request handlers use. */
struct EdgeContext
{
    transport::Gateway &gateway;
    std::function<bool()> ready;
    std::function<std::string()> metrics;
};

/** Translates between the daemon and the HTTP interfaces of callers, upstreams and the advice service; no other code knows their names. */
struct EdgeProtocol
{
    std::function<std::vector<EdgeServer>(const config::DeploymentSettings &, const EdgeContext &)> servers;
    std::function<transport::AsyncHttpRequest(const deployment::UpstreamCall &)> upstreamCall;
    std::function<deployment::UpstreamReply(const deployment::UpstreamCall &, long status, const std::string &body)> upstreamReply;
    std::function<transport::AsyncHttpRequest(const config::SocketAddress &, const deployment::LocalAdviceRequest &)> adviceCall;
    std::function<deployment::AdviceReply(std::uint64_t id, long status, const std::string &body)> adviceReply;
};

/**
 * Runs a host of the deployment scope until SIGTERM or SIGINT.
 * @param file the settings file, read again on SIGHUP and when it changes.
 * @param protocol the protocol of its callers, upstreams and advice service.
 * @return the exit code of the process.
 */
int serveDeployment(const std::filesystem::path &file, const EdgeProtocol &protocol);
}
