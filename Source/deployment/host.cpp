#include "deployment/host.h"

#include "storage/identity.h"
#include "wire/callid.h"
#include "wire/frame.h"
#include "wire/wireerror.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Interval between reports of an elected leader that can't act yet. */
constexpr std::uint64_t notReadyIntervalMs = 1000;

/** Reports an elected leader that hasn't committed the start of its term yet, with the replication state of the members. */
void reportNotReady(Host &host, const Now &now, HostOutput &output)
{
    const consensus::Node &node = *host.node;
    if (node.role != consensus::Role::Leader || consensus::isReadyLeader(node)) {
        host.nextNotReadyMs = now.monotonicMs + notReadyIntervalMs;
        return;
    }
    if (now.monotonicMs < host.nextNotReadyMs) {
        return;
    }
    host.nextNotReadyMs = now.monotonicMs + notReadyIntervalMs;
    std::string members;
    for (const auto &[name, progress] : node.progress) {
        members += (members.empty() ? "" : ",") + name + ":" + std::to_string(progress.matchIndex) + ":" + std::to_string(progress.nextIndex);
    }
    output.decisions.push_back({"leader-not-ready",
                                std::to_string(node.term),
                                "first=" + std::to_string(node.termStartIndex) + " last=" + std::to_string(consensus::lastIndex(node.log))
                                    + " synced=" + std::to_string(node.persisted) + " commit=" + std::to_string(node.commit) + " members=" + members});
}

/** @return whether every member with known progress has the log up to the index, so that none needs the whole snapshot. */
bool membersHaveLog(const consensus::Node &node, std::uint64_t index)
{
    return std::all_of(node.progress.begin(), node.progress.end(), [index](const auto &entry) {
        return entry.second.matchIndex >= index;
    });
}

void reportRefusedSnapshot(const char *source, std::uint64_t index, std::size_t bytes, HostOutput &output)
{
    output.decisions.push_back({"snapshot-refused", std::to_string(index), "source=" + std::string(source) + " bytes=" + std::to_string(bytes)});
}

void snapshotIfDue(Host &host, const Now &now, HostOutput &output)
{
    consensus::Node &node = *host.node;
    if (host.pendingImage.empty()) {
        const std::uint64_t applied = node.applied - node.log.snapshotIndex;
        const bool due = applied >= host.options.snapshotEveryEntries || (applied > 0 && node.log.entryBytes >= host.options.maxLogBytes);
        if (!due || node.applied < host.nextSnapshotIndex) {
            return;
        }
        host.pendingImage = job::encodeImage(host.state);
        // The records that a snapshot replaces are gone, so that it must be readable, also for a host that gets it in a frame.
        if (!job::isReadableImage(host.pendingImage) || !wire::fitsFrame(host.pendingImage.size())) {
            ++host.snapshotsRefused;
            reportRefusedSnapshot("own", node.applied, host.pendingImage.size(), output);
            host.pendingImage = {};
            host.nextSnapshotIndex = node.applied + host.options.snapshotEveryEntries;
            return;
        }
        host.pendingImageIndex = node.applied;
        host.pendingImageMs = now.monotonicMs;
    }
    const bool mayDelay = now.monotonicMs < host.pendingImageMs + host.options.maxSnapshotDelayMs;
    if (node.role == consensus::Role::Leader && mayDelay && !membersHaveLog(node, host.pendingImageIndex)) {
        return;
    }
    consensus::Output step;
    if (host.pendingImageIndex > node.log.snapshotIndex) {
        consensus::compact(node, std::move(host.pendingImage), host.pendingImageIndex, step);
    }
    host.pendingImage.clear();
    if (step.persist.empty()) {
        return; // A snapshot from the leader already covers this index.
    }
    consensus::PersistRequest order;
    order.group = node.group;
    order.records = std::move(step.persist);
    order.replace = true;
    order.index = consensus::lastIndex(node.log);
    order.term = consensus::lastTerm(node.log);
    output.persist.push_back(std::move(order));
}

/** Decodes the state of a leader's snapshot before it replaces the log. @return false for a snapshot that can't be read; the host keeps its own log then. */
bool canInstallSnapshot(Host &host, const wire::ConsensusMessageT &message, HostOutput &output)
{
    const wire::SnapshotRequestT *request = message.body.AsSnapshotRequest();
    if (request == nullptr || request->lastIndex <= host.node->commit) {
        return true;
    }
    host.receivedState = job::decodeImage(request->image);
    if (host.receivedState) {
        return true;
    }
    ++host.snapshotsRefused;
    if (host.lastRefusedSnapshot != request->lastIndex) {
        host.lastRefusedSnapshot = request->lastIndex;
        reportRefusedSnapshot("received", request->lastIndex, request->image.size(), output);
    }
    return false;
}

