#include "transport/transporterror.h"

#include <string>

namespace rosemaryturn::transport
{
namespace
{
class TransportCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rosemaryturn.transport";
    }

    std::string message(int value) const override
    {
        switch (static_cast<TransportError>(value)) {
        case TransportError::ListenFailed:
            return "the port cannot be opened; check that no other process uses it";
        case TransportError::NoConnection:
            return "no response; check the address and port, and whether the process is running";
        case TransportError::UnexpectedResponse:
            return "the response does not follow the protocol; check the port";
        }
        return "unknown transport error";
    }
};
}

const std::error_category &transportCategory() noexcept
{
    static const TransportCategory category;
    return category;
}

std::error_code make_error_code(TransportError error) noexcept
{
    return {static_cast<int>(error), transportCategory()};
}
}
