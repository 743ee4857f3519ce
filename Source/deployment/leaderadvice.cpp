#include "deployment/placing.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace rosemaryturn::deployment
{
namespace internal
{
namespace
{
/** A question for fewer than all upstreams names at least this many: a chain of work is counted with as many. */
constexpr std::size_t usualAskCount = 30;
/** Of the upstreams named, the share that is allowed before any answer of the queue came. */
constexpr double presetAllowedShare = 0.4;
/** Named for each upstream that is needed, beyond the allowed share: some fill up before the answer comes. */
constexpr double askSpare = 1.5;
/** A question that takes no longer than this with all upstreams is asked again with little loss, and names fewer. */
constexpr double cheapAskMs = 120;
/** Such a question names at least this many. */
constexpr std::size_t leastAskCount = 16;
/** A question that takes longer goes through some of the advisers only. */
constexpr double longAskMs = 40;
/** An adviser whose questions take longer than this to get through is busy. */
constexpr std::uint64_t busyAdviserMs = 200;
/** Beyond its stated time, how long an answer may take: the way there and back through another host, and its queue. */
constexpr std::uint64_t adviceSpareMs = 1500;
/** Pause after a question without an answer. */
constexpr std::uint64_t adviceAgainMs = 100;
/** How long what was said of a step is kept after it was last looked at. */
constexpr std::uint64_t keepAdviceMs = 30000;
/** Most upstreams that one question may name. */
constexpr std::size_t mostAsked = 100;

/** @return how many upstreams to name so that those allowed hold the step, by the room they have now. */
std::size_t askCountFor(const Leader &leader, const Attempt &attempt, std::span<Spot *const> fresh, std::span<Spot *const> known)
{
    policy::SpreadNeed need;
    need.task = needOf(attempt.step);
    need.count = attempt.step.count;
    need.mostPerUpstream = attempt.step.mostPerUpstream;
    const auto share = leader.allowedShares.find(attempt.queue.name);
    const double allowed = share == leader.allowedShares.end() ? presetAllowedShare : std::max(share->second, 0.05);
    double room = 0;
    for (const Spot *spot : known) {
        room += policy::roomFor(need, candidateFor(attempt, *spot));
    }
    std::size_t asked = known.size();
    for (const Spot *spot : fresh) {
        if (room >= askSpare * attempt.step.count) {
            break;
        }
        ++asked;
        room += allowed * policy::roomFor(need, candidateFor(attempt, *spot));
    }
    return asked;
}

/** @return the upstreams to name in a question, those with the most free room first. */
std::vector<Spot *> upstreamsToAsk(const Leader &leader, const Attempt &attempt)
{
    std::vector<Spot *> fresh;
    std::vector<Spot *> known;
    forEachEligible(attempt, [&](Spot &spot, Standing standing, const Ticket *) {
        if (standing != Standing::Denied) {
            (standing == Standing::Allowed ? known : fresh).push_back(&spot);
        }
    });
    const auto byRoom = [](const Spot *a, const Spot *b) {
        const std::uint64_t freeA = upstream::freeCapacity(*a->life).cpuMillis;
        const std::uint64_t freeB = upstream::freeCapacity(*b->life).cpuMillis;
        return freeA != freeB ? freeA > freeB : a->life->registration.number < b->life->registration.number;
    };
    std::sort(fresh.begin(), fresh.end(), byRoom);
    std::sort(known.begin(), known.end(), byRoom);
    const std::size_t total = fresh.size() + known.size();
    const bool cheap = attempt.queue.advicePerUpstreamMs * static_cast<double>(total) <= cheapAskMs;
    // Those known to be allowed are named again for new tickets; others only while too few are known.
    std::vector<Spot *> asked = known;
    const std::size_t most = std::max(cheap ? leastAskCount : usualAskCount, askCountFor(leader, attempt, fresh, known));
    for (Spot *spot : fresh) {
        if (asked.size() < std::min(most, mostAsked)) {
            asked.push_back(spot);
        }
    }
    if (asked.size() > mostAsked) {
        asked.resize(mostAsked);
    }
    return asked;
}

/** @return the host through which an answer is to be had first. */
Adviser &soonestAdviser(Leader &leader, double costMs, const Now &now)
{
    // Long questions leave the quickest advisers to short ones, which would otherwise queue behind them.
    std::vector<Adviser *> order;
    for (Adviser &adviser : leader.advisers) {
        order.push_back(&adviser);
    }
    std::sort(order.begin(), order.end(), [](const Adviser *a, const Adviser *b) {
        return std::tuple(a->wayMs, a->host) < std::tuple(b->wayMs, b->host);
    });
    const std::size_t kept = costMs > longAskMs ? order.size() / 3 : 0;
    order.erase(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept));
    const auto readyMs = [&](const Adviser &adviser) {
        return static_cast<double>(std::max(adviser.busyUntilMs, now.steadyMs)) + costMs + adviser.wayMs;
    };
    return **std::min_element(order.begin(), order.end(), [&readyMs](const Adviser *a, const Adviser *b) {
        return readyMs(*a) < readyMs(*b);
    });
}

/** @return whether questions queue at most advisers: what gains nothing any more is then not asked about. */
bool advisersBusy(const Leader &leader, const Now &now)
{
    const auto busy = std::count_if(leader.advisers.begin(), leader.advisers.end(), [&now](const Adviser &adviser) {
        return adviser.busyUntilMs > now.steadyMs + busyAdviserMs;
    });
    return 2 * static_cast<std::size_t>(busy) > leader.advisers.size();
}

/** @return whether those known to be allowed could not hold the step even if they were empty, and others weren't asked about. */
bool needsMoreAdvice(const Attempt &attempt)
{
    policy::SpreadNeed need = needFor(attempt);
    // Room for half as many again: upstreams are rarely empty.
    need.count += need.count / 2;
    std::uint64_t room = 0;
    std::size_t unknown = 0;
    forEachEligible(attempt, [&](const Spot &spot, Standing standing, const Ticket *) {
        if (standing == Standing::Allowed) {
            policy::SpreadCandidate empty = candidateFor(attempt, spot);
            empty.free = spot.life->capacity;
            empty.present = 0;
            room += policy::roomFor(need, empty);
        } else if (standing == Standing::Unknown) {
            ++unknown;
        }
    });
    return unknown > 0 && room < need.count;
}

/** @return whether the step could be placed now if every ticket were valid. */
bool hasRoomWithTickets(const Attempt &attempt)
{
    const policy::SpreadNeed need = needFor(attempt);
    std::uint64_t room = 0;
    forEachEligible(attempt, [&](const Spot &spot, Standing standing, const Ticket *) {
        if (standing == Standing::Allowed) {
            room += policy::roomFor(need, candidateFor(attempt, spot));
        }
    });
    return isEnough(attempt, std::min<std::uint64_t>(room, need.count));
}
}

void askAdvice(Leader &leader, const Attempt &attempt, const Now &now, LeaderOutput &output)
{
    Advice &advice = attempt.advice;
    if (advice.call != 0 || now.steadyMs < advice.askAgainMs || leader.advisers.empty()) {
        return;
    }
    const std::vector<Spot *> asked = upstreamsToAsk(leader, attempt);
    if (asked.empty()) {
        return;
    }
    const double costMs = attempt.queue.adviceMs + attempt.queue.advicePerUpstreamMs * static_cast<double>(asked.size());
    Adviser &adviser = soonestAdviser(leader, costMs, now);
    adviser.busyUntilMs = std::max(adviser.busyUntilMs, now.steadyMs) + static_cast<std::uint64_t>(std::ceil(costMs));
    AdviceCall call;
    call.id = leader.nextCall++;
    call.host = adviser.host;
    call.step = attempt.waiting.name;
    call.timeoutMs = adviser.busyUntilMs - now.steadyMs + adviceSpareMs;
    OpenAdvice open{call.step, attempt.queue.name, adviser.host, adviser.busyUntilMs - now.steadyMs, {}, now.steadyMs, call.timeoutMs};
    for (const Spot *spot : asked) {
        call.upstreams.push_back(spot->life->registration.id);
        open.asked.push_back(spot->life->registration.number);
    }
    advice.call = call.id;
    advice.usedMs = now.steadyMs;
    leader.openAdvice.emplace(call.id, std::move(open));
    ++leader.counters.adviceCalls;
    output.advice.push_back(std::move(call));
}

void askIfUseful(Leader &leader, const Attempt &attempt, const Now &now, LeaderOutput &output)
{
    if (attempt.advice.call != 0 || now.steadyMs < attempt.advice.askAgainMs) {
        return;
    }
    const bool hopeless = policy::prospectOf(attempt.waiting.key, static_cast<std::int64_t>(now.steadyMs)) == policy::Prospect::TooLate;
    if (hopeless && advisersBusy(leader, now)) {
        return;
    }
    if (hasRoomWithTickets(attempt) || needsMoreAdvice(attempt)) {
        askAdvice(leader, attempt, now, output);
    }
}

void askAhead(Leader &leader, const wire::JobSpecT &job, const wire::QueueSpecT &queue, const Now &now, LeaderOutput &output)
{
    if (!queue.advised || job.repeatCount > 0) {
        return;
    }
    Floor floor = gatherFloor(leader, now);
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (job.steps[step]->after.empty()) {
            WaitingStep waiting;
            waiting.name = stepName(job.id, 0, step);
            askAdvice(leader, {waiting, *job.steps[step], queue, leader.advice[waiting.name], floor[queue.service].spots}, now, output);
        }
    }
}

