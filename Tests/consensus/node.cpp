#include "consensus/node.h"
#include "testing.h"

#include <algorithm>
#include <deque>
#include <map>

namespace
{
using namespace rosemaryturn;
using consensus::Node;

wire::MembershipT makeMembership(std::initializer_list<std::pair<const char *, wire::MemberRole>> list)
{
    wire::MembershipT membership;
    for (const auto &[host, role] : list) {
        auto member = std::make_unique<wire::MemberT>();
        member->host = host;
        member->incarnation = 1;
        member->role = role;
        member->durable = true;
        membership.members.push_back(std::move(member));
    }
    return membership;
}

/** A group of nodes whose syncs take no time and whose messages take `delayMs` each way; hosts in `down` neither run nor receive. */
struct Group
{
    explicit Group(const wire::MembershipT &membership)
    {
        for (const auto &member : membership.members) {
            Node &node = nodes[member->host];
            node.group = "g";
            node.self = member->host;
            node.incarnation = 1;
            node.witness = member->role == wire::MemberRole::Witness;
            node.random.seed(nodes.size());
            consensus::initialise(node, membership, nowMs);
        }
    }

    void handleOutput(const std::string &host, consensus::Output output)
    {
        journals[host].insert(journals[host].end(), output.persist.begin(), output.persist.end());
        for (auto *list : {&output.sendNow, &output.sendAfterSync}) {
            for (const auto &message : *list) {
                queue.emplace_back(nowMs + delayMs, message);
            }
        }
        for (const auto &entry : output.committed) {
            applied[host].push_back(entry->payload);
        }
        Node &node = nodes.at(host);
        if (!output.persist.empty() && !node.witness) {
            consensus::Output synced;
            consensus::persisted(node, consensus::lastIndex(node.log), consensus::lastTerm(node.log), nowMs, synced);
            handleOutput(host, std::move(synced));
        }
    }

    void deliver()
    {
        while (!queue.empty() && queue.front().first <= nowMs) {
            const wire::ConsensusMessageT message = std::move(queue.front().second);
            queue.pop_front();
            const bool up = nodes.count(message.to) > 0 && down.count(message.to) == 0 && down.count(message.from) == 0;
            if (up) {
                const auto *reply = message.body.AsAppendReply();
                rejections[message.to] += reply != nullptr && !reply->accepted ? 1 : 0;
                const auto *append = message.body.AsAppendRequest();
                entriesReceived[message.to] += append != nullptr ? append->entries.size() : 0;
                consensus::Output output;
                consensus::receive(nodes.at(message.to), message, nowMs, output);
                handleOutput(message.to, std::move(output));
            }
        }
    }

    void advance(std::uint64_t milliseconds)
    {
        constexpr std::uint64_t tickMs = 10;
        for (const std::uint64_t end = nowMs + milliseconds; nowMs < end;) {
            nowMs += tickMs;
            for (auto &[host, node] : nodes) {
                if (down.count(host) == 0) {
                    consensus::Output output;
                    consensus::tick(node, nowMs, output);
                    handleOutput(host, std::move(output));
                }
            }
            deliver();
        }
    }

    Node *leader()
    {
        for (auto &[host, node] : nodes) {
            if (down.count(host) == 0 && consensus::isReadyLeader(node)) {
                return &node;
            }
        }
        return nullptr;
    }

    bool propose(std::uint8_t value)
    {
        Node *node = leader();
        if (node == nullptr) {
            return false;
        }
        consensus::Output output;
        const bool taken = consensus::propose(*node, {{value}}, nowMs, output) != 0;
        handleOutput(node->self, std::move(output));
        deliver();
        return taken;
    }

