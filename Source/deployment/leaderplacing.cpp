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

/** Minimum remaining validity for a ticket to be used: committing the record and delivering the start take that long. */
constexpr std::uint64_t ticketMarginMs = 200;
/** Failed attempts per priority after which a pass tries no more steps: a backlog must not delay polls and starts. With teams it applies to each of them, so
 * that the backlog of one doesn't use up the pass. */
constexpr std::uint32_t maxFailuresPerPass = 32;
/** Failed attempts per priority of all teams: as many as those of a few teams with a backlog. */
constexpr std::uint32_t maxFailuresOfTeams = 4 * maxFailuresPerPass;
/** Delay after the first failed attempt to place a step of the most urgent priority. */
constexpr std::uint64_t urgentRetryMs = 12;
/** Delay after the first failed attempt to place another step: each attempt visits all upstreams. */
constexpr std::uint64_t retryMs = 40;
/** Maximum delay. The delay doubles with each failed attempt, so that steps that don't fit leave the pass to those ranked below. */
constexpr std::uint64_t maxRetryMs = 160;
/** Stands for several jobs in PlacementCandidate::suspectJob. */
constexpr std::uint64_t severalJobs = UINT64_MAX;
/** At most one upstream in this many is reserved for gangs. */
constexpr std::size_t reservableDivisor = 3;

std::uint32_t runCountOn(const UpstreamState &upstreamState, const StepRef &ref)
{
    std::uint32_t count = 0;
    for (auto run = upstreamState.runs.lower_bound({ref.job, ref.occurrence, ref.step, 0}); run != upstreamState.runs.end(); ++run) {
        const job::TaskRef &task = run->first;
        if (task.job != ref.job || task.occurrence != ref.occurrence || task.step != ref.step) {
            break;
        }
        ++count;
    }
    return count;
}

/** @param needsTickets whether the queue requires tickets of the advice service. @return the upstreams with capacity for a task of the step. */
std::vector<policy::UpstreamCandidate> upstreamCandidatesFor(const PlacementAttempt &attempt, bool needsTickets, const Now &now)
{
    std::vector<policy::UpstreamCandidate> candidates;
    const model::Resources need = resourcesPerTask(attempt.step);
    forEachEligible(attempt, [&](const PlacementCandidate &candidate, AdviceStatus, const Ticket *ticket) {
        const bool ticketed = !needsTickets || (ticket != nullptr && isValid(*ticket, *candidate.state, now));
        if (ticketed && model::fits(need, upstream::freeCapacity(*candidate.state))) {
            candidates.push_back(upstreamCandidateFor(attempt, candidate));
        }
    });
    return candidates;
}

/** Finds the suspects on an upstream that aren't known yet to run well. */
void findSuspects(PlacementCandidate &candidate, const Now &now)
{
    if (!candidate.state->hasSuspects) {
        return;
    }
    candidate.state->hasSuspects = false;
    for (const auto &[task, run] : candidate.state->runs) {
        if (upstream::isUnprovenSuspect(run, now.monotonicMs)) {
            candidate.state->hasSuspects = true;
            candidate.suspectJob = candidate.suspectJob == 0 || candidate.suspectJob == task.job ? task.job : severalJobs;
            candidate.exclusive = candidate.exclusive || policy::isolationFor(run.crashes) == policy::Isolation::Exclusive;
        }
    }
}

PlacementCandidate *findCandidate(std::span<PlacementCandidate> candidates, std::uint32_t number)
{
    const auto candidate = std::lower_bound(candidates.begin(), candidates.end(), number, [](const PlacementCandidate &other, std::uint32_t wanted) {
        return other.state->registration.number < wanted;
    });
    return candidate != candidates.end() && candidate->state->registration.number == number ? &*candidate : nullptr;
}

