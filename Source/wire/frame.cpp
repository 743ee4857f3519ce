#include "wire/frame.h"

#include "wire/wireerror.h"

#include <algorithm>

namespace rosemaryturn::wire
{
namespace
{
constexpr unsigned bitsPerByte = 8;
/** Initial size of the buffer for a frame. */
constexpr std::size_t initialBytes = 1024;
/** Capacity above which the buffer of a stream is released once it is empty. */
constexpr std::size_t maxIdleBytes = std::size_t{1} << 20U;

/** @return the size of the image that a frame contains; 0 for most frames. */
std::size_t snapshotBytes(const PeerFrameT &frame)
{
    const ConsensusMessageT *message = frame.body.AsConsensusMessage();
    const SnapshotRequestT *snapshot = message == nullptr ? nullptr : message->body.AsSnapshotRequest();
    return snapshot == nullptr ? 0 : snapshot->image.size();
}

std::size_t readLength(const std::uint8_t *header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        length |= static_cast<std::size_t>(header[i]) << (bitsPerByte * i);
    }
    return length;
}
}

Bytes encodeFrame(const PeerFrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder(initialBytes + snapshotBytes(frame));
    builder.Finish(PeerFrame::Pack(builder, &frame));
    const std::size_t size = builder.GetSize();
    Bytes result;
    result.reserve(frameHeaderBytes + size);
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        result.push_back(static_cast<std::uint8_t>(size >> (bitsPerByte * i)));
    }
    result.insert(result.end(), builder.GetBufferPointer(), builder.GetBufferPointer() + size);
    return result;
}

void FrameReader::append(std::span<const std::uint8_t> bytes)
{
    if (m_consumed > 0) {
        m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed));
        m_consumed = 0;
    }
    if (m_buffer.empty() && m_buffer.capacity() > maxIdleBytes) {
        m_buffer = Bytes();
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
    if (m_buffer.size() >= frameHeaderBytes) {
        m_buffer.reserve(frameHeaderBytes + std::min(readLength(m_buffer.data()), m_maxFrameBytes)); // A large frame arrives in many parts.
    }
}

void FrameReader::setMaxFrameBytes(std::size_t bytes)
{
    m_maxFrameBytes = bytes;
}

std::unique_ptr<PeerFrameT> FrameReader::next(std::error_code &error)
{
    const std::size_t available = m_buffer.size() - m_consumed;
    if (available < frameHeaderBytes) {
        return nullptr;
    }
    const std::size_t length = readLength(m_buffer.data() + m_consumed);
    if (length > m_maxFrameBytes) {
        error = WireError::FrameTooLarge;
        return nullptr;
    }
    if (length == 0) {
        error = WireError::FrameEmpty;
        return nullptr;
    }
    if (available < frameHeaderBytes + length) {
        return nullptr;
    }
    // The verifier requires an aligned start, which the position in the stream doesn't guarantee.
    const auto begin = m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed + frameHeaderBytes);
    const Bytes body(begin, begin + static_cast<std::ptrdiff_t>(length));
    m_consumed += frameHeaderBytes + length;
    auto frame = decode<PeerFrameT>(body);
    if (!frame || frame->body.value == nullptr) {
        error = WireError::Malformed;
        return nullptr;
    }
    return frame;
}

std::error_code checkHello(const HelloT &hello, std::string_view cluster, std::uint16_t &version)
{
    if (hello.cluster != cluster) {
        return WireError::ClusterMismatch;
    }
    const std::uint16_t oldest = std::max(hello.oldestVersion, oldestProtocolVersion);
    const std::uint16_t newest = std::min(hello.newestVersion, newestProtocolVersion);
    if (oldest > newest) {
        return WireError::VersionMismatch;
    }
    version = newest;
    return {};
}
}
