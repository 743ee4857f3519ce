#include "fakes/fleet.h"

#include "deployment/ordercodec.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>

namespace rosemaryturn::fakes
{
namespace
{
constexpr std::uint64_t heartbeatMs = 1500;
constexpr std::uint64_t contactMs = 4000;
constexpr std::uint64_t gangWaitMs = 3000;
constexpr std::uint64_t ticketMs = 2000;
constexpr std::uint64_t hostTickMs = 20;
/** A crashing task may be started fewer than maxStartsAfterCrashes times more after maxCrashes upstreams have crashed under it. */
constexpr std::uint32_t maxCrashes = 3;
constexpr std::uint32_t maxStartsAfterCrashes = 3;
/** Number of crashes under a task from which on its job may be shown as failed. */
constexpr std::uint32_t crashesToGiveUp = 2;
/** Time after the answer to a cancellation from which no task of the job may be started. */
constexpr std::uint64_t cancelMs = 3000;

std::string stepNameOf(const std::string &job, const job::TaskRef &task)
{
    return job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

std::string nameOf(const std::string &job, const job::TaskRef &task)
{
    return stepNameOf(job, task) + "." + std::to_string(task.index);
}

/** @param counts numbers by the name of a task. @param job the id of a job. @return the highest number of a task of the job; 0 for none. */
std::uint32_t maxOfJob(const std::map<std::string, std::uint32_t> &counts, const std::string &job)
{
    const std::string prefix = job + ".";
    std::uint32_t highest = 0;
    for (auto entry = counts.lower_bound(prefix); entry != counts.end() && entry->first.starts_with(prefix); ++entry) {
        highest = std::max(highest, entry->second);
    }
    return highest;
}

/** Removes the body of an answer: the lists and the clock, and why the order was refused. */
void cutBody(deployment::UpstreamReply &reply)
{
    const std::uint64_t id = reply.id;
    const deployment::CallStatus status = reply.status;
    reply = {};
    reply.id = id;
    switch (status) {
    case deployment::CallStatus::Fenced:
    case deployment::CallStatus::Outdated:
    case deployment::CallStatus::TooLate:
    case deployment::CallStatus::BadTicket:
        reply.status = deployment::CallStatus::NoCapacity; // As the platform reads a refusal without a reason.
        break;
    default:
        reply.status = status;
        break;
    }
}
}

wire::StepSpecT makeStep(std::uint32_t count, std::uint32_t cpuMillis, std::uint32_t durationMs)
{
    wire::StepSpecT step;
    step.count = count;
    step.cpuMillis = cpuMillis;
    step.memoryMb = 100;
    step.estimatedMs = durationMs;
    return step;
}

Fleet::Fleet(FleetOptions fleetOptions)
    : options(fleetOptions)
    , m_random(fleetOptions.seed)
    , m_hazards(fleetOptions.seed)
{
    for (std::uint32_t i = 0; i < options.controlHosts + options.entryHosts; ++i) {
        FakeHost host;
        host.control = i < options.controlHosts;
        host.id = (host.control ? "c" : "e") + std::to_string(i);
        hosts.push_back(std::move(host));
    }
    for (FakeHost &host : hosts) {
        start(host);
    }
    m_founded = true;
    for (std::uint32_t i = 0; i < options.upstreams; ++i) {
        FakeUpstream upstream;
        upstream.id = "u" + std::to_string(i);
        upstream.address = "a" + std::to_string(i);
        upstream.capacity = {options.cpuMillis, options.memoryMb};
        upstreams.push_back(std::move(upstream));
    }
    for (FakeUpstream &upstream : upstreams) {
        restart(upstream);
    }
}

std::uint64_t Fleet::wallMs() const
{
    constexpr std::uint64_t wallOffset = 1700000000000;
    return nowMs + wallOffset;
}

deployment::Now Fleet::now(const FakeHost &host) const
{
    return {nowMs, wallMs() + static_cast<std::uint64_t>(host.wallAheadMs)};
}

void Fleet::traceLine(const std::string &line) const
{
    if (trace) {
        std::cerr << nowMs << ' ' << line << '\n';
    }
}

void Fleet::schedule(std::uint64_t ms, std::function<void()> action)
{
    m_scheduled.push({nowMs + ms, m_nextSequence++, std::move(action)});
}

void Fleet::run(std::uint64_t ms)
{
    const std::uint64_t untilMs = nowMs + ms;
    while (!m_scheduled.empty() && m_scheduled.top().atMs <= untilMs) {
        const ScheduledAction next = m_scheduled.top();
        m_scheduled.pop();
        nowMs = next.atMs;
        next.action();
    }
    nowMs = untilMs;
}

bool Fleet::runUntil(const std::function<bool()> &condition, std::uint64_t ms)
{
    constexpr std::uint64_t intervalMs = 20;
    for (std::uint64_t passed = 0; passed < ms; passed += intervalMs) {
        if (condition()) {
            return true;
        }
        run(intervalMs);
    }
    return condition();
}

FakeHost &Fleet::host(const std::string &id)
{
    return *std::find_if(hosts.begin(), hosts.end(), [&id](const FakeHost &host) {
        return host.id == id;
    });
}

FakeHost *Fleet::leader()
{
    for (FakeHost &host : hosts) {
        if (host.alive && nowMs >= host.suspendedUntilMs && deployment::isActiveLeader(*host.host, now(host))) {
            return &host;
        }
    }
    return nullptr;
}

void Fleet::start(FakeHost &host)
{
    ++host.generation;
    host.alive = true;
    host.suspendedUntilMs = 0;
    host.draining = false;
    host.deferredActions.clear();
    deployment::HostOptions settings;
    settings.host = host.id;
    settings.control = host.control;
    settings.canRequestAdvice = true;
    settings.leader.lease.longestLeaseMs = options.longestLeaseMs;
    settings.leader.lease.stopMs = options.upstreamBehavior.maxStopMs;
    settings.couriers.minUpstreams = options.minUpstreamsForCouriers;
    constexpr std::uint32_t maxSeeds = 3;
    for (std::uint32_t i = 0; i < std::min(options.controlHosts, maxSeeds); ++i) {
        settings.seeds.push_back("c" + std::to_string(i));
    }
    const bool founds = !m_founded && std::find(settings.seeds.begin(), settings.seeds.end(), host.id) != settings.seeds.end();
    if (host.control && host.disk.empty()) {
        host.incarnation = founds ? 1 : m_random() / 2;
        if (founds) {
            consensus::Node founder;
            founder.log.snapshotMembership = deployment::foundingMembership(settings.seeds);
            host.disk = consensus::journalRecords(founder);
        }
    } else if (!host.control) {
        host.incarnation = m_random() / 2;
    }
    std::error_code error;
    host.host = deployment::makeHost(settings, host.incarnation, host.disk, m_random(), now(host), error);
    if (error) {
        violations.push_back("UNREADABLE " + host.id + ": " + error.message());
    }
    connectAll(host, true);
    const auto repeatTick = std::make_shared<std::function<void()>>();
    *repeatTick = [this, id = host.id, generation = host.generation, repeatTick] {
        FakeHost &self = this->host(id);
        if (!self.alive || self.generation != generation) {
            return;
        }
        if (nowMs >= self.suspendedUntilMs) {
            runAction(self, [&](deployment::HostOutput &output) {
                deployment::tick(*self.host, now(self), output);
            });
        }
        schedule(hostTickMs, *repeatTick);
    };
    schedule(1 + m_random() % hostTickMs, *repeatTick);
}

void Fleet::kill(FakeHost &host, bool wipe)
{
    host.alive = false;
    ++host.generation;
    connectAll(host, false);
    host.host.reset();
    if (hostFaults.keepsUnsyncedWrites) {
        keepUnsyncedWrites(host);
    }
    host.unsynced.clear();
    if (wipe) {
        host.disk.clear();
    }
}

void Fleet::suspend(FakeHost &host, std::uint64_t ms)
{
    host.suspendedUntilMs = nowMs + ms;
    schedule(ms, [this, id = host.id, generation = host.generation] {
        FakeHost &self = this->host(id);
        if (self.generation != generation) {
            return;
        }
        for (const auto &action : std::exchange(self.deferredActions, {})) {
            action();
        }
    });
}

void Fleet::setPartitioned(const std::string &a, const std::string &b, bool partitioned)
{
    for (FakeHost &host : hosts) {
        for (const auto &[own, other] : {std::pair(a, b), std::pair(b, a)}) {
            if (host.id == own && partitioned) {
                host.partitionedFrom.insert(other);
            } else if (host.id == own) {
                host.partitionedFrom.erase(other);
            }
        }
    }
    if (!partitioned) {
        deliverHeld(a, b);
        deliverHeld(b, a);
    }
}

bool Fleet::isConnected(const std::string &a, const std::string &b)
{
    return std::none_of(hosts.begin(), hosts.end(), [&](const FakeHost &host) {
        return (host.id == a && host.partitionedFrom.count(b) > 0) || (host.id == b && host.partitionedFrom.count(a) > 0);
    });
}

void Fleet::connectAll(FakeHost &host, bool connected)
{
    for (FakeHost &other : hosts) {
        const bool wanted = (host.control || other.control) && other.id != host.id && other.alive;
        if (!wanted) {
            continue;
        }
        const auto notify = [this](const FakeHost &who, const FakeHost &whom, const deployment::Peer &peer) {
            deliver(whom.id, who.id, [this, name = whom.id, peer](FakeHost &self, deployment::HostOutput &output) {
                deployment::handlePeer(*self.host, name, peer, now(self), output);
            });
        };
        notify(other, host, {connected, host.control, host.incarnation, "", !host.control});
        if (connected) {
            notify(host, other, {true, other.control, other.incarnation, "", !other.control});
        }
    }
}

void Fleet::reconnectHosts()
{
    for (FakeHost &host : hosts) {
        if (host.alive) {
            connectAll(host, true);
        }
    }
}

void Fleet::onHost(const std::string &id, std::uint64_t generation, std::function<void(FakeHost &, deployment::HostOutput &)> action)
{
    FakeHost &target = host(id);
    if (!target.alive || target.generation != generation) {
        return;
    }
    runAction(target, [&target, action = std::move(action)](deployment::HostOutput &output) {
        action(target, output);
    });
}

void Fleet::runAction(FakeHost &target, const std::function<void(deployment::HostOutput &)> &action)
{
    if (nowMs < target.suspendedUntilMs) {
        target.deferredActions.push_back([this, id = target.id, generation = target.generation, action] {
            FakeHost &self = host(id);
            if (self.alive && self.generation == generation) {
                runAction(self, action);
            }
        });
        return;
    }
    deployment::HostOutput output;
    action(output);
    deployment::endRound(*target.host, now(target), output);
    if (!teams.empty() && target.host->leader.active) {
        const std::string difference = checkTeamUsage(target.host->leader, target.host->state, jobs);
        if (!difference.empty()) {
            violations.push_back(difference + "at " + std::to_string(nowMs));
        }
    }
    emit(target, std::move(output));
}

void Fleet::deliver(const std::string &from, const std::string &to, std::function<void(FakeHost &, deployment::HostOutput &)> action)
{
    if (!isConnected(from, to)) {
        if (hostFaults.maxHeldMs > 0) {
            m_held[{from, to}].push_back({nowMs, host(from).generation, host(to).generation, std::move(action)});
        }
        return;
    }
    const std::uint64_t delayMs = options.networkDelayMs + host(from).extraDelayMs + host(to).extraDelayMs;
    schedule(delayMs, [this, from, to, generation = host(to).generation, action = std::move(action)] {
        if (isConnected(from, to)) {
            onHost(to, generation, action);
        }
    });
}

/** Delivers a reply to the process that made the call, or to the one that runs on its host when a held reply arrives. */
void Fleet::deliverReply(const std::string &from, deployment::HostReply &&reply)
{
    const auto action = [this, id = reply.id, body = std::make_shared<wire::ReplyT>(std::move(reply.reply))](FakeHost &other, deployment::HostOutput &step) {
        deployment::handleReply(*other.host, id, *body, now(other), step);
    };
    const bool held = hostFaults.heldReplyShare > 0 && std::bernoulli_distribution(hostFaults.heldReplyShare)(m_hazards);
    if (!held) {
        deliver(from, reply.to, action);
        return;
    }
    schedule(m_hazards() % hostFaults.maxReplyDelayMs, [this, from, to = reply.to, action] {
        if (isConnected(from, to)) {
            onHost(to, host(to).generation, action);
        }
    });
}

void Fleet::deliverHeld(const std::string &from, const std::string &to)
{
    const auto found = m_held.find({from, to});
    if (found == m_held.end()) {
        return;
    }
    const std::vector<HeldMessage> messages = std::move(found->second);
    m_held.erase(found);
    for (const HeldMessage &message : messages) {
        const bool sameProcesses = host(from).generation == message.senderGeneration && host(to).generation == message.receiverGeneration;
        if (sameProcesses && nowMs <= message.sentMs + hostFaults.maxHeldMs) {
            deliver(from, to, message.action);
        }
    }
}

void Fleet::emit(FakeHost &self, deployment::HostOutput output)
{
    for (const deployment::Decision &decision : output.decisions) {
        traceLine(self.id + " " + std::string(decision.name) + " " + decision.id + " " + decision.detail);
        if (!teams.empty() && decision.name == "place") {
            recordTeamPlacements(self, decision.id);
        }
    }
    for (consensus::PersistRequest &order : output.persist) {
        persist(self, std::move(order));
    }
    for (wire::ConsensusMessageT &message : output.messages) {
        const std::string to = message.to;
        if (std::any_of(hosts.begin(), hosts.end(), [&to](const FakeHost &other) {
                return other.id == to;
            })) {
            deliver(
                self.id, to, [this, message = std::make_shared<wire::ConsensusMessageT>(std::move(message))](FakeHost &other, deployment::HostOutput &step) {
                    deployment::handleMessage(*other.host, *message, now(other), step);
                });
        }
    }
    for (deployment::HostCall &call : output.calls) {
        deliver(self.id,
                call.to,
                [this, from = self.id, id = call.id, request = std::make_shared<wire::RequestT>(std::move(call.request))](FakeHost &other,
                                                                                                                          deployment::HostOutput &step) {
                    deployment::handleCall(*other.host, from, id, *request, now(other), step);
                });
    }
    for (deployment::HostReply &reply : output.peerReplies) {
        deliverReply(self.id, std::move(reply));
    }
    for (deployment::TokenReply &reply : output.replies) {
        const auto cancel = m_cancels.find(reply.token);
        const auto error = static_cast<model::Reason>(reply.reply.error);
        if (cancel != m_cancels.end() && (error == model::Reason::None || error == model::Reason::UnknownJob)) {
            m_cancelledMs.try_emplace(cancel->second, nowMs);
        }
        m_answers[reply.token] = {true, std::move(reply.reply), nowMs};
    }
    for (const deployment::UpstreamCall &call : output.upstreamCalls) {
        callUpstream(self, call, replyDirectly(self));
    }
    for (const auto &[courier, delivery] : output.courierOrders) {
        deliverOrders(self, courier, delivery);
    }
    for (const deployment::LocalAdviceRequest &request : output.advice) {
        answerAdvice(self, request);
    }
}

void Fleet::persist(FakeHost &self, consensus::PersistRequest order)
{
    self.unsynced.push_back(std::make_shared<const consensus::PersistRequest>(std::move(order)));
    schedule(options.syncMs, [this, id = self.id, generation = self.generation] {
        completeWrite(id, generation);
    });
}

/** Completes the earliest unsynced write of a host. A suspended host completes none, and sends nothing. */
void Fleet::completeWrite(const std::string &id, std::uint64_t generation)
{
    const FakeHost &target = host(id);
    if (target.generation == generation && nowMs < target.diskStalledUntilMs) {
        schedule(target.diskStalledUntilMs - nowMs, [this, id, generation] {
            completeWrite(id, generation);
        });
        return;
    }
    onHost(id, generation, [this](FakeHost &own, deployment::HostOutput &step) {
        const auto order = own.unsynced.front();
        own.unsynced.pop_front();
        if (order->replace) {
            own.disk.clear();
        }
        own.disk.insert(own.disk.end(), order->records.begin(), order->records.end());
        for (const wire::ConsensusMessageT &message : order->sendAfterSync) {
            deliver(own.id, message.to, [this, message](FakeHost &other, deployment::HostOutput &otherStep) {
                deployment::handleMessage(*other.host, message, now(other), otherStep);
            });
        }
        deployment::handlePersisted(*own.host, order->index, order->term, now(own), step);
    });
}

/** Puts some of the unsynced writes of a host that has been killed on its disk: the first ones, and part of the next, as a journal ends at a torn record. */
void Fleet::keepUnsyncedWrites(FakeHost &host)
{
    std::uint64_t kept = m_hazards() % (host.unsynced.size() + 1);
    for (const auto &order : host.unsynced) {
        const bool whole = kept > 0;
        if (order->replace && !whole) {
            return;
        }
        if (order->replace) {
            host.disk.clear();
        }
        const auto count = static_cast<std::ptrdiff_t>(whole || order->records.empty() ? order->records.size() : m_hazards() % order->records.size());
        host.disk.insert(host.disk.end(), order->records.begin(), order->records.begin() + count);
        if (!whole) {
            return;
        }
        --kept;
    }
}

bool Fleet::isAllowed(const std::string &step, const std::string &upstream) const
{
    constexpr std::size_t parts = 1000;
    return static_cast<double>(std::hash<std::string>{}(step + "/" + upstream) % parts) < options.allowedShare * static_cast<double>(parts);
}

std::string Fleet::ticketFor(const std::string &step, const std::string &upstream) const
{
    std::string ticket = step + "@" + upstream;
    if (!options.upstreamBehavior.ticketsExpire) {
        return ticket;
    }
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&upstream](const FakeUpstream &other) {
        return other.id == upstream && other.alive;
    });
    const std::uint64_t incarnation = found == upstreams.end() ? 0 : found->incarnation;
    return ticket + "@" + std::to_string(incarnation) + "@" + std::to_string(nowMs);
}

