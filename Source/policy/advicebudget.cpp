#include "policy/advicebudget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>
#include <vector>

namespace rosemaryturn::policy
{
namespace
{
/** Weight of a new measurement in a smoothed value. */
constexpr double smoothing = 0.2;
/** Bounds of AdviceHost::costFactor: single replies that were held up must not exclude a host. */
constexpr double minCostFactor = 0.5;
constexpr double maxCostFactor = 8;
/** Time over which the load of short calls is smoothed. */
constexpr double shortLoadWindowMs = 4000;
/** Hosts left for short calls, relative to those that they keep busy: they come in bursts. */
constexpr double hostsPerShortLoad = 3;
/** Steps with tickets for this many times the free capacity use it up: each may use only some of the upstreams, so that not all of them fit at once. */
constexpr double claimsPerFreeCapacity = 2;

/** @return the capacity that is free or will be once a call is answered, if the running tasks take as long as those of the step. */
double freeSoon(std::uint64_t free, std::uint64_t used, const AdviceAsk &ask)
{
    const double endingShare = ask.durationMs > 0 ? std::min(ask.costMs / ask.durationMs, 1.0) : 1;
    return static_cast<double>(free) + endingShare * static_cast<double>(used);
}

/** @return whether steps ranked above use up the free capacity. */
bool isUsedUp(const AdviceAsk &ask, const AdviceClaims &claims)
{
    const auto isExceeded = [&ask](std::uint64_t claimed, std::uint64_t free, std::uint64_t used) {
        return static_cast<double>(claimed) > claimsPerFreeCapacity * freeSoon(free, used, ask);
    };
    return isExceeded(claims.claimed.cpuMillis, claims.free.cpuMillis, claims.used.cpuMillis)
        || isExceeded(claims.claimed.memoryMb, claims.free.memoryMb, claims.used.memoryMb)
        || isExceeded(claims.claimed.accelerators, claims.free.accelerators, claims.used.accelerators);
}

bool isBusy(const AdviceHost &host, std::uint64_t nowMs)
{
    return host.busyUntilMs > nowMs + busyAdviceHostMs;
}

std::size_t countBusy(std::span<const AdviceHost> hosts, std::uint64_t nowMs)
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [nowMs](const AdviceHost &host) {
        return isBusy(host, nowMs);
    }));
}

bool areMostBusy(std::span<const AdviceHost> hosts, std::uint64_t nowMs)
{
    return 2 * countBusy(hosts, nowMs) > hosts.size();
}

/** @return the load of the short calls now. */
double shortCallLoad(const ShortAdviceCalls &calls, std::uint64_t nowMs)
{
    return calls.load * std::exp(-static_cast<double>(nowMs - std::min(nowMs, calls.atMs)) / shortLoadWindowMs);
}

/** @return the number of hosts that long calls leave to short ones. */
std::size_t hostsForShortCalls(std::span<const AdviceHost> hosts, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs)
{
    const std::size_t third = hosts.size() / 3;
    if (!areMostBusy(hosts, nowMs)) {
        return third;
    }
    return std::min(third, 1 + static_cast<std::size_t>(std::ceil(hostsPerShortLoad * shortCallLoad(shortCalls, nowMs))));
}

/** @return the hosts that a call may go through, in the order of their network delay. */
std::vector<std::size_t> usableHosts(std::span<const AdviceHost> hosts, double costMs, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs)
{
    std::vector<std::size_t> order(hosts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    if (costMs > longAdviceCallMs && shortCalls.present) {
        std::sort(order.begin(), order.end(), [hosts](std::size_t a, std::size_t b) {
            return std::tuple(hosts[a].networkDelayMs, a) < std::tuple(hosts[b].networkDelayMs, b);
        });
        order.erase(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(hostsForShortCalls(hosts, shortCalls, nowMs)));
    }
    return order;
}
}

void recordShortAdviceCall(ShortAdviceCalls &calls, double costMs, std::uint64_t nowMs)
{
    calls.load = shortCallLoad(calls, nowMs) + costMs / shortLoadWindowMs;
    calls.atMs = nowMs;
}

