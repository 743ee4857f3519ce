#pragma once

#include "model/resources.h"
#include "model/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemaryturn::policy
{
/** A queued task; the sequence tells the latest stay in the queue from an earlier one. */
struct QueuedTask
{
    model::TaskId task = 0;
    std::uint64_t sequence = 0;
};

/** Waiting tasks of one service of a team, oldest first. */
struct ServiceQueue
{
    std::deque<QueuedTask> tasks;
    std::uint64_t blockedInPass = 0; ///< The pass in which its head did not fit.
};

/** What the queue knows of one team. */
struct TeamQueue
{
    std::map<std::string, ServiceQueue, std::less<>> urgent;
    std::map<std::string, ServiceQueue, std::less<>> normal;
    model::Resources quota; ///< A part of 0 is unlimited.
    model::Resources used;
    std::size_t queued = 0;
    std::size_t maxQueued = 0; ///< 0 for no bound of its own.
};

/** Waiting tasks of a data centre: urgent first, then the team with the smallest dominant share. */
struct FairQueue
{
    std::unordered_map<std::string, TeamQueue> teams;
    std::set<std::pair<double, std::string>> urgentOrder; ///< Teams with urgent work, by dominant share.
    std::set<std::pair<double, std::string>> normalOrder;
    model::Resources total; ///< What shares are taken of.
    std::size_t queued = 0;
    std::uint64_t nextSequence = 1;
    std::uint64_t pass = 0;
};

/** The queue's proposal of what to place next. */
struct NextTask
{
    std::string team;
    std::string service;
    QueuedTask task;
    bool urgent = false;
};

/** Sets what shares are taken of. @param queue the queue. @param total everything the data centre offers. */
void setTotal(FairQueue &queue, const model::Resources &total);

/** Sets a team's limits. @param queue the queue. @param team its name. @param quota its hard cap; 0 for none. @param maxQueued its bound; 0 for none. */
void setTeam(FairQueue &queue, const std::string &team, const model::Resources &quota, std::size_t maxQueued);

/** Adds a task. @param queue the queue. @param team its team. @param service its service. @param task its number. @param urgent its class. @return its sequence.
 */
std::uint64_t enqueue(FairQueue &queue, const std::string &team, const std::string &service, model::TaskId task, bool urgent);

/** Notes that a queued task is no longer wanted; its place is dropped when it is reached, so that a wave costs a constant each. @param queue the queue. @param
 * team its team. */
void decrementQueued(FairQueue &queue, const std::string &team);

/** Starts a pass over the queue. @param queue the queue. */
void beginPass(FairQueue &queue);

/** Finds what to place next in this pass. @param queue the queue. @param next receives the proposal. @return false when the pass is over. */
bool peek(FairQueue &queue, NextTask &next);

/** Takes the proposed task out. @param queue the queue. @param next what peek() proposed. @param counted false when decrementQueued() was called for it. */
void take(FairQueue &queue, const NextTask &next, bool counted);

/** Leaves the proposed task and skips its service for the rest of the pass. @param queue the queue. @param next what peek() proposed. */
void block(FairQueue &queue, const NextTask &next);

/** Charges a running task to its team. @param queue the queue. @param team the team. @param need what it takes. */
void charge(FairQueue &queue, const std::string &team, const model::Resources &need);

/** Ends the charge. @param queue the queue. @param team the team. @param need what it took. */
void uncharge(FairQueue &queue, const std::string &team, const model::Resources &need);

/** @param queue the queue. @param team a team. @param need an amount. @return whether the team's quota holds the amount now. */
bool withinQuota(const FairQueue &queue, const std::string &team, const model::Resources &need);

/** @param team a team's queue. @param total what shares are taken of. @return the largest share that it has of any resource. */
double dominantShare(const TeamQueue &team, const model::Resources &total);
}
