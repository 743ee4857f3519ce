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
/** A server that the edge opens. */
struct EdgeServer
{
    config::SocketAddress address;
    transport::HttpLimits limits;
};

/** What the edge may use of the daemon. */
struct EdgeContext
{
    transport::Gateway &gateway;
    std::function<bool()> ready;
    std::function<std::string()> metrics;
};

/** What callers, upstreams and the advice service speak: the one place where their names are known. */
struct EdgeProtocol
{
    std::function<std::vector<EdgeServer>(const config::DeploymentSettings &, const EdgeContext &)> servers;
    std::function<transport::AsyncHttpRequest(const deployment::UpstreamCall &)> upstreamCall;
    std::function<deployment::UpstreamReply(const deployment::UpstreamCall &, long status, const std::string &body)> upstreamReply;
    std::function<transport::AsyncHttpRequest(const config::SocketAddress &, const deployment::LocalAdviceRequest &)> adviceCall;
    std::function<deployment::AdviceReply(std::uint64_t id, long status, const std::string &body)> adviceReply;
};

/**
 * Runs a host in the deployment scope until a signal asks it to end.
 * @param file its settings, read again on SIGHUP and when they change.
 * @param protocol what is spoken at its edge.
 * @return the exit code of the process.
 */
int serveDeployment(const std::filesystem::path &file, const EdgeProtocol &protocol);
}
