#include "deployment/fleettesting.h"
#include "wire/frame.h"
#include "wire/wireerror.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::makeStep;

/** @return the journal of a group of one host, with a snapshot. @param image the image of the snapshot. */
std::vector<wire::JournalRecordT> journalWith(wire::Bytes image)
{
    consensus::Node founder;
    founder.log.snapshotMembership = deployment::foundingMembership({"c0"});
    founder.log.snapshotIndex = 1;
    founder.log.snapshotImage = std::move(image);
    return consensus::journalRecords(founder);
}

deployment::HostOptions controlOptions()
{
    deployment::HostOptions options;
    options.host = "c0";
    options.control = true;
    options.seeds = {"c0"};
    return options;
}

/** Confirms the writes of a host until it asks for no more. @return the decisions that it made. */
std::vector<deployment::Decision> confirmWrites(deployment::Host &host, deployment::HostOutput output, const deployment::Now &now)
{
    std::vector<deployment::Decision> decisions;
    while (true) {
        decisions.insert(decisions.end(), output.decisions.begin(), output.decisions.end());
        if (output.persist.empty()) {
            return decisions;
        }
        const std::vector<consensus::PersistRequest> writes = std::move(output.persist);
        output = {};
        for (const consensus::PersistRequest &write : writes) {
            deployment::handlePersisted(host, write.index, write.term, now, output);
        }
    }
}

/** The only control host of a deployment; it leads. */
struct SingleHost
{
    deployment::Now now{1000, 1000};
    std::error_code error;
    deployment::Host host;
    std::vector<deployment::Decision> decisions;

    explicit SingleHost(const deployment::HostOptions &options)
        : host(deployment::makeHost(options, 1, journalWith({}), 1, now, error))
    {
        for (int i = 0; i < 200 && !deployment::isActiveLeader(host, now); ++i) {
            now.monotonicMs += 20;
            step([&](deployment::HostOutput &output) {
                deployment::tick(host, now, output);
            });
        }
        CHECK(deployment::isActiveLeader(host, now));
    }

    void step(const std::function<void(deployment::HostOutput &)> &action)
    {
        deployment::HostOutput output;
        action(output);
        deployment::endRound(host, now, output);
        for (const deployment::Decision &decision : confirmWrites(host, std::move(output), now)) {
            decisions.push_back(decision);
        }
    }

    /** Puts the next plan in force. */
    void put(wire::PlanAcceptedT plan)
    {
        wire::RequestT request;
        request.operation = wire::Operation::PlanPut;
        request.waitMs = 1000;
        request.plan = std::make_unique<wire::PlanAcceptedT>(std::move(plan));
        const std::uint64_t version = host.state.plan.version + 1;
        request.plan->version = version;
        step([&](deployment::HostOutput &output) {
            deployment::handleLocalRequest(host, 100 + version, std::move(request), now, output);
        });
    }
};
}

/** A host whose snapshot couldn't be read began with the empty state, voted, led and answered as if nothing had ever been accepted. */
TEST_CASE(Snapshots, AHostWithAnUnreadableSnapshotDoesNotStart)
{
    std::error_code error;
    const deployment::Now now{1000, 1000};
    deployment::makeHost(controlOptions(), 1, journalWith({1, 2, 3}), 1, now, error);
    CHECK(error == wire::WireError::SnapshotUnreadable);
    error.clear();
    deployment::makeHost(controlOptions(), 1, journalWith(job::encodeImage({})), 1, now, error);
    CHECK(!error);
}

/** A host that couldn't read the leader's snapshot gave up its log for it, and went on with the empty state. */
TEST_CASE(Snapshots, AnUnreadableSnapshotOfTheLeaderIsRefused)
{
    Fleet fleet({});
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.run(500);
    fakes::FakeHost &follower = *std::find_if(fleet.hosts.begin(), fleet.hosts.end(), [&fleet](const fakes::FakeHost &host) {
        return host.control && &host != fleet.leader();
    });
    deployment::Host &host = *follower.host;
    wire::ConsensusMessageT message;
    message.group = deployment::deploymentGroup;
    message.from = fleet.leader()->id;
    message.fromIncarnation = fleet.leader()->incarnation;
    message.to = follower.id;
    message.toIncarnation = follower.incarnation;
    message.term = host.node->term;
    wire::SnapshotRequestT request;
    request.lastIndex = consensus::lastIndex(host.node->log) + 100;
    request.lastTerm = host.node->term;
    request.image = {1, 2, 3};
    message.body.Set(std::move(request));
    const std::uint64_t last = consensus::lastIndex(host.node->log);
    deployment::HostOutput output;
    for (int i = 0; i < 3; ++i) {
        deployment::handleMessage(host, message, {fleet.nowMs, fleet.nowMs}, output);
    }
    CHECK_EQUAL(std::uint64_t{3}, host.snapshotsRefused);
    CHECK_EQUAL(std::ptrdiff_t{1}, std::count_if(output.decisions.begin(), output.decisions.end(), [](const deployment::Decision &decision) {
                    return decision.name == "snapshot-refused";
                }));
    CHECK(output.persist.empty());
    CHECK_EQUAL(last, consensus::lastIndex(host.node->log));
    CHECK_EQUAL(std::uint64_t{1}, host.state.plan.version);
    fleet.submit("/0/j1", {makeStep(1, 1000, 300)});
    CHECK(completes(fleet, "/0/j1", 10000));
    CHECK_TEXT("", violationsText(fleet));
}

/** A log of few but long records grew until the number of its entries asked for a snapshot. */
TEST_CASE(Snapshots, ALogOfLongRecordsIsReplacedEarly)
{
    deployment::HostOptions options = controlOptions();
    options.maxLogBytes = 100000;
    SingleHost single(options);
    for (int i = 0; i < 20; ++i) {
        wire::PlanAcceptedT plan;
        plan.text = std::string(30000, 'p');
        single.put(std::move(plan));
        CHECK(single.host.node->log.entryBytes < 200000);
    }
    CHECK_EQUAL(std::uint64_t{20}, single.host.state.plan.version);
    CHECK(single.host.node->log.snapshotIndex > 10);
    CHECK(deployment::heldBytes(single.host) > single.host.node->log.entryBytes);
}

/** A snapshot that no frame can hold would leave every host that joins without the state; the records that it stands for are kept. */
TEST_CASE(Snapshots, ASnapshotThatCannotBeSentReplacesNothing)
{
    deployment::HostOptions options = controlOptions();
    constexpr std::uint64_t entries = 5;
    options.snapshotEveryEntries = entries;
    SingleHost single(options);
    deployment::Host &host = single.host;
    const auto putPlans = [&] {
        for (std::uint64_t i = 0; i < entries; ++i) {
            single.put({});
        }
    };
    job::Job job;
    job.number = 1;
    job.spec.payload = std::string(wire::maxFrameBytes, 'p');
    host.state.jobs.emplace(1, std::move(job));
    putPlans();
    putPlans();
    CHECK_EQUAL(std::uint64_t{1}, host.node->log.snapshotIndex);
    CHECK_EQUAL(std::uint64_t{2}, host.snapshotsRefused);
    CHECK(std::any_of(single.decisions.begin(), single.decisions.end(), [](const deployment::Decision &decision) {
        return decision.name == "snapshot-refused";
    }));
    host.state.jobs.clear();
    putPlans();
    putPlans();
    CHECK(host.node->log.snapshotIndex > 1);
}
