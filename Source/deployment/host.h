#pragma once

#include "consensus/node.h"
#include "deployment/couriers.h"
#include "deployment/leader.h"
#include "job/jobs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace rosemaryturn::deployment
{
/** Name of the consensus group that replicates the deployment's state. */
constexpr const char *deploymentGroup = "deployment";

/** Configuration of a host; times in milliseconds. */
struct HostOptions
{
    std::string host; ///< Host id: its IP address.
    std::string dataCentre;
    bool control = false; ///< Whether it has a disk and replicates the state; other hosts forward requests.
    bool canRequestAdvice = false; ///< Whether it can reach the advice service.
    std::vector<std::string> seeds; ///< Control hosts known at startup.
    /** Regions are 30 ms apart. Seven heartbeat rounds may be lost before a member starts an election; the leader lease ends a fifth earlier than the
     * election timeout. */
    consensus::Timing timing{100, 700, 550};
    std::uint64_t callTimeoutMs = 900; ///< Time after which a call to another host counts as lost and is repeated.
    std::uint64_t maxStallMs = 60000; ///< Time without an event after which submissions that are read next may be too old to be forwarded.
    std::uint64_t stallGraceMs = 5000; ///< Time after a longer stall during which submissions are refused, as they may have arrived before it.
    std::uint64_t retryDelayMs = 40; ///< Delay before a request is forwarded again.
    std::uint64_t topologyIntervalMs = 500; ///< Interval between queries for the leader and the control hosts.
    std::uint64_t leaderValidityMs = 2500; ///< How long a reported leader stays valid.
    std::uint64_t replaceAfterMs = 2000; ///< Time without contact after which a voter is replaced by a learner that has the log.
    std::uint64_t removeAfterMs = 8000; ///< Time without contact after which a member is removed from the group, a voter only down to minVoters.
    std::size_t minVoters = 3; ///< Minimum of voters and learners that are ready to vote after a voter is removed.
    std::size_t maxVoters = 7;
    std::uint64_t snapshotEveryEntries = 4000; ///< Limits what a joining host has to fetch, so that it catches up within seconds.
    std::uint64_t maxLogBytes = std::uint64_t{16} << 20U; ///< Size of the entries since the last snapshot from which another one is taken.
    std::uint64_t maxSnapshotDelayMs = 2000; ///< How long a snapshot is delayed for members that are slightly behind.
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

/** The reply to another host's call. */
struct HostReply
{
    std::string to;
    std::uint64_t id = 0;
    wire::ReplyT reply;
};

/** A request to the advice service that this host sends. */
struct LocalAdviceRequest
{
    std::uint64_t id = 0;
    std::string step;
    std::vector<std::string> upstreams;
    std::uint64_t timeoutMs = 0;
    std::uint64_t costMs = 0; ///< Estimated time that the service takes for it; 0 if not known.
};

/** Orders for a courier; an empty batch only requests a sample of its clock. */
struct OrderBatch
{
    std::uint64_t courierClockMs = 0; ///< Lower bound of the courier's current clock value.
    std::vector<UpstreamCall> calls;
};

/** Effects that the caller of a function has to perform. */
struct HostOutput
{
    std::vector<consensus::PersistRequest> persist;
    std::vector<wire::ConsensusMessageT> messages;
    std::vector<HostCall> calls;
    std::vector<HostReply> peerReplies;
    std::vector<TokenReply> replies; ///< To requests received from this host's own callers.
    std::vector<UpstreamCall> upstreamCalls;
    std::uint64_t sendBeforeMs = 0; ///< Own clock value from which the upstreamCalls must not be sent any more.
    std::map<std::string, OrderBatch> courierOrders; ///< By courier.
    std::vector<LocalAdviceRequest> advice;
    std::vector<Decision> decisions;
    std::optional<std::vector<std::string>> dial; ///< Hosts to keep a connection to; set when they change.
};

/** State of another host. */
struct Peer
{
    bool connected = false;
    bool control = false;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool canDeliverOrders = false; ///< Whether it can call upstreams on behalf of the leader.
};

/** A request of a local caller that is routed to the leader. */
struct RoutedRequest
{
    wire::RequestT request;
    std::uint64_t deadlineMs = 0;
    std::uint64_t retryAtMs = 0; ///< When it is forwarded again; 0 while a call is in progress.
    std::uint64_t call = 0;
    std::string to;
    std::uint64_t sentMs = 0;
    bool maybeApplied = false; ///< Whether an attempt ended without a definite answer.
};

/** The sender of a request to the leader or to the advice service. */
struct Origin
{
    std::string host; ///< Empty for this host.
    std::uint64_t call = 0;
};

/** An advice request of this host's leader that another host makes. */
struct RemoteAdviceCall
{
    std::uint64_t request = 0; ///< Id of the request.
    std::string to;
};

/** A request to the advice service that waits for its turn. */
struct QueuedAdvice
{
    LocalAdviceRequest request;
    std::uint64_t deadlineMs = 0;
};

/** The control state of one host of a deployment. */
struct Host
{
    HostOptions options;
    std::uint64_t incarnation = 0;
    std::optional<consensus::Node> node; ///< On control hosts.
    job::State state;
    Leader leader;
    Couriers couriers;
    std::map<std::string, Peer> peers;
    std::set<std::string> controlHosts; ///< All control hosts named so far; entries are never removed.
    std::set<std::string> dialTargets;
    std::string reportedLeader; ///< On hosts without a vote: the leader last reported by another host.
    std::uint64_t reportedLeaderMs = 0;
    std::uint64_t reportedTerm = 0; ///< Highest term for which a leader was reported.
    std::uint64_t nextTopologyMs = 0;
    std::uint64_t nextRepairMs = 0;
    std::uint64_t nextNotReadyMs = 0; ///< When an elected leader that can't act yet is reported next.
    std::uint64_t lastRepairCommit = 0; ///< Committed index at the previous check of the membership; 0 before the first one as leader.
    std::uint64_t lastEventMs = 0; ///< Time of the latest tick or request of a local caller; 0 before the first one.
    std::uint64_t submissionsFromMs = 0; ///< Submissions of local callers are refused before this time.
    std::map<Token, RoutedRequest> routed;
    std::map<std::uint64_t, Token> calls; ///< Routed requests, by call id.
    std::set<std::uint64_t> topologyCalls;
    std::map<Token, Origin> origins; ///< Senders of the requests that this host handles as leader.
    std::map<std::uint64_t, RemoteAdviceCall> adviceCalls; ///< Advice requests sent through other hosts, by call id.
    std::map<std::uint64_t, Origin> adviceOrigins; ///< Senders of the advice requests that this host makes for other hosts.
    std::deque<QueuedAdvice> queuedAdvice; ///< Requests to the advice service that aren't sent yet, in order.
    std::map<std::uint64_t, std::uint64_t> adviceInProgress; ///< Requests to the advice service that were sent and aren't answered: id to cost in ms.
    std::uint64_t adviceDropped = 0; ///< Requests that were never sent: their sender was lost, or their time was over.
    Token nextToken = 1ULL << 62U; ///< Above all tokens that local callers get.
    std::uint64_t nextCall = 1; ///< Begins at wire::firstCallId(): replies are addressed to a host and may arrive at a later process.
    std::uint64_t unmatchedReplies = 0; ///< Replies to no open call: late ones, and those to calls of an earlier process of this host.
    bool draining = false;
    std::optional<job::State> receivedState; ///< State of the leader's snapshot that is being handled.
    std::uint64_t snapshotsRefused = 0; ///< Snapshots, own and received, that can't be read and weren't used.
    std::uint64_t lastRefusedSnapshot = 0; ///< Index of the latest received one, which is reported once.
    std::uint64_t nextSnapshotIndex = 0; ///< No snapshot is made before this index is applied.
    wire::Bytes pendingImage; ///< A snapshot that is delayed until the members have the log up to it; empty for none.
    std::uint64_t pendingImageIndex = 0;
    std::uint64_t pendingImageMs = 0;
    std::vector<wire::Bytes> proposals; ///< Proposed together at the end of the event round.
};

/** Creates the initial membership. @param seeds the control hosts that found the group. @return the membership with all seeds as voters. */
wire::MembershipT foundingMembership(const std::vector<std::string> &seeds);

/**
 * Creates a host.
 * @param options its configuration. @param incarnation the incarnation stored in its data folder, or a new one. @param records its journal; empty for a host
 * that joins. @param seed of all random choices, which no other process uses. @param now the current time. @param error
 * wire::WireError::SnapshotUnreadable; the host must then not be used. @return the host.
 */
Host makeHost(HostOptions options, std::uint64_t incarnation, std::vector<wire::JournalRecordT> records, std::uint64_t seed, const Now &now,
              std::error_code &error);

/** Handles a request of a local caller. @param host the host. @param token identifies the answer. @param request the request, with waitMs. @param now the
 * current time. @param output receives the effects. */
void handleLocalRequest(Host &host, Token token, wire::RequestT request, const Now &now, HostOutput &output);

/** Handles a call from another host. @param host the host. @param from the calling host. @param id the caller's id of the call. @param request the request.
 * @param now the current time. @param output receives the effects. */
void handleCall(Host &host, const std::string &from, std::uint64_t id, wire::RequestT request, const Now &now, HostOutput &output);

/** Handles the reply to a call of this host. @param host the host. @param id the call. @param reply the reply. @param now the current time. @param output
 * receives the effects. */
void handleReply(Host &host, std::uint64_t id, wire::ReplyT reply, const Now &now, HostOutput &output);

/** Handles a consensus message. @param host the host. @param message the message. @param now the current time. @param output receives the effects. */
void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output);

/** Handles the completed sync of journal records. @param host the host. @param index the last log index on disk. @param term its term. @param now the current
 * time. @param output receives the effects. */
void handlePersisted(Host &host, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output);

/** Handles a connection that was established or lost. @param host the host. @param name the other host. @param peer its new state. @param now the current
 * time. @param output receives the effects. */
void handlePeer(Host &host, const std::string &name, const Peer &peer, const Now &now, HostOutput &output);

/** Handles an upstream's reply. @param host the host. @param reply the reply. @param now the current time. @param output receives the effects. */
void handleUpstreamReply(Host &host, const UpstreamReply &reply, const Now &now, HostOutput &output);

/** Handles the advice service's reply to a request of this host. @param host the host. @param reply the reply. @param now the current time. @param output
 * receives the effects. */
void handleAdviceReply(Host &host, const AdviceReply &reply, const Now &now, HostOutput &output);

/** Handles a courier's answers. @param host the host. @param from the courier. @param answers the upstreams' replies and the declined orders. @param now the
 * current time. @param output receives the effects. */
void handleOrderAnswers(Host &host, const std::string &from, wire::OrderAnswersT &&answers, const Now &now, HostOutput &output);

/** Adds seeds to the known control hosts. @param host the host. @param seeds the control hosts now configured. @param output receives the effects. */
void addSeeds(Host &host, const std::vector<std::string> &seeds, HostOutput &output);

/** Performs the periodic work. @param host the host. @param now the current time. @param output receives the effects. */
void tick(Host &host, const Now &now, HostOutput &output);

/** Ends a round of events: places the steps that can be placed, and proposes all records of the round together. @param host the host. @param now the current
 * time. @param output receives the effects. */
void endRound(Host &host, const Now &now, HostOutput &output);

/** Begins a graceful shutdown. @param host the host. @param now the current time. @param output receives the effects. */
void drain(Host &host, const Now &now, HostOutput &output);

/** @param host a host. @param now the current time. @return the leader known to the host; empty for none. */
std::string leaderOf(const Host &host, const Now &now);

/** @param host a host. @param now the current time. @return whether it can serve callers. */
bool isReady(const Host &host, const Now &now);

/** @param host a host. @return the memory that its state and its log take, as job/footprint.h estimates it. */
std::uint64_t heldBytes(const Host &host);

/** @param host a host. @param now the current time. @return whether it leads the group and holds a valid leader lease. */
bool isActiveLeader(const Host &host, const Now &now);

namespace internal
{
void applyNodeOutput(Host &host, consensus::Output step, const Now &now, HostOutput &output);
void applyLeaderOutput(Host &host, LeaderOutput step, const Now &now, HostOutput &output);
void detectStall(Host &host, const Now &now);
void routeRequest(Host &host, Token token, const Now &now, HostOutput &output);
void reportPossibleEffect(const RoutedRequest &routed, wire::ReplyT &reply);
void refreshDialTargets(Host &host, HostOutput &output);
void repairMembership(Host &host, const Now &now, HostOutput &output);
void refreshAdvisers(Host &host);
void requestAdvice(Host &host, AdviceCall call, const Now &now, HostOutput &output);
void requestAdviceFor(Host &host, Origin origin, wire::RequestT request, const Now &now, HostOutput &output);
bool handleRemoteAdvice(Host &host, std::uint64_t call, const wire::ReplyT &reply, const Now &now);
void dropAdviceOf(Host &host, const std::string &lost, const Now &now, HostOutput &output);
void expireAdviceCalls(Host &host);
void refreshCouriers(Host &host);
void tickCouriers(Host &host, const Now &now, HostOutput &output);
void dispatchOrder(Host &host, UpstreamCall call, const Now &now, HostOutput &output);
void handleReturnedOrders(Host &host, ReturnedOrders returned, const Now &now, HostOutput &output);
void checkOrders(Host &host, const Now &now, HostOutput &output);
}
}