void applyEntry(Host &host, const wire::EntryT &entry, const Now &now, LeaderOutput &step)
{
    const auto record = wire::decode<wire::RecordT>(entry.payload);
    if (!record) {
        step.decisions.push_back({"record-unreadable", std::to_string(entry.index), "bytes=" + std::to_string(entry.payload.size())});
        return;
    }
    job::apply(host.state, *record);
    onRecordApplied(host.leader, host.state, *record, now, step);
}

void updateLeadership(Host &host, const Now &now, LeaderOutput &step)
{
    const bool leads = consensus::isReadyLeader(*host.node);
    if (host.leader.active && (!leads || host.leader.term != host.node->term)) {
        endLeading(host.leader, step);
        host.couriers.pendingOrders.clear();
    }
    if (leads && !host.leader.active && !host.draining) {
        internal::refreshAdvisers(host);
        beginLeading(host.leader, host.state, host.node->term, now, step);
    }
}
}

wire::MembershipT foundingMembership(const std::vector<std::string> &seeds)
{
    wire::MembershipT membership;
    for (const std::string &seed : seeds) {
        auto member = std::make_unique<wire::MemberT>();
        member->host = seed;
        member->incarnation = storage::foundingIncarnation;
        member->role = wire::MemberRole::Voter;
        member->durable = true;
        membership.members.push_back(std::move(member));
    }
    return membership;
}

Host makeHost(HostOptions options, std::uint64_t incarnation, std::vector<wire::JournalRecordT> records, std::uint64_t seed, const Now &now,
              std::error_code &error)
{
    Host host;
    host.options = std::move(options);
    host.incarnation = incarnation;
    host.leader.options = host.options.leader;
    host.couriers.origin = seed;
    host.nextCall = wire::firstCallId(seed);
    host.controlHosts.insert(host.options.seeds.begin(), host.options.seeds.end());
    if (!host.options.control) {
        return host;
    }
    consensus::Node node;
    node.group = deploymentGroup;
    node.self = host.options.host;
    node.incarnation = incarnation;
    node.timing = host.options.timing;
    node.random.seed(seed);
    consensus::initialise(node, {}, now.monotonicMs);
    for (wire::JournalRecordT &record : records) {
        consensus::restore(node, std::move(record));
    }
    auto state = job::decodeImage(consensus::finishRestore(node, now.monotonicMs));
    if (!state) {
        error = wire::WireError::SnapshotUnreadable;
        return host;
    }
    host.state = std::move(*state);
    host.node = std::move(node);
    return host;
}

void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output)
{
    if (!host.node) {
        return;
    }
    if (!canInstallSnapshot(host, message, output)) {
        return;
    }
    consensus::Output step;
    consensus::receive(*host.node, message, now.monotonicMs, step);
    internal::applyNodeOutput(host, std::move(step), now, output);
    host.receivedState.reset();
}

void handlePersisted(Host &host, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output)
{
    consensus::Output step;
    consensus::persisted(*host.node, index, term, now.monotonicMs, step);
    internal::applyNodeOutput(host, std::move(step), now, output);
}

void handleUpstreamReply(Host &host, const UpstreamReply &reply, const Now &now, HostOutput &output)
{
    LeaderOutput step;
    handleUpstreamReply(host.leader, host.state, reply, now, step);
    internal::applyLeaderOutput(host, std::move(step), now, output);
}

void tick(Host &host, const Now &now, HostOutput &output)
{
    internal::detectStall(host, now);
    if (host.node) {
        consensus::Output step;
        consensus::tick(*host.node, now.monotonicMs, step);
        internal::applyNodeOutput(host, std::move(step), now, output);
        reportNotReady(host, now, output);
        internal::repairMembership(host, now, output);
        // Without the leader lease another host may already lead: no orders are sent and no lease is renewed.
        if (isActiveLeader(host, now)) {
            internal::tickCouriers(host, now, output);
            LeaderOutput leaderStep;
            tickLeader(host.leader, host.state, now, leaderStep);
            internal::applyLeaderOutput(host, std::move(leaderStep), now, output);
        }
    }
    std::vector<Token> due;
    for (const auto &[token, routed] : host.routed) {
        const bool lost = routed.call != 0 && now.monotonicMs > routed.sentMs + host.options.callTimeoutMs;
        if (now.monotonicMs >= routed.deadlineMs || lost || (routed.call == 0 && now.monotonicMs >= routed.retryAtMs)) {
            due.push_back(token);
        }
    }
    for (const Token token : due) {
        const auto found = host.routed.find(token);
        if (found == host.routed.end()) {
            continue; // Answered while an earlier request was routed.
        }
        RoutedRequest &routed = found->second;
        if (routed.call != 0) {
            routed.maybeApplied = true;
            host.calls.erase(routed.call);
            routed.call = 0;
        }
        internal::routeRequest(host, token, now, output);
    }
    if (now.monotonicMs >= host.nextTopologyMs) {
        host.nextTopologyMs = now.monotonicMs + host.options.topologyIntervalMs;
        host.topologyCalls.clear();
        internal::expireAdviceCalls(host);
        const std::string leader = leaderOf(host, now);
        for (const auto &[name, peer] : host.peers) {
            const bool queryAll = leader.empty() || host.peers.count(leader) == 0;
            if (peer.connected && peer.control && !host.options.control && (queryAll || name == leader)) {
                wire::RequestT request;
                request.operation = wire::Operation::Topology;
                host.topologyCalls.insert(host.nextCall);
                output.calls.push_back({name, host.nextCall++, std::move(request)});
            }
        }
        internal::refreshDialTargets(host, output);
    }
}

