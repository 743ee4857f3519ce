#pragma once

#include "deployment/authorization.h"
#include "job/jobs.h"
#include "model/reason.h"
#include "policy/advicebudget.h"
#include "policy/overload.h"
#include "policy/teamshare.h"
#include "policy/waitingorder.h"
#include "upstream/upstreamstate.h"
#include "wire/codec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * The deployment scope: one replicated group of control hosts stores the jobs of all data centres, and its leader
 * places their tasks on the upstreams. Every function maps a state, an event and the current time to effects.
 */
namespace rosemaryturn::deployment
{
/** Identifies a request whose reply is pending. */
using Token = std::uint64_t;

/** Current time, as read by the runtime. */
struct Now
{
    std::uint64_t monotonicMs = 0; ///< For durations; also advances while the machine is suspended.
    std::uint64_t wallMs = 0; ///< For the due times of timed jobs and the times stored in records.
};

/** Durations and bounds of the leader, in milliseconds unless stated otherwise. */
struct LeaderOptions
{
    upstream::LeaseTiming lease;
    std::uint64_t pollWaitMs = 1000; ///< Time for which the upstream may delay its reply to a poll until a run ends.
    std::uint64_t pollTimeoutMs = 800; ///< Time beyond the wait after which a poll counts as unanswered.
    std::uint64_t orderTimeoutMs = 700; ///< Time after which a start or stop counts as unanswered.
    std::uint64_t drainMs = 3000; ///< Time after which no start may reach a draining upstream.
    std::uint64_t maxSilenceMs = 4000; ///< Time without contact after which an upstream gets no new runs: 2.5 heartbeats.
    std::uint64_t forgetAfterMs = 30000; ///< Time without contact after which an upstream without runs is removed.
    std::uint64_t keepJobsMs = 180000; ///< Time for which ended jobs can be queried.
    std::uint64_t resendMs = 150; ///< Delay before an unanswered order is sent again.
    std::uint64_t gangWaitMs = 3000; ///< Time for which an upstream lets the members of a gang wait for each other.
    std::uint64_t maxShapeAgeMs = 3500; ///< Time after a heartbeat for which the capacity that it stated may be filled: two heartbeats.
    std::uint64_t maxHeldBytes = 160ULL << 20U; ///< Memory for the jobs that are held, as job/footprint.h estimates it; a job beyond it is refused.
    std::uint32_t maxCrashes = 4; ///< Number of upstreams whose crash under a task fails its job.
    std::uint32_t maxPossibleCrashes = 5; ///< The same, with those counted whose start had no answer.
    bool overload = false; ///< Orders and admits jobs by what delays cost their callers, also under a plan without teams.
};

/** Kind of a call to an upstream. */
enum class CallKind {
    Start,
    Stop,
    Poll, ///< Renews the lease, acknowledges ends, and returns the lists of running and ended runs.
    Pace,
};

/** A call to an upstream. */
struct UpstreamCall
{
    std::uint64_t id = 0;
    CallKind kind = CallKind::Poll;
    std::string address;
    std::string upstream; ///< Id of the upstream that the call is meant for; another one may use the address by now.
    std::string job; ///< Id that the caller gave the job.
    job::TaskRef task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t leaseUntilMs = 0; ///< End of the lease on the upstream's clock; 0 renews nothing.
    std::uint64_t fence = 0;
    std::uint64_t acknowledge = 0; ///< The records of all ends up to this number are committed.
    std::uint64_t waitMs = 0;
    std::uint32_t percent = 0;
    std::uint64_t timeoutMs = 0;
};

/** Result of a call to an upstream. */
enum class CallStatus {
    Done,
    NoAnswer, ///< The call may have been carried out, or may be later.
    Fenced, ///< The upstream has seen a higher fence.
    Outdated, ///< The run, or a later one of its task, was stopped or has ended there.
    TooLate, ///< The lease that the call grants had expired.
    NoCapacity,
    BadTicket,
    OtherIncarnation, ///< Another incarnation answered.
    Refused, ///< The call is invalid.
    Busy, ///< The upstream takes no calls for now; nothing was done.
};

/** A run that an upstream lists. */
struct ListedRun
{
    std::string job;
    job::TaskRef task; ///< Without the job's number.
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::uint32_t measurement = 0; ///< Over the last half second: tail latency in ms, or processor time in thousandths.
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
    std::uint64_t incarnation = 0; ///< Start time of the process; 0 if the reply doesn't carry it.
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    bool hasLists = false;
};

/** A request to the advice service, sent through a host of the deployment. */
struct AdviceCall
{
    std::uint64_t id = 0;
    std::string host; ///< Host that sends the request; empty for this host.
    std::string step;
    std::vector<std::string> upstreams;
    std::uint64_t timeoutMs = 0;
    std::uint64_t costMs = 0; ///< Estimated time that the service takes for it.
};

/** The advice service's reply. */
struct AdviceReply
{
    std::uint64_t id = 0;
    bool answered = false;
    std::uint64_t validMs = 0; ///< Validity of the tickets.
    std::vector<std::pair<std::string, std::string>> allowed; ///< Upstream and ticket.
};

/** Reply to a pending request. */
struct TokenReply
{
    Token token = 0;
    wire::ReplyT reply;
};

/** A decision to be logged. */
struct Decision
{
    std::string_view name; ///< Kind of the decision.
    std::string id; ///< Job, task or upstream.
    std::string detail; ///< Inputs with their age or version, and the result.
};

/** Effects that the caller is to perform. */
struct LeaderOutput
{
    std::vector<wire::Bytes> proposals;
    std::vector<UpstreamCall> calls;
    std::vector<AdviceCall> advice;
    std::vector<TokenReply> replies;
    std::vector<Decision> decisions;
};

/** Identifies one occurrence of a step. */
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
    std::uint64_t incarnation = 0; ///< Start time of the process that it was issued for.
};

