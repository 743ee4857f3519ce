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

void JournalThread::post(consensus::PersistRequest order)
{
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(order));
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
        std::vector<consensus::PersistRequest> orders;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] {
                return m_stopping || !m_queue.empty();
            });
            if (m_queue.empty()) {
                return;
            }
            orders.swap(m_queue);
        }
        handle(std::move(orders));
    }
}

void JournalThread::handle(std::vector<consensus::PersistRequest> orders)
{
    std::map<std::string, consensus::PersistRequest> merged;
    for (consensus::PersistRequest &order : orders) {
        consensus::PersistRequest &target = merged[order.group];
        target.group = order.group;
        target.index = order.index;
        target.term = order.term;
        if (order.replace) {
            target.records.clear();
            target.replace = true;
        }
        std::move(order.records.begin(), order.records.end(), std::back_inserter(target.records));
        std::move(order.sendAfterSync.begin(), order.sendAfterSync.end(), std::back_inserter(target.sendAfterSync));
    }
    for (auto &[group, order] : merged) {
        if (const std::error_code error = write(group, order.records, order.replace)) {
            m_callbacks.failed(group, error);
            return;
        }
        for (wire::ConsensusMessageT &message : order.sendAfterSync) {
            m_callbacks.send(std::move(message));
        }
        if (!order.records.empty()) {
            m_callbacks.persisted(group, order.index, order.term);
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
