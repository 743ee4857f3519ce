#include "consensus/node.h"

#include "consensus/internal.h"

#include <algorithm>

namespace rosemaryturn::consensus
{
namespace
{
bool canBecomeCandidate(const Node &node)
{
    const wire::MemberT *self = findMember(node.membership, node.self);
    return !node.witness && self != nullptr && self->role == wire::MemberRole::Voter && self->incarnation == node.incarnation;
}

void adoptHigherTerm(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs, Output &output)
{
    const bool isVoteRequest = message.body.type == wire::ConsensusBody::VoteRequest;
    const wire::VoteReplyT *vote = message.body.AsVoteReply();
    const bool isPreVoteGrant = vote != nullptr && vote->preliminary && vote->granted;
    if (message.term > node.term && !isVoteRequest && !isPreVoteGrant) {
        internal::becomeFollower(node, message.term, nowMs, output);
    }
}

void rejectStaleLeader(const Node &node, const wire::ConsensusMessageT &message, Output &output)
{
    wire::AppendReplyT reply;
    reply.accepted = false;
    output.sendAfterSync.push_back(internal::makeMessage(node, message.from, reply));
    output.sendAfterSync.back().toIncarnation = message.fromIncarnation;
}

void dispatch(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs, Output &output)
{
    switch (message.body.type) {
    case wire::ConsensusBody::AppendRequest:
        internal::onAppendRequest(node, message, *message.body.AsAppendRequest(), nowMs, output);
        return;
    case wire::ConsensusBody::AppendReply:
        internal::onAppendReply(node, message, *message.body.AsAppendReply(), nowMs, output);
        return;
    case wire::ConsensusBody::VoteRequest:
        internal::onVoteRequest(node, message, *message.body.AsVoteRequest(), nowMs, output);
        return;
    case wire::ConsensusBody::VoteReply:
        internal::onVoteReply(node, message, *message.body.AsVoteReply(), nowMs, output);
        return;
    case wire::ConsensusBody::SnapshotRequest:
        internal::onSnapshotRequest(node, message, *message.body.AsSnapshotRequest(), nowMs, output);
        return;
    case wire::ConsensusBody::NONE:
        return;
    }
}

void restoreEntry(Node &node, wire::EntryT &&entry)
{
    if (entry.index == lastIndex(node.log) + 1) {
        append(node.log, std::move(entry));
    }
}

void restoreSnapshot(Node &node, wire::SnapshotImageT &&snapshot)
{
    clearEntries(node.log);
    node.log.snapshotIndex = snapshot.lastIndex;
    node.log.snapshotTerm = snapshot.lastTerm;
    node.log.snapshotImage = std::move(snapshot.image);
    if (snapshot.membership) {
        node.log.snapshotMembership = *snapshot.membership;
    }
}

void restoreWitness(Node &node, const wire::WitnessPositionT &position)
{
    node.witnessIndex = position.lastIndex;
    node.witnessTerm = position.lastTerm;
    if (position.membership) {
        node.membership = *position.membership;
    }
}
}

void initialise(Node &node, wire::MembershipT membership, std::uint64_t nowMs)
{
    node.log.snapshotMembership = membership;
    node.membership = std::move(membership);
    // The last leader contact isn't stored, so a restarted voter grants no vote for electionMs, as if a leader had just contacted it.
    node.lastLeaderContactMs = nowMs;
    internal::resetElectionDeadline(node, nowMs);
}

void restore(Node &node, wire::JournalRecordT record)
{
    switch (record.body.type) {
    case wire::JournalBody::HardState:
        node.term = record.body.AsHardState()->term;
        node.votedFor = record.body.AsHardState()->votedFor;
        return;
    case wire::JournalBody::Entry:
        restoreEntry(node, std::move(*record.body.AsEntry()));
        return;
    case wire::JournalBody::TruncateFrom:
        truncateFrom(node.log, record.body.AsTruncateFrom()->index);
        return;
    case wire::JournalBody::WitnessPosition:
        restoreWitness(node, *record.body.AsWitnessPosition());
        return;
    case wire::JournalBody::SnapshotImage:
        restoreSnapshot(node, std::move(*record.body.AsSnapshotImage()));
        return;
    case wire::JournalBody::NONE:
        return;
    }
}

const wire::Bytes &finishRestore(Node &node, std::uint64_t nowMs)
{
    if (!node.witness) {
        internal::refreshMembership(node);
    }
    node.commit = node.log.snapshotIndex;
    node.applied = node.log.snapshotIndex;
    node.persisted = lastIndex(node.log);
    node.lastLeaderContactMs = nowMs;
    internal::resetElectionDeadline(node, nowMs);
    return node.log.snapshotImage;
}

void tick(Node &node, std::uint64_t nowMs, Output &output)
{
    if (node.role == Role::Leader) {
        if (nowMs >= node.nextRoundMs) {
            internal::startRound(node, nowMs, output);
        }
        return;
    }
    if (nowMs < node.electionDeadlineMs) {
        return;
    }
    if (canBecomeCandidate(node)) {
        internal::startPreVote(node, nowMs, output);
    } else {
        node.leader.clear();
        internal::resetElectionDeadline(node, nowMs);
    }
}

void receive(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs, Output &output)
{
    const bool addressedElsewhere = message.to != node.self || (message.toIncarnation != 0 && message.toIncarnation != node.incarnation);
    if (message.group != node.group || addressedElsewhere || message.body.value == nullptr) {
        return;
    }
    adoptHigherTerm(node, message, nowMs, output);
    const bool fromLeader = message.body.type == wire::ConsensusBody::AppendRequest || message.body.type == wire::ConsensusBody::SnapshotRequest;
    if (fromLeader && message.term < node.term) {
        rejectStaleLeader(node, message, output);
        return;
    }
    if (fromLeader && node.role == Role::Leader) {
        return; // A term has at most one leader, so the message is invalid.
    }
    dispatch(node, message, nowMs, output);
}

std::uint64_t propose(Node &node, std::vector<wire::Bytes> payloads, std::uint64_t nowMs, Output &output)
{
    if (node.role != Role::Leader || payloads.empty()) {
        return 0;
    }
    const std::uint64_t first = lastIndex(node.log) + 1;
    for (wire::Bytes &payload : payloads) {
        internal::appendToLog(node, wire::EntryKind::Application, std::move(payload), output);
    }
    internal::replicate(node, nowMs, output);
    return first;
}

std::uint64_t proposeMembership(Node &node, const wire::MembershipT &membership, std::uint64_t nowMs, Output &output)
{
    const bool changePending = node.membershipIndex > node.commit;
    if (!isReadyLeader(node) || changePending || !isSafeChange(node.membership, membership)) {
        return 0;
    }
    const std::uint64_t index = internal::appendToLog(node, wire::EntryKind::Membership, wire::encode(membership), output);
    internal::replicate(node, nowMs, output);
    return index;
}

void persisted(Node &node, std::uint64_t index, std::uint64_t term, std::uint64_t nowMs, Output &output)
{
    const std::uint64_t before = node.persisted;
    // The synced entry may have been replaced by one of another term meanwhile.
    if (index <= lastIndex(node.log) && termAt(node.log, index) == term) {
        node.persisted = std::max(node.persisted, index);
    }
    if (node.persisted > before) {
        internal::sendToWitnesses(node, nowMs, output);
    }
    internal::advanceCommit(node, nowMs, output);
}

void compact(Node &node, wire::Bytes image, std::uint64_t through, Output &output)
{
    wire::MembershipT membership = membershipAt(node.log, through);
    const std::uint64_t term = termAt(node.log, through);
    discardThrough(node.log, through);
    node.log.snapshotTerm = term;
    node.log.snapshotMembership = std::move(membership);
    node.log.snapshotImage = std::move(image);
    output.persist = journalRecords(node);
    output.replaceJournal = true;
}

bool isReadyLeader(const Node &node)
{
    return node.role == Role::Leader && node.applied >= node.termStartIndex;
}

bool holdsLease(const Node &node, std::uint64_t nowMs)
{
    return node.role == Role::Leader && nowMs < node.leaseUntilMs;
}

std::vector<wire::JournalRecordT> journalRecords(const Node &node)
{
    std::vector<wire::JournalRecordT> records;
    wire::HardStateT state;
    state.term = node.term;
    state.votedFor = node.votedFor;
    records.push_back(internal::makeJournalRecord(std::move(state)));
    if (node.witness) {
        wire::WitnessPositionT position;
        position.lastIndex = node.witnessIndex;
        position.lastTerm = node.witnessTerm;
        position.membership = std::make_unique<wire::MembershipT>(node.membership);
        records.push_back(internal::makeJournalRecord(std::move(position)));
        return records;
    }
    wire::SnapshotImageT snapshot;
    snapshot.lastIndex = node.log.snapshotIndex;
    snapshot.lastTerm = node.log.snapshotTerm;
    snapshot.membership = std::make_unique<wire::MembershipT>(node.log.snapshotMembership);
    snapshot.image = node.log.snapshotImage;
    records.push_back(internal::makeJournalRecord(std::move(snapshot)));
    for (const EntryPointer &entry : node.log.entries) {
        records.push_back(internal::makeJournalRecord(*entry));
    }
    return records;
}

void stepDown(Node &node, std::uint64_t nowMs, Output &output)
{
    if (node.role != Role::Leader) {
        return;
    }
    internal::becomeFollower(node, node.term, nowMs, output);
    // Gives the other members time to elect a leader before this one starts an election.
    node.electionDeadlineMs = nowMs + 4 * node.timing.electionMs;
}
}
