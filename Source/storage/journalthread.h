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
/** What the journal thread tells; called on its own thread. */
struct JournalCallbacks
{
    std::function<void(wire::ConsensusMessageT)> send; ///< A message whose records are synced.
    std::function<void(const std::string &group, std::uint64_t index, std::uint64_t term)> persisted;
    std::function<void(const std::string &group, std::error_code error)> failed; ///< The journal must not be used any more.
};

/** Syncs the records of all groups of a host: everything that waits for a group goes into one batch and one sync. */
class JournalThread
{
public:
    /**
     * @param journals the open journals by group; empty on a host without a disk, where nothing is synced.
     * @param callbacks the callbacks.
     */
    JournalThread(std::map<std::string, Journal> journals, JournalCallbacks callbacks);
    ~JournalThread();
    JournalThread(const JournalThread &) = delete;
    JournalThread &operator=(const JournalThread &) = delete;

    /** Queues an order. @param order the order. */
    void post(consensus::PersistRequest order);
    /** Finishes what is queued and ends the thread. */
    void stop();
    /** @return syncs done so far. */
    std::uint64_t syncCount() const;

private:
    void run();
    void handle(std::vector<consensus::PersistRequest> orders);
    std::error_code write(const std::string &group, const std::vector<wire::JournalRecordT> &records, bool replace);

    std::map<std::string, Journal> m_journals;
    JournalCallbacks m_callbacks;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<consensus::PersistRequest> m_queue;
    std::uint64_t m_syncCount = 0;
    bool m_stopping = false;
    std::thread m_thread;
};
}
