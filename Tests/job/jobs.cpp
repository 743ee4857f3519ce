#include "job/jobs.h"
#include "job/footprint.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;

template<typename Body>
void applyChange(job::State &state, Body body)
{
    wire::RecordT record;
    record.change.Set(std::move(body));
    job::apply(state, record);
}

wire::StepSpecT makeStep(std::uint32_t count, bool gang = false)
{
    wire::StepSpecT step;
    step.count = count;
    step.gang = gang;
    return step;
}

/** Applies the next plan. @param attempts of the only queue; 0 for a plan without a queue. */
void putPlan(job::State &state, std::uint32_t attempts)
{
    wire::PlanAcceptedT plan;
    plan.version = state.plan.version + 1;
    if (attempts > 0) {
        auto queue = std::make_unique<wire::QueueSpecT>();
        queue->host = "h";
        queue->prefix = "/q/";
        queue->attempts = attempts;
        plan.queues.push_back(std::move(queue));
    }
    applyChange(state, std::move(plan));
}

/** @return a state with one queue that allows two attempts, and one job. */
job::State stateWithJob(const std::vector<wire::StepSpecT> &steps)
{
    job::State state;
    putPlan(state, 2);
    wire::JobAcceptedT accepted;
    accepted.spec = std::make_unique<wire::JobSpecT>();
    accepted.spec->id = "j";
    accepted.spec->host = "h";
    accepted.spec->prefix = "/q/";
    for (const wire::StepSpecT &step : steps) {
        accepted.spec->steps.push_back(std::make_unique<wire::StepSpecT>(step));
    }
    applyChange(state, std::move(accepted));
    return state;
}

void place(job::State &state, std::uint32_t step, std::uint32_t index, std::uint32_t run)
{
    wire::RunsPlacedT record;
    record.runs.emplace_back(1, 1, 0, step, index, run);
    applyChange(state, std::move(record));
}

void end(job::State &state, std::uint32_t step, std::uint32_t index, std::uint32_t run, wire::RunEnd runEnd, const std::string &checkpoint = "")
{
    wire::RunsEndedT record;
    auto entry = std::make_unique<wire::RunEndedT>();
    entry->job = 1;
    entry->step = step;
    entry->index = index;
    entry->run = run;
    entry->end = runEnd;
    entry->checkpoint = checkpoint;
    record.ends.push_back(std::move(entry));
    applyChange(state, std::move(record));
}

void crash(job::State &state, std::uint32_t index, std::uint32_t run, bool confirmed = true)
{
    wire::RunsCrashedT record;
    record.maxCrashes = 3;
    record.maxPossibleCrashes = 4;
    (confirmed ? record.runs : record.possibleRuns).emplace_back(1, 1, 0, 0, index, run);
    applyChange(state, std::move(record));
}

job::Phase phaseOf(const job::State &state)
{
    return state.jobs.at(1).phase;
}
}

TEST_CASE(Jobs, CompleteWhenAllTasksOfAllStepsAreDone)
{
    wire::StepSpecT second = makeStep(1);
    second.after = {0};
    job::State state = stateWithJob({makeStep(2), second});
    CHECK(!job::isStepReady(state.jobs.at(1), 0, 1));
    for (std::uint32_t index = 0; index < 2; ++index) {
        place(state, 0, index, 1);
        end(state, 0, index, 1, wire::RunEnd::Done);
    }
    CHECK(job::isStepReady(state.jobs.at(1), 0, 1));
    CHECK(phaseOf(state) == job::Phase::Running);
    place(state, 1, 0, 1);
    end(state, 1, 0, 1, wire::RunEnd::Done);
    CHECK(phaseOf(state) == job::Phase::Completed);
}