/** The advice service's latest replies for a step. */
struct Advice
{
    std::map<std::uint32_t, Ticket> allowed; ///< By upstream.
    std::set<std::uint32_t> denied;
    std::set<std::uint64_t> pendingCalls; ///< Ids of the pending requests.
    std::uint64_t nextRequestMs = 0; ///< No request is sent before this time.
    std::uint64_t lastUsedMs = 0; ///< Time of the latest use.
    std::uint64_t answeredMs = 0; ///< Time of the latest reply.
    std::uint64_t ticketsValidUntilMs = 0; ///< Time at which the last ticket expires.
    policy::AdviceHold hold = policy::AdviceHold::None; ///< Why the step couldn't make its latest request.
};

/** A step with tasks to place. */
struct WaitingStep
{
    StepRef ref;
    policy::WaitingKey key;
    std::uint64_t waitingSinceMs = 0; ///< Time at which the step became ready.
    std::uint64_t dueWallMs = 0; ///< Earliest start, for timed jobs.
    std::string name; ///< Name used in advice requests and the log.
    std::uint64_t nextAttemptMs = 0; ///< Earliest retry after a failed attempt; a reply of the advice service permits an earlier one.
    std::uint32_t failedAttempts = 0; ///< Consecutive failed attempts.
    std::vector<std::uint32_t> reserved; ///< Numbers of the upstreams reserved for it.
    std::vector<std::uint32_t> unplaced; ///< Indexes of the tasks without a run.
    std::uint32_t crashes = 0; ///< Largest number of crashes of one of them.
    std::string team; ///< Team of its job; empty for none.
    model::Resources charge; ///< What each of its tasks counts against the limit of its team.
    bool heldByTeamLimit = false; ///< The latest attempt found that none of its tasks fits the limit of its team.
};

/** A host that can send requests to the advice service. */
struct Adviser
{
    std::string host;
    policy::AdviceHost load;
};

/** A pending request to the advice service. */
struct PendingAdvice
{
    std::string step;
    std::string queue;
    std::string host; ///< Host that sends the request.
    double costMs = 0; ///< Time that the service takes for it by the plan.
    std::vector<std::uint32_t> upstreams;
    std::uint64_t sentMs = 0;
    std::uint64_t timeoutMs = 0;
};

/** A call to an upstream that awaits its reply. */
struct PendingCall
{
    CallKind kind = CallKind::Poll;
    std::uint32_t upstream = 0;
    std::uint64_t incarnation = 0;
    job::TaskRef task;
    std::uint32_t run = 0;
    std::uint64_t sentMs = 0;
    std::uint64_t acknowledge = 0; ///< Number of the last end that a poll acknowledges.
    std::uint64_t fence = 0; ///< Fence of a poll.
};

/** A job or a tombstone whose record is proposed. */
struct PendingSubmit
{
    JobOrigin origin;
    std::vector<Token> tokens; ///< Requests that wait for the record.
    std::vector<Token> cancels; ///< Requests to cancel the job once it is recorded.
};

