#include "deployment/couriers.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** A call that may have been made: an order to start or stop is asked after by its next copy, a look can be made again as it is. */
void returnOrder(UpstreamCall call, ReturnedOrders &returned)
{
    if (call.kind == CallKind::Look) {
        returned.resend.push_back(std::move(call));
    } else {
        returned.unknown.push_back(call.id);
    }
}
}

std::uint64_t estimateCourierClock(const Couriers &couriers, const std::string &courier, std::uint64_t nowMs)
{
    const auto sample = couriers.clocks.find(courier);
    if (sample == couriers.clocks.end() || sample->second.courierMs == 0) {
        return 0;
    }
    constexpr std::uint64_t driftDivisor = 50; // The courier's clock may run 2% slow.
    const std::uint64_t passedMs = nowMs - std::min(nowMs, sample->second.receivedMs);
    return sample->second.courierMs + passedMs - passedMs / driftDivisor;
}

bool isFresh(std::uint64_t sentAtMs, std::uint64_t nowMs)
{
    return nowMs <= sentAtMs + maxOrderAgeMs;
}

std::vector<std::string> dueClockRequests(Couriers &couriers, const CourierOptions &options, std::uint64_t nowMs)
{
    std::vector<std::string> asked;
    for (const auto &[dataCentre, names] : couriers.hosts) {
        for (const std::string &name : names) {
            CourierClock &clock = couriers.clocks[name];
            const bool old = clock.courierMs == 0 || nowMs >= clock.receivedMs + options.clockRefreshMs;
            if (old && nowMs >= clock.requestedMs + options.clockRefreshMs / 2) {
                clock.requestedMs = nowMs;
                asked.push_back(name);
            }
        }
    }
    return asked;
}

std::string selectCourier(const Couriers &couriers, const CourierOptions &options, const std::string &dataCentre, const std::string &upstream, std::uint64_t nowMs)
{
    const auto there = couriers.hosts.find(dataCentre);
    if (there == couriers.hosts.end()) {
        return {};
    }
    // The courier with the highest hash: when one goes, only its own upstreams move to others.
    const std::string *best = nullptr;
    std::size_t bestHash = 0;
    const std::size_t upstreamHash = std::hash<std::string>{}(upstream);
    for (const std::string &courier : there->second) {
        const auto avoided = couriers.avoidUntilMs.find(courier);
        const auto clock = couriers.clocks.find(courier);
        const bool clockKnown = clock != couriers.clocks.end() && clock->second.courierMs > 0 && nowMs < clock->second.receivedMs + options.maxClockAgeMs;
        if (!clockKnown || (avoided != couriers.avoidUntilMs.end() && nowMs < avoided->second)) {
            continue;
        }
        constexpr std::size_t mix = 0x9E3779B97F4A7C15; // Spreads the bits of the two hashes over the whole word.
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

void handleDeclinedOrder(Couriers &couriers, const CourierOptions &options, const std::string &courier, std::uint64_t id, std::uint64_t nowMs, ReturnedOrders &returned)
{
    const auto found = couriers.pendingOrders.find(id);
    if (found == couriers.pendingOrders.end() || found->second.courier != courier) {
        return;
    }
    ++couriers.ordersDeclined;
    couriers.avoidUntilMs[courier] = nowMs + options.avoidanceMs;
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
        couriers.avoidUntilMs[entry.second.courier] = nowMs + options.avoidanceMs;
        returned.unknown.push_back(entry.first);
        return true;
    });
    return returned;
}
}
