#pragma once

#include "control/cellstate.h"
#include "control/configstate.h"
#include "policy/admission.h"
#include "policy/estimate.h"
#include "policy/fairqueue.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "policy/spill.h"
#include "policy/workerplacement.h"
#include "telemetry/metrics.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemaryturn::control
{
/** Identifies a request whose reply is pending. */
using Token = std::uint64_t;

/** Current time by both clocks of the runtime. */
struct Now
{
    std::uint64_t monotonicMs = 0; ///< Monotonic clock; used for all durations.
    std::uint64_t wallMs = 0; ///< Wall clock; used only for timestamps in records.
};

/** Settings of a cell. */
struct CellOptions
{
    std::string dataCentre;
    std::string environment; ///< Environment of the host; the cell runs the long-running services of all environments in its configuration.
    std::uint64_t taskLeaseMs = 5000;
    std::uint64_t startWindowMs = 3000;
    std::uint64_t driftPercent = 5;
    std::uint64_t answersKeptMs = 600000;
    std::uint64_t keysKeptMs = 86400000;
    std::uint64_t maxKeptAnswers = 30000; ///< Maximum number of ended requests whose answers are retained.
    std::uint64_t maxKeptKeys = 300000; ///< Maximum number of keys retained after their answers are dropped.
    std::uint64_t gangReservationDelayMs = 2000; ///< Queue time after which a gang reserves workers.
    std::uint64_t gangReservationMs = 30000; ///< Maximum duration of a gang reservation.
    std::uint64_t preemptionReservationMs = 4000; ///< Maximum time that a worker is reserved for urgent work.
    std::uint64_t silentWorkerTimeoutMs = 600000; ///< Time without an announcement after which an idle worker is removed.
    std::vector<std::string> otherDataCentres; ///< Data centres that tasks may spill to.
    policy::SpillPolicy spill;
    policy::AdmissionPolicy admission;
    policy::RetryPolicy retry;
    policy::QuarantinePolicy quarantine;
};

/** An order to a worker to start a task. */
struct StartOrder
{
    std::string worker;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    std::uint64_t term = 0;
    std::uint64_t announcement = 0; ///< Number of the latest announcement that the leader received from the worker.
    std::uint64_t windowMs = 0;
    std::uint64_t leaseMs = 0;
    wire::TaskSpecT spec;
};

/** Result of a start order. */
enum class StartStatus {
    Accepted,
    Refused, ///< The attempt did not begin and never will.
    Unknown, ///< No reply arrived; later announcements settle whether the attempt runs.
};

/** A worker's reply to one start order. */
struct StartReply
{
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    StartStatus status = StartStatus::Unknown;
    std::uint64_t announcement = 0; ///< The worker's announcement number when it accepted.
};

/** Reply to a pending request. */
struct TokenReply
{
    Token token = 0;
    wire::ReplyT reply;
};

/** A request to another data centre about a task that spilled to it. */
struct SpillCall
{
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    wire::RequestT request; ///< Its key names the data centre; repeated with the same key until the outcome is definite.
};

/** Effects that the caller of a cell function has to perform. */
struct CellOutput
{
    std::vector<wire::Bytes> proposals; ///< Records to append to the log, in order.
    std::vector<TokenReply> replies;
    std::vector<StartOrder> starts;
    std::vector<SpillCall> spills;
};

/** Leader state of a task that has not ended, in addition to the replicated state. */
struct LiveTask
{
    model::Resources need;
    std::uint64_t acceptedMs = 0; ///< When this leader started to track the task.
    std::uint64_t queueSequence = 0; ///< Sequence number in the queue; 0 when not queued.
    std::uint64_t delayedUntilMs = 0; ///< End of the back-off before the task is queued again.
    bool dispatchProposed = false; ///< A dispatch record is proposed and not yet committed.
    bool holdsCapacity = false; ///< Its resources are counted on a worker.
    bool endProposed = false; ///< A record that ends its attempt is proposed and not yet committed.
    bool confirmed = false; ///< The worker confirmed that it holds the attempt.
    policy::WorkerIndex worker = 0;
    std::uint64_t leaseUntilMs = 0; ///< The attempt certainly does not run after this time.
    std::uint64_t firstExpectedAnnouncement = 0; ///< Number of the first announcement that must list the attempt once it is confirmed.
    std::uint64_t lastListedAnnouncement = 0; ///< Number of the latest announcement that listed the attempt.
    std::uint64_t dispatchedMs = 0;
    std::uint64_t runUntilMs = UINT64_MAX; ///< When the maximum run time is over.
    std::uint32_t countedAttempts = 0; ///< Attempts that count against the limit.
    model::Reason stopReason = model::Reason::None; ///< Why the worker is requested to stop the attempt.
    policy::OveruseAction overuseAction = policy::OveruseAction::None;
    std::vector<policy::WorkerIndex> avoidedWorkers; ///< Workers on which an attempt failed.
};

/** Leader state of a worker, in addition to its registration. */
struct LiveWorker
{
    std::uint64_t incarnation = 0; ///< Incarnation of the registered process.
    bool announced = false; ///< Whether the worker announced itself to this leader.
    std::uint64_t announcement = 0; ///< Number of the latest announcement.
    std::uint64_t lastContactMs = 0; ///< Time of the latest announcement, or when this leader started to track the worker.
    std::set<model::TaskId> tasks; ///< Tasks whose resources are counted on the worker.
};

/** A pending request that waits until all tasks of a key have ended. */
struct Waiter
{
    Token token = 0;
    std::string key;
};

/** Workers reserved for a gang or for an urgent task. */
struct Reservation
{
    model::TaskId task = 0; ///< First open member of the gang, or the urgent task.
    std::uint64_t untilMs = 0;
    std::vector<policy::WorkerIndex> workers;
};

/** A submission whose record is not yet committed. */
struct PendingSubmit
{
    Token token = 0;
    std::uint64_t digest = 0;
    std::uint64_t waitUntilMs = 0;
    bool cancels = false; ///< Whether it is a cancellation that waits for the record of the submission.
};

/** An announcement that waits until the worker's registration is committed. */
struct PendingAnnouncement
{
    Token token = 0;
    wire::AnnouncementT announcement;
};

/** Volatile state of the leader; dropped when leadership ends and rebuilt by the next leader from the replicated state. */
struct Leader
{
    bool active = false;
    bool draining = false; ///< A shutdown is in progress; no new placements.
    std::uint64_t term = 0;
    policy::WorkerPool pool;
    std::vector<LiveWorker> workers; ///< Indexed like the workers of the pool.
    std::unordered_map<model::TaskId, LiveTask> live;
    policy::FairQueue queue;
    policy::StartRate rate;
    policy::Quarantine quarantine;
    std::unordered_map<std::string, policy::RetryBudget> retryBudgets; ///< By service.
    std::unordered_map<std::string, policy::UsageEstimate> usageEstimates; ///< By service.
    std::unordered_map<std::string, std::size_t> runningByService; ///< Tasks on workers, by service.
    std::map<std::string, std::map<std::string, std::uint64_t>> spreadCounts; ///< Number of tasks by service and rack or worker, for the spread policy.
    std::multimap<std::uint64_t, model::TaskId> delayed; ///< By end of the back-off.
    std::multimap<std::uint64_t, model::TaskId> queueDeadlines;
    std::unordered_map<std::string, std::vector<Waiter>> waiters; ///< By key.
    std::multimap<std::uint64_t, Waiter> waitDeadlines;
    std::unordered_map<std::string, std::vector<PendingSubmit>> pendingSubmits; ///< By key.
    std::unordered_map<std::string, std::vector<PendingAnnouncement>> pendingAnnouncements; ///< By worker.
    std::unordered_map<model::TaskId, std::vector<Token>> resultWaiters;
    std::unordered_map<Token, std::size_t> pendingResultCounts; ///< Number of records that a results request still waits for.
    std::unordered_map<Token, wire::ReplyT> pendingResultReplies;
    std::map<std::uint64_t, Reservation> reservations; ///< By reservation number.
    std::uint64_t nextReservation = 1;
    std::map<std::string, std::map<std::uint64_t, model::TaskId>> instances; ///< Long-running tasks by service and instance.
    std::set<std::string> pendingInstances; ///< Instances that are proposed and not yet committed, as SERVICE:NUMBER.
    bool scheduleNeeded = false;
    bool retryPlacement = false; ///< Another pass is needed, since a task may now use workers that it avoided.
    std::uint64_t nextReconcileMs = 0;
    std::uint64_t nextRetentionMs = 0;
    std::uint64_t nextEligibilityMs = 0;
    std::uint64_t nextLeaseScanMs = 0;
    std::uint64_t nextSpillMs = 0;
    std::size_t nextSpillDataCentre = 0;
    std::multimap<std::uint64_t, SpillCall> spillRetries; ///< By the time of the retry.
};

/** The cell of one data centre on one host. */
struct Cell
{
    CellOptions options;
    const ConfigState *config = nullptr; ///< The configuration in force on this host.
    CellState state;
    Leader leader;
    telemetry::Metrics metrics;
    std::mt19937_64 random;
};

/**
 * Starts leading from the replicated state.
 * @param cell the cell.
 * @param term the fencing term.
 * @param now the current time.
 * @param output receives the effects.
 */
void beginLeading(Cell &cell, std::uint64_t term, const Now &now, CellOutput &output);

/** Ends leadership and answers all pending requests with an error. @param cell the cell. @param output receives the effects. */
void endLeading(Cell &cell, CellOutput &output);

/** Applies a committed record. @param cell the cell. @param record the record. @param now the current time. @param output receives the effects. */
void applyRecord(Cell &cell, const wire::RecordT &record, const Now &now, CellOutput &output);

/**
 * Handles a request to the leader.
 * @param cell the cell.
 * @param token identifies the request in its reply.
 * @param request the request.
 * @param now the current time.
 * @param leaseHeld whether the leader lease holds.
 * @param output receives the effects.
 */
void handleRequest(Cell &cell, Token token, const wire::RequestT &request, const Now &now, bool leaseHeld, CellOutput &output);

/** Handles replies to start orders. @param cell the cell. @param replies the replies. @param now the current time. @param output receives the effects. */
void handleStartReplies(Cell &cell, const std::vector<StartReply> &replies, const Now &now, CellOutput &output);

/**
 * Handles the reply to a spill call.
 * @param cell the cell.
 * @param call the call.
 * @param reply the reply.
 * @param now the current time.
 * @param output receives the effects.
 */
void handleSpillReply(Cell &cell, const SpillCall &call, const wire::ReplyT &reply, const Now &now, CellOutput &output);

/**
 * Performs the periodic work and places queued tasks.
 * @param cell the cell.
 * @param now the current time.
 * @param leaseHeld whether the leader lease holds.
 * @param output receives the effects.
 */
void tickCell(Cell &cell, const Now &now, bool leaseHeld, CellOutput &output);

/** Applies a changed configuration or verdict to the leader state. @param cell the cell. @param now the current time. */
void onConfigChanged(Cell &cell, const Now &now);
}
