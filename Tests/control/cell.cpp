#include "fakes/cellbench.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;
using fakes::CellBench;
using model::Reason;
using wire::Outcome;
using wire::TaskPhase;

const model::Resources worker{4000, 4000, 0, 4};

std::string service(const std::string &name, const std::string &extra = "")
{
    return R"({"name":")" + name + R"(","team":"t","home":"dc1","cpuMillis":1000,"memoryMb":100)" + extra + "}";
}

std::string documentOf(const std::string &services, const std::string &team = R"({"name":"t"})")
{
    return R"({"teams":[)" + team + R"(],"services":[)" + services + "]}";
}

const std::string plainDocument = documentOf(service("idem") + "," + service("once", R"(,"idempotent":false)") + "," + service("gang", R"(,"kind":"gang")"));
}

TEST_CASE(Cell, RunsATaskAndKeepsItsAnswer)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    bench.submit("idem", "k");
    bench.run(100);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
    bench.finishTask(bench.starts[0]);
    CHECK(bench.task("k").outcome == Outcome::Answered);
    CHECK((bench.task("k").answer == fakes::expectedAnswer(bench.task("k").spec)));
    CHECK((bench.cell.leader.pool.totalUsed == model::Resources{}));
}

TEST_CASE(Cell, AnswersAResendFromTheSameTask)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    bench.submit("once", "k");
    bench.run(100);
    bench.finishTask(bench.starts[0]);
    const control::Token again = bench.submit("once", "k");
    bench.run(2000);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
    CHECK((bench.replies[again].tasks[0]->answer == bench.task("k").answer));
    const control::Token other = bench.submit("once", "k", [](wire::TaskSpecT &spec) {
        spec.digest = 2;
    });
    CHECK(bench.errorOf(other) == Reason::KeyReused);
}

TEST_CASE(Cell, RefusesInvalidAndOversizedSubmissions)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    const auto errorOf = [&bench](const std::string &name, const std::function<void(wire::TaskSpecT &)> &change) {
        static int number = 0;
        return bench.errorOf(bench.submit(name, "r" + std::to_string(number++), change));
    };
    CHECK(errorOf("none", {}) == Reason::UnknownService);
    CHECK(errorOf("idem",
                  [](wire::TaskSpecT &spec) {
                      spec.cpuMillis = 4001;
                  })
          == Reason::NeverFits);
    CHECK(errorOf("idem",
                  [](wire::TaskSpecT &spec) {
                      spec.gangSize = 2;
                  })
          == Reason::OutOfRange);
    CHECK(errorOf("gang",
                  [](wire::TaskSpecT &spec) {
                      spec.gangSize = 5;
                  })
          == Reason::NeverFits);
    CHECK(bench.cell.state.tasks.empty());
    CHECK_EQUAL(std::uint64_t{2}, bench.reasonCount(Reason::NeverFits));
}

TEST_CASE(Cell, EndsTasksPastTheirQueueDeadlineAsNotRun)
{
    CellBench bench(plainDocument);
    bench.submit("once", "k", [](wire::TaskSpecT &spec) {
        spec.queueMs = 500;
    });
    bench.run(1000);
    CHECK(bench.task("k").outcome == Outcome::NotRun);
    CHECK(bench.task("k").reason == Reason::QueueDeadline);
    bench.addWorker("w", worker);
    bench.run(1000);
    CHECK(bench.starts.empty());
}

TEST_CASE(Cell, RepeatsFailuresElsewhereUpToTheDeclaredAttempts)
{
    CellBench bench(documentOf(service("idem", R"(,"attempts":3)")));
    bench.addWorker("w1", worker);
    bench.addWorker("w2", worker);
    bench.submit("idem", "k");
    for (std::size_t attempt = 1; attempt <= 3; ++attempt) {
        bench.run(20000);
        CHECK_EQUAL(attempt, bench.starts.size());
        bench.finishTask(bench.starts.back(), true);
    }
    CHECK(bench.starts[0].worker != bench.starts[1].worker);
    bench.run(20000);
    CHECK_EQUAL(std::size_t{3}, bench.starts.size());
    CHECK(bench.task("k").outcome == Outcome::Failed);
    CHECK(bench.task("k").reason == Reason::AttemptsExhausted);
}

TEST_CASE(Cell, NeverRepeatsANonIdempotentFailure)
{
    CellBench bench(plainDocument);
    bench.addWorker("w1", worker);
    bench.submit("once", "k");
    bench.run(100);
    bench.finishTask(bench.starts[0], true);
    bench.run(20000);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
    CHECK(bench.task("k").outcome == Outcome::Failed);
}

