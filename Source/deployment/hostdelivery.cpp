#include "deployment/host.h"
#include "deployment/ordercodec.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Prepares a returned order for being sent again. @return false if the upstream has restarted since the order was sent, or its run isn't wanted any more. */
bool prepareResend(Leader &leader, const job::State &state, UpstreamCall &call, const Now &now)
{
    const auto open = leader.pendingCalls.find(call.id);
    const auto upstreamState = open == leader.pendingCalls.end() ? leader.upstreams.end() : leader.upstreams.find(open->second.upstream);
    if (upstreamState == leader.upstreams.end() || upstreamState->second.registration.born != open->second.incarnation) {
        return false;
    }
    if (call.kind == CallKind::Start) {
        const auto run = upstreamState->second.runs.find(call.task);
        return run != upstreamState->second.runs.end() && run->second.number == call.run && internal::isWanted(state, run->second)
            && internal::mayStillStart(leader, upstreamState->second, now);
    }
    if (call.kind == CallKind::Poll) {
        // An upstream process that isn't known yet may answer: the acknowledgement and the lease renewal were meant for the previous one.
        call.acknowledge = 0;
        call.leaseUntilMs = 0;
        call.waitMs = 0;
        open->second.acknowledge = 0;
    }
    return true;
}
}

void handleOrderAnswers(Host &host, const std::string &from, wire::OrderAnswersT &&answers, const Now &now, HostOutput &output)
{
    if (answers.origin != host.couriers.origin) {
        return; // Addressed to an earlier process of this host, which used the same call ids.
    }
    CourierClock &clock = host.couriers.clocks[from];
    clock.courierMs = answers.courierClockMs;
    clock.receivedMs = now.monotonicMs;
    ReturnedOrders returned;
    for (const std::uint64_t id : answers.declined) {
        handleDeclinedOrder(host.couriers, host.options.couriers, from, id, now.monotonicMs, returned);
    }
    if (!answers.declined.empty()) {
        output.decisions.push_back({"orders-given-back", from, "orders=" + std::to_string(answers.declined.size())});
    }
    internal::handleReturnedOrders(host, std::move(returned), now, output);
    for (const auto &answer : answers.answers) {
        if (completeOrder(host.couriers, from, answer->id)) {
            handleUpstreamReply(host, decodeAnswer(std::move(*answer)), now, output);
        }
    }
}

namespace internal
{
void refreshCouriers(Host &host)
{
    host.couriers.hosts.clear();
    std::erase_if(host.couriers.clocks, [&host](const auto &entry) {
        const auto peer = host.peers.find(entry.first);
        return peer == host.peers.end() || !peer->second.connected; // The next process with this name has another clock.
    });
    for (const auto &[name, peer] : host.peers) {
        if (peer.connected && peer.canDeliverOrders && !peer.control) {
            host.couriers.hosts[peer.dataCentre].push_back(name);
        }
    }
}

void tickCouriers(Host &host, const Now &now, HostOutput &output)
{
    if (host.leader.upstreams.size() >= host.options.couriers.minUpstreams) {
        for (const std::string &courier : dueClockRequests(host.couriers, host.options.couriers, now.monotonicMs)) {
            output.courierOrders[courier].courierClockMs = estimateCourierClock(host.couriers, courier, now.monotonicMs);
        }
    }
    ReturnedOrders expired = expireOrders(host.couriers, host.options.couriers, now.monotonicMs);
    if (!expired.unknown.empty()) {
        output.decisions.push_back(
            {"orders-unanswered", std::to_string(expired.unknown.front()), "orders=" + std::to_string(expired.unknown.size()) + " by=couriers"});
    }
    handleReturnedOrders(host, std::move(expired), now, output);
}

void dispatchOrder(Host &host, UpstreamCall call, const Now &now, HostOutput &output)
{
    const auto number = host.leader.upstreamNumbers.find(call.upstream);
    if (host.leader.upstreams.size() >= host.options.couriers.minUpstreams && number != host.leader.upstreamNumbers.end()) {
        const std::string &dataCentre = host.leader.upstreams.at(number->second).registration.dataCentre;
        const std::string courier = selectCourier(host.couriers, host.options.couriers, dataCentre, call.upstream, now.monotonicMs);
        if (!courier.empty()) {
            recordOrder(host.couriers, host.options.couriers, courier, call, now.monotonicMs);
            OrderBatch &batch = output.courierOrders[courier];
            batch.courierClockMs = estimateCourierClock(host.couriers, courier, now.monotonicMs);
            batch.calls.push_back(std::move(call));
            return;
        }
    }
    output.upstreamCalls.push_back(std::move(call));
}

/**
 * Withholds the orders of a round that ends without the leader lease, as a leader that was suspended may have a successor by now. Their results are unknown to
 * the leader, as if they had been lost on their way. Orders that may be sent get the time until which that holds.
 */
void checkOrders(Host &host, const Now &now, HostOutput &output)
{
    if (isActiveLeader(host, now)) {
        output.sendBeforeMs = std::min(now.monotonicMs + maxOrderAgeMs, host.node->leaseUntilMs);
        return;
    }
    ReturnedOrders withheld;
    for (const UpstreamCall &call : std::exchange(output.upstreamCalls, {})) {
        withheld.unknown.push_back(call.id);
    }
    for (auto &[courier, batch] : output.courierOrders) {
        for (const UpstreamCall &call : std::exchange(batch.calls, {})) {
            completeOrder(host.couriers, courier, call.id);
            withheld.unknown.push_back(call.id);
        }
    }
    if (!withheld.unknown.empty()) {
        output.decisions.push_back(
            {"orders-withheld", std::to_string(withheld.unknown.front()), "orders=" + std::to_string(withheld.unknown.size()) + " cause=no-lease"});
    }
    handleReturnedOrders(host, std::move(withheld), now, output);
}

void handleReturnedOrders(Host &host, ReturnedOrders returned, const Now &now, HostOutput &output)
{
    for (UpstreamCall &call : returned.resend) {
        if (prepareResend(host.leader, host.state, call, now)) {
            output.upstreamCalls.push_back(std::move(call));
        }
    }
    for (const std::uint64_t id : returned.unknown) {
        UpstreamReply reply;
        reply.id = id;
        handleUpstreamReply(host, reply, now, output);
    }
}
}
}