/** @return whether a task reaches the maximum of crashes if the upstreams that it was lost with turn out to have crashed. */
bool mayBeGivenUp(const Leader &leader, const job::TaskRef &ref, const job::Task &task)
{
    if (task.crashes == 0) {
        return false;
    }
    std::size_t crashes = task.crashes;
    for (const auto &[number, upstreamState] : leader.upstreams) {
        const auto &lapsedRuns = upstreamState.lapsedRuns;
        crashes += static_cast<std::size_t>(std::count_if(lapsedRuns.begin(), lapsedRuns.end(), [&](const upstream::CrashedRun &run) {
            return run.task == ref && run.number > task.crashedRun;
        }));
    }
    return crashes >= leader.options.maxPossibleCrashes;
}

/** Runs of a step's tasks that were placed exclusively. */
struct Trials
{
    std::size_t running = 0; ///< Not known yet to run well.
    std::size_t proven = 0;
};

Trials countTrials(const Leader &leader, const StepRef &ref, const Now &now)
{
    Trials trials;
    const job::TaskRef first{ref.job, ref.occurrence, ref.step, 0};
    const job::TaskRef last{ref.job, ref.occurrence, ref.step, UINT32_MAX};
    for (auto placement = leader.placements.lower_bound(first); placement != leader.placements.upper_bound(last); ++placement) {
        const auto &runs = leader.upstreams.at(placement->second).runs;
        const auto run = runs.find(placement->first);
        if (run != runs.end() && policy::isolationFor(run->second.crashes) == policy::Isolation::Exclusive) {
            ++(upstream::isUnprovenSuspect(run->second, now.monotonicMs) ? trials.running : trials.proven);
        }
    }
    return trials;
}

/** The unplaced tasks of a step by what is known of crashes under them. */
struct SuspectGroups
{
    std::vector<std::uint32_t> trials; ///< Run alone.
    std::vector<std::uint32_t> others;
    std::vector<std::uint32_t> held; ///< Wait until it is known whether another upstream has crashed.
    std::uint32_t otherCrashes = 0; ///< Largest number of crashes of the others.
};

SuspectGroups groupBySuspicion(const Leader &leader, const job::State &state, const WaitingStep &waiting)
{
    SuspectGroups groups;
    for (const std::uint32_t index : waiting.unplaced) {
        const job::TaskRef ref{waiting.ref.job, waiting.ref.occurrence, waiting.ref.step, index};
        const job::Task *task = job::findTask(state, ref);
        const std::uint32_t crashes = task == nullptr ? 0 : task->crashes;
        if (task != nullptr && mayBeGivenUp(leader, ref, *task)) {
            groups.held.push_back(index);
        } else if (policy::isolationFor(crashes) == policy::Isolation::Exclusive) {
            groups.trials.push_back(index);
        } else {
            groups.others.push_back(index);
            groups.otherCrashes = std::max(groups.otherCrashes, crashes);
        }
    }
    return groups;
}

/**
 * Limits an attempt to place a step under whose tasks upstreams have crashed. A gang is placed whole; of other steps, a part of the suspects or the rest.
 * @param leader the leader state. @param state the replicated state. @param attempt receives the isolation and the number of tasks, which come first among the
 * unplaced ones. @param now the current time.
 */
void limitAttempt(const Leader &leader, const job::State &state, PlacementAttempt &attempt, const Now &now)
{
    WaitingStep &waiting = attempt.waiting;
    SuspectGroups groups = groupBySuspicion(leader, state, waiting);
    if (attempt.step.gang) {
        attempt.isolation = policy::isolationFor(waiting.crashes);
        attempt.maxTasks = groups.held.empty() ? attempt.maxTasks : 0;
        return;
    }
    const Trials counted = countTrials(leader, waiting.ref, now);
    const std::size_t trials = policy::trialsAllowed(groups.trials.size(), counted.running, counted.proven);
    attempt.isolation = trials > 0 ? policy::Isolation::Exclusive : policy::isolationFor(groups.otherCrashes);
    attempt.maxTasks = trials > 0 ? trials : groups.others.size();
    std::vector<std::uint32_t> &first = trials > 0 ? groups.trials : groups.others;
    const std::vector<std::uint32_t> &second = trials > 0 ? groups.others : groups.trials;
    first.insert(first.end(), second.begin(), second.end());
    first.insert(first.end(), groups.held.begin(), groups.held.end());
    waiting.unplaced = std::move(first);
}

