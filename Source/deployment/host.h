#pragma once

#include "consensus/node.h"
#include "deployment/couriers.h"
#include "deployment/leader.h"
#include "job/jobs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemaryturn::deployment
{
/** Name of the group that keeps the deployment's state. */
constexpr const char *deploymentGroup = "deployment";

/** What a host is told at its start; times in milliseconds. */
struct HostOptions
{
    std::string host; ///< Its id: its IP number.
    std::string dataCentre;
    bool control = false; ///< Whether it has a disk and keeps the state; other hosts hand requests on.
    bool canRequestAdvice = false; ///< Whether it can put questions to the advice service.
    std::vector<std::string> seeds; ///< Control hosts to begin with.
    /** Regions are 30 ms apart: seven rounds may be lost before a member stands, and the lease ends a fifth sooner than a vote. */
    consensus::Timing timing{100, 700, 550};
    std::uint64_t callTimeoutMs = 900; ///< Time after which a call to another host is taken as lost and made again.
    std::uint64_t retryDelayMs = 40; ///< Pause before a request is handed on again.
    std::uint64_t topologyIntervalMs = 500; ///< Time between two questions for the leader and the control hosts.
    std::uint64_t leaderValidityMs = 2500; ///< How long an answer about the leader counts.
    std::uint64_t removeAfterMs = 8000; ///< Silence after which a voter in excess of minVoters leaves the group.
    std::size_t minVoters = 3;
    std::size_t maxVoters = 7;
    std::uint64_t snapshotEveryEntries = 4000; ///< Keeps what a joining host has to fetch small: it has to be whole again within seconds.
    std::uint64_t maxSnapshotDelayMs = 2000; ///< How long a snapshot waits for members that are a little behind.
    LeaderOptions leader;
    CourierOptions couriers;
};

/** A call to another host. */
struct HostCall
{
    std::string to;
    std::uint64_t id = 0;
    wire::RequestT request;
};

/** An answer to another host's call. */
struct HostReply
{
    std::string to;
    std::uint64_t id = 0;
    wire::ReplyT reply;
};

/** A question to the advice service that this host puts. */
struct LocalAdviceRequest
{
    std::uint64_t id = 0;
    std::string step;
    std::vector<std::string> upstreams;
    std::uint64_t timeoutMs = 0;
};

/** Orders for a courier; without any, it is asked for its clock. */
struct OrderBatch
{
    std::uint64_t courierClockMs = 0; ///< What its clock shows at the earliest.
    std::vector<UpstreamCall> calls;
};

/** What a call asks its surroundings to do. */
struct HostOutput
{
    std::vector<consensus::PersistOrder> persist;
    std::vector<wire::ConsensusMessageT> messages;
    std::vector<HostCall> calls;
    std::vector<HostReply> peerReplies;
    std::vector<Answer> answers; ///< To requests of this host's own edge.
    std::vector<UpstreamCall> upstreamCalls;
    std::map<std::string, OrderBatch> courierOrders; ///< By courier.
    std::vector<LocalAdviceRequest> advice;
    std::vector<Decision> decisions;
    std::optional<std::vector<std::string>> dial; ///< Hosts to keep a connection to, when they changed.
};

/** What is known of another host. */
struct Peer
{
    bool connected = false;
    bool control = false;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool canDeliverOrders = false; ///< Whether it makes calls to upstreams for the host that leads.
};

/** A request of the own edge on its way to the leader. */
struct RoutedRequest
{
    wire::RequestT request;
    std::uint64_t deadlineMs = 0;
    std::uint64_t retryAtMs = 0; ///< When it is handed on again; 0 while a call is under way.
    std::uint64_t call = 0;
    std::string to;
    std::uint64_t sentMs = 0;
    bool maybeApplied = false; ///< A call of it got no definite answer.
};

/** Who waits for an answer of the leader, or of the advice service. */
struct Origin
{
    std::string host; ///< Empty for this host.
    std::uint64_t call = 0;
};

/** All control state of one host of a deployment. */
struct Host
{
    HostOptions options;
    std::uint64_t incarnation = 0;
    std::optional<consensus::Node> node; ///< On control hosts.
    job::State state;
    Leader leader;
    Couriers couriers;
    std::map<std::string, Peer> peers;
    std::set<std::string> controlHosts; ///< All that were ever named and not taken back.
    std::set<std::string> dialTargets;
    std::string reportedLeader; ///< On hosts without a vote: who leads, as last told.
    std::uint64_t reportedLeaderMs = 0;
    std::uint64_t reportedTerm = 0; ///< Highest term in which a leader was told.
    std::uint64_t nextTopologyMs = 0;
    std::uint64_t nextRepairMs = 0;
    std::map<Token, RoutedRequest> routed;
    std::map<std::uint64_t, Token> calls; ///< Requests by the call that carries them.
    std::set<std::uint64_t> topologyCalls;
    std::map<Token, Origin> origins; ///< Of the requests that the own leader decides.
    std::map<std::uint64_t, std::uint64_t> adviceCalls; ///< Own questions put through others: call to question.
    std::map<std::uint64_t, Origin> adviceOrigins; ///< Questions that this host puts for others.
    Token nextToken = 1ULL << 62U; ///< Above all tokens that the edge gives.
    std::uint64_t nextCall = 1;
    bool draining = false;
    wire::Bytes pendingImage; ///< A snapshot that waits until the members hold the log up to it; empty for none.
    std::uint64_t pendingImageIndex = 0;
    std::uint64_t pendingImageMs = 0;
    std::vector<wire::Bytes> proposals; ///< To be proposed together at the end of the round.
};

/** Makes the first membership. @param seeds the control hosts that found the group. @return all of them as voters. */
wire::MembershipT foundingMembership(const std::vector<std::string> &seeds);

/**
 * Builds a host.
 * @param options what it is told. @param incarnation of its data folder, or a new one. @param records its journal; empty for a host that joins.
 * @param seed of all random choices. @param now the present. @return the host.
 */
Host makeHost(HostOptions options, std::uint64_t incarnation, const std::vector<wire::JournalRecordT> &records, std::uint64_t seed, const Now &now);

/** Takes a request of the own edge. @param host the host. @param token names its answer. @param request with waitMs. @param now the present. @param output what
 * to do. */
void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output);

