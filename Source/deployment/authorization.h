#pragma once

#include "model/reason.h"
#include "wire/codec.h"

#include <string>
#include <string_view>

/**
 * Authorization of callers by the keys of the plan in force. Only an active leader decides, from the replicated plan, so that no host has a copy that could be
 * outdated.
 */
namespace rosemaryturn::deployment
{
/** Result of the authorization of a call for a queue. */
struct Authorization
{
    model::Reason rejection = model::Reason::None; ///< None if the call is permitted.
    std::string team; ///< Team of the caller's key; empty if the call needed no key and had no valid one.
};

/** Where a job came from. */
struct JobOrigin
{
    std::string host; ///< Host of its queue.
    std::string prefix; ///< Prefix of its queue.
    std::string team; ///< Team that submitted it; empty for none.
};

/** Authorizes a call for a queue. @param plan the plan in force. @param queue the queue. @param credential digest of the caller's key; empty for none. @return
 * the caller's team or the reason of the rejection. */
Authorization authorizeCall(const wire::PlanAcceptedT &plan, const wire::QueueSpecT &queue, std::string_view credential);

/** Authorizes access to a job, also through another queue than its own, for a call that authorizeCall() permitted. @param plan the plan in force. @param job
 * origin of the job. @param team the caller's team. @return None, or the reason of the rejection. */
model::Reason authorizeJobAccess(const wire::PlanAcceptedT &plan, const JobOrigin &job, std::string_view team);
}
