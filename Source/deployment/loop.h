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
/** Source of the current time; tests use one that they pause and advance. */
using Clock = std::function<Now()>;

/** @return the clock of the operating system; its steady part includes time in suspension. */
Clock systemClock();

/** A request of a local caller. */
struct LocalEvent
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
/** Journal records were synced to disk. */
struct PersistedEvent
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};
/** A connection to another host was established or lost. */
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
/** The configured seeds changed. */
struct SeedsEvent
{
    std::vector<std::string> seeds;
};
/** Begins a graceful shutdown. */
struct DrainEvent
{
};

/** An event for the control thread. */
using Event = std::variant<LocalEvent, CallEvent, ReplyEvent, MessageEvent, PersistedEvent, PeerEvent, UpstreamReply, AdviceReply, OrderAnswersEvent,
                           SeedsEvent, DrainEvent>;

/** State of the host that is published to other threads after each round of events. */
struct HostView
{
    bool ready = false;
    std::string leader;
};

/** Receivers of the control thread's output; all are called on the control thread and must not block. */
struct Sinks
{
    std::function<void(HostOutput output)> output;
    std::function<void(const HostView &view)> view;
    std::function<void(const Host &host)> measure; ///< Called once a second.
};

/** Event loop on its own thread, which owns all control state of a host. */
class Loop
{
public:
    /** @param host the state. @param clock the clock. @param sinks receive the output. */
    Loop(Host host, Clock clock, Sinks sinks);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** Starts the thread. */
    void start();
    /** Stops and joins the thread. */
    void stop();
    /** Queues an event. @param event the event. @return false if it is a request and too many requests are queued or the loop is stopping. */
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
