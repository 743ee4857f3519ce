#include "consensus/internal.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::consensus::internal
{
namespace
{
/** Heartbeat intervals without a reply after which entries or a snapshot are sent again, and a member counts as not responding. */
constexpr std::uint64_t resendAfterHeartbeats = 3;
/** Maximum number of rounds whose sending time is kept for the leader lease. */
constexpr std::size_t maxTrackedRounds = 64;

std::uint64_t localMatchIndex(const Node &node)
{
    return node.durable ? std::min(node.persisted, lastIndex(node.log)) : lastIndex(node.log);
}

std::uint64_t matchIndexOf(const Node &node, const wire::MemberT &member)
{
    if (member.host == node.self) {
        return localMatchIndex(node);
    }
    const auto found = node.progress.find(member.host);
    return found != node.progress.end() && found->second.incarnation == member.incarnation ? found->second.matchIndex : 0;
}

std::uint64_t maxDurableMatchIndex(const Node &node)
{
    std::uint64_t highest = 0;
    for (const auto &member : node.membership.members) {
        if (member->role == wire::MemberRole::Voter && member->durable) {
            highest = std::max(highest, matchIndexOf(node, *member));
        }
    }
    return highest;
}

void extendLease(Node &node)
{
    const std::uint64_t acknowledged = quorumValue(node.membership, [&node](const wire::MemberT &member) {
        if (member.host == node.self) {
            return node.round;
        }
        const auto found = node.progress.find(member.host);
        return found != node.progress.end() && found->second.incarnation == member.incarnation ? found->second.round : 0;
    });
    const auto sent = node.roundSentMs.find(acknowledged);
    if (sent != node.roundSentMs.end()) {
        node.leaseUntilMs = std::max(node.leaseUntilMs, sent->second + node.timing.leaderLeaseMs);
        node.roundSentMs.erase(node.roundSentMs.begin(), sent);
    }
}

/** Discards the in-flight state, so that entries are sent again from an index. */
void resendFrom(Progress &progress, std::uint64_t next, std::uint64_t nowMs)
{
    progress.nextIndex = next;
    progress.inFlight.clear();
    progress.inFlightBytes = 0;
    progress.lastProgressMs = nowMs;
}

/** @return the last index up to which a member that rejected entries may have the same log. Members of earlier builds report no term. */
std::uint64_t lastPossibleMatch(const Log &log, const wire::AppendReplyT &reply)
{
    return reply.matchTerm == 0 ? reply.matchIndex : lastIndexOfTermAtMost(log, reply.matchIndex, reply.matchTerm);
}

void removeConfirmed(Progress &progress)
{
    while (!progress.inFlight.empty() && progress.inFlight.front().lastIndex <= progress.matchIndex) {
        progress.inFlightBytes -= progress.inFlight.front().bytes;
        progress.inFlight.pop_front();
    }
}

void sendSnapshot(Node &node, const wire::MemberT &member, Progress &progress, std::uint64_t nowMs, Output &output)
{
    wire::SnapshotRequestT request;
    request.lastIndex = node.log.snapshotIndex;
    request.lastTerm = node.log.snapshotTerm;
    request.round = node.round;
    request.membership = std::make_unique<wire::MembershipT>(node.log.snapshotMembership);
    request.image = node.log.snapshotImage;
    progress.snapshotPending = true;
    progress.snapshotSentMs = nowMs;
    output.sendNow.push_back(makeMessage(node, member.host, std::move(request)));
    output.sendNow.back().toIncarnation = member.incarnation;
}

/** @return the payload bytes that the request carries. */
std::size_t fillEntries(const Node &node, const Progress &progress, wire::AppendRequestT &request)
{
    std::size_t bytes = 0;
    for (std::uint64_t index = progress.nextIndex; index <= lastIndex(node.log) && bytes < maxAppendBytes; ++index) {
        const EntryPointer entry = entryAt(node.log, index);
        bytes += entry->payload.size();
        request.entries.push_back(std::make_unique<wire::EntryT>(*entry));
    }
    return bytes;
}

/** @return the highest index up to which two voters hold the entries; witnesses hold none. */
std::uint64_t secondHighestVoterMatch(const Node &node)
{
    std::vector<std::uint64_t> matches{0, 0};
    for (const auto &member : node.membership.members) {
        if (member->role == wire::MemberRole::Voter) {
            matches.push_back(matchIndexOf(node, *member));
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[1];
}

bool otherVoterResponds(const Node &node, std::uint64_t nowMs)
{
    return std::any_of(node.membership.members.begin(), node.membership.members.end(), [&](const auto &member) {
        const auto found = node.progress.find(member->host);
        return member->role == wire::MemberRole::Voter && found != node.progress.end()
            && nowMs < found->second.lastReplyMs + resendAfterHeartbeats * node.timing.heartbeatMs;
    });
}

/** Appends a received entry, replacing a conflicting one. @return false if the log already contains the entry. */
bool storeEntry(Node &node, const wire::EntryT &entry, Output &output)
{
    if (entry.index <= node.log.snapshotIndex) {
        return false;
    }
    const EntryPointer own = entryAt(node.log, entry.index);
    if (own && own->term == entry.term) {
        return false;
    }
    if (own) {
        truncateFrom(node.log, entry.index);
        node.persisted = std::min(node.persisted, entry.index - 1);
        wire::TruncateFromT truncate;
        truncate.index = entry.index;
        output.persist.push_back(makeJournalRecord(truncate));
    }
    append(node.log, entry);
    output.persist.push_back(makeJournalRecord(entry));
    return true;
}

void sendAppendReply(Node &node, const wire::ConsensusMessageT &message, wire::AppendReplyT reply, Output &output)
{
    wire::ConsensusMessageT answer = makeMessage(node, message.from, reply);
    answer.toIncarnation = message.fromIncarnation;
    output.sendAfterSync.push_back(std::move(answer));
}

void recordLeaderContact(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs)
{
    node.leader = message.from;
    node.lastLeader = message.from;
    node.lastLeaderContactMs = nowMs;
    node.role = Role::Follower;
    resetElectionDeadline(node, nowMs);
}

void appendAsWitness(Node &node, const wire::ConsensusMessageT &message, const wire::AppendRequestT &request, Output &output)
{
    const bool membershipChanged = request.membership && !(*request.membership == node.membership);
    const bool positionAdvanced = std::pair(request.lastTerm, request.lastIndex) > std::pair(node.witnessTerm, node.witnessIndex);
    if (membershipChanged) {
        node.membership = *request.membership;
    }
    if (positionAdvanced) {
        node.witnessTerm = request.lastTerm;
        node.witnessIndex = request.lastIndex;
    }
    if (positionAdvanced || membershipChanged) {
        wire::WitnessPositionT position;
        position.lastIndex = node.witnessIndex;
        position.lastTerm = node.witnessTerm;
        position.membership = std::make_unique<wire::MembershipT>(node.membership);
        output.persist.push_back(makeJournalRecord(std::move(position)));
    }
    wire::AppendReplyT reply;
    reply.accepted = true;
    reply.matchIndex = request.lastIndex;
    reply.round = request.round;
    sendAppendReply(node, message, reply, output);
}
}

std::uint64_t appendToLog(Node &node, wire::EntryKind kind, wire::Bytes payload, Output &output)
{
    wire::EntryT entry;
    entry.index = lastIndex(node.log) + 1;
    entry.term = node.term;
    entry.kind = kind;
    entry.payload = std::move(payload);
    output.persist.push_back(makeJournalRecord(entry));
    append(node.log, std::move(entry));
    if (kind == wire::EntryKind::Membership) {
        refreshMembership(node);
    }
    return lastIndex(node.log);
}

void refreshMembership(Node &node)
{
    node.membership = membershipAt(node.log, lastIndex(node.log));
    node.membershipIndex = node.log.snapshotIndex;
    for (std::uint64_t index = lastIndex(node.log); index > node.log.snapshotIndex; --index) {
        if (entryAt(node.log, index)->kind == wire::EntryKind::Membership) {
            node.membershipIndex = index;
            return;
        }
    }
}

void applyCommitted(Node &node, Output &output)
{
    while (node.applied < node.commit) {
        const EntryPointer entry = entryAt(node.log, node.applied + 1);
        if (!entry) {
            return;
        }
        ++node.applied;
        if (entry->kind == wire::EntryKind::Application) {
            output.committed.push_back(entry);
        }
    }
}

void sendAppend(Node &node, const wire::MemberT &member, std::uint64_t nowMs, Output &output)
{
    Progress &progress = node.progress[member.host];
    if (progress.incarnation != member.incarnation) {
        progress = Progress{};
        progress.incarnation = member.incarnation;
        progress.nextIndex = lastIndex(node.log) + 1;
        progress.lastReplyMs = nowMs;
    }
    const bool witness = member.role == wire::MemberRole::Witness;
    if (!witness && progress.nextIndex <= node.log.snapshotIndex) {
        if (!progress.snapshotPending || nowMs >= progress.snapshotSentMs + resendAfterHeartbeats * node.timing.heartbeatMs) {
            sendSnapshot(node, member, progress, nowMs, output);
            return;
        }
    }
    wire::AppendRequestT request;
    request.round = node.round;
    request.commit = node.commit;
    request.lastIndex = lastIndex(node.log);
    request.lastTerm = lastTerm(node.log);
    if (witness) {
        // A witness refuses votes to members behind its position: if no remaining disk held that position, nobody could be elected.
        // So it is sent the position of committed entries, and of locally synced ones only while no other voter responds.
        request.lastIndex = otherVoterResponds(node, nowMs) ? std::min(localMatchIndex(node), node.commit) : localMatchIndex(node);
        request.lastTerm = termAt(node.log, request.lastIndex);
        request.membership = std::make_unique<wire::MembershipT>(node.membership);
    } else {
        // Entries are sent without waiting for the replies to earlier ones, and again if unacknowledged for too long.
        if (!progress.inFlight.empty() && nowMs >= progress.lastProgressMs + resendAfterHeartbeats * node.timing.heartbeatMs) {
            // A new leader knows no match index: a member that lacks earlier entries rejects these and reports where its log ends.
            resendFrom(progress, std::max({progress.inFlight.front().firstIndex, progress.matchIndex + 1, node.log.snapshotIndex + 1}), nowMs);
        }
        // While a snapshot is pending, the heartbeat refers to no previous entry, so that the follower doesn't reject it.
        const std::uint64_t previous = progress.nextIndex > node.log.snapshotIndex ? progress.nextIndex - 1 : 0;
        request.previousIndex = previous;
        request.previousTerm = previous == 0 ? 0 : termAt(node.log, previous);
        std::size_t bytes = 0;
        if (progress.nextIndex > node.log.snapshotIndex && progress.inFlightBytes < maxInFlightBytes) {
            bytes = fillEntries(node, progress, request);
        }
        if (!request.entries.empty()) {
            progress.lastProgressMs = progress.inFlight.empty() ? nowMs : progress.lastProgressMs;
            progress.nextIndex = request.entries.back()->index + 1;
            progress.inFlight.push_back({request.entries.front()->index, request.entries.back()->index, bytes});
            progress.inFlightBytes += bytes;
        }
    }
    output.sendNow.push_back(makeMessage(node, member.host, std::move(request)));
    output.sendNow.back().toIncarnation = member.incarnation;
}

void startRound(Node &node, std::uint64_t nowMs, Output &output)
{
    ++node.round;
    node.roundSentMs[node.round] = nowMs;
    if (node.roundSentMs.size() > maxTrackedRounds) {
        node.roundSentMs.erase(node.roundSentMs.begin());
    }
    node.nextRoundMs = nowMs + node.timing.heartbeatMs;
    for (const auto &member : node.membership.members) {
        if (member->host != node.self) {
            sendAppend(node, *member, nowMs, output);
        }
    }
    extendLease(node);
    advanceCommit(node, nowMs, output);
}

void replicate(Node &node, std::uint64_t nowMs, Output &output)
{
    for (const auto &member : node.membership.members) {
        if (member->host == node.self || member->role == wire::MemberRole::Witness) {
            continue; // The link to a witness is billed: while another voter responds, the witness gets positions with the heartbeat only.
        }
        sendAppend(node, *member, nowMs, output);
    }
    if (!node.durable) {
        sendToWitnesses(node, nowMs, output);
    }
    advanceCommit(node, nowMs, output);
}

void sendToWitnesses(Node &node, std::uint64_t nowMs, Output &output)
{
    if (node.role != Role::Leader || otherVoterResponds(node, nowMs)) {
        return;
    }
    for (const auto &member : node.membership.members) {
        if (member->role == wire::MemberRole::Witness && member->host != node.self) {
            sendAppend(node, *member, nowMs, output);
        }
    }
}

namespace
{
void sendToFollowers(Node &node, std::uint64_t nowMs, Output &output)
{
    for (const auto &member : node.membership.members) {
        if (member->host != node.self && member->role != wire::MemberRole::Witness) {
            sendAppend(node, *member, nowMs, output);
        }
    }
}
}

void advanceCommit(Node &node, std::uint64_t nowMs, Output &output)
{
    if (node.role != Role::Leader) {
        return;
    }
    std::uint64_t reached = quorumValue(node.membership, [&node](const wire::MemberT &member) {
        return matchIndexOf(node, member);
    });
    if (hasDurableVoter(node.membership)) {
        reached = std::min(reached, maxDurableMatchIndex(node));
    }
    if (otherVoterResponds(node, nowMs)) {
        // While another voter responds, two voters must hold an entry, and a witness doesn't count: the loss of one disk must not lose it.
        reached = std::min(reached, secondHighestVoterMatch(node));
    }
    if (reached > node.commit && termAt(node.log, reached) == node.term) {
        node.commit = reached;
        applyCommitted(node, output);
        if (node.sendCommitAtOnce) {
            sendToFollowers(node, nowMs, output);
        }
    }
}

void onAppendRequest(Node &node, const wire::ConsensusMessageT &message, const wire::AppendRequestT &request, std::uint64_t nowMs, Output &output)
{
    recordLeaderContact(node, message, nowMs);
    if (node.witness) {
        appendAsWitness(node, message, request, output);
        return;
    }
    wire::AppendReplyT reply;
    reply.round = request.round;
    const bool holdsPrevious = request.previousIndex <= lastIndex(node.log)
        && (request.previousIndex < node.log.snapshotIndex || termAt(node.log, request.previousIndex) == request.previousTerm);
    if (!holdsPrevious) {
        reply.accepted = false;
        reply.matchIndex = lastIndexOfTermAtMost(node.log, std::min(lastIndex(node.log), request.previousIndex - 1), request.previousTerm);
        reply.matchTerm = termAt(node.log, reply.matchIndex);
        sendAppendReply(node, message, reply, output);
        return;
    }
    // Finding the membership scans the log, so it is done only if an entry with a membership was added or removed.
    bool membershipAffected = false;
    for (const auto &entry : request.entries) {
        const bool stored = storeEntry(node, *entry, output);
        membershipAffected = membershipAffected || (stored && (entry->kind == wire::EntryKind::Membership || entry->index <= node.membershipIndex));
    }
    if (membershipAffected) {
        refreshMembership(node);
    }
    const std::uint64_t lastNewIndex = request.previousIndex + request.entries.size();
    node.commit = std::max(node.commit, std::min(request.commit, lastNewIndex));
    applyCommitted(node, output);
    // A leader commits by counting only entries of its own term, so this commit index covers all earlier commits.
    node.hasCurrentTermCommit
        = node.hasCurrentTermCommit || (request.commit > 0 && node.commit >= request.commit && termAt(node.log, node.commit) == message.term);
    reply.accepted = true;
    reply.matchIndex = lastNewIndex;
    sendAppendReply(node, message, reply, output);
}

void onAppendReply(Node &node, const wire::ConsensusMessageT &message, const wire::AppendReplyT &reply, std::uint64_t nowMs, Output &output)
{
    const wire::MemberT *member = findMember(node.membership, message.from);
    if (node.role != Role::Leader || message.term != node.term || member == nullptr || member->incarnation != message.fromIncarnation) {
        return;
    }
    Progress &progress = node.progress[message.from];
    progress.lastReplyMs = nowMs;
    progress.round = std::max(progress.round, reply.round);
    if (reply.accepted) {
        if (reply.matchIndex > progress.matchIndex) {
            progress.matchIndex = std::min(reply.matchIndex, lastIndex(node.log));
            progress.lastProgressMs = nowMs;
            progress.snapshotPending = false;
            removeConfirmed(progress);
        }
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        if (member->role != wire::MemberRole::Witness && progress.nextIndex <= lastIndex(node.log) && !progress.snapshotPending
            && progress.inFlightBytes < maxInFlightBytes) {
            sendAppend(node, *member, nowMs, output);
        }
    } else if (const std::uint64_t possible = std::max(progress.matchIndex, lastPossibleMatch(node.log, reply));
               reply.matchIndex >= progress.matchIndex && possible + 1 < progress.nextIndex) {
        // Only the first of several consecutive rejections moves nextIndex back; the others carry no new information.
        resendFrom(progress, possible + 1, nowMs);
        progress.snapshotPending = false;
        sendAppend(node, *member, nowMs, output);
    }
    extendLease(node);
    advanceCommit(node, nowMs, output);
}

void onSnapshotRequest(Node &node, const wire::ConsensusMessageT &message, const wire::SnapshotRequestT &request, std::uint64_t nowMs, Output &output)
{
    recordLeaderContact(node, message, nowMs);
    wire::AppendReplyT reply;
    reply.accepted = true;
    reply.round = request.round;
    reply.matchIndex = request.lastIndex;
    if (request.lastIndex <= node.commit || node.witness) {
        sendAppendReply(node, message, reply, output);
        return;
    }
    if (request.lastIndex <= lastIndex(node.log) && termAt(node.log, request.lastIndex) == request.lastTerm) {
        // The entries after the snapshot may have been committed with the acknowledgement of this member.
        discardThrough(node.log, request.lastIndex);
    } else {
        clearEntries(node.log);
        node.persisted = 0;
    }
    node.log.snapshotIndex = request.lastIndex;
    node.log.snapshotTerm = request.lastTerm;
    node.log.snapshotMembership = request.membership ? *request.membership : wire::MembershipT{};
    node.log.snapshotImage = request.image;
    node.commit = request.lastIndex;
    node.applied = request.lastIndex;
    refreshMembership(node);
    output.snapshotInstalled = true;
    output.committed.clear();
    output.persist = journalRecords(node);
    output.replaceJournal = true;
    sendAppendReply(node, message, reply, output);
}
}
