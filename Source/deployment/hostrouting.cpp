#include "deployment/host.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Passes a request to the leader of this host. Its token stays the same, so that the answer finds the request. */
void handleAsLeader(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output)
{
    LeaderOutput step;
    handleRequest(host.leader, host.state, token, std::move(request), now, step);
    internal::applyLeaderOutput(host, std::move(step), now, output);
}

wire::ReplyT topologyOf(const Host &host, const Now &now)
{
    wire::ReplyT reply;
    // A leader without its lease may already have a successor: it reports no leader, so that the caller tries other hosts.
    const bool leaseExpired = host.node && host.node->leader == host.options.host && !isActiveLeader(host, now);
    reply.leader = leaseExpired ? std::string() : leaderOf(host, now);
    reply.term = host.node ? host.node->term : 0;
    reply.revision = host.state.plan.version;
    for (const std::string &name : host.controlHosts) {
        auto entry = std::make_unique<wire::HostEntryT>();
        entry->host = name;
        entry->control = true;
        reply.hosts.push_back(std::move(entry));
    }
    return reply;
}

bool changesJobs(const wire::RequestT &request)
{
    return request.operation == wire::Operation::SubmitJob || request.operation == wire::Operation::JobCancel;
}

void failRequest(Host &host, Token token, HostOutput &output)
{
    const RoutedRequest &routed = host.routed.at(token);
    // A change that may have been applied is reported as unanswered rather than refused: its sender repeats it with the same id.
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(routed.maybeApplied && changesJobs(routed.request) ? model::Reason::HomeSilent : model::Reason::NoLeader);
    output.decisions.push_back({"given-up",
                                std::to_string(token),
                                "operation=" + std::to_string(static_cast<int>(routed.request.operation)) + " path=" + routed.request.path
                                    + (routed.maybeApplied ? " maybe-taken" : " not-taken")});
    output.replies.push_back({token, std::move(reply)});
    if (routed.call != 0) {
        host.calls.erase(routed.call);
    }
    host.routed.erase(token);
}

bool isRetryable(model::Reason reason)
{
    return reason == model::Reason::NoLeader || reason == model::Reason::LeadershipLost;
}

/** Records the leader that a reply reports, unless the reply is from an earlier term: hosts partitioned together with an old leader still report it. */
void recordLeader(Host &host, const wire::ReplyT &reply, const Now &now)
{
    const bool outdated = reply.term != 0 && reply.term < host.reportedTerm; // Replies of an active leader contain no term.
    if (host.node || reply.leader.empty() || outdated) {
        return;
    }
    host.reportedLeader = reply.leader;
    host.reportedLeaderMs = now.monotonicMs;
    host.reportedTerm = std::max(host.reportedTerm, reply.term);
}

void handleTopology(Host &host, const wire::ReplyT &reply, const Now &now, HostOutput &output)
{
    for (const auto &entry : reply.hosts) {
        host.controlHosts.insert(entry->host);
    }
    recordLeader(host, reply, now);
    internal::refreshDialTargets(host, output);
}
}

void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output)
{
    internal::detectStall(host, now);
    if (request.operation == wire::Operation::SubmitJob && now.monotonicMs < host.submissionsFromMs) {
        wire::ReplyT reply;
        reply.error = static_cast<std::uint16_t>(model::Reason::RequestTooSlow);
        output.decisions.push_back({"submission-outdated", std::to_string(token), "path=" + request.path});
        output.replies.push_back({token, std::move(reply)});
        return;
    }
    RoutedRequest routed;
    routed.deadlineMs = now.monotonicMs + request.waitMs;
    routed.request = std::move(request);
    host.routed.emplace(token, std::move(routed));
    internal::routeRequest(host, token, now, output);
}

void handleCall(Host &host, const std::string &from, std::uint64_t id, wire::RequestT request, const Now &now, HostOutput &output)
{
    if (request.operation == wire::Operation::Topology) {
        output.peerReplies.push_back({from, id, topologyOf(host, now)});
        return;
    }
    if (request.operation == wire::Operation::Advise && request.advice) {
        internal::requestAdviceFor(host, {from, id}, std::move(request), now, output);
        return;
    }
    if (!isActiveLeader(host, now)) {
        wire::ReplyT reply = topologyOf(host, now);
        reply.error = static_cast<std::uint16_t>(model::Reason::NoLeader);
        output.peerReplies.push_back({from, id, std::move(reply)});
        return;
    }
    const Token token = host.nextToken++;
    host.origins[token] = {from, id};
    handleAsLeader(host, token, std::move(request), now, output);
}

