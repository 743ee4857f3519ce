#pragma once

#include "config/jsonreader.h"
#include "model/resources.h"
#include "policy/placement.h"
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
/** A team and its hard limits. */
struct TeamDeclaration
{
    std::string name;
    model::Resources quota; ///< In each data centre; a part of 0 is unlimited.
    std::uint64_t maxQueued = 0;
};

/** A service, a kind of batch work or a kind of gang job. */
struct ServiceDeclaration
{
    std::string name;
    std::string team;
    std::string home; ///< Data centre that its keys belong to when they name none.
    wire::TaskKind kind = wire::TaskKind::Batch;
    policy::PlacementPolicy placement = policy::PlacementPolicy::Pack;
    bool idempotent = true;
    model::Resources size;
    bool spill = false; ///< Whether its tasks may run in another data centre when this one is full.
    std::uint32_t instances = 0; ///< Of a long-running service, kept running in its home.
    std::uint32_t attempts = 0;
    std::uint32_t retryPercent = 0;
    std::uint32_t queueMs = 0;
    std::uint32_t maxRunMs = 0;
};

/** What operators declare for one environment; its name is not part of it, so that promoting copies the very same text. */
struct Document
{
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::unordered_map<std::string, std::size_t> serviceIndex; ///< Positions in services, by name.
    std::vector<model::Resources> workerShapes; ///< Shapes that work may be sized for before a worker announces itself.
};

/** Longest document, in bytes. */
constexpr std::size_t maxDocumentBytes = 1024U * 1024U;

/**
 * Parses and checks a document as a whole.
 * @param text the JSON text.
 * @param dataCentres the data centres that a home may name.
 * @param errors receives everything that is wrong.
 * @return the document, or nothing.
 */
std::optional<Document> parseDocument(std::string_view text, std::span<const std::string> dataCentres, std::vector<FieldError> &errors);

/**
 * Checks a document against the one that it replaces.
 * @param before the document in force.
 * @param after the new one.
 * @param errors receives what may not change, such as the home of a service.
 */
void checkReplacement(const Document &before, const Document &after, std::vector<FieldError> &errors);

/** @param document a document. @param name a service. @return its declaration, or null. */
const ServiceDeclaration *findService(const Document &document, const std::string &name);

/** @param text a document's text. @return its digest, by which it is promoted. */
std::string digestOf(std::string_view text);
}
