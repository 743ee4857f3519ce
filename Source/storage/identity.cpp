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

bool isIdentity(const nlohmann::json &json)
{
    const bool complete = json.is_object() && json.contains("cluster") && json.contains("host") && json.contains("incarnation");
    return complete && json["cluster"].is_string() && json["host"].is_string() && json["incarnation"].is_number_unsigned() && json["incarnation"] != 0;
}
}

std::uint64_t generateIncarnation()
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
    if (error || !isIdentity(json)) {
        error = StorageError::IdentityInvalid;
        return {};
    }
    return {json["cluster"], json["host"], json["incarnation"]};
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
