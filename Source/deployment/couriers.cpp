#include "deployment/couriers.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Returns a call that may have been made. A poll is idempotent and resent as it is; the result of a start or stop is found out when the order is repeated. */
void returnOrder(UpstreamCall call, ReturnedOrders &returned)
{
    if (call.kind == CallKind::Poll) {
        returned.resend.push_back(std::move(call));
    } else {
        returned.unknown.push_back(call.id);
    }
}
}

std::uint64_t estimateCourierClock(const Couriers &couriers, const std::string &courier, std::uint64_t nowMs)
{
    const auto clock = couriers.clocks.find(courier);
    if (clock == couriers.clocks.end() || clock->second.courierMs == 0) {
        return 0;
    }
    constexpr std::uint64_t driftDivisor = 50; // The courier's clock may be 2% slow.
    const std::uint64_t passedMs = nowMs - std::min(nowMs, clock->second.receivedMs);
    return clock->second.courierMs + passedMs - passedMs / driftDivisor;
}

bool isFresh(std::uint64_t sentAtMs, std::uint64_t nowMs)
{
    return nowMs <= sentAtMs + maxOrderAgeMs;
}

std::vector<std::string> dueClockRequests(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs)
{
    std::vector<std::string> due;
    for (const auto &[dataCentre, names] : couriers.hosts) {
        for (const std::string &name : names) {
            CourierClock &clock = couriers.clocks[name];
            const bool outdated = clock.courierMs == 0 || nowMs >= clock.receivedMs + options.clockRefreshMs;
            if (outdated && nowMs >= clock.requestedMs + options.clockRefreshMs / 2) {
                clock.requestedMs = nowMs;
                due.push_back(name);
            }
        }
    }
    return due;
}

std::string selectCourier(const Couriers &couriers, const CourierOptions &options, const std::string &dataCentre, const std::string &upstream,
                          std::uint64_t nowMs)
{
    const auto candidates = couriers.hosts.find(dataCentre);
    if (candidates == couriers.hosts.end()) {
        return {};
    }
    // Rendezvous hashing: when a courier is lost, only its own upstreams move to other couriers.
    const std::string *best = nullptr;
    std::size_t bestHash = 0;
    const std::size_t upstreamHash = std::hash<std::string>{}(upstream);
    for (const std::string &courier : candidates->second) {
        const auto avoided = couriers.avoidedUntilMs.find(courier);
        const auto clock = couriers.clocks.find(courier);
        const bool clockKnown = clock != couriers.clocks.end() && clock->second.courierMs > 0 && nowMs < clock->second.receivedMs + options.maxClockAgeMs;
        if (!clockKnown || (avoided != couriers.avoidedUntilMs.end() && nowMs < avoided->second)) {
            continue;
        }
        constexpr std::size_t mix = 0x9E3779B97F4A7C15; // Mixes the bits of the two hashes.
        std::size_t hash = (upstreamHash ^ std::hash<std::string>{}(courier)) * mix;
        hash ^= hash >> 32U;
        if (best == nullptr || hash > bestHash) {
            best = &courier;
            bestHash = hash;
        }
    }
    return best == nullptr ? std::string() : *best;
}

void recordOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, UpstreamCall call, std::uint64_t nowMs)
{
    ++couriers.ordersSent;
    const std::uint64_t id = call.id;
    const std::uint64_t deadlineMs = nowMs + call.timeoutMs + options.answerMarginMs;
    couriers.pendingOrders.insert_or_assign(id, PendingOrder{courier, std::move(call), deadlineMs});
}

bool completeOrder(Couriers &couriers, const std::string &courier, std::uint64_t id)
{
    const auto found = couriers.pendingOrders.find(id);
    if (found == couriers.pendingOrders.end() || found->second.courier != courier) {
        return false;
    }
    couriers.pendingOrders.erase(found);
    return true;
}

void handleDeclinedOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, std::uint64_t id, std::uint64_t nowMs,
                         ReturnedOrders &returned)
{
    const auto found = couriers.pendingOrders.find(id);
    if (found == couriers.pendingOrders.end() || found->second.courier != courier) {
        return;
    }
    ++couriers.ordersDeclined;
    couriers.avoidedUntilMs[courier] = nowMs + options.avoidanceMs;
    returned.resend.push_back(std::move(found->second.call));
    couriers.pendingOrders.erase(found);
}

ReturnedOrders reclaimOrders(Couriers &couriers, const std::string &courier)
{
    ReturnedOrders returned;
    std::erase_if(couriers.pendingOrders, [&](auto &entry) {
        if (entry.second.courier != courier) {
            return false;
        }
        ++couriers.ordersLost;
        returnOrder(std::move(entry.second.call), returned);
        return true;
    });
    return returned;
}

ReturnedOrders expireOrders(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs)
{
    ReturnedOrders returned;
    std::erase_if(couriers.pendingOrders, [&](auto &entry) {
        if (nowMs < entry.second.deadlineMs) {
            return false;
        }
        ++couriers.ordersLost;
        couriers.avoidedUntilMs[entry.second.courier] = nowMs + options.avoidanceMs;
        returned.unknown.push_back(entry.first);
        return true;
    });
    return returned;
}
}
