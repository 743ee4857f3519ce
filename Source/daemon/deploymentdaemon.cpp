#include "daemon/deploymentdaemon.h"

#include "daemon/daemon.h"
#include "daemon/deploymentmetrics.h"
#include "deployment/ordercodec.h"
#include "storage/identity.h"
#include "storage/journalthread.h"
#include "storage/storageerror.h"
#include "telemetry/linelimit.h"
#include "telemetry/log.h"
#include "transport/clienttable.h"
#include "transport/httpclient.h"
#include "transport/peernetwork.h"
#include "wire/frame.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <list>
#include <memory>
#include <random>

namespace rosemaryturn::daemon
{
namespace
{
using telemetry::Event;

/** Time in which the load balancer detects that the host is not ready: two probes at an interval of one second, and their network delay. */
constexpr std::uint64_t loadBalancerDelayMs = 2300;
constexpr std::chrono::milliseconds drainPollInterval{20};
/** Interval at which the settings file is checked, as it may change without a signal. */
constexpr std::uint64_t settingsPollMs = 1000;
/** Maximum number of connections to one upstream: one for a waiting poll, the others for orders. */
constexpr long connectionsPerUpstream = 5;
/** Maximum number of open orders that this host delivers for the leader; further orders are declined. */
constexpr std::uint64_t maxOpenOrders = 2000;
/** Arenas of the allocator. Its default of eight for each processor of the machine keeps too much free memory for a process with a thread per connection. */
constexpr int maxArenas = 8;
/** Blocks from this size have a mapping of their own and return their memory at once. The allocator would raise its threshold to the largest freed block, and
 * keep as much free memory in each arena. */
constexpr int mappedBytes = 1 << 20;
/** Free memory at the end of an arena that the allocator keeps. */
constexpr int maxFreeTopBytes = 1 << 21;
/** Maximum number of requests of callers that wait for an answer at a time. */
constexpr std::uint64_t maxWaiters = 2000;
/** Silence after which a connection to another host is closed; heartbeats are sent four times within this time. */
constexpr std::uint64_t peerSilenceMs = 1500;
/** Maximum decision log lines per second: a leader writes about 150 at 60 jobs per second; the rest is reserve for failures. */
constexpr std::uint64_t maxLogLinesPerSecond = 600;

/** State restored from the data folder. */
struct RestoredState
{
    std::uint64_t incarnation = 0;
    std::map<std::string, storage::Journal> journals;
    std::vector<wire::JournalRecordT> records;
};

std::vector<std::string> seedHosts(const config::DeploymentSettings &settings)
{
    std::vector<std::string> hosts;
    for (const config::SocketAddress &seed : settings.seeds) {
        hosts.push_back(seed.ip);
    }
    return hosts;
}

/** @return the first journal records of a founding host, which hold the founding members of the group. */
std::vector<wire::JournalRecordT> foundingRecords(const std::vector<std::string> &seeds)
{
    consensus::Node node;
    node.log.snapshotMembership = deployment::foundingMembership(seeds);
    return consensus::journalRecords(node);
}

std::error_code prepareFolder(const config::DeploymentSettings &settings, const std::filesystem::path &journal)
{
    std::error_code error;
    std::filesystem::create_directories(settings.dataFolder, error);
    if (error) {
        return error;
    }
    std::filesystem::remove(journal, error); // A folder without an identity never held acknowledged data.
    const std::vector<std::string> seeds = seedHosts(settings);
    const bool isFounder = settings.founding && std::find(seeds.begin(), seeds.end(), settings.host) != seeds.end();
    if (isFounder) {
        storage::Journal newJournal;
        storage::JournalContent content;
        if ((error = newJournal.open(journal, content)) || (error = newJournal.replace(foundingRecords(seeds)))) {
            return error;
        }
    }
    return storage::writeIdentity(settings.dataFolder,
                                  {settings.cluster, settings.host, isFounder ? storage::foundingIncarnation : storage::generateIncarnation()});
}

std::error_code restoreState(const config::DeploymentSettings &settings, RestoredState &restored)
{
    if (settings.dataFolder.empty()) {
        restored.incarnation = storage::generateIncarnation();
        return {};
    }
    const std::filesystem::path folder = settings.dataFolder;
    const std::filesystem::path journal = folder / "deployment.journal";
    std::error_code error;
    storage::Identity identity = storage::readIdentity(folder, error);
    if (error == storage::StorageError::NotADataFolder) {
        if ((error = prepareFolder(settings, journal))) {
            return error;
        }
        identity = storage::readIdentity(folder, error);
    }
    if (error) {
        return error;
    }
    if (identity.host != settings.host) {
        return storage::StorageError::NotADataFolder;
    }
    restored.incarnation = identity.incarnation;
    storage::JournalContent content;
    if ((error = restored.journals[deployment::deploymentGroup].open(journal, content))) {
        return error;
    }
    telemetry::log(
        Event::JournalRestored,
        {{"records", std::to_string(content.records.size())}, {"bytes", std::to_string(content.validBytes)}, {"torn", std::to_string(content.tornBytes)}});
    restored.records = std::move(content.records);
    return {};
}

/** @param memoryMb memory that the process may use. @return the part of it that jobs may take, in bytes. */
std::uint64_t maxHeldBytes(std::uint64_t memoryMb)
{
    constexpr std::uint64_t processMb = 96; // The program, its connections and the log between two snapshots; docs/CAPACITY.md.
    constexpr std::uint64_t bytesPerMb = std::uint64_t{1} << 20U;
    return std::max(memoryMb - std::min(memoryMb, processMb), memoryMb / 4) * bytesPerMb;
}

deployment::HostOptions hostOptions(const config::DeploymentSettings &settings)
{
    deployment::HostOptions options;
    options.host = settings.host;
    options.dataCentre = settings.dataCentre;
    options.control = !settings.dataFolder.empty();
    options.canRequestAdvice = settings.advice.port != 0;
    options.seeds = seedHosts(settings);
    options.couriers.minUpstreams = settings.couriersFromUpstreams;
    options.leader.lease.leaseMs = settings.leaseMs;
    options.leader.lease.longestLeaseMs = settings.longestLeaseMs;
    options.leader.lease.stopMs = settings.stopMs;
    options.leader.gangWaitMs = settings.gangWaitMs;
    options.leader.drainMs = settings.drainMs;
    options.leader.keepJobsMs = settings.keepJobsMs;
    options.leader.maxHeldBytes = maxHeldBytes(settings.memoryMb);
    options.maxLogBytes = std::min(options.maxLogBytes, (settings.memoryMb << 20U) / 16);
    options.leader.overload = settings.overload;
    options.leader.maxSilenceMs = settings.heartbeatMs * 5 / 2;
    return options;
}

/** @return the limits on clients. */
transport::ClientLimits clientLimits(const config::DeploymentSettings &settings)
{
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    transport::ClientLimits limits = transport::deriveClientLimits(settings.memoryMb, descriptors.rlim_cur);
    limits.requestMs = settings.requestMs;
    if (settings.maxConnections > 0) {
        limits.maxConnections = settings.maxConnections;
    }
    if (settings.maxBodiesMb > 0) {
        limits.maxBodyBytes = settings.maxBodiesMb << 20U;
    }
    return limits;
}

/** @return the settings of the peer network: they list this host only, as the other hosts are discovered. */
config::Settings networkSettings(const config::DeploymentSettings &settings)
{
    config::Settings own;
    own.cluster = settings.cluster;
    own.host = settings.host;
    own.hosts.push_back({settings.host, settings.dataCentre, settings.host, settings.peerPort, 0, !settings.dataFolder.empty()});
    own.timing.peerSilenceMs = peerSilenceMs;
    return own;
}

/** Owns the threads and servers of a host and connects them with each other. */
class DeploymentRuntime
{
public:
    /** @param settings checked settings. @param host the restored control state. @param origin identifies this process to couriers. @param journals the open
     * journals. @param protocol translates calls. */
    DeploymentRuntime(const config::DeploymentSettings &settings, deployment::Host host, std::uint64_t origin, std::map<std::string, storage::Journal> journals,
                      const EdgeProtocol &protocol)
        : m_settings(settings)
        , m_protocol(protocol)
        , m_gateway(
              [this](control::Token token, wire::RequestT request) {
                  return m_loop->post(deployment::LocalEvent{token, std::move(request)});
              },
              maxWaiters)
        , m_network(networkSettings(settings), host.incarnation, peerHandlers())
        , m_client(connectionsPerUpstream,
                   [clock = m_clock] {
                       return clock().monotonicMs;
                   })
        , m_clients(std::make_shared<transport::ClientTable>(clientLimits(settings),
                                                             [clock = m_clock] {
                                                                 return clock().monotonicMs;
                                                             }))
        , m_origin(origin)
    {
        m_loop = std::make_unique<deployment::Loop>(std::move(host), deployment::systemClock(), sinks());
        m_journal = std::make_unique<storage::JournalThread>(std::move(journals), journalSinks());
        if (!settings.dataFolder.empty()) {
            m_network.announceControl();
        }
    }