bool Fleet::acceptsTicket(const FakeUpstream &upstream, const deployment::UpstreamCall &call) const
{
    const std::string issued = stepNameOf(call.job, call.task) + "@" + upstream.id;
    if (!options.upstreamBehavior.ticketsExpire) {
        return call.ticket == issued;
    }
    const std::string ofProcess = issued + "@" + std::to_string(upstream.incarnation) + "@";
    return call.ticket.starts_with(ofProcess) && nowMs <= std::stoull(call.ticket.substr(ofProcess.size())) + ticketMs;
}

/** Checks that a start carries a ticket for its own step. @return whether the upstream accepts the ticket. */
bool Fleet::checkTicket(const FakeUpstream &upstream, const deployment::UpstreamCall &call)
{
    if (!call.ticket.starts_with(stepNameOf(call.job, call.task) + "@")) {
        violations.push_back("FOREIGN TICKET " + nameOf(call.job, call.task) + " ticket " + call.ticket);
    }
    return acceptsTicket(upstream, call);
}

void Fleet::answerAdvice(FakeHost &self, const deployment::LocalAdviceRequest &request)
{
    constexpr std::uint64_t decisionMs = 50;
    schedule(2 * options.networkDelayMs + decisionMs, [this, id = self.id, generation = self.generation, request] {
        deployment::AdviceReply reply;
        reply.id = request.id;
        reply.answered = true;
        reply.validMs = ticketMs;
        for (const std::string &upstream : request.upstreams) {
            if (isAllowed(request.step, upstream)) {
                reply.allowed.emplace_back(upstream, ticketFor(request.step, upstream));
            }
        }
        onHost(id, generation, [this, reply](FakeHost &own, deployment::HostOutput &step) {
            deployment::handleAdviceReply(*own.host, reply, now(own), step);
        });
    });
}