void recordPlacement(Leader &leader, const job::State &state, const PlacementAttempt &attempt, const std::vector<std::uint32_t> &chosen, const Now &now,
                     wire::RunsPlacedT &record)
{
    const StepRef &ref = attempt.waiting.ref;
    std::vector<std::uint32_t> &unplaced = attempt.waiting.unplaced;
    std::uint32_t lastGangRun = 0;
    for (std::uint32_t index = 0; index < attempt.step.count; ++index) {
        const job::Task *task = job::findTask(state, {ref.job, ref.occurrence, ref.step, index});
        lastGangRun = std::max(lastGangRun, task == nullptr ? 0 : task->run);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const job::TaskRef task{ref.job, ref.occurrence, ref.step, unplaced[i]};
        const job::Task *before = job::findTask(state, task);
        Run run;
        run.task = task;
        run.number = (attempt.step.gang ? lastGangRun : (before == nullptr ? 0 : before->run)) + 1;
        run.need = resourcesPerTask(attempt.step);
        run.charged = chargePerTask(attempt.step);
        run.team = attempt.waiting.team;
        run.gang = attempt.step.gang;
        run.longRunning = attempt.step.longRunning;
        run.crashes = before == nullptr ? 0 : before->crashes;
        const auto ticket = attempt.advice.allowed.find(chosen[i]);
        run.ticket = ticket == attempt.advice.allowed.end() ? "" : ticket->second.text;
        record.runs.emplace_back(task.job, chosen[i], task.occurrence, task.step, task.index, run.number);
        const bool suspect = run.crashes > 0;
        addPlacedRun(leader, leader.upstreams.at(chosen[i]), std::move(run));
        PlacementCandidate *candidate = suspect ? findCandidate(attempt.candidates, chosen[i]) : nullptr;
        if (candidate != nullptr) {
            findSuspects(*candidate, now);
        }
    }
    unplaced.erase(unplaced.begin(), unplaced.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
}

/** @return the capacity that is free once all runs but the members of gangs have ended. */
model::Resources capacityWithoutBatch(const UpstreamState &upstreamState)
{
    model::Resources gangs;
    for (const auto &[task, run] : upstreamState.runs) {
        if (run.gang) {
            gangs = gangs + run.need;
        }
    }
    return upstreamState.capacity - gangs;
}

std::size_t reservedCount(const PlacementAttempt &attempt)
{
    return static_cast<std::size_t>(std::count_if(attempt.candidates.begin(), attempt.candidates.end(), [](const PlacementCandidate &candidate) {
        return candidate.reserved;
    }));
}

/** Marks the candidates that are reserved for a step. */
void markReserved(const WaitingStep &waiting, std::span<PlacementCandidate> candidates)
{
    for (const std::uint32_t number : waiting.reserved) {
        if (PlacementCandidate *candidate = findCandidate(candidates, number)) {
            candidate->reserved = true;
        }
    }
}

/** Reserves upstreams for a gang that doesn't fit yet. */
void reserveCapacity(const PlacementAttempt &attempt, const Now &now)
{
    if (!attempt.step.gang || reservedCount(attempt) >= attempt.candidates.size() / reservableDivisor
        || policy::timelinessOf(attempt.waiting.key, static_cast<std::int64_t>(now.monotonicMs)) == policy::Timeliness::TooLate) {
        return;
    }
    const policy::StepDemand need = stepDemandFor(attempt);
    std::vector<policy::ReservationCandidate> candidates;
    forEachEligible(attempt, [&](const PlacementCandidate &candidate, AdviceStatus status, const Ticket *) {
        if (attempt.queue.advised && status != AdviceStatus::Allowed) {
            return;
        }
        policy::UpstreamCandidate upstreamCandidate = upstreamCandidateFor(attempt, candidate);
        const std::uint32_t fitsNow = policy::taskCapacity(need, upstreamCandidate);
        upstreamCandidate.free = capacityWithoutBatch(*candidate.state);
        candidates.push_back({candidate.state->registration.number, fitsNow, std::max(fitsNow, policy::taskCapacity(need, upstreamCandidate))});
    });
    attempt.waiting.reserved = policy::reserveForGang(candidates, need.count);
    markReserved(attempt.waiting, attempt.candidates);
}

std::uint64_t retryPauseMs(const WaitingStep &waiting)
{
    const std::uint64_t first = waiting.key.priority > 0 ? retryMs : urgentRetryMs;
    constexpr std::uint32_t maxDoublings = 4;
    return std::min(first << std::min(waiting.failedAttempts, maxDoublings), maxRetryMs);
}

/** Logs why a step that has waited for a while isn't placed, for one step at a time. */
void reportWait(Leader &leader, const PlacementAttempt &attempt, std::size_t usable, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t minWaitMs = 1000;
    constexpr std::uint64_t reportIntervalMs = 250;
    const std::uint64_t waitedMs = now.monotonicMs - attempt.waiting.waitingSinceMs;
    if (waitedMs < minWaitMs || now.monotonicMs < leader.nextWaitReportMs) {
        return;
    }
    leader.nextWaitReportMs = now.monotonicMs + reportIntervalMs;
    const policy::StepDemand need = stepDemandFor(attempt);
    std::size_t allowed = 0;
    std::size_t unknown = 0;
    std::uint64_t fitsOnAllowed = 0;
    std::uint64_t fitsOnUnknown = 0;
    forEachEligible(attempt, [&](const PlacementCandidate &candidate, AdviceStatus status, const Ticket *) {
        const std::uint32_t fits = policy::taskCapacity(need, upstreamCandidateFor(attempt, candidate));
        allowed += status == AdviceStatus::Allowed ? 1 : 0;
        unknown += status == AdviceStatus::Unknown ? 1 : 0;
        fitsOnAllowed += status == AdviceStatus::Allowed ? fits : 0;
        fitsOnUnknown += status == AdviceStatus::Unknown ? fits : 0;
    });
    const auto reserved = std::count_if(attempt.candidates.begin(), attempt.candidates.end(), [](const PlacementCandidate &candidate) {
        return candidate.reserved;
    });
    output.decisions.push_back({"not-placed",
                                attempt.waiting.name,
                                "tasks=" + std::to_string(need.count) + " waitedMs=" + std::to_string(waitedMs) + " usable=" + std::to_string(usable)
                                    + " allowed=" + std::to_string(allowed) + " fitsOnAllowed=" + std::to_string(fitsOnAllowed)
                                    + " unknown=" + std::to_string(unknown) + " fitsOnUnknown=" + std::to_string(fitsOnUnknown)
                                    + " reserved=" + std::to_string(reserved) + " upstreams=" + std::to_string(attempt.candidates.size())
                                    + " advicePending=" + std::to_string(attempt.advice.pendingCalls.size())});
}

/** Notes that only the limit of its team holds a step back. It keeps no upstreams and requests no advice, and is tried again once the usage falls. */
void holdByTeamLimit(Leader &leader, WaitingStep &waiting, const Now &now, LeaderOutput &output)
{
    waiting.reserved.clear();
    if (waiting.heldByTeamLimit) {
        return;
    }
    constexpr std::uint64_t reportIntervalMs = 250;
    waiting.heldByTeamLimit = true;
    ++leader.counters.stepsHeldByTeamLimit;
    if (now.monotonicMs >= leader.nextHoldReportMs) {
        leader.nextHoldReportMs = now.monotonicMs + reportIntervalMs;
        output.decisions.push_back({"held-by-team-limit", waiting.name, describeTeamUsage(leader, waiting.team)});
    }
}

/** Places the tasks that fit, and requests tickets if only they are missing. */
void tryPlace(Leader &leader, const job::State &state, PlacementAttempt &attempt, const Now &now, wire::RunsPlacedT &record, LeaderOutput &output)
{
    const policy::StepDemand need = stepDemandFor(attempt);
    attempt.waiting.reserved.clear();
    std::vector<policy::UpstreamCandidate> candidates = upstreamCandidatesFor(attempt, attempt.queue.advised, now);
    if (isEnoughCapacity(attempt, policy::totalTaskCapacity(need, candidates))) {
        const std::vector<std::uint32_t> chosen = policy::placeStep(need, candidates);
        output.decisions.push_back({"place",
                                    attempt.waiting.name,
                                    "tasks=" + std::to_string(chosen.size()) + " candidates=" + std::to_string(candidates.size())
                                        + " waitedMs=" + std::to_string(now.monotonicMs - attempt.waiting.waitingSinceMs)});
        recordLatency(leader.counters.stepWaits, now.monotonicMs - attempt.waiting.waitingSinceMs);
        recordPlacement(leader, state, attempt, chosen, now, record);
        attempt.waiting.failedAttempts = 0;
    }
    if (attempt.waiting.unplaced.empty()) {
        return;
    }
    if (isHeldByTeamLimit(leader, attempt.waiting.team, attempt.step)) {
        holdByTeamLimit(leader, attempt.waiting, now, output);
        return;
    }
    reportWait(leader, attempt, candidates.size(), now, output);
    attempt.waiting.nextAttemptMs = now.monotonicMs + retryPauseMs(attempt.waiting);
    ++attempt.waiting.failedAttempts;
    if (attempt.queue.advised) {
        requestAdviceIfUseful(leader, attempt, now, output);
    }
    reserveCapacity(attempt, now);
}

/** A waiting step and its rank. */
struct RankedStep
{
    /** Whether it is too late, whether its team is over its share, and its rank otherwise. */
    std::tuple<int, bool, policy::WaitingRank> rank;
    WaitingStep *waiting = nullptr;
};

bool precedes(const RankedStep &a, const RankedStep &b)
{
    return std::tie(a.rank, a.waiting->ref) < std::tie(b.rank, b.waiting->ref);
}

/** @return the steps that may be placed now, in the order of their attempts. */
std::vector<RankedStep> rankedSteps(Leader &leader, const Now &now)
{
    std::vector<RankedStep> order;
    order.reserve(leader.waiting.size());
    const auto nowMs = static_cast<std::int64_t>(now.monotonicMs);
    for (auto &[ref, waiting] : leader.waiting) {
        if (waiting.dueWallMs > now.wallMs) {
            leader.placementNeeded = true;
        } else if (!waiting.unplaced.empty()) {
            const auto rank = policy::waitingRank(waiting.key, nowMs);
            order.push_back({{std::get<0>(rank), leader.anyOverShare && isOverShare(leader, waiting.team), rank}, &waiting});
        }
    }
    std::sort(order.begin(), order.end(), precedes);
    return order;
}

/** The steps of a pass. Those of a team that comes to be over its share by what the pass has placed move behind those of the other teams. */
struct StepSequence
{
    std::vector<RankedStep> order;
    std::vector<RankedStep> moved; ///< In their order, too.
    std::size_t nextInOrder = 0;
    std::size_t nextMoved = 0;
};

/** @return the next step to attempt; null if there is none. */
WaitingStep *takeNext(const Leader &leader, StepSequence &steps)
{
    while (steps.nextInOrder < steps.order.size()) {
        RankedStep &entry = steps.order[steps.nextInOrder];
        if (steps.nextMoved < steps.moved.size() && precedes(steps.moved[steps.nextMoved], entry)) {
            break;
        }
        ++steps.nextInOrder;
        bool &overShare = std::get<1>(entry.rank);
        if (overShare || leader.shareLimits.empty() || !isOverShare(leader, entry.waiting->team)) {
            return entry.waiting;
        }
        overShare = true;
        steps.moved.push_back(entry);
    }
    return steps.nextMoved < steps.moved.size() ? steps.moved[steps.nextMoved++].waiting : nullptr;
}

/** @return whether a step waits before its next attempt. While a team is over its share, the others don't: it would take what becomes free meanwhile. */
bool pausesBeforeRetry(const Leader &leader, const WaitingStep &waiting, const Advice &advice, const Now &now)
{
    return now.monotonicMs < waiting.nextAttemptMs && advice.answeredMs < leader.previousPlacementMs
        && (!leader.anyOverShare || isOverShare(leader, waiting.team));
}

/** @return whether the upstreams have spare capacity for a step that can't meet its objective any more. */
bool hasSpareCapacity(ServiceCandidates &serviceCandidates, const wire::StepSpecT &step, double maxUsedShare)
{
    if (!serviceCandidates.use) {
        CapacityUse &use = serviceCandidates.use.emplace();
        for (const PlacementCandidate &candidate : serviceCandidates.candidates) {
            use.used = use.used + candidate.state->used;
            use.total = use.total + candidate.state->capacity;
        }
    }
    return policy::hasSpareCapacity(resourcesPerTask(step), serviceCandidates.use->used, serviceCandidates.use->total, maxUsedShare);
}

/** Tries to place a step. @return whether an attempt was made and failed. */
bool failsToPlace(Leader &leader, const job::State &state, WaitingStep &waiting, CandidatesByService &candidatesByService, const Now &now,
                  wire::RunsPlacedT &record, LeaderOutput &output)
{
    const job::Job &job = state.jobs.at(waiting.ref.job);
    const wire::QueueSpecT *queue = job::queueOf(state, job);
    if (queue == nullptr) {
        return false; // The queue isn't configured.
    }
    const wire::StepSpecT &step = *job.spec.steps[waiting.ref.step];
    if (isHeldByTeamLimit(leader, waiting.team, step)) {
        holdByTeamLimit(leader, waiting, now, output);
        return false;
    }
    if (std::exchange(waiting.heldByTeamLimit, false)) {
        waiting.nextAttemptMs = 0;
    }
    ServiceCandidates &serviceCandidates = candidatesByService[queue->service];
    const bool tooLate = policy::timelinessOf(waiting.key, static_cast<std::int64_t>(now.monotonicMs)) == policy::Timeliness::TooLate;
    const bool othersWaited = serviceCandidates.othersWait;
    serviceCandidates.othersWait = othersWaited || !tooLate;
    Advice &advice = leader.advice[waiting.name];
    advice.lastUsedMs = now.monotonicMs;
    PlacementAttempt attempt{waiting, step, *queue, advice, serviceCandidates.candidates};
    attempt.claims = &serviceCandidates.claims;
    // Without a valid ticket an attempt fails until the reply arrives. A backlog whose tickets expired must not use up the pass.
    const bool ticketless = queue->advised && now.monotonicMs + ticketMarginMs >= advice.ticketsValidUntilMs;
    const bool awaitsAdvice = ticketless && !advice.pendingCalls.empty();
    const bool wasHeld = advice.hold != policy::AdviceHold::None;
    const bool held = (wasHeld || ticketless) && !awaitsAdvice && holdAdvice(leader, attempt, now);
    // A step that had to wait with its request makes it as soon as it may, in the order of the ranks.
    const bool paused = pausesBeforeRetry(leader, waiting, advice, now) && (held || !wasHeld);
    if (awaitsAdvice || (ticketless && held) || paused) {
        leader.placementNeeded = leader.placementNeeded || !awaitsAdvice;
        if (advice.hold == policy::AdviceHold::TooLate) {
            waiting.reserved.clear();
        }
        markReserved(waiting, serviceCandidates.candidates);
        claimCapacity(attempt, now, serviceCandidates.claims);
        return false;
    }
    if (waiting.crashes > 0) {
        limitAttempt(leader, state, attempt, now);
    }
    if (attempt.maxTasks == 0) {
        leader.placementNeeded = true;
        waiting.nextAttemptMs = now.monotonicMs + retryMs;
        return false;
    }
    attempt.maxTasks = std::min(attempt.maxTasks, tasksWithinTeamLimit(leader, waiting.team, step));
    const bool alone = waiting.key.byValue && !othersWaited;
    if (tooLate && !hasSpareCapacity(serviceCandidates, step, alone ? policy::maxUsedShareForTooLateAlone : policy::maxUsedShareForTooLate)) {
        leader.placementNeeded = true;
        waiting.nextAttemptMs = now.monotonicMs + retryMs;
        waiting.reserved.clear();
        return false;
    }
    const std::size_t before = waiting.unplaced.size();
    tryPlace(leader, state, attempt, now, record, output);
    if (waiting.unplaced.size() < before) {
        serviceCandidates.use.reset();
        updateClaims(serviceCandidates);
    }
    claimCapacity(attempt, now, serviceCandidates.claims);
    if (waiting.unplaced.empty()) {
        serviceCandidates.othersWait = othersWaited;
    }
    const bool requestedOnly = ticketless && !advice.pendingCalls.empty();
    return !waiting.unplaced.empty() && !requestedOnly && !waiting.heldByTeamLimit;
}
}

