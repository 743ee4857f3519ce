#pragma once

#include "wire/codec.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <system_error>
#include <utility>

namespace rosemaryturn::wire
{
/** Maximum size of a frame body, in bytes. */
constexpr std::size_t maxFrameBytes = 64U * 1024U * 1024U;
/** Maximum size of the frame body of a Hello, in bytes: all that a connection may send before its other end is known. */
constexpr std::size_t maxHelloBytes = 4096;
/** Size of the little-endian length that precedes each body, in bytes. */
constexpr std::size_t frameHeaderBytes = 4;
/** Oldest protocol version that this build supports. */
constexpr std::uint16_t oldestProtocolVersion = 1;
/** First version in which a host can act as a courier: it delivers the leader's orders to upstreams. */
constexpr std::uint16_t courierProtocolVersion = 3;
/** Newest protocol version that this build supports. */
constexpr std::uint16_t newestProtocolVersion = 3;

/** @param imageBytes size of a snapshot's image. @return whether a frame can hold it with its membership and headers. */
constexpr bool fitsFrame(std::size_t imageBytes)
{
    constexpr std::size_t overheadBytes = std::size_t{1} << 20U;
    return imageBytes <= maxFrameBytes - overheadBytes;
}

/**
 * Wraps a message in a frame.
 * @tparam Body a member of the union PeerBody in object form.
 * @param body the message.
 * @return the frame.
 */
template<typename Body>
PeerFrameT makeFrame(Body body)
{
    PeerFrameT frame;
    frame.body.Set(std::move(body));
    return frame;
}

/**
 * Encodes a frame, preceded by its length.
 * @param frame the frame.
 * @return header and body.
 */
Bytes encodeFrame(const PeerFrameT &frame);

/** Splits a received byte stream into frames. */
class FrameReader
{
public:
    /**
     * Adds received bytes.
     * @param bytes the bytes.
     */
    void append(std::span<const std::uint8_t> bytes);

    /**
     * Limits the frames to come; the limit is maxFrameBytes at first.
     * @param bytes maximum size of a frame body.
     */
    void setMaxFrameBytes(std::size_t bytes);

    /**
     * Removes the next complete frame from the stream.
     * @param error set if the stream is invalid; the connection must then be closed.
     * @return the frame, or null if more bytes are needed or an error is set.
     */
    std::unique_ptr<PeerFrameT> next(std::error_code &error);

private:
    Bytes m_buffer;
    std::size_t m_consumed = 0;
    std::size_t m_maxFrameBytes = maxFrameBytes;
};

/**
 * Checks the hello, the first message of a connection.
 * @param hello the peer's hello.
 * @param cluster the name of the local cluster.
 * @param version receives the newest version that both sides support.
 * @return an error, for which the connection must be closed, or none.
 */
std::error_code checkHello(const HelloT &hello, std::string_view cluster, std::uint16_t &version);
}
