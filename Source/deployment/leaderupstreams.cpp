#include "deployment/leader.h"

#include <algorithm>
#include <utility>

namespace rosemaryturn::deployment::internal
{
namespace
{
using upstream::Run;
using upstream::RunPhase;
using upstream::UpstreamState;

/** Time between two looks at an upstream that doesn't answer. */
constexpr std::uint64_t silentLookMs = 500;
/** How long after the end of its leases the runs of an upstream that still sends heartbeats are kept for its lists to tell. */
constexpr std::uint64_t heardPatienceMs = 4000;
/** Ends that an upstream lists at a time; a list of this length may leave some out. */
constexpr std::size_t longestEndList = 500;
/** A clock sample of a heartbeat is used when the one at hand is older than this. */
constexpr std::uint64_t staleClockMs = 3000;

void takeShape(UpstreamState &life, const wire::UpstreamSeenT &seen, const Now &now)
{
    const std::uint32_t number = life.registration.number;
    if (seen.draining && life.drainingSinceMs == 0) {
        life.drainingSinceMs = now.steadyMs;
    }
    life.registration = seen;
    life.registration.number = number;
    life.capacity = {seen.cpuMillis, seen.memoryMb, seen.accelerators, 0};
}

void proposeSeen(const UpstreamState &life, LeaderOutput &output)
{
    output.proposals.push_back(wire::encodeChange(life.registration));
}

/** A new process answers to the id: what the earlier one ran is over, but an order on its way may start it in the new one. */
void takeNewLife(Leader &leader, UpstreamState &life, const wire::UpstreamSeenT &seen, const Now &now, LeaderOutput &output)
{
    output.decisions.push_back({"upstream-reborn", seen.id, "born=" + std::to_string(seen.born) + " before=" + std::to_string(life.registration.born)});
    life.drainingSinceMs = 0;
    takeShape(life, seen, now);
    life.clock = {};
    life.recordedEnd = life.proposedEnd = life.acknowledgedEnd = 0;
    life.listsRead = false;
    life.silent = false;
    life.gone = false;
    life.pollPending = false;
    life.nextPollMs = now.steadyMs;
    for (auto &[task, run] : life.runs) {
        if (run.phase != RunPhase::Recording) {
            run.phase = RunPhase::Voiding;
            run.stopAnswered = false;
            run.orderPending = false;
        }
    }
    leader.placeSoon = true;
    proposeSeen(life, output);
}

/** For a process that is known to be gone: nothing of it may run on. */
constexpr std::uint64_t allTimeOver = UINT64_MAX;

/**
 * Gives up the runs of an upstream, but those that aren't ordered yet.
 * @param leader what is known. @param life the upstream. @param overMs a run that may go on until this time or later is kept. @param now the present.
 * @param output what to do.
 * @return how many were given up.
 */
std::size_t loseRuns(Leader &leader, UpstreamState &life, std::uint64_t overMs, const Now &now, LeaderOutput &output)
{
    wire::RunsEndedT record;
    std::vector<job::TaskRef> over;
    for (const auto &[task, run] : life.runs) {
        if (run.phase != RunPhase::Recording && overMs > run.mayRunUntilMs) {
            proposeEnd(run, wire::RunEnd::Lost, run.checkpoint, record);
            over.push_back(task);
        }
    }
    for (const job::TaskRef &task : over) {
        releaseRun(leader, life, task);
    }
    leader.counters.runsLost += over.size();
    proposeEnds(std::move(record), now, output);
    return over.size();
}

/** Another process listens at the address: this life is over, and everything on it. */
void endLife(Leader &leader, UpstreamState &life, const char *cause, const Now &now, LeaderOutput &output)
{
    if (life.gone && life.runs.empty()) {
        return;
    }
    output.decisions.push_back({"upstream-gone", life.registration.id, std::string("cause=") + cause + " runs=" + std::to_string(life.runs.size())});
    life.gone = true;
    life.listsRead = false;
    loseRuns(leader, life, allTimeOver, now, output);
}

void endLivesAt(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now, LeaderOutput &output)
{
    std::string &known = leader.idByAddress[seen.address];
    if (known == seen.id) {
        return; // Nobody else listened there since.
    }
    known = seen.id;
    for (auto &[number, life] : leader.lives) {
        if (life.registration.id != seen.id && life.registration.address == seen.address && life.registration.born < seen.born) {
            endLife(leader, life, "address-taken", now, output);
        }
    }
}

bool isOutdatedAddress(const Leader &leader, const wire::UpstreamSeenT &seen)
{
    return std::any_of(leader.lives.begin(), leader.lives.end(), [&seen](const auto &entry) {
        return entry.second.registration.address == seen.address && entry.second.registration.id != seen.id && entry.second.registration.born > seen.born;
    });
}

bool sameShape(const wire::UpstreamSeenT &a, const wire::UpstreamSeenT &b)
{
    return a.draining == b.draining && a.cpuMillis == b.cpuMillis && a.memoryMb == b.memoryMb && a.accelerators == b.accelerators && a.labels == b.labels
        && a.address == b.address && a.service == b.service;
}

void sendLook(Leader &leader, UpstreamState &life, const Now &now, LeaderOutput &output)
{
    UpstreamCall call;
    call.id = leader.nextCall++;
    call.kind = CallKind::Look;
    call.address = life.registration.address;
    call.upstream = life.registration.id;
    call.fence = leader.term;
    // After a look without an answer another process may listen under the id, whose ends this number would make it forget.
    call.acknowledge = life.silent || !life.listsRead ? 0 : life.recordedEnd;
    const bool settled = life.listsRead && !life.silent && std::none_of(life.runs.begin(), life.runs.end(), [](const auto &entry) {
                             return entry.second.phase == RunPhase::Voiding;
                         });
    call.waitMs = settled && !life.runs.empty() ? leader.options.lookWaitMs : 0;
    // A look that renews may be carried out although no answer comes, so a silent upstream is only looked at: its leases run out.
    if (!life.silent && !life.runs.empty()) {
        call.leaseUntilMs = upstream::grantLease(life, leader.options.lease, now.steadyMs);
    }
    call.timeoutMs = call.waitMs + leader.options.lookTimeoutMs;
    leader.open[call.id] = {CallKind::Look, life.registration.number, life.registration.born, {}, 0, now.steadyMs};
    life.pollPending = true;
    life.pollSentMs = now.steadyMs;
    life.acknowledgedEnd = call.acknowledge;
    ++leader.counters.looks;
    output.calls.push_back(std::move(call));
}

/** Every lease on it ran out while it could not be reached. */
void lapse(Leader &leader, UpstreamState &life, const Now &now, LeaderOutput &output)
{
    const std::size_t lost = loseRuns(leader, life, now.steadyMs, now, output);
    if (lost > 0) {
        output.decisions.push_back({"leases-over",
                                    life.registration.id,
                                    "runs=" + std::to_string(lost) + " silentMs=" + std::to_string(now.steadyMs - std::min(now.steadyMs, life.lastContactMs))});
    }
}

bool needsLook(const UpstreamState &life, const Now &now)
{
    if (life.pollPending || life.gone || now.steadyMs < life.nextPollMs) {
        return false;
    }
    const bool recordOpen = life.proposedEnd > life.recordedEnd;
    if (recordOpen && life.listsRead) {
        return false; // Ends that aren't acknowledged would come back at once.
    }
    return !life.listsRead || life.silent || !life.runs.empty() || life.acknowledgedEnd < life.recordedEnd;
}
}

void addLife(Leader &leader, const wire::UpstreamSeenT &seen, const Now &now)
{
    UpstreamState life;
    life.registration.number = seen.number;
    takeShape(life, seen, now);
    life.registered = true;
    life.lastContactMs = now.steadyMs;
    life.nextPollMs = now.steadyMs;
    leader.liveById[seen.id] = seen.number;
    leader.lives.insert_or_assign(seen.number, std::move(life));
}

void takeBeat(Leader &leader, Token token, const wire::UpstreamBeatT &beat, const Now &now, LeaderOutput &output)
{
    output.answers.push_back({token, {}});
    const wire::UpstreamSeenT &seen = *beat.seen;
    const auto known = leader.liveById.find(seen.id);
    if (known == leader.liveById.end()) {
        if (leader.joining.count(seen.id) == 0 && !isOutdatedAddress(leader, seen)) {
            endLivesAt(leader, seen, now, output);
            wire::UpstreamSeenT record = seen;
            record.number = 0;
            output.decisions.push_back({"upstream-joins", seen.id, "service=" + seen.service + " address=" + seen.address});
            output.proposals.push_back(wire::encodeChange(std::move(record)));
            leader.joining[seen.id] = beat;
        }
        return;
    }
    UpstreamState &life = leader.lives.at(known->second);
    if (seen.born < life.registration.born || (seen.born == life.registration.born && beat.sequence <= life.sequence)) {
        return; // A late heartbeat.
    }
    endLivesAt(leader, seen, now, output);
    const bool newLife = seen.born > life.registration.born;
    if (newLife) {
        takeNewLife(leader, life, seen, now, output);
    } else if (!sameShape(seen, life.registration)) {
        output.decisions.push_back({"upstream-changed", seen.id, seen.draining ? "draining remainingMs=" + std::to_string(beat.remainingMs) : "shape"});
        takeShape(life, seen, now);
        proposeSeen(life, output);
    }
    life.sequence = beat.sequence;
    life.lastContactMs = now.steadyMs;
    life.gone = false;
    if (!life.clock.known || now.steadyMs > life.clock.atMs + staleClockMs) {
        upstream::recordClock(life, beat.clockMs, now.steadyMs);
    }
    leader.placeSoon = true;
}

void takeLeave(Leader &leader, Token token, const std::string &id, const Now &now, LeaderOutput &output)
{
    output.answers.push_back({token, {}});
    const auto known = leader.liveById.find(id);
    if (known != leader.liveById.end()) {
        // A good-bye names no process, and may be a late one: nothing new goes there, and what ran ends with its lease.
        UpstreamState &life = leader.lives.at(known->second);
        life.registration.draining = true;
        life.silent = true;
        if (life.drainingSinceMs == 0) {
            life.drainingSinceMs = now.steadyMs;
        }
        output.decisions.push_back({"upstream-leaves", id, "runs=" + std::to_string(life.runs.size())});
    }
}

void followUpstreamRecord(Leader &leader, const job::State &state, const wire::UpstreamSeenT &record, const Now &now)
{
    const auto joining = leader.joining.find(record.id);
    if (joining == leader.joining.end() || leader.liveById.count(record.id) > 0) {
        return;
    }
    for (auto entry = state.upstreams.rbegin(); entry != state.upstreams.rend(); ++entry) {
        if (entry->second.id == record.id) {
            addLife(leader, entry->second, now);
            UpstreamState &life = leader.lives.at(entry->first);
            life.sequence = joining->second.sequence;
            upstream::recordClock(life, joining->second.clockMs, now.steadyMs);
            break;
        }
    }
    leader.joining.erase(joining);
}

namespace
{
void followListed(Leader &leader, const job::State &state, UpstreamState &life, const OpenCall &look, const ListedRun &listed, const Now &now,
                  LeaderOutput &output)
{
    job::TaskRef task = listed.task;
    const auto number = state.byId.find(listed.job);
    task.job = number == state.byId.end() ? 0 : number->second;
    const auto found = life.runs.find(task);
    if (found == life.runs.end() || found->second.number != listed.run) {
        const bool later = found != life.runs.end() && found->second.number > listed.run;
        if (found != life.runs.end() && !later) {
            return;
        }
        const job::Task *placed = job::findTask(state, task);
        if (placed != nullptr && placed->activeRun == listed.run && leader.placed.count(task) > 0 && look.sentMs < now.steadyMs) {
            return; // Being recorded.
        }
        UpstreamCall call;
        call.id = leader.nextCall++;
        call.kind = CallKind::Stop;
        call.address = life.registration.address;
        call.upstream = life.registration.id;
        call.job = listed.job;
        call.task = task;
        call.run = listed.run;
        call.fence = leader.term;
        call.timeoutMs = leader.options.orderTimeoutMs;
        output.decisions.push_back({"stop-unknown-run", life.registration.id, "job=" + listed.job + " run=" + std::to_string(listed.run)});
        output.calls.push_back(std::move(call));
        return;
    }
    Run &run = found->second;
    noteBegun(leader, state, task.job);
    if (!listed.checkpoint.empty()) {
        run.checkpoint = listed.checkpoint;
    }
    if (run.phase == RunPhase::Starting || run.phase == RunPhase::Inherited) {
        run.phase = RunPhase::Running;
        run.startedAtMs = now.steadyMs;
        run.orderPending = false;
    }
    if (run.phase == RunPhase::Voiding) {
        run.stopAnswered = false; // It did begin; the end will be listed.
    }
    if (run.stopRequested && run.phase == RunPhase::Running) {
        endWanted(leader, state, life, run, now, output);
    }
}

wire::RunEnd countEnd(Leader &leader, UpstreamState &life, wire::RunEnd end)
{
    LeaderCounters &counters = leader.counters;
    constexpr double forget = 0.9;
    switch (end) {
    case wire::RunEnd::Done:
        ++counters.endsDone;
        life.successes = life.successes * forget + 1;
        life.failures *= forget;
        break;
    case wire::RunEnd::Failed:
        ++counters.endsFailed;
        life.failures = life.failures * forget + 1;
        life.successes *= forget;
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

void takeEnds(Leader &leader, const job::State &state, UpstreamState &life, const std::vector<ListedEnd> &ends, const Now &now, LeaderOutput &output)
{
    wire::RunsEndedT record;
    for (const ListedEnd &end : ends) {
        if (end.number <= life.proposedEnd) {
            continue;
        }
        life.proposedEnd = end.number;
        job::TaskRef task = end.task;
        const auto number = state.byId.find(end.job);
        task.job = number == state.byId.end() ? 0 : number->second;
        const auto found = life.runs.find(task);
        if (found == life.runs.end() || found->second.number != end.run) {
            const job::Task *known = job::findTask(state, task);
            if (end.end == wire::RunEnd::Done && known != nullptr && known->run == end.run && leader.placed.count(task) == 0) {
                Run given; // Given up with its lease, and not placed again since: it was done all the same.
                given.task = task;
                given.number = end.run;
                proposeEnd(given, end.end, end.checkpoint, record);
            }
            continue; // Any other was recorded another way.
        }
        noteBegun(leader, state, task.job);
        const std::string &checkpoint = end.checkpoint.empty() ? found->second.checkpoint : end.checkpoint;
        proposeEnd(found->second, countEnd(leader, life, end.end), checkpoint, record);
        if (end.end != wire::RunEnd::Done) {
            output.decisions.push_back({"run-ended",
                                        end.job,
                                        "step=" + std::to_string(task.step) + " index=" + std::to_string(task.index) + " run=" + std::to_string(end.run)
                                            + " end=" + wire::EnumNameRunEnd(end.end) + " upstream=" + life.registration.id});
        }
        releaseRun(leader, life, task); // Its room is free with the listed end.
        leader.placeSoon = true;
    }
    if (life.proposedEnd > life.recordedEnd && !ends.empty()) {
        record.upstream = life.registration.number;
        record.born = life.registration.born;
        record.upTo = life.proposedEnd;
        proposeEnds(std::move(record), now, output);
    }
}

/** Ends what the upstream's lists leave out although they were made after its start was confirmed, or after it was fenced. */
void endAbsent(Leader &leader, UpstreamState &life, const OpenCall &look, const UpstreamReply &reply, const job::State &state, const Now &now,
               LeaderOutput &output)
{
    if (reply.ended.size() >= longestEndList) {
        return;
    }
    std::set<job::TaskRef> listed;
    for (const ListedRun &run : reply.running) {
        const auto number = state.byId.find(run.job);
        if (number != state.byId.end()) {
            listed.insert({number->second, run.task.occurrence, run.task.step, run.task.index});
        }
    }
    wire::RunsEndedT record;
    std::vector<job::TaskRef> over;
    for (const auto &[task, run] : life.runs) {
        if (listed.count(task) > 0) {
            continue;
        }
        const bool inherited = run.phase == RunPhase::Inherited;
        const bool vanished = (run.phase == RunPhase::Running || run.phase == RunPhase::Stopping) && run.startedAtMs > 0 && run.startedAtMs < look.sentMs;
        const bool voided = run.phase == RunPhase::Voiding && run.stopAnswered && run.stopAnsweredMs < look.sentMs;
        if (inherited || vanished || voided) {
            const wire::RunEnd end = voided ? wire::RunEnd::Never : wire::RunEnd::Lost;
            ++(voided ? leader.counters.runsNever : leader.counters.runsLost);
            proposeEnd(run, end, run.checkpoint, record);
            over.push_back(task);
        }
    }
    for (const job::TaskRef &task : over) {
        output.decisions.push_back({"run-absent", life.registration.id, "job=" + std::to_string(task.job) + " index=" + std::to_string(task.index)});
        releaseRun(leader, life, task);
        leader.placeSoon = true;
    }
    proposeEnds(std::move(record), now, output);
}

void takeLook(Leader &leader, const job::State &state, UpstreamState &life, const OpenCall &look, const UpstreamReply &reply, const Now &now,
              LeaderOutput &output)
{
    life.pollPending = false;
    if (reply.born != 0 && reply.born != life.registration.born) {
        life.listsRead = false; // Its heartbeat will tell of the new process.
        life.recordedEnd = life.proposedEnd = life.acknowledgedEnd = 0;
        life.nextPollMs = now.steadyMs + silentLookMs;
        return;
    }
    if (reply.fate == CallFate::OtherLife) {
        endLife(leader, life, "other-incarnation", now, output);
        return;
    }
    if (reply.fate != CallFate::Done || !reply.hasLists) {
        if (!life.silent) {
            output.decisions.push_back({"upstream-silent",
                                        life.registration.id,
                                        "fate=" + std::to_string(static_cast<int>(reply.fate)) + " runs=" + std::to_string(life.runs.size())});
        }
        life.silent = life.silent || reply.fate == CallFate::NoAnswer;
        life.nextPollMs = now.steadyMs + silentLookMs;
        ++leader.counters.looksUnanswered;
        return;
    }
    if (life.silent) {
        output.decisions.push_back({"upstream-answers", life.registration.id, "runs=" + std::to_string(life.runs.size())});
    }
    life.silent = false;
    life.listsRead = true;
    life.unansweredStarts = 0;
    life.lastContactMs = now.steadyMs;
    upstream::recordClock(life, reply.clockMs, now.steadyMs);
    for (const ListedRun &listed : reply.running) {
        followListed(leader, state, life, look, listed, now, output);
    }
    takeEnds(leader, state, life, reply.ended, now, output);
    endAbsent(leader, life, look, reply, state, now, output);
    if (reply.running.empty() && reply.ended.empty()) {
        leader.placeSoon = true;
    }
}

void takeStart(Leader &leader, const job::State &state, UpstreamState &life, Run &run, CallFate fate, const Now &now, LeaderOutput &output)
{
    run.orderPending = false;
    switch (fate) {
    case CallFate::Done:
        noteBegun(leader, state, run.task.job);
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.startedAtMs = now.steadyMs;
            life.unansweredStarts = 0;
            if (run.stopRequested) {
                endWanted(leader, state, life, run, now, output);
            }
        }
        return;
    case CallFate::NoAnswer:
        ++leader.counters.startsUnanswered;
        ++life.unansweredStarts;
        // The lapse bound counts on the clock of the process that was meant; another one under the id bounds the lease by its longest.
        run.mayRunUntilMs = now.steadyMs + upstream::maxLocalMs(leader.options.longestLeaseMs, leader.options.lease);
        return; // Sent again by the next tick.
    case CallFate::Fenced: // Another leader orders; the log will tell.
    case CallFate::TooLate: // The clock sample was old; sent again with a fresh one.
        return;
    case CallFate::Outdated:
    case CallFate::NoRoom:
    case CallFate::BadTicket:
    case CallFate::Refused:
    case CallFate::Busy:
    case CallFate::OtherLife:
        break;
    }
    ++leader.counters.startsRejected;
    output.decisions.push_back({"start-rejected",
                                life.registration.id,
                                "job=" + std::to_string(run.task.job) + " run=" + std::to_string(run.number) + " fate=" + std::to_string(static_cast<int>(fate))
                                    + " orders=" + std::to_string(run.startsSent)});
    if (run.phase != RunPhase::Starting) {
        return;
    }
    if (fate == CallFate::Busy) {
        constexpr std::uint64_t busyPauseMs = 1000;
        life.avoidedUntilMs = now.steadyMs + busyPauseMs;
    }
    if (run.startsSent > 1 || fate == CallFate::Outdated) {
        run.phase = RunPhase::Voiding; // An earlier copy of the order may still be carried out.
        run.stopAnswered = false;
        return;
    }
    ++leader.counters.runsNever;
    wire::RunsEndedT record;
    proposeEnd(run, wire::RunEnd::Never, {}, record);
    proposeEnds(std::move(record), now, output);
    releaseRun(leader, life, run.task);
}

void takeStop(Run &run, CallFate fate, const Now &now)
{
    run.orderPending = false;
    if (fate == CallFate::Done) {
        run.stopAnswered = true;
        run.stopAnsweredMs = now.steadyMs;
    }
}
}

void tickLives(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    for (auto &[number, life] : leader.lives) {
        // While its heartbeats come, a look is likely to tell soon what became of its runs; without them nothing will.
        const bool heard = now.steadyMs < life.lastContactMs + leader.options.quietMs;
        const std::uint64_t patienceMs = heard ? heardPatienceMs : 0;
        if (now.steadyMs > life.lapseBoundMs + patienceMs && life.lapseBoundMs > 0 && !life.runs.empty()) {
            lapse(leader, life, now, output);
        }
        const std::uint64_t lookLostMs = life.pollSentMs + leader.options.lookWaitMs + 2 * leader.options.lookTimeoutMs;
        if (life.pollPending && now.steadyMs > lookLostMs) { // The reply was lost on this side; without this nothing would renew its leases.
            life.pollPending = false;
            life.silent = true;
            ++leader.counters.looksUnanswered;
        }
        tickRuns(leader, state, life, now, output);
        if (needsLook(life, now)) {
            sendLook(leader, life, now, output);
        }
    }
    constexpr std::uint64_t forgetScanMs = 1000;
    if (now.steadyMs < leader.nextForgetMs) {
        return;
    }
    leader.nextForgetMs = now.steadyMs + forgetScanMs;
    for (auto entry = leader.lives.begin(); entry != leader.lives.end();) {
        const UpstreamState &life = entry->second;
        if (life.runs.empty() && now.steadyMs > life.lastContactMs + leader.options.forgetMs) {
            wire::UpstreamGoneT record;
            record.number = entry->first;
            output.proposals.push_back(wire::encodeChange(record));
            leader.liveById.erase(life.registration.id);
            entry = leader.lives.erase(entry);
        } else {
            ++entry;
        }
    }
}
}

namespace rosemaryturn::deployment
{
void takeUpstreamReply(Leader &leader, const job::State &state, const UpstreamReply &reply, const Now &now, LeaderOutput &output)
{
    const auto found = leader.open.find(reply.id);
    if (found == leader.open.end()) {
        return; // Of an earlier term, or a call whose answer nobody waits for.
    }
    const OpenCall open = found->second;
    leader.open.erase(found);
    const auto lifeEntry = leader.lives.find(open.upstream);
    if (!leader.active || lifeEntry == leader.lives.end() || lifeEntry->second.registration.born != open.born) {
        return;
    }
    upstream::UpstreamState &life = lifeEntry->second;
    if (open.kind == CallKind::Look) {
        internal::takeLook(leader, state, life, open, reply, now, output);
        return;
    }
    if (reply.fate == CallFate::OtherLife) {
        internal::endLife(leader, life, "other-incarnation", now, output);
        return;
    }
    const auto run = life.runs.find(open.task);
    if (run == life.runs.end() || run->second.number != open.run) {
        return;
    }
    if (open.kind == CallKind::Start) {
        if (reply.fate != CallFate::NoAnswer) {
            noteLatency(leader.counters.startAnswers, now.steadyMs - open.sentMs);
        }
        internal::takeStart(leader, state, life, run->second, reply.fate, now, output);
    } else if (open.kind == CallKind::Stop) {
        internal::takeStop(run->second, reply.fate, now);
    }
}
}
