#include "policy/admission.h"
#include "policy/estimate.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "policy/spill.h"
#include "policy/workerplacement.h"
#include "testing.h"

#include <map>

namespace
{
using namespace rosemaryturn;
using model::Resources;

policy::WorkerPool poolOf(std::initializer_list<Resources> offers)
{
    policy::WorkerPool pool;
    for (const Resources &offer : offers) {
        const auto index = policy::upsertWorker(pool, "w" + std::to_string(pool.workers.size()), "rack" + std::to_string(pool.workers.size() % 2), offer);
        policy::setEligible(pool, index, true);
    }
    return pool;
}

policy::PlacementQuery queryFor(const Resources &need, policy::PlacementPolicy placement = policy::PlacementPolicy::Pack)
{
    policy::PlacementQuery query;
    query.need = need;
    query.policy = placement;
    return query;
}
}

TEST_CASE(Placement, PacksTheFullestWorkerThatFitsIt)
{
    auto pool = poolOf({{4000, 4000, 0, 8}, {4000, 4000, 0, 8}});
    policy::allocate(pool, 1, {2000, 2000, 0, 1});
    CHECK_EQUAL(1U, *policy::chooseWorker(pool, queryFor({1000, 1000, 0, 1})));
    CHECK_EQUAL(0U, *policy::chooseWorker(pool, queryFor({3000, 1000, 0, 1})));
}

TEST_CASE(Placement, ChecksEveryResource)
{
    const Resources needs[] = {{5000, 1, 0, 1}, {1, 5000, 0, 1}, {1, 1, 1, 1}, {1, 1, 0, 9}};
    for (const Resources &need : needs) {
        auto pool = poolOf({{4000, 4000, 0, 8}});
        CHECK(!policy::chooseWorker(pool, queryFor(need)));
        CHECK(!policy::couldEverFit(pool, need));
    }
}

TEST_CASE(Placement, KeepsPlainWorkOffAcceleratedWorkers)
{
    auto pool = poolOf({{4000, 4000, 2, 8}, {4000, 4000, 0, 8}});
    CHECK_EQUAL(1U, *policy::chooseWorker(pool, queryFor({1000, 1000, 0, 1})));
    CHECK_EQUAL(0U, *policy::chooseWorker(pool, queryFor({1000, 1000, 1, 1})));
    policy::setEligible(pool, 1, false);
    CHECK_EQUAL(0U, *policy::chooseWorker(pool, queryFor({1000, 1000, 0, 1})));
}

TEST_CASE(Placement, SpreadsOverRacksFirst)
{
    auto pool = poolOf({{4000, 4000, 0, 8}, {4000, 4000, 0, 8}, {4000, 4000, 0, 8}, {4000, 4000, 0, 8}});
    std::map<std::string, int> racks;
    auto query = queryFor({100, 100, 0, 1}, policy::PlacementPolicy::Spread);
    query.spreadCost = [&racks](const policy::PooledWorker &worker) {
        return static_cast<std::uint64_t>(racks[worker.rack]);
    };
    for (int i = 0; i < 4; ++i) {
        const auto worker = policy::chooseWorker(pool, query);
        ++racks[pool.workers[*worker].rack];
    }
    CHECK_EQUAL(2, racks["rack0"]);
    CHECK_EQUAL(2, racks["rack1"]);
}

TEST_CASE(Placement, GangIsAllOrNothing)
{
    auto pool = poolOf({{4000, 4000, 0, 8}, {2000, 4000, 0, 8}});
    const std::vector<Resources> three(3, {2000, 100, 0, 1});
    const std::vector<Resources> four(4, {2000, 100, 0, 1});
    CHECK_EQUAL(std::size_t{3}, policy::chooseWorkers(pool, three, queryFor({})).size());
    CHECK(policy::chooseWorkers(pool, four, queryFor({})).empty());
    CHECK((pool.totalUsed == Resources{}));
}

TEST_CASE(Placement, ReservedWorkersTakeOnlyTheirOwnAndBackfill)
{
    auto pool = poolOf({{4000, 4000, 0, 8}});
    pool.workers[0].reservedFor = 7;
    CHECK(!policy::chooseWorker(pool, queryFor({1, 1, 0, 1})));
    auto own = queryFor({1, 1, 0, 1});
    own.reservation = 7;
    CHECK(policy::chooseWorker(pool, own));
    auto backfill = queryFor({1, 1, 0, 1});
    backfill.backfill = true;
    CHECK(policy::chooseWorker(pool, backfill));
}

