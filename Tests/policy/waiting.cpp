#include "policy/gangreservation.h"
#include "policy/upstreamplacement.h"
#include "policy/waitingorder.h"
#include "testing.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <vector>

namespace
{
using namespace rosemaryturn::policy;

WaitingKey key(std::uint32_t priority, std::int64_t releaseMs, std::int64_t objectiveMs, std::int64_t remainingMs, std::uint64_t number)
{
    return {priority, releaseMs, objectiveMs, remainingMs, number};
}

std::vector<std::uint64_t> orderAt(std::vector<WaitingKey> keys, std::int64_t nowMs)
{
    std::sort(keys.begin(), keys.end(), [nowMs](const WaitingKey &a, const WaitingKey &b) {
        return waitingRank(a, nowMs) < waitingRank(b, nowMs);
    });
    std::vector<std::uint64_t> numbers;
    numbers.reserve(keys.size());
    for (const WaitingKey &entry : keys) {
        numbers.push_back(entry.number);
    }
    return numbers;
}

UpstreamCandidate candidate(std::uint32_t upstream, std::uint64_t cpuMillis, const char *rack = "r1")
{
    UpstreamCandidate entry;
    entry.upstream = upstream;
    entry.free = {cpuMillis, 64000, 0, 0};
    entry.rack = rack;
    return entry;
}
}

/** After a power failure, backlogged jobs past three times their objective ranked ahead of jobs that could still be in time. */
TEST_CASE(WaitingOrder, TooLateBacklogRanksLast)
{
    const std::vector<WaitingKey> backlog{key(0, 0, 1000, 500, 1), key(2, 9000, 15000, 3000, 2), key(0, 9500, 1000, 400, 3)};
    CHECK(orderAt(backlog, 10000) == (std::vector<std::uint64_t>{3, 2, 1}));
}

/** Burst on one queue: late steps rank behind those that can still be in time, which are ordered by latest start time. */
TEST_CASE(WaitingOrder, InTimeStepsPrecedeLateOnesInABurst)
{
    const std::vector<WaitingKey> burst{key(1, 0, 8000, 4000, 1), key(1, 3000, 8000, 4000, 2), key(1, 4000, 8000, 4000, 3)};
    CHECK(orderAt(burst, 5000) == (std::vector<std::uint64_t>{2, 3, 1}));
    CHECK(timelinessOf(burst[0], 5000) == Timeliness::Late);
    CHECK(timelinessOf(burst[0], 21000) == Timeliness::TooLate);
}

/** In a burst of wide gangs, those past three times their objective took a third of the capacity, and newer ones missed their objectives. */
TEST_CASE(WaitingOrder, TooLateStepsWaitForSpareCapacity)
{
    const rosemaryturn::model::Resources total{1000, 1000, 0, 0};
    const rosemaryturn::model::Resources need{10, 10, 0, 0};
    CHECK(hasSpareCapacity(need, {600, 400, 0, 0}, total));
    CHECK(!hasSpareCapacity(need, {601, 0, 0, 0}, total));
    CHECK(!hasSpareCapacity(need, {0, 700, 0, 0}, total));
}

/** A step that was too late waited for accelerators that it didn't need. */
TEST_CASE(WaitingOrder, TooLateStepsWaitOnlyForTheResourcesThatTheyNeed)
{
    const rosemaryturn::model::Resources total{1000, 1000, 10, 0};
    CHECK(hasSpareCapacity({10, 10, 0, 0}, {100, 100, 10, 0}, total));
    CHECK(!hasSpareCapacity({10, 10, 1, 0}, {100, 100, 10, 0}, total));
    CHECK(hasSpareCapacity({10, 0, 0, 0}, {100, 1000, 0, 0}, total));
    CHECK(!hasSpareCapacity({10, 0, 0, 0}, {1000, 100, 0, 0}, total));
}

TEST_CASE(WaitingOrder, TheMoreUrgentQueueRanksFirst)
{
    const std::vector<WaitingKey> queues{key(2, 0, 20000, 1000, 1), key(0, 900, 2000, 500, 2), key(1, 500, 9000, 1000, 3)};
    CHECK(orderAt(queues, 1000) == (std::vector<std::uint64_t>{2, 3, 1}));
}

/** Small tasks take the tightest fit, so that large upstreams keep capacity for tasks that need nine cores. */
TEST_CASE(Spread, SmallTasksTakeTheTightestFit)
{
    std::vector<UpstreamCandidate> free{candidate(1, 32000), candidate(2, 5000), candidate(3, 12000)};
    CHECK(placeStep({{2000, 100, 0, 0}, 3, 0, false}, free) == (std::vector<std::uint32_t>{2, 2, 3}));
}

