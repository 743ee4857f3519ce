#include "fakes/bench.h"
#include "testing.h"
#include "wire/wireerror.h"

namespace
{
using namespace rosemaryturn;
using fakes::Bench;

constexpr const char *hostId = "h1-1";

/** @return journals in which the snapshot of one group can't be read. @param settings of the host. @param group the group. */
std::map<std::string, std::vector<wire::JournalRecordT>> journalsWithUnreadable(const config::Settings &settings, const std::string &group)
{
    consensus::Node node;
    node.log.snapshotMembership = control::desiredMembership(settings, group);
    node.log.snapshotIndex = 1;
    node.log.snapshotImage = {1, 2, 3};
    return {{group, consensus::journalRecords(node)}};
}
}

/** A host whose snapshot couldn't be read began with an empty configuration or an empty cell. */
TEST_CASE(ControlSnapshots, AHostWithAnUnreadableSnapshotDoesNotStart)
{
    Bench bench(1);
    const config::Settings settings = bench.hosts.at(hostId).host->settings;
    for (const std::string &group : {std::string(control::globalGroup), control::cellGroup("dc1")}) {
        std::error_code error;
        control::makeHost(settings, 1, journalsWithUnreadable(settings, group), 1, bench.now(), error);
        CHECK(error == wire::WireError::SnapshotUnreadable);
    }
}

/** A host that couldn't read a leader's snapshot gave up its log for it. */
TEST_CASE(ControlSnapshots, AnUnreadableSnapshotOfTheLeaderIsRefused)
{
    Bench bench(1);
    control::Host &host = *bench.hosts.at(hostId).host;
    for (const std::string &group : {std::string(control::globalGroup), control::cellGroup("dc1")}) {
        wire::ConsensusMessageT message;
        message.group = group;
        message.from = "h2-1";
        message.fromIncarnation = 1;
        message.to = hostId;
        message.toIncarnation = host.incarnation;
        message.term = 5;
        wire::SnapshotRequestT request;
        request.lastIndex = 100;
        request.lastTerm = 4;
        request.image = {1, 2, 3};
        message.body.Set(std::move(request));
        const std::uint64_t last = consensus::lastIndex(host.groups.at(group).log);
        control::HostOutput output;
        control::handleMessage(host, message, bench.now(), output);
        CHECK_EQUAL(std::size_t{1}, output.refusedSnapshots.size());
        CHECK_TEXT(group, output.refusedSnapshots[0].group);
        CHECK(output.persist.empty());
        CHECK_EQUAL(last, consensus::lastIndex(host.groups.at(group).log));
    }
    CHECK_EQUAL(std::uint64_t{2}, host.snapshotsRefused);
}
