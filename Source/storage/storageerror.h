#pragma once

#include <system_error>

namespace rosemaryturn::storage
{
/** Causes for which stored state is refused. */
enum class StorageError {
    NotADataFolder = 1, ///< The data folder holds no identity file.
    Corrupt, ///< A synced batch in the middle of a journal does not match its checksum.
    UnknownFormat, ///< A journal starts with an unknown mark.
    IdentityInvalid, ///< The identity file cannot be read.
    AlreadyInitialised, ///< The data folder holds an identity already.
};

/** @return the category of all errors of the storage area. */
const std::error_category &storageCategory() noexcept;

/** @param error the cause. @return it as a std::error_code. */
std::error_code make_error_code(StorageError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::storage::StorageError> : std::true_type
{
};
