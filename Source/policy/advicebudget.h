#pragma once

#include "model/resources.h"
#include "policy/waitingorder.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

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

/** Short calls, for which long ones leave some hosts free. */
struct ShortAdviceCalls
{
    bool present = false; ///< Whether a queue has short calls.
    double load = 0; ///< Smoothed number of hosts that they keep busy, at atMs.
    std::uint64_t atMs = 0;
};

/** Adds a short call to the load. @param calls the short calls. @param costMs time that the call takes by the plan. @param nowMs current time. */
void recordShortAdviceCall(ShortAdviceCalls &calls, double costMs, std::uint64_t nowMs);

/**
 * Learns from a reply how long calls through a host take. A reply to a call that had to wait for the one before shows the time of a call; another one shows
 * the network delay.
 * @param host the host. @param answered the call. @param others the other open calls through the host, in the order in which they were sent. @param nowMs
 * time of the reply.
 */
void recordAdviceReply(AdviceHost &host, const AdviceTiming &answered, std::span<const AdviceTiming> others, std::uint64_t nowMs);

/** @param host a host. @param costMs time that a call takes by the plan. @return the expected time to its reply if it is sent now. */
double expectedReplyMs(const AdviceHost &host, double costMs, std::uint64_t nowMs);

/** Why a step makes no call now. */
enum class AdviceHold : std::uint8_t {
    None, ///< It may make a call.
    Hosts, ///< Every host that may take the call is busy.
    Submission, ///< The job is being recorded; steps that wait for a host go first.
    Turn, ///< Steps ranked above it have tickets for more than what is free.
    TooLate, ///< Its objective can't be met, and others still can be.
    Team, ///< Its team is at its limit.
};

/** Number of values of AdviceHold. */
constexpr std::size_t adviceHolds = 6;

/** @param hold a reason. @return its name in the log and the metrics. */
std::string_view nameOf(AdviceHold hold);

/** What the hosts can take now. */
struct AdviceRoom
{
    std::size_t hosts = 0;
    std::size_t busy = 0; ///< Hosts that are busy.
    bool takesShort = false; ///< Whether a host that may take short calls isn't busy.
    bool takesLong = false; ///< The same for long calls.
};

/** @param hosts the hosts. @param shortCalls as for chooseAdviceHost(). @param nowMs current time. @return what they can take. */
AdviceRoom adviceRoom(std::span<const AdviceHost> hosts, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs);

/** @param room what the hosts can take. @return whether most hosts are busy. */
bool areMostBusy(const AdviceRoom &room);

/** Capacity of the upstreams of a service, and the steps ranked above the one that asks. */
struct AdviceClaims
{
    model::Resources free;
    model::Resources used;
    model::Resources claimed; ///< Needs of the steps with tickets or open calls.
    bool inTimeWaits = false; ///< One of the steps can be in time or late.
};

/** A step that wants to make a call. */
struct AdviceAsk
{
    double costMs = 0; ///< Time that the call takes by the plan.
    double durationMs = 0; ///< Estimated duration of the step's tasks.
    Timeliness timeliness = Timeliness::InTime;
    bool submission = false; ///< Its job isn't recorded yet, and recorded steps wait for a host.
    bool hasTickets = false; ///< It has a valid ticket.
    bool hasOpenCall = false;
    bool teamAtLimit = false;
};

/**
 * Decides whether a step may make a call. While most hosts aren't busy, only steps that are too late or held by their team's limit wait. Otherwise the steps
 * make their calls in the order of their rank as hosts become free, so that no call waits behind those of steps ranked below it.
 * @param ask the step. @param room what the hosts can take. @param claims the capacity and the steps ranked above; needed only while most hosts are busy.
 * @return why it has to wait.
 */
AdviceHold adviceHoldFor(const AdviceAsk &ask, const AdviceRoom &room, const AdviceClaims &claims);

/**
 * Chooses the host through which the reply is expected first; while most are busy, of those that aren't, if there are any.
 * @param hosts the hosts. @param costMs time that the call takes by the plan. @param shortCalls the short calls of other steps: a long one leaves the
 * fastest third of the hosts to them, or while most hosts are busy as many of these as they need. @param nowMs current time.
 * @return the position of the host; empty if there is none.
 */
std::optional<std::size_t> chooseAdviceHost(std::span<const AdviceHost> hosts, double costMs, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs);
}
