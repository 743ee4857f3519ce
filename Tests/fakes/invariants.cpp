#include "fakes/invariants.h"

#include "model/task.h"

#include <algorithm>

namespace rosemaryturn::fakes
{
namespace
{
std::string taskName(const std::string &key, model::TaskId task)
{
    return key + "#" + std::to_string(task);
}
}

void Invariants::add(const std::string &text)
{
    if (std::find(m_violations.begin(), m_violations.end(), text) == m_violations.end()) {
        m_violations.push_back(text);
    }
}

const std::vector<std::string> &Invariants::violations() const
{
    return m_violations;
}

std::uint64_t Invariants::startedRuns(const std::string &key) const
{
    const auto found = m_startedRuns.find(key);
    std::uint64_t count = 0;
    if (found != m_startedRuns.end()) {
        for (const auto &[task, runs] : found->second) {
            count += runs;
        }
    }
    return count;
}

void Invariants::recordRun(const BenchRun &run)
{
    // A spilled task has a different number in the other data centre, but the caller's key; its runs are counted under task 0.
    const std::uint64_t runs = ++m_startedRuns[run.key][run.spec.originKey.empty() ? run.task : 0];
    if (!run.spec.idempotent && runs > 1) {
        add("non-idempotent task ran more than once: " + taskName(run.key, run.task));
    }
    if (!run.spec.idempotent && run.spec.gangSize <= 1 && startedRuns(run.key) > 1) {
        add("non-idempotent task ran more than once: " + run.key);
    }
    if (m_startedRuns[run.key].count(0) == 0 && m_startedRuns[run.key].size() > std::max<std::size_t>(run.spec.gangSize, 1)) {
        add("key accepted more than once: " + run.key);
    }
    if (m_reportedNotRun.count(taskName(run.key, run.task)) > 0) {
        add("ran after it was reported as not run: " + taskName(run.key, run.task));
    }
}

void Invariants::recordAnswer(const wire::TaskViewT &view)
{
    if (view.phase != wire::TaskPhase::Ended) {
        return;
    }
    const std::string name = taskName(view.key, view.task);
    if (view.outcome == wire::Outcome::NotRun) {
        m_reportedNotRun.insert(name);
        // Earlier attempts may have run only for idempotent tasks, and then the outcome must not be NotRun.
        const auto &starts = m_startedRuns[view.key];
        const auto own = starts.find(view.task);
        if ((own != starts.end() && own->second > 0) || starts.count(0) > 0) {
            add("reported as not run, but had run: " + name);
        }
    }
    if (view.outcome != wire::Outcome::Answered) {
        return;
    }
    wire::TaskSpecT spec;
    spec.key = view.key;
    if (view.answer != expectedAnswer(spec)) {
        add("incomplete or wrong answer: " + name);
    }
    const auto [earlier, fresh] = m_answers.emplace(name, view.answer);
    if (!fresh && earlier->second != view.answer) {
        add("different answers to one request: " + name);
    }
}

void Invariants::recordRevision(const std::string &host, const std::string &environment, std::uint64_t revision, const std::string &digest)
{
    std::uint64_t &highest = m_revisions[host + "/" + environment];
    if (revision < highest) {
        add("configuration reverted on " + host + " from " + std::to_string(highest) + " to " + std::to_string(revision));
    }
    highest = std::max(highest, revision);
    std::string &known = m_digests[environment + "/" + std::to_string(revision)];
    if (!known.empty() && known != digest) {
        add("different documents with the same revision: " + environment + " " + std::to_string(revision));
    }
    known = digest;
}

void Invariants::recordLeader(const std::string &group, std::uint64_t term, const std::string &host)
{
    const auto [known, fresh] = m_leaders.emplace(group + "/" + std::to_string(term), host);
    if (!fresh && known->second != host) {
        add("two leaders in one term: " + known->first + " " + known->second + " and " + host);
    }
}

void Invariants::checkWorkers(const std::list<BenchWorker> &workers, std::uint64_t nowMs)
{
    std::map<std::string, std::string> workerByTask;
    for (const BenchWorker &worker : workers) {
        model::Resources used;
        for (const auto &[id, run] : worker.runs()) {
            // A paused worker executes nothing, and drops expired runs first when it resumes.
            if (run.ended || (worker.paused && nowMs >= run.leaseUntilMs)) {
                continue;
            }
            used = used + model::needOf(run.spec);
            const auto [other, alone] = workerByTask.emplace(taskName(run.key, id), worker.shape().worker);
            if (!alone) {
                add("runs on two workers: " + taskName(run.key, id) + " on " + other->second + " and " + worker.shape().worker);
            }
        }
        if (!model::fits(used, model::offerOf(worker.shape()))) {
            add("worker over-committed: " + worker.shape().worker);
        }
    }
}
}
