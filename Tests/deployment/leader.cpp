#include "deployment/leadertesting.h"
#include "fakes/fleet.h"

namespace
{
using namespace rosemaryturn;
using namespace rosemaryturn::deployment;
using fakes::makeStep;

constexpr std::uint64_t term = 10;
constexpr std::uint64_t born = 1700000050000;

/** Registers an upstream and answers its first poll. */
void addUpstream(LeaderTest &test, const std::string &id)
{
    deliverHeartbeat(test, id, born, "a-" + id);
    pass(test, 20);
    answerPoll(test, takeCall(test, CallKind::Poll, id), born);
}

/** @return a leader with the given upstreams. */
LeaderTest makeLeader(const std::vector<std::string> &ids)
{
    LeaderTest test;
    beginLeading(test, term);
    for (const std::string &id : ids) {
        addUpstream(test, id);
    }
    return test;
}

/** @return a step whose tasks run on different upstreams. */
wire::StepSpecT makeSpreadStep(std::uint32_t count)
{
    wire::StepSpecT step = makeStep(count, 1000, 500);
    step.mostPerUpstream = 1;
    return step;
}
}

/** Guards against schedule of combined faults 600084: the start of a gang's member was sent again, and an upstream that had started anew took it, after the
 * gang had ended as done on another upstream whose lists hadn't arrived yet. */
TEST_CASE(Leader, AnUnansweredStartOfAGangMemberIsSentAgainOnlyAfterAListWithoutIt)
{
    LeaderTest test = makeLeader({"u0", "u1"});
    wire::StepSpecT gang = makeSpreadStep(2);
    gang.gang = true;
    submitJob(test, gang);
    pass(test, 40);
    answer(test, takeCall(test, CallKind::Start, "u0"), CallStatus::Done);
    const UpstreamCall first = takeCall(test, CallKind::Start, "u1");
    CHECK(first.id != 0);
    answer(test, first, CallStatus::NoAnswer);
    pass(test, 400);
    CHECK_EQUAL(std::uint64_t{0}, takeCall(test, CallKind::Start, "u1").id);

    const UpstreamCall poll = takeCall(test, CallKind::Poll, "u1");
    CHECK(poll.id != 0);
    answerPoll(test, poll, born);
    pass(test, 40);
    const UpstreamCall second = takeCall(test, CallKind::Start, "u1");
    CHECK(second.id != 0);
    CHECK_EQUAL(first.run, second.run);
}
