#include "policy/advicebudget.h"
#include "testing.h"

#include <vector>

namespace
{
using namespace rosemaryturn::policy;

constexpr std::uint64_t nowMs = 100000;

/** Sends calls through a host, each as the one before it is answered, as long as the host always has two. */
AdviceHost keepBusy(double costMs, double factor, int replies)
{
    AdviceHost host;
    const auto takenMs = static_cast<std::uint64_t>(costMs * factor);
    std::uint64_t now = nowMs;
    std::vector<AdviceTiming> open{{now, costMs}, {now, costMs}};
    for (int i = 0; i < replies; ++i) {
        now += takenMs;
        const AdviceTiming answered = open.front();
        open.erase(open.begin());
        recordAdviceReply(host, answered, open, now);
        open.push_back({now, costMs});
    }
    return host;
}
}

/** All hosts counted as equal, so that those with few processors got as many and as long calls as the others. */
TEST_CASE(AdviceBudget, ASlowHostGetsFewerAndShorterCalls)
{
    const AdviceHost slow = keepBusy(500, 3, 40);
    CHECK(slow.costFactor > 2.5 && slow.costFactor < 3.5);
    std::vector<AdviceHost> hosts{{0, slow.networkDelayMs, slow.costFactor, 0}, {nowMs + 300, slow.networkDelayMs + 10, 1, 0}};
    CHECK_EQUAL(std::size_t{1}, *chooseAdviceHost(hosts, 500, false, nowMs));
    CHECK_EQUAL(std::size_t{0}, *chooseAdviceHost(hosts, 20, false, nowMs));
    CHECK(!chooseAdviceHost({}, 20, false, nowMs));
}

TEST_CASE(AdviceBudget, ARepliesTimeIsNetworkDelayWhereNoCallWasBeforeIt)
{
    AdviceHost host;
    std::uint64_t now = nowMs;
    for (int i = 0; i < 40; ++i) {
        now += 1000;
        recordAdviceReply(host, {now - 580, 500}, {}, now);
    }
    CHECK_EQUAL(1.0, host.costFactor);
    CHECK(host.networkDelayMs > 75 && host.networkDelayMs <= 80);
    CHECK(host.busyUntilMs < now);
}

/** The backlog of a host was a sum of estimates that no reply corrected: a slow host got further calls as if it had handled those before. */
TEST_CASE(AdviceBudget, TheBacklogFollowsTheOpenCalls)
{
    AdviceHost host{nowMs + 100, 0, 2, 0};
    recordAdviceReply(host, {nowMs - 500, 250}, std::vector<AdviceTiming>{{nowMs - 400, 300}, {nowMs - 300, 300}}, nowMs);
    CHECK_EQUAL(nowMs + 1200, host.busyUntilMs);
    recordAdviceReply(host, {nowMs - 400, 300}, {}, nowMs + 600);
    CHECK_EQUAL(nowMs + 600, host.busyUntilMs);
}