/** Upper bounds of the buckets of a latency histogram in milliseconds, from one round trip within a region to ten seconds. */
constexpr std::array<std::uint64_t, 9> latencyBoundsMs{10, 30, 70, 150, 300, 700, 1500, 4000, 10000};

/** Number of latencies in each bucket. */
struct LatencyHistogram
{
    std::array<std::uint64_t, latencyBoundsMs.size() + 1> counts{};
    std::uint64_t sumMs = 0;
};

/** Adds a latency to a histogram. @param histogram the histogram. @param ms the latency. */
void recordLatency(LatencyHistogram &histogram, std::uint64_t ms);

/** Counters of the leader for the metrics. */
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
    std::uint64_t adviceUpstreams = 0; ///< Upstreams named in requests for advice.
    std::uint64_t adviceRenewals = 0; ///< Those of them that were known to be allowed.
    std::array<std::uint64_t, policy::adviceHolds> adviceHeld{}; ///< Steps that had to wait with their request, by policy::AdviceHold.
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t endsStopped = 0;
    std::uint64_t endsLapsed = 0;
    std::uint64_t endsBroken = 0;
    std::uint64_t endsAlone = 0;
    std::uint64_t endsAfterReplacement = 0; ///< Ends as done of runs that were recorded as lost and replaced.
    std::uint64_t runsLost = 0;
    std::uint64_t runsNever = 0;
    std::uint64_t upstreamsCrashed = 0; ///< Upstreams that ended unexpectedly under runs.
    std::uint64_t runsCrashed = 0; ///< Runs that were in progress on them.
    std::uint64_t jobsGivenUp = 0; ///< Jobs that failed since too many upstreams crashed under one of their tasks.
    std::uint64_t jobsFailedByPlan = 0; ///< Jobs that failed with a plan, as a task had failed as often as the plan allows.
    std::uint64_t jobsWithoutRoom = 0; ///< Refusals of jobs that the state has no room for.
    std::uint64_t tombstones = 0; ///< Cancellations of ids that no submission has used.
    std::uint64_t tombstonesWithoutRoom = 0; ///< Refusals of such cancellations that the state has no room for.
    std::uint64_t jobsCancelledBefore = 0; ///< Jobs that were submitted after the cancellation of their id.
    std::uint64_t callsWithoutKey = 0; ///< Calls rejected for lack of a key.
    std::uint64_t callsWithUnknownKey = 0; ///< Calls rejected as the plan doesn't contain their key.
    std::uint64_t callsForOtherTeam = 0; ///< Calls rejected as their job belongs to another team.
    std::uint64_t jobsOverloaded = 0; ///< Refusals of jobs that could not be completed within three times their objective.
    std::uint64_t occurrencesWithoutRoom = 0; ///< Occurrences of timed jobs that were due and had to wait for room.
    std::uint64_t jobsBeyondTeamLimit = 0; ///< Refusals of jobs with a gang or a task that exceeds the limit of its team.
    std::uint64_t stepsHeldByTeamLimit = 0; ///< How often a waiting step came to be held back by the limit of its team.
    std::uint64_t badHeartbeats = 0; ///< Heartbeats that describe no upstream to use.
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    LatencyHistogram stepWaits; ///< From the time a step is ready to its placement.
    LatencyHistogram startAnswers; ///< From sending a start to its reply.
};

/** Sizes and backlog of the jobs of one queue. */
struct QueueLoad
{
    policy::WorkStatistics sizes;
    double backlogMs = 0; ///< Core-milliseconds of its jobs that aren't placed yet.
};

/** Load of one service as of the latest evaluation. */
struct ServiceOverload
{
    policy::ServiceLoad load;
    std::uint64_t evaluatedMs = 0;
    std::vector<policy::WaitingJob> jobs; ///< Input of the evaluation; kept for its memory.
};

/** Backlog of accepted jobs, and which of them are deferred. Without effect unless the plan has teams or the options ask for it. */
struct Overload
{
    std::unordered_map<std::uint64_t, double> jobs; ///< Core-milliseconds that aren't placed yet, by number of the job.
    std::map<std::pair<std::string, std::string>, QueueLoad> queues; ///< By host and prefix.
    std::map<std::string, ServiceOverload> services;
    std::uint64_t lastSampled = 0; ///< Highest number of a job whose size was recorded.
    std::uint64_t nextEvaluationMs = 0;
};

