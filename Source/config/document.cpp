#include "config/document.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace rosemaryturn::config
{
namespace
{
constexpr std::size_t maxNameLength = 100;
constexpr std::size_t maxTeams = 2000;
constexpr std::size_t maxServices = 5000;
constexpr std::size_t maxShapes = 100;
/** Exceeds the capacity of a whole data centre, because quotas have the same bounds. */
constexpr std::uint64_t maxCpuMillis = 1'000'000'000;
constexpr std::uint64_t maxMemoryMb = 1'000'000'000;
constexpr std::uint64_t maxAccelerators = 10'000;
constexpr std::uint64_t maxSlots = 10'000;
constexpr std::uint64_t maxInstances = 10'000;
constexpr std::uint64_t maxAttempts = 100;
constexpr std::uint64_t defaultAttempts = 4;
constexpr std::uint64_t defaultRetryPercent = 20;
constexpr std::uint64_t maxDurationMs = 7ULL * 24 * 3600 * 1000;

bool isValidName(const std::string &name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    });
}

std::string readName(ObjectReader &reader, std::set<std::string> &usedNames)
{
    std::string name = reader.requiredText("name", maxNameLength);
    if (!name.empty() && !isValidName(name)) {
        reader.addError("name", model::Reason::OutOfRange, "may only contain A-Z a-z 0-9 . _ -");
    }
    if (!usedNames.insert(name).second) {
        reader.addError("name", model::Reason::OutOfRange, "must be unique");
    }
    return name;
}

model::Resources readResources(ObjectReader &reader, bool required)
{
    const std::uint64_t minAmount = required ? 1 : 0;
    model::Resources resources;
    resources.cpuMillis = reader.number("cpuMillis", {minAmount, maxCpuMillis, minAmount});
    resources.memoryMb = reader.number("memoryMb", {minAmount, maxMemoryMb, minAmount});
    resources.accelerators = reader.number("accelerators", {0, maxAccelerators, 0});
    return resources;
}

TeamDeclaration readTeam(const nlohmann::json &value, const std::string &pointer, std::set<std::string> &names, std::vector<FieldError> &errors)
{
    ObjectReader reader(value, pointer, errors);
    TeamDeclaration team;
    team.name = readName(reader, names);
    if (const nlohmann::json *quota = reader.object("quota")) {
        ObjectReader quotaReader(*quota, reader.pointerTo("quota"), errors);
        team.quota = readResources(quotaReader, false);
        quotaReader.reportUnknownFields();
    }
    team.maxQueued = reader.number("maxQueued", {0, 1'000'000, 0});
    reader.reportUnknownFields();
    return team;
}

wire::TaskKind readKind(ObjectReader &reader)
{
    const std::string kind = reader.text("kind", "batch", maxNameLength);
    if (kind == "service") {
        return wire::TaskKind::Service;
    }
    if (kind == "gang") {
        return wire::TaskKind::Gang;
    }
    if (kind != "batch") {
        reader.addError("kind", model::Reason::OutOfRange, "must be service, batch or gang");
    }
    return wire::TaskKind::Batch;
}

policy::PlacementPolicy readPlacement(ObjectReader &reader, wire::TaskKind kind)
{
    const std::string defaultName = kind == wire::TaskKind::Service ? "spread" : "pack";
    const std::string name = reader.text("placement", defaultName, maxNameLength);
    if (name != "pack" && name != "spread") {
        reader.addError("placement", model::Reason::OutOfRange, "must be pack or spread");
    }
    return name == "spread" ? policy::PlacementPolicy::Spread : policy::PlacementPolicy::Pack;
}

ServiceDeclaration readService(const nlohmann::json &value, const std::string &pointer, std::set<std::string> &names, std::vector<FieldError> &errors)
{
    ObjectReader reader(value, pointer, errors);
    ServiceDeclaration service;
    service.name = readName(reader, names);
    service.team = reader.requiredText("team", maxNameLength);
    service.home = reader.requiredText("home", maxNameLength);
    service.kind = readKind(reader);
    service.placement = readPlacement(reader, service.kind);
    service.idempotent = reader.flag("idempotent", true);
    service.spill = reader.flag("spill", false);
    if (service.spill && service.kind != wire::TaskKind::Batch) {
        reader.addError("spill", model::Reason::OutOfRange, "must be false unless kind is batch");
    }
    service.size = readResources(reader, true);
    service.size.slots = 1;
    service.instances = static_cast<std::uint32_t>(reader.number("instances", {0, maxInstances, 0}));
    if (service.instances > 0 && service.kind != wire::TaskKind::Service) {
        reader.addError("instances", model::Reason::OutOfRange, "must be 0 unless kind is service");
    }
    service.attempts = static_cast<std::uint32_t>(reader.number("attempts", {1, maxAttempts, defaultAttempts}));
    service.retryPercent = static_cast<std::uint32_t>(reader.number("retryPercent", {0, 100, defaultRetryPercent}));
    service.queueMs = static_cast<std::uint32_t>(reader.number("queueMs", {0, maxDurationMs, 0}));
    service.maxRunMs = static_cast<std::uint32_t>(reader.number("maxRunMs", {0, maxDurationMs, 0}));
    reader.reportUnknownFields();
    return service;
}