TEST_CASE(Cell, LostNonIdempotentWorkIsUnknownUntilTheWorkerReports)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    bench.submit("once", "k");
    bench.run(100);
    const auto shapes = bench.shapes;
    bench.shapes.clear(); // The worker stops announcing itself.
    bench.run(20000);
    CHECK(bench.task("k").outcome == Outcome::Unknown);
    CHECK(bench.task("k").reason == Reason::LeaseExpired);
    bench.shapes = shapes;
    wire::RunningTaskT ended;
    ended.task = bench.starts[0].task;
    ended.attempt = bench.starts[0].attempt;
    const control::Token back = bench.announce("w", {ended});
    CHECK(bench.replies[back].actions.empty()); // A stop would make the worker drop its result.
    bench.finishTask(bench.starts[0]);
    CHECK(bench.task("k").outcome == Outcome::Answered);
}

TEST_CASE(Cell, KeepsResourcesUntilTheLeaseIsOver)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", {1000, 100, 0, 1});
    bench.submit("idem", "k1");
    bench.run(100);
    wire::VerdictChangeT verdict;
    verdict.worker = "w";
    verdict.sequence = 1;
    verdict.down = true;
    control::apply(bench.config, verdict);
    control::onConfigChanged(bench.cell, bench.now);
    const auto shapes = bench.shapes;
    bench.shapes.clear();
    bench.run(4000);
    CHECK_EQUAL(std::uint64_t{1000}, bench.cell.leader.pool.totalUsed.cpuMillis);
    bench.run(10000);
    CHECK_EQUAL(std::uint64_t{0}, bench.cell.leader.pool.totalUsed.cpuMillis);
    CHECK(bench.task("k1").phase == TaskPhase::Queued);
}

TEST_CASE(Cell, VerdictAndLeavingStopNewWorkOnly)
{
    for (const bool byVerdict : {true, false}) {
        CellBench bench(plainDocument);
        bench.addWorker("w", worker);
        bench.submit("idem", "k1");
        bench.run(100);
        if (byVerdict) {
            wire::VerdictChangeT verdict;
            verdict.worker = "w";
            verdict.sequence = 1;
            verdict.down = true;
            control::apply(bench.config, verdict);
            control::onConfigChanged(bench.cell, bench.now);
        } else {
            bench.shapes["w"].leaving = true;
            bench.announceAll();
        }
        bench.submit("idem", "k2");
        bench.run(3000);
        CHECK_EQUAL(std::size_t{1}, bench.starts.size());
        CHECK(bench.task("k1").phase == TaskPhase::Dispatched);
        bench.finishTask(bench.starts[0]);
        CHECK(bench.task("k1").outcome == Outcome::Answered);
    }
}

TEST_CASE(Cell, DropsAnswersOfFencedAttemptsAndDamagedOnes)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    bench.submit("idem", "k");
    bench.run(100);
    control::StartOrder stale = bench.starts[0];
    stale.attempt = 9;
    const control::Token fenced = bench.finishTask(stale);
    CHECK_EQUAL(std::size_t{1}, bench.replies[fenced].renewed.size());
    CHECK_EQUAL(std::uint64_t{1}, bench.reasonCount(Reason::AnswerFenced));
    wire::RequestT request;
    request.operation = wire::Operation::Results;
    request.worker = "w";
    auto cutShort = std::make_unique<wire::TaskResultT>();
    cutShort->task = bench.starts[0].task;
    cutShort->attempt = 1;
    cutShort->statedLength = 5;
    request.results.push_back(std::move(cutShort));
    const control::Token damaged = bench.send(request);
    CHECK(bench.replies[damaged].renewed.empty());
    CHECK_EQUAL(std::uint64_t{1}, bench.reasonCount(Reason::AnswerCorrupt));
    CHECK(bench.task("k").phase == TaskPhase::Dispatched);
}