/** State of the leader beyond the replicated state. */
struct Leader
{
    LeaderOptions options;
    bool active = false;
    std::uint64_t term = 0; ///< The fence of its calls is at least this.
    std::uint64_t leadingSinceMs = 0;
    std::map<std::uint32_t, upstream::UpstreamState> upstreams;
    std::unordered_map<std::string, std::uint32_t> upstreamNumbers; ///< By id.
    std::unordered_map<std::string, std::string> idByAddress; ///< Id of the upstream whose heartbeat last named the address.
    std::map<std::string, wire::UpstreamBeatT> joining; ///< First heartbeat of upstreams whose record is proposed, by id.
    std::map<job::TaskRef, std::uint32_t> placements; ///< Upstream of each run that occupies capacity.
    std::unordered_map<std::uint64_t, std::uint64_t> endedSinceMs; ///< Times at which this leader first saw ended jobs, by number of the job.
    std::set<std::uint64_t> timedJobs; ///< Jobs with due times that haven't ended.
    std::map<StepRef, WaitingStep> waiting;
    std::map<std::uint64_t, PendingCall> pendingCalls;
    std::map<std::uint64_t, PendingAdvice> pendingAdvice;
    std::unordered_map<std::string, Advice> advice; ///< By step name; also for steps whose job isn't committed yet.
    std::vector<Adviser> advisers;
    policy::AdviceRoom adviceRoom; ///< What the advisers can take in this placement pass.
    bool stepsAwaitAdviser = false; ///< Steps had to wait for an adviser since most became busy.
    policy::ShortAdviceCalls shortRequests; ///< Short requests to the advice service, of all queues of the plan.
    std::unordered_map<std::string, PendingSubmit> pendingSubmits; ///< By id of the job or the tombstone.
    std::uint64_t proposedBytes = 0; ///< Memory for the jobs and tombstones in pendingSubmits, whose records aren't committed.
    std::uint64_t proposedTombstoneBytes = 0; ///< The part of proposedBytes that tombstones take.
    /** Memory for the occurrences that wait without a place in the state, by job and number. */
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint64_t> openOccurrences;
    std::uint64_t openBytes = 0; ///< Sum of openOccurrences.
    std::unordered_map<std::uint64_t, std::vector<Token>> pendingCancels; ///< Requests that wait for a cancellation's record, by number of the job.
    std::map<std::uint64_t, std::vector<Token>> pendingPlans; ///< Requests that wait for a plan's record, by version.
    std::map<std::uint64_t, std::vector<Token>> pendingWaves; ///< Requests that wait for a wave's record, by number.
    std::map<std::pair<std::string, std::string>, std::uint64_t> queuedCounts; ///< Number of jobs without a started task, by queue.
    std::set<std::uint64_t> queuedJobs; ///< Jobs counted in queuedCounts.
    std::map<std::string, policy::TeamLimits, std::less<>> teams; ///< The teams of the plan in force, by name.
    /** Usage up to which each team is within its share, as a dominant share of shareCapacity; empty while all work can be placed or the plan has no teams. */
    std::map<std::string, double, std::less<>> shareLimits;
    model::Resources shareCapacity; ///< What the upstreams that got new runs in the latest pass have in all.
    bool anyOverShare = false; ///< Whether a team was over its share when the latest pass began.
    std::uint64_t lastFailureMs = 0; ///< Time of the latest failed attempt to place a step; 0 if there was none.
    double fullUsage = 0; ///< What all teams used when work couldn't be placed, as a sum of dominant shares; the highest of the last seconds.
    std::uint64_t fullUsageMs = 0; ///< Time of that.
    std::map<std::string, model::Resources, std::less<>> teamUsage; ///< What the runs of each team with runs are charged, by name; empty for no team.
    std::uint64_t nextCall = 1;
    std::unordered_map<std::string, double> allowedShares; ///< Smoothed share of requested upstreams that the advice service allows, by queue.
    std::uint64_t lastPlacementMs = 0; ///< Time of the latest placement pass.
    std::uint64_t previousPlacementMs = 0; ///< Time of the pass before it.
    bool placementNeeded = false; ///< A change since the latest pass may let a step be placed.
    std::uint64_t nextCleanupMs = 0;
    std::uint64_t nextLoadReportMs = 0;
    std::uint64_t nextAdviceReportMs = 0;
    LeaderCounters reportedAdvice; ///< Counters at the latest report of the requests for advice.
    std::uint64_t nextDueScanMs = 0;
    std::uint64_t nextWaitReportMs = 0; ///< Earliest time of the next report of a step that wasn't placed.
    std::uint64_t nextHoldReportMs = 0; ///< Earliest time of the next report of a step that the limit of its team holds back.
    Overload overload;
    LeaderCounters counters;
};

