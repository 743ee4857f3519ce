#include "fakes/bench.h"

#include <algorithm>

namespace rosemaryturn::fakes
{
namespace
{
constexpr std::uint64_t stepMs = 5;
constexpr std::uint64_t tickIntervalMs = 20;
constexpr std::uint64_t wallStartMs = 1'700'000'000'000;
constexpr std::uint64_t percent = 100;
constexpr std::uint64_t maxSyncDelayMs = 8;
constexpr std::uint64_t shortRunMs = 200;

config::Settings makeSettings(const std::string &self, std::size_t centres, bool secondHostsDurable)
{
    std::string hosts;
    for (std::size_t centre = 1; centre <= centres; ++centre) {
        for (std::size_t host = 1; host <= 2; ++host) {
            hosts += (hosts.empty() ? "" : ",") + std::string(R"({"id":")") + Bench::hostId(centre, host) + R"(","dataCentre":"dc)" + std::to_string(centre)
                + R"(","address":"127.0.0.1","peerPort":1,"httpPort":1,"durable":)" + (host == 1 || secondHostsDurable ? "true}" : "false}");
        }
    }
    const std::string text = R"({"cluster":"bench","host":")" + self + R"(","dataFolder":")" + (self.back() == '1' || secondHostsDurable ? "unused" : "")
        + R"(","hosts":[)" + hosts + R"(],"limits":{"snapshotEveryEntries":200}})";
    std::vector<config::FieldError> errors;
    return *config::parseSettings(text, errors);
}

bool isHost(const std::map<std::string, BenchHost> &hosts, const std::string &name)
{
    return hosts.count(name) > 0;
}
}

std::string benchDocument(const std::string &home)
{
    const std::string common = R"(","team":"t","home":")" + home + R"(","cpuMillis":1000,"memoryMb":100)";
    return R"({"teams":[{"name":"t"}],"services":[)"
           R"({"name":"idem)"
        + common + R"(,"kind":"batch","attempts":50,"retryPercent":100},{"name":"spill)" + common
        + R"(,"kind":"batch","idempotent":false,"spill":true,"attempts":50},{"name":"once)" + common + R"(,"kind":"batch","idempotent":false},{"name":"gang)"
        + common + R"(,"kind":"gang","attempts":50,"retryPercent":100}]})";
}

Bench::Bench(std::uint64_t seed, const InjectedDefects &defects, std::size_t centres, std::size_t workersPerCentre, bool secondHostsDurable)
    : m_defects(defects)
    , m_random(seed)
    , m_centres(centres)
    , m_secondHostsDurable(secondHostsDurable)
{
    for (std::size_t centre = 1; centre <= centres; ++centre) {
        for (std::size_t number = 1; number <= 2; ++number) {
            BenchHost host;
            host.id = hostId(centre, number);
            hosts.emplace(host.id, std::move(host));
        }
        for (std::size_t number = 1; number <= workersPerCentre; ++number) {
            wire::WorkerRegisteredT shape;
            shape.worker = "w" + std::to_string(centre) + "-" + std::to_string(number);
            shape.incarnation = 1;
            shape.rack = "rack" + std::to_string(number);
            shape.cpuMillis = 4000;
            shape.memoryMb = 4000;
            shape.slots = 4;
            workers.emplace_back(shape, defects);
            workers.back().onStarted = [this](const BenchRun &run) {
                invariants.recordRun(run);
            };
            workers.back().nextAnnouncementMs = m_nowMs + m_random() % 1000;
        }
    }
    for (auto &[id, host] : hosts) {
        start(host);
    }
}

std::string Bench::hostId(std::size_t centre, std::size_t host)
{
    return "h" + std::to_string(centre) + "-" + std::to_string(host);
}

control::Now Bench::now() const
{
    return {m_nowMs, wallStartMs + m_nowMs};
}

std::mt19937_64 &Bench::random()
{
    return m_random;
}

