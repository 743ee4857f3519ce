#include "eventlist.h"
#include "fakes/cellbench.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>

/**
 * Compares the decisions of a cell with a baseline (one FIFO queue without bounds, first fit) on the same
 * event list, on a paused clock. Usage: bench-decisions [WORKERS [SECONDS [SEED]]].
 */
namespace
{
using namespace rosemaryturn;
using benchmarks::Arrival;

constexpr std::uint64_t stepMs = 20;

/** What one way of deciding gave. */
struct Result
{
    std::vector<double> urgentWaitMs;
    std::vector<double> batchWaitMs;
    std::vector<double> gangWaitMs;
    double cpuPacking = 0;
    double memoryPacking = 0;
    double acceleratorPacking = 0;
    std::uint64_t finishedCpuMs = 0;
    std::uint64_t notRun = 0;
    std::vector<double> decisionMicros;
};

double quantile(std::vector<double> &values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

void noteWait(Result &result, const Arrival &arrival, std::uint64_t nowMs)
{
    auto &list = arrival.urgent ? result.urgentWaitMs : (arrival.gangSize > 1 ? result.gangWaitMs : result.batchWaitMs);
    list.push_back(static_cast<double>(nowMs - arrival.atMs));
}

/** Adds one sample of how full the workers are. */
void notePacking(Result &result, const policy::WorkerPool &pool)
{
    const auto share = [](std::uint64_t used, std::uint64_t offered) {
        return offered == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(offered);
    };
    result.cpuPacking += share(pool.totalUsed.cpuMillis, pool.totalOffer.cpuMillis);
    result.memoryPacking += share(pool.totalUsed.memoryMb, pool.totalOffer.memoryMb);
    result.acceleratorPacking += share(pool.totalUsed.accelerators, pool.totalOffer.accelerators);
}

/** First fit over one FIFO queue: the head waits until it fits, and all others behind it. */
Result runBaseline(const std::vector<Arrival> &list, const benchmarks::EventListOptions &options)
{
    struct End
    {
        std::uint64_t atMs;
        std::size_t arrival;
        std::vector<policy::WorkerIndex> workers;
        bool operator<(const End &other) const
        {
            return atMs > other.atMs;
        }
    };
    Result result;
    policy::WorkerPool pool;
    for (std::size_t i = 0; i < options.workers; ++i) {
        policy::setEligible(pool, policy::upsertWorker(pool, "w" + std::to_string(i), "r", benchmarks::offerOfWorker(i)), true);
    }
    std::deque<std::size_t> waiting;
    std::priority_queue<End> ends;
    std::size_t next = 0;
    std::uint64_t samples = 0;
    for (std::uint64_t nowMs = 0; nowMs < options.durationMs; nowMs += stepMs) {
        while (!ends.empty() && ends.top().atMs <= nowMs) {
            for (const policy::WorkerIndex worker : ends.top().workers) {
                policy::vacate(pool, worker, list[ends.top().arrival].need);
                result.finishedCpuMs += list[ends.top().arrival].need.cpuMillis * list[ends.top().arrival].runMs;
            }
            ends.pop();
        }
        for (; next < list.size() && list[next].atMs <= nowMs; ++next) {
            waiting.push_back(next);
        }
        while (!waiting.empty()) {
            const Arrival &arrival = list[waiting.front()];
            policy::PlacementQuery query;
            query.policy = policy::PlacementPolicy::FirstFit;
            const std::vector<model::Resources> needs(arrival.gangSize, arrival.need);
            const auto begin = std::chrono::steady_clock::now();
            const auto chosen = policy::chooseAll(pool, needs, query);
            result.decisionMicros.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
            if (chosen.empty()) {
                break;
            }
            for (const policy::WorkerIndex worker : chosen) {
                policy::occupy(pool, worker, arrival.need);
            }
            noteWait(result, arrival, nowMs);
            ends.push({nowMs + arrival.runMs, waiting.front(), chosen});
            waiting.pop_front();
        }
        notePacking(result, pool);
        ++samples;
    }
    result.cpuPacking /= static_cast<double>(samples);
    result.memoryPacking /= static_cast<double>(samples);
    result.acceleratorPacking /= static_cast<double>(samples);
    return result;
}

/** The whole cell: admission, fair queue, packing, gangs with reservation, preemption. */
class CellRun
{
public:
    CellRun(const std::vector<Arrival> &list, const benchmarks::EventListOptions &options)
        : m_list(list)
        , m_options(options)
        , m_bench(benchmarks::benchmarkDocument())
    {
        for (std::size_t i = 0; i < options.workers; ++i) {
            m_bench.addWorker("w" + std::to_string(i), benchmarks::offerOfWorker(i), "rack" + std::to_string(i / 8));
        }
        m_startMs = m_bench.now.monotonicMs;
    }

    Result run()
    {
        std::uint64_t samples = 0;
        for (std::uint64_t nowMs = 0; nowMs < m_options.durationMs; nowMs += stepMs) {
            m_bench.now.monotonicMs = m_startMs + nowMs;
            m_bench.now.wallMs += stepMs;
            finishDue(nowMs);
            submitDue(nowMs);
            if (nowMs % 1000 == 0) {
                m_bench.announceAll();
                forgetStopped();
            }
            const auto before = m_bench.cell.metrics.decisions;
            const auto begin = std::chrono::steady_clock::now();
            m_bench.run(stepMs);
            const double micros = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
            const auto made = m_bench.cell.metrics.decisions - before;
            if (made > 0 && nowMs % 1000 != 1000 - stepMs) {
                m_result.decisionMicros.push_back(micros / static_cast<double>(made));
            }
            noteStarts(nowMs);
            notePacking(m_result, m_bench.cell.leader.pool);
            ++samples;
        }
        m_result.cpuPacking /= static_cast<double>(samples);
        m_result.memoryPacking /= static_cast<double>(samples);
        m_result.acceleratorPacking /= static_cast<double>(samples);
        m_result.notRun = m_bench.reasonCount(model::Reason::QueueDeadline) + m_bench.reasonCount(model::Reason::DeadlineTooShort);
        return std::move(m_result);
    }

private:
    void submitDue(std::uint64_t nowMs)
    {
        for (; m_next < m_list.size() && m_list[m_next].atMs <= nowMs; ++m_next) {
            const Arrival &arrival = m_list[m_next];
            m_bench.submit(arrival.service, "k" + std::to_string(m_next), [&arrival](wire::TaskSpecT &spec) {
                spec.urgent = arrival.urgent;
                spec.gangSize = arrival.gangSize;
                spec.cpuMillis = static_cast<std::uint32_t>(arrival.need.cpuMillis);
                spec.memoryMb = static_cast<std::uint32_t>(arrival.need.memoryMb);
                spec.accelerators = static_cast<std::uint32_t>(arrival.need.accelerators);
            });
        }
    }

    void noteStarts(std::uint64_t nowMs)
    {
        for (; m_noted < m_bench.starts.size(); ++m_noted) {
            const control::StartOrder &order = m_bench.starts[m_noted];
            const std::string &key = order.spec.key;
            const std::size_t index = std::stoul(key.substr(1));
            if (m_started.insert(order.task).second && order.attempt == 1 && m_waited.insert(index).second) {
                noteWait(m_result, m_list[index], nowMs);
            }
            m_ends.emplace(nowMs + m_list[index].runMs, m_noted);
        }
    }

    void finishDue(std::uint64_t nowMs)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= nowMs) {
            const control::StartOrder order = m_bench.starts[m_ends.begin()->second];
            m_ends.erase(m_ends.begin());
            const auto &held = m_bench.runningTasks[order.worker];
            const auto found = held.find(order.task);
            if (found == held.end() || found->second != order.attempt) {
                continue; // Stopped meanwhile, in favour of urgent work.
            }
            const Arrival &arrival = m_list[std::stoul(order.spec.key.substr(1))];
            m_result.finishedCpuMs += arrival.need.cpuMillis * arrival.runMs;
            m_bench.finishTask(order);
        }
    }

