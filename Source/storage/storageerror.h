#pragma once

#include <system_error>

namespace rosemaryturn::storage
{
/** Reasons for which stored state is refused. */
enum class StorageError {
    NotADataFolder = 1, ///< The data folder holds no identity file.
    Corrupt, ///< A synced batch in the middle of a journal does not match its checksum.
    UnknownFormat, ///< A journal starts with unknown magic bytes.
    IdentityInvalid, ///< The identity file cannot be read.
    AlreadyInitialised, ///< The data folder already holds an identity file.
};

/** @return the category of all errors of the storage area. */
const std::error_category &storageCategory() noexcept;

/** @param error the cause. @return the std::error_code. */
std::error_code make_error_code(StorageError error) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::storage::StorageError> : std::true_type
{
};
