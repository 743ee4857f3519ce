#include "transport/peernetwork.h"

#include "telemetry/log.h"
#include "transport/transporterror.h"
#include "wire/wireerror.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace rosemaryturn::transport
{
namespace
{
constexpr std::uint64_t dialIntervalMs = 200;
constexpr int pollMs = 50; // Upper bound of the delay of a dial or a heartbeat.
constexpr int listenBacklog = 64;
/** Maximum number of accepted connections whose other end isn't known yet; a host sends its Hello at once. */
constexpr std::ptrdiff_t maxUnknownConnections = 128;
/** Number of heartbeats sent within the silence timeout of a connection. */
constexpr std::uint64_t heartbeatsPerSilenceTimeout = 4;
/** Maximum number of unsent bytes on a connection; above it the connection is closed. */
constexpr std::size_t maxQueuedBytes = 2 * wire::maxFrameBytes;

std::uint64_t steadyMs()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count());
}

sockaddr_in addressOf(const config::HostSettings &host)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(host.peerPort);
    inet_pton(AF_INET, host.address.c_str(), &address.sin_addr);
    return address;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
}

PeerNetwork::PeerNetwork(const config::Settings &settings, std::uint64_t incarnation, PeerHandlers handlers)
    : m_settings(settings)
    , m_self(config::ownHost(settings))
    , m_incarnation(incarnation)
    , m_handlers(std::move(handlers))
{
    for (const config::HostSettings &host : settings.hosts) {
        if (host.id != m_self.id) {
            m_dials[host.id].host = host;
        }
    }
}

PeerNetwork::~PeerNetwork()
{
    stop();
}

std::error_code PeerNetwork::start()
{
    m_wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(m_self);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(m_listener, listenBacklog) != 0) {
        return TransportError::ListenFailed;
    }
    m_thread = std::thread([this] {
        run();
    });
    return {};
}

void PeerNetwork::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        eventfd_write(m_wakeDescriptor, 1);
        m_thread.join();
    }
    for (int *descriptor : {&m_listener, &m_wakeDescriptor}) {
        if (*descriptor >= 0) {
            ::close(*descriptor);
            *descriptor = -1;
        }
    }
}

void PeerNetwork::send(const std::string &to, wire::PeerFrameT frame)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.emplace_back(to, std::move(frame));
    }
    eventfd_write(m_wakeDescriptor, 1);
}

void PeerNetwork::setHosts(std::vector<config::HostSettings> hosts)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pendingHosts = std::move(hosts);
        m_hostsChanged = true;
    }
    eventfd_write(m_wakeDescriptor, 1);
}

void PeerNetwork::announceControl()
{
    m_announcesControl = true;
}

void PeerNetwork::applyHosts()
{
    std::vector<config::HostSettings> hosts;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hostsChanged) {
            return;
        }
        m_hostsChanged = false;
        hosts.swap(m_pendingHosts);
    }
    // Hosts that are no longer listed keep an open connection until it ends.
    std::erase_if(m_dials, [&hosts](const auto &dial) {
        return !dial.second.open && std::none_of(hosts.begin(), hosts.end(), [&dial](const config::HostSettings &host) {
            return host.id == dial.first;
        });
    });
    for (const config::HostSettings &host : hosts) {
        m_dials[host.id].host = host;
    }
}

PeerConnection *PeerNetwork::connectionTo(const std::string &peer)
{
    const auto dial = m_dials.find(peer);
    if (dial != m_dials.end() && dial->second.open && dial->second.connection->handshakeComplete) {
        return &*dial->second.connection;
    }
    for (PeerConnection &connection : m_connections) {
        if (!connection.dialled && connection.handshakeComplete && connection.peer == peer) {
            return &connection; // Not necessarily the newest, which is last; any is usable until it is retired.
        }
    }
    return nullptr;
}

telemetry::TrafficTotals PeerNetwork::totals() const
{
    return {m_bytesWithin, m_bytesAcross, m_connectionsRetired};
}

wire::PeerFrameT PeerNetwork::makeHello() const
{
    wire::HelloT hello;
    hello.cluster = m_settings.cluster;
    hello.host = m_self.id;
    hello.incarnation = m_incarnation;
    hello.oldestVersion = wire::oldestProtocolVersion;
    hello.newestVersion = wire::newestProtocolVersion;
    hello.control = m_announcesControl;
    hello.dataCentre = m_self.dataCentre;
    return wire::makeFrame(std::move(hello));
}

