#pragma once

#include "config/document.h"
#include "model/reason.h"
#include "wire/codec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemaryturn::control
{
/** An accepted configuration document. */
struct Revision
{
    std::uint64_t revision = 0;
    std::string digest;
    std::string text;
    std::uint64_t atMs = 0;
};

/** Revisions of one environment, oldest first; the last one is in force. */
struct EnvironmentHistory
{
    std::deque<Revision> revisions;
    config::Document document; ///< The last revision's document, parsed.
};

/** Outcome of a change request; stored so that a resent request gets the same outcome. */
struct ChangeOutcome
{
    model::Reason error = model::Reason::None;
    std::uint64_t revision = 0;
    std::uint64_t fingerprint = 0;
};

/** The replicated configuration; modified only by apply(). */
struct ConfigState
{
    std::map<std::string, EnvironmentHistory> environments;
    std::map<std::string, ChangeOutcome> outcomes; ///< By request id.
    std::deque<std::string> outcomeOrder; ///< Request ids, oldest first.
    std::map<std::string, wire::VerdictChangeT> verdicts; ///< By worker.
    std::vector<std::string> dataCentres; ///< From the settings; not part of a snapshot.
};

/** Maximum number of revisions stored per environment. */
constexpr std::size_t maxRevisions = 100;
/** Maximum number of stored outcomes of change requests. */
constexpr std::size_t maxOutcomes = 20000;

/**
 * Validates a change before it is proposed, and fills in the document of a promotion or rollback.
 * @param state the state.
 * @param change the change; its document may be filled in.
 * @param detail receives the errors of an invalid document.
 * @return the outcome if the change must not be proposed because it is refused or a resend of a completed change; nothing otherwise.
 */
std::optional<ChangeOutcome> prepare(const ConfigState &state, wire::ConfigChangeT &change, std::string &detail);

/** Applies a committed change. @param state the state. @param change the change. @return its outcome; for a resend, the first outcome. */
ChangeOutcome apply(ConfigState &state, const wire::ConfigChangeT &change);

/** Applies a committed verdict. @param state the state. @param verdict the verdict. @return None, or VerdictOutdated. */
model::Reason apply(ConfigState &state, const wire::VerdictChangeT &verdict);

/** @param state the state. @param environment its name. @return the revision in force; null for none. */
const Revision *inForce(const ConfigState &state, const std::string &environment);

/** @param state the state. @param worker a worker. @return whether the monitoring group's latest verdict reports it as down. */
bool isDown(const ConfigState &state, const std::string &worker);

/** A service together with the environment that declares it. */
struct QualifiedService
{
    std::string environment;
    const config::ServiceDeclaration *declaration = nullptr;
};

/** @param state the state. @param qualified ENVIRONMENT/SERVICE. @return the service; its declaration is null if it does not exist. */
QualifiedService findQualified(const ConfigState &state, const std::string &qualified);

/** @param environment an environment. @param name a service or team. @return the qualified name that tasks use: ENVIRONMENT/NAME. */
std::string qualify(const std::string &environment, const std::string &name);

/** @param state the state. @return its snapshot. */
wire::Bytes encodeImage(const ConfigState &state);

/** @param image a snapshot; empty for a new state. @param dataCentres from the settings. @return the state; nothing if the snapshot can't be read. */
std::optional<ConfigState> decodeConfigImage(std::span<const std::uint8_t> image, const std::vector<std::string> &dataCentres);
}
