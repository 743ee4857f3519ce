#include "deployment/leader.h"
#include "job/footprint.h"
#include "model/key.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace rosemaryturn::deployment::internal
{
namespace
{
using upstream::Run;
using upstream::RunPhase;
using upstream::UpstreamState;

/** Interval of polls of an upstream that doesn't reply. */
constexpr std::uint64_t silentPollMs = 500;
/** Interval of polls while a run that was started isn't listed yet, so that the ends can't be acknowledged. */
constexpr std::uint64_t unlocatedPollMs = 60;
/** Grace period after the end of its lease before the runs of an upstream that still sends heartbeats are lost: its lists may yet show their state. */
constexpr std::uint64_t responsiveGraceMs = 4000;
/** Maximum number of ends in an upstream's list; a list of this length may be incomplete. */
constexpr std::size_t maxListedEnds = 500;
/** Age of the clock sample from which that of a heartbeat replaces it. */
constexpr std::uint64_t staleClockMs = 3000;

void applyRegistration(UpstreamState &upstreamState, const wire::UpstreamSeenT &seen, const Now &now)
{
    const std::uint32_t number = upstreamState.registration.number;
    const std::uint32_t fenceStep = upstreamState.registration.fenceStep;
    if (seen.draining && upstreamState.drainingSinceMs == 0) {
        upstreamState.drainingSinceMs = now.monotonicMs;
    }
    upstreamState.registration = seen;
    upstreamState.registration.number = number;
    upstreamState.registration.fenceStep = fenceStep;
    upstreamState.capacity = {seen.cpuMillis, seen.memoryMb, seen.accelerators, 0};
}

void proposeRegistration(const UpstreamState &upstreamState, LeaderOutput &output)
{
    output.proposals.push_back(wire::encodeChange(upstreamState.registration));
}

/** @return whether a start of a run that isn't known to have ended may still be carried out: the only one, if it had no answer, or an earlier copy. */
bool mayStartLate(const Run &run)
{
    return run.startsSent > 1 || (run.startsSent == 1 && !run.located && run.startedAtMs == 0);
}

/** Raises the fence, so that the upstream refuses all earlier calls. No call is sent until it is committed. */
void raiseFence(UpstreamState &upstreamState, LeaderOutput &output)
{
    ++upstreamState.registration.fenceStep;
    upstreamState.listsRead = false;
    proposeRegistration(upstreamState, output);
}

/** Handles a new process under the same id: the runs of the earlier one have ended, but a delayed start may still be carried out by the new one. */
void applyNewIncarnation(Leader &leader, UpstreamState &upstreamState, const wire::UpstreamSeenT &seen, const Now &now, LeaderOutput &output)
{
    output.decisions.push_back(
        {"upstream-reborn", seen.id, "born=" + std::to_string(seen.born) + " before=" + std::to_string(upstreamState.registration.born)});
    reportCrash(leader, upstreamState, true, now, output);
    upstreamState.drainingSinceMs = 0;
    upstreamState.sequence = 0;
    applyRegistration(upstreamState, seen, now);
    upstream::includeEarlierCalls(upstreamState);
    upstreamState.clock = {};
    upstreamState.shapeKnown = false;
    upstreamState.shapeMs = upstreamState.shapeClockMs = 0;
    upstreamState.recordedEnd = upstreamState.proposedEnd = upstreamState.acknowledgedEnd = 0;
    upstreamState.confirmedMs = 0;
    upstreamState.silent = false;
    upstreamState.gone = false;
    upstreamState.pollPending = false;
    upstreamState.acknowledgementPending = false;
    upstreamState.nextPollMs = now.monotonicMs;
    for (auto &[task, run] : upstreamState.runs) {
        if (run.phase != RunPhase::Recording) {
            run.phase = RunPhase::Voiding;
            run.located = false;
            run.stopAnswered = false;
            run.orderPending = false;
        }
    }
    leader.placementNeeded = true;
    raiseFence(upstreamState, output); // The new process refuses calls to the earlier one that are carried out late.
}

/** Logs a run that is ended without an end listed by its upstream, with the evidence for it. @param cause the reason. */
void reportUnlistedEnd(const UpstreamState &upstreamState, const Run &run, const char *cause, LeaderOutput &output)
{
    output.decisions.push_back({"run-lost",
                                upstreamState.registration.id,
                                "job=" + std::to_string(run.task.job) + " step=" + std::to_string(run.task.step) + " index=" + std::to_string(run.task.index)
                                    + " run=" + std::to_string(run.number) + " cause=" + cause + " phase=" + std::to_string(static_cast<int>(run.phase))
                                    + " located=" + std::to_string(static_cast<int>(run.located)) + " starts=" + std::to_string(run.startsSent)});
}

/**
 * Marks the runs of an upstream as lost, except those without a start.
 * @param leader the leader state. @param upstreamState the upstream state. @param isOver decides whether a run is over. @param cause the reason, for the log.
 * @param now the current time. @param output receives the effects.
 * @return the number of lost runs.
 */
std::size_t markRunsLost(Leader &leader, UpstreamState &upstreamState, const std::function<bool(const Run &)> &isOver, const char *cause, const Now &now,
                         LeaderOutput &output)
{
    wire::RunsEndedT record;
    std::vector<job::TaskRef> endedTasks;
    bool lateStarts = false;
    for (const auto &[task, run] : upstreamState.runs) {
        if (run.phase != RunPhase::Recording && isOver(run)) {
            reportUnlistedEnd(upstreamState, run, cause, output);
            proposeEnd(run, wire::RunEnd::Lost, run.checkpoint, record);
            endedTasks.push_back(task);
            lateStarts = lateStarts || mayStartLate(run);
        }
    }
    if (lateStarts && !upstreamState.gone) {
        raiseFence(upstreamState, output); // A start may still be carried out once the lease is renewed.
    }
    for (const job::TaskRef &task : endedTasks) {
        releaseRun(leader, upstreamState, task);
    }
    leader.counters.runsLost += endedTasks.size();
    proposeEnds(std::move(record), now, output);
    return endedTasks.size();
}

/**
 * Handles the end of an upstream's process after another one took its address: its runs are lost. A run that no list showed is stopped until a call that was
 * sent long enough after its start finds the other upstream, since the process may have come back.
 * @param leader the leader state. @param upstreamState the upstream state. @param cause for the log. @param sentMs time at which the call was sent that found
 * the other upstream. @param now the current time. @param output receives the effects.
 */
void endIncarnation(Leader &leader, UpstreamState &upstreamState, const char *cause, std::uint64_t sentMs, const Now &now, LeaderOutput &output)
{
    if (upstreamState.gone && upstreamState.runs.empty()) {
        return;
    }
    output.decisions.push_back(
        {"upstream-gone", upstreamState.registration.id, std::string("cause=") + cause + " runs=" + std::to_string(upstreamState.runs.size())});
    upstreamState.gone = true;
    upstreamState.listsRead = false;
    reportCrash(leader, upstreamState, false, now, output); // Before the ends, so that the tasks are placed again with their crashes counted.
    const upstream::LeaseTiming &timing = leader.options.lease;
    const auto isOver = [&timing, sentMs](const Run &run) {
        return !upstream::mayOutlastProcess(run, timing, sentMs);
    };
    markRunsLost(leader, upstreamState, isOver, cause, now, output);
    for (auto &[task, run] : upstreamState.runs) {
        if (run.phase != RunPhase::Recording) {
            run.phase = RunPhase::Voiding;
            run.stopAnswered = false;
            run.orderPending = false;
        }
    }
}

/** Has the upstream's process confirm that it still exists before it gets more runs or leases. */
void requestConfirmation(UpstreamState &upstreamState, const Now &now)
{
    upstreamState.listsRead = false;
    upstreamState.pollPending = false;
    upstreamState.nextPollMs = now.monotonicMs;
}

/**
 * Polls the other upstreams at the address of a heartbeat. The heartbeat alone doesn't end them: it may be late, of a process that had the address before, and
 * the times of two starts may be of different clocks. A process that has taken the address refuses the poll.
 */
void confirmOthersAt(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now)
{
    std::string &known = leader.idByAddress[seen.address];
    if (known == seen.id) {
        return; // No other process has used the address since.
    }
    known = seen.id;
    for (auto &[number, upstreamState] : leader.upstreams) {
        if (upstreamState.registration.id != seen.id && upstreamState.registration.address == seen.address && !upstreamState.gone) {
            upstreamState.silent = true;
            requestConfirmation(upstreamState, now);
        }
    }
}

/** @return whether a process that was started later, and was in contact recently, has the address. */
bool isOutdatedAddress(const Leader &leader, const wire::UpstreamSeenT &seen, const Now &now)
{
    return std::any_of(leader.upstreams.begin(), leader.upstreams.end(), [&](const auto &entry) {
        const UpstreamState &other = entry.second;
        return other.registration.address == seen.address && other.registration.id != seen.id && other.registration.born > seen.born && !other.gone
            && now.monotonicMs < other.lastContactMs + leader.options.maxSilenceMs;
    });
}

/** @return whether the plan names a service; any service may be named by the first plan. */
bool isNamedService(const job::State &state, const std::string &service)
{
    return state.plan.version == 0 || std::any_of(state.plan.services.begin(), state.plan.services.end(), [&service](const auto &named) {
               return named->name == service;
           });
}

/**
 * A process keeps its address and service until it ends. What was registered may be another sender's, of a service that no plan names, until the process has
 * answered at the address.
 * @return whether a heartbeat isn't of the process that it names.
 */
bool contradictsProcess(const job::State &state, const UpstreamState &upstreamState, const wire::UpstreamSeenT &seen)
{
    const wire::UpstreamSeenT &registered = upstreamState.registration;
    if (seen.born == 0 || seen.born != registered.born) {
        return false;
    }
    const bool serviceNamed = isNamedService(state, registered.service);
    return (seen.address != registered.address && (serviceNamed || upstreamState.confirmedMs > 0)) || (seen.service != registered.service && serviceNamed);
}

/** @return whether a heartbeat describes an upstream to use. Others may send heartbeats too; an upstream whose service a later plan drops is still used. */
bool isOfUsableUpstream(const Leader &leader, const job::State &state, const wire::UpstreamSeenT &seen)
{
    const auto known = leader.upstreamNumbers.find(seen.id);
    if (known == leader.upstreamNumbers.end()) {
        return isNamedService(state, seen.service);
    }
    const UpstreamState &upstreamState = leader.upstreams.at(known->second);
    const bool isKnownService = seen.service == upstreamState.registration.service || isNamedService(state, seen.service);
    return isKnownService && !contradictsProcess(state, upstreamState, seen);
}

bool sameShape(const wire::UpstreamSeenT &a, const wire::UpstreamSeenT &b)
{
    return a.draining == b.draining && a.cpuMillis == b.cpuMillis && a.memoryMb == b.memoryMb && a.accelerators == b.accelerators && a.labels == b.labels
        && a.address == b.address && a.service == b.service;
}

/** @return the time for which the reply to a poll may be delayed: until the next one can prove that a run is over. */
std::uint64_t maxWaitMs(const Leader &leader, const UpstreamState &upstreamState, const Now &now)
{
    if (!upstreamState.listsRead || upstreamState.silent || upstreamState.runs.empty()) {
        return 0;
    }
    std::uint64_t waitMs = leader.options.pollWaitMs;
    for (const auto &[task, run] : upstreamState.runs) {
        if (upstream::awaitsLists(run)) {
            return 0;
        }
        if (run.phase == RunPhase::Voiding || run.phase == RunPhase::Inherited || run.missingMs > 0) {
            const std::uint64_t proofMs = upstream::absenceProofMs(upstreamState, run, leader.options.lease).value_or(0);
            waitMs = std::min(waitMs, proofMs - std::min(proofMs, now.monotonicMs));
        }
    }
    return waitMs;
}

void sendPoll(Leader &leader, UpstreamState &upstreamState, const Now &now, LeaderOutput &output)
{
    UpstreamCall call;
    call.id = leader.nextCall++;
    call.kind = CallKind::Poll;
    call.address = upstreamState.registration.address;
    call.upstream = upstreamState.registration.id;
    call.fence = fenceFor(leader, upstreamState);
    const bool acknowledgementDue = upstreamState.recordedEnd > upstreamState.acknowledgedEnd;
    call.acknowledge = acknowledgementDue && upstream::mayAcknowledge(upstreamState, now.monotonicMs) ? upstreamState.recordedEnd : 0;
    // A poll that acknowledges doesn't wait: while it waits, the upstream may be replaced by a process that numbers its ends anew.
    call.waitMs = acknowledgementDue ? 0 : maxWaitMs(leader, upstreamState, now);
    // A renewing poll may be carried out although no reply arrives, so polls of a silent upstream don't renew its leases, which expire.
    if (!upstreamState.silent && !upstreamState.runs.empty()) {
        call.leaseUntilMs = upstream::grantLease(upstreamState, leader.options.lease, now.monotonicMs);
    }
    call.timeoutMs = call.waitMs + leader.options.pollTimeoutMs;
    leader.pendingCalls[call.id]
        = {CallKind::Poll, upstreamState.registration.number, upstreamState.registration.born, {}, 0, now.monotonicMs, call.acknowledge, call.fence};
    upstreamState.pollPending = true;
    upstreamState.acknowledgementPending = call.acknowledge > 0;
    upstreamState.pollSentMs = now.monotonicMs;
    ++leader.counters.polls;
    output.calls.push_back(std::move(call));
}

/** Handles the expiry of the leases of an unreachable upstream. @param graceMs time after their expiry for which runs are retained. */
void expireLeases(Leader &leader, UpstreamState &upstreamState, std::uint64_t graceMs, const Now &now, LeaderOutput &output)
{
    const std::uint64_t overMs = now.monotonicMs - std::min(now.monotonicMs, graceMs);
    for (const auto &[task, run] : upstreamState.runs) {
        const upstream::CrashEvidence evidence = upstream::crashEvidence(upstreamState, run);
        if (overMs > upstream::lapseBoundOf(upstreamState, run) && evidence != upstream::CrashEvidence::None) {
            upstreamState.lapsedRuns.push_back({task, run.number, evidence == upstream::CrashEvidence::Confirmed});
        }
    }
    const auto isOver = [&upstreamState, overMs](const Run &run) {
        return overMs > upstream::lapseBoundOf(upstreamState, run);
    };
    const std::size_t lost = markRunsLost(leader, upstreamState, isOver, "lease-over", now, output);
    if (lost > 0) {
        output.decisions.push_back(
            {"leases-over",
             upstreamState.registration.id,
             "runs=" + std::to_string(lost) + " silentMs=" + std::to_string(now.monotonicMs - std::min(now.monotonicMs, upstreamState.lastContactMs))});
    }
}

bool needsPoll(const UpstreamState &upstreamState, const Now &now)
{
    if (upstreamState.pollPending || upstreamState.gone || now.monotonicMs < upstreamState.nextPollMs || !upstream::isFenceRecorded(upstreamState)) {
        return false;
    }
    const bool recordPending = upstreamState.proposedEnd > upstreamState.recordedEnd;
    if (recordPending && upstreamState.listsRead) {
        return false; // Ends that aren't acknowledged would be returned again at once.
    }
    return !upstreamState.listsRead || upstreamState.silent || !upstreamState.runs.empty() || upstreamState.acknowledgedEnd < upstreamState.recordedEnd;
}
}

/**
 * @param leader the leader state. @param upstreamState the upstream state.
 * @return the fence of calls to the upstream. It rises with the term and with each process found under the id: an upstream may carry out a call seconds late,
 * and the process that does must be the one that the call was meant for.
 */
std::uint64_t fenceFor(const Leader &leader, const UpstreamState &upstreamState)
{
    return leader.term + upstreamState.registration.fenceStep;
}

void addUpstream(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now)
{
    UpstreamState upstreamState;
    upstreamState.registration.number = seen.number;
    upstreamState.registration.fenceStep = seen.fenceStep;
    upstreamState.recordedFenceStep = seen.fenceStep;
    applyRegistration(upstreamState, seen, now);
    upstreamState.registered = true;
    upstreamState.shapeKnown = true;
    upstreamState.lastContactMs = now.monotonicMs;
    upstreamState.nextPollMs = now.monotonicMs;
    leader.upstreamNumbers[seen.id] = seen.number;
    leader.upstreams.insert_or_assign(seen.number, std::move(upstreamState));
}

void handleHeartbeat(Leader &leader, const job::State &state, Token token, const wire::UpstreamBeatT &beat, const Now &now, LeaderOutput &output)
{
    const wire::UpstreamSeenT &seen = *beat.seen;
    if (!model::isPlainKey(seen.id)) {
        refuse(token, model::Reason::BadKey, output);
        return;
    }
    const auto known = leader.upstreamNumbers.find(seen.id);
    const wire::UpstreamSeenT *registration = known == leader.upstreamNumbers.end() ? nullptr : &leader.upstreams.at(known->second).registration;
    if (registration == nullptr || registration->born != seen.born || !sameShape(seen, *registration)) { // Else nothing is registered.
        const std::uint64_t neededBytes = job::upstreamBytes(seen);
        const std::uint64_t heldBytes = registration == nullptr ? 0 : job::upstreamBytes(*registration);
        if (neededBytes > heldBytes && !hasRegistryRoomFor(leader, state, neededBytes - heldBytes)) {
            refuseWithoutRoom(leader, state, token, {"upstream-refused", seen.id, {}}, neededBytes, output);
            return;
        }
    }
    output.replies.push_back({token, {}});
    if (!isOfUsableUpstream(leader, state, seen)) {
        ++leader.counters.badHeartbeats;
        return;
    }
    if (known == leader.upstreamNumbers.end()) {
        if (leader.joining.count(seen.id) == 0 && !isOutdatedAddress(leader, seen, now)) {
            confirmOthersAt(leader, seen, now);
            wire::UpstreamSeenT record = seen;
            record.number = 0;
            output.decisions.push_back({"upstream-joins", seen.id, "service=" + seen.service + " address=" + seen.address});
            output.proposals.push_back(wire::encodeChange(std::move(record)));
            leader.joining[seen.id] = beat;
        }
        return;
    }
    UpstreamState &upstreamState = leader.upstreams.at(known->second);
    if (seen.born < upstreamState.registration.born) {
        requestConfirmation(upstreamState, now); // Delayed, or of a process started since after the clock of its machine was set back.
        return;
    }
    if (seen.born == upstreamState.registration.born && beat.sequence <= upstreamState.sequence) {
        return; // A delayed heartbeat.
    }
    confirmOthersAt(leader, seen, now);
    const bool newIncarnation = seen.born > upstreamState.registration.born;
    if (newIncarnation) {
        applyNewIncarnation(leader, upstreamState, seen, now, output);
    } else if (!sameShape(seen, upstreamState.registration)) {
        output.decisions.push_back({"upstream-changed", seen.id, seen.draining ? "draining remainingMs=" + std::to_string(beat.remainingMs) : "shape"});
        applyRegistration(upstreamState, seen, now);
        proposeRegistration(upstreamState, output);
    }
    upstreamState.sequence = beat.sequence;
    upstreamState.shapeKnown = true;
    upstream::recordShapeTime(upstreamState, beat.clockMs, now.monotonicMs);
    upstreamState.lastContactMs = now.monotonicMs;
    upstreamState.lapsedRuns.clear(); // The process didn't crash.
    upstreamState.gone = false;
    if (!upstreamState.clock.known || now.monotonicMs > upstreamState.clock.atMs + staleClockMs) {
        upstream::recordClock(upstreamState, beat.clockMs, now.monotonicMs);
    }
    leader.placementNeeded = true;
}

void handleLeave(Leader &leader, Token token, const std::string &id, const Now &now, LeaderOutput &output)
{
    output.replies.push_back({token, {}});
    const auto known = leader.upstreamNumbers.find(id);
    if (known != leader.upstreamNumbers.end()) {
        // The request names no process and may be delayed: the upstream gets no new runs, and its runs end with its lease.
        UpstreamState &upstreamState = leader.upstreams.at(known->second);
        upstreamState.registration.draining = true;
        upstreamState.silent = true;
        if (upstreamState.drainingSinceMs == 0) {
            upstreamState.drainingSinceMs = now.monotonicMs;
        }
        output.decisions.push_back({"upstream-leaves", id, "runs=" + std::to_string(upstreamState.runs.size())});
    }
}

void applyUpstreamRecord(Leader &leader, const job::State &state, const wire::UpstreamSeenT &record, const Now &now)
{
    const auto known = leader.upstreamNumbers.find(record.id);
    if (known != leader.upstreamNumbers.end()) {
        UpstreamState &upstreamState = leader.upstreams.at(known->second);
        upstreamState.recordedFenceStep = std::max(upstreamState.recordedFenceStep, record.fenceStep);
        return;
    }
    const auto joining = leader.joining.find(record.id);
    if (joining == leader.joining.end()) {
        return;
    }
    for (auto entry = state.upstreams.rbegin(); entry != state.upstreams.rend(); ++entry) {
        if (entry->second.id == record.id) {
            addUpstream(leader, entry->second, now);
            UpstreamState &upstreamState = leader.upstreams.at(entry->first);
            upstreamState.sequence = joining->second.sequence;
            upstream::recordShapeTime(upstreamState, joining->second.clockMs, now.monotonicMs);
            upstream::recordClock(upstreamState, joining->second.clockMs, now.monotonicMs);
            break;
        }
    }
    leader.joining.erase(joining);
}

namespace
{
void applyListedRun(Leader &leader, const job::State &state, UpstreamState &upstreamState, const PendingCall &poll, const ListedRun &listed, const Now &now,
                    LeaderOutput &output)
{
    job::TaskRef task = listed.task;
    const auto number = state.jobNumberById.find(listed.job);
    task.job = number == state.jobNumberById.end() ? 0 : number->second;
    const auto found = upstreamState.runs.find(task);
    if (found == upstreamState.runs.end() || found->second.number != listed.run) {
        const bool later = found != upstreamState.runs.end() && found->second.number > listed.run;
        if (found != upstreamState.runs.end() && !later) {
            return;
        }
        const job::Task *placed = job::findTask(state, task);
        if (placed != nullptr && placed->activeRun == listed.run && leader.placements.count(task) > 0 && poll.sentMs < now.monotonicMs) {
            return; // Its record is being committed.
        }
        UpstreamCall call;
        call.id = leader.nextCall++;
        call.kind = CallKind::Stop;
        call.address = upstreamState.registration.address;
        call.upstream = upstreamState.registration.id;
        call.job = listed.job;
        call.task = task;
        call.run = listed.run;
        call.fence = fenceFor(leader, upstreamState);
        call.timeoutMs = leader.options.orderTimeoutMs;
        output.decisions.push_back({"stop-unknown-run", upstreamState.registration.id, "job=" + listed.job + " run=" + std::to_string(listed.run)});
        output.calls.push_back(std::move(call));
        return;
    }
    Run &run = found->second;
    run.missingMs = 0;
    // Another copy of the start that was sent since may reach a process that is started later.
    run.located = run.located || run.startsSent <= 1 || poll.sentMs > run.startSentMs;
    run.suspectedCrash = upstream::CrashEvidence::None; // Begun by a process started since.
    if (!listed.checkpoint.empty()) {
        run.checkpoint = listed.checkpoint;
    }
    if (run.phase == RunPhase::Starting || run.phase == RunPhase::Inherited) {
        run.phase = RunPhase::Running;
        run.startedAtMs = now.monotonicMs;
        run.orderPending = false;
    }
    markRunPresent(leader, state, upstreamState, run, "listed", output);
    if (run.phase == RunPhase::Voiding) {
        run.stopAnswered = false; // The run did start; its end will be listed.
    }
    if (run.stopRequested && run.phase == RunPhase::Running) {
        requestStop(leader, state, upstreamState, run, now, output);
    }
}

wire::RunEnd countEnd(Leader &leader, UpstreamState &upstreamState, wire::RunEnd end)
{
    LeaderCounters &counters = leader.counters;
    constexpr double decay = 0.9;
    switch (end) {
    case wire::RunEnd::Done:
        ++counters.endsDone;
        upstreamState.successes = upstreamState.successes * decay + 1;
        upstreamState.failures *= decay;
        break;
    case wire::RunEnd::Failed:
        ++counters.endsFailed;
        upstreamState.failures = upstreamState.failures * decay + 1;
        upstreamState.successes *= decay;
        break;
    case wire::RunEnd::Stopped:
        ++counters.endsStopped;
        break;
    case wire::RunEnd::Lapsed:
        ++counters.endsLapsed;
        break;
    case wire::RunEnd::Broken:
        ++counters.endsBroken;
        break;
    case wire::RunEnd::Alone:
        ++counters.endsAlone;
        break;
    case wire::RunEnd::Never:
    case wire::RunEnd::Lost:
        break;
    }
    return end;
}

void applyListedEnds(Leader &leader, const job::State &state, UpstreamState &upstreamState, const std::vector<ListedEnd> &ends, const Now &now,
                     LeaderOutput &output)
{
    wire::RunsEndedT record;
    bool lateStarts = false;
    for (const ListedEnd &end : ends) {
        if (end.number <= upstreamState.proposedEnd) {
            continue;
        }
        upstreamState.proposedEnd = end.number;
        job::TaskRef task = end.task;
        const auto number = state.jobNumberById.find(end.job);
        task.job = number == state.jobNumberById.end() ? 0 : number->second;
        const auto found = upstreamState.runs.find(task);
        if (found == upstreamState.runs.end() || found->second.number != end.run) {
            const job::Task *known = job::findTask(state, task);
            if (end.end == wire::RunEnd::Done && known != nullptr && known->run == end.run && leader.placements.count(task) == 0) {
                Run completed; // Marked as lost with its lease and not placed again since, but it did complete.
                completed.task = task;
                completed.number = end.run;
                proposeEnd(completed, end.end, end.checkpoint, record);
            } else if (end.end == wire::RunEnd::Done && known != nullptr && known->run > end.run) {
                // Allowed only if the lease lapsed after the end; otherwise the task is carried out twice.
                ++leader.counters.endsAfterReplacement;
                output.decisions.push_back({"done-after-replacement",
                                            end.job,
                                            "step=" + std::to_string(task.step) + " index=" + std::to_string(task.index) + " run=" + std::to_string(end.run)
                                                + " later=" + std::to_string(known->run) + " upstream=" + upstreamState.registration.id});
            }
            continue; // Any other end is recorded already.
        }
        if (!found->second.gang || end.end == wire::RunEnd::Done || end.end == wire::RunEnd::Failed) {
            markRunWorked(leader, state, upstreamState, found->second, "end-listed", output);
        }
        const std::string &checkpoint = end.checkpoint.empty() ? found->second.checkpoint : end.checkpoint;
        proposeEnd(found->second, countEnd(leader, upstreamState, end.end), checkpoint, record);
        if (end.end != wire::RunEnd::Done) {
            output.decisions.push_back({"run-ended",
                                        end.job,
                                        "step=" + std::to_string(task.step) + " index=" + std::to_string(task.index) + " run=" + std::to_string(end.run)
                                            + " end=" + wire::EnumNameRunEnd(end.end) + " upstream=" + upstreamState.registration.id});
        }
        lateStarts = lateStarts || found->second.startsSent > 1;
        releaseRun(leader, upstreamState, task); // The listed end frees its capacity.
        leader.placementNeeded = true;
    }
    if (lateStarts) {
        raiseFence(upstreamState, output); // Once the ends are acknowledged, the upstream may not know these runs any more.
    }
    if (upstreamState.proposedEnd > upstreamState.recordedEnd && !ends.empty()) {
        record.upstream = upstreamState.registration.number;
        record.born = upstreamState.registration.born;
        record.upTo = upstreamState.proposedEnd;
        proposeEnds(std::move(record), now, output);
    }
}

/** @return the tasks of the listed runs that are known. */
std::set<job::TaskRef> listedTasks(const job::State &state, const std::vector<ListedRun> &running)
{
    std::set<job::TaskRef> listed;
    for (const ListedRun &run : running) {
        const auto number = state.jobNumberById.find(run.job);
        if (number != state.jobNumberById.end()) {
            listed.insert({number->second, run.task.occurrence, run.task.step, run.task.index});
        }
    }
    return listed;
}

/** Records that the lists of a poll don't contain a run. */
void recordAbsence(Run &run, const PendingCall &poll, const Now &now)
{
    if (run.phase == RunPhase::Starting && run.orderedAtMs < poll.sentMs) {
        run.absentMs = now.monotonicMs;
    }
    if (run.phase == RunPhase::Running && run.missingMs == 0 && run.startedAtMs < poll.sentMs) {
        run.missingMs = now.monotonicMs;
    }
}

/** @param phase of a run that lists prove to be over. @return the cause for the log. */
const char *absenceCause(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Inherited:
        return "absent-inherited";
    case RunPhase::Voiding:
        return "absent-stopped";
    default:
        return "absent-running";
    }
}

/** Ends the runs that are missing from lists made after their start was confirmed, after their stop, or after the upstream was fenced. */
void endUnlistedRuns(Leader &leader, UpstreamState &upstreamState, const PendingCall &poll, const UpstreamReply &reply, const job::State &state, const Now &now,
                     LeaderOutput &output)
{
    if (reply.ended.size() >= maxListedEnds) {
        return;
    }
    const std::set<job::TaskRef> listed = listedTasks(state, reply.running);
    wire::RunsEndedT record;
    std::vector<job::TaskRef> endedTasks;
    std::vector<upstream::CrashedRun> crashed;
    bool lateStarts = false;
    for (auto &[task, run] : upstreamState.runs) {
        if (listed.count(task) > 0) {
            continue;
        }
        recordAbsence(run, poll, now);
        const std::optional<std::uint64_t> proofMs = upstream::absenceProofMs(upstreamState, run, leader.options.lease);
        if (proofMs && *proofMs < poll.sentMs) {
            const bool voided = run.phase == RunPhase::Voiding;
            const wire::RunEnd end = voided ? wire::RunEnd::Never : wire::RunEnd::Lost;
            ++(voided ? leader.counters.runsNever : leader.counters.runsLost);
            lateStarts = lateStarts || mayStartLate(run);
            reportUnlistedEnd(upstreamState, run, absenceCause(run.phase), output);
            if (run.suspectedCrash != upstream::CrashEvidence::None) {
                crashed.push_back({task, run.number, run.suspectedCrash == upstream::CrashEvidence::Confirmed});
            }
            proposeEnd(run, end, run.checkpoint, record);
            endedTasks.push_back(task);
        }
    }
    if (lateStarts) {
        raiseFence(upstreamState, output);
    }
    for (const job::TaskRef &task : endedTasks) {
        output.decisions.push_back({"run-absent", upstreamState.registration.id, "job=" + std::to_string(task.job) + " index=" + std::to_string(task.index)});
        releaseRun(leader, upstreamState, task);
        leader.placementNeeded = true;
    }
    reportCrashedRuns(leader, upstreamState, crashed, now, output); // Before the ends, so that the tasks are placed again with their crashes counted.
    proposeEnds(std::move(record), now, output);
}

void handlePollReply(Leader &leader, const job::State &state, UpstreamState &upstreamState, const PendingCall &poll, const UpstreamReply &reply, const Now &now,
                     LeaderOutput &output)
{
    if (poll.sentMs == upstreamState.pollSentMs) { // Otherwise a later poll is on its way.
        upstreamState.pollPending = false;
        upstreamState.acknowledgementPending = false;
    }
    if (reply.status == CallStatus::OtherIncarnation) {
        endIncarnation(leader, upstreamState, "other-incarnation", poll.sentMs, now, output);
        return;
    }
    if (poll.fence != fenceFor(leader, upstreamState)) {
        return; // Lists say what was begun and ended only once the upstream refuses earlier calls.
    }
    if (reply.incarnation != 0 && reply.incarnation != upstreamState.registration.born) {
        // The poll was sent to the registered process, so the one that answered was started since under the id, even if its time of the start is earlier by the
        // clock of its machine. Its capacity is known with its first heartbeat.
        wire::UpstreamSeenT seen = upstreamState.registration;
        seen.born = reply.incarnation;
        seen.draining = false;
        applyNewIncarnation(leader, upstreamState, seen, now, output);
        return;
    }
    if (reply.status != CallStatus::Done || !reply.hasLists) {
        if (!upstreamState.silent) {
            output.decisions.push_back({"upstream-silent",
                                        upstreamState.registration.id,
                                        "status=" + std::to_string(static_cast<int>(reply.status)) + " runs=" + std::to_string(upstreamState.runs.size())});
        }
        upstreamState.silent = upstreamState.silent || reply.status == CallStatus::NoAnswer;
        if (reply.status == CallStatus::Fenced) {
            // With the leader lease there is no newer leader, so the higher fence is of a registration that has been removed since. Without it no orders are
            // sent.
            raiseFence(upstreamState, output);
        }
        upstreamState.nextPollMs = now.monotonicMs + silentPollMs;
        ++leader.counters.pollsUnanswered;
        return;
    }
    if (upstreamState.silent) {
        output.decisions.push_back({"upstream-answers", upstreamState.registration.id, "runs=" + std::to_string(upstreamState.runs.size())});
    }
    if (upstreamState.fencedMs == 0) {
        upstreamState.fencedMs = now.monotonicMs;
    }
    upstreamState.silent = false;
    upstreamState.listsRead = true;
    upstreamState.unansweredStarts = 0;
    upstreamState.lastContactMs = now.monotonicMs;
    upstreamState.confirmedMs = now.monotonicMs;
    upstreamState.lapsedRuns.clear(); // The process didn't crash.
    upstreamState.acknowledgedEnd = std::max(upstreamState.acknowledgedEnd, poll.acknowledge);
    upstream::recordClock(upstreamState, reply.clockMs, now.monotonicMs);
    upstream::correctShapeTime(upstreamState, now.monotonicMs);
    for (const ListedRun &listed : reply.running) {
        applyListedRun(leader, state, upstreamState, poll, listed, now, output);
    }
    applyListedEnds(leader, state, upstreamState, reply.ended, now, output);
    endUnlistedRuns(leader, upstreamState, poll, reply, state, now, output);
    const bool acknowledgementDue = upstreamState.recordedEnd > upstreamState.acknowledgedEnd;
    const bool listsAwaited = std::any_of(upstreamState.runs.begin(), upstreamState.runs.end(), [](const auto &entry) {
        return upstream::awaitsLists(entry.second);
    });
    if (listsAwaited || (acknowledgementDue && !upstream::mayAcknowledge(upstreamState, now.monotonicMs))) {
        upstreamState.nextPollMs = now.monotonicMs + unlocatedPollMs;
    }
    if (reply.running.empty() && reply.ended.empty()) {
        leader.placementNeeded = true;
    }
}

void handleStartReply(Leader &leader, const job::State &state, UpstreamState &upstreamState, Run &run, CallStatus status, const Now &now, LeaderOutput &output)
{
    run.orderPending = false;
    switch (status) {
    case CallStatus::Done:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.startedAtMs = now.monotonicMs;
            upstreamState.unansweredStarts = 0;
            if (run.stopRequested) {
                requestStop(leader, state, upstreamState, run, now, output);
            }
        }
        markRunPresent(leader, state, upstreamState, run, "start-answered", output);
        return;
    case CallStatus::NoAnswer:
        ++leader.counters.startsUnanswered;
        ++upstreamState.unansweredStarts;
        return; // Sent again by tickRuns().
    case CallStatus::Fenced: // Sent before the fence was raised, or there is a newer leader, which the log will show.
    case CallStatus::TooLate: // The clock sample was stale; sent again with a new one.
        run.startsSent -= run.startsSent > 0 ? 1 : 0; // A refused start is no copy that may be carried out late.
        return;
    case CallStatus::Outdated:
    case CallStatus::NoCapacity:
    case CallStatus::BadTicket:
    case CallStatus::Refused:
    case CallStatus::Busy:
    case CallStatus::OtherIncarnation:
        break;
    }
    ++leader.counters.startsRejected;
    output.decisions.push_back({"start-rejected",
                                upstreamState.registration.id,
                                "job=" + std::to_string(run.task.job) + " run=" + std::to_string(run.number)
                                    + " status=" + std::to_string(static_cast<int>(status)) + " orders=" + std::to_string(run.startsSent)});
    if (run.phase != RunPhase::Starting) {
        return;
    }
    if (status == CallStatus::Busy) {
        constexpr std::uint64_t busyPauseMs = 1000;
        upstreamState.avoidedUntilMs = now.monotonicMs + busyPauseMs;
    }
    if (run.startsSent > 1 || status == CallStatus::Outdated) {
        run.phase = RunPhase::Voiding; // An earlier copy of the start may still be carried out.
        run.stopAnswered = false;
        return;
    }
    ++leader.counters.runsNever;
    wire::RunsEndedT record;
    proposeEnd(run, wire::RunEnd::Never, {}, record);
    proposeEnds(std::move(record), now, output);
    releaseRun(leader, upstreamState, run.task);
}

