#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace rosemaryturn::policy
{
/** Limits of the quarantine; it is a matter of routing and never says that a host is down. */
struct QuarantinePolicy
{
    std::size_t consecutiveFailures = 3; ///< Failures without success before a worker is suspected.
    double maxShare = 0.2; ///< Largest share of a data centre's workers in quarantine.
    std::uint64_t probeAfterMs = 5000; ///< First wait before a probe.
    std::uint64_t maxProbeAfterMs = 60000; ///< Longest wait before a probe.
    std::size_t serviceWindow = 20; ///< Latest ends that a service is judged by.
    double serviceFailureShare = 0.8; ///< Share of failures from which a service is slowed down.
    std::size_t minFailingWorkers = 3; ///< Workers that must have failed it.
    std::size_t slowedConcurrency = 2; ///< Tasks that a slowed service runs at a time.
};

/** What is remembered of one worker. */
struct WorkerHealth
{
    std::size_t consecutiveFailures = 0;
    std::set<std::string> failedServices; ///< Since its last success.
    bool quarantined = false;
    std::uint64_t probeDueMs = 0;
    std::uint64_t probeAfterMs = 0;
};

/** What is remembered of one service. */
struct ServiceHealth
{
    std::deque<std::pair<std::string, bool>> latest; ///< Worker and whether it succeeded.
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
 * Takes note of how an attempt ended.
 * @param quarantine the records.
 * @param worker the worker. @param service the service.
 * @param succeeded whether the task gave an answer.
 * @param workerCount workers in the data centre, which bounds the quarantine.
 * @param nowMs the present time.
 */
void recordAttemptEnd(Quarantine &quarantine, const std::string &worker, const std::string &service, bool succeeded, std::size_t workerCount, std::uint64_t nowMs);

/** @param quarantine the records. @param worker a worker. @param nowMs the present time. @return whether it gets no work now. */
bool isExcluded(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs);

/** @param quarantine the records. @param worker a worker. @param nowMs the present time. @return whether it gets one idempotent task at a time. */
bool isProbing(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs);

/** @param quarantine the records. @param service a service. @return whether it fails on many workers and is slowed down. */
bool isSlowed(const Quarantine &quarantine, const std::string &service);
}