CandidatesByService gatherCandidates(Leader &leader, const Now &now)
{
    CandidatesByService candidatesByService;
    std::vector<PlacementCandidate> *list = nullptr;
    const std::string *service = nullptr;
    for (auto &[number, upstreamState] : leader.upstreams) {
        if (!mayPlaceOn(leader, upstreamState, now)) {
            continue;
        }
        if (service == nullptr || *service != upstreamState.registration.service) {
            service = &upstreamState.registration.service;
            list = &candidatesByService[*service].candidates;
        }
        list->push_back({&upstreamState});
        findSuspects(list->back(), now);
    }
    return candidatesByService;
}

model::Resources resourcesPerTask(const wire::StepSpecT &step)
{
    // A filling step uses only processor time that others leave; its memory is still reserved.
    return {step.fills ? 0 : step.cpuMillis, step.memoryMb, step.accelerators, 0};
}

policy::StepDemand stepDemandFor(const PlacementAttempt &attempt)
{
    policy::StepDemand need;
    need.task = resourcesPerTask(attempt.step);
    need.count = static_cast<std::uint32_t>(std::min(attempt.waiting.unplaced.size(), attempt.maxTasks));
    need.maxPerUpstream = attempt.step.mostPerUpstream;
    need.sameRack = attempt.step.rackLocal;
    return need;
}

