#pragma once

#include "control/host.h"
#include "fakes/benchworker.h"
#include "fakes/invariants.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryturn::fakes
{
/** How the network treats messages. */
struct NetworkFaults
{
    std::uint64_t dropPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::uint64_t minDelayMs = 1;
    std::uint64_t maxDelayMs = 4; ///< Different delays reorder messages.
};

/** One entry host with its disk. */
struct BenchHost
{
    std::string id;
    std::unique_ptr<control::Host> host; ///< Null while it is down.
    std::uint64_t incarnation = 1;
    std::uint64_t processNumber = 0; ///< Counts starts; messages to an earlier process are lost.
    std::map<std::string, std::vector<wire::JournalRecordT>> disk; ///< Synced records by group.
    std::vector<consensus::PersistRequest> unsynced; ///< Orders on their way to the disk.
    std::uint64_t syncDueMs = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred; ///< What arrived while it was paused.
};

/** A caller's request and its last reply. */
struct BenchRequest
{
    std::string key;
    wire::TaskSpecT spec;
    bool accepted = false; ///< Some host said that it is stored.
    bool refused = false; ///< A definite refusal.
    std::optional<wire::TaskViewT> end;
};

/**
 * Hosts, disks, workers and callers in memory, on a paused clock and with fixed seeds.
 * It stands in for sockets and disks at the control thread's interface and decides nothing itself.
 */
class Bench
{
public:
    /** @param seed of all random choices. @param defects planted faults. @param centres data centres of two hosts each. @param workersPerCentre workers in
     * each. */
    explicit Bench(std::uint64_t seed, const InjectedDefects &defects = {}, std::size_t centres = 3, std::size_t workersPerCentre = 3,
                   bool secondHostsDurable = true);

    /** Advances the clock in small steps and checks the invariants after each. @param milliseconds how far. */
    void run(std::uint64_t milliseconds);
    /** Runs until a condition holds. @param condition the condition. @param milliseconds how long at most. @return whether it held. */
    bool runUntil(const std::function<bool()> &condition, std::uint64_t milliseconds);

    /** Kills a host. @param id the host. */
    void crash(const std::string &id);
    /** Starts a host from its disk. @param id the host. */
    void restart(const std::string &id);
    /** Starts a host with an empty disk. @param id the host. */
    void restartWithoutDisk(const std::string &id);
    /** Stops a host's threads without ending it. @param id the host. @param paused whether it is stopped. */
    void pauseHost(const std::string &id, bool paused);
    /** Cuts or mends one direction. @param from sender. @param to receiver. @param isCut whether messages are lost. */
    void cut(const std::string &from, const std::string &to, bool isCut);
    /** Cuts or mends a host off from all other hosts, both ways; its workers stay with it. @param id the host. @param isCut whether messages are lost. */
    void isolate(const std::string &id, bool isCut);
    /** Cuts or mends a data centre off from the others. @param centre its number, from 1. @param isCut whether messages are lost. */
    void isolateDataCentre(std::size_t centre, bool isCut);
    /** Mends everything: no cuts, no pauses, all hosts up. */
    void heal();

    /** Sends a submission. @param host where. @param spec the task. @param tasks size of a gang, or 1. */
    void submit(const std::string &host, const wire::TaskSpecT &spec, std::size_t tasks = 1);
    /** Sends any request and keeps its reply. @param host where. @param request the request. @return a place that receives the reply. */
    std::shared_ptr<std::optional<wire::ReplyT>> send(const std::string &host, wire::RequestT request);
    /** Applies a document and waits until it is in force everywhere. @param text the document. @param expectedRevision the revision before it. @return whether
     * it was. */
    bool applyDocument(const std::string &text, std::uint64_t expectedRevision);

    /** @param centre number from 1. @param host number from 1. @return the host's id. */
    static std::string hostId(std::size_t centre, std::size_t host);
    /** @param group a group. @return the host that leads it, or empty. */
    std::string leaderOf(const std::string &group) const;
    /** @return whether all groups have a leader and all hosts follow. */
    bool isSettled() const;
    /** @return whether every accepted request has ended as its caller was told. */
    bool allEnded() const;
    /** @return the present. */
    control::Now now() const;
    /** @return random choices of the test's own. */
    std::mt19937_64 &random();

    NetworkFaults faults;
    Invariants invariants;
    std::map<std::string, BenchHost> hosts;
    std::list<BenchWorker> workers;
    std::map<std::string, BenchRequest> requests;
    std::function<void()> afterStep; ///< Called after each step, for checks of a test's own.
    std::uint64_t callerTimeoutMs = 1500; ///< After this a caller asks again by its key, through another host.

private:
    struct Delivery
    {
        std::uint64_t dueMs = 0;
        std::string from;
        std::string to;
        std::uint64_t processNumber = 0;
        std::function<void()> action;
    };
    struct PendingRequest
    {
        wire::RequestT request;
        std::uint64_t resendAtMs = 0;
    };

    void step();
    void post(const std::string &from, const std::string &to, const std::function<void()> &action);
    void deliverDue();
    void syncDisks();
    void tickHosts();
    void runWorkers();
    void resendRequests();
    void reportPeers();
    void recordRevisions();
    void recordLeaders();
    void emit(const std::string &id, control::HostOutput output);
    void emitStarts(const std::string &id, std::vector<control::StartOrder> starts);
    void withHost(const std::string &id, const std::function<void(control::Host &, control::HostOutput &)> &action);
    void start(BenchHost &host);
    void sync(BenchHost &host, bool acknowledge, std::size_t count);
    void deliverReply(const std::string &id, const control::TokenReply &reply);
    void handleCallerReply(const std::string &key, const wire::ReplyT &reply);
    bool connected(const std::string &from, const std::string &to) const;
    BenchWorker &findWorker(const std::string &name);
    std::string chooseEntryHost(const BenchWorker &worker);
    void sendFromWorker(BenchWorker &worker, wire::RequestT request, const std::function<void(const wire::ReplyT &)> &onReply);

    InjectedDefects m_defects;
    std::mt19937_64 m_random;
    std::uint64_t m_nowMs = 1000;
    std::size_t m_centres;
    bool m_secondHostsDurable;
    control::Token m_nextToken = 1;
    std::map<std::pair<std::string, control::Token>, std::function<void(const wire::ReplyT &)>> m_tokens;
    std::multimap<std::uint64_t, Delivery> m_deliveries;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_lostSinceMs;
    std::map<std::pair<std::string, std::string>, control::PeerState> m_reportedPeers;
    std::map<std::string, PendingRequest> m_pendingRequests;
};

/** @param home data centre of all services. @return a document with services of each kind. */
std::string benchDocument(const std::string &home);
}