Fleet::ReplySink Fleet::replyDirectly(const FakeHost &self)
{
    return [this, id = self.id, generation = self.generation](const deployment::UpstreamReply &reply, std::uint64_t ms) {
        schedule(ms, [this, id, generation, reply] {
            onHost(id, generation, [this, reply](FakeHost &own, deployment::HostOutput &step) {
                deployment::handleUpstreamReply(*own.host, reply, now(own), step);
            });
        });
    };
}

Fleet::ReplySink Fleet::replyThroughCourier(const FakeHost &courier, const std::string &leader, std::uint64_t origin)
{
    return [this, id = courier.id, generation = courier.generation, leader, origin](const deployment::UpstreamReply &reply, std::uint64_t ms) {
        schedule(ms, [this, id, generation, leader, origin, reply] {
            onHost(id, generation, [this, id, leader, origin, reply](FakeHost &, deployment::HostOutput &) {
                deliver(id, leader, [this, id, origin, reply](FakeHost &own, deployment::HostOutput &step) {
                    wire::OrderAnswersT answers;
                    answers.origin = origin;
                    answers.courierClockMs = nowMs - options.networkDelayMs;
                    answers.answers.push_back(std::make_unique<wire::OrderAnswerT>(deployment::encodeAnswer(reply)));
                    deployment::handleOrderAnswers(*own.host, id, std::move(answers), now(own), step);
                });
            });
        });
    };
}

void Fleet::deliverOrders(const FakeHost &self, const std::string &courier, const deployment::OrderBatch &delivery)
{
    const std::uint64_t origin = self.host->couriers.origin;
    deliver(self.id, courier, [this, leader = self.id, origin, delivery](FakeHost &other, deployment::HostOutput &) {
        wire::OrderAnswersT answers;
        answers.origin = origin;
        answers.courierClockMs = nowMs;
        for (const deployment::UpstreamCall &call : delivery.calls) {
            if (other.draining || !deployment::isFresh(delivery.courierClockMs, nowMs)) {
                answers.declined.push_back(call.id);
            } else {
                callUpstream(other, deployment::decodeOrder(deployment::encodeOrder(call)), replyThroughCourier(other, leader, origin));
            }
        }
        deliver(other.id,
                leader,
                [this, id = other.id, answers = std::make_shared<wire::OrderAnswersT>(std::move(answers))](FakeHost &own, deployment::HostOutput &step) {
                    deployment::handleOrderAnswers(*own.host, id, std::move(*answers), now(own), step);
                });
    });
}

/** Carries out an order after a delay, unless the process that received it has ended: a process started since doesn't have it. */
void Fleet::carryOutLate(const deployment::UpstreamCall &call, std::uint64_t incarnation)
{
    schedule(orderFaults.delayMs + m_random() % orderFaults.delaySpreadMs, [this, call, incarnation] {
        const bool same = std::any_of(upstreams.begin(), upstreams.end(), [&](const FakeUpstream &upstream) {
            return upstream.address == call.address && upstream.incarnation == incarnation;
        });
        if (same) {
            executeCall(call, [](const deployment::UpstreamReply &) {
            });
        }
    });
}

