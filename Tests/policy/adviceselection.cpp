#include "policy/adviceselection.h"
#include "testing.h"

#include <algorithm>
#include <vector>

namespace
{
using namespace rosemaryturn::policy;

AdviceCandidate unknown(std::uint32_t upstream, std::uint32_t fitsNow)
{
    return {upstream, AdviceKnowledge::Unknown, false, fitsNow};
}

AdviceCandidate allowed(std::uint32_t upstream, std::uint32_t fitsNow, bool valid)
{
    return {upstream, valid ? AdviceKnowledge::Valid : AdviceKnowledge::Expired, false, fitsNow};
}
}

/** A wide gang on a busy fleet: the upstreams that it may use have filled up, others have capacity. It waited for its own ones, as they would hold it if idle.
 */
TEST_CASE(AdviceSelection, FullAllowedUpstreamsDoNotHoldUpAWideGang)
{
    std::vector<AdviceCandidate> candidates;
    for (std::uint32_t i = 0; i < 30; ++i) {
        candidates.push_back(allowed(i, 0, true));
    }
    for (std::uint32_t i = 30; i < 540; ++i) {
        candidates.push_back(unknown(i, i % 2));
    }
    const std::vector<std::uint32_t> named = upstreamsToAskFor({20, true, 0.3, 0, 100}, candidates);
    CHECK_EQUAL(std::size_t{100}, named.size());
    CHECK(std::all_of(named.begin(), named.end(), [](std::uint32_t upstream) {
        return upstream >= 30 && upstream % 2 == 1;
    }));
}

TEST_CASE(AdviceSelection, ExpiredTicketsAreRenewedBeforeOthersAreAskedFor)
{
    const std::vector<AdviceCandidate> candidates{unknown(1, 9), allowed(2, 3, false), allowed(3, 4, false), unknown(4, 9), allowed(5, 0, false)};
    CHECK(upstreamsToAskFor({4, true, 0.5, 0, 100}, candidates) == (std::vector<std::uint32_t>{3, 2}));
}

TEST_CASE(AdviceSelection, NothingIsAskedWhileValidTicketsOrPendingRequestsSuffice)
{
    std::vector<AdviceCandidate> candidates{allowed(1, 3, true), unknown(2, 9), unknown(3, 9)};
    CHECK(upstreamsToAskFor({2, true, 0.5, 0, 100}, candidates).empty());
    candidates[0].fitsNow = 0;
    candidates[1].pending = true;
    CHECK(upstreamsToAskFor({2, true, 0.5, 0, 100}, candidates).empty());
    CHECK(upstreamsToAskFor({6, true, 0.5, 0, 100}, candidates) == (std::vector<std::uint32_t>{3}));
}

/** Many small steps on a busy fleet: a single task waited for seconds for one of its few allowed upstreams, while others had room for hundreds. */
TEST_CASE(AdviceSelection, FullAllowedUpstreamsDoNotHoldUpASmallStep)
{
    std::vector<AdviceCandidate> candidates;
    for (std::uint32_t i = 0; i < 26; ++i) {
        candidates.push_back(allowed(i, 0, true));
    }
    candidates.push_back(unknown(26, 0));
    for (std::uint32_t i = 27; i < 40; ++i) {
        candidates.push_back(unknown(i, 1));
    }
    CHECK(upstreamsToAskFor({1, false, 0.3, 0, 100}, candidates) == (std::vector<std::uint32_t>{27, 28, 29, 30, 31}));
    candidates[3].fitsNow = 2;
    CHECK(upstreamsToAskFor({1, false, 0.3, 0, 100}, candidates).empty());
}

/** Small fleets: the fixed part of a request's time outweighs that of an upstream, so that requests of a few upstreams each cost a gang its objective. */
TEST_CASE(AdviceSelection, ARequestNamesFurtherUpstreamsWhereTheyAddLittleTime)
{
    const std::vector<AdviceCandidate> candidates{unknown(1, 0), unknown(2, 3), unknown(3, 1), allowed(4, 1, false), allowed(5, 0, false)};
    CHECK(upstreamsToAskFor({1, true, 0.5, 3, 100}, candidates) == (std::vector<std::uint32_t>{4, 2, 3}));
    CHECK(upstreamsToAskFor({1, true, 0.5, 4, 100}, candidates) == (std::vector<std::uint32_t>{4, 2, 3, 5}));
    CHECK(upstreamsToAskFor({1, true, 0.5, 9, 3}, candidates) == (std::vector<std::uint32_t>{4, 2, 3}));
}

