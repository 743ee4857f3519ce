#include "deployment/fleettesting.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{
using namespace rosemaryturn;
using fakes::Fleet;
using fakes::FleetOptions;
using fakes::makeStep;

/** What varies between schedules besides the faults. */
struct Variation
{
    fakes::UpstreamBehavior behavior;
    double busyShare = 0;
    double cutShare = 0;
    bool changesCapacities = false;
};

/** @param seed the seed of a schedule. @return its variation: upstreams act in any way that the protocol leaves open. */
Variation drawVariation(std::uint64_t seed)
{
    constexpr std::uint64_t longStopMs = 900;
    constexpr double refusedShare = 0.02;
    std::mt19937_64 random(~seed); // Other numbers than those that draw the schedule.
    const auto drawn = [&random] {
        return random() % 2 == 0;
    };
    Variation variation;
    fakes::UpstreamBehavior &behavior = variation.behavior;
    behavior.maxStopMs = drawn() ? longStopMs : behavior.maxStopMs;
    behavior.hidesStoppingRuns = drawn();
    behavior.forgetsAcknowledgedRuns = drawn();
    behavior.startsUnderAnyLease = drawn();
    behavior.startsHigherRuns = drawn();
    behavior.guardsCapacity = drawn();
    behavior.ticketsExpire = drawn();
    behavior.waitingPoll = static_cast<fakes::WaitingPoll>(random() % 3);
    variation.busyShare = drawn() ? refusedShare : 0;
    variation.cutShare = drawn() ? refusedShare : 0;
    variation.changesCapacities = drawn();
    return variation;
}

/** Injects one random fault. */
void injectFault(Fleet &fleet, std::mt19937_64 &random)
{
    fakes::FakeHost &control = fleet.hosts[random() % fleet.options.controlHosts];
    fakes::FakeUpstream &upstream = fleet.upstreams[random() % fleet.upstreams.size()];
    const bool allHostsUp = std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&fleet](const fakes::FakeHost &host) {
        return host.alive && host.partitionedFrom.empty() && fleet.nowMs >= host.suspendedUntilMs;
    });
    switch (random() % 6) {
    case 0:
        if (allHostsUp) {
            fleet.suspend(control, 500 + random() % 5000);
        }
        break;
    case 1:
        if (allHostsUp) {
            fleet.kill(control);
            fleet.run(500);
            fleet.start(control);
        }
        break;
    case 2:
        fleet.crash(upstream);
        fleet.run(random() % 2 == 0 ? 300 : 2500); // Shorter and longer than a poll's wait and timeout.
        fleet.restart(upstream);
        break;
    case 3:
        upstream.reachable = !upstream.reachable;
        break;
    case 4:
        fleet.setPartitioned(control.id, upstream.id, random() % 2 == 0);
        break;
    default:
        break;
    }
}

/** Injects one random fault of a courier. */
void injectCourierFault(Fleet &fleet, std::mt19937_64 &random)
{
    fakes::FakeHost &courier = fleet.hosts[fleet.options.controlHosts + random() % fleet.options.entryHosts];
    const std::string control = "c" + std::to_string(random() % fleet.options.controlHosts);
    switch (random() % 5) {
    case 0:
        fleet.suspend(courier, 500 + random() % 6000);
        break;
    case 1:
        fleet.kill(courier);
        fleet.run(300);
        fleet.start(courier);
        break;
    case 2:
        courier.draining = !courier.draining;
        break;
    case 3:
        fleet.setPartitioned(courier.id, control, random() % 2 == 0);
        break;
    default:
        break;
    }
}

/**
 * Runs a stream of jobs with random faults, during which the fleet checks the guarantees.
 * @param seed the seed. @param couriers whether entry hosts deliver the orders. @param variation of the upstreams. @return the violations; empty for none.
 */
