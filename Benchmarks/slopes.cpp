#include "fakes/bench.h"
#include "fakes/cellbench.h"
#include "storage/journal.h"
#include "wire/frame.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>

/** Prints every slope that docs/CAPACITY.md uses. Usage: bench-slopes. */
namespace
{
using namespace rosemaryturn;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t payloadBytes = 200;
constexpr int manyTasks = 10000;
constexpr int manyWorkers = 553;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

double microsOf(const std::function<void()> &action, int times)
{
    const auto begin = SteadyClock::now();
    action();
    return std::chrono::duration<double, std::micro>(SteadyClock::now() - begin).count() / times;
}

void print(const char *name, double value, const char *unit)
{
    std::printf("%-58s %12.2f %s\n", name, value, unit);
}

std::string document(int teams)
{
    std::string list;
    std::string services;
    for (int i = 0; i < teams; ++i) {
        const std::string name = "t" + std::to_string(i);
        list += (i == 0 ? "" : ",") + std::string(R"({"name":")") + name + R"(","quota":{"cpuMillis":100000000}})";
        services += (i == 0 ? "" : ",") + std::string(R"({"name":"s)") + std::to_string(i) + R"(","team":")" + name
            + R"(","home":"dc1","cpuMillis":500,"memoryMb":500})";
    }
    return R"({"teams":[)" + list + R"(],"services":[)" + services + "]}";
}

void addPayload(wire::TaskSpecT &spec)
{
    spec.payload.assign(payloadBytes, 'p');
}

void measureSnapshot(const control::CellState &state)
{
    wire::Bytes image;
    const double snapshot = microsOf(
        [&] {
            image = control::encodeImage(state);
        },
        1);
    print("snapshot of the cell", snapshot / 1000, "ms");
    print("size of a task in it", static_cast<double>(image.size()) / manyTasks, "bytes");
    const std::size_t before = heapBytes();
    const control::CellState standby = control::decodeCellImage(image).value();
    const std::size_t standbyBytes = heapBytes() - before;
    control::CellState closing = control::decodeCellImage(image).value();
    wire::RetentionPassedT retention;
    retention.answersBeforeMs = UINT64_MAX;
    retention.mostKeys = UINT64_MAX;
    retention.mostAnswers = UINT64_MAX;
    wire::RecordT record;
    record.change.Set(retention);
    const double close = microsOf(
        [&] {
            control::apply(closing, record);
        },
        manyTasks);
    print("closing of a key whose answer is no longer kept", close, "us");
    const std::size_t beforeClosed = heapBytes();
    const control::CellState reloaded = control::decodeCellImage(control::encodeImage(closing)).value();
    print("state of a closed key", static_cast<double>(heapBytes() - beforeClosed) / static_cast<double>(reloaded.closed.size()), "bytes");
    print("state of an ended task, standby", static_cast<double>(standbyBytes) / manyTasks, "bytes");
}

void measureCell(int workers, int teams)
{
    std::printf("\n-- one cell: %d workers, %d tasks, %d teams, payload and answer %zu bytes --\n", workers, manyTasks, teams, payloadBytes);
    auto bench = std::make_unique<fakes::CellBench>(document(teams));
    const std::size_t empty = heapBytes();
    for (int i = 0; i < workers; ++i) {
        bench->addWorker("worker-" + std::to_string(i), {16000, 65536, 2, 32}, "rack-" + std::to_string(i / 8));
    }
    bench->replies.clear();
    const std::size_t withWorkers = heapBytes();
    print("state of a worker", static_cast<double>(withWorkers - empty) / workers, "bytes");
    const double accept = microsOf(
        [&] {
            for (int i = 0; i < manyTasks; ++i) {
                bench->submit("s" + std::to_string(i % teams), "key-" + std::to_string(i), addPayload);
            }
        },
        manyTasks);
    print("accept of a task, log record included", accept, "us");
    bench->replies.clear();
    print("state of a queued task, leader", static_cast<double>(heapBytes() - withWorkers) / manyTasks, "bytes");
    const double place = microsOf(
        [&] {
            bench->run(1000);
        },
        manyTasks);
    print("placement and start of a task", place, "us");
    bench->replies.clear();
    const std::size_t dispatched = bench->starts.size();
    print("tasks that run", static_cast<double>(dispatched), "");
    const double announce = microsOf(
        [&] {
            bench->announceAll();
        },
        workers);
    print("tasks of a worker", static_cast<double>(dispatched) / workers, "");
    print("announcement of a worker with these tasks", announce, "us");
    const double tick = microsOf(
        [&] {
            bench->run(2000 - 1000 % 1000);
        },
        100);
    print("tick with nothing to place, 2 rounds of announcements in 100", tick, "us");
    const double finish = microsOf(
        [&] {
            for (const control::StartOrder &order :
                 std::vector<control::StartOrder>(bench->starts.begin(), bench->starts.begin() + static_cast<std::ptrdiff_t>(dispatched))) {
                bench->finishTask(order);
            }
        },
        static_cast<int>(dispatched));
    print("result of a task", finish, "us");
    bench->replies.clear();
    std::vector<control::StartOrder>().swap(bench->starts);
    measureSnapshot(bench->cell.state);
}

void measureConfig()
{
    constexpr int revisions = 100;
    std::printf("\n-- configuration: a document of 600 teams and services --\n");
    const std::string text = document(600);
    print("size of the document", static_cast<double>(text.size()), "bytes");
    control::ConfigState state;
    state.dataCentres = {"dc1"};
    const std::size_t before = heapBytes();
    const double apply = microsOf(
        [&] {
            for (int i = 0; i < revisions; ++i) {
                wire::ConfigChangeT change;
                change.requestId = "r" + std::to_string(i);
                change.environment = "production";
                change.expectedRevision = static_cast<std::uint64_t>(i);
                change.document = text;
                std::string detail;
                control::prepare(state, change, detail);
                control::apply(state, change);
            }
        },
        revisions);
    print("change, checked and applied", apply / 1000, "ms");
    print("state of a kept revision", static_cast<double>(heapBytes() - before) / revisions, "bytes");
}

