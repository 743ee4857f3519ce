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
/** Defects injected into the simulation, to test that the invariants detect them. */
struct InjectedDefects
{
    bool fencingDisabled = false; ///< Workers accept every start and ignore the expiry of leases.
    bool syncSkipped = false; ///< Disks acknowledge records without storing them.
    bool voteLost = false; ///< Disks lose the term and the vote at a restart.
};

/** A run on a worker. */
struct BenchRun
{
    std::string key;
    model::TaskId task = 0;
    std::uint32_t attempt = 0;
    wire::TaskSpecT spec;
    std::uint64_t leaseUntilMs = 0;
    std::uint64_t endsAtMs = 0;
    bool ended = false; ///< The run is done, but its result isn't acknowledged yet.
};

/** A simulated worker that implements the upstream protocol, in memory and on the simulated clock. */
class BenchWorker
{
public:
    /** @param shape the registration that it announces. @param defects injected defects. */
    BenchWorker(wire::WorkerRegisteredT shape, const InjectedDefects &defects);

    /** Handles start orders. @param orders the orders. @param nowMs the current time. @return the replies. */
    std::vector<control::StartReply> handleStarts(const std::vector<control::StartOrder> &orders, std::uint64_t nowMs);
    /** @param nowMs the current time. @return the next announcement. */
    wire::RequestT announce(std::uint64_t nowMs);
    /** Handles the reply to an announcement. @param reply the reply. @param sentMs time when the announcement was created. */
    void handleAnnouncementReply(const wire::ReplyT &reply, std::uint64_t sentMs);
    /** @return a request with all results that aren't acknowledged yet; its list is empty if there are none. */
    wire::RequestT results() const;
    /** Handles the reply to results. @param reply the reply. */
    void handleResultsReply(const wire::ReplyT &reply);
    /** Ends the runs that are done and drops those whose lease expired. @param nowMs the current time. */
    void advance(std::uint64_t nowMs);
    /** Restarts the worker's process; its runs are lost. @param nowMs the current time. */
    void restart(std::uint64_t nowMs);

    /** @return the worker's registration. */
    const wire::WorkerRegisteredT &shape() const;
    /** @return the worker's runs, by task. */
    const std::map<model::TaskId, BenchRun> &runs() const;
    /** Called for each run that starts; set by the bench. */
    std::function<void(const BenchRun &)> onStarted;

    bool paused = false;
    bool failing = false; ///< Reports every task as failed.
    bool leaving = false;
    std::string onlyEntryHost; ///< The only host that it can reach; empty for all hosts of its data centre.
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
    std::map<model::TaskId, std::uint32_t> m_lastAttempt; ///< Latest attempt that started or is void; no attempt up to it may start.
    std::map<model::TaskId, std::uint32_t> m_startedAttempts; ///< Latest attempt that started.
    std::map<model::TaskId, std::uint32_t> m_voided; ///< Void attempts that aren't acknowledged yet.
};

/** @param spec a task. @return the only correct answer to it. */
wire::Bytes expectedAnswer(const wire::TaskSpecT &spec);
}