void Fleet::callUpstream(FakeHost &self, const deployment::UpstreamCall &call, const ReplySink &answer)
{
    constexpr std::size_t parts = 10000;
    const double sample = static_cast<double>(m_random() % parts) / static_cast<double>(parts);
    deployment::UpstreamReply nothing;
    nothing.id = call.id;
    const bool exempt = orderFaults.startsOnly && call.kind != deployment::CallKind::Start;
    const bool late = !exempt && sample < orderFaults.delayedShare;
    const bool lost = !exempt && sample < orderFaults.delayedShare + orderFaults.lostShare;
    const auto target = std::find_if(upstreams.begin(), upstreams.end(), [&call](const FakeUpstream &upstream) {
        return upstream.address == call.address;
    });
    const bool reaches = target != upstreams.end() && isConnected(self.id, target->id) && target->reachable && target->receivesOrders && target->alive;
    startsSent += call.kind == deployment::CallKind::Start ? 1 : 0;
    checkCancelled(call);
    if (target != upstreams.end() && call.acknowledge > target->acknowledgeSent) {
        target->acknowledgeSent = call.acknowledge;
        ++acknowledgementsSent;
    }
    if (lost || !reaches) {
        answer(nothing, call.timeoutMs);
        if (late && reaches) { // An upstream can't carry out an order that it didn't receive.
            carryOutLate(call, target->incarnation);
        }
        return;
    }
    const double unansweredFrom = orderFaults.delayedShare + orderFaults.lostShare;
    const bool unanswered = !exempt && !late && !lost && sample < unansweredFrom + orderFaults.unansweredShare;
    const double slowFrom = unansweredFrom + orderFaults.unansweredShare;
    const bool slow = !late && !lost && !unanswered && sample < slowFrom + orderFaults.slowShare;
    const double busyFrom = slowFrom + orderFaults.slowShare;
    const bool busy = !exempt && sample >= busyFrom && sample < busyFrom + orderFaults.busyShare;
    const bool cut = !exempt && sample >= busyFrom + orderFaults.busyShare && sample < busyFrom + orderFaults.busyShare + orderFaults.cutShare;
    if (busy) {
        deployment::UpstreamReply refusal = nothing;
        refusal.status = deployment::CallStatus::Busy;
        answer(refusal, 2 * options.networkDelayMs);
        return;
    }
    const std::uint64_t transitMs = slow ? m_random() % orderFaults.maxTransitMs : 0;
    const std::uint64_t orderMs = slow && m_random() % 2 == 0 ? transitMs : 0;
    const std::uint64_t answerMs = options.networkDelayMs + transitMs - orderMs;
    schedule(options.networkDelayMs + orderMs,
             [this, call, answer, orderMs, answerMs, nothing, unanswered, cut, id = self.id, upstream = target->id, incarnation = target->incarnation] {
                 const auto answered = std::make_shared<bool>(false);
                 const bool same = std::any_of(upstreams.begin(), upstreams.end(), [&](const FakeUpstream &other) {
                     return other.id == upstream && other.incarnation == incarnation && other.alive;
                 });
                 if (!same) {
                     answer(nothing, 0); // The connection was lost with the process.
                     return;
                 }
                 executeCall(call, [this, answer, answerMs, answered, unanswered, cut, id, upstream](deployment::UpstreamReply reply) {
                     if (isConnected(id, upstream) && !unanswered) {
                         *answered = true;
                         if (cut) {
                             cutBody(reply);
                         }
                         answer(reply, answerMs);
                     }
                 });
                 schedule(call.timeoutMs - std::min(orderMs, call.timeoutMs), [answer, answered, nothing] {
                     if (!*answered) {
                         answer(nothing, 0);
                     }
                 });
             });
}

void Fleet::executeCall(const deployment::UpstreamCall &call, const std::function<void(const deployment::UpstreamReply &)> &reply)
{
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&call](const FakeUpstream &upstream) {
        return upstream.address == call.address && upstream.alive;
    });
    if (found == upstreams.end()) {
        return;
    }
    FakeUpstream &upstream = *found;
    deployment::UpstreamReply result;
    result.id = call.id;
    if (upstream.id != call.upstream) {
        result.status = deployment::CallStatus::OtherIncarnation;
        reply(result);
        return;
    }
    if (call.fence < upstream.fence) {
        result.status = deployment::CallStatus::Fenced;
        reply(result);
        return;
    }
    upstream.fence = call.fence;
    if (call.kind == deployment::CallKind::Poll) {
        const bool applies = call.waitMs == 0 || !upstream.ended.empty() || options.upstreamBehavior.waitingPoll != WaitingPoll::AtAnswer;
        if (applies) {
            result = pollRuns(upstream, call);
        }
        if (call.waitMs > 0 && result.ended.empty()) {
            waitForEnd(upstream, call, options.upstreamBehavior.waitingPoll == WaitingPoll::AtArrival ? std::optional(result) : std::nullopt, reply);
            return;
        }
    } else if (call.kind == deployment::CallKind::Start) {
        result = startRun(upstream, call);
        if (!upstream.alive) {
            deployment::UpstreamReply nothing; // The connection was lost with the process.
            nothing.id = call.id;
            reply(nothing);
            return;
        }
    } else {
        stopRun(upstream, call);
        result.status = deployment::CallStatus::Done;
    }
    result.id = call.id;
    result.clockMs = upstreamClock(upstream);
    reply(result);
}

/**
 * Answers a poll once a run ends or its time is over.
 * @param upstream the upstream. @param call the poll. @param answer the answer if it is known already. @param reply receives the answer.
 */
void Fleet::waitForEnd(FakeUpstream &upstream, const deployment::UpstreamCall &call, const std::optional<deployment::UpstreamReply> &answer,
                       const std::function<void(const deployment::UpstreamReply &)> &reply)
{
    upstream.waitingPolls.emplace_back(nowMs + call.waitMs, [this, id = upstream.id, incarnation = upstream.incarnation, call, answer, reply] {
        const auto self = std::find_if(upstreams.begin(), upstreams.end(), [&id](const FakeUpstream &other) {
            return other.id == id;
        });
        if (self != upstreams.end() && self->alive && self->incarnation == incarnation) {
            reply(answer ? *answer : pollRuns(*self, call));
        } else {
            deployment::UpstreamReply nothing;
            nothing.id = call.id;
            reply(nothing);
        }
    });
}

std::uint64_t Fleet::upstreamClock(const FakeUpstream &upstream) const
{
    // Every other upstream's clock is 2% slow.
    constexpr std::uint64_t initialMs = 5000;
    constexpr std::uint64_t percent = 100;
    const std::uint64_t passedMs = nowMs - upstream.bootMs;
    const bool slow = upstream.id.back() % 2 == 1;
    return initialMs + (slow ? passedMs * (percent - 2) / percent : passedMs);
}