void Bench::start(BenchHost &host)
{
    ++host.processNumber;
    host.paused = false;
    host.deferred.clear();
    if (!m_secondHostsDurable && host.id.back() == '2') {
        host.disk.clear();
        host.incarnation = 2 + m_random() % 1'000'000'000;
    }
    std::map<std::string, std::vector<wire::JournalRecordT>> disk = host.disk;
    if (m_defects.voteLost) {
        for (auto &[group, records] : disk) {
            std::erase_if(records, [](const wire::JournalRecordT &record) {
                return record.body.type == wire::JournalBody::HardState;
            });
        }
    }
    std::error_code error;
    host.host = std::make_unique<control::Host>(
        control::makeHost(makeSettings(host.id, m_centres, m_secondHostsDurable), host.incarnation, disk, m_random(), now(), error));
    std::erase_if(m_reportedPeers, [&host](const auto &reported) {
        return reported.first.first == host.id;
    });
}

void Bench::run(std::uint64_t milliseconds)
{
    for (const std::uint64_t end = m_nowMs + milliseconds; m_nowMs < end;) {
        step();
    }
}

bool Bench::runUntil(const std::function<bool()> &condition, std::uint64_t milliseconds)
{
    for (const std::uint64_t end = m_nowMs + milliseconds; m_nowMs < end;) {
        if (condition()) {
            return true;
        }
        step();
    }
    return condition();
}

void Bench::step()
{
    m_nowMs += stepMs;
    deliverDue();
    syncDisks();
    if (m_nowMs % tickIntervalMs == 0) {
        reportPeers();
        tickHosts();
        resendRequests();
    }
    runWorkers();
    invariants.checkWorkers(workers, m_nowMs);
    recordRevisions();
    recordLeaders();
    if (afterStep) {
        afterStep();
    }
}

void Bench::post(const std::string &from, const std::string &to, const std::function<void()> &action)
{
    const bool between = isHost(hosts, from) && isHost(hosts, to);
    std::uniform_int_distribution<std::uint64_t> percentile(0, percent - 1);
    if (between && (m_cuts.count({from, to}) > 0 || percentile(m_random) < faults.dropPercent)) {
        return;
    }
    std::uniform_int_distribution<std::uint64_t> delay(faults.minDelayMs, faults.maxDelayMs);
    const std::size_t copies = isHost(hosts, from) && percentile(m_random) < faults.duplicatePercent ? 2 : 1;
    const std::uint64_t processNumber = isHost(hosts, to) ? hosts.at(to).processNumber : 0;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const std::uint64_t dueMs = m_nowMs + delay(m_random);
        m_deliveries.emplace(dueMs, Delivery{dueMs, from, to, processNumber, action});
    }
}

void Bench::deliverDue()
{
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_nowMs) {
        const Delivery delivery = std::move(m_deliveries.begin()->second);
        m_deliveries.erase(m_deliveries.begin());
        const auto host = hosts.find(delivery.to);
        if (host == hosts.end()) {
            delivery.action();
        } else if (host->second.host && host->second.processNumber == delivery.processNumber) {
            if (host->second.paused) {
                host->second.deferred.push_back(delivery.action);
            } else {
                delivery.action();
            }
        }
    }
}

void Bench::withHost(const std::string &id, const std::function<void(control::Host &, control::HostOutput &)> &action)
{
    BenchHost &host = hosts.at(id);
    if (!host.host) {
        return;
    }
    control::HostOutput output;
    action(*host.host, output);
    emit(id, std::move(output));
}

