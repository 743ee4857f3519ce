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
/** Longest frame body that is sent or accepted, in bytes. */
constexpr std::size_t maxFrameBytes = 64U * 1024U * 1024U;
/** Bytes of the little-endian length that goes before each body. */
constexpr std::size_t frameHeaderBytes = 4;
/** Protocol versions that this build speaks. */
constexpr std::uint16_t oldestProtocolVersion = 1;
/** From this version on a host delivers orders to upstreams for the one that leads. */
constexpr std::uint16_t courierProtocolVersion = 3;
constexpr std::uint16_t newestProtocolVersion = 3;

/**
 * Puts a message into a frame.
 * @tparam Body the object form of a member of PeerBody.
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
 * Encodes one frame with its length.
 * @param frame the message.
 * @return header and body.
 */
Bytes encodeFrame(const PeerFrameT &frame);

/** Splits a received byte stream into frames. */
class FrameReader
{
public:
    /**
     * Adds received bytes.
     * @param bytes what the socket delivered.
     */
    void append(std::span<const std::uint8_t> bytes);

    /**
     * Takes the next whole frame out of the stream.
     * @param error set when the stream is unusable from here on; the connection must be closed.
     * @return the frame, or null when more bytes are needed or an error is set.
     */
    std::unique_ptr<PeerFrameT> next(std::error_code &error);

private:
    Bytes m_buffer;
    std::size_t m_consumed = 0;
};

/**
 * Checks the first message of a connection.
 * @param hello the peer's greeting.
 * @param cluster the name of the own cluster.
 * @param version receives the newest version both sides speak.
 * @return an error that ends the connection, or none.
 */
std::error_code checkHello(const HelloT &hello, std::string_view cluster, std::uint16_t &version);
}