TEST_CASE(FairQueue, ServesUrgentThenTheSmallestShare)
{
    policy::FairQueue queue;
    policy::setTotal(queue, {1000, 1000, 0, 0});
    policy::enqueue(queue, "a", "s", 1, false);
    policy::enqueue(queue, "b", "s", 2, false);
    policy::enqueue(queue, "c", "s", 3, true);
    policy::charge(queue, "a", {500, 10, 0, 1});
    policy::charge(queue, "c", {900, 10, 0, 1});
    std::vector<model::TaskId> order;
    policy::NextTask next;
    policy::beginPass(queue);
    while (policy::peek(queue, next)) {
        order.push_back(next.task.task);
        policy::take(queue, next, true);
    }
    CHECK((order == std::vector<model::TaskId>{3, 2, 1}));
    CHECK_EQUAL(std::size_t{0}, queue.queued);
}

TEST_CASE(FairQueue, ABlockedServiceDoesNotBlockOthers)
{
    policy::FairQueue queue;
    policy::setTotal(queue, {1000, 1000, 0, 0});
    policy::enqueue(queue, "a", "big", 1, false);
    policy::enqueue(queue, "a", "small", 2, false);
    policy::NextTask next;
    policy::beginPass(queue);
    CHECK(policy::peek(queue, next));
    CHECK_EQUAL(model::TaskId{1}, next.task.task);
    policy::block(queue, next);
    CHECK(policy::peek(queue, next));
    CHECK_EQUAL(model::TaskId{2}, next.task.task);
    policy::block(queue, next);
    CHECK(!policy::peek(queue, next));
    policy::beginPass(queue);
    CHECK(policy::peek(queue, next));
}

TEST_CASE(FairQueue, QuotaIsAHardCap)
{
    policy::FairQueue queue;
    policy::setTeam(queue, "a", {1000, 0, 2, 0}, 0);
    policy::charge(queue, "a", {800, 99999, 2, 1});
    CHECK(policy::withinQuota(queue, "a", {200, 99999, 0, 1}));
    CHECK(!policy::withinQuota(queue, "a", {201, 1, 0, 1}));
    CHECK(!policy::withinQuota(queue, "a", {1, 1, 1, 1}));
    policy::uncharge(queue, "a", {800, 99999, 2, 1});
    CHECK(policy::withinQuota(queue, "a", {1000, 1, 2, 1}));
}

TEST_CASE(Admission, RefusesForEachReason)
{
    struct Row
    {
        Resources need;
        std::size_t queued;
        std::size_t teamMax;
        std::uint64_t queueMs;
        double rate;
        model::Reason reason;
    };
    const Row rows[] = {
        {{1, 1, 0, 1}, 0, 0, 0, 0, model::Reason::None},
        {{9000, 1, 0, 1}, 0, 0, 0, 0, model::Reason::NeverFits},
        {{1, 1, 0, 1}, 100, 0, 0, 0, model::Reason::QueueFull},
        {{1, 1, 0, 1}, 5, 5, 0, 0, model::Reason::TeamQueueFull},
        {{1, 1, 0, 1}, 50, 0, 1000, 10, model::Reason::DeadlineTooShort},
        {{1, 1, 0, 1}, 50, 0, 6000, 10, model::Reason::None},
    };
    for (const Row &row : rows) {
        policy::FairQueue queue;
        policy::setTeam(queue, "a", {}, row.teamMax);
        for (std::size_t i = 0; i < row.queued; ++i) {
            policy::enqueue(queue, "a", "s", i, false);
        }
        const auto pool = poolOf({{4000, 4000, 0, 8}});
        policy::StartRate rate;
        rate.perSecond = row.rate;
        const policy::AdmissionResult result = policy::admit({100, 1000}, {"a", {&row.need, 1}, false, row.queueMs}, queue, pool, {}, rate);
        CHECK_EQUAL(static_cast<int>(row.reason), static_cast<int>(result.reason));
    }
}

TEST_CASE(Spill, ChargesForBilledTraffic)
{
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    constexpr std::uint64_t extraWaitPerMegabyteMs = 1024ULL * 20;
    const policy::SpillPolicy policy;
    CHECK(!policy::isWorthSpilling(policy, policy.minWaitMs - 1, 0));
    CHECK(policy::isWorthSpilling(policy, policy.minWaitMs, 0));
    CHECK(!policy::isWorthSpilling(policy, policy.minWaitMs, megabyte));
    CHECK(policy::isWorthSpilling(policy, policy.minWaitMs + extraWaitPerMegabyteMs, megabyte));
}

TEST_CASE(Retry, BackOffGrowsToItsCapWithFullJitter)
{
    const policy::RetryPolicy policy;
    std::mt19937_64 random(1);
    for (std::uint32_t attempt = 1; attempt < 60; ++attempt) {
        std::uint64_t longest = 0;
        for (int i = 0; i < 200; ++i) {
            longest = std::max(longest, policy::backoffMs(policy, attempt, random));
        }
        const std::uint64_t bound = std::min<std::uint64_t>(policy.capMs, attempt > 30 ? policy.capMs : policy.baseMs << (attempt - 1));
        CHECK(longest <= bound);
        CHECK(longest > bound / 2);
    }
}