/** Starts leading: rebuilds the leader state from the replicated state. @param leader the leader state. @param state the replicated state. @param term the new
 * term. @param now the current time. @param output receives the effects. */
void beginLeading(Leader &leader, const job::State &state, std::uint64_t term, const Now &now, LeaderOutput &output);

/** Stops leading and refuses every pending request. @param leader the leader state. @param output receives the effects. */
void endLeading(Leader &leader, LeaderOutput &output);

/** Handles a request. @param leader the leader state. @param state the replicated state. @param token identifies the reply. @param request the request. @param
 * now the current time. @param output receives the effects. */
void handleRequest(Leader &leader, const job::State &state, Token token, wire::RequestT request, const Now &now, LeaderOutput &output);

/** Updates the leader state after a record was applied. @param leader the leader state. @param state the replicated state with the record applied. @param
 * record the record. @param now the current time. @param output receives the effects. */
void onRecordApplied(Leader &leader, const job::State &state, const wire::RecordT &record, const Now &now, LeaderOutput &output);

/** Handles an upstream's reply. @param leader the leader state. @param state the replicated state. @param reply the reply. @param now the current time. @param
 * output receives the effects. */
void handleUpstreamReply(Leader &leader, const job::State &state, const UpstreamReply &reply, const Now &now, LeaderOutput &output);

/** Handles a reply of the advice service. @param leader the leader state. @param reply the reply. @param now the current time. */
void handleAdviceReply(Leader &leader, const AdviceReply &reply, const Now &now);

/** Performs the periodic work. @param leader the leader state. @param state the replicated state. @param now the current time. @param output receives the
 * effects. */
