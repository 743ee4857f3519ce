#pragma once

#include "consensus/node.h"

#include <string_view>

namespace rosemaryturn::consensus::internal
{
/** Wraps a body in a journal record. @param body a member of the union JournalBody in object form. @return the record. */
template<typename Body>
wire::JournalRecordT makeJournalRecord(Body body)
{
    wire::JournalRecordT record;
    record.body.Set(std::move(body));
    return record;
}

/** Makes a message of the current term. @param node the sender. @param to the receiver's host id. @param body a member of the union ConsensusBody. @return the
 * message. */
template<typename Body>
wire::ConsensusMessageT makeMessage(const Node &node, std::string_view to, Body body)
{
    wire::ConsensusMessageT message;
    message.group = node.group;
    message.from = node.self;
    message.fromIncarnation = node.incarnation;
    message.to = to;
    message.term = node.term;
    message.body.Set(std::move(body));
    return message;
}

// election.cpp
void resetElectionDeadline(Node &node, std::uint64_t nowMs);
void becomeFollower(Node &node, std::uint64_t term, std::uint64_t nowMs, Output &output);
void startPreVote(Node &node, std::uint64_t nowMs, Output &output);
void onVoteRequest(Node &node, const wire::ConsensusMessageT &message, const wire::VoteRequestT &request, std::uint64_t nowMs, Output &output);
void onVoteReply(Node &node, const wire::ConsensusMessageT &message, const wire::VoteReplyT &reply, std::uint64_t nowMs, Output &output);
void persistHardState(Node &node, Output &output);

// replication.cpp
std::uint64_t appendToLog(Node &node, wire::EntryKind kind, wire::Bytes payload, Output &output);
void refreshMembership(Node &node);
void applyCommitted(Node &node, Output &output);
void startRound(Node &node, std::uint64_t nowMs, Output &output);
void sendAppend(Node &node, const wire::MemberT &member, std::uint64_t nowMs, Output &output);
void sendToWitnesses(Node &node, std::uint64_t nowMs, Output &output);
void replicate(Node &node, std::uint64_t nowMs, Output &output);
void advanceCommit(Node &node, std::uint64_t nowMs, Output &output);
void onAppendRequest(Node &node, const wire::ConsensusMessageT &message, const wire::AppendRequestT &request, std::uint64_t nowMs, Output &output);
void onAppendReply(Node &node, const wire::ConsensusMessageT &message, const wire::AppendReplyT &reply, std::uint64_t nowMs, Output &output);
void onSnapshotRequest(Node &node, const wire::ConsensusMessageT &message, const wire::SnapshotRequestT &request, std::uint64_t nowMs, Output &output);
}