void Bench::emit(const std::string &id, control::HostOutput output)
{
    BenchHost &host = hosts.at(id);
    for (consensus::PersistRequest &order : output.persist) {
        host.unsynced.push_back(std::move(order));
    }
    if (host.syncDueMs == 0 && !host.unsynced.empty()) {
        host.syncDueMs = m_nowMs + 1 + m_random() % maxSyncDelayMs;
    }
    for (const wire::ConsensusMessageT &message : output.messages) {
        post(id, message.to, [this, message] {
            withHost(message.to, [&](control::Host &to, control::HostOutput &result) {
                control::handleMessage(to, message, now(), result);
            });
        });
    }
    for (const control::OutgoingCall &call : output.calls) {
        post(id, call.to, [this, id, call] {
            withHost(call.to, [&](control::Host &to, control::HostOutput &result) {
                control::handleCall(to, id, call.id, call.request, now(), result);
            });
        });
    }
    for (const control::OutgoingReply &reply : output.peerReplies) {
        post(id, reply.to, [this, reply] {
            withHost(reply.to, [&](control::Host &to, control::HostOutput &result) {
                control::handleReply(to, reply.id, reply.reply, now(), result);
            });
        });
    }
    for (const control::TokenReply &reply : output.replies) {
        deliverReply(id, reply);
    }
    emitStarts(id, std::move(output.starts));
}

void Bench::emitStarts(const std::string &id, std::vector<control::StartOrder> starts)
{
    std::map<std::string, std::vector<control::StartOrder>> byWorker;
    for (control::StartOrder &start : starts) {
        byWorker[start.worker].push_back(std::move(start));
    }
    for (const auto &[worker, orders] : byWorker) {
        post(id, worker, [this, id, name = worker, sent = orders] {
            BenchWorker &target = findWorker(name);
            if (target.paused || (!target.onlyEntryHost.empty() && target.onlyEntryHost != id)) {
                return; // The worker doesn't reply, so that the result of these starts stays unknown.
            }
            const auto replies = target.handleStarts(sent, m_nowMs);
            post(name, id, [this, id, replies] {
                withHost(id, [&](control::Host &host, control::HostOutput &result) {
                    control::handleStartReplies(host, replies, now(), result);
                });
            });
        });
    }
}

void Bench::syncDisks()
{
    for (auto &[id, host] : hosts) {
        if (host.syncDueMs == 0 || host.syncDueMs > m_nowMs || !host.host || host.paused) {
            continue;
        }
        host.syncDueMs = 0;
        sync(host, true, host.unsynced.size());
    }
}

void Bench::sync(BenchHost &host, bool acknowledge, std::size_t count)
{
    std::vector<consensus::PersistRequest> orders;
    orders.swap(host.unsynced);
    for (std::size_t i = 0; i < count; ++i) {
        auto &stored = host.disk[orders[i].group];
        if (!m_defects.syncSkipped) {
            if (orders[i].replace) {
                stored.clear();
            }
            stored.insert(stored.end(), orders[i].records.begin(), orders[i].records.end());
        }
        if (!acknowledge) {
            continue;
        }
        for (const wire::ConsensusMessageT &message : orders[i].sendAfterSync) {
            control::HostOutput output;
            output.messages.push_back(message);
            emit(host.id, std::move(output));
        }
        if (!orders[i].records.empty()) {
            withHost(host.id, [&](control::Host &state, control::HostOutput &result) {
                control::handlePersisted(state, orders[i].group, orders[i].index, orders[i].term, now(), result);
            });
        }
    }
}

void Bench::tickHosts()
{
    for (auto &[id, host] : hosts) {
        if (host.host && !host.paused) {
            withHost(id, [&](control::Host &state, control::HostOutput &result) {
                control::tickHost(state, now(), result);
            });
        }
    }
}

bool Bench::connected(const std::string &from, const std::string &to) const
{
    const BenchHost &a = hosts.at(from);
    const BenchHost &b = hosts.at(to);
    return a.host && b.host && !b.paused && m_cuts.count({from, to}) == 0 && m_cuts.count({to, from}) == 0;
}

