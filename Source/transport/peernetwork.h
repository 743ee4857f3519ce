#pragma once

#include "config/settings.h"
#include "control/host.h"
#include "telemetry/metrics.h"
#include "transport/peerconnection.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace rosemaryturn::transport
{
/** Callbacks for peer events; invoked on the peer thread. */
struct PeerHandlers
{
    std::function<void(const std::string &from, std::uint64_t id, wire::RequestT request)> call;
    std::function<void(std::uint64_t id, wire::ReplyT reply)> reply;
    std::function<void(wire::ConsensusMessageT message)> message;
    std::function<void(const std::string &peer, const control::PeerState &state)> peer;
    std::function<void(const std::string &from, wire::OrdersT orders)> orders; ///< Empty if this host does not deliver orders.
    std::function<void(const std::string &from, wire::OrderAnswersT answers)> orderAnswers; ///< Empty if this host issues no orders.
};

/**
 * Manages the connections to all other entry hosts on one thread.
 *
 * Each host dials every other host and prefers the connections that it dialled for sending; the other end echoes
 * heartbeats on them. A connection that stops working in either direction is therefore detected by the host that
 * dialled it, closed, and replaced by a new one.
 */
class PeerNetwork
{
public:
    /** @param settings validated settings. @param incarnation start time of this process. @param handlers the callbacks. */
    PeerNetwork(const config::Settings &settings, std::uint64_t incarnation, PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /** Opens the peer port and starts the peer thread. @return an error, or none. */
    std::error_code start();
    /** Stops the peer thread and closes all connections. */
    void stop();
    /** Replaces the set of hosts to stay connected to, initially that of the settings. @param hosts the hosts. */
    void setHosts(std::vector<config::HostSettings> hosts);
    /** Declares in Hello frames that this host stores the deployment state; call before start(). */
    void announceControl();
    /** Queues a frame for a host; dropped if there is no connection. @param to id of the host. @param frame the frame. */
    void send(const std::string &to, wire::PeerFrameT frame);
    /** @return bytes queued for peers and connections retired since the start. */
    telemetry::TrafficTotals totals() const;

private:
    struct DialTarget
    {
        config::HostSettings host;
        std::uint64_t nextDialMs = 0;
        std::list<PeerConnection>::iterator connection;
        bool open = false;
    };

    void run();
    void applyHosts();
    PeerConnection *connectionTo(const std::string &peer);
    void reportLost(const PeerConnection &connection, const std::error_code &error);
    void dialDisconnected(std::uint64_t nowMs);
    void acceptNew(std::uint64_t nowMs);
    void closeOldestUnknown();
    void sendQueued();
    void handleEvents(std::uint64_t nowMs);
    void readFrom(PeerConnection &connection, std::uint64_t nowMs, std::error_code &error);
    std::error_code handleFrame(PeerConnection &connection, wire::PeerFrameT &frame);
    std::error_code handleHello(PeerConnection &connection, const wire::HelloT &hello);
    void keepAlive(PeerConnection &connection, std::uint64_t nowMs, std::error_code &error);
    void closeFailed(std::uint64_t nowMs);
    void countBytes(const std::string &peer, std::size_t bytes);
    void waitForEvents();
    wire::PeerFrameT makeHello() const;

    config::Settings m_settings;
    config::HostSettings m_self;
    std::uint64_t m_incarnation;
    PeerHandlers m_handlers;
    int m_listener = -1;
    int m_wakeDescriptor = -1;
    bool m_acceptReady = false; ///< The listening socket has connections to accept.
    std::list<PeerConnection> m_connections;
    std::map<std::string, DialTarget> m_dials;
    std::vector<std::pair<PeerConnection *, std::error_code>> m_failed;
    std::mutex m_mutex;
    std::vector<std::pair<std::string, wire::PeerFrameT>> m_queue;
    std::vector<config::HostSettings> m_pendingHosts;
    bool m_hostsChanged = false;
    bool m_announcesControl = false;
    std::map<std::string, std::string> m_dataCentres; ///< Data centre of each peer, from its Hello.
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_bytesWithin{0};
    std::atomic<std::uint64_t> m_bytesAcross{0};
    std::atomic<std::uint64_t> m_connectionsRetired{0};
    std::thread m_thread;
};
}
