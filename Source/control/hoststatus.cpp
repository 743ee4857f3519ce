#include "control/hostinternal.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rosemaryturn::control::internal
{
namespace
{
using Json = nlohmann::json;

const char *roleName(consensus::Role role)
{
    constexpr std::array names{"follower", "pre-candidate", "candidate", "leader"};
    return names.at(static_cast<std::size_t>(role));
}

const char *memberRoleName(wire::MemberRole role)
{
    constexpr std::array names{"voter", "witness", "learner"};
    return names.at(static_cast<std::size_t>(role));
}

Json membersOf(const consensus::Node &node)
{
    Json members = Json::array();
    for (const auto &member : node.membership.members) {
        const auto progress = node.progress.find(member->host);
        const std::uint64_t match = progress == node.progress.end() ? 0 : progress->second.matchIndex;
        members.push_back({{"host", member->host}, {"role", memberRoleName(member->role)}, {"durable", member->durable}, {"match", match}});
    }
    return members;
}

Json groupOf(const consensus::Node &node, const Now &now)
{
    return {{"role", node.witness ? "witness" : roleName(node.role)},
            {"term", node.term},
            {"leader", node.leader},
            {"leaseHeld", consensus::holdsLease(node, now.monotonicMs)},
            {"lastIndex", consensus::lastIndex(node.log)},
            {"commit", node.commit},
            {"applied", node.applied},
            {"snapshotIndex", node.log.snapshotIndex},
            {"members", membersOf(node)}};
}

Json configOf(const ConfigState &config)
{
    Json environments = Json::object();
    for (const auto &[name, history] : config.environments) {
        if (!history.revisions.empty()) {
            environments[name] = {{"revision", history.revisions.back().revision}, {"digest", history.revisions.back().digest}};
        }
    }
    return environments;
}

Json countsOf(const CellState &state)
{
    std::array<std::uint64_t, 3> phases{};
    std::map<std::string_view, std::uint64_t> outcomes;
    for (const auto &[id, task] : state.tasks) {
        ++phases.at(static_cast<std::size_t>(task.phase));
        if (task.phase == wire::TaskPhase::Ended) {
            ++outcomes[model::outcomeName(task.outcome)];
        }
    }
    Json ended = Json::object();
    for (const auto &[name, number] : outcomes) {
        ended[std::string(name)] = number;
    }
    return {{"queued", phases[0]}, {"dispatched", phases[1]}, {"ended", phases[2]}, {"outcomes", ended}};
}

Json servicesOf(const Host &host)
{
    Json services = Json::object();
    for (const auto &[service, instances] : host.cell.leader.instances) {
        std::uint64_t running = 0;
        for (const auto &[number, id] : instances) {
            const auto live = host.cell.leader.live.find(id);
            running += live != host.cell.leader.live.end() && live->second.confirmed && live->second.holdsCapacity ? 1 : 0;
        }
        services[service] = {{"instances", instances.size()}, {"running", running}};
    }
    return services;
}

Json workersOf(const Host &host)
{
    Json workers = Json::array();
    for (const policy::PooledWorker &worker : host.cell.leader.pool.workers) {
        workers.push_back({{"worker", worker.id},
                           {"rack", worker.rack},
                           {"eligible", worker.eligible},
                           {"probing", worker.probing},
                           {"down", isDown(host.config, worker.id)},
                           {"tasks", worker.tasks},
                           {"cpuMillis", {{"used", worker.used.cpuMillis}, {"offered", worker.offer.cpuMillis}}},
                           {"memoryMb", {{"used", worker.used.memoryMb}, {"offered", worker.offer.memoryMb}}},
                           {"accelerators", {{"used", worker.used.accelerators}, {"offered", worker.offer.accelerators}}}});
    }
    return workers;
}

Json waitTimesOf(const telemetry::DurationQuantiles &wait)
{
    return {{"count", wait.count()}, {"p50Ms", wait.quantile(0.5)}, {"p90Ms", wait.quantile(0.9)}, {"p99Ms", wait.quantile(0.99)}, {"worstMs", wait.max()}};
}

double utilisation(std::uint64_t used, std::uint64_t offered)
{
    return offered == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(offered);
}

Json packingOf(const policy::WorkerPool &pool)
{
    return {{"cpu", utilisation(pool.totalUsed.cpuMillis, pool.totalOffer.cpuMillis)},
            {"memory", utilisation(pool.totalUsed.memoryMb, pool.totalOffer.memoryMb)},
            {"accelerators", utilisation(pool.totalUsed.accelerators, pool.totalOffer.accelerators)},
            {"slots", utilisation(pool.totalUsed.slots, pool.totalOffer.slots)}};
}

Json reasonsOf(const telemetry::Metrics &metrics)
{
    Json reasons = Json::object();
    for (const model::ReasonInfo &info : model::allReasons()) {
        if (info.reason != model::Reason::None) {
            reasons[std::string(info.name)] = metrics.reasons.at(static_cast<std::size_t>(info.reason)) + telemetry::refusalCounters().value(info.reason);
        }
    }
    return reasons;
}
}

std::string statusOf(const Host &host, const Now &now)
{
    Json groups = Json::object();
    for (const auto &[name, node] : host.groups) {
        groups[name] = groupOf(node, now);
    }
    Json peers = Json::object();
    for (const auto &[name, peer] : host.peers) {
        peers[name] = peer.connected;
    }
    const Json status{{"host", host.settings.host},
                      {"dataCentre", host.dataCentre},
                      {"ready", isReady(host)},
                      {"draining", host.draining},
                      {"configuration", configOf(host.config)},
                      {"groups", groups},
                      {"peers", peers},
                      {"decides", host.cell.leader.active},
                      {"tasks", countsOf(host.cell.state)},
                      {"services", servicesOf(host)},
                      {"workers", workersOf(host)}};
    return status.dump();
}

std::string metricsOf(const Host &host)
{
    const telemetry::Metrics &metrics = host.cell.metrics;
    const telemetry::ProcessUsage cost = telemetry::processUsage();
    const Json json{{"reasons", reasonsOf(metrics)},
                    {"waiting", {{"urgent", waitTimesOf(metrics.urgentWait)}, {"normal", waitTimesOf(metrics.normalWait)}}},
                    {"packing", packingOf(host.cell.leader.pool)},
                    {"queued", host.cell.leader.queue.queued},
                    {"accepted", metrics.accepted},
                    {"dispatched", metrics.dispatched},
                    {"answered", metrics.answered},
                    {"requeued", metrics.requeued},
                    {"spilled", metrics.spilled},
                    {"snapshotsRefused", host.snapshotsRefused},
                    {"announcements", metrics.announcements},
                    {"records", metrics.records},
                    {"decisions", metrics.decisions},
                    {"elections", metrics.elections},
                    {"process", {{"cpuSeconds", cost.cpuSeconds}, {"residentKb", cost.residentKb}}}};
    return json.dump();
}
}