    std::uint64_t nowMs = 0;
    std::uint64_t delayMs = 0;
    std::map<std::string, Node> nodes;
    std::map<std::string, std::vector<wire::JournalRecordT>> journals;
    std::map<std::string, std::vector<wire::Bytes>> applied;
    std::map<std::string, bool> down;
    std::map<std::string, std::size_t> rejections; ///< Rejected appends that a host learnt of.
    std::map<std::string, std::size_t> entriesReceived; ///< Entries that a host was sent, repeated ones included.
    std::deque<std::pair<std::uint64_t, wire::ConsensusMessageT>> queue; ///< Messages with the time of their arrival.
};

wire::MembershipT threeVoters()
{
    return makeMembership({{"a", wire::MemberRole::Voter}, {"b", wire::MemberRole::Voter}, {"c", wire::MemberRole::Voter}});
}

/** Appends entries to the log of a leader that is cut off: they are stored and reach nobody. */
void appendUnreplicated(Group &group, const std::string &leader, std::size_t count)
{
    Node &node = group.nodes.at(leader);
    consensus::Output lost;
    consensus::propose(node, std::vector<wire::Bytes>(count, wire::Bytes{7}), group.nowMs, lost);
    consensus::persisted(node, consensus::lastIndex(node.log), node.term, group.nowMs, lost);
}

/** Advances until a host leads. @return whether it does within the time. */
bool waitForRole(Group &group, const std::string &host, consensus::Role role, std::uint64_t milliseconds)
{
    constexpr std::uint64_t stepMs = 10;
    for (const std::uint64_t end = group.nowMs + milliseconds; group.nowMs < end && group.nodes.at(host).role != role;) {
        group.advance(stepMs);
    }
    return group.nodes.at(host).role == role;
}

wire::MembershipT cellMembership()
{
    return makeMembership({{"a", wire::MemberRole::Voter}, {"b", wire::MemberRole::Voter}, {"w", wire::MemberRole::Witness}});
}
}

TEST_CASE(Consensus, ElectsOneLeaderAndCommits)
{
    Group group(cellMembership());
    group.advance(3000);
    CHECK(group.leader() != nullptr);
    CHECK(group.propose(1));
    group.advance(500);
    CHECK_EQUAL(std::size_t{1}, group.applied["a"].size());
    CHECK_EQUAL(std::size_t{1}, group.applied["b"].size());
}

TEST_CASE(Consensus, WitnessNeverBecomesCandidateAndHoldsNoEntries)
{
    Group group(cellMembership());
    group.down["a"] = true;
    group.down["b"] = true;
    group.advance(10000);
    CHECK(group.leader() == nullptr);
    CHECK(group.nodes.at("w").role == consensus::Role::Follower);
    CHECK(group.nodes.at("w").log.entries.empty());
}

TEST_CASE(Consensus, RemainingVoterAndWitnessElectALeader)
{
    Group group(cellMembership());
    group.advance(3000);
    CHECK(group.propose(1));
    const std::string lost = group.leader()->self;
    group.down[lost] = true;
    group.advance(4000);
    CHECK(group.leader() != nullptr);
    CHECK(group.leader()->self != lost);
    CHECK(group.propose(2));
    group.advance(1000);
    CHECK_EQUAL(std::size_t{2}, group.applied[group.leader()->self].size());
}

TEST_CASE(Consensus, WitnessRefusesAVoterThatMissedCommittedEntries)
{
    Group group(cellMembership());
    group.advance(3000);
    const std::string first = group.leader()->self;
    const std::string other = first == "a" ? "b" : "a";
    group.down[other] = true;
    group.advance(1000);
    CHECK(group.propose(7));
    group.advance(1000);
    CHECK_EQUAL(std::size_t{1}, group.applied[first].size());
    group.down[first] = true;
    group.down.erase(other);
    group.advance(10000);
    CHECK(group.leader() == nullptr);
    group.down.erase(first);
    group.advance(5000);
    CHECK(group.leader() != nullptr);
    CHECK_EQUAL(std::size_t{1}, group.applied[other].size());
}

TEST_CASE(Consensus, LeaseEndsBeforeAnotherIsElected)
{
    Group group(cellMembership());
    group.advance(3000);
    Node &old = *group.leader();
    group.down[old.self] = true;
    bool both = false;
    for (int i = 0; i < 400; ++i) {
        group.advance(10);
        both = both || (consensus::holdsLease(old, group.nowMs) && group.leader() != nullptr);
    }
    CHECK(!both);
    CHECK(group.leader() != nullptr);
}

