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
/** A body of at most this size doesn't wait for its turn to be parsed. */
constexpr std::uint64_t freeParseBytes = std::uint64_t{4} * 1024;
/** Memory that is reserved before a body is parsed, relative to its size; more is reserved while it is parsed if its shape takes more. */
constexpr std::uint64_t parseFactor = 12;
/** The same for a body that doesn't wait; enough for the parsed form of any shape. */
constexpr std::uint64_t shortParseFactor = 48;
/** Part of the memory of clients that is left to small bodies and to connections when long bodies are parsed: one of 8. */
constexpr std::uint64_t reservedShare = 8;
/** Bodies larger than one of this many parts of the clients' memory are handled one at a time. */
constexpr std::uint64_t largestShare = 64;
/** Memory of a process without its clients and jobs: the program, its stacks, and freed memory that the allocator keeps. */
constexpr std::uint64_t processBytes = std::uint64_t{32} << 20U;
/** Largest parsed form whose freed memory stays in the allocator, in each of a few arenas. Returning it costs 40 us, 7 percent of a request of 24 KB. */
constexpr std::uint64_t maxRetainedBytes = std::uint64_t{5} << 18U;
/** Estimated memory of longer parsed bodies after which the allocator returns free pages; each thread leaves them in its arena otherwise. */
constexpr std::uint64_t trimBytes = std::uint64_t{4} << 20U;
/** Time without progress after which an incomplete request may be closed for another one. */
constexpr std::uint64_t idleMs = 1000;
/** Idle time between requests after which a connection may be closed for a new one. Heartbeats keep theirs in use at shorter intervals: closing one of them for
 * another would make all of them connect again and again. */
constexpr std::uint64_t unusedMs = 5000;
/** Part of the connections that may wait for their first request line before the oldest of them is closed for a new connection. */
constexpr std::uint64_t maxConnectedShare = 4;
/** Time for which no further connection to close is searched for after none was found; a search visits all connections. */
constexpr std::uint64_t searchPauseMs = 100;
constexpr std::chrono::milliseconds parseWait{5000};
constexpr std::chrono::milliseconds expiryInterval{1000};
constexpr std::uint64_t minBytesPerSecond = 8192;
constexpr std::uint64_t msPerSecond = 1000;

/** Permit of the handler that runs on this thread. */
thread_local ParsePermit *threadPermit = nullptr;

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
    limits.maxBytes = bytes - std::min(processBytes, bytes / 2);
    limits.reservedBytes = std::min(limits.reservedBytes, limits.maxBytes / 5);
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

void ClientTable::setTakenBytes(std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_takenBytes = bytes;
}

std::uint64_t ClientTable::totalBytes() const
{
    return m_open * bytesPerConnection + m_bodyBytes + m_parseBytes;
}

/** @return the memory that is left to clients. */
std::uint64_t ClientTable::maxBytes() const
{
    return m_limits.maxBytes - std::min(m_takenBytes, m_limits.maxBytes - std::min(m_limits.reservedBytes, m_limits.maxBytes));
}

/** @return the number of connections that may be open: they leave half of the memory to requests. */
std::uint64_t ClientTable::maxOpen() const
{
    return std::min(m_limits.maxConnections, std::max(minConnections, maxBytes() / 2 / bytesPerConnection));
}

bool ClientTable::fits(std::uint64_t bytes) const
{
    return totalBytes() + bytes <= maxBytes();
}

ClientUsage ClientTable::usage() const
{
    ClientUsage usage;
    const std::lock_guard lock(m_mutex);
    usage.connections = m_open;
    usage.bodyBytes = m_bodyBytes;
    usage.parseBytes = m_parseBytes;
    usage.totalBytes = totalBytes();
    return usage;
}

bool ClientTable::acceptsConnections() const
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    return m_open < maxOpen() || nowMs >= m_nextSearchMs;
}

