#pragma once

#include "wire/codec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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

/** @param membership the members of a group. @return whether it is the joint membership of a change, in which an old and a new set of voters decide together.
 */
bool isJoint(const wire::MembershipT &membership);

/**
 * Computes what a quorum has reached: a majority of the voting members, and of both voter sets during a joint change.
 * @param membership the members of a group.
 * @param valueOf returns the value that a voting member has reached.
 * @return the highest value that a quorum has reached; 0 if a voter set is empty.
 */
std::uint64_t quorumValue(const wire::MembershipT &membership, const std::function<std::uint64_t(const wire::MemberT &)> &valueOf);

/** @param membership the members of a group. @return whether any voter syncs its log to disk. */
bool hasDurableVoter(const wire::MembershipT &membership);

/**
 * Checks whether a membership change is a single step.
 * @param before the current membership.
 * @param after the proposed one.
 * @return true if at most one voting member differs, so that a majority of one overlaps with any majority of the other.
 */
bool changesAtMostOneVoter(const wire::MembershipT &before, const wire::MembershipT &after);

/**
 * Checks whether a quorum of one membership overlaps with any quorum of the other.
 * @param before the current membership.
 * @param after the proposed one.
 * @return true for a change of at most one voter, for a joint membership whose old voters are the current ones, and for the new voters of a joint one.
 */
bool isSafeChange(const wire::MembershipT &before, const wire::MembershipT &after);

/**
 * Begins the replacement of a voter by a learner. The group keeps its size and may lose as many voters as before, also in between.
 * @param membership the members of a group; not joint.
 * @param voter the host of the voter to replace.
 * @param learner the host of the learner that replaces it.
 * @return the joint membership.
 */
wire::MembershipT replaceVoter(const wire::MembershipT &membership, std::string_view voter, std::string_view learner);

/** @param membership a joint membership. @return the membership that completes the change: the new voters, and the replaced ones as learners. */
wire::MembershipT completeChange(const wire::MembershipT &membership);

/** @param membership the members of a group. @param changed a member. @return the members with this one added, or replacing the member on the same host. */
wire::MembershipT withMember(const wire::MembershipT &membership, const wire::MemberT &changed);
}
