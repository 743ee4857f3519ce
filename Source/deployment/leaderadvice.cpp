#include "deployment/placing.h"

#include "policy/adviceselection.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace rosemaryturn::deployment
{
namespace internal
{
namespace
{
/** A request that names fewer than all upstreams names at least this many; a chain of steps is sized by the same number. */
constexpr std::size_t minUpstreamsPerRequest = 30;
/** Share of requested upstreams assumed to be allowed before the first reply for a queue. */
constexpr double defaultAllowedShare = 0.4;
/** Factor by which the expected allowed capacity of a request exceeds the need: some upstreams fill up before the reply arrives. */
constexpr double requestMargin = 1.5;
/** A request is cheap if it takes at most this long with all upstreams: repeating it costs little, so it names fewer. */
constexpr double cheapRequestMs = 120;
/** Minimum number of upstreams in a cheap request. */
constexpr std::size_t minUpstreamsPerCheapRequest = 16;
/** Added to the estimated time of a reply for its timeout: the round trip through another host, and its queue. */
constexpr std::uint64_t adviceTimeoutMarginMs = 1500;
/** Delay before an unanswered request is repeated. */
constexpr std::uint64_t adviceRetryMs = 100;
/** Time for which the advice on a step is retained after its latest use. */
constexpr std::uint64_t adviceRetentionMs = 30000;
/** Maximum number of upstreams in a request. */
constexpr std::size_t maxUpstreamsPerRequest = 100;
/** Maximum number of pending requests for one step, each sent through another adviser. */
constexpr std::size_t maxRequestsPerStep = 4;
/** Remaining validity below which a ticket is renewed: about the time of a request. */
constexpr std::uint64_t ticketRenewalMs = 700;

/** @return the share of the requested upstreams that the advice service is expected to allow. */
double allowedShareOf(const Leader &leader, const wire::QueueSpecT &queue)
{
    constexpr double minShare = 0.05;
    const auto share = leader.allowedShares.find(queue.name);
    return share == leader.allowedShares.end() ? defaultAllowedShare : std::max(share->second, minShare);
}

/** @return whether a request that names the number of upstreams takes little time. */
bool isCheapRequest(const wire::QueueSpecT &queue, std::size_t upstreams)
{
    return queue.advicePerUpstreamMs * static_cast<double>(upstreams) <= cheapRequestMs;
}

/** @return the number of upstreams whose part in the time of a request is at most this many times the fixed one. */
std::size_t ampleUpstreams(const wire::QueueSpecT &queue)
{
    constexpr double maxPart = 1.5;
    const double upstreams = queue.advicePerUpstreamMs > 0 ? maxPart * queue.adviceMs / queue.advicePerUpstreamMs : static_cast<double>(maxUpstreamsPerRequest);
    return static_cast<std::size_t>(std::min(upstreams, static_cast<double>(maxUpstreamsPerRequest)));
}

/** @return how many upstreams to name so that the allowed ones are expected to hold the step, by their free capacity. */
std::size_t requestSizeFor(const Leader &leader, const PlacementAttempt &attempt, std::span<PlacementCandidate *const> unrequested,
                           std::span<PlacementCandidate *const> known)
{
    policy::StepDemand need;
    need.task = resourcesPerTask(attempt.step);
    need.count = attempt.step.count;
    need.maxPerUpstream = attempt.step.mostPerUpstream;
    const double allowed = allowedShareOf(leader, attempt.queue);
    double capacity = 0;
    for (const PlacementCandidate *candidate : known) {
        capacity += policy::taskCapacity(need, upstreamCandidateFor(attempt, *candidate));
    }
    std::size_t requested = known.size();
    for (const PlacementCandidate *candidate : unrequested) {
        if (capacity >= requestMargin * attempt.step.count) {
            break;
        }
        ++requested;
        capacity += allowed * policy::taskCapacity(need, upstreamCandidateFor(attempt, *candidate));
    }
    return requested;
}

/** @return the upstreams to name in a request, in descending order of free processors. */
std::vector<PlacementCandidate *> upstreamsToRequest(const Leader &leader, const PlacementAttempt &attempt)
{
    std::vector<PlacementCandidate *> unrequested;
    std::vector<PlacementCandidate *> known;
    forEachEligible(attempt, [&](PlacementCandidate &candidate, AdviceStatus status, const Ticket *) {
        if (status != AdviceStatus::Denied) {
            (status == AdviceStatus::Allowed ? known : unrequested).push_back(&candidate);
        }
    });
    const auto byFreeCapacity = [](const PlacementCandidate *a, const PlacementCandidate *b) {
        const std::uint64_t freeA = upstream::freeCapacity(*a->state).cpuMillis;
        const std::uint64_t freeB = upstream::freeCapacity(*b->state).cpuMillis;
        return freeA != freeB ? freeA > freeB : a->state->registration.number < b->state->registration.number;
    };
    std::sort(unrequested.begin(), unrequested.end(), byFreeCapacity);
    std::sort(known.begin(), known.end(), byFreeCapacity);
    const std::size_t total = unrequested.size() + known.size();
    const bool cheap = isCheapRequest(attempt.queue, total);
    // Allowed upstreams are named again to renew their tickets; others are added only while too few are allowed.
    std::vector<PlacementCandidate *> requested = known;
    const std::size_t maxCount = std::max(cheap ? minUpstreamsPerCheapRequest : minUpstreamsPerRequest, requestSizeFor(leader, attempt, unrequested, known));
    for (PlacementCandidate *candidate : unrequested) {
        if (requested.size() < std::min(maxCount, maxUpstreamsPerRequest)) {
            requested.push_back(candidate);
        }
    }
    if (requested.size() > maxUpstreamsPerRequest) {
        requested.resize(maxUpstreamsPerRequest);
    }
    return requested;
}

std::vector<policy::AdviceHost> adviceHosts(const Leader &leader)
{
    std::vector<policy::AdviceHost> hosts;
    hosts.reserve(leader.advisers.size());
    for (const Adviser &adviser : leader.advisers) {
        hosts.push_back(adviser.load);
    }
    return hosts;
}

/** @return the short requests; before steps have to wait for an adviser, as many as it takes to keep the largest part of the advisers for them. */
policy::ShortAdviceCalls shortRequestsFor(const Leader &leader)
{
    policy::ShortAdviceCalls requests = leader.shortRequests;
    if (!leader.stepsAwaitAdviser) {
        requests.load = static_cast<double>(leader.advisers.size());
        requests.atMs = UINT64_MAX;
    }
    return requests;
}

/** Records why a step couldn't make its request; a step counts once for each reason. */
void recordHold(Leader &leader, Advice &advice, policy::AdviceHold hold)
{
    if (hold != policy::AdviceHold::None && hold != advice.hold) {
        ++leader.counters.adviceHeld.at(static_cast<std::size_t>(hold));
    }
    advice.hold = hold;
}

/** @return why a step has to wait with a request. @param submission whether its job isn't recorded yet. */
policy::AdviceHold holdFor(const Leader &leader, const PlacementAttempt &attempt, bool submission, const Now &now)
{
    policy::AdviceAsk ask;
    const std::size_t named = isCheapRequest(attempt.queue, attempt.candidates.size()) ? minUpstreamsPerCheapRequest : minUpstreamsPerRequest;
    ask.costMs = attempt.queue.adviceMs + attempt.queue.advicePerUpstreamMs * static_cast<double>(named);
    ask.durationMs = attempt.step.estimatedMs;
    ask.submission = submission && leader.stepsAwaitAdviser;
    ask.timeliness = submission ? policy::Timeliness::InTime : policy::timelinessOf(attempt.waiting.key, static_cast<std::int64_t>(now.monotonicMs));
    ask.hasTickets = now.monotonicMs < attempt.advice.ticketsValidUntilMs;
    ask.hasOpenCall = !attempt.advice.pendingCalls.empty();
    ask.teamAtLimit = attempt.teamAtLimit;
    return policy::adviceHoldFor(ask, leader.adviceRoom, attempt.claims == nullptr ? policy::AdviceClaims{} : *attempt.claims);
}

/** Sends a request through the adviser that is expected to answer first. @param requested the upstreams to name; nothing is sent if it is empty. */
void sendAdviceRequest(Leader &leader, const PlacementAttempt &attempt, std::span<PlacementCandidate *const> requested, const Now &now, LeaderOutput &output)
{
    if (requested.empty()) {
        return;
    }
    const double costMs = attempt.queue.adviceMs + attempt.queue.advicePerUpstreamMs * static_cast<double>(requested.size());
    const std::optional<std::size_t> chosen = policy::chooseAdviceHost(adviceHosts(leader), costMs, shortRequestsFor(leader), now.monotonicMs);
    if (!chosen) {
        return;
    }
    Advice &advice = attempt.advice;
    Adviser &adviser = leader.advisers[*chosen];
    adviser.load.busyUntilMs = std::max(adviser.load.busyUntilMs, now.monotonicMs) + static_cast<std::uint64_t>(std::ceil(adviser.load.costFactor * costMs));
    if (costMs <= policy::longAdviceCallMs) {
        policy::recordShortAdviceCall(leader.shortRequests, costMs, now.monotonicMs);
    }
    AdviceCall call;
    call.id = leader.nextCall++;
    call.host = adviser.host;
    call.step = attempt.waiting.name;
    call.costMs = static_cast<std::uint64_t>(std::ceil(costMs));
    call.timeoutMs = adviser.load.busyUntilMs - now.monotonicMs + adviceTimeoutMarginMs;
    PendingAdvice open{call.step, attempt.queue.name, adviser.host, costMs, {}, now.monotonicMs, call.timeoutMs};
    leader.counters.adviceUpstreams += requested.size();
    for (const PlacementCandidate *candidate : requested) {
        leader.counters.adviceRenewals += advice.allowed.count(candidate->state->registration.number);
        call.upstreams.push_back(candidate->state->registration.id);
        open.upstreams.push_back(candidate->state->registration.number);
    }
    advice.pendingCalls.insert(call.id);
    advice.lastUsedMs = now.monotonicMs;
    leader.pendingAdvice.emplace(call.id, std::move(open));
    ++leader.counters.adviceCalls;
    output.advice.push_back(std::move(call));
    updateAdviceRoom(leader, now);
}

/** @return the upstreams that the pending requests of a step name. */
std::set<std::uint32_t> pendingUpstreams(const Leader &leader, const Advice &advice)
{
    std::set<std::uint32_t> pending;
    for (const std::uint64_t id : advice.pendingCalls) {
        const auto call = leader.pendingAdvice.find(id);
        if (call != leader.pendingAdvice.end()) {
            pending.insert(call->second.upstreams.begin(), call->second.upstreams.end());
        }
    }
    return pending;
}

/** Requests advice on upstreams that have capacity for a step now, beside the requests that are pending for it. */
void requestAdviceWithCapacity(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output)
{
    if (attempt.advice.pendingCalls.size() >= maxRequestsPerStep) {
        return;
    }
    const std::set<std::uint32_t> pending = pendingUpstreams(leader, attempt.advice);
    const policy::StepDemand need = stepDemandFor(attempt);
    std::vector<policy::AdviceCandidate> candidates;
    std::vector<PlacementCandidate *> sources; ///< In the order of the candidates, by number.
    forEachEligible(attempt, [&](PlacementCandidate &candidate, AdviceStatus status, const Ticket *ticket) {
        if (status == AdviceStatus::Denied) {
            return;
        }
        const std::uint32_t number = candidate.state->registration.number;
        const Now renewal{now.monotonicMs + ticketRenewalMs, now.wallMs};
        const bool valid = ticket != nullptr && isValid(*ticket, *candidate.state, renewal);
        const auto allowed = valid ? policy::AdviceKnowledge::Valid : policy::AdviceKnowledge::Expired;
        candidates.push_back({number,
                              status == AdviceStatus::Allowed ? allowed : policy::AdviceKnowledge::Unknown,
                              pending.count(number) > 0,
                              policy::taskCapacity(need, upstreamCandidateFor(attempt, candidate))});
        sources.push_back(&candidate);
    });
    const std::size_t minNamed = isCheapRequest(attempt.queue, candidates.size()) ? minUpstreamsPerCheapRequest : minUpstreamsPerRequest;
    const policy::AdviceDemand demand{need.count,
                                      attempt.step.gang,
                                      allowedShareOf(leader, attempt.queue),
                                      minNamed,
                                      maxUpstreamsPerRequest,
                                      policy::areMostBusy(leader.adviceRoom),
                                      ampleUpstreams(attempt.queue)};
    std::vector<PlacementCandidate *> requested;
    for (const std::uint32_t number : policy::upstreamsToAskFor(demand, candidates)) {
        requested.push_back(*std::lower_bound(sources.begin(), sources.end(), number, [](const PlacementCandidate *candidate, std::uint32_t wanted) {
            return candidate->state->registration.number < wanted;
        }));
    }
    sendAdviceRequest(leader, attempt, requested, now, output);
}
}

void updateAdviceRoom(Leader &leader, const Now &now)
{
    leader.adviceRoom = policy::adviceRoom(adviceHosts(leader), shortRequestsFor(leader), now.monotonicMs);
    leader.stepsAwaitAdviser = leader.stepsAwaitAdviser && policy::areMostBusy(leader.adviceRoom);
}

bool holdAdvice(Leader &leader, const PlacementAttempt &attempt, const Now &now)
{
    recordHold(leader, attempt.advice, holdFor(leader, attempt, false, now));
    leader.stepsAwaitAdviser = leader.stepsAwaitAdviser || attempt.advice.hold == policy::AdviceHold::Hosts;
    return attempt.advice.hold != policy::AdviceHold::None;
}

void updateClaims(ServiceCandidates &service)
{
    service.claims.free = {};
    service.claims.used = {};
    for (const PlacementCandidate &candidate : service.candidates) {
        service.claims.free = service.claims.free + upstream::freeCapacity(*candidate.state);
        service.claims.used = service.claims.used + candidate.state->used;
    }
}

void claimCapacity(const PlacementAttempt &attempt, const Now &now, policy::AdviceClaims &claims)
{
    const std::size_t unplaced = attempt.waiting.unplaced.size();
    const Advice &advice = attempt.advice;
    if (unplaced == 0 || !attempt.queue.advised
        || policy::timelinessOf(attempt.waiting.key, static_cast<std::int64_t>(now.monotonicMs)) == policy::Timeliness::TooLate) {
        return;
    }
    claims.inTimeWaits = true;
    if (advice.pendingCalls.empty() && now.monotonicMs >= advice.ticketsValidUntilMs) {
        return;
    }
    const model::Resources need = resourcesPerTask(attempt.step);
    claims.claimed.cpuMillis += need.cpuMillis * unplaced;
    claims.claimed.memoryMb += need.memoryMb * unplaced;
    claims.claimed.accelerators += need.accelerators * unplaced;
}

void reportHeldAdvice(Leader &leader, const Now &now, LeaderOutput &output)
{
    constexpr std::uint64_t reportIntervalMs = 1000;
    if (now.monotonicMs < leader.nextAdviceReportMs) {
        return;
    }
    leader.nextAdviceReportMs = now.monotonicMs + reportIntervalMs;
    std::array<std::size_t, policy::adviceHolds> held{};
    for (const auto &[ref, waiting] : leader.waiting) {
        const auto advice = leader.advice.find(waiting.name);
        if (advice != leader.advice.end() && !waiting.unplaced.empty()) {
            ++held.at(static_cast<std::size_t>(advice->second.hold));
        }
    }
    const LeaderCounters before = std::exchange(leader.reportedAdvice, leader.counters);
    std::string detail;
    for (std::size_t hold = 1; hold < held.size(); ++hold) {
        if (held[hold] > 0) {
            detail += " " + std::string(policy::nameOf(static_cast<policy::AdviceHold>(hold))) + "=" + std::to_string(held[hold]);
        }
    }
    if (!detail.empty()) {
        output.decisions.push_back({"advice-held",
                                    std::to_string(leader.term),
                                    "advisers=" + std::to_string(leader.adviceRoom.hosts) + " busy=" + std::to_string(leader.adviceRoom.busy)
                                        + " calls=" + std::to_string(leader.counters.adviceCalls - before.adviceCalls)
                                        + " named=" + std::to_string(leader.counters.adviceUpstreams - before.adviceUpstreams)
                                        + " renewed=" + std::to_string(leader.counters.adviceRenewals - before.adviceRenewals) + detail});
    }
}

void requestAdvice(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output)
{
    if (attempt.advice.pendingCalls.empty() && now.monotonicMs >= attempt.advice.nextRequestMs) {
        sendAdviceRequest(leader, attempt, upstreamsToRequest(leader, attempt), now, output);
    }
}

void requestAdviceIfUseful(Leader &leader, const PlacementAttempt &attempt, const Now &now, LeaderOutput &output)
{
    if (now.monotonicMs < attempt.advice.nextRequestMs) {
        return;
    }
    if (!holdAdvice(leader, attempt, now)) {
        requestAdviceWithCapacity(leader, attempt, now, output);
    }
}

void prefetchAdvice(Leader &leader, const wire::JobSpecT &job, const wire::QueueSpecT &queue, const Now &now, LeaderOutput &output)
{
    if (!queue.advised || job.repeatCount > 0) {
        return;
    }
    updateAdviceRoom(leader, now);
    CandidatesByService candidatesByService = gatherCandidates(leader, now);
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (job.steps[step]->after.empty()) {
            WaitingStep waiting;
            waiting.name = stepName(job.id, 0, step);
            Advice &advice = leader.advice[waiting.name];
            advice.lastUsedMs = now.monotonicMs;
            PlacementAttempt attempt{waiting, *job.steps[step], queue, advice, candidatesByService[queue.service].candidates};
            attempt.teamAtLimit = isHeldByTeamLimit(leader, job.team, *job.steps[step]);
            recordHold(leader, advice, holdFor(leader, attempt, true, now));
            if (advice.hold == policy::AdviceHold::None) {
                requestAdvice(leader, attempt, now, output);
            }
        }
    }
}

void applyPlanToAdvice(Leader &leader, const wire::PlanAcceptedT &plan)
{
    leader.shortRequests.present = std::any_of(plan.queues.begin(), plan.queues.end(), [](const auto &queue) {
        return queue->advised && queue->adviceMs + queue->advicePerUpstreamMs * static_cast<double>(minUpstreamsPerCheapRequest) <= policy::longAdviceCallMs;
    });
}

void expireUnusedAdvice(Leader &leader, const Now &now)
{
    std::erase_if(leader.advice, [&now](const auto &entry) {
        return entry.second.pendingCalls.empty() && entry.second.lastUsedMs + adviceRetentionMs < now.monotonicMs;
    });
}

namespace
{
/** Learns from a reply how long requests through its host take, or that they aren't answered. */
void learnFromReply(Leader &leader, const PendingAdvice &closed, bool answered, const Now &now)
{
    const auto adviser = std::find_if(leader.advisers.begin(), leader.advisers.end(), [&closed](const Adviser &other) {
        return other.host == closed.host;
    });
    if (adviser == leader.advisers.end()) {
        return;
    }
    if (!answered) {
        // An adviser that fails fast, or whose link is cut, would otherwise stay the fastest one. It is tried again once the others are as slow.
        constexpr double weight = 0.2;
        const auto lostMs = static_cast<double>(std::max(now.monotonicMs - closed.sentMs, adviceTimeoutMarginMs));
        adviser->load.networkDelayMs += weight * (lostMs - adviser->load.networkDelayMs);
        return;
    }
    std::vector<policy::AdviceTiming> others;
    for (const auto &[id, open] : leader.pendingAdvice) {
        if (open.host == closed.host) {
            others.push_back({open.sentMs, open.costMs});
        }
    }
    policy::recordAdviceReply(adviser->load, {closed.sentMs, closed.costMs}, others, now.monotonicMs);
}
}
}

