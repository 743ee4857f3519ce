#pragma once

#include <system_error>

namespace rosemaryturn::transport
{
/** Errors of peer connections and HTTP requests. */
enum class TransportError {
    ListenFailed = 1, ///< The address and port cannot be opened.
    NoConnection, ///< The other end is unreachable, closed the connection or did not respond in time.
    UnexpectedResponse, ///< The response violates the protocol.
};

/** @return the error category of the transport library. */
const std::error_category &transportCategory() noexcept;

/** @param error the error. @return the corresponding std::error_code. */
std::error_code make_error_code(TransportError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::transport::TransportError> : std::true_type
{
};
