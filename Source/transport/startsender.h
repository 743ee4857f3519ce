#pragma once

#include "control/cell.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rosemaryturn::transport
{
/** Sends start orders to workers; batches all pending orders of a worker into one request. */
class StartSender
{
public:
    /** Receives the workers' replies to start orders; called on a sender thread. */
    using Report = std::function<void(std::vector<control::StartReply>)>;

    /** @param threads number of concurrent requests. @param timeoutMs timeout of a worker's reply. @param report receives the replies. */
    StartSender(std::uint64_t threads, std::uint64_t timeoutMs, Report report);
    ~StartSender();
    StartSender(const StartSender &) = delete;
    StartSender &operator=(const StartSender &) = delete;

    /** Queues start orders. @param orders the orders. */
    void post(std::vector<control::StartOrder> orders);
    /** Discards pending orders and stops the threads. */
    void stop();

private:
    void run();
    void sendStarts(const std::vector<control::StartOrder> &orders);

    std::uint64_t m_timeoutMs;
    Report m_report;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, std::vector<control::StartOrder>> m_waiting; ///< Pending orders by worker.
    std::set<std::string> m_busy; ///< Workers with a request in progress; at most one per worker.
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};
}
