#pragma once

#include "model/reason.h"
#include "transport/bodybuffer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace rosemaryturn::transport
{
/** Limits on the clients of all HTTP servers of a process; docs/design/clients.md. */
struct ClientLimits
{
    std::uint64_t maxConnections = 1000; ///< Open connections.
    std::uint64_t maxBodyBytes = std::uint64_t{64} << 20U; ///< Bodies being received or handled, and responses being sent.
    std::uint64_t maxParseBytes = std::uint64_t{64} << 20U; ///< Estimated memory of long bodies being parsed; one is always admitted.
    std::uint64_t requestMs = 30000; ///< Time to send a request; each 8 KiB received extend it by one second.
};

/** @param memoryMb memory that the process may use. @param descriptors limit on open descriptors. @return the limits that follow from them. */
ClientLimits deriveClientLimits(std::uint64_t memoryMb, std::uint64_t descriptors);

/** State of the request of a connection. */
enum class ClientPhase {
    Idle, ///< Between requests, or before the first one.
    Receiving, ///< The request line was received, the whole request was not.
    Handling, ///< The handler runs.
    Sending, ///< The response is being sent.
};

/** A connection of a client. Its fields belong to the ClientTable; in the phase Handling, the body may be read by the connection's thread. */
struct ClientConnection
{
    int server = 0;
    int descriptor = -1;
    std::uint64_t cookie = 0; ///< Identity of the socket; a descriptor may be reused.
    ClientPhase phase = ClientPhase::Idle;
    bool closed = false; ///< Closed by the table; its thread has not ended yet.
    std::uint64_t startMs = 0; ///< Start of the phase Receiving or Sending.
    std::uint64_t progressMs = 0; ///< Time of the last received bytes, or of the last change of the phase.
    std::uint64_t expected = 0; ///< Announced size of the body; 0 if not announced.
    std::uint64_t charged = 0; ///< Bytes charged to the budget.
    BodyBuffer body;
    std::string target; ///< Target of the request, not unescaped.
};

/** What the clients use at present. */
struct ClientUsage
{
    std::uint64_t connections = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t parseBytes = 0;
};

/**
 * The connections of all HTTP servers of a process. Charges bodies to one budget from their first byte, and closes connections when a limit is reached:
 * those with incomplete requests first, the oldest-idle first. A request that is refused here has not reached its handler.
 */
class ClientTable
{
public:
    using Clock = std::function<std::uint64_t()>;

    /** @param limits the limits. @param clock monotonic milliseconds. */
    ClientTable(const ClientLimits &limits, Clock clock);
    ~ClientTable();
    ClientTable(const ClientTable &) = delete;
    ClientTable &operator=(const ClientTable &) = delete;

    /** Starts the thread that calls expire() each second. */
    void startExpiry();
    /** @return the limits. */
    const ClientLimits &limits() const;
    /** @return what the clients use. */
    ClientUsage usage() const;

    /** @return whether a new connection may be added; false at the limit while all connections are known to be in use. */
    bool acceptsConnections() const;
    /** Adds a connection; at the limit, closes another one or, if all are in use, this one. @param server number of its server. @param descriptor its
     * socket. @return the connection. */
    ClientConnection *add(int server, int descriptor);
    /** Removes a connection. @param connection the connection. */
    void remove(ClientConnection *connection);
    /** Starts a request. @param connection the connection. @param target the request target. */
    void beginRequest(ClientConnection &connection, std::string_view target);
    /** Handles the end of the headers. @param connection the connection. @param expected announced size of the body; 0 if none. @return Reason::None, or why
     * the request is refused. */
    model::Reason beginBody(ClientConnection &connection, std::uint64_t expected);
    /** Adds bytes to a body. @param connection the connection. @param bytes the bytes. @param maxBytes maximum size of the body. @return Reason::None, or why
     * the request is refused; its connection is then closed and must not be used further. */
    model::Reason append(ClientConnection &connection, std::string_view bytes, std::uint64_t maxBytes);
    /** Marks a request as complete. @param connection the connection. @return false if it was closed; its handler must not run. */
    bool beginHandling(ClientConnection &connection);
    /** Frees the body and charges the response. @param connection the connection. @param bytes size of the response. */
    void beginSending(ClientConnection &connection, std::uint64_t bytes);
    /** Ends a request, whether or not it was answered. @param connection the connection. */
    void endRequest(ClientConnection &connection);

    /** Waits until a body may be parsed; long bodies only, as the parsed form takes many times their size. @param bytes size of the body. @return false if
     * that took too long; the request is refused. Otherwise releaseParsing() must be called on the same thread. */
    bool acquireParsing(std::uint64_t bytes);
    /** Allows the next body to be parsed, if this thread holds a permit; may be called more than once. */
    static void releaseParsing();

    /** Closes connections whose requests take too long, and logs what was refused since the last call. */
    void expire();

private:
    ClientConnection *connectionVictim(std::uint64_t nowMs);
    ClientConnection *bodyVictim(const ClientConnection &requester, bool small, std::uint64_t nowMs);
    bool charge(ClientConnection &connection, std::uint64_t bytes, std::uint64_t nowMs);
    void release(ClientConnection &connection);
    void close(ClientConnection &connection, model::Reason reason);
    void returnParsing(std::uint64_t bytes);

    const ClientLimits m_limits;
    const Clock m_clock;
    mutable std::mutex m_mutex;
    std::unordered_map<const ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    std::map<int, std::uint64_t> m_openByServer;
    std::uint64_t m_open = 0;
    std::uint64_t m_nextSearchMs = 0; ///< No connection to close is searched for before this time.
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_closedSinceLog = 0;
    std::uint64_t m_refusedSinceLog = 0;

    mutable std::mutex m_parseMutex;
    std::condition_variable m_parseChanged;
    std::list<std::uint64_t> m_parseQueue; ///< Waiting bodies in order of arrival.
    std::uint64_t m_parseBytes = 0;
    std::atomic<std::uint64_t> m_untrimmedBytes{0};

    std::mutex m_expiryMutex;
    std::condition_variable m_expiryChanged;
    bool m_stopping = false;
    std::thread m_expiry;
};
}