void handleStopReply(Run &run, CallStatus status, const Now &now)
{
    run.orderPending = false;
    if (status == CallStatus::Done && !run.stopAnswered) {
        run.stopAnswered = true;
        run.stopAnsweredMs = now.monotonicMs;
    }
}
}

void tickUpstreams(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    for (auto &[number, upstreamState] : leader.upstreams) {
        // While heartbeats arrive, a poll is likely to return the state of the runs soon; without them there is no such chance.
        const bool responsive = now.monotonicMs < upstreamState.lastContactMs + leader.options.maxSilenceMs;
        const std::uint64_t graceMs = responsive ? responsiveGraceMs : 0;
        if (now.monotonicMs > upstreamState.lapseBoundMs + graceMs && upstreamState.lapseBoundMs > 0 && !upstreamState.runs.empty()) {
            expireLeases(leader, upstreamState, graceMs, now, output);
        }
        const std::uint64_t pollLostMs = upstreamState.pollSentMs + leader.options.pollWaitMs + 2 * leader.options.pollTimeoutMs;
        if (upstreamState.pollPending && now.monotonicMs > pollLostMs) { // The reply was lost locally; without this no poll would renew the leases.
            upstreamState.pollPending = false;
            upstreamState.acknowledgementPending = false;
            upstreamState.silent = true;
            ++leader.counters.pollsUnanswered;
        }
        tickRuns(leader, state, upstreamState, now, output);
        if (needsPoll(upstreamState, now)) {
            sendPoll(leader, upstreamState, now, output);
        }
    }
    constexpr std::uint64_t cleanupIntervalMs = 1000;
    if (now.monotonicMs < leader.nextCleanupMs) {
        return;
    }
    leader.nextCleanupMs = now.monotonicMs + cleanupIntervalMs;
    for (auto entry = leader.upstreams.begin(); entry != leader.upstreams.end();) {
        const UpstreamState &upstreamState = entry->second;
        if (upstreamState.runs.empty() && now.monotonicMs > upstreamState.lastContactMs + leader.options.forgetAfterMs) {
            wire::UpstreamGoneT record;
            record.number = entry->first;
            output.proposals.push_back(wire::encodeChange(record));
            leader.upstreamNumbers.erase(upstreamState.registration.id);
            entry = leader.upstreams.erase(entry);
        } else {
            ++entry;
        }
    }
}
}