void recordAdviceReply(AdviceHost &host, const AdviceTiming &answered, std::span<const AdviceTiming> others, std::uint64_t nowMs)
{
    const auto now = static_cast<double>(nowMs);
    const auto previousMs = static_cast<double>(host.answeredMs);
    const double arrivedMs = static_cast<double>(answered.sentMs) + host.networkDelayMs;
    if (previousMs >= arrivedMs) {
        // The time of a short call is lost in the network delay's variation.
        if (answered.costMs > longAdviceCallMs) {
            const double measured = std::clamp((now - previousMs) / answered.costMs, minCostFactor, maxCostFactor);
            host.costFactor += smoothing * (measured - host.costFactor);
        }
    } else {
        const double delayMs = now - static_cast<double>(answered.sentMs) - host.costFactor * answered.costMs;
        host.networkDelayMs += smoothing * (std::max(delayMs, 0.0) - host.networkDelayMs);
    }
    host.answeredMs = nowMs;
    double busyUntilMs = now - host.networkDelayMs; // The reply was on its way for that long.
    for (const AdviceTiming &other : others) {
        busyUntilMs = std::max(busyUntilMs, static_cast<double>(other.sentMs)) + host.costFactor * other.costMs;
    }
    host.busyUntilMs = static_cast<std::uint64_t>(std::max(busyUntilMs, 0.0));
}

double expectedReplyMs(const AdviceHost &host, double costMs, std::uint64_t nowMs)
{
    const std::uint64_t backlogMs = std::max(host.busyUntilMs, nowMs) - nowMs;
    return static_cast<double>(backlogMs) + host.costFactor * costMs + host.networkDelayMs;
}

std::optional<std::size_t> chooseAdviceHost(std::span<const AdviceHost> hosts, double costMs, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs)
{
    std::vector<std::size_t> order = usableHosts(hosts, costMs, shortCalls, nowMs);
    if (areMostBusy(hosts, nowMs)) {
        const auto busyOnes = std::stable_partition(order.begin(), order.end(), [&](std::size_t host) {
            return !isBusy(hosts[host], nowMs);
        });
        if (busyOnes != order.begin()) {
            order.erase(busyOnes, order.end());
        }
    }
    const auto best = std::min_element(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::tuple(expectedReplyMs(hosts[a], costMs, nowMs), hosts[a].networkDelayMs, a)
            < std::tuple(expectedReplyMs(hosts[b], costMs, nowMs), hosts[b].networkDelayMs, b);
    });
    return best == order.end() ? std::nullopt : std::optional(*best);
}

std::string_view nameOf(AdviceHold hold)
{
    constexpr std::array<std::string_view, adviceHolds> names{"none", "hosts", "submission", "turn", "too-late", "team"};
    return names.at(static_cast<std::size_t>(hold));
}

AdviceRoom adviceRoom(std::span<const AdviceHost> hosts, const ShortAdviceCalls &shortCalls, std::uint64_t nowMs)
{
    const auto takes = [&](double costMs) {
        const std::vector<std::size_t> usable = usableHosts(hosts, costMs, shortCalls, nowMs);
        return !std::all_of(usable.begin(), usable.end(), [&](std::size_t host) {
            return isBusy(hosts[host], nowMs);
        });
    };
    AdviceRoom room;
    room.hosts = hosts.size();
    room.busy = countBusy(hosts, nowMs);
    room.takesShort = takes(0);
    room.takesLong = takes(longAdviceCallMs + 1);
    return room;
}

bool areMostBusy(const AdviceRoom &room)
{
    return 2 * room.busy > room.hosts;
}

AdviceHold adviceHoldFor(const AdviceAsk &ask, const AdviceRoom &room, const AdviceClaims &claims)
{
    const bool tooLate = ask.timeliness == Timeliness::TooLate;
    const bool someBusy = 4 * room.busy > room.hosts;
    if (ask.teamAtLimit) {
        return AdviceHold::Team;
    }
    if (tooLate && (areMostBusy(room) || (someBusy && claims.inTimeWaits))) {
        return AdviceHold::TooLate;
    }
    const bool isLong = ask.costMs > longAdviceCallMs;
    if (!areMostBusy(room)) {
        return AdviceHold::None;
    }
    if (ask.hasOpenCall || !(isLong ? room.takesLong : room.takesShort)) {
        return AdviceHold::Hosts;
    }
    if (isLong && ask.submission) {
        return AdviceHold::Submission;
    }
    return isLong && !ask.hasTickets && isUsedUp(ask, claims) ? AdviceHold::Turn : AdviceHold::None;
}
}
