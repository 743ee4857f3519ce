#pragma once

#include "control/cell.h"
#include "wire/codec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rosemaryturn::fakes
{
/** Faults planted into a stand-in, to see that the checker of invariants catches them. */
struct InjectedDefects
{
    bool fencingDisabled = false; ///< Workers take any start and ignore the ends of leases.
    bool syncSkipped = false; ///< Disks acknowledge without storing.
    bool voteLost = false; ///< Disks lose terms and votes at a restart.
};

/** One run, as the worker knows it. */
struct BenchRun
{
    std::string key;
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    wire::TaskSpecT spec;
    std::uint64_t leaseUntilMs = 0;
    std::uint64_t endsAtMs = 0;
    bool ended = false; ///< Done; its result is not acknowledged yet.
};

/** A worker by the upstream contract, in memory and on the paused clock. */
class BenchWorker
{
public:
    /** @param shape what it announces. @param defects planted faults. */
    BenchWorker(wire::WorkerRegisteredT shape, const InjectedDefects &defects);

    /** Takes starts. @param orders the orders. @param nowMs the present. @return its replies. */
    std::vector<control::StartReply> handleStarts(const std::vector<control::StartOrder> &orders, std::uint64_t nowMs);
    /** @param nowMs the present. @return the next announcement. */
    wire::RequestT announce(std::uint64_t nowMs);
    /** Takes the answer to an announcement. @param reply the answer. @param sentMs when the announcement was built. */
    void handleAnnouncementReply(const wire::ReplyT &reply, std::uint64_t sentMs);
    /** @return results that are not acknowledged; none when there are none. */
    wire::RequestT results() const;
    /** Takes the answer to results. @param reply the answer. */
    void handleResultsReply(const wire::ReplyT &reply);
    /** Lets tasks end and leases expire. @param nowMs the present. */
    void advance(std::uint64_t nowMs);
    /** Ends the process and starts another one. @param nowMs the present. */
    void restart(std::uint64_t nowMs);

    /** @return its registration. */
    const wire::WorkerRegisteredT &shape() const;
    /** @return tasks that it holds. */
    const std::map<model::TaskId, BenchRun> &runs() const;
    /** Told of each begin; set by the bench. */
    std::function<void(const BenchRun &)> onStarted;

    bool paused = false;
    bool failing = false; ///< Reports a failure for every task.
    bool leaving = false;
    std::string onlyEntryHost; ///< The one host it reaches; empty for any of its data centre.
    std::uint64_t runMs = 200;
    std::uint64_t nextAnnouncementMs = 0;
    std::uint64_t nextResultsMs = 0;

private:
    bool handleStart(const control::StartOrder &order, std::uint64_t nowMs);

    wire::WorkerRegisteredT m_shape;
    InjectedDefects m_defects;
    std::uint64_t m_announcementNumber = 0;
    std::map<std::uint64_t, std::uint64_t> m_announcementSentMs;
    std::uint64_t m_term = 0;
    std::map<model::TaskId, BenchRun> m_runs;
    std::map<model::TaskId, std::uint32_t> m_lastAttempt; ///< Begun or void; nothing up to it begins any more.
    std::map<model::TaskId, std::uint32_t> m_startedAttempts; ///< Latest attempt that started.
    std::map<model::TaskId, std::uint32_t> m_voided; ///< Attempts that are void and not acknowledged yet.
};

/** @param spec a task. @return the one right answer to it. */
wire::Bytes expectedAnswer(const wire::TaskSpecT &spec);
}
