#include "transport/startsender.h"

#include "telemetry/log.h"
#include "transport/httpclient.h"
#include "transport/requestjson.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::transport
{
namespace
{
constexpr long httpOk = 200;

std::vector<control::StartReply> unknownReplies(const std::vector<control::StartOrder> &orders)
{
    std::vector<control::StartReply> replies;
    replies.reserve(orders.size());
    for (const control::StartOrder &order : orders) {
        replies.push_back({order.task, order.attempt, control::StartStatus::Unknown, 0});
    }
    return replies;
}

/** Parses a worker's reply. Starts that are missing or malformed in it keep the status Unknown. */
void readReplies(const std::string &body, std::vector<control::StartReply> &replies)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("starts") || !json["starts"].is_array()) {
        return;
    }
    const std::uint64_t announcement
        = json.contains("announcement") && json["announcement"].is_number_unsigned() ? json["announcement"].get<std::uint64_t>() : 0;
    for (const auto &item : json["starts"]) {
        const bool wellFormed
            = item.is_object() && item.contains("task") && item["task"].is_number_unsigned() && item.contains("accepted") && item["accepted"].is_boolean();
        if (!wellFormed) {
            continue;
        }
        const auto found = std::find_if(replies.begin(), replies.end(), [&item](const control::StartReply &reply) {
            return reply.task == item["task"].get<std::uint64_t>();
        });
        if (found != replies.end()) {
            found->status = item["accepted"].get<bool>() ? control::StartStatus::Accepted : control::StartStatus::Refused;
            found->announcement = announcement;
        }
    }
}
}

StartSender::StartSender(std::uint64_t threads, std::uint64_t timeoutMs, Report report)
    : m_timeoutMs(timeoutMs)
    , m_report(std::move(report))
{
    for (std::uint64_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            run();
        });
    }
}

StartSender::~StartSender()
{
    stop();
}

void StartSender::post(std::vector<control::StartOrder> orders)
{
    const std::lock_guard lock(m_mutex);
    for (control::StartOrder &order : orders) {
        m_waiting[order.worker].push_back(std::move(order));
    }
    m_wake.notify_all();
}

void StartSender::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void StartSender::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto next = std::find_if(m_waiting.begin(), m_waiting.end(), [this](const auto &entry) {
            return m_busy.count(entry.first) == 0;
        });
        if (next == m_waiting.end()) {
            m_wake.wait(lock);
            continue;
        }
        const std::string worker = next->first;
        const std::vector<control::StartOrder> orders = std::move(next->second);
        m_waiting.erase(next);
        m_busy.insert(worker);
        lock.unlock();
        sendStarts(orders);
        lock.lock();
        m_busy.erase(worker);
        m_wake.notify_all();
    }
}

void StartSender::sendStarts(const std::vector<control::StartOrder> &orders)
{
    nlohmann::json starts = nlohmann::json::array();
    for (const control::StartOrder &order : orders) {
        starts.push_back(startJson(order));
    }
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + orders.front().address + ":" + std::to_string(orders.front().port) + "/v1/starts";
    request.body = nlohmann::json{{"starts", starts}}.dump();
    request.timeoutMs = m_timeoutMs;
    std::error_code error;
    const HttpResult result = callHttp(request, error);
    std::vector<control::StartReply> replies = unknownReplies(orders);
    if (!error && result.status == httpOk) {
        readReplies(result.body, replies);
    } else {
        telemetry::log(telemetry::Event::StartFailed, {{"worker", orders.front().worker}, {"status", std::to_string(result.status)}});
    }
    m_report(std::move(replies));
}
}
