#include "consensus/log.h"

#include <algorithm>

namespace rosemaryturn::consensus
{
std::uint64_t lastIndex(const Log &log)
{
    return log.snapshotIndex + log.entries.size();
}

std::uint64_t lastTerm(const Log &log)
{
    return log.entries.empty() ? log.snapshotTerm : log.entries.back()->term;
}

EntryPointer entryAt(const Log &log, std::uint64_t index)
{
    if (index <= log.snapshotIndex || index > lastIndex(log)) {
        return nullptr;
    }
    return log.entries[index - log.snapshotIndex - 1];
}

std::uint64_t termAt(const Log &log, std::uint64_t index)
{
    if (index == log.snapshotIndex) {
        return log.snapshotTerm;
    }
    const EntryPointer entry = entryAt(log, index);
    return entry ? entry->term : 0;
}

std::uint64_t lastIndexOfTermAtMost(const Log &log, std::uint64_t through, std::uint64_t term)
{
    if (through <= log.snapshotIndex) {
        return through;
    }
    const auto end = log.entries.begin() + static_cast<std::ptrdiff_t>(std::min(through, lastIndex(log)) - log.snapshotIndex);
    const auto later = std::partition_point(log.entries.begin(), end, [term](const EntryPointer &entry) {
        return entry->term <= term;
    });
    return log.snapshotIndex + static_cast<std::uint64_t>(later - log.entries.begin());
}

void append(Log &log, wire::EntryT entry)
{
    log.entryBytes += entry.payload.size();
    log.entries.push_back(std::make_shared<const wire::EntryT>(std::move(entry)));
}

void clearEntries(Log &log)
{
    log.entries.clear();
    log.entryBytes = 0;
}

void truncateFrom(Log &log, std::uint64_t index)
{
    while (!log.entries.empty() && lastIndex(log) >= index) {
        log.entryBytes -= log.entries.back()->payload.size();
        log.entries.pop_back();
    }
}

void discardThrough(Log &log, std::uint64_t index)
{
    while (!log.entries.empty() && log.snapshotIndex < index) {
        log.entryBytes -= log.entries.front()->payload.size();
        log.entries.pop_front();
        ++log.snapshotIndex;
    }
    log.snapshotIndex = std::max(log.snapshotIndex, index);
}

wire::MembershipT membershipAt(const Log &log, std::uint64_t through)
{
    for (std::uint64_t index = std::min(through, lastIndex(log)); index > log.snapshotIndex; --index) {
        const EntryPointer entry = entryAt(log, index);
        if (entry->kind == wire::EntryKind::Membership) {
            if (const auto membership = wire::decode<wire::MembershipT>(entry->payload)) {
                return *membership;
            }
        }
    }
    return log.snapshotMembership;
}
}
