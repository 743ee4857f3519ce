#pragma once

#include "config/jsonreader.h"
#include "model/resources.h"
#include "policy/workerplacement.h"
#include "wire/codec.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemaryturn::config
{
/** Declaration of a team and its hard limits. */
struct TeamDeclaration
{
    std::string name;
    model::Resources quota; ///< Per data centre; 0 means that a resource is unlimited.
    std::uint64_t maxQueued = 0;
};

/** Declaration of a service, a type of batch task or a type of gang job. */
struct ServiceDeclaration
{
    std::string name;
    std::string team;
    std::string home; ///< Data centre of its keys that do not name one.
    wire::TaskKind kind = wire::TaskKind::Batch;
    policy::PlacementPolicy placement = policy::PlacementPolicy::Pack;
    bool idempotent = true;
    model::Resources size;
    bool spill = false; ///< Whether its tasks may run in another data centre when the home has no free capacity.
    std::uint32_t instances = 0; ///< Number of instances of a long-running service that are kept running in its home.
    std::uint32_t attempts = 0;
    std::uint32_t retryPercent = 0;
    std::uint32_t queueMs = 0;
    std::uint32_t maxRunMs = 0;
};

/** Configuration of one environment. It does not contain the name of the environment, so that promotion copies the text unchanged. */
struct Document
{
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::unordered_map<std::string, std::size_t> serviceIndex; ///< Index in services, by name.
    std::vector<model::Resources> workerShapes; ///< Worker sizes that tasks may be sized for even before such a worker announces itself.
};

/** Maximum size of a document, in bytes. */
constexpr std::size_t maxDocumentBytes = 1024U * 1024U;

/**
 * Parses and validates a document.
 * @param text the JSON text.
 * @param dataCentres the data centres allowed as a home.
 * @param errors receives all errors found.
 * @return the document, or std::nullopt on errors.
 */
std::optional<Document> parseDocument(std::string_view text, std::span<const std::string> dataCentres, std::vector<FieldError> &errors);

/**
 * Validates a document against the one that it replaces.
 * @param before the document in force.
 * @param after the new one.
 * @param errors receives the forbidden changes, such as a new home of a service.
 */
void checkReplacement(const Document &before, const Document &after, std::vector<FieldError> &errors);

/** @param document a document. @param name a service. @return its declaration, or nullptr. */
const ServiceDeclaration *findService(const Document &document, const std::string &name);

/** @param text the text of a document. @return its digest, which identifies it for promotion. */
std::string digestOf(std::string_view text);
}
