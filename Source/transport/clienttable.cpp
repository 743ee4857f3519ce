#include "transport/clienttable.h"

#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "transport/requestjson.h"

#include <malloc.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemaryturn::transport
{
namespace
{
using model::Reason;

/** Memory of a connection: 32 KiB of the library, 24 KiB of touched stack, and its kernel objects. */
constexpr std::uint64_t bytesPerConnection = std::uint64_t{64} * 1024;
constexpr std::uint64_t bytesPerMb = std::uint64_t{1} << 20U;
constexpr std::uint64_t minConnections = 64;
/** Upstreams keep connections for their heartbeats. More of them than this on one host fill its processor; those that are refused go to another host. */
constexpr std::uint64_t maxConnections = 1000;
/** A body of at most this size counts as small: it is admitted when large ones are not. */
constexpr std::uint64_t smallBodyBytes = std::uint64_t{16} * 1024;
/** A body of at most this size is parsed without a permit: 300 connections that do so at once take 48 MB at most. */
constexpr std::uint64_t freeParseBytes = std::uint64_t{4} * 1024;
/** Memory of the parsed form of a body relative to its size; arrays of empty objects take the most. */
constexpr std::uint64_t parseFactor = 40;
/** Longest body whose freed memory stays in the allocator: 1.25 MB in each of a few arenas. Returning it costs 40 us, 7 percent of a request of 24 KB. */
constexpr std::uint64_t maxRetainedBytes = std::uint64_t{32} * 1024;
/** Estimated memory of longer parsed bodies after which the allocator returns free pages; each thread leaves them in its arena otherwise. */
constexpr std::uint64_t trimBytes = std::uint64_t{4} << 20U;
/** Time without progress after which an incomplete request may be closed for another one. */
constexpr std::uint64_t idleMs = 1000;
/** Idle time between requests after which a connection may be closed for a new one. Heartbeats keep theirs in use at shorter intervals: closing one of them for
 * another would make all of them connect again and again. */
constexpr std::uint64_t unusedMs = 5000;
/** Time for which no further connection to close is searched for after none was found; a search visits all connections. */
constexpr std::uint64_t searchPauseMs = 100;
constexpr std::chrono::milliseconds parseWait{5000};
constexpr std::chrono::milliseconds expiryInterval{1000};
constexpr std::uint64_t minBytesPerSecond = 8192;
constexpr std::uint64_t msPerSecond = 1000;

/** Permit of the handler that runs on this thread. */
struct ParsePermit
{
    std::function<void()> release;
};

thread_local ParsePermit parsePermit;

std::uint64_t socketCookie(int descriptor)
{
    std::uint64_t cookie = 0;
    socklen_t length = sizeof(cookie);
    ::getsockopt(descriptor, SOL_SOCKET, SO_COOKIE, &cookie, &length);
    return cookie;
}

/** Sends a refusal outside of the HTTP library, which takes a response only before or after a body. */
void sendRefusal(int descriptor, Reason reason)
{
    const HttpResponse response = refusal(reason, {});
    std::string text = response.status == 413 ? "HTTP/1.1 413 Content Too Large\r\n" : "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n";
    text.append("Connection: close\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(response.body.size())).append("\r\n\r\n");
    text.append(response.body);
    [[maybe_unused]] const ssize_t sent = ::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

std::uint64_t deadlineMs(const ClientConnection &connection, std::uint64_t requestMs)
{
    return connection.startMs + requestMs + connection.charged * msPerSecond / minBytesPerSecond;
}
}

ClientLimits deriveClientLimits(std::uint64_t memoryMb, std::uint64_t descriptors)
{
    ClientLimits limits;
    const std::uint64_t bytes = memoryMb * bytesPerMb;
    limits.maxConnections = std::clamp(std::min(bytes / 4 / bytesPerConnection, descriptors / 2), minConnections, maxConnections);
    // A control host of 256 MB holds eight configurations of 5 MiB at once.
    limits.maxBodyBytes = bytes / 6;
    limits.maxParseBytes = bytes / 6;
    return limits;
}

ClientTable::ClientTable(const ClientLimits &limits, Clock clock)
    : m_limits(limits)
    , m_clock(std::move(clock))
{
}

ClientTable::~ClientTable()
{
    if (m_expiry.joinable()) {
        {
            const std::lock_guard lock(m_expiryMutex);
            m_stopping = true;
        }
        m_expiryChanged.notify_all();
        m_expiry.join();
    }
}

void ClientTable::startExpiry()
{
    m_expiry = std::thread([this] {
        std::unique_lock lock(m_expiryMutex);
        while (!m_expiryChanged.wait_for(lock, expiryInterval, [this] {
            return m_stopping;
        })) {
            expire();
        }
    });
}

const ClientLimits &ClientTable::limits() const
{
    return m_limits;
}

ClientUsage ClientTable::usage() const
{
    ClientUsage usage;
    {
        const std::lock_guard lock(m_mutex);
        usage.connections = m_open;
        usage.bodyBytes = m_bodyBytes;
    }
    const std::lock_guard lock(m_parseMutex);
    usage.parseBytes = m_parseBytes;
    return usage;
}

bool ClientTable::acceptsConnections() const
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    return m_open < m_limits.maxConnections || nowMs >= m_nextSearchMs;
}

ClientConnection *ClientTable::add(int server, int descriptor)
{
    const std::uint64_t nowMs = m_clock();
    const std::uint64_t cookie = socketCookie(descriptor);
    auto owned = std::make_unique<ClientConnection>();
    ClientConnection &connection = *owned;
    const std::lock_guard lock(m_mutex);
    const bool atLimit = m_open >= m_limits.maxConnections;
    ClientConnection *victim = atLimit && nowMs >= m_nextSearchMs ? connectionVictim(nowMs) : nullptr;
    const bool full = atLimit && victim == nullptr;
    if (victim != nullptr) {
        close(*victim, Reason::TooManyConnections);
    }
    m_connections.emplace(&connection, std::move(owned));
    connection.server = server;
    connection.descriptor = descriptor;
    connection.cookie = cookie;
    connection.progressMs = nowMs;
    ++m_open;
    ++m_openByServer[server];
    if (full) {
        connection.phase = ClientPhase::Receiving; // The client is told why.
        close(connection, Reason::TooManyConnections);
    }
    return &connection;
}

void ClientTable::remove(ClientConnection *connection)
{
    const std::lock_guard lock(m_mutex);
    release(*connection);
    if (!connection->closed) {
        --m_open;
        --m_openByServer[connection->server];
    }
    m_connections.erase(connection);
}

void ClientTable::beginRequest(ClientConnection &connection, std::string_view target)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    connection.target = target;
    connection.expected = 0;
    connection.phase = ClientPhase::Receiving;
    connection.startMs = nowMs;
    connection.progressMs = nowMs;
}

Reason ClientTable::beginBody(ClientConnection &connection, std::uint64_t expected)
{
    const std::lock_guard lock(m_mutex);
    if (connection.closed) {
        return Reason::TooManyConnections;
    }
    connection.expected = expected;
    return Reason::None;
}

Reason ClientTable::append(ClientConnection &connection, std::string_view bytes, std::uint64_t maxBytes)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    if (connection.closed) {
        return Reason::TooManyConnections;
    }
    if (connection.charged + bytes.size() > maxBytes) {
        close(connection, Reason::BodyTooLarge);
        return Reason::BodyTooLarge;
    }
    if (!charge(connection, bytes.size(), nowMs) || !connection.body.append(bytes, connection.expected)) {
        close(connection, Reason::TooManyBodies);
        return Reason::TooManyBodies;
    }
    connection.progressMs = nowMs;
    return Reason::None;
}

