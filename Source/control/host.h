#pragma once

#include "config/settings.h"
#include "consensus/node.h"
#include "control/cell.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace rosemaryturn::control
{
/** Name of the consensus group that replicates the configuration. */
constexpr const char *globalGroup = "global";

/** @param dataCentre a data centre. @return the name of its cell's consensus group. */
std::string cellGroup(const std::string &dataCentre);

/** A call to another host. */
struct OutgoingCall
{
    std::string to;
    std::uint64_t id = 0;
    wire::RequestT request;
};

/** The reply to another host's call. */
struct OutgoingReply
{
    std::string to;
    std::uint64_t id = 0;
    wire::ReplyT reply;
};

/** A snapshot that can't be read, or that no frame can hold, and that wasn't used. */
struct RefusedSnapshot
{
    std::string group;
    const char *source; ///< "own" or "received".
    std::size_t bytes = 0;
};

/** Effects that the caller of a function has to perform, in order within each list. */
struct HostOutput
{
    std::vector<RefusedSnapshot> refusedSnapshots; ///< To be logged.
    std::vector<consensus::PersistRequest> persist;
    std::vector<wire::ConsensusMessageT> messages;
    std::vector<OutgoingCall> calls;
    std::vector<OutgoingReply> peerReplies;
    std::vector<TokenReply> replies; ///< To requests received from this host's own callers, upstreams and operators.
    std::vector<StartOrder> starts;
};

/** A request of a local caller that is routed to the host responsible for it. */
struct RoutedRequest
{
    wire::RequestT request;
    std::uint64_t deadlineMs = 0;
    std::uint64_t waitUntilMs = 0; ///< End of the caller's wait; 0 for none.
    std::uint64_t retryAtMs = 0; ///< When it is sent again; 0 while a call is in progress.
    std::uint64_t callId = 0; ///< The call in progress if another host is responsible; 0 for none.
    std::string calledHost;
    std::uint32_t retries = 0;
    bool maybeReceived = false; ///< Whether a call was sent and its reply was lost.
};

/** The sender of another host's request. */
struct PeerOrigin
{
    std::string host;
    std::uint64_t callId = 0;
};

/** A call of one host that is forwarded to another. */
struct ForwardedCall
{
    PeerOrigin origin;
    std::string target;
};

/** State of another host. */
struct PeerState
{
    bool connected = false;
    std::uint64_t incarnation = 0;
    bool control = false; ///< In the deployment scope, whether it replicates the state.
    std::string dataCentre; ///< As stated in its Hello message.
    std::uint16_t version = 0; ///< Newest protocol version that both hosts support.
};

/** The control state of one entry host. */
struct Host
{
    config::Settings settings;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::map<std::string, consensus::Node> groups;
    ConfigState config;
    Cell cell;
    std::map<std::string, PeerState> peers;
    std::map<Token, RoutedRequest> routed;
    std::map<std::uint64_t, Token> calls; ///< Routed requests, by call id.
    std::map<Token, PeerOrigin> peerOrigins; ///< Senders of the requests that this host handles for other hosts.
    std::map<std::uint64_t, ForwardedCall> forwarded; ///< Calls forwarded for other hosts, by this host's call id.
    std::map<std::string, std::vector<Token>> pendingChanges; ///< Requests waiting for a proposed configuration change, by request id.
    std::map<std::string, std::vector<std::pair<std::uint64_t, Token>>>
        pendingVerdicts; ///< Requests waiting for a proposed verdict, by worker, with the verdict's sequence number.
    std::uint64_t nextToken = 1ULL << 62U; ///< Above all tokens that local callers get.
    std::uint64_t nextCall = 1; ///< Begins at wire::firstCallId().
    std::map<Token, SpillCall> spills; ///< Spill calls in progress.
    std::vector<std::pair<SpillCall, wire::ReplyT>> spillReplies; ///< Replies that the cell handles at the next tick.
    std::map<std::string, std::uint64_t> nextSnapshotIndex; ///< By group: no snapshot is made before this index is applied.
    std::uint64_t snapshotsRefused = 0; ///< Snapshots, own and received, that can't be read and weren't used.
    bool draining = false;
    std::map<std::string, std::string> lastResponder; ///< By data centre, the host that last replied without an error.
};

/**
 * Creates the control state of a host.
 * @param settings validated settings.
 * @param incarnation the incarnation stored in the host's data folder, or a new one for a host without a disk.
 * @param journals the journal records of each group.
 * @param seed of all random choices, which no other process uses.
 * @param now the current time.
 * @param error wire::WireError::SnapshotUnreadable; the host must then not be used.
 * @return the host.
 */
Host makeHost(config::Settings settings, std::uint64_t incarnation, const std::map<std::string, std::vector<wire::JournalRecordT>> &journals,
              std::uint64_t seed, const Now &now, std::error_code &error);

/** @param settings validated settings. @param host a host id. @return the consensus groups that the host is a member of. */
std::vector<std::string> groupsOf(const config::Settings &settings, const std::string &host);

/** @param settings validated settings. @param group a group. @return the membership that the settings define for it. */
wire::MembershipT desiredMembership(const config::Settings &settings, const std::string &group);

/** Handles a request of a local caller. @param host the host. @param token identifies the answer. @param request the request. @param now the current time.
 * @param output receives the effects. */
void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output);

/** Handles a call from another host. @param host the host. @param from the calling host. @param callId the caller's id of the call. @param request the request.
 * @param now the current time. @param output receives the effects. */
void handleCall(Host &host, const std::string &from, std::uint64_t callId, wire::RequestT request, const Now &now, HostOutput &output);

/** Handles the reply to a call of this host. @param host the host. @param callId the call. @param reply the reply. @param now the current time. @param output
 * receives the effects. */
void handleReply(Host &host, std::uint64_t callId, wire::ReplyT reply, const Now &now, HostOutput &output);

/** Handles a consensus message. @param host the host. @param message the message. @param now the current time. @param output receives the effects. */
void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output);

/** Handles the completed sync of journal records. @param host the host. @param group the group. @param index the last log index on disk. @param term its term.
 * @param now the current time. @param output receives the effects. */
void handlePersisted(Host &host, const std::string &group, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output);

/** Handles the workers' replies to start orders. @param host the host. @param replies the replies. @param now the current time. @param output receives the
 * effects. */
void handleStartReplies(Host &host, const std::vector<StartReply> &replies, const Now &now, HostOutput &output);

/** Handles a connection that was established or lost. @param host the host. @param peer the other host. @param state its new state. @param now the current
 * time. @param output receives the effects. */
void handlePeer(Host &host, const std::string &peer, const PeerState &state, const Now &now, HostOutput &output);

/** Performs the periodic work. @param host the host. @param now the current time. @param output receives the effects. */
void tickHost(Host &host, const Now &now, HostOutput &output);

/** Begins a graceful shutdown: gives up leadership and places no more tasks. @param host the host. @param now the current time. @param output receives the
 * effects. */
void drainHost(Host &host, const Now &now, HostOutput &output);

/** @param host the host. @return whether its configuration is at least as new as any that it may have served before. */
bool isConfigLearnt(const Host &host);

/** @param host the host. @return whether it can serve callers: its cell has a leader, the configuration is up to date, and it isn't draining. */
bool isReady(const Host &host);
}
