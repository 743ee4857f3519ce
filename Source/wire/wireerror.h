#pragma once

#include <system_error>

namespace rosemaryturn::wire
{
/** Reasons for which bytes from a peer or a file are refused. */
enum class WireError {
    FrameTooLarge = 1, ///< The announced length is above the limit.
    FrameEmpty, ///< The announced length is zero.
    Malformed, ///< The bytes aren't a valid FlatBuffers table.
    VersionMismatch, ///< The peer supports no protocol version that this process supports.
    ClusterMismatch, ///< The peer belongs to another cluster.
    SnapshotUnreadable, ///< The snapshot in a journal is intact, but can't be read.
};

/** @return the category of all errors of the wire area. */
const std::error_category &wireCategory() noexcept;

/** @param error the cause. @return the std::error_code. */
std::error_code make_error_code(WireError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::wire::WireError> : std::true_type
{
};
