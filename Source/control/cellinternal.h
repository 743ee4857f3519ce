#pragma once

#include "control/cell.h"

/** Steps of the cell that its source files share; not for other areas. */
namespace rosemaryturn::control::internal
{
/** What is known of how far an ended attempt came. */
enum class AttemptEnd {
    NeverBegan, ///< Proved: it did not begin and never will.
    Failed, ///< It ran and the worker reported its failure.
    Stopped, ///< The worker confirmed the stop.
    Lost, ///< It certainly does not run any more; whether it did its work is not known.
};

// cellbookkeeping.cpp
void wakeQueued(Cell &cell, model::TaskId id, const Now &now);
void occupyWorker(Cell &cell, const model::Task &task, LiveTask &live, policy::WorkerIndex worker);
void releaseWorker(Cell &cell, const model::Task &task, LiveTask &live);
void leaveQueue(Cell &cell, const model::Task &task, LiveTask &live);
policy::WorkerIndex takeWorkerUp(Cell &cell, const wire::WorkerRegisteredT &shape);
LiveTask &adoptTask(Cell &cell, const model::Task &task, const Now &now);

// cellsubmit.cpp
void submit(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void query(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void cancel(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void answerWaiters(Cell &cell, const std::string &key, CellOutput &output);
void expireWaiters(Cell &cell, const Now &now, CellOutput &output);
void answerSubmits(Cell &cell, const std::string &key, const Now &now, CellOutput &output);
void reply(CellOutput &output, Token token, wire::ReplyT reply);
void refuse(Cell &cell, CellOutput &output, Token token, model::Reason reason, const std::string &detail = {}, std::uint64_t retryAfterMs = 0);
model::Resources needFor(const Cell &cell, const wire::TaskSpecT &spec);

// cellworkers.cpp
void announce(Cell &cell, Token token, const wire::AnnouncementT &announcement, const Now &now, CellOutput &output);
void answerAnnouncements(Cell &cell, const std::string &worker, const Now &now, CellOutput &output);
void takeResults(Cell &cell, Token token, const wire::RequestT &request, const Now &now, CellOutput &output);
void resultStored(Cell &cell, model::TaskId id, CellOutput &output);
void expireLeases(Cell &cell, const Now &now, CellOutput &output);
void refreshEligibility(Cell &cell, const Now &now);
void workerChanged(Cell &cell, const std::string &worker, const Now &now, CellOutput &output);

// cellattempts.cpp
void attemptEnded(Cell &cell, model::TaskId id, AttemptEnd end, model::Reason reason, const wire::Bytes &answer, const Now &now, CellOutput &output);
policy::RetryPolicy retryPolicyOf(const Cell &cell, const std::string &service);
void requestStop(Cell &cell, model::TaskId id, model::Reason reason);
void breakGang(Cell &cell, const model::Task &member);
void proposeEnd(Cell &cell, const model::Task &task, wire::Outcome outcome, model::Reason reason, const wire::Bytes &answer, const Now &now,
                CellOutput &output);

// cellscheduling.cpp
void schedule(Cell &cell, const Now &now, CellOutput &output);
void expireReservations(Cell &cell, const Now &now);
void dropReservation(Cell &cell, model::TaskId task);

// cellspill.cpp
bool isHandedOff(const model::Task &task);
void askAboutSpilled(Cell &cell, const model::Task &task, CellOutput &output);
void cancelSpilled(const model::Task &task, CellOutput &output);
void spillWaiting(Cell &cell, const Now &now, CellOutput &output);

// cellservices.cpp
void reconcileServices(Cell &cell, const Now &now, CellOutput &output);
void noteInstance(Cell &cell, const model::Task &task);
}
