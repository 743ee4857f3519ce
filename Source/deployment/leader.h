#pragma once

#include "job/jobs.h"
#include "model/reason.h"
#include "policy/waitingorder.h"
#include "upstream/upstreamstate.h"
#include "wire/codec.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * The deployment scope: one group of control hosts that keeps the jobs of all data centres, and the one of them that
 * leads and orders the upstreams about. Every function is `state x event x time -> effects`.
 */
namespace rosemaryturn::deployment
{
/** Names a request whose answer is still owed. */
using Token = std::uint64_t;

/** The present, by the clocks of the runtime. */
struct Now
{
    std::uint64_t steadyMs = 0; ///< Counts the time of a suspension too. For every duration.
    std::uint64_t wallMs = 0; ///< For the due times of timed jobs and the times that records state.
};

/** Durations and bounds of the leader, in milliseconds where nothing else is said. */
struct LeaderOptions
{
    upstream::LeaseTiming lease;
    std::uint64_t pollWaitMs = 1000; ///< How long a poll waits at the upstream for an end.
    std::uint64_t pollTimeoutMs = 800; ///< Beyond the wait, the time after which a poll counts as unanswered.
    std::uint64_t orderTimeoutMs = 700; ///< Time after which a start or stop counts as unanswered.
    std::uint64_t stopMs = 200; ///< Longest that an upstream takes for a stop.
    std::uint64_t drainMs = 3000; ///< No start reaches a draining upstream later than this.
    std::uint64_t maxSilenceMs = 4000; ///< Silence after which an upstream gets no new work; two heartbeats and a half.
    std::uint64_t forgetAfterMs = 30000; ///< Silence after which an upstream without runs is forgotten.
    std::uint64_t keepJobsMs = 180000; ///< How long ended jobs can be asked for.
    std::uint64_t longestLeaseMs = 10000; ///< What an upstream shortens every lease to.
    std::uint64_t resendMs = 150; ///< Pause before an unanswered order is sent again.
    std::uint64_t gangWaitMs = 3000; ///< How long an upstream lets the members of a gang wait for each other.
};

/** What kind of call goes to an upstream. */
enum class CallKind {
    Start,
    Stop,
    Poll, ///< Renews the lease, acknowledges ends, and returns what runs and what ended.
    Pace,
};

/** A call to an upstream. */
struct UpstreamCall
{
    std::uint64_t id = 0;
    CallKind kind = CallKind::Poll;
    std::string address;
    std::string upstream; ///< The incarnation that is meant.
    std::string job; ///< The caller's id of the job.
    job::TaskRef task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t leaseUntilMs = 0; ///< On the upstream's clock; 0 renews nothing.
    std::uint64_t fence = 0;
    std::uint64_t acknowledge = 0; ///< Ends up to this one are recorded.
    std::uint64_t waitMs = 0;
    std::uint32_t percent = 0;
    std::uint64_t timeoutMs = 0;
};

/** How an upstream took a call. */
enum class CallStatus {
    Done,
    NoAnswer, ///< It may have been carried out, or may yet be.
    Fenced, ///< A higher fence was seen.
    Outdated, ///< The run, or a higher one, was stopped or ended there.
    TooLate, ///< The lease of the call was over.
    NoCapacity,
    BadTicket,
    OtherIncarnation, ///< Another incarnation answered.
    Refused, ///< It can't be carried out as it is.
    Busy, ///< Nothing was done.
};

/** A run that an upstream lists. */
struct ListedRun
{
    std::string job;
    job::TaskRef task; ///< Without the job's number.
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::uint32_t measurement = 0; ///< Tail of response times in ms, or processor time in thousandths, of the last half second.
};

/** An end that an upstream lists. */
struct ListedEnd
{
    std::uint64_t number = 0;
    std::string job;
    job::TaskRef task; ///< Without the job's number.
    std::uint32_t run = 0;
    wire::RunEnd end = wire::RunEnd::Stopped;
    std::string checkpoint;
};

/** An upstream's reply. */
struct UpstreamReply
{
    std::uint64_t id = 0;
    CallStatus status = CallStatus::NoAnswer;
    std::uint64_t clockMs = 0;
    std::uint64_t incarnation = 0; ///< 0 where the reply doesn't tell.
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    bool hasLists = false;
};

/** A question to the advice service, which some host of the deployment puts to it. */
struct AdviceCall
{
    std::uint64_t id = 0;
    std::string host; ///< Who asks; empty for this host.
    std::string step;
    std::vector<std::string> upstreams;
    std::uint64_t timeoutMs = 0;
};

/** The advice service's reply. */
struct AdviceReply
{
    std::uint64_t id = 0;
    bool answered = false;
    std::uint64_t validMs = 0; ///< How long the tickets hold.
    std::vector<std::pair<std::string, std::string>> allowed; ///< Upstream and ticket.
};

/** An answer to a request. */
struct Answer
{
    Token token = 0;
    wire::ReplyT reply;
};

/** A decision, told for the log. */
struct Decision
{
    std::string_view name; ///< What was decided.
    std::string id; ///< Job, task or upstream.
    std::string detail; ///< Inputs with their age or version, and the outcome.
};

/** What a call asks its surroundings to do. */
struct LeaderOutput
{
    std::vector<wire::Bytes> proposals;
    std::vector<UpstreamCall> calls;
    std::vector<AdviceCall> advice;
    std::vector<Answer> answers;
    std::vector<Decision> decisions;
};

/** Names one occurrence of one step. */
struct StepRef
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepRef &) const = default;
};

