#pragma once

#include "deployment/leader.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Delivery of orders through couriers: hosts without a vote that make the calls to the upstreams of their data centre for the
 * host that leads. They spare it the connections, the bodies and the waiting; every decision stays with the leader.
 */
namespace rosemaryturn::deployment
{
/** Bounds of delivery, in milliseconds where nothing else is said. */
struct CourierOptions
{
    std::size_t minUpstreams = 100; ///< With fewer upstreams orders go straight: the leader carries them easily, and a hop is saved.
    std::uint64_t answerMarginMs = 250; ///< Beyond an order's own time: two ways between regions, the queues there, and the round of the loop.
    std::uint64_t avoidanceMs = 3000; ///< How long a courier that lost an order is passed over; its silence is noticed sooner.
    std::uint64_t clockRefreshMs = 1000; ///< Age of a courier's clock sample from which on it is asked for a new one.
    std::uint64_t maxClockAgeMs = 3000; ///< With an older sample a courier gets no orders: drift would spoil the age that it judges them by.
};

/** An order that a courier has. */
struct PendingOrder
{
    std::string courier;
    UpstreamCall call;
    std::uint64_t deadlineMs = 0;
};

/** Age at which a courier gives an order back untouched: a way between regions, its queues, and the error of the clocks. An order that was held up longer by
 * a suspended process or a cut link may meet another process under the upstream's id, which doesn't know what was stopped before it. */
constexpr std::uint64_t maxOrderAgeMs = 400;

/** What a courier's clock showed. */
struct CourierClock
{
    std::uint64_t courierMs = 0;
    std::uint64_t receivedMs = 0; ///< Own clock when the sample came: the courier's clock was not behind courierMs any more.
    std::uint64_t requestedMs = 0; ///< When a sample was last asked for.
};

/** What the host that leads knows of couriers. */
struct Couriers
{
    std::uint64_t origin = 0; ///< Names this process, so that an answer to an earlier one under the same host is told apart.
    std::map<std::string, std::vector<std::string>, std::less<>> hosts; ///< By data centre.
    std::unordered_map<std::string, std::uint64_t> avoidUntilMs; ///< By courier.
    std::unordered_map<std::string, CourierClock> clocks; ///< By courier.
    std::unordered_map<std::uint64_t, PendingOrder> pendingOrders; ///< By the id of the call.
    std::uint64_t ordersSent = 0; ///< Orders given to couriers so far.
    std::uint64_t ordersDeclined = 0; ///< Orders that couriers gave back.
    std::uint64_t ordersLost = 0; ///< Orders that went down with a courier, or whose answer didn't come in time.
};

/** @param couriers what is known. @param courier one of them. @param nowMs the present. @return the earliest that its clock may show now; 0 for unknown. */
std::uint64_t estimateCourierClock(const Couriers &couriers, const std::string &courier, std::uint64_t nowMs);

/** @param sentAtMs the courier's clock at which orders were sent, at the earliest. @param nowMs its clock. @return whether they are recent enough to be
 * delivered. */
bool isFresh(std::uint64_t sentAtMs, std::uint64_t nowMs);

/** @param couriers what is known; those asked are noted. @param options bounds. @param nowMs the present. @return the couriers to ask for their clock. */
std::vector<std::string> dueClockRequests(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs);

/**
 * Chooses who delivers an order: always the same courier for an upstream while the couriers stay the same, so that connections are kept.
 * @param couriers what is known. @param options bounds. @param dataCentre of the upstream. @param upstream its id. @param nowMs the present.
 * @return the courier; empty when none serves there, and the leader makes the call itself.
 */
std::string selectCourier(const Couriers &couriers, const CourierOptions &options, const std::string &dataCentre, const std::string &upstream,
                       std::uint64_t nowMs);

/** Notes that a courier has an order. @param couriers what is known. @param options bounds. @param courier who has it. @param call the order. @param nowMs the
 * present. */
void recordOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, UpstreamCall call, std::uint64_t nowMs);

/** Closes the delivery of an order. @param couriers what is known. @param courier who answers. @param id the call. @return whether the order was its to answer.
 */
bool completeOrder(Couriers &couriers, const std::string &courier, std::uint64_t id);

/** What becomes of the orders of a courier that doesn't deliver them. */
struct ReturnedOrders
{
    std::vector<UpstreamCall> resend; ///< To be made by the leader itself.
    std::vector<std::uint64_t> unknown; ///< Calls that may have been made, and whose answer won't come.
};

/** Takes an order that the courier didn't touch. @param couriers what is known. @param options bounds. @param courier who declines. @param id the call. @param
 * nowMs the present. @param returned receives the order. */
void handleDeclinedOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, std::uint64_t id, std::uint64_t nowMs, ReturnedOrders &returned);

/** Gives up the orders of a courier whose connection is gone; a look is made again at once, as repeating it changes nothing. @param couriers what is known.
 * @param courier who is gone. @return its orders. */
ReturnedOrders reclaimOrders(Couriers &couriers, const std::string &courier);

/** Gives up what was not answered in time, and passes the couriers over for a while. @param couriers what is known. @param options bounds. @param nowMs the
 * present. @return the orders. */
ReturnedOrders expireOrders(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs);
}