TEST_CASE(Cell, NewLeaderGivesIdleWorkersTimeToAnnounceThemselves)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    // The monotonic clock of a machine whose uptime exceeds every timeout.
    bench.now.monotonicMs += 100 * bench.cell.options.silentWorkerTimeoutMs;
    control::CellOutput output;
    control::endLeading(bench.cell, output);
    control::beginLeading(bench.cell, 2, bench.now, output);
    const auto shapes = bench.shapes;
    bench.shapes.clear();
    bench.run(2000);
    CHECK_EQUAL(std::size_t{1}, bench.cell.state.workers.size());
    bench.run(bench.cell.options.silentWorkerTimeoutMs);
    CHECK(bench.cell.state.workers.empty());
    CHECK(bench.errorOf(bench.submit("once", "waits")) == Reason::None); // Without known workers the task isn't refused as too large.
    bench.shapes = shapes;
    bench.run(2000);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
}

TEST_CASE(Cell, NeverReportsNotRunAfterAnAttemptRan)
{
    enum class Then {
        Cancelled,
        Deadline,
        Refused,
    };
    struct Row
    {
        Then then;
        Outcome outcome;
    };
    for (const Row &row : {Row{Then::Cancelled, Outcome::Stopped}, Row{Then::Deadline, Outcome::Failed}, Row{Then::Refused, Outcome::Failed}}) {
        CellBench bench(documentOf(service("idem", R"(,"attempts":2)")));
        bench.addWorker("w", worker);
        bench.submit("idem", "k", [&row](wire::TaskSpecT &spec) {
            spec.queueMs = row.then == Then::Deadline ? 3000 : 0;
        });
        bench.run(100);
        bench.finishTask(bench.starts[0], true);
        if (row.then == Then::Refused) {
            bench.run(20000);
            control::CellOutput output;
            control::handleStartReplies(bench.cell, {{bench.starts.at(1).task, 2, control::StartStatus::Refused, 0}}, bench.now, output);
            bench.handleOutput(std::move(output));
        } else {
            bench.shapes["w"].leaving = true;
            bench.announceAll();
        }
        if (row.then == Then::Cancelled) {
            wire::RequestT request;
            request.operation = wire::Operation::Cancel;
            request.key = "k@dc1";
            bench.send(request);
        }
        bench.run(5000);
        CHECK(bench.task("k").phase == TaskPhase::Ended);
        CHECK(bench.task("k").outcome == row.outcome);
    }
}

TEST_CASE(Cell, CancelsQueuedAndRunningWork)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", {1000, 100, 0, 1});
    bench.submit("once", "running");
    bench.run(100);
    bench.submit("once", "waiting");
    for (const char *key : {"running@dc1", "waiting@dc1"}) {
        wire::RequestT request;
        request.operation = wire::Operation::Cancel;
        request.key = key;
        bench.send(request);
    }
    CHECK(bench.task("waiting").outcome == Outcome::NotRun);
    bench.run(3000);
    CHECK(bench.task("running").outcome == Outcome::Stopped);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
}

/** A cancellation was answered with "not found" while the record of the submission was being committed, and the task ran. */
TEST_CASE(Cell, CancelsATaskWhoseSubmissionIsProposed)
{
    CellBench bench(plainDocument);
    bench.addWorker("w1", {1000, 1000, 0, 10});
    wire::RequestT request;
    request.operation = wire::Operation::Submit;
    request.specs.push_back(std::make_unique<wire::TaskSpecT>());
    request.specs.back()->key = "k@dc1";
    request.specs.back()->service = "production/once";
    request.specs.back()->gangSize = 1;
    control::CellOutput held;
    control::handleRequest(bench.cell, 101, request, bench.now, true, held);
    wire::RequestT cancel;
    cancel.operation = wire::Operation::Cancel;
    cancel.key = "k@dc1";
    control::handleRequest(bench.cell, 102, cancel, bench.now, true, held);
    CHECK_EQUAL(std::size_t{0}, held.replies.size());
    bench.handleOutput(std::move(held));
    CHECK(bench.errorOf(101) == model::Reason::None);
    CHECK(bench.errorOf(102) == model::Reason::None);
    bench.run(1000);
    CHECK_EQUAL(std::size_t{0}, bench.starts.size());
    CHECK(bench.task("k").outcome == wire::Outcome::NotRun);
}

TEST_CASE(Cell, CancellationWaveLeavesNothingBehind)
{
    constexpr int wave = 10000;
    CellBench bench(plainDocument);
    for (int i = 0; i < wave; ++i) {
        bench.submit("idem", "k" + std::to_string(i));
    }
    for (int i = 0; i < wave; ++i) {
        wire::RequestT request;
        request.operation = wire::Operation::Cancel;
        request.key = "k" + std::to_string(i) + "@dc1";
        bench.send(request);
    }
    CHECK_EQUAL(std::size_t{0}, bench.cell.leader.queue.queued);
    CHECK(bench.cell.leader.live.empty());
    bench.addWorker("w", worker);
    bench.submit("idem", "after");
    bench.run(200);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
}

