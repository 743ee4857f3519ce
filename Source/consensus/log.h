#pragma once

#include "wire/codec.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace rosemaryturn::consensus
{
/** An entry is shared between the log and the messages that carry it. */
using EntryPointer = std::shared_ptr<const wire::EntryT>;

/** The replicated log of one group, from the last snapshot on. */
struct Log
{
    std::uint64_t snapshotIndex = 0; ///< Last index that the snapshot covers.
    std::uint64_t snapshotTerm = 0; ///< Term of that index.
    wire::MembershipT snapshotMembership; ///< Membership at that index.
    wire::Bytes snapshotImage; ///< State of the application at that index.
    std::deque<EntryPointer> entries; ///< Entries after the snapshot.
};

/** @param log a log. @return the index of its last entry. */
std::uint64_t lastIndex(const Log &log);

/** @param log a log. @return the term of its last entry. */
std::uint64_t lastTerm(const Log &log);

/** @param log a log. @param index an index after the snapshot. @return the entry, or null. */
EntryPointer entryAt(const Log &log, std::uint64_t index);

/** @param log a log. @param index an index. @return its term, or 0 when the log does not reach it. */
std::uint64_t termAt(const Log &log, std::uint64_t index);

/** @param log a log. @param index the first entry to drop. */
void truncateFrom(Log &log, std::uint64_t index);

/** @param log a log. @param index the last entry that a new snapshot covers. */
void discardThrough(Log &log, std::uint64_t index);

/** @param log a log. @param through the last index that counts. @return the membership in force there. */
wire::MembershipT membershipAt(const Log &log, std::uint64_t through);
}