void PeerNetwork::run()
{
    while (!m_stopping) {
        const std::uint64_t nowMs = steadyMs();
        applyHosts();
        dialDisconnected(nowMs);
        sendQueued();
        waitForEvents();
        handleEvents(steadyMs());
        closeFailed(steadyMs());
    }
    m_connections.clear();
}

void PeerNetwork::dialDisconnected(std::uint64_t nowMs)
{
    for (auto &[name, dial] : m_dials) {
        if (dial.open || nowMs < dial.nextDialMs) {
            continue;
        }
        dial.nextDialMs = nowMs + dialIntervalMs;
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(dial.host);
        const int result = connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        if (descriptor < 0 || (result != 0 && errno != EINPROGRESS)) {
            ::close(descriptor);
            continue;
        }
        setNoDelay(descriptor);
        m_connections.emplace_front(descriptor, true, nowMs);
        dial.connection = m_connections.begin();
        dial.connection->peer = name;
        dial.connection->queue(makeHello());
        dial.open = true;
    }
}

void PeerNetwork::acceptNew(std::uint64_t nowMs)
{
    while (true) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        setNoDelay(descriptor);
        closeOldestUnknown();
        m_connections.emplace_back(descriptor, false, nowMs);
    }
}

/** Closes the oldest accepted connection whose other end isn't known yet, if there are many. */
void PeerNetwork::closeOldestUnknown()
{
    const auto isUnknown = [](const PeerConnection &connection) {
        return !connection.dialled && !connection.handshakeComplete;
    };
    if (std::count_if(m_connections.begin(), m_connections.end(), isUnknown) >= maxUnknownConnections) {
        m_connections.erase(std::find_if(m_connections.begin(), m_connections.end(), isUnknown));
    }
}

void PeerNetwork::countBytes(const std::string &peer, std::size_t bytes)
{
    const config::HostSettings *host = config::findHost(m_settings, peer);
    const auto centre = m_dataCentres.find(peer);
    const bool within = host != nullptr ? host->dataCentre == m_self.dataCentre : centre != m_dataCentres.end() && centre->second == m_self.dataCentre;
    (within ? m_bytesWithin : m_bytesAcross) += bytes;
}

void PeerNetwork::sendQueued()
{
    std::vector<std::pair<std::string, wire::PeerFrameT>> frames;
    {
        const std::lock_guard lock(m_mutex);
        frames.swap(m_queue);
    }
    for (const auto &[to, frame] : frames) {
        if (PeerConnection *connection = connectionTo(to)) {
            countBytes(to, connection->queue(frame));
        } // Without a connection the frame is dropped: the sender learns of the disconnect from the peer state, or retries.
    }
}

void PeerNetwork::waitForEvents()
{
    std::vector<pollfd> waits;
    waits.push_back({m_wakeDescriptor, POLLIN, 0});
    waits.push_back({m_listener, POLLIN, 0});
    for (PeerConnection &connection : m_connections) {
        if (const std::error_code error = connection.flush(steadyMs())) {
            m_failed.emplace_back(&connection, error);
        }
        const auto events = static_cast<short>(connection.hasOutput() ? POLLIN | POLLOUT : POLLIN);
        waits.push_back({connection.descriptor(), events, 0});
    }
    poll(waits.data(), waits.size(), m_failed.empty() ? pollMs : 0);
    m_acceptReady = (waits[1].revents & POLLIN) != 0;
    std::size_t position = 2;
    for (PeerConnection &connection : m_connections) {
        connection.readable = waits[position++].revents != 0;
    }
    eventfd_t drained = 0;
    eventfd_read(m_wakeDescriptor, &drained);
}

void PeerNetwork::handleEvents(std::uint64_t nowMs)
{
    if (m_acceptReady) {
        acceptNew(nowMs);
    }
    for (PeerConnection &connection : m_connections) {
        std::error_code error;
        if (connection.readable) {
            readFrom(connection, nowMs, error);
        }
        if (!error) {
            keepAlive(connection, nowMs, error);
        }
        if (!error) {
            error = connection.flush(nowMs);
        }
        if (error) {
            m_failed.emplace_back(&connection, error);
        }
    }
}

void PeerNetwork::readFrom(PeerConnection &connection, std::uint64_t nowMs, std::error_code &error)
{
    std::vector<std::unique_ptr<wire::PeerFrameT>> frames;
    error = connection.receive(nowMs, frames);
    for (const auto &frame : frames) {
        const std::error_code refused = handleFrame(connection, *frame);
        if (refused) {
            error = refused;
            return;
        }
    }
}