TEST_CASE(Consensus, VoterRefusesVotesSoonAfterLeaderContact)
{
    struct Row
    {
        std::uint64_t sinceContactMs;
        bool granted;
    };
    for (const Row &row : {Row{0, false}, Row{500, false}, Row{999, false}, Row{1000, true}}) {
        Group group(cellMembership());
        group.advance(3000);
        const std::string leader = group.leader()->self;
        const std::string other = leader == "a" ? "b" : "a";
        Node &voter = group.nodes.at("w");
        voter.lastLeaderContactMs = group.nowMs;
        wire::VoteRequestT request;
        request.lastIndex = 100;
        request.lastTerm = 100;
        wire::ConsensusMessageT message;
        message.group = "g";
        message.from = other;
        message.fromIncarnation = 1;
        message.to = "w";
        message.term = voter.term + 1;
        message.body.Set(request);
        consensus::Output output;
        consensus::receive(voter, message, group.nowMs + row.sinceContactMs, output);
        CHECK_EQUAL(row.granted, output.sendAfterSync.at(0).body.AsVoteReply()->granted);
    }
}

TEST_CASE(Consensus, CommitNeedsTwoVotersWhileTheSecondResponds)
{
    Group group(cellMembership());
    group.advance(3000);
    Node &leader = *group.leader();
    const std::string other = leader.self == "a" ? "b" : "a";
    const std::uint64_t before = leader.commit;
    group.down[other] = true; // The leader can't have noticed the failure yet.
    CHECK(group.propose(1));
    group.advance(300);
    CHECK_EQUAL(before, leader.commit);
    group.advance(1000);
    CHECK_EQUAL(before + 1, leader.commit);
}

TEST_CASE(Consensus, RestartKeepsTermVoteAndLog)
{
    Group group(cellMembership());
    group.advance(3000);
    CHECK(group.propose(1));
    CHECK(group.propose(2));
    for (const char *host : {"a", "b", "w"}) {
        const Node &before = group.nodes.at(host);
        Node after;
        after.group = "g";
        after.self = host;
        after.incarnation = 1;
        after.witness = before.witness;
        consensus::initialise(after, cellMembership(), group.nowMs);
        for (const auto &record : group.journals[host]) {
            consensus::restore(after, record);
        }
        consensus::finishRestore(after, group.nowMs);
        CHECK_EQUAL(before.term, after.term);
        CHECK_EQUAL(before.votedFor, after.votedFor);
        CHECK_EQUAL(consensus::lastIndex(before.log), consensus::lastIndex(after.log));
        CHECK_EQUAL(before.witnessIndex, after.witnessIndex);
    }
}

TEST_CASE(Consensus, MemberThatLostItsDiskDoesNotVote)
{
    Group group(cellMembership());
    Node fresh;
    fresh.group = "g";
    fresh.self = "b";
    fresh.incarnation = 99;
    consensus::initialise(fresh, cellMembership(), 0);
    wire::VoteRequestT request;
    request.lastIndex = 5;
    request.lastTerm = 5;
    wire::ConsensusMessageT message;
    message.group = "g";
    message.from = "a";
    message.fromIncarnation = 1;
    message.to = "b";
    message.term = 6;
    message.body.Set(request);
    consensus::Output output;
    consensus::receive(fresh, message, 60000, output);
    CHECK_EQUAL(std::size_t{1}, output.sendAfterSync.size());
    CHECK(!output.sendAfterSync[0].body.AsVoteReply()->granted);
}