void Bench::reportPeers()
{
    constexpr std::uint64_t silenceTimeoutMs = 1500;
    for (auto &[id, host] : hosts) {
        for (const auto &[peer, other] : hosts) {
            if (peer == id || !host.host || host.paused) {
                continue;
            }
            const std::pair pair{id, peer};
            const bool reached = connected(id, peer);
            std::uint64_t &lostSinceMs = m_lostSinceMs[pair];
            lostSinceMs = reached ? 0 : (lostSinceMs == 0 ? m_nowMs : lostSinceMs);
            const bool closed = !other.host; // The connections of an ended process are closed immediately.
            const bool up = reached || (!closed && m_nowMs < lostSinceMs + silenceTimeoutMs);
            control::PeerState state;
            state.connected = up;
            state.incarnation = up ? other.incarnation : 0;
            control::PeerState &reported = m_reportedPeers[pair];
            if (reported.connected != state.connected || reported.incarnation != state.incarnation) {
                reported = state;
                withHost(id, [&, name = peer](control::Host &target, control::HostOutput &result) {
                    control::handlePeer(target, name, state, now(), result);
                });
            }
        }
    }
}

BenchWorker &Bench::findWorker(const std::string &name)
{
    return *std::find_if(workers.begin(), workers.end(), [&name](const BenchWorker &worker) {
        return worker.shape().worker == name;
    });
}

std::string Bench::chooseEntryHost(const BenchWorker &worker)
{
    if (!worker.onlyEntryHost.empty()) {
        return worker.onlyEntryHost;
    }
    const std::string centre = worker.shape().worker.substr(1, worker.shape().worker.find('-') - 1);
    return "h" + centre + "-" + std::to_string(1 + m_random() % 2);
}

void Bench::sendFromWorker(BenchWorker &worker, wire::RequestT request, const std::function<void(const wire::ReplyT &)> &onReply)
{
    const std::string entry = chooseEntryHost(worker);
    const std::string name = worker.shape().worker;
    const std::uint64_t incarnation = worker.shape().incarnation;
    request.dataCentre = "dc" + name.substr(1, name.find('-') - 1);
    const control::Token token = m_nextToken++;
    m_tokens[{entry, token}] = [this, entry, name, incarnation, onReply](const wire::ReplyT &reply) {
        post(entry, name, [this, name, incarnation, onReply, reply] {
            const BenchWorker &target = findWorker(name);
            if (!target.paused && target.shape().incarnation == incarnation) {
                onReply(reply);
            }
        });
    };
    post(name, entry, [this, entry, token, request] {
        withHost(entry, [&](control::Host &host, control::HostOutput &result) {
            control::handleLocalRequest(host, token, request, now(), result);
        });
    });
}

void Bench::runWorkers()
{
    constexpr std::uint64_t announceMs = 1000;
    constexpr std::uint64_t resultsMs = 100;
    for (BenchWorker &worker : workers) {
        if (worker.paused) {
            continue;
        }
        worker.advance(m_nowMs);
        const std::string name = worker.shape().worker;
        if (m_nowMs >= worker.nextAnnouncementMs) {
            worker.nextAnnouncementMs = m_nowMs + announceMs;
            const std::uint64_t sentMs = m_nowMs;
            sendFromWorker(worker, worker.announce(m_nowMs), [this, name, sentMs](const wire::ReplyT &reply) {
                findWorker(name).handleAnnouncementReply(reply, sentMs);
            });
        }
        if (m_nowMs >= worker.nextResultsMs) {
            worker.nextResultsMs = m_nowMs + resultsMs;
            wire::RequestT results = worker.results();
            if (!results.results.empty()) {
                sendFromWorker(worker, std::move(results), [this, name](const wire::ReplyT &reply) {
                    findWorker(name).handleResultsReply(reply);
                });
            }
        }
    }
}

void Bench::deliverReply(const std::string &id, const control::TokenReply &reply)
{
    const auto found = m_tokens.find({id, reply.token});
    if (found == m_tokens.end()) {
        return;
    }
    const auto onReply = std::move(found->second);
    m_tokens.erase(found);
    onReply(reply.reply);
}

