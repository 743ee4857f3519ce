#pragma once

#include "deployment/host.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * A deployment on a paused clock: real hosts, with disks and links that can fail, and stand-ins for upstreams, the advice
 * service and callers. It checks what upstreams and callers see against the promises while it runs.
 */
namespace rosemaryturn::fakes
{
/** What happens to orders on their way to upstreams. */
struct OrderFaults
{
    double delayedShare = 0; ///< Orders that get no answer and are carried out 2 to 12 s later.
    double lostShare = 0; ///< Orders that get no answer and are never carried out.
};

/** Sizes and delays of a fleet; times in milliseconds. */
struct FleetOptions
{
    std::uint32_t controlHosts = 3;
    std::uint32_t entryHosts = 2;
    std::uint32_t upstreams = 8;
    std::uint32_t cpuMillis = 16000;
    std::uint32_t memoryMb = 64000;
    std::uint64_t networkDelayMs = 30; ///< Between any two hosts, and to upstreams.
    std::uint64_t syncMs = 4;
    std::uint64_t longestLeaseMs = 10000;
    double allowedShare = 1; ///< Upstreams that the advice service allows for a step.
    double failShare = 0; ///< Runs that fail.
    std::uint64_t seed = 1;
    std::size_t minUpstreamsForCouriers = 100; ///< With as many upstreams, entry hosts deliver the orders.
    std::uint32_t firstHost = 0; ///< Added to the upstreams' speed pattern.
};

/** A run on a stand-in upstream. */
struct FakeRun
{
    std::string job;
    job::TaskRef task; ///< Without the job's number.
    std::uint32_t number = 0;
    std::uint64_t endsMs = 0; ///< Own clock of the fleet.
    std::uint64_t gangDeadlineMs = 0; ///< For a gang: when it gives up waiting for the others.
    bool waiting = false; ///< For members of its gang.
    bool failing = false;
};

/** A stand-in upstream that keeps the contract. */
struct FakeUpstream
{
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t bootMs = 0;
    std::uint64_t sequence = 0;
    bool alive = true;
    bool reachable = true;
    bool draining = false;
    std::uint64_t fence = 0;
    std::uint64_t leaseUntilMs = 0; ///< On its own clock.
    std::uint64_t nextEnd = 1;
    std::uint64_t lapsedEnd = 0; ///< Ends up to this one were not acknowledged before the lease lapsed; they bind nobody.
    std::map<std::string, FakeRun> runs; ///< By task name.
    std::map<std::string, std::uint32_t> closedRuns; ///< Highest run of each task that was stopped or ended.
    std::vector<deployment::ListedEnd> ended;
    std::vector<std::pair<std::uint64_t, std::function<void()>>> waitingPolls; ///< Until when, and what to do then.
};

/** A host of the fleet with its disk. */
struct FakeHost
{
    std::string id;
    bool control = false;
    bool alive = false;
    bool draining = false; ///< As a courier it takes no more orders.
    std::uint64_t incarnation = 0;
    std::uint64_t generation = 0; ///< Grows with each start, so that what was on its way to an earlier process is dropped.
    std::vector<wire::JournalRecordT> disk;
    std::optional<deployment::Host> host;
    std::set<std::string> partitionedFrom; ///< Hosts and upstreams that it can't reach.
    std::uint64_t suspendedUntilMs = 0;
    std::vector<std::function<void()>> deferredActions; ///< What arrived while it was suspended.
};

/** What a caller was told. */
struct FakeAnswer
{
    bool answered = false;
    wire::ReplyT reply;
    std::uint64_t atMs = 0;
};

/** The fleet. */
class Fleet
{
public:
    explicit Fleet(FleetOptions given);

    /** Lets time pass. @param ms how much. */
    void run(std::uint64_t ms);
    /** @param condition what is waited for. @param ms at most. @return whether it came. */
    bool runUntil(const std::function<bool()> &condition, std::uint64_t ms);

    /** Sets a plan with one queue a priority: host "q", prefixes "/0/", "/1/" and so on. @param queues how many. @param attempts of each. @param advised
     * whether advice is needed. @return whether it was acknowledged. */
    bool putPlan(std::uint32_t queues, std::uint32_t attempts, bool advised);
    /** Hands a job in through an entry host. @param path queue and id. @param steps the steps. @return names the answer. */
    deployment::Token submit(const std::string &path, const std::vector<wire::StepSpecT> &steps);
    /** Sends another request. @param operation what. @param path the path. @return names the answer. */
    deployment::Token sendRequest(wire::Operation operation, const std::string &path);
    /** @param path of a job. @return its phase, asked now and waited for; nothing without an answer in 5 s. */
    std::optional<job::Phase> phase(const std::string &path);
    /** @param token a request. @return its answer. */
    const FakeAnswer &answer(deployment::Token token) const;