std::string runSchedule(std::uint64_t seed, bool couriers, const Variation &variation)
{
    FleetOptions options;
    options.minUpstreamsForCouriers = couriers ? 1 : options.minUpstreamsForCouriers;
    options.entryHosts = couriers ? 4 : options.entryHosts;
    options.seed = seed;
    options.failShare = 0.03;
    options.allowedShare = 0.7;
    options.upstreamBehavior = variation.behavior;
    Fleet fleet(options);
    fleet.trace = std::getenv("ROSEMARYTURN_TRACE") != nullptr;
    std::mt19937_64 random(seed);
    waitUntilReady(fleet);
    CHECK(fleet.putPlan(2, 3, true));
    fleet.orderFaults.delayedShare = 0.04;
    fleet.orderFaults.lostShare = 0.02;
    fleet.orderFaults.busyShare = variation.busyShare;
    fleet.orderFaults.cutShare = variation.cutShare;
    int jobs = 0;
    for (int round = 0; round < 24; ++round) {
        for (int i = 0; i < 3; ++i) {
            const auto firstMs = static_cast<std::uint32_t>(300 + random() % 1500);
            const auto firstCpu = static_cast<std::uint32_t>(1000 + random() % 4000);
            wire::StepSpecT first = makeStep(1 + random() % 4, firstCpu, firstMs);
            first.gang = random() % 3 == 0;
            const auto secondMs = static_cast<std::uint32_t>(300 + random() % 700);
            const auto secondCpu = static_cast<std::uint32_t>(1000 + random() % 3000);
            wire::StepSpecT second = makeStep(1 + random() % 3, secondCpu, secondMs);
            second.after = {0};
            fleet.submit("/" + std::to_string(random() % 2) + "/j" + std::to_string(jobs++), {first, second});
            fleet.run(200);
        }
        injectFault(fleet, random);
        if (couriers) {
            injectCourierFault(fleet, random);
        }
        fleet.run(400);
    }
    fleet.orderFaults = {};
    for (fakes::FakeUpstream &upstream : fleet.upstreams) {
        upstream.reachable = true;
        for (fakes::FakeHost &host : fleet.hosts) {
            fleet.setPartitioned(host.id, upstream.id, false);
        }
    }
    for (fakes::FakeHost &host : fleet.hosts) {
        host.draining = false;
        for (std::uint32_t control = 0; control < options.controlHosts; ++control) {
            fleet.setPartitioned(host.id, "c" + std::to_string(control), false);
        }
    }
    fleet.run(25000);
    std::string text = violationsText(fleet);
    for (const auto &[number, job] : fleet.leader() == nullptr ? std::map<std::uint64_t, job::Job>{} : fleet.leader()->host->state.jobs) {
        if (!job::hasEnded(job.phase)) {
            text += "LOST job " + job.spec.id + " phase " + std::to_string(static_cast<int>(job.phase)) + "\n";
        }
    }
    return text;
}

/** A schedule of combined faults. */
struct MixedSchedule
{
    Fleet fleet;
    std::mt19937_64 random;
    std::multimap<std::uint64_t, std::function<void()>> later; ///< Actions by the time at which they are due.
    std::vector<std::string> paths; ///< Of the submitted jobs.
    std::map<std::string, std::vector<wire::StepSpecT>> steps; ///< Of the submitted jobs, by path.
    std::uint64_t controlFaultMs = 0; ///< Time at which the latest fault of a control host was over.
    std::uint64_t diskLostMs = 0; ///< Time at which the latest control host that lost its disk was back.
    std::mt19937_64 hazards; ///< For faults that were added later.
    std::mt19937_64 teams; ///< For the limits of teams.
    bool cancelsEarly = false; ///< Whether jobs are cancelled while their submission is on its way.
    std::mt19937_64 cancels; ///< For such cancellations.
};

/** @param schedule the schedule. @param count the number of values. @return a number below it. */
std::uint64_t draw(MixedSchedule &schedule, std::uint64_t count)
{
    return schedule.random() % count;
}

/** Advances the clock and runs the actions that fall due. @param schedule the schedule. @param ms the time. */
void advance(MixedSchedule &schedule, std::uint64_t ms)
{
    const std::uint64_t untilMs = schedule.fleet.nowMs + ms;
    while (!schedule.later.empty() && schedule.later.begin()->first <= untilMs) {
        const auto next = schedule.later.extract(schedule.later.begin());
        schedule.fleet.run(std::max(next.key(), schedule.fleet.nowMs) - schedule.fleet.nowMs);
        next.mapped()();
    }
    schedule.fleet.run(std::max(untilMs, schedule.fleet.nowMs) - schedule.fleet.nowMs);
}

/** Registers an action. @param schedule the schedule. @param ms the delay. @param action the action. */
void runLater(MixedSchedule &schedule, std::uint64_t ms, std::function<void()> action)
{
    schedule.later.emplace(schedule.fleet.nowMs + ms, std::move(action));
}

fakes::FakeUpstream &drawUpstream(MixedSchedule &schedule)
{
    return schedule.fleet.upstreams[draw(schedule, schedule.fleet.upstreams.size())];
}

fakes::FakeHost &drawControlHost(MixedSchedule &schedule)
{
    return schedule.fleet.hosts[draw(schedule, schedule.fleet.options.controlHosts)];
}

/** @param schedule the schedule. @param path of a job. @return the team that submits it; empty in a schedule without teams. */
std::string teamOf(const MixedSchedule &schedule, const std::string &path)
{
    const std::vector<wire::TeamSpecT> &teams = schedule.fleet.teams;
    const std::size_t job = std::hash<std::string>{}(path);
    return teams.empty() ? std::string() : teams[job % teams.size()].name;
}

/** @param schedule the schedule. @return whether a control host that lost its disk has caught up since. */
bool controlMayFail(const MixedSchedule &schedule)
{
    constexpr std::uint64_t catchUpMs = 4000;
    return schedule.diskLostMs == 0 || schedule.fleet.nowMs > schedule.diskLostMs + catchUpMs;
}