policy::UpstreamCandidate upstreamCandidateFor(const PlacementAttempt &attempt, const PlacementCandidate &candidate)
{
    const UpstreamState &upstreamState = *candidate.state;
    policy::UpstreamCandidate input;
    input.upstream = upstreamState.registration.number;
    input.free = upstream::freeCapacity(upstreamState);
    input.runningTasks = attempt.step.mostPerUpstream > 0 ? runCountOn(upstreamState, attempt.waiting.ref) : 0;
    input.rack = upstream::rackOf(upstreamState);
    input.penalty = candidate.reserved ? 1 : 0;
    if (attempt.isolation == policy::Isolation::Separate && candidate.suspectJob != 0 && candidate.suspectJob != attempt.waiting.ref.job) {
        input.penalty += 1;
    } else if (attempt.isolation == policy::Isolation::Exclusive) {
        input.penalty += static_cast<double>(upstreamState.runs.size()); // A crash then costs the least other work.
    }
    input.dataLocal = attempt.step.dataRack.empty() || input.rack == attempt.step.dataRack;
    return input;
}

bool isEligible(const PlacementAttempt &attempt, const PlacementCandidate &candidate)
{
    // Steps of the most urgent priority may use reserved upstreams: they end soon.
    const bool reservedForGang = candidate.reserved && attempt.queue.priority > 0;
    const bool keptApart = candidate.exclusive || (attempt.isolation == policy::Isolation::Exclusive && candidate.suspectJob != 0);
    return !reservedForGang && !keptApart && upstream::hasLabel(*candidate.state, attempt.step.label);
}