    FakeHost &host(const std::string &id);
    /** @return the host that decides, or null. */
    FakeHost *leader();
    /** Ends a process at once. @param host its host. @param wipe whether its disk is lost too. */
    void kill(FakeHost &host, bool wipe = false);
    /** Starts a process again. @param host its host. */
    void start(FakeHost &host);
    /** Cuts two ends from each other. @param a a host. @param b a host or an upstream. @param partitioned whether to cut or to join. */
    void setPartitioned(const std::string &a, const std::string &b, bool partitioned);
    /** Suspends a process: it does nothing until then, and its clock goes on. @param host its host. @param ms how long. */
    void suspend(FakeHost &host, std::uint64_t ms);
    /** Ends an upstream and all that it runs. @param upstream the upstream. */
    void crash(FakeUpstream &upstream);
    /** Starts an upstream again under its id. @param upstream the upstream. */
    void restart(FakeUpstream &upstream);

    FleetOptions options;
    OrderFaults orderFaults;
    std::uint64_t nowMs = 100000;
    std::vector<FakeHost> hosts;
    std::vector<FakeUpstream> upstreams;
    std::map<std::string, wire::JobSpecT> jobs; ///< All that were handed in, by id.
    std::vector<std::string> violations; ///< Promises that were broken.
    bool trace = false; ///< Tells decisions, orders and ends on the standard error stream.
    std::uint64_t starts = 0;
    std::uint64_t aloneEnds = 0;

private:
    using ReplySink = std::function<void(const deployment::UpstreamReply &, std::uint64_t ms)>; ///< Takes a reply after so long.

    struct ScheduledAction
    {
        std::uint64_t atMs;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const ScheduledAction &other) const
        {
            return std::pair(atMs, order) > std::pair(other.atMs, other.order);
        }
    };

    deployment::Now now() const;
    void traceLine(const std::string &line) const;
    void schedule(std::uint64_t ms, std::function<void()> action);
    void onHost(const std::string &id, std::uint64_t generation, std::function<void(FakeHost &, deployment::HostOutput &)> action);
    void runAction(FakeHost &target, const std::function<void(deployment::HostOutput &)> &action);
    void emit(FakeHost &self, deployment::HostOutput output);
    void persist(FakeHost &self, consensus::PersistOrder order);
    void connectAll(FakeHost &host, bool connected);
    bool isConnected(const std::string &a, const std::string &b);
    void deliver(const std::string &from, const std::string &to, std::function<void(FakeHost &, deployment::HostOutput &)> action);
    ReplySink replyDirectly(const FakeHost &self);
    ReplySink replyThroughCourier(const FakeHost &courier, const std::string &leader, std::uint64_t origin);
    void deliverOrders(const FakeHost &self, const std::string &courier, const deployment::OrderBatch &delivery);
    void callUpstream(FakeHost &self, const deployment::UpstreamCall &call, const ReplySink &answer);
    void executeCall(const deployment::UpstreamCall &call, const std::function<void(const deployment::UpstreamReply &)> &reply);
    deployment::UpstreamReply startRun(FakeUpstream &upstream, const deployment::UpstreamCall &call);
    void stopRun(FakeUpstream &upstream, const deployment::UpstreamCall &call);
    deployment::UpstreamReply pollRuns(FakeUpstream &upstream, const deployment::UpstreamCall &call);
    void endRun(FakeUpstream &upstream, const std::string &name, wire::RunEnd end);
    void tickUpstream(FakeUpstream &upstream);
    void startCompleteGang(FakeUpstream &upstream, const FakeRun &run);
    void sendHeartbeat(FakeUpstream &upstream);
    void answerAdvice(FakeHost &self, const deployment::LocalAdviceRequest &question);
    void checkStart(const FakeUpstream &upstream, const deployment::UpstreamCall &call, const wire::StepSpecT &step);
    std::uint64_t upstreamClock(const FakeUpstream &upstream) const;
    bool isAllowed(const std::string &step, const std::string &upstream) const;
    deployment::Token submitRequest(wire::RequestT body);
    FakeHost *entryHost();

    std::mt19937_64 m_random;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> m_scheduled;
    std::uint64_t m_nextSequence = 1;
    deployment::Token m_nextToken = 1;
    std::map<deployment::Token, FakeAnswer> m_answers;
    std::map<std::string, std::uint32_t> m_recordedFailed; ///< By task name, ends that the upstreams were told are recorded.
    std::set<std::string> m_recordedDone;
    std::set<std::string> m_listedDone; ///< Done ends that some look was told of.
    std::uint64_t m_planVersion = 0;
    std::uint32_t m_attempts = 1;
    bool m_advised = false;
    bool m_founded = false;
};

/** Makes a step. @param count its tasks. @param cpuMillis of each. @param durationMs of each. @return the step. */
wire::StepSpecT makeStep(std::uint32_t count, std::uint32_t cpuMillis, std::uint32_t durationMs);
}