TEST_CASE(Consensus, SnapshotCatchesUpALaggingMember)
{
    Group group(cellMembership());
    group.advance(3000);
    const std::string leader = group.leader()->self;
    const std::string other = leader == "a" ? "b" : "a";
    group.down[other] = true;
    group.advance(1000);
    for (std::uint8_t value = 0; value < 50; ++value) {
        CHECK(group.propose(value));
    }
    group.advance(500);
    consensus::Output output;
    consensus::compact(*group.leader(), {42}, group.leader()->applied, output);
    CHECK(output.replaceJournal);
    CHECK(group.leader()->log.entries.empty());
    group.down.erase(other);
    group.advance(2000);
    CHECK_EQUAL(consensus::lastIndex(group.nodes.at(leader).log), consensus::lastIndex(group.nodes.at(other).log));
    CHECK((group.nodes.at(other).log.snapshotImage == wire::Bytes{42}));
}

TEST_CASE(Consensus, MembershipChangesOneVoterAtATime)
{
    wire::MembershipT before = cellMembership();
    wire::MembershipT one = cellMembership();
    one.members[1]->incarnation = 5;
    one.members[1]->role = wire::MemberRole::Learner;
    CHECK(consensus::changesAtMostOneVoter(before, one));
    wire::MembershipT replaced = cellMembership();
    replaced.members[1]->incarnation = 5;
    CHECK(!consensus::changesAtMostOneVoter(before, replaced));
    wire::MembershipT two = cellMembership();
    two.members[0]->role = wire::MemberRole::Learner;
    two.members[1]->role = wire::MemberRole::Learner;
    CHECK(!consensus::changesAtMostOneVoter(before, two));
}

namespace
{
/** Four hosts, of which d learns. */
wire::MembershipT threeVotersAndALearner()
{
    wire::MembershipT membership = threeVoters();
    auto learner = std::make_unique<wire::MemberT>(*membership.members.front());
    learner->host = "d";
    learner->role = wire::MemberRole::Learner;
    membership.members.push_back(std::move(learner));
    return membership;
}

/** Proposes a membership at the leader. @return whether it was accepted. */
bool proposeMembership(Group &group, const wire::MembershipT &membership)
{
    Node &leader = *group.leader();
    consensus::Output output;
    const bool proposed = consensus::proposeMembership(leader, membership, group.nowMs, output) != 0;
    group.handleOutput(leader.self, std::move(output));
    return proposed;
}

/** @return the voters other than the leader, in the order of their ids. */
std::vector<std::string> followersOf(Group &group)
{
    std::vector<std::string> followers;
    for (const char *host : {"a", "b", "c"}) {
        if (group.leader()->self != host) {
            followers.emplace_back(host);
        }
    }
    return followers;
}
}

TEST_CASE(Consensus, AJointChangeKeepsTheOldVotersAndEndsWithTheNewOnes)
{
    const wire::MembershipT before = threeVotersAndALearner();
    const wire::MembershipT joint = consensus::replaceVoter(before, "c", "d");
    const wire::MembershipT after = consensus::completeChange(joint);
    CHECK(consensus::isJoint(joint) && !consensus::isJoint(before) && !consensus::isJoint(after));
    CHECK(consensus::isVotingMember(after, "d", 1) && !consensus::isVotingMember(after, "c", 1));
    CHECK(consensus::isSafeChange(before, joint));
    CHECK(consensus::isSafeChange(joint, after));
    CHECK(!consensus::isSafeChange(before, after)); // {a, c} and {b, d} don't overlap.
    CHECK(!consensus::isSafeChange(joint, before));
    CHECK(!consensus::isSafeChange(joint, joint));
    wire::MembershipT otherVoters = joint;
    otherVoters.members[1]->incarnation = 5;
    CHECK(!consensus::isSafeChange(before, otherVoters));
}

