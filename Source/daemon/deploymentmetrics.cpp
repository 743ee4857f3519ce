#include "daemon/deploymentmetrics.h"

#include "model/reason.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace rosemaryturn::daemon
{
namespace
{
void appendMetric(std::string &text, std::string_view name, std::uint64_t value)
{
    text.append("rosemaryturn_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

/** Appends a histogram as cumulative counts by upper bound, in the Prometheus text format. */
void appendHistogram(std::string &text, const std::string &name, const deployment::LatencyHistogram &histogram)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        total += histogram.counts[i];
        const std::string bound = i < deployment::latencyBoundsMs.size() ? std::to_string(deployment::latencyBoundsMs[i]) : "+Inf";
        std::string label = name;
        label.append("_bucket{le=\"").append(bound).append("\"}");
        appendMetric(text, label, total);
    }
    appendMetric(text, name + "_sum", histogram.sumMs);
    appendMetric(text, name + "_count", total);
}

/** Maximum number of teams with gauges of their own, the first ones by name. */
constexpr std::size_t maxTeamsShown = 100;

/** @return a text as the value of a label in the Prometheus text format. */
std::string labelValue(std::string_view text)
{
    std::string value;
    for (const char symbol : text) {
        if (symbol == '\\' || symbol == '"') {
            value += '\\';
        }
        value += symbol == '\n' ? ' ' : symbol;
    }
    return value;
}

/** Appends what each team of the plan has running and its limit; a limit of 0 means none. */
void appendTeamMetrics(std::string &text, const deployment::Leader &leader)
{
    std::size_t shown = 0;
    for (const auto &[name, limits] : leader.teams) {
        if (++shown > maxTeamsShown) {
            break;
        }
        const auto found = leader.teamUsage.find(name);
        const model::Resources used = found == leader.teamUsage.end() ? model::Resources{} : found->second;
        const std::string label = "{team=\"" + labelValue(name) + "\"}";
        appendMetric(text, "team_running_cpu_millis" + label, used.cpuMillis);
        appendMetric(text, "team_limit_cpu_millis" + label, limits.most.cpuMillis);
        appendMetric(text, "team_running_memory_mb" + label, used.memoryMb);
        appendMetric(text, "team_limit_memory_mb" + label, limits.most.memoryMb);
        appendMetric(text, "team_running_accelerators" + label, used.accelerators);
        appendMetric(text, "team_limit_accelerators" + label, limits.most.accelerators);
    }
    appendMetric(text, "teams", leader.teams.size());
    const auto overShare = std::count_if(leader.shareLimits.begin(), leader.shareLimits.end(), [&leader](const auto &entry) {
        return deployment::internal::isOverShare(leader, entry.first);
    });
    appendMetric(text, "teams_over_share", static_cast<std::uint64_t>(overShare));
    appendMetric(text, "jobs_beyond_team_limit_total", leader.counters.jobsBeyondTeamLimit);
    appendMetric(text, "steps_held_by_team_limit_total", leader.counters.stepsHeldByTeamLimit);
}

void appendLeaderMetrics(std::string &text, const deployment::Leader &leader)
{
    const deployment::LeaderCounters &counters = leader.counters;
    appendMetric(text, "leads", leader.active ? 1 : 0);
    appendMetric(text, "term", leader.term);
    appendMetric(text, "upstreams", leader.upstreams.size());
    appendMetric(text, "runs", leader.placements.size());
    appendMetric(text, "waiting_steps", leader.waiting.size());
    appendMetric(text, "jobs_accepted_total", counters.accepted);
    appendMetric(text, "jobs_cancelled_total", counters.jobsCancelled);
    appendMetric(text, "jobs_failed_by_plan_total", counters.jobsFailedByPlan);
    appendMetric(text, "calls_without_key_total", counters.callsWithoutKey);
    appendMetric(text, "calls_with_unknown_key_total", counters.callsWithUnknownKey);
    appendMetric(text, "calls_for_other_team_total", counters.callsForOtherTeam);
    appendMetric(text, "starts_total", counters.starts);
    appendMetric(text, "starts_unanswered_total", counters.startsUnanswered);
    appendMetric(text, "starts_rejected_total", counters.startsRejected);
    appendMetric(text, "stops_total", counters.stops);
    appendMetric(text, "looks_total", counters.polls);
    appendMetric(text, "looks_unanswered_total", counters.pollsUnanswered);
    appendMetric(text, "advice_calls_total", counters.adviceCalls);
    appendMetric(text, "advice_unanswered_total", counters.adviceUnanswered);
    appendMetric(text, "advice_upstreams_total", counters.adviceUpstreams);
    appendMetric(text, "advice_renewals_total", counters.adviceRenewals);
    for (std::size_t hold = 1; hold < policy::adviceHolds; ++hold) {
        const std::string_view reason = policy::nameOf(static_cast<policy::AdviceHold>(hold));
        appendMetric(text, "advice_held_total{reason=\"" + std::string(reason) + "\"}", counters.adviceHeld.at(hold));
    }
    appendMetric(text, "ends_done_total", counters.endsDone);
    appendMetric(text, "ends_failed_total", counters.endsFailed);
    appendMetric(text, "ends_stopped_total", counters.endsStopped);
    appendMetric(text, "ends_lapsed_total", counters.endsLapsed);
    appendMetric(text, "ends_broken_total", counters.endsBroken);
    appendMetric(text, "ends_alone_total", counters.endsAlone);
    appendMetric(text, "ends_after_replacement_total", counters.endsAfterReplacement);
    appendMetric(text, "runs_lost_total", counters.runsLost);
    appendMetric(text, "runs_never_total", counters.runsNever);
    appendMetric(text, "upstreams_crashed_total", counters.upstreamsCrashed);
    appendMetric(text, "runs_crashed_total", counters.runsCrashed);
    appendMetric(text, "jobs_given_up_total", counters.jobsGivenUp);
    appendMetric(text, "heartbeats_ignored_total", counters.badHeartbeats);
    appendHistogram(text, "step_wait_ms", counters.stepWaits);
    appendHistogram(text, "start_answer_ms", counters.startAnswers);
}

/** Appends the backlog of the first queues by name: the number of lines is bounded whatever the plan lists. */
void appendBacklog(std::string &text, const deployment::Overload &overload)
{
    constexpr std::size_t maxQueues = 50;
    constexpr double msPerSecond = 1000;
    std::size_t queues = 0;
    for (const auto &[name, queue] : overload.queues) {
        if (++queues > maxQueues) {
            break;
        }
        appendMetric(text, "backlog_core_seconds{queue=\"" + name.first + name.second + "\"}", static_cast<std::uint64_t>(queue.backlogMs / msPerSecond));
    }
}
}

void DeploymentMetrics::update(const deployment::Host &host, const telemetry::TrafficTotals &traffic, std::uint64_t syncs, std::uint64_t linesDropped)
{
    std::string text;
    appendLeaderMetrics(text, host.leader);
    appendTeamMetrics(text, host.leader);
    appendMetric(text, "orders_through_couriers_total", host.couriers.ordersSent);
    appendMetric(text, "orders_given_back_total", host.couriers.ordersDeclined);
    appendMetric(text, "orders_lost_with_courier_total", host.couriers.ordersLost);
    appendMetric(text, "plan_version", host.state.plan.version);
    appendMetric(text, "jobs", host.state.jobs.size());
    appendMetric(text, "held_bytes", host.state.heldBytes);
    appendMetric(text, "registry_bytes", host.state.registryBytes);
    appendMetric(text, "log_bytes", host.node ? host.node->log.entryBytes : 0);
    appendMetric(text, "held_bytes_max", host.options.leader.maxHeldBytes);
    appendMetric(text, "jobs_without_room_total", host.leader.counters.jobsWithoutRoom);
    appendMetric(text, "tombstone_bytes", host.state.tombstoneBytes);
    appendMetric(text, "tombstones_total", host.leader.counters.tombstones);
    appendMetric(text, "tombstones_without_room_total", host.leader.counters.tombstonesWithoutRoom);
    appendMetric(text, "jobs_cancelled_before_total", host.leader.counters.jobsCancelledBefore);
    appendMetric(text, "jobs_overloaded_total", host.leader.counters.jobsOverloaded);
    appendBacklog(text, host.leader.overload);
    appendMetric(text, "occurrences_without_room_total", host.leader.counters.occurrencesWithoutRoom);
    appendMetric(text, "requests_open", host.routed.size());
    appendMetric(text, "replies_unmatched_total", host.unmatchedReplies);
    appendMetric(text, "advice_dropped_total", host.adviceDropped);
    appendMetric(text, "snapshots_refused_total", host.snapshotsRefused);
    appendMetric(text, "peer_bytes_within_total", traffic.bytesWithin);
    appendMetric(text, "peer_bytes_across_total", traffic.bytesAcross);
    appendMetric(text, "peer_connections_retired_total", traffic.connectionsRetired);
    appendMetric(text, "syncs_total", syncs);
    appendMetric(text, "log_lines_dropped_total", linesDropped);
    for (const model::ReasonInfo &info : model::allReasons()) {
        const std::uint64_t counted = telemetry::refusalCounters().value(info.reason);
        if (counted > 0) {
            appendMetric(text, "refused_total{reason=\"" + std::string(info.name) + "\"}", counted);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_text = std::move(text);
}

std::string DeploymentMetrics::text() const
{
    const std::lock_guard lock(m_mutex);
    return m_text;
}

std::string clientMetrics(const transport::ClientTable &clients)
{
    const transport::ClientUsage usage = clients.usage();
    std::string text;
    appendMetric(text, "client_connections", usage.connections);
    appendMetric(text, "client_connections_max", clients.limits().maxConnections);
    appendMetric(text, "client_body_bytes", usage.bodyBytes);
    appendMetric(text, "client_body_bytes_max", clients.limits().maxBodyBytes);
    appendMetric(text, "client_parse_bytes", usage.parseBytes);
    appendMetric(text, "client_bytes", usage.totalBytes);
    appendMetric(text, "client_bytes_max", clients.limits().maxBytes);
    return text;
}
}