deployment::UpstreamReply Fleet::startRun(FakeUpstream &upstream, const deployment::UpstreamCall &call)
{
    deployment::UpstreamReply reply;
    const std::string name = nameOf(call.job, call.task);
    const auto job = jobs.find(call.job);
    const auto present = upstream.runs.find(name);
    const auto closed = upstream.closedRuns.find(name);
    if (call.leaseUntilMs > 0) {
        upstream.leaseUntilMs = std::max(upstream.leaseUntilMs, std::min(call.leaseUntilMs, upstreamClock(upstream) + options.longestLeaseMs));
    }
    const std::uint64_t validUntilMs = options.upstreamBehavior.startsUnderAnyLease ? upstream.leaseUntilMs : call.leaseUntilMs;
    if (call.leaseUntilMs > 0 && validUntilMs < upstreamClock(upstream)) {
        reply.status = deployment::CallStatus::TooLate;
        return reply;
    }
    if (present != upstream.runs.end() && present->second.number == call.run) {
        reply.status = deployment::CallStatus::Done;
        return reply;
    }
    const bool lowerIsThere = present != upstream.runs.end() && present->second.number < call.run;
    const bool otherIsThere = present != upstream.runs.end() && !(lowerIsThere && options.upstreamBehavior.startsHigherRuns);
    if ((closed != upstream.closedRuns.end() && call.run <= closed->second) || otherIsThere) {
        reply.status = deployment::CallStatus::Outdated;
        return reply;
    }
    if (job == jobs.end()) {
        violations.push_back("UNASKED " + name);
        reply.status = deployment::CallStatus::Refused;
        return reply;
    }
    const wire::StepSpecT &step = *job->second.steps[call.task.step];
    if (m_advised && !checkTicket(upstream, call)) {
        reply.status = deployment::CallStatus::BadTicket;
        return reply;
    }
    if (options.upstreamBehavior.guardsCapacity && !hasRoomFor(upstream, step)) {
        reply.status = deployment::CallStatus::NoCapacity;
        return reply;
    }
    checkStart(upstream, call, step);
    constexpr std::size_t parts = 1000;
    FakeRun run;
    run.job = call.job;
    run.task = call.task;
    run.task.job = 0;
    run.number = call.run;
    run.endsMs = nowMs + step.estimatedMs;
    run.failing = static_cast<double>(m_random() % parts) < options.failShare * static_cast<double>(parts);
    if (step.gang) {
        run.waiting = true;
        run.gangDeadlineMs = nowMs + gangWaitMs;
    }
    m_lastStarts[step.gang ? stepNameOf(call.job, call.task) : name] = ++starts;
    traceLine(upstream.id + " start " + name + " run " + std::to_string(call.run) + " fence " + std::to_string(call.fence));
    upstream.runs[name] = run;
    checkTeamOf(call.job);
    startCompleteGang(upstream, run);
    reply.status = deployment::CallStatus::Done;
    if (crashingJobs.count(call.job) > 0 && options.crashDelayMs == 0) {
        crashByTask(upstream);
    } else if (crashingJobs.count(call.job) > 0) {
        schedule(options.crashDelayMs, [this, id = upstream.id, incarnation = upstream.incarnation, name, number = call.run] {
            for (FakeUpstream &target : upstreams) {
                const auto found = target.runs.find(name);
                if (target.id == id && target.incarnation == incarnation && found != target.runs.end() && found->second.number == number) {
                    crashByTask(target);
                }
            }
        });
    }
    return reply;
}

std::optional<std::uint64_t> Fleet::cancelledMs(const std::string &job) const
{
    const auto path = m_paths.find(job);
    const auto cancelled = path == m_paths.end() ? m_cancelledMs.end() : m_cancelledMs.find(path->second);
    return cancelled == m_cancelledMs.end() ? std::nullopt : std::optional(cancelled->second);
}

/** Reports a start that is sent too late after the cancellation of its job was answered. */
void Fleet::checkCancelled(const deployment::UpstreamCall &call)
{
    if (call.kind != deployment::CallKind::Start) {
        return;
    }
    const std::optional<std::uint64_t> answeredMs = cancelledMs(call.job);
    if (answeredMs && nowMs > *answeredMs + cancelMs) {
        violations.push_back("UNASKED start of " + nameOf(call.job, call.task) + " at " + std::to_string(nowMs) + ", cancelled at "
                             + std::to_string(*answeredMs));
    }
}

void Fleet::checkCancelledRuns()
{
    for (const FakeUpstream &upstream : upstreams) {
        for (const auto &[name, run] : upstream.runs) {
            const std::optional<std::uint64_t> answeredMs = cancelledMs(run.job);
            if (answeredMs && nowMs > *answeredMs + cancelMs + options.upstreamBehavior.maxStopMs) {
                violations.push_back("UNASKED " + name + " is at work at " + std::to_string(nowMs) + ", cancelled at " + std::to_string(*answeredMs));
            }
        }
    }
}

/** Records the runs of a step that a leader has just placed, with the limit that it placed them by. */
void Fleet::recordTeamPlacements(const FakeHost &host, const std::string &step)
{
    const deployment::Leader &leader = host.host->leader;
    for (const auto &[task, number] : leader.placements) {
        const upstream::Run &run = leader.upstreams.at(number).runs.at(task);
        const std::string &id = host.host->state.jobs.at(task.job).spec.id;
        if (run.phase == upstream::RunPhase::Recording && stepNameOf(id, task) == step) {
            const auto team = leader.teams.find(jobs.at(id).team);
            m_teamInvariants.recordPlacement(
                nameOf(id, task) + "#" + std::to_string(run.number), leader.term, team == leader.teams.end() ? model::Resources{} : team->second.most);
        }
    }
}

/** Checks what upstreams run for the team of a job. */
void Fleet::checkTeamOf(const std::string &job)
{
    if (teams.empty()) {
        return;
    }
    std::vector<TeamRun> running;
    for (const FakeUpstream &upstream : upstreams) {
        for (const auto &[name, run] : upstream.runs) {
            const wire::JobSpecT &spec = jobs.at(run.job);
            const wire::StepSpecT &step = *spec.steps[run.task.step];
            running.push_back({name + "#" + std::to_string(run.number), spec.team, {step.cpuMillis, step.memoryMb, step.accelerators, 0}});
        }
    }
    const std::string violation = m_teamInvariants.checkRunning(running, jobs.at(job).team);
    if (!violation.empty()) {
        violations.push_back(violation + " at " + std::to_string(nowMs));
    }
}

void Fleet::startCompleteGang(FakeUpstream &, const FakeRun &run)
{
    if (!run.waiting) {
        return;
    }
    const wire::StepSpecT &step = *jobs.at(run.job).steps[run.task.step];
    std::vector<FakeRun *> members;
    for (FakeUpstream &upstream : upstreams) {
        for (auto &[name, member] : upstream.runs) {
            if (upstream.alive && member.job == run.job && member.task.step == run.task.step && member.number == run.number) {
                members.push_back(&member);
            }
        }
    }
    if (members.size() == step.count) {
        for (FakeRun *member : members) {
            member->waiting = false;
            member->endsMs = nowMs + step.estimatedMs;
        }
    }
}

void Fleet::stopRun(FakeUpstream &upstream, const deployment::UpstreamCall &call)
{
    const std::string name = nameOf(call.job, call.task);
    std::uint32_t &closed = upstream.closedRuns[name];
    closed = std::max(closed, call.run);
    const auto present = upstream.runs.find(name);
    if (present == upstream.runs.end() || present->second.number != call.run || present->second.stopping) {
        return;
    }
    present->second.stopping = true;
    const UpstreamBehavior &behavior = options.upstreamBehavior;
    const std::uint64_t rangeMs = behavior.maxStopMs - behavior.minStopMs;
    const std::uint64_t stopMs = behavior.minStopMs + (rangeMs == 0 ? 0 : m_random() % (rangeMs + 1));
    schedule(stopMs, [this, id = upstream.id, incarnation = upstream.incarnation, name, run = call.run] {
        for (FakeUpstream &target : upstreams) {
            const auto found = target.runs.find(name);
            if (target.id == id && target.incarnation == incarnation && found != target.runs.end() && found->second.number == run) {
                endRun(target, name, wire::RunEnd::Stopped);
            }
        }
    });
}

void Fleet::endRun(FakeUpstream &upstream, const std::string &name, wire::RunEnd end)
{
    const FakeRun run = upstream.runs.at(name);
    traceLine(upstream.id + " end " + name + " run " + std::to_string(run.number) + " " + wire::EnumNameRunEnd(end) + " as "
              + std::to_string(upstream.nextEnd));
    upstream.runs.erase(name);
    checkTeamOf(run.job);
    upstream.closedRuns[name] = std::max(upstream.closedRuns[name], run.number);
    aloneEnds += end == wire::RunEnd::Alone ? 1 : 0;
    upstream.startsBeforeEnd[upstream.nextEnd] = starts;
    upstream.ended.push_back({upstream.nextEnd++, run.job, run.task, run.number, end, ""});
    for (auto &[untilMs, poll] : std::exchange(upstream.waitingPolls, {})) {
        schedule(0, poll);
    }
    endGang(run, end == wire::RunEnd::Done ? wire::RunEnd::Done : wire::RunEnd::Broken);
}

