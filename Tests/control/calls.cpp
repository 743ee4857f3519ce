#include "fakes/bench.h"
#include "testing.h"

#include <cstdint>

namespace
{
using namespace rosemaryturn;
using fakes::Bench;

constexpr const char *caller = "h1-1";

/** @param operation an operation. @return a request of it that another data centre handles. */
wire::RequestT remoteRequest(wire::Operation operation)
{
    wire::RequestT request;
    request.operation = operation;
    request.key = "k@dc2";
    request.dataCentre = "dc2";
    request.waitMs = 5000;
    return request;
}

/** @param bench a system that has just started. @param operation an operation. @return the id of the call that the host makes for a local caller. */
std::uint64_t callOtherDataCentre(Bench &bench, wire::Operation operation)
{
    control::HostOutput output;
    control::handleLocalRequest(*bench.hosts.at(caller).host, 1, remoteRequest(operation), bench.now(), output);
    CHECK_EQUAL(std::size_t{1}, output.calls.size());
    return output.calls.front().id;
}

/** @param bench a system that has just started. @return the id of the call that the host makes for another host. */
std::uint64_t forwardCall(Bench &bench)
{
    control::HostOutput output;
    control::handleCall(*bench.hosts.at(caller).host, "h1-2", 1, remoteRequest(wire::Operation::Query), bench.now(), output);
    CHECK_EQUAL(std::size_t{1}, output.calls.size());
    return output.calls.front().id;
}

/** Reports a connection to a host of the other data centre to a host that has just started. */
void connect(Bench &bench)
{
    control::PeerState peer;
    peer.connected = true;
    peer.incarnation = 1;
    peer.dataCentre = "dc2";
    control::HostOutput output;
    control::handlePeer(*bench.hosts.at(caller).host, "h2-1", peer, bench.now(), output);
}
}

/** A restarted host passed the reply to a call of its predecessor to its own caller: a task counted as accepted that was never stored. */
TEST_CASE(ControlCalls, ARestartedHostIgnoresRepliesToItsPredecessor)
{
    for (const wire::Operation operation : {wire::Operation::Submit, wire::Operation::Query, wire::Operation::Cancel}) {
        Bench former(1);
        Bench successor(2);
        connect(former);
        connect(successor);
        const std::uint64_t formerCall = callOtherDataCentre(former, operation);
        const std::uint64_t ownCall = callOtherDataCentre(successor, operation);
        control::HostOutput output;
        control::handleReply(*successor.hosts.at(caller).host, formerCall, {}, successor.now(), output);
        CHECK(output.replies.empty());
        control::handleReply(*successor.hosts.at(caller).host, ownCall, {}, successor.now(), output);
        CHECK_EQUAL(std::size_t{1}, output.replies.size());
    }
}

/** The same for calls that a host forwards for another one. */
TEST_CASE(ControlCalls, ARestartedHostForwardsNoReplyToItsPredecessor)
{
    Bench former(1);
    Bench successor(2);
    connect(former);
    connect(successor);
    const std::uint64_t formerCall = forwardCall(former);
    const std::uint64_t ownCall = forwardCall(successor);
    control::HostOutput output;
    control::handleReply(*successor.hosts.at(caller).host, formerCall, {}, successor.now(), output);
    CHECK(output.peerReplies.empty());
    control::handleReply(*successor.hosts.at(caller).host, ownCall, {}, successor.now(), output);
    CHECK_EQUAL(std::size_t{1}, output.peerReplies.size());
}
