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

/** Stand-ins at the interfaces; test scaffolding only. */
namespace rosemaryturn::fakes
{
/** How a worker behaves. */
struct FakeWorkerOptions
{
    std::string id;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string rack;
    std::vector<std::string> entries; ///< HOST:PORT of the entry hosts of its data centre.
    std::uint64_t cpuMillis = 16000;
    std::uint64_t memoryMb = 65536;
    std::uint64_t accelerators = 0;
    std::uint64_t slots = 8;
    std::uint64_t announceMs = 1000;
    std::uint64_t runMs = 30; ///< Run time of a task.
    bool failAll = false; ///< Reports a failure for every task.
    bool silent = false; ///< Takes connections for starts and never replies.
    bool endLeaseEarly = false; ///< Drops each task at half of its lease.
    bool answerLate = false; ///< Hands results in long after the end.
    bool answerTwice = false; ///< Hands each result in again after it was acknowledged.
    bool cutShort = false; ///< Sends the first copy of each answer cut short.
    bool lieAboutSize = false; ///< Reports double usage.
};

/** One run of a task, for the check that nothing runs twice. */
struct RunRecord
{
    std::string key;
    std::uint64_t task = 0;
    std::uint32_t attempt = 0;
    bool idempotent = true;
    std::uint64_t beganMs = 0; ///< Wall clock.
    std::uint64_t endedMs = 0; ///< 0 while it runs.
};

/** A worker that honours the upstream contract of docs/PROTOCOL.md, except where its options say otherwise. */
class FakeWorker
{
public:
    /** @param options how it behaves. */
    explicit FakeWorker(FakeWorkerOptions options);
    ~FakeWorker();
    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    /** Opens its port and begins to announce itself. @return an error, or none. */
    std::error_code start();
    /** Announces that it leaves. */
    void leave();
    /** Ends at once, as a killed process would. */
    void stop();
    /** @return all runs so far. */
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
    std::map<std::uint64_t, std::uint64_t> m_sentMs; ///< Sending times of announcements.
    std::uint64_t m_term = 0;
    std::map<std::uint64_t, Task> m_tasks;
    std::map<std::uint64_t, std::uint32_t> m_lastAttempt; ///< Begun or void; nothing up to it begins any more.
    std::map<std::uint64_t, std::uint32_t> m_startedAttempts; ///< Latest attempt that began.
    std::map<std::uint64_t, std::uint32_t> m_voidedAttempts; ///< Attempts that are void and not acknowledged yet.
    std::vector<RunRecord> m_finished;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_entryIndex{0};
    std::thread m_announceThread;
    std::thread m_workThread;
};
}