void noteControlFault(MixedSchedule &schedule, std::uint64_t ms)
{
    schedule.controlFaultMs = std::max(schedule.controlFaultMs, schedule.fleet.nowMs + ms);
}

void startIfDead(MixedSchedule &schedule, fakes::FakeHost &host)
{
    if (!host.alive) {
        schedule.fleet.start(host);
    }
}

/** Suspends or kills a host, which comes back. */
void disruptHost(MixedSchedule &schedule, fakes::FakeHost &host)
{
    if (!host.alive) {
        return;
    }
    const bool kills = draw(schedule, 2) == 0;
    const std::uint64_t ms = kills ? 100 + draw(schedule, 1500) : 100 + draw(schedule, draw(schedule, 2) == 0 ? 1200 : 7000);
    if (host.control) {
        noteControlFault(schedule, ms);
    }
    if (kills) {
        schedule.fleet.kill(host);
        runLater(schedule, ms, [&schedule, &host] {
            startIfDead(schedule, host);
        });
    } else {
        schedule.fleet.suspend(host, ms);
    }
}

/** @return an entry host that runs, drawn from the numbers for cancellations; null if the one drawn doesn't. */
fakes::FakeHost *drawEntryHost(MixedSchedule &schedule)
{
    const FleetOptions &options = schedule.fleet.options;
    fakes::FakeHost &host = schedule.fleet.hosts[options.controlHosts + schedule.cancels() % options.entryHosts];
    return host.alive ? &host : nullptr;
}

/** Cancels a job, again as long as there is no answer that says that it is cancelled or unknown. */
void sendCancel(MixedSchedule &schedule, const std::string &path, int tries)
{
    constexpr std::uint64_t retryMs = 1000;
    fakes::FakeHost *through = drawEntryHost(schedule);
    const deployment::Token token = through == nullptr ? 0 : schedule.fleet.sendRequest(wire::Operation::JobCancel, path, through);
    runLater(schedule, retryMs, [&schedule, path, tries, token] {
        const fakes::FakeAnswer &answer = schedule.fleet.answer(token);
        const auto reason = static_cast<model::Reason>(answer.reply.error);
        if (tries > 1 && !(answer.answered && (reason == model::Reason::None || reason == model::Reason::UnknownJob))) {
            sendCancel(schedule, path, tries - 1);
        }
    });
}

/** Cancels some jobs that are about to be submitted: before the submission, or while it is being forwarded, proposed, committed or repeated. At times the
 * leader is disrupted between the two. */
void cancelEarly(MixedSchedule &schedule, const std::string &path)
{
    constexpr int tries = 10;
    constexpr std::array<std::uint64_t, 4> maxDelayMs = {1, 100, 300, 4000}; // A round trip through both hops takes 120 ms.
    if (!schedule.cancelsEarly || schedule.cancels() % 3 != 0) {
        return;
    }
    const std::uint64_t delayMs = schedule.cancels() % maxDelayMs[schedule.cancels() % maxDelayMs.size()];
    if (delayMs == 0 && schedule.cancels() % 2 == 0) {
        sendCancel(schedule, path, tries);
    } else {
        runLater(schedule, delayMs, [&schedule, path] {
            sendCancel(schedule, path, tries);
        });
    }
    if (schedule.cancels() % 4 == 0) {
        runLater(schedule, schedule.cancels() % 150, [&schedule] {
            fakes::FakeHost *leader = schedule.fleet.leader();
            if (leader != nullptr && controlMayFail(schedule)) {
                disruptHost(schedule, *leader);
            }
        });
    }
    if (schedule.cancels() % 2 == 0) {
        runLater(schedule, schedule.cancels() % 12000, [&schedule, path] {
            if (fakes::FakeHost *through = drawEntryHost(schedule)) {
                schedule.fleet.submit(path, schedule.steps.at(path), teamOf(schedule, path), through);
            }
        });
    }
}