    void forgetStopped()
    {
        m_bench.replies.clear();
    }

    const std::vector<Arrival> &m_list;
    benchmarks::EventListOptions m_options;
    fakes::CellBench m_bench;
    Result m_result;
    std::uint64_t m_startMs = 0;
    std::size_t m_next = 0;
    std::size_t m_noted = 0;
    std::set<model::TaskId> m_started;
    std::set<std::size_t> m_waited;
    std::multimap<std::uint64_t, std::size_t> m_ends;
};

void print(const char *name, double load, Result result, const benchmarks::EventListOptions &options)
{
    const double capacity = static_cast<double>(options.workers * 16000 * options.durationMs);
    std::printf("%-8s %4.1f  %7.0f %7.0f %7.0f  %7.0f %7.0f  %7.0f %7.0f  %5.1f %5.1f %5.1f  %6.1f  %8llu  %7.2f %7.1f\n",
                name,
                load,
                quantile(result.urgentWaitMs, 0.5),
                quantile(result.urgentWaitMs, 0.99),
                quantile(result.urgentWaitMs, 1),
                quantile(result.batchWaitMs, 0.5),
                quantile(result.batchWaitMs, 0.99),
                quantile(result.gangWaitMs, 0.5),
                quantile(result.gangWaitMs, 0.99),
                100 * result.cpuPacking,
                100 * result.memoryPacking,
                100 * result.acceleratorPacking,
                100 * static_cast<double>(result.finishedCpuMs) / capacity,
                static_cast<unsigned long long>(result.notRun),
                result.decisionMicros.empty() ? 0 : quantile(result.decisionMicros, 0.5),
                quantile(result.decisionMicros, 0.99));
}
}

int main(int argc, char **argv)
{
    benchmarks::EventListOptions options;
    options.workers = argc > 1 ? std::stoul(argv[1]) : 50;
    options.durationMs = 1000 * (argc > 2 ? std::stoul(argv[2]) : 120);
    options.seed = argc > 3 ? std::stoul(argv[3]) : 1;
    std::printf("%zu workers, %llu s, seed %llu; waits in ms, packing and goodput in %%, processor time in us a decision\n",
                options.workers,
                static_cast<unsigned long long>(options.durationMs / 1000),
                static_cast<unsigned long long>(options.seed));
    std::printf("%-8s %4s  %7s %7s %7s  %7s %7s  %7s %7s  %5s %5s %5s  %6s  %8s  %7s %7s\n",
                "way",
                "load",
                "urg p50",
                "urg p99",
                "urg max",
                "bat p50",
                "bat p99",
                "gang50",
                "gang99",
                "cpu",
                "mem",
                "acc",
                "goodp",
                "not-run",
                "us p50",
                "us p99");
    for (const double load : {0.5, 1.0, 2.0, 4.0}) {
        options.load = load;
        const auto list = benchmarks::makeEventList(options);
        print("baseline", load, runBaseline(list, options), options);
        print("cell", load, CellRun(list, options).run(), options);
    }
    return 0;
}