TEST_CASE(Consensus, AVoterThatIsDownIsReplacedAndTheNextLossLeavesAMajority)
{
    for (const bool leaderIsLost : {false, true}) {
        Group group(threeVotersAndALearner());
        group.advance(5000);
        const std::vector<std::string> followers = followersOf(group);
        const std::string leader = group.leader()->self;
        group.down[followers[0]] = true;
        CHECK(proposeMembership(group, consensus::replaceVoter(group.leader()->membership, followers[0], "d")));
        group.advance(200);
        CHECK(group.leader()->commit >= group.leader()->membershipIndex);
        CHECK(proposeMembership(group, consensus::completeChange(group.leader()->membership)));
        group.advance(200);
        group.down[leaderIsLost ? leader : followers[1]] = true;
        group.advance(5000);
        CHECK(group.leader() != nullptr);
        CHECK(group.propose(1));
        group.advance(500);
        CHECK_EQUAL(std::size_t{1}, group.applied["d"].size());
    }
}

/** Two of the three new voters are no majority of the old ones: neither may they commit the change, nor elect a leader. */
TEST_CASE(Consensus, AJointChangeNeedsAMajorityOfBothVoterSets)
{
    Group group(threeVotersAndALearner());
    group.advance(5000);
    const std::vector<std::string> followers = followersOf(group);
    const std::string leader = group.leader()->self;
    const std::uint64_t commit = group.leader()->commit;
    group.down[followers[0]] = true;
    group.down[followers[1]] = true;
    CHECK(proposeMembership(group, consensus::replaceVoter(group.leader()->membership, followers[0], "d")));
    group.advance(300);
    CHECK_EQUAL(consensus::lastIndex(group.nodes.at(leader).log), consensus::lastIndex(group.nodes.at("d").log));
    CHECK_EQUAL(commit, group.nodes.at(leader).commit);
    group.advance(20000);
    CHECK(group.leader() == nullptr || !consensus::holdsLease(*group.leader(), group.nowMs));
    CHECK_EQUAL(commit, group.nodes.at(leader).commit);
    group.down.erase(followers[1]);
    group.advance(5000);
    CHECK(group.leader() != nullptr);
    CHECK(group.leader()->commit >= group.leader()->membershipIndex);
}

TEST_CASE(Consensus, CommitNeedsADurableCopy)
{
    wire::MembershipT membership = cellMembership();
    membership.members[0]->durable = false;
    Group group(membership);
    group.nodes.at("a").durable = false;
    group.down["b"] = true;
    group.advance(6000);
    // Only the host without a disk and the witness are up: it may be elected, but commits nothing.
    const Node &node = group.nodes.at("a");
    CHECK_EQUAL(std::uint64_t{0}, node.commit);
}

TEST_CASE(Consensus, FollowerDropsEntriesThatWereNeverCommitted)
{
    Group group(threeVoters());
    group.advance(3000);
    const std::string old = group.leader()->self;
    consensus::Output lost;
    consensus::propose(group.nodes.at(old), {{1}, {2}, {3}}, group.nowMs, lost);
    group.down[old] = true;
    group.advance(5000);
    CHECK(group.propose(9));
    group.down.erase(old);
    group.advance(3000);
    CHECK_EQUAL(std::size_t{1}, group.applied[old].size());
    CHECK((group.applied[old][0] == wire::Bytes{9}));
}

/**
 * Sending the whole log at once to a host that lost its disk delayed the heartbeat behind it; the delay was taken for a loss,
 * and everything was sent again.
 */
TEST_CASE(Consensus, LaggingMemberIsSentBoundedAmounts)
{
    constexpr std::size_t entryBytes = 1000;
    constexpr std::size_t entryCount = 2000;
    Node node;
    node.group = "g";
    node.self = "a";
    node.incarnation = 1;
    consensus::initialise(node, makeMembership({{"a", wire::MemberRole::Voter}}), 0);
    consensus::Output output;
    consensus::tick(node, 10000, output);
    std::vector<wire::Bytes> payloads(entryCount, wire::Bytes(entryBytes, 7));
    consensus::propose(node, std::move(payloads), 10000, output);
    consensus::persisted(node, consensus::lastIndex(node.log), node.term, 10000, output);
    auto membership = makeMembership({{"a", wire::MemberRole::Voter}, {"b", wire::MemberRole::Learner}});
    CHECK(consensus::proposeMembership(node, membership, 10001, output) != 0);
    wire::ConsensusMessageT refusal;
    refusal.group = "g";
    refusal.from = "b";
    refusal.fromIncarnation = 1;
    refusal.to = "a";
    refusal.term = node.term;
    refusal.body.Set(wire::AppendReplyT{});
    output = {};
    consensus::receive(node, refusal, 10050, output);
    for (std::uint64_t ms = 10050; ms < 10400; ms += 10) {
        consensus::tick(node, ms, output); // Heartbeats continue, but carry no more entries than the bound allows.
    }
    std::size_t bytes = 0;
    for (const wire::ConsensusMessageT &message : output.sendNow) {
        if (const auto *append = message.body.AsAppendRequest()) {
            bytes += append->entries.size() * entryBytes;
        }
    }
    CHECK(bytes > 0);
    CHECK(bytes <= consensus::maxInFlightBytes + consensus::maxAppendBytes + entryBytes);
}