TEST_CASE(Spread, LimitsTasksPerUpstreamIncludingRunningOnes)
{
    std::vector<UpstreamCandidate> free{candidate(1, 32000), candidate(2, 32000)};
    free[0].runningTasks = 1;
    CHECK(placeStep({{1000, 100, 0, 0}, 5, 2, false}, free) == (std::vector<std::uint32_t>{1, 2, 2}));
}

TEST_CASE(Spread, PrefersTheRackOfTheData)
{
    std::vector<UpstreamCandidate> free{candidate(1, 4000), candidate(2, 32000)};
    free[0].dataLocal = false;
    CHECK(placeStep({{4000, 100, 0, 0}, 2, 0, false}, free) == (std::vector<std::uint32_t>{2, 2}));
}

TEST_CASE(Spread, PlacesASameRackGangInTheTightestRack)
{
    std::vector<UpstreamCandidate> free{candidate(1, 8000, "a"), candidate(2, 8000, "b"), candidate(3, 8000, "b"), candidate(4, 32000, "c")};
    const auto chosen = placeStep({{4000, 100, 0, 0}, 4, 0, true}, free);
    CHECK(chosen == (std::vector<std::uint32_t>{2, 2, 3, 3}));
}

TEST_CASE(Spread, SkipsUpstreamsWithoutMemory)
{
    std::vector<UpstreamCandidate> free{candidate(1, 32000)};
    free[0].free.memoryMb = 25000;
    CHECK_EQUAL(std::size_t{1}, placeStep({{1000, 13000, 0, 0}, 4, 0, false}, free).size());
}

/** With four fifths of the capacity used by small tasks, a gang of eight waited tens of seconds because each gap was filled again. */
TEST_CASE(GangReservation, ReservesTheUpstreamsThatAreFreeSoonest)
{
    const std::vector<ReservationCandidate> candidates{{1, 0, 3}, {2, 3, 3}, {3, 2, 3}, {4, 1, 3}};
    CHECK(reserveForGang(candidates, 8) == (std::vector<std::uint32_t>{2, 3, 4}));
}

TEST_CASE(GangReservation, ReservesNothingForAGangThatNeverFits)
{
    const std::vector<ReservationCandidate> candidates{{1, 1, 3}, {2, 0, 3}};
    CHECK(reserveForGang(candidates, 7).empty());
}

namespace
{
/** Reference implementation: searches all upstreams for the best one, for each task. */
std::vector<std::uint32_t> placeStepByDefinition(const StepDemand &need, std::vector<UpstreamCandidate> candidates)
{
    std::vector<std::uint32_t> chosen;
    const auto rank = [&need](const UpstreamCandidate &entry) {
        return std::tuple(!entry.dataLocal, entry.penalty, entry.free.cpuMillis - need.task.cpuMillis, entry.upstream);
    };
    while (chosen.size() < need.count) {
        UpstreamCandidate *best = nullptr;
        for (UpstreamCandidate &entry : candidates) {
            if (taskCapacity(need, entry) > 0 && (best == nullptr || rank(entry) < rank(*best))) {
                best = &entry;
            }
        }
        if (best == nullptr) {
            break;
        }
        best->free = best->free - need.task;
        ++best->runningTasks;
        chosen.push_back(best->upstream);
    }
    return chosen;
}
}

/** For wide gangs on hundreds of upstreams, filling the sorted upstreams in order chooses the same ones as a search per task, in a fraction of the time. */
TEST_CASE(Spread, FillingInOrderMatchesASearchPerTask)
{
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same cases in each run.
    for (int round = 0; round < 300; ++round) {
        StepDemand need;
        need.task = {500 + random() % 9000, 500 + random() % 30000, 0, 0};
        need.count = 1 + random() % 60;
        need.maxPerUpstream = random() % 4;
        std::vector<UpstreamCandidate> candidates;
        for (std::uint32_t number = 1; number <= 40; ++number) {
            UpstreamCandidate entry = candidate(number, random() % 32000);
            entry.free.memoryMb = random() % 128000;
            entry.runningTasks = random() % 3;
            entry.dataLocal = random() % 3 != 0;
            entry.penalty = random() % 4 == 0 ? 1 : 0;
            candidates.push_back(entry);
        }
        const std::vector<std::uint32_t> expected = placeStepByDefinition(need, candidates);
        CHECK(totalTaskCapacity(need, candidates) == expected.size());
        CHECK(placeStep(need, candidates) == expected);
    }
}
