#include "control/configstate.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;
using control::ConfigState;
using model::Reason;

wire::ConfigChangeT change(const std::string &requestId, std::uint64_t expected, const std::string &document = R"({"teams":[]})")
{
    wire::ConfigChangeT result;
    result.requestId = requestId;
    result.environment = "production";
    result.expectedRevision = expected;
    result.document = document;
    return result;
}

control::ChangeOutcome prepareAndApply(ConfigState &state, wire::ConfigChangeT request)
{
    std::string detail;
    const auto refused = control::prepare(state, request, detail);
    return refused ? *refused : control::apply(state, request);
}
}

TEST_CASE(ConfigState, OneOfTwoRacingOperatorsWins)
{
    ConfigState state;
    // Both changes were prepared against revision 0 before one of them was applied.
    const control::ChangeOutcome first = control::apply(state, change("a", 0));
    const control::ChangeOutcome second = control::apply(state, change("b", 0, R"({"services":[]})"));
    CHECK(first.error == Reason::None);
    CHECK(second.error == Reason::RevisionConflict);
    CHECK_EQUAL(std::uint64_t{1}, second.revision);
}

TEST_CASE(ConfigState, ResendGetsTheFirstOutcome)
{
    ConfigState state;
    prepareAndApply(state, change("a", 0));
    prepareAndApply(state, change("b", 1));
    const control::ChangeOutcome again = prepareAndApply(state, change("a", 0));
    CHECK(again.error == Reason::None);
    CHECK_EQUAL(std::uint64_t{1}, again.revision);
    CHECK_EQUAL(std::uint64_t{2}, control::inForce(state, "production")->revision);
    prepareAndApply(state, change("c", 0));
    CHECK(prepareAndApply(state, change("c", 0)).error == Reason::RevisionConflict);
    CHECK(prepareAndApply(state, change("a", 2)).error == Reason::RequestIdReused);
}

TEST_CASE(ConfigState, PromotesTheIdenticalDocument)
{
    ConfigState state;
    wire::ConfigChangeT trial = change("t", 0);
    trial.environment = "trial";
    prepareAndApply(state, trial);
    wire::ConfigChangeT promotion = change("p", 0, "");
    promotion.promoteFrom = "trial";
    promotion.digest = "wrong";
    CHECK(prepareAndApply(state, promotion).error == Reason::NothingToPromote);
    promotion.digest = control::inForce(state, "trial")->digest;
    CHECK(prepareAndApply(state, promotion).error == Reason::None);
    CHECK_EQUAL(control::inForce(state, "trial")->text, control::inForce(state, "production")->text);
    trial.requestId = "t2";
    trial.expectedRevision = 1;
    trial.document = R"({"services":[]})";
    prepareAndApply(state, trial);
    CHECK(prepareAndApply(state, promotion).error == Reason::None);
}

TEST_CASE(ConfigState, RollsBackAsANewRevision)
{
    ConfigState state;
    prepareAndApply(state, change("a", 0, R"({"teams":[{"name":"x"}]})"));
    prepareAndApply(state, change("b", 1));
    wire::ConfigChangeT back = change("c", 2, "");
    back.rollbackTo = 1;
    CHECK_EQUAL(std::uint64_t{3}, prepareAndApply(state, back).revision);
    CHECK_EQUAL(std::size_t{1}, state.environments.at("production").document.teams.size());
    back.requestId = "d";
    back.expectedRevision = 3;
    back.rollbackTo = 77;
    CHECK(prepareAndApply(state, back).error == Reason::UnknownRevision);
}

TEST_CASE(ConfigState, RefusesAnInvalidDocumentAndLosesNothing)
{
    ConfigState state;
    prepareAndApply(state, change("a", 0));
    std::string detail;
    wire::ConfigChangeT bad = change("b", 1, R"({"teams":[{"name":""}]})");
    const auto outcome = control::prepare(state, bad, detail);
    CHECK(outcome && outcome->error == Reason::InvalidDocument);
    CHECK(detail.find("/teams/0/name") != std::string::npos);
    CHECK_EQUAL(std::uint64_t{1}, control::inForce(state, "production")->revision);
}

TEST_CASE(ConfigState, LateVerdictDoesNotOverrideANewerOne)
{
    ConfigState state;
    wire::VerdictChangeT verdict;
    verdict.worker = "w";
    verdict.sequence = 5;
    verdict.down = true;
    CHECK(control::apply(state, verdict) == Reason::None);
    CHECK(control::apply(state, verdict) == Reason::None);
    verdict.sequence = 4;
    verdict.down = false;
    CHECK(control::apply(state, verdict) == Reason::VerdictOutdated);
    CHECK(control::isDown(state, "w"));
    verdict.sequence = 5;
    CHECK(control::apply(state, verdict) == Reason::VerdictOutdated);
    verdict.sequence = 6;
    CHECK(control::apply(state, verdict) == Reason::None);
    CHECK(!control::isDown(state, "w"));
}

TEST_CASE(ConfigState, SnapshotGivesTheSameStateAfterAThousandChanges)
{
    ConfigState state;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        CHECK(prepareAndApply(state, change("r" + std::to_string(i), i, R"({"teams":[{"name":"t)" + std::to_string(i) + R"("}]})")).error == Reason::None);
    }
    const wire::Bytes image = control::encodeImage(state);
    ConfigState again = control::decodeConfigImage(image, {}).value();
    CHECK((control::encodeImage(again) == image));
    CHECK_EQUAL(std::uint64_t{1000}, control::inForce(again, "production")->revision);
    CHECK_TEXT("t999", again.environments.at("production").document.teams.at(0).name);
    CHECK_EQUAL(std::uint64_t{1}, prepareAndApply(again, change("r0", 0, R"({"teams":[{"name":"t0"}]})")).revision);
}
