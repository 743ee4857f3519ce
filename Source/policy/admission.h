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
/** Rate at which a data centre starts queued tasks, as an exponentially weighted mean. */
struct StartRate
{
    double perSecond = 0;
    std::uint64_t windowStartMs = 0;
    std::uint64_t startedInWindow = 0;
};

/** Limits of the queue. */
struct AdmissionPolicy
{
    std::size_t maxQueued = 20000; ///< Waiting tasks in a data centre.
    std::size_t maxQueuedPerTeam = 10000; ///< Waiting tasks of a team without a limit of its own.
};

/** Work to be admitted. */
struct AdmissionQuery
{
    std::string team;
    std::span<const model::Resources> needs; ///< Resources of each task.
    bool urgent = false;
    std::uint64_t queueMs = 0; ///< Longest wait that the caller accepts; 0 for no limit.
};

/** The admission decision. */
struct AdmissionResult
{
    model::Reason reason = model::Reason::None;
    std::uint64_t retryAfterMs = 0;
};

/** Updates the start rate. @param rate the rate. @param nowMs current time. @param count tasks started at this time. */
void recordStarts(StartRate &rate, std::uint64_t nowMs, std::uint64_t count);

/** @param rate the rate. @param ahead queued tasks ahead. @return the expected wait in milliseconds; 0 while the rate is unknown. */
std::uint64_t expectedWaitMs(const StartRate &rate, std::size_t ahead);

/**
 * Decides whether work is admitted to the queue.
 * @param policy the limits. @param query the work. @param queue the waiting tasks. @param pool the workers.
 * @param declared worker shapes that the configuration document declares. @param rate the start rate.
 * @return the reason of the refusal and when to retry; Reason::None when admitted.
 */
AdmissionResult admit(const AdmissionPolicy &policy, const AdmissionQuery &query, const FairQueue &queue, const WorkerPool &pool,
                      std::span<const model::Resources> declared, const StartRate &rate);
}