void endRound(Host &host, const Now &now, HostOutput &output)
{
    if (isActiveLeader(host, now)) {
        LeaderOutput step;
        placeIfNeeded(host.leader, host.state, now, step);
        internal::applyLeaderOutput(host, std::move(step), now, output);
    }
    // A group with one member commits at once, which may add proposals.
    while (!host.proposals.empty() && host.node) {
        consensus::Output step;
        consensus::propose(*host.node, std::exchange(host.proposals, {}), now.monotonicMs, step);
        internal::applyNodeOutput(host, std::move(step), now, output);
    }
    internal::checkOrders(host, now, output);
}

void drain(Host &host, const Now &now, HostOutput &output)
{
    host.draining = true;
    if (host.node) {
        consensus::Output step;
        consensus::stepDown(*host.node, now.monotonicMs, step);
        internal::applyNodeOutput(host, std::move(step), now, output);
    }
}

std::string leaderOf(const Host &host, const Now &now)
{
    if (host.node) {
        return host.node->leader;
    }
    return now.monotonicMs < host.reportedLeaderMs + host.options.leaderValidityMs ? host.reportedLeader : "";
}

bool isActiveLeader(const Host &host, const Now &now)
{
    return host.node && host.leader.active && consensus::isReadyLeader(*host.node) && consensus::holdsLease(*host.node, now.monotonicMs);
}

std::uint64_t heldBytes(const Host &host)
{
    return host.state.heldBytes + host.state.registryBytes + host.leader.proposedBytes + host.leader.openBytes + (host.node ? host.node->log.entryBytes : 0);
}

bool isReady(const Host &host, const Now &now)
{
    if (host.draining) {
        return false;
    }
    if (host.node) {
        return !host.node->leader.empty();
    }
    const std::string leader = leaderOf(host, now);
    const auto peer = host.peers.find(leader);
    return peer != host.peers.end() && peer->second.connected;
}

namespace internal
{
void applyNodeOutput(Host &host, consensus::Output step, const Now &now, HostOutput &output)
{
    consensus::Node &node = *host.node;
    if (!step.persist.empty() || !step.sendAfterSync.empty()) {
        consensus::PersistRequest order;
        order.group = node.group;
        order.records = std::move(step.persist);
        order.replace = step.replaceJournal;
        order.sendAfterSync = std::move(step.sendAfterSync);
        order.index = consensus::lastIndex(node.log);
        order.term = consensus::lastTerm(node.log);
        output.persist.push_back(std::move(order));
    }
    for (wire::ConsensusMessageT &message : step.sendNow) {
        output.messages.push_back(std::move(message));
    }
    if (step.snapshotInstalled) {
        host.state = std::move(host.receivedState.value());
    }
    LeaderOutput leaderStep;
    for (const consensus::EntryPointer &entry : step.committed) {
        applyEntry(host, *entry, now, leaderStep);
    }
    updateLeadership(host, now, leaderStep);
    applyLeaderOutput(host, std::move(leaderStep), now, output);
    snapshotIfDue(host, now, output);
}

void applyLeaderOutput(Host &host, LeaderOutput step, const Now &now, HostOutput &output)
{
    for (TokenReply &reply : step.replies) {
        const auto origin = host.origins.find(reply.token);
        if (origin == host.origins.end()) {
            continue;
        }
        reply.reply.leader = host.options.host;
        if (origin->second.host.empty()) {
            const auto routed = host.routed.find(reply.token);
            const auto error = static_cast<model::Reason>(reply.reply.error);
            if (routed != host.routed.end() && error == model::Reason::LeadershipLost) {
                routed->second.maybeApplied = true;
                routed->second.retryAtMs = now.monotonicMs + host.options.retryDelayMs;
            } else if (routed != host.routed.end()) {
                reportPossibleEffect(routed->second, reply.reply);
                host.routed.erase(routed);
                output.replies.push_back(std::move(reply));
            }
        } else {
            output.peerReplies.push_back({origin->second.host, origin->second.call, std::move(reply.reply)});
        }
        host.origins.erase(origin);
    }
    for (UpstreamCall &call : step.calls) {
        dispatchOrder(host, std::move(call), now, output);
    }
    for (AdviceCall &call : step.advice) {
        requestAdvice(host, std::move(call), now, output);
    }
    for (Decision &decision : step.decisions) {
        output.decisions.push_back(std::move(decision));
    }
    std::move(step.proposals.begin(), step.proposals.end(), std::back_inserter(host.proposals));
}
}
}
