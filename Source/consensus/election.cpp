#include "consensus/internal.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::consensus::internal
{
namespace
{
std::pair<std::uint64_t, std::uint64_t> lastLogPosition(const Node &node)
{
    if (node.witness) {
        return {node.witnessTerm, node.witnessIndex};
    }
    return {lastTerm(node.log), lastIndex(node.log)};
}

bool isElected(const Node &node)
{
    const auto voteOf = [&node](const wire::MemberT &member) -> std::uint64_t {
        const auto vote = node.votes.find(member.host);
        return vote != node.votes.end() && vote->second ? 1 : 0;
    };
    return quorumValue(node.membership, voteOf) > 0;
}

void requestVotes(Node &node, bool preliminary, std::vector<wire::ConsensusMessageT> &messages)
{
    for (const auto &member : node.membership.members) {
        if (!isVoting(*member) || member->host == node.self) {
            continue;
        }
        wire::VoteRequestT request;
        request.preliminary = preliminary;
        request.lastIndex = lastIndex(node.log);
        request.lastTerm = lastTerm(node.log);
        messages.push_back(makeMessage(node, member->host, request));
        if (preliminary) {
            ++messages.back().term; // A pre-vote is for the next term.
        }
    }
}

void becomeLeader(Node &node, std::uint64_t nowMs, Output &output)
{
    node.role = Role::Leader;
    node.leader = node.self;
    node.progress.clear();
    node.roundSentMs.clear();
    node.round = 0;
    node.leaseUntilMs = 0;
    for (const auto &member : node.membership.members) {
        if (member->host != node.self) {
            Progress progress;
            progress.incarnation = member->incarnation;
            progress.nextIndex = lastIndex(node.log) + 1;
            progress.lastReplyMs = node.votes.count(member->host) > 0 ? nowMs : 0;
            node.progress[member->host] = progress;
        }
    }
    // Only the commit of an entry of the current term proves that all earlier entries are committed.
    node.termStartIndex = appendToLog(node, wire::EntryKind::Empty, {}, output);
    startRound(node, nowMs, output);
}

void startElection(Node &node, std::uint64_t nowMs, Output &output)
{
    ++node.term;
    node.role = Role::Candidate;
    node.votedFor = node.self;
    node.votes = {{node.self, true}};
    persistHardState(node, output);
    resetElectionDeadline(node, nowMs);
    // The node's own vote must be synced before any member counts it.
    requestVotes(node, false, output.sendAfterSync);
    if (isElected(node)) {
        becomeLeader(node, nowMs, output);
    }
}
}

void resetElectionDeadline(Node &node, std::uint64_t nowMs)
{
    std::uniform_int_distribution<std::uint64_t> spread(0, node.timing.electionMs);
    node.electionDeadlineMs = nowMs + node.timing.electionMs + spread(node.random);
}

void persistHardState(Node &node, Output &output)
{
    wire::HardStateT state;
    state.term = node.term;
    state.votedFor = node.votedFor;
    output.persist.push_back(makeJournalRecord(std::move(state)));
}

void becomeFollower(Node &node, std::uint64_t term, std::uint64_t nowMs, Output &output)
{
    if (node.role == Role::Leader) {
        output.lostLeadership = true;
    }
    node.role = Role::Follower;
    node.votes.clear();
    if (term > node.term) {
        node.term = term;
        node.votedFor.clear();
        node.leader.clear();
        node.hasCurrentTermCommit = false;
        persistHardState(node, output);
    }
    if (node.leader == node.self) {
        node.leader.clear();
    }
    resetElectionDeadline(node, nowMs);
}

void startPreVote(Node &node, std::uint64_t nowMs, Output &output)
{
    node.role = Role::PreCandidate;
    node.leader.clear();
    node.votes = {{node.self, true}};
    resetElectionDeadline(node, nowMs);
    if (isElected(node)) {
        startElection(node, nowMs, output);
        return;
    }
    requestVotes(node, true, output.sendNow);
}

void onVoteRequest(Node &node, const wire::ConsensusMessageT &message, const wire::VoteRequestT &request, std::uint64_t nowMs, Output &output)
{
    // The leader lease requires that no voter grants a vote within electionMs of its last leader contact.
    const bool leaderAlive = node.role == Role::Leader ? holdsLease(node, nowMs) : nowMs < node.lastLeaderContactMs + node.timing.electionMs;
    if (!request.preliminary && message.term > node.term && !leaderAlive) {
        becomeFollower(node, message.term, nowMs, output);
    }
    const bool upToDate = std::pair(request.lastTerm, request.lastIndex) >= lastLogPosition(node);
    const bool candidateMayVote = isVotingMember(node.membership, message.from, message.fromIncarnation);
    const bool selfMayVote = isVotingMember(node.membership, node.self, node.incarnation);
    bool granted = upToDate && candidateMayVote && selfMayVote && !leaderAlive;
    if (request.preliminary) {
        granted = granted && message.term > node.term;
    } else {
        granted = granted && message.term == node.term && (node.votedFor.empty() || node.votedFor == message.from);
    }
    if (granted && !request.preliminary) {
        node.votedFor = message.from;
        persistHardState(node, output);
        resetElectionDeadline(node, nowMs);
    }
    wire::VoteReplyT reply;
    reply.preliminary = request.preliminary;
    reply.granted = granted;
    wire::ConsensusMessageT answer = makeMessage(node, message.from, reply);
    answer.toIncarnation = message.fromIncarnation;
    if (request.preliminary && granted) {
        answer.term = message.term;
    }
    output.sendAfterSync.push_back(std::move(answer));
}

void onVoteReply(Node &node, const wire::ConsensusMessageT &message, const wire::VoteReplyT &reply, std::uint64_t nowMs, Output &output)
{
    if (!isVotingMember(node.membership, message.from, message.fromIncarnation)) {
        return;
    }
    if (reply.preliminary && node.role == Role::PreCandidate && (!reply.granted || message.term == node.term + 1)) {
        node.votes[message.from] = reply.granted;
        if (isElected(node)) {
            startElection(node, nowMs, output);
        }
        return;
    }
    if (!reply.preliminary && node.role == Role::Candidate && message.term == node.term) {
        node.votes[message.from] = reply.granted;
        if (isElected(node)) {
            becomeLeader(node, nowMs, output);
        }
    }
}
}