/** Submits a job of one to three steps. */
void submitMixedJob(MixedSchedule &schedule)
{
    constexpr std::uint64_t upstreamCpu = 16000;
    std::vector<wire::StepSpecT> steps;
    const std::uint64_t stepCount = 1 + draw(schedule, 3);
    for (std::uint64_t i = 0; i < stepCount; ++i) {
        const bool gang = draw(schedule, 3) == 0;
        const std::uint64_t count = gang ? 2 + draw(schedule, 7) : 1 + draw(schedule, 5);
        const std::uint64_t maxCpu = gang ? upstreamCpu / count : 4000; // Each gang fits on one upstream.
        const std::uint64_t cpu = 500 + draw(schedule, std::min<std::uint64_t>(maxCpu, 4000) - 499);
        const std::uint64_t ms = draw(schedule, 4) == 0 ? 2000 + draw(schedule, 4000) : 50 + draw(schedule, 1500);
        wire::StepSpecT step = makeStep(static_cast<std::uint32_t>(count), static_cast<std::uint32_t>(cpu), static_cast<std::uint32_t>(ms));
        step.gang = gang;
        if (i > 0) {
            step.after = {static_cast<std::uint32_t>(draw(schedule, i))};
        }
        steps.push_back(step);
    }
    const std::string path = "/" + std::to_string(draw(schedule, 2)) + "/j" + std::to_string(schedule.paths.size());
    schedule.paths.push_back(path);
    schedule.steps[path] = steps;
    cancelEarly(schedule, path);
    schedule.fleet.submit(path, steps, teamOf(schedule, path));
    if (draw(schedule, 4) == 0) { // A caller without an answer repeats its request, and a request may arrive twice.
        runLater(schedule, 200 + draw(schedule, 8000), [&schedule, path] {
            schedule.fleet.submit(path, schedule.steps.at(path), teamOf(schedule, path));
        });
    }
}

/** Submits jobs, at times many at once, and cancels some. */
void callMixedJobs(MixedSchedule &schedule)
{
    constexpr std::uint64_t burst = 8;
    const std::uint64_t jobs = draw(schedule, 10) == 0 ? burst : draw(schedule, 4);
    for (std::uint64_t i = 0; i < jobs; ++i) {
        submitMixedJob(schedule);
    }
    if (!schedule.paths.empty() && draw(schedule, 5) == 0) {
        const std::uint64_t recent = std::min<std::uint64_t>(schedule.paths.size(), 6);
        schedule.fleet.sendRequest(wire::Operation::JobCancel, schedule.paths[schedule.paths.size() - 1 - draw(schedule, recent)]);
    }
}

/** Kills upstreams, which come back under their id after a short or a long time. */
void restartUpstreams(MixedSchedule &schedule)
{
    const std::uint64_t count = draw(schedule, 3) == 0 ? 2 + draw(schedule, 4) : 1;
    for (std::uint64_t i = 0; i < count; ++i) {
        fakes::FakeUpstream &upstream = drawUpstream(schedule);
        const std::uint64_t ms = draw(schedule, 2) == 0 ? 20 + draw(schedule, 180) : 300 + draw(schedule, 3000);
        schedule.fleet.crash(upstream);
        runLater(schedule, ms, [&schedule, &upstream] {
            if (!upstream.alive) {
                schedule.fleet.restart(upstream);
            }
        });
    }
}

/** Kills an upstream; another one takes its address. */
void replaceUpstream(MixedSchedule &schedule)
{
    fakes::FakeUpstream &upstream = drawUpstream(schedule);
    schedule.fleet.crash(upstream);
    runLater(schedule, 20 + draw(schedule, 3000), [&schedule, &upstream] {
        if (!upstream.alive) {
            schedule.fleet.replace(upstream);
        }
    });
}

/** Drains an upstream, which leaves and comes back under its id or another one. */
void drainUpstream(MixedSchedule &schedule)
{
    constexpr std::uint64_t drainMs = 3000;
    fakes::FakeUpstream &upstream = drawUpstream(schedule);
    if (!upstream.alive || upstream.draining) {
        return;
    }
    upstream.draining = true;
    const std::uint64_t leavesMs = drainMs + draw(schedule, 5000);
    const std::uint64_t backMs = leavesMs + 50 + draw(schedule, 3000);
    const bool keepsId = draw(schedule, 2) == 0;
    runLater(schedule, leavesMs, [&schedule, &upstream, incarnation = upstream.incarnation] {
        if (upstream.alive && upstream.incarnation == incarnation) {
            schedule.fleet.leave(upstream);
        }
    });
    runLater(schedule, backMs, [&schedule, &upstream, keepsId] {
        if (upstream.alive) {
            return;
        }
        if (keepsId) {
            upstream.draining = false;
            schedule.fleet.restart(upstream);
        } else {
            schedule.fleet.replace(upstream);
        }
    });
}

/** Cuts an upstream off in one direction or both, for a time shorter or longer than its lease. */
void cutUpstream(MixedSchedule &schedule)
{
    fakes::FakeUpstream &upstream = drawUpstream(schedule);
    const std::uint64_t kind = draw(schedule, 4);
    const std::uint64_t ms = 200 + draw(schedule, draw(schedule, 2) == 0 ? 3000 : 15000);
    upstream.reachable = kind != 0;
    upstream.receivesOrders = kind != 1;
    upstream.sendsHeartbeats = kind != 2;
    if (kind == 3) {
        for (std::uint32_t i = 0; i < schedule.fleet.options.controlHosts; ++i) {
            schedule.fleet.setPartitioned("c" + std::to_string(i), upstream.id, true);
        }
    }
    runLater(schedule, ms, [&schedule, &upstream, id = upstream.id] {
        upstream.reachable = upstream.receivesOrders = upstream.sendsHeartbeats = true;
        for (const fakes::FakeHost &host : schedule.fleet.hosts) {
            schedule.fleet.setPartitioned(host.id, id, false);
        }
    });
}

