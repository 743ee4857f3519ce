#include "upstream/upstreamstate.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;
}

TEST_CASE(Life, WithoutItsClockNoLeaseIsGranted)
{
    upstream::UpstreamState life;
    CHECK_EQUAL(std::uint64_t{0}, upstream::grantLease(life, {5000, 2, 100}, 1000));
    CHECK_EQUAL(std::uint64_t{0}, life.lapseBoundMs);
}

/** The bound holds for the slowest clock allowed, whenever between the sending and the reply the upstream read it. */
TEST_CASE(Life, TheBoundCoversASlowClock)
{
    upstream::UpstreamState life;
    upstream::recordClock(life, 700000, 1000);
    const std::uint64_t until = upstream::grantLease(life, {5000, 2, 100}, 3000);
    CHECK_EQUAL(std::uint64_t{707000}, until);
    const double slowestMs = 1000 + 7000 / 0.98;
    CHECK(static_cast<double>(life.lapseBoundMs) >= slowestMs);
    CHECK(static_cast<double>(life.lapseBoundMs) < slowestMs + 200);
}

TEST_CASE(Life, ALaterGrantNeverShortensTheBound)
{
    upstream::UpstreamState life;
    upstream::recordClock(life, 700000, 1000);
    upstream::grantLease(life, {9000, 2, 100}, 1000);
    const std::uint64_t bound = life.lapseBoundMs;
    upstream::grantLease(life, {2000, 2, 100}, 1500);
    CHECK_EQUAL(bound, life.lapseBoundMs);
}

TEST_CASE(Life, RoomComesBackWithTheRun)
{
    upstream::UpstreamState life;
    life.capacity = {8000, 4000, 1, 0};
    upstream::Run run;
    run.task = {1, 0, 0, 0};
    run.need = {3000, 1000, 1, 0};
    upstream::addRun(life, run);
    CHECK(upstream::freeCapacity(life) == (model::Resources{5000, 3000, 0, 0}));
    upstream::removeRun(life, {1, 0, 0, 1});
    upstream::removeRun(life, {1, 0, 0, 0});
    CHECK(upstream::freeCapacity(life) == life.capacity);
}
