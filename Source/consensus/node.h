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
 * Agreement within one group of hosts: a replicated log with terms, a leader lease, snapshots,
 * learners, witnesses and membership changes of one voter at a time.
 *
 * Every function is `state x event x time -> output`; disk and network are filters around it.
 * Times are milliseconds of the runtime's monotonic clock and are never compared between hosts.
 */
namespace rosemaryturn::consensus
{
/** Durations that all members of a group share, in milliseconds. */
struct Timing
{
    std::uint64_t heartbeatMs = 150; ///< Between two rounds of the leader.
    std::uint64_t electionMs = 1000; ///< Shortest silence after which a member stands or votes.
    std::uint64_t leaderLeaseMs = 800; ///< How long an acknowledged round lets the leader act; below electionMs by the drift bound.
};

/** Most payload bytes that one append message carries. */
constexpr std::size_t maxAppendBytes = 64U * 1024U;
/** Payload bytes under way to a member beyond which no more are sent: heartbeats behind them must not look late. */
constexpr std::size_t maxInFlightBytes = 192U * 1024U;

/** What a member does in its term. */
enum class Role {
    Follower,
    PreCandidate, ///< Asks whether it would win, without disturbing the term.
    Candidate,
    Leader,
};

/** What a leader knows of one other member. */
struct Progress
{
    std::uint64_t incarnation = 0; ///< Incarnation that acknowledged.
    std::uint64_t nextIndex = 1; ///< Next index to send.
    std::uint64_t matchIndex = 0; ///< Last index known to be held, and synced where the member is durable.
    std::uint64_t round = 0; ///< Latest heartbeat round that it acknowledged.
    std::uint64_t lastReplyMs = 0; ///< When it last replied.
    std::uint64_t snapshotSentMs = 0; ///< When a snapshot was last sent.
    bool snapshotPending = false; ///< A snapshot is under way.
    std::uint64_t lastProgressMs = 0; ///< When the other side last confirmed entries, or the first of those under way were sent.
    std::deque<std::pair<std::uint64_t, std::size_t>> inFlight; ///< Last index and payload bytes of each message that isn't confirmed.
    std::size_t inFlightBytes = 0;
};

/** State of one group on one host. */
struct Node
{
    std::string group;
    std::string self;
    std::uint64_t incarnation = 0;
    bool durable = true; ///< Whether this host syncs its log on a disk.
    bool sendCommitAtOnce = false; ///< Tells followers of a commit at once rather than with the next heartbeat.
    bool witness = false; ///< Holds term, vote and log position only.
    Timing timing;
    std::mt19937_64 random;

    std::uint64_t term = 0;
    std::string votedFor;
    Log log;
    std::uint64_t witnessIndex = 0; ///< Log position, for a witness.
    std::uint64_t witnessTerm = 0;
    wire::MembershipT membership; ///< The latest in the log, committed or not.
    std::uint64_t membershipIndex = 0;

    std::uint64_t commit = 0;
    std::uint64_t applied = 0;
    std::uint64_t persisted = 0; ///< Last own index that is synced.

    Role role = Role::Follower;
    std::string leader; ///< Empty while unknown.
    std::uint64_t electionDeadlineMs = 0;
    std::uint64_t lastLeaderContactMs = 0; ///< Until electionMs after this no vote is given.
    bool hasCurrentTermCommit = false; ///< A leader of the present term told a commit index of its own term.

