#include "storage/identity.h"

#include "storage/file.h"
#include "storage/storageerror.h"

#include <nlohmann/json.hpp>

#include <random>

namespace rosemaryturn::storage
{
namespace
{
constexpr const char *identityFile = "identity.json";
}

std::uint64_t newIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> numbers(foundingIncarnation + 1, UINT64_MAX / 2);
    return numbers(device);
}

Identity readIdentity(const std::filesystem::path &folder, std::error_code &error)
{
    if (!std::filesystem::exists(folder / identityFile)) {
        error = StorageError::NotADataFolder;
        return {};
    }
    const auto bytes = readFile(folder / identityFile, error);
    const auto json = nlohmann::json::parse(bytes, nullptr, false);
    if (error || !json.is_object()) {
        error = StorageError::IdentityInvalid;
        return {};
    }
    Identity identity;
    identity.cluster = json.value("cluster", "");
    identity.host = json.value("host", "");
    identity.incarnation = json.value("incarnation", std::uint64_t{0});
    if (identity.host.empty() || identity.incarnation == 0) {
        error = StorageError::IdentityInvalid;
    }
    return identity;
}

std::error_code writeIdentity(const std::filesystem::path &folder, const Identity &identity)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return error;
    }
    if (std::filesystem::exists(folder / identityFile)) {
        return StorageError::AlreadyInitialised;
    }
    const nlohmann::json json{{"cluster", identity.cluster}, {"host", identity.host}, {"incarnation", identity.incarnation}};
    const std::string text = json.dump(2) + "\n";
    return replaceFile(folder / identityFile, {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()});
}
}
