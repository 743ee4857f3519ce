#pragma once

#include "deployment/host.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace rosemaryturn::deployment
{
/** The clock of the runtime; tests give one that they pause and advance. */
using Clock = std::function<Now()>;

/** @return the clock of the operating system; its steady part counts the time of a suspension. */
Clock systemClock();

/** A request of the own edge. */
struct LocalEvent
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
struct ReplyEvent
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
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};
/** A connection to another host came up or went away. */
struct PeerEvent
{
    std::string name;
    Peer peer;
};
/** A courier's answers. */
struct OrderAnswersEvent
{
    std::string from;
    wire::OrderAnswersT answers;
};
/** Other seeds are named. */
struct SeedsEvent
{
    std::vector<std::string> seeds;
};
/** A graceful shutdown begins. */
struct DrainEvent
{
};

/** Everything that reaches the control thread. */
using Event = std::variant<LocalEvent, CallEvent, ReplyEvent, MessageEvent, PersistedEvent, PeerEvent, UpstreamReply, AdviceReply, OrderAnswersEvent,
                           SeedsEvent, DrainEvent>;

/** What other threads are told of the host after each round of events. */
struct HostView
{
    bool ready = false;
    std::string leader;
};

/** Where the control thread's output goes; each is called on the control thread and must not block. */
struct Sinks
{
    std::function<void(HostOutput output)> output;
    std::function<void(const HostView &view)> view;
    std::function<void(const Host &host)> measure; ///< Called once a second.
};

/** The one thread that owns all control state of a host. */
class Loop
{
public:
    /** @param host the state. @param clock the clock. @param sinks where the output goes. */
    Loop(Host host, Clock clock, Sinks sinks);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** Starts the thread. */
    void start();
    /** Ends the thread. */
    void stop();
    /** Queues an event. @param event the event. @return false when it is a request and too many wait. */
    bool post(Event event);

private:
    void run();
    void handle(Event event, const Now &now, HostOutput &output);

    Host m_host;
    Clock m_clock;
    Sinks m_sinks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Event> m_queue;
    std::size_t m_waitingRequests = 0;
    bool m_stopping = false;
    std::uint64_t m_nextTickMs = 0;
    std::uint64_t m_nextMeasureMs = 0;
    std::thread m_thread;
};
}
