#include "consensus/membership.h"

#include <algorithm>
#include <memory>

namespace rosemaryturn::consensus
{
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

std::size_t majority(const wire::MembershipT &membership)
{
    const auto voters = std::count_if(membership.members.begin(), membership.members.end(), [](const auto &member) {
        return isVoting(*member);
    });
    return static_cast<std::size_t>(voters) / 2 + 1;
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
