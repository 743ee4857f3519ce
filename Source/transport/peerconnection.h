#pragma once

#include "wire/frame.h"

#include <cstdint>
#include <deque>
#include <string>
#include <system_error>
#include <vector>

namespace rosemaryturn::transport
{
/** TCP connection between two entry hosts; not thread-safe, used only by the peer thread. */
class PeerConnection
{
public:
    /** @param descriptor a non-blocking socket; takes ownership. @param dialled whether this host opened it. @param nowMs the current time. */
    PeerConnection(int descriptor, bool dialled, std::uint64_t nowMs);
    ~PeerConnection();
    PeerConnection(PeerConnection &&other) noexcept;
    PeerConnection &operator=(PeerConnection &&other) noexcept;
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /** Queues a frame. @param frame the frame. @return the bytes queued. */
    std::size_t queue(const wire::PeerFrameT &frame);
    /** Sends queued bytes until the socket would block. @param nowMs the current time. @return an error that ends the connection, or none. */
    std::error_code flush(std::uint64_t nowMs);
    /** Reads available bytes. @param nowMs the current time. @param frames receives complete frames. @return an error that ends the connection, or none. */
    std::error_code receive(std::uint64_t nowMs, std::vector<std::unique_ptr<wire::PeerFrameT>> &frames);
    /** Marks the other end as known: its cluster and version are accepted, and it may send frames of any size. */
    void completeHandshake();
    /** @return whether there are unsent bytes. */
    bool hasOutput() const;
    /** @return the number of unsent bytes. */
    std::size_t queuedBytes() const;
    /** @return the socket descriptor. */
    int descriptor() const;

    std::string peer; ///< Host id of the other end; empty on accepted connections until its Hello arrives.
    bool dialled = false; ///< This host opened the connection.
    bool readable = false; ///< The last poll reported data, an error or a hang-up.
    bool handshakeComplete = false; ///< The Hello of the other end was received and its cluster and version are accepted.
    std::uint64_t openedMs = 0;
    std::uint64_t lastContactMs = 0; ///< Last time that the other end showed activity: bytes arrived, or a blocked send continued.
    std::uint64_t nextHeartbeatMs = 0;

private:
    int m_descriptor = -1;
    wire::FrameReader m_reader;
    wire::Bytes m_output;
    std::size_t m_sentBytes = 0;
    bool m_blocked = false; ///< The send buffer was full; the next successful send proves that the other end received data.
};
}
