#include "fakes/fleet.h"
#include "storage/identity.h"
#include "testing.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::FakeHost;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;
using Names = std::set<std::string>;

constexpr std::uint64_t stepMs = 20;
/** Time from the start of a host after which it no longer counts as lost, so that the group has to bear the next loss. */
constexpr std::uint64_t catchUpMs = 4000;
/** Time from the last fault after which the group has to serve again. */
constexpr std::uint64_t recoveryMs = 12000;
constexpr std::uint64_t electionMs = 5000;

/** How a host becomes silent. */
enum class Silence {
    Killed,
    Suspended,
    CutOff,
};

std::string violationsText(const Fleet &fleet)
{
    std::string text;
    for (const std::string &line : fleet.violations) {
        text += line + "\n";
    }
    return text;
}

/** @return the voters of the group by the leader's committed membership; empty without a leader or while a change is pending. */
Names votersOf(Fleet &fleet)
{
    Names voters;
    const FakeHost *leader = fleet.leader();
    if (leader == nullptr || leader->host->node->membershipIndex > leader->host->node->commit || consensus::isJoint(leader->host->node->membership)) {
        return voters;
    }
    for (const auto &member : leader->host->node->membership.members) {
        if (member->role == wire::MemberRole::Voter) {
            voters.insert(member->host);
        }
    }
    return voters;
}

std::size_t livingVoters(Fleet &fleet)
{
    const Names voters = votersOf(fleet);
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&fleet](const std::string &name) {
        return fleet.host(name).alive;
    }));
}

Names livingControlHosts(const Fleet &fleet)
{
    Names living;
    for (const FakeHost &host : fleet.hosts) {
        if (host.control && host.alive) {
            living.insert(host.id);
        }
    }
    return living;
}

bool waitForVoters(Fleet &fleet, const Names &voters, std::uint64_t ms)
{
    return fleet.runUntil(
        [&] {
            return votersOf(fleet) == voters;
        },
        ms);
}

bool waitForLeader(Fleet &fleet)
{
    return fleet.runUntil(
        [&fleet] {
            return fleet.leader() != nullptr;
        },
        electionMs);
}

/** @return the id of a voter: the leader, or the first other one. */
std::string voterToLose(Fleet &fleet, bool leads)
{
    const std::string leader = fleet.leader()->id;
    const Names voters = votersOf(fleet);
    return *std::find_if(voters.begin(), voters.end(), [&](const std::string &name) {
        return (name == leader) == leads;
    });
}

/** Starts an empty control host that isn't a seed. */
void addControlHost(Fleet &fleet, const std::string &id, std::uint64_t extraDelayMs = 0)
{
    FakeHost host;
    host.id = id;
    host.control = true;
    host.extraDelayMs = extraDelayMs;
    fleet.hosts.push_back(std::move(host));
    fleet.start(fleet.host(id));
}

/** Acknowledged state that must outlast all losses. */
struct Acknowledged
{
    std::uint64_t planVersion = 0;
    std::vector<std::string> jobs;
};

Acknowledged putState(Fleet &fleet)
{
    Acknowledged state;
    for (std::uint32_t version = 1; version <= 3; ++version) {
        CHECK(fleet.putPlan(version, 2, false));
        state.planVersion = version;
    }
    for (int i = 0; i < 6; ++i) {
        const std::string path = "/0/j" + std::to_string(i);
        const deployment::Token token = fleet.submit(path, {makeStep(2, 1000, i % 2 == 0 ? 500 : 20000)});
        CHECK(fleet.runUntil(
            [&] {
                return fleet.answer(token).answered;
            },
            3000));
        CHECK_EQUAL(0, static_cast<int>(fleet.answer(token).reply.error));
        state.jobs.push_back(path);
    }
    return state;
}

void checkState(Fleet &fleet, const Acknowledged &state)
{
    CHECK_EQUAL(state.planVersion, fleet.leader()->host->state.plan.version);
    for (const std::string &path : state.jobs) {
        CHECK(fleet.phase(path).has_value());
    }
}

void checkCompletion(Fleet &fleet, const Acknowledged &state)
{
    for (const std::string &path : state.jobs) {
        CHECK(fleet.runUntil(
            [&] {
                return fleet.phase(path) == job::Phase::Completed;
            },
            60000));
    }
    CHECK_TEXT("", violationsText(fleet));
}

