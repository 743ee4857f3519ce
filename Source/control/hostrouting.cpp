#include "control/hostinternal.h"

#include <algorithm>

namespace rosemaryturn::control
{
namespace
{
using namespace internal;

constexpr std::uint64_t retryDelayMs = 100;
constexpr std::uint8_t maxHops = 2;

/** @return the time in milliseconds that routing a local request may take, in addition to the caller's wait. */
std::uint64_t routingTimeoutMs(wire::Operation operation)
{
    constexpr std::uint64_t announcementMs = 1500;
    constexpr std::uint64_t configMs = 8000;
    constexpr std::uint64_t taskMs = 5000;
    switch (operation) {
    case wire::Operation::Announce:
        return announcementMs;
    case wire::Operation::ApplyConfig:
    case wire::Operation::ApplyVerdict:
        return configMs;
    default:
        return taskMs;
    }
}

bool isGlobalOperation(wire::Operation operation)
{
    return operation == wire::Operation::ApplyConfig || operation == wire::Operation::ApplyVerdict;
}

bool isLocalOperation(wire::Operation operation)
{
    return operation == wire::Operation::ReadConfig || operation == wire::Operation::HostStatus || operation == wire::Operation::HostMetrics;
}

bool isRetryable(model::Reason reason)
{
    return reason == model::Reason::NoLeader || reason == model::Reason::LeadershipLost || reason == model::Reason::TooManyHops;
}

bool isConnected(const Host &host, const std::string &peer)
{
    const auto found = host.peers.find(peer);
    return found != host.peers.end() && found->second.connected;
}

/** Destination of a request. */
struct RouteTarget
{
    bool local = false; ///< This host handles it.
    std::string host; ///< The other host that handles it; empty if none is known or connected.
    model::Reason error = model::Reason::NoLeader; ///< The error if there is no destination.
};

RouteTarget leaderTarget(const Host &host, const std::string &group)
{
    const auto found = host.groups.find(group);
    if (found == host.groups.end()) {
        return {};
    }
    if (consensus::isReadyLeader(found->second)) {
        return {true, {}, model::Reason::None};
    }
    const std::string &leader = found->second.leader;
    if (leader.empty() || leader == host.settings.host || !isConnected(host, leader)) {
        return {};
    }
    return {false, leader, model::Reason::None};
}

RouteTarget remoteTarget(const Host &host, const std::string &dataCentre, std::uint32_t retries)
{
    std::vector<std::string> reachable;
    for (const config::HostSettings *candidate : config::hostsInDataCentre(host.settings, dataCentre)) {
        if (isConnected(host, candidate->id)) {
            reachable.push_back(candidate->id);
        }
    }
    if (reachable.empty()) {
        return {false, {}, model::Reason::HomeUnreachable};
    }
    const auto last = host.lastResponder.find(dataCentre);
    if (retries == 0 && last != host.lastResponder.end() && isConnected(host, last->second)) {
        return {false, last->second, model::Reason::None};
    }
    return {false, reachable[retries % reachable.size()], model::Reason::None};
}

RouteTarget targetOf(const Host &host, const wire::RequestT &request, std::uint32_t retries)
{
    if (isLocalOperation(request.operation)) {
        return {true, {}, model::Reason::None};
    }
    if (isGlobalOperation(request.operation)) {
        return leaderTarget(host, globalGroup);
    }
    if (request.dataCentre == host.dataCentre) {
        return leaderTarget(host, cellGroup(host.dataCentre));
    }
    return remoteTarget(host, request.dataCentre, retries);
}

bool isTaskRequest(wire::Operation operation)
{
    return operation == wire::Operation::Submit || operation == wire::Operation::Query || operation == wire::Operation::Cancel;
}

bool isDataCentre(const Host &host, const std::string &name)
{
    const auto &names = host.config.dataCentres;
    return std::find(names.begin(), names.end(), name) != names.end();
}

/** Determines the one data centre that handles a key: the one named in the key, otherwise the service's home. */
model::Reason resolveHome(const Host &host, wire::RequestT &request)
{
    if (!isTaskRequest(request.operation)) {
        return model::Reason::None;
    }
    const std::size_t at = request.key.find('@');
    if (at != std::string::npos) {
        request.dataCentre = request.key.substr(at + 1);
        return isDataCentre(host, request.dataCentre) ? model::Reason::None : model::Reason::BadKey;
    }
    const std::string &service = request.specs.empty() ? request.service : request.specs.front()->service;
    request.dataCentre = host.dataCentre;
    if (!service.empty()) {
        const QualifiedService found = findQualified(host.config, service);
        if (found.declaration == nullptr) {
            return isConfigLearnt(host) ? model::Reason::UnknownService : model::Reason::ConfigNotLearnt;
        }
        request.dataCentre = found.declaration->home;
    }
    request.key += "@" + request.dataCentre;
    for (const auto &spec : request.specs) {
        spec->key = request.key;
    }
    return model::Reason::None;
}

void replyLocally(Host &host, Token token, wire::ReplyT reply, HostOutput &output)
{
    const auto routed = host.routed.find(token);
    if (routed != host.routed.end()) {
        host.calls.erase(routed->second.callId);
        host.routed.erase(routed);
    }
    const auto spill = host.spills.find(token);
    if (spill != host.spills.end()) {
        host.spillReplies.emplace_back(std::move(spill->second), std::move(reply));
        host.spills.erase(spill);
        return;
    }
    output.replies.push_back({token, std::move(reply)});
}

void failRequest(Host &host, Token token, model::Reason reason, HostOutput &output)
{
    const RoutedRequest &routed = host.routed.at(token);
    const bool uncertain = routed.maybeReceived && (reason == model::Reason::NoLeader || reason == model::Reason::HomeUnreachable);
    const model::Reason reported = uncertain ? model::Reason::HomeSilent : reason;
    count(host.cell.metrics, reported);
    replyLocally(host, token, errorReply(reported), output);
}

void scheduleRetry(Host &host, Token token, model::Reason reason, const Now &now, HostOutput &output)
{
    RoutedRequest &routed = host.routed.at(token);
    host.calls.erase(routed.callId);
    routed.callId = 0;
    routed.calledHost.clear();
    if (now.monotonicMs >= routed.deadlineMs || reason == model::Reason::HomeUnreachable) {
        failRequest(host, token, reason, output);
        return;
    }
    ++routed.retries;
    routed.retryAtMs = now.monotonicMs + retryDelayMs;
    count(host.cell.metrics, reason);
}

void routeRequest(Host &host, Token token, const Now &now, HostOutput &output)
{
    RoutedRequest &routed = host.routed.at(token);
    routed.retryAtMs = 0;
    if (routed.waitUntilMs != 0) {
        routed.request.waitMs = static_cast<std::uint32_t>(routed.waitUntilMs > now.monotonicMs ? routed.waitUntilMs - now.monotonicMs : 0);
    }
    const RouteTarget target = targetOf(host, routed.request, routed.retries);
    if (target.local) {
        // Handling the request may complete it, which removes it from the map.
        const wire::RequestT request = routed.request;
        executeRequest(host, token, request, now, output);
        return;
    }
    if (target.host.empty()) {
        scheduleRetry(host, token, target.error, now, output);
        return;
    }
    routed.callId = host.nextCall++;
    routed.calledHost = target.host;
    host.calls[routed.callId] = token;
    output.calls.push_back({target.host, routed.callId, routed.request});
}
}

namespace internal
{
wire::ReplyT errorReply(model::Reason reason, const std::string &detail)
{
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(reason);
    reply.detail = detail;
    return reply;
}

void finishRequest(Host &host, Token token, wire::ReplyT reply, const Now &now, HostOutput &output)
{
    const auto origin = host.peerOrigins.find(token);
    if (origin != host.peerOrigins.end()) {
        output.peerReplies.push_back({origin->second.host, origin->second.callId, std::move(reply)});
        host.peerOrigins.erase(origin);
        return;
    }
    const auto reason = static_cast<model::Reason>(reply.error);
    if (isRetryable(reason) && host.routed.count(token) > 0) {
        scheduleRetry(host, token, reason, now, output);
        return;
    }
    replyLocally(host, token, std::move(reply), output);
}

void executeRequest(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output)
{
    switch (request.operation) {
    case wire::Operation::ApplyConfig:
    case wire::Operation::ApplyVerdict:
        executeConfigRequest(host, token, request, now, output);
        return;
    case wire::Operation::ReadConfig:
        readConfig(host, token, request, now, output);
        return;
    case wire::Operation::HostStatus:
    case wire::Operation::HostMetrics: {
        wire::ReplyT reply;
        reply.statusJson = request.operation == wire::Operation::HostStatus ? statusOf(host, now) : metricsOf(host);
        finishRequest(host, token, std::move(reply), now, output);
        return;
    }
    default:
        break;
    }
    host.cell.config = &host.config;
    const consensus::Node &node = host.groups.at(cellGroup(host.dataCentre));
    CellOutput step;
    handleRequest(host.cell, token, request, now, consensus::holdsLease(node, now.monotonicMs), step);
    applyCellOutput(host, std::move(step), now, output);
}

void retryRoutedRequests(Host &host, const Now &now, HostOutput &output)
{
    std::vector<Token> due;
    std::vector<Token> timedOut;
    for (const auto &[token, routed] : host.routed) {
        if (routed.retryAtMs != 0 && routed.retryAtMs <= now.monotonicMs) {
            due.push_back(token);
        } else if (routed.callId != 0 && now.monotonicMs >= routed.deadlineMs) {
            timedOut.push_back(token);
        }
    }
    for (const Token token : due) {
        routeRequest(host, token, now, output);
    }
    for (const Token token : timedOut) {
        host.routed.at(token).maybeReceived = true;
        failRequest(host, token, model::Reason::HomeUnreachable, output);
    }
}
}

void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output)
{
    const model::Reason refused = resolveHome(host, request);
    if (refused != model::Reason::None) {
        count(host.cell.metrics, refused);
        replyLocally(host, token, errorReply(refused, request.key), output);
        return;
    }
    RoutedRequest routed;
    routed.waitUntilMs = request.waitMs == 0 ? 0 : now.monotonicMs + request.waitMs;
    routed.deadlineMs = now.monotonicMs + request.waitMs + routingTimeoutMs(request.operation);
    routed.request = std::move(request);
    host.routed.emplace(token, std::move(routed));
    routeRequest(host, token, now, output);
}