TEST_CASE(Jobs, OnlyFailedEndsCountAsAttempts)
{
    job::State state = stateWithJob({makeStep(1)});
    std::uint32_t run = 0;
    for (const wire::RunEnd runEnd : {wire::RunEnd::Stopped, wire::RunEnd::Lapsed, wire::RunEnd::Lost, wire::RunEnd::Never, wire::RunEnd::Failed}) {
        place(state, 0, 0, ++run);
        end(state, 0, 0, run, runEnd);
        CHECK(phaseOf(state) == job::Phase::Running);
    }
    place(state, 0, 0, ++run);
    end(state, 0, 0, run, wire::RunEnd::Failed);
    CHECK(phaseOf(state) == job::Phase::Failed);
}

/** While no plan named the queue, one failure used up the attempts, and the job failed for good below its maximum. */
TEST_CASE(Jobs, AFailureWhileTheQueueIsMissingDoesNotFailTheJob)
{
    for (const bool gang : {false, true}) {
        job::State state = stateWithJob({makeStep(1, gang)});
        place(state, 0, 0, 1);
        putPlan(state, 0);
        end(state, 0, 0, 1, wire::RunEnd::Failed);
        CHECK(phaseOf(state) == job::Phase::Running);
        putPlan(state, 2);
        CHECK(phaseOf(state) == job::Phase::Running);
        place(state, 0, 0, 2);
        end(state, 0, 0, 2, wire::RunEnd::Failed);
        CHECK(phaseOf(state) == job::Phase::Failed);
    }
}

TEST_CASE(Jobs, AttemptsUsedUpWhileTheQueueIsMissingFailTheJobWhenItReturns)
{
    for (const bool gang : {false, true}) {
        job::State state = stateWithJob({makeStep(1, gang)});
        place(state, 0, 0, 1);
        end(state, 0, 0, 1, wire::RunEnd::Failed);
        place(state, 0, 0, 2);
        putPlan(state, 0);
        end(state, 0, 0, 2, wire::RunEnd::Failed);
        CHECK(phaseOf(state) == job::Phase::Running);
        state = job::decodeImage(job::encodeImage(state)).value();
        putPlan(state, 2);
        CHECK(phaseOf(state) == job::Phase::Failed);
    }
}

/** A run in progress may still complete the job; it isn't followed by another one. */
TEST_CASE(Jobs, AReducedMaximumFailsNoRunInProgress)
{
    for (const wire::RunEnd runEnd : {wire::RunEnd::Done, wire::RunEnd::Lapsed, wire::RunEnd::Failed}) {
        job::State state = stateWithJob({makeStep(1)});
        place(state, 0, 0, 1);
        end(state, 0, 0, 1, wire::RunEnd::Failed);
        place(state, 0, 0, 2);
        putPlan(state, 1);
        CHECK(phaseOf(state) == job::Phase::Running);
        end(state, 0, 0, 2, runEnd);
        CHECK(phaseOf(state) == (runEnd == wire::RunEnd::Done ? job::Phase::Completed : job::Phase::Failed));
    }
}

TEST_CASE(Jobs, FailuresOfOneGangRunCountOnce)
{
    job::State state = stateWithJob({makeStep(3, true)});
    for (std::uint32_t index = 0; index < 3; ++index) {
        place(state, 0, index, 1);
    }
    end(state, 0, 0, 1, wire::RunEnd::Failed);
    end(state, 0, 1, 1, wire::RunEnd::Failed);
    end(state, 0, 2, 1, wire::RunEnd::Broken);
    CHECK(phaseOf(state) == job::Phase::Running);
    place(state, 0, 0, 2);
    end(state, 0, 0, 2, wire::RunEnd::Done);
    CHECK(phaseOf(state) == job::Phase::Completed);
}

TEST_CASE(Jobs, AGangSharesItsCheckpoint)
{
    job::State state = stateWithJob({makeStep(2, true)});
    place(state, 0, 0, 1);
    place(state, 0, 1, 1);
    end(state, 0, 1, 1, wire::RunEnd::Stopped, "c7");
    CHECK_TEXT("c7", job::checkpointOf(state, job::TaskRef{1, 0, 0, 0}));
}

