#include "control/hostinternal.h"

#include <nlohmann/json.hpp>

namespace rosemaryturn::control::internal
{
namespace
{
wire::ReplyT outcomeReply(const ChangeOutcome &outcome, const std::string &detail)
{
    wire::ReplyT reply = errorReply(outcome.error, detail);
    reply.revision = outcome.revision;
    return reply;
}

void proposeChange(Host &host, Token token, const wire::ConfigChangeT &requested, const Now &now, HostOutput &output)
{
    wire::ConfigChangeT change = requested;
    std::string detail;
    if (const auto outcome = prepare(host.config, change, detail)) {
        count(host.cell.metrics, outcome->error);
        finishRequest(host, token, outcomeReply(*outcome, detail), now, output);
        return;
    }
    host.pendingChanges[change.requestId].push_back(token);
    change.atMs = now.wallMs;
    propose(host, globalGroup, {wire::encodeChange(std::move(change))}, now, output);
}

void proposeVerdict(Host &host, Token token, const wire::VerdictChangeT &verdict, const Now &now, HostOutput &output)
{
    host.pendingVerdicts[verdict.worker].emplace_back(verdict.sequence, token);
    propose(host, globalGroup, {wire::encodeChange(verdict)}, now, output);
}

void replyToChange(Host &host, const wire::ConfigChangeT &change, const ChangeOutcome &outcome, const Now &now, HostOutput &output)
{
    count(host.cell.metrics, outcome.error);
    const auto pending = host.pendingChanges.find(change.requestId);
    if (pending == host.pendingChanges.end()) {
        return;
    }
    const std::vector<Token> tokens = std::move(pending->second);
    host.pendingChanges.erase(pending);
    for (const Token token : tokens) {
        finishRequest(host, token, outcomeReply(outcome, {}), now, output);
    }
}

void replyToVerdict(Host &host, const wire::VerdictChangeT &verdict, model::Reason reason, const Now &now, HostOutput &output)
{
    count(host.cell.metrics, reason);
    const auto pending = host.pendingVerdicts.find(verdict.worker);
    if (pending == host.pendingVerdicts.end()) {
        return;
    }
    std::vector<Token> answered;
    std::erase_if(pending->second, [&](const auto &entry) {
        const bool mine = entry.first == verdict.sequence;
        if (mine) {
            answered.push_back(entry.second);
        }
        return mine;
    });
    if (pending->second.empty()) {
        host.pendingVerdicts.erase(pending);
    }
    for (const Token token : answered) {
        finishRequest(host, token, errorReply(reason), now, output);
    }
}

nlohmann::json historyOf(const EnvironmentHistory &history)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Revision &revision : history.revisions) {
        list.push_back({{"revision", revision.revision}, {"digest", revision.digest}, {"atMs", revision.atMs}});
    }
    return list;
}
}

void executeConfigRequest(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output)
{
    if (request.operation == wire::Operation::ApplyConfig) {
        proposeChange(host, token, *request.config, now, output);
    } else {
        proposeVerdict(host, token, *request.verdict, now, output);
    }
}

void readConfig(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output)
{
    if (!isConfigLearnt(host)) {
        count(host.cell.metrics, model::Reason::ConfigNotLearnt);
        finishRequest(host, token, errorReply(model::Reason::ConfigNotLearnt), now, output);
        return;
    }
    wire::ReplyT reply;
    const auto history = host.config.environments.find(request.key);
    const Revision *revision = inForce(host.config, request.key);
    if (revision != nullptr) {
        reply.revision = revision->revision;
        reply.digest = revision->digest;
        reply.document = revision->text;
        reply.statusJson = historyOf(history->second).dump();
    }
    finishRequest(host, token, std::move(reply), now, output);
}

void applyConfigRecord(Host &host, const wire::RecordT &record, const Now &now, HostOutput &output)
{
    ++host.cell.metrics.records;
    if (const wire::ConfigChangeT *change = record.change.AsConfigChange()) {
        const ChangeOutcome outcome = apply(host.config, *change);
        onConfigChanged(host.cell, now);
        replyToChange(host, *change, outcome, now, output);
    } else if (const wire::VerdictChangeT *verdict = record.change.AsVerdictChange()) {
        const model::Reason reason = apply(host.config, *verdict);
        onConfigChanged(host.cell, now);
        replyToVerdict(host, *verdict, reason, now, output);
    }
}

void failPendingChanges(Host &host, const Now &now, HostOutput &output)
{
    std::vector<Token> tokens;
    for (const auto &[requestId, pendingEntries] : host.pendingChanges) {
        tokens.insert(tokens.end(), pendingEntries.begin(), pendingEntries.end());
    }
    for (const auto &[worker, pendingEntries] : host.pendingVerdicts) {
        for (const auto &[sequence, token] : pendingEntries) {
            tokens.push_back(token);
        }
    }
    host.pendingChanges.clear();
    host.pendingVerdicts.clear();
    for (const Token token : tokens) {
        finishRequest(host, token, errorReply(model::Reason::LeadershipLost), now, output);
    }
}
}