    std::error_code start()
    {
        if (const std::error_code error = m_network.start()) {
            return error;
        }
        m_loop->start();
        m_clients->startExpiry();
        const EdgeContext context{m_gateway,
                                  [this] {
                                      return m_ready && !m_draining;
                                  },
                                  [this] {
                                      return m_metrics.text() + clientMetrics(*m_clients);
                                  }};
        for (EdgeServer &server : m_protocol.servers(m_settings, context)) {
            server.limits.clients = m_clients;
            m_servers.emplace_back();
            if (const std::error_code error = m_servers.back().start(server.address.ip, server.address.port, server.limits, {})) {
                return error;
            }
        }
        return {};
    }

    /** Drains the host, so that no request in flight is cut off. @return the number of requests still open at the deadline. */
    std::uint64_t drain()
    {
        const deployment::Clock clock = deployment::systemClock();
        const std::uint64_t startMs = clock().monotonicMs;
        m_draining = true;
        m_loop->post(deployment::DrainEvent{});
        // One twelfth of the grace period is reserved for stopping the threads and servers.
        const std::uint64_t deadlineMs = startMs + m_settings.graceMs * 11 / 12;
        const bool behindLoadBalancer = m_settings.callers.port != 0;
        while (clock().monotonicMs < startMs + (behindLoadBalancer ? loadBalancerDelayMs : 0)) {
            std::this_thread::sleep_for(drainPollInterval);
        }
        for (transport::HttpServer &server : m_servers) {
            server.quiesce();
        }
        while (inFlight() > 0 && clock().monotonicMs < deadlineMs) {
            std::this_thread::sleep_for(drainPollInterval);
        }
        return inFlight();
    }

