#pragma once

#include "control/cellstate.h"
#include "control/configstate.h"
#include "policy/admission.h"
#include "policy/estimate.h"
#include "policy/fairqueue.h"
#include "policy/placement.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "policy/spill.h"
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
/** Names a request whose answer is still owed. */
using Token = std::uint64_t;

/** The present, by both clocks of the runtime. */
struct Now
{
    std::uint64_t monotonicMs = 0; ///< For every duration.
    std::uint64_t wallMs = 0; ///< Only for the times that records state.
};

/** What a cell is told at its start. */
struct CellOptions
{
    std::string dataCentre;
    std::string environment; ///< Whose long-running services this cell keeps up, with all others of its document.
    std::uint64_t taskLeaseMs = 5000;
    std::uint64_t startWindowMs = 3000;
    std::uint64_t driftPercent = 5;
    std::uint64_t answersKeptMs = 600000;
    std::uint64_t keysKeptMs = 86400000;
    std::uint64_t maxKeptAnswers = 30000; ///< Ended requests that keep their answers.
    std::uint64_t maxKeptKeys = 300000; ///< Keys remembered after their answers are gone.
    std::uint64_t gangReservationDelayMs = 2000; ///< Wait after which a gang reserves workers.
    std::uint64_t gangReservationMs = 30000; ///< Longest reservation.
    std::uint64_t preemptionReservationMs = 4000; ///< Longest time that a worker is withheld for urgent work.
    std::uint64_t silentWorkerTimeoutMs = 600000; ///< Silence after which an idle worker is forgotten.
    std::vector<std::string> otherDataCentres; ///< Where work may be handed to.
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
    std::uint64_t announcement = 0; ///< The worker's own latest announcement that the leader knows.
    std::uint64_t windowMs = 0;
    std::uint64_t leaseMs = 0;
    wire::TaskSpecT spec;
};

/** How a worker took a start. */
enum class StartStatus {
    Accepted,
    Refused, ///< It did not begin and never will.
    Unknown, ///< No reply came; the announcements will tell.
};

/** A worker's reply to one start order. */
struct StartReply
{
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    StartStatus status = StartStatus::Unknown;
    std::uint64_t announcement = 0; ///< The worker's announcement number when it accepted.
};

/** An answer to an owed request. */
struct TokenReply
{
    Token token = 0;
    wire::ReplyT reply;
};

/** A request to another data centre about a task that was handed to it. */
struct SpillCall
{
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    wire::RequestT request; ///< Names the data centre; repeated by the same key until its outcome is definite.
};

/** What a call asks its surroundings to do. */
struct CellOutput
{
    std::vector<wire::Bytes> proposals; ///< Records to put into the log, in order.
    std::vector<TokenReply> replies;
    std::vector<StartOrder> starts;
    std::vector<SpillCall> spills;
};

/** What the leader knows of a task that has not ended, beyond the replicated state. */
struct LiveTask
{
    model::Resources need;
    std::uint64_t acceptedMs = 0; ///< When this leader first saw it.
    std::uint64_t ticket = 0; ///< Its place in the queue; 0 when not queued.
    std::uint64_t delayedUntilMs = 0; ///< Back-off before it queues again.
    bool dispatchProposed = false; ///< A dispatch is proposed.
    bool holdsCapacity = false; ///< Counted on a worker.
    bool endProposed = false; ///< The end of its attempt is proposed.
    bool confirmed = false; ///< The worker said that it holds the attempt.
    policy::WorkerIndex worker = 0;
    std::uint64_t leaseUntilMs = 0; ///< After this it certainly does not run.
    std::uint64_t firstExpectedAnnouncement = 0; ///< First announcement that must list it, once confirmed.
    std::uint64_t lastListedAnnouncement = 0; ///< Latest announcement that listed it.
    std::uint64_t dispatchedMs = 0;
    std::uint64_t runUntilMs = UINT64_MAX; ///< When its longest run is over.
    std::uint32_t countedAttempts = 0; ///< Attempts that count against the limit.
    model::Reason stopReason = model::Reason::None; ///< Why the worker is asked to stop it.
    policy::Correction correction = policy::Correction::None;
    std::vector<policy::WorkerIndex> avoidedWorkers; ///< Workers that failed it.
};

/** What the leader knows of a worker, beyond its registration. */
struct LiveWorker
{
    std::uint64_t incarnation = 0; ///< Of the registered process.
    bool announced = false; ///< Announced itself to this leader.
    std::uint64_t announcement = 0; ///< Latest number.
    std::uint64_t lastContactMs = 0;
    std::set<model::TaskId> tasks; ///< Tasks counted on it.
};

/** A caller that waits for the end of a key's tasks. */
struct Waiter
{
    Token token = 0;
    std::string key;
};

/** Workers withheld for a gang or for urgent work. */
struct Reservation
{
    model::TaskId task = 0; ///< First task of the gang, or the urgent task.
    std::uint64_t untilMs = 0;
    std::vector<policy::WorkerIndex> workers;
};

