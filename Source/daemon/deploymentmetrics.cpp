#include "daemon/deploymentmetrics.h"

#include "model/reason.h"

#include <string_view>

namespace rosemaryturn::daemon
{
namespace
{
void put(std::string &text, std::string_view name, std::uint64_t value)
{
    text.append("rosemaryturn_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

/** Cumulative counts by upper bound, as monitoring systems read them. */
void putHistogram(std::string &text, const std::string &name, const deployment::LatencyHistogram &histogram)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        total += histogram.counts[i];
        const std::string bound = i < deployment::latencyBoundsMs.size() ? std::to_string(deployment::latencyBoundsMs[i]) : "+Inf";
        std::string label = name;
        label.append("_bucket{le=\"").append(bound).append("\"}");
        put(text, label, total);
    }
    put(text, name + "_sum", histogram.sumMs);
    put(text, name + "_count", total);
}

void putLeader(std::string &text, const deployment::Leader &leader)
{
    const deployment::LeaderCounters &counters = leader.counters;
    put(text, "leads", leader.active ? 1 : 0);
    put(text, "term", leader.term);
    put(text, "upstreams", leader.upstreams.size());
    put(text, "runs", leader.placements.size());
    put(text, "waiting_steps", leader.waiting.size());
    put(text, "jobs_accepted_total", counters.accepted);
    put(text, "jobs_cancelled_total", counters.jobsCancelled);
    put(text, "starts_total", counters.starts);
    put(text, "starts_unanswered_total", counters.startsUnanswered);
    put(text, "starts_rejected_total", counters.startsRejected);
    put(text, "stops_total", counters.stops);
    put(text, "looks_total", counters.polls);
    put(text, "looks_unanswered_total", counters.pollsUnanswered);
    put(text, "advice_calls_total", counters.adviceCalls);
    put(text, "advice_unanswered_total", counters.adviceUnanswered);
    put(text, "ends_done_total", counters.endsDone);
    put(text, "ends_failed_total", counters.endsFailed);
    put(text, "ends_stopped_total", counters.endsStopped);
    put(text, "ends_lapsed_total", counters.endsLapsed);
    put(text, "ends_broken_total", counters.endsBroken);
    put(text, "ends_alone_total", counters.endsAlone);
    put(text, "runs_lost_total", counters.runsLost);
    put(text, "runs_never_total", counters.runsNever);
    putHistogram(text, "step_wait_ms", counters.stepWaits);
    putHistogram(text, "start_answer_ms", counters.startAnswers);
}
}

void DeploymentMetrics::update(const deployment::Host &host, const telemetry::TrafficTotals &traffic, std::uint64_t syncs, std::uint64_t linesDropped)
{
    std::string text;
    putLeader(text, host.leader);
    put(text, "orders_through_couriers_total", host.couriers.ordersSent);
    put(text, "orders_given_back_total", host.couriers.ordersDeclined);
    put(text, "orders_lost_with_courier_total", host.couriers.ordersLost);
    put(text, "plan_version", host.state.plan.version);
    put(text, "jobs", host.state.jobs.size());
    put(text, "requests_open", host.routed.size());
    put(text, "peer_bytes_within_total", traffic.bytesWithin);
    put(text, "peer_bytes_across_total", traffic.bytesAcross);
    put(text, "peer_connections_retired_total", traffic.connectionsRetired);
    put(text, "syncs_total", syncs);
    put(text, "log_lines_dropped_total", linesDropped);
    for (const model::ReasonInfo &info : model::allReasons()) {
        const std::uint64_t counted = telemetry::refusalCounters().value(info.reason);
        if (counted > 0) {
            put(text, "refused_total{reason=\"" + std::string(info.name) + "\"}", counted);
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
}