/** Loses one of three control hosts for good, replaces it by an empty one and loses the disk of one of the living voters. */
void loseOneHostAndLaterADisk(std::uint64_t seed, bool leads, std::size_t nextLoss)
{
    FleetOptions options;
    options.seed = seed;
    Fleet fleet(options);
    CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
    fleet.run(3000);
    const Acknowledged state = putState(fleet);

    fleet.kill(fleet.host(voterToLose(fleet, leads)), true);
    fleet.run(1000);
    addControlHost(fleet, "c3");
    const std::uint64_t joinedMs = fleet.nowMs;
    const Names living = livingControlHosts(fleet);
    while (votersOf(fleet) != living && fleet.nowMs < joinedMs + catchUpMs) {
        fleet.run(stepMs);
        CHECK(votersOf(fleet).empty() || livingVoters(fleet) >= 2);
    }
    CHECK(votersOf(fleet) == living);

    const std::string wiped = *std::next(living.begin(), static_cast<std::ptrdiff_t>(nextLoss));
    fleet.kill(fleet.host(wiped), true);
    fleet.run(1000);
    CHECK(waitForLeader(fleet));
    checkState(fleet, state);
    CHECK(fleet.putPlan(1, 2, false));
    fleet.start(fleet.host(wiped));
    CHECK(waitForVoters(fleet, living, catchUpMs));
    checkCompletion(fleet, state);
}

/** Loses hosts for good, with their disks, and starts as many empty ones at other addresses a second later. */
void replaceHosts(Fleet &fleet, const std::vector<std::string> &lost, std::size_t &nextHost)
{
    for (const std::string &id : lost) {
        fleet.kill(fleet.host(id), true);
    }
    fleet.run(1000);
    for (std::size_t i = 0; i < lost.size(); ++i) {
        addControlHost(fleet, "c" + std::to_string(nextHost++));
    }
}

/** Checks that a group has a leader in time, which knows all that was acknowledged and accepts changes. */
void checkRecovery(Fleet &fleet, const Acknowledged &state)
{
    CHECK(fleet.runUntil(
        [&fleet] {
            return fleet.leader() != nullptr;
        },
        recoveryMs));
    checkState(fleet, state);
    CHECK(fleet.putPlan(state.planVersion + 1, 2, false));
}

void silence(Fleet &fleet, const std::string &id, Silence way, std::uint64_t ms)
{
    if (way == Silence::Suspended) {
        fleet.suspend(fleet.host(id), ms);
    } else if (way == Silence::Killed) {
        fleet.kill(fleet.host(id));
    } else {
        for (const std::string &other : livingControlHosts(fleet)) {
            fleet.setPartitioned(id, other, id != other);
        }
    }
}

void endSilence(Fleet &fleet, const std::string &id, Silence way)
{
    if (way == Silence::Killed) {
        fleet.start(fleet.host(id));
    } else if (way == Silence::CutOff) {
        for (const FakeHost &other : std::vector<FakeHost>(fleet.hosts)) {
            fleet.setPartitioned(id, other.id, false);
        }
    }
}

/** Runs a test on a group of three voters and a spare control host for each way in which a follower or the leader becomes silent. */
void forEachSilence(const std::function<void(Fleet &, const std::string &, Silence)> &test)
{
    for (const Silence way : {Silence::Killed, Silence::Suspended, Silence::CutOff}) {
        for (const bool leads : {false, true}) {
            FleetOptions options;
            options.controlHosts = 4;
            Fleet fleet(options);
            CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
            fleet.run(3000);
            CHECK(fleet.putPlan(1, 2, false));
            test(fleet, voterToLose(fleet, leads), way);
            CHECK_TEXT("", violationsText(fleet));
        }
    }
}

const wire::MemberT *memberOf(Fleet &fleet, const std::string &id)
{
    const FakeHost *leader = fleet.leader();
    return leader == nullptr ? nullptr : consensus::findMember(leader->host->node->membership, id);
}

/** @return whether a host follows the group as a learner that holds the committed log. */
bool isCurrentLearner(Fleet &fleet, const std::string &id)
{
    const wire::MemberT *member = memberOf(fleet, id);
    const FakeHost &host = fleet.host(id);
    return member != nullptr && member->role == wire::MemberRole::Learner && host.alive && host.host->node->commit > 0
        && consensus::lastIndex(host.host->node->log) >= fleet.leader()->host->node->commit;
}
}

/** The dead voter stayed in the group for ever, and the replacement stayed a learner: the next loss left one of three voters. */
TEST_CASE(Membership, AHostThatIsLostForGoodIsReplaced)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (std::size_t nextLoss = 0; nextLoss < 3; ++nextLoss) {
            loseOneHostAndLaterADisk(seed, false, nextLoss);
        }
    }
}

