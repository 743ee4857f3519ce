#include "fakes/benchworker.h"

#include "model/task.h"

#include <algorithm>

namespace rosemaryturn::fakes
{
wire::Bytes expectedAnswer(const wire::TaskSpecT &spec)
{
    const std::string text = "done:" + spec.key;
    return {text.begin(), text.end()};
}

BenchWorker::BenchWorker(wire::WorkerRegisteredT shape, const InjectedDefects &defects)
    : m_shape(std::move(shape))
    , m_defects(defects)
{
}

const wire::WorkerRegisteredT &BenchWorker::shape() const
{
    return m_shape;
}

const std::map<model::TaskId, BenchRun> &BenchWorker::runs() const
{
    return m_runs;
}

bool BenchWorker::handleStart(const control::StartOrder &order, std::uint64_t nowMs)
{
    const auto sent = m_announcementSentMs.find(order.announcement);
    const bool fresh = sent != m_announcementSentMs.end() && nowMs <= sent->second + order.windowMs;
    const bool current = order.incarnation == m_shape.incarnation && order.term >= m_term;
    std::uint32_t &last = m_lastAttempt[order.task];
    if (order.attempt <= last && !m_defects.fencingDisabled) {
        return m_startedAttempts[order.task] == order.attempt; // A repeated start is accepted again; a refusal would mean that it never started.
    }
    if (!m_defects.fencingDisabled && (!fresh || !current)) {
        last = std::max(last, order.attempt);
        return false;
    }
    m_term = std::max(m_term, order.term);
    last = order.attempt;
    m_startedAttempts[order.task] = order.attempt;
    BenchRun run;
    run.key = order.spec.key;
    run.task = order.task;
    run.attempt = order.attempt;
    run.spec = order.spec;
    run.leaseUntilMs = nowMs + order.leaseMs;
    run.endsAtMs = order.spec.kind == wire::TaskKind::Service ? UINT64_MAX : nowMs + runMs;
    m_runs[order.task] = run;
    if (onStarted) {
        onStarted(run);
    }
    return true;
}

std::vector<control::StartReply> BenchWorker::handleStarts(const std::vector<control::StartOrder> &orders, std::uint64_t nowMs)
{
    std::vector<control::StartReply> replies;
    replies.reserve(orders.size());
    for (const control::StartOrder &order : orders) {
        const bool accepted = handleStart(order, nowMs);
        replies.push_back({order.task, order.attempt, accepted ? control::StartStatus::Accepted : control::StartStatus::Refused, m_announcementNumber});
    }
    return replies;
}

wire::RequestT BenchWorker::announce(std::uint64_t nowMs)
{
    m_announcementSentMs[++m_announcementNumber] = nowMs;
    wire::RequestT request;
    request.operation = wire::Operation::Announce;
    request.announcement = std::make_unique<wire::AnnouncementT>();
    request.announcement->number = m_announcementNumber;
    request.announcement->shape = std::make_unique<wire::WorkerRegisteredT>(m_shape);
    request.announcement->shape->leaving = leaving;
    for (const auto &[id, run] : m_runs) {
        auto running = std::make_unique<wire::RunningTaskT>();
        running->task = id;
        running->attempt = run.attempt;
        request.announcement->running.push_back(std::move(running));
    }
    return request;
}

void BenchWorker::handleAnnouncementReply(const wire::ReplyT &reply, std::uint64_t sentMs)
{
    if (reply.error != 0 || (reply.term < m_term && !m_defects.fencingDisabled)) {
        return;
    }
    m_term = std::max(m_term, reply.term);
    for (const auto &renewed : reply.renewed) {
        const auto run = m_runs.find(renewed->task);
        if (run != m_runs.end() && run->second.attempt == renewed->attempt) {
            run->second.leaseUntilMs = std::max(run->second.leaseUntilMs, sentMs + reply.leaseMs);
        }
    }
    for (const auto &action : reply.actions) {
        std::uint32_t &last = m_lastAttempt[action->task];
        if (action->action == wire::TaskAction::Void && action->attempt > last) {
            last = action->attempt;
            m_voided[action->task] = action->attempt;
        }
        const auto run = m_runs.find(action->task);
        if (run != m_runs.end() && run->second.attempt == action->attempt && action->action == wire::TaskAction::Stop) {
            m_runs.erase(run);
        }
    }
}

wire::RequestT BenchWorker::results() const
{
    wire::RequestT request;
    request.operation = wire::Operation::Results;
    request.worker = m_shape.worker;
    for (const auto &[id, run] : m_runs) {
        if (!run.ended) {
            continue;
        }
        auto result = std::make_unique<wire::TaskResultT>();
        result->task = id;
        result->attempt = run.attempt;
        result->failed = failing;
        result->answer = expectedAnswer(run.spec);
        result->statedLength = result->answer.size();
        result->checksum = model::checksum(result->answer);
        request.results.push_back(std::move(result));
    }
    for (const auto &[id, attempt] : m_voided) {
        auto result = std::make_unique<wire::TaskResultT>();
        result->task = id;
        result->attempt = attempt;
        result->refused = true;
        result->checksum = model::checksum({});
        request.results.push_back(std::move(result));
    }
    return request;
}

void BenchWorker::handleResultsReply(const wire::ReplyT &reply)
{
    for (const auto &acknowledged : reply.renewed) {
        std::erase_if(m_voided, [&acknowledged](const auto &entry) {
            return entry.first == acknowledged->task && entry.second == acknowledged->attempt;
        });
        const auto run = m_runs.find(acknowledged->task);
        if (reply.error == 0 && run != m_runs.end() && run->second.attempt == acknowledged->attempt && run->second.ended) {
            m_runs.erase(run);
        }
    }
}

void BenchWorker::advance(std::uint64_t nowMs)
{
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        BenchRun &run = at->second;
        if (!run.ended && nowMs >= run.leaseUntilMs && !m_defects.fencingDisabled) {
            at = m_runs.erase(at);
            continue;
        }
        run.ended = run.ended || nowMs >= run.endsAtMs;
        ++at;
    }
}

void BenchWorker::restart(std::uint64_t nowMs)
{
    m_runs.clear();
    m_lastAttempt.clear();
    m_voided.clear();
    m_startedAttempts.clear();
    m_announcementSentMs.clear();
    m_announcementNumber = 0;
    m_term = 0;
    m_shape.incarnation = std::max(m_shape.incarnation + 1, nowMs);
}
}