std::shared_ptr<std::optional<wire::ReplyT>> Bench::send(const std::string &host, wire::RequestT request)
{
    auto received = std::make_shared<std::optional<wire::ReplyT>>();
    const control::Token token = m_nextToken++;
    m_tokens[{host, token}] = [received](const wire::ReplyT &reply) {
        *received = reply;
    };
    post("caller", host, [this, host, token, request] {
        withHost(host, [&](control::Host &state, control::HostOutput &result) {
            control::handleLocalRequest(state, token, request, now(), result);
        });
    });
    return received;
}

void Bench::submit(const std::string &host, const wire::TaskSpecT &spec, std::size_t tasks)
{
    wire::RequestT request;
    request.operation = wire::Operation::Submit;
    request.key = spec.key;
    request.waitMs = 1000;
    for (std::size_t i = 0; i < tasks; ++i) {
        request.specs.push_back(std::make_unique<wire::TaskSpecT>(spec));
        request.specs.back()->gangSize = static_cast<std::uint32_t>(tasks);
    }
    requests[spec.key].key = spec.key;
    requests[spec.key].spec = spec;
    m_pendingRequests[spec.key] = {request, m_nowMs + callerTimeoutMs};
    const control::Token token = m_nextToken++;
    m_tokens[{host, token}] = [this, key = spec.key](const wire::ReplyT &reply) {
        handleCallerReply(key, reply);
    };
    post("caller", host, [this, host, token, request] {
        withHost(host, [&](control::Host &state, control::HostOutput &result) {
            control::handleLocalRequest(state, token, request, now(), result);
        });
    });
}

void Bench::resendRequests()
{
    for (auto &[key, pending] : m_pendingRequests) {
        if (m_nowMs < pending.resendAtMs) {
            continue;
        }
        pending.resendAtMs = m_nowMs + callerTimeoutMs;
        auto host = hosts.begin();
        std::advance(host, static_cast<std::ptrdiff_t>(m_random() % hosts.size()));
        const control::Token token = m_nextToken++;
        m_tokens[{host->first, token}] = [this, name = key](const wire::ReplyT &reply) {
            handleCallerReply(name, reply);
        };
        post("caller", host->first, [this, id = host->first, token, request = pending.request] {
            withHost(id, [&](control::Host &state, control::HostOutput &result) {
                control::handleLocalRequest(state, token, request, now(), result);
            });
        });
    }
}

void Bench::handleCallerReply(const std::string &key, const wire::ReplyT &reply)
{
    BenchRequest &request = requests[key];
    if (reply.error != 0) {
        const auto &info = model::reasonInfo(static_cast<model::Reason>(reply.error));
        const bool definite = info.retry != model::RetryGuidance::Later;
        if (definite && !request.accepted) {
            request.refused = true;
            m_pendingRequests.erase(key);
        }
        return;
    }
    request.accepted = true;
    bool ended = !reply.tasks.empty();
    for (const auto &view : reply.tasks) {
        invariants.recordAnswer(*view);
        ended = ended && view->phase == wire::TaskPhase::Ended;
    }
    if (ended) {
        request.end = *reply.tasks.front();
        m_pendingRequests.erase(key);
    }
}

void Bench::recordRevisions()
{
    for (const auto &[id, host] : hosts) {
        if (!host.host || !control::isConfigLearnt(*host.host)) {
            continue;
        }
        // A missing environment counts as revision 0, so that its loss is detected as a reverted configuration.
        const control::Revision *revision = control::inForce(host.host->config, "production");
        invariants.recordRevision(id, "production", revision == nullptr ? 0 : revision->revision, revision == nullptr ? "" : revision->digest);
    }
}

void Bench::recordLeaders()
{
    for (const auto &[id, host] : hosts) {
        if (!host.host) {
            continue;
        }
        for (const auto &[group, node] : host.host->groups) {
            if (node.role == consensus::Role::Leader) {
                invariants.recordLeader(group, node.term, id);
            }
        }
    }
}