bool ClientTable::beginHandling(ClientConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    if (connection.closed) {
        return false;
    }
    connection.phase = ClientPhase::Handling;
    return true;
}

void ClientTable::beginSending(ClientConnection &connection, std::uint64_t bytes)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    release(connection);
    // A response exists already; it may exceed the budget, which then refuses further bodies.
    connection.charged = bytes;
    m_bodyBytes += bytes;
    connection.phase = ClientPhase::Sending;
    connection.startMs = nowMs;
    connection.progressMs = nowMs;
}

void ClientTable::endRequest(ClientConnection &connection)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    release(connection);
    connection.phase = ClientPhase::Idle;
    connection.progressMs = nowMs;
}

bool ClientTable::acquireParsing(std::uint64_t bytes)
{
    if (bytes <= freeParseBytes) {
        return true;
    }
    const std::uint64_t estimate = bytes * parseFactor;
    std::unique_lock lock(m_parseMutex);
    const auto place = m_parseQueue.insert(m_parseQueue.end(), estimate);
    const bool admitted = m_parseChanged.wait_for(lock, parseWait, [&] {
        return place == m_parseQueue.begin() && (m_parseBytes == 0 || m_parseBytes + estimate <= m_limits.maxParseBytes);
    });
    m_parseQueue.erase(place);
    if (admitted) {
        m_parseBytes += estimate;
        parsePermit.release = [this, estimate] {
            returnParsing(estimate);
        };
    }
    m_parseChanged.notify_all();
    return admitted;
}

void ClientTable::releaseParsing()
{
    if (parsePermit.release) {
        std::exchange(parsePermit.release, nullptr)();
    }
}

void ClientTable::returnParsing(std::uint64_t bytes)
{
    if (bytes > maxRetainedBytes * parseFactor && m_untrimmedBytes.fetch_add(bytes) + bytes >= trimBytes) {
        m_untrimmedBytes = 0;
        ::malloc_trim(0);
    }
    {
        const std::lock_guard lock(m_parseMutex);
        m_parseBytes -= bytes;
    }
    m_parseChanged.notify_all();
}