ClientConnection *ClientTable::add(int server, int descriptor)
{
    const std::uint64_t nowMs = m_clock();
    const std::uint64_t cookie = socketCookie(descriptor);
    auto owned = std::make_unique<ClientConnection>();
    ClientConnection &connection = *owned;
    const std::lock_guard lock(m_mutex);
    const bool atLimit = m_open >= maxOpen();
    ClientConnection *victim = atLimit && nowMs >= m_nextSearchMs ? connectionVictim(nowMs) : nullptr;
    const bool full = atLimit && victim == nullptr;
    if (victim != nullptr) {
        close(*victim, Reason::TooManyConnections);
    }
    m_connections.emplace(&connection, std::move(owned));
    connection.server = server;
    connection.descriptor = descriptor;
    connection.cookie = cookie;
    connection.startMs = nowMs;
    connection.progressMs = nowMs;
    connection.connectedPosition = m_connected.insert(m_connected.end(), &connection);
    ++m_open;
    ++m_openByServer[server];
    if (full) {
        leaveConnected(connection);
        connection.phase = ClientPhase::Receiving; // The client is told why.
        close(connection, Reason::TooManyConnections);
    }
    return &connection;
}

void ClientTable::remove(ClientConnection *connection)
{
    const std::lock_guard lock(m_mutex);
    release(*connection);
    leaveConnected(*connection);
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
    leaveConnected(connection);
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

bool ClientTable::beginSending(ClientConnection &connection, std::uint64_t bytes)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    release(connection);
    connection.phase = ClientPhase::Sending;
    connection.startMs = nowMs;
    connection.progressMs = nowMs;
    while (bytes > smallBodyBytes && !fits(bytes)) {
        ClientConnection *victim = bodyVictim(connection, false, nowMs);
        if (victim == nullptr) {
            return false;
        }
        close(*victim, Reason::TooManyBodies);
    }
    connection.charged = bytes;
    m_bodyBytes += bytes;
    return true;
}

void ClientTable::endRequest(ClientConnection &connection)
{
    const std::uint64_t nowMs = m_clock();
    const std::lock_guard lock(m_mutex);
    release(connection);
    connection.phase = ClientPhase::Idle;
    connection.progressMs = nowMs;
}

/** @return whether bodies of a size are handled one at a time: their copies on the way to the log take many times their size. */
bool ClientTable::isLargest(std::uint64_t bodyBytes) const
{
    return bodyBytes > m_limits.maxBytes / largestShare;
}

/** @return the memory of clients up to which a body of a size may be parsed. */
std::uint64_t ClientTable::maxParseTotal(std::uint64_t bodyBytes) const
{
    return bodyBytes <= freeParseBytes ? maxBytes() : maxBytes() - maxBytes() / reservedShare;
}

std::uint64_t ClientTable::acquireParsing(std::uint64_t bytes)
{
    const bool isShort = bytes <= freeParseBytes;
    std::unique_lock lock(m_mutex);
    const std::uint64_t wanted = std::min(bytes * (isShort ? shortParseFactor : parseFactor), maxParseTotal(bytes) / 2);
    if (isShort) {
        const bool admitted = totalBytes() + wanted <= maxParseTotal(bytes);
        m_parseBytes += admitted ? wanted : 0;
        return admitted ? wanted : 0;
    }
    const auto place = m_parseQueue.insert(m_parseQueue.end(), wanted);
    const bool admitted = m_parseChanged.wait_for(lock, parseWait, [&] {
        return place == m_parseQueue.begin() && !(isLargest(bytes) && m_handlesLargest) && totalBytes() + wanted <= maxParseTotal(bytes);
    });
    m_parseQueue.erase(place);
    m_parseBytes += admitted ? wanted : 0;
    m_handlesLargest = m_handlesLargest || (admitted && isLargest(bytes));
    m_parseChanged.notify_all();
    return admitted ? wanted : 0;
}