bool isEnoughCapacity(const PlacementAttempt &attempt, std::size_t capacity)
{
    return attempt.step.gang ? capacity >= attempt.step.count && attempt.waiting.unplaced.size() == attempt.step.count : capacity > 0;
}

bool isValid(const Ticket &ticket, const upstream::UpstreamState &upstreamState, const Now &now)
{
    return ticket.incarnation == upstreamState.registration.born && now.monotonicMs + ticketMarginMs < ticket.validUntilMs;
}

bool mayPlaceOn(const Leader &leader, const UpstreamState &upstreamState, const Now &now)
{
    return upstreamState.registered && upstreamState.shapeKnown && upstreamState.listsRead && !upstreamState.silent && !upstreamState.gone
        && !upstreamState.registration.draining && upstreamState.clock.known && upstreamState.unansweredStarts < 2
        && now.monotonicMs < upstreamState.lastContactMs + leader.options.maxSilenceMs && now.monotonicMs < upstreamState.shapeMs + leader.options.maxShapeAgeMs
        && now.monotonicMs >= upstreamState.avoidedUntilMs;
}

void placeWaitingSteps(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    leader.placementNeeded = false;
    leader.previousPlacementMs = leader.lastPlacementMs;
    leader.lastPlacementMs = now.monotonicMs;
    deferSteps(leader, state, now);
    updateShareLimits(leader, now);
    StepSequence steps{rankedSteps(leader, now), {}};
    CandidatesByService candidatesByService = gatherCandidates(leader, now);
    if (candidatesByService.empty()) {
        leader.placementNeeded = leader.placementNeeded || !steps.order.empty();
        return;
    }
    updateAdviceRoom(leader, now);
    for (auto &[service, serviceCandidates] : candidatesByService) {
        updateClaims(serviceCandidates);
    }
    wire::RunsPlacedT record;
    std::map<std::uint32_t, std::uint32_t> failures; ///< Failed attempts in this pass, by priority.
    std::map<std::pair<std::uint32_t, std::string_view>, std::uint32_t> failuresByTeam; ///< The same by priority and team.
    const bool hasTeams = !leader.teams.empty();
    bool anyFailed = false;
    while (WaitingStep *next = takeNext(leader, steps)) {
        WaitingStep &waiting = *next;
        std::uint32_t &failed = failures[waiting.key.priority];
        std::uint32_t &failedOfTeam = hasTeams ? failuresByTeam[{waiting.key.priority, waiting.team}] : failed;
        if (failedOfTeam >= maxFailuresPerPass || failed >= maxFailuresOfTeams) {
            leader.placementNeeded = true; // It is tried in a later pass while those ranked above wait for their retry.
        } else if (failsToPlace(leader, state, waiting, candidatesByService, now, record, output)) {
            ++failed;
            failedOfTeam += hasTeams ? 1 : 0;
            anyFailed = true;
        }
    }
    if (anyFailed) {
        recordFailures(leader, now);
    }
    if (!record.runs.empty()) {
        record.atMs = now.wallMs;
        output.proposals.push_back(wire::encodeChange(std::move(record)));
    }
}
}

void placeIfNeeded(Leader &leader, const job::State &state, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t minPassIntervalMs = 4; // Batches the events of a burst into one pass.
    constexpr std::size_t waitingPerMs = 25; // A pass sorts all waiting steps, so passes are less frequent for a long backlog.
    constexpr std::uint64_t maxPassIntervalMs = 60;
    internal::enqueueDueSteps(leader, state, now);
    const std::uint64_t pauseMs = std::min(minPassIntervalMs + leader.waiting.size() / waitingPerMs, maxPassIntervalMs);
    if (leader.placementNeeded && now.monotonicMs >= leader.lastPlacementMs + pauseMs) {
        internal::placeWaitingSteps(leader, state, now, output);
    }
}
}