/** A ticket for a step on an upstream. */
struct Ticket
{
    std::string text;
    std::uint64_t validUntilMs = 0;
    std::uint64_t incarnation = 0; ///< The upstreamState of the upstream that it is for.
};

/** What is known of where a step may run. */
struct Advice
{
    std::map<std::uint32_t, Ticket> allowed; ///< By upstream.
    std::set<std::uint32_t> denied;
    std::uint64_t pendingCall = 0; ///< The question under way; 0 for none.
    std::uint64_t nextRequestMs = 0; ///< No question before this.
    std::uint64_t lastUsedMs = 0; ///< When it was last looked at.
    std::uint64_t answeredMs = 0; ///< When the latest answer came.
    std::uint64_t ticketsValidUntilMs = 0; ///< When the last of the tickets runs out.
};

/** A step with tasks to place. */
struct WaitingStep
{
    StepRef ref;
    policy::WaitingKey key;
    std::uint64_t waitingSinceMs = 0; ///< When its turn came.
    std::uint64_t dueWallMs = 0; ///< Not before this, for timed jobs.
    std::string name; ///< As the advice service and the log call it.
    std::uint64_t nextAttemptMs = 0; ///< After an attempt without success, not before this, unless advice comes.
    std::uint32_t failedAttempts = 0; ///< Attempts without success in a row.
    std::vector<std::uint32_t> reserved; ///< Upstreams that are kept free for it.
    std::vector<std::uint32_t> unplaced; ///< Tasks without a run.
};

/** A host that can ask for advice. */
struct Adviser
{
    std::string host;
    std::uint64_t busyUntilMs = 0; ///< When the questions sent through it are through, by their stated cost.
    double networkDelayMs = 0; ///< Smoothed time of an answer beyond the service's own.
};

/** A question to the advice service that is under way. */
struct PendingAdvice
{
    std::string step;
    std::string queue;
    std::string host; ///< Through whom it is asked.
    std::uint64_t costMs = 0; ///< What the service takes for it.
    std::vector<std::uint32_t> upstreams;
    std::uint64_t sentMs = 0;
    std::uint64_t timeoutMs = 0;
};

/** What an open call to an upstream was about. */
struct PendingCall
{
    CallKind kind = CallKind::Poll;
    std::uint32_t upstream = 0;
    std::uint64_t incarnation = 0;
    job::TaskRef task;
    std::uint32_t run = 0;
    std::uint64_t sentMs = 0;
};

