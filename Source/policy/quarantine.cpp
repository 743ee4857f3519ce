#include "policy/quarantine.h"

#include <algorithm>

namespace rosemaryturn::policy
{
namespace
{
void updateServiceState(const QuarantinePolicy &policy, ServiceHealth &service)
{
    std::set<std::string> failedOn;
    std::size_t failures = 0;
    for (const auto &[worker, succeeded] : service.latest) {
        if (!succeeded) {
            ++failures;
            failedOn.insert(worker);
        }
    }
    const double share = static_cast<double>(failures) / static_cast<double>(service.latest.size());
    service.slowed = failedOn.size() >= policy.minFailingWorkers && share >= policy.serviceFailureShare;
}

void recordServiceEnd(const QuarantinePolicy &policy, ServiceHealth &service, const std::string &worker, bool succeeded)
{
    service.latest.emplace_back(worker, succeeded);
    if (service.latest.size() > policy.serviceWindow) {
        service.latest.pop_front();
    }
    updateServiceState(policy, service);
}

/** @return whether the service succeeds on other workers, which makes this worker the likely cause of the failures. */
bool succeedsElsewhere(const ServiceHealth &service, const std::string &worker)
{
    return std::any_of(service.latest.begin(), service.latest.end(), [&worker](const auto &end) {
        return end.second && end.first != worker;
    });
}

bool isAtFault(const Quarantine &quarantine, const std::string &worker, const WorkerHealth &health)
{
    if (health.consecutiveFailures < quarantine.policy.consecutiveFailures) {
        return false;
    }
    return std::any_of(health.failedServices.begin(), health.failedServices.end(), [&](const std::string &service) {
        const auto found = quarantine.services.find(service);
        return found != quarantine.services.end() && !found->second.slowed && succeedsElsewhere(found->second, worker);
    });
}

void recordSuccess(Quarantine &quarantine, WorkerHealth &health)
{
    if (health.quarantined) {
        --quarantine.quarantined;
    }
    health = WorkerHealth{};
}

void recordProbeFailure(const QuarantinePolicy &policy, WorkerHealth &health, std::uint64_t nowMs)
{
    health.probeAfterMs = std::min(health.probeAfterMs * 2, policy.maxProbeAfterMs);
    health.probeDueMs = nowMs + health.probeAfterMs;
}
}

void recordAttemptEnd(Quarantine &quarantine, const std::string &worker, const std::string &service, bool succeeded, std::size_t workerCount,
                      std::uint64_t nowMs)
{
    recordServiceEnd(quarantine.policy, quarantine.services[service], worker, succeeded);
    WorkerHealth &health = quarantine.workers[worker];
    if (succeeded) {
        recordSuccess(quarantine, health);
        return;
    }
    ++health.consecutiveFailures;
    health.failedServices.insert(service);
    if (health.quarantined) {
        recordProbeFailure(quarantine.policy, health, nowMs);
        return;
    }
    const double shareAfter = static_cast<double>(quarantine.quarantined + 1) / static_cast<double>(std::max<std::size_t>(workerCount, 1));
    if (isAtFault(quarantine, worker, health) && shareAfter <= quarantine.policy.maxShare) {
        health.quarantined = true;
        health.probeAfterMs = quarantine.policy.probeAfterMs;
        health.probeDueMs = nowMs + health.probeAfterMs;
        ++quarantine.quarantined;
    }
}

bool isExcluded(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs)
{
    const auto found = quarantine.workers.find(worker);
    return found != quarantine.workers.end() && found->second.quarantined && nowMs < found->second.probeDueMs;
}

bool isProbing(const Quarantine &quarantine, const std::string &worker, std::uint64_t nowMs)
{
    const auto found = quarantine.workers.find(worker);
    return found != quarantine.workers.end() && found->second.quarantined && nowMs >= found->second.probeDueMs;
}

bool isSlowed(const Quarantine &quarantine, const std::string &service)
{
    const auto found = quarantine.services.find(service);
    return found != quarantine.services.end() && found->second.slowed;
}
}