model::Resources readShape(const nlohmann::json &value, const std::string &pointer, std::vector<FieldError> &errors)
{
    ObjectReader reader(value, pointer, errors);
    model::Resources shape = readResources(reader, true);
    shape.slots = reader.number("slots", {1, maxSlots, 1});
    reader.reportUnknownFields();
    return shape;
}

template<typename ReadOne>
void readList(ObjectReader &reader, const char *name, std::size_t maxCount, ReadOne readOne)
{
    const nlohmann::json *list = reader.array(name);
    if (list == nullptr) {
        return;
    }
    if (list->size() > maxCount) {
        reader.addError(name, model::Reason::OutOfRange, "must have at most " + std::to_string(maxCount) + " elements");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        readOne((*list)[i], reader.pointerTo(name) + "/" + std::to_string(i));
    }
}

void checkReferences(const Document &document, const std::set<std::string> &teams, std::span<const std::string> dataCentres, std::vector<FieldError> &errors)
{
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const ServiceDeclaration &service = document.services[i];
        const std::string pointer = "/services/" + std::to_string(i);
        if (teams.count(service.team) == 0) {
            errors.push_back({model::Reason::UnknownTeam, pointer + "/team", service.team, "must be a team of this document"});
        }
        if (std::find(dataCentres.begin(), dataCentres.end(), service.home) == dataCentres.end()) {
            errors.push_back({model::Reason::OutOfRange, pointer + "/home", service.home, "must be a data centre of the settings"});
        }
    }
}
}

std::optional<Document> parseDocument(std::string_view text, std::span<const std::string> dataCentres, std::vector<FieldError> &errors)
{
    if (text.size() > maxDocumentBytes) {
        errors.push_back({model::Reason::BodyTooLarge, "", std::to_string(text.size()), "document must not exceed 1 MiB"});
        return std::nullopt;
    }
    const nlohmann::json value = parseJson(text, errors);
    if (!errors.empty()) {
        return std::nullopt;
    }
    ObjectReader reader(value, "", errors);
    Document document;
    std::set<std::string> teams;
    std::set<std::string> services;
    readList(reader, "teams", maxTeams, [&](const nlohmann::json &item, const std::string &pointer) {
        document.teams.push_back(readTeam(item, pointer, teams, errors));
    });
    readList(reader, "services", maxServices, [&](const nlohmann::json &item, const std::string &pointer) {
        document.services.push_back(readService(item, pointer, services, errors));
        document.serviceIndex.emplace(document.services.back().name, document.services.size() - 1);
    });
    readList(reader, "workerShapes", maxShapes, [&](const nlohmann::json &item, const std::string &pointer) {
        document.workerShapes.push_back(readShape(item, pointer, errors));
    });
    reader.reportUnknownFields();
    checkReferences(document, teams, dataCentres, errors);
    return errors.empty() ? std::optional(std::move(document)) : std::nullopt;
}

void checkReplacement(const Document &before, const Document &after, std::vector<FieldError> &errors)
{
    for (std::size_t i = 0; i < after.services.size(); ++i) {
        const ServiceDeclaration *old = findService(before, after.services[i].name);
        if (old != nullptr && old->home != after.services[i].home) {
            // Keys that do not name a data centre would be looked up in the new home, and their tasks could run twice.
            errors.push_back({model::Reason::OutOfRange,
                              "/services/" + std::to_string(i) + "/home",
                              after.services[i].home,
                              "must remain " + old->home + "; declare a service with another name instead"});
        }
    }
}

const ServiceDeclaration *findService(const Document &document, const std::string &name)
{
    const auto found = document.serviceIndex.find(name);
    return found == document.serviceIndex.end() ? nullptr : &document.services[found->second];
}

std::string digestOf(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibbleBits = 4;
    constexpr unsigned nibbleMask = 0xF;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::string result;
    for (std::uint64_t half : {hash.high64, hash.low64}) {
        for (int shift = 60; shift >= 0; shift -= static_cast<int>(nibbleBits)) {
            result += digits[(half >> static_cast<unsigned>(shift)) & nibbleMask];
        }
    }
    return result;
}
}
