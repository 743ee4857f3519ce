#include "storage/storageerror.h"

#include <string>

namespace rosemaryturn::storage
{
namespace
{
class StorageCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rosemaryturn.storage";
    }

    std::string message(int value) const override
    {
        switch (static_cast<StorageError>(value)) {
        case StorageError::NotADataFolder:
            return "the data folder has no identity; run rosemaryturnd --init once, or correct the setting dataFolder";
        case StorageError::Corrupt:
            return "a synced record does not match its checksum; move the data folder away and let the host join as a new member";
        case StorageError::UnknownFormat:
            return "the file is not a rosemaryturn journal or has an unknown format version";
        case StorageError::IdentityInvalid:
            return "the identity file cannot be read or is invalid; move the data folder away and let the host join as a new member";
        case StorageError::AlreadyInitialised:
            return "the data folder already has an identity; choose an empty folder";
        }
        return "unknown storage error";
    }
};
}

const std::error_category &storageCategory() noexcept
{
    static const StorageCategory category;
    return category;
}

std::error_code make_error_code(StorageError error) noexcept
{
    return {static_cast<int>(error), storageCategory()};
}
}