/** Cuts one link between a host and an upstream. */
void cutLink(MixedSchedule &schedule)
{
    fakes::FakeHost &host = schedule.fleet.hosts[draw(schedule, schedule.fleet.hosts.size())];
    const std::string upstream = drawUpstream(schedule).id;
    schedule.fleet.setPartitioned(host.id, upstream, true);
    runLater(schedule, 200 + draw(schedule, 8000), [&schedule, &host, upstream] {
        schedule.fleet.setPartitioned(host.id, upstream, false);
    });
}

void disruptControlHost(MixedSchedule &schedule)
{
    if (controlMayFail(schedule)) {
        disruptHost(schedule, drawControlHost(schedule));
    }
}

void disruptEntryHost(MixedSchedule &schedule)
{
    const fakes::FleetOptions &options = schedule.fleet.options;
    fakes::FakeHost &host = schedule.fleet.hosts[options.controlHosts + draw(schedule, options.entryHosts)];
    if (draw(schedule, 4) == 0) {
        host.draining = !host.draining;
    } else {
        disruptHost(schedule, host);
    }
}

/** Disrupts the leader right after it has sent a start or an acknowledgement, or an upstream has listed an end. */
void disruptLeaderAfterStep(MixedSchedule &schedule)
{
    constexpr std::uint64_t stepMs = 5;
    constexpr std::uint64_t maxWaitMs = 1000;
    if (!controlMayFail(schedule)) {
        return;
    }
    const Fleet &fleet = schedule.fleet;
    const std::uint64_t kind = draw(schedule, 3);
    const auto count = [&fleet, kind] {
        return kind == 0 ? fleet.startsSent : kind == 1 ? fleet.acknowledgementsSent : fleet.doneEndsListed;
    };
    const std::uint64_t before = count();
    for (std::uint64_t passedMs = 0; passedMs < maxWaitMs && count() == before; passedMs += stepMs) {
        advance(schedule, stepMs);
    }
    advance(schedule, draw(schedule, 12) * stepMs);
    if (fakes::FakeHost *leader = schedule.fleet.leader()) {
        disruptHost(schedule, *leader);
    }
}

/** Disrupts one leader after another within a lease. */
void failOverRepeatedly(MixedSchedule &schedule)
{
    if (!controlMayFail(schedule)) {
        return;
    }
    const std::uint64_t count = 2 + draw(schedule, 3);
    for (std::uint64_t i = 0; i < count; ++i) {
        if (fakes::FakeHost *leader = schedule.fleet.leader()) {
            disruptHost(schedule, *leader);
        }
        advance(schedule, 200 + draw(schedule, 2000));
    }
}

/** Kills all control hosts, which are back within a second. */
void killAllControlHosts(MixedSchedule &schedule)
{
    if (!controlMayFail(schedule)) {
        return;
    }
    for (std::uint32_t i = 0; i < schedule.fleet.options.controlHosts; ++i) {
        fakes::FakeHost &host = schedule.fleet.hosts[i];
        if (host.alive) {
            schedule.fleet.kill(host);
        }
        const std::uint64_t ms = 100 + draw(schedule, 800);
        noteControlFault(schedule, ms);
        runLater(schedule, ms, [&schedule, &host] {
            startIfDead(schedule, host);
        });
    }
}

/** Partitions a control host from other hosts. */
void partitionControlHost(MixedSchedule &schedule)
{
    if (!controlMayFail(schedule)) {
        return;
    }
    fakes::FakeHost &host = drawControlHost(schedule);
    const std::uint64_t ms = 100 + draw(schedule, 4000);
    const bool control = draw(schedule, 2) == 0;
    noteControlFault(schedule, control ? ms : 0);
    for (fakes::FakeHost &other : schedule.fleet.hosts) {
        const bool cut = control ? other.control : draw(schedule, 2) == 0 && !other.control;
        if (other.id == host.id || !cut) {
            continue;
        }
        schedule.fleet.setPartitioned(host.id, other.id, true);
        runLater(schedule, ms, [&schedule, &host, &other] {
            schedule.fleet.setPartitioned(host.id, other.id, false);
        });
    }
}

/** A control host loses its disk while no other one has a fault, and for the time to catch up before and after. */
void loseDisk(MixedSchedule &schedule)
{
    constexpr std::uint64_t catchUpMs = 4000;
    if (!controlMayFail(schedule) || schedule.fleet.nowMs <= schedule.controlFaultMs + catchUpMs || schedule.fleet.leader() == nullptr) {
        return;
    }
    fakes::FakeHost &host = drawControlHost(schedule);
    schedule.fleet.kill(host, true);
    const std::uint64_t ms = 100 + draw(schedule, 2000);
    schedule.diskLostMs = schedule.fleet.nowMs + ms;
    noteControlFault(schedule, ms);
    runLater(schedule, ms, [&schedule, &host] {
        startIfDead(schedule, host);
    });
}

