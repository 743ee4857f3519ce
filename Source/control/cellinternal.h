#pragma once

#include "control/cell.h"

/** Functions that the cell's source files share; internal to the cell. */
namespace rosemaryturn::control::internal
{
/** How an attempt ended. */
enum class AttemptEnd {
    NeverBegan, ///< It provably did not begin and never will.
    Failed, ///< It ran and the worker reported its failure.
    Stopped, ///< The worker confirmed the stop.
    Lost, ///< It certainly does not run any more; whether it completed its work is unknown.
};

// cellbookkeeping.cpp
void enqueueIfReady(Cell &cell, model::TaskId id, const Now &now);
void assignWorker(Cell &cell, const model::Task &task, LiveTask &live, policy::WorkerIndex worker);
void releaseWorker(Cell &cell, const model::Task &task, LiveTask &live);
void removeFromQueue(Cell &cell, const model::Task &task, LiveTask &live);
policy::WorkerIndex addOrUpdateWorker(Cell &cell, const wire::WorkerRegisteredT &shape);
LiveTask &trackTask(Cell &cell, const model::Task &task, const Now &now);

// cellsubmit.cpp
void submit(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void query(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void cancel(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void answerWaiters(Cell &cell, const std::string &key, CellOutput &output);
void expireWaiters(Cell &cell, const Now &now, CellOutput &output);
void answerPendingSubmits(Cell &cell, const std::string &key, const Now &now, CellOutput &output);
void reply(CellOutput &output, Token token, wire::ReplyT reply);
void refuse(Cell &cell, CellOutput &output, Token token, model::Reason reason, const std::string &detail = {}, std::uint64_t retryAfterMs = 0);
model::Resources needFor(const Cell &cell, const wire::TaskSpecT &spec);

// cellworkers.cpp
void handleAnnouncement(Cell &cell, Token token, const wire::AnnouncementT &announcement, const Now &now, CellOutput &output);
void processPendingAnnouncements(Cell &cell, const std::string &worker, const Now &now, CellOutput &output);
void handleResults(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void answerResultWaiters(Cell &cell, model::TaskId id, CellOutput &output);
void expireLeases(Cell &cell, const Now &now, CellOutput &output);
void refreshEligibility(Cell &cell, const Now &now);
void onWorkerChanged(Cell &cell, const std::string &worker, const Now &now, CellOutput &output);

// cellattempts.cpp
void handleAttemptEnd(Cell &cell, model::TaskId id, AttemptEnd end, model::Reason reason, const wire::Bytes &answer, const Now &now, CellOutput &output);
policy::RetryPolicy retryPolicyOf(const Cell &cell, const std::string &service);
void requestStop(Cell &cell, model::TaskId id, model::Reason reason);
void stopGangMembers(Cell &cell, const model::Task &member);
void proposeEnd(Cell &cell, const model::Task &task, wire::Outcome outcome, model::Reason reason, const wire::Bytes &answer, const Now &now,
                CellOutput &output);

// cellscheduling.cpp
void schedule(Cell &cell, const Now &now, CellOutput &output);
void expireReservations(Cell &cell, const Now &now);
void dropReservation(Cell &cell, model::TaskId task);

// cellspill.cpp
bool isSpilled(const model::Task &task);
void requestSpill(Cell &cell, const model::Task &task, CellOutput &output);
void cancelSpilled(const model::Task &task, CellOutput &output);
void spillQueuedTasks(Cell &cell, const Now &now, CellOutput &output);

// cellservices.cpp
void reconcileServices(Cell &cell, const Now &now, CellOutput &output);
void recordInstance(Cell &cell, const model::Task &task);
}