/** A submission whose record is not committed yet. */
struct PendingSubmit
{
    Token token = 0;
    std::uint64_t digest = 0;
    std::uint64_t waitUntilMs = 0;
};

/** An announcement that waits for the worker's registration. */
struct PendingAnnouncement
{
    Token token = 0;
    wire::AnnouncementT announcement;
};

/** Everything that a leader keeps besides the replicated state; lost with its leadership and rebuilt by the next. */
struct Leader
{
    bool active = false;
    bool draining = false; ///< A shutdown began; no new placements.
    std::uint64_t term = 0;
    policy::WorkerPool pool;
    std::vector<LiveWorker> workers; ///< By position in the pool.
    std::unordered_map<model::TaskId, LiveTask> live;
    policy::FairQueue queue;
    policy::StartRate rate;
    policy::Quarantine quarantine;
    std::unordered_map<std::string, policy::RetryBudget> retryBudgets; ///< By service.
    std::unordered_map<std::string, policy::UsageEstimate> usageEstimates; ///< By service.
    std::unordered_map<std::string, std::size_t> runningByService; ///< Tasks on workers, by service.
    std::map<std::string, std::map<std::string, std::uint64_t>> spreadCounts; ///< Tasks by service and rack or worker, for spreading.
    std::multimap<std::uint64_t, model::TaskId> delayed; ///< By the end of the back-off.
    std::multimap<std::uint64_t, model::TaskId> queueDeadlines;
    std::unordered_map<std::string, std::vector<Waiter>> waiters; ///< By key.
    std::multimap<std::uint64_t, Waiter> waitDeadlines;
    std::unordered_map<std::string, std::vector<PendingSubmit>> pendingSubmits; ///< By key.
    std::unordered_map<std::string, std::vector<PendingAnnouncement>> pendingAnnouncements; ///< By worker.
    std::unordered_map<model::TaskId, std::vector<Token>> resultWaiters;
    std::unordered_map<Token, std::size_t> pendingResultCounts; ///< Records that a results request still waits for.
    std::unordered_map<Token, wire::ReplyT> pendingResultReplies;
    std::map<std::uint64_t, Reservation> reservations; ///< By reservation number.
    std::uint64_t nextReservation = 1;
    std::map<std::string, std::map<std::uint64_t, model::TaskId>> instances; ///< Long-running tasks by service and instance.
    std::set<std::string> pendingInstances; ///< Keys of instances that are proposed.
    bool scheduleNeeded = false;
    bool retryPlacement = false; ///< The next pass has more workers to choose from.
    std::uint64_t nextReconcileMs = 0;
    std::uint64_t nextRetentionMs = 0;
    std::uint64_t nextEligibilityMs = 0;
    std::uint64_t nextLeaseScanMs = 0;
    std::uint64_t nextSpillMs = 0;
    std::size_t nextSpillDataCentre = 0;
    std::multimap<std::uint64_t, SpillCall> spillRetries; ///< By the time at which they are made again.
};

/** One data centre's cell on one host. */
struct Cell
{
    CellOptions options;
    const ConfigState *config = nullptr; ///< The configuration in force on this host.
    CellState state;
    Leader leader;
    telemetry::Metrics metrics;
    std::mt19937_64 random;
};

/** Takes leadership up from the replicated state. @param cell the cell. @param term the fencing term. @param now the present. @param output what to do. */
void beginLeading(Cell &cell, std::uint64_t term, const Now &now, CellOutput &output);

/** Drops leadership and answers what is owed. @param cell the cell. @param output what to do. */
void endLeading(Cell &cell, CellOutput &output);

/** Applies a committed record. @param cell the cell. @param record the record. @param now the present. @param output what to do. */
void applyRecord(Cell &cell, const wire::RecordT &record, const Now &now, CellOutput &output);

/** Takes a request that this leader decides. @param cell the cell. @param token names its answer. @param request the request. @param now the present. @param
 * leaseHeld whether the leader lease holds. @param output what to do. */
void handleRequest(Cell &cell, Token token, const wire::RequestT &request, const Now &now, bool leaseHeld, CellOutput &output);

/** Takes workers' replies to start orders. @param cell the cell. @param replies the replies. @param now the present. @param output what to do. */
void handleStartReplies(Cell &cell, const std::vector<StartReply> &replies, const Now &now, CellOutput &output);

/** Takes the answer to a spill call. @param cell the cell. @param call the call. @param reply the answer. @param now the present. @param output what to do. */
void handleSpillReply(Cell &cell, const SpillCall &call, const wire::ReplyT &reply, const Now &now, CellOutput &output);

/** Lets time pass and places waiting work. @param cell the cell. @param now the present. @param leaseHeld whether the leader lease holds. @param output what to
 * do. */
void tickCell(Cell &cell, const Now &now, bool leaseHeld, CellOutput &output);

/** Takes note of a changed configuration or verdict. @param cell the cell. @param now the present. */
void onConfigChanged(Cell &cell, const Now &now);
}
