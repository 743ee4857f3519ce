#include "deployment/placing.h"

#include "policy/gangreservation.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rosemaryturn::deployment
{
namespace internal
{
namespace
{
using upstream::Run;
using upstream::UpstreamState;

/** A ticket is used only while it holds at least this long: its record, the order and its way take that. */
constexpr std::uint64_t ticketSpareMs = 200;
/** Of each priority, after this many attempts without success a pass tries no more: a backlog must not take the time that
 *  looks and orders need. */
constexpr std::uint32_t mostFailuresAPass = 32;
/** Pause after the first attempt in vain to place a step of the most urgent queue. */
constexpr std::uint64_t urgentTryAgainMs = 12;
/** Pause after the first attempt in vain to place a step of a less urgent queue: each looks at all upstreams. */
constexpr std::uint64_t tryAgainMs = 40;
/** Longest such pause. It doubles with each attempt, so that what finds no room leaves the pass to what stands behind it. */
constexpr std::uint64_t longestTryAgainMs = 160;
/** Of all upstreams, at most one in this many is kept free for gangs. */
constexpr std::size_t mostKeptShare = 3;

std::uint32_t presentOn(const UpstreamState &life, const StepRef &ref)
{
    std::uint32_t count = 0;
    for (auto run = life.runs.lower_bound({ref.job, ref.occurrence, ref.step, 0}); run != life.runs.end(); ++run) {
        const job::TaskRef &task = run->first;
        if (task.job != ref.job || task.occurrence != ref.occurrence || task.step != ref.step) {
            break;
        }
        ++count;
    }
    return count;
}

/** @param needsTickets whether the queue's steps run only where the advice service allows. @return the upstreams that have room for a task of the step. */
std::vector<policy::SpreadCandidate> candidatesFor(const Attempt &attempt, bool needsTickets, const Now &now)
{
    std::vector<policy::SpreadCandidate> candidates;
    const model::Resources need = needOf(attempt.step);
    forEachEligible(attempt, [&](const Spot &spot, Standing, const Ticket *ticket) {
        const bool ticketed = !needsTickets || (ticket != nullptr && isValid(*ticket, *spot.life, now));
        if (ticketed && model::fits(need, upstream::freeCapacity(*spot.life))) {
            candidates.push_back(candidateFor(attempt, spot));
        }
    });
    return candidates;
}

void recordPlacement(Leader &leader, const job::State &state, const Attempt &attempt, const std::vector<std::uint32_t> &picked, wire::RunsPlacedT &record)
{
    const StepRef &ref = attempt.waiting.ref;
    std::vector<std::uint32_t> &unplaced = attempt.waiting.unplaced;
    std::uint32_t gangRun = 0;
    for (std::uint32_t index = 0; index < attempt.step.count; ++index) {
        const job::Task *task = job::findTask(state, {ref.job, ref.occurrence, ref.step, index});
        gangRun = std::max(gangRun, task == nullptr ? 0 : task->run);
    }
    for (std::size_t i = 0; i < picked.size(); ++i) {
        const job::TaskRef task{ref.job, ref.occurrence, ref.step, unplaced[i]};
        const job::Task *before = job::findTask(state, task);
        Run run;
        run.task = task;
        run.number = (attempt.step.gang ? gangRun : (before == nullptr ? 0 : before->run)) + 1;
        run.need = needOf(attempt.step);
        run.gang = attempt.step.gang;
        const auto ticket = attempt.advice.allowed.find(picked[i]);
        run.ticket = ticket == attempt.advice.allowed.end() ? "" : ticket->second.text;
        record.runs.emplace_back(task.job, picked[i], task.occurrence, task.step, task.index, run.number);
        leader.placed[task] = picked[i];
        upstream::addRun(leader.lives.at(picked[i]), std::move(run));
    }
    unplaced.erase(unplaced.begin(), unplaced.begin() + static_cast<std::ptrdiff_t>(picked.size()));
}

/** @return the room of an upstream once all but its gangs are done. */
model::Resources roomSoon(const UpstreamState &life)
{
    model::Resources room = upstream::freeCapacity(life);
    for (const auto &[task, run] : life.runs) {
        if (!run.gang) {
            room = room + run.need;
        }
    }
    return room;
}

std::size_t keptCount(const Attempt &attempt)
{
    return static_cast<std::size_t>(std::count_if(attempt.spots.begin(), attempt.spots.end(), [](const Spot &spot) {
        return spot.kept;
    }));
}

/** Marks what is kept free for a step. */
void markKept(const WaitingStep &waiting, std::span<Spot> spots)
{
    for (const std::uint32_t number : waiting.kept) {
        const auto spot = std::lower_bound(spots.begin(), spots.end(), number, [](const Spot &other, std::uint32_t wanted) {
            return other.life->registration.number < wanted;
        });
        if (spot != spots.end() && spot->life->registration.number == number) {
            spot->kept = true;
        }
    }
}

/** Keeps upstreams free for a gang that has no room yet. */
void keepRoom(const Attempt &attempt, const Now &now)
{
    if (!attempt.step.gang || keptCount(attempt) >= attempt.spots.size() / mostKeptShare
        || policy::prospectOf(attempt.waiting.key, static_cast<std::int64_t>(now.steadyMs)) == policy::Prospect::TooLate) {
        return;
    }
    const policy::SpreadNeed need = needFor(attempt);
    std::vector<policy::ReservationCandidate> candidates;
    forEachEligible(attempt, [&](const Spot &spot, Standing standing, const Ticket *) {
        if (attempt.queue.advised && standing != Standing::Allowed) {
            return;
        }
        policy::SpreadCandidate candidate = candidateFor(attempt, spot);
        const std::uint32_t fitsNow = policy::roomFor(need, candidate);
        candidate.free = roomSoon(*spot.life);
        candidates.push_back({spot.life->registration.number, fitsNow, std::max(fitsNow, policy::roomFor(need, candidate))});
    });
    attempt.waiting.kept = policy::reserveForGang(candidates, need.count);
    markKept(attempt.waiting, attempt.spots);
}

std::uint64_t pauseAfter(const WaitingStep &waiting)
{
    const std::uint64_t first = waiting.key.priority > 0 ? tryAgainMs : urgentTryAgainMs;
    constexpr std::uint32_t mostDoublings = 4;
    return std::min(first << std::min(waiting.vainTries, mostDoublings), longestTryAgainMs);
}

/** Places what has room and tickets, and asks for tickets where only they are missing. */
void tryPlace(Leader &leader, const job::State &state, Attempt &attempt, const Now &now, wire::RunsPlacedT &record, LeaderOutput &output)
{
    const policy::SpreadNeed need = needFor(attempt);
    attempt.waiting.kept.clear();
    std::vector<policy::SpreadCandidate> candidates = candidatesFor(attempt, attempt.queue.advised, now);
    if (isEnough(attempt, policy::roomForAll(need, candidates))) {
        const std::vector<std::uint32_t> picked = policy::spread(need, candidates);
        output.decisions.push_back({"place",
                                    attempt.waiting.name,
                                    "tasks=" + std::to_string(picked.size()) + " candidates=" + std::to_string(candidates.size())
                                        + " waitedMs=" + std::to_string(now.steadyMs - attempt.waiting.sinceMs)});
        noteLatency(leader.counters.waits, now.steadyMs - attempt.waiting.sinceMs);
        recordPlacement(leader, state, attempt, picked, record);
        attempt.waiting.vainTries = 0;
    }
    if (attempt.waiting.unplaced.empty()) {
        return;
    }
    attempt.waiting.tryAgainMs = now.steadyMs + pauseAfter(attempt.waiting);
    ++attempt.waiting.vainTries;
    if (attempt.queue.advised) {
        askIfUseful(leader, attempt, now, output);
    }
    keepRoom(attempt, now);
}

/** A waiting step and its place in the order. */
struct Ranked
{
    decltype(policy::waitingRank({}, 0)) rank;
    WaitingStep *waiting = nullptr;
};

/** @return the steps that may be placed now, in the order in which they are tried. */
std::vector<Ranked> orderOfTrial(Leader &leader, const Now &now)
{
    std::vector<Ranked> order;
    order.reserve(leader.waiting.size());
    const auto nowMs = static_cast<std::int64_t>(now.steadyMs);
    for (auto &[ref, waiting] : leader.waiting) {
        if (waiting.dueWallMs > now.wallMs) {
            leader.placeSoon = true;
        } else if (!waiting.unplaced.empty()) {
            order.push_back({policy::waitingRank(waiting.key, nowMs), &waiting});
        }
    }
    std::sort(order.begin(), order.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.rank, a.waiting->ref) < std::tie(b.rank, b.waiting->ref);
    });
    return order;
}

/** @return whether the upstreams have room to spare for a step that is too late. */
bool isRoomToSpare(ServiceFloor &floor)
{
    if (!floor.roomToSpare) {
        model::Resources used;
        model::Resources whole;
        for (const Spot &spot : floor.spots) {
            used = used + spot.life->used;
            whole = whole + spot.life->capacity;
        }
        floor.roomToSpare = policy::isRoomToSpare(used, whole);
    }
    return *floor.roomToSpare;
}

/** Tries to place a step. @return whether it was tried in vain. */
bool triedInVain(Leader &leader, const job::State &state, WaitingStep &waiting, Floor &floor, const Now &now, wire::RunsPlacedT &record, LeaderOutput &output)
{
    const job::Job &job = state.jobs.at(waiting.ref.job);
    const wire::QueueSpecT *queue = job::queueOf(state, job);
    if (queue == nullptr) {
        return false; // No configuration sends the queue anywhere.
    }
    ServiceFloor &upstreams = floor[queue->service];
    Advice &advice = leader.advice[waiting.name];
    advice.usedMs = now.steadyMs;
    // Without a ticket there is nothing to try until the answer comes; a backlog whose tickets ran out must not use up the pass.
    const bool ticketless = queue->advised && now.steadyMs + ticketSpareMs >= advice.ticketsUntilMs;
    const bool nothingKnown = ticketless && advice.call != 0;
    if (nothingKnown || (now.steadyMs < waiting.tryAgainMs && advice.answeredMs < leader.placedBeforeMs)) {
        leader.placeSoon = leader.placeSoon || !nothingKnown;
        markKept(waiting, upstreams.spots);
        return false;
    }
    Attempt attempt{waiting, *job.spec.steps[waiting.ref.step], *queue, advice, upstreams.spots};
    const bool tooLate = policy::prospectOf(waiting.key, static_cast<std::int64_t>(now.steadyMs)) == policy::Prospect::TooLate;
    if (tooLate && !isRoomToSpare(upstreams)) {
        leader.placeSoon = true;
        waiting.tryAgainMs = now.steadyMs + tryAgainMs;
        waiting.kept.clear();
        return false;
    }
    const std::size_t before = waiting.unplaced.size();
    tryPlace(leader, state, attempt, now, record, output);
    if (waiting.unplaced.size() < before) {
        upstreams.roomToSpare.reset();
    }
    const bool askedOnly = ticketless && advice.call != 0;
    return !waiting.unplaced.empty() && !askedOnly;
}
}

