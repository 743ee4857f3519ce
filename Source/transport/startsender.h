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
/** Sends start orders to workers, all that wait for one worker in one request. */
class StartSender
{
public:
    /** Tells how workers took their starts; called on a sending thread. */
    using Report = std::function<void(std::vector<control::StartReply>)>;

    /** @param threads how many requests run side by side. @param timeoutMs longest wait for a worker's reply. @param report what to tell. */
    StartSender(std::uint64_t threads, std::uint64_t timeoutMs, Report report);
    ~StartSender();
    StartSender(const StartSender &) = delete;
    StartSender &operator=(const StartSender &) = delete;

    /** Queues orders. @param orders the orders. */
    void post(std::vector<control::StartOrder> orders);
    /** Drops what waits and ends the threads. */
    void stop();

private:
    void run();
    void sendStarts(const std::vector<control::StartOrder> &orders);

    std::uint64_t m_timeoutMs;
    Report m_report;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, std::vector<control::StartOrder>> m_waiting; ///< By worker.
    std::set<std::string> m_busy; ///< Workers that a thread talks to now.
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};
}