/**
 * A new leader that stepped back one entry a round trip through the uncommitted entries of a deposed leader committed nothing for seconds; with the
 * third voter down, the next fault took the only complete log.
 */
TEST_CASE(Consensus, ANewLeaderPassesTheConflictingEntriesOfADeposedLeaderInOneStep)
{
    constexpr std::uint64_t roundTripMs = 60;
    for (const std::size_t tail : {10U, 100U, 400U}) {
        Group group(threeVoters());
        group.delayMs = roundTripMs / 2;
        group.advance(5000);
        CHECK(group.propose(1));
        group.advance(500);
        const std::string deposed = group.leader()->self;
        group.down[deposed] = true;
        appendUnreplicated(group, deposed, tail);
        group.advance(5000);
        const std::string next = group.leader()->self;
        for (std::size_t i = 0; i < tail; ++i) {
            CHECK(group.propose(2));
        }
        group.advance(1000);
        CHECK_EQUAL(tail + 1, group.applied[next].size());
        for (const auto &[host, node] : group.nodes) {
            group.down[host] = true;
        }
        group.nodes.at(next).role = consensus::Role::Follower; // As after a restart.
        group.nodes.at(deposed).role = consensus::Role::Follower;
        group.advance(2000);
        group.down.erase(next);
        group.down.erase(deposed);
        CHECK(waitForRole(group, next, consensus::Role::Leader, 20000));
        const std::uint64_t electedMs = group.nowMs;
        const std::size_t before = group.rejections[next];
        while (group.leader() == nullptr && group.nowMs < electedMs + 60000) {
            group.advance(10);
        }
        CHECK(group.leader() != nullptr && group.leader()->self == next);
        CHECK(group.nowMs - electedMs <= 3 * roundTripMs);
        CHECK_EQUAL(std::size_t{1}, group.rejections[next] - before);
    }
}

/** Members of an earlier build report no term: a leader steps back to the index that they report, as before. */
TEST_CASE(Consensus, ARejectionWithoutATermStepsBackToItsIndex)
{
    Group group(threeVoters());
    group.advance(5000);
    for (std::uint8_t value = 0; value < 20; ++value) {
        CHECK(group.propose(value));
    }
    Node &leader = *group.leader();
    const std::string follower = leader.self == "a" ? "b" : "a";
    leader.progress.at(follower).matchIndex = 0; // As after an election.
    wire::AppendReplyT rejection;
    rejection.matchIndex = 7;
    wire::ConsensusMessageT message;
    message.group = "g";
    message.from = follower;
    message.fromIncarnation = 1;
    message.to = leader.self;
    message.term = leader.term;
    message.body.Set(rejection);
    consensus::Output output;
    consensus::receive(leader, message, group.nowMs, output);
    CHECK_EQUAL(std::uint64_t{7}, output.sendNow.at(0).body.AsAppendRequest()->previousIndex);
}

