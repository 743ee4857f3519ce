#include "policy/teamshare.h"

#include "testing.h"

#include <cmath>
#include <cstdint>
#include <vector>

namespace
{
using namespace rosemaryturn;
using policy::dominantShare;
using policy::fairLevel;
using policy::fitsLimit;
using policy::shareLimit;
using policy::tasksWithinLimit;
using policy::TeamDemand;
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

/** The capacity is divided by weight; what a team doesn't want goes to the others. */
TEST_CASE(TeamShare, TheLevelDividesTheCapacityByWeight)
{
    const std::vector<TeamDemand> teams = {{1, 0.5, 0.5, 0.01}, {2, 0.3, 0.5, 0.01}, {1, 0.1, 0, 0}};
    const double level = fairLevel(teams, 0.9); // 0.9 in all: 0.1 for the last team, 0.8 for weights of 3.
    CHECK(std::abs(level - 0.8 / 3) < 1e-9);
    CHECK(teams[0].used > shareLimit(teams[0], level));
    CHECK(teams[1].used <= shareLimit(teams[1], level));
    CHECK(teams[2].used <= shareLimit(teams[2], level));
}

TEST_CASE(TeamShare, NobodyIsOverItsShareWhileAllGetWhatTheyWant)
{
    const std::vector<TeamDemand> teams = {{1, 0.9, 0, 0}, {1, 0.01, 0, 0}};
    CHECK(std::isinf(fairLevel(teams, 1)));
    CHECK(teams[0].used <= shareLimit(teams[0], fairLevel(teams, 1)));
    CHECK(std::isinf(fairLevel(std::vector<TeamDemand>{}, 0)));
}

/** A small team sends a job at a time: with one beside its share it isn't over it. */
TEST_CASE(TeamShare, ATeamMayHaveOneJobBesideItsShare)
{
    CHECK(std::abs(shareLimit({1, 0, 1, 0.002}, 0.05) - 0.066) < 1e-9);
    CHECK(std::abs(shareLimit({2, 0, 1, 0.03}, 0.05) - 0.13) < 1e-9);
}