    void stop()
    {
        for (transport::HttpServer &server : m_servers) {
            server.stop();
        }
        m_client.stop();
        m_loop->stop();
        m_journal->stop();
        m_network.stop();
    }

    /** Applies the settings that may change while the host runs: the seeds. */
    void reload(const config::DeploymentSettings &settings)
    {
        m_loop->post(deployment::SeedsEvent{seedHosts(settings)});
    }

    bool journalFailed() const
    {
        return m_journalFailed;
    }

private:
    std::uint64_t inFlight() const
    {
        std::uint64_t open = 0;
        for (const transport::HttpServer &server : m_servers) {
            open += server.inFlight();
        }
        return open;
    }

    transport::PeerHandlers peerHandlers()
    {
        transport::PeerHandlers handlers;
        handlers.call = [this](const std::string &from, std::uint64_t id, wire::RequestT request) {
            m_loop->post(deployment::CallEvent{from, id, std::move(request)});
        };
        handlers.reply = [this](std::uint64_t id, wire::ReplyT reply) {
            m_loop->post(deployment::ReplyEvent{id, std::move(reply)});
        };
        handlers.message = [this](wire::ConsensusMessageT message) {
            m_loop->post(deployment::MessageEvent{std::move(message)});
        };
        handlers.peer = [this](const std::string &peer, const control::PeerState &state) {
            const bool delivers = state.connected && state.version >= wire::courierProtocolVersion;
            m_loop->post(deployment::PeerEvent{peer, {state.connected, state.control, state.incarnation, state.dataCentre, delivers}});
        };
        handlers.orders = [this](const std::string &from, wire::OrdersT orders) {
            deliverOrders(from, std::move(orders));
        };
        handlers.orderAnswers = [this](const std::string &from, wire::OrderAnswersT answers) {
            m_loop->post(deployment::OrderAnswersEvent{from, std::move(answers)});
        };
        return handlers;
    }