std::error_code PeerNetwork::handleHello(PeerConnection &connection, const wire::HelloT &hello)
{
    std::uint16_t version = 0;
    if (const std::error_code error = wire::checkHello(hello, m_settings.cluster, version)) {
        telemetry::log(telemetry::Event::PeerRefused, {{"peer", hello.host}, {"cause", error.message()}});
        return error;
    }
    connection.completeHandshake();
    if (!connection.dialled) {
        connection.peer = hello.host;
        countBytes(connection.peer, connection.queue(makeHello()));
    }
    m_dataCentres[connection.peer] = hello.dataCentre;
    telemetry::log(telemetry::Event::PeerConnected, {{"peer", connection.peer}, {"version", std::to_string(version)}});
    m_handlers.peer(connection.peer, {true, hello.incarnation, hello.control, hello.dataCentre, version});
    return {};
}

std::error_code PeerNetwork::handleFrame(PeerConnection &connection, wire::PeerFrameT &frame)
{
    if (const wire::HelloT *hello = frame.body.AsHello()) {
        return handleHello(connection, *hello);
    }
    if (!connection.handshakeComplete) {
        return wire::WireError::Malformed;
    }
    switch (frame.body.type) {
    case wire::PeerBody::Heartbeat:
        if (!connection.dialled) {
            countBytes(connection.peer, connection.queue(frame));
        }
        return {};
    case wire::PeerBody::Call: {
        wire::CallT *call = frame.body.AsCall();
        if (!call->request) {
            return wire::WireError::Malformed;
        }
        m_handlers.call(connection.peer, call->id, std::move(*call->request));
        return {};
    }
    case wire::PeerBody::CallReply: {
        wire::CallReplyT *reply = frame.body.AsCallReply();
        if (!reply->reply) {
            return wire::WireError::Malformed;
        }
        m_handlers.reply(reply->id, std::move(*reply->reply));
        return {};
    }
    case wire::PeerBody::ConsensusMessage:
        m_handlers.message(std::move(*frame.body.AsConsensusMessage()));
        return {};
    case wire::PeerBody::Orders:
        if (!m_handlers.orders) {
            break;
        }
        m_handlers.orders(connection.peer, std::move(*frame.body.AsOrders()));
        return {};
    case wire::PeerBody::OrderAnswers:
        if (!m_handlers.orderAnswers) {
            break;
        }
        m_handlers.orderAnswers(connection.peer, std::move(*frame.body.AsOrderAnswers()));
        return {};
    case wire::PeerBody::Hello:
    case wire::PeerBody::NONE:
        break;
    }
    return wire::WireError::Malformed;
}

void PeerNetwork::keepAlive(PeerConnection &connection, std::uint64_t nowMs, std::error_code &error)
{
    const std::uint64_t silenceMs = m_settings.timing.peerSilenceMs;
    const bool unknown = !connection.dialled && !connection.handshakeComplete;
    if (nowMs > (unknown ? connection.openedMs : connection.lastContactMs) + silenceMs || connection.queuedBytes() > maxQueuedBytes) {
        telemetry::log(telemetry::Event::PeerSilent, {{"peer", connection.peer}});
        ++m_connectionsRetired;
        error = TransportError::NoConnection;
        return;
    }
    if (connection.dialled && connection.handshakeComplete && nowMs >= connection.nextHeartbeatMs) {
        connection.nextHeartbeatMs = nowMs + silenceMs / heartbeatsPerSilenceTimeout;
        wire::HeartbeatT heartbeat;
        heartbeat.sentMs = nowMs;
        countBytes(connection.peer, connection.queue(wire::makeFrame(heartbeat)));
    }
}

void PeerNetwork::reportLost(const PeerConnection &connection, const std::error_code &error)
{
    // Another connection to the same host, dialled by either side, may still be usable.
    if (connection.handshakeComplete && connectionTo(connection.peer) == nullptr) {
        telemetry::log(telemetry::Event::PeerDisconnected, {{"peer", connection.peer}, {"cause", error.message()}});
        m_handlers.peer(connection.peer, {});
    }
}

void PeerNetwork::closeFailed(std::uint64_t nowMs)
{
    for (const auto &[failed, error] : m_failed) {
        const auto found = std::find_if(m_connections.begin(), m_connections.end(), [failedConnection = failed](const PeerConnection &connection) {
            return &connection == failedConnection;
        });
        if (found == m_connections.end()) {
            continue; // The connection failed twice in this iteration.
        }
        if (found->dialled) {
            DialTarget &dial = m_dials.at(found->peer);
            dial.open = false;
            dial.nextDialMs = nowMs + dialIntervalMs;
        }
        const PeerConnection closed = std::move(*found);
        m_connections.erase(found);
        reportLost(closed, error);
    }
    m_failed.clear();
}
}
