#include "policy/crashisolation.h"
#include "testing.h"

using namespace rosemaryturn::policy;

/** Isolating every task of a crashed upstream would hold up most of its work; isolating none lets one task crash upstream after upstream under other work. */
TEST_CASE(CrashIsolation, GrowsWithTheNumberOfCrashes)
{
    CHECK(isolationFor(0) == Isolation::None);
    CHECK(isolationFor(1) == Isolation::Separate);
    CHECK(isolationFor(2) == Isolation::Exclusive);
    CHECK(isolationFor(9) == Isolation::Exclusive);
}

/** Tried one at a time, the tasks of a wide step that had lost two upstreams by chance waited for minutes. */
TEST_CASE(CrashIsolation, AQuarterOfTheSuspectsOfAStepIsTriedFirst)
{
    CHECK_EQUAL(std::size_t{0}, trialsAllowed(0, 0, 0));
    CHECK_EQUAL(std::size_t{1}, trialsAllowed(1, 0, 0));
    CHECK_EQUAL(std::size_t{0}, trialsAllowed(3, 1, 0));
    CHECK_EQUAL(std::size_t{2}, trialsAllowed(8, 0, 0));
    CHECK_EQUAL(std::size_t{20}, trialsAllowed(80, 0, 0));
    CHECK_EQUAL(std::size_t{0}, trialsAllowed(60, 20, 0));
    CHECK_EQUAL(std::size_t{10}, trialsAllowed(70, 10, 0));
    CHECK_EQUAL(std::size_t{40}, trialsAllowed(40, 0, 40));
    CHECK_EQUAL(std::size_t{20}, trialsAllowed(60, 0, 20));
}
