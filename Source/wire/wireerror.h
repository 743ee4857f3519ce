#pragma once

#include <system_error>

namespace rosemaryturn::wire
{
/** Causes for which bytes from a peer or a file are refused. */
enum class WireError {
    FrameTooLarge = 1, ///< The announced length is above the limit.
    FrameEmpty, ///< A frame without a body.
    Malformed, ///< The verifier refused the FlatBuffers table.
    VersionMismatch, ///< The peer speaks no protocol version that this process speaks.
    ClusterMismatch, ///< The peer belongs to another cluster.
};

/** @return the category of all errors of the wire area. */
const std::error_category &wireCategory() noexcept;

/** @param error the cause. @return it as a std::error_code. */
std::error_code make_error_code(WireError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::wire::WireError> : std::true_type
{
};
