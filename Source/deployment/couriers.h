#pragma once

#include "deployment/leader.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Delivery of orders through couriers: hosts without a vote that call the upstreams of their data centre on behalf of the leader.
 * Couriers relieve the leader of connections, request bodies and waiting; the leader makes all decisions.
 */
namespace rosemaryturn::deployment
{
/** Limits of delivery; times in milliseconds. */
struct CourierOptions
{
    std::size_t minUpstreams = 100; ///< With fewer upstreams the leader calls them directly: the load is low, and it saves a hop.
    std::uint64_t answerMarginMs = 250; ///< Added to an order's timeout: a round trip between regions, queueing, and a round of the event loop.
    std::uint64_t avoidanceMs = 3000; ///< How long a courier that lost or declined an order is avoided; a lost connection is noticed sooner.
    std::uint64_t clockRefreshMs = 1000; ///< Age of a clock sample at which a new one is requested.
    std::uint64_t maxClockAgeMs = 3000; ///< With an older sample a courier gets no orders: clock drift would falsify the order age that it checks.
};

/** An order that was sent to a courier and isn't answered yet. */
struct PendingOrder
{
    std::string courier;
    UpstreamCall call;
    std::uint64_t deadlineMs = 0;
};

/** Maximum age of an order that a courier delivers; it declines older ones. The age allows for the network delay between regions, queueing and the clock error.
 * An order delayed longer by a suspended process or a partition may reach a restarted upstream, which doesn't know which runs were stopped before. */
constexpr std::uint64_t maxOrderAgeMs = 400;

/** A sample of a courier's clock. */
struct CourierClock
{
    std::uint64_t courierMs = 0;
    std::uint64_t receivedMs = 0; ///< Own clock when the sample arrived; the courier's clock then showed at least courierMs.
    std::uint64_t requestedMs = 0; ///< When a sample was last requested.
};

/** The leader's state of the couriers. */
struct Couriers
{
    std::uint64_t origin = 0; ///< Identifies this process, so that answers to an earlier process of this host are recognised.
    std::map<std::string, std::vector<std::string>, std::less<>> hosts; ///< By data centre.
    std::unordered_map<std::string, std::uint64_t> avoidedUntilMs; ///< By courier.
    std::unordered_map<std::string, CourierClock> clocks; ///< By courier.
    std::unordered_map<std::uint64_t, PendingOrder> pendingOrders; ///< By the id of the call.
    std::uint64_t ordersSent = 0; ///< Orders sent to couriers so far.
    std::uint64_t ordersDeclined = 0; ///< Orders that couriers declined.
    std::uint64_t ordersLost = 0; ///< Orders lost with a courier's connection or not answered in time.
};

/** @param couriers the courier state. @param courier a courier. @param nowMs the current time. @return a lower bound of its current clock value; 0 if unknown.
 */
std::uint64_t estimateCourierClock(const Couriers &couriers, const std::string &courier, std::uint64_t nowMs);

/** @param sentAtMs lower bound of the courier's clock when the orders were sent. @param nowMs the courier's clock now. @return whether the orders are recent
 * enough to be delivered. */
bool isFresh(std::uint64_t sentAtMs, std::uint64_t nowMs);

/** Selects couriers whose clock sample is outdated. @param couriers the courier state; the requests are recorded in it. @param options the limits. @param nowMs
 * the current time. @return the couriers to request a clock sample from. */
std::vector<std::string> dueClockRequests(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs);

/**
 * Selects the courier for an order. An upstream keeps its courier while the couriers don't change, so that connections are reused.
 * @param couriers the courier state. @param options the limits. @param dataCentre of the upstream. @param upstream its id. @param nowMs the current time.
 * @return the courier; empty if none is available there, and the leader makes the call itself.
 */
std::string selectCourier(const Couriers &couriers, const CourierOptions &options, const std::string &dataCentre, const std::string &upstream,
                          std::uint64_t nowMs);

/** Records an order that is sent to a courier. @param couriers the courier state. @param options the limits. @param courier the courier. @param call the order.
 * @param nowMs the current time. */
void recordOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, UpstreamCall call, std::uint64_t nowMs);

/** Removes an answered order. @param couriers the courier state. @param courier the courier that answers. @param id the call. @return whether the order was
 * pending with this courier. */
bool completeOrder(Couriers &couriers, const std::string &courier, std::uint64_t id);

/** Orders that a courier didn't complete. */
struct ReturnedOrders
{
    std::vector<UpstreamCall> resend; ///< Calls that the leader makes itself.
    std::vector<std::uint64_t> unknown; ///< Calls that may have been made and won't be answered.
};

/** Handles an order that a courier declined without a call. @param couriers the courier state. @param options the limits. @param courier the courier. @param id
 * the call. @param nowMs the current time. @param returned receives the order. */
void handleDeclinedOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, std::uint64_t id, std::uint64_t nowMs,
                         ReturnedOrders &returned);

/** Removes the orders of a courier whose connection was lost. Polls are resent at once, as they are idempotent. @param couriers the courier state. @param
 * courier the courier. @return its orders. */
ReturnedOrders reclaimOrders(Couriers &couriers, const std::string &courier);

/** Removes the orders that weren't answered in time, and avoids their couriers for avoidanceMs. @param couriers the courier state. @param options the limits.
 * @param nowMs the current time. @return the orders. */
ReturnedOrders expireOrders(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs);
}
