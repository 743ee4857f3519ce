#include "wire/wireerror.h"

#include <string>

namespace rosemaryturn::wire
{
namespace
{
class WireCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rosemaryturn.wire";
    }

    std::string message(int value) const override
    {
        switch (static_cast<WireError>(value)) {
        case WireError::FrameTooLarge:
            return "frame is longer than the limit; check that the peer port is not used by another protocol";
        case WireError::FrameEmpty:
            return "frame has no body";
        case WireError::Malformed:
            return "message does not match the schema";
        case WireError::VersionMismatch:
            return "no common protocol version; upgrade the older host";
        case WireError::SnapshotUnreadable:
            return "the snapshot in the journal can't be read by this build, and the journal is left as it is; start the build that wrote it, or move the data "
                   "folder away and let the host join as a new member";
        case WireError::ClusterMismatch:
            return "peer belongs to another cluster; check the setting cluster";
        }
        return "unknown wire error";
    }
};
}

const std::error_category &wireCategory() noexcept
{
    static const WireCategory category;
    return category;
}

std::error_code make_error_code(WireError error) noexcept
{
    return {static_cast<int>(error), wireCategory()};
}
}