namespace rosemaryturn::deployment
{
void handleUpstreamReply(Leader &leader, const job::State &state, const UpstreamReply &reply, const Now &now, LeaderOutput &output)
{
    const auto found = leader.pendingCalls.find(reply.id);
    if (found == leader.pendingCalls.end()) {
        return; // A call of an earlier term, or one whose reply isn't needed.
    }
    const PendingCall open = found->second;
    leader.pendingCalls.erase(found);
    const auto upstreamEntry = leader.upstreams.find(open.upstream);
    if (!leader.active || upstreamEntry == leader.upstreams.end() || upstreamEntry->second.registration.born != open.incarnation) {
        return;
    }
    upstream::UpstreamState &upstreamState = upstreamEntry->second;
    if (open.kind == CallKind::Poll) {
        internal::handlePollReply(leader, state, upstreamState, open, reply, now, output);
        return;
    }
    const auto run = upstreamState.runs.find(open.task);
    const bool isCurrent = run != upstreamState.runs.end() && run->second.number == open.run;
    if (reply.status == CallStatus::OtherIncarnation) {
        if (isCurrent && open.kind == CallKind::Start && run->second.startsSent == 1) {
            run->second.startsSent = 0; // Its only start was refused, so that it doesn't count as crashed.
            run->second.startSentMs = 0;
        }
        internal::endIncarnation(leader, upstreamState, "other-incarnation", open.sentMs, now, output);
        return;
    }
    if (!isCurrent) {
        return;
    }
    if (open.kind == CallKind::Start) {
        if (reply.status != CallStatus::NoAnswer) {
            recordLatency(leader.counters.startAnswers, now.monotonicMs - open.sentMs);
        }
        internal::handleStartReply(leader, state, upstreamState, run->second, reply.status, now, output);
    } else if (open.kind == CallKind::Stop) {
        internal::handleStopReply(run->second, reply.status, now);
    }
}
}