void handleCall(Host &host, const std::string &from, std::uint64_t callId, wire::RequestT request, const Now &now, HostOutput &output)
{
    const RouteTarget target = targetOf(host, request, 0);
    if (target.local) {
        const Token token = host.nextToken++;
        host.peerOrigins[token] = {from, callId};
        executeRequest(host, token, request, now, output);
        return;
    }
    if (target.host.empty() || target.host == from || request.hops >= maxHops) {
        const model::Reason reason = request.hops >= maxHops ? model::Reason::TooManyHops : model::Reason::NoLeader;
        output.peerReplies.push_back({from, callId, errorReply(reason)});
        return;
    }
    ++request.hops;
    const std::uint64_t ownCall = host.nextCall++;
    host.forwarded[ownCall] = {{from, callId}, target.host};
    output.calls.push_back({target.host, ownCall, std::move(request)});
}

void handleReply(Host &host, std::uint64_t callId, wire::ReplyT reply, const Now &now, HostOutput &output)
{
    const auto forwarded = host.forwarded.find(callId);
    if (forwarded != host.forwarded.end()) {
        const PeerOrigin &origin = forwarded->second.origin;
        output.peerReplies.push_back({origin.host, origin.callId, std::move(reply)});
        host.forwarded.erase(forwarded);
        return;
    }
    const auto call = host.calls.find(callId);
    if (call == host.calls.end()) {
        return; // The request was already completed.
    }
    const Token token = call->second;
    const RoutedRequest &routed = host.routed.at(token);
    if (reply.error == 0) {
        host.lastResponder[routed.request.dataCentre] = routed.calledHost;
    }
    host.calls.erase(call);
    finishRequest(host, token, std::move(reply), now, output);
}

void handlePeer(Host &host, const std::string &peer, const PeerState &state, const Now &now, HostOutput &output)
{
    host.peers[peer] = state;
    if (state.connected) {
        return;
    }
    std::vector<Token> lost;
    for (const auto &[token, routed] : host.routed) {
        if (routed.callId != 0 && routed.calledHost == peer) {
            lost.push_back(token);
        }
    }
    for (const Token token : lost) {
        host.routed.at(token).maybeReceived = true;
        scheduleRetry(host, token, model::Reason::NoLeader, now, output);
    }
    std::erase_if(host.peerOrigins, [&peer](const auto &entry) {
        return entry.second.host == peer;
    });
    for (const auto &[callId, call] : host.forwarded) {
        if (call.target == peer) {
            output.peerReplies.push_back({call.origin.host, call.origin.callId, errorReply(model::Reason::LeadershipLost)});
        }
    }
    std::erase_if(host.forwarded, [&peer](const auto &entry) {
        return entry.second.origin.host == peer || entry.second.target == peer;
    });
}
}
