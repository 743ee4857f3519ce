#pragma once

#include "model/resources.h"
#include "policy/waitingorder.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/** Use of the calls to the advice service, which are scarce: through which host a call goes, and which steps wait before they may make one. */
namespace rosemaryturn::policy
{
/** A host that makes calls, as the leader knows it. Its calls are handled in turn. */
struct AdviceHost
{
    std::uint64_t busyUntilMs = 0; ///< Estimated time at which the service has handled the calls sent through it, without network delay.
    double networkDelayMs = 0; ///< Smoothed response time beyond the handling of calls.
    double costFactor = 1; ///< Smoothed time that a call takes through this host, relative to the time that the plan states.
    std::uint64_t answeredMs = 0; ///< Time of the latest reply.
};

/** A call through a host. */
struct AdviceTiming
{
    std::uint64_t sentMs = 0;
    double costMs = 0; ///< Time that it takes by the plan.
};

/** Calls that take longer than this are long: they go through some of the hosts only while other queues have short ones, and are the ones that are held. */
constexpr double longAdviceCallMs = 40;
/** Time until a host has handled its calls above which it is busy. */
constexpr std::uint64_t busyAdviceHostMs = 200;

/**
 * Learns from a reply how long calls through a host take. A reply to a call that had to wait for the one before shows the time of a call; another one shows
 * the network delay.
 * @param host the host. @param answered the call. @param others the other open calls through the host, in the order in which they were sent. @param nowMs
 * time of the reply.
 */
void recordAdviceReply(AdviceHost &host, const AdviceTiming &answered, std::span<const AdviceTiming> others, std::uint64_t nowMs);

/** @param host a host. @param costMs time that a call takes by the plan. @return the expected time to its reply if it is sent now. */
double expectedReplyMs(const AdviceHost &host, double costMs, std::uint64_t nowMs);

/**
 * Chooses the host through which the reply is expected first.
 * @param hosts the hosts. @param costMs time that the call takes by the plan. @param hasShortCalls whether other calls are short: long ones then leave the
 * fastest third of the hosts to them. @param nowMs current time.
 * @return the position of the host; empty if there is none.
 */
std::optional<std::size_t> chooseAdviceHost(std::span<const AdviceHost> hosts, double costMs, bool hasShortCalls, std::uint64_t nowMs);
}