TEST_CASE(Cell, UrgentWorkPreemptsBatchWithinItsBound)
{
    constexpr std::uint64_t urgentBoundMs = 5500;
    CellBench bench(plainDocument);
    bench.addWorker("w", {2000, 4000, 0, 4});
    bench.submit("idem", "b1");
    bench.submit("idem", "b2");
    bench.run(2000);
    CHECK_EQUAL(std::size_t{2}, bench.starts.size());
    bench.submit("once", "u", [](wire::TaskSpecT &spec) {
        spec.urgent = true;
    });
    bench.run(urgentBoundMs);
    CHECK(bench.task("u").phase == TaskPhase::Dispatched);
    CHECK_EQUAL(std::uint64_t{1}, bench.reasonCount(Reason::Preempted));
}

TEST_CASE(Cell, GangStartsCompletelyOrNotAtAll)
{
    CellBench bench(plainDocument);
    bench.addWorker("w1", {2000, 4000, 0, 4});
    bench.addWorker("w2", {2000, 4000, 0, 4});
    bench.submit("idem", "b");
    bench.run(100);
    bench.submit("gang", "g", [](wire::TaskSpecT &spec) {
        spec.gangSize = 4;
    });
    bench.run(5000);
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
    bench.finishTask(bench.starts[0]);
    bench.run(1000);
    CHECK_EQUAL(std::size_t{5}, bench.starts.size());
}

TEST_CASE(Cell, GangReservationKeepsSmallWorkFromStarvingIt)
{
    CellBench bench(plainDocument);
    bench.addWorker("w1", {2000, 4000, 0, 4});
    bench.submit("idem", "b0");
    bench.submit("idem", "b1");
    bench.run(100);
    bench.submit("gang", "g", [](wire::TaskSpecT &spec) {
        spec.gangSize = 2;
    });
    for (int i = 2; i < 20; ++i) {
        bench.submit("idem", "b" + std::to_string(i));
    }
    std::size_t finished = 0;
    for (int round = 0; round < 12; ++round) {
        bench.run(1000);
        if (finished < bench.starts.size()) {
            bench.finishTask(bench.starts[finished++]);
        }
    }
    CHECK(bench.task("g").phase != TaskPhase::Queued);
}

TEST_CASE(Cell, QuotaHoldsBackATeam)
{
    CellBench bench(documentOf(service("idem"), R"({"name":"t","quota":{"cpuMillis":2000}})"));
    bench.addWorker("w", worker);
    for (int i = 0; i < 4; ++i) {
        bench.submit("idem", "k" + std::to_string(i));
    }
    bench.run(1000);
    CHECK_EQUAL(std::size_t{2}, bench.starts.size());
    bench.finishTask(bench.starts[0]);
    bench.run(1000);
    CHECK_EQUAL(std::size_t{3}, bench.starts.size());
}

TEST_CASE(Cell, KeepsDeclaredInstancesRunning)
{
    const auto running = [](const CellBench &bench) {
        std::size_t count = 0;
        for (const auto &[worker, tasks] : bench.runningTasks) {
            count += tasks.size();
        }
        return count;
    };
    CellBench bench(documentOf(service("svc", R"(,"kind":"service","instances":3)")));
    bench.addWorker("w1", worker, "a");
    bench.addWorker("w2", worker, "b");
    bench.run(3000);
    CHECK_EQUAL(std::size_t{3}, running(bench));
    bench.finishTask(bench.starts[0], true);
    bench.run(15000);
    CHECK_EQUAL(std::size_t{3}, running(bench));
    bench.apply(documentOf(service("svc", R"(,"kind":"service","instances":1)")));
    bench.run(10000);
    CHECK_EQUAL(std::size_t{1}, running(bench));
    bench.apply(documentOf(service("idem")));
    bench.run(10000);
    CHECK_EQUAL(std::size_t{0}, running(bench));
}