void handleReply(Host &host, std::uint64_t id, wire::ReplyT reply, const Now &now, HostOutput &output)
{
    if (host.topologyCalls.erase(id) > 0) {
        handleTopology(host, reply, now, output);
        return;
    }
    if (internal::handleRemoteAdvice(host, id, reply, now)) {
        return;
    }
    const auto call = host.calls.find(id);
    if (call == host.calls.end()) {
        ++host.unmatchedReplies;
        return;
    }
    const Token token = call->second;
    host.calls.erase(call);
    RoutedRequest &routed = host.routed.at(token);
    routed.call = 0;
    const auto reason = static_cast<model::Reason>(reply.error);
    recordLeader(host, reply, now);
    if (isRetryable(reason)) {
        routed.maybeApplied = routed.maybeApplied || reason == model::Reason::LeadershipLost;
        if (!host.node && reply.leader.empty()) {
            host.reportedLeader.clear();
        }
        const bool redirected = !reply.leader.empty() && reply.leader != routed.to;
        routed.retryAtMs = now.monotonicMs + (redirected ? 0 : host.options.retryDelayMs);
        if (redirected) {
            internal::routeRequest(host, token, now, output);
        }
        return;
    }
    internal::reportPossibleEffect(routed, reply);
    host.routed.erase(token);
    output.replies.push_back({token, std::move(reply)});
}

void handlePeer(Host &host, const std::string &name, const Peer &peer, const Now &now, HostOutput &output)
{
    const bool lost = host.peers[name].connected && !peer.connected;
    host.peers[name] = peer;
    if (peer.connected && peer.control) {
        host.controlHosts.insert(name);
        host.nextTopologyMs = std::min(host.nextTopologyMs, now.monotonicMs);
    }
    if (lost) {
        for (auto &[token, routed] : host.routed) {
            if (routed.call != 0 && routed.to == name) {
                host.calls.erase(routed.call);
                routed.call = 0;
                routed.maybeApplied = true;
                routed.retryAtMs = now.monotonicMs + host.options.retryDelayMs;
            }
        }
    }
    output.decisions.push_back({peer.connected ? "peer-connected" : "peer-lost", name, peer.control ? "control" : "entry"});
    if (lost) {
        internal::handleReturnedOrders(host, reclaimOrders(host.couriers, name), now, output);
        internal::dropAdviceOf(host, name, now, output);
    }
    internal::refreshAdvisers(host);
    internal::refreshCouriers(host);
    internal::refreshDialTargets(host, output);
}

void addSeeds(Host &host, const std::vector<std::string> &seeds, HostOutput &output)
{
    host.controlHosts.insert(seeds.begin(), seeds.end());
    internal::refreshDialTargets(host, output);
}

namespace internal
{
/**
 * Detects that the process was stalled, as by a suspension. A submission that is read then may have been sent before, and its client may have cancelled it
 * since; the tombstone of a cancellation is kept for a limited time (LeaderOptions::keepJobsMs).
 */
void detectStall(Host &host, const Now &now)
{
    if (host.lastEventMs != 0 && now.monotonicMs > host.lastEventMs + host.options.maxStallMs) {
        host.submissionsFromMs = now.monotonicMs + host.options.stallGraceMs;
    }
    host.lastEventMs = now.monotonicMs;
}

void routeRequest(Host &host, Token token, const Now &now, HostOutput &output)
{
    RoutedRequest &routed = host.routed.at(token);
    if (now.monotonicMs >= routed.deadlineMs) {
        failRequest(host, token, output);
        return;
    }
    if (isActiveLeader(host, now)) {
        host.origins[token] = {};
        routed.retryAtMs = routed.deadlineMs; // The leader answers, or refuses when it stops leading.
        handleAsLeader(host, token, routed.request, now, output);
        return;
    }
    const std::string leader = leaderOf(host, now);
    const auto peer = host.peers.find(leader);
    if (leader.empty() || leader == host.options.host || peer == host.peers.end() || !peer->second.connected) {
        routed.retryAtMs = now.monotonicMs + host.options.retryDelayMs;
        host.nextTopologyMs = std::min(host.nextTopologyMs, now.monotonicMs + host.options.retryDelayMs);
        return;
    }
    routed.call = host.nextCall++;
    routed.to = leader;
    routed.sentMs = now.monotonicMs;
    host.calls[routed.call] = token;
    output.calls.push_back({leader, routed.call, routed.request});
}

/** Replaces a rejection for lack of a valid key if an earlier attempt of the request may have been carried out: its key may have been removed since, and the
 * rejection would state that nothing was done. */
void reportPossibleEffect(const RoutedRequest &routed, wire::ReplyT &reply)
{
    const auto reason = static_cast<model::Reason>(reply.error);
    const bool unauthorized = reason == model::Reason::CredentialMissing || reason == model::Reason::CredentialUnknown;
    if (unauthorized && routed.maybeApplied && changesJobs(routed.request)) {
        reply.error = static_cast<std::uint16_t>(model::Reason::HomeSilent);
    }
}

void refreshDialTargets(Host &host, HostOutput &output)
{
    std::set<std::string> targets = host.controlHosts;
    if (host.node) {
        for (const auto &member : host.node->membership.members) {
            targets.insert(member->host);
        }
    }
    targets.erase(host.options.host);
    if (targets != host.dialTargets) {
        host.dialTargets = targets;
        output.dial = std::vector<std::string>(targets.begin(), targets.end());
    }
}
}
}