void measureBytes()
{
    std::printf("\n-- bytes on the wire, frame headers included --\n");
    fakes::CellBench bench(document(1));
    bench.addWorker("worker-1", {16000, 65536, 0, 32});
    wire::TaskSpecT spec;
    spec.key = "key-123456@dc1";
    spec.service = "production/s0";
    spec.team = "production/t0";
    addPayload(spec);
    wire::TasksAcceptedT accepted;
    accepted.specs.push_back(std::make_unique<wire::TaskSpecT>(spec));
    wire::TasksDispatchedT dispatched;
    auto placement = std::make_unique<wire::PlacementT>();
    placement->worker = "worker-1";
    dispatched.placements.push_back(std::move(placement));
    wire::TaskEndedT ended;
    ended.answer.assign(payloadBytes, 'a');
    double perTask = 0;
    for (const wire::Bytes &bytes :
         {wire::encodeChange(std::move(accepted)), wire::encodeChange(std::move(dispatched)), wire::encodeChange(std::move(ended))}) {
        perTask += static_cast<double>(bytes.size());
    }
    print("log records of a task: accepted, dispatched, ended", perTask, "bytes");
    fakes::Bench hosts(1);
    hosts.run(5000);
    const auto frameBytes = [](const wire::ConsensusMessageT &message) {
        wire::PeerFrameT frame;
        frame.body.Set(wire::ConsensusMessageT(message));
        return static_cast<double>(wire::encodeFrame(frame).size());
    };
    control::Host &leader = *hosts.hosts.at(hosts.leaderOf(control::cellGroup("dc1"))).host;
    consensus::Node &node = leader.groups.at(control::cellGroup("dc1"));
    consensus::Output round;
    consensus::tick(node, hosts.now().monotonicMs + 1000, round);
    for (const wire::ConsensusMessageT &message : round.sendNow) {
        print(message.to[1] == '1' ? "heartbeat to the standby" : "heartbeat to the witness, across regions", frameBytes(message), "bytes");
    }
}

void measureDisk()
{
    std::printf("\n-- disk and restart --\n");
    std::string pattern = (std::filesystem::temp_directory_path() / "rosemaryturn-bench-XXXXXX").string();
    const std::filesystem::path folder = mkdtemp(pattern.data());
    const auto records = [](std::uint64_t first, std::size_t count) {
        std::vector<wire::JournalRecordT> list(count);
        for (std::size_t i = 0; i < count; ++i) {
            wire::EntryT entry;
            entry.index = first + i;
            entry.term = 1;
            entry.kind = wire::EntryKind::Application;
            entry.payload.assign(300, 'e');
            list[i].body.Set(entry);
        }
        return list;
    };
    for (const std::size_t batch : {std::size_t{1}, std::size_t{16}, std::size_t{64}}) {
        storage::Journal journal;
        storage::JournalContent content;
        journal.open(folder / ("j" + std::to_string(batch)), content);
        constexpr std::size_t entries = 2048;
        const double micros = microsOf(
            [&] {
                for (std::size_t i = 0; i < entries; i += batch) {
                    journal.append(records(i + 1, batch));
                }
            },
            entries);
        print(("synced record, " + std::to_string(batch) + " a sync").c_str(), micros, "us");
    }
    for (const std::size_t entries : {std::size_t{1000}, std::size_t{5000}, std::size_t{20000}}) {
        storage::Journal journal;
        storage::JournalContent content;
        const std::filesystem::path file = folder / ("r" + std::to_string(entries));
        journal.open(file, content);
        journal.append(records(1, entries));
        const double micros = microsOf(
            [&] {
                storage::Journal again;
                storage::JournalContent read;
                again.open(file, read);
                consensus::Node node;
                for (const auto &record : read.records) {
                    consensus::restore(node, record);
                }
                consensus::finishRestore(node, 0);
            },
            1);
        print(("restart with " + std::to_string(entries) + " entries after the snapshot").c_str(), micros / 1000, "ms");
        print("  journal", static_cast<double>(std::filesystem::file_size(file)) / 1024, "KiB");
    }
    std::filesystem::remove_all(folder);
}

void measureFailover()
{
    constexpr int seeds = 100;
    std::printf("\n-- fail-over on the paused clock, %d seeds --\n", seeds);
    for (const bool cutOff : {false, true}) {
        std::vector<double> times;
        for (int seed = 1; seed <= seeds; ++seed) {
            fakes::Bench bench(static_cast<std::uint64_t>(seed));
            bench.run(6000);
            const std::string old = bench.leaderOf(control::cellGroup("dc1"));
            const std::uint64_t begin = bench.now().monotonicMs;
            if (cutOff) {
                bench.isolate(old, true);
            } else {
                bench.crash(old);
            }
            bench.runUntil(
                [&] {
                    const std::string leader = bench.leaderOf(control::cellGroup("dc1"));
                    return !leader.empty() && leader != old;
                },
                20000);
            times.push_back(static_cast<double>(bench.now().monotonicMs - begin));
        }
        std::sort(times.begin(), times.end());
        print(cutOff ? "leader cut off, median" : "leader killed, median", times[times.size() / 2], "ms");
        print("  worst", times.back(), "ms");
    }
}
}

int main()
{
    measureCell(manyWorkers, 40);
    measureCell(manyWorkers, 600);
    measureConfig();
    measureBytes();
    measureDisk();
    measureFailover();
    return 0;
}