void forgetAdvice(Leader &leader, const Now &now)
{
    std::erase_if(leader.advice, [&now](const auto &entry) {
        return entry.second.call == 0 && entry.second.usedMs + keepAdviceMs < now.steadyMs;
    });
}
}

void takeAdviceReply(Leader &leader, const AdviceReply &reply, const Now &now)
{
    const auto found = leader.openAdvice.find(reply.id);
    if (found == leader.openAdvice.end()) {
        return;
    }
    const OpenAdvice open = std::move(found->second);
    leader.openAdvice.erase(found);
    for (Adviser &adviser : leader.advisers) {
        if (adviser.host == open.host && reply.answered) {
            constexpr double weight = 0.2;
            const double tookMs = static_cast<double>(now.steadyMs - open.sentMs) - static_cast<double>(open.costMs);
            adviser.wayMs += weight * (std::max(tookMs, 0.0) - adviser.wayMs);
        }
    }
    const auto entry = leader.advice.find(open.step);
    if (entry == leader.advice.end()) {
        return;
    }
    Advice &advice = entry->second;
    advice.call = 0;
    advice.answeredMs = now.steadyMs;
    leader.placeSoon = true;
    if (!reply.answered) {
        ++leader.counters.adviceUnanswered;
        advice.askAgainMs = now.steadyMs + internal::adviceAgainMs;
        return;
    }
    constexpr std::uint64_t replyWayMs = 100; // The ticket was made before its way here.
    std::map<std::string, std::string> tickets(reply.allowed.begin(), reply.allowed.end());
    constexpr double shareWeight = 0.1;
    const double allowedNow = open.asked.empty() ? 0 : static_cast<double>(tickets.size()) / static_cast<double>(open.asked.size());
    double &share = leader.allowedShares.try_emplace(open.queue, allowedNow).first->second;
    share += shareWeight * (allowedNow - share);
    for (const std::uint32_t number : open.asked) {
        const auto life = leader.lives.find(number);
        if (life == leader.lives.end()) {
            continue;
        }
        const auto ticket = tickets.find(life->second.registration.id);
        if (ticket == tickets.end()) {
            advice.denied.insert(number);
            advice.allowed.erase(number);
            continue;
        }
        const std::uint64_t validUntilMs = now.steadyMs + reply.validMs - std::min(reply.validMs, replyWayMs);
        advice.allowed[number] = {ticket->second, validUntilMs, life->second.registration.born};
        advice.ticketsUntilMs = std::max(advice.ticketsUntilMs, validUntilMs);
    }
}

void setAdvisers(Leader &leader, const std::vector<std::string> &hosts)
{
    std::vector<Adviser> advisers;
    for (const std::string &host : hosts) {
        const auto known = std::find_if(leader.advisers.begin(), leader.advisers.end(), [&host](const Adviser &adviser) {
            return adviser.host == host;
        });
        constexpr double otherRegionMs = 60; // Until measured.
        advisers.push_back(known == leader.advisers.end() ? Adviser{host, 0, host.empty() ? 0 : otherRegionMs} : *known);
    }
    leader.advisers = std::move(advisers);
}
}
