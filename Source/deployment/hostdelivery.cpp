#include "deployment/host.h"
#include "deployment/orderwire.h"

#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Makes an order that comes back fit to be sent again. @return false when another process has taken its upstream's place since. */
bool prepareAgain(Leader &leader, UpstreamCall &call)
{
    const auto open = leader.pendingCalls.find(call.id);
    const auto life = open == leader.pendingCalls.end() ? leader.upstreams.end() : leader.upstreams.find(open->second.upstream);
    if (life == leader.upstreams.end() || life->second.registration.born != open->second.incarnation) {
        return false;
    }
    if (call.kind == CallKind::Poll) {
        // A process that nobody knows of yet may answer: what this look acknowledged and renewed was meant for the one before it.
        call.acknowledge = 0;
        call.leaseUntilMs = 0;
        call.waitMs = 0;
        life->second.acknowledgedEnd = 0;
    }
    return true;
}
}

void takeOrderAnswers(Host &host, const std::string &from, wire::OrderAnswersT &&answers, const Now &now, HostOutput &output)
{
    if (answers.origin != host.couriers.origin) {
        return; // Meant for an earlier process of this host, whose calls had the same numbers.
    }
    CourierClock &clock = host.couriers.clocks[from];
    clock.courierMs = answers.courierClockMs;
    clock.atMs = now.steadyMs;
    Returned returned;
    for (const std::uint64_t id : answers.declined) {
        takeDeclined(host.couriers, host.options.couriers, from, id, now.steadyMs, returned);
    }
    if (!answers.declined.empty()) {
        output.decisions.push_back({"orders-given-back", from, "orders=" + std::to_string(answers.declined.size())});
    }
    internal::takeReturned(host, std::move(returned), now, output);
    for (const auto &answer : answers.answers) {
        if (closeDelivery(host.couriers, from, answer->id)) {
            takeUpstream(host, decodeAnswer(std::move(*answer)), now, output);
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
        return peer == host.peers.end() || !peer->second.connected; // Another process may answer under the name next.
    });
    for (const auto &[name, peer] : host.peers) {
        if (peer.connected && peer.delivers && !peer.control) {
            host.couriers.hosts[peer.dataCentre].push_back(name);
        }
    }
}

void tickCouriers(Host &host, const Now &now, HostOutput &output)
{
    if (host.leader.upstreams.size() >= host.options.couriers.fromUpstreams) {
        for (const std::string &courier : couriersToAsk(host.couriers, host.options.couriers, now.steadyMs)) {
            output.delivered[courier].courierClockMs = courierClock(host.couriers, courier, now.steadyMs);
        }
    }
    Returned late = expireDeliveries(host.couriers, host.options.couriers, now.steadyMs);
    if (!late.unknown.empty()) {
        output.decisions.push_back(
            {"orders-unanswered", std::to_string(late.unknown.front()), "orders=" + std::to_string(late.unknown.size()) + " by=couriers"});
    }
    takeReturned(host, std::move(late), now, output);
}

void giveOut(Host &host, UpstreamCall call, const Now &now, HostOutput &output)
{
    const auto number = host.leader.upstreamNumbers.find(call.upstream);
    if (host.leader.upstreams.size() >= host.options.couriers.fromUpstreams && number != host.leader.upstreamNumbers.end()) {
        const std::string &dataCentre = host.leader.upstreams.at(number->second).registration.dataCentre;
        const std::string courier = courierFor(host.couriers, host.options.couriers, dataCentre, call.upstream, now.steadyMs);
        if (!courier.empty()) {
            noteDelivery(host.couriers, host.options.couriers, courier, call, now.steadyMs);
            Delivery &delivery = output.delivered[courier];
            delivery.courierClockMs = courierClock(host.couriers, courier, now.steadyMs);
            delivery.calls.push_back(std::move(call));
            return;
        }
    }
    output.upstreamCalls.push_back(std::move(call));
}

void takeReturned(Host &host, Returned returned, const Now &now, HostOutput &output)
{
    for (UpstreamCall &call : returned.again) {
        if (prepareAgain(host.leader, call)) {
            output.upstreamCalls.push_back(std::move(call));
        }
    }
    for (const std::uint64_t id : returned.unknown) {
        UpstreamReply reply;
        reply.id = id;
        takeUpstream(host, reply, now, output);
    }
}
}
}