TEST_CASE(Membership, ALeaderThatIsLostForGoodIsReplaced)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (std::size_t nextLoss = 0; nextLoss < 3; ++nextLoss) {
            loseOneHostAndLaterADisk(seed, true, nextLoss);
        }
    }
}

/** With these seeds the votes split, and a new leader counted the silence of the lost one from the end of the election. */
TEST_CASE(Membership, SplitVotesDoNotDelayTheReplacementOfALeader)
{
    for (const std::uint64_t seed : {217, 389}) {
        loseOneHostAndLaterADisk(seed, true, 0);
    }
}

/**
 * A lost voter kept its vote for eight seconds, and its replacement got none before. The loss of another voter in that time left one of three, so that no
 * leader was ever elected again.
 */
TEST_CASE(Membership, TheGroupBearsTheNextLossOnceAReplacementHasCaughtUp)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const bool leads : {false, true}) {
            for (std::size_t nextLoss = 0; nextLoss < 3; ++nextLoss) {
                FleetOptions options;
                options.seed = seed;
                Fleet fleet(options);
                std::size_t nextHost = 3;
                CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
                fleet.run(3000);
                Acknowledged state = putState(fleet);
                replaceHosts(fleet, {voterToLose(fleet, leads)}, nextHost);
                fleet.run(catchUpMs);
                const Names living = livingControlHosts(fleet);
                replaceHosts(fleet, {*std::next(living.begin(), static_cast<std::ptrdiff_t>(nextLoss))}, nextHost);
                checkRecovery(fleet, state);
                checkCompletion(fleet, state);
            }
        }
    }
}

/** The same with six control hosts, of which two are lost at a time. */
TEST_CASE(Membership, SixHostsBearTwoLossesAndTwoMore)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (std::size_t first = 0; first < 6; ++first) {
            FleetOptions options;
            options.seed = seed;
            options.controlHosts = 6;
            Fleet fleet(options);
            std::size_t nextHost = 6;
            CHECK(fleet.runUntil(
                [&] {
                    return votersOf(fleet).size() == 5;
                },
                10000));
            fleet.run(3000);
            const Acknowledged state = putState(fleet);
            replaceHosts(fleet, {"c" + std::to_string(first), "c" + std::to_string((first + 1) % 6)}, nextHost);
            fleet.run(catchUpMs);
            const Names living = livingControlHosts(fleet);
            std::vector<std::string> next{living.begin(), living.end()};
            std::rotate(next.begin(), next.begin() + static_cast<std::ptrdiff_t>(first), next.end());
            next.resize(2);
            replaceHosts(fleet, next, nextHost);
            checkRecovery(fleet, state);
            checkCompletion(fleet, state);
        }
    }
}

namespace
{
/** Loses a follower of three control hosts under load and adds an empty host with longer links. @return whether that host votes in time instead. */
bool isReplacedUnderLoad(std::uint64_t extraDelayMs)
{
    constexpr std::uint64_t submissionMs = 10;
    constexpr std::uint64_t loadMs = 10000;
    Fleet fleet({});
    CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
    fleet.run(3000);
    CHECK(fleet.putPlan(1, 2, false));
    const std::string lost = voterToLose(fleet, false);
    fleet.kill(fleet.host(lost), true);
    fleet.run(1000);
    addControlHost(fleet, "c3", extraDelayMs);
    for (std::uint64_t passed = 0; passed < loadMs; passed += submissionMs) {
        fleet.submit("/0/j" + std::to_string(passed), {makeStep(1, 500, 300)});
        fleet.run(submissionMs);
    }
    CHECK_TEXT("", violationsText(fleet));
    const Names voters = votersOf(fleet);
    CHECK_EQUAL(std::size_t{3}, voters.size());
    CHECK(voters.count(lost) != voters.count("c3"));
    return voters.count("c3") > 0;
}
}

/** The replies of the replacement always arrived after those of the voters, so it never held the newest committed entry and never counted as ready. */
TEST_CASE(Membership, AReplacementThatIsFartherAwayVotesUnderLoad)
{
    CHECK(isReplacedUnderLoad(20));
}

/** Round trips longer than the interval between checks: the replacement answers, but its log stays behind. */
TEST_CASE(Membership, ASilentVoterStaysWhileTheReplacementLags)
{
    CHECK(!isReplacedUnderLoad(250));
}