TEST_CASE(Jobs, ASecondEndOfARunChangesNothing)
{
    job::State state = stateWithJob({makeStep(2)});
    place(state, 0, 0, 1);
    end(state, 0, 0, 1, wire::RunEnd::Lost);
    place(state, 0, 0, 2);
    end(state, 0, 0, 1, wire::RunEnd::Done);
    CHECK_EQUAL(2U, job::findTask(state, {1, 0, 0, 0})->activeRun);
    CHECK(!job::findTask(state, {1, 0, 0, 0})->done);
}

/** An overloaded leader missed poll replies and recorded runs as lost when their leases ended; the upstream reported them as done afterwards. */
TEST_CASE(Jobs, ADoneEndAfterTheRunWasRecordedAsLostCounts)
{
    job::State state = stateWithJob({makeStep(1)});
    place(state, 0, 0, 1);
    end(state, 0, 0, 1, wire::RunEnd::Lost);
    end(state, 0, 0, 1, wire::RunEnd::Done);
    CHECK(phaseOf(state) == job::Phase::Completed);
}

TEST_CASE(Jobs, TheImageRestoresTheState)
{
    job::State state = stateWithJob({makeStep(2), makeStep(1)});
    state.jobs.at(1).spec.team = "t";
    place(state, 0, 0, 1);
    end(state, 0, 0, 1, wire::RunEnd::Failed, "c1");
    place(state, 0, 0, 2);
    const job::State copy = job::decodeImage(job::encodeImage(state)).value();
    const job::Task &task = *job::findTask(copy, {1, 0, 0, 0});
    CHECK_EQUAL(2U, task.activeRun);
    CHECK_EQUAL(1U, task.failed);
    CHECK_TEXT("c1", job::checkpointOf(copy, job::TaskRef{1, 0, 0, 0}));
    CHECK_EQUAL(1U, copy.jobs.at(1).occurrences.at(0).steps[0].activeCount);
    CHECK_EQUAL(std::uint64_t{1}, copy.plan.version);
    CHECK(copy.jobNumberById.count("j") == 1);
    CHECK_TEXT("t", copy.jobs.at(1).spec.team);
}

/** A task that crashes each upstream was started again without end, as lost runs don't count as attempts. */
TEST_CASE(Jobs, ATaskThatCrashesUpstreamsFailsItsJob)
{
    job::State state = stateWithJob({makeStep(2)});
    for (std::uint32_t run = 1; run <= 3; ++run) {
        place(state, 0, 0, run);
        place(state, 0, 1, run);
        CHECK(phaseOf(state) == job::Phase::Running);
        crash(state, 0, run);
        crash(state, 0, run); // Recorded again by a new leader.
        end(state, 0, 0, run, wire::RunEnd::Lost);
        end(state, 0, 1, run, wire::RunEnd::Lost);
    }
    CHECK(phaseOf(state) == job::Phase::Failed);
}

/** The upstream may have crashed before an unanswered start arrived, so that more of these are needed. */
TEST_CASE(Jobs, CrashesUnderUnansweredStartsFailTheJobLater)
{
    job::State state = stateWithJob({makeStep(1)});
    for (std::uint32_t run = 1; run <= 4; ++run) {
        place(state, 0, 0, run);
        CHECK(phaseOf(state) == job::Phase::Running);
        crash(state, 0, run, run < 3);
        end(state, 0, 0, run, wire::RunEnd::Lost);
    }
    CHECK(phaseOf(state) == job::Phase::Failed);
}