/** Upper bounds of the parts of a latency histogram, in milliseconds: from one trip within a region to ten seconds. */
constexpr std::array<std::uint64_t, 9> latencyBoundsMs{10, 30, 70, 150, 300, 700, 1500, 4000, 10000};

/** Counts of latencies, by bound. */
struct LatencyHistogram
{
    std::array<std::uint64_t, latencyBoundsMs.size() + 1> counts{};
    std::uint64_t sumMs = 0;
};

/** @param histogram the counts. @param ms a latency. */
void recordLatency(LatencyHistogram &histogram, std::uint64_t ms);

/** Counters of the leader, by cause. */
struct LeaderCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t startsRejected = 0;
    std::uint64_t stops = 0;
    std::uint64_t polls = 0;
    std::uint64_t pollsUnanswered = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t adviceUnanswered = 0;
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t endsStopped = 0;
    std::uint64_t endsLapsed = 0;
    std::uint64_t endsBroken = 0;
    std::uint64_t endsAlone = 0;
    std::uint64_t runsLost = 0;
    std::uint64_t runsNever = 0;
    std::uint64_t badHeartbeats = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    LatencyHistogram stepWaits; ///< From a step's turn to its placement.
    LatencyHistogram startAnswers; ///< From an order to start to its answer.
};

/** What the leader knows beyond the replicated state. */
struct Leader
{
    LeaderOptions options;
    bool active = false;
    std::uint64_t term = 0; ///< Its fence.
    std::uint64_t leadingSinceMs = 0;
    std::map<std::uint32_t, upstream::UpstreamState> upstreams;
    std::unordered_map<std::string, std::uint32_t> upstreamNumbers;
    std::unordered_map<std::string, std::string> idByAddress; ///< The upstream that last said it listens there.
    std::map<std::string, wire::UpstreamBeatT> joining; ///< Upstreams whose record is proposed, by id.
    std::map<job::TaskRef, std::uint32_t> placements; ///< Upstream of each run that holds room.
    std::set<std::uint64_t> timedJobs; ///< Jobs with due times that haven't ended.
    std::map<StepRef, WaitingStep> waiting;
    std::map<std::uint64_t, PendingCall> pendingCalls;
    std::map<std::uint64_t, PendingAdvice> pendingAdvice;
    std::unordered_map<std::string, Advice> advice; ///< By step name; also of steps whose job isn't recorded yet.
    std::vector<Adviser> advisers;
    std::unordered_map<std::string, std::vector<Token>> pendingSubmits; ///< Tokens that wait for a job's record, by id.
    std::unordered_map<std::uint64_t, std::vector<Token>> pendingCancels; ///< Tokens that wait for a cancel's record, by job.
    std::map<std::uint64_t, std::vector<Token>> pendingPlans; ///< Tokens that wait for a plan's record, by version.
    std::map<std::uint64_t, std::vector<Token>> pendingWaves;
    std::map<std::pair<std::string, std::string>, std::uint64_t> queuedCounts; ///< Jobs of which no task is known to have started, by queue.
    std::set<std::uint64_t> queuedJobs; ///< Jobs that the counts in queued stand for.
    std::uint64_t nextCall = 1;
    std::unordered_map<std::string, double> allowedShares; ///< Smoothed share of the upstreams named that is allowed, by queue.
    std::uint64_t lastPlacementMs = 0; ///< When steps were last placed.
    std::uint64_t previousPlacementMs = 0; ///< When they were placed before that.
    bool placementNeeded = false; ///< Something changed that may let a step be placed.
    std::uint64_t nextCleanupMs = 0;
    std::uint64_t nextLoadReportMs = 0;
    std::uint64_t nextDueScanMs = 0;
    LeaderCounters counters;
};

/** Begins to lead. @param leader what is known. @param state the replicated state. @param term the new term. @param now the present. @param output what to do.
 */
void beginLeading(Leader &leader, const job::State &state, std::uint64_t term, const Now &now, LeaderOutput &output);