/** Faults of a mixed schedule; those listed twice are drawn more often. */
constexpr std::array<void (*)(MixedSchedule &), 14> mixedFaults = {restartUpstreams,
                                                                   restartUpstreams,
                                                                   replaceUpstream,
                                                                   drainUpstream,
                                                                   cutUpstream,
                                                                   cutUpstream,
                                                                   cutLink,
                                                                   disruptControlHost,
                                                                   disruptEntryHost,
                                                                   disruptLeaderAfterStep,
                                                                   disruptLeaderAfterStep,
                                                                   failOverRepeatedly,
                                                                   partitionControlHost,
                                                                   loseDisk};

/** The disk of a control host completes no writes for a while. */
void stallDisk(MixedSchedule &schedule)
{
    fakes::FakeHost &host = schedule.fleet.hosts[schedule.hazards() % schedule.fleet.options.controlHosts];
    const std::uint64_t ms = 50 + schedule.hazards() % 4000;
    host.diskStalledUntilMs = schedule.fleet.nowMs + ms;
    noteControlFault(schedule, ms);
}

/** @param schedule the schedule. @param maxMs the maximum. @return a difference of a wall clock from true time, behind or ahead. */
std::int64_t drawClockDifference(MixedSchedule &schedule, std::int64_t maxMs)
{
    return static_cast<std::int64_t>(schedule.hazards() % static_cast<std::uint64_t>(2 * maxMs)) - maxMs;
}

/** Sets the wall clock of a host, at times far from true time. */
void setHostClock(MixedSchedule &schedule)
{
    constexpr std::int64_t shortMs = 3000;
    constexpr std::int64_t longMs = 1000000;
    fakes::FakeHost &host = schedule.fleet.hosts[schedule.hazards() % schedule.fleet.hosts.size()];
    host.wallAheadMs = drawClockDifference(schedule, schedule.hazards() % 3 == 0 ? longMs : shortMs);
}

/** Sets the wall clock of an upstream's machine, by which its next process tells its start. */
void setUpstreamClock(MixedSchedule &schedule)
{
    constexpr std::int64_t maxMs = 5000;
    schedule.fleet.upstreams[schedule.hazards() % schedule.fleet.upstreams.size()].wallAheadMs = drawClockDifference(schedule, maxMs);
}

/** Faults of disks and clocks. */
constexpr std::array<void (*)(MixedSchedule &), 3> hazardFaults = {stallDisk, setHostClock, setUpstreamClock};

/** Changes the capacity of an upstream, in some rounds. @param fleet the deployment. @param random the source of random numbers. */
void changeCapacity(Fleet &fleet, std::mt19937_64 &random)
{
    constexpr std::uint32_t partMillis = 4000;
    constexpr std::uint64_t interval = 4;
    if (random() % interval != 0) {
        return;
    }
    fakes::FakeUpstream &upstream = fleet.upstreams[random() % fleet.upstreams.size()];
    const auto parts = static_cast<std::uint32_t>(1 + random() % (fleet.options.cpuMillis / partMillis));
    fleet.setCapacity(upstream, {parts * partMillis, fleet.options.memoryMb});
}

/** Changes the limits of teams, up and down; those of the last team stay unlimited. @param schedule the schedule. */
void drawTeamLimits(MixedSchedule &schedule)
{
    constexpr std::array<std::uint64_t, 4> cpuLimits = {5000, 9000, 16000, 40000}; // The widest gangs need 16000, the widest tasks 4000.
    constexpr std::array<std::uint64_t, 3> memoryLimits = {0, 500, 2000};
    std::vector<wire::TeamSpecT> &teams = schedule.fleet.teams;
    for (std::size_t i = 0; i + 1 < teams.size(); ++i) {
        teams[i].limitCpuMillis = cpuLimits[schedule.teams() % cpuLimits.size()];
        teams[i].limitMemoryMb = memoryLimits[schedule.teams() % memoryLimits.size()];
    }
}

/** Adds teams to the next plan. */
void addTeams(MixedSchedule &schedule, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        schedule.fleet.teams.emplace_back().name = "t" + std::to_string(i);
        schedule.fleet.teams.back().weight = 1;
    }
    drawTeamLimits(schedule);
}

