#include "deployment/host.h"

#include <algorithm>
#include <memory>

namespace rosemaryturn::deployment
{
namespace
{
/** Interval between checks of the group membership. */
constexpr std::uint64_t repairIntervalMs = 200;

wire::MembershipT withoutMember(const wire::MembershipT &membership, const std::string &host)
{
    wire::MembershipT result;
    for (const auto &member : membership.members) {
        if (member->host != host) {
            result.members.push_back(std::make_unique<wire::MemberT>(*member));
        }
    }
    return result;
}

std::size_t voterCount(const wire::MembershipT &membership)
{
    return static_cast<std::size_t>(std::count_if(membership.members.begin(), membership.members.end(), [](const auto &member) {
        return member->role == wire::MemberRole::Voter;
    }));
}

/** @return the membership with one more learner: a control host that isn't a member, or came back without its log. */
std::optional<wire::MembershipT> addLearner(const Host &host)
{
    for (const auto &[name, peer] : host.peers) {
        if (!peer.connected || !peer.control || peer.incarnation == 0) {
            continue;
        }
        const wire::MemberT *present = consensus::findMember(host.node->membership, name);
        if (present != nullptr && present->incarnation == peer.incarnation) {
            continue;
        }
        wire::MemberT learner;
        learner.host = name;
        learner.incarnation = peer.incarnation;
        learner.role = wire::MemberRole::Learner;
        learner.durable = true;
        return consensus::withMember(host.node->membership, learner);
    }
    return std::nullopt;
}

/**
 * @return the learners that respond and have the log up to the previous check: under load the newest entry is committed before a learner that is farther away
 * than the voters acknowledges it.
 */
std::vector<const wire::MemberT *> readyLearners(const Host &host, const Now &now)
{
    std::vector<const wire::MemberT *> ready;
    for (const auto &member : host.node->membership.members) {
        const auto progress = host.node->progress.find(member->host);
        if (member->role != wire::MemberRole::Learner || progress == host.node->progress.end() || progress->second.incarnation != member->incarnation) {
            continue;
        }
        const bool responds = now.monotonicMs < progress->second.lastReplyMs + host.options.timing.electionMs;
        if (responds && host.lastRepairCommit > 0 && progress->second.matchIndex >= host.lastRepairCommit) {
            ready.push_back(member.get());
        }
    }
    return ready;
}

/** Keeps the number of voters odd: an even number tolerates no more failures than one voter less, and a partition into halves leaves no majority. */
std::optional<wire::MembershipT> promoteLearner(const Host &host, const Now &now)
{
    const std::vector<const wire::MemberT *> ready = readyLearners(host, now);
    const std::size_t voters = voterCount(host.node->membership);
    const std::size_t available = std::min(host.options.maxVoters, voters + ready.size());
    const std::size_t wanted = available % 2 == 1 ? available : available - 1;
    if (ready.empty() || voters >= wanted) {
        return std::nullopt;
    }
    wire::MemberT voter = *ready.front();
    voter.role = wire::MemberRole::Voter;
    return consensus::withMember(host.node->membership, voter);
}

/** @return when a member was last heard from. A new leader knows this of the previous leader; for all others it counts from the time it leads. */
std::uint64_t lastContactMs(const Host &host, const std::string &member)
{
    const consensus::Node &node = *host.node;
    const auto progress = node.progress.find(member);
    const std::uint64_t lastReplyMs = progress == node.progress.end() ? 0 : progress->second.lastReplyMs;
    return std::max(lastReplyMs, member == node.lastLeader ? node.lastLeaderContactMs : host.leader.leadingSinceMs);
}

bool isSilent(const Host &host, const wire::MemberT &member, std::uint64_t silentMs, const Now &now)
{
    return member.host != host.options.host && now.monotonicMs > lastContactMs(host, member.host) + silentMs;
}

/**
 * Replaces a silent voter by a ready learner in a joint change: the group neither shrinks nor counts an even number of voters, so that it bears the next loss
 * as soon as the learner is ready. A voter that was only cut off for longer returns as a learner.
 */
std::optional<wire::MembershipT> replaceSilentVoter(const Host &host, const Now &now)
{
    const std::vector<const wire::MemberT *> ready = readyLearners(host, now);
    if (ready.empty()) {
        return std::nullopt;
    }
    for (const auto &member : host.node->membership.members) {
        if (member->role == wire::MemberRole::Voter && isSilent(host, *member, host.options.replaceAfterMs, now)) {
            return consensus::replaceVoter(host.node->membership, member->host, ready.front()->host);
        }
    }
    return std::nullopt;
}

/** A silent learner is removed; a silent voter only while more than minVoters remain, counting the ready learners. */
std::optional<wire::MembershipT> removeSilentMember(const Host &host, const Now &now)
{
    const bool spareVoter = voterCount(host.node->membership) + readyLearners(host, now).size() > host.options.minVoters;
    for (const auto &member : host.node->membership.members) {
        const bool silent = isSilent(host, *member, host.options.removeAfterMs, now);
        if (silent && (member->role != wire::MemberRole::Voter || spareVoter)) {
            return withoutMember(host.node->membership, member->host);
        }
    }
    return std::nullopt;
}

/** @return whether this host is a voter; a voter that was elected while it was being replaced isn't one any more once the change is complete. */
bool isVoter(const Host &host)
{
    const wire::MemberT *self = consensus::findMember(host.node->membership, host.options.host);
    return self != nullptr && self->role == wire::MemberRole::Voter;
}

std::string describeMember(const wire::MemberT &member)
{
    const std::string role = member.role == wire::MemberRole::Voter ? ":voter" : ":learner";
    const bool joint = member.voterSet != wire::VoterSet::Both;
    return member.host + role + (joint ? member.voterSet == wire::VoterSet::Old ? ":leaving" : ":joining" : "");
}

void proposeMembership(Host &host, const wire::MembershipT &membership, const Now &now, HostOutput &output)
{
    consensus::Output step;
    if (consensus::proposeMembership(*host.node, membership, now.monotonicMs, step) == 0) {
        return;
    }
    std::string members;
    for (const auto &member : membership.members) {
        members += (members.empty() ? "" : ",") + describeMember(*member);
    }
    output.decisions.push_back({"membership", deploymentGroup, "members=" + members});
    internal::applyNodeOutput(host, std::move(step), now, output);
}
}

namespace internal
{
void repairMembership(Host &host, const Now &now, HostOutput &output)
{
    if (!isActiveLeader(host, now)) {
        host.lastRepairCommit = 0;
        return;
    }
    if (host.node->membershipIndex > host.node->commit) {
        return;
    }
    if (consensus::isJoint(host.node->membership)) {
        proposeMembership(host, consensus::completeChange(host.node->membership), now, output);
        return;
    }
    if (!isVoter(host)) {
        consensus::Output step;
        consensus::stepDown(*host.node, now.monotonicMs, step);
        applyNodeOutput(host, std::move(step), now, output);
        return;
    }
    if (now.monotonicMs < host.nextRepairMs) {
        return;
    }
    host.nextRepairMs = now.monotonicMs + repairIntervalMs;
    auto wanted = replaceSilentVoter(host, now);
    if (!wanted) {
        wanted = promoteLearner(host, now);
    }
    if (!wanted) {
        wanted = addLearner(host);
    }
    if (!wanted) {
        wanted = removeSilentMember(host, now);
    }
    host.lastRepairCommit = host.node->commit;
    if (wanted) {
        proposeMembership(host, *wanted, now, output);
    }
}
}
}
