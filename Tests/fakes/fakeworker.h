#pragma once

#include "config/jsonreader.h"
#include "transport/httpserver.h"
#include "wire/codec.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Test doubles for external interfaces. */
namespace rosemaryturn::fakes
{
/** Behaviour of a fake worker, including injected faults. */
struct FakeWorkerOptions
{
    std::string id;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string rack;
    std::vector<std::string> entries; ///< Entry hosts of its data centre as HOST:PORT.
    std::uint64_t cpuMillis = 16000;
    std::uint64_t memoryMb = 65536;
    std::uint64_t accelerators = 0;
    std::uint64_t slots = 8;
    std::uint64_t announceMs = 1000;
    std::uint64_t runMs = 30; ///< Run time of a task.
    bool failAll = false; ///< Reports a failure for every task.
    bool silent = false; ///< Accepts start requests but never responds.
    bool endLeaseEarly = false; ///< Ends each task after half of its lease, and ignores renewals.
    bool answerLate = false; ///< Submits results 3 s after the end of the task.
    bool answerTwice = false; ///< Submits each result again after it was acknowledged.
    bool cutShort = false; ///< Truncates the answer in the first submission of each result.
    bool lieAboutSize = false; ///< Reports twice the actual resource usage.
};

/** One run of a task; used to check that no task runs twice. */
struct RunRecord
{
    std::string key;
    std::uint64_t task = 0;
    std::uint32_t attempt = 0;
    bool idempotent = true;
    std::uint64_t beganMs = 0; ///< Wall clock.
    std::uint64_t endedMs = 0; ///< Wall clock; 0 while it runs.
};

/** Worker that implements the upstream protocol of docs/PROTOCOL.md, except for the faults that its options inject. */
class FakeWorker
{
public:
    /** @param options behaviour of the worker. */
    explicit FakeWorker(FakeWorkerOptions options);
    ~FakeWorker();
    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    /** Opens the port and starts to send announcements. @return an error, or none. */
    std::error_code start();
    /** Sets the leaving flag in all further announcements. */
    void leave();
    /** Stops immediately and without notice, like a killed process. */
    void stop();
    /** @return all finished and current runs. */
    std::vector<RunRecord> runs() const;

private:
    struct Task
    {
        RunRecord run;
        std::uint64_t leaseUntilMs = 0;
        std::uint64_t endsAtMs = 0;
        bool runsUntilStopped = false;
        bool ended = false;
        std::string answer;
        std::uint64_t cpuMillis = 0;
        std::uint64_t memoryMb = 0;
        std::uint64_t submitAtMs = 0;
        std::uint32_t submissionCount = 0;
    };

    transport::HttpResponse handleStarts(std::string_view body);
    bool handleStart(const nlohmann::json &start);
    transport::HttpResponse runsResponse() const;
    void announceLoop();
    void workLoop();
    void announce();
    void applyAnnouncementResponse(const std::string &body, std::uint64_t sentMs);
    void advanceTasks();
    void submitResults();
    void finishRun(Task &task);
    nlohmann::json resultJson(Task &task) const;
    std::string post(const std::string &path, const nlohmann::json &body);

    FakeWorkerOptions m_options;
    std::uint64_t m_incarnation = 0;
    transport::HttpServer m_server;
    mutable std::mutex m_mutex;
    std::uint64_t m_announcementNumber = 0;
    std::map<std::uint64_t, std::uint64_t> m_sentMs; ///< Send times of the latest announcements, by number.
    std::uint64_t m_term = 0;
    std::map<std::uint64_t, Task> m_tasks;
    std::map<std::uint64_t, std::uint32_t> m_lastAttempt; ///< Latest offered or voided attempt by task; later starts up to it are refused.
    std::map<std::uint64_t, std::uint32_t> m_startedAttempts; ///< Latest started attempt by task.
    std::map<std::uint64_t, std::uint32_t> m_voidedAttempts; ///< Voided attempts by task whose refusal is not acknowledged yet.
    std::vector<RunRecord> m_finished;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_entryIndex{0};
    std::thread m_announceThread;
    std::thread m_workThread;
};
}