    deployment::Sinks sinks()
    {
        deployment::Sinks sinks;
        sinks.output = [this](deployment::HostOutput output) {
            emit(std::move(output));
        };
        sinks.view = [this](const deployment::HostView &view) {
            if (view.ready && !m_ready) {
                telemetry::log(Event::Ready, {{"host", m_settings.host}, {"leader", view.leader}});
            }
            m_ready = view.ready;
        };
        sinks.measure = [this](const deployment::Host &host) {
            m_clients->setTakenBytes(deployment::heldBytes(host));
            if (const std::uint64_t dropped = m_logLimit.takeDroppedCount()) {
                telemetry::log(Event::LinesDropped, {{"count", std::to_string(dropped)}});
            }
            m_metrics.update(host, m_network.totals(), m_journal->syncCount(), m_logLimit.dropped());
        };
        return sinks;
    }

    storage::JournalCallbacks journalSinks()
    {
        storage::JournalCallbacks sinks;
        sinks.send = [this](wire::ConsensusMessageT message) {
            sendMessage(std::move(message));
        };
        sinks.persisted = [this](const std::string &, std::uint64_t index, std::uint64_t term) {
            m_loop->post(deployment::PersistedEvent{index, term});
        };
        sinks.failed = [this](const std::string &group, std::error_code error) {
            telemetry::log(Event::JournalFailed, {{"group", group}, {"cause", error.message()}});
            m_journalFailed = true;
            kill(getpid(), SIGTERM);
        };
        return sinks;
    }

    void emit(deployment::HostOutput output)
    {
        const std::uint64_t nowMs = m_clock().monotonicMs;
        for (const deployment::Decision &decision : output.decisions) {
            if (!m_logLimit.admit(nowMs)) {
                continue;
            }
            telemetry::log(Event::Decision, {{"decision", std::string(decision.name)}, {"id", decision.id}, {"", decision.detail}});
        }
        for (consensus::PersistRequest &order : output.persist) {
            m_journal->post(std::move(order));
        }
        for (wire::ConsensusMessageT &message : output.messages) {
            sendMessage(std::move(message));
        }
        for (deployment::HostCall &call : output.calls) {
            wire::CallT body;
            body.id = call.id;
            body.request = std::make_unique<wire::RequestT>(std::move(call.request));
            m_network.send(call.to, wire::makeFrame(std::move(body)));
        }
        for (const auto &[courier, delivery] : output.courierOrders) {
            wire::OrdersT body;
            body.origin = m_origin;
            body.courierClockMs = delivery.courierClockMs;
            for (const deployment::UpstreamCall &call : delivery.calls) {
                body.orders.push_back(std::make_unique<wire::UpstreamOrderT>(deployment::encodeOrder(call)));
            }
            m_network.send(courier, wire::makeFrame(std::move(body)));
        }
        for (deployment::HostReply &reply : output.peerReplies) {
            wire::CallReplyT body;
            body.id = reply.id;
            body.reply = std::make_unique<wire::ReplyT>(std::move(reply.reply));
            m_network.send(reply.to, wire::makeFrame(std::move(body)));
        }
        for (deployment::TokenReply &answer : output.replies) {
            m_gateway.deliver({answer.token, std::move(answer.reply)});
        }
        if (output.dial) {
            connectToHosts(*output.dial);
        }
        sendHttpCalls(output);
    }