TEST_CASE(Cell, ReplacesChangedInstancesOneAtATime)
{
    CellBench bench(documentOf(service("svc", R"(,"kind":"service","instances":3)")));
    bench.addWorker("w1", worker);
    bench.run(3000);
    bench.apply(documentOf(R"({"name":"svc","team":"t","home":"dc1","cpuMillis":500,"memoryMb":100,"kind":"service","instances":3})"));
    std::size_t minRunning = 3;
    for (int i = 0; i < 1500; ++i) {
        bench.run(20);
        minRunning = std::min(minRunning, bench.runningTasks["w1"].size());
    }
    CHECK_EQUAL(std::size_t{2}, minRunning);
    CHECK_EQUAL(std::size_t{3}, bench.runningTasks["w1"].size());
    CHECK_EQUAL(500U, bench.starts.back().spec.cpuMillis);
}

TEST_CASE(Cell, OverusingTaskIsThrottledCheckpointedThenStopped)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", {4000, 400, 0, 8});
    for (int i = 0; i < 4; ++i) {
        bench.submit("idem", "k" + std::to_string(i));
    }
    bench.run(100);
    CHECK_EQUAL(std::size_t{4}, bench.starts.size());
    std::vector<wire::TaskAction> actions;
    for (int i = 0; i < 3; ++i) {
        std::vector<wire::RunningTaskT> running;
        for (const auto &order : bench.starts) {
            wire::RunningTaskT entry;
            entry.task = order.task;
            entry.attempt = order.attempt;
            entry.memoryMb = order.task == bench.starts[0].task ? 300 : 100;
            running.push_back(entry);
        }
        const control::Token token = bench.announce("w", running);
        CHECK_EQUAL(std::size_t{1}, bench.replies[token].actions.size());
        CHECK_EQUAL(bench.starts[0].task, bench.replies[token].actions[0]->task);
        actions.push_back(bench.replies[token].actions[0]->action);
    }
    CHECK((actions == std::vector<wire::TaskAction>{wire::TaskAction::Throttle, wire::TaskAction::Checkpoint, wire::TaskAction::Stop}));
    bench.submit("idem", "more");
    bench.run(100);
    CHECK_EQUAL(std::size_t{4}, bench.starts.size());
}

TEST_CASE(Cell, QuarantinesAWorkerThatFailsEveryTask)
{
    CellBench bench(documentOf(service("idem", R"(,"attempts":20,"retryPercent":100)")));
    for (int i = 0; i < 6; ++i) {
        bench.addWorker("w" + std::to_string(i), worker);
    }
    std::size_t handled = 0;
    std::size_t onFailingWorker = 0;
    for (int round = 0; round < 100; ++round) {
        bench.submit("idem", "k" + std::to_string(round));
        bench.run(200);
        for (; handled < bench.starts.size(); ++handled) {
            const bool failing = bench.starts[handled].worker == "w0";
            onFailingWorker += failing ? 1 : 0;
            const control::StartOrder order = bench.starts[handled];
            bench.finishTask(order, failing);
        }
    }
    CHECK(onFailingWorker < 10);
    CHECK_EQUAL(std::uint64_t{100}, bench.cell.metrics.answered);
}

TEST_CASE(Cell, SpillsLongWaitingTasksAndAppliesTheirOutcome)
{
    struct Row
    {
        Reason error;
        Outcome outcome;
        TaskPhase phase; ///< Of the task in its home cell afterwards.
        Outcome end;
    };
    const Row rows[] = {
        {Reason::None, Outcome::Answered, TaskPhase::Ended, Outcome::Answered},
        {Reason::None, Outcome::NotRun, TaskPhase::Queued, Outcome::None},
        {Reason::None, Outcome::Failed, TaskPhase::Ended, Outcome::Failed},
        {Reason::None, Outcome::Unknown, TaskPhase::Ended, Outcome::Unknown},
        {Reason::QueueFull, Outcome::None, TaskPhase::Queued, Outcome::None},
        {Reason::HomeSilent, Outcome::None, TaskPhase::Dispatched, Outcome::None},
        {Reason::HomeUnreachable, Outcome::None, TaskPhase::Dispatched, Outcome::None},
    };
    for (const Row &row : rows) {
        CellBench bench(documentOf(service("s", R"(,"idempotent":false,"spill":true)")));
        bench.cell.options.otherDataCentres = {"dc2"};
        bench.submit("s", "k");
        bench.run(bench.cell.options.spill.minWaitMs - 100);
        CHECK(bench.spills.empty());
        bench.run(1000);
        CHECK_EQUAL(std::size_t{1}, bench.spills.size());
        CHECK_TEXT("k@dc1", bench.spills[0].request.specs.at(0)->originKey);
        wire::ReplyT reply;
        reply.error = static_cast<std::uint16_t>(row.error);
        reply.tasks.push_back(std::make_unique<wire::TaskViewT>());
        reply.tasks[0]->phase = TaskPhase::Ended;
        reply.tasks[0]->outcome = row.outcome;
        bench.deliverSpillReply(bench.spills[0], reply);
        CHECK(bench.task("k").phase == row.phase);
        CHECK(bench.task("k").outcome == row.end);
    }
}