TEST_CASE(Membership, AVoterThatIsSilentForAShortTimeStays)
{
    forEachSilence([](Fleet &fleet, const std::string &id, Silence way) {
        const std::uint64_t silentMs = deployment::HostOptions{}.replaceAfterMs - 500; // Less the time to answer the first heartbeat after it.
        const Names before = votersOf(fleet);
        silence(fleet, id, way, silentMs);
        fleet.run(silentMs);
        endSilence(fleet, id, way);
        const std::uint64_t index = fleet.leader()->host->node->membershipIndex;
        CHECK(votersOf(fleet) == before);
        for (std::uint64_t passed = 0; passed < 10000; passed += stepMs) {
            fleet.run(stepMs);
            CHECK(fleet.leader() == nullptr || fleet.leader()->host->node->membershipIndex == index);
        }
        CHECK(votersOf(fleet) == before);
    });
}

/** Returns before and after a silent learner is removed. The group has a majority of living voters all the while, and changes no further. */
TEST_CASE(Membership, AVoterThatReturnsAfterItsReplacementLearns)
{
    const std::uint64_t replaceAfterMs = deployment::HostOptions{}.replaceAfterMs;
    const std::uint64_t removeAfterMs = deployment::HostOptions{}.removeAfterMs;
    for (const std::uint64_t silentMs : {replaceAfterMs + 2000, removeAfterMs - 500, std::uint64_t{15000}}) {
        forEachSilence([silentMs](Fleet &fleet, const std::string &id, Silence way) {
            Names others = livingControlHosts(fleet);
            others.erase(id);
            silence(fleet, id, way, silentMs);
            for (std::uint64_t passed = 0; passed < silentMs; passed += stepMs) {
                fleet.run(stepMs);
                CHECK(votersOf(fleet).empty() || votersOf(fleet).size() == 3);
            }
            CHECK(votersOf(fleet) == others);
            endSilence(fleet, id, way);
            CHECK(fleet.runUntil(
                [&] {
                    return isCurrentLearner(fleet, id);
                },
                5000));
            const std::uint64_t index = fleet.leader()->host->node->membershipIndex;
            for (std::uint64_t passed = 0; passed < 10000; passed += stepMs) {
                fleet.run(stepMs);
                CHECK(fleet.leader() != nullptr);
                CHECK_EQUAL(index, fleet.leader()->host->node->membershipIndex);
            }
            CHECK(votersOf(fleet) == others);
            CHECK(isCurrentLearner(fleet, id));
        });
    }
}

TEST_CASE(Membership, ASilentVoterStaysWithoutAReplacement)
{
    Fleet fleet({});
    CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
    const std::string lost = voterToLose(fleet, false);
    fleet.kill(fleet.host(lost));
    fleet.run(30000);
    const Names all{"c0", "c1", "c2"};
    CHECK(votersOf(fleet) == all);
    // It counts again as soon as it returns: another loss leaves a majority.
    fleet.start(fleet.host(lost));
    fleet.run(3000);
    fleet.kill(*fleet.leader());
    CHECK(waitForLeader(fleet));
}

/** A learner that held the log and then failed must not count as a replacement, also while nothing is committed that would show that it lags. */
TEST_CASE(Membership, ASilentVoterStaysWhileTheReplacementIsSilentToo)
{
    FleetOptions options;
    options.upstreams = 0;
    Fleet fleet(options);
    const Names all{"c0", "c1", "c2"};
    CHECK(waitForVoters(fleet, all, 10000));
    fleet.run(3000);
    const deployment::HostOptions hostOptions;
    const std::uint64_t lostMs = fleet.nowMs;
    fleet.kill(fleet.host(voterToLose(fleet, false)), true);
    addControlHost(fleet, "c3");
    CHECK(fleet.runUntil(
        [&] {
            return isCurrentLearner(fleet, "c3");
        },
        4000));
    fleet.run(300); // Its acknowledgement reaches the leader.
    fleet.kill(fleet.host("c3"));
    CHECK(fleet.nowMs + hostOptions.timing.electionMs < lostMs + hostOptions.replaceAfterMs); // It isn't needed before it counts as silent.
    for (std::uint64_t passed = 0; passed < 20000; passed += stepMs) {
        fleet.run(stepMs);
        CHECK(fleet.leader() != nullptr);
        const Names voters = votersOf(fleet);
        CHECK(voters.empty() || voters == all);
    }
    fleet.start(fleet.host("c3"));
    CHECK(waitForVoters(fleet, livingControlHosts(fleet), catchUpMs));
}

