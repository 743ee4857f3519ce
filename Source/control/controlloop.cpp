#include "control/controlloop.h"

#include "telemetry/log.h"

#include <chrono>
#include <utility>

namespace rosemaryturn::control
{
namespace
{
/** Calls the handler of each type of event. */
struct EventDispatcher
{
    Host &host;
    const Now &now;
    HostOutput &output;

    void operator()(LocalRequestEvent &event) const
    {
        handleLocalRequest(host, event.token, std::move(event.request), now, output);
    }
    void operator()(CallEvent &event) const
    {
        handleCall(host, event.from, event.id, std::move(event.request), now, output);
    }
    void operator()(CallReplyEvent &event) const
    {
        handleReply(host, event.id, std::move(event.reply), now, output);
    }
    void operator()(const MessageEvent &event) const
    {
        handleMessage(host, event.message, now, output);
    }
    void operator()(const PersistedEvent &event) const
    {
        handlePersisted(host, event.group, event.index, event.term, now, output);
    }
    void operator()(const StartRepliesEvent &event) const
    {
        handleStartReplies(host, event.replies, now, output);
    }
    void operator()(const PeerEvent &event) const
    {
        handlePeer(host, event.peer, event.state, now, output);
    }
    void operator()(const DrainEvent &) const
    {
        drainHost(host, now, output);
    }
};
}

Clock systemClock()
{
    return [] {
        using namespace std::chrono;
        Now now;
        now.monotonicMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count());
        now.wallMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
        return now;
    };
}

ControlLoop::ControlLoop(Host host, Clock clock, Sinks sinks)
    : m_host(std::move(host))
    , m_clock(std::move(clock))
    , m_sinks(std::move(sinks))
{
}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void ControlLoop::stop()
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

bool ControlLoop::post(Event event)
{
    const std::lock_guard lock(m_mutex);
    if (std::holds_alternative<LocalRequestEvent>(event)) {
        if (m_waitingRequests >= maxWaitingRequests) {
            return false;
        }
        ++m_waitingRequests;
    }
    m_queue.push_back(std::move(event));
    m_wake.notify_one();
    return true;
}

void ControlLoop::run()
{
    while (true) {
        std::vector<Event> events;
        {
            std::unique_lock lock(m_mutex);
            const std::uint64_t nowMs = m_clock().monotonicMs;
            const std::uint64_t waitMs = m_nextTickMs > nowMs ? m_nextTickMs - nowMs : 0;
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
            tickHost(m_host, now, output);
            m_nextTickMs = now.monotonicMs + tickIntervalMs;
        }
        emit(std::move(output));
        logChanges();
        m_sinks.ready(isReady(m_host));
    }
}

void ControlLoop::handle(Event event, const Now &now, HostOutput &output)
{
    std::visit(EventDispatcher{m_host, now, output}, event);
}

void ControlLoop::emit(HostOutput output)
{
    for (const RefusedSnapshot &refused : output.refusedSnapshots) {
        telemetry::log(telemetry::Event::SnapshotRefused, {{"group", refused.group}, {"source", refused.source}, {"bytes", std::to_string(refused.bytes)}});
    }
    for (consensus::PersistRequest &request : output.persist) {
        m_sinks.persist(std::move(request));
    }
    for (wire::ConsensusMessageT &message : output.messages) {
        m_sinks.sendMessage(std::move(message));
    }
    for (OutgoingCall &call : output.calls) {
        m_sinks.call(std::move(call));
    }
    for (OutgoingReply &reply : output.peerReplies) {
        m_sinks.replyToPeer(std::move(reply));
    }
    for (TokenReply &reply : output.replies) {
        m_sinks.reply(std::move(reply));
    }
    if (!output.starts.empty()) {
        m_sinks.start(std::move(output.starts));
    }
}

void ControlLoop::logChanges()
{
    using telemetry::Event;
    for (const auto &[name, node] : m_host.groups) {
        const bool isLeader = consensus::isReadyLeader(node);
        if (isLeader != m_loggedLeadership[name]) {
            telemetry::log(isLeader ? Event::LeadershipGained : Event::LeadershipLost, {{"group", name}, {"term", std::to_string(node.term)}});
            m_loggedLeadership[name] = isLeader;
        }
        if (node.membershipIndex != m_loggedMemberships[name]) {
            telemetry::log(Event::MembershipChanged, {{"group", name}, {"index", std::to_string(node.membershipIndex)}});
            m_loggedMemberships[name] = node.membershipIndex;
        }
    }
    for (const auto &[name, history] : m_host.config.environments) {
        const std::uint64_t revision = history.revisions.empty() ? 0 : history.revisions.back().revision;
        if (revision != m_loggedRevisions[name]) {
            telemetry::log(Event::ConfigInForce, {{"environment", name}, {"revision", std::to_string(revision)}});
            m_loggedRevisions[name] = revision;
        }
    }
}
}