void tickLeader(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

/** Runs a placement pass over the waiting steps if a change may let one be placed. @param leader the leader state. @param state the replicated state. @param
 * now the current time. @param output receives the effects. */
void placeIfNeeded(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

/** Sets the hosts that can send requests to the advice service. @param leader the leader state. @param hosts their ids; empty for this host. */
void setAdvisers(Leader &leader, const std::vector<std::string> &hosts);

namespace internal
{
// leaderrequests.cpp
void cancelJob(Leader &leader, const job::Job &job, Token token, const Now &now, LeaderOutput &output);
void refuse(Token token, model::Reason reason, LeaderOutput &output);
void refuseWithoutRoom(const Leader &leader, const job::State &state, Token token, Decision decision, std::uint64_t neededBytes, LeaderOutput &output);

// leaderupstreams.cpp
std::uint64_t fenceFor(const Leader &leader, const upstream::UpstreamState &upstreamState);
void addUpstream(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now);
void handleHeartbeat(Leader &leader, const job::State &state, Token token, const wire::UpstreamBeatT &beat, const Now &now, LeaderOutput &output);
void handleLeave(Leader &leader, Token token, const std::string &id, const Now &now, LeaderOutput &output);
void applyUpstreamRecord(Leader &leader, const job::State &state, const wire::UpstreamSeenT &record, const Now &now);
void tickUpstreams(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);

// leadercrashes.cpp
void reportCrashedRuns(Leader &leader, const upstream::UpstreamState &upstreamState, std::span<const upstream::CrashedRun> runs, const Now &now,
                       LeaderOutput &output);
void reportCrash(Leader &leader, upstream::UpstreamState &upstreamState, bool listsFollow, const Now &now, LeaderOutput &output);
void applyRunsCrashed(Leader &leader, const job::State &state, const wire::RunsCrashedT &record, const Now &now, LeaderOutput &output);

// leaderruns.cpp
bool isWanted(const job::State &state, const upstream::Run &run);
bool mayStillStart(const Leader &leader, const upstream::UpstreamState &upstreamState, const Now &now);
void sendStart(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void sendStop(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void requestStop(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, upstream::Run &run, const Now &now, LeaderOutput &output);
void startPlacedRuns(Leader &leader, const job::State &state, const wire::RunsPlacedT &record, const Now &now, LeaderOutput &output);
void applyRunsEnded(Leader &leader, const job::State &state, const wire::RunsEndedT &record, const Now &now, LeaderOutput &output);
void stopJob(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output);
void releaseRun(Leader &leader, upstream::UpstreamState &upstreamState, job::TaskRef task);
void proposeEnd(const upstream::Run &run, wire::RunEnd end, const std::string &checkpoint, wire::RunsEndedT &record);
void proposeEnds(wire::RunsEndedT record, const Now &now, LeaderOutput &output);
void markRunWorked(Leader &leader, const job::State &state, const upstream::UpstreamState &upstreamState, const upstream::Run &run, std::string_view evidence,
                   LeaderOutput &output);
void markRunPresent(Leader &leader, const job::State &state, const upstream::UpstreamState &upstreamState, const upstream::Run &run, std::string_view evidence,
                    LeaderOutput &output);
void onJobEnded(Leader &leader, const job::State &state, const job::Job &job, const Now &now, LeaderOutput &output);
void tickRuns(Leader &leader, const job::State &state, upstream::UpstreamState &upstreamState, const Now &now, LeaderOutput &output);

// leaderteams.cpp
void applyPlanToTeams(Leader &leader, const wire::PlanAcceptedT &plan);
model::Resources chargePerTask(const wire::StepSpecT &step);
void addPlacedRun(Leader &leader, upstream::UpstreamState &upstreamState, upstream::Run run);
void releaseCharge(Leader &leader, const upstream::Run &run);
std::size_t tasksWithinTeamLimit(const Leader &leader, const std::string &team, const wire::StepSpecT &step);
bool isHeldByTeamLimit(const Leader &leader, const std::string &team, const wire::StepSpecT &step);
std::optional<std::uint32_t> stepBeyondTeamLimit(const Leader &leader, const wire::JobSpecT &job);
void updateShareLimits(Leader &leader, const Now &now);
bool isOverShare(const Leader &leader, const std::string &team);
void recordFailures(Leader &leader, const Now &now);
std::string describeTeamUsage(const Leader &leader, const std::string &team);

// leaderoverload.cpp
bool isOverloadControlled(const Leader &leader, const job::State &state);
void rebuildBacklog(Leader &leader, const job::State &state);
void updateBacklog(Leader &leader, const job::State &state, const wire::RecordT &record);
void setWeight(const Leader &leader, const job::State &state, const job::Job &job, std::uint32_t step, policy::WaitingKey &key, const Now &now);
void deferSteps(Leader &leader, const job::State &state, const Now &now);
bool refuseUnderLoad(Leader &leader, const job::State &state, Token token, const wire::JobSpecT &spec, const wire::QueueSpecT &queue, const Now &now,
                     LeaderOutput &output);

// leaderwaiting.cpp, leaderadvice.cpp and leaderplacing.cpp
void enqueueReadySteps(Leader &leader, const job::State &state, const job::Job &job, const Now &now);
void updateWaitingStep(Leader &leader, const job::State &state, const StepRef &ref, const Now &now);
void removeWaitingSteps(Leader &leader, std::uint64_t job);
void applyPlanToWaitingSteps(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);
void enqueueDueSteps(Leader &leader, const job::State &state, const Now &now);
bool hasRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes);
bool hasTombstoneRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes);
/** Whether the plan, an upstream or a wave fits. Jobs don't count, as those that have filled the memory may need a new plan or upstream to end. */
bool hasRegistryRoomFor(const Leader &leader, const job::State &state, std::uint64_t bytes);
void closePlacedOccurrences(Leader &leader, const wire::RunsPlacedT &record);
void applyPlanToAdvice(Leader &leader, const wire::PlanAcceptedT &plan);
void prefetchAdvice(Leader &leader, const wire::JobSpecT &job, const wire::QueueSpecT &queue, const Now &now, LeaderOutput &output);
void expireUnusedAdvice(Leader &leader, const Now &now);
void reportHeldAdvice(Leader &leader, const Now &now, LeaderOutput &output);
void placeWaitingSteps(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output);
policy::WaitingKey waitingKey(const wire::QueueSpecT *queue, const job::Job &job, std::uint32_t step, std::uint64_t dueWallMs, const Now &now);
std::string stepName(const std::string &job, std::uint32_t occurrence, std::uint32_t step);
bool mayPlaceOn(const Leader &leader, const upstream::UpstreamState &upstreamState, const Now &now);
}
}
