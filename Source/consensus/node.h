#pragma once

#include "consensus/log.h"
#include "consensus/membership.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

/**
 * Raft consensus within one group of hosts: a replicated log with terms, pre-votes, a leader lease, snapshots,
 * learners, witnesses, and membership changes of one voter at a time or of several by joint consensus.
 *
 * The functions do no input or output and read no clock: they change the node's state for an event at a given time and
 * return the effects in an Output. Times are milliseconds of the local monotonic clock and are never compared between hosts.
 */
namespace rosemaryturn::consensus
{
/** Durations that all members of a group share, in milliseconds. */
struct Timing
{
    std::uint64_t heartbeatMs = 150; ///< Interval between two heartbeat rounds of the leader.
    std::uint64_t electionMs = 1000; ///< Minimum time without leader contact before a member starts an election or grants a vote.
    std::uint64_t leaderLeaseMs
        = 800; ///< Duration of the leader lease from the sending of an acknowledged round; shorter than electionMs by the clock drift bound.
};

/** Payload bytes after which no further entry is added to an append message. */
constexpr std::size_t maxAppendBytes = 64U * 1024U;
/** Limit of unacknowledged payload bytes per member, so that heartbeats queued behind entries don't arrive late. */
constexpr std::size_t maxInFlightBytes = 192U * 1024U;

/** Role of a member in its current term. */
enum class Role {
    Follower,
    PreCandidate, ///< Collects pre-votes without increasing the term.
    Candidate,
    Leader,
};

/** An append message with entries that a member hasn't acknowledged yet. */
struct SentEntries
{
    std::uint64_t firstIndex = 0;
    std::uint64_t lastIndex = 0;
    std::size_t bytes = 0; ///< Payload bytes.
};

/** Replication state that a leader keeps for one other member. */
struct Progress
{
    std::uint64_t incarnation = 0; ///< Incarnation of the member that this state belongs to.
    std::uint64_t nextIndex = 1; ///< Next index to send.
    std::uint64_t matchIndex = 0; ///< Last index known to be replicated, and synced if the member is durable.
    std::uint64_t round = 0; ///< Latest heartbeat round that the member acknowledged.
    std::uint64_t lastReplyMs = 0; ///< Time of the last reply.
    std::uint64_t snapshotSentMs = 0; ///< Time at which a snapshot was last sent.
    bool snapshotPending = false; ///< A snapshot was sent and isn't acknowledged yet.
    std::uint64_t lastProgressMs = 0; ///< Time of the last acknowledgement of entries, or of the first send after none were in flight.
    std::deque<SentEntries> inFlight; ///< Unacknowledged messages in the order of their entries.
    std::size_t inFlightBytes = 0;
};

/** State of one group on one host. */
struct Node
{
    std::string group;
    std::string self;
    std::uint64_t incarnation = 0;
    bool durable = true; ///< Whether this host syncs its log to disk.
    bool sendCommitAtOnce = false; ///< Sends a new commit index to followers at once instead of with the next heartbeat.
    bool witness = false; ///< Stores only term, vote and log position.
    Timing timing;
    std::mt19937_64 random;

    std::uint64_t term = 0;
    std::string votedFor;
    Log log;
    std::uint64_t witnessIndex = 0; ///< Index of the log position of a witness.
    std::uint64_t witnessTerm = 0; ///< Term of the log position of a witness.
    wire::MembershipT membership; ///< Latest membership in the log, committed or not.
    std::uint64_t membershipIndex = 0;

    std::uint64_t commit = 0;
    std::uint64_t applied = 0;
    std::uint64_t persisted = 0; ///< Last index of the local log that is synced.

    Role role = Role::Follower;
    std::string leader; ///< Host id; empty while unknown.
    std::uint64_t electionDeadlineMs = 0;
    std::uint64_t lastLeaderContactMs = 0; ///< Time of the last leader contact; no vote is granted until electionMs later.
    std::string lastLeader; ///< Host id of the leader of that contact; empty if there was none since the start of the process.
    bool hasCurrentTermCommit = false; ///< The commit index covers an entry of the current term, as announced by its leader.

