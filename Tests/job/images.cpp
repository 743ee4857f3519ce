#include "job/jobs.h"
#include "storage/journal.h"
#include "testing.h"
#include "wire/frame.h"

#include <algorithm>
#include <array>
#include <limits>

namespace
{
using namespace rosemaryturn;

constexpr std::uint32_t maxNumber = std::numeric_limits<std::uint32_t>::max();

/** Adds a job of one step. @param state the state. @param tasks number of its tasks; all of them have a run. @return its tasks. */
job::StepRuns &addJob(job::State &state, std::uint32_t tasks)
{
    job::Job job;
    job.number = state.nextJob++;
    job.phase = job::Phase::Running;
    job.spec.id = "j" + std::to_string(job.number);
    job.spec.steps.push_back(std::make_unique<wire::StepSpecT>());
    job.spec.steps.back()->count = tasks;
    job.order = job::orderOf(job.spec);
    job::StepRuns &runs = job.occurrences[0].steps.emplace_back();
    runs.tasks.resize(tasks);
    for (job::Task &task : runs.tasks) {
        task.run = 1;
        task.activeRun = 1;
        task.upstream = 1;
    }
    runs.activeCount = tasks;
    state.jobNumberById[job.spec.id] = job.number;
    job::Job &added = state.jobs.emplace(job.number, std::move(job)).first->second;
    job::updateHeldBytes(state, added);
    return added.occurrences[0].steps[0];
}

/** @return the image as a host reads it that gets it from its own journal. */
wire::Bytes throughJournal(const wire::Bytes &image)
{
    wire::SnapshotImageT snapshot;
    snapshot.image = image;
    std::vector<wire::JournalRecordT> records(1);
    records[0].body.Set(std::move(snapshot));
    wire::Bytes file{'R', 'T', 'J', 'R', 'N', 'L', '0', '1'};
    const wire::Bytes batch = storage::encodeBatch(records);
    file.insert(file.end(), batch.begin(), batch.end());
    std::error_code error;
    const storage::JournalContent content = storage::parseJournal(file, error);
    CHECK(!error);
    CHECK_EQUAL(std::size_t{1}, content.records.size());
    return content.records[0].body.AsSnapshotImage()->image;
}

/** @return the image as a host reads it that gets it from the leader. */
wire::Bytes throughFrame(const wire::Bytes &image)
{
    wire::SnapshotRequestT request;
    request.image = image;
    wire::ConsensusMessageT message;
    message.body.Set(std::move(request));
    const wire::Bytes bytes = wire::encodeFrame(wire::makeFrame(std::move(message)));
    wire::FrameReader reader;
    constexpr std::size_t partBytes = 65536;
    for (std::size_t offset = 0; offset < bytes.size(); offset += partBytes) {
        reader.append(std::span(bytes).subspan(offset, std::min(partBytes, bytes.size() - offset)));
    }
    std::error_code error;
    const auto frame = reader.next(error);
    CHECK(!error && frame);
    return frame->body.AsConsensusMessage()->body.AsSnapshotRequest()->image;
}

/** Checks that a state is read back as it was, from the journal and from a frame. */
void checkReadBack(const job::State &state)
{
    const wire::Bytes image = job::encodeImage(state);
    CHECK(job::isReadableImage(image));
    for (const wire::Bytes &read : {throughJournal(image), throughFrame(image)}) {
        const auto copy = job::decodeImage(read);
        CHECK(copy.has_value());
        CHECK((job::encodeImage(*copy) == image));
        CHECK_EQUAL(state.jobs.size(), copy->jobs.size());
        CHECK_EQUAL(state.nextJob, copy->nextJob);
        CHECK(copy->heldBytes >= state.heldBytes); // Checkpoints that a test sets by hand aren't counted in the original.
        for (const auto &[number, job] : state.jobs) {
            const job::Job &other = copy->jobs.at(number);
            CHECK_TEXT(job.spec.id, other.spec.id);
            CHECK(job.phase == other.phase);
            CHECK_EQUAL(job.occurrences.size(), other.occurrences.size());
            for (const auto &[occurrence, runs] : job.occurrences) {
                CHECK((runs.steps.at(0).tasks == other.occurrences.at(occurrence).steps.at(0).tasks));
                CHECK_EQUAL(runs.steps.at(0).activeCount, other.occurrences.at(occurrence).steps.at(0).activeCount);
            }
        }
    }
}
}