/** Takes another host's call. @param host the host. @param from who calls. @param id the call there. @param request the request. @param now the present. @param
 * output what to do. */
void handleCall(Host &host, const std::string &from, std::uint64_t id, wire::RequestT request, const Now &now, HostOutput &output);

/** Takes the answer to an own call. @param host the host. @param id the call. @param reply the answer. @param now the present. @param output what to do. */
void handleReply(Host &host, std::uint64_t id, wire::ReplyT reply, const Now &now, HostOutput &output);

/** Takes a consensus message. @param host the host. @param message the message. @param now the present. @param output what to do. */
void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output);

/** Notes synced records. @param host the host. @param index last index. @param term its term. @param now the present. @param output what to do. */
void handlePersisted(Host &host, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output);

/** Notes a connection that came up or went away. @param host the host. @param name the other host. @param peer its state. @param now the present. @param output
 * what to do. */
void handlePeer(Host &host, const std::string &name, const Peer &peer, const Now &now, HostOutput &output);

/** Takes an upstream's reply. @param host the host. @param reply the reply. @param now the present. @param output what to do. */
void handleUpstreamReply(Host &host, const UpstreamReply &reply, const Now &now, HostOutput &output);

/** Takes the advice service's reply to a question that this host put. @param host the host. @param reply the reply. @param now the present. @param output what
 * to do. */
void handleAdviceReply(Host &host, const AdviceReply &reply, const Now &now, HostOutput &output);

/** Takes a courier's answers. @param host the host. @param from the courier. @param answers what the upstreams answered, and what it didn't deliver. @param now
 * the present. @param output what to do. */
void handleOrderAnswers(Host &host, const std::string &from, wire::OrderAnswersT &&answers, const Now &now, HostOutput &output);

/** Takes other seeds. @param host the host. @param seeds the control hosts now named. @param output what to do. */
void addSeeds(Host &host, const std::vector<std::string> &seeds, HostOutput &output);

/** Lets time pass. @param host the host. @param now the present. @param output what to do. */
void tick(Host &host, const Now &now, HostOutput &output);

/** Ends a round of events: places what can be placed, and proposes all records of the round together. @param host the host. @param now the present. @param
 * output what to do. */
void endRound(Host &host, const Now &now, HostOutput &output);

/** Begins a graceful shutdown. @param host the host. @param now the present. @param output what to do. */
void drain(Host &host, const Now &now, HostOutput &output);

/** @param host a host. @param now the present. @return the host that leads, as far as known; empty for none. */
std::string leaderOf(const Host &host, const Now &now);

/** @param host a host. @param now the present. @return whether it can serve callers. */
bool isReady(const Host &host, const Now &now);

/** @param host a host. @param now the present. @return whether it leads and may decide. */
bool isActiveLeader(const Host &host, const Now &now);

namespace internal
{
void applyNodeOutput(Host &host, consensus::Output step, const Now &now, HostOutput &output);
void applyLeaderOutput(Host &host, LeaderOutput step, const Now &now, HostOutput &output);
void routeRequest(Host &host, Token token, const Now &now, HostOutput &output);
void refreshDialTargets(Host &host, HostOutput &output);
void repairMembership(Host &host, const Now &now, HostOutput &output);
void refreshAdvisers(Host &host);
void refreshCouriers(Host &host);
void tickCouriers(Host &host, const Now &now, HostOutput &output);
void dispatchOrder(Host &host, UpstreamCall call, const Now &now, HostOutput &output);
void handleReturnedOrders(Host &host, ReturnedOrders returned, const Now &now, HostOutput &output);
}
}
