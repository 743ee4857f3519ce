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
            return "no answer; check address and port, and whether the process runs";
        case TransportError::UnexpectedResponse:
            return "the answer is not of this protocol; check the port";
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
