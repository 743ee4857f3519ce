#include "policy/advicebudget.h"
#include "testing.h"

#include <algorithm>
#include <vector>

namespace
{
using namespace rosemaryturn::policy;

constexpr std::uint64_t nowMs = 100000;
}

/** All hosts counted as equal, so that those with few processors got as many and as long calls as the others; no reply corrected the backlog of a host. */
TEST_CASE(AdviceBudget, ASlowHostGetsFewerAndShorterCalls)
{
    AdviceHost slow;
    std::uint64_t now = nowMs;
    for (int i = 0; i < 40; ++i) {
        now += 1500;
        recordAdviceReply(slow, {now - 3000, 500}, std::vector<AdviceTiming>{{now - 1500, 500}}, now); // Calls of 500 ms take 1500 ms each.
    }
    CHECK(slow.costFactor > 2.9 && slow.costFactor <= 3);
    CHECK(slow.busyUntilMs > now + 900);
    slow.busyUntilMs = 0;
    const std::vector<AdviceHost> hosts{slow, {now + 300, slow.networkDelayMs + 10, 1, 0}};
    CHECK_EQUAL(std::size_t{1}, *chooseAdviceHost(hosts, 500, {}, now));
    CHECK_EQUAL(std::size_t{0}, *chooseAdviceHost(hosts, 20, {}, now));
    for (int i = 0; i < 40; ++i) {
        now += 3000;
        recordAdviceReply(slow, {now - 1580, 500}, {}, now); // No call was before it: the rest is network delay.
    }
    CHECK(slow.networkDelayMs > 75 && slow.networkDelayMs < 130);
    CHECK(slow.busyUntilMs < now);
}

namespace
{
constexpr AdviceRoom busyRoom{9, 6, true, true};
constexpr AdviceAsk longCall{500, 5000, Timeliness::InTime, false, false, false, false};
constexpr AdviceAsk shortCall{10, 5000, Timeliness::InTime, true, false, false, false};
constexpr AdviceAsk submission{500, 5000, Timeliness::InTime, true, false, false, false};
constexpr AdviceAsk furtherCall{500, 5000, Timeliness::InTime, false, true, true, false};
constexpr AdviceAsk lateCall{500, 5000, Timeliness::TooLate, false, false, false, false};
constexpr AdviceAsk heldByTeam{500, 5000, Timeliness::InTime, false, false, false, true};
}

/** Calls were sent at once and queued at the hosts for seconds, in the order in which the jobs had come: urgent steps waited behind them. Where few hosts are
 * busy, calls are made as early as ever. */
TEST_CASE(AdviceBudget, CallsWaitOnlyWhileMostHostsAreBusy)
{
    constexpr AdviceRoom idleRoom{9, 4, true, true};
    for (const AdviceAsk &ask : {longCall, shortCall, submission, furtherCall, lateCall}) {
        CHECK(adviceHoldFor(ask, idleRoom, {{}, {}, {1000, 0, 0, 0}, false}) == AdviceHold::None);
    }
    CHECK(adviceHoldFor(lateCall, idleRoom, {{}, {}, {}, true}) == AdviceHold::TooLate);
    CHECK(adviceHoldFor(heldByTeam, idleRoom, {}) == AdviceHold::Team);
    CHECK(adviceHoldFor(longCall, busyRoom, {}) == AdviceHold::None);
    CHECK(adviceHoldFor(submission, busyRoom, {}) == AdviceHold::Submission);
    CHECK(adviceHoldFor(furtherCall, busyRoom, {}) == AdviceHold::Hosts);
    CHECK(adviceHoldFor(lateCall, busyRoom, {}) == AdviceHold::TooLate);
    CHECK(adviceHoldFor(longCall, {9, 6, true, false}, {}) == AdviceHold::Hosts);
    CHECK(adviceHoldFor(shortCall, {9, 6, true, false}, {}) == AdviceHold::None);
}

/** Tickets lapsed unused while the steps ranked above took the capacity. A tenth of what is used ends during the call. */
TEST_CASE(AdviceBudget, AStepWhoseTurnCannotComeMakesNoCall)
{
    const auto claims = [](std::uint64_t cpu, std::uint64_t memory) {
        return AdviceClaims{{1000, 1000, 0, 0}, {10000, 0, 0, 0}, {cpu, memory, 0, 0}, true};
    };
    CHECK(adviceHoldFor(longCall, busyRoom, claims(3900, 2000)) == AdviceHold::None);
    CHECK(adviceHoldFor(longCall, busyRoom, claims(4100, 0)) == AdviceHold::Turn);
    CHECK(adviceHoldFor(longCall, busyRoom, claims(0, 2100)) == AdviceHold::Turn);
}

/** Calls went on to queue at the fastest hosts while slower ones were free. */
TEST_CASE(AdviceBudget, FreeHostsGoFirstWhileMostAreBusy)
{
    std::vector<AdviceHost> hosts{{nowMs + 300, 0, 1, 0}, {nowMs + 400, 0, 1, 0}, {0, 60, 4, 0}};
    CHECK_EQUAL(std::size_t{2}, *chooseAdviceHost(hosts, 500, {}, nowMs));
    CHECK(adviceRoom(hosts, {true}, nowMs).takesLong);
    hosts[0].busyUntilMs = 0;
    CHECK_EQUAL(std::size_t{0}, *chooseAdviceHost(hosts, 500, {}, nowMs));
    hosts[2].busyUntilMs = nowMs + 300;
    CHECK(!adviceRoom(hosts, {true}, nowMs).takesLong); // The fastest third is for short calls.
    CHECK(adviceRoom(hosts, {true}, nowMs).takesShort && adviceRoom(hosts, {}, nowMs).takesLong);
}

/** A third of the hosts was kept for short calls that need far fewer, while steps waited seconds for long ones. */
TEST_CASE(AdviceBudget, ShortCallsKeepAsManyHostsAsTheyNeed)
{
    std::vector<AdviceHost> hosts(30);
    std::fill(hosts.begin() + 10, hosts.end(), AdviceHost{nowMs + 300, 60, 1, 0});
    ShortAdviceCalls calls{true};
    CHECK(adviceRoom(hosts, calls, nowMs).takesLong);
    std::fill(hosts.begin() + 3, hosts.begin() + 10, hosts.back());
    CHECK(adviceRoom(hosts, calls, nowMs).takesLong);
    for (std::uint64_t ms = 0; ms < 8000; ms += 10) {
        recordShortAdviceCall(calls, 10, nowMs - 8000 + ms); // They keep one host busy.
    }
    CHECK(!adviceRoom(hosts, calls, nowMs).takesLong);
    CHECK(adviceRoom(hosts, calls, nowMs + 60000).takesLong);
}
