#pragma once

#include "control/host.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace rosemaryturn::control
{
/** Source of the current time; tests use one that they pause and advance. */
using Clock = std::function<Now()>;

/** @return the clock of the operating system. */
Clock systemClock();

/** A request of a local caller. */
struct LocalRequestEvent
{
    Token token = 0;
    wire::RequestT request;
};
/** A call from another host. */
struct CallEvent
{
    std::string from;
    std::uint64_t id = 0;
    wire::RequestT request;
};
/** The reply to a call of this host. */
struct CallReplyEvent
{
    std::uint64_t id = 0;
    wire::ReplyT reply;
};
/** A consensus message. */
struct MessageEvent
{
    wire::ConsensusMessageT message;
};
/** Journal records were synced to disk. */
struct PersistedEvent
{
    std::string group;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};
/** Workers' replies to start orders. */
struct StartRepliesEvent
{
    std::vector<StartReply> replies;
};
/** A connection to another host was established or lost. */
struct PeerEvent
{
    std::string peer;
    PeerState state;
};
/** Begins a graceful shutdown. */
struct DrainEvent
{
};

/** An event for the control thread. */
using Event = std::variant<LocalRequestEvent, CallEvent, CallReplyEvent, MessageEvent, PersistedEvent, StartRepliesEvent, PeerEvent, DrainEvent>;

/** Receivers of the control thread's output; all are called on the control thread and must not block. */
struct Sinks
{
    std::function<void(consensus::PersistRequest)> persist;
    std::function<void(wire::ConsensusMessageT)> sendMessage;
    std::function<void(OutgoingCall)> call;
    std::function<void(OutgoingReply)> replyToPeer;
    std::function<void(TokenReply)> reply;
    std::function<void(std::vector<StartOrder>)> start;
    std::function<void(bool)> ready; ///< Called with the result of isReady() after each round of events.
};

/** Maximum number of local requests queued for the control thread. */
constexpr std::size_t maxWaitingRequests = 20000;
/** Interval of the periodic work. */
constexpr std::uint64_t tickIntervalMs = 20;

/** Event loop on its own thread, which owns all control state of a host. */
class ControlLoop
{
public:
    /** @param host the state. @param clock the clock. @param sinks receive the output. */
    ControlLoop(Host host, Clock clock, Sinks sinks);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Starts the thread. */
    void start();
    /** Stops and joins the thread. */
    void stop();
    /** Queues an event. @param event the event. @return false if it is a local request and too many are queued. */
    bool post(Event event);

private:
    void run();
    void handle(Event event, const Now &now, HostOutput &output);
    void emit(HostOutput output);
    void logChanges();

    Host m_host;
    Clock m_clock;
    Sinks m_sinks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Event> m_queue;
    std::size_t m_waitingRequests = 0;
    bool m_stopping = false;
    std::uint64_t m_nextTickMs = 0;
    std::map<std::string, bool> m_loggedLeadership;
    std::map<std::string, std::uint64_t> m_loggedRevisions;
    std::map<std::string, std::uint64_t> m_loggedMemberships;
    std::thread m_thread;
};
}