/** Ends the other members of the gang that a run belonged to. */
void Fleet::endGang(const FakeRun &run, wire::RunEnd end)
{
    const wire::StepSpecT &step = *jobs.at(run.job).steps[run.task.step];
    if (!step.gang) {
        return;
    }
    for (FakeUpstream &other : upstreams) {
        std::vector<std::string> members;
        for (const auto &[memberName, member] : other.runs) {
            if (member.job == run.job && member.task.step == run.task.step && member.number == run.number) {
                members.push_back(memberName);
            }
        }
        for (const std::string &member : members) {
            if (other.runs.count(member) > 0) {
                endRun(other, member, end);
            }
        }
    }
}

deployment::UpstreamReply Fleet::pollRuns(FakeUpstream &upstream, const deployment::UpstreamCall &call)
{
    deployment::UpstreamReply reply;
    reply.id = call.id;
    reply.status = deployment::CallStatus::Done;
    reply.clockMs = upstreamClock(upstream);
    reply.incarnation = upstream.incarnation;
    reply.hasLists = true;
    if (call.leaseUntilMs > 0) {
        upstream.leaseUntilMs = std::max(upstream.leaseUntilMs, std::min(call.leaseUntilMs, upstreamClock(upstream) + options.longestLeaseMs));
    }
    std::erase_if(upstream.ended, [&](const deployment::ListedEnd &end) {
        if (end.number > call.acknowledge) {
            return false;
        }
        const std::string name = nameOf(end.job, end.task);
        traceLine(upstream.id + " end " + std::to_string(end.number) + " of " + end.job + " acknowledged with fence " + std::to_string(call.fence));
        if (options.upstreamBehavior.forgetsAcknowledgedRuns && upstream.closedRuns[name] == end.run) {
            upstream.closedRuns.erase(name);
        }
        if (end.number <= upstream.lapsedEnd) {
            return true;
        }
        checkEarlierStarts(upstream, end);
        const bool gang = jobs.at(end.job).steps[end.task.step]->gang;
        if (end.end == wire::RunEnd::Done) {
            m_recordedDone.insert(name);
            if (gang) {
                m_recordedDoneGangs.insert(stepNameOf(end.job, end.task));
            }
        } else if (end.end == wire::RunEnd::Failed) {
            ++m_recordedFailed[name];
        }
        return true;
    });
    for (const auto &[name, run] : upstream.runs) {
        if (!run.stopping || !options.upstreamBehavior.hidesStoppingRuns) {
            reply.running.push_back({run.job, run.task, run.number, "", 0, 0});
        }
    }
    reply.ended = upstream.ended;
    for (const deployment::ListedEnd &end : upstream.ended) {
        if (end.end == wire::RunEnd::Done) {
            doneEndsListed += m_listedDone.insert(nameOf(end.job, end.task)).second ? 1 : 0;
        } else if (end.end == wire::RunEnd::Failed) {
            const bool gang = jobs.at(end.job).steps[end.task.step]->gang;
            m_listedFailed[gang ? stepNameOf(end.job, end.task) : nameOf(end.job, end.task)].insert(end.run);
        }
    }
    return reply;
}

/** Reports starts between an end and its acknowledgement that the end forbids: of a task that was done, or had failed as often as its attempts. */
void Fleet::checkEarlierStarts(FakeUpstream &upstream, const deployment::ListedEnd &end)
{
    const std::string name = nameOf(end.job, end.task);
    const bool gang = jobs.at(end.job).steps[end.task.step]->gang;
    const std::uint64_t lastStart = m_lastStarts[gang ? stepNameOf(end.job, end.task) : name];
    const std::uint64_t startsBefore = upstream.startsBeforeEnd[end.number];
    const auto report = [&](const char *rule) {
        violations.push_back(std::string(rule) + " " + name + " before end " + std::to_string(end.number) + " of run " + std::to_string(end.run) + " on "
                             + upstream.id + " was acknowledged at " + std::to_string(nowMs));
    };
    if (end.end == wire::RunEnd::Done && lastStart > startsBefore) {
        report("TWICE started");
    }
    if (end.end == wire::RunEnd::Failed) {
        std::multiset<std::uint64_t> &failed = m_startsBeforeFailed[name];
        failed.insert(startsBefore);
        if (failed.size() >= m_attempts && lastStart > *std::next(failed.begin(), m_attempts - 1)) {
            report("BUDGET started");
        }
    }
}

void Fleet::checkStart(const FakeUpstream &upstream, const deployment::UpstreamCall &call, const wire::StepSpecT &step)
{
    firstStartMs.try_emplace(call.job, nowMs);
    const std::string name = nameOf(call.job, call.task);
    std::uint64_t cpu = step.cpuMillis;
    std::uint64_t memory = step.memoryMb;
    std::uint32_t runsOfStep = 1;
    for (const auto &[other, run] : upstream.runs) {
        const wire::StepSpecT &spec = *jobs.at(run.job).steps[run.task.step];
        cpu += spec.cpuMillis;
        memory += spec.memoryMb;
        runsOfStep += run.job == call.job && run.task.step == call.task.step ? 1 : 0;
    }
    const auto report = [&](const char *rule) {
        violations.push_back(std::string(rule) + " " + name + " run " + std::to_string(call.run) + " on " + upstream.id + " at " + std::to_string(nowMs));
    };
    const FakeCapacity capacity = countedCapacity(upstream);
    if (cpu > capacity.cpuMillis || memory > capacity.memoryMb) {
        report("LIMIT");
    }
    if (step.mostPerUpstream > 0 && runsOfStep > step.mostPerUpstream) {
        report("ROUTE");
    }
    for (const FakeUpstream &other : upstreams) {
        if (other.alive && other.runs.count(name) > 0) {
            report("TWICE running");
        }
    }
    if (m_recordedDone.count(name) > 0 || (step.gang && m_recordedDoneGangs.count(stepNameOf(call.job, call.task)) > 0)) {
        report("TWICE done");
    }
    if (m_recordedFailed[name] >= m_attempts) {
        report("BUDGET");
    }
    if (crashingJobs.count(call.job) > 0 && m_crashesUnder[name] >= maxCrashes && ++m_startsAfterCrashes[name] >= maxStartsAfterCrashes) {
        report("BUDGET crashes");
    }
    for (const std::uint32_t earlier : step.after) {
        const wire::StepSpecT &dependency = *jobs.at(call.job).steps[earlier];
        bool done = !dependency.gang;
        for (std::uint32_t index = 0; index < dependency.count; ++index) {
            const bool listed = m_listedDone.count(nameOf(call.job, {0, call.task.occurrence, earlier, index})) > 0;
            done = dependency.gang ? done || listed : done && listed;
        }
        if (!done) {
            report("ORDER");
        }
    }
}

void Fleet::tickUpstream(FakeUpstream &upstream)
{
    const bool lapsed = upstreamClock(upstream) > upstream.leaseUntilMs;
    if (lapsed && (!upstream.runs.empty() || !options.upstreamBehavior.lapsesOnlyWithRuns)) {
        upstream.lapsedEnd = upstream.nextEnd - 1;
    }
    std::vector<std::pair<std::string, wire::RunEnd>> ends;
    for (const auto &[name, run] : upstream.runs) {
        if (lapsed) {
            ends.emplace_back(name, wire::RunEnd::Lapsed);
        } else if (run.waiting && nowMs > run.gangDeadlineMs) {
            ends.emplace_back(name, wire::RunEnd::Alone);
        } else if (!run.waiting && nowMs >= run.endsMs) {
            ends.emplace_back(name, run.failing ? wire::RunEnd::Failed : wire::RunEnd::Done);
        }
    }
    for (const auto &[name, end] : ends) {
        if (upstream.runs.count(name) > 0) {
            endRun(upstream, name, end);
        }
    }
    for (auto poll = upstream.waitingPolls.begin(); poll != upstream.waitingPolls.end();) {
        if (nowMs >= poll->first) {
            schedule(0, poll->second);
            poll = upstream.waitingPolls.erase(poll);
        } else {
            ++poll;
        }
    }
}

