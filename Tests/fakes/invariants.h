#pragma once

#include "fakes/benchworker.h"
#include "wire/codec.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemaryturn::fakes
{
/** Checks what must always hold, from what workers did and what callers and operators were told. */
class Invariants
{
public:
    /** Takes note of a run that started. @param run the run. */
    void recordRun(const BenchRun &run);
    /** Takes note of an answer to a caller. @param view the task as the caller saw it. */
    void recordAnswer(const wire::TaskViewT &view);
    /** Takes note of the revision in force on a host. @param host the host. @param environment the environment. @param revision its number. @param digest of
     * its document. */
    void recordRevision(const std::string &host, const std::string &environment, std::uint64_t revision, const std::string &digest);
    /** Takes note of a leader that may act. @param group its group. @param term its term. @param host the host. */
    void recordLeader(const std::string &group, std::uint64_t term, const std::string &host);
    /** Checks all workers at one moment. @param workers the workers. @param nowMs the present. */
    void checkWorkers(const std::list<BenchWorker> &workers, std::uint64_t nowMs);
    /** Adds a violation that a test found by itself. @param text what is wrong. */
    void add(const std::string &text);

    /** @return what was violated; empty when everything held. */
    const std::vector<std::string> &violations() const;
    /** @param key a key. @return runs of its tasks that started. */
    std::uint64_t startedRuns(const std::string &key) const;

private:
    std::map<std::string, std::map<model::TaskId, std::uint64_t>> m_startedRuns; ///< Begins by key and task.
    std::set<std::string> m_reportedNotRun;
    std::map<std::string, wire::Bytes> m_answers;
    std::map<std::string, std::uint64_t> m_revisions; ///< Highest seen, by host and environment.
    std::map<std::string, std::string> m_digests; ///< By environment and revision.
    std::map<std::string, std::string> m_leaders; ///< By group and term.
    std::vector<std::string> m_violations;
};
}
