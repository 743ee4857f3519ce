#pragma once

#include "wire/codec.h"

#include <cstddef>
#include <string_view>

namespace rosemaryturn::consensus
{
/**
 * Finds a member by name.
 * @param membership the members of a group.
 * @param host the member's host id.
 * @return the member, or null.
 */
const wire::MemberT *findMember(const wire::MembershipT &membership, std::string_view host);

/** @param member a member. @return whether it votes and counts for a majority. */
bool isVoting(const wire::MemberT &member);

/**
 * @param membership the members of a group.
 * @param host a host id.
 * @param incarnation the incarnation it speaks with.
 * @return whether exactly this incarnation votes; a host that lost its disk comes back under another.
 */
bool isVotingMember(const wire::MembershipT &membership, std::string_view host, std::uint64_t incarnation);

/** @param membership the members of a group. @return how many votes make a majority. */
std::size_t majority(const wire::MembershipT &membership);

/** @param membership the members of a group. @return whether any voter keeps its log on a disk. */
bool hasDurableVoter(const wire::MembershipT &membership);

/**
 * Says whether one membership may follow another directly.
 * @param before the membership in force.
 * @param after the proposed one.
 * @return true when their voting members differ by one at most, so that any two majorities overlap.
 */
bool changesAtMostOneVoter(const wire::MembershipT &before, const wire::MembershipT &after);

/** @param membership the members of a group. @param changed a member. @return the members with it, in place of the one on its host if there is one. */
wire::MembershipT withMember(const wire::MembershipT &membership, const wire::MemberT &changed);
}
