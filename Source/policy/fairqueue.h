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
/** A queued task; the sequence number is new each time that the task is queued, so that earlier entries can be recognized. */
struct QueuedTask
{
    model::TaskId task = 0;
    std::uint64_t sequence = 0;
};

/** Waiting tasks of one service of a team, oldest first. */
struct ServiceQueue
{
    std::deque<QueuedTask> tasks;
    std::uint64_t blockedInPass = 0; ///< Latest pass in which the first task did not fit.
};

/** Queues and usage of one team. */
struct TeamQueue
{
    std::map<std::string, ServiceQueue, std::less<>> urgent;
    std::map<std::string, ServiceQueue, std::less<>> normal;
    model::Resources quota; ///< A resource of 0 is unlimited.
    model::Resources used;
    std::size_t queued = 0;
    std::size_t maxQueued = 0; ///< 0 for no team limit.
};

/** Waiting tasks of a data centre: urgent first, then the team with the smallest dominant share. */
struct FairQueue
{
    std::unordered_map<std::string, TeamQueue> teams;
    std::set<std::pair<double, std::string>> urgentOrder; ///< Teams with urgent work, by dominant share.
    std::set<std::pair<double, std::string>> normalOrder;
    model::Resources total; ///< Total resources, the base of the dominant shares.
    std::size_t queued = 0;
    std::uint64_t nextSequence = 1;
    std::uint64_t pass = 0;
};

/** Next task to place, as proposed by peek(). */
struct NextTask
{
    std::string team;
    std::string service;
    QueuedTask task;
    bool urgent = false;
};

/** Sets the base of the dominant shares. @param queue the queue. @param total all resources of the data centre. */
void setTotal(FairQueue &queue, const model::Resources &total);

/** Sets a team's limits. @param queue the queue. @param team its name. @param quota hard limit; 0 for none. @param maxQueued queue limit; 0 for none. */
void setTeam(FairQueue &queue, const std::string &team, const model::Resources &quota, std::size_t maxQueued);

/** Adds a task. @param queue the queue. @param team its team. @param service its service. @param task its number. @param urgent whether it is urgent. @return
 * its sequence number. */
std::uint64_t enqueue(FairQueue &queue, const std::string &team, const std::string &service, model::TaskId task, bool urgent);

/** Stops counting a queued task that is no longer needed. Its entry is removed when a pass reaches it, so that removing many costs constant time per
 * task. @param queue the queue. @param team its team. */
void decrementQueued(FairQueue &queue, const std::string &team);

/** Starts a pass over the queue. @param queue the queue. */
void beginPass(FairQueue &queue);

/** Finds the next task to place in this pass. @param queue the queue. @param next receives the proposal. @return false when the pass is over. */
bool peek(FairQueue &queue, NextTask &next);

/** Removes the proposed task. @param queue the queue. @param next result of peek(). @param counted false when decrementQueued() was called for it. */
void take(FairQueue &queue, const NextTask &next, bool counted);

/** Keeps the proposed task queued and skips its service for the rest of the pass. @param queue the queue. @param next result of peek(). */
void block(FairQueue &queue, const NextTask &next);

/** Adds a running task to its team's usage. @param queue the queue. @param team the team. @param need its resources. */
void charge(FairQueue &queue, const std::string &team, const model::Resources &need);

/** Removes a task from its team's usage. @param queue the queue. @param team the team. @param need its resources. */
void uncharge(FairQueue &queue, const std::string &team, const model::Resources &need);

/** @param queue the queue. @param team a team. @param need an amount. @return whether the amount fits into the team's unused quota. */
bool withinQuota(const FairQueue &queue, const std::string &team, const model::Resources &need);

/** @param team a team's queue. @param total all resources of the data centre. @return the team's largest share of any resource. */
double dominantShare(const TeamQueue &team, const model::Resources &total);
}