void ClientTable::expire()
{
    const std::uint64_t nowMs = m_clock();
    std::uint64_t closedCount = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t connections = 0;
    std::uint64_t bodyBytes = 0;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, owned] : m_connections) {
            ClientConnection &connection = *owned;
            const bool timed = connection.phase == ClientPhase::Receiving || connection.phase == ClientPhase::Sending;
            if (timed && !connection.closed && nowMs >= deadlineMs(connection, m_limits.requestMs)) {
                close(connection, Reason::RequestTooSlow);
            }
        }
        closedCount = std::exchange(m_closedSinceLog, 0);
        refusedCount = std::exchange(m_refusedSinceLog, 0);
        connections = m_open;
        bodyBytes = m_bodyBytes;
    }
    if (closedCount + refusedCount > 0) {
        telemetry::log(telemetry::Event::ClientsLimited,
                       {{"closed", std::to_string(closedCount)},
                        {"refused", std::to_string(refusedCount)},
                        {"connections", std::to_string(connections)},
                        {"maxConnections", std::to_string(m_limits.maxConnections)},
                        {"bodyBytes", std::to_string(bodyBytes)},
                        {"maxBodyBytes", std::to_string(m_limits.maxBodyBytes)}});
    }
}

/** @return the connection to close for a new one: an incomplete request without progress, then an idle connection, then any incomplete one; null if all are
 * handled. Only connections of the server that has most are considered, so that readiness and metrics stay reachable. */
ClientConnection *ClientTable::connectionVictim(std::uint64_t nowMs)
{
    const auto busiest = std::max_element(m_openByServer.begin(), m_openByServer.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    const auto rank = [nowMs](const ClientConnection &connection) {
        if (connection.phase == ClientPhase::Idle) {
            return 1;
        }
        return connection.progressMs + idleMs <= nowMs ? 0 : 2;
    };
    const auto inUse = [nowMs](const ClientConnection &connection) {
        return connection.phase == ClientPhase::Handling || (connection.phase == ClientPhase::Idle && connection.progressMs + unusedMs > nowMs);
    };
    ClientConnection *victim = nullptr;
    for (const auto &[key, owned] : m_connections) {
        ClientConnection &connection = *owned;
        if (connection.closed || inUse(connection) || connection.server != busiest->first) {
            continue;
        }
        if (victim == nullptr || std::pair(rank(connection), connection.progressMs) < std::pair(rank(*victim), victim->progressMs)) {
            victim = &connection;
        }
    }
    m_nextSearchMs = victim == nullptr ? nowMs + searchPauseMs : nowMs;
    return victim;
}

/** @return the connection to close so that another body fits: the oldest one without progress, or, for a small body, the largest; null if there is none. */
ClientConnection *ClientTable::bodyVictim(const ClientConnection &requester, bool small, std::uint64_t nowMs)
{
    ClientConnection *oldest = nullptr;
    ClientConnection *largest = nullptr;
    for (const auto &[key, owned] : m_connections) {
        ClientConnection &connection = *owned;
        const bool releasable = connection.phase == ClientPhase::Receiving || connection.phase == ClientPhase::Sending;
        if (&connection == &requester || connection.closed || connection.charged == 0 || !releasable) {
            continue;
        }
        if (connection.progressMs + idleMs <= nowMs && (oldest == nullptr || connection.progressMs < oldest->progressMs)) {
            oldest = &connection;
        }
        if (connection.charged > smallBodyBytes && (largest == nullptr || connection.charged > largest->charged)) {
            largest = &connection;
        }
    }
    return oldest != nullptr || !small ? oldest : largest;
}

bool ClientTable::charge(ClientConnection &connection, std::uint64_t bytes, std::uint64_t nowMs)
{
    const bool small = std::max(connection.charged + bytes, connection.expected) <= smallBodyBytes;
    // One eighth is reserved for small bodies, as large ones that are being handled can't be closed.
    const std::uint64_t budget = small ? m_limits.maxBodyBytes : m_limits.maxBodyBytes / 8 * 7;
    while (m_bodyBytes + bytes > budget) {
        ClientConnection *victim = bodyVictim(connection, small, nowMs);
        if (victim == nullptr) {
            return false;
        }
        close(*victim, Reason::TooManyBodies);
    }
    connection.charged += bytes;
    m_bodyBytes += bytes;
    return true;
}

void ClientTable::release(ClientConnection &connection)
{
    m_bodyBytes -= connection.charged;
    connection.charged = 0;
    connection.body.clear();
}

/** Closes a connection that isn't being handled; its thread ends as its socket is shut down. */
void ClientTable::close(ClientConnection &connection, Reason reason)
{
    telemetry::refusalCounters().count(reason);
    release(connection);
    connection.closed = true;
    --m_open;
    --m_openByServer[connection.server];
    ++(connection.phase == ClientPhase::Receiving ? m_refusedSinceLog : m_closedSinceLog);
    // The HTTP library may have closed the socket already, and the descriptor may be another socket's.
    if (socketCookie(connection.descriptor) != connection.cookie) {
        return;
    }
    if (connection.phase == ClientPhase::Receiving) {
        sendRefusal(connection.descriptor, reason);
    }
    ::shutdown(connection.descriptor, SHUT_RDWR);
}
}
