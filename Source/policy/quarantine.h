#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace rosemaryturn::policy
{
/** Limits of the quarantine, which affects only routing and never declares a host down. */
struct QuarantinePolicy
{
    std::size_t consecutiveFailures = 3; ///< Consecutive failures after which a worker may be quarantined.
    double maxShare = 0.2; ///< Maximum share of a data centre's workers in quarantine.
    std::uint64_t probeAfterMs = 5000; ///< First wait before a probe.
    std::uint64_t maxProbeAfterMs = 60000; ///< Longest wait before a probe.
    std::size_t serviceWindow = 20; ///< Number of latest results by which a service is evaluated.
    double serviceFailureShare = 0.8; ///< Minimum share of failures at which a service is slowed down.
    std::size_t minFailingWorkers = 3; ///< Minimum number of workers on which it failed.
    std::size_t slowedConcurrency = 2; ///< Maximum concurrent tasks of a slowed service.
};

/** Failure state of one worker. */
struct WorkerHealth
{
    std::size_t consecutiveFailures = 0;
    std::set<std::string> failedServices; ///< Services that failed there since its last success.
    bool quarantined = false;
    std::uint64_t probeDueMs = 0;
    std::uint64_t probeAfterMs = 0;
};

/** Recent results of one service. */
struct ServiceHealth
{
    std::deque<std::pair<std::string, bool>> latest; ///< Worker and whether the task succeeded there.
    bool slowed = false;
};

/** Failure records of a data centre. */
struct Quarantine
{
    QuarantinePolicy policy;
    std::map<std::string, WorkerHealth> workers;
    std::map<std::string, ServiceHealth> services;
    std::size_t quarantined = 0;
};

/**
 * Records the result of an attempt.
 * @param quarantine the records.
 * @param worker the worker. @param service the service.
 * @param succeeded whether the task returned an answer.
 * @param workerCount workers in the data centre, which limits the quarantine.
 * @param nowMs current time.
 */
void recordAttemptEnd(Quarantine &quarantine, const std::string &worker, const std::string &service, bool succeeded, std::size_t workerCount,
                      std::uint64_t nowMs);

/** @param quarantine the records. @param worker a worker. @param nowMs current time. @return whether it currently gets no tasks. */
bool isExcluded(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs);

/** @param quarantine the records. @param worker a worker. @param nowMs current time. @return whether it gets one idempotent task at a time. */
bool isProbing(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs);

/** @param quarantine the records. @param service a service. @return whether it fails on many workers and is slowed down. */
bool isSlowed(const Quarantine &quarantine, const std::string &service);
}