TEST_CASE(Cell, DropsAnswersAndKeysAfterTheirRetentionTime)
{
    CellBench bench(plainDocument);
    bench.cell.options.answersKeptMs = 60000;
    bench.cell.options.keysKeptMs = 120000;
    bench.addWorker("w", worker);
    bench.submit("once", "k");
    bench.run(100);
    bench.finishTask(bench.starts[0]);
    bench.run(100000);
    CHECK(bench.cell.state.tasks.empty());
    const control::Token late = bench.submit("once", "k");
    CHECK_EQUAL(std::size_t{1}, bench.starts.size());
    CHECK(bench.replies[late].tasks.at(0)->answerDropped);
    CHECK(bench.replies[late].tasks.at(0)->outcome == Outcome::Answered);
    const control::Token reused = bench.submit("once", "k", [](wire::TaskSpecT &spec) {
        spec.digest = 2;
    });
    CHECK(bench.errorOf(reused) == Reason::KeyReused);
    const wire::Bytes image = control::encodeImage(bench.cell.state);
    CHECK((control::encodeImage(control::decodeCellImage(image).value()) == image));
    CHECK(control::findClosedKey(control::decodeCellImage(image).value(), "k@dc1") != nullptr);
    bench.run(100000);
    CHECK(control::findClosedKey(bench.cell.state, "k@dc1") == nullptr);
    CHECK(bench.cell.state.keys.empty());
}

TEST_CASE(Cell, KeepsNoMoreAnswersThanItsBound)
{
    CellBench bench(plainDocument);
    bench.cell.options.maxKeptAnswers = 5;
    bench.addWorker("w", worker);
    for (int i = 0; i < 20; ++i) {
        bench.submit("once", "k" + std::to_string(i));
        bench.run(200);
        bench.finishTask(bench.starts.back());
    }
    bench.run(60000);
    CHECK_EQUAL(std::size_t{5}, bench.cell.state.tasks.size());
    CHECK_EQUAL(std::size_t{15}, bench.cell.state.closed.size());
    CHECK(bench.task("k19").outcome == Outcome::Answered);
    CHECK(control::findClosedKey(bench.cell.state, "k0@dc1") != nullptr);
}

TEST_CASE(Cell, RemembersNoMoreKeysThanItsBound)
{
    CellBench bench(plainDocument);
    bench.cell.options.answersKeptMs = 1000;
    bench.cell.options.maxKeptKeys = 5;
    bench.addWorker("w", worker);
    for (int i = 0; i < 20; ++i) {
        bench.submit("once", "k" + std::to_string(i));
        bench.run(200);
        bench.finishTask(bench.starts.back());
    }
    bench.run(60000);
    CHECK_EQUAL(std::size_t{5}, bench.cell.state.closed.size());
    CHECK(control::findClosedKey(bench.cell.state, "k19@dc1") != nullptr);
    CHECK(control::findClosedKey(bench.cell.state, "k0@dc1") == nullptr);
}

TEST_CASE(Cell, SnapshotGivesTheSameState)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    bench.submit("once", "k1");
    bench.submit("gang", "g", [](wire::TaskSpecT &spec) {
        spec.gangSize = 2;
    });
    bench.run(100);
    bench.finishTask(bench.starts[0]);
    const wire::Bytes image = control::encodeImage(bench.cell.state);
    CHECK((control::encodeImage(control::decodeCellImage(image).value()) == image));
    CHECK_EQUAL(std::size_t{2}, control::tasksOf(control::decodeCellImage(image).value(), "g@dc1").size());
}

TEST_CASE(Cell, LeaderWithoutLeaseRefusesRequests)
{
    CellBench bench(plainDocument);
    bench.addWorker("w", worker);
    wire::RequestT request;
    request.operation = wire::Operation::Query;
    request.key = "k@dc1";
    control::CellOutput output;
    control::handleRequest(bench.cell, 77, request, bench.now, false, output);
    CHECK_EQUAL(static_cast<std::uint16_t>(Reason::NoLeader), output.replies.at(0).reply.error);
}