/** Part of a step that isn't a gang starts on less room than all of it needs. */
TEST_CASE(AdviceSelection, AStepStartsInPartsWhereAGangWaits)
{
    const std::vector<AdviceCandidate> candidates{allowed(1, 2, false), allowed(2, 0, false)};
    CHECK(upstreamsToAskFor({8, true, 0.5, 0, 100}, candidates).empty());
    CHECK(upstreamsToAskFor({8, false, 0.5, 0, 100}, candidates) == (std::vector<std::uint32_t>{1}));
}

/** A full fleet: no answer could let the gang start, so the advice service isn't asked. */
TEST_CASE(AdviceSelection, NothingIsAskedWhileTheGangFitsNowhere)
{
    const std::vector<AdviceCandidate> candidates{allowed(1, 2, false), unknown(2, 4), unknown(3, 4)};
    CHECK(upstreamsToAskFor({11, true, 0.5, 0, 100}, candidates).empty());
    CHECK(!upstreamsToAskFor({10, true, 0.5, 0, 100}, candidates).empty());
}

/** Most upstreams have been denied, and few are unknown. A gang that would fit on these was never asked for, since the expected share of them is less than its
 * width; on an idle fleet it waited for good. */
TEST_CASE(AdviceSelection, AGangAsksForTheLastUnknownUpstreams)
{
    CHECK(upstreamsToAskFor({1, true, 0.164, 0, 100}, std::vector<AdviceCandidate>{unknown(5, 1), unknown(6, 1)}) == (std::vector<std::uint32_t>{5, 6}));
    CHECK(upstreamsToAskFor({4, true, 0.1, 0, 100}, std::vector<AdviceCandidate>{allowed(1, 2, true), unknown(5, 2)}) == (std::vector<std::uint32_t>{5}));
}

/** Busy hosts: requests named allowed upstreams without room, whose tickets lapsed, and gangs asked for ever more upstreams that had too few places by far. */
TEST_CASE(AdviceSelection, ScarceRequestsAreMadeOnlyIfTheyAreExpectedToHelp)
{
    std::vector<AdviceCandidate> candidates{allowed(1, 1, false), allowed(2, 0, false), unknown(3, 0), unknown(4, 3)};
    CHECK(upstreamsToAskFor({2, false, 0.5, 4, 100, true}, candidates) == (std::vector<std::uint32_t>{1, 4, 3}));
    CHECK(!upstreamsToAskFor({3, true, 0.34, 0, 100, true}, candidates).empty()); // It knows too few upstreams to wait for.
    CHECK(!upstreamsToAskFor({2, true, 0.34, 0, 100, true}, candidates).empty());
    CHECK(upstreamsToAskFor({2, true, 0.1, 0, 100, true}, candidates).empty());
    CHECK(!upstreamsToAskFor({2, true, 0.1, 0, 100, false}, candidates).empty());
}

/** Busy hosts: requests named the least, and steps repeated them at their fixed cost once other steps had taken the room. */
TEST_CASE(AdviceSelection, AScarceRequestNamesMoreThanItNeeds)
{
    const std::vector<AdviceCandidate> candidates(40, unknown(1, 1));
    CHECK_EQUAL(std::size_t{6}, upstreamsToAskFor({2, false, 0.5, 0, 100, false, 30}, candidates).size());
    CHECK_EQUAL(std::size_t{24}, upstreamsToAskFor({2, false, 0.5, 0, 100, true, 30}, candidates).size());
    CHECK_EQUAL(std::size_t{10}, upstreamsToAskFor({2, false, 0.5, 0, 100, true, 10}, candidates).size());
    CHECK_EQUAL(std::size_t{6}, upstreamsToAskFor({2, false, 0.5, 0, 100, true, 0}, candidates).size());
}
