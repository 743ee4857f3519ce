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
/** Checks the invariants of the system against the runs of the workers and the replies to callers and operators. */
class Invariants
{
public:
    /** Records a started run. @param run the run. */
    void recordRun(const BenchRun &run);
    /** Records a reply to a caller. @param view the task as reported to the caller. */
    void recordAnswer(const wire::TaskViewT &view);
    /** Records the revision in force on a host. @param host the host. @param environment the environment. @param revision its number. @param digest of
     * its document. */
    void recordRevision(const std::string &host, const std::string &environment, std::uint64_t revision, const std::string &digest);
    /** Records a leader. @param group its group. @param term its term. @param host the host. */
    void recordLeader(const std::string &group, std::uint64_t term, const std::string &host);
    /** Checks the current runs of all workers. @param workers the workers. @param nowMs the current time. */
    void checkWorkers(const std::list<BenchWorker> &workers, std::uint64_t nowMs);
    /** Adds a violation detected by a test; repeated texts are added once. @param text description of the violation. */
    void add(const std::string &text);

    /** @return descriptions of all violations; empty if there are none. */
    const std::vector<std::string> &violations() const;
    /** @param key a key. @return the number of started runs of its tasks. */
    std::uint64_t startedRuns(const std::string &key) const;

private:
    std::map<std::string, std::map<model::TaskId, std::uint64_t>> m_startedRuns; ///< Number of started runs, by key and task.
    std::set<std::string> m_reportedNotRun;
    std::map<std::string, wire::Bytes> m_answers;
    std::map<std::string, std::uint64_t> m_revisions; ///< Highest revision seen, by host and environment.
    std::map<std::string, std::string> m_digests; ///< Digests, by environment and revision.
    std::map<std::string, std::string> m_leaders; ///< Leaders, by group and term.
    std::vector<std::string> m_violations;
};
}