TEST_CASE(Jobs, OnlyCrashesUnderTheSameTaskAddUp)
{
    job::State state = stateWithJob({makeStep(3)});
    for (std::uint32_t index = 0; index < 3; ++index) {
        place(state, 0, index, 1);
        crash(state, index, 1);
        crash(state, index, 2); // That run wasn't placed.
    }
    CHECK(phaseOf(state) == job::Phase::Running);
    CHECK_EQUAL(1U, job::findTask(state, {1, 0, 0, 2})->crashes);
    end(state, 0, 0, 1, wire::RunEnd::Done);
    crash(state, 0, 1);
    CHECK_EQUAL(1U, job::findTask(state, {1, 0, 0, 0})->crashes);
}

TEST_CASE(Jobs, TheImageRestoresTheCrashes)
{
    job::State state = stateWithJob({makeStep(1)});
    place(state, 0, 0, 1);
    crash(state, 0, 1);
    job::State copy = job::decodeImage(job::encodeImage(state)).value();
    crash(copy, 0, 1);
    CHECK_EQUAL(1U, job::findTask(copy, {1, 0, 0, 0})->crashes);
}

TEST_CASE(Jobs, TheLongestPrefixSelectsTheQueue)
{
    wire::PlanAcceptedT plan;
    for (const char *prefix : {"/a/", "/a/b/"}) {
        plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
        plan.queues.back()->host = "h";
        plan.queues.back()->prefix = prefix;
    }
    CHECK_TEXT("/a/b/", job::findQueue(plan, "h", "/a/b/x")->prefix);
    CHECK_TEXT("/a/", job::findQueue(plan, "h", "/a/x")->prefix);
    CHECK(job::findQueue(plan, "g", "/a/x") == nullptr);
    CHECK(job::findQueue(plan, "h", "/c") == nullptr);
}

TEST_CASE(Jobs, AnOlderPlanChangesNothing)
{
    job::State state;
    for (const std::uint64_t version : {4, 9, 7}) {
        wire::PlanAcceptedT plan;
        plan.version = version;
        applyChange(state, std::move(plan));
    }
    CHECK_EQUAL(std::uint64_t{9}, state.plan.version);
}

/** The memory that jobs take was neither known nor bounded. Each change of a job changes the estimate, which is the same after a restart. */
TEST_CASE(Jobs, TheMemoryOfJobsIsCounted)
{
    const auto restored = [](const job::State &state) {
        return job::decodeImage(job::encodeImage(state)).value().heldBytes;
    };
    wire::StepSpecT saving = makeStep(1000);
    saving.checkpointing = true;
    job::State state = stateWithJob({makeStep(20000), saving});
    const std::uint64_t accepted = state.heldBytes;
    CHECK_EQUAL(job::acceptedBytes(*wire::decode<wire::DeploymentImageT>(job::encodeImage(state))->jobs[0]->accepted->spec), accepted);
    CHECK(accepted > 20000 * sizeof(job::Task));
    place(state, 0, 0, 1);
    CHECK_EQUAL(accepted, state.heldBytes); // The first occurrence is counted from the acceptance on.
    CHECK_EQUAL(accepted, restored(state));
    place(state, 1, 5, 1);
    end(state, 1, 5, 1, wire::RunEnd::Stopped, std::string(5000, 'c'));
    CHECK(state.heldBytes >= accepted + 5000);
    CHECK_EQUAL(state.heldBytes, restored(state));
    place(state, 1, 5, 2);
    end(state, 1, 5, 2, wire::RunEnd::Stopped, "c");
    CHECK(state.heldBytes < accepted + 5000);
    wire::JobCancelledT cancelled;
    cancelled.job = 1;
    applyChange(state, cancelled);
    end(state, 0, 0, 1, wire::RunEnd::Stopped);
    CHECK(state.heldBytes < 5000); // An ended job holds its id only.
    CHECK_EQUAL(state.heldBytes, restored(state));
    wire::JobsForgottenT forgotten;
    forgotten.jobs = {1};
    applyChange(state, std::move(forgotten));
    CHECK_EQUAL(std::uint64_t{0}, state.heldBytes);
}
