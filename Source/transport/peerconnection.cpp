#include "transport/peerconnection.h"

#include "transport/transporterror.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace rosemaryturn::transport
{
namespace
{
constexpr std::size_t receiveBufferBytes = std::size_t{64} * 1024;
/** Capacity above which the buffer of sent bytes is released. */
constexpr std::size_t maxIdleOutputBytes = std::size_t{1024} * 1024;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
}
}

PeerConnection::PeerConnection(int descriptor, bool dialledHere, std::uint64_t nowMs)
    : dialled(dialledHere)
    , openedMs(nowMs)
    , lastContactMs(nowMs)
    , m_descriptor(descriptor)
{
    if (!dialled) {
        m_reader.setMaxFrameBytes(wire::maxHelloBytes);
    }
}

PeerConnection::~PeerConnection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

PeerConnection::PeerConnection(PeerConnection &&other) noexcept
    : peer(std::move(other.peer))
    , dialled(other.dialled)
    , readable(other.readable)
    , handshakeComplete(other.handshakeComplete)
    , openedMs(other.openedMs)
    , lastContactMs(other.lastContactMs)
    , nextHeartbeatMs(other.nextHeartbeatMs)
    , m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_reader(std::move(other.m_reader))
    , m_output(std::move(other.m_output))
    , m_sentBytes(other.m_sentBytes)
    , m_blocked(other.m_blocked)
{
}

PeerConnection &PeerConnection::operator=(PeerConnection &&other) noexcept
{
    if (this != &other) {
        std::swap(m_descriptor, other.m_descriptor);
        std::swap(m_reader, other.m_reader);
        std::swap(m_output, other.m_output);
        std::swap(m_sentBytes, other.m_sentBytes);
        std::swap(m_blocked, other.m_blocked);
        peer = std::move(other.peer);
        dialled = other.dialled;
        readable = other.readable;
        handshakeComplete = other.handshakeComplete;
        openedMs = other.openedMs;
        lastContactMs = other.lastContactMs;
        nextHeartbeatMs = other.nextHeartbeatMs;
    }
    return *this;
}

std::size_t PeerConnection::queue(const wire::PeerFrameT &frame)
{
    wire::Bytes bytes = wire::encodeFrame(frame);
    const std::size_t size = bytes.size();
    if (m_output.empty()) {
        m_output = std::move(bytes);
    } else {
        m_output.insert(m_output.end(), bytes.begin(), bytes.end());
    }
    return size;
}

std::error_code PeerConnection::flush(std::uint64_t nowMs)
{
    while (m_sentBytes < m_output.size()) {
        const ssize_t written = ::send(m_descriptor, m_output.data() + m_sentBytes, m_output.size() - m_sentBytes, MSG_NOSIGNAL);
        if (written < 0) {
            m_blocked = true;
            return wouldBlock() ? std::error_code{} : std::error_code(errno, std::generic_category());
        }
        if (m_blocked) {
            m_blocked = false;
            lastContactMs = nowMs;
        }
        m_sentBytes += static_cast<std::size_t>(written);
    }
    if (m_output.capacity() > maxIdleOutputBytes) {
        m_output = wire::Bytes();
    }
    m_output.clear();
    m_sentBytes = 0;
    return {};
}

std::error_code PeerConnection::receive(std::uint64_t nowMs, std::vector<std::unique_ptr<wire::PeerFrameT>> &frames)
{
    std::array<std::uint8_t, receiveBufferBytes> buffer; // Left uninitialised: only the received bytes are read.
    const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
        return TransportError::NoConnection;
    }
    if (count < 0) {
        return wouldBlock() ? std::error_code{} : std::error_code(errno, std::generic_category());
    }
    lastContactMs = nowMs;
    m_reader.append({buffer.data(), static_cast<std::size_t>(count)});
    std::error_code error;
    while (auto frame = m_reader.next(error)) {
        frames.push_back(std::move(frame));
    }
    return error;
}

void PeerConnection::completeHandshake()
{
    handshakeComplete = true;
    m_reader.setMaxFrameBytes(wire::maxFrameBytes);
}

bool PeerConnection::hasOutput() const
{
    return m_sentBytes < m_output.size();
}

std::size_t PeerConnection::queuedBytes() const
{
    return m_output.size() - m_sentBytes;
}

int PeerConnection::descriptor() const
{
    return m_descriptor;
}
}