TEST_CASE(Retry, BudgetIsAShareOfFreshWork)
{
    policy::RetryPolicy policy;
    policy.budgetShare = 0.1;
    policy::RetryBudget budget{0};
    for (int i = 0; i < 100; ++i) {
        policy::creditNewTask(budget, policy);
    }
    int retries = 0;
    while (policy::consumeRetry(budget)) {
        ++retries;
    }
    CHECK(retries == 9 || retries == 10);
}

TEST_CASE(Quarantine, TellsABadWorkerFromABadService)
{
    policy::Quarantine quarantine;
    for (int i = 0; i < 10; ++i) {
        policy::recordAttemptEnd(quarantine, "good" + std::to_string(i % 4), "s", true, 10, 0);
    }
    for (int i = 0; i < 3; ++i) {
        policy::recordAttemptEnd(quarantine, "bad", "s", false, 10, 0);
    }
    CHECK(policy::isExcluded(quarantine, "bad", 100));
    CHECK(!policy::isSlowed(quarantine, "s"));
    for (int i = 0; i < 40; ++i) {
        policy::recordAttemptEnd(quarantine, "good" + std::to_string(i % 4), "release", false, 10, 0);
    }
    CHECK(policy::isSlowed(quarantine, "release"));
    for (int i = 0; i < 4; ++i) {
        CHECK(!policy::isExcluded(quarantine, "good" + std::to_string(i), 100));
    }
}

TEST_CASE(Quarantine, IsBoundedAndProbed)
{
    policy::Quarantine quarantine;
    policy::recordAttemptEnd(quarantine, "ok", "s", true, 10, 0);
    for (int worker = 0; worker < 5; ++worker) {
        policy::recordAttemptEnd(quarantine, "ok", "s", true, 10, 0);
        for (int i = 0; i < 3; ++i) {
            policy::recordAttemptEnd(quarantine, "bad" + std::to_string(worker), "s", false, 10, 0);
        }
    }
    CHECK_EQUAL(std::size_t{2}, quarantine.quarantined);
    const std::uint64_t due = quarantine.policy.probeAfterMs;
    CHECK(policy::isProbing(quarantine, "bad0", due));
    policy::recordAttemptEnd(quarantine, "bad0", "s", false, 10, due);
    CHECK(policy::isExcluded(quarantine, "bad0", due + 2 * quarantine.policy.probeAfterMs - 1));
    policy::recordAttemptEnd(quarantine, "bad0", "s", true, 10, due);
    CHECK(!policy::isExcluded(quarantine, "bad0", due) && !policy::isProbing(quarantine, "bad0", due));
    CHECK_EQUAL(std::size_t{1}, quarantine.quarantined);
}

TEST_CASE(Estimate, ReservesTheLargerOfDeclaredAndSeen)
{
    policy::UsageEstimate estimate;
    const Resources declared{1000, 100, 0, 1};
    const Resources largest{16000, 64000, 0, 0};
    CHECK((policy::resourcesToReserve(declared, estimate, largest) == declared));
    for (int i = 0; i < 100; ++i) {
        policy::recordUsage(estimate, 500, 400);
    }
    const Resources reserved = policy::resourcesToReserve(declared, estimate, largest);
    CHECK_EQUAL(std::uint64_t{1000}, reserved.cpuMillis);
    CHECK_EQUAL(std::uint64_t{400}, reserved.memoryMb);
    CHECK_EQUAL(std::uint64_t{200}, policy::resourcesToReserve(declared, estimate, {200, 200, 0, 0}).memoryMb);
}

TEST_CASE(Estimate, CorrectsStepByStep)
{
    using policy::OveruseAction;
    const Resources declared{1000, 100, 0, 1};
    const Resources more{1000, 200, 0, 1};
    CHECK(policy::nextOveruseAction(OveruseAction::None, declared, declared, true) == OveruseAction::None);
    CHECK(policy::nextOveruseAction(OveruseAction::None, declared, more, false) == OveruseAction::None);
    CHECK(policy::nextOveruseAction(OveruseAction::None, declared, more, true) == OveruseAction::Throttle);
    CHECK(policy::nextOveruseAction(OveruseAction::Throttle, declared, more, true) == OveruseAction::Checkpoint);
    CHECK(policy::nextOveruseAction(OveruseAction::Checkpoint, declared, more, true) == OveruseAction::Stop);
    CHECK(policy::nextOveruseAction(OveruseAction::Checkpoint, declared, declared, true) == OveruseAction::None);
}
