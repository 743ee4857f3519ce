#pragma once

#include "config/document.h"
#include "model/reason.h"
#include "wire/codec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryturn::control
{
/** One accepted document. */
struct Revision
{
    std::uint64_t revision = 0;
    std::string digest;
    std::string text;
    std::uint64_t atMs = 0;
};

/** Revisions of one environment, oldest first; the last is in force. */
struct EnvironmentHistory
{
    std::deque<Revision> revisions;
    config::Document document; ///< The parsed form of the last.
};

/** How a change request ended, kept so that a resend gets the same outcome. */
struct ChangeOutcome
{
    model::Reason error = model::Reason::None;
    std::uint64_t revision = 0;
    std::uint64_t fingerprint = 0;
};

/** The replicated configuration; changed by apply() only. */
struct ConfigState
{
    std::map<std::string, EnvironmentHistory> environments;
    std::map<std::string, ChangeOutcome> outcomes; ///< By request id.
    std::deque<std::string> outcomeOrder; ///< Request ids, oldest first.
    std::map<std::string, wire::VerdictChangeT> verdicts; ///< By worker.
    std::vector<std::string> dataCentres; ///< From the settings; not part of a snapshot.
};

/** Revisions kept for each environment. */
constexpr std::size_t maxRevisions = 100;
/** Outcomes of change requests that are remembered. */
constexpr std::size_t maxOutcomes = 20000;

/**
 * Checks a change before it is proposed, and fills in the text of a promotion or rollback.
 * @param state the state.
 * @param change the change; its document may be filled in.
 * @param detail receives what is wrong with the document.
 * @return the outcome when the change is not to be proposed: refused, or a resend that ended before.
 */
std::optional<ChangeOutcome> prepare(const ConfigState &state, wire::ConfigChangeT &change, std::string &detail);

/** Applies a committed change. @param state the state. @param change the change. @return how it ended; for a resend, as it ended the first time. */
ChangeOutcome apply(ConfigState &state, const wire::ConfigChangeT &change);

/** Applies a committed verdict. @param state the state. @param verdict the verdict. @return None, or VerdictOutdated. */
model::Reason apply(ConfigState &state, const wire::VerdictChangeT &verdict);

/** @param state the state. @param environment its name. @return the revision in force, or null. */
const Revision *inForce(const ConfigState &state, const std::string &environment);

/** @param state the state. @param worker a worker. @return whether the monitoring group's latest verdict says it is down. */
bool isDown(const ConfigState &state, const std::string &worker);

/** A service together with the environment that declares it. */
struct QualifiedService
{
    std::string environment;
    const config::ServiceDeclaration *declaration = nullptr;
};

/** @param state the state. @param qualified ENVIRONMENT/SERVICE. @return the service; its declaration is null when there is none. */
QualifiedService findQualified(const ConfigState &state, const std::string &qualified);

/** @param environment an environment. @param name a service or team. @return the name by which tasks refer to it. */
std::string qualify(const std::string &environment, const std::string &name);

/** @param state the state. @return its snapshot. */
wire::Bytes encodeImage(const ConfigState &state);

/** @param image a snapshot; empty for a new one. @param dataCentres from the settings. @return the state. */
ConfigState decodeConfigImage(const wire::Bytes &image, const std::vector<std::string> &dataCentres);
}
