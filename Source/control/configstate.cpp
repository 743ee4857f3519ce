#include "control/configstate.h"

#include <xxhash.h>

#include <algorithm>

namespace rosemaryturn::control
{
namespace
{
std::uint64_t fingerprint(const wire::ConfigChangeT &change)
{
    wire::ConfigChangeT comparable = change;
    comparable.atMs = 0;
    if (!change.promoteFrom.empty() || change.rollbackTo != 0) {
        comparable.document.clear(); // The leader fills it in; a resend of the operator does not contain it.
    }
    const wire::Bytes bytes = wire::encode(comparable);
    return XXH64(bytes.data(), bytes.size(), 0);
}

config::Document parseStored(const std::string &text, const std::vector<std::string> &dataCentres)
{
    std::vector<config::FieldError> errors;
    auto document = config::parseDocument(text, dataCentres, errors);
    return document ? std::move(*document) : config::Document{};
}

const Revision *findCurrentByDigest(const ConfigState &state, const std::string &environment, const std::string &digest)
{
    const Revision *revision = inForce(state, environment);
    return revision != nullptr && revision->digest == digest ? revision : nullptr;
}

const Revision *findRevision(const ConfigState &state, const std::string &environment, std::uint64_t number)
{
    const auto found = state.environments.find(environment);
    if (found == state.environments.end()) {
        return nullptr;
    }
    for (const Revision &revision : found->second.revisions) {
        if (revision.revision == number) {
            return &revision;
        }
    }
    return nullptr;
}

/** Fills in the document that a promotion or rollback refers to. */
model::Reason resolveDocument(const ConfigState &state, wire::ConfigChangeT &change)
{
    const Revision *source = nullptr;
    if (!change.promoteFrom.empty()) {
        source = findCurrentByDigest(state, change.promoteFrom, change.digest);
        if (source == nullptr) {
            return model::Reason::NothingToPromote;
        }
    } else if (change.rollbackTo != 0) {
        source = findRevision(state, change.environment, change.rollbackTo);
        if (source == nullptr) {
            return model::Reason::UnknownRevision;
        }
    }
    if (source != nullptr) {
        change.document = source->text;
    }
    return model::Reason::None;
}

ChangeOutcome appendRevision(ConfigState &state, const wire::ConfigChangeT &change)
{
    const Revision *current = inForce(state, change.environment);
    const std::uint64_t currentRevision = current == nullptr ? 0 : current->revision;
    if (change.expectedRevision != currentRevision) {
        return {model::Reason::RevisionConflict, currentRevision, 0};
    }
    if (!change.promoteFrom.empty() && findCurrentByDigest(state, change.promoteFrom, change.digest) == nullptr) {
        return {model::Reason::NothingToPromote, currentRevision, 0};
    }
    // The leader validated the document against the expected revision. Validating it again here could give different results in different program versions.
    EnvironmentHistory &history = state.environments[change.environment];
    history.document = parseStored(change.document, state.dataCentres);
    history.revisions.push_back({currentRevision + 1, config::digestOf(change.document), change.document, change.atMs});
    if (history.revisions.size() > maxRevisions) {
        history.revisions.pop_front();
    }
    return {model::Reason::None, currentRevision + 1, 0};
}

void recordOutcome(ConfigState &state, const std::string &requestId, const ChangeOutcome &outcome)
{
    state.outcomes[requestId] = outcome;
    state.outcomeOrder.push_back(requestId);
    if (state.outcomeOrder.size() > maxOutcomes) {
        state.outcomes.erase(state.outcomeOrder.front());
        state.outcomeOrder.pop_front();
    }
}
}

std::optional<ChangeOutcome> prepare(const ConfigState &state, wire::ConfigChangeT &change, std::string &detail)
{
    const auto earlier = state.outcomes.find(change.requestId);
    if (earlier != state.outcomes.end()) {
        const bool resend = earlier->second.fingerprint == fingerprint(change);
        return resend ? earlier->second : ChangeOutcome{model::Reason::RequestIdReused, earlier->second.revision, 0};
    }
    const Revision *current = inForce(state, change.environment);
    const std::uint64_t currentRevision = current == nullptr ? 0 : current->revision;
    const model::Reason error = resolveDocument(state, change);
    if (error != model::Reason::None) {
        return ChangeOutcome{error, currentRevision, 0};
    }
    std::vector<config::FieldError> errors;
    const auto document = config::parseDocument(change.document, state.dataCentres, errors);
    if (document && current != nullptr) {
        config::checkReplacement(state.environments.at(change.environment).document, *document, errors);
    }
    if (!errors.empty()) {
        detail = config::describeAll(errors);
        return ChangeOutcome{model::Reason::InvalidDocument, currentRevision, 0};
    }
    return std::nullopt;
}

ChangeOutcome apply(ConfigState &state, const wire::ConfigChangeT &change)
{
    const std::uint64_t changeFingerprint = fingerprint(change);
    const auto earlier = state.outcomes.find(change.requestId);
    if (earlier != state.outcomes.end()) {
        if (earlier->second.fingerprint != changeFingerprint) {
            return {model::Reason::RequestIdReused, earlier->second.revision, changeFingerprint};
        }
        return earlier->second;
    }
    ChangeOutcome outcome = appendRevision(state, change);
    outcome.fingerprint = changeFingerprint;
    recordOutcome(state, change.requestId, outcome);
    return outcome;
}

model::Reason apply(ConfigState &state, const wire::VerdictChangeT &verdict)
{
    wire::VerdictChangeT &current = state.verdicts[verdict.worker];
    if (current.sequence != 0 && verdict.sequence <= current.sequence) {
        const bool resend = verdict.sequence == current.sequence && verdict.down == current.down;
        return resend ? model::Reason::None : model::Reason::VerdictOutdated;
    }
    current = verdict;
    return model::Reason::None;
}

const Revision *inForce(const ConfigState &state, const std::string &environment)
{
    const auto found = state.environments.find(environment);
    if (found == state.environments.end() || found->second.revisions.empty()) {
        return nullptr;
    }
    return &found->second.revisions.back();
}

bool isDown(const ConfigState &state, const std::string &worker)
{
    const auto found = state.verdicts.find(worker);
    return found != state.verdicts.end() && found->second.down;
}

QualifiedService findQualified(const ConfigState &state, const std::string &qualified)
{
    const std::size_t slash = qualified.find('/');
    const std::string environment = qualified.substr(0, slash);
    const auto found = state.environments.find(environment);
    if (slash == std::string::npos || found == state.environments.end()) {
        return {environment, nullptr};
    }
    return {environment, config::findService(found->second.document, qualified.substr(slash + 1))};
}

std::string qualify(const std::string &environment, const std::string &name)
{
    return environment + "/" + name;
}

wire::Bytes encodeImage(const ConfigState &state)
{
    wire::ConfigImageT image;
    for (const auto &[name, history] : state.environments) {
        auto environment = std::make_unique<wire::EnvironmentImageT>();
        environment->name = name;
        for (const Revision &revision : history.revisions) {
            auto entry = std::make_unique<wire::RevisionImageT>();
            entry->revision = revision.revision;
            entry->digest = revision.digest;
            entry->document = revision.text;
            entry->atMs = revision.atMs;
            environment->history.push_back(std::move(entry));
        }
        image.environments.push_back(std::move(environment));
    }
    for (const std::string &requestId : state.outcomeOrder) {
        const ChangeOutcome &outcome = state.outcomes.at(requestId);
        auto request = std::make_unique<wire::RequestImageT>();
        request->requestId = requestId;
        request->revision = outcome.revision;
        request->error = static_cast<std::uint16_t>(outcome.error);
        request->fingerprint = outcome.fingerprint;
        image.requests.push_back(std::move(request));
    }
    for (const auto &[worker, verdict] : state.verdicts) {
        image.verdicts.push_back(std::make_unique<wire::VerdictChangeT>(verdict));
    }
    return wire::encode(image);
}

std::optional<ConfigState> decodeConfigImage(std::span<const std::uint8_t> image, const std::vector<std::string> &dataCentres)
{
    ConfigState state;
    state.dataCentres = dataCentres;
    if (image.empty()) {
        return state;
    }
    const auto decoded = wire::decode<wire::ConfigImageT>(image);
    if (!decoded) {
        return std::nullopt;
    }
    for (const auto &environment : decoded->environments) {
        EnvironmentHistory &history = state.environments[environment->name];
        for (const auto &entry : environment->history) {
            history.revisions.push_back({entry->revision, entry->digest, entry->document, entry->atMs});
        }
        if (!history.revisions.empty()) {
            history.document = parseStored(history.revisions.back().text, dataCentres);
        }
    }
    for (const auto &request : decoded->requests) {
        state.outcomes[request->requestId] = {static_cast<model::Reason>(request->error), request->revision, request->fingerprint};
        state.outcomeOrder.push_back(request->requestId);
    }
    for (const auto &verdict : decoded->verdicts) {
        state.verdicts[verdict->worker] = *verdict;
    }
    return state;
}
}