Floor gatherFloor(Leader &leader, const Now &now)
{
    Floor floor;
    std::vector<Spot> *list = nullptr;
    const std::string *service = nullptr;
    for (auto &[number, life] : leader.lives) {
        if (!mayPlaceOn(leader, life, now)) {
            continue;
        }
        if (service == nullptr || *service != life.registration.service) {
            service = &life.registration.service;
            list = &floor[*service].spots;
        }
        list->push_back({&life});
    }
    return floor;
}

model::Resources needOf(const wire::StepSpecT &step)
{
    // A step that fills takes processors that others leave unused; only its memory is set aside.
    return {step.fills ? 0 : step.cpuMillis, step.memoryMb, step.accelerators, 0};
}

policy::SpreadNeed needFor(const Attempt &attempt)
{
    policy::SpreadNeed need;
    need.task = needOf(attempt.step);
    need.count = static_cast<std::uint32_t>(attempt.waiting.unplaced.size());
    need.mostPerUpstream = attempt.step.mostPerUpstream;
    need.oneRack = attempt.step.rackLocal;
    return need;
}

policy::SpreadCandidate candidateFor(const Attempt &attempt, const Spot &spot)
{
    const UpstreamState &life = *spot.life;
    policy::SpreadCandidate candidate;
    candidate.upstream = life.registration.number;
    candidate.free = upstream::freeCapacity(life);
    candidate.present = attempt.step.mostPerUpstream > 0 ? presentOn(life, attempt.waiting.ref) : 0;
    candidate.rack = upstream::rackOf(life);
    candidate.penalty = spot.kept ? 1 : 0;
    candidate.near = attempt.step.dataRack.empty() || candidate.rack == attempt.step.dataRack;
    return candidate;
}