/** The loss of the new host, or the return of the lost one, at any moment of the replacement and of the removal. */
TEST_CASE(Membership, AnEventDuringTheReplacementLeavesAMajority)
{
    for (const std::uint64_t aboutMs : {deployment::HostOptions{}.replaceAfterMs, deployment::HostOptions{}.removeAfterMs}) {
        for (std::uint64_t eventMs = aboutMs - 500; eventMs < aboutMs + 1000; eventMs += 2 * stepMs) {
            for (const bool returns : {false, true}) {
                FleetOptions options;
                options.controlHosts = 4;
                Fleet fleet(options);
                CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
                fleet.run(3000);
                const std::string lost = voterToLose(fleet, false);
                fleet.kill(fleet.host(lost));
                fleet.run(eventMs);
                if (returns) {
                    fleet.start(fleet.host(lost));
                } else {
                    fleet.kill(fleet.host("c3"), true);
                }
                for (std::uint64_t passed = 0; passed < 4000; passed += stepMs) {
                    fleet.run(stepMs);
                    CHECK(fleet.leader() != nullptr);
                }
                CHECK(fleet.putPlan(1, 2, false));
                CHECK(votersOf(fleet).size() == 3 || !returns);
            }
        }
    }
}

TEST_CASE(Membership, FiveOfSixHostsVoteAfterALoss)
{
    FleetOptions options;
    options.controlHosts = 6;
    Fleet fleet(options);
    CHECK(fleet.runUntil(
        [&] {
            return votersOf(fleet).size() == 5;
        },
        10000));
    fleet.run(3000);
    fleet.kill(fleet.host(voterToLose(fleet, false)), true);
    for (std::uint64_t passed = 0; passed < 20000; passed += stepMs) {
        fleet.run(stepMs);
        CHECK(votersOf(fleet).empty() || livingVoters(fleet) >= 4);
    }
    CHECK(votersOf(fleet) == livingControlHosts(fleet));
    CHECK_EQUAL(std::size_t{5}, votersOf(fleet).size());
}

/** A group that had elected a leader stood still, and no log told that the leader lacked the commit of its first entry. */
TEST_CASE(Membership, AnElectedLeaderThatIsNotReadyIsReported)
{
    deployment::HostOptions options;
    options.host = "c0";
    options.control = true;
    deployment::Now now{10000, 10000};
    std::error_code error;
    deployment::Host host = deployment::makeHost(options, storage::foundingIncarnation, {}, 1, now, error);
    consensus::initialise(*host.node, deployment::foundingMembership({"c0", "c1"}), now.monotonicMs);
    deployment::HostOutput output;
    deployment::tick(host, now, output);
    host.node->role = consensus::Role::Leader;
    host.node->termStartIndex = 5;
    host.node->progress["c1"].nextIndex = 4;
    for (std::uint64_t passed = 0; passed < 2500; passed += stepMs) {
        host.node->nextRoundMs = now.monotonicMs + 1000;
        deployment::tick(host, now, output);
        now.monotonicMs += stepMs;
    }
    CHECK_EQUAL(std::size_t{2}, output.decisions.size());
    CHECK_TEXT("leader-not-ready", output.decisions[0].name);
    CHECK_TEXT("first=5 last=0 synced=0 commit=0 members=c1:0:4", output.decisions[0].detail);
}

/** Entries that a leader appends while it is cut off from its group are in the way of the next leader: there must be none once its lease is over. */
TEST_CASE(Membership, ALeaderWithoutItsLeaseAppendsNothing)
{
    Fleet fleet({});
    CHECK(waitForVoters(fleet, {"c0", "c1", "c2"}, 10000));
    fleet.run(3000);
    CHECK(fleet.putPlan(1, 2, false));
    std::vector<std::string> jobs;
    for (int i = 0; i < 40; ++i) {
        jobs.push_back("/0/j" + std::to_string(i));
        fleet.submit(jobs.back(), {makeStep(1, 500, 1000 + 100 * i)});
    }
    fleet.run(2000);
    const std::string cutOff = fleet.leader()->id;
    silence(fleet, cutOff, Silence::CutOff, 0);
    const consensus::Node &node = *fleet.host(cutOff).host->node;
    CHECK(fleet.runUntil(
        [&] {
            return !consensus::holdsLease(node, fleet.nowMs);
        },
        electionMs));
    CHECK(node.role == consensus::Role::Leader);
    const std::uint64_t last = consensus::lastIndex(node.log);
    fleet.run(5000);
    CHECK_EQUAL(last, consensus::lastIndex(node.log));
    endSilence(fleet, cutOff, Silence::CutOff);
    for (const std::string &path : jobs) {
        CHECK(fleet.runUntil(
            [&] {
                return fleet.phase(path) == job::Phase::Completed;
            },
            60000));
    }
    CHECK_TEXT("", violationsText(fleet));
}
