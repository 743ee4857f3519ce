#include "deployment/leader.h"

#include <set>
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
 * Records the runs under which an upstream's process ended unexpectedly, so that a task that crashes upstreams isn't started without end.
 * @param leader the leader state. @param upstreamState the upstream state, still with the process that ended. @param now the current time. @param output
 * receives the effects.
 */
void reportCrash(Leader &leader, UpstreamState &upstreamState, const Now &now, LeaderOutput &output)
{
    const std::vector<CrashedRun> lapsedRuns = std::exchange(upstreamState.lapsedRuns, {});
    if (upstreamState.registration.draining) {
        return; // A planned end.
    }
    wire::RunsCrashedT record;
    for (const auto &[task, run] : upstreamState.runs) {
        const upstream::CrashEvidence evidence = upstream::crashEvidence(upstreamState, run);
        if (evidence != upstream::CrashEvidence::None) {
            appendRun({task, run.number, evidence == upstream::CrashEvidence::Confirmed}, upstreamState, record);
        }
    }
    for (const CrashedRun &run : lapsedRuns) {
        appendRun(run, upstreamState, record);
    }
    const std::size_t counted = record.runs.size() + record.possibleRuns.size();
    if (counted == 0) {
        return;
    }
    ++leader.counters.upstreamsCrashed;
    leader.counters.runsCrashed += counted;
    output.decisions.push_back({"upstream-crashed",
                                upstreamState.registration.id,
                                "confirmed=" + std::to_string(record.runs.size()) + " possible=" + std::to_string(record.possibleRuns.size())
                                    + " lapsed=" + std::to_string(lapsedRuns.size())});
    record.atMs = now.wallMs;
    record.maxCrashes = leader.options.maxCrashes;
    record.maxPossibleCrashes = leader.options.maxPossibleCrashes;
    output.proposals.push_back(wire::encodeChange(std::move(record)));
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
