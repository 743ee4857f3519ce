#pragma once

#include "wire/frame.h"

#include <cstdint>
#include <deque>
#include <string>
#include <system_error>
#include <vector>

namespace rosemaryturn::transport
{
/** One TCP connection between two entry hosts; used by the peer thread only. */
class PeerConnection
{
public:
    /** @param descriptor a non-blocking socket, owned from now on. @param dialled whether this host opened it. @param nowMs the present time. */
    PeerConnection(int descriptor, bool dialled, std::uint64_t nowMs);
    ~PeerConnection();
    PeerConnection(PeerConnection &&other) noexcept;
    PeerConnection &operator=(PeerConnection &&other) noexcept;
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /** Queues a frame. @param frame the frame. @return the bytes queued. */
    std::size_t queue(const wire::PeerFrameT &frame);
    /** Sends what the socket takes. @param nowMs the present time. @return an error that ends the connection, or none. */
    std::error_code flush(std::uint64_t nowMs);
    /** Reads what is there. @param nowMs the present time. @param frames receives whole frames. @return an error that ends the connection, or none. */
    std::error_code receive(std::uint64_t nowMs, std::vector<std::unique_ptr<wire::PeerFrameT>> &frames);
    /** @return whether bytes wait to be sent. */
    bool hasOutput() const;
    /** @return bytes that wait to be sent. */
    std::size_t queuedBytes() const;
    /** @return the socket. */
    int descriptor() const;

    std::string peer; ///< Host id of the other end; empty until its greeting.
    bool dialled = false;
    bool readable = false; ///< The last wait saw something to read, or an end.
    bool handshakeComplete = false; ///< Both sides agreed on cluster and version.
    std::uint64_t lastContactMs = 0; ///< When bytes last arrived.
    std::uint64_t nextHeartbeatMs = 0;

private:
    int m_descriptor = -1;
    wire::FrameReader m_reader;
    wire::Bytes m_output;
    std::size_t m_sentBytes = 0;
    bool m_blocked = false; ///< The socket took no more; what it takes next shows that the other end received something.
};
}