void Fleet::crash(FakeUpstream &upstream)
{
    if (upstream.alive && !upstream.draining) {
        for (const auto &[name, run] : upstream.runs) {
            ++m_crashesUnder[name];
        }
    }
    upstream.alive = false;
    const std::map<std::string, FakeRun> killed = std::exchange(upstream.runs, {});
    if (options.crashesBreakGangs) {
        for (const auto &[name, run] : killed) {
            endGang(run, wire::RunEnd::Broken);
        }
    }
    upstream.ended.clear();
    upstream.startsBeforeEnd.clear();
    // Connections are lost with the process.
    for (auto &[untilMs, poll] : std::exchange(upstream.waitingPolls, {})) {
        schedule(0, poll);
    }
}

void Fleet::crashByTask(FakeUpstream &upstream)
{
    ++crashesByTasks;
    traceLine(upstream.id + " crashes, crash " + std::to_string(crashesByTasks) + ", with " + std::to_string(upstream.runs.size()) + " runs");
    crash(upstream);
    schedule(options.crashedForMs, [this, id = upstream.id, incarnation = upstream.incarnation] {
        for (FakeUpstream &target : upstreams) {
            if (target.id == id && target.incarnation == incarnation && !target.alive) {
                returnAfterCrash(target);
            }
        }
    });
}

void Fleet::returnAfterCrash(FakeUpstream &upstream)
{
    if (options.newIdAfterCrash) {
        replace(upstream);
    } else {
        restart(upstream);
    }
}

void Fleet::replace(FakeUpstream &upstream)
{
    crash(upstream);
    // The last digit stays, since the rack and the speed of the clock depend on it. Partitions of the earlier id don't apply to the new one.
    upstream.id = std::to_string(++m_replacements) + upstream.id.substr(upstream.id.find('u'));
    upstream.draining = false;
    restart(upstream);
}

void Fleet::leave(FakeUpstream &upstream)
{
    wire::RequestT request;
    request.operation = wire::Operation::UpstreamLeave;
    request.waitMs = 900;
    request.worker = upstream.id;
    report(upstream, std::move(request));
    crash(upstream);
}

void Fleet::setCapacity(FakeUpstream &upstream, FakeCapacity capacity)
{
    upstream.earlierCapacities.emplace_back(nowMs, upstream.capacity);
    upstream.capacity = capacity;
}

/** @return whether a task of a step fits beside the runs of an upstream, including those that are being stopped. */
bool Fleet::hasRoomFor(const FakeUpstream &upstream, const wire::StepSpecT &step) const
{
    std::uint64_t cpu = step.cpuMillis;
    std::uint64_t memory = step.memoryMb;
    for (const auto &[name, run] : upstream.runs) {
        const wire::StepSpecT &spec = *jobs.at(run.job).steps[run.task.step];
        cpu += spec.cpuMillis;
        memory += spec.memoryMb;
    }
    return cpu <= upstream.capacity.cpuMillis && memory <= upstream.capacity.memoryMb;
}

FakeCapacity Fleet::countedCapacity(const FakeUpstream &upstream) const
{
    FakeCapacity counted = upstream.capacity;
    for (const auto &[changedMs, capacity] : upstream.earlierCapacities) {
        if (nowMs <= changedMs + contactMs + heartbeatMs) {
            counted.cpuMillis = std::max(counted.cpuMillis, capacity.cpuMillis);
            counted.memoryMb = std::max(counted.memoryMb, capacity.memoryMb);
        }
    }
    return counted;
}

void Fleet::checkFailedJobs()
{
    const FakeHost *host = leader();
    if (host == nullptr) {
        violations.emplace_back("LOST no leader shows the jobs");
        return;
    }
    for (const auto &[number, job] : host->host->state.jobs) {
        const std::string &id = job.spec.id;
        if (job.phase != job::Phase::Failed || crashingJobs.count(id) > 0) {
            continue;
        }
        const std::string prefix = id + ".";
        const bool failed = std::any_of(m_listedFailed.begin(), m_listedFailed.end(), [&](const auto &entry) {
            return entry.first.starts_with(prefix) && entry.second.size() >= m_attempts;
        });
        if (!failed && maxOfJob(m_crashesUnder, id) < crashesToGiveUp) {
            violations.push_back("LOST failed " + id);
        }
    }
}

void Fleet::restart(FakeUpstream &upstream)
{
    crash(upstream);
    upstream.alive = true;
    const std::uint64_t born = wallMs() + static_cast<std::uint64_t>(upstream.wallAheadMs);
    upstream.incarnation = born == upstream.incarnation ? born + 1 : born; // The time of the start tells the processes under an id apart.
    upstream.bootMs = nowMs;
    upstream.sequence = 0;
    upstream.fence = 0;
    upstream.leaseUntilMs = 0;
    upstream.nextEnd = 1;
    upstream.lapsedEnd = 0;
    upstream.acknowledgeSent = 0;
    upstream.closedRuns.clear();
    const auto repeat = std::make_shared<std::function<void()>>();
    constexpr std::uint64_t tickMs = 10;
    constexpr std::uint64_t firstHeartbeatMs = heartbeatMs - 100;
    *repeat = [this,
               id = upstream.id,
               incarnation = upstream.incarnation,
               repeat,
               passed = std::make_shared<std::uint64_t>(m_founded ? firstHeartbeatMs : m_random() % heartbeatMs)] {
        for (FakeUpstream &self : upstreams) {
            if (self.id == id && self.alive && self.incarnation == incarnation) {
                tickUpstream(self);
                *passed += tickMs;
                if (*passed >= heartbeatMs) {
                    *passed = 0;
                    if (self.sendsHeartbeats) {
                        sendHeartbeat(self);
                    }
                }
                schedule(tickMs, *repeat);
            }
        }
    };
    schedule(tickMs, *repeat);
}

wire::UpstreamBeatT Fleet::nextHeartbeat(FakeUpstream &upstream)
{
    wire::UpstreamBeatT beat;
    beat.sequence = ++upstream.sequence;
    beat.clockMs = upstreamClock(upstream);
    beat.seen = std::make_unique<wire::UpstreamSeenT>();
    wire::UpstreamSeenT &seen = *beat.seen;
    seen.id = upstream.id;
    seen.born = upstream.incarnation;
    seen.address = upstream.address;
    seen.service = "s";
    seen.labels = {"a", "r" + std::to_string(upstream.id.back() % 3)};
    seen.cpuMillis = upstream.capacity.cpuMillis;
    seen.memoryMb = upstream.capacity.memoryMb;
    seen.draining = upstream.draining;
    return beat;
}

void Fleet::sendHeartbeat(FakeUpstream &upstream)
{
    wire::RequestT request;
    request.operation = wire::Operation::UpstreamBeat;
    request.waitMs = 900;
    const wire::UpstreamBeatT beat = nextHeartbeat(upstream);
    request.beat = std::make_unique<wire::UpstreamBeatT>(beat);
    report(upstream, std::move(request));
    constexpr std::size_t parts = 10000;
    if (static_cast<double>(m_hazards() % parts) < orderFaults.strangeReportShare * static_cast<double>(parts)) {
        sendStrangeHeartbeat(beat);
    }
}

