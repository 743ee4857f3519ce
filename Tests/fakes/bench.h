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
/** Network faults applied to messages between hosts. */
struct NetworkFaults
{
    std::uint64_t dropPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::uint64_t minDelayMs = 1;
    std::uint64_t maxDelayMs = 4; ///< A range of delays reorders messages.
};

/** An entry host and its disk. */
struct BenchHost
{
    std::string id;
    std::unique_ptr<control::Host> host; ///< Null while the host is down.
    std::uint64_t incarnation = 1;
    std::uint64_t processNumber = 0; ///< Number of starts; messages to an earlier process are lost.
    std::map<std::string, std::vector<wire::JournalRecordT>> disk; ///< Synced journal records, by group.
    std::vector<consensus::PersistRequest> unsynced; ///< Persist requests that aren't synced yet.
    std::uint64_t syncDueMs = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred; ///< Deliveries that arrived while it was paused.
};

/** A caller's request and its state according to the replies so far. */
struct BenchRequest
{
    std::string key;
    wire::TaskSpecT spec;
    bool accepted = false; ///< Whether a host replied that it is stored.
    bool refused = false; ///< Whether it was definitely refused.
    std::optional<wire::TaskViewT> end; ///< The ended task as reported to the caller.
};

/**
 * Simulates hosts, disks, workers and callers in memory, with a simulated clock and fixed seeds.
 * It replaces sockets and disks at the interface of the control thread and contains no control logic.
 */
class Bench
{
public:
    /** @param seed of all random choices. @param defects injected defects. @param centres number of data centres, with two hosts each. @param workersPerCentre
     * workers per data centre. @param secondHostsDurable whether the second host of each data centre has a disk. */
    explicit Bench(std::uint64_t seed, const InjectedDefects &defects = {}, std::size_t centres = 3, std::size_t workersPerCentre = 3,
                   bool secondHostsDurable = true);

    /** Advances the clock in small steps and checks the invariants after each step. @param milliseconds the time to advance. */
    void run(std::uint64_t milliseconds);
    /** Runs until a condition holds. @param condition the condition. @param milliseconds the timeout. @return whether the condition holds. */
    bool runUntil(const std::function<bool()> &condition, std::uint64_t milliseconds);

    /** Crashes a host; an arbitrary prefix of its unsynced records is stored. @param id the host. */
    void crash(const std::string &id);
    /** Starts a host with the state on its disk. @param id the host. */
    void restart(const std::string &id);
    /** Starts a host with an empty disk. @param id the host. */
    void restartWithoutDisk(const std::string &id);
    /** Pauses or resumes a host's process. @param id the host. @param paused whether to pause it. */
    void pauseHost(const std::string &id, bool paused);
    /** Cuts or restores the link in one direction. @param from the sender. @param to the receiver. @param isCut whether messages are lost. */
    void cut(const std::string &from, const std::string &to, bool isCut);
    /** Cuts or restores the links between a host and all other hosts, in both directions; its workers still reach it. @param id the host. @param isCut whether
     * messages are lost. */
    void isolate(const std::string &id, bool isCut);
    /** Cuts or restores the links between a data centre and the others. @param centre its number, from 1. @param isCut whether messages are lost. */
    void isolateDataCentre(std::size_t centre, bool isCut);
    /** Ends all faults: restores links, resumes paused processes and starts the hosts that are down. */
    void heal();

    /** Submits a task or gang. @param host the entry host. @param spec the task. @param tasks size of the gang; 1 for a single task. */
    void submit(const std::string &host, const wire::TaskSpecT &spec, std::size_t tasks = 1);
    /** Sends a request. @param host the entry host. @param request the request. @return receives the reply. */
    std::shared_ptr<std::optional<wire::ReplyT>> send(const std::string &host, wire::RequestT request);
    /** Applies a document and waits until it is in force on all hosts. @param text the document. @param expectedRevision the revision in force before.
     * @return whether it came into force in time. */
    bool applyDocument(const std::string &text, std::uint64_t expectedRevision);

    /** @param centre number from 1. @param host number from 1. @return the host's id. */
    static std::string hostId(std::size_t centre, std::size_t host);
    /** @param group a group. @return the host that leads it, or empty. */
    std::string leaderOf(const std::string &group) const;
    /** @return whether all groups have a leader and all hosts are ready. */
    bool isSettled() const;
    /** @return whether every request was refused or reported as ended to its caller. */
    bool allEnded() const;
    /** @return the current time. */
    control::Now now() const;
    /** @return the random generator, for the test's own choices. */
    std::mt19937_64 &random();

    NetworkFaults faults;
    Invariants invariants;
    std::map<std::string, BenchHost> hosts;
    std::list<BenchWorker> workers;
    std::map<std::string, BenchRequest> requests;
    std::function<void()> afterStep; ///< Called after each step, for additional checks of a test.
    std::uint64_t callerTimeoutMs = 1500; ///< Time after which a caller resends a request with the same key through another host.

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

/** @param home the home data centre of all services. @return a document with a service of each kind. */
std::string benchDocument(const std::string &home);
}