    void sendHttpCalls(deployment::HostOutput &output)
    {
        std::vector<transport::AsyncHttpRequest> calls;
        for (deployment::UpstreamCall &order : output.upstreamCalls) {
            calls.push_back(makeUpstreamCall(std::move(order), output.sendBeforeMs, [this](deployment::UpstreamReply reply) {
                m_loop->post(std::move(reply));
            }));
        }
        for (const deployment::LocalAdviceRequest &request : output.advice) {
            transport::AsyncHttpRequest call = m_protocol.adviceCall(m_settings.advice, request);
            call.done = [this, id = request.id](long status, const std::string &body) {
                m_loop->post(m_protocol.adviceReply(id, status, body));
            };
            calls.push_back(std::move(call));
        }
        if (!calls.empty()) {
            m_client.post(std::move(calls));
        }
    }

    /** @param order a call to an upstream. @param sendBeforeMs clock value from which it must not be sent any more. @param onReply called with the upstream's
     * reply, on the client's thread. @return the HTTP call. */
    transport::AsyncHttpRequest makeUpstreamCall(deployment::UpstreamCall order, std::uint64_t sendBeforeMs,
                                                 std::function<void(deployment::UpstreamReply)> onReply)
    {
        transport::AsyncHttpRequest call = m_protocol.upstreamCall(order);
        call.sendBeforeMs = sendBeforeMs;
        order.payload.clear();
        call.done = [this, order = std::move(order), onReply = std::move(onReply)](long status, const std::string &body) {
            onReply(m_protocol.upstreamReply(order, status, body));
        };
        return call;
    }

    /** Delivers orders to upstreams on behalf of the leader; declines orders that are too old, or while this host drains or has too many open. */
    void deliverOrders(const std::string &from, wire::OrdersT &&orders)
    {
        std::vector<transport::AsyncHttpRequest> calls;
        wire::OrderAnswersT response;
        response.origin = orders.origin;
        response.courierClockMs = m_clock().monotonicMs;
        const bool fresh = deployment::isFresh(orders.courierClockMs, response.courierClockMs);
        const std::uint64_t sendBeforeMs = orders.courierClockMs + deployment::maxOrderAgeMs;
        for (const auto &order : orders.orders) {
            if (m_draining || !fresh || m_openOrders >= maxOpenOrders) {
                response.declined.push_back(order->id);
                continue;
            }
            ++m_openOrders;
            calls.push_back(makeUpstreamCall(
                deployment::decodeOrder(std::move(*order)), sendBeforeMs, [this, from, origin = orders.origin](const deployment::UpstreamReply &reply) {
                    --m_openOrders;
                    wire::OrderAnswersT answers;
                    answers.origin = origin;
                    answers.courierClockMs = m_clock().monotonicMs;
                    answers.answers.push_back(std::make_unique<wire::OrderAnswerT>(deployment::encodeAnswer(reply)));
                    m_network.send(from, wire::makeFrame(std::move(answers)));
                }));
        }
        if (!response.declined.empty() || orders.orders.empty()) {
            m_network.send(from, wire::makeFrame(std::move(response)));
        }
        if (!calls.empty()) {
            m_client.post(std::move(calls));
        }
    }

    void connectToHosts(const std::vector<std::string> &names)
    {
        std::vector<config::HostSettings> hosts;
        hosts.reserve(names.size());
        for (const std::string &name : names) {
            hosts.push_back({name, "", name, m_settings.peerPort, 0, true});
        }
        m_network.setHosts(std::move(hosts));
    }

    void sendMessage(wire::ConsensusMessageT message)
    {
        const std::string to = message.to;
        m_network.send(to, wire::makeFrame(std::move(message)));
    }

