#pragma once

#include "model/reason.h"
#include "model/resources.h"
#include "policy/fairqueue.h"
#include "policy/workerpool.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace rosemaryturn::policy
{
/** How fast a data centre starts queued tasks, as an exponentially weighted mean. */
struct StartRate
{
    double perSecond = 0;
    std::uint64_t windowStartMs = 0;
    std::uint64_t startedInWindow = 0;
};

/** Bounds of the queue. */
struct AdmissionPolicy
{
    std::size_t maxQueued = 20000; ///< Waiting tasks in a data centre.
    std::size_t maxQueuedPerTeam = 10000; ///< Waiting tasks of a team that sets no bound.
};

/** One question to admission. */
struct AdmissionQuery
{
    std::string team;
    std::span<const model::Resources> needs; ///< One for each task.
    bool urgent = false;
    std::uint64_t queueMs = 0; ///< Longest wait that the caller accepts; 0 for any.
};

/** The answer. */
struct AdmissionResult
{
    model::Reason reason = model::Reason::None;
    std::uint64_t retryAfterMs = 0;
};

/** Counts a start. @param rate the rate. @param nowMs the present time. @param count starts at this time. */
void recordStarts(StartRate &rate, std::uint64_t nowMs, std::uint64_t count);

/** @param rate the rate. @param ahead tasks in front. @return the expected wait in milliseconds; 0 while the rate is unknown. */
std::uint64_t expectedWaitMs(const StartRate &rate, std::size_t ahead);

/**
 * Decides whether work is let into the queue.
 * @param policy the bounds. @param query the work. @param queue what waits. @param pool the workers. @param declared shapes the document promises.
 * @param rate how fast the queue moves.
 * @return None when admitted.
 */
AdmissionResult admit(const AdmissionPolicy &policy, const AdmissionQuery &query, const FairQueue &queue, const WorkerPool &pool,
                      std::span<const model::Resources> declared, const StartRate &rate);
}
