#include "deployment/host.h"

#include <algorithm>
#include <memory>
#include <utility>

/** Requests to the advice service: those of this host's leader, and those that this host makes for the leader on another host. */
namespace rosemaryturn::deployment
{
namespace
{
/** Number of requests that are sent to the advice service at a time, one to handle and one to begin with next. The service handles the requests of a host in
 * turn, and can't be told that one is no longer needed. */
constexpr std::size_t minAdviceInProgress = 2;
/** Short requests take less than the way to the service and back: more of them are sent, up to this number and total time. */
constexpr std::size_t maxAdviceInProgress = 5;
constexpr std::uint64_t maxAdviceMsInProgress = 250;

wire::ReplyT encodeAdviceReply(const AdviceReply &reply)
{
    wire::ReplyT answer;
    if (!reply.answered) {
        answer.error = static_cast<std::uint16_t>(model::Reason::NotAdviser);
        return answer;
    }
    answer.count = reply.validMs;
    for (const auto &[upstream, ticket] : reply.allowed) {
        auto row = std::make_unique<wire::AdviceRowT>();
        row->upstream = upstream;
        row->ticket = ticket;
        answer.allowed.push_back(std::move(row));
    }
    return answer;
}

AdviceReply decodeAdviceReply(std::uint64_t id, const wire::ReplyT &reply)
{
    AdviceReply advice;
    advice.id = id;
    advice.answered = reply.error == 0;
    advice.validMs = reply.count;
    for (const auto &row : reply.allowed) {
        advice.allowed.emplace_back(row->upstream, row->ticket);
    }
    return advice;
}

bool isNeeded(const Host &host, std::uint64_t id)
{
    return host.adviceOrigins.count(id) > 0 || host.leader.pendingAdvice.count(id) > 0;
}

bool maySendAdvice(const Host &host)
{
    std::uint64_t totalMs = 0;
    for (const auto &[id, costMs] : host.adviceInProgress) {
        totalMs += costMs;
    }
    return host.adviceInProgress.size() < minAdviceInProgress || (host.adviceInProgress.size() < maxAdviceInProgress && totalMs < maxAdviceMsInProgress);
}

/** Sends the requests whose turn has come. Those that are no longer needed, or whose time is over, are dropped. */
void sendQueuedAdvice(Host &host, const Now &now, HostOutput &output)
{
    while (!host.queuedAdvice.empty() && maySendAdvice(host)) {
        QueuedAdvice next = std::move(host.queuedAdvice.front());
        host.queuedAdvice.pop_front();
        if (!isNeeded(host, next.request.id) || now.monotonicMs > next.deadlineMs) {
            ++host.adviceDropped;
            host.adviceOrigins.erase(next.request.id); // Its sender has counted it as unanswered.
            continue;
        }
        next.request.timeoutMs = std::max<std::uint64_t>(next.deadlineMs - now.monotonicMs, 1);
        host.adviceInProgress.emplace(next.request.id, next.request.costMs);
        output.advice.push_back(std::move(next.request));
    }
}

void queueAdvice(Host &host, LocalAdviceRequest request, const Now &now, HostOutput &output)
{
    const std::uint64_t deadlineMs = now.monotonicMs + request.timeoutMs;
    host.queuedAdvice.push_back({std::move(request), deadlineMs});
    sendQueuedAdvice(host, now, output);
}
}

void handleAdviceReply(Host &host, const AdviceReply &reply, const Now &now, HostOutput &output)
{
    host.adviceInProgress.erase(reply.id);
    const auto origin = host.adviceOrigins.find(reply.id);
    if (origin == host.adviceOrigins.end()) {
        handleAdviceReply(host.leader, reply, now);
    } else {
        output.peerReplies.push_back({origin->second.host, origin->second.call, encodeAdviceReply(reply)});
        host.adviceOrigins.erase(origin);
    }
    sendQueuedAdvice(host, now, output);
}

namespace internal
{
void requestAdvice(Host &host, AdviceCall call, const Now &now, HostOutput &output)
{
    if (call.host.empty()) {
        queueAdvice(host, {call.id, std::move(call.step), std::move(call.upstreams), call.timeoutMs, call.costMs}, now, output);
        return;
    }
    wire::RequestT request;
    request.operation = wire::Operation::Advise;
    request.waitMs = static_cast<std::uint32_t>(call.timeoutMs);
    request.advice = std::make_unique<wire::AdviceAskT>();
    request.advice->step = std::move(call.step);
    request.advice->upstreams = std::move(call.upstreams);
    request.advice->costMs = static_cast<std::uint32_t>(call.costMs);
    host.adviceCalls[host.nextCall] = {call.id, call.host};
    output.calls.push_back({call.host, host.nextCall++, std::move(request)});
}

void requestAdviceFor(Host &host, Origin origin, wire::RequestT request, const Now &now, HostOutput &output)
{
    const std::uint64_t id = host.leader.nextCall++; // Unique among the requests of the own leader, too.
    host.adviceOrigins[id] = std::move(origin);
    queueAdvice(host, {id, std::move(request.advice->step), std::move(request.advice->upstreams), request.waitMs, request.advice->costMs}, now, output);
}

bool handleRemoteAdvice(Host &host, std::uint64_t call, const wire::ReplyT &reply, const Now &now)
{
    const auto found = host.adviceCalls.find(call);
    if (found == host.adviceCalls.end()) {
        return false;
    }
    handleAdviceReply(host.leader, decodeAdviceReply(found->second.request, reply), now);
    host.adviceCalls.erase(found);
    return true;
}

void dropAdviceOf(Host &host, const std::string &lost, const Now &now, HostOutput &output)
{
    std::erase_if(host.adviceOrigins, [&lost](const auto &entry) {
        return entry.second.host == lost;
    });
    sendQueuedAdvice(host, now, output);
    std::erase_if(host.adviceCalls, [&](const auto &entry) {
        if (entry.second.to != lost) {
            return false;
        }
        handleAdviceReply(host.leader, AdviceReply{entry.second.request, false, 0, {}}, now);
        return true;
    });
}

void expireAdviceCalls(Host &host)
{
    std::erase_if(host.adviceCalls, [&host](const auto &entry) {
        return host.leader.pendingAdvice.count(entry.second.request) == 0;
    });
}

void refreshAdvisers(Host &host)
{
    std::vector<std::string> advisers;
    if (host.options.canRequestAdvice) {
        advisers.emplace_back();
    }
    for (const auto &[name, peer] : host.peers) {
        if (peer.connected) {
            advisers.push_back(name);
        }
    }
    setAdvisers(host.leader, advisers);
}
}
}
