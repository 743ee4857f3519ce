#include "consensus/membership.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace rosemaryturn::consensus
{
namespace
{
/** @return whether the member votes in one of the two voter sets. */
bool isIn(const wire::MemberT &member, wire::VoterSet set)
{
    return isVoting(member) && (member.voterSet == wire::VoterSet::Both || member.voterSet == set);
}

/** @return the highest value that a majority of a voter set has reached. */
std::uint64_t majorityValue(const wire::MembershipT &membership, wire::VoterSet set, const std::function<std::uint64_t(const wire::MemberT &)> &valueOf)
{
    std::vector<std::uint64_t> values;
    for (const auto &member : membership.members) {
        if (isIn(*member, set)) {
            values.push_back(valueOf(*member));
        }
    }
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

/** @return whether a voter set of one membership has the same voters as one of another. */
bool hasSameVoters(const wire::MembershipT &one, wire::VoterSet setOfOne, const wire::MembershipT &other, wire::VoterSet setOfOther)
{
    const auto isContained = [](const wire::MembershipT &from, wire::VoterSet setOfFrom, const wire::MembershipT &in, wire::VoterSet setOfIn) {
        return std::all_of(from.members.begin(), from.members.end(), [&](const auto &member) {
            const wire::MemberT *same = findMember(in, member->host);
            return !isIn(*member, setOfFrom) || (same != nullptr && isIn(*same, setOfIn) && same->incarnation == member->incarnation);
        });
    };
    return isContained(one, setOfOne, other, setOfOther) && isContained(other, setOfOther, one, setOfOne);
}
}

const wire::MemberT *findMember(const wire::MembershipT &membership, std::string_view host)
{
    for (const auto &member : membership.members) {
        if (member->host == host) {
            return member.get();
        }
    }
    return nullptr;
}

bool isVoting(const wire::MemberT &member)
{
    return member.role != wire::MemberRole::Learner;
}

bool isVotingMember(const wire::MembershipT &membership, std::string_view host, std::uint64_t incarnation)
{
    const wire::MemberT *member = findMember(membership, host);
    return member != nullptr && isVoting(*member) && member->incarnation == incarnation;
}

bool isJoint(const wire::MembershipT &membership)
{
    return std::any_of(membership.members.begin(), membership.members.end(), [](const auto &member) {
        return member->voterSet != wire::VoterSet::Both;
    });
}

std::uint64_t quorumValue(const wire::MembershipT &membership, const std::function<std::uint64_t(const wire::MemberT &)> &valueOf)
{
    // Without a joint change both sets are the same.
    return std::min(majorityValue(membership, wire::VoterSet::Old, valueOf), majorityValue(membership, wire::VoterSet::New, valueOf));
}

bool hasDurableVoter(const wire::MembershipT &membership)
{
    return std::any_of(membership.members.begin(), membership.members.end(), [](const auto &member) {
        return member->role == wire::MemberRole::Voter && member->durable;
    });
}

bool changesAtMostOneVoter(const wire::MembershipT &before, const wire::MembershipT &after)
{
    const auto countRemoved = [](const wire::MembershipT &from, const wire::MembershipT &in) {
        return std::count_if(from.members.begin(), from.members.end(), [&in](const auto &member) {
            return isVoting(*member) && !isVotingMember(in, member->host, member->incarnation);
        });
    };
    return countRemoved(before, after) + countRemoved(after, before) <= 1;
}

bool isSafeChange(const wire::MembershipT &before, const wire::MembershipT &after)
{
    if (isJoint(before)) {
        return !isJoint(after) && hasSameVoters(before, wire::VoterSet::New, after, wire::VoterSet::New);
    }
    if (isJoint(after)) {
        return hasSameVoters(before, wire::VoterSet::Old, after, wire::VoterSet::Old);
    }
    return changesAtMostOneVoter(before, after);
}

wire::MembershipT replaceVoter(const wire::MembershipT &membership, std::string_view voter, std::string_view learner)
{
    wire::MembershipT result = membership;
    for (auto &member : result.members) {
        if (member->host == voter) {
            member->voterSet = wire::VoterSet::Old;
        } else if (member->host == learner) {
            member->role = wire::MemberRole::Voter;
            member->voterSet = wire::VoterSet::New;
        }
    }
    return result;
}

wire::MembershipT completeChange(const wire::MembershipT &membership)
{
    wire::MembershipT result = membership;
    for (auto &member : result.members) {
        if (member->voterSet == wire::VoterSet::Old) {
            member->role = wire::MemberRole::Learner;
        }
        member->voterSet = wire::VoterSet::Both;
    }
    return result;
}

wire::MembershipT withMember(const wire::MembershipT &membership, const wire::MemberT &changed)
{
    wire::MembershipT result;
    bool replaced = false;
    for (const auto &member : membership.members) {
        const bool sameHost = member->host == changed.host;
        result.members.push_back(std::make_unique<wire::MemberT>(sameHost ? changed : *member));
        replaced = replaced || sameHost;
    }
    if (!replaced) {
        result.members.push_back(std::make_unique<wire::MemberT>(changed));
    }
    return result;
}
}
