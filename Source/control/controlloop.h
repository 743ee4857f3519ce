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
/** The clock of the runtime; tests give one that they pause and advance. */
using Clock = std::function<Now()>;

/** @return the clock of the operating system. */
Clock systemClock();

/** A request of the own edge. */
struct LocalRequestEvent
{
    Token token = 0;
    wire::RequestT request;
};
/** Another host's call. */
struct CallEvent
{
    std::string from;
    std::uint64_t id = 0;
    wire::RequestT request;
};
/** The answer to an own call. */
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
/** Records that are synced. */
struct PersistedEvent
{
    std::string group;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};
/** Workers' replies to starts. */
struct StartRepliesEvent
{
    std::vector<StartReply> replies;
};
/** A connection to another host came up or went away. */
struct PeerEvent
{
    std::string peer;
    PeerState state;
};
/** A graceful shutdown begins. */
struct DrainEvent
{
};

/** Everything that reaches the control thread. */
using Event = std::variant<LocalRequestEvent, CallEvent, CallReplyEvent, MessageEvent, PersistedEvent, StartRepliesEvent, PeerEvent, DrainEvent>;

/** Where the control thread's output goes; each is called on the control thread and must not block. */
struct Sinks
{
    std::function<void(consensus::PersistRequest)> persist;
    std::function<void(wire::ConsensusMessageT)> sendMessage;
    std::function<void(OutgoingCall)> call;
    std::function<void(OutgoingReply)> replyToPeer;
    std::function<void(TokenReply)> reply;
    std::function<void(std::vector<StartOrder>)> start;
    std::function<void(bool)> ready; ///< Told after each round of events.
};

/** Requests of the own edge that may wait for the control thread. */
constexpr std::size_t maxWaitingRequests = 20000;
/** Time between two ticks. */
constexpr std::uint64_t tickIntervalMs = 20;

/** The one thread that owns all control state. */
class ControlLoop
{
public:
    /** @param host the state. @param clock the clock. @param sinks where the output goes. */
    ControlLoop(Host host, Clock clock, Sinks sinks);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Starts the thread. */
    void start();
    /** Ends the thread. */
    void stop();
    /** Queues an event. @param event the event. @return false when it is a request and too many wait. */
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