/** Changes the limits of teams, or disrupts the leader while placements of it are being recorded, or neither. */
void disturbTeams(MixedSchedule &schedule, bool advised)
{
    constexpr std::uint64_t stepMs = 2;
    constexpr std::uint64_t maxWaitMs = 600;
    if (schedule.fleet.teams.empty()) {
        return;
    }
    const std::uint64_t kind = schedule.teams() % 4;
    if (kind < 2) {
        drawTeamLimits(schedule);
        schedule.fleet.sendPlan(2, 3, advised);
    } else if (kind == 2 && controlMayFail(schedule)) {
        const auto records = [&schedule] {
            const fakes::FakeHost *leader = schedule.fleet.leader();
            return leader != nullptr && std::any_of(leader->host->leader.upstreams.begin(), leader->host->leader.upstreams.end(), [](const auto &entry) {
                       return std::any_of(entry.second.runs.begin(), entry.second.runs.end(), [](const auto &run) {
                           return run.second.phase == upstream::RunPhase::Recording;
                       });
                   });
        };
        for (std::uint64_t passedMs = 0; passedMs < maxWaitMs && !records(); passedMs += stepMs) {
            advance(schedule, stepMs);
        }
        advance(schedule, schedule.teams() % 40 * stepMs);
        if (fakes::FakeHost *leader = schedule.fleet.leader()) {
            disruptHost(schedule, *leader);
        }
    }
}

/** Raises the limits so far that each accepted job can end. */
void raiseTeamLimits(MixedSchedule &schedule, bool advised)
{
    if (schedule.fleet.teams.empty()) {
        return;
    }
    for (wire::TeamSpecT &team : schedule.fleet.teams) {
        team.limitCpuMillis = 0;
        team.limitMemoryMb = 0;
    }
    schedule.fleet.reconnectHosts(); // An entry host whose connection was lost in a partition would never find the leader.
    // The hosts have just been started: there may be no leader yet, in which case the operator sends the plan again.
    constexpr int tries = 3;
    bool accepted = false;
    for (int i = 0; i < tries && !accepted; ++i) {
        accepted = schedule.fleet.putPlan(2, 3, advised);
    }
    CHECK(accepted);
}

/** Ends all faults. */
void heal(MixedSchedule &schedule)
{
    Fleet &fleet = schedule.fleet;
    constexpr std::uint64_t longestFaultMs = 16000;
    fleet.orderFaults = {};
    advance(schedule, longestFaultMs); // The actions that end the faults are due by then.
    for (fakes::FakeHost &host : fleet.hosts) {
        startIfDead(schedule, host);
        host.draining = false;
        host.partitionedFrom.clear();
    }
    for (fakes::FakeUpstream &upstream : fleet.upstreams) {
        upstream.reachable = upstream.receivesOrders = upstream.sendsHeartbeats = true;
        upstream.draining = false;
        fleet.setCapacity(upstream, {fleet.options.cpuMillis, fleet.options.memoryMb});
        if (!upstream.alive) {
            fleet.restart(upstream);
        }
    }
}

/**
 * Runs a stream of jobs with combined faults, during which the fleet checks the guarantees.
 * @param seed the seed. @param variation of the upstreams. @param hazards whether disks, clocks and the senders of heartbeats have faults too.
 * @param teams the number of teams; with teams, their limits change meanwhile. @param cancelsEarly whether jobs are cancelled while their submission is on its
 * way.
 * @return the violations; empty for none.
 */
