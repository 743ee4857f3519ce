#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

namespace rosemaryturn::storage
{
/** Who a data folder belongs to. */
struct Identity
{
    std::string cluster;
    std::string host;
    std::uint64_t incarnation = 0; ///< 1 for a founding member; a random number for a host that joins or lost its disk.
};

/** Incarnation of all founding members. */
constexpr std::uint64_t foundingIncarnation = 1;

/** @return an incarnation that no earlier process of this host used. */
std::uint64_t generateIncarnation();

/** Reads the identity. @param folder the data folder. @param error set on failure; NotADataFolder when there is none. @return the identity. */
Identity readIdentity(const std::filesystem::path &folder, std::error_code &error);

/** Writes the identity of a folder that has none. @param folder the data folder, created if missing. @param identity the identity. @return an error, or none.
 */
std::error_code writeIdentity(const std::filesystem::path &folder, const Identity &identity);
}