/** A snapshot of over a million tasks was written, and read back as the empty state: all that had been acknowledged was gone after a restart. */
TEST_CASE(Images, StatesOfAnySizeAreReadBack)
{
    for (const std::uint32_t jobs : {0U, 1U, 49U, 51U, 75U}) {
        job::State state;
        for (std::uint32_t i = 0; i < jobs; ++i) {
            constexpr std::uint32_t tasks = 20000;
            addJob(state, tasks);
        }
        checkReadBack(state);
    }
}

/** Tasks that are all in different states share nothing in the image. */
TEST_CASE(Images, TasksInDifferentStatesAreReadBack)
{
    job::State state;
    constexpr std::uint32_t tasks = 300000;
    std::uint32_t number = 0;
    for (job::Task &task : addJob(state, tasks).tasks) {
        task.run = ++number;
        task.activeRun = number;
        task.upstream = number % 997;
    }
    checkReadBack(state);
}

TEST_CASE(Images, EachFieldIsReadBackAtItsLimits)
{
    constexpr std::array fields{&job::Task::run,
                                &job::Task::failed,
                                &job::Task::activeRun,
                                &job::Task::upstream,
                                &job::Task::crashes,
                                &job::Task::confirmedCrashes,
                                &job::Task::crashedRun};
    for (const auto field : fields) {
        job::State state;
        job::StepRuns &runs = addJob(state, 3);
        runs.tasks = std::vector<job::Task>(3);
        runs.tasks[1].*field = maxNumber;
        runs.activeCount = field == &job::Task::activeRun ? 1 : 0;
        checkReadBack(state);
    }
    job::State state;
    job::StepRuns &runs = addJob(state, 4);
    runs.tasks[3].done = true;
    job::setCheckpoint(runs, 1, std::string(100000, 'c'));
    job::setCheckpoint(runs, 3, std::string("\0\xff", 2));
    state.jobs.at(1).spec.payload = std::string(4000, 'p');
    state.plan.version = std::numeric_limits<std::uint64_t>::max();
    checkReadBack(state);
    const job::State copy = job::decodeImage(job::encodeImage(state)).value();
    CHECK_TEXT(std::string(100000, 'c'), job::checkpointOf(copy, job::TaskRef{1, 0, 0, 1}));
    CHECK_TEXT("", job::checkpointOf(copy, job::TaskRef{1, 0, 0, 2}));
    CHECK_TEXT(std::string("\0\xff", 2), job::checkpointOf(copy, job::TaskRef{1, 0, 0, 3}));
}

/** Earlier builds wrote a table for each task. */
TEST_CASE(Images, ImagesOfEarlierBuildsAreRead)
{
    job::State state;
    addJob(state, 5).tasks[2].failed = 3;
    job::setCheckpoint(state.jobs.at(1).occurrences[0].steps[0], 4, "c4");
    const auto object = wire::decode<wire::DeploymentImageT>(job::encodeImage(state));
    CHECK_EQUAL(std::size_t{5}, object->jobs.at(0)->occurrences.at(0)->steps.at(0)->tasks.size());
    const wire::Bytes earlier = wire::encode(*object);
    const auto copy = job::decodeImage(earlier);
    CHECK(copy.has_value());
    CHECK((job::encodeImage(*copy) == job::encodeImage(state)));
}

/** An image that couldn't be read counted as the state before the first record. */
TEST_CASE(Images, AnUnreadableImageIsNoState)
{
    CHECK(job::decodeImage({}).has_value());
    job::State state;
    addJob(state, 100);
    const wire::Bytes image = job::encodeImage(state);
    for (const std::size_t size : {std::size_t{1}, std::size_t{8}, image.size() / 2, image.size() - 1}) {
        CHECK(!job::decodeImage(std::span(image).first(size)).has_value());
    }
    auto object = wire::decode<wire::DeploymentImageT>(image);
    object->jobs.at(0)->occurrences.at(0)->steps.at(0)->tasks.pop_back(); // Fewer tasks than the specification.
    CHECK(!job::decodeImage(wire::encode(*object)).has_value());
    object->jobs.at(0)->accepted.reset();
    CHECK(!job::decodeImage(wire::encode(*object)).has_value());
}