void handleAdviceReply(Leader &leader, const AdviceReply &reply, const Now &now)
{
    const auto found = leader.pendingAdvice.find(reply.id);
    if (found == leader.pendingAdvice.end()) {
        return;
    }
    const PendingAdvice open = std::move(found->second);
    leader.pendingAdvice.erase(found);
    internal::learnFromReply(leader, open, reply.answered, now);
    const auto entry = leader.advice.find(open.step);
    if (entry == leader.advice.end()) {
        return;
    }
    Advice &advice = entry->second;
    advice.pendingCalls.erase(reply.id);
    advice.answeredMs = now.monotonicMs;
    leader.placementNeeded = true;
    if (!reply.answered) {
        ++leader.counters.adviceUnanswered;
        advice.nextRequestMs = now.monotonicMs + internal::adviceRetryMs;
        return;
    }
    constexpr std::uint64_t replyDelayMs = 100; // The ticket was issued before the reply was sent.
    std::map<std::string, std::string> tickets(reply.allowed.begin(), reply.allowed.end());
    constexpr double shareWeight = 0.1;
    const double allowedNow = open.upstreams.empty() ? 0 : static_cast<double>(tickets.size()) / static_cast<double>(open.upstreams.size());
    double &share = leader.allowedShares.try_emplace(open.queue, allowedNow).first->second;
    share += shareWeight * (allowedNow - share);
    for (const std::uint32_t number : open.upstreams) {
        const auto upstreamState = leader.upstreams.find(number);
        if (upstreamState == leader.upstreams.end()) {
            continue;
        }
        const auto ticket = tickets.find(upstreamState->second.registration.id);
        if (ticket == tickets.end()) {
            advice.denied.insert(number);
            advice.allowed.erase(number);
            continue;
        }
        const std::uint64_t validUntilMs = now.monotonicMs + reply.validMs - std::min(reply.validMs, replyDelayMs);
        advice.allowed[number] = {ticket->second, validUntilMs, upstreamState->second.registration.born};
        advice.ticketsValidUntilMs = std::max(advice.ticketsValidUntilMs, validUntilMs);
    }
}

void setAdvisers(Leader &leader, const std::vector<std::string> &hosts)
{
    std::vector<Adviser> advisers;
    for (const std::string &host : hosts) {
        const auto known = std::find_if(leader.advisers.begin(), leader.advisers.end(), [&host](const Adviser &adviser) {
            return adviser.host == host;
        });
        constexpr double otherRegionMs = 60; // Initial estimate for another region.
        advisers.push_back(known == leader.advisers.end() ? Adviser{host, {0, host.empty() ? 0 : otherRegionMs, 1, 0}} : *known);
    }
    leader.advisers = std::move(advisers);
}
}