namespace
{
/** @return a member as it is after a restart: it holds its log and knows no commit index. */
Node restarted(const Group &group, const std::string &host, const std::vector<wire::JournalRecordT> &records)
{
    Node node;
    node.group = "g";
    node.self = host;
    node.incarnation = 1;
    consensus::initialise(node, threeVoters(), group.nowMs);
    for (const auto &record : records) {
        consensus::restore(node, record);
    }
    consensus::finishRestore(node, group.nowMs);
    return node;
}

consensus::Output receiveSnapshot(Node &node, const Node &leader, std::uint64_t lastIndex, std::uint64_t lastTerm, std::uint64_t nowMs)
{
    wire::SnapshotRequestT request;
    request.lastIndex = lastIndex;
    request.lastTerm = lastTerm;
    request.membership = std::make_unique<wire::MembershipT>(threeVoters());
    request.image = {42};
    wire::ConsensusMessageT message;
    message.group = "g";
    message.from = leader.self;
    message.fromIncarnation = 1;
    message.to = node.self;
    message.term = std::max(leader.term, lastTerm);
    message.body.Set(std::move(request));
    consensus::Output output;
    consensus::receive(node, message, nowMs, output);
    return output;
}
}

/** A snapshot removed all entries of a follower, also later ones that it had acknowledged and that were committed by that; a second loss took them. */
TEST_CASE(Consensus, ASnapshotKeepsTheMatchingEntriesAfterIt)
{
    Group group(threeVoters());
    group.advance(5000);
    for (std::uint8_t value = 0; value < 20; ++value) {
        CHECK(group.propose(value));
    }
    const Node &leader = *group.leader();
    const std::string host = leader.self == "a" ? "b" : "a";
    const std::uint64_t last = consensus::lastIndex(leader.log);
    const std::uint64_t covered = last - 5;

    Node follower = restarted(group, host, group.journals[host]);
    const consensus::Output output = receiveSnapshot(follower, leader, covered, consensus::termAt(leader.log, covered), group.nowMs);
    CHECK(output.snapshotInstalled && output.replaceJournal);
    CHECK_EQUAL(covered, follower.applied);
    CHECK_EQUAL(covered, follower.log.snapshotIndex);
    CHECK_EQUAL(last, consensus::lastIndex(follower.log));
    const Node again = restarted(group, host, output.persist);
    CHECK_EQUAL(last, consensus::lastIndex(again.log));
    CHECK_EQUAL(leader.term, consensus::lastTerm(again.log));
}

TEST_CASE(Consensus, ASnapshotRemovesConflictingEntries)
{
    Group group(threeVoters());
    group.advance(5000);
    for (std::uint8_t value = 0; value < 20; ++value) {
        CHECK(group.propose(value));
    }
    const Node &leader = *group.leader();
    const std::string host = leader.self == "a" ? "b" : "a";
    const std::uint64_t covered = consensus::lastIndex(leader.log) - 5;

    Node follower = restarted(group, host, group.journals[host]);
    receiveSnapshot(follower, leader, covered, leader.term + 1, group.nowMs);
    CHECK_EQUAL(covered, consensus::lastIndex(follower.log));
    CHECK_EQUAL(leader.term + 1, consensus::lastTerm(follower.log));
}

/** A new leader knows nothing of its followers' logs: if a reply took longer than three heartbeats, it sent the whole log again, each time. */
TEST_CASE(Consensus, ANewLeaderDoesNotSendTheWholeLogToAFarMember)
{
    constexpr std::size_t entryCount = 300;
    Group group(threeVoters());
    group.advance(5000);
    for (std::size_t i = 0; i < entryCount; ++i) {
        CHECK(group.propose(1));
    }
    group.advance(1000);
    const std::string first = group.leader()->self;
    group.down[first] = true;
    group.delayMs = 300;
    const std::map<std::string, std::size_t> before = group.entriesReceived;
    group.advance(10000);
    CHECK(group.leader() != nullptr);
    for (const auto &[host, entries] : before) {
        if (host != first && host != group.leader()->self) {
            CHECK(group.entriesReceived[host] - entries < 10);
        }
    }
    CHECK(group.propose(2));
    group.advance(2000);
    CHECK_EQUAL(entryCount + 1, group.applied[group.leader()->self].size());
}