void Bench::crash(const std::string &id)
{
    BenchHost &host = hosts.at(id);
    // Any prefix of the unsynced records may be on the disk without having been acknowledged.
    const std::size_t stored = host.unsynced.empty() ? 0 : m_random() % (host.unsynced.size() + 1);
    host.host.reset();
    sync(host, false, stored);
    host.syncDueMs = 0;
    std::erase_if(m_tokens, [&id](const auto &entry) {
        return entry.first.first == id;
    });
}

void Bench::restart(const std::string &id)
{
    start(hosts.at(id));
}

void Bench::restartWithoutDisk(const std::string &id)
{
    BenchHost &host = hosts.at(id);
    host.disk.clear();
    host.incarnation = 2 + m_random() % 1'000'000'000;
    start(host);
}

void Bench::pauseHost(const std::string &id, bool paused)
{
    BenchHost &host = hosts.at(id);
    host.paused = paused;
    if (paused) {
        return;
    }
    std::vector<std::function<void()>> deferred;
    deferred.swap(host.deferred);
    for (const auto &action : deferred) {
        action();
    }
}

void Bench::cut(const std::string &from, const std::string &to, bool isCut)
{
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void Bench::isolate(const std::string &id, bool isCut)
{
    for (const auto &[other, host] : hosts) {
        if (other != id) {
            cut(id, other, isCut);
            cut(other, id, isCut);
        }
    }
}

void Bench::isolateDataCentre(std::size_t centre, bool isCut)
{
    const std::string prefix = "h" + std::to_string(centre) + "-";
    for (const auto &[a, hostA] : hosts) {
        for (const auto &[b, hostB] : hosts) {
            if (a.rfind(prefix, 0) == 0 && b.rfind(prefix, 0) != 0) {
                cut(a, b, isCut);
                cut(b, a, isCut);
            }
        }
    }
}

void Bench::heal()
{
    m_cuts.clear();
    faults = {};
    for (auto &[id, host] : hosts) {
        if (!host.host) {
            restart(id);
        }
        if (host.paused) {
            pauseHost(id, false);
        }
    }
    for (BenchWorker &worker : workers) {
        worker.paused = false;
        worker.onlyEntryHost.clear();
        worker.runMs = shortRunMs;
        worker.leaving = false;
    }
}

std::string Bench::leaderOf(const std::string &group) const
{
    for (const auto &[id, host] : hosts) {
        const bool up = host.host && host.host->groups.count(group) > 0;
        if (up && consensus::isReadyLeader(host.host->groups.at(group)) && consensus::holdsLease(host.host->groups.at(group), m_nowMs)) {
            return id;
        }
    }
    return {};
}

bool Bench::isSettled() const
{
    for (std::size_t centre = 1; centre <= m_centres; ++centre) {
        if (leaderOf(control::cellGroup("dc" + std::to_string(centre))).empty()) {
            return false;
        }
    }
    return !leaderOf(control::globalGroup).empty() && std::all_of(hosts.begin(), hosts.end(), [](const auto &entry) {
        return entry.second.host && control::isReady(*entry.second.host);
    });
}

bool Bench::allEnded() const
{
    return std::all_of(requests.begin(), requests.end(), [](const auto &entry) {
        return entry.second.end || entry.second.refused;
    });
}

bool Bench::applyDocument(const std::string &text, std::uint64_t expectedRevision)
{
    wire::RequestT request;
    request.operation = wire::Operation::ApplyConfig;
    request.config = std::make_unique<wire::ConfigChangeT>();
    request.config->requestId = "apply-" + std::to_string(expectedRevision);
    request.config->environment = "production";
    request.config->expectedRevision = expectedRevision;
    request.config->document = text;
    send(hosts.begin()->first, std::move(request));
    return runUntil(
        [this, expectedRevision] {
            return std::all_of(hosts.begin(), hosts.end(), [expectedRevision](const auto &entry) {
                const control::Revision *revision = entry.second.host ? control::inForce(entry.second.host->config, "production") : nullptr;
                return revision != nullptr && revision->revision > expectedRevision;
            });
        },
        8000);
}
}