std::string runMixedSchedule(std::uint64_t seed, const Variation &variation, bool hazards, std::uint32_t teams = 0, bool cancelsEarly = false)
{
    FleetOptions options;
    const bool couriers = seed % 2 == 0;
    options.minUpstreamsForCouriers = couriers ? 1 : options.minUpstreamsForCouriers;
    options.entryHosts = couriers ? 4 : options.entryHosts;
    options.seed = seed;
    options.failShare = 0.06;
    options.allowedShare = 0.85;
    options.crashesBreakGangs = true;
    options.upstreamBehavior = variation.behavior;
    MixedSchedule schedule{Fleet(options), std::mt19937_64(seed), {}, {}, {}, 0, 0, std::mt19937_64(seed), std::mt19937_64(seed), false, {}};
    schedule.cancelsEarly = cancelsEarly;
    schedule.cancels.seed(seed);
    Fleet &fleet = schedule.fleet;
    addTeams(schedule, teams);
    fleet.trace = std::getenv("ROSEMARYTURN_TRACE") != nullptr;
    waitUntilReady(fleet);
    const bool advised = draw(schedule, 2) == 0;
    CHECK(fleet.putPlan(2, 3, advised));
    fleet.orderFaults.delayedShare = 0.04;
    fleet.orderFaults.lostShare = 0.02;
    fleet.orderFaults.unansweredShare = 0.03;
    fleet.orderFaults.slowShare = 0.1;
    fleet.orderFaults.delayedReportShare = 0.03;
    fleet.orderFaults.busyShare = variation.busyShare;
    fleet.orderFaults.cutShare = variation.cutShare;
    fleet.hostFaults.maxHeldMs = 1500;
    fleet.hostFaults.keepsUnsyncedWrites = hazards;
    fleet.orderFaults.strangeReportShare = hazards ? 0.1 : 0;
    std::mt19937_64 capacityRandom(~seed);
    for (int round = 0; round < 30; ++round) {
        callMixedJobs(schedule);
        if (variation.changesCapacities) {
            changeCapacity(fleet, capacityRandom);
        }
        advance(schedule, draw(schedule, 300));
        const std::uint64_t faults = draw(schedule, 4);
        for (std::uint64_t i = 0; i < faults; ++i) {
            mixedFaults[draw(schedule, mixedFaults.size())](schedule);
            advance(schedule, draw(schedule, 200));
        }
        if (draw(schedule, 40) == 0) {
            killAllControlHosts(schedule);
        }
        if (hazards && schedule.hazards() % 2 == 0) {
            hazardFaults[schedule.hazards() % hazardFaults.size()](schedule);
        }
        disturbTeams(schedule, advised);
        advance(schedule, 100 + draw(schedule, 700));
    }
    heal(schedule);
    raiseTeamLimits(schedule, advised);
    constexpr std::uint64_t drainBacklogMs = 40000;
    fleet.run(drainBacklogMs);
    fleet.checkFailedJobs();
    std::string text = violationsText(fleet);
    for (const auto &[number, job] : fleet.leader() == nullptr ? std::map<std::uint64_t, job::Job>{} : fleet.leader()->host->state.jobs) {
        if (!job::hasEnded(job.phase)) {
            text += "LOST job " + job.spec.id + " phase " + std::to_string(static_cast<int>(job.phase)) + "\n";
        }
    }
    for (const fakes::FakeUpstream &upstream : fleet.upstreams) {
        for (const auto &[name, run] : upstream.runs) {
            text += "UNASKED " + name + " still runs on " + upstream.id + "\n";
        }
    }
    return text;
}

/** Runs schedules by their seeds. @param run runs one and returns its violations. */
void runSchedules(const std::function<std::string(std::uint64_t)> &run)
{
    const char *limit = std::getenv("ROSEMARYTURN_SCHEDULES"); // For manual runs of more schedules than in CI.
    const std::uint64_t count = limit == nullptr ? 12 : std::strtoull(limit, nullptr, 10);
    const char *firstSeed = std::getenv("ROSEMARYTURN_SEED"); // For manual runs: the first seed.
    for (std::uint64_t seed = firstSeed == nullptr ? 1 : std::strtoull(firstSeed, nullptr, 10); seed <= count; ++seed) {
        const std::string violations = run(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violations);
    }
}
}

/** Seeds that failed before, of schedules without couriers and with them. */
TEST_CASE(Deployment, SchedulesThatFailedBeforeKeepThePromises)
{
    for (const std::uint64_t seed : {266, 307, 331, 407, 512, 855, 1974, 5470}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), runSchedule(seed, false, {}));
    }
    for (const std::uint64_t seed : {29, 4281}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " with couriers", std::string(), runSchedule(seed, true, {}));
    }
    for (const std::uint64_t seed : {1266, 1373, 1884, 2142, 4428, 9923, 600077, 600084}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " of combined faults", std::string(), runMixedSchedule(seed, {}, false));
    }
}

TEST_CASE(Deployment, RandomSchedulesKeepThePromises)
{
    runSchedules([](std::uint64_t seed) {
        return runSchedule(seed, false, drawVariation(seed));
    });
}

TEST_CASE(Deployment, RandomSchedulesWithCouriersKeepThePromises)
{
    runSchedules([](std::uint64_t seed) {
        return runSchedule(seed, true, drawVariation(seed));
    });
}

TEST_CASE(Deployment, MixedSchedulesKeepThePromises)
{
    runSchedules([](std::uint64_t seed) {
        return runMixedSchedule(seed, drawVariation(seed), false);
    });
}

TEST_CASE(Deployment, MixedSchedulesWithTeamsKeepThePromisesAndTheLimits)
{
    runSchedules([](std::uint64_t seed) {
        return runMixedSchedule(seed, drawVariation(seed), seed % 3 == 0, 4);
    });
}

TEST_CASE(Deployment, MixedSchedulesWithFaultyDisksClocksAndHeartbeatsKeepThePromises)
{
    runSchedules([](std::uint64_t seed) {
        return runMixedSchedule(seed, drawVariation(seed), true);
    });
}

/** Jobs ran after their cancellation was answered; no schedule cancelled a job whose submission was on its way. */
TEST_CASE(Deployment, MixedSchedulesWithEarlyCancelsKeepThePromises)
{
    runSchedules([](std::uint64_t seed) {
        return runMixedSchedule(seed, drawVariation(seed), seed % 3 == 0, seed % 4 == 0 ? 4 : 0, true);
    });
}
