#include "control/cellinternal.h"

#include <xxhash.h>

#include <charconv>

namespace rosemaryturn::control::internal
{
namespace
{
constexpr std::uint64_t reconcileEveryMs = 500;
constexpr std::string_view instancePrefix = "instance:";

/** @return the key of an instance: instance:ENVIRONMENT/SERVICE:NUMBER:GENERATION. */
std::string instanceKey(const std::string &service, std::uint64_t number, std::uint64_t generation)
{
    return std::string(instancePrefix) + service + ":" + std::to_string(number) + ":" + std::to_string(generation);
}

std::uint64_t instanceNumber(const std::string &key)
{
    const std::size_t last = key.rfind(':');
    const std::size_t before = key.rfind(':', last - 1);
    std::uint64_t number = 0;
    std::from_chars(key.data() + before + 1, key.data() + last, number);
    return number;
}

wire::TaskSpecT instanceSpec(const std::string &environment, const config::ServiceDeclaration &service)
{
    wire::TaskSpecT spec;
    spec.service = qualify(environment, service.name);
    spec.team = qualify(environment, service.team);
    spec.kind = wire::TaskKind::Service;
    spec.idempotent = true;
    spec.cpuMillis = static_cast<std::uint32_t>(service.size.cpuMillis);
    spec.memoryMb = static_cast<std::uint32_t>(service.size.memoryMb);
    spec.accelerators = static_cast<std::uint32_t>(service.size.accelerators);
    const wire::Bytes bytes = wire::encode(spec);
    spec.digest = XXH64(bytes.data(), bytes.size(), 0);
    return spec;
}

void proposeInstance(Cell &cell, wire::TaskSpecT spec, std::uint64_t number, const Now &now, CellOutput &output)
{
    spec.key = instanceKey(spec.service, number, cell.state.nextTask);
    cell.leader.pendingInstances.insert(spec.service + ":" + std::to_string(number));
    wire::TasksAcceptedT record;
    record.atMs = now.wallMs;
    record.specs.push_back(std::make_unique<wire::TaskSpecT>(std::move(spec)));
    output.proposals.push_back(wire::encodeChange(std::move(record)));
}

void retire(Cell &cell, model::TaskId id, const Now &now, CellOutput &output)
{
    const model::Task &task = cell.state.tasks.at(id);
    if (task.phase == wire::TaskPhase::Queued) {
        const auto live = cell.leader.live.find(id);
        if (live != cell.leader.live.end() && !live->second.endProposed && !live->second.dispatchProposed) {
            proposeEnd(cell, task, wire::Outcome::NotRun, model::Reason::ReplacedByConfig, {}, now, output);
        }
        return;
    }
    requestStop(cell, id, model::Reason::ReplacedByConfig);
}

/** Starts, replaces and stops instances as declared. @return whether an instance is being replaced or started, so that the next replacement has to wait. */
bool reconcileInstances(Cell &cell, const wire::TaskSpecT &wanted, std::uint64_t instances, const Now &now, CellOutput &output)
{
    auto &running = cell.leader.instances[wanted.service];
    bool changing = false;
    for (auto at = running.begin(); at != running.end();) {
        const auto task = cell.state.tasks.find(at->second);
        const bool ended = task == cell.state.tasks.end() || task->second.phase == wire::TaskPhase::Ended;
        if (ended) {
            at = running.erase(at);
            continue;
        }
        const bool excess = at->first >= instances;
        const bool outdated = task->second.spec.digest != wanted.digest;
        const bool starting = task->second.phase == wire::TaskPhase::Queued;
        if (excess || (outdated && !changing)) {
            retire(cell, at->second, now, output);
        }
        // Instances are replaced one at a time, so that the others remain available.
        changing = changing || outdated || starting;
        ++at;
    }
    for (std::uint64_t number = 0; number < instances; ++number) {
        const std::string instance = wanted.service + ":" + std::to_string(number);
        if (running.count(number) == 0 && cell.leader.pendingInstances.count(instance) == 0) {
            proposeInstance(cell, wanted, number, now, output);
        }
    }
    return changing;
}
}

void recordInstance(Cell &cell, const model::Task &task)
{
    if (task.spec.kind != wire::TaskKind::Service || task.spec.key.rfind(instancePrefix, 0) != 0) {
        return;
    }
    const std::uint64_t number = instanceNumber(task.spec.key);
    cell.leader.instances[task.spec.service][number] = task.id;
    cell.leader.pendingInstances.erase(task.spec.service + ":" + std::to_string(number));
}

void reconcileServices(Cell &cell, const Now &now, CellOutput &output)
{
    if (now.monotonicMs < cell.leader.nextReconcileMs || cell.config->environments.empty()) {
        return;
    }
    cell.leader.nextReconcileMs = now.monotonicMs + reconcileEveryMs;
    std::set<std::string> declared;
    for (const auto &[environment, history] : cell.config->environments) {
        for (const config::ServiceDeclaration &service : history.document.services) {
            if (service.kind == wire::TaskKind::Service && service.home == cell.options.dataCentre) {
                declared.insert(qualify(environment, service.name));
                reconcileInstances(cell, instanceSpec(environment, service), service.instances, now, output);
            }
        }
    }
    for (auto &[service, running] : cell.leader.instances) {
        if (declared.count(service) == 0 && !running.empty()) {
            wire::TaskSpecT removed;
            removed.service = service;
            reconcileInstances(cell, removed, 0, now, output);
        }
    }
}
}
