#include "storage/journalthread.h"

#include <iterator>
#include <utility>

namespace rosemaryturn::storage
{
JournalThread::JournalThread(std::map<std::string, Journal> journals, JournalCallbacks callbacks)
    : m_journals(std::move(journals))
    , m_callbacks(std::move(callbacks))
    , m_thread([this] {
        run();
    })
{
}

JournalThread::~JournalThread()
{
    stop();
}

void JournalThread::post(consensus::PersistRequest request)
{
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(request));
    m_wake.notify_one();
}

void JournalThread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::uint64_t JournalThread::syncCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_syncCount;
}

void JournalThread::run()
{
    while (true) {
        std::vector<consensus::PersistRequest> requests;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] {
                return m_stopping || !m_queue.empty();
            });
            if (m_queue.empty()) {
                return;
            }
            requests.swap(m_queue);
        }
        handle(std::move(requests));
    }
}

void JournalThread::handle(std::vector<consensus::PersistRequest> requests)
{
    if (m_failed) {
        return; // The file may end with a part of a batch, and what was not written must not be acknowledged.
    }
    std::map<std::string, consensus::PersistRequest> merged;
    for (consensus::PersistRequest &request : requests) {
        consensus::PersistRequest &target = merged[request.group];
        target.group = request.group;
        target.index = request.index;
        target.term = request.term;
        if (request.replace) {
            target.records.clear();
            target.replace = true;
        }
        std::move(request.records.begin(), request.records.end(), std::back_inserter(target.records));
        std::move(request.sendAfterSync.begin(), request.sendAfterSync.end(), std::back_inserter(target.sendAfterSync));
    }
    for (auto &[group, request] : merged) {
        if (const std::error_code error = write(group, request.records, request.replace)) {
            m_failed = true;
            m_callbacks.failed(group, error);
            return;
        }
        for (wire::ConsensusMessageT &message : request.sendAfterSync) {
            m_callbacks.send(std::move(message));
        }
        if (!request.records.empty()) {
            m_callbacks.persisted(group, request.index, request.term);
        }
    }
}

std::error_code JournalThread::write(const std::string &group, const std::vector<wire::JournalRecordT> &records, bool replace)
{
    const auto journal = m_journals.find(group);
    if (journal == m_journals.end() || (records.empty() && !replace)) {
        return {};
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_syncCount;
    }
    return replace ? journal->second.replace(records) : journal->second.append(records);
}
}
