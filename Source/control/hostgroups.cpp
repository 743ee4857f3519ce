#include "control/hostinternal.h"
#include "wire/callid.h"
#include "wire/frame.h"
#include "wire/wireerror.h"

#include <algorithm>

namespace rosemaryturn::control
{
namespace
{
using namespace internal;

CellOptions cellOptions(const config::Settings &settings, const std::string &dataCentre)
{
    CellOptions options;
    options.dataCentre = dataCentre;
    options.environment = settings.environment;
    options.otherDataCentres = config::dataCentres(settings);
    std::erase(options.otherDataCentres, dataCentre);
    options.taskLeaseMs = settings.timing.taskLeaseMs;
    options.startWindowMs = settings.timing.startWindowMs;
    options.driftPercent = settings.timing.driftPercent;
    options.answersKeptMs = settings.timing.answersKeptMs;
    options.keysKeptMs = settings.timing.keysKeptMs;
    options.maxKeptAnswers = settings.limits.maxKeptAnswers;
    options.maxKeptKeys = settings.limits.maxKeptKeys;
    options.admission.maxQueued = settings.limits.maxQueued;
    return options;
}

void addMember(wire::MembershipT &membership, const config::HostSettings &host, wire::MemberRole role)
{
    auto member = std::make_unique<wire::MemberT>();
    member->host = host.id;
    member->incarnation = 1;
    member->role = role;
    member->durable = host.durable;
    membership.members.push_back(std::move(member));
}

/** @return a durable host outside the data centre to act as witness of its cell; null if there is none. */
const config::HostSettings *findWitness(const config::Settings &settings, const std::string &dataCentre)
{
    const std::vector<std::string> centres = config::dataCentres(settings);
    const auto own = std::find(centres.begin(), centres.end(), dataCentre);
    const std::size_t ownIndex = static_cast<std::size_t>(own - centres.begin());
    for (std::size_t step = 1; step < centres.size(); ++step) {
        for (const config::HostSettings *host : config::hostsInDataCentre(settings, centres[(ownIndex + step) % centres.size()])) {
            if (host->durable) {
                return host;
            }
        }
    }
    return nullptr;
}

wire::MembershipT desiredCellMembership(const config::Settings &settings, const std::string &dataCentre)
{
    wire::MembershipT membership;
    const auto hosts = config::hostsInDataCentre(settings, dataCentre);
    for (const config::HostSettings *host : hosts) {
        addMember(membership, *host, wire::MemberRole::Voter);
    }
    const config::HostSettings *witness = hosts.size() % 2 == 0 ? findWitness(settings, dataCentre) : nullptr;
    if (witness != nullptr) {
        addMember(membership, *witness, wire::MemberRole::Witness);
    }
    return membership;
}

wire::MembershipT desiredGlobalMembership(const config::Settings &settings)
{
    wire::MembershipT membership;
    for (const std::string &dataCentre : config::dataCentres(settings)) {
        bool hasVoter = false;
        for (const config::HostSettings *host : config::hostsInDataCentre(settings, dataCentre)) {
            const bool voter = host->durable && !hasVoter;
            hasVoter = hasVoter || voter;
            addMember(membership, *host, voter ? wire::MemberRole::Voter : wire::MemberRole::Learner);
        }
    }
    return membership;
}

consensus::Node makeNode(const Host &host, const std::string &group, std::uint64_t seed)
{
    consensus::Node node;
    node.group = group;
    node.self = host.settings.host;
    node.incarnation = host.incarnation;
    node.durable = config::ownHost(host.settings).durable;
    node.timing = {host.settings.timing.heartbeatMs, host.settings.timing.electionMs, host.settings.timing.leaderLeaseMs};
    node.random.seed(seed);
    node.sendCommitAtOnce = group == globalGroup;
    return node;
}

/** Replaces the state of a group by that of a snapshot. @return false for a snapshot that can't be read; the state is unchanged then. */
bool loadImage(Host &host, const std::string &group, const wire::Bytes &image)
{
    if (group == globalGroup) {
        auto config = decodeConfigImage(image, config::dataCentres(host.settings));
        if (!config) {
            return false;
        }
        host.config = std::move(*config);
    } else if (group == cellGroup(host.dataCentre)) {
        auto state = decodeCellImage(image);
        if (!state) {
            return false;
        }
        host.cell.state = std::move(*state);
    }
    return true;
}

/** @return whether loadImage() can read the snapshot; groups without a state on this host have none to read. */
bool isReadableImage(const Host &host, const std::string &group, const wire::Bytes &image)
{
    if (group == globalGroup) {
        return wire::verifiedRoot<wire::ConfigImage>(image) != nullptr;
    }
    return group != cellGroup(host.dataCentre) || wire::verifiedRoot<wire::CellImage>(image) != nullptr;
}

void refuseSnapshot(Host &host, const std::string &group, const char *source, std::size_t bytes, HostOutput &output)
{
    ++host.snapshotsRefused;
    output.refusedSnapshots.push_back({group, source, bytes});
}

void applyEntry(Host &host, const std::string &group, const wire::EntryT &entry, const Now &now, CellOutput &cellOutput, HostOutput &result)
{
    const auto record = wire::decode<wire::RecordT>(entry.payload);
    if (!record) {
        return; // Only this program writes records, and they are checksummed on disk and on the wire.
    }
    if (group == globalGroup) {
        applyConfigRecord(host, *record, now, result);
    } else if (group == cellGroup(host.dataCentre)) {
        applyRecord(host.cell, *record, now, cellOutput);
    }
}

void updateLeadership(Host &host, consensus::Node &node, const Now &now, CellOutput &cellOutput, HostOutput &result)
{
    const bool isLeader = consensus::isReadyLeader(node);
    if (node.group == globalGroup) {
        if (!isLeader) {
            failPendingChanges(host, now, result);
        }
        return;
    }
    if (node.group != cellGroup(host.dataCentre)) {
        return;
    }
    if (!isLeader && host.cell.leader.active) {
        endLeading(host.cell, cellOutput);
    }
    if (isLeader && (!host.cell.leader.active || host.cell.leader.term != node.term)) {
        beginLeading(host.cell, node.term, now, cellOutput);
        host.cell.leader.draining = host.draining;
    }
}

void snapshotIfDue(Host &host, consensus::Node &node, HostOutput &result)
{
    // Large states are written less often, so that snapshots add little to the bytes written for the log itself.
    constexpr std::uint64_t itemsPerEntry = 4;
    const std::uint64_t items = node.group == globalGroup ? 0 : host.cell.state.tasks.size() + host.cell.state.closed.size();
    const std::uint64_t due = std::max(host.settings.limits.snapshotEveryEntries, items / itemsPerEntry);
    if (node.witness || node.applied - node.log.snapshotIndex < due) {
        return;
    }
    std::uint64_t &nextIndex = host.nextSnapshotIndex[node.group];
    if (node.applied < nextIndex) {
        return;
    }
    wire::Bytes image = node.group == globalGroup ? encodeImage(host.config) : encodeImage(host.cell.state);
    // The records that a snapshot replaces are gone, so that it must be readable, also for a host that gets it in a frame.
    if (!isReadableImage(host, node.group, image) || !wire::fitsFrame(image.size())) {
        refuseSnapshot(host, node.group, "own", image.size(), result);
        nextIndex = node.applied + due;
        return;
    }
    consensus::Output output;
    consensus::compact(node, std::move(image), node.applied, output);
    consensus::PersistRequest request;
    request.group = node.group;
    request.records = std::move(output.persist);
    request.replace = true;
    request.index = consensus::lastIndex(node.log);
    request.term = consensus::lastTerm(node.log);
    result.persist.push_back(std::move(request));
}
}

std::string cellGroup(const std::string &dataCentre)
{
    return "cell/" + dataCentre;
}

wire::MembershipT desiredMembership(const config::Settings &settings, const std::string &group)
{
    if (group == globalGroup) {
        return desiredGlobalMembership(settings);
    }
    return desiredCellMembership(settings, group.substr(group.find('/') + 1));
}

std::vector<std::string> groupsOf(const config::Settings &settings, const std::string &host)
{
    std::vector<std::string> groups{globalGroup};
    for (const std::string &dataCentre : config::dataCentres(settings)) {
        const wire::MembershipT membership = desiredCellMembership(settings, dataCentre);
        if (consensus::findMember(membership, host) != nullptr) {
            groups.push_back(cellGroup(dataCentre));
        }
    }
    return groups;
}

Host makeHost(config::Settings settings, std::uint64_t incarnation, const std::map<std::string, std::vector<wire::JournalRecordT>> &journals,
              std::uint64_t seed, const Now &now, std::error_code &error)
{
    Host host;
    host.settings = std::move(settings);
    host.dataCentre = config::ownHost(host.settings).dataCentre;
    host.incarnation = incarnation;
    host.cell.options = cellOptions(host.settings, host.dataCentre);
    host.cell.random.seed(seed);
    host.nextCall = wire::firstCallId(seed);
    host.config.dataCentres = config::dataCentres(host.settings);
    for (const std::string &group : groupsOf(host.settings, host.settings.host)) {
        consensus::Node node = makeNode(host, group, seed + host.groups.size() + 1);
        const wire::MembershipT desired = desiredMembership(host.settings, group);
        node.witness = consensus::findMember(desired, node.self)->role == wire::MemberRole::Witness;
        consensus::initialise(node, desired, now.monotonicMs);
        const auto journal = journals.find(group);
        if (journal != journals.end()) {
            for (const wire::JournalRecordT &record : journal->second) {
                consensus::restore(node, record);
            }
            if (!loadImage(host, group, consensus::finishRestore(node, now.monotonicMs))) {
                error = wire::WireError::SnapshotUnreadable;
                return host;
            }
        }
        host.groups.emplace(group, std::move(node));
    }
    return host;
}

void handleMessage(Host &host, const wire::ConsensusMessageT &message, const Now &now, HostOutput &output)
{
    const auto found = host.groups.find(message.group);
    if (found == host.groups.end()) {
        return;
    }
    const wire::SnapshotRequestT *snapshot = message.body.AsSnapshotRequest();
    if (snapshot != nullptr && snapshot->lastIndex > found->second.commit && !isReadableImage(host, message.group, snapshot->image)) {
        refuseSnapshot(host, message.group, "received", snapshot->image.size(), output);
        return;
    }
    consensus::Output step;
    consensus::receive(found->second, message, now.monotonicMs, step);
    applyNodeOutput(host, found->second, std::move(step), now, output);
}

void handlePersisted(Host &host, const std::string &group, std::uint64_t index, std::uint64_t term, const Now &now, HostOutput &output)
{
    consensus::Node &node = host.groups.at(group);
    consensus::Output step;
    consensus::persisted(node, index, term, now.monotonicMs, step);
    applyNodeOutput(host, node, std::move(step), now, output);
}

void handleStartReplies(Host &host, const std::vector<StartReply> &replies, const Now &now, HostOutput &output)
{
    CellOutput step;
    handleStartReplies(host.cell, replies, now, step);
    applyCellOutput(host, std::move(step), now, output);
}

namespace
{
void handleSpillReplies(Host &host, const Now &now, CellOutput &step)
{
    const auto replies = std::move(host.spillReplies);
    host.spillReplies.clear();
    for (const auto &[call, reply] : replies) {
        handleSpillReply(host.cell, call, reply, now, step);
    }
}
}

void tickHost(Host &host, const Now &now, HostOutput &output)
{
    host.cell.config = &host.config;
    for (auto &[name, node] : host.groups) {
        consensus::Output step;
        consensus::tick(node, now.monotonicMs, step);
        applyNodeOutput(host, node, std::move(step), now, output);
        repairMembership(host, node, now, output);
    }
    const auto own = host.groups.find(cellGroup(host.dataCentre));
    if (own != host.groups.end()) {
        CellOutput step;
        handleSpillReplies(host, now, step);
        tickCell(host.cell, now, consensus::holdsLease(own->second, now.monotonicMs), step);
        applyCellOutput(host, std::move(step), now, output);
    }
    retryRoutedRequests(host, now, output);
}

void drainHost(Host &host, const Now &now, HostOutput &output)
{
    host.draining = true;
    host.cell.leader.draining = true;
    for (auto &[name, node] : host.groups) {
        consensus::Output step;
        consensus::stepDown(node, now.monotonicMs, step);
        applyNodeOutput(host, node, std::move(step), now, output);
    }
}

bool isConfigLearnt(const Host &host)
{
    const consensus::Node &node = host.groups.at(globalGroup);
    // A durable host continues from the state that it served before; a host without a disk first has to learn the majority's state.
    return node.hasCurrentTermCommit || consensus::isReadyLeader(node) || (node.durable && node.applied > 0);
}

bool isReady(const Host &host)
{
    const auto cell = host.groups.find(cellGroup(host.dataCentre));
    const bool cellLed = cell != host.groups.end() && !cell->second.leader.empty();
    return cellLed && isConfigLearnt(host) && !host.draining;
}

namespace internal
{
void applyNodeOutput(Host &host, consensus::Node &node, consensus::Output output, const Now &now, HostOutput &result)
{
    host.cell.config = &host.config;
    if (!output.persist.empty() || !output.sendAfterSync.empty()) {
        consensus::PersistRequest request;
        request.group = node.group;
        request.records = std::move(output.persist);
        request.replace = output.replaceJournal;
        request.sendAfterSync = std::move(output.sendAfterSync);
        request.index = consensus::lastIndex(node.log);
        request.term = consensus::lastTerm(node.log);
        result.persist.push_back(std::move(request));
    }
    for (wire::ConsensusMessageT &message : output.sendNow) {
        result.messages.push_back(std::move(message));
    }
    if (output.snapshotInstalled) {
        loadImage(host, node.group, node.log.snapshotImage); // Checked by handleMessage().
        onConfigChanged(host.cell, now);
    }
    CellOutput cellOutput;
    for (const consensus::EntryPointer &entry : output.committed) {
        applyEntry(host, node.group, *entry, now, cellOutput, result);
    }
    updateLeadership(host, node, now, cellOutput, result);
    applyCellOutput(host, std::move(cellOutput), now, result);
    snapshotIfDue(host, node, result);
}

void applyCellOutput(Host &host, CellOutput output, const Now &now, HostOutput &result)
{
    for (TokenReply &reply : output.replies) {
        finishRequest(host, reply.token, std::move(reply.reply), now, result);
    }
    for (SpillCall &spill : output.spills) {
        const Token token = host.nextToken++;
        wire::RequestT request = spill.request;
        host.spills.emplace(token, std::move(spill));
        handleLocalRequest(host, token, std::move(request), now, result);
    }
    for (StartOrder &start : output.starts) {
        result.starts.push_back(std::move(start));
    }
    propose(host, cellGroup(host.dataCentre), std::move(output.proposals), now, result);
}

void propose(Host &host, const std::string &group, std::vector<wire::Bytes> payloads, const Now &now, HostOutput &result)
{
    const auto found = host.groups.find(group);
    if (payloads.empty() || found == host.groups.end()) {
        return;
    }
    consensus::Output step;
    consensus::propose(found->second, std::move(payloads), now.monotonicMs, step);
    applyNodeOutput(host, found->second, std::move(step), now, result);
}

namespace
{
/** @return the next single change that brings the member closer to the desired state; nothing if no change is possible or needed. */
std::optional<wire::MemberT> nextMembershipChange(const Host &host, const consensus::Node &node, const wire::MemberT &desired)
{
    const wire::MemberT *present = consensus::findMember(node.membership, desired.host);
    const auto peer = host.peers.find(desired.host);
    const bool self = desired.host == host.settings.host;
    const bool known = self || (peer != host.peers.end() && peer->second.connected);
    if (!known) {
        return std::nullopt;
    }
    const std::uint64_t incarnation = self ? host.incarnation : peer->second.incarnation;
    if (present == nullptr || present->incarnation != incarnation) {
        // A host that lost its log joins as a new member, and as a learner until it has the group's log.
        wire::MemberT learner = desired;
        learner.incarnation = incarnation;
        learner.role = wire::MemberRole::Learner;
        return learner;
    }
    const auto progress = node.progress.find(desired.host);
    const bool caughtUp
        = progress != node.progress.end() && progress->second.incarnation == incarnation && progress->second.matchIndex >= node.commit && node.commit > 0;
    if (present->role != desired.role && caughtUp) {
        wire::MemberT promoted = *present;
        promoted.role = desired.role;
        return promoted;
    }
    return std::nullopt;
}
}

void repairMembership(Host &host, consensus::Node &node, const Now &now, HostOutput &result)
{
    if (!consensus::isReadyLeader(node) || node.membershipIndex > node.commit) {
        return;
    }
    const wire::MembershipT desired = desiredMembership(host.settings, node.group);
    for (const auto &member : desired.members) {
        const auto step = nextMembershipChange(host, node, *member);
        if (!step) {
            continue;
        }
        consensus::Output output;
        if (consensus::proposeMembership(node, consensus::withMember(node.membership, *step), now.monotonicMs, output) != 0) {
            applyNodeOutput(host, node, std::move(output), now, result);
        }
        return; // The group changes one member at a time.
    }
}
}
}
