#include "deployment/loop.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
/** Maximum number of local requests that are queued for the control thread. */
constexpr std::size_t maxWaitingRequests = 20000;
/** Interval between ticks of a leader, which checks unanswered orders, leases and polls. */
constexpr std::uint64_t leaderTickMs = 20;
/** Interval between ticks of other hosts. */
constexpr std::uint64_t idleTickMs = 40;
constexpr std::uint64_t measureIntervalMs = 1000;
constexpr std::uint64_t msPerSecond = 1000;
constexpr std::uint64_t nsPerMs = 1000000;

std::uint64_t clockMs(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * msPerSecond + static_cast<std::uint64_t>(time.tv_nsec) / nsPerMs;
}

struct Handler
{
    Host &host;
    const Now &now;
    HostOutput &output;

    void operator()(LocalEvent &event) const
    {
        handleLocalRequest(host, event.token, std::move(event.request), now, output);
    }
    void operator()(CallEvent &event) const
    {
        handleCall(host, event.from, event.id, std::move(event.request), now, output);
    }
    void operator()(ReplyEvent &event) const
    {
        handleReply(host, event.id, std::move(event.reply), now, output);
    }
    void operator()(MessageEvent &event) const
    {
        handleMessage(host, event.message, now, output);
    }
    void operator()(PersistedEvent &event) const
    {
        handlePersisted(host, event.index, event.term, now, output);
    }
    void operator()(PeerEvent &event) const
    {
        handlePeer(host, event.name, event.peer, now, output);
    }
    void operator()(UpstreamReply &event) const
    {
        handleUpstreamReply(host, event, now, output);
    }
    void operator()(AdviceReply &event) const
    {
        handleAdviceReply(host, event, now, output);
    }
    void operator()(OrderAnswersEvent &event) const
    {
        handleOrderAnswers(host, event.from, std::move(event.answers), now, output);
    }
    void operator()(SeedsEvent &event) const
    {
        addSeeds(host, event.seeds, output);
    }
    void operator()(DrainEvent &) const
    {
        drain(host, now, output);
    }
};
}

Clock systemClock()
{
    return [] {
        return Now{clockMs(CLOCK_BOOTTIME), clockMs(CLOCK_REALTIME)};
    };
}

Loop::Loop(Host host, Clock clock, Sinks sinks)
    : m_host(std::move(host))
    , m_clock(std::move(clock))
    , m_sinks(std::move(sinks))
{
}

Loop::~Loop()
{
    stop();
}

void Loop::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void Loop::stop()
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

bool Loop::post(Event event)
{
    const std::lock_guard lock(m_mutex);
    if (std::holds_alternative<LocalEvent>(event)) {
        if (m_waitingRequests >= maxWaitingRequests || m_stopping) {
            return false;
        }
        ++m_waitingRequests;
    }
    m_queue.push_back(std::move(event));
    m_wake.notify_one();
    return true;
}

void Loop::handle(Event event, const Now &now, HostOutput &output)
{
    std::visit(Handler{m_host, now, output}, event);
}

void Loop::run()
{
    while (true) {
        std::vector<Event> events;
        {
            std::unique_lock lock(m_mutex);
            const std::uint64_t nowMs = m_clock().monotonicMs;
            const std::uint64_t waitMs = m_nextTickMs > nowMs ? std::min(m_nextTickMs - nowMs, idleTickMs) : 0;
            m_wake.wait_for(lock, std::chrono::milliseconds(waitMs), [this] {
                return m_stopping || !m_queue.empty();
            });
            if (m_stopping) {
                return;
            }
            events.swap(m_queue);
            m_waitingRequests = 0;
        }
        HostOutput output;
        const Now now = m_clock();
        for (Event &event : events) {
            handle(std::move(event), now, output);
        }
        if (now.monotonicMs >= m_nextTickMs) {
            tick(m_host, now, output);
            m_nextTickMs = now.monotonicMs + (m_host.leader.active ? leaderTickMs : idleTickMs);
        }
        endRound(m_host, now, output);
        m_sinks.output(std::move(output));
        m_sinks.view({isReady(m_host, now), leaderOf(m_host, now)});
        if (now.monotonicMs >= m_nextMeasureMs) {
            m_nextMeasureMs = now.monotonicMs + measureIntervalMs;
            m_sinks.measure(m_host);
        }
    }
}
}
