#pragma once

#include <system_error>

namespace rosemaryturn::transport
{
/** Causes for which a connection or HTTP call fails. */
enum class TransportError {
    ListenFailed = 1, ///< The address and port cannot be opened.
    NoConnection, ///< The other end could not be reached or did not answer in time.
    UnexpectedResponse, ///< The answer is not what the protocol says.
};

/** @return the category of all errors of the transport area. */
const std::error_category &transportCategory() noexcept;

/** @param error the cause. @return it as a std::error_code. */
std::error_code make_error_code(TransportError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::transport::TransportError> : std::true_type
{
};
