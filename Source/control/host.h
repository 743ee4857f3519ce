#pragma once

#include "config/settings.h"
#include "consensus/node.h"
#include "control/cell.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryturn::control
{
/** Name of the group that agrees on the configuration. */
constexpr const char *globalGroup = "global";

/** @param dataCentre a data centre. @return the name of the group of its cell. */
std::string cellGroup(const std::string &dataCentre);

/** A call to another host. */
struct OutgoingCall
{
    std::string to;
    std::uint64_t id = 0;
    wire::RequestT request;
};

/** An answer to another host's call. */
struct OutgoingReply
{
    std::string to;
    std::uint64_t id = 0;
    wire::ReplyT reply;
};

/** What a call asks its surroundings to do, in order within each list. */
struct HostOutput
{
    std::vector<consensus::PersistRequest> persist;
    std::vector<wire::ConsensusMessageT> messages;
    std::vector<OutgoingCall> calls;
    std::vector<OutgoingReply> peerReplies;
    std::vector<TokenReply> replies; ///< To requests of this host's own callers, upstreams and operators.
    std::vector<StartOrder> starts;
};

/** A request of this host's own edge that is on its way to who decides it. */
struct RoutedRequest
{
    wire::RequestT request;
    std::uint64_t deadlineMs = 0;
    std::uint64_t waitUntilMs = 0; ///< End of the caller's wait; 0 for none.
    std::uint64_t retryAtMs = 0; ///< When it is sent again; 0 while it is under way.
    std::uint64_t callId = 0; ///< The call under way, if another host decides.
    std::string calledHost;
    std::uint32_t retries = 0;
    bool maybeReceived = false; ///< A call was sent and its answer was lost.
};

/** Where the answer to a request that this host decides goes. */
struct PeerOrigin
{
    std::string host;
    std::uint64_t callId = 0;
};

/** A call of another host that was handed on to a third. */
struct ForwardedCall
{
    PeerOrigin origin;
    std::string target;
};

/** What is known of another host. */
struct PeerState
{
    bool connected = false;
    std::uint64_t incarnation = 0;
    bool control = false; ///< In the deployment scope, whether it keeps the state.
    std::string dataCentre; ///< As it greeted.
    std::uint16_t version = 0; ///< Newest protocol version that both ends speak.
};

/** All control state of one entry host. */
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
    std::map<std::uint64_t, Token> calls; ///< Calls under way, by id.
    std::map<Token, PeerOrigin> peerOrigins;
    std::map<std::uint64_t, ForwardedCall> forwarded; ///< Calls handed on for another host, by own call id.
    std::map<std::string, std::vector<Token>> pendingChanges; ///< Proposed configuration changes, by request id.
    std::map<std::string, std::vector<std::pair<std::uint64_t, Token>>> pendingVerdicts; ///< By worker, with the sequence.
    std::uint64_t nextToken = 1ULL << 62U; ///< Above all tokens that the edge gives.
    std::uint64_t nextCall = 1;
    std::map<Token, SpillCall> spills; ///< Spill calls under way.
    std::vector<std::pair<SpillCall, wire::ReplyT>> spillReplies; ///< Answers that the next tick hands to the cell.
    bool draining = false;
    std::map<std::string, std::string> lastResponder; ///< By data centre, the host that last decided there.
};

/**
 * Builds the control state of a host.
 * @param settings checked settings.
 * @param incarnation of this host's data folder, or a new one for a host without a disk.
 * @param journals the records of each group's journal.
 * @param seed of all random choices.
 * @param now the present.
 * @return the host.
 */
Host makeHost(config::Settings settings, std::uint64_t incarnation, const std::map<std::string, std::vector<wire::JournalRecordT>> &journals,
              std::uint64_t seed, const Now &now);

/** @param settings checked settings. @param host a host id. @return the groups that the host is a member of. */
std::vector<std::string> groupsOf(const config::Settings &settings, const std::string &host);

/** @param settings checked settings. @param group a group. @return its members as the settings want them. */
wire::MembershipT desiredMembership(const config::Settings &settings, const std::string &group);

/** Takes a request of the own edge. @param host the host. @param token names its answer. @param request the request. @param now the present. @param output what
 * to do. */
void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output);

/** Takes another host's call. @param host the host. @param from the other host. @param callId its number there. @param request the request. @param now the
 * present. @param output what to do. */
void handleCall(Host &host, const std::string &from, std::uint64_t callId, wire::RequestT request, const Now &now, HostOutput &output);

/** Takes the answer to an own call. @param host the host. @param callId its number. @param reply the answer. @param now the present. @param output what to do.
 */
void handleReply(Host &host, std::uint64_t callId, wire::ReplyT reply, const Now &now, HostOutput &output);

/** Takes a consensus message. @param host the host. @param message the message. @param now the present. @param output what to do. */
void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output);

/** Takes note that records are synced. @param host the host. @param group the group. @param index last synced index. @param term its term. @param now the
 * present. @param output what to do. */
void handlePersisted(Host &host, const std::string &group, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output);

/** Takes workers' replies to starts. @param host the host. @param replies the replies. @param now the present. @param output what to do. */
void handleStartReplies(Host &host, const std::vector<StartReply> &replies, const Now &now, HostOutput &output);

/** Takes note of a connection to another host that came up or went away. @param host the host. @param peer the other. @param state its state. @param now the
 * present. @param output what to do. */
void handlePeer(Host &host, const std::string &peer, const PeerState &state, const Now &now, HostOutput &output);

/** Lets time pass. @param host the host. @param now the present. @param output what to do. */
void tickHost(Host &host, const Now &now, HostOutput &output);

/** Begins a graceful shutdown: hands leadership over and places nothing more. @param host the host. @param now the present. @param output what to do. */
void drainHost(Host &host, const Now &now, HostOutput &output);

/** @param host the host. @return whether it knows a revision at least as new as any it may have served. */
bool isConfigLearnt(const Host &host);

/** @param host the host. @return whether it can serve callers: its cell has a leader, and the configuration is learnt. */
bool isReady(const Host &host);
}
