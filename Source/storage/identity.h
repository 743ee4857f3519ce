#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

namespace rosemaryturn::storage
{
/** The cluster, host and incarnation that a data folder belongs to. */
struct Identity
{
    std::string cluster;
    std::string host;
    std::uint64_t incarnation = 0; ///< foundingIncarnation, or a random number if the host joined later or lost its disk.
};

/** Incarnation of the initial members of a cluster. */
constexpr std::uint64_t foundingIncarnation = 1;

/** @return a random incarnation, distinct from foundingIncarnation and unlikely to repeat an earlier one. */
std::uint64_t generateIncarnation();

/** Reads the identity. @param folder the data folder. @param error set on failure; NotADataFolder if there is none. @return the identity. */
Identity readIdentity(const std::filesystem::path &folder, std::error_code &error);

/** Writes the identity of a folder without one. @param folder the data folder, created if missing. @param identity the identity. @return an error, or none.
 */
std::error_code writeIdentity(const std::filesystem::path &folder, const Identity &identity);
}
