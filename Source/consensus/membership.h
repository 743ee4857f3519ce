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

/** @param member a member. @return whether it counts for a majority, as voters and witnesses do. */
bool isVoting(const wire::MemberT &member);

/**
 * @param membership the members of a group.
 * @param host a host id.
 * @param incarnation the incarnation from its messages.
 * @return whether this incarnation may vote; a host that lost its disk returns with a new incarnation, which may not.
 */
bool isVotingMember(const wire::MembershipT &membership, std::string_view host, std::uint64_t incarnation);

/** @param membership the members of a group. @return the number of votes in a majority. */
std::size_t majority(const wire::MembershipT &membership);

/** @param membership the members of a group. @return whether any voter syncs its log to disk. */
bool hasDurableVoter(const wire::MembershipT &membership);

/**
 * Checks whether a membership change is a single step.
 * @param before the current membership.
 * @param after the proposed one.
 * @return true if at most one voting member differs, so that a majority of one overlaps with any majority of the other.
 */
bool changesAtMostOneVoter(const wire::MembershipT &before, const wire::MembershipT &after);

/** @param membership the members of a group. @param changed a member. @return the members with this one added, or replacing the member on the same host. */
wire::MembershipT withMember(const wire::MembershipT &membership, const wire::MemberT &changed);
}