    config::DeploymentSettings m_settings;
    EdgeProtocol m_protocol;
    DeploymentMetrics m_metrics;
    deployment::Clock m_clock = deployment::systemClock();
    telemetry::LineLimit m_logLimit{maxLogLinesPerSecond};
    std::unique_ptr<deployment::Loop> m_loop;
    std::unique_ptr<storage::JournalThread> m_journal;
    transport::Gateway m_gateway;
    transport::PeerNetwork m_network;
    transport::AsyncHttpClient m_client;
    std::shared_ptr<transport::ClientTable> m_clients;
    const std::uint64_t m_origin; ///< Identifies this process to the couriers that deliver its orders.
    std::atomic<std::uint64_t> m_openOrders{0};
    std::list<transport::HttpServer> m_servers;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_journalFailed{false};
};

std::optional<config::DeploymentSettings> readSettingsOrLog(const std::filesystem::path &file)
{
    std::vector<config::FieldError> errors;
    auto settings = config::readDeploymentSettings(file, errors);
    for (const config::FieldError &error : errors) {
        telemetry::log(Event::SettingsRefused, {{"cause", config::describe(error)}});
    }
    return settings;
}

std::int64_t modificationTime(const std::filesystem::path &file)
{
    struct stat status
    {
    };
    constexpr std::int64_t nsPerSecond = 1000000000;
    return ::stat(file.c_str(), &status) == 0 ? status.st_mtim.tv_sec * nsPerSecond + status.st_mtim.tv_nsec : 0;
}

/** Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP and when the file changes. */
void waitForTermination(const std::filesystem::path &file, const sigset_t &signals, DeploymentRuntime &runtime)
{
    std::int64_t lastModifiedNs = modificationTime(file);
    while (true) {
        timespec pause{static_cast<time_t>(settingsPollMs / 1000), 0};
        const int signal = sigtimedwait(&signals, nullptr, &pause);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        const std::int64_t modifiedNs = modificationTime(file);
        if (signal != SIGHUP && modifiedNs == lastModifiedNs) {
            continue;
        }
        lastModifiedNs = modifiedNs;
        if (const auto settings = readSettingsOrLog(file)) {
            telemetry::log(Event::SettingsReloaded,
                           {{"cause", signal == SIGHUP ? "signal" : "file-changed"}, {"seeds", std::to_string(settings->seeds.size())}});
            runtime.reload(*settings);
        }
    }
}
}

int serveDeployment(const std::filesystem::path &file, const EdgeProtocol &protocol)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    ::mallopt(M_ARENA_MAX, maxArenas);
    ::mallopt(M_MMAP_THRESHOLD, mappedBytes);
    ::mallopt(M_TRIM_THRESHOLD, maxFreeTopBytes);
    telemetry::openLog(telemetry::standardOutput, "info");
    const auto settings = readSettingsOrLog(file);
    if (!settings) {
        return static_cast<int>(ExitCode::WrongSettings);
    }
    telemetry::log(Event::Starting, {{"host", settings->host}, {"role", settings->dataFolder.empty() ? "entry" : "control"}});
    RestoredState restored;
    if (const std::error_code error = restoreState(*settings, restored)) {
        telemetry::log(Event::DataFolderRefused, {{"folder", settings->dataFolder}, {"cause", error.message()}});
        return static_cast<int>(ExitCode::WrongDataFolder);
    }
    std::random_device random;
    const std::uint64_t origin = (std::uint64_t{random()} << 32U) | random();
    std::error_code error;
    deployment::Host host
        = deployment::makeHost(hostOptions(*settings), restored.incarnation, std::move(restored.records), origin, deployment::systemClock()(), error);
    if (error) {
        telemetry::log(Event::SnapshotUnreadable, {{"folder", settings->dataFolder}, {"cause", error.message()}});
        return static_cast<int>(ExitCode::WrongDataFolder);
    }
    transport::initialiseHttp();
    int code = static_cast<int>(ExitCode::Success);
    {
        DeploymentRuntime runtime(*settings, std::move(host), origin, std::move(restored.journals), protocol);
        if (const std::error_code error = runtime.start()) {
            telemetry::log(Event::HttpUnavailable, {{"cause", error.message()}});
            runtime.stop();
            return static_cast<int>(ExitCode::PortUnavailable);
        }
        waitForTermination(file, signals, runtime);
        telemetry::log(Event::Draining, {{"host", settings->host}});
        const std::uint64_t unanswered = runtime.drain();
        runtime.stop();
        telemetry::log(Event::Stopped, {{"unanswered", std::to_string(unanswered)}});
        code = static_cast<int>(runtime.journalFailed() ? ExitCode::JournalFailed : ExitCode::Success);
    }
    transport::cleanupHttp();
    return code;
}
}
