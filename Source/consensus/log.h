#pragma once

#include "wire/codec.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace rosemaryturn::consensus
{
/** An immutable log entry, shared between the log and its readers. */
using EntryPointer = std::shared_ptr<const wire::EntryT>;

/** The replicated log of one group, starting at the last snapshot. */
struct Log
{
    std::uint64_t snapshotIndex = 0; ///< Last index that the snapshot covers.
    std::uint64_t snapshotTerm = 0; ///< Term of that index.
    wire::MembershipT snapshotMembership; ///< Membership at that index.
    wire::Bytes snapshotImage; ///< State of the application at that index.
    std::deque<EntryPointer> entries; ///< Entries after the snapshot.
    std::uint64_t entryBytes = 0; ///< Total size of the payloads of the entries.
};

/** Adds an entry at the end. @param log a log. @param entry the entry. */
void append(Log &log, wire::EntryT entry);

/** Removes all entries after the snapshot. @param log a log. */
void clearEntries(Log &log);

/** @param log a log. @return the index of its last entry. */
std::uint64_t lastIndex(const Log &log);

/** @param log a log. @return the term of its last entry. */
std::uint64_t lastTerm(const Log &log);

/** @param log a log. @param index an index. @return the entry, or null if the log doesn't contain it. */
EntryPointer entryAt(const Log &log, std::uint64_t index);

/** @param log a log. @param index an index. @return its term, or 0 if the log doesn't contain it. */
std::uint64_t termAt(const Log &log, std::uint64_t index);

/**
 * Terms never decrease along a log, so entries of another log with at most this term can only equal those up to the result.
 * @param log a log.
 * @param through the last index to consider.
 * @param term a term.
 * @return the last index up to `through` of an entry with at most that term, or that of the snapshot if none has; `through` if the snapshot covers it.
 */
std::uint64_t lastIndexOfTermAtMost(const Log &log, std::uint64_t through, std::uint64_t term);

/** Removes the end of the log. @param log a log. @param index the first entry to remove. */
void truncateFrom(Log &log, std::uint64_t index);

/** Removes the start of the log. @param log a log. @param index the last entry that a new snapshot covers. */
void discardThrough(Log &log, std::uint64_t index);

/** @param log a log. @param through the last index to consider. @return the latest membership up to that index. */
wire::MembershipT membershipAt(const Log &log, std::uint64_t through);
}
