#pragma once

#include "consensus/node.h"
#include "storage/journal.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace rosemaryturn::storage
{
/** Callbacks of the journal thread, called on that thread. */
struct JournalCallbacks
{
    std::function<void(wire::ConsensusMessageT)> send; ///< Sends a message whose records are synced.
    std::function<void(const std::string &group, std::uint64_t index, std::uint64_t term)> persisted; ///< The log of a group is synced up to an index.
    std::function<void(const std::string &group, std::error_code error)> failed; ///< A write failed; nothing is written, sent or reported any more.
};

/** Writes and syncs the journals of all groups of a host; the queued requests of a group are combined into one batch and one sync. */
class JournalThread
{
public:
    /**
     * @param journals the open journals by group; empty on a host without a disk, where nothing is written.
     * @param callbacks the callbacks.
     */
    JournalThread(std::map<std::string, Journal> journals, JournalCallbacks callbacks);
    ~JournalThread();
    JournalThread(const JournalThread &) = delete;
    JournalThread &operator=(const JournalThread &) = delete;

    /** Queues a request. @param request the request. */
    void post(consensus::PersistRequest request);
    /** Processes the queued requests and ends the thread. */
    void stop();
    /** @return the number of journal writes so far, each with one sync. */
    std::uint64_t syncCount() const;

private:
    void run();
    void handle(std::vector<consensus::PersistRequest> requests);
    std::error_code write(const std::string &group, const std::vector<wire::JournalRecordT> &records, bool replace);

    std::map<std::string, Journal> m_journals;
    JournalCallbacks m_callbacks;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<consensus::PersistRequest> m_queue;
    std::uint64_t m_syncCount = 0;
    bool m_stopping = false;
    bool m_failed = false; ///< A write failed; used by the thread only.
    std::thread m_thread;
};
}
