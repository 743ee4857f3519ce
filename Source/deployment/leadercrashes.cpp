#include "deployment/leader.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace rosemaryturn::deployment::internal
{
namespace
{
using upstream::CrashedRun;
using upstream::UpstreamState;

void appendRun(const CrashedRun &run, const UpstreamState &upstreamState, wire::RunsCrashedT &record)
{
    const job::TaskRef &task = run.task;
    (run.confirmed ? record.runs : record.possibleRuns)
        .emplace_back(task.job, upstreamState.registration.number, task.occurrence, task.step, task.index, run.number);
}

/** @return all runs of a record. */
std::vector<wire::RunPlaced> allRuns(const wire::RunsCrashedT &record)
{
    std::vector<wire::RunPlaced> runs = record.runs;
    runs.insert(runs.end(), record.possibleRuns.begin(), record.possibleRuns.end());
    return runs;
}
}

/**
 * Records runs under which an upstream's process ended unexpectedly.
 * @param leader the leader state. @param upstreamState the upstream state. @param runs the runs. @param now the current time. @param output receives the
 * effects.
 */
void reportCrashedRuns(Leader &leader, const UpstreamState &upstreamState, std::span<const CrashedRun> runs, const Now &now, LeaderOutput &output)
{
    if (runs.empty()) {
        return;
    }
    wire::RunsCrashedT record;
    for (const CrashedRun &run : runs) {
        appendRun(run, upstreamState, record);
    }
    leader.counters.runsCrashed += runs.size();
    output.decisions.push_back({"upstream-crashed",
                                upstreamState.registration.id,
                                "confirmed=" + std::to_string(record.runs.size()) + " possible=" + std::to_string(record.possibleRuns.size())});
    record.atMs = now.wallMs;
    record.maxCrashes = leader.options.maxCrashes;
    record.maxPossibleCrashes = leader.options.maxPossibleCrashes;
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

/**
 * Records the runs under which an upstream's process ended unexpectedly, so that a task that crashes upstreams isn't started without end.
 * @param leader the leader state. @param upstreamState the upstream state, still with the process that ended. @param listsFollow whether the lists of a process
 * started since under the id will show which of the runs that no list has shown it began itself; these are suspected until then. @param now the current time.
 * @param output receives the effects.
 */
void reportCrash(Leader &leader, UpstreamState &upstreamState, bool listsFollow, const Now &now, LeaderOutput &output)
{
    std::vector<CrashedRun> crashed = std::exchange(upstreamState.lapsedRuns, {});
    if (upstreamState.registration.draining) {
        return; // A planned end.
    }
    bool suspected = false;
    for (auto &[task, run] : upstreamState.runs) {
        const upstream::CrashEvidence evidence = upstream::crashEvidence(upstreamState, run);
        if (listsFollow && !run.located) {
            run.suspectedCrash = std::max(run.suspectedCrash, evidence);
            suspected = suspected || evidence != upstream::CrashEvidence::None;
        } else if (evidence != upstream::CrashEvidence::None) {
            crashed.push_back({task, run.number, evidence == upstream::CrashEvidence::Confirmed});
        }
    }
    leader.counters.upstreamsCrashed += suspected || !crashed.empty() ? 1 : 0;
    reportCrashedRuns(leader, upstreamState, crashed, now, output);
}

void applyRunsCrashed(Leader &leader, const job::State &state, const wire::RunsCrashedT &record, const Now &now, LeaderOutput &output)
{
    std::set<std::uint64_t> jobs;
    for (const wire::RunPlaced &run : allRuns(record)) {
        jobs.insert(run.job());
        const StepRef step{run.job(), run.occurrence(), run.step()};
        if (leader.waiting.count(step) > 0) {
            updateWaitingStep(leader, state, step, now);
        }
    }
    for (const std::uint64_t number : jobs) {
        const auto job = state.jobs.find(number);
        if (job == state.jobs.end() || job->second.phase != job::Phase::Failed || job->second.endedAtMs != record.atMs) {
            continue;
        }
        ++leader.counters.jobsGivenUp;
        output.decisions.push_back({"job-given-up",
                                    job->second.spec.id,
                                    "maxCrashes=" + std::to_string(record.maxCrashes) + " maxPossibleCrashes=" + std::to_string(record.maxPossibleCrashes)});
        onJobEnded(leader, state, job->second, now, output);
    }
}
}