    std::map<std::string, bool, std::less<>> votes;
    std::map<std::string, Progress, std::less<>> progress;
    std::uint64_t termStartIndex = 0; ///< Index of the empty entry that opened the leader's term.
    std::uint64_t round = 0;
    std::map<std::uint64_t, std::uint64_t> roundSentMs;
    std::uint64_t leaseUntilMs = 0;
    std::uint64_t nextRoundMs = 0;
};

/** What a call asks its surroundings to do. */
struct Output
{
    std::vector<wire::JournalRecordT> persist; ///< To append to the journal, in order.
    std::vector<wire::ConsensusMessageT> sendAfterSync; ///< To send once all of persist is synced.
    std::vector<wire::ConsensusMessageT> sendNow; ///< To send at once.
    std::vector<EntryPointer> committed; ///< Application entries to apply, in order.
    std::optional<wire::Bytes> restoredImage; ///< A snapshot that replaces the application's state, before committed.
    bool becameLeader = false;
    bool lostLeadership = false;
    bool replaceJournal = false; ///< persist replaces the whole journal.
};

/** Records to sync, and what may be sent only after that. */
struct PersistRequest
{
    std::string group;
    std::vector<wire::JournalRecordT> records;
    bool replace = false; ///< The records replace the whole journal.
    std::vector<wire::ConsensusMessageT> sendAfterSync;
    std::uint64_t index = 0; ///< Last log index once the records are synced.
    std::uint64_t term = 0; ///< Its term.
};

/**
 * Prepares a node that has no state yet.
 * @param node receives self, incarnation, timing and initial membership before the call.
 * @param membership the members at the bootstrap of the group.
 * @param nowMs the present time.
 */
void initialise(Node &node, wire::MembershipT membership, std::uint64_t nowMs);

/**
 * Takes up one record of the journal; called for each in order after initialise().
 * @param node the node.
 * @param record the record.
 */
void restore(Node &node, const wire::JournalRecordT &record);

/**
 * Ends the replay of the journal.
 * @param node the node.
 * @param nowMs the present time.
 * @return the image of the snapshot the application starts from; empty when there is none.
 */
wire::Bytes finishRestore(Node &node, std::uint64_t nowMs);

/** Lets time pass. @param node the node. @param nowMs the present time. @param output what to do. */
void tick(Node &node, std::uint64_t nowMs, Output &output);

/** Takes a message in. @param node the node. @param message the message. @param nowMs the present time. @param output what to do. */
void receive(Node &node, const wire::ConsensusMessageT &message, std::uint64_t nowMs, Output &output);

/**
 * Proposes application payloads; one call is one batch on the wire and on the disk.
 * @param node the node.
 * @param payloads the encoded records.
 * @param nowMs the present time.
 * @param output what to do.
 * @return the index of the first, or 0 when this node does not lead.
 */
std::uint64_t propose(Node &node, std::vector<wire::Bytes> payloads, std::uint64_t nowMs, Output &output);

/**
 * Proposes another membership.
 * @param node the node.
 * @param membership differs from the present one by a single voter.
 * @param nowMs the present time.
 * @param output what to do.
 * @return the index, or 0 when refused: not leading, an earlier change still open, or more than one step.
 */
std::uint64_t proposeMembership(Node &node, const wire::MembershipT &membership, std::uint64_t nowMs, Output &output);

/** Reports that the own log is synced. @param node the node. @param index last synced index. @param term its term. @param nowMs the time. @param output what to
 * do. */
void persisted(Node &node, std::uint64_t index, std::uint64_t term, std::uint64_t nowMs, Output &output);

/**
 * Replaces the log up to an applied index by a snapshot.
 * @param node the node.
 * @param image the application's state at that index.
 * @param through the index, behind the last snapshot and not after node.applied.
 * @param output its persist replaces the whole journal.
 */
void compact(Node &node, wire::Bytes image, std::uint64_t through, Output &output);

/** @param node the node. @param nowMs the present time. @return whether it leads, has committed in its term and holds the leader lease. */
bool holdsLease(const Node &node, std::uint64_t nowMs);

/** @param node the node. @return whether it leads and all entries of earlier terms are applied. */
bool isReadyLeader(const Node &node);

/** @param node the node. @return all records of a journal that restores the node as it is. */
std::vector<wire::JournalRecordT> journalRecords(const Node &node);

/** Gives leadership up, for a graceful shutdown. @param node the node. @param nowMs the present time. @param output what to do. */
void stepDown(Node &node, std::uint64_t nowMs, Output &output);
}
