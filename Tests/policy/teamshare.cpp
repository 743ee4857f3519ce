#include "policy/teamshare.h"

#include "testing.h"

#include <cstdint>

namespace
{
using namespace rosemaryturn;
using policy::dominantShare;
using policy::fitsLimit;
using policy::tasksWithinLimit;
}

/** A limit is reached, never exceeded; a resource without a limit doesn't count. */
TEST_CASE(TeamShare, AnAmountFitsUpToTheLimit)
{
    CHECK(fitsLimit({3000, 0, 0, 0}, {1000, 500, 1, 0}, {4000, 0, 0, 0}));
    CHECK(!fitsLimit({3001, 0, 0, 0}, {1000, 0, 0, 0}, {4000, 0, 0, 0}));
    CHECK(!fitsLimit({0, 90, 0, 0}, {0, 11, 0, 0}, {0, 100, 0, 0}));
    CHECK(!fitsLimit({0, 0, 2, 0}, {0, 0, 1, 0}, {0, 0, 2, 0}));
    CHECK(!fitsLimit({UINT64_MAX - 1, 0, 0, 0}, {2, 0, 0, 0}, {UINT64_MAX, 0, 0, 0}));
}

TEST_CASE(TeamShare, CountsTheTasksWithinTheLimit)
{
    CHECK_EQUAL(SIZE_MAX, tasksWithinLimit({9000, 9000, 0, 0}, {1000, 100, 0, 0}, {}));
    CHECK_EQUAL(std::size_t{2}, tasksWithinLimit({1000, 0, 0, 0}, {1000, 100, 0, 0}, {3999, 0, 0, 0}));
    CHECK_EQUAL(std::size_t{1}, tasksWithinLimit({0, 0, 0, 0}, {1000, 100, 0, 0}, {4000, 199, 0, 0}));
    CHECK_EQUAL(SIZE_MAX, tasksWithinLimit({0, 0, 0, 0}, {0, 100, 0, 0}, {4000, 0, 0, 0}));
}

/** A team that is above a reduced limit of one resource starts nothing, also nothing that doesn't use the resource. */
TEST_CASE(TeamShare, NothingFitsAboveAReducedLimit)
{
    CHECK_EQUAL(std::size_t{0}, tasksWithinLimit({2000, 500, 0, 0}, {1000, 0, 0, 0}, {0, 400, 0, 0}));
    CHECK(!fitsLimit({2000, 500, 0, 0}, {1000, 0, 0, 0}, {0, 400, 0, 0}));
}

TEST_CASE(TeamShare, TheDominantShareIsThatOfTheScarcestResource)
{
    CHECK_EQUAL(0.5, dominantShare({1000, 500, 0, 0}, {4000, 1000, 0, 0}));
    CHECK_EQUAL(0.0, dominantShare({0, 0, 3, 0}, {4000, 1000, 0, 0}));
}