/** Stops leading; every open request gets a typed refusal. @param leader what is known. @param output what to do. */
void endLeading(Leader &leader, LeaderOutput &output);

/** Takes a request. @param leader what is known. @param state the replicated state. @param token names its answer. @param request the request. @param now the
 * present. @param output what to do. */
void handleRequest(Leader &leader, const job::State &state, Token token, wire::RequestT request, const Now &now, LeaderOutput &output);

/** Follows a record that was applied. @param leader what is known. @param state the state after it. @param record the record. @param now the present. @param
 * output what to do. */
void onRecordApplied(Leader &leader, const job::State &state, const wire::RecordT &record, const Now &now, LeaderOutput &output);

/** Takes an upstream's reply. @param leader what is known. @param state the replicated state. @param reply the reply. @param now the present. @param output
 * what to do. */
void handleUpstreamReply(Leader &leader, const job::State &state, const UpstreamReply &reply, const Now &now, LeaderOutput &output);

/** Takes the advice service's reply. @param leader what is known. @param reply the reply. @param now the present. */
void handleAdviceReply(Leader &leader, const AdviceReply &reply, const Now &now);

/** Lets time pass. @param leader what is known. @param state the replicated state. @param now the present. @param output what to do. */
void tickLeader(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

/** Places what waits, when something changed that may let it be placed. @param leader what is known. @param state the replicated state. @param now the present.
 * @param output what to do. */
void placeIfNeeded(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

/** Names the hosts that can ask for advice. @param leader what is known. @param hosts their ids; empty for this host. */
void setAdvisers(Leader &leader, const std::vector<std::string> &hosts);

namespace internal
{
// leaderrequests.cpp
void refuse(Token token, model::Reason reason, LeaderOutput &output);

// leaderupstreams.cpp
void addUpstream(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now);
void handleHeartbeat(Leader &leader, Token token, const wire::UpstreamBeatT &beat, const Now &now, LeaderOutput &output);
void handleLeave(Leader &leader, Token token, const std::string &id, const Now &now, LeaderOutput &output);
void applyUpstreamRecord(Leader &leader, const job::State &state, const wire::UpstreamSeenT &record, const Now &now);
void tickUpstreams(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

// leaderruns.cpp
void sendStart(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void sendStop(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void requestStop(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void startPlacedRuns(Leader &leader, const job::State &state, const wire::RunsPlacedT &record, const Now &now, LeaderOutput &output);
void applyRunsEnded(Leader &leader, const job::State &state, const wire::RunsEndedT &record, const Now &now, LeaderOutput &output);
void stopJob(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output);
void releaseRun(Leader &leader, upstream::UpstreamState &upstreamState, job::TaskRef task);
void proposeEnd(const upstream::Run &run, wire::RunEnd end, const std::string &checkpoint, wire::RunsEndedT &record);
void proposeEnds(wire::RunsEndedT record, const Now &now, LeaderOutput &output);
void markJobStarted(Leader &leader, const job::State &state, std::uint64_t number);
void onJobEnded(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output);
void tickRuns(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, const Now &now, LeaderOutput &output);

// leaderplacing.cpp
void enqueueReadySteps(Leader &leader, const job::State &state, const job::Job &job, const Now &now);
void updateWaitingStep(Leader &leader, const job::State &state, const StepRef &ref, const Now &now);
void removeWaitingSteps(Leader &leader, std::uint64_t job);
void enqueueDueSteps(Leader &leader, const job::State &state, const Now &now);
void prefetchAdvice(Leader &leader, const wire::JobSpecT &job, const wire::QueueSpecT &queue, const Now &now, LeaderOutput &output);
void forgetUnusedAdvice(Leader &leader, const Now &now);
void placeWaitingSteps(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);
std::string stepName(const std::string &job, std::uint32_t occurrence, std::uint32_t step);
bool mayPlaceOn(const Leader &leader, const upstream::UpstreamState &upstreamState, const Now &now);
}
}