bool ClientTable::growParsing(std::uint64_t bytes, std::uint64_t bodyBytes)
{
    const std::lock_guard lock(m_mutex);
    if (totalBytes() + bytes > maxParseTotal(bodyBytes)) {
        return false;
    }
    m_parseBytes += bytes;
    return true;
}

void ClientTable::returnParsing(std::uint64_t bytes)
{
    if (bytes > maxRetainedBytes && m_untrimmedBytes.fetch_add(bytes) + bytes >= trimBytes) {
        m_untrimmedBytes = 0;
        ::malloc_trim(0);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_parseBytes -= bytes;
    }
    m_parseChanged.notify_all();
}

void ClientTable::endParsing(std::uint64_t bodyBytes)
{
    if (!isLargest(bodyBytes)) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_handlesLargest = false;
    }
    m_parseChanged.notify_all();
}

ParsePermit::ParsePermit(ClientTable &table, std::uint64_t bytes)
    : m_table(table)
    , m_bodyBytes(bytes)
    , m_granted(true)
{
    if (bytes == 0) {
        return;
    }
    m_meter.grantedBytes = table.acquireParsing(bytes);
    m_granted = m_meter.grantedBytes > 0;
    m_meter.grow = [&table, bytes](std::uint64_t more) {
        return table.growParsing(more, bytes);
    };
    config::setThreadMeter(&m_meter);
    threadPermit = this;
}

ParsePermit::~ParsePermit()
{
    config::setThreadMeter(nullptr);
    threadPermit = nullptr;
    shrink(0);
    if (m_granted) {
        m_table.endParsing(m_bodyBytes);
    }
}

bool ParsePermit::isGranted() const
{
    return m_granted;
}

bool ParsePermit::isExceeded() const
{
    return m_meter.exceeded;
}

void ParsePermit::releaseJson()
{
    if (threadPermit != nullptr) {
        threadPermit->shrink(threadPermit->m_meter.requestBytes * config::requestCopies);
    }
}

/** Returns the memory beyond a number of bytes. */
void ParsePermit::shrink(std::uint64_t bytes)
{
    if (m_meter.grantedBytes > bytes) {
        m_table.returnParsing(std::exchange(m_meter.grantedBytes, bytes) - bytes);
    }
    m_meter.jsonBytes = 0;
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
            const bool timed = connection.phase != ClientPhase::Idle && connection.phase != ClientPhase::Handling;
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
 * in use. Only connections of the server that has most are considered, so that readiness and metrics stay reachable. While many connections wait for their
 * first request line, the oldest of these is closed without further search: an ordinary client sends its line at once, and few of them are open at a time. */
ClientConnection *ClientTable::connectionVictim(std::uint64_t nowMs)
{
    const auto busiest = std::max_element(m_openByServer.begin(), m_openByServer.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    if (m_connected.size() > maxOpen() / maxConnectedShare && m_connected.front()->server == busiest->first) {
        return m_connected.front();
    }
    const auto rank = [nowMs](const ClientConnection &connection) {
        if (connection.phase == ClientPhase::Idle) {
            return 1;
        }
        return connection.progressMs + idleMs <= nowMs ? 0 : 2;
    };
    const auto inUse = [nowMs](const ClientConnection &connection) {
        switch (connection.phase) {
        case ClientPhase::Connected:
            return connection.progressMs + idleMs > nowMs;
        case ClientPhase::Idle:
            return connection.progressMs + unusedMs > nowMs;
        case ClientPhase::Handling:
            return true;
        default:
            return false;
        }
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
    while (m_bodyBytes + bytes > budget || !fits(bytes)) {
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

void ClientTable::leaveConnected(ClientConnection &connection)
{
    if (connection.phase == ClientPhase::Connected && !connection.closed) {
        m_connected.erase(connection.connectedPosition);
    }
}

/** Closes a connection that isn't being handled; its thread ends as its socket is shut down. */
void ClientTable::close(ClientConnection &connection, Reason reason)
{
    telemetry::refusalCounters().count(reason);
    release(connection);
    leaveConnected(connection);
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
