#include "upstream/upstreamstate.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;
}

TEST_CASE(Life, WithoutItsClockNoLeaseIsGranted)
{
    upstream::UpstreamState upstreamState;
    CHECK_EQUAL(std::uint64_t{0}, upstream::grantLease(upstreamState, {5000, 2, 100}, 1000));
    CHECK_EQUAL(std::uint64_t{0}, upstreamState.lapseBoundMs);
}

/** The bound covers the slowest clock allowed, wherever between call and reply the upstream read it. */
TEST_CASE(Life, TheBoundCoversASlowClock)
{
    upstream::UpstreamState upstreamState;
    upstream::recordClock(upstreamState, 700000, 1000);
    const std::uint64_t until = upstream::grantLease(upstreamState, {5000, 2, 100}, 3000);
    CHECK_EQUAL(std::uint64_t{707000}, until);
    const double slowestMs = 1000 + 7000 / 0.98;
    CHECK(static_cast<double>(upstreamState.lapseBoundMs) >= slowestMs);
    CHECK(static_cast<double>(upstreamState.lapseBoundMs) < slowestMs + 200);
}

TEST_CASE(Life, ALaterGrantNeverShortensTheBound)
{
    upstream::UpstreamState upstreamState;
    upstream::recordClock(upstreamState, 700000, 1000);
    upstream::grantLease(upstreamState, {9000, 2, 100}, 1000);
    const std::uint64_t bound = upstreamState.lapseBoundMs;
    upstream::grantLease(upstreamState, {2000, 2, 100}, 1500);
    CHECK_EQUAL(bound, upstreamState.lapseBoundMs);
}

TEST_CASE(Life, RemovingARunFreesItsCapacity)
{
    upstream::UpstreamState upstreamState;
    upstreamState.capacity = {8000, 4000, 1, 0};
    upstream::Run run;
    run.task = {1, 0, 0, 0};
    run.need = {3000, 1000, 1, 0};
    upstream::addRun(upstreamState, run);
    CHECK(upstream::freeCapacity(upstreamState) == (model::Resources{5000, 3000, 0, 0}));
    upstream::removeRun(upstreamState, {1, 0, 0, 1});
    upstream::removeRun(upstreamState, {1, 0, 0, 0});
    CHECK(upstream::freeCapacity(upstreamState) == upstreamState.capacity);
}