bool isEligible(const Attempt &attempt, const Spot &spot)
{
    const bool closed = spot.kept && attempt.queue.priority > 0; // The most urgent queue may go there: its work is over soon.
    return !closed && upstream::hasLabel(*spot.life, attempt.step.label);
}

bool isEnough(const Attempt &attempt, std::size_t room)
{
    return attempt.step.gang ? room >= attempt.step.count && attempt.waiting.unplaced.size() == attempt.step.count : room > 0;
}

bool isValid(const Ticket &ticket, const upstream::UpstreamState &life, const Now &now)
{
    return ticket.born == life.registration.born && now.steadyMs + ticketSpareMs < ticket.validUntilMs;
}

bool mayPlaceOn(const Leader &leader, const UpstreamState &life, const Now &now)
{
    return life.registered && life.listsRead && !life.silent && !life.gone && !life.registration.draining && life.clock.known && life.unansweredStarts < 2
        && now.steadyMs < life.lastContactMs + leader.options.quietMs && now.steadyMs >= life.avoidedUntilMs;
}

void placeWaiting(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    leader.placeSoon = false;
    leader.placedBeforeMs = leader.placedMs;
    leader.placedMs = now.steadyMs;
    const std::vector<Ranked> order = orderOfTrial(leader, now);
    Floor floor = gatherFloor(leader, now);
    if (floor.empty()) {
        leader.placeSoon = leader.placeSoon || !order.empty();
        return;
    }
    wire::RunsPlacedT record;
    std::map<std::uint32_t, std::uint32_t> failures; ///< Attempts without success in this pass, by priority.
    for (const Ranked &entry : order) {
        WaitingStep &waiting = *entry.waiting;
        std::uint32_t &failed = failures[waiting.key.priority];
        if (failed >= mostFailuresAPass) {
            leader.placeSoon = true; // Its turn comes while those before it pause.
        } else if (triedInVain(leader, state, waiting, floor, now, record, output)) {
            ++failed;
        }
    }
    if (!record.runs.empty()) {
        record.atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
}
}

void placeIfDue(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t placeEveryMs = 4; // Lets the events of a burst share a pass over what waits.
    constexpr std::size_t waitingPerMs = 25; // A pass sorts all that waits: a long backlog is looked at less often.
    constexpr std::uint64_t longestPauseMs = 60;
    internal::scanDue(leader, state, now);
    const std::uint64_t pauseMs = std::min(placeEveryMs + leader.waiting.size() / waitingPerMs, longestPauseMs);
    if (leader.placeSoon && now.steadyMs >= leader.placedMs + pauseMs) {
        internal::placeWaiting(leader, state, now, output);
    }
}
}