/** Sends a heartbeat that resembles one of an upstream. @param beat the upstream's own one. */
void Fleet::sendStrangeHeartbeat(wire::UpstreamBeatT beat)
{
    constexpr std::uint64_t spreadMs = 4000;
    constexpr std::uint64_t sequenceStep = 50;
    wire::UpstreamSeenT &seen = *beat.seen;
    const std::uint64_t ownBorn = seen.born;
    seen.born += m_hazards() % spreadMs - spreadMs / 2;
    switch (m_hazards() % 5) {
    case 0: // Of another sender, which nobody knows.
        seen.id = "stranger" + std::to_string(m_hazards() % 4);
        seen.service = "unnamed";
        break;
    case 1: // Of another sender under the upstream's id.
        seen.service = "unnamed";
        beat.sequence += sequenceStep;
        break;
    case 2: // Of an earlier process at the address, which the leader may not know.
        seen.id = "earlier" + std::to_string(m_hazards() % 4);
        break;
    case 3: // Names another address for the same process.
        seen.born = ownBorn;
        seen.address = upstreams[m_hazards() % upstreams.size()].address + (m_hazards() % 2 == 0 ? "" : "0");
        break;
    default: // A copy that another host passed on.
        seen.born = ownBorn;
        break;
    }
    constexpr std::uint64_t maxLateMs = 2500;
    schedule(m_hazards() % maxLateMs, [this, late = std::make_shared<wire::UpstreamBeatT>(std::move(beat))] {
        deliverHeartbeat(*late);
    });
}

void Fleet::deliverHeartbeat(const wire::UpstreamBeatT &beat)
{
    const FakeHost *target = leader();
    if (target == nullptr) {
        return;
    }
    const auto request = std::make_shared<wire::RequestT>();
    request->operation = wire::Operation::UpstreamBeat;
    request->waitMs = 900;
    request->beat = std::make_unique<wire::UpstreamBeatT>(beat);
    schedule(options.networkDelayMs, [this, id = target->id, generation = target->generation, request, token = m_nextToken++] {
        onHost(id, generation, [this, request, token](FakeHost &self, deployment::HostOutput &output) {
            deployment::handleLocalRequest(*self.host, token, *request, now(self), output);
        });
    });
}

/** Sends a heartbeat or a departure to a control host that the upstream reaches. */
void Fleet::report(const FakeUpstream &upstream, wire::RequestT request)
{
    for (std::size_t tries = 0; tries < 4; ++tries) {
        FakeHost &target = hosts[m_random() % options.controlHosts];
        if (target.alive && isConnected(target.id, upstream.id) && upstream.reachable) {
            std::uint64_t lateMs = 0;
            if (orderFaults.delayedReportShare > 0) {
                constexpr std::size_t parts = 10000;
                const bool late = static_cast<double>(m_random() % parts) < orderFaults.delayedReportShare * static_cast<double>(parts);
                lateMs = late ? orderFaults.delayMs + m_random() % orderFaults.delaySpreadMs : 0;
            }
            schedule(
                options.networkDelayMs + lateMs,
                [this, id = target.id, generation = target.generation, body = std::make_shared<wire::RequestT>(std::move(request)), token = m_nextToken++] {
                    onHost(id, generation, [this, body, token](FakeHost &self, deployment::HostOutput &output) {
                        deployment::handleLocalRequest(*self.host, token, *body, now(self), output);
                    });
                });
            return;
        }
    }
}

FakeHost *Fleet::entryHost()
{
    for (std::size_t tries = 0; tries < 20; ++tries) {
        FakeHost &target = hosts[options.controlHosts + m_random() % options.entryHosts];
        if (target.alive) {
            return &target;
        }
    }
    return nullptr;
}

deployment::Token Fleet::submitRequest(wire::RequestT body, FakeHost *through)
{
    const deployment::Token token = m_nextToken++;
    FakeHost *target = through == nullptr ? entryHost() : through;
    if (target != nullptr) {
        body.waitMs = 2800;
        if (!credential.empty()) {
            body.credential = credential;
        }
        // A suspended host handles the request later, so the action must not refer to local variables.
        onHost(target->id,
               target->generation,
               [this, token, held = std::make_shared<wire::RequestT>(std::move(body))](FakeHost &self, deployment::HostOutput &output) {
                   deployment::handleLocalRequest(*self.host, token, *held, now(self), output);
               });
    }
    return token;
}

bool Fleet::putPlan(std::uint32_t queues, std::uint32_t attempts, bool advised)
{
    const deployment::Token token = sendPlan(queues, attempts, advised);
    return runUntil(
               [&] {
                   return answer(token).answered;
               },
               5000)
        && answer(token).reply.error == 0;
}

deployment::Token Fleet::sendPlan(std::uint32_t queues, std::uint32_t attempts, bool advised)
{
    m_attempts = attempts;
    m_advised = advised;
    ++m_planVersion;
    wire::RequestT body;
    body.operation = wire::Operation::PlanPut;
    body.plan = std::make_unique<wire::PlanAcceptedT>();
    body.plan->version = m_planVersion;
    body.plan->services.push_back(std::make_unique<wire::ServiceSpecT>());
    body.plan->services.back()->name = "s";
    for (std::uint32_t i = 0; i < queues; ++i) {
        auto queue = std::make_unique<wire::QueueSpecT>();
        queue->name = "q" + std::to_string(i);
        queue->host = "q";
        queue->prefix = "/" + std::to_string(i) + "/";
        queue->service = "s";
        queue->priority = i;
        queue->attempts = attempts;
        queue->slackFactor = 3;
        queue->targetMs = 1000;
        queue->advised = advised;
        queue->adviceMs = 50;
        body.plan->queues.push_back(std::move(queue));
    }
    for (const wire::TeamSpecT &team : teams) {
        body.plan->teams.push_back(std::make_unique<wire::TeamSpecT>(team));
        if (team.keyDigests.empty()) {
            body.plan->teams.back()->keyDigests = {"key-" + team.name};
        }
    }
    body.plan->requiresKeys = !teams.empty();
    return submitRequest(std::move(body), nullptr);
}

deployment::Token Fleet::submit(const std::string &path, const std::vector<wire::StepSpecT> &steps, const std::string &team, FakeHost *through)
{
    wire::RequestT body;
    body.operation = wire::Operation::SubmitJob;
    body.service = "q";
    body.path = path;
    body.job = std::make_unique<wire::JobSpecT>();
    body.job->team = team;
    body.credential = team.empty() ? "" : "key-" + team;
    for (const wire::StepSpecT &step : steps) {
        body.job->steps.push_back(std::make_unique<wire::StepSpecT>(step));
    }
    jobs[path.substr(path.rfind('/') + 1)] = *body.job;
    m_paths[path.substr(path.rfind('/') + 1)] = path;
    return submitRequest(std::move(body), through);
}

deployment::Token Fleet::sendRequest(wire::Operation operation, const std::string &path, FakeHost *through)
{
    wire::RequestT body;
    body.operation = operation;
    body.service = "q";
    body.path = path;
    const auto job = jobs.find(path.substr(path.rfind('/') + 1));
    body.credential = job == jobs.end() || job->second.team.empty() ? "" : "key-" + job->second.team;
    const deployment::Token token = submitRequest(std::move(body), through);
    if (operation == wire::Operation::JobCancel) {
        m_cancels[token] = path;
    }
    return token;
}

std::optional<job::Phase> Fleet::phase(const std::string &path)
{
    const deployment::Token token = sendRequest(wire::Operation::JobQuery, path);
    runUntil(
        [&] {
            return answer(token).answered;
        },
        5000);
    const FakeAnswer &received = answer(token);
    return received.answered && received.reply.error == 0 ? std::optional(static_cast<job::Phase>(received.reply.jobPhase)) : std::nullopt;
}

const FakeAnswer &Fleet::answer(deployment::Token token) const
{
    static const FakeAnswer none;
    const auto found = m_answers.find(token);
    return found == m_answers.end() ? none : found->second;
}
}
