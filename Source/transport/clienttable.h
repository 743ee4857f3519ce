#pragma once

#include "config/memorymeter.h"
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
    std::uint64_t maxBytes = std::uint64_t{192} << 20U; ///< All memory of clients: connections, bodies, parsed forms and responses.
    std::uint64_t reservedBytes = std::uint64_t{48} << 20U; ///< Part of maxBytes that is left to clients whatever jobs take: heartbeats end them.
    std::uint64_t maxBodyBytes = std::uint64_t{64} << 20U; ///< Bodies being received or handled, and responses being sent.
    std::uint64_t requestMs = 30000; ///< Time to send a request; each 8 KiB received extend it by one second.
};

/** @param memoryMb memory that the process may use. @param descriptors limit on open descriptors. @return the limits that follow from them. */
ClientLimits deriveClientLimits(std::uint64_t memoryMb, std::uint64_t descriptors);

/** State of the request of a connection. */
enum class ClientPhase {
    Connected, ///< Before the first request line was received; whether a part of it was isn't known.
    Idle, ///< Between requests.
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
    ClientPhase phase = ClientPhase::Connected;
    bool closed = false; ///< Closed by the table; its thread has not ended yet.
    std::uint64_t startMs = 0; ///< Start of the phase Connected, Receiving or Sending.
    std::uint64_t progressMs = 0; ///< Time of the last received bytes, or of the last change of the phase.
    std::uint64_t expected = 0; ///< Announced size of the body; 0 if not announced.
    std::uint64_t charged = 0; ///< Bytes charged to the budget.
    BodyBuffer body;
    std::string target; ///< Target of the request, not unescaped.
    std::list<ClientConnection *>::iterator connectedPosition; ///< In ClientTable's list of the connections in the phase Connected.
};

/** What the clients use at present. */
struct ClientUsage
{
    std::uint64_t connections = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t parseBytes = 0;
    std::uint64_t totalBytes = 0; ///< All memory of clients, at most ClientLimits::maxBytes.
};

class ClientTable;

/** Memory for the parsed forms of a body and the request built from it, while the body's handler runs. Belongs to the thread that runs the handler. */
class ParsePermit
{
public:
    /** Waits until there is memory to begin with a body. @param table the table. @param bytes size of the body. */
    ParsePermit(ClientTable &table, std::uint64_t bytes);
    ~ParsePermit();
    ParsePermit(const ParsePermit &) = delete;
    ParsePermit &operator=(const ParsePermit &) = delete;

    /** @return whether there was memory to begin with the body. */
    bool isGranted() const;
    /** @return whether the parsing of the body has failed for lack of memory. */
    bool isExceeded() const;
    /** Returns the memory of JSON values, if this thread has a permit: its request was built and waits for an answer. May be called more than once. */
    static void releaseJson();

private:
    void shrink(std::uint64_t bytes);

    ClientTable &m_table;
    const std::uint64_t m_bodyBytes;
    config::MemoryMeter m_meter;
    bool m_granted = false;
};

/**
 * The connections of all HTTP servers of a process. Charges bodies to one budget from their first byte, and closes connections when a limit is reached:
 * those with incomplete requests first, the oldest-idle first. A client counts as ordinary once it has sent a whole request line. A request that is refused
 * here has not reached its handler.
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
    /** Tells how much of the clients' memory the rest of the process has taken, such as for jobs. @param bytes the memory. */
    void setTakenBytes(std::uint64_t bytes);
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
    /** Frees the body and charges the response. For a long response, connections that don't read theirs are closed if there is no memory. @param connection the
     * connection. @param bytes size of the response. @return false if there is still no memory; nothing is charged then. */
    bool beginSending(ClientConnection &connection, std::uint64_t bytes);
    /** Ends a request, whether or not it was answered. @param connection the connection. */
    void endRequest(ClientConnection &connection);

    /** Waits until memory for the parsed form of a body is free; long bodies wait in order of arrival. @param bytes size of the body. @return the memory that
     * was reserved; 0 if that took too long or is more than the process has. */
    std::uint64_t acquireParsing(std::uint64_t bytes);
    /** Reserves more memory for a parsed form, without waiting. @param bytes the memory. @param bodyBytes size of the body. @return false if there is none. */
    bool growParsing(std::uint64_t bytes, std::uint64_t bodyBytes);
    /** Returns reserved memory. @param bytes the memory. */
    void returnParsing(std::uint64_t bytes);
    /** Ends the turn of a body for which memory was reserved. @param bodyBytes size of the body. */
    void endParsing(std::uint64_t bodyBytes);

    /** Closes connections whose requests take too long, and logs what was refused since the last call. */
    void expire();

private:
    ClientConnection *connectionVictim(std::uint64_t nowMs);
    ClientConnection *bodyVictim(const ClientConnection &requester, bool small, std::uint64_t nowMs);
    bool charge(ClientConnection &connection, std::uint64_t bytes, std::uint64_t nowMs);
    void release(ClientConnection &connection);
    void close(ClientConnection &connection, model::Reason reason);
    void leaveConnected(ClientConnection &connection);
    std::uint64_t totalBytes() const;
    std::uint64_t maxBytes() const;
    std::uint64_t maxOpen() const;
    std::uint64_t maxParseTotal(std::uint64_t bodyBytes) const;
    bool isLargest(std::uint64_t bodyBytes) const;
    bool fits(std::uint64_t bytes) const;

    const ClientLimits m_limits;
    const Clock m_clock;
    mutable std::mutex m_mutex;
    std::unordered_map<const ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    std::map<int, std::uint64_t> m_openByServer;
    std::list<ClientConnection *> m_connected; ///< Open connections in the phase Connected, the oldest first.
    std::uint64_t m_open = 0;
    std::uint64_t m_nextSearchMs = 0; ///< No connection to close is searched for before this time.
    std::uint64_t m_takenBytes = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_closedSinceLog = 0;
    std::uint64_t m_refusedSinceLog = 0;

    std::condition_variable m_parseChanged;
    std::list<std::uint64_t> m_parseQueue; ///< Waiting bodies in order of arrival.
    std::uint64_t m_parseBytes = 0;
    bool m_handlesLargest = false; ///< A body of the largest kind is being handled.
    std::atomic<std::uint64_t> m_untrimmedBytes{0};

    std::mutex m_expiryMutex;
    std::condition_variable m_expiryChanged;
    bool m_stopping = false;
    std::thread m_expiry;
};
}