    std::map<std::string, bool, std::less<>> votes;
    std::map<std::string, Progress, std::less<>> progress;
    std::uint64_t termStartIndex = 0; ///< Index of the empty entry that starts the leader's term.
    std::uint64_t round = 0;
    std::map<std::uint64_t, std::uint64_t> roundSentMs;
    std::uint64_t leaseUntilMs = 0;
    std::uint64_t nextRoundMs = 0;
};

/** Effects that the caller performs after a call. */
struct Output
{
    std::vector<wire::JournalRecordT> persist; ///< Records to append to the journal, in order.
    std::vector<wire::ConsensusMessageT> sendAfterSync; ///< Messages to send once all of persist is synced.
    std::vector<wire::ConsensusMessageT> sendNow; ///< Messages to send at once.
    std::vector<EntryPointer> committed; ///< Committed application entries to apply, in order.
    bool snapshotInstalled = false; ///< The image of the log's snapshot replaces the application's state before committed is applied.
    bool becameLeader = false;
    bool lostLeadership = false;
    bool replaceJournal = false; ///< The records in persist replace the whole journal.
};

/** Records to sync, and messages to send afterwards. */
struct PersistRequest
{
    std::string group;
    std::vector<wire::JournalRecordT> records;
    bool replace = false; ///< The records replace the whole journal.
    std::vector<wire::ConsensusMessageT> sendAfterSync;
    std::uint64_t index = 0; ///< Last index of the log that includes the records.
    std::uint64_t term = 0; ///< Term of that index.
};

/**
 * Initialises a node without stored state.
 * @param node the node; self, incarnation and timing are set before the call.
 * @param membership the initial members of the group.
 * @param nowMs the current time.
 */
void initialise(Node &node, wire::MembershipT membership, std::uint64_t nowMs);

/**
 * Restores one journal record; called for each record in order after initialise().
 * @param node the node.
 * @param record the record.
 */
void restore(Node &node, wire::JournalRecordT record);

/**
 * Completes the replay of the journal.
 * @param node the node.
 * @param nowMs the current time.
 * @return the image of the last snapshot, from which the application starts; empty if there is none.
 */
const wire::Bytes &finishRestore(Node &node, std::uint64_t nowMs);

/** Performs the periodic work: heartbeats and elections. @param node the node. @param nowMs the current time. @param output receives the effects. */
void tick(Node &node, std::uint64_t nowMs, Output &output);

/** Handles a message from another member. @param node the node. @param message the message. @param nowMs the current time. @param output receives the effects.
 */
void receive(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs, Output &output);

/**
 * Proposes application payloads; the payloads of one call are sent and synced as one batch.
 * @param node the node.
 * @param payloads the encoded application records.
 * @param nowMs the current time.
 * @param output receives the effects.
 * @return the index of the first entry, or 0 if this node isn't the leader.
 */
std::uint64_t propose(Node &node, std::vector<wire::Bytes> payloads, std::uint64_t nowMs, Output &output);

/**
 * Proposes a membership change.
 * @param node the node.
 * @param membership the new members; see isSafeChange().
 * @param nowMs the current time.
 * @param output receives the effects.
 * @return the index of the entry, or 0 if refused: not a ready leader, an earlier change is uncommitted, or the change isn't safe.
 */
std::uint64_t proposeMembership(Node &node, const wire::MembershipT &membership, std::uint64_t nowMs, Output &output);

/**
 * Reports that the local log is synced.
 * @param node the node.
 * @param index the last synced index.
 * @param term its term.
 * @param nowMs the current time.
 * @param output receives the effects.
 */
void persisted(Node &node, std::uint64_t index, std::uint64_t term, std::uint64_t nowMs, Output &output);

/**
 * Replaces the log up to an applied index by a snapshot.
 * @param node the node.
 * @param image the application's state at that index.
 * @param through the last index to cover, after the last snapshot and at most node.applied.
 * @param output receives the records that replace the whole journal.
 */
void compact(Node &node, wire::Bytes image, std::uint64_t through, Output &output);

/** @param node the node. @param nowMs the current time. @return whether it is the leader and its lease is valid. */
bool holdsLease(const Node &node, std::uint64_t nowMs);

/** @param node the node. @return whether it is the leader and has applied all entries of earlier terms. */
bool isReadyLeader(const Node &node);

/** @param node the node. @return the records of a journal from which the current state can be restored. */
std::vector<wire::JournalRecordT> journalRecords(const Node &node);

/** Resigns as leader, for a graceful shutdown. @param node the node. @param nowMs the current time. @param output receives the effects. */
void stepDown(Node &node, std::uint64_t nowMs, Output &output);
}
